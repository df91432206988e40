package member

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/settings"
	"tamarackpin.example/internal/target"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wire"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// newTestMember is entry VM 0 of a deployment of vms, three to a failure domain.
func newTestMember(vms int, targets func([]target.Lease, func(target.Lease) int, int)) *Member {
	var all []settings.VM
	for i := range vms {
		all = append(all, settings.VM{VM: vm.ID(fmt.Sprint("vm", i)), FailureDomain: vm.FailureDomain(fmt.Sprint("domain-", i/3))})
	}
	return New(Config{
		Self: all[0], Incarnation: 1, VMs: all, Log: zap.NewNop(), Mesh: &peer.Mesh{},
		Demand: func() int { return 0 }, ControlIndex: func() uint64 { return 0 },
		Targets: targets, Heard: func(vm.Heartbeat) {},
	}, &peer.Mux{})
}

func announcement(i int, sequence uint64) target.Announcement {
	return target.Announcement{
		Target: target.ID(fmt.Sprint("target-", i)), Address: "127.0.0.1:9000", FailureDomain: "domain-0",
		Incarnation: 1, Sequence: sequence, Slots: 8, Connections: 60, Kinds: []party.Kind{"slot_booking", "stock_batch"},
	}
}

// TestRenewalsAreSmall: between two full announcements only what changes is
// passed on, and it keeps the lease alive as the full one does.
func TestRenewalsAreSmall(t *testing.T) {
	live := 0
	sender, receiver := newTestMember(3, func([]target.Lease, func(target.Lease) int, int) {}), newTestMember(3, func(l []target.Lease, _ func(target.Lease) int, _ int) { live = len(l) })
	full, short := 0, 0
	for sequence := range uint64(2 * fullEvery) {
		a := announcement(1, sequence+1)
		sender.mu.Lock()
		sender.book.Observe(time.Now(), a, 0)
		sender.queuePass(time.Now(), a)
		message := sender.takePass(time.Now(), "vm1")
		sender.mu.Unlock()
		full += len(message.Announcements)
		short += len(message.Renewals)
		b, err := json.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		var arrived Announced
		if err := wire.DecodeStrict(b, &arrived); err != nil {
			t.Fatal(err)
		}
		if _, err := receiver.announced(context.Background(), "vm0", arrived); err != nil {
			t.Fatal(err)
		}
		receiver.mu.Lock()
		l := receiver.book.Live(time.Now())
		receiver.mu.Unlock()
		if len(l) != 1 || l[0].Sequence != sequence+1 {
			t.Fatalf("after renewal %d the receiver has %+v", sequence+1, l)
		}
	}
	if full != 2 || short != 2*fullEvery-2 {
		t.Errorf("%d were passed on in full and %d as renewals", full, short)
	}
	receiver.refresh()
	if live != 1 {
		t.Errorf("%d targets are live", live)
	}
}

// TestRestartedPeerIsToldInFull: an entry VM that restarts before it counts as
// dead knows no target (TestRollingRestart was refused as no_target, issue 4).
func TestRestartedPeerIsToldInFull(t *testing.T) {
	m := newTestMember(3, func([]target.Lease, func(target.Lease) int, int) {})
	m.book.Observe(time.Now(), announcement(1, 0), 0)
	pass := func(sequence uint64) Announced {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.queuePass(time.Now(), announcement(1, sequence))
		return m.takePass(time.Now(), "vm1")
	}
	for step, c := range []struct {
		incarnation vm.Incarnation
		full        int
	}{{1, 1}, {1, 0}, {2, 1}, {2, 0}} {
		h := vm.Heartbeat{VM: "vm1", FailureDomain: "domain-0", Incarnation: c.incarnation, Sequence: uint64(step + 1)}
		if _, err := m.heartbeat(context.Background(), "vm1", h); err != nil {
			t.Fatal(err)
		}
		if got := pass(uint64(step + 1)); len(got.Announcements) != c.full {
			t.Errorf("step %d: %d in full, want %d", step, len(got.Announcements), c.full)
		}
	}
}

// TestUnknownRenewalWaitsForTheFullOne: a renewal alone does not make a target.
func TestUnknownRenewalWaitsForTheFullOne(t *testing.T) {
	m := newTestMember(3, func([]target.Lease, func(target.Lease) int, int) {})
	for _, r := range []target.Renewal{{Target: "target-1", Incarnation: 1, Sequence: 5}, {Target: "target-1", Incarnation: 2, Sequence: 1}} {
		if _, err := m.announced(context.Background(), "vm1", Announced{Renewals: []AgedRenewal{{Renewal: r}}}); err != nil {
			t.Fatal(err)
		}
		if live := m.book.Live(time.Now()); len(live) != 0 {
			t.Errorf("a renewal made %+v", live)
		}
	}
}

// BenchmarkRefresh measures the regular work of membership, by targets of the
// failure domain with 24 entry VMs, and by entry VMs with 85 targets.
func BenchmarkRefresh(b *testing.B) {
	for _, size := range []struct{ vms, targets int }{{24, 17}, {24, 85}, {24, 250}, {7, 85}, {48, 85}} {
		b.Run(fmt.Sprint(size.vms, "vms,", size.targets, "targets"), func(b *testing.B) {
			m := newTestMember(size.vms, func(live []target.Lease, part func(target.Lease) int, _ int) {
				for _, l := range live {
					part(l)
				}
			})
			now := time.Now().Add(time.Hour) // leases that outlast the run
			for i := range size.vms {
				m.view.Observe(now, vm.Heartbeat{VM: vm.ID(fmt.Sprint("vm", i)), FailureDomain: vm.FailureDomain(fmt.Sprint("domain-", i/3)), Incarnation: 1, Sequence: 1 << 40})
			}
			for i := range size.targets {
				m.book.Observe(now, announcement(i, 1), 0)
			}
			for b.Loop() {
				m.refresh()
			}
		})
	}
}

// BenchmarkPassOn measures the bytes that one renewal of one target costs on its
// way to another entry VM, by the targets that share a message.
func BenchmarkPassOn(b *testing.B) {
	for _, targets := range []int{17, 85, 250} {
		b.Run(fmt.Sprint(targets, "targets"), func(b *testing.B) {
			m := newTestMember(3, func([]target.Lease, func(target.Lease) int, int) {})
			sequence, bytes, renewals := uint64(0), 0, 0
			for b.Loop() {
				sequence++
				now := time.Now()
				for i := range targets {
					m.queuePass(now, announcement(i, sequence))
				}
				out, err := json.Marshal(m.takePass(now, "vm1"))
				if err != nil {
					b.Fatal(err)
				}
				bytes += len(out)
				renewals += targets
			}
			b.ReportMetric(float64(bytes)/float64(renewals), "bytes/renewal")
		})
	}
}
