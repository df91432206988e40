package pool

import "time"

// Rules for runs that take too long. A worker lists how far its runs are, so a
// slow or standing one is found while it runs: the pattern is a sixth of the
// workers at a sixth of their speed, and a tenth that stand still.
const (
	// stallTimeout is how long a run may stand at one percentage, beside what a
	// hundredth of it should take.
	stallTimeout = 400 * time.Millisecond
	// minPercent is how far a run must be for its speed to be judged.
	minPercent = 5
	// maxSlowdown is how many times longer the rest of a run must take than a whole
	// run elsewhere before it is stopped for it.
	maxSlowdown = 2.0
)

// checkProgress records how far a run is, and stops it if it stalls or is too slow.
func (p *Pool) checkProgress(now time.Time, w *workerState, t *task, percent int) {
	elapsed := now.Sub(t.orderedAt)
	if percent > t.percent {
		t.percent, t.progressAt = percent, now
	}
	expected := time.Duration(float64(p.estimator.Work(t.job.Row, t.step)) * p.estimator.KindFactor(w.Kind))
	if now.Sub(later(t.progressAt, t.orderedAt)) > stallTimeout+expected/25 {
		w.stalls++
		p.backOff(now, w, 2+2*w.stalls)
		p.stopTask(now, t)
		return
	}
	if percent < minPercent || elapsed < expected {
		return
	}
	remaining := time.Duration(float64(elapsed) * float64(100-percent) / float64(percent))
	if float64(remaining) < maxSlowdown*float64(expected) {
		return
	}
	p.estimator.Observe(t.job.Row, t.step, w.Kind, w.Worker, elapsed+remaining)
	if now.Add(remaining).After(t.job.objectiveDeadline) {
		p.stopTask(now, t)
	}
}
