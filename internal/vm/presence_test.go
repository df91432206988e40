package vm

import (
	"testing"
	"time"
)

// TestVMThatRestartsWithItsClockSetBack: a process that starts after the clock of its VM was set back has a lower
// incarnation than the one before. The others ignored it for 90 s: a control VM counted as lost.
func TestVMThatRestartsWithItsClockSetBack(t *testing.T) {
	const before, after = 5000, 3000 // incarnations
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name    string
		heard   []time.Duration // when the lower incarnation is heard, directly
		also    time.Duration   // when the higher one is heard then, told by another VM
		alsoAge time.Duration
		want    Incarnation
	}{
		{"it goes on", []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 6 * time.Second}, 6500 * time.Millisecond, 6500 * time.Millisecond, after},
		{"a delayed message of an earlier process", []time.Duration{3 * time.Second}, 3500 * time.Millisecond, 0, before},
		{"both are heard", []time.Duration{3 * time.Second, 6 * time.Second}, 7 * time.Second, 0, before},
	} {
		var r Roster
		r.Observe(start, Presence{VM: "a", Incarnation: before, Draining: true}, 0)
		for _, at := range c.heard {
			r.Observe(start.Add(at), Presence{VM: "a", Incarnation: after}, 0)
		}
		r.Observe(start.Add(c.also), Presence{VM: "a", Incarnation: before, Draining: true}, c.alsoAge)
		p, _ := r.Get("a")
		if p.Incarnation != c.want || p.Draining != (c.want == before) {
			t.Errorf("%s: %+v, want incarnation %d", c.name, p, c.want)
		}
	}
}
