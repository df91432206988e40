package group

import (
	"cmp"
	"slices"
	"time"

	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/worker"
)

// simDispatcher is an entry VM that leads a group. It drives a groupState as the goroutine
// of a Group does.
type simDispatcher struct {
	w                *world
	group            int
	vm               int
	fence            lead.Fence
	state            *groupState
	ring             []func()
	calls            []*simCall // waiting for an answer
	blockedUntil     time.Time  // runs no commands and no ticks before
	replacedAt       time.Time  // when it learns of its successor; zero if it has none
	reclaimPending   bool       // acquires the leadership again at the next tick
	lastTickAt       time.Time
	workersUpdatedAt time.Time
}

// acquireLeadership starts a leadership with a new fence and pool, also if the dispatcher
// leads the group already.
func (d *simDispatcher) acquireLeadership() {
	w := d.w
	w.fence++
	d.reclaimPending, d.fence, d.workersUpdatedAt = false, w.fence, time.Time{}
	d.state.dropPool(w.now)
	d.state.pool = pool.New(w.now, pool.Config{Fence: d.fence, LeaseMax: time.Second, StopMax: 50 * time.Millisecond, WorkersIncomplete: w.oneIn(4)})
	d.sendReplies()
	w.announceLeader(leader{d, d.fence})
}

func (d *simDispatcher) enqueue(c func()) { d.ring = append(d.ring, c) }

// step runs all queued commands and ticks, in random order.
func (d *simDispatcher) step() {
	if d.w.now.Before(d.blockedUntil) {
		return
	}
	tickFirst := d.w.oneIn(2)
	if tickFirst {
		d.tick()
	}
	if commands := d.ring; len(commands) > 0 {
		d.ring = nil
		for _, c := range commands {
			c()
		}
		d.applyDecisions()
	}
	if !tickFirst {
		d.tick()
	}
}

// tick passes the announcements of workers and the time to the pool, at the intervals of
// a Group.
func (d *simDispatcher) tick() {
	now := d.w.now
	if d.state.pool == nil || now.Sub(d.lastTickAt) < leaderTickInterval {
		return
	}
	d.lastTickAt = now
	if d.reclaimPending && d.replacedAt.IsZero() {
		d.acquireLeadership()
	}
	if now.Sub(d.workersUpdatedAt) >= workerUpdateInterval {
		d.workersUpdatedAt = now
		for _, s := range d.w.workers[d.group] {
			if !now.Before(s.downUntil) {
				d.state.pool.UpdateWorker(now, worker.Record{Announcement: s.announcement(), AnnouncedAt: now})
			}
		}
	}
	d.state.pool.Tick(now)
	d.applyDecisions()
}

// submit handles a forward. Without a pool, the dispatcher replies that it does not lead.
func (d *simDispatcher) submit(c *simCall, r pool.Request) {
	w := d.w
	c.received = true
	if d.state.pool == nil {
		w.after(w.messageDelay(), func() { c.attempt.receiveReply(c, forwardReply{}) })
		return
	}
	if w.fault == faultTakeoverIgnoresMayBeRunning && d.fence > 2 {
		r.MayBeRunning = false
	}
	d.state.submit(w.now, r, waiter{c.ticket, c.done})
	c.attempt.job.record("admitted as call", c.ticket.Number)
	d.calls = append(d.calls, c)
	admissions := 0
	for a := range d.state.waiters {
		if a.Job == r.Job.ID {
			admissions++
		}
	}
	if admissions > 1 {
		w.stats["jobs with two admissions"]++
	}
}

// withdraw handles a withdrawal, which may arrive before the forward. It reports whether the job is withdrawn and was never started.
func (d *simDispatcher) withdraw(c *simCall) (neverStarted bool) {
	if !c.received {
		d.w.stats["withdrawn before arrival"]++
	}
	waits, neverStarted := d.state.withdraw(d.w.now, withdrawal{c.ticket, c.attempt.job.request.Job.ID})
	return neverStarted || waits && d.w.fault == faultStartedNeverStarted
}

// applyDecisions sends the pool's orders and answers, as Group.applyDecisions does.
func (d *simDispatcher) applyDecisions() {
	s := d.state
	if s.pool == nil {
		return
	}
	orders, answers := s.pool.TakePending()
	// The pool iterates over maps; the schedule must not depend on their order.
	slices.SortStableFunc(orders, func(a, b pool.Order) int {
		return cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.Kind, b.Kind), a.Task.Compare(b.Task))
	})
	for _, o := range orders {
		d.sendOrder(o)
	}
	if d.w.fault == faultAnswersByJob {
		d.answerByJob(answers)
	} else {
		s.deliverAnswers(answers)
	}
	d.countStarts(orders)
	if s.pool.Fenced() || !d.replacedAt.IsZero() && !d.w.now.Before(d.replacedAt) {
		s.dropPool(d.w.now)
	}
	d.sendReplies()
}

// answerByJob delivers answers by job id, whatever the admission, as before the fix of
// issue 17.
func (d *simDispatcher) answerByJob(answers []pool.Answer) {
	for _, answer := range answers {
		for a, list := range d.state.waiters {
			if a.Job != answer.Job {
				continue
			}
			for _, one := range list {
				one.done <- result{answer: answer}
				delete(d.state.admissions, one.ticket)
			}
			delete(d.state.waiters, a)
		}
	}
}

// sendReplies sends the available results to the gates, without delay to the one on the
// same VM.
func (d *simDispatcher) sendReplies() {
	w := d.w
	d.calls = slices.DeleteFunc(d.calls, func(c *simCall) bool {
		select {
		case r := <-c.done:
			o := r.reply()
			o.Admitted = o.Admitted && (!r.dropped || w.fault != faultDroppedNotAdmitted)
			wait := w.messageDelay()
			if c.to.d.vm == c.attempt.gate.index {
				wait = 0
			}
			w.after(wait, func() { c.attempt.receiveReply(c, o) })
			return true
		default:
			return false
		}
	})
}

// countStarts counts the start orders of jobs that no gate waits for. By the dispatcher's
// own list of waiters there must be none; in fact there are some while a withdrawal is in
// transit or lost.
func (d *simDispatcher) countStarts(orders []pool.Order) {
	for _, o := range orders {
		a, pending := d.state.pool.Lookup(o.Task.Job)
		if o.Kind != pool.StartOrder || !pending {
			continue
		}
		if len(d.state.waiters[a]) == 0 {
			d.w.stats["started without a waiter"]++
		}
		if !slices.ContainsFunc(d.calls, func(c *simCall) bool { return !c.cancelled && c.attempt.job.request.Job.ID == o.Task.Job }) {
			d.w.stats["started with no gate waiting"]++
			d.w.job(o.Task.Job).startedWithoutGate = true
		}
	}
}

// sendOrder sends an order to its worker. On average, one in 45 is lost, and two in 45 are
// carried out late and without a reply.
func (d *simDispatcher) sendOrder(o pool.Order) {
	w := d.w
	s := w.find(o.Worker)
	answered := false
	receive := func(r pool.Reply) {
		if answered {
			return
		}
		answered = true
		d.enqueue(func() {
			if d.state.pool != nil && d.fence == o.Fence {
				r.Order, r.ReceivedAt = o, w.now
				d.state.pool.Receive(w.now, r)
			}
		})
	}
	w.after(o.Wait+pool.OrderTimeout, func() { receive(pool.Reply{}) })
	reply := func(r pool.Reply) { w.after(w.messageDelay(), func() { receive(r) }) }
	switch w.r.IntN(45) {
	case 0:
		w.stats["lost orders"]++
	case 1: // late, but before its deadline
		w.after(w.randomDelay(100, 700), func() { s.handleOrder(o, true, func(pool.Reply) {}) })
	case 2:
		w.after(w.randomDelay(700, 4000), func() { s.handleOrder(o, true, func(pool.Reply) {}) })
	default:
		w.after(w.messageDelay(), func() { s.handleOrder(o, false, reply) })
	}
}
