package pool

import (
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/routes"
	"tamarackpin.example/internal/worker"
)

// tails distinguishes long tasks from slow workers, and learns the share and the length of the
// long tasks of each row. A run is long if it takes restartFactor times its estimate. One long
// run says little, as a task may be long: it is held until the next run on that worker. If that one is
// long too, the worker is slow; otherwise the task was long. The zero value has learned nothing.
type tails struct {
	rows map[routes.RowName]tail
	held map[worker.ID]longRun
}

// tail has the long tasks of a row.
type tail struct {
	share  float64 // of the runs of the row
	factor float64 // mean time of a long run, in estimates
}

// longRun is the newest long run on a worker, while it is open whether the task or the worker is slow.
type longRun struct {
	task job.Task
	row  routes.RowName
	step *job.Step
	took time.Duration
	// ratio is took in estimates.
	ratio float64
}

// tailWeight is the weight of a new run against the earlier ones of its row, and tailFactorWeight that of
// a long run against the earlier long ones, of which there are few.
const (
	tailWeight       = 0.02
	tailFactorWeight = 0.25
)

// observe records that a run of t took so many estimates on a worker. It returns the runs that show how fast
// the worker is: none as long as that is open.
func (l *tails) observe(t *task, id worker.ID, took time.Duration, ratio float64) []longRun {
	if l.rows == nil {
		l.rows, l.held = make(map[routes.RowName]tail), make(map[worker.ID]longRun)
	}
	run := longRun{t.name, t.job.Row, t.step, took, ratio}
	earlier, holds := l.held[id]
	switch {
	case ratio < restartFactor:
		if holds && earlier.task != t.name {
			l.add(earlier)
		}
		r := l.rows[run.row]
		r.share -= tailWeight * r.share
		l.rows[run.row] = r
		delete(l.held, id)
		return []longRun{run}
	case holds && earlier.task != t.name:
		l.held[id] = run
		return []longRun{earlier, run}
	}
	l.held[id] = run
	return nil
}

// add counts a run of a long task.
func (l *tails) add(run longRun) {
	r := l.rows[run.row]
	if r.factor == 0 {
		r.factor = run.ratio
	}
	r.share += tailWeight * (1 - r.share)
	r.factor += tailFactorWeight * (run.ratio - r.factor)
	l.rows[run.row] = r
}

// forget drops what is held of a worker, which has restarted or left.
func (l *tails) forget(id worker.ID) { delete(l.held, id) }

// remaining returns how much longer a run is expected to take that has taken elapsed, at least its
// estimate, and of which nothing else is known. Estimates are off by uncertainty: up to that, the run
// may be an ordinary one.
func (l *tails) remaining(r routes.RowName, elapsed, estimate time.Duration) time.Duration {
	estimate = max(estimate, time.Microsecond) // a divisor
	ordinary := max(0, time.Duration(uncertainty*float64(estimate))-elapsed)
	long := max(0, time.Duration(l.rows[r].factor*float64(estimate))-elapsed)
	// Half of the ordinary runs take longer than their estimate, and fewer the longer it has been.
	chance := float64(ordinary) / float64(estimate) / (uncertainty - 1) / 2
	share := l.rows[r].share
	if share+chance == 0 {
		return 0
	}
	return time.Duration((share*float64(long) + chance*float64(ordinary)/2) / (share + chance))
}

// observeRun records that a run of t took so long on w, or is going to.
func (p *Pool) observeRun(w *workerState, t *task, took time.Duration) {
	if took <= 0 {
		return
	}
	for _, run := range p.tails.observe(t, w.Worker, took, float64(took)/max(1, float64(p.expectedTime(w, t)))) {
		p.estimator.Observe(run.row, run.step, w.Kind, w.Worker, run.took)
	}
}

// isSlow reports whether w rather than t is slow, given that the run of t there is long. An earlier long
// run of another task on w shows that. A task of which another run was long is long itself, and is not stopped
// again. Otherwise the likelier of the two is assumed, by the share of the workers that are slow and that
// of the row's tasks that are long.
func (p *Pool) isSlow(now time.Time, w *workerState, t *task) bool {
	if p.slowerThanKind(w) {
		return true
	}
	if held, holds := p.tails.held[w.Worker]; holds && held.task != t.name {
		return true
	}
	if t.stoppedSlow {
		return false
	}
	slow, all := 0, 0
	for _, other := range p.byID {
		if other.eligible(now) {
			all++
			if p.slowerThanKind(other) {
				slow++
			}
		}
	}
	return float64(slow) >= p.tails.rows[t.job.Row].share*float64(all)
}

// slowerThanKind reports whether runs on w take restartFactor times as long as on other workers of its kind.
func (p *Pool) slowerThanKind(w *workerState) bool {
	return p.estimator.Factor(w.Kind, w.Worker) >= restartFactor*p.estimator.KindFactor(w.Kind)
}

// expectedEnd returns when the run of t on w is expected to end: by its progress once that shows that it takes
// longer than estimated, else by its estimate or what is learned of runs past that.
func (p *Pool) expectedEnd(now time.Time, w *workerState, t *task) time.Time {
	estimate := time.Duration(float64(p.expectedTime(w, t)) * p.slowdownOn(now, w, t))
	elapsed := now.Sub(t.orderedAt)
	if t.percent >= minPercent {
		total := t.progressAt.Sub(t.orderedAt) * 100 / time.Duration(t.percent)
		if elapsed > estimate || float64(total) >= restartFactor*float64(estimate) {
			return later(now, t.orderedAt.Add(total))
		}
	}
	if elapsed <= estimate {
		return t.orderedAt.Add(estimate)
	}
	return now.Add(p.tails.remaining(t.job.Row, elapsed, estimate))
}
