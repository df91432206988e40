package pool

import "time"

// Bounds for runs that take too long. A worker lists the progress of its runs, so
// that slow and stalled runs are detected early. The case to withstand is that a
// sixth of the workers run at a sixth of their speed and a tenth stall.
const (
	// stallTimeout is how long a run may stay at one percentage, in addition to 4% of
	// its expected duration: four times what one percent should take.
	stallTimeout = 400 * time.Millisecond
	// minPercent is the least percentage at which the speed of a run is estimated.
	minPercent = 5
	// restartFactor bounds the estimated remaining time of a slow run: from this many
	// times the expected duration of a fresh run on this kind of worker, the run may
	// be stopped to start elsewhere.
	restartFactor = 2.0
)

// checkProgress records the progress of a running task, and stops the run if it
// stalls, or if it is too slow and would miss the objective deadline. A stall
// also puts w in backoff.
func (p *Pool) checkProgress(now time.Time, w *workerState, t *task, percent int) {
	elapsed := now.Sub(t.orderedAt)
	if percent > t.percent {
		t.percent, t.progressAt = percent, now
	}
	if p.withholdsStarts(now, t.job) {
		return // a run that is stopped could not start anywhere else
	}
	slowdown := p.slowdownOn(now, w, t)
	expected := time.Duration(float64(p.estimator.Work(t.job.Row, t.step)) * p.estimator.KindFactor(w.Kind) * slowdown)
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
	if float64(remaining) < restartFactor*float64(expected) {
		return
	}
	p.observeRun(w, t, time.Duration(float64(elapsed+remaining)/slowdown))
	if now.Add(remaining).After(t.job.objectiveDeadline) && p.isSlow(now, w, t) {
		t.stoppedSlow = true
		p.stopTask(now, t)
	}
}
