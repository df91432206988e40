package pool

import (
	"time"

	"tamarackpin.example/internal/job"
)

// Receive handles the reply to an order, or that none came in time.
func (p *Pool) Receive(now time.Time, r Reply) {
	w := p.workers[r.Worker]
	if w == nil {
		return
	}
	if r.AnsweredBy > w.Incarnation {
		p.handleNewIncarnation(now, w, r)
	}
	if w.Incarnation != r.Incarnation && w.Incarnation != r.AnsweredBy {
		return // of a life that is over
	}
	if r.Refusal != "" {
		p.Counts.Refused[r.Refusal]++
	}
	if r.HasClock {
		w.timing.Observe(r.ReceivedAt, r.Clock)
	}
	if r.Done || r.HasClock {
		w.unanswered = 0
		w.answeredAt = now
	}
	switch {
	case r.Refusal == RefusedFence:
		p.fenced = true
		p.orders = nil
		return
	case r.Refusal == RefusedIncarnation:
		p.handleIncarnationGone(w)
	case !r.Done && (r.Refusal == "" || r.Refusal == RefusedUnsent):
		w.unanswered++
		if r.Refusal == "" && r.Deadline != 0 {
			w.lateOrdersUntil = later(w.lateOrdersUntil, r.Sent.Add(lateOrderLimit))
		}
	}
	switch r.Kind {
	case StartOrder:
		p.handleStartReply(now, w, r)
	case StopOrder:
		p.handleStopReply(now, w, r)
	case RenewOrder:
		p.handleRenewReply(now, w, r)
	}
	p.poll(now, w)
	p.scheduleTasks(now)
}

// handleNewIncarnation handles an answer of a later incarnation under the same name.
func (p *Pool) handleNewIncarnation(now time.Time, w *workerState, r Reply) {
	if r.Kind == StartOrder && r.Done {
		if t := w.tasks[r.Task]; t != nil && t.run == r.Run {
			t.ackedAt = now // by the new one
		}
	}
	h := w.Heard
	h.Incarnation, h.Sequence = r.AnsweredBy, 0
	p.handleRestart(now, w, h)
	if t := w.tasks[r.Task]; r.Kind == StartOrder && r.Done && t != nil && t.run == r.Run {
		t.phase = running
	}
}

// handleIncarnationGone handles that the known incarnation of w has ended.
func (p *Pool) handleIncarnationGone(w *workerState) {
	w.stale = true
	clear(w.orphans)
	for _, t := range assignedTasks(w) {
		p.requeue(t)
		p.forgetIfDone(t.job)
	}
}

// handleStartReply handles the reply to a start.
func (p *Pool) handleStartReply(now time.Time, w *workerState, r Reply) {
	t := w.tasks[r.Task]
	if t == nil || t.run != r.Run {
		return
	}
	switch {
	case r.Done:
		t.ackedAt = now
		if t.phase == starting {
			t.phase = running
		}
		return
	case r.Refusal == "":
		if t.phase == starting {
			p.markInDoubt(now, w, t)
		}
		return
	}
	// The worker did nothing, and will not: the order was answered.
	p.requeue(t)
	p.forgetIfDone(t.job)
	switch r.Refusal {
	case RefusedOld:
		t.run++ // a run of that number ended there under another dispatcher
	case RefusedRoom:
		w.backoffUntil = later(w.backoffUntil, now.Add(noRoomBackoff))
		w.listed = false // look at what runs there
	case RefusedUnhealthy, RefusedInvalid:
		p.recordFailure(now, w)
	}
}

// markInDoubt handles a start without an answer: it may be carried out, also later.
func (p *Pool) markInDoubt(now time.Time, w *workerState, t *task) {
	p.Counts.InDoubt++
	t.phase = inDoubt
	w.unackedStarts = append(w.unackedStarts, unackedStart{t.name, t.run, now})
	p.sendStop(now, t)
}

// noRoomBackoff keeps tasks from a worker that had no room, until it is polled.
const noRoomBackoff = 30 * time.Millisecond

// stopTask orders a run to be stopped.
func (p *Pool) stopTask(now time.Time, t *task) {
	t.phase = stopping
	p.sendStop(now, t)
}

// sendStop sends the stop of a task.
func (p *Pool) sendStop(now time.Time, t *task) {
	t.stopSentAt = now
	p.enqueueOrder(now, t.worker, Order{Kind: StopOrder, Task: t.name, Run: t.run})
}

// handleStopReply handles the reply to a stop. After an acknowledged stop the
// run cannot begin any more, and what runs ends within StopMax.
func (p *Pool) handleStopReply(now time.Time, w *workerState, r Reply) {
	if t := w.tasks[r.Task]; t != nil && t.run == r.Run && r.Done && t.stopAckedAt.Before(r.Sent) {
		t.stopAckedAt = now
	}
}

// Tick handles everything that depends on time alone.
func (p *Pool) Tick(now time.Time) {
	if p.fenced {
		return
	}
	for _, w := range p.byID {
		for _, t := range assignedTasks(w) {
			p.checkTask(now, w, t)
		}
		if w.unanswered > 0 && now.After(w.leasesUntil) {
			clear(w.orphans)
		}
		p.poll(now, w)
	}
	p.expireJobs(now)
	if now.Sub(p.lastShedAt) >= shedInterval {
		p.shedLoad(now)
	}
	p.scheduleTasks(now)
	p.countTasks()
}

// shedInterval is how often the jobs that wait are looked at without an event: less
// than the least that an objective allows for the platform's own time (60 ms).
const shedInterval = 50 * time.Millisecond

// countTasks counts the tasks that wait and run.
func (p *Pool) countTasks() {
	p.Counts.Waiting, p.Counts.Running = 0, 0
	for _, j := range p.jobs {
		for _, t := range j.tasks {
			switch {
			case t.assigned():
				p.Counts.Running++
			case t.phase == waiting:
				p.Counts.Waiting++
			}
		}
	}
}

// checkTask requeues a task on w that has lapsed, and repeats a stop without an answer.
func (p *Pool) checkTask(now time.Time, w *workerState, t *task) {
	if now.After(w.leasesUntil) && now.After(t.lapsesAt) && w.unanswered > 0 {
		p.Counts.Lapsed++
		p.requeue(t)
		p.forgetIfDone(t.job)
		return
	}
	if t.phase != stopping && t.phase != inDoubt {
		return
	}
	switch {
	case !t.stopAckedAt.IsZero() && now.Sub(t.stopAckedAt) > p.config.StopMax+stopSlack:
		p.requeue(t)
		p.forgetIfDone(t.job)
	case t.stopAckedAt.IsZero() && now.Sub(t.stopSentAt) > stopRetryInterval:
		p.sendStop(now, t)
	}
}

// stopSlack covers that a worker looks at its stops now and then.
const stopSlack = 30 * time.Millisecond

// expireJobs answers the jobs whose callers' time is over.
func (p *Pool) expireJobs(now time.Time) {
	for _, j := range p.pendingJobs(func(j *jobState) bool { return !now.Before(j.callerDeadline) }) {
		outcome := job.NotRun
		if j.mayHaveStarted {
			outcome = job.Abandoned
		}
		p.answer(now, j, Answer{Outcome: outcome, Reason: "the caller's time is over", RetryAfter: time.Second})
	}
}
