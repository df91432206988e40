package pool

import (
	"time"

	"tamarackpin.example/internal/job"
)

// Submit accepts a job. A job that is known already goes on as it is; the
// answer to its admission serves both.
func (p *Pool) Submit(now time.Time, r Request) Admission {
	if j := p.jobs[r.Job.ID]; j != nil && !j.ended {
		j.callerDeadline = later(j.callerDeadline, now.Add(r.RemainingWait))
		if r.MayBeRunning && !j.mayHaveStarted {
			j.mayHaveStarted, j.recoveryUntil = true, p.startedAt.Add(recoveryDelay)
		}
		return j.admission
	}
	p.lastAdmission++
	j := &jobState{Request: r, admission: Admission{r.Job.ID, p.lastAdmission}, arrivedAt: now.Add(-r.Age), callerDeadline: now.Add(r.RemainingWait)}
	if r.MayBeRunning {
		j.mayHaveStarted = true
		j.recoveryUntil = p.startedAt.Add(recoveryDelay)
	}
	if p.recoveringFromDivision(now) {
		j.mayHaveStarted, j.earliestStart = true, p.config.DividedAt.Add(recoveryDelay)
	}
	j.expectedWork = j.criticalPath(func(s *job.Step) time.Duration { return p.estimator.Work(r.Row, s) })
	j.objectiveDeadline = j.arrivedAt.Add(time.Duration(r.Stretch*float64(j.expectedWork)) + r.Latency)
	createTasks(j)
	if old := p.jobs[r.Job.ID]; old != nil {
		j.inherit(old)
	}
	p.jobs[r.Job.ID] = j
	if !p.recoveringFromDivision(now) {
		p.adopt(j)
	}
	p.placeTasks(now)
	if j.hasWaitingTasks() {
		p.shedLoad(now)
	}
	return j.admission
}

// Lookup returns the admission of a job that is not answered.
func (p *Pool) Lookup(id job.ID) (a Admission, ok bool) {
	if j := p.jobs[id]; j != nil && !j.ended {
		return j.admission, true
	}
	return Admission{}, false
}

// recoveringFromDivision reports whether dispatchers of before the workers were divided may
// still run any job, also on workers of other groups. As after a takeover, they
// are refused by every worker that was looked at, and their leases last a second.
// Until then nothing starts, and what runs is stopped rather than adopted: one of
// them may have given it up and start it elsewhere.
func (p *Pool) recoveringFromDivision(now time.Time) bool {
	return now.Sub(p.config.DividedAt) < recoveryDelay
}

// inherit takes over what is known of a withdrawn job of the same id: that it has
// begun, and the tasks that may still be on workers, so that none runs twice.
func (j *jobState) inherit(old *jobState) {
	j.mayHaveStarted = j.mayHaveStarted || old.mayHaveStarted
	for i, t := range old.tasks {
		if i >= len(j.tasks) || t.name != j.tasks[i].name {
			return
		}
		j.tasks[i].run = t.run
		if t.placed() {
			t.job, t.step = j, j.tasks[i].step
			j.tasks[i] = t
		}
	}
}

// adopt assigns to j the runs that were found on workers at the takeover.
func (p *Pool) adopt(j *jobState) {
	for _, w := range p.byID {
		if len(w.orphans) == 0 {
			continue
		}
		for _, t := range j.tasks {
			run, found := w.orphans[t.name]
			if !found || t.placed() {
				continue
			}
			delete(w.orphans, t.name)
			t.run, t.phase = run, running
			j.mayHaveStarted = true
			t.orderedAt, t.ackedAt = p.startedAt, p.startedAt
			t.assign(w)
		}
	}
}

// Withdraw ends a job if a is its admission: nobody waits for it any more.
func (p *Pool) Withdraw(now time.Time, a Admission) {
	if j := p.jobs[a.Job]; j != nil && j.admission == a && !j.ended {
		p.endJob(now, j)
	}
}

// endJob stops what is left of a job.
func (p *Pool) endJob(now time.Time, j *jobState) {
	j.ended = true
	for _, t := range j.tasks {
		switch {
		case !t.placed():
			t.phase = ended
		case t.phase == running || t.phase == starting:
			p.stopTask(now, t)
		}
	}
	p.forgetIfDone(j)
}

// forgetIfDone forgets a job that is over once none of its tasks may run.
func (p *Pool) forgetIfDone(j *jobState) {
	if !j.ended || p.jobs[j.Job.ID] != j {
		return
	}
	for _, t := range j.tasks {
		if t.placed() {
			return
		}
	}
	delete(p.jobs, j.Job.ID)
}

// answer ends a job with what its caller is told.
func (p *Pool) answer(now time.Time, j *jobState, a Answer) {
	a.Admission = j.admission
	p.answers = append(p.answers, a)
	p.endJob(now, j)
}
