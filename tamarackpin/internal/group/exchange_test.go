package group

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// TestLateHeartbeatReplyCounts: the reply of a VM that is behind arrives after
// exchangeTimeout; it still shows that the VM is alive.
func TestLateHeartbeatReplyCounts(t *testing.T) {
	const lag = 2 * exchangeTimeout
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var x peer.Mux
	peer.Handle(&x, methodExchange, func(context.Context, vm.ID, heartbeat) (heartbeat, error) {
		time.Sleep(lag)
		return heartbeat{Self: vm.Presence{VM: "ip-0a000002", FailureDomain: "a", Incarnation: 1, Callers: true}}, nil
	})
	server := &peer.Server{Self: "ip-0a000002", Mux: &x, Log: zap.NewNop(), Known: func(vm.ID) bool { return true }}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ctx, l)
	}()
	m := &peer.Mesh{Self: "ip-0a000001", Recorder: &report.Recorder{}, FailuresToRedial: 2, Address: func(vm.ID) (string, bool) { return l.Addr().String(), true }}
	t.Cleanup(func() {
		m.Close()
		stop()
		<-done
	})
	g, k, _ := newTestGroup("ip-0a000001", time.Now(), m)
	if err := g.sendHeartbeat(ctx, "ip-0a000002"); !errors.Is(err, errNoReplyYet) {
		t.Fatalf("a heartbeat whose reply takes %s: %v", lag, err)
	}
	known := func() bool { return len(k.VMs(func(vm.Present) bool { return true })) == 1 }
	for end := time.Now().Add(2 * lag); !known() && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	if !known() || g.ring.Len() != 1 {
		t.Errorf("the late reply was dropped: VM known %v, %d commands queued", known(), g.ring.Len())
	}
}

// TestGateIsConfirmedByEchoes: a heartbeat that was delayed on its way does not show that its sender still
// follows this VM. It shows that as of the newest heartbeat that the sender had received before.
func TestGateIsConfirmedByEchoes(t *testing.T) {
	now := time.Now()
	leading, _, _ := newTestGroup("ip-0a000001", now.Add(-time.Minute), nil)
	gate, _, _ := newTestGroup("ip-0a000002", now.Add(-2*time.Minute), nil)
	deliver := func(from, to *Group) {
		hb := from.heartbeat(to.self.VM)
		hb.Made = from.stampAt(time.Now()) // as in a reply
		to.contacts.record(time.Now(), process{from.self.VM, from.self.Incarnation}, hb.Made)
		to.applyHeartbeat(time.Now(), hb)
	}
	confirmedAt := func() time.Time { return leading.contacts.of(process{gate.self.VM, gate.self.Incarnation}).confirmedAt }
	deliver(gate, leading)
	if at := confirmedAt(); !at.IsZero() {
		t.Errorf("before any heartbeat of its own the gate is confirmed at %s", at)
	}
	sentAt := time.Now()
	deliver(leading, gate)
	delayed := gate.heartbeat(leading.self.VM)
	time.Sleep(50 * time.Millisecond)
	leading.applyHeartbeat(time.Now(), delayed)
	if late := confirmedAt().Sub(sentAt); late < -2*time.Millisecond || late > 20*time.Millisecond {
		t.Errorf("the gate is confirmed %s after the heartbeat that it had received", late)
	}
	c := leading.contactOf(time.Now(), Ticket{gate.self.VM, gate.self.Incarnation, 1})
	if c.ConfirmedAt != confirmedAt() || !c.ConfirmedAt.Before(c.HeardAt) {
		t.Errorf("the gate's contact is %+v, want it confirmed at %s, before its newest message", c, confirmedAt())
	}
	before := confirmedAt()
	delayed.Echo.Incarnation++
	delayed.Echo.Age *= 2
	if leading.applyHeartbeat(time.Now(), delayed); confirmedAt() != before {
		t.Error("the echo of another process confirms the gate")
	}
	earlierBuild := gate.heartbeat(leading.self.VM)
	earlierBuild.Made, earlierBuild.Echo = stamp{}, stamp{}
	now = time.Now()
	if leading.applyHeartbeat(now, earlierBuild); confirmedAt() != now {
		t.Errorf("after a heartbeat without stamps the gate is confirmed at %s, want its arrival", confirmedAt())
	}
}

// TestHeartbeatWithNewerClaimIsNoSignOfTheGate: a dispatcher that is behind extended leases because of the heartbeat
// that announces its successor, before it applied the claim.
func TestHeartbeatWithNewerClaimIsNoSignOfTheGate(t *testing.T) {
	g, _ := newLeadingGroup(t)
	g.publish(time.Now())
	gate, _, _ := newTestGroup(otherVM, time.Now().Add(-time.Minute), nil)
	ticket := Ticket{gate.self.VM, gate.self.Incarnation, 1}
	claim := g.groups[0].leadership.Claim()
	newer := lead.Claim{Fence: claim.Fence + 1, VM: "ip-0a000003", Incarnation: 1}
	for _, c := range []struct {
		name     string
		claim    lead.Claim
		division lead.Division
		counts   bool
	}{
		{"own claim", claim, g.division, true},
		{"no claim", lead.Claim{}, g.division, true},
		{"newer claim", newer, g.division, false},
		{"newer division", lead.Claim{}, lead.Division{Epoch: g.division.Epoch + 1, Groups: 1}, false},
	} {
		before := g.contactOf(time.Now(), ticket).HeardAt
		time.Sleep(5 * time.Millisecond)
		hb := gate.heartbeat(g.self.VM)
		hb.Claims, hb.Division, hb.Made = []lead.Claim{c.claim}, c.division, gate.stampAt(time.Now())
		g.receiveHeartbeat(t.Context(), hb) // Run has not seen it
		if counts := g.contactOf(time.Now(), ticket).HeardAt.After(before); counts != c.counts {
			t.Errorf("%s: extends the contact with the gate: %v, want %v", c.name, counts, c.counts)
		}
	}
}
