package pool

import (
	"time"

	"tamarackpin.example/internal/interference"
	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/routes"
)

// trackStart records that t, which was just assigned to w, runs beside the other tasks there.
func (p *Pool) trackStart(now time.Time, w *workerState, t *task) {
	if !p.config.Interference.Observes() {
		return
	}
	w.beside.Retain(now, func(name job.Task) bool { return name != t.name && w.tasks[name] != nil })
	w.beside.Start(now, t.name, t.job.Row, p.expectedTime(w, t))
	if w.beside.Len() != len(w.tasks) || len(w.orphans) > 0 {
		w.beside.MarkUnclear() // beside an adopted run, or more than are tracked
	}
}

// trackEnd records that t, which is still assigned to w, has ended, and returns what ran beside it if
// that is known. It must be called before t is released.
func (p *Pool) trackEnd(now time.Time, w *workerState, t *task) (beside []interference.Exposure, ok bool) {
	if !p.config.Interference.Observes() {
		return nil, false
	}
	w.beside.Retain(now, func(name job.Task) bool { return w.tasks[name] != nil })
	if w.beside.Len() != len(w.tasks) || len(w.orphans) > 0 {
		w.beside.MarkUnclear()
	}
	return w.beside.End(now, t.name)
}

// observeInterference learns how the rows beside t slowed its run on w, which is done and took so long, and returns the time that it would have
// taken alone as far as that is known: the estimates are of that time. A run whose start was ordered more
// than once began at an unknown time.
func (p *Pool) observeInterference(now time.Time, w *workerState, t *task, took time.Duration, beside []interference.Exposure, ok bool) time.Duration {
	if !ok || t.repeated() || t.startInherited {
		return took
	}
	work := float64(p.estimator.Work(t.job.Row, t.step))
	p.interference.Observe(now, interference.Observation{
		Row: t.job.Row, Worker: w.Worker, Took: took, Expected: time.Duration(work * p.estimator.KindFactor(w.Kind)), Tasks: t.step.Count, Beside: beside,
	})
	if p.config.Interference != interference.Avoid {
		return took
	}
	return time.Duration(float64(took) / p.interference.Slowdown(t.job.Row, beside))
}

// expectedTime returns how long t takes on w alone.
func (p *Pool) expectedTime(w *workerState, t *task) time.Duration {
	return time.Duration(float64(p.estimator.Work(t.job.Row, t.step)) * p.estimator.Factor(w.Kind, w.Worker))
}

// slowdownOn returns by which factor the other tasks that are assigned to w slow t, as far as that is
// known.
func (p *Pool) slowdownOn(now time.Time, w *workerState, t *task) float64 {
	if p.config.Interference != interference.Avoid || !p.interference.Involves(t.job.Row) {
		return 1
	}
	factor, _ := p.interference.Factor(now, t.job.Row, w.rowsBeside(t))
	return factor
}

// rowsBeside returns the rows of the tasks that are assigned to w, without t.
func (w *workerState) rowsBeside(t *task) []routes.RowName {
	rows := make([]routes.RowName, 0, len(w.tasks))
	for _, u := range assignedTasks(w) {
		if u != t {
			rows = append(rows, u.job.Row)
		}
	}
	return rows
}

// Pairs returns what is known of rows that slow each other down.
func (p *Pool) Pairs() []interference.Pair { return p.interference.Pairs() }

// TakeInterference returns the pairs that became known or were dropped since its last call, how many more
// there were, and once a minute what was observed.
func (p *Pool) TakeInterference(now time.Time) (changes []interference.Change, omitted int, summary interference.Summary, due bool) {
	p.interference.Tick(now)
	changes, omitted = p.interference.TakeChanges()
	summary, due = p.interference.TakeSummary(now)
	p.Counts.PairsKnown = p.interference.Known()
	return changes, omitted, summary, due
}
