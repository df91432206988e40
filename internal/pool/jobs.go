package pool

import (
	"time"

	"tamarackpin.example/internal/job"
)

// Submit adds a job and starts those of its tasks that it can. A job that is
// already pending goes on as it is, with the later of the two caller deadlines:
// its admission is returned, and one answer serves both requests. One that was
// offloaded is returned to be offloaded to the same group.
func (p *Pool) Submit(now time.Time, r Request) Admission {
	if r.GateHeardAt.IsZero() {
		r.GateHeardAt = now
	}
	if j := p.jobs[r.Job.ID]; j != nil && !j.closed {
		j.callerDeadline = later(j.callerDeadline, now.Add(r.RemainingWait))
		if r.MayBeRunning {
			p.recordForward(now, j, r.EarlierContactAge)
		}
		return j.admission
	}
	if a, redirected := p.redirect(now, r); redirected {
		return a
	}
	p.lastAdmission++
	j := &jobState{Request: r, admission: Admission{r.Job.ID, p.lastAdmission}, arrivedAt: now.Add(-r.Age), callerDeadline: now.Add(r.RemainingWait)}
	j.gate.HeardAt = r.GateHeardAt
	if r.MayBeRunning {
		p.recordForward(now, j, r.EarlierContactAge)
	}
	j.mayHaveStarted = j.mayHaveStarted || p.newlyDivided(now)
	j.expectedWork = j.criticalPath(func(s *job.Step) time.Duration { return p.estimator.Work(r.Row, s) })
	j.objectiveDeadline = j.arrivedAt.Add(time.Duration(r.Stretch*float64(j.expectedWork)) + r.Latency)
	createTasks(j)
	if !r.Offloaded && !r.OffloadRefused && !r.MayBeRunning { // a job counts once, in its own group
		for _, t := range j.tasks {
			p.demand.add(now, p.estimator.Work(r.Row, t.step))
		}
	}
	j.work = j.totalWork(func(s *job.Step) time.Duration { return p.estimator.Work(r.Row, s) })
	if !r.OffloadRefused && !r.MayBeRunning { // nor in its row
		p.shares.add(now, r.Row, j.work)
	}
	if old := p.jobs[r.Job.ID]; old != nil {
		j.inherit(old)
	}
	p.jobs[r.Job.ID] = j
	j.mayHaveStarted = j.mayHaveStarted || p.hasLateStart(now, j) || p.runsUnclaimed(now, j)
	if p.isGivenUp(j) {
		p.giveUp(now, j)
		return j.admission
	}
	if !p.newlyDivided(now) {
		p.adopt(now, j)
	}
	p.scheduleTasks(now)
	if p.evacuation.Evacuated && j.hasWaitingTasks() && !p.mayHaveUnknownRuns(now) {
		p.returnJob(now, j)
		return j.admission
	}
	if j.hasWaitingTasks() && now.Sub(p.lastShedAt) >= p.shedGap() {
		p.shedLoad(now) // otherwise within shedInterval
	}
	return j.admission
}

// Lookup returns the admission of a job that is pending: neither answered nor withdrawn.
func (p *Pool) Lookup(id job.ID) (a Admission, ok bool) {
	if j := p.jobs[id]; j != nil && !j.closed {
		return j.admission, true
	}
	return Admission{}, false
}

// newlyDivided reports whether the last division of the workers into groups is so
// recent that runs ordered by dispatchers from before it may go on, also on workers of
// other groups. As after a takeover, a worker refuses the orders of those
// dispatchers once a new one has queried it, and their leases last one second.
// Meanwhile nothing starts, and runs that are found are stopped and not adopted: the
// dispatcher that ordered a run may have given it up and may start its task
// elsewhere.
func (p *Pool) newlyDivided(now time.Time) bool { return now.Sub(p.config.DividedAt) < recoveryDelay }

// inherit copies from a closed job of the same id whether it may have started, the
// run numbers, and the tasks that may still be on workers, so that none runs twice.
// It stops at the first task whose name differs: that one and the rest are not
// inherited.
func (j *jobState) inherit(old *jobState) {
	j.mayHaveStarted = j.mayHaveStarted || old.mayHaveStarted
	for i, t := range old.tasks {
		if i >= len(j.tasks) || t.name != j.tasks[i].name {
			return
		}
		j.tasks[i].lastRun = t.lastRun
		if t.assigned() {
			t.job, t.step = j, j.tasks[i].step
			j.tasks[i] = t
		}
	}
}

// adopt assigns to j its waiting tasks' orphan runs: those that workers list and that an
// earlier dispatcher started. They go on rather than start again.
func (p *Pool) adopt(now time.Time, j *jobState) {
	for _, w := range p.byID {
		if len(w.orphans) == 0 {
			continue
		}
		for _, t := range j.tasks {
			run, found := w.orphans[t.name]
			if !found || t.phase != waiting {
				continue
			}
			delete(w.orphans, t.name)
			t.beginRun(p.startedAt, run) // marks the run as adopted, see handleEnd
			t.phase, t.ackedAt, t.progressAt = running, p.startedAt, now
			j.mayHaveStarted = true
			t.assign(w)
		}
	}
}

// NeverStarted reports whether a is the current admission of a job of which no dispatcher has started a task.
func (p *Pool) NeverStarted(now time.Time, a Admission) bool {
	j := p.jobs[a.Job]
	return j != nil && j.admission == a && !j.closed && !p.mayHaveStarted(now, j) && !p.hasLateStart(now, j)
}

// Withdraw closes a job without an answer, if a is its current admission: no caller
// waits for it any more.
func (p *Pool) Withdraw(now time.Time, a Admission) {
	if j := p.jobs[a.Job]; j != nil && j.admission == a && !j.closed {
		p.reportLateStarts(now, j)
		p.closeJob(now, j)
		if p.gateSilent(now, j) { // otherwise there is time to see whether the stops are answered
			p.reportUnclaimed(now, j)
		}
	}
}

// Release answers a job as not run, if a is its current admission and none of its tasks may have been
// started. The entry VM that waits for it stops before its caller's deadline.
func (p *Pool) Release(now time.Time, a Admission) {
	if j := p.jobs[a.Job]; j != nil && j.admission == a && !j.closed && !p.mayHaveStarted(now, j) {
		p.answer(now, j, Answer{Outcome: job.NotRun, Reason: "the entry VM that accepted it stops", RetryAfter: releaseRetryAfter})
	}
}

// releaseRetryAfter is the retry delay for callers of an entry VM that stops: the load balancer sends them
// to another one meanwhile.
const releaseRetryAfter = time.Second

// closeJob marks j as closed and stops the tasks that may run.
func (p *Pool) closeJob(now time.Time, j *jobState) {
	j.closed = true
	for _, t := range j.tasks {
		switch {
		case !t.assigned():
			t.phase = finished
		case t.phase == running || t.phase == starting || t.phase == inDoubt:
			p.stopTask(now, t)
		}
	}
	p.forgetIfDone(j)
}

// forgetIfDone drops j if it is closed and none of its tasks may run any more.
func (p *Pool) forgetIfDone(j *jobState) {
	if !j.closed || p.jobs[j.Job.ID] != j {
		return
	}
	for _, t := range j.tasks {
		if t.assigned() {
			return
		}
	}
	delete(p.jobs, j.Job.ID)
}

// answer queues a as the answer to j's admission and closes j.
func (p *Pool) answer(now time.Time, j *jobState, a Answer) {
	a.Admission = j.admission
	if a.Outcome == job.NotRun && p.hasLateStart(now, j) { // reported by another dispatcher meanwhile
		a = Answer{Admission: j.admission, Outcome: job.Abandoned, Reason: a.Reason}
	}
	if a.Outcome == job.Completed {
		for _, t := range j.tasks {
			a.Tasks = append(a.Tasks, t.record())
		}
	}
	if j.Offloaded && a.TryElsewhere {
		a.FreeSlots = p.currentFreeSlots(now)
	}
	p.answers = append(p.answers, a)
	if a.Outcome == job.Abandoned {
		p.reportLateStarts(now, j)
	}
	p.closeJob(now, j)
}
