package pool

import (
	"slices"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/latestart"
	"tamarackpin.example/internal/worker"
)

// lateStart returns the record of the newest order to start t, which got no reply yet.
func (t *task) lateStart() latestart.Record {
	return latestart.Record{Task: t.name, Run: t.run, Worker: t.worker.Worker, Expires: t.startSentAt.Add(lateOrderLimit)}
}

// addLateStart records a start without a reply. If its job is over, its caller may submit it
// again in another failure domain.
func (p *Pool) addLateStart(now time.Time, r latestart.Record) {
	p.lateStarts.Add(now, r)
	if j := p.jobs[r.Task.Job]; j == nil || j.closed {
		p.lateStarts.Report(now, r.Task)
	}
}

// reportLateStarts reports the late starts of a job that ends without being completed.
func (p *Pool) reportLateStarts(now time.Time, j *jobState) {
	if p.lateStarts.Empty() {
		return
	}
	for _, t := range j.tasks {
		p.lateStarts.Report(now, t.name)
	}
}

// hasLateStart reports whether a start of a task of j, by this or another dispatcher, may
// still be carried out.
func (p *Pool) hasLateStart(now time.Time, j *jobState) bool {
	return !p.lateStarts.Empty() && slices.ContainsFunc(j.tasks, func(t *task) bool { return len(p.lateStarts.Bindings(now, t.name)) > 0 })
}

// repeated reports whether the start of the current run was ordered more than once.
func (t *task) repeated() bool { return t.startSentAt.After(t.orderedAt) }

// repeatStarts orders the starts on w again that got no reply, for the same runs, once w
// replies: it carries each run out once, whichever order arrives first. On a worker that leaves
// they are given up once they cannot be carried out any more, see reconcile. So they are while starts are withheld.
func (p *Pool) repeatStarts(now time.Time, w *workerState) {
	if !w.takesStarts() || !w.hasDoubtfulStart() || p.leasesMustLapse(now, w) {
		return
	}
	for _, t := range assignedTasks(w) {
		if t.phase == inDoubt && !p.withholdsStarts(now, t.job) {
			t.phase = starting
			p.orderStart(now, w, t)
		}
	}
}

// hasDoubtfulStart reports whether a task on w is in doubt.
func (w *workerState) hasDoubtfulStart() bool {
	for _, t := range w.tasks {
		if t.phase == inDoubt {
			return true
		}
	}
	return false
}

// stopLateStarts has a worker that replies stop the late starts that its incarnation may
// still carry out, except of tasks that it has now: after that these tasks may start there.
func (p *Pool) stopLateStarts(now time.Time, w *workerState) {
	if p.lateStarts.Empty() || w.missedReplies > 0 || w.stale || !w.runsKnown {
		return
	}
	for _, r := range p.lateStarts.TakeDueStops(now, w.Worker, w.Incarnation, stopRetryInterval, p.isWaiting) {
		if w.tasks[r.Task] == nil {
			p.enqueueOrder(now, w, Order{Kind: StopOrder, Task: r.Task, Run: r.Run})
		}
	}
}

// isWaiting reports whether a task of a pending job waits to start.
func (p *Pool) isWaiting(name job.Task) bool {
	j := p.jobs[name.Job]
	if j == nil || j.closed {
		return false
	}
	t := j.task(name)
	return t != nil && t.phase == waiting
}

// giveUpBlockedJobs answers the pending jobs with a task that no worker may start before the
// caller's deadline, since each of two workers may carry out a late start of it, or one that is
// not in the group or leaves it.
func (p *Pool) giveUpBlockedJobs(now time.Time) {
	if p.lateStarts.Empty() {
		return
	}
	for _, name := range p.lateStarts.Tasks() {
		j := p.jobs[name.Job]
		if j == nil || j.closed {
			continue
		}
		if t := j.task(name); t != nil && t.phase == waiting && p.blockedUntil(now, name).After(j.callerDeadline) {
			p.answer(now, j, Answer{Outcome: job.Abandoned, Reason: "an earlier start of one of its tasks got no reply and may still be carried out elsewhere"})
		}
	}
}

// blockedUntil returns the time before which a task cannot start anywhere, since a late start
// of it may be carried out on another worker than the one it is bound to for longest, or on
// one that is not in the group or leaves. It is zero if there is none. The next incarnation of a
// worker that leaves is not counted on, as few have one.
func (p *Pool) blockedUntil(now time.Time, name job.Task) time.Time {
	bindings := p.lateStarts.Bindings(now, name)
	switch {
	case len(bindings) == 0:
		return time.Time{}
	case p.isGone(bindings[0].Worker):
		return bindings[0].Until
	case len(bindings) > 1:
		return bindings[1].Until
	}
	return time.Time{}
}

// isGone reports whether no start will be ordered on a worker, as far as is known: it is not in the
// group, or leaves.
func (p *Pool) isGone(id worker.ID) bool {
	if w := p.workers[id]; w != nil {
		return w.leaves()
	}
	return !p.config.WorkersIncomplete
}
