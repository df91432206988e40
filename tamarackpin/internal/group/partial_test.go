package group

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/routes"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/worker"
	"tamarackpin.example/tamarackpin/internal/fleet"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// newTestGroup returns the Group of a VM whose process started at startedAt, its
// knowledge of the fleet and the handlers of its peer calls. A nil Mesh stands for one that reaches no VM.
func newTestGroup(id vm.ID, startedAt time.Time, m *peer.Mesh) (*Group, *fleet.Knowledge, *peer.Mux) {
	if m == nil {
		m = &peer.Mesh{}
	}
	k := fleet.NewKnowledge(vm.Presence{VM: id, FailureDomain: "a", Incarnation: vm.Incarnation(startedAt.UnixMilli()), Callers: true}, zap.NewNop())
	k.AdoptTable(&routes.Table{Version: 1}, "") // the evacuations are known with it
	var x peer.Mux
	k.Serve(&x)
	a := &fleet.Syncer{Knowledge: k, Mesh: m, Log: zap.NewNop()}
	return New(startedAt, Config{Knowledge: k, Syncer: a, Mesh: m, Log: zap.NewNop()}, &x), k, &x
}

// TestFreshVMAsksOneThatKnowsAllWorkers guards against a restarted process that takes the
// workers it knows for all: it may lack some until it has fetched them from a VM that
// lacks none (issue 10; bench day hunt-b8ec-3 of bunkerline).
func TestFreshVMAsksOneThatKnowsAllWorkers(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	now := time.Now()
	old, oldKnowledge, x := newTestGroup("ip-0a000001", now.Add(-time.Minute), nil)
	oldKnowledge.ObserveWorker(now, worker.Announcement{Worker: "w", Incarnation: 1, Sequence: 1, Service: "s", Address: "10.0.0.9:1", FailureDomain: "a"}, 0, nil)
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
	fresh, freshKnowledge, _ := newTestGroup("ip-0a000002", now, m)
	if old.workersIncomplete(now) || !fresh.workersIncomplete(now) {
		t.Fatalf("may lack workers: old VM %v, fresh VM %v", old.workersIncomplete(now), fresh.workersIncomplete(now))
	}
	hb := old.heartbeat(fresh.self.VM)
	hb.WorkersIncomplete = true
	fresh.receiveHeartbeat(ctx, hb)
	if !fresh.workersIncomplete(now) {
		t.Error("workers fetched from a VM that may lack some count as complete")
	}
	fresh.receiveHeartbeat(ctx, old.heartbeat(fresh.self.VM))
	if workers, _ := freshKnowledge.Workers("a", 0); fresh.workersIncomplete(now) || len(workers) != 1 {
		t.Errorf("after fetching from the old VM: may lack workers: %v, knows %d", fresh.workersIncomplete(now), len(workers))
	}
	later := now.Add(worker.AnnouncementTimeout)
	fresh.config.Syncer.RecordContact(later)
	if fresh.workersIncomplete(later) {
		t.Error("may lack workers, although all had time to announce themselves")
	}
}

// TestVMBehindACutAsksOneThatKnowsAllWorkers guards against a dispatcher that is cut off from the
// control VMs and takes the workers that it knew before for all: its predecessor may have started
// tasks on workers that announced themselves since, and those tasks started again.
func TestVMBehindACutAsksOneThatKnowsAllWorkers(t *testing.T) {
	now := time.Now()
	cutOff, _, _ := newTestGroup("ip-0a000001", now.Add(-time.Minute), nil)
	cutOff.config.Syncer.RecordContact(now)
	if cutOff.workersIncomplete(now.Add(maxWorkerNewsAge)) {
		t.Error("may lack workers, although a control VM replied lately")
	}
	if !cutOff.workersIncomplete(now.Add(2 * maxWorkerNewsAge)) {
		t.Errorf("counts on knowing all workers %s after the last reply of a control VM", 2*maxWorkerNewsAge)
	}
	at := now.Add(2 * maxWorkerNewsAge)
	cutOff.workersCompleteAt.Store(&at) // fetched from a neighbour
	if cutOff.workersIncomplete(at) || !cutOff.workersIncomplete(at.Add(2*maxWorkerNewsAge)) {
		t.Error("a fetch from a neighbour counts for another time than a reply of a control VM")
	}
}

// TestSuccessorBehindACutLacksNewWorkers: a VM that is cut off from all control VMs takes over with the workers that a neighbour
// knew half a second before. It does not know one that has started since, on which its predecessor runs a task (bench day
// successor-behind-a-cut of mwanga-pin, seed 1031055958199).
func TestSuccessorBehindACutLacksNewWorkers(t *testing.T) {
	now := time.Now()
	g, _, _ := newTestGroup("ip-0a000001", now.Add(-time.Minute), nil)
	g.config.LeaseMax, g.config.StopMax = time.Second, 50*time.Millisecond
	g.config.Syncer.RecordContact(now.Add(-5 * time.Second))
	fetched := now.Add(-500 * time.Millisecond)
	g.workersCompleteAt.Store(&fetched)
	for at := now.Add(-10 * time.Second); at.Before(now); at = at.Add(followerTickInterval) {
		g.groups[0].leadership.RecordHeartbeat(at, vm.Presence{VM: "ip-0a000002", FailureDomain: "a", Incarnation: 1, Callers: true, Processor: 500})
		g.groups[0].leadership.RecordClaim(at, "ip-0a000002", lead.Claim{Fence: 1 << 60, VM: "ip-0a000002", Incarnation: 1})
		g.tickLeaderships(at)
	}
	g.groups[0].leadership.RecordHeartbeat(now, vm.Presence{VM: "ip-0a000002", FailureDomain: "a", Incarnation: 1, Callers: true, Processor: 500, Draining: true})
	if g.tickLeaderships(now); g.groups[0].pool == nil {
		t.Fatal("the VM did not take over from a leader that drains")
	}
	if takeover := g.groups[0].pool.Takeover(now); !takeover.WorkersIncomplete || takeover.RunsKnown {
		t.Errorf("at its takeover the VM considers itself to know all workers: %+v", takeover)
	}
}
