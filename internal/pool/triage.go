package pool

import (
	"cmp"
	"slices"
	"time"

	"tamarackpin.example/internal/job"
)

// Rules for load beyond what the workers can do. The pattern they answer is a
// rush of all kinds at 1.3 times the load while a quarter of the workers is
// lost: without them every job waits until it is late, and callers hold on to
// their deadlines for nothing.
const (
	// usedPart is the part of the workers' cores that tasks fill: two of 6.8 cores
	// on 16.
	usedPart = 0.85
	// uncertainty is how far off the times of single jobs are, as the users say.
	uncertainty = 1.4
	// lateStretch is how many times its objective a job may take before it is of
	// no use to its caller, as the users count lateness.
	lateStretch = 3
)

// Load is what the workers have to do and can do, in thousandths of a core times
// seconds.
type Load struct {
	Running float64 // left of what runs
	Rate    float64 // done a second
}

// load measures the Load now.
func (p *Pool) load(now time.Time) Load {
	var l Load
	for _, w := range p.workers {
		if !w.sound(now) {
			continue
		}
		factor := p.learn.Factor(w.Kind, w.Worker)
		l.Rate += usedPart * float64(w.Room.MilliCores) / factor
		for _, t := range w.tasks {
			left := p.learn.Work(t.of.Row, t.step).Seconds() - now.Sub(t.ordered).Seconds()/factor
			l.Running += max(0, left) * float64(t.step.Need.MilliCores)
		}
	}
	return l
}

// size returns the work of what waits of j.
func (p *Pool) size(j *jobState) float64 {
	total := 0.0
	for _, t := range j.tasks {
		if t.phase == waiting {
			total += p.learn.Work(j.Row, t.step).Seconds() * float64(t.step.Need.MilliCores)
		}
	}
	return total
}

// triage decides which jobs that wait can still meet their objective, given all
// that is ahead of them, and refuses those that cannot be of use any more. Going
// by the objectives, it gives up the largest of the less urgent jobs ahead
// whenever one would be late, so that as many as possible are in time.
func (p *Pool) triage(now time.Time) {
	l := p.load(now)
	if l.Rate <= 0 {
		p.refuseHopeless(now)
		return
	}
	var kept []*jobState
	ahead := l.Running
	queue := p.waitingJobs()
	for _, j := range queue {
		j.late = now.Add(j.work / 2).After(j.due)
		if j.late {
			continue
		}
		kept = append(kept, j)
		ahead += j.size
		for len(kept) > 0 && now.Add(p.span(ahead, l)+j.work/2).After(j.due.Add(triageSlack)) {
			worst := slices.MaxFunc(kept, compareBurden)
			worst.late = true
			ahead -= worst.size
			kept = slices.DeleteFunc(kept, func(k *jobState) bool { return k == worst })
			if worst == j {
				break
			}
		}
	}
	for _, j := range queue {
		if !j.late {
			continue
		}
		ahead += j.size
		if j.began {
			continue
		}
		end := now.Add(p.span(ahead, l) + j.work/2)
		if limit := j.useless(); end.After(limit) {
			p.answer(now, j, Answer{
				Outcome: job.NotRun, Reason: "the work ahead takes longer than the job is of use",
				RetryAfter: max(minRetryAfter, end.Sub(limit)),
			})
			ahead -= j.size
		}
	}
}

// triageSlack forgives errors of the estimate, so that jobs near their objective
// are not given up too soon.
const triageSlack = 50 * time.Millisecond

// minRetryAfter is the least that a refused caller is told to wait: the unit of
// the header.
const minRetryAfter = time.Second

// span returns how long the workers need for an amount of work.
func (p *Pool) span(work float64, l Load) time.Duration { return seconds(work / l.Rate) }

// waitingJobs returns the jobs with tasks that wait, by their objectives.
func (p *Pool) waitingJobs() []*jobState {
	var list []*jobState
	for _, j := range p.jobs {
		if !j.ended && j.waits() {
			j.size = p.size(j)
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *jobState) int {
		return cmp.Or(a.due.Compare(b.due), cmp.Compare(a.Job.ID, b.Job.ID))
	})
	return list
}

// compareBurden orders jobs by what giving them up gains for others: first those
// that have not begun, then the larger.
func compareBurden(a, b *jobState) int {
	if a.began != b.began {
		if a.began {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.size, b.size), cmp.Compare(a.Job.ID, b.Job.ID))
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
	for _, j := range p.jobs {
		if !j.ended && !j.began && now.Add(j.work/2).After(j.until) {
			p.answer(now, j, Answer{Outcome: job.NotRun, Reason: "the caller leaves before the job could end", RetryAfter: minRetryAfter})
		}
	}
}
