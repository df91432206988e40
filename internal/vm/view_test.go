package vm

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The seed is fixed, so that each run gives the same verdict; -rapid.seed
// overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

// TestViewAgainstNaive is differential: heartbeats come late, doubled and out
// of order. The naive view looks through all that was ever heard.
func TestViewAgainstNaive(t *testing.T) {
	type heard struct {
		h  Heartbeat
		at time.Time
	}
	rapid.Check(t, func(r *rapid.T) {
		var v View
		var all []heard
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(r, "ms")) * time.Millisecond)
			h := Heartbeat{
				VM: ID(fmt.Sprint("vm", rapid.IntRange(0, 2).Draw(r, "vm"))), FailureDomain: "arusha",
				Incarnation: Incarnation(rapid.IntRange(1, 3).Draw(r, "incarnation")), Sequence: rapid.Uint64Range(1, 30).Draw(r, "sequence"),
			}
			// Only a heartbeat newer than all before it shows life.
			newest := true
			for _, o := range all {
				if o.h.VM == h.VM && (o.h.Incarnation > h.Incarnation || o.h.Incarnation == h.Incarnation && o.h.Sequence >= h.Sequence) {
					newest = false
				}
			}
			if newest {
				all = append(all, heard{h, now})
			}
			if got := v.Observe(now, h); got != newest {
				r.Fatalf("heartbeat %+v is newer: %v, want %v", h, got, newest)
			}
			for i := range 3 {
				id := ID(fmt.Sprint("vm", i))
				want := false
				for _, o := range all {
					want = want || o.h.VM == id && now.Sub(o.at) < DeadAfter
				}
				if got := v.Alive(now, id); got != want {
					r.Fatalf("%s alive: %v, want %v", id, got, want)
				}
			}
		}
	})
}

func TestDeathIsNoticedInTimeForATakeover(t *testing.T) {
	// The stated bound is 3 s from death to takeover; half of it is for the
	// quorum and the way of its decision.
	if DeadAfter+HeartbeatEvery > 2*time.Second {
		t.Errorf("a death is noticed only after %s", DeadAfter+HeartbeatEvery)
	}
}

// TestKindsAreKeptBetween: a heartbeat without kinds changes none, and a new
// incarnation has none before it says so.
func TestKindsAreKeptBetween(t *testing.T) {
	var v View
	now := time.Unix(1000, 0)
	for i, c := range []struct {
		incarnation Incarnation
		kinds       []string
		want        bool
	}{{1, []string{"k"}, true}, {1, nil, true}, {1, []string{}, false}, {1, []string{"k"}, true}, {2, nil, false}} {
		v.Observe(now, Heartbeat{VM: "vm0", FailureDomain: "arusha", Incarnation: c.incarnation, Sequence: uint64(i + 1), Kinds: c.kinds})
		if got := v.Living(now)[0].Heartbeat.Runs("k"); got != c.want {
			t.Errorf("step %d: runs k: %v, want %v", i, got, c.want)
		}
	}
}
