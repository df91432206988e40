package ledgers

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
	"tamarackpin.example/internal/control"
	"tamarackpin.example/internal/ledger"
	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/queue"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/submission"
	"tamarackpin.example/internal/table"
	"tamarackpin.example/internal/target"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wire"
	"tamarackpin.example/tamarackpin/internal/dispatch"
	"tamarackpin.example/tamarackpin/internal/peer"
	"tamarackpin.example/tamarackpin/internal/targets"
)

var (
	testKey    = party.Key{Party: "p", Kind: "k"}
	testLedger = submission.LedgerID{FailureDomain: "durban-a"}
)

// hostAlone returns a Host that is the primary of one ledger and has no backup, and its
// Dispatcher with one target of four slots at address.
func hostAlone(t *testing.T, address string) (*Host, *dispatch.Dispatcher) {
	t.Helper()
	rows, err := table.NewSnapshot(1, []table.Row{{
		Key: testKey, Weight: 1, MaxInFlight: 10, MaxQueue: 10,
		Deadline: wire.Duration(20 * time.Second), TimeLimit: wire.Duration(20 * time.Second),
	}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	recorder := &report.Recorder{}
	d := dispatch.New(dispatch.Config{Recorder: recorder, Log: zap.NewNop()})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		d.Run(ctx)
	}()
	self := ledger.Holder{VM: "vm0", Incarnation: 1}
	view := &control.View{Index: 1, Table: rows, Assignments: []ledger.Assignment{{
		Ledger: testLedger, Generation: 1, Epoch: 1, Primary: self,
	}}}
	sender := targets.NewSender(nil, recorder, zap.NewNop())
	h := New(ctx, Config{
		Self: self, Domain: "durban-a", Retention: ledger.Retention{Submissions: 10, Bytes: 1 << 20, Answers: time.Minute},
		Mesh: &peer.Mesh{Self: "vm0", Recorder: recorder}, Dispatcher: d, Sender: sender, Recorder: recorder, Log: zap.NewNop(),
		View: func() *control.View { return view }, Alive: func(vm.ID) bool { return true },
	}, &peer.Mux{})
	t.Cleanup(func() {
		stop()
		h.Wait()
		<-stopped
		sender.Close()
	})
	lease := target.Lease{Announcement: target.Announcement{
		Target: "t01", Address: address, FailureDomain: "durban-a", Incarnation: 1, Sequence: 1, Slots: 4, Connections: 10, Kinds: []party.Kind{testKey.Kind},
	}, Expires: time.Now().Add(time.Minute)}
	d.SetTargets([]target.Lease{lease}, func(l target.Lease) int { return l.Slots }, 1)
	d.SetTable(rows, queue.LimitShare{})
	h.Assign(view)
	return h, d
}

// TestSlotsAreReleasedBeforeTheAnswer guards against a caller that has the result of a
// submission while its tasks still count as running and use slots: the end of the last
// task answered the caller, and the dispatcher was told of it only afterwards (issue 25).
// With the ledger's copy locked no end can be recorded, and so no caller be answered.
func TestSlotsAreReleasedBeforeTheAnswer(t *testing.T) {
	const tasks = 2
	arrived, finish := make(chan struct{}, tasks), make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-finish
		w.Header().Set(target.HeaderTask, r.Header.Get(target.HeaderTask))
		_, _ = io.Copy(w, r.Body)
	}))
	t.Cleanup(s.Close)
	h, d := hostAlone(t, strings.TrimPrefix(s.URL, "http://"))
	ids, refusal := h.issue(testLedger, 1)
	if refusal != nil {
		t.Fatal(refusal)
	}
	work := submission.Submission{Key: testKey}
	for range tasks {
		work.Tasks = append(work.Tasks, submission.Task{Body: []byte(`{}`)})
	}
	answered := make(chan submission.Status, 1)
	go func() {
		status, refusal := h.submit(t.Context(), ids[0], work, 20*time.Second)
		if refusal != nil {
			t.Error(refusal)
		}
		answered <- status
	}()
	for range tasks {
		<-arrived
	}
	if load := d.Load(t.Context()); load.Running != tasks {
		t.Fatalf("%d tasks run at the target, want %d", load.Running, tasks)
	}

	c, _ := h.hosted(testLedger)
	c.mu.Lock()
	close(finish)
	running := tasks
	for end := time.Now().Add(5 * time.Second); running > 0 && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		running = d.Load(t.Context()).Running
	}
	if running > 0 {
		t.Errorf("%d tasks count as running until their ends are recorded, want 0", running)
	}
	for _, state := range d.Targets(t.Context()) {
		if state.Used != 0 {
			t.Errorf("%d slots of %s are used until the ends are recorded, want 0", state.Used, state.Target)
		}
	}
	c.mu.Unlock()
	if status := <-answered; status.Code != code.OK {
		t.Errorf("the submission ended with %+v", status)
	}
}

// TestSecondBusyAnswerRunsTaskTwice: a target was busy, said so twice, and ran the task when it was sent again. The
// second answer was taken for that to this sending, and the task was sent once more.
func TestSecondBusyAnswerRunsTaskTwice(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var sendings, runs atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				b := bufio.NewReader(c)
				for busy := ""; ; {
					r, err := http.ReadRequest(b)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					name := r.Header.Get(target.HeaderTask)
					if sendings.Add(1) == 1 {
						busy = fmt.Sprintf("HTTP/1.1 503 busy\r\n%s: %s\r\n%s: true\r\nContent-Length: 0\r\n\r\n", target.HeaderTask, name, target.HeaderNotRun)
						_, _ = io.WriteString(c, busy)
						continue
					}
					runs.Add(1)
					_, _ = io.WriteString(c, busy)
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\n{}", target.HeaderTask, name)
					busy = ""
				}
			}()
		}
	}()
	h, _ := hostAlone(t, l.Addr().String())
	ids, refusal := h.issue(testLedger, 1)
	if refusal != nil {
		t.Fatal(refusal)
	}
	work := submission.Submission{Key: testKey, Tasks: []submission.Task{{Body: []byte(`{}`)}}}
	if _, refusal := h.submit(t.Context(), ids[0], work, 20*time.Second); refusal != nil {
		t.Fatal(refusal)
	}
	if n := runs.Load(); n != 1 {
		t.Errorf("the task was run %d times, want 1", n)
	}
}
