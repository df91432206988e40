package pool

import "time"

// Rules for runs that take too long. A worker lists how far its runs are, so a
// slow or standing one is found while it runs: the pattern is a sixth of the
// workers at a sixth of their speed, and a tenth that stand still.
const (
	// stuckAfter is how long a run may stand at one percentage, beside what a
	// hundredth of it should take.
	stuckAfter = 400 * time.Millisecond
	// leastPercent is how far a run must be for its speed to be judged.
	leastPercent = 5
	// tooSlow is how many times longer the rest of a run must take than a whole
	// run elsewhere before it is stopped for it.
	tooSlow = 2.0
)

// progress takes in how far a run is.
func (p *Pool) progress(now time.Time, w *workerState, t *task, percent int) {
	ran := now.Sub(t.ordered)
	if percent > t.percent {
		t.percent, t.moved = percent, now
	}
	expected := time.Duration(float64(p.learn.Work(t.of.Row, t.step)) * p.learn.KindFactor(w.Kind))
	if now.Sub(later(t.moved, t.ordered)) > stuckAfter+expected/25 {
		w.stuck++
		p.shun(now, w, 2+2*w.stuck)
		p.stop(now, t)
		return
	}
	if percent < leastPercent || ran < expected {
		return
	}
	rest := time.Duration(float64(ran) * float64(100-percent) / float64(percent))
	if float64(rest) < tooSlow*float64(expected) {
		return
	}
	p.learn.Observe(t.of.Row, t.step, w.Kind, w.Worker, ran+rest)
	if now.Add(rest).After(t.of.due) {
		p.stop(now, t)
	}
}
