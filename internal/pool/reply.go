package pool

import (
	"time"

	"tamarackpin.example/internal/crash"
	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/worker"
)

// Receive handles the reply to an order, or that none came in time (see [Reply]).
// Replies about an earlier incarnation are ignored.
func (p *Pool) Receive(now time.Time, r Reply) {
	w := p.workers[r.Worker]
	if w != nil && w.isAmbiguous(r) {
		r = Reply{Order: r.Order, ReceivedAt: r.ReceivedAt}
	}
	if r.Kind == StartOrder && r.Unanswered() {
		p.addLateStart(now, r.LateStart())
	}
	if w == nil {
		return
	}
	if w.showsRestart(r) {
		p.handleNewIncarnation(now, w, r)
	}
	if w.Incarnation != r.Incarnation && w.Incarnation != r.RepliedBy {
		return // from an earlier incarnation
	}
	if r.Refusal != "" {
		p.Counts.RefusedOrders[r.Refusal]++
	}
	if r.HasClock {
		w.timing.Observe(r.ReceivedAt, r.Clock)
	}
	if r.Done || r.HasClock {
		w.missedReplies = 0
		w.lastReplyAt, w.replyTo = now, later(w.replyTo, r.Sent)
		p.crashes.ObserveReply(now, w.Worker, w.Incarnation, r.Sent)
	}
	if r.NoListener {
		w.noListenerAt = now
	}
	if r.Done && !w.fenceSeen {
		// The last order of an earlier dispatcher was carried out before this one.
		w.fenceSeen, w.leasesUntil = true, later(w.leasesUntil, worker.LapsedBy(now, p.config.LeaseMax))
	}
	switch {
	case r.Refusal == RefusedFence:
		p.fencedBy = w.Worker
		p.orders = nil
		return
	case r.Refusal == RefusedIncarnation:
		p.handleIncarnationGone(now, w)
	case r.Unanswered() || r.Refusal == RefusedUnsent:
		w.missedReplies++
		if r.Unanswered() && r.Deadline != 0 {
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
	p.repeatStarts(now, w)
	p.poll(now, w)
	p.scheduleTasks(now)
}

// handleStartReply handles the reply to a start, or that none came, unless a later
// run of the task was ordered. After a refusal the task waits again, unless the run was listed.
func (p *Pool) handleStartReply(now time.Time, w *workerState, r Reply) {
	t := w.tasks[r.Task]
	if t == nil || t.run != r.Run {
		return
	}
	if !r.Unanswered() && !t.repeated() {
		p.lateStarts.Settle(r.LateStart()) // handleRestart may have recorded it
	}
	switch {
	case r.Done:
		t.ackedAt = now
		if t.phase == starting {
			t.phase = running
		}
		return
	case r.Refusal == "":
		if t.phase == starting && r.Sent.Equal(t.startSentAt) {
			p.Counts.InDoubt++
			t.phase = inDoubt
		}
		return
	case r.Refusal == RefusedUnsent && t.repeated():
		if t.phase == starting && r.Sent.Equal(t.startSentAt) {
			t.phase = inDoubt
		}
		return
	case r.Refusal == RefusedOld && t.repeated():
		// An earlier order of this run was carried out: its end is listed, or will be.
		t.ackedAt = now
		if t.phase == starting || t.phase == inDoubt {
			t.phase = running
		}
		return
	case t.repeated():
		// This order won't be carried out, but an earlier one of the run may be.
		if t.phase == starting {
			p.stopTask(now, t)
		}
	case !t.ackedAt.IsZero():
		// The worker has listed this run; the next list shows whether it still runs.
	default:
		// The worker did not start the task and won't: a refusal is final.
		p.requeue(t)
		p.forgetIfDone(t.job)
	}
	switch r.Refusal {
	case RefusedOld:
		t.lastRun++ // a run of this number ended there under another dispatcher
	case RefusedRoom:
		w.roomRetryAt = now.Add(min(noRoomBackoff<<min(w.roomRefusals, 6), maxNoRoomBackoff))
		w.roomRefusals++
		w.runsKnown = false // query its runs before it gets new tasks
	case RefusedUnhealthy, RefusedInvalid:
		p.recordFailure(now, w)
	}
}

// A worker gets no new tasks for noRoomBackoff after RefusedRoom, doubled for each further
// one up to maxNoRoomBackoff, and until it has listed its runs (runsKnown). One that goes on
// refusing has shrunk: it is tried again once a run ends there, or at its next announcement.
const (
	noRoomBackoff    = 30 * time.Millisecond
	maxNoRoomBackoff = time.Second
)

// resetRoomRefusals ends the backoff after RefusedRoom: w may have room now.
func (w *workerState) resetRoomRefusals() { w.roomRefusals, w.roomRetryAt = 0, time.Time{} }

// stopTask stops the current run of t, which stays assigned until it is known to
// have ended.
func (p *Pool) stopTask(now time.Time, t *task) {
	t.phase, t.stoppingSince = stopping, now
	p.sendStop(now, t)
}

// sendStop orders the current run of t to be stopped, and notes when.
func (p *Pool) sendStop(now time.Time, t *task) {
	t.stopSentAt = now
	t.mayHaveStopped = t.mayHaveStopped || t.worker.lapseEvidence(t.orderedAt) != crash.Refused
	p.enqueueOrder(now, t.worker, Order{Kind: StopOrder, Task: t.name, Run: t.run})
}

// handleStopReply handles the reply to a stop. After an acknowledged stop the run
// cannot start any more, and if it is running it ends within StopMax.
func (p *Pool) handleStopReply(now time.Time, w *workerState, r Reply) {
	if r.Done {
		p.lateStarts.Bar(now, r.Task, r.Run, w.Worker, w.Incarnation, p.config.StopMax+stopSlack)
	}
	if j := p.jobs[r.Task.Job]; r.Unanswered() && j != nil {
		p.reportUnclaimed(now, j)
	}
	// Stops sent before the recorded acknowledgement don't prolong the wait for
	// StopMax; that of a stop sent later starts anew.
	if t := w.tasks[r.Task]; t != nil && t.run == r.Run && r.Done && t.stopAckedAt.Before(r.Sent) {
		t.stopAckedAt = now
	}
}

// Tick handles everything that depends on time alone: lapsed runs, stops to repeat,
// renewals, caller deadlines and load shedding. Each of these is late by up to the
// time between two calls.
func (p *Pool) Tick(now time.Time) {
	if p.Fenced() {
		return
	}
	p.observeGates(now)
	for _, w := range p.byID {
		for _, t := range assignedTasks(w) {
			p.checkTask(now, w, t)
		}
		if w.missedReplies > 0 && now.After(w.leasesUntil) {
			p.recordOrphanLosses(now, w, w.lapseEvidence(p.startedAt))
			clear(w.orphans)
		}
		p.stopLateStarts(now, w)
		p.poll(now, w)
	}
	p.giveUpJobs(now)
	p.giveUpBlockedJobs(now)
	p.expireJobs(now)
	p.expireOffloads(now)
	if now.Sub(p.lastShedAt) >= shedInterval {
		p.shedLoad(now)
	}
	p.scheduleTasks(now)
	p.countTasks()
}

// shedInterval is how often shedLoad runs when no job arrives: less than the least
// time that any objective allows for the platform itself (60 ms).
const shedInterval = 50 * time.Millisecond

// countTasks sets the numbers of waiting and assigned tasks in Counts.
func (p *Pool) countTasks() {
	p.Counts.Waiting, p.Counts.Assigned = 0, 0
	for _, j := range p.jobs {
		for _, t := range j.tasks {
			switch {
			case t.assigned():
				p.Counts.Assigned++
			case t.phase == waiting:
				p.Counts.Waiting++
			}
		}
	}
}

// checkTask requeues a task on w if it can no longer run there: all leases on w have
// lapsed while it does not reply, or StopMax has passed since a stop was
// acknowledged. It repeats a stop without a reply.
func (p *Pool) checkTask(now time.Time, w *workerState, t *task) {
	if now.After(w.leasesUntil) && now.After(t.lapsesAt) && w.missedReplies > 0 {
		p.Counts.Lapsed++
		if t.ackedAt.IsZero() {
			p.addLateStart(now, t.lateStart())
		}
		p.recordLoss(now, w, t, w.lapseEvidence(t.orderedAt))
		t.lapsedAt = later(w.leasesUntil, t.lapsesAt)
		p.requeue(t)
		p.forgetIfDone(t.job)
		return
	}
	if t.phase != stopping {
		return
	}
	switch {
	case !t.stopAckedAt.IsZero() && now.Sub(t.stopAckedAt) > p.config.StopMax+stopSlack:
		if t.ackedAt.IsZero() {
			p.addLateStart(now, t.lateStart()) // its reply may still be missing
			p.lateStarts.Bar(now, t.name, t.run, w.Worker, w.Incarnation, 0)
		}
		p.requeue(t)
		p.forgetIfDone(t.job)
	case t.stopAckedAt.IsZero() && now.Sub(t.stopSentAt) > stopRetryInterval:
		p.sendStop(now, t)
	}
}

// stopSlack allows for the worker's polling interval for stops.
const stopSlack = 30 * time.Millisecond

// expireJobs answers the jobs whose caller deadline has passed: Abandoned if they may
// have started, otherwise NotRun.
func (p *Pool) expireJobs(now time.Time) {
	for _, j := range p.pendingJobs(func(j *jobState) bool { return !now.Before(j.callerDeadline) }) {
		outcome := job.NotRun
		if p.mayHaveStarted(now, j) {
			outcome = job.Abandoned
		}
		p.answer(now, j, Answer{Outcome: outcome, Reason: "the caller's time is over", RetryAfter: time.Second})
	}
}
