package pool

import (
	"slices"
	"time"

	"tamarackpin.example/internal/crash"
	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/worker"
)

// showsRestart reports whether a reply shows that w has restarted: it is from an incarnation that is
// not known to have ended, higher than the present one or, since the clock of the worker
// may have been set back, in reply to an order that was sent after the last reply of the present one.
func (w *workerState) showsRestart(r Reply) bool {
	if r.RepliedBy == 0 || r.RepliedBy == w.Incarnation || slices.Contains(w.ended, r.RepliedBy) {
		return false
	}
	return r.RepliedBy > w.Incarnation || r.Incarnation == w.Incarnation && !r.Sent.Before(w.lastReplyAt)
}

// isAmbiguous reports whether a reply is from another incarnation than the present one and does not
// show which of them is the later one, as each replied to an order that was sent before the
// reply of the other arrived. It counts as no reply, and the next one tells.
func (w *workerState) isAmbiguous(r Reply) bool {
	return r.RepliedBy != 0 && r.RepliedBy != w.Incarnation && r.Incarnation == w.Incarnation && !w.showsRestart(r)
}

// handleNewIncarnation handles a reply that shows that w has restarted. If it acknowledges a start, the
// new incarnation runs that task.
func (p *Pool) handleNewIncarnation(now time.Time, w *workerState, r Reply) {
	if r.Kind == StartOrder && r.Done {
		if t := w.tasks[r.Task]; t != nil && t.run == r.Run {
			// Acknowledged by the new incarnation. handleRestart, called with the same
			// now, leaves a task alone whose ackedAt equals it.
			t.ackedAt = now
		}
	}
	next := w.announcedNext
	if next.Incarnation == r.RepliedBy {
		p.handleRestart(now, w, next)
		w.announced = true
	} else {
		// What the new incarnation is, such as its kind, is unknown until it announces itself.
		rec := w.Record
		rec.Incarnation, rec.Sequence = r.RepliedBy, 0
		p.handleRestart(now, w, rec)
		w.announcedNext = next
	}
	t := w.tasks[r.Task]
	switch {
	case r.Kind != StartOrder || !r.Done || t == nil || t.run != r.Run:
	case t.phase == stopping: // the earlier incarnation may have acknowledged the stop
		t.stopAckedAt = time.Time{}
		p.stopTask(now, t)
	default:
		t.phase = running
	}
}

// handleIncarnationGone handles a refusal that says that the known incarnation of w
// has ended: its runs ended with it, so its tasks wait again. Unacknowledged
// starts are requeued too, unlike in handleRestart: another worker replies at that
// address, and it refuses late starts for the same reason.
func (p *Pool) handleIncarnationGone(now time.Time, w *workerState) {
	w.stale = true
	p.crashes.ObserveIncarnation(now, w.Worker, 0)
	p.recordOrphanLosses(now, w, crash.Restarted)
	p.lateStarts.Forget(w.Worker)
	clear(w.orphans)
	for _, t := range assignedTasks(w) {
		p.recordLoss(now, w, t, crash.Restarted)
		p.requeue(t)
		p.forgetIfDone(t.job)
	}
}

// handleRestart handles that another incarnation of a worker is the present one, that of rec. It has none
// of the previous one's runs, but may execute orders still in flight and does not know
// of earlier stops. So acknowledged tasks are requeued, and those whose start got no reply
// yet are stopped anew. It is queried, so that it lists what late orders have started there
// and refuses the orders of earlier dispatchers from then on.
func (p *Pool) handleRestart(now time.Time, w *workerState, rec worker.Record) {
	p.crashes.ObserveIncarnation(now, rec.Worker, rec.Incarnation)
	p.recordOrphanLosses(now, w, crash.Restarted)
	var unackedTasks []*task
	for _, t := range assignedTasks(w) {
		if t.ackedAt.Before(now) && !(t.startInherited && t.ackedAt.IsZero()) { // it may have run in the incarnation that ended
			p.recordLoss(now, w, t, crash.Restarted)
		}
		if t.ackedAt.IsZero() {
			p.addLateStart(now, t.lateStart())
			unackedTasks = append(unackedTasks, t)
			continue
		}
		// An ackedAt equal to now is of the new incarnation: handleNewIncarnation.
		if t.ackedAt.Before(now) {
			p.requeue(t)
			p.forgetIfDone(t.job)
		}
	}
	lateOrdersUntil := w.lateOrdersUntil
	if w.renewPending {
		lateOrdersUntil = later(lateOrdersUntil, w.renewSentAt.Add(lateOrderLimit))
	}
	for _, t := range unackedTasks {
		lateOrdersUntil = later(lateOrdersUntil, t.orderedAt.Add(lateOrderLimit))
	}
	*w = workerState{
		Record: rec, tasks: w.tasks, orphans: make(map[job.Task]job.Run), free: w.free.Add(rec.Capacity.Sub(w.Capacity)), knownSince: w.knownSince, listedEarlier: w.listed || w.listedEarlier,
		// The clock starts anew: a lease deadline on the predecessor's clock lies
		// far ahead on that of the new incarnation.
		lateOrdersUntil: lateOrdersUntil, leasesUntil: lateOrdersUntil,
		ended: append([]worker.Incarnation{w.Incarnation}, w.ended[:min(len(w.ended), maxEnded-1)]...),
	}
	p.estimator.ForgetWorker(rec.Worker)
	p.interference.ForgetWorker(rec.Worker)
	p.tails.forget(rec.Worker)
	for _, t := range unackedTasks {
		t.stopAckedAt, t.lapsesAt, t.startInherited = time.Time{}, now.Add(lateOrderLimit), true
		p.stopTask(now, t)
	}
}

// maxEnded bounds workerState.ended: replies and announcements of earlier incarnations are no longer on
// their way.
const maxEnded = 8
