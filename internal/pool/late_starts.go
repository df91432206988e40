package pool

import (
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/latestart"
)

// lateStart returns the record of the newest order to start t, which got no reply yet.
func (t *task) lateStart() latestart.Record {
	return latestart.Record{Task: t.name, Run: t.run, Worker: t.worker.Worker, Expires: t.startSentAt.Add(lateOrderLimit)}
}

// repeated reports whether the start of the current run was ordered more than once.
func (t *task) repeated() bool { return t.startSentAt.After(t.orderedAt) }

// repeatStarts orders the starts on w again that got no reply, for the same runs, once w
// replies: it carries each run out once, whichever order arrives first.
func (p *Pool) repeatStarts(now time.Time, w *workerState) {
	if w.missedReplies > 0 || w.stale || !w.hasDoubtfulStart() {
		return
	}
	for _, t := range assignedTasks(w) {
		if t.phase == inDoubt {
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
	for _, r := range p.lateStarts.TakeDueStops(now, w.Worker, w.Incarnation, stopRetryInterval) {
		if w.tasks[r.Task] == nil {
			p.enqueueOrder(now, w, Order{Kind: StopOrder, Task: r.Task, Run: r.Run})
		}
	}
}

// giveUpBlockedJobs answers the pending jobs with a task that no worker may start before the
// caller's deadline, since each of two workers may carry out a late start of it.
func (p *Pool) giveUpBlockedJobs(now time.Time) {
	if p.lateStarts.Empty() {
		return
	}
	for _, name := range p.lateStarts.Tasks() {
		j := p.jobs[name.Job]
		if j == nil || j.closed {
			continue
		}
		bound, until := p.lateStarts.Workers(now, name)
		if t := j.task(name); t != nil && t.phase == waiting && len(bound) > 1 && until.After(j.callerDeadline) {
			p.answer(now, j, Answer{Outcome: job.Abandoned, Reason: "starts of one of its tasks on two workers got no reply and may still be carried out"})
		}
	}
}
