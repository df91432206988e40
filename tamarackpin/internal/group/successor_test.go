package group

import (
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/worker"
	"tamarackpin.example/tamarackpin/internal/fleet"
	"tamarackpin.example/tamarackpin/internal/peer"
)

const (
	testControlVM vm.ID = "ip-0a000009"
	testSuccessor vm.ID = "ip-0a000001"
	testNeighbour vm.ID = "ip-0a000003"
)

// successorTest has a control VM, a VM that takes over from one that drains, and a neighbour of both, over real connections.
type successorTest struct {
	control              *fleet.Knowledge
	successor, neighbour *Group
	addresses            map[vm.ID]string
}

func newSuccessorTest(t *testing.T) *successorTest {
	s := &successorTest{addresses: make(map[vm.ID]string)}
	now := time.Now()
	s.control = fleet.NewKnowledge(vm.Presence{VM: testControlVM, FailureDomain: "a", Incarnation: 1, Control: true}, zap.NewNop())
	var x peer.Mux
	s.control.Serve(&x)
	s.serve(t, testControlVM, &x)
	s.successor, s.neighbour = s.newGroup(t, testSuccessor, now), s.newGroup(t, testNeighbour, now)
	return s
}

func (s *successorTest) newGroup(t *testing.T, id vm.ID, now time.Time) *Group {
	m := &peer.Mesh{Self: id, Recorder: &report.Recorder{}, Address: func(id vm.ID) (string, bool) { return s.addresses[id], true }}
	g, _, x := newTestGroup(id, now.Add(-time.Minute), m)
	g.config.LeaseMax, g.config.StopMax = time.Second, 50*time.Millisecond
	g.config.Syncer.SetSeeds([]vm.ID{testControlVM})
	s.serve(t, id, x)
	t.Cleanup(m.Close)
	return g
}

func (s *successorTest) serve(t *testing.T, id vm.ID, x *peer.Mux) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.addresses[id] = l.Addr().String()
	done := make(chan struct{})
	go func() {
		defer close(done)
		server := peer.Server{Self: id, Mux: x, Log: zap.NewNop(), Known: func(vm.ID) bool { return true }}
		_ = server.Serve(t.Context(), l)
	}()
	t.Cleanup(func() { <-done })
}

// sync lets a VM sync with the control VM, and returns once it has.
func (s *successorTest) sync(t *testing.T, g *Group) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.config.Syncer.Run(t.Context())
	}()
	t.Cleanup(func() { <-done })
	await(t, "the first reply of the control VM", func() bool { return !g.config.Syncer.LastContact().IsZero() })
	time.Sleep(100 * time.Millisecond) // the next call waits at the control VM
}

// takeOver lets the successor replace a leader that begins to drain, with time that has passed for it before now.
func (s *successorTest) takeOver(t *testing.T, now time.Time) {
	g, leader := s.successor, vm.Presence{VM: "ip-0a000002", FailureDomain: "a", Incarnation: 1, Callers: true, Processor: 500}
	for at := now.Add(-10 * time.Second); at.Before(now); at = at.Add(followerTickInterval) {
		g.groups[0].leadership.RecordHeartbeat(at, leader)
		g.groups[0].leadership.RecordClaim(at, leader.VM, lead.Claim{Fence: 1 << 60, VM: leader.VM, Incarnation: leader.Incarnation})
		g.tickLeaderships(at)
	}
	leader.Draining = true
	g.groups[0].leadership.RecordHeartbeat(now, leader)
	if g.tickLeaderships(now); g.groups[0].pool == nil {
		t.Fatal("the VM did not take over from a leader that drains")
	}
	g.publish(now)
}

// announce has a worker announce itself to the control VM.
func (s *successorTest) announce(id worker.ID) {
	s.control.ObserveWorker(time.Now(), worker.Announcement{Worker: id, Incarnation: 1, Sequence: 1, Service: "s", Address: "10.0.0.9:1", FailureDomain: "a"}, 0, nil)
}

func await(t *testing.T, what string, f func() bool) {
	for end := time.Now().Add(5 * time.Second); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no %s within 5 s", what)
		}
	}
}

// TestSuccessorAsksControlVMAtOnce guards against a takeover in contact with a control VM that waits for the reply to its pending
// call, which comes after 0.8 s if there is no news, before it starts anything.
func TestSuccessorAsksControlVMAtOnce(t *testing.T) {
	s := newSuccessorTest(t)
	s.sync(t, s.successor)
	s.announce("w")
	now := time.Now()
	s.takeOver(t, now)
	await(t, "news of workers after the takeover", func() bool { return !s.successor.workersIncomplete(time.Now()) })
	if took := time.Since(now); took > 300*time.Millisecond {
		t.Errorf("the successor knew all workers only %s after its takeover", took)
	}
	s.successor.tick(time.Now())
	if takeover := s.successor.groups[0].pool.Takeover(time.Now()); takeover.WorkersIncomplete || takeover.Workers != 1 {
		t.Errorf("after the reply of the control VM, the pool has %+v", takeover)
	}
}

// TestSuccessorBehindACutAsksItsNeighbour guards against a successor without control VMs that starts tasks before it knows the
// workers as of its takeover, or that gets them only after the neighbour's control VM has replied of itself.
func TestSuccessorBehindACutAsksItsNeighbour(t *testing.T) {
	s := newSuccessorTest(t)
	s.sync(t, s.neighbour)
	s.successor.config.Syncer.RecordContact(time.Now().Add(-5 * time.Second))
	s.successor.receiveHeartbeat(t.Context(), s.neighbour.heartbeat(testSuccessor))
	if s.successor.workersIncomplete(time.Now()) {
		t.Fatal("the successor could not fetch the workers before its takeover")
	}
	s.announce("w")
	now := time.Now()
	s.takeOver(t, now)
	if !s.successor.workersIncomplete(time.Now()) {
		t.Fatal("the successor counts on the workers as of before its takeover")
	}
	await(t, "news of workers after the takeover", func() bool {
		hb := s.successor.heartbeat(testNeighbour)
		s.neighbour.applyHeartbeat(time.Now(), hb)
		s.successor.receiveHeartbeat(t.Context(), s.neighbour.heartbeat(testSuccessor))
		return !s.successor.workersIncomplete(time.Now())
	})
	if took := time.Since(now); took > 300*time.Millisecond {
		t.Errorf("the successor knew all workers only %s after its takeover", took)
	}
	s.successor.tick(time.Now())
	if takeover := s.successor.groups[0].pool.Takeover(time.Now()); takeover.WorkersIncomplete || takeover.Workers != 1 {
		t.Errorf("after the fetch from the neighbour, the pool has %+v", takeover)
	}
}
