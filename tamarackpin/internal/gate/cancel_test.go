package gate

import (
	"context"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/routes"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/fleet"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// otherVM is an entry VM that a gate asks for the jobs to cancel.
type otherVM struct {
	listener net.Listener
	stop     context.CancelFunc // ends the listener and all connections; nil if calls are not served
	gate     *Gate              // nil if calls are not served
}

// newOtherVM returns an entry VM whose gate serves calls, or whose process is frozen.
func newOtherVM(t *testing.T, frozen bool) *otherVM {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if frozen {
		t.Cleanup(func() { _ = l.Close() })
		return &otherVM{listener: l}
	}
	return serveOtherVM(t, l)
}

// serveOtherVM returns an entry VM whose gate serves the calls that come to l.
func serveOtherVM(t *testing.T, l net.Listener) *otherVM {
	o := &otherVM{listener: l}
	var x peer.Mux
	o.gate = &Gate{}
	o.gate.Register(&x)
	s := &peer.Server{Self: "ip-0a000002", Mux: &x, Log: zap.NewNop(), Known: func(vm.ID) bool { return true }}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, l) }()
	o.stop = func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
		done <- nil
	}
	t.Cleanup(o.stop)
	return o
}

// gateBeside returns a gate that knows one other entry VM.
func gateBeside(o *otherVM) *Gate {
	k := fleet.NewKnowledge(vm.Presence{VM: "ip-0a000001", FailureDomain: "a", Incarnation: 1, Callers: true}, zap.NewNop())
	k.AdoptTable(&routes.Table{Version: 1}, "") // the evacuations are known with it
	k.ObserveVM(time.Now(), vm.Presence{VM: "ip-0a000002", FailureDomain: "b", Incarnation: 1, Callers: true}, 0)
	return &Gate{Knowledge: k, Log: zap.NewNop(), Mesh: &peer.Mesh{
		Self: "ip-0a000001", Recorder: &report.Recorder{}, Address: func(vm.ID) (string, bool) { return o.listener.Addr().String(), true },
	}}
}

// TestCancelWhileAnEntryVMDoesNotReply: a DELETE of a job that no gate holds got 503 for up to 90 s after the process of
// an entry VM had ended (issue 43). A VM that refuses connections has no process, so it holds no job. One that is silent
// may hold the job.
func TestCancelWhileAnEntryVMDoesNotReply(t *testing.T) {
	for _, c := range []struct {
		name   string
		frozen bool
		before func(g *Gate, o *otherVM) // what happens before the cancel
		want   error
	}{
		{"it replies", false, func(*Gate, *otherVM) {}, nil},
		{"its process has ended", false, func(_ *Gate, o *otherVM) { o.stop() }, nil},
		{"its process has ended, and it was called a moment ago", false, func(g *Gate, o *otherVM) {
			o.stop()
			if err := callOther(t, g); !peer.NotSent(err) {
				t.Errorf("a call to a process that has ended: %v", err)
			}
		}, nil},
		{"its process ends while it has an open connection", false, func(g *Gate, o *otherVM) {
			if err := callOther(t, g); err != nil {
				t.Error(err)
			}
			o.stop()
		}, nil},
		{"it is frozen", true, func(*Gate, *otherVM) {}, ErrCancelUnsure},
		{"its address is not known", false, func(g *Gate, _ *otherVM) {
			g.Mesh.Address = func(vm.ID) (string, bool) { return "", false }
		}, ErrCancelUnsure},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := newOtherVM(t, c.frozen)
			g := gateBeside(o)
			defer g.Mesh.Close()
			c.before(g, o)
			if found, err := g.Cancel(t.Context(), "7000"); found || !errors.Is(err, c.want) {
				t.Errorf("found %v, %v; want %v", found, err, c.want)
			}
		})
	}
}

// callOther makes a call to the other entry VM.
func callOther(t *testing.T, g *Gate) error {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err := peer.Call[bool](ctx, g.Mesh, "ip-0a000002", report.UseForward, methodCancel, job.ID("other"))
	return err
}

// TestCancelledJobIsNotRunLater: a request that a gate read after the cancel of its job, as it came late (review/7) or the VM was
// frozen and read the cancel first (review/8), had the job started.
func TestCancelledJobIsNotRunLater(t *testing.T) {
	for _, c := range []struct {
		name    string
		pending bool // while it is canceled
		cancel  func(g *Gate) error
	}{
		{"canceled here", false, func(g *Gate) error { _, err := g.Cancel(t.Context(), "a"); return err }},
		{"canceled here while it runs", true, func(g *Gate) error { _, err := g.Cancel(t.Context(), "a"); return err }},
		{"canceled by another VM", false, func(g *Gate) error { g.cancelHere(time.Now(), "a"); return nil }},
	} {
		t.Run(c.name, func(t *testing.T) {
			begun, end := make(chan struct{}, 1), make(chan struct{})
			s := &standInLeader{answer: func(int, pool.Request) runReply {
				begun <- struct{}{}
				<-end
				return runReply{Answer: pool.Answer{Outcome: job.Completed}, Answered: true, Admitted: true}
			}}
			g := s.serve(t)
			r := pool.Request{Job: job.Job{ID: "a"}, RemainingWait: 10 * time.Second}
			first := make(chan pool.Answer, 1)
			if c.pending {
				go func() { first <- g.Run(t.Context(), r) }()
				<-begun
			}
			if err := c.cancel(g); err != nil {
				t.Error(err)
			}
			if c.pending {
				if a := <-first; a.Outcome != job.Cancelled {
					t.Errorf("the job that was running: %+v", a)
				}
			}
			close(end)
			if a := g.Run(t.Context(), r); a.Outcome != job.Cancelled || len(begun) > 0 {
				t.Errorf("the job that came after its cancel: %+v, %d calls to its dispatcher", a, len(begun))
			}
			if a := g.Run(t.Context(), pool.Request{Job: job.Job{ID: "b"}, RemainingWait: 10 * time.Second}); a.Outcome != job.Completed {
				t.Errorf("another job: %+v", a)
			}
		})
	}
}

// TestCancelReachesOtherGates: the cancel of a job that was pending at the VM that got it was not told to the other VMs, to which
// a request for the same job may come.
func TestCancelReachesOtherGates(t *testing.T) {
	o := newOtherVM(t, false)
	g := gateBeside(o)
	defer g.Mesh.Close()
	ctx, end := context.WithCancelCause(t.Context())
	defer g.holdCancel(time.Now(), "a", end)()
	if found, err := g.Cancel(t.Context(), "a"); !found || err != nil || ctx.Err() == nil {
		t.Errorf("found %v, %v, the job's context ended with %v", found, err, ctx.Err())
	}
	for end := time.Now().Add(5 * time.Second); !o.gate.hasCancelled("a"); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the other VM was not told of the cancel")
		}
	}
}

// TestCancelReachesAVMAfterACut: a DELETE was answered as if the job were gone while the VM that held it was cut off with refused
// connections, and that VM was not told of the cancel after the cut either (review/9).
func TestCancelReachesAVMAfterACut(t *testing.T) {
	o := newOtherVM(t, false)
	g := gateBeside(o)
	defer g.Mesh.Close()
	address := o.listener.Addr().String()
	o.stop()
	for _, id := range []job.ID{"a", "b", "a"} {
		if found, err := g.Cancel(t.Context(), id); found || err != nil {
			t.Fatalf("found %v, %v", found, err)
		}
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	healed := serveOtherVM(t, l)
	for end := time.Now().Add(5 * time.Second); !healed.gate.hasCancelled("a") || !healed.gate.hasCancelled("b"); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the other VM was not told of the cancels")
		}
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		g.mu.Lock()
		left := len(g.undelivered)
		g.mu.Unlock()
		if left == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the delivery does not end")
		}
	}
}

// TestCancelsOfAForgottenVMAreDropped: cancels are kept for a VM only while it is known and they are remembered.
func TestCancelsOfAForgottenVMAreDropped(t *testing.T) {
	k := fleet.NewKnowledge(vm.Presence{VM: "ip-0a000001", FailureDomain: "a", Incarnation: 1, Callers: true}, zap.NewNop())
	k.AdoptTable(&routes.Table{Version: 1}, "") // the evacuations are known with it
	now := time.Now()
	k.ObserveVM(now, vm.Presence{VM: "ip-0a000002", FailureDomain: "b", Incarnation: 1, Callers: true}, 0)
	g := &Gate{Knowledge: k, undelivered: map[vm.ID][]job.ID{"ip-0a000002": {"old", "new"}, "ip-0a000003": {"new"}}}
	g.cancelled.add(now.Add(-cancelRetention), "old")
	g.cancelled.add(now.Add(-time.Second), "new")
	if id, found := g.nextUndelivered(now, "ip-0a000002"); !found || id != "new" {
		t.Errorf("next for a VM that is known: %q, %v", id, found)
	}
	if id, found := g.nextUndelivered(now, "ip-0a000003"); found {
		t.Errorf("next for a VM that is not known: %q", id)
	}
	if len(g.undelivered) != 1 {
		t.Errorf("kept: %v", g.undelivered)
	}
}

// hasCancelled reports whether a gate remembers the cancel of a job.
func (g *Gate) hasCancelled(id job.ID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cancelled.has(time.Now(), id)
}

// TestCancelledJobsAreBounded: canceled jobs are remembered for cancelRetention, and at most maxCancelled of them.
func TestCancelledJobsAreBounded(t *testing.T) {
	var c cancelledJobs
	now := time.Now()
	id := func(i int) job.ID { return job.ID(strconv.Itoa(i)) }
	for i := range maxCancelled + 2 {
		c.add(now, id(i))
	}
	c.add(now, id(maxCancelled+1)) // again
	if len(c.order) != maxCancelled || len(c.cancelledAt) != maxCancelled || c.has(now, id(1)) || !c.has(now, id(2)) {
		t.Errorf("%d and %d jobs are remembered, want the newest %d", len(c.order), len(c.cancelledAt), maxCancelled)
	}
	later := now.Add(cancelRetention)
	if c.has(later, id(2)) {
		t.Error("a job is remembered for too long")
	}
	if c.add(later, "new"); len(c.order) != 1 || len(c.cancelledAt) != 1 || !c.has(later, "new") {
		t.Errorf("%d and %d jobs are remembered after cancelRetention", len(c.order), len(c.cancelledAt))
	}
}
