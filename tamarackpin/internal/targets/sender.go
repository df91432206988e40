package targets

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/target"
)

// Times and bounds of the connections to targets.
const (
	dialTimeout      = time.Second
	idleConnTimeout  = 20 * time.Second
	idleConns        = 16 // to one target
	avoidBusy        = 5 * time.Millisecond
	avoidUnreachable = 100 * time.Millisecond
	maxHeaderBytes   = 16 << 10
)

// Sender sends tasks to targets. It is safe for concurrent use. It must be
// made by [NewSender].
type Sender struct {
	recorder *report.Recorder
	log      *zap.Logger
	scheme   string
	client   *http.Client
}

// NewSender returns a Sender that uses TLS if secure is not nil.
func NewSender(secure *tls.Config, r *report.Recorder, log *zap.Logger) *Sender {
	scheme := "http"
	if secure != nil {
		scheme = "https"
	}
	return &Sender{
		recorder: r,
		log:      log,
		scheme:   scheme,
		client: &http.Client{
			Transport: &http.Transport{
				DialContext:            dialCounted,
				TLSClientConfig:        secure,
				MaxIdleConnsPerHost:    idleConns,
				IdleConnTimeout:        idleConnTimeout,
				TLSHandshakeTimeout:    dialTimeout,
				MaxResponseHeaderBytes: maxHeaderBytes,
				DisableCompression:     true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Close closes the idle connections.
func (s *Sender) Close() { s.client.CloseIdleConnections() }

// countedConn counts the writes on a connection, so that a failed sending of
// which no byte left can be told from one that may have arrived.
type countedConn struct {
	net.Conn
	writes  atomic.Int64
	retired atomic.Bool
}

// retire closes the connection. The transport may not have noticed when it takes it for the
// next sending, of which nothing is written then.
func (c *countedConn) retire() {
	c.retired.Store(true)
	_ = c.Close()
}

// Write counts before it writes.
func (c *countedConn) Write(b []byte) (int, error) {
	if c.retired.Load() {
		return 0, net.ErrClosed
	}
	c.writes.Add(1)
	return c.Conn.Write(b)
}

func dialCounted(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c}, nil
}

// counter finds the counted connection under c.
func counter(c net.Conn) *countedConn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	counted, _ := c.(*countedConn)
	return counted
}

// flight watches how far one sending got.
type flight struct {
	conn   *countedConn
	before int64 // writes on conn before this sending
}

func (f *flight) got(i httptrace.GotConnInfo) {
	if f.conn = counter(i.Conn); f.conn != nil {
		f.before = f.conn.writes.Load()
	}
}

// left reports whether a byte of the sending may have left.
func (f *flight) left() bool { return f.conn != nil && f.conn.writes.Load() > f.before }

// Send sends one task and waits for the end of its run. It gives up at the
// sending's limit.
func (s *Sender) Send(ctx context.Context, w Sending) Result {
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, w.Limit)
	defer cancel()
	var f flight
	r := s.exchange(ctx, w, &f)
	r.Service = time.Since(begun)
	sent, wasted := 0, 0
	if f.left() {
		sent = 1
	}
	if r.Code != code.OK {
		wasted = sent
	}
	s.recorder.Message(report.UseTask, sent, wasted, sent*len(w.Body))
	return r
}

func (s *Sender) exchange(ctx context.Context, w Sending, f *flight) Result {
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: f.got})
	req, err := http.NewRequestWithContext(traced, http.MethodPost, s.scheme+"://"+w.Lease.Address+target.TaskPath, bytes.NewReader(w.Body))
	if err != nil {
		return Result{Code: code.Internal, Message: err.Error(), Unrun: true}
	}
	// Without GetBody the transport never sends a task a second time by itself.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(target.HeaderTask, w.Name)
	req.Header.Set(target.HeaderParty, string(w.Key.Party))
	req.Header.Set(target.HeaderKind, string(w.Key.Kind))
	req.Header.Set(target.HeaderTimeLimit, w.Limit.String())
	if w.Submission != "" {
		req.Header.Set(target.HeaderSubmission, w.Submission)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return s.failed(ctx, w, f, err)
	}
	defer resp.Body.Close()
	return s.answered(ctx, w, f, resp)
}

// failed judges a sending without an answer.
func (s *Sender) failed(ctx context.Context, w Sending, f *flight, err error) Result {
	switch {
	case !f.left() && ctx.Err() == nil:
		return Result{Code: code.TargetBusy, Message: fmt.Sprintf("target %s cannot be reached", w.Lease.Target), Unrun: true, Avoid: avoidUnreachable}
	case !f.left():
		return Result{Code: code.DeadlinePassed, Message: "the time ran out before the task was sent", Unrun: true}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return Result{Code: code.TimeLimit, Message: fmt.Sprintf("target %s did not answer within %s", w.Lease.Target, w.Limit)}
	}
	return Result{Code: code.TargetLost, Message: fmt.Sprintf("target %s was lost: %v", w.Lease.Target, err)}
}

// answered checks that an answer is whole and belongs to the task.
func (s *Sender) answered(ctx context.Context, w Sending, f *flight, resp *http.Response) Result {
	if resp.Header.Get(target.HeaderTask) != w.Name {
		// The answer to this task would be taken for that to the next one.
		if f.conn != nil {
			f.conn.retire()
		}
		return s.discard(w, "it belongs to another task")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, target.MaxAnswerBytes+1))
	switch {
	case err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return Result{Code: code.TimeLimit, Message: fmt.Sprintf("target %s did not finish its answer within %s", w.Lease.Target, w.Limit)}
	case err != nil:
		return s.discard(w, "it was cut short")
	case len(body) > target.MaxAnswerBytes:
		return s.discard(w, fmt.Sprintf("it is over %d bytes", target.MaxAnswerBytes))
	case !digestMatches(resp.Header.Get(target.HeaderDigest), body):
		return s.discard(w, "its digest does not match")
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(target.HeaderNotRun) == "true":
		return Result{Code: code.TargetBusy, Message: fmt.Sprintf("target %s is busy", w.Lease.Target), Unrun: true, Avoid: avoidBusy}
	case resp.StatusCode != http.StatusOK:
		return Result{Code: code.TargetFailed, Message: fmt.Sprintf("target %s answered status %d: %.200s", w.Lease.Target, resp.StatusCode, body)}
	case !json.Valid(body):
		return s.discard(w, "it is not JSON")
	}
	return Result{Code: code.OK, Answer: body}
}

func (s *Sender) discard(w Sending, why string) Result {
	event.Log(s.log, event.AnswerDiscarded, zap.String("target", string(w.Lease.Target)), zap.String("why", why))
	return Result{Code: code.BadAnswer, Message: fmt.Sprintf("the answer of target %s was discarded: %s", w.Lease.Target, why)}
}

// digestMatches compares body with a Content-Digest header, if there is one.
func digestMatches(header string, body []byte) bool {
	value, ok := strings.CutPrefix(header, "sha-256=:")
	if !ok {
		return true
	}
	sum := sha256.Sum256(body)
	return strings.TrimSuffix(value, ":") == base64.StdEncoding.EncodeToString(sum[:])
}
