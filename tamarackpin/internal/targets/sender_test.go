package targets

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/target"
)

func sending(address string, limit time.Duration) Sending {
	return Sending{
		Name: "vm0-1-r7", Key: party.Key{Party: "p", Kind: "k"}, Limit: limit, Body: []byte(`{"n":1}`),
		Lease: target.Lease{Announcement: target.Announcement{Target: "t01", Address: address}},
	}
}

func send(t *testing.T, w Sending) Result {
	t.Helper()
	s := NewSender(nil, &report.Recorder{}, zap.NewNop())
	defer s.Close()
	return s.Send(context.Background(), w)
}

// TestAnswers: only a whole answer to this very sending is taken (issue 4).
func TestAnswers(t *testing.T) {
	echo := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(target.HeaderTask, r.Header.Get(target.HeaderTask))
	}
	for _, c := range []struct {
		name  string
		serve http.HandlerFunc
		code  code.Code
		unrun bool
	}{
		{"whole", func(w http.ResponseWriter, r *http.Request) {
			echo(w, r)
			_, _ = io.Copy(w, r.Body)
		}, code.OK, false},
		{"digest does not match", func(w http.ResponseWriter, r *http.Request) {
			echo(w, r)
			w.Header().Set(target.HeaderDigest, "sha-256=:RBNvo1WzZ4oRRq0W9+hknpT7T8If536DEMBg9hyq/4o=:")
			_, _ = io.WriteString(w, "[]")
		}, code.BadAnswer, false},
		{"cut short", func(w http.ResponseWriter, r *http.Request) {
			echo(w, r)
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, `{"half":`)
		}, code.BadAnswer, false},
		{"without its name", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{}`) }, code.BadAnswer, false},
		{"for other work", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(target.HeaderTask, "vm0-1-r6")
			_, _ = io.WriteString(w, `{}`)
		}, code.BadAnswer, false},
		{"not JSON", func(w http.ResponseWriter, r *http.Request) {
			echo(w, r)
			_, _ = io.WriteString(w, `{"a"`)
		}, code.BadAnswer, false},
		{"too large", func(w http.ResponseWriter, r *http.Request) {
			echo(w, r)
			_, _ = io.WriteString(w, `"`+strings.Repeat("x", target.MaxAnswerBytes)+`"`)
		}, code.BadAnswer, false},
		{"failed", func(w http.ResponseWriter, r *http.Request) {
			echo(w, r)
			w.WriteHeader(http.StatusInternalServerError)
		}, code.TargetFailed, false},
		{"refused unrun", func(w http.ResponseWriter, r *http.Request) {
			echo(w, r)
			w.Header().Set(target.HeaderNotRun, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, code.TargetBusy, true},
		{"redirect", func(w http.ResponseWriter, r *http.Request) {
			echo(w, r)
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		}, code.TargetFailed, false},
		{"dropped", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, code.TargetLost, false},
		{"late", func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(400 * time.Millisecond)
			echo(w, r)
			_, _ = io.WriteString(w, `{}`)
		}, code.TimeLimit, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := httptest.NewServer(c.serve)
			defer s.Close()
			r := send(t, sending(strings.TrimPrefix(s.URL, "http://"), 200*time.Millisecond))
			if r.Code != c.code || r.Unrun != c.unrun {
				t.Errorf("%s, unrun %v: %s", r.Code, r.Unrun, r.Message)
			}
		})
	}
}

// TestUnreachableIsNotRun: no byte left, so the task may go elsewhere.
func TestUnreachableIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	if r := send(t, sending(l.Addr().String(), time.Second)); !r.Unrun || r.Avoid == 0 {
		t.Errorf("%+v", r)
	}
}

// TestIdleConnectionThatClosedIsNotSentTwice: the transport must not send a
// task again by itself, whatever it makes of a connection that ends.
func TestIdleConnectionThatClosedIsNotSentTwice(t *testing.T) {
	var runs atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if runs.Add(1)%2 == 0 {
			panic(http.ErrAbortHandler) // after the task was read
		}
		w.Header().Set(target.HeaderTask, r.Header.Get(target.HeaderTask))
		_, _ = io.WriteString(w, `{}`)
	}))
	defer s.Close()
	sender := NewSender(nil, &report.Recorder{}, zap.NewNop())
	defer sender.Close()
	const sendings = 40
	for range sendings {
		sender.Send(context.Background(), sending(strings.TrimPrefix(s.URL, "http://"), time.Second))
	}
	if n := runs.Load(); n != sendings {
		t.Errorf("%d sendings were run %d times", sendings, n)
	}
}

// TestSecondAnswerCostsOneTask: a target answered a task twice, and each further task on that connection had the
// answer to the one before.
func TestSecondAnswerCostsOneTask(t *testing.T) {
	for _, status := range []string{"200 OK", "500 failed"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		go func() {
			stuttered := false // of all connections, which come one after the other
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				b := bufio.NewReader(c)
				for last := ""; ; {
					r, err := http.ReadRequest(b)
					if err != nil {
						break
					}
					body, _ := io.ReadAll(r.Body)
					if !stuttered && last != "" { // the second answer to the task before
						_, _ = io.WriteString(c, last)
						time.Sleep(20 * time.Millisecond)
						stuttered = true
					}
					if status != "200 OK" {
						body = nil
					}
					last = fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", status, target.HeaderTask, r.Header.Get(target.HeaderTask), len(body), body)
					_, _ = io.WriteString(c, last)
				}
				_ = c.Close()
			}
		}()
		sender := NewSender(nil, &report.Recorder{}, zap.NewNop())
		defer sender.Close()
		var discarded []int
		for i := range 6 {
			w := sending(l.Addr().String(), time.Second)
			w.Name = fmt.Sprintf("vm0-1-r%d", i)
			w.Body = fmt.Appendf(nil, "%d", i)
			r := sender.Send(t.Context(), w)
			for r.Unrun { // the connection was closed, as the caller of Send can see
				r = sender.Send(t.Context(), w)
			}
			if r.Code == code.OK && string(r.Answer) != string(w.Body) {
				t.Errorf("task %d got the answer %s", i, r.Answer)
			}
			if r.Code != code.OK && r.Code != code.TargetFailed {
				discarded = append(discarded, i)
			}
		}
		if len(discarded) != 1 || discarded[0] != 1 {
			t.Errorf("%s: the tasks %v had no answer of their own, want the second alone", status, discarded)
		}
	}
}
