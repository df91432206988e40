package ledgers

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/ledger"
	"tamarackpin.example/internal/submission"
)

// hosted is one copy with all that runs on it.
type hosted struct {
	host *Host

	mu      sync.Mutex // guards all below
	copy    *ledger.Copy
	runs    map[submission.Sequence]*run // open submissions, at the primary
	waiters []waiter                     // for records to become durable, by position
	kick    chan struct{}                // wakes the replication goroutine; holds at most one
	end     chan struct{}                // closed to end the goroutines of the present primary role
	closing bool                         // the ledger is being handed over: nothing new is started
}

// waiter waits until everything before a position is durable.
type waiter struct {
	at   ledger.Position
	done chan bool // told false if this copy is no longer primary
}

func newHosted(h *Host) *hosted {
	return &hosted{
		host: h,
		copy: ledger.NewCopy(h.config.Self),
		runs: make(map[submission.Sequence]*run),
		kick: make(chan struct{}, 1),
	}
}

// assign puts a newer assignment in force.
func (c *hosted) assign(a ledger.Assignment) {
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.copy.Assignment()
	wasPrimary := c.copy.Role() == ledger.Primary
	tookOver := c.copy.Assign(a)
	if c.copy.Assignment() == was {
		return
	}
	isPrimary := c.copy.Role() == ledger.Primary
	event.Log(c.host.config.Log, event.LedgerAssigned, zap.Stringer("ledger", a.Ledger), zap.String("role", string(c.copy.Role())),
		zap.Uint64("generation", uint64(a.Generation)), zap.Uint64("epoch", uint64(a.Epoch)))
	if was.Generation != 0 && was.Generation != a.Generation {
		event.Log(c.host.config.Log, event.LedgerLost, zap.Stringer("ledger", a.Ledger))
	}
	if wasPrimary && (!isPrimary || was.Generation != a.Generation) {
		c.stepDown()
	}
	if !isPrimary {
		return
	}
	if c.end == nil {
		c.end = make(chan struct{})
		c.closing = false
		end := c.end
		c.host.duties.Go(func() { c.replicate(end) })
		c.host.duties.Go(func() { c.retain(end) })
	}
	if tookOver {
		event.Log(c.host.config.Log, event.LedgerTakenOver, zap.Stringer("ledger", a.Ledger), zap.Uint64("epoch", uint64(a.Epoch)))
		c.recover()
	}
	c.wake()
}

// stepDown ends all that runs at a former primary: what waits for a record
// will not start, and those who wait for a result must ask the new primary.
// The caller holds mu.
func (c *hosted) stepDown() {
	if c.end != nil {
		close(c.end)
		c.end = nil
	}
	for _, w := range c.waiters {
		w.done <- false
	}
	c.waiters = nil
	for s, r := range c.runs {
		delete(c.runs, s)
		r.finish(runMoved)
		go c.host.withdraw(r)
	}
}

// wake lets the replication goroutine look for records to send, and settles
// who waited for what is durable now. The caller holds mu.
func (c *hosted) wake() {
	rest := c.waiters[:0]
	for _, w := range c.waiters {
		if c.copy.Durable(w.at) {
			w.done <- true
			continue
		}
		rest = append(rest, w)
	}
	c.waiters = rest
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// append takes in records at the primary and returns a channel that tells
// whether they became durable. The caller holds mu.
func (c *hosted) append(records ...ledger.Record) (<-chan bool, error) {
	at, err := c.copy.Append(time.Now(), records...)
	if err != nil {
		return nil, err
	}
	done := make(chan bool, 1)
	c.waiters = append(c.waiters, waiter{at, done})
	c.wake()
	return done, nil
}

// id returns the id of a submission of this ledger. The caller holds mu.
func (c *hosted) id(s submission.Sequence) submission.ID {
	a := c.copy.Assignment()
	return submission.ID{Ledger: a.Ledger, Generation: a.Generation, Sequence: s}
}
