package pool

import (
	"time"

	"tamarackpin.example/internal/job"
)

// Submit takes in a job. A job that is known already goes on as it is; the
// answer to its admission serves both.
func (p *Pool) Submit(now time.Time, r Request) Admission {
	if j := p.jobs[r.Job.ID]; j != nil && !j.ended {
		j.until = later(j.until, now.Add(r.RemainingWait))
		if r.MayBeRunning && !j.began {
			j.began, j.settle = true, p.begun.Add(settleTime)
		}
		return j.admission
	}
	p.admissions++
	j := &jobState{Request: r, admission: Admission{r.Job.ID, p.admissions}, arrived: now.Add(-r.Age), until: now.Add(r.RemainingWait)}
	if r.MayBeRunning {
		j.began = true
		j.settle = p.begun.Add(settleTime)
	}
	if p.dividing(now) {
		j.began, j.barred = true, p.config.DividedAt.Add(settleTime)
	}
	j.work = j.longest(func(s *job.Step) time.Duration { return p.learn.Work(r.Row, s) })
	j.due = j.arrived.Add(time.Duration(r.Stretch*float64(j.work)) + r.Latency)
	tasksOf(j)
	if old := p.jobs[r.Job.ID]; old != nil {
		j.inherit(old)
	}
	p.jobs[r.Job.ID] = j
	if !p.dividing(now) {
		p.adopt(j)
	}
	p.place(now)
	if j.waits() {
		p.triage(now)
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

// dividing reports whether dispatchers of before the workers were divided may
// still run any job, also on workers of other groups. As after a takeover, they
// are refused by every worker that was looked at, and their leases last a second.
// Until then nothing starts, and what runs is stopped rather than adopted: one of
// them may have given it up and start it elsewhere.
func (p *Pool) dividing(now time.Time) bool { return now.Sub(p.config.DividedAt) < settleTime }

// inherit takes over what is known of a withdrawn job of the same id: that it has
// begun, and the tasks that may still be on workers, so that none runs twice.
func (j *jobState) inherit(old *jobState) {
	j.began = j.began || old.began
	for i, t := range old.tasks {
		if i >= len(j.tasks) || t.name != j.tasks[i].name {
			return
		}
		j.tasks[i].run = t.run
		if t.placed() {
			t.of, t.step = j, j.tasks[i].step
			j.tasks[i] = t
		}
	}
}

// adopt takes in runs that were found on workers at the takeover.
func (p *Pool) adopt(j *jobState) {
	for _, w := range p.byID {
		if len(w.alien) == 0 {
			continue
		}
		for _, t := range j.tasks {
			run, found := w.alien[t.name]
			if !found || t.placed() {
				continue
			}
			delete(w.alien, t.name)
			t.run, t.phase = run, running
			j.began = true
			t.ordered, t.acked = p.begun, p.begun
			t.assign(w)
		}
	}
}

// Withdraw takes in that nobody waits for an admission any more.
func (p *Pool) Withdraw(now time.Time, a Admission) {
	if j := p.jobs[a.Job]; j != nil && j.admission == a && !j.ended {
		p.end(now, j)
	}
}

// end stops what is left of a job.
func (p *Pool) end(now time.Time, j *jobState) {
	j.ended = true
	for _, t := range j.tasks {
		switch {
		case !t.placed():
			t.phase = ended
		case t.phase == running || t.phase == starting:
			p.stop(now, t)
		}
	}
	p.tidy(j)
}

// tidy forgets a job that is over once none of its tasks may run.
func (p *Pool) tidy(j *jobState) {
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
	p.end(now, j)
}
