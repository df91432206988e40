package group

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/fleet"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// TestLeaderLearnsOfItsSuccessorFromControlVM: a leader that hears a control VM, but none of its peers, led on beside
// its successor.
func TestLeaderLearnsOfItsSuccessorFromControlVM(t *testing.T) {
	const control, successor = vm.ID("ip-0a000001"), vm.ID("ip-0a000003")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	var loops sync.WaitGroup
	k := fleet.NewKnowledge(vm.Presence{VM: control, FailureDomain: "z", Incarnation: 1, Control: true}, zap.NewNop())
	var x peer.Mux
	k.Serve(&x)
	loops.Go(func() {
		server := peer.Server{Self: control, Mux: &x, Log: zap.NewNop(), Known: func(vm.ID) bool { return true }}
		_ = server.Serve(ctx, l)
	})
	start := func(id vm.ID) (*Group, *fleet.Knowledge) {
		m := &peer.Mesh{Self: id, Recorder: &report.Recorder{}, Address: func(vm.ID) (string, bool) { return l.Addr().String(), true }}
		g, k, _ := newTestGroup(id, time.Now(), m)
		g.config.Syncer.SetSeeds([]vm.ID{control})
		loops.Go(func() {
			g.config.Syncer.Run(ctx)
			m.Close()
		})
		return g, k
	}
	t.Cleanup(func() {
		stop()
		loops.Wait()
	})
	g, _ := start("ip-0a000002")
	election := g.groups[0].leadership
	tickUntil := func(leads bool, limit time.Duration) bool {
		for end := time.Now().Add(limit); election.IsLeader() != leads && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			g.tickLeaderships(time.Now())
		}
		return election.IsLeader() == leads
	}
	if !tickUntil(true, 10*time.Second) {
		t.Fatal("it does not lead")
	}
	claim := election.Claim()
	_, other := start(successor)
	other.SetReports([]pool.Report{{FailureDomain: "a", VM: successor, Incarnation: 5, Fence: claim.Fence + 1}})
	if !tickUntil(false, 10*time.Second) {
		t.Fatalf("it leads under %+v after the report of its successor, which a control VM has", claim)
	}
	if tickUntil(true, 2*time.Second) {
		t.Errorf("it took the lead back under %+v while its successor reports", election.Claim())
	}
}
