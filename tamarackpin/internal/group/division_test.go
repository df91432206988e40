package group

import (
	"testing"
	"time"

	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/vm"
)

// TestSettledDivisionNeedsNoRecovery: a process that restarts, as after the loss of all
// power, learns of the division that was in force for long. It must not wait until what
// dispatchers from before that division ordered has lapsed, as it must after a new one
// (incident inc-270b of kartela-print-grown: no start for 1.5 s).
func TestSettledDivisionNeedsNoRecovery(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		age     time.Duration
		settled bool
	}{{0, false}, {20 * time.Second, false}, {time.Minute, true}} {
		divider := lead.New(now, vm.Presence{VM: "ip-0a000002", Incarnation: 1})
		d := lead.Division{Epoch: divider.NextEpoch(now.Add(-c.age)), Groups: 2}
		g, _, _ := newTestGroup("ip-0a000001", now, nil)
		g.applyDivision(now, d)
		if settled := g.dividedAt.IsZero(); settled != c.settled {
			t.Errorf("a division of %s ago counts as settled: %v, want %v", c.age, settled, c.settled)
		}
	}
}
