package pool

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// place starts what waits, the most pressing first, as long as there is room. Most
// events make no room: then nothing is sorted.
func (p *Pool) place(now time.Time) {
	if p.fenced || len(p.jobs) == 0 {
		return
	}
	open := p.openWorkers(now)
	if len(open) == 0 {
		return
	}
	for _, j := range p.queue(now) {
		if !p.placeJob(now, open, j) {
			return
		}
	}
}

// openWorkers returns the workers that may have room for a task that waits.
func (p *Pool) openWorkers(now time.Time) []*workerState {
	least := p.leastNeed()
	if least == noNeed {
		return nil
	}
	var open []*workerState
	for _, w := range p.byID {
		if w.free.MilliCores >= least && len(w.alien) == 0 && w.timing.Known() && w.sound(now) {
			open = append(open, w)
		}
	}
	return open
}

// noNeed is more than any task needs.
const noNeed = math.MaxInt

// leastNeed returns the fewest thousandths of a core that a task which waits needs.
func (p *Pool) leastNeed() int {
	least := noNeed
	for _, j := range p.jobs {
		if j.ended {
			continue
		}
		for _, t := range j.tasks {
			if t.phase == waiting && t.step.Need.MilliCores < least {
				least = t.step.Need.MilliCores
			}
		}
	}
	return least
}

// queue returns the jobs with tasks that may start, in the order in which they
// are served: first those that can still meet their objective, by it; then
// those that are late.
func (p *Pool) queue(now time.Time) []*jobState {
	var list []*jobState
	for _, j := range p.jobs {
		if !j.ended && j.waits() && p.settled(now, j) {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *jobState) int {
		return cmp.Or(cmp.Compare(a.order(now), b.order(now)), a.due.Compare(b.due), cmp.Compare(a.Job.ID, b.Job.ID))
	})
	return list
}

// waits reports whether a task of j waits.
func (j *jobState) waits() bool {
	for _, t := range j.tasks {
		if t.phase == waiting {
			return true
		}
	}
	return false
}

// order is 0 for a job that is expected to be in time, else 1.
func (j *jobState) order(now time.Time) int {
	if j.late {
		return 1
	}
	return j.rank(now)
}

// rank is 0 for a job that may be in time, else 1.
func (j *jobState) rank(now time.Time) int {
	if now.Add(j.work / 2).After(j.due) {
		return 1
	}
	return 0
}

// settled reports whether a job may start: one that may run elsewhere waits
// until every worker was looked at.
func (p *Pool) settled(now time.Time, j *jobState) bool {
	if now.Before(j.barred) {
		return false
	}
	if !now.Before(j.settle) {
		return true
	}
	if p.config.WorkersIncomplete {
		return false // it may run on a worker that is not known
	}
	for _, w := range p.byID {
		if !w.listed && !w.Gone {
			return false
		}
	}
	return true
}

// placeJob starts the tasks of j that fit, and reports whether there may be room
// for others.
func (p *Pool) placeJob(now time.Time, open []*workerState, j *jobState) bool {
	for _, t := range j.tasks {
		if t.phase != waiting || !j.open(t.step) {
			continue
		}
		w := p.pick(now, open, t)
		if w == nil {
			return true // another task may be smaller
		}
		p.start(now, w, t)
	}
	return true
}

// pick returns the worker for t: the slowest on which it meets the objective, so
// that the fast ones are free for those that need them; else the fastest. It
// returns none as long as waiting for a faster worker may still meet it.
func (p *Pool) pick(now time.Time, open []*workerState, t *task) *workerState {
	work := p.learn.Work(t.of.Row, t.step)
	var best *workerState
	var bestTime time.Duration
	bestMeets := false
	for _, w := range open {
		if !usable(w, t) {
			continue
		}
		factor := p.learn.Factor(w.Kind, w.Worker)
		took := time.Duration(float64(work) * factor)
		meets := t.of.meets(now, work, factor)
		if best == nil || p.better(w, took, meets, best, bestTime, bestMeets) {
			best, bestTime, bestMeets = w, took, meets
		}
	}
	if best != nil && !bestMeets && p.worthWaiting(now, t, work, bestTime) {
		return nil
	}
	return best
}

// meets reports whether a run of so much work on a worker of this factor meets
// the objective, whichever way the estimate is off: the objective grows with
// the true work, so a slow worker is too slow for long tasks only.
func (j *jobState) meets(now time.Time, work time.Duration, factor float64) bool {
	waited := now.Sub(j.arrived)
	for _, off := range [...]float64{1 / uncertainty, 1, uncertainty} {
		actual := float64(work) * off
		if float64(waited)+factor*actual > j.Stretch*actual+float64(j.Latency) {
			return false
		}
	}
	return true
}

// worthWaiting reports whether a faster worker than one that takes so long, which
// has no room now, would still meet the objective after a while.
func (p *Pool) worthWaiting(now time.Time, t *task, work, took time.Duration) bool {
	if t.of.late {
		return false
	}
	for _, w := range p.byID {
		if w.Service != t.of.Service || !w.sound(now) || !w.Room.Fits(t.step.Need) {
			continue
		}
		faster := time.Duration(float64(work) * p.learn.Factor(w.Kind, w.Worker))
		if faster < took*3/4 && now.Add(faster+waitMargin).Before(t.of.due) {
			return true
		}
	}
	return false
}

// waitMargin is left for the wait itself when a task waits for a faster worker:
// the middle of the times between two ends on the workers of a failure domain.
const waitMargin = 30 * time.Millisecond

func (p *Pool) better(w *workerState, took time.Duration, meets bool, best *workerState, bestTime time.Duration, bestMeets bool) bool {
	if meets != bestMeets {
		return meets
	}
	if sound, other := w.failures == 0 && w.stuck == 0, best.failures == 0 && best.stuck == 0; sound != other {
		return sound
	}
	a, b := p.learn.KindFactor(w.Kind), p.learn.KindFactor(best.Kind)
	if a != b {
		if meets {
			return a > b
		}
		return a < b
	}
	if took != bestTime && !meets {
		return took < bestTime
	}
	if w.free.MilliCores != best.free.MilliCores {
		return w.free.MilliCores < best.free.MilliCores // fill up, to keep whole places
	}
	return w.Worker < best.Worker
}

// usable reports whether t may start on w, which is open.
func usable(w *workerState, t *task) bool {
	if w.Service != t.of.Service {
		return false
	}
	if !w.free.Fits(t.step.Need) || t.failed > 0 && (w.Worker == t.failedOn || w.failures > 0) {
		return false
	}
	if t.step.Label != "" && t.step.Label != string(w.Kind) && t.step.Label != string(w.Rack) {
		return false
	}
	return t.step.PerWorker == 0 || w.count(t) < t.step.PerWorker
}

// count returns the tasks of t's step on w.
func (w *workerState) count(t *task) int {
	n := 0
	for name := range w.tasks {
		if name.Job == t.name.Job && name.Step == t.name.Step {
			n++
		}
	}
	return n
}

// start orders t to start on w.
func (p *Pool) start(now time.Time, w *workerState, t *task) {
	p.Counts.Started++
	t.run++
	t.phase = starting
	t.of.began = true
	t.percent, t.moved = 0, now
	t.ordered, t.acked, t.stopped, t.stopAck = now, time.Time{}, time.Time{}, time.Time{}
	t.assign(w)
	d := p.deadline(now, w)
	t.lapse = w.timing.Lapse(now, d)
	p.send(now, w, Order{Kind: StartOrder, Task: t.name, Run: t.run, Spec: t.of.Job.Spec, Deadline: d})
	p.look(now, w)
}
