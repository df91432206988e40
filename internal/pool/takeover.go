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
// Once the leases of the earlier dispatchers are over there are none.
func (p *Pool) mayHaveUnknownRuns(now time.Time) bool {
	if p.leasesOver(now) {
		return false
	}
	return p.config.WorkersIncomplete && !p.config.FirstDispatcher || slices.ContainsFunc(p.byID, (*workerState).unlisted)
}

// leasesOver reports whether all leases that earlier dispatchers obtained have lapsed.
func (p *Pool) leasesOver(now time.Time) bool { return now.Sub(p.startedAt) >= recoveryDelay }

// mayHaveStarted reports whether a task of j may have been started, so that j is neither answered
// as not run nor offered to another group.
func (p *Pool) mayHaveStarted(now time.Time, j *jobState) bool {
	return j.mayHaveStarted || p.mayHaveUnknownRuns(now)
}

// mayStart reports whether tasks of j may start while mayHaveUnknownRuns is false: not those of a
// forwarded job that may be running on an unknown worker.
func (p *Pool) mayStart(now time.Time, j *jobState) bool {
	return !j.MayBeRunning || !p.config.WorkersIncomplete || p.leasesOver(now)
}

// unlisted reports whether w has not listed its runs since the takeover, and is not known to run
// nothing.
func (w *workerState) unlisted() bool { return !w.listed && !w.Deregistered && !w.stale }

// CompleteWorkers tells the Pool that UpdateWorker was called with all workers that may have runs.
func (p *Pool) CompleteWorkers(now time.Time) {
	if p.config.WorkersIncomplete {
		p.config.WorkersIncomplete = false
		p.scheduleTasks(now)
	}
}

// Takeover is what a Pool knows of the runs that earlier dispatchers ordered.
type Takeover struct {
	Since             time.Duration // since the takeover
	Workers           int           // number of workers known
	Unlisted          []worker.ID   // those that have not listed their runs since the takeover, unless they are known to run nothing
	WorkersIncomplete bool          // there may be workers that are not known
	RunsKnown         bool          // the Pool knows every run that may go on
}

// Takeover returns what the Pool knows of the runs that earlier dispatchers ordered.
func (p *Pool) Takeover(now time.Time) Takeover {
	t := Takeover{
		Since: now.Sub(p.startedAt), Workers: len(p.byID),
		WorkersIncomplete: p.config.WorkersIncomplete, RunsKnown: !p.mayHaveUnknownRuns(now),
	}
	for _, w := range p.byID {
		if w.unlisted() {
			t.Unlisted = append(t.Unlisted, w.Worker)
		}
	}
	return t
}
