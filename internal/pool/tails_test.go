package pool

import (
	"testing"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/routes"
)

// taskOf returns a task of a row, for tests of what is learned from runs.
func taskOf(id string) *task {
	step := &job.Step{Count: 1, Estimate: 100 * time.Millisecond}
	return &task{name: job.Task{Job: job.ID(id)}, job: &jobState{Request: Request{Row: "r"}}, step: step}
}

// TestLongTaskDoesNotMakeItsWorkerSlow guards against taking a task of the tail for a sign that
// its worker is slow, and the other way round.
func TestLongTaskDoesNotMakeItsWorkerSlow(t *testing.T) {
	const estimate = 100 * time.Millisecond
	var l tails
	if runs := l.observe(taskOf("a"), "w", 7*estimate, 7); len(runs) != 0 {
		t.Errorf("one long run shows %v of its worker, want nothing", runs)
	}
	if runs := l.observe(taskOf("a"), "w", 7*estimate, 7); len(runs) != 0 {
		t.Errorf("the same run, listed again, shows %v of its worker, want nothing", runs)
	}
	if runs := l.observe(taskOf("b"), "w", estimate, 1); len(runs) != 1 {
		t.Errorf("an ordinary run after it shows %v, want that run", runs)
	}
	if got := l.rows["r"]; got.share <= 0 || got.share > tailWeight || got.factor != 7 {
		t.Errorf("learned of the row: %+v, want one long task", got)
	}
	l.observe(taskOf("c"), "v", 7*estimate, 7)
	if runs := l.observe(taskOf("d"), "v", 6*estimate, 6); len(runs) != 2 {
		t.Errorf("two long runs in a row show %v, want both", runs)
	}
}

// TestRemainingTimePastEstimate guards against counting a run past its estimate as ending now.
func TestRemainingTimePastEstimate(t *testing.T) {
	const estimate = 100 * time.Millisecond
	learned := tails{rows: map[routes.RowName]tail{"r": {share: 0.03, factor: 7}}}
	var empty tails
	for _, c := range []struct {
		tails    *tails
		elapsed  time.Duration
		from, to time.Duration
	}{
		{&empty, estimate, 10 * time.Millisecond, 40 * time.Millisecond},
		{&empty, 3 * estimate, 0, 0},
		{&learned, estimate, 20 * time.Millisecond, 100 * time.Millisecond},
		{&learned, 2 * estimate, 5 * estimate, 5 * estimate},
		{&learned, 8 * estimate, 0, 0},
	} {
		if got := c.tails.remaining("r", c.elapsed, estimate); got < c.from || got > c.to {
			t.Errorf("after %s of an estimate of %s: %s, want %s to %s", c.elapsed, estimate, got, c.from, c.to)
		}
	}
}
