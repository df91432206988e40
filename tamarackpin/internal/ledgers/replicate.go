package ledgers

import (
	"context"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/control"
	"tamarackpin.example/internal/ledger"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// Times of the replication goroutine.
const (
	appendTimeout = 700 * time.Millisecond
	// dropAfter is how long a required follower may fail to acknowledge before
	// the quorum is asked to do without it.
	dropAfter   = time.Second
	retryAppend = 20 * time.Millisecond
	// proposeEvery spaces out what is asked of the quorum for one ledger.
	proposeEvery = 300 * time.Millisecond
	retainEvery  = time.Second
)

// replicate sends the records of a primary to its follower, one batch after
// the other: what comes in while a batch is on its way makes the next one.
func (c *hosted) replicate(end <-chan struct{}) {
	var failing time.Time // since when, or zero
	var proposed time.Time
	idle := time.NewTicker(proposeEvery)
	defer idle.Stop()
	for {
		select {
		case <-end:
			return
		case <-c.host.ctx.Done():
			return
		case <-c.kick:
		case <-idle.C:
		}
		for c.sendBatch() {
			failing = time.Time{}
		}
		failing = c.sinceFailing(failing)
		if next, ok := c.wanted(failing); ok && time.Since(proposed) >= proposeEvery {
			proposed = time.Now()
			c.propose(next)
		}
		if !failing.IsZero() {
			pause(end, retryAppend)
			c.mu.Lock()
			c.wake()
			c.mu.Unlock()
		}
	}
}

func pause(end <-chan struct{}, d time.Duration) {
	select {
	case <-end:
	case <-time.After(d):
	}
}

// sendBatch sends one batch and reports whether it was acknowledged and there
// may be more.
func (c *hosted) sendBatch() bool {
	c.mu.Lock()
	m, to, ok := c.copy.Batch(time.Now())
	c.mu.Unlock()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(c.host.ctx, appendTimeout)
	defer cancel()
	ack, err := peer.Call[ledger.Ack](ctx, c.host.config.Mesh, to.VM, report.UseLedger, methodAppend, m)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil || !ack.Accepted {
		c.copy.Unsent(m)
		return false
	}
	c.copy.Acknowledged(to, ack)
	c.wake()
	return !ack.NeedState
}

// sinceFailing returns since when records wait for a follower in vain.
func (c *hosted) sinceFailing(since time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.copy.Behind() {
		return time.Time{}
	}
	if since.IsZero() {
		return time.Now()
	}
	return since
}

// wanted returns the assignment that the quorum should make for this ledger:
// the joining copy as backup, once it has caught up, or none in place of one
// that does not answer.
func (c *hosted) wanted(failing time.Time) (control.Assign, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.copy.Assignment()
	next := a
	next.Epoch++
	switch {
	case c.copy.Promotable():
		next.Backup, next.Joining = a.Joining, ledger.Holder{}
	case c.copy.Damaged():
		next.Generation, next.Epoch = a.Generation+1, 1
		next.Backup, next.Joining = ledger.Holder{}, ledger.Holder{}
	case !failing.IsZero() && time.Since(failing) > dropAfter && c.copy.Blocked():
		next.Backup, next.Joining = ledger.Holder{}, ledger.Holder{}
	default:
		return control.Assign{}, false
	}
	return control.Assign{Generation: a.Generation, Epoch: a.Epoch, Next: next}, true
}

func (c *hosted) propose(a control.Assign) {
	ctx, cancel := context.WithTimeout(c.host.ctx, time.Second)
	defer cancel()
	if _, refusal := c.host.config.Propose(ctx, control.Command{Assign: &a}); refusal != nil {
		c.host.config.Log.Debug("a change of a ledger's copies was not made", zap.Stringer("ledger", a.Next.Ledger), zap.Error(refusal))
	}
}

// retain keeps the ledger within its bounds.
func (c *hosted) retain(end <-chan struct{}) {
	t := time.NewTicker(retainEvery)
	defer t.Stop()
	for {
		select {
		case <-end:
			return
		case <-c.host.ctx.Done():
			return
		case <-t.C:
		}
		c.mu.Lock()
		c.expire()
		c.mu.Unlock()
	}
}

// expire appends what brings the ledger within its bounds. The caller holds mu.
func (c *hosted) expire() {
	if c.copy.Role() != ledger.Primary {
		return
	}
	if records := c.copy.Ledger().Expired(time.Now(), c.host.config.Retention); len(records) > 0 {
		if _, err := c.copy.Append(time.Now(), records...); err != nil {
			c.host.config.Log.Error("expiring submissions failed", zap.Error(err))
		}
		c.wake()
	}
}
