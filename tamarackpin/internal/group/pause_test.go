package group

import (
	"testing"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/pool"
)

// TestCommandAfterAPauseOrdersNothing: a process is paused, and finds commands in its queue when it
// goes on. It ordered what followed from them before the next tick had it step down.
func TestCommandAfterAPauseOrdersNothing(t *testing.T) {
	leading, starts := newLeadingGroup(t)
	leading.addWorker(t, "w1")
	leading.tickedAt = time.Now()
	time.Sleep(lead.MaxTickGap + 100*time.Millisecond)
	leading.runCommand(func(g *Group, now time.Time) {
		g.groups[0].pool.Submit(now, pool.Request{Job: job.Job{ID: "j", Steps: []job.Step{{Count: 1}}}, Service: "s", Stretch: 3, Latency: time.Minute, RemainingWait: time.Minute})
	})
	leading.applyDecisions(t.Context(), time.Now())
	leading.calls.Wait()
	if len(starts) > 0 {
		t.Errorf("%v was started after a pause of over %s", (<-starts).Task, lead.MaxTickGap)
	}
}
