package group

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/worker"
	"tamarackpin.example/tamarackpin/internal/fleet"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// started returns the Group of a VM whose process started at begun, and what it
// serves to others.
func started(id vm.ID, begun time.Time, m *peer.Mesh) (*Group, *fleet.Knowledge, *peer.Mux) {
	k := fleet.NewKnowledge(vm.Presence{VM: id, FailureDomain: "a", Incarnation: vm.Incarnation(begun.UnixMilli()), Callers: true}, zap.NewNop())
	var x peer.Mux
	k.Serve(&x)
	a := &fleet.Syncer{Knowledge: k, Mesh: m, Log: zap.NewNop()}
	return New(begun, Config{Knowledge: k, Asker: a, Mesh: m, Log: zap.NewNop()}, &x), k, &x
}

// TestFreshVMAsksOneThatKnowsAllWorkers: a process that started a moment ago may lack
// workers, until a VM that lacks none has told it (issue 10; hunt-b8ec-3 of
// bunkerline).
func TestFreshVMAsksOneThatKnowsAllWorkers(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	now := time.Now()
	old, known, x := started("ip-0a000001", now.Add(-time.Minute), nil)
	known.ObserveWorker(now, worker.Announcement{Worker: "w", Incarnation: 1, Sequence: 1, Service: "s", Address: "10.0.0.9:1", FailureDomain: "a"}, 0)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		server := peer.Server{Self: "ip-0a000001", Mux: x, Log: zap.NewNop(), Known: func(vm.ID) bool { return true }}
		_ = server.Serve(ctx, l)
	}()
	m := &peer.Mesh{Self: "ip-0a000002", Recorder: &report.Recorder{}, Address: func(vm.ID) (string, bool) { return l.Addr().String(), true }}
	t.Cleanup(func() {
		m.Close()
		stop()
		<-done
	})
	fresh, knows, _ := started("ip-0a000002", now, m)
	if old.partial(now) || !fresh.partial(now) {
		t.Fatalf("the old VM lacks workers: %v, the fresh one: %v", old.partial(now), fresh.partial(now))
	}
	s := old.sign()
	s.Partial = true
	fresh.heard(ctx, s)
	if !fresh.partial(now) {
		t.Error("a VM that may lack workers itself completes what another knows")
	}
	fresh.heard(ctx, old.sign())
	if workers, _ := knows.Workers("a", 0); fresh.partial(now) || len(workers) != 1 {
		t.Errorf("after it was told: may lack workers: %v, knows %d", fresh.partial(now), len(workers))
	}
	if later := now.Add(worker.SilentAfter); fresh.partial(later) {
		t.Error("after all workers had time to announce themselves it may still lack some")
	}
}
