package pool

import (
	"time"

	"tamarackpin.example/internal/interference"
	"tamarackpin.example/internal/routes"
)

// apartChoice makes selectWorker prefer workers whose tasks don't slow the new one down, and are not slowed by it.
// It decides only between workers that are equal in meeting the objective and in health: a
// task starts beside one that slows it rather than late or not at all. A nil apartChoice prefers none.
type apartChoice struct {
	pool    *Pool
	now     time.Time
	task    *task
	work    time.Duration
	harm    time.Duration // on the best worker so far
	changed bool          // the best worker so far would not be it without this preference
}

// chooseApart returns the apartChoice for t, nil if no pair is known that its row is part of.
// A suspect is placed by other rules.
func (p *Pool) chooseApart(now time.Time, t *task, work time.Duration, suspect bool) *apartChoice {
	if suspect || p.config.Interference != interference.Avoid || !p.interference.Involves(t.job.Row) {
		return nil
	}
	return &apartChoice{pool: p, now: now, task: t, work: work}
}

// adjust returns whether w is preferred to best, the best worker so far, nil if there is none. equal
// reports whether the two are equal in what is more important; better is the decision without interference.
func (c *apartChoice) adjust(w, best *workerState, equal, better bool) bool {
	if c == nil {
		return better
	}
	harm := c.harmOn(w)
	switch {
	case best != nil && equal && harm != c.harm:
		if apart := harm < c.harm; apart != better {
			better, c.changed = apart, true
		} else if better {
			c.changed = false
		}
	case better:
		c.changed = false
	}
	if better {
		c.harm = harm
	}
	return better
}

// harmOn returns how much longer the task and the tasks on w are expected to take in all if it starts there.
func (c *apartChoice) harmOn(w *workerState) (harm time.Duration) {
	if len(w.tasks) == 0 {
		return 0
	}
	p, own := c.pool, []routes.RowName{c.task.job.Row}
	factor, _ := p.interference.Factor(c.now, c.task.job.Row, w.rowsBeside(c.task))
	took := time.Duration(float64(c.work) * p.estimator.Factor(w.Kind, w.Worker))
	harm = time.Duration((factor - 1) * float64(took))
	for _, t := range assignedTasks(w) {
		if factor, slows := p.interference.Factor(c.now, t.job.Row, own); slows {
			remaining := t.orderedAt.Add(p.expectedTime(w, t)).Sub(c.now)
			harm += time.Duration((factor - 1) * float64(max(0, min(took, remaining))))
		}
	}
	return harm
}

// count counts a task that is placed on another worker because of the preference.
func (c *apartChoice) count() {
	if c != nil && c.changed {
		c.pool.Counts.PlacedApart++
	}
}
