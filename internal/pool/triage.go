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

// place is room for one task on a worker, and when it is free.
type place struct {
	free   time.Time
	factor float64
}

// forecast is what the workers are expected to do: a heap of places, the first
// free one on top.
type forecast []place

func (f forecast) Len() int           { return len(f) }
func (f forecast) Less(i, j int) bool { return f[i].free.Before(f[j].free) }
func (f forecast) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }

// Push is part of [heap.Interface].
func (f *forecast) Push(x any) { *f = append(*f, x.(place)) }

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
		if !w.sound(now) {
			continue
		}
		factor := p.learn.Factor(w.Kind, w.Worker)
		places := w.Room.MilliCores / need
		for _, t := range placedTasks(w) {
			if places--; places < 0 {
				break
			}
			took := time.Duration(float64(p.learn.Work(t.of.Row, t.step)) * factor)
			f = append(f, place{later(now, t.ordered.Add(took)), factor})
		}
		for range max(0, places) {
			f = append(f, place{now, factor})
		}
	}
	heap.Init(&f)
	return f
}

// run adds the tasks of j that wait, and returns when the last will end.
func (f forecast) run(p *Pool, j *jobState) time.Time {
	var end time.Time
	for _, t := range j.tasks {
		if t.phase != waiting {
			continue
		}
		first := &f[0]
		first.free = first.free.Add(time.Duration(float64(p.learn.Work(j.Row, t.step)) * first.factor))
		end = later(end, first.free)
		heap.Fix(&f, 0)
	}
	return end
}

// triage decides which jobs that wait can still meet their objective, given all
// that is ahead of them, and refuses those that cannot be of use any more.
func (p *Pool) triage(now time.Time) {
	p.triaged = now
	queue := p.waitingJobs()
	if len(queue) == 0 {
		return
	}
	f := p.forecast(now, meanNeed(queue))
	if len(f) == 0 {
		p.refuseHopeless(now)
		return
	}
	var late []*jobState
	before := make(forecast, len(f))
	for _, j := range queue {
		if j.late = j.rank(now) > 0; j.late {
			late = append(late, j)
			continue
		}
		copy(before, f)
		if end := f.run(p, j); end.After(j.due.Add(triageSlack)) {
			j.late = true
			late = append(late, j)
			copy(f, before)
		}
	}
	for _, j := range late {
		switch {
		case j.began:
			f.run(p, j)
			continue
		case j.Offloaded, j.CanOffload && now.Sub(j.arrived) < j.due.Sub(j.arrived)/2:
			p.answer(now, j, Answer{Outcome: job.NotRun, Reason: "it would be late in this group", RetryAfter: minRetryAfter, TryElsewhere: true})
			continue
		}
		copy(before, f)
		end, limit := f.run(p, j), j.useless()
		if end.After(limit.Add(triageSlack)) {
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
	need, tasks := usualNeed, 0
	if queue := p.waitingJobs(); len(queue) > 0 {
		need = meanNeed(queue)
		for _, j := range queue {
			tasks += len(j.tasks)
		}
	}
	for _, w := range p.byID {
		if w.sound(now) {
			r.FreeSlots += max(0, w.free.MilliCores/need)
		}
	}
	r.FreeSlots -= tasks
	return r
}

// usualNeed is assumed of tasks while none waits: the mean of today's tasks, in
// thousandths of a core.
const usualNeed = 6800

// meanNeed returns the thousandths of a core that a task of these jobs needs.
func meanNeed(jobs []*jobState) int {
	sum := 0
	for _, j := range jobs {
		sum += j.Job.Steps[0].Need.MilliCores
	}
	return max(1, sum/len(jobs))
}

// triageSlack forgives errors of the estimate, so that jobs near their objective
// are not given up too soon.
const triageSlack = 50 * time.Millisecond

// minRetryAfter is the least that a refused caller is told to wait: the unit of
// the header.
const minRetryAfter = time.Second

// waitingJobs returns the jobs with tasks that wait, by their objectives.
func (p *Pool) waitingJobs() []*jobState { return p.jobsThat((*jobState).waits) }

// jobsThat returns the jobs that are not answered and that keep holds for, by
// their objectives.
func (p *Pool) jobsThat(keep func(*jobState) bool) []*jobState {
	var list []*jobState
	for _, j := range p.jobs {
		if !j.ended && keep(j) {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *jobState) int {
		return cmp.Or(a.due.Compare(b.due), cmp.Compare(a.Job.ID, b.Job.ID))
	})
	return list
}

// useless returns the time after which the caller does not wait or has no use
// for the job.
func (j *jobState) useless() time.Time {
	limit := j.arrived.Add(lateStretch * j.due.Sub(j.arrived))
	if j.until.Before(limit) {
		return j.until
	}
	return limit
}

// refuseHopeless refuses the jobs that have not begun and whose callers leave
// before a run could end.
func (p *Pool) refuseHopeless(now time.Time) {
	hopeless := p.jobsThat(func(j *jobState) bool { return !j.began && now.Add(j.work/2).After(j.until) })
	for _, j := range hopeless {
		p.answer(now, j, Answer{Outcome: job.NotRun, Reason: "the caller leaves before the job could end", RetryAfter: minRetryAfter})
	}
}
