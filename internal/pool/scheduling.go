package pool

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// scheduleTasks starts waiting tasks in the order of readyJobs while workers have
// room. Most events free no room; nothing is sorted then.
func (p *Pool) scheduleTasks(now time.Time) {
	if p.Fenced() || len(p.jobs) == 0 || p.newlyDivided(now) || p.mayHaveUnknownRuns(now) {
		return
	}
	candidates := p.workersWithRoom(now)
	if len(candidates) == 0 {
		return
	}
	for _, j := range p.readyJobs(now) {
		if !p.scheduleJob(now, candidates, j.jobState) {
			return
		}
	}
}

// workersWithRoom returns the eligible workers whose free cores suffice for some
// waiting task and that have neither orphans, whose usage is not counted in free, nor
// suspects.
func (p *Pool) workersWithRoom(now time.Time) []*workerState {
	least := p.smallestNeed()
	if least == noTaskWaits {
		return nil
	}
	var candidates []*workerState
	for _, w := range p.byID {
		if w.free.MilliCores >= least && len(w.orphans) == 0 && w.timing.Known() && w.eligible(now) && !p.runsSuspect(w) && !p.leasesMustLapse(now, w) && p.coldSlots(now, w, 1) > 0 {
			w.reserved = false
			candidates = append(candidates, w)
		}
	}
	return candidates
}

// noTaskWaits is the result of smallestNeed if no task waits: more than any task
// needs.
const noTaskWaits = math.MaxInt

// smallestNeed returns the fewest thousandths of a core that any waiting task needs.
func (p *Pool) smallestNeed() int {
	least := noTaskWaits
	for _, j := range p.jobs {
		if j.closed {
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

// readyJobs returns the jobs that may start and have waiting tasks, in the order in
// which they are served: first those that have begun or can still meet their objective
// deadline, then those expected to miss it, each by that deadline and then by id.
func (p *Pool) readyJobs(now time.Time) []readyJob {
	var list []readyJob
	for _, j := range p.jobs {
		if !j.closed && j.hasWaitingTasks() && !p.withholdsStarts(now, j) && !p.gateSilent(now, j) && j.earlierRunsOver(now) && !p.runsUnclaimed(now, j) {
			list = append(list, readyJob{j, j.queueClass(now)})
		}
	}
	slices.SortFunc(list, func(a, b readyJob) int {
		return cmp.Or(cmp.Compare(a.class, b.class), a.objectiveDeadline.Compare(b.objectiveDeadline), cmp.Compare(a.Job.ID, b.Job.ID))
	})
	return list
}

// readyJob is a job with its queueClass, which is too costly for each comparison.
type readyJob struct {
	*jobState
	class int
}

// hasWaitingTasks reports whether a task of j is in phase waiting, even if its step
// is not ready.
func (j *jobState) hasWaitingTasks() bool {
	for _, t := range j.tasks {
		if t.phase == waiting {
			return true
		}
	}
	return false
}

// queueClass returns 0 for a job that has begun or is expected to meet its objective
// deadline given the work ahead of it, else 1. Class 0 is served first. A job that has
// begun keeps its place also when it is late: otherwise new jobs would take each slot, and
// the work done would be thrown away at its caller's deadline. So does one that an earlier
// dispatcher may have begun: it is late because of the takeover.
func (j *jobState) queueClass(now time.Time) int {
	if j.begun() || j.MayBeRunning {
		return 0
	}
	if j.expectedLate {
		return 1
	}
	return j.deadlineClass(now)
}

// deadlineClass returns 0 for a job that could meet its objective deadline if it
// started now and took half its expected work, else 1.
func (j *jobState) deadlineClass(now time.Time) int {
	if now.Add(j.expectedWork / 2).After(j.objectiveDeadline) {
		return 1
	}
	return 0
}

// scheduleJob starts the ready tasks of j, up to the first that gets no worker. It
// always returns true: when a task gets no worker, a smaller one may still fit.
func (p *Pool) scheduleJob(now time.Time, candidates []*workerState, j *jobState) bool {
	for _, t := range j.tasks {
		if t.phase != waiting || !j.stepReady(t.step) || !p.mayRetry(t) || !t.lapseProven() {
			continue
		}
		w := p.selectWorker(now, candidates, t)
		if w == nil {
			return true // another task may be smaller
		}
		p.startTask(now, w, t)
	}
	return true
}

// selectWorker returns the worker for t, or nil if none fits. Workers on which t
// meets its objective come first, and among equals those without recent failures or
// stalls. Next it prefers the slowest kind that meets the objective, so that fast
// workers stay free for tasks that need them. If none meets it, the fastest kind
// is preferred, or nil is returned as long as waiting for a faster worker may still
// meet the objective. See better for the whole order. For a suspect the worker with the
// fewest tasks is preferred. The capacity of an unguarded worker may shrink and grow while it
// runs, so it must have announced that recently; a guarded one refuses what does not fit.
func (p *Pool) selectWorker(now time.Time, candidates []*workerState, t *task) *workerState {
	work := p.estimator.Work(t.job.Row, t.step)
	var best *workerState
	var bestTime time.Duration
	bestMeets := false
	suspect := p.isSuspect(t)
	isBound := len(p.lateStarts.Bindings(now, t.name)) > 0 // to the worker of its late start
	apart := p.chooseApart(now, t, work, suspect)
	for _, w := range candidates {
		if w.reserved || !p.lateStarts.Permits(now, t.name, w.Worker, w.Incarnation) || !fits(w, t, isBound) || t.job.Unguarded && !w.Usable(now) {
			continue
		}
		factor := p.estimator.Factor(w.Kind, w.Worker)
		took := time.Duration(float64(work) * factor)
		meets := t.job.meetsObjective(now, work, factor)
		better := best == nil || p.better(w, took, meets, best, bestTime, bestMeets)
		better = apart.adjust(w, best, meets == bestMeets && (best == nil || w.healthy() == best.healthy()), better)
		if best != nil && suspect && len(w.tasks) != len(best.tasks) {
			better = len(w.tasks) < len(best.tasks) // they may be lost with the worker
		}
		if better {
			best, bestTime, bestMeets = w, took, meets
		}
	}
	if best != nil && !bestMeets && !isBound && p.worthWaiting(now, t, work, bestTime) {
		return nil
	}
	apart.count()
	return best
}

// meetsObjective reports whether a run of the given work, started now on a worker of
// the given factor, meets the latency objective even if the work is wrongly estimated
// by a factor of uncertainty, either way. The latency objective grows with the actual
// work, so a slow worker may be too slow for long tasks only.
func (j *jobState) meetsObjective(now time.Time, work time.Duration, factor float64) bool {
	waited := now.Sub(j.arrivedAt)
	for _, estimateError := range [...]float64{1 / uncertainty, 1, uncertainty} {
		actual := float64(work) * estimateError
		if float64(waited)+factor*actual > j.Stretch*actual+float64(j.Latency) {
			return false
		}
	}
	return true
}

// worthWaiting reports whether some eligible worker of the service would still meet
// t's objective deadline and take less than three quarters of took, the time on the
// best worker with room. It ignores the worker's current load and the placement
// constraints (Label, PerWorker, exclusions after failures), and returns false for a
// job that is expected to be late.
func (p *Pool) worthWaiting(now time.Time, t *task, work, took time.Duration) bool {
	if t.job.expectedLate {
		return false
	}
	for _, w := range p.byID {
		if w.Service != t.job.Service || !w.eligible(now) || !w.Capacity.Fits(t.step.Need) {
			continue
		}
		faster := time.Duration(float64(work) * p.estimator.Factor(w.Kind, w.Worker))
		if faster < took*3/4 && now.Add(faster+waitMargin).Before(t.job.objectiveDeadline) {
			return true
		}
	}
	return false
}

// waitMargin is allowed for the wait itself when a task waits for a faster worker:
// the median time between two ends of runs on the workers of a failure domain.
const waitMargin = 30 * time.Millisecond

// better reports whether w is to be preferred to best, the best worker so far. In
// order of weight: it meets the objective; it has no recent failures or stalls;
// its kind is slower if it meets the objective, faster if not; it takes less time,
// if it does not meet the objective; it has less free capacity; its id is lower.
func (p *Pool) better(w *workerState, took time.Duration, meets bool, best *workerState, bestTime time.Duration, bestMeets bool) bool {
	if meets != bestMeets {
		return meets
	}
	if healthy, bestHealthy := w.healthy(), best.healthy(); healthy != bestHealthy {
		return healthy
	}
	a, b := p.estimator.KindFactor(w.Kind), p.estimator.KindFactor(best.Kind)
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
		return w.free.MilliCores < best.free.MilliCores // fill workers up, to keep others free for large tasks
	}
	return w.Worker < best.Worker
}

// healthy reports whether w has no failures or stalls since a run was last done.
func (w *workerState) healthy() bool { return w.failures == 0 && w.stalls == 0 }

// fits reports whether t may start on w, an eligible worker: w is of its service, has
// room, is of the kind or rack that the step's Label names, and has fewer than
// PerWorker tasks of the step. A task that failed before goes neither to the
// worker of its newest failure nor to one with failures since a run was last done, unless it
// is bound to w by a late start.
func fits(w *workerState, t *task, isBound bool) bool {
	if w.Service != t.job.Service {
		return false
	}
	if !w.free.Fits(t.step.Need) || !isBound && t.failures > 0 && (w.Worker == t.lastFailedOn || w.failures > 0) {
		return false
	}
	if t.step.Label != "" && t.step.Label != string(w.Kind) && t.step.Label != string(w.Rack) {
		return false
	}
	return t.step.PerWorker == 0 || w.count(t) < t.step.PerWorker
}

// count returns the number of tasks of t's step that are assigned to w.
func (w *workerState) count(t *task) int {
	n := 0
	for name := range w.tasks {
		if name.Job == t.name.Job && name.Step == t.name.Step {
			n++
		}
	}
	return n
}

// startTask assigns t to w and orders a new run of it there.
func (p *Pool) startTask(now time.Time, w *workerState, t *task) {
	p.Counts.Started++
	t.beginRun(now, max(t.lastRun, p.lateStarts.HighestRun(t.name))+1)
	t.phase = starting
	t.job.mayHaveStarted = true
	t.assign(w)
	p.trackStart(now, w, t)
	w.reserved = p.isSuspect(t) || p.coldSlots(now, w, 1) == 0
	p.orderStart(now, w, t)
	p.poll(now, w)
}

// orderStart orders the start of t's current run on w.
func (p *Pool) orderStart(now time.Time, w *workerState, t *task) {
	d := p.leaseDeadline(now, w)
	t.startSentAt, t.lapsesAt = now, w.timing.ReachedBy(now, d)
	p.enqueueOrder(now, w, Order{
		Kind: StartOrder, Task: t.name, Run: t.run, Spec: t.job.Job.Spec, Deadline: d,
		Repeated: t.repeated(), Known: w.news(),
	})
}
