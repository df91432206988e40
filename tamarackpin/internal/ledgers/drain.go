package ledgers

import (
	"context"
	"time"

	"tamarackpin.example/internal/control"
	"tamarackpin.example/internal/ledger"
)

// drainEvery is the interval at which a shutdown looks whether it can go on.
const drainEvery = 50 * time.Millisecond

// Drain hands every ledger to its backup, or finishes what is open where there
// is none. It returns whether nothing is left here.
func (h *Host) Drain(ctx context.Context) bool {
	for {
		left := 0
		for _, c := range h.all() {
			if !c.handOver(ctx) {
				left++
			}
		}
		if left == 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(drainEvery):
		}
	}
}

// handOver takes one step towards leaving a ledger and reports whether it is
// left.
func (c *hosted) handOver(ctx context.Context) bool {
	c.mu.Lock()
	a := c.copy.Assignment()
	next := a
	next.Epoch++
	switch c.copy.Role() {
	case ledger.NoRole:
		c.mu.Unlock()
		return true
	case ledger.Backup:
		next.Backup = ledger.Holder{}
	case ledger.Joining:
		next.Joining = ledger.Holder{}
	case ledger.Primary:
		if !c.ready() {
			empty := len(c.runs) == 0 && a.Backup.IsZero() && a.Joining.IsZero()
			c.mu.Unlock()
			return empty
		}
		next.Primary, next.Backup, next.Joining = a.Backup, ledger.Holder{}, ledger.Holder{}
	}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	// A refusal means that the assignment changed meanwhile; the next round
	// sees it.
	_, _ = c.host.config.Propose(ctx, control.Command{Assign: &control.Assign{Generation: a.Generation, Epoch: a.Epoch, Next: next}})
	return false
}

// ready stops the start of tasks once a living backup holds the state, and
// reports whether all that was started has ended and the backup knows it. The
// caller holds mu.
func (c *hosted) ready() bool {
	a := c.copy.Assignment()
	if a.Backup.IsZero() || !c.host.config.Alive(a.Backup.VM) {
		c.reopen()
		return false
	}
	if !c.closing {
		c.closing = true
		for _, r := range c.runs {
			go c.host.withdraw(r)
		}
	}
	for s := range c.runs {
		e, known := c.copy.Ledger().Entry(s)
		if !known {
			return false // it is being opened, and will be refused
		}
		if e.Running() && len(e.InDoubt()) > 0 {
			return false
		}
	}
	return c.copy.Followed()
}

// reopen goes on with what ready stopped. The caller holds mu.
func (c *hosted) reopen() {
	if !c.closing {
		return
	}
	c.closing = false
	for s, r := range c.runs {
		if e, known := c.copy.Ledger().Entry(s); known && e.Running() {
			c.resume(r, e)
		}
	}
}
