package gate

import (
	"context"
	"time"
)

// shutdown is what the jobs of a Gate know of the end of their process. The zero value stands for a process
// that goes on; Gate.mu guards it.
type shutdown struct {
	endsAt   time.Time     // when the process ends; zero if not known
	released chan struct{} // closed and replaced by ReleaseWaiting
	aborted  context.Context
	abort    context.CancelFunc
}

// shutdownState returns a context that Abort cancels, and a channel that the next call of ReleaseWaiting closes.
func (g *Gate) shutdownState() (aborted context.Context, released <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &g.shutdown
	if s.released == nil {
		s.released = make(chan struct{})
	}
	if s.aborted == nil {
		s.aborted, s.abort = context.WithCancel(context.Background())
	}
	return s.aborted, s.released
}

// ReleaseWaiting is called when the process stops and will end at endsAt. The pending jobs whose callers
// would wait beyond that are answered as not run, unless they may have been started. The next call does
// the same with the jobs accepted since.
func (g *Gate) ReleaseWaiting(endsAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shutdown.endsAt = endsAt
	if g.shutdown.released != nil {
		close(g.shutdown.released)
	}
	g.shutdown.released = make(chan struct{})
}

// Abort answers all jobs that are left: as not run, or as abandoned if they may have been started.
func (g *Gate) Abort() {
	g.shutdownState() // makes the context if there is none
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shutdown.abort()
}

// endsBefore reports whether the process is known to end before a time.
func (g *Gate) endsBefore(t time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.shutdown.endsAt.IsZero() && g.shutdown.endsAt.Before(t)
}
