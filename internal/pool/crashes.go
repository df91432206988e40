package pool

import (
	"time"

	"tamarackpin.example/internal/crash"
	"tamarackpin.example/internal/job"
)

// recordLoss records that w was lost while t, still assigned to it, may have been running
// there.
func (p *Pool) recordLoss(now time.Time, w *workerState, t *task, e crash.Evidence) {
	if t.stopAckedAt.IsZero() {
		p.addLoss(now, w, t.name, e)
	}
}

// recordOrphanLosses records that w was lost with its orphan runs.
func (p *Pool) recordOrphanLosses(now time.Time, w *workerState, e crash.Evidence) {
	for name := range w.orphans {
		p.addLoss(now, w, name, e)
	}
}

// addLoss records a loss, unless w is leaving: it takes its runs with it, which is no
// crash.
func (p *Pool) addLoss(now time.Time, w *workerState, name job.Task, e crash.Evidence) {
	if !w.Leaving && !w.Deregistered {
		p.crashes.Add(now, crash.Record{Task: name, Worker: w.Worker, Incarnation: w.Incarnation, Evidence: e})
	}
}

// lapseEvidence returns what is known of w, whose leases have lapsed without a reply since
// a run was ordered at orderedAt.
func (w *workerState) lapseEvidence(orderedAt time.Time) crash.Evidence {
	if w.noListenerAt.After(later(w.lastReplyAt, orderedAt)) {
		return crash.Refused
	}
	return crash.Silent
}
