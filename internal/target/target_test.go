package target

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/vm"
)

// A fixed seed makes runs reproducible; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

var start = time.Unix(1000, 0)

func announcement(id string, incarnation, sequence int, leaving bool) Announcement {
	return Announcement{
		Target: ID(id), Address: "127.0.0.1:9000", FailureDomain: "arusha",
		Incarnation: vm.Incarnation(incarnation), Sequence: uint64(sequence),
		Slots: 8, Connections: 60, Kinds: []party.Kind{"k"}, Leaving: leaving,
	}
}

// received is an announcement as the naive book records it.
type received struct {
	a      Announcement
	sentAt time.Time // when the target sent it
}

// naiveLive is a reference implementation of Book.Usable: the newest of all
// announcements of id is not leaving and was sent less than LeaseDuration ago.
func naiveLive(all []received, id ID, now time.Time) bool {
	var newest *received
	for i := range all {
		h := &all[i]
		if h.a.Target != id {
			continue
		}
		if newest == nil || h.a.Incarnation > newest.a.Incarnation ||
			h.a.Incarnation == newest.a.Incarnation && h.a.Sequence > newest.a.Sequence {
			newest = h
		}
	}
	return newest != nil && !newest.a.Leaving && now.Sub(newest.sentAt) < LeaseDuration
}

// TestBookAgainstNaive compares Book with naiveLive. Announcements arrive late,
// twice, out of order and by several routes, from targets that restart, leave and
// flap.
func TestBookAgainstNaive(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var b Book
		var all []received
		now := start
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(r, "ms")) * time.Millisecond)
			a := announcement(rapid.SampledFrom([]string{"t1", "t2", "t3"}).Draw(r, "id"),
				rapid.IntRange(1, 3).Draw(r, "incarnation"), rapid.IntRange(1, 20).Draw(r, "sequence"),
				rapid.IntRange(0, 5).Draw(r, "leaving") == 0)
			age := time.Duration(rapid.IntRange(0, 500).Draw(r, "age")) * time.Millisecond
			known := false
			for _, h := range all {
				known = known || h.a.Target == a.Target && h.a.Incarnation == a.Incarnation && h.a.Sequence == a.Sequence
			}
			b.Observe(now, a, age)
			if !known {
				all = append(all, received{a, now.Add(-age)})
			}
			b.Forget(now)
			for _, id := range []ID{"t1", "t2", "t3"} {
				if got, want := b.Usable(now, id), naiveLive(all, id, now); got != want {
					r.Fatalf("%s at %s: usable %v, want %v", id, now.Sub(start), got, want)
				}
			}
		}
	})
}

// TestDeadTargetGetsNothingAfterThreeSeconds holds the lease to the documented bound
// of 3 s, and to outlasting two lost renewals.
func TestDeadTargetGetsNothingAfterThreeSeconds(t *testing.T) {
	if worst := LeaseDuration; worst > 3*time.Second {
		t.Errorf("a lease lasts %s, want at most 3s", worst)
	}
	if LeaseDuration < 3*RenewInterval {
		t.Errorf("a lease of %s does not outlast two lost renewals of %s", LeaseDuration, RenewInterval)
	}
}

// TestPartsAddUp checks that parts computed from the same claims add up to the slots.
func TestPartsAddUp(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		slots := rapid.IntRange(1, 64).Draw(r, "slots")
		var claims []Claim
		for i := range rapid.IntRange(1, 5).Draw(r, "vms") {
			claims = append(claims, Claim{VM: vm.ID(fmt.Sprint("vm", i)), Demand: rapid.IntRange(0, 3000).Draw(r, "demand")})
		}
		sum := 0
		for _, n := range Split("t1", slots, claims) {
			if n < 0 {
				r.Fatalf("negative part %d", n)
			}
			sum += n
		}
		if sum != slots {
			r.Fatalf("parts of %d slots add up to %d", slots, sum)
		}
	})
}

func TestSlotsTakeTheFastestFree(t *testing.T) {
	var s Slots
	leases := []Lease{{Announcement: announcement("t1", 1, 1, false)}, {Announcement: announcement("t2", 1, 1, false)}}
	s.Set(start, leases, func(Lease) int { return 1 })
	speed := func(id ID) float64 { return map[ID]float64{"t1": 1, "t2": 3}[id] }
	var got []ID
	for range 3 {
		if l, ok := s.Acquire(Requirements{Kind: "k"}, speed); ok {
			got = append(got, l.Target)
		}
	}
	if len(got) != 2 || got[0] != "t2" || got[1] != "t1" {
		t.Errorf("slots were acquired of %v, want t2, t1", got)
	}
	s.Set(start, leases[:1], func(Lease) int { return 1 })
	s.Release("t2", Requirements{Kind: "k"})
	if _, ok := s.Acquire(Requirements{Kind: "k"}, speed); ok {
		t.Error("a slot was acquired of a target that is no longer live")
	}
	if _, ok := s.Acquire(Requirements{Kind: "other"}, speed); ok {
		t.Error("a slot was acquired for a kind that no target runs")
	}
}

// TestHealth checks that failures across rows quarantine a target and those of one
// row do not, that a success ends the quarantine, and that at most 3 of 10 targets
// are quarantined.
func TestHealth(t *testing.T) {
	row1, row2 := party.Key{Party: "p", Kind: "k"}, party.Key{Party: "q", Kind: "k"}
	var h Health
	for range 50 {
		h.Observe(start, "t1", row1, false, 10)
	}
	if h.Quarantined("t1") {
		t.Error("failures of one row alone quarantined a target")
	}
	h.Observe(start, "t1", row2, false, 10)
	if !h.Quarantined("t1") || h.Usable(start, "t1") {
		t.Error("a target that failed tasks of two rows is not quarantined")
	}
	if !h.Usable(start.Add(probeInterval), "t1") {
		t.Error("a quarantined target gets no probe after probeInterval")
	}
	h.Observe(start, "t1", row1, true, 10)
	if h.Quarantined("t1") || !h.Usable(start, "t1") {
		t.Error("a success did not end the quarantine")
	}
	for _, id := range []ID{"a", "b", "c", "d"} {
		for range quarantineFailures {
			h.Observe(start, id, row1, false, 10)
			h.Observe(start, id, row2, false, 10)
		}
	}
	if n := h.quarantinedCount(); n != 3 {
		t.Errorf("%d of 10 targets are quarantined, want 3", n)
	}
}

func TestBackoffDoubles(t *testing.T) {
	var h Health
	h.BackOff(start, "t1", 5*time.Millisecond)
	if h.Usable(start.Add(4*time.Millisecond), "t1") || !h.Usable(start.Add(5*time.Millisecond), "t1") {
		t.Error("the first backoff is not 5ms")
	}
	h.BackOff(start, "t1", 5*time.Millisecond)
	if h.Usable(start.Add(9*time.Millisecond), "t1") {
		t.Error("the second backoff is not doubled")
	}
	h.Observe(start, "t1", party.Key{}, true, 1)
	if !h.Usable(start, "t1") {
		t.Error("a success did not end the backoff")
	}
}

// TestGainsWaitForLosses checks that two entry VMs that learn of a new division
// within increaseDelay of each other never use more slots together than there are.
func TestGainsWaitForLosses(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const slots = 8
		var a, b Slots
		l := []Lease{{Announcement: announcement("t1", 1, 1, false)}}
		share, now := slots/2, start
		a.Set(now, l, func(Lease) int { return share })
		b.Set(now, l, func(Lease) int { return slots - share })
		for range rapid.IntRange(1, 40).Draw(r, "divisions") {
			share = rapid.IntRange(0, slots).Draw(r, "share")
			first, second := &a, &b
			mine, other := share, slots-share
			if rapid.Bool().Draw(r, "order") {
				first, second, mine, other = second, first, other, mine
			}
			for range rapid.IntRange(1, 4).Draw(r, "refreshes") {
				now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(r, "ms")) * time.Millisecond)
				first.Set(now, l, func(Lease) int { return mine })
				if sum := a.Usage("t1").Part + b.Usage("t1").Part; sum > slots {
					r.Fatalf("parts are %d and %d of %d", a.Usage("t1").Part, b.Usage("t1").Part, slots)
				}
				second.Set(now.Add(time.Millisecond), l, func(Lease) int { return other })
			}
		}
	})
}

// TestReservedSlotsAreForUrgentTasks also checks that the slots of the fastest targets
// are reserved.
func TestReservedSlotsAreForUrgentTasks(t *testing.T) {
	var s Slots
	leases := []Lease{{Announcement: announcement("slow", 1, 1, false)}, {Announcement: announcement("fast", 1, 1, false)}}
	s.Set(start, leases, func(Lease) int { return 2 })
	speed := func(id ID) float64 { return map[ID]float64{"slow": 1, "fast": 4}[id] }
	s.Reserve(1, speed)
	nonUrgent, urgent := Requirements{Kind: "k"}, Requirements{Kind: "k", Urgent: true}
	var got []ID
	for range 4 {
		if l, ok := s.Acquire(nonUrgent, speed); ok {
			got = append(got, l.Target)
		}
	}
	if len(got) != 3 || got[0] != "fast" || got[1] != "slow" || got[2] != "slow" {
		t.Errorf("tasks that are not urgent got %v, want fast, slow, slow", got)
	}
	if l, ok := s.Acquire(urgent, speed); !ok || l.Target != "fast" {
		t.Errorf("an urgent task got %v, %v, want fast", l.Target, ok)
	}
	s.Release("fast", urgent)
	if s.Free(nonUrgent, speed) {
		t.Error("a reserved slot is free for a task that is not urgent")
	}
	s.Reserve(0, speed)
	if !s.Free(nonUrgent, speed) {
		t.Error("a slot that is no longer reserved is not free")
	}
}
