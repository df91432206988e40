package group

import (
	"testing"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/pool"
)

// TestCountsAfterTheLastTask guards against counts that stay as they were at the last order or answer: operators would see tasks
// of an evacuated failure domain that ended, or whose dispatcher is another VM by now.
func TestCountsAfterTheLastTask(t *testing.T) {
	g, _ := newLeadingGroup(t)
	now := time.Now()
	g.groups[0].pool.Submit(now, pool.Request{Job: job.Job{ID: "j", Steps: []job.Step{{Count: 3}}}, Service: "s", Stretch: 3, Latency: time.Minute, RemainingWait: time.Minute})
	g.tick(now)
	if c := g.Counts(); c.Waiting+c.Assigned != 3 {
		t.Fatalf("counts %+v with three tasks", c)
	}
	g.groups[0].dropPool(now)
	g.tick(now)
	if c := g.Counts(); c.Waiting+c.Assigned != 0 {
		t.Errorf("counts %+v without a pool", c)
	}
}
