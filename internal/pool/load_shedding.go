package pool

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"tamarackpin.example/internal/job"
)

// Bounds for load shedding. The case to withstand is a rush of jobs of all kinds at
// 1.3 times the load while a quarter of the workers is lost: without shedding,
// every job waits until it is late, and callers wait until their deadlines for
// nothing.
const (
	// uncertainty is the factor by which estimates of single jobs are off, as the
	// users state it.
	uncertainty = 1.4
	// usefulFactor is how many times its latency objective (a duration, from arrival
	// to the objective deadline) a job may take before it is of no use to its caller,
	// as the users define lateness. It differs from jobState.expectedLate, which
	// holds as soon as the objective deadline itself is expected to be missed.
	usefulFactor = 3
)

const (
	// fewJobs is the number of pending jobs up to which load is shed at each arrival.
	fewJobs = 64
	// shedGapPerJob is the least time between two runs of shedLoad, for each pending job
	// beyond that: their cost grows with the jobs, and the arrivals of a rush would take all
	// of a dispatcher's processor. It is far below what an objective allows.
	shedGapPerJob = 50 * time.Microsecond
)

// shedGap returns the least time between two runs of shedLoad caused by arrivals.
func (p *Pool) shedGap() time.Duration {
	return min(shedInterval, time.Duration(max(0, len(p.jobs)-fewJobs))*shedGapPerJob)
}

// slot is capacity for one task on a worker.
type slot struct {
	freeAt time.Time // when the task that has it is expected to end
	factor float64   // time per unit of work on the worker, see Estimator.Factor
}

// forecast is the expected use of the workers: a heap of slots, the one that is
// free first on top. It counts cores only: memory, accelerators, placement
// constraints and the order of steps are ignored.
type forecast []slot

func (f forecast) Len() int           { return len(f) }
func (f forecast) Less(i, j int) bool { return f[i].freeAt.Before(f[j].freeAt) }
func (f forecast) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }

// Push is part of [heap.Interface].
func (f *forecast) Push(x any) { *f = append(*f, x.(slot)) }

// Pop is part of [heap.Interface].
func (f *forecast) Pop() any {
	last := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
	return last
}

// forecast returns the slots of all eligible workers, whatever their service, for
// tasks that need so many thousandths of a core each. The tasks that a worker has
// now take one slot each, whatever their need. A worker has at most [job.MaxTasks] free
// slots, enough for any job: its capacity is what an announcement says.
func (p *Pool) forecast(now time.Time, need int) forecast {
	var f forecast
	for _, w := range p.byID {
		if !w.eligible(now) {
			continue
		}
		factor := p.estimator.Factor(w.Kind, w.Worker)
		slots := w.Capacity.MilliCores / need
		for _, t := range assignedTasks(w) {
			if slots--; slots < 0 {
				break
			}
			f = append(f, slot{p.expectedEnd(now, w, t), factor})
		}
		for range min(p.coldSlots(now, w, max(0, slots)), job.MaxTasks) {
			f = append(f, slot{now, factor})
		}
	}
	heap.Init(&f)
	return f
}

// add puts the waiting tasks of j into the slots that are free first, as if all their
// steps were ready, and returns when the last is expected to end. f must not be
// empty.
func (f forecast) add(p *Pool, j *jobState) time.Time {
	var end time.Time
	for _, t := range j.tasks {
		if t.phase != waiting {
			continue
		}
		first := &f[0]
		first.freeAt = first.freeAt.Add(time.Duration(float64(p.estimator.Work(j.Row, t.step)) * first.factor))
		end = later(end, first.freeAt)
		heap.Fix(&f, 0)
	}
	return end
}

// shedLoad marks the waiting jobs that are expected to miss their objective deadline,
// given the work ahead of them, as expectedLate, and refuses those that can't be done
// while they are of use. To refuse a job is to answer it as NotRun; a worker's
// [Refusal] is of an order. An expectedLate job that came from another group, or
// may go to one and has half of its latency objective left, is refused at once so
// that it is tried elsewhere. Jobs that may have started are not refused; those that have
// begun here come first.
func (p *Pool) shedLoad(now time.Time) {
	p.lastShedAt = now
	if p.evacuation.Evacuated {
		p.returnJobs(now)
		return
	}
	queue := p.waitingJobs()
	if len(queue) == 0 {
		return
	}
	f := p.forecast(now, meanNeed(queue))
	if len(f) == 0 {
		p.refuseTooLate(now)
		return
	}
	late, f := p.expectLate(now, queue, f)
	before := make(forecast, len(f))
	for _, j := range late {
		switch {
		case p.mayHaveStarted(now, j):
			f.add(p, j)
			continue
		case j.Offloaded, j.CanOffload && now.Sub(j.arrivedAt) < j.objectiveDeadline.Sub(j.arrivedAt)/2:
			a := Answer{Outcome: job.NotRun, Reason: "it would be late in this group", RetryAfter: minRetryAfter}
			p.tryElsewhere(j, &a)
			p.answer(now, j, a)
			continue
		}
		copy(before, f)
		end, limit := f.add(p, j), j.usefulUntil()
		if end.After(limit.Add(shedSlack)) {
			copy(f, before)
			p.answer(now, j, Answer{
				Outcome: job.NotRun, Reason: "the work ahead takes longer than the job is of use",
				RetryAfter: max(minRetryAfter, end.Sub(limit)),
			})
		}
	}
}

// Report returns the Fence and FreeSlots of the group; the caller fills in the rest.
func (p *Pool) Report(now time.Time) Report {
	r := Report{Fence: p.config.Fence}
	if p.newlyDivided(now) || p.mayHaveUnknownRuns(now) || p.evacuation.Evacuated || p.config.EvacuationUnknown {
		return r
	}
	need, tasks := defaultNeed, 0
	if queue := p.waitingJobs(); len(queue) > 0 {
		need = meanNeed(queue)
		for _, j := range queue {
			tasks += len(j.tasks)
		}
	}
	for _, w := range p.byID {
		if w.eligible(now) {
			r.FreeSlots += p.coldSlots(now, w, max(0, w.free.MilliCores/need))
		}
	}
	r.FreeSlots -= tasks + p.demand.rise(now)
	return r
}

// currentFreeSlots returns the FreeSlots of a Report that is at most shedInterval old: in a rush, most offloaded jobs are
// returned, and the cost of a report grows with the pending jobs.
func (p *Pool) currentFreeSlots(now time.Time) *int {
	if p.freeSlotsAt.IsZero() || now.Sub(p.freeSlotsAt) >= shedInterval {
		p.freeSlots, p.freeSlotsAt = p.Report(now).FreeSlots, now
	}
	n := p.freeSlots
	return &n
}

// defaultNeed is the assumed need of tasks while none waits: the mean of the users'
// present tasks, in thousandths of a core.
const defaultNeed = 6800

// meanNeed returns the mean over the jobs of what a task of their first step needs, in
// thousandths of a core, and at least 1. Each job counts once, whatever its number of
// tasks. jobs must not be empty.
func meanNeed(jobs []*jobState) int {
	sum := 0
	for _, j := range jobs {
		sum += j.Job.Steps[0].Need.MilliCores
	}
	return max(1, sum/len(jobs))
}

// shedSlack allows for errors of the estimate, so that jobs near their objective
// deadline are not given up too early.
const shedSlack = 50 * time.Millisecond

// minRetryAfter is the shortest wait that a refused caller is told: the unit of the
// Retry-After header.
const minRetryAfter = time.Second

// waitingJobs returns the pending jobs with waiting tasks, sorted by objective
// deadline.
func (p *Pool) waitingJobs() []*jobState { return p.pendingJobs((*jobState).hasWaitingTasks) }

// pendingJobs returns the jobs that are not closed and for which keep returns true,
// sorted by objective deadline and then by id.
func (p *Pool) pendingJobs(keep func(*jobState) bool) []*jobState {
	var list []*jobState
	for _, j := range p.jobs {
		if !j.closed && keep(j) {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *jobState) int {
		return cmp.Or(a.objectiveDeadline.Compare(b.objectiveDeadline), cmp.Compare(a.Job.ID, b.Job.ID))
	})
	return list
}

// usefulUntil returns the time after which the caller no longer waits or has no use
// for the job, whichever comes first.
func (j *jobState) usefulUntil() time.Time {
	limit := j.arrivedAt.Add(usefulFactor * j.objectiveDeadline.Sub(j.arrivedAt))
	if j.callerDeadline.Before(limit) {
		return j.callerDeadline
	}
	return limit
}

// refuseTooLate refuses the jobs that have not started and that would outlast their
// callers' deadlines even if they took half the expected work. It is used while no
// worker is eligible.
func (p *Pool) refuseTooLate(now time.Time) {
	tooLate := p.pendingJobs(func(j *jobState) bool {
		return !p.mayHaveStarted(now, j) && now.Add(j.expectedWork/2).After(j.callerDeadline)
	})
	for _, j := range tooLate {
		p.answer(now, j, Answer{Outcome: job.NotRun, Reason: "the caller leaves before the job could end", RetryAfter: minRetryAfter})
	}
}
