package pool

import (
	"cmp"
	"time"

	"tamarackpin.example/internal/evacuation"
	"tamarackpin.example/internal/job"
)

// defaultEvacuationBound applies where the platform states no bound after which nothing may start in an evacuated
// failure domain: longer than most jobs that have begun take.
const defaultEvacuationBound = 5 * time.Second

// evacuationGrace returns how long after an operator's order to evacuate the failure domain tasks of jobs that have
// begun may start: half of the bound, which counts from the acknowledgement. The rest allows for orders that are late.
func (c Config) evacuationGrace() time.Duration {
	return cmp.Or(c.EvacuationBound, defaultEvacuationBound) / 2
}

// SetEvacuation tells the Pool the newest order of operators for its failure domain; zero if there was none. It is
// called before anything else at a time.
func (p *Pool) SetEvacuation(now time.Time, d evacuation.Domain) {
	before := p.evacuation
	if d.Revision < before.Revision {
		return
	}
	if before.Evacuated && d.Evacuated && before.Since.Before(d.Since) {
		d.Since = before.Since // an order that repeats the one in force allows no more starts
	}
	known := !p.config.EvacuationUnknown
	p.evacuation, p.config.EvacuationUnknown = d, false
	if before.Evacuated && !d.Evacuated {
		for _, w := range p.byID {
			w.doneSinceReturn = 0
		}
	}
	switch {
	case d.Evacuated && !before.Evacuated:
		p.returnJobs(now)
	case !d.Evacuated && (before.Evacuated || !known):
		p.scheduleTasks(now)
	}
}

// withholdsStarts reports whether no task of j may be started, whatever the reason for the start: the failure
// domain is evacuated, or that is not known yet. Tasks of a job that may have begun start within the grace period.
func (p *Pool) withholdsStarts(now time.Time, j *jobState) bool {
	if p.config.EvacuationUnknown || !p.evacuation.Evacuated {
		return p.config.EvacuationUnknown
	}
	return !p.inGrace(now) || !j.begun() && !j.mayHaveStarted
}

func (p *Pool) inGrace(now time.Time) bool {
	return now.Sub(p.evacuation.Since) < p.config.evacuationGrace()
}

// returnJobs answers the pending jobs that an evacuation keeps from starting. It replaces shedLoad meanwhile.
func (p *Pool) returnJobs(now time.Time) {
	if p.mayHaveUnknownRuns(now) {
		return // any job may be running; a list of runs will show it
	}
	for _, j := range p.waitingJobs() {
		p.returnJob(now, j)
	}
}

// returnJob answers j, which has waiting tasks and is kept from starting them. If it has not begun, its gate tries it
// in other failure domains. If it has, it is answered once the grace is over: it cannot be completed any more.
func (p *Pool) returnJob(now time.Time, j *jobState) {
	const reason = "the failure domain is evacuated"
	a := Answer{Outcome: job.NotRun, Reason: reason, RetryAfter: minRetryAfter}
	switch {
	case p.mayHaveStarted(now, j) || p.hasLateStart(now, j):
		if p.inGrace(now) {
			return
		}
		a = Answer{Outcome: job.Abandoned, Reason: reason}
	case j.Offloaded || j.CanOffload:
		p.Counts.JobsMoved++
		p.tryElsewhere(j, &a)
	}
	for _, t := range j.tasks {
		if t.phase == waiting {
			p.Counts.StartsWithheld++
		}
	}
	p.answer(now, j, a)
}

// coldSlots returns how many of n free slots of w may be used. A worker that is slow after its start, in a failure
// domain that was returned to service, gets one task more at a time than it has completed since. So its share of the
// load grows with what it has shown, and its factor is learned before it has many tasks.
func (p *Pool) coldSlots(now time.Time, w *workerState, n int) int {
	returned := p.evacuation.Revision > 0 && !p.evacuation.Evacuated
	if !returned || now.Sub(w.AnnouncedAt) >= w.ColdRemaining {
		return n
	}
	return min(n, max(0, 1+w.doneSinceReturn-len(w.tasks)))
}
