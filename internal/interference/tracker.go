package interference

import (
	"slices"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/routes"
)

// maxTracked is the number of tasks up to which a worker's runs are observed. The cost of a
// start or an end grows with its square.
const maxTracked = 16

// Tracker measures which rows run beside each other on one worker. The zero Tracker has no
// tasks.
type Tracker struct {
	runs    []tracked
	accrued time.Time // until when the exposures are counted
}

// tracked is a task on the worker.
type tracked struct {
	task      job.Task
	row       routes.RowName
	startedAt time.Time
	earlyEnd  time.Time // end of the first half of the expected time
	unclear   bool      // what ran beside it is not known for all of its time
	beside    []exposureTime
}

type exposureTime struct {
	row          routes.RowName
	total, early time.Duration
}

// Start records that a task of a row, which is expected to take so long, starts on the worker.
func (t *Tracker) Start(now time.Time, task job.Task, row routes.RowName, expected time.Duration) {
	t.accrue(now)
	if len(t.runs) >= maxTracked {
		t.MarkUnclear()
		return
	}
	t.runs = append(t.runs, tracked{task: task, row: row, startedAt: now, earlyEnd: now.Add(expected / 2)})
}

// MarkUnclear records that tasks run on the worker, or ended there, without Start and End having been
// called: the runs that are there now are not observed.
func (t *Tracker) MarkUnclear() {
	for i := range t.runs {
		t.runs[i].unclear = true
	}
}

// Len returns the number of tasks.
func (t *Tracker) Len() int { return len(t.runs) }

// Retain drops the tasks for which keep returns false. It is not known when they ended.
func (t *Tracker) Retain(now time.Time, keep func(job.Task) bool) {
	t.accrue(now)
	before := len(t.runs)
	t.runs = slices.DeleteFunc(t.runs, func(r tracked) bool { return !keep(r.task) })
	if len(t.runs) != before {
		t.MarkUnclear()
	}
}

// End records that a task ended, and returns what ran beside it. It reports false if the task
// or a part of what ran beside it is not known.
func (t *Tracker) End(now time.Time, task job.Task) (beside []Exposure, ok bool) {
	t.accrue(now)
	at := slices.IndexFunc(t.runs, func(r tracked) bool { return r.task == task })
	if at < 0 {
		return nil, false
	}
	r := t.runs[at]
	t.runs = slices.Delete(t.runs, at, at+1)
	took := now.Sub(r.startedAt)
	if r.unclear || took <= 0 {
		return nil, false
	}
	early := min(took, r.earlyEnd.Sub(r.startedAt))
	for _, e := range r.beside {
		x := Exposure{Row: e.row, Share: float64(e.total) / float64(took)}
		if early > 0 {
			x.Early = float64(e.early) / float64(early)
		}
		beside = append(beside, x)
	}
	return beside, len(beside) <= maxPartners
}

// accrue counts the time since the last start or end.
func (t *Tracker) accrue(now time.Time) {
	since := t.accrued
	t.accrued = now
	took := now.Sub(since)
	if took <= 0 || len(t.runs) < 2 {
		return
	}
	for i := range t.runs {
		r := &t.runs[i]
		early := min(took, max(0, r.earlyEnd.Sub(since)))
		for k := range t.runs {
			if k != i {
				r.add(t.runs[k].row, took, early)
			}
		}
	}
}

// add counts time beside a task of a row.
func (r *tracked) add(row routes.RowName, total, early time.Duration) {
	for i := range r.beside {
		if e := &r.beside[i]; e.row == row {
			e.total += total
			e.early += early
			return
		}
	}
	r.beside = append(r.beside, exposureTime{row, total, early})
}
