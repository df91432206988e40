package pool

import (
	"time"

	"tamarackpin.example/internal/worker"
)

// Takeover is what a Pool knows of the runs that earlier dispatchers ordered.
type Takeover struct {
	Since             time.Duration // since the takeover
	Workers           int           // number of workers known
	Unlisted          []worker.ID   // those that have not listed their runs since the takeover, unless they are known to run nothing
	WorkersIncomplete bool          // there may be workers that are not known
	LeasesOver        bool          // all leases that earlier dispatchers obtained have lapsed
}

// RunsKnown reports whether the Pool knows every run that may go on.
func (t Takeover) RunsKnown() bool {
	return t.LeasesOver || len(t.Unlisted) == 0 && !t.WorkersIncomplete
}

// Takeover returns what the Pool knows of the runs that earlier dispatchers ordered.
func (p *Pool) Takeover(now time.Time) Takeover {
	t := Takeover{Since: now.Sub(p.startedAt), Workers: len(p.byID), WorkersIncomplete: p.config.WorkersIncomplete}
	t.LeasesOver = t.Since >= recoveryDelay
	for _, w := range p.byID {
		if w.unlisted() {
			t.Unlisted = append(t.Unlisted, w.Worker)
		}
	}
	return t
}

// unlisted reports whether w has not listed its runs since the takeover, and is not known to run
// nothing.
func (w *workerState) unlisted() bool { return !w.listed && !w.Deregistered && !w.stale }
