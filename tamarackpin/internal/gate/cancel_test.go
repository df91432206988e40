package gate

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/fleet"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// otherVM is an entry VM that a gate asks for the jobs to cancel.
type otherVM struct {
	listener net.Listener
	stop     context.CancelFunc // ends the listener and all connections; nil if calls are not served
}

// newOtherVM returns an entry VM whose gate serves calls, or whose process is frozen.
func newOtherVM(t *testing.T, frozen bool) *otherVM {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o := &otherVM{listener: l}
	if frozen {
		t.Cleanup(func() { _ = l.Close() })
		return o
	}
	var x peer.Mux
	(&Gate{}).Register(&x)
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
			k := fleet.NewKnowledge(vm.Presence{VM: "ip-0a000001", FailureDomain: "a", Incarnation: 1, Callers: true}, zap.NewNop())
			k.ObserveVM(time.Now(), vm.Presence{VM: "ip-0a000002", FailureDomain: "b", Incarnation: 1, Callers: true}, 0)
			g := &Gate{Knowledge: k, Log: zap.NewNop(), Mesh: &peer.Mesh{
				Self: "ip-0a000001", Recorder: &report.Recorder{}, Address: func(vm.ID) (string, bool) { return o.listener.Addr().String(), true },
			}}
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
