package peer

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/vm"
)

// echoed is a call of the tests.
type echoed struct {
	Texts []string `json:"texts"`
}

// Check refuses an empty call.
func (e echoed) Check() error {
	if len(e.Texts) == 0 {
		return errors.New("no texts")
	}
	return nil
}

// serveEcho serves one entry VM, and returns a mesh of another towards it.
func serveEcho(t testing.TB, from vm.ID) *Mesh {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var x Mux
	Handle(&x, "echo", func(_ context.Context, _ vm.ID, e echoed) (echoed, error) { return e, nil })
	Handle(&x, "refuse", func(context.Context, vm.ID, echoed) (echoed, error) {
		return echoed{}, code.New(code.QueueFull, "full")
	})
	Handle(&x, "hang", func(ctx context.Context, _ vm.ID, _ echoed) (echoed, error) {
		<-ctx.Done()
		return echoed{}, nil
	})
	s := &Server{Self: "vm1", Mux: &x, Log: zap.NewNop(), Known: func(id vm.ID) bool { return id == "vm0" }}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(ctx, l)
	}()
	m := &Mesh{Self: from, Address: func(id vm.ID) (string, bool) { return l.Addr().String(), id == "vm1" }, Recorder: &report.Recorder{}}
	t.Cleanup(func() {
		m.Close()
		stop()
		<-done
	})
	return m
}

func TestCallsAndRefusals(t *testing.T) {
	m := serveEcho(t, "vm0")
	ctx := context.Background()
	got, err := Call[echoed](ctx, m, "vm1", report.UseOther, "echo", echoed{[]string{"a"}})
	if err != nil || len(got.Texts) != 1 {
		t.Errorf("%v, %v", got, err)
	}
	for method, want := range map[Method]code.Code{"refuse": code.QueueFull, "unheard": code.NotFound} {
		_, err := Call[echoed](ctx, m, "vm1", report.UseOther, method, echoed{[]string{"a"}})
		if e, ok := Refusal(err); !ok || e.Code != want {
			t.Errorf("%s: %v", method, err)
		}
	}
	_, err = Call[echoed](ctx, m, "vm1", report.UseOther, "echo", echoed{})
	if e, ok := Refusal(err); !ok || e.Code != code.BadField {
		t.Errorf("parameters that do not check: %v", err)
	}
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err = Call[echoed](short, m, "vm1", report.UseOther, "hang", echoed{[]string{"a"}})
	if _, refused := Refusal(err); err == nil || refused || NotSent(err) {
		t.Errorf("a call without an answer: %v", err)
	}
}

// TestStrangersAreRefused: only entry VMs of the settings speak here.
func TestStrangersAreRefused(t *testing.T) {
	m := serveEcho(t, "vm9")
	_, err := Call[echoed](context.Background(), m, "vm1", report.UseOther, "echo", echoed{[]string{"a"}})
	if !NotSent(err) {
		t.Errorf("a stranger's call: %v", err)
	}
	_, err = Call[echoed](context.Background(), m, "vm7", report.UseOther, "echo", echoed{[]string{"a"}})
	if !NotSent(err) {
		t.Errorf("a call to a stranger: %v", err)
	}
}

// besideStuckVM returns a mesh towards vm1, which serves, and vm2, which has stopped
// reading, and a function that ends the connections of vm2.
func besideStuckVM(t *testing.T) (m *Mesh, endStuck func()) {
	t.Helper()
	small := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	l, err := small.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			conn := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(c, jsonrpc2.VarintObjectCodec{}), stuck{}, jsonrpc2.SetLogger(discard{}))
			defer conn.Close()
		}
	}()
	m = serveEcho(t, "vm0")
	m.FailuresToRedial = 1000 // no other rule than the write timeout ends the connection
	healthy := m.Address
	m.Address = func(id vm.ID) (string, bool) {
		if id == "vm2" {
			return l.Addr().String(), true
		}
		return healthy(id)
	}
	return m, func() { _ = l.Close() }
}

// connect opens the connection to an entry VM. A VM that is stuck stops reading with the
// notification that this sends.
func connect(t *testing.T, m *Mesh, to vm.ID) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(redialAfter) {
		err := m.Notify(t.Context(), to, report.UseOther, "echo", echoed{[]string{"x"}})
		if err == nil {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("connecting to %s: %v", to, err)
		}
	}
}

// callStuck makes a call to the VM that has stopped reading.
func callStuck(m *Mesh, patience time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, err := Call[echoed](ctx, m, "vm2", report.UseOther, "echo", echoed{[]string{"x"}})
	return err
}

// fill sends notifications to the VM that has stopped reading until one does not fit: its
// write takes longer than stuckAfter. It returns the channel on which the error of that
// one arrives. The messages are small: the race detector checks each copy of a message
// in one step that cannot be interrupted, a garbage collection waits for the end of that
// step, and every call of the process for the collection (issue 25).
func fill(m *Mesh, stuckAfter time.Duration) <-chan error {
	const messageBytes = 16 << 10
	var begun atomic.Int64 // the present write, in nanoseconds since 1970
	begun.Store(time.Now().UnixNano())
	ended := make(chan error, 1)
	go func() {
		message := echoed{[]string{strings.Repeat("x", messageBytes)}}
		for {
			begun.Store(time.Now().UnixNano())
			if err := m.Notify(context.Background(), "vm2", report.UseOther, "echo", message); err != nil {
				ended <- err
				return
			}
		}
	}()
	for time.Now().UnixNano()-begun.Load() < int64(stuckAfter) {
		time.Sleep(10 * time.Millisecond)
	}
	return ended
}

// TestPeerThatDoesNotRead: calls to a VM whose process is frozen fill the
// connection, and must give up soon after their time all the same; calls to others
// go on (issue 10).
func TestPeerThatDoesNotRead(t *testing.T) {
	const patience, writeTime = 250 * time.Millisecond, 700 * time.Millisecond
	m, _ := besideStuckVM(t)
	m.WriteTimeout = writeTime
	connect(t, m, "vm2")
	filled := fill(m, 200*time.Millisecond) // holds up the others
	var calls sync.WaitGroup
	for range 20 {
		calls.Go(func() {
			begun := time.Now()
			err := callStuck(m, patience)
			if took := time.Since(begun); err == nil || took > patience+writeTime+200*time.Millisecond {
				t.Errorf("a call that was given %s returned after %s: %v", patience, took, err)
			}
		})
	}
	for range 20 {
		begun := time.Now()
		if _, err := Call[echoed](context.Background(), m, "vm1", report.UseOther, "echo", echoed{[]string{"a"}}); err != nil || time.Since(begun) > patience {
			t.Errorf("a call to another VM took %s: %v", time.Since(begun), err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	calls.Wait()
	if err := <-filled; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the write that held up the calls ended with %v, want a timeout", err)
	}
}

// TestCallsToOthersEndBeforeStuckWrite: calls to other VMs end while a write to a VM that
// does not read is still held up, and calls wait behind it. Unlike the times of
// TestPeerThatDoesNotRead the order does not depend on the load of the machine.
func TestCallsToOthersEndBeforeStuckWrite(t *testing.T) {
	const calls, writeTime = 20, 30 * time.Second
	m, endStuck := besideStuckVM(t)
	m.WriteTimeout = writeTime
	connect(t, m, "vm1")
	connect(t, m, "vm2")
	filled := fill(m, 3*time.Second)
	var waiting sync.WaitGroup
	for range calls {
		waiting.Go(func() { _ = callStuck(m, 10*time.Millisecond) })
	}
	begun := time.Now()
	for range calls {
		if _, err := Call[echoed](t.Context(), m, "vm1", report.UseOther, "echo", echoed{[]string{"a"}}); err != nil {
			t.Errorf("a call to another VM: %v", err)
		}
	}
	if took := time.Since(begun); took > writeTime/2 {
		t.Errorf("%d calls to another VM took %s, beside a write that is held up for %s", calls, took, writeTime)
	}
	select {
	case err := <-filled:
		t.Fatalf("the write that is held up ended before the calls to another VM: %v", err)
	default:
	}
	endStuck()
	waiting.Wait()
	if err := <-filled; errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the write ended with %v, want an ended connection", err)
	}
}

// stuck answers the hello and then stops reading.
type stuck struct{}

// Handle answers the first call and blocks the reader with the next.
func (stuck) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if Method(r.Method) == methodHello {
		_ = c.Reply(ctx, r.ID, empty{})
		return
	}
	<-c.DisconnectNotify()
}

// BenchmarkCall measures one call with parts of 32 bytes, one after the other
// and from 32 goroutines at once.
func BenchmarkCall(b *testing.B) {
	for _, parts := range []int{1, 16, 128} {
		params := echoed{}
		for range parts {
			params.Texts = append(params.Texts, strings.Repeat("x", 32))
		}
		b.Run(fmt.Sprint(parts, "parts"), func(b *testing.B) {
			m := serveEcho(b, "vm0")
			for b.Loop() {
				if _, err := Call[echoed](context.Background(), m, "vm1", report.UseOther, "echo", params); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprint(parts, "parts,32 at once"), func(b *testing.B) {
			m := serveEcho(b, "vm0")
			b.SetParallelism(4)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := Call[echoed](context.Background(), m, "vm1", report.UseOther, "echo", params); err != nil {
						b.Fatal(err)
					}
				}
			})
		})
	}
}

// TestCallDoesNotOutlastItsContext: a call's time ends while another one dials a VM that
// does not answer its greeting (issue 17; soak, seeds 309, 409, 415 and 419).
func TestCallDoesNotOutlastItsContext(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	m := &Mesh{Self: "ip-7f000001", Recorder: new(report.Recorder), Address: func(vm.ID) (string, bool) { return l.Addr().String(), true }}
	dialling := make(chan struct{})
	go func() {
		defer close(dialling)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		_, _ = Call[struct{}](ctx, m, "ip-7f000002", report.UseForward, "x", struct{}{})
	}()
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	begun := time.Now()
	_, err = Call[struct{}](ctx, m, "ip-7f000002", report.UseForward, "x", struct{}{})
	if took := time.Since(begun); took > 300*time.Millisecond || !NotSent(err) {
		t.Errorf("a call with 100 ms returned after %s: %v", took, err)
	}
	<-dialling
}

// TestSlowPeerKeepsItsConnection guards against taking a VM that is merely behind for
// dead: calls whose time ends before its replies arrive must not close the connection, on
// which other calls still wait for their results.
func TestSlowPeerKeepsItsConnection(t *testing.T) {
	const lag, patience = 300 * time.Millisecond, 200 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var x Mux
	reply := func(after time.Duration) func(context.Context, vm.ID, echoed) (echoed, error) {
		return func(_ context.Context, _ vm.ID, e echoed) (echoed, error) {
			time.Sleep(after)
			return e, nil
		}
	}
	Handle(&x, "slow", reply(lag))
	Handle(&x, "long", reply(5*lag))
	s := &Server{Self: "vm1", Mux: &x, Log: zap.NewNop(), Known: func(vm.ID) bool { return true }}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(ctx, l)
	}()
	m := &Mesh{Self: "vm0", Address: func(vm.ID) (string, bool) { return l.Addr().String(), true }, Recorder: &report.Recorder{}, FailuresToRedial: 2}
	t.Cleanup(func() {
		m.Close()
		stop()
		<-done
	})
	long := make(chan error, 1)
	go func() {
		_, err := Call[echoed](ctx, m, "vm1", report.UseOther, "long", echoed{[]string{"a"}})
		long <- err
	}()
	for range 4 {
		short, cancel := context.WithTimeout(ctx, patience)
		_, err := Call[echoed](short, m, "vm1", report.UseOther, "slow", echoed{[]string{"a"}})
		cancel()
		if !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("a call with less time than the peer takes: %v", err)
		}
		time.Sleep(patience / 2)
	}
	if err := <-long; err != nil {
		t.Errorf("a call that waited for its result beside calls that timed out: %v", err)
	}
}

// TestDialOfVMWithoutPower: opening a connection to a VM that answers nothing takes
// DialTimeout, so that the next try reaches it soon after it started. The kernel alone
// sends the next opening packet after a second (incident inc-2f7e of kartela-print).
func TestDialOfVMWithoutPower(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for range 3 { // fill the queue of connections: further opening packets are dropped
		if c, err := net.DialTimeout("tcp", address, 50*time.Millisecond); err == nil {
			t.Cleanup(func() { _ = c.Close() })
		}
	}
	m := &Mesh{Self: "vm0", Address: func(vm.ID) (string, bool) { return address, true }, Recorder: &report.Recorder{}, DialTimeout: 100 * time.Millisecond}
	begun := time.Now()
	_, err = Call[echoed](t.Context(), m, "vm1", report.UseOther, "echo", echoed{[]string{"a"}})
	if took := time.Since(begun); !NotSent(err) || took > 500*time.Millisecond {
		t.Errorf("a call to a VM that does not answer took %s: %v", took, err)
	}
}

// TestPanicInHandlerEndsOneCall: a handler that panics answers its call with an internal
// error; the process, the connection and other calls go on.
func TestPanicInHandlerEndsOneCall(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var x Mux
	Handle(&x, "echo", func(_ context.Context, _ vm.ID, e echoed) (echoed, error) { return e, nil })
	Handle(&x, "index", func(_ context.Context, _ vm.ID, e echoed) (echoed, error) {
		return echoed{[]string{e.Texts[len(e.Texts)]}}, nil
	})
	core, logs := observer.New(zap.ErrorLevel)
	s := &Server{Self: "vm1", Mux: &x, Log: zap.New(core), Known: func(vm.ID) bool { return true }}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(ctx, l)
	}()
	m := &Mesh{Self: "vm0", Address: func(vm.ID) (string, bool) { return l.Addr().String(), true }, Recorder: &report.Recorder{}}
	t.Cleanup(func() {
		m.Close()
		stop()
		<-done
	})
	if err := m.Notify(ctx, "vm1", report.UseOther, "index", echoed{[]string{"a"}}); err != nil {
		t.Errorf("a notification: %v", err)
	}
	_, err = Call[echoed](ctx, m, "vm1", report.UseOther, "index", echoed{[]string{"a"}})
	if e, ok := Refusal(err); !ok || e.Code != code.Internal {
		t.Errorf("a call whose handler panics: %v", err)
	}
	if _, err := Call[echoed](ctx, m, "vm1", report.UseOther, "echo", echoed{[]string{"a"}}); err != nil {
		t.Errorf("the call after it: %v", err)
	}
	if logs.Len() != 2 {
		t.Errorf("%d faults were logged, want 2", logs.Len())
	}
}

// TestSecondReplyReachesNoOtherCall: a VM replies to each call twice, the second time while the next call waits.
func TestSecondReplyReachesNoOtherCall(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		var last *jsonrpc2.Response
		h := handlerFunc(func(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
			if last != nil {
				_ = conn.SendResponse(ctx, last)
				time.Sleep(5 * time.Millisecond)
			}
			last = &jsonrpc2.Response{ID: r.ID, Result: r.Params}
			_ = conn.SendResponse(ctx, last)
		})
		<-jsonrpc2.NewConn(t.Context(), jsonrpc2.NewBufferedStream(c, jsonrpc2.VarintObjectCodec{}), h, jsonrpc2.SetLogger(discard{})).DisconnectNotify()
	}()
	m := &Mesh{Self: "vm0", Address: func(vm.ID) (string, bool) { return l.Addr().String(), true }, Recorder: &report.Recorder{}}
	defer m.Close()
	for i := range 20 {
		want := fmt.Sprint(i)
		got, err := Call[echoed](t.Context(), m, "vm1", report.UseOther, "echo", echoed{[]string{want}})
		if err != nil || len(got.Texts) != 1 || got.Texts[0] != want {
			t.Fatalf("call %d: %v, %v", i, got, err)
		}
	}
}

// handlerFunc is a [jsonrpc2.Handler].
type handlerFunc func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request)

// Handle calls f.
func (f handlerFunc) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	f(ctx, conn, r)
}
