package interference

import (
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"tamarackpin.example/internal/routes"
	"tamarackpin.example/internal/worker"
)

// TestSummary: what a summary says of a minute, and that it is bounded.
func TestSummary(t *testing.T) {
	s := newSimulation(4, simRows)
	s.slowdown = slows("quick", "long", 1.5)
	for _, w := range s.workers {
		w.slots = 3
	}
	s.run(30 * time.Second)
	if _, ok := s.learner.TakeSummary(s.now); ok {
		t.Error("a summary was due after 30 s")
	}
	s.run(31 * time.Second)
	first, ok := s.learner.TakeSummary(s.now)
	changes, omitted := s.learner.TakeChanges()
	if !ok || len(changes) != 1 || changes[0].Dropped || omitted != 0 {
		t.Fatalf("summary %v, changes %+v and %d", ok, changes, omitted)
	}
	goldie.New(t).AssertJson(t, "summary", first)
	for i := range 5000 {
		s.learner.Observe(s.now, Observation{routes.RowName(fmt.Sprint("r", i%100)), worker.ID(fmt.Sprint("w", i%20)), time.Second, time.Second, 1, nil})
	}
	second, ok := s.learner.TakeSummary(s.now.Add(time.Minute))
	if !ok || second.Observations != 5000 || second.Rows != 100 || len(second.Busiest) != maxSummaryRows {
		t.Errorf("%v: %d observations, %d rows, %d of them listed", ok, second.Observations, second.Rows, len(second.Busiest))
	}
}
