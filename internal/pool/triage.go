package pool

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"tamarackpin.example/internal/job"
)

// Rules for load beyond what the workers can do. The pattern they answer is a
// rush of all kinds at 1.3 times the load while a quarter of the workers is
// lost: without them every job waits until it is late, and callers hold on to
// their deadlines for nothing.
const (
	// uncertainty is how far off the times of single jobs are, as the users say.
	uncertainty = 1.4
	// lateStretch is how many times its objective a job may take before it is of
	// no use to its caller, as the users count lateness.
	lateStretch = 3
)

// slot is room for one task on a worker, and when it is free.
type slot struct {
	freeAt time.Time
	factor float64
}

// forecast is what the workers are expected to do: a heap of places, the first
// free one on top.
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

// forecast returns the places of the sound workers for tasks that need so much.
func (p *Pool) forecast(now time.Time, need int) forecast {
	var f forecast
	for _, w := range p.byID {
		if !w.eligible(now) {
			continue
		}
		factor := p.estimator.Factor(w.Kind, w.Worker)
		slots := w.Room.MilliCores / need
		for _, t := range assignedTasks(w) {
			if slots--; slots < 0 {
				break
			}
			took := time.Duration(float64(p.estimator.Work(t.job.Row, t.step)) * factor)
			f = append(f, slot{later(now, t.orderedAt.Add(took)), factor})
		}
		for range max(0, slots) {
			f = append(f, slot{now, factor})
		}
	}
	heap.Init(&f)
	return f
}

// add adds the tasks of j that wait, and returns when the last will end.
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

// shedLoad decides which jobs that wait can still meet their objective, given all
// that is ahead of them, and refuses those that cannot be of use any more.
func (p *Pool) shedLoad(now time.Time) {
	p.lastShedAt = now
	queue := p.waitingJobs()
	if len(queue) == 0 {
		return
	}
	f := p.forecast(now, meanNeed(queue))
	if len(f) == 0 {
		p.refuseTooLate(now)
		return
	}
	var late []*jobState
	before := make(forecast, len(f))
	for _, j := range queue {
		if j.late = j.deadlineClass(now) > 0; j.late {
			late = append(late, j)
			continue
		}
		copy(before, f)
		if end := f.add(p, j); end.After(j.objectiveDeadline.Add(shedSlack)) {
			j.late = true
			late = append(late, j)
			copy(f, before)
		}
	}
	for _, j := range late {
		switch {
		case j.mayHaveStarted:
			f.add(p, j)
			continue
		case j.Offloaded, j.CanOffload && now.Sub(j.arrivedAt) < j.objectiveDeadline.Sub(j.arrivedAt)/2:
			p.answer(now, j, Answer{Outcome: job.NotRun, Reason: "it would be late in this group", RetryAfter: minRetryAfter, TryElsewhere: true})
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

// Report returns what other groups need to know.
func (p *Pool) Report(now time.Time) Report {
	r := Report{Fence: p.config.Fence}
	need, tasks := defaultNeed, 0
	if queue := p.waitingJobs(); len(queue) > 0 {
		need = meanNeed(queue)
		for _, j := range queue {
			tasks += len(j.tasks)
		}
	}
	for _, w := range p.byID {
		if w.eligible(now) {
			r.FreeSlots += max(0, w.free.MilliCores/need)
		}
	}
	r.FreeSlots -= tasks
	return r
}

// defaultNeed is assumed of tasks while none waits: the mean of today's tasks, in
// thousandths of a core.
const defaultNeed = 6800

// meanNeed returns the thousandths of a core that a task of these jobs needs.
func meanNeed(jobs []*jobState) int {
	sum := 0
	for _, j := range jobs {
		sum += j.Job.Steps[0].Need.MilliCores
	}
	return max(1, sum/len(jobs))
}

// shedSlack forgives errors of the estimate, so that jobs near their objective
// are not given up too soon.
const shedSlack = 50 * time.Millisecond

// minRetryAfter is the least that a refused caller is told to wait: the unit of
// the header.
const minRetryAfter = time.Second

// waitingJobs returns the jobs with tasks that wait, by their objectives.
func (p *Pool) waitingJobs() []*jobState { return p.pendingJobs((*jobState).hasWaitingTasks) }

// pendingJobs returns the jobs that are not answered and that keep holds for, by
// their objectives.
func (p *Pool) pendingJobs(keep func(*jobState) bool) []*jobState {
	var list []*jobState
	for _, j := range p.jobs {
		if !j.ended && keep(j) {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *jobState) int {
		return cmp.Or(a.objectiveDeadline.Compare(b.objectiveDeadline), cmp.Compare(a.Job.ID, b.Job.ID))
	})
	return list
}

// usefulUntil returns the time after which the caller does not wait or has no use
// for the job.
func (j *jobState) usefulUntil() time.Time {
	limit := j.arrivedAt.Add(lateStretch * j.objectiveDeadline.Sub(j.arrivedAt))
	if j.callerDeadline.Before(limit) {
		return j.callerDeadline
	}
	return limit
}

// refuseHopeless refuses the jobs that have not begun and whose callers leave
// before a run could end.
func (p *Pool) refuseTooLate(now time.Time) {
	tooLate := p.pendingJobs(func(j *jobState) bool { return !j.mayHaveStarted && now.Add(j.expectedWork/2).After(j.callerDeadline) })
	for _, j := range tooLate {
		p.answer(now, j, Answer{Outcome: job.NotRun, Reason: "the caller leaves before the job could end", RetryAfter: minRetryAfter})
	}
}
