package pool

import (
	"slices"
	"time"

	"tamarackpin.example/internal/worker"
)

// mayHaveUnknownRuns reports whether a run that an earlier dispatcher ordered may go on without
// this Pool knowing of it: on a worker that has not listed its runs since the takeover, or
// on one that this Pool does not know. Any job may have such a run, also one that comes as
// new: if its gate was lost, its caller submits it again through another one.
// Once leasesOver there are none.
func (p *Pool) mayHaveUnknownRuns(now time.Time) bool {
	if p.leasesOver(now) {
		return false
	}
	return p.config.WorkersIncomplete && !p.config.FirstDispatcher && !p.runsInherited || p.anyUnlisted(now)
}

// anyUnlisted reports whether some worker may run what it has not listed since the takeover.
func (p *Pool) anyUnlisted(now time.Time) bool {
	return slices.ContainsFunc(p.byID, func(w *workerState) bool { return p.unlisted(now, w) })
}

// leasesOver reports whether all leases that earlier dispatchers obtained have lapsed, given that
// these were fenced, or have stepped down for want of contact, within recoveryDelay less a lease.
func (p *Pool) leasesOver(now time.Time) bool { return now.Sub(p.startedAt) >= recoveryDelay }

// mayHaveStarted reports whether a task of j may have been started, so that j is neither answered
// as not run nor offered to another group.
func (p *Pool) mayHaveStarted(now time.Time, j *jobState) bool {
	return j.mayHaveStarted || p.mayHaveUnknownRuns(now) || p.runsUnclaimed(now, j)
}

// recordForward records that a gate has just forwarded j from another dispatcher, which last heard the gate
// contactAge ago at the latest. Until its leases expire it may start tasks of j, also on workers that have
// listed their runs here, since one that restarts has not seen this Pool's fence, and on workers that are not known here.
func (p *Pool) recordForward(now time.Time, j *jobState, contactAge time.Duration) {
	j.MayBeRunning, j.mayHaveStarted = true, true
	if contactAge < maxRunSilence {
		j.mayRunUntil = later(j.mayRunUntil, now.Add(maxRunSilence-max(0, contactAge)))
	}
}

// earlierRunsOver reports whether all runs of j that earlier dispatchers ordered have ended, including those that no
// worker has listed. A later dispatcher to which a gate forwarded j before mayRunUntil may have extended them.
func (j *jobState) earlierRunsOver(now time.Time) bool {
	return !now.Before(j.mayRunUntil) && !j.gate.ConfirmedAt.Before(j.mayRunUntil)
}

// unlisted reports whether w may run what it has not listed since the takeover.
func (p *Pool) unlisted(now time.Time, w *workerState) bool {
	return !w.listed && !w.stale && !p.hasEnded(now, w)
}

// hasEnded reports whether the process of w has ended: its host refused a connection since the
// takeover, and it has deregistered or no longer announces itself. One of these alone is no proof: a
// connection may be refused by a partition, and a worker goes on for seconds if its
// deregistration is not acknowledged, which is less than probeLimit.
func (p *Pool) hasEnded(now time.Time, w *workerState) bool {
	if w.Deregistered && now.Sub(w.AnnouncedAt) > probeLimit {
		return true
	}
	return w.noListenerAt.After(later(p.startedAt, w.lastReplyAt)) && (w.Deregistered || now.Sub(w.AnnouncedAt) >= worker.AnnouncementTimeout)
}

// CompleteWorkers tells the Pool that UpdateWorker was called with all workers that may have runs.
func (p *Pool) CompleteWorkers(now time.Time) {
	if p.config.WorkersIncomplete {
		p.config.WorkersIncomplete = false
		p.scheduleTasks(now)
	}
}

// InheritRuns tells the Pool that its predecessor has ended and knew all runs then (see [Pool.Takeover]), and that
// UpdateWorker was called with all workers that this one knew. There may be other workers, but none with a run.
func (p *Pool) InheritRuns(now time.Time) {
	if !p.runsInherited {
		p.runsInherited = true
		p.scheduleTasks(now)
	}
}

// Takeover is what a Pool knows of the runs that earlier dispatchers ordered.
type Takeover struct {
	Since             time.Duration // since the takeover
	Workers           int           // number of workers known
	Unlisted          []worker.ID   // those that have not listed their runs since the takeover, without those that have ended
	WorkersIncomplete bool          // there may be workers that are not known
	RunsInherited     bool          // but the predecessor knew those that have runs
	RunsKnown         bool          // the Pool knows every run that may go on
}

// Takeover returns what the Pool knows of the runs that earlier dispatchers ordered.
func (p *Pool) Takeover(now time.Time) Takeover {
	t := Takeover{
		Since: now.Sub(p.startedAt), Workers: len(p.byID),
		WorkersIncomplete: p.config.WorkersIncomplete, RunsInherited: p.runsInherited, RunsKnown: !p.mayHaveUnknownRuns(now),
	}
	for _, w := range p.byID {
		if p.unlisted(now, w) {
			t.Unlisted = append(t.Unlisted, w.Worker)
		}
	}
	return t
}
