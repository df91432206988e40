package pool

import (
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/worker"
)

// enqueueOrder adds an order for w to those that TakePending returns, with the
// worker's incarnation and the Pool's fence. An order with a Deadline may prolong
// leases, and moves leasesUntil. Once the fence was refused, orders are dropped.
func (p *Pool) enqueueOrder(now time.Time, w *workerState, o Order) {
	if p.Fenced() {
		return
	}
	o.Worker, o.Incarnation, o.Address = w.Worker, w.Incarnation, w.Address
	o.Fence, o.Sent = p.config.Fence, now
	if o.Deadline != 0 {
		w.leasesUntil = later(w.leasesUntil, w.timing.ReachedBy(now, o.Deadline))
	}
	p.orders = append(p.orders, o)
}

// leaseDeadline returns the reading of w's clock one lease from now.
func (p *Pool) leaseDeadline(now time.Time, w *workerState) worker.Clock {
	return w.timing.Now(now) + worker.Clock(min(leaseDuration, p.config.LeaseMax))
}

// poll sends w a renewal order if one is needed. A renewal with a Deadline extends the
// leases on w; one without only queries its runs and ends. A query to see whether w
// responds is a probe. One renewal is kept outstanding to each worker that may run
// something; every worker is queried once under a new fence; workers that do not
// reply, or whose announcements stopped, are probed. A worker that may run nothing and
// that has neither announced itself nor replied for probeLimit is not queried.
func (p *Pool) poll(now time.Time, w *workerState) {
	if p.Fenced() || w.renewPending || w.stale || w.Address == "" {
		return
	}
	probe := (w.missedReplies > 0 && w.Usable(now) || w.needsProbe(now)) && now.Sub(w.renewSentAt) >= probeInterval
	if w.runsKnown && !w.busy() && !probe {
		return
	}
	if !w.busy() && now.Sub(later(later(w.AnnouncedAt, w.lastReplyAt), p.startedAt)) > probeLimit {
		return
	}
	if w.missedReplies > 1 && now.Sub(w.renewSentAt) < probeInterval {
		return // the first miss may be a broken connection: one retry at once
	}
	o := Order{Kind: RenewOrder, EndsSeen: w.endsSeen}
	if w.runsKnown && w.missedReplies == 0 && w.busy() {
		o.Wait = renewWait
	}
	if len(w.tasks) > 0 && w.timing.Known() && w.missedReplies == 0 && !p.newlyDivided(now) && !p.leasesMustLapse(now, w) {
		// Leases of an unresponsive worker, and during recovery from a division, are
		// not extended: the runs must lapse before their tasks may start elsewhere.
		o.Deadline = p.leaseDeadline(now, w)
	}
	w.renewPending, w.renewSentAt = true, now
	p.enqueueOrder(now, w, o)
}

// leasesMustLapse reports whether w has a run that no gate waits for here, or whose gate is silent, or one
// that has not stopped in spite of its orders. A deadline extends the leases of all runs there, and the
// caller of such a job may submit it in another failure domain, which knows nothing of the run.
func (p *Pool) leasesMustLapse(now time.Time, w *workerState) bool {
	if len(w.orphans) > 0 {
		return true
	}
	for _, t := range w.tasks {
		unstopped := t.phase == stopping && t.stopAckedAt.IsZero()
		if unstopped && now.Sub(t.stoppingSince) > stopPatience || (unstopped || !t.job.closed) && p.gateSilent(now, t.job) {
			return true
		}
	}
	return false
}

// stopPatience is how long a stop may be without an acknowledgement before the leases on its
// worker are not extended any more: two tries. With a lease, that is less than the time
// after which callers submit a job again.
const stopPatience = 400 * time.Millisecond

// probeInterval is the least time from the newest renewal to the next one to a worker that
// missed two replies, and to a probe of one that missed a reply or that needsProbe names. A
// worker that missed a reply gets no task until it replies.
const probeInterval = 150 * time.Millisecond

// handleRenewReply handles the reply to a renewal, or that none came. Ends are handled
// before the list of runs, so that a run that is in neither is known to be gone.
func (p *Pool) handleRenewReply(now time.Time, w *workerState, r Reply) {
	if r.Sent.Equal(w.renewSentAt) {
		w.renewPending = false
	}
	if !r.Done {
		return
	}
	for _, e := range r.EndedRuns {
		if e.Number > w.endsSeen {
			w.endsSeen = e.Number
			p.handleEnd(now, w, e)
		}
	}
	if r.Sent.Before(w.listSentAt) || r.HasClock && r.Sent.Before(w.listAt) && r.Clock < w.listClock {
		return // two renewals were outstanding, as one is from before a restart; this list is the older one
	}
	w.listSentAt, w.listAt, w.listClock = r.Sent, now, r.Clock
	listed := make(map[job.Task]job.Run, len(r.Running))
	for _, t := range r.Running {
		listed[t.Task] = t.Run
	}
	p.reconcile(now, w, r, listed)
	w.runsKnown, w.listed = true, true
	for _, row := range r.Running {
		if t := w.tasks[row.Task]; t != nil && t.run == row.Run && t.phase == running {
			p.checkProgress(now, w, t, row.Percent)
		}
	}
}

// reconcile compares the runs that a worker lists with the tasks assigned to it. It
// requeues tasks that are gone, and adopts or stops orphan runs.
func (p *Pool) reconcile(now time.Time, w *workerState, r Reply, listed map[job.Task]job.Run) {
	for _, t := range assignedTasks(w) {
		run, isListed := listed[t.name]
		switch {
		case isListed && run == t.run:
			if t.phase == starting || t.phase == inDoubt {
				t.phase, t.ackedAt = running, now
			}
		case t.phase == running && r.Sent.After(t.ackedAt), t.phase == stopping && r.Sent.After(t.lapsesAt),
			t.phase == inDoubt && (w.leaves() || p.withholdsStarts(now, t.job)) && r.Sent.After(t.lapsesAt):
			// It is neither listed nor among the ends, and cannot start any more.
			p.requeue(t)
			p.forgetIfDone(t.job)
		}
	}
	known := w.orphans
	w.orphans = make(map[job.Task]job.Run)
	for _, row := range r.Running {
		name := row.Task
		if w.tasks[name] != nil {
			continue
		}
		if _, isKnown := known[name]; !isKnown {
			p.recordFound(now, w, row)
		}
		w.orphans[name] = row.Run
		if j := p.jobs[name.Job]; j != nil && !j.closed && !p.newlyDivided(now) {
			p.adopt(now, j)
		}
	}
	for name, run := range w.orphans {
		if p.stopsOrphans(now) || p.isSuperseded(name) {
			p.enqueueOrder(now, w, Order{Kind: StopOrder, Task: name, Run: run})
		}
	}
}

// recordFound records a run that w lists and that is not assigned to it.
func (p *Pool) recordFound(now time.Time, w *workerState, row RunningTask) {
	f := FoundRun{Task: row.Task, Run: row.Run, Worker: w.Worker, Incarnation: w.Incarnation, KnownFor: now.Sub(w.knownSince), ListedBefore: w.listed || w.listedEarlier, SinceTakeover: now.Sub(p.startedAt)}
	if t := p.task(row.Task); t != nil {
		f.TaskPhase = t.phase.String()
		if t.worker != nil {
			f.AssignedTo = t.worker.Worker
		}
	}
	p.found = append(p.found, f)
}

// task returns the task of a job of this Pool by its name, or nil if there is none.
func (p *Pool) task(name job.Task) *task {
	if j := p.jobs[name.Job]; j != nil {
		return j.task(name)
	}
	return nil
}

// isSuperseded reports whether a task is done or on another worker, so that an orphan run of it is of no use.
func (p *Pool) isSuperseded(name job.Task) bool {
	t := p.task(name)
	return t != nil && t.phase != waiting
}

// stopsOrphans reports whether orphan runs are stopped rather than left for their jobs.
func (p *Pool) stopsOrphans(now time.Time) bool {
	return now.Sub(p.startedAt) > orphanGrace || p.newlyDivided(now)
}

// handleEnd processes the end of a run on w; ends of superseded runs are ignored. The
// task is done or waits again, and the job is answered if all its tasks are done or
// this one has failed MaxAttempts times.
func (p *Pool) handleEnd(now time.Time, w *workerState, e End) {
	w.resetRoomRefusals()
	delete(w.orphans, e.Task)
	t := w.tasks[e.Task]
	if t == nil || t.run != e.Run {
		return
	}
	j := t.job
	orderedAt := t.orderedAt
	wasRunning := t.phase == running || t.phase == starting
	beside, besideKnown := p.trackEnd(now, w, t)
	t.release()
	switch {
	case e.Kind == EndedDone:
		p.Counts.Done++
		w.failures, w.stalls = 0, 0
		w.doneSinceReturn++
		t.phase = finished
		t.doneOn, t.doneOnIncarnation, t.endNumber = w.Worker, w.Incarnation, e.Number
		// An adopted run (orderedAt is the takeover) has no known start to measure from.
		if wasRunning && !t.ackedAt.IsZero() && orderedAt != p.startedAt {
			alone := p.observeInterference(now, w, t, now.Sub(orderedAt), beside, besideKnown)
			p.observeRun(w, t, alone)
		}
		if !j.closed && j.done() {
			p.answer(now, j, Answer{Outcome: job.Completed})
		}
	case e.Kind == EndedFailed:
		p.Counts.Failed++
		t.failures++
		t.lastFailedOn = w.Worker
		p.recordFailure(now, w)
		t.phase = waiting
		if !j.closed && j.MaxAttempts > 0 && t.failures >= j.MaxAttempts {
			p.answer(now, j, Answer{Outcome: job.Failed, Reason: "a task failed as often as it may"})
		}
	default:
		if e.Kind == EndedLapsed {
			p.Counts.Lapsed++
		}
		t.phase = waiting
	}
	if j.closed {
		t.phase = finished
	}
	p.forgetIfDone(j)
}

// recordFailure counts a failed run or a refusal on w and backs off from it, longer
// with each in a row. One failure may be due to the task; several in a row
// indicate a faulty worker.
func (p *Pool) recordFailure(now time.Time, w *workerState) {
	w.failures++
	p.backOff(now, w, 2*(w.failures-1))
}

// backOff keeps new tasks from w for minBackoff, doubled the given number of times
// but at most maxBackoff.
func (p *Pool) backOff(now time.Time, w *workerState, doublings int) {
	w.backoffUntil = later(w.backoffUntil, now.Add(min(minBackoff<<min(doublings, 6), maxBackoff)))
}
