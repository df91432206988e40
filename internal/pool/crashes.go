package pool

import (
	"slices"
	"time"

	"tamarackpin.example/internal/crash"
	"tamarackpin.example/internal/job"
)

// recordLoss records that w was lost while t, still assigned to it, may have been running
// there.
func (p *Pool) recordLoss(now time.Time, w *workerState, t *task, e crash.Evidence) {
	if !t.stopAckedAt.IsZero() {
		return
	}
	if t.ackedAt.IsZero() || t.mayHaveStopped {
		e = crash.Unproven
	}
	p.addLoss(now, w, t.name, e)
}

// recordOrphanLosses records that w was lost with its orphan runs.
func (p *Pool) recordOrphanLosses(now time.Time, w *workerState, e crash.Evidence) {
	if p.stopsOrphans(now) {
		e = crash.Unproven
	}
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

// giveUpJobs answers the pending jobs of which a task is not started any more, if losses
// were recorded since its last call.
func (p *Pool) giveUpJobs(now time.Time) {
	if p.crashes.Version() == p.judgedVersion {
		return
	}
	p.judgedVersion = p.crashes.Version()
	for _, j := range p.pendingJobs(p.isGivenUp) {
		p.giveUp(now, j)
	}
}

// giveUp answers a job that isGivenUp. It is not called failed: a run may have ended just
// before its worker crashed, and only an end that was listed tells.
func (p *Pool) giveUp(now time.Time, j *jobState) {
	reason := reasonLosses
	if p.worstVerdict(j) == crash.Deadly {
		reason = reasonCrashes
	}
	p.answer(now, j, Answer{Outcome: job.Abandoned, Reason: reason})
}

// The reasons in the answers to jobs that are given up.
const (
	reasonLosses  = "the workers of one of its tasks were lost again and again"
	reasonCrashes = "workers crashed while one of its tasks was assigned to them"
)

// isGivenUp reports whether a task of j is not started any more.
func (p *Pool) isGivenUp(j *jobState) bool { return p.worstVerdict(j).GivenUp() }

// worstVerdict returns the highest verdict on a task of j.
func (p *Pool) worstVerdict(j *jobState) crash.Verdict {
	worst := crash.Clear
	for _, t := range j.tasks {
		worst = max(worst, p.crashes.Verdict(t.name))
	}
	return worst
}

// mayRetry reports whether t may start, given the workers that were lost under it. The
// suspects of a job start in turn, as its tasks are alike: if one crashes another worker,
// the job is given up.
func (p *Pool) mayRetry(t *task) bool {
	switch p.crashes.Verdict(t.name) {
	case crash.Clear:
		return true
	case crash.Suspect:
		return !slices.ContainsFunc(t.job.tasks, func(o *task) bool { return o.assigned() && p.isSuspect(o) })
	default: // the workers that are silent now may still turn out to have crashed, or not
		return false
	}
}

// isSuspect reports whether t may crash its worker. It runs apart from other suspects, so
// that the next crash tells which of them causes it, and nothing is started beside it.
func (p *Pool) isSuspect(t *task) bool { return p.crashes.Verdict(t.name) != crash.Clear }

// runsSuspect reports whether a suspect is assigned to w.
func (p *Pool) runsSuspect(w *workerState) bool {
	if p.crashes.Empty() {
		return false
	}
	for _, t := range w.tasks {
		if p.isSuspect(t) {
			return true
		}
	}
	return false
}

// lapseEvidence returns what is known of w, whose leases have lapsed without a reply since
// a run was ordered at orderedAt.
func (w *workerState) lapseEvidence(orderedAt time.Time) crash.Evidence {
	if w.noListenerAt.After(later(w.lastReplyAt, orderedAt)) {
		return crash.Refused
	}
	return crash.Silent
}
