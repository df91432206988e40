package group

import (
	"cmp"
	"slices"
	"time"

	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/worker"
)

// simDispatcher is an entry VM that leads a group: a groupState, and what the goroutine
// of a Group does with it.
type simDispatcher struct {
	w                *world
	group            int
	vm               int
	fence            lead.Fence
	state            *groupState
	ring             []func()
	calls            []*simCall // that wait for an answer
	blockedUntil     time.Time  // it takes nothing in before
	replacedAt       time.Time  // it learns then that it was replaced; zero if it was not
	reclaimPending   bool       // it will
	lastTickAt       time.Time
	workersUpdatedAt time.Time
}

// acquireLeadership begins a lead, also over the group that it leads already.
func (d *simDispatcher) acquireLeadership() {
	w := d.w
	w.fence++
	d.reclaimPending, d.fence, d.workersUpdatedAt = false, w.fence, time.Time{}
	d.state.dropPool()
	d.state.pool = pool.New(w.now, pool.Config{Fence: d.fence, LeaseMax: time.Second, StopMax: 50 * time.Millisecond, Partial: w.oneIn(4)})
	d.sendReplies()
	w.announceLeader(leader{d, d.fence})
}

// put adds a command to the ring.
func (d *simDispatcher) enqueue(c func()) { d.ring = append(d.ring, c) }

// step takes in all that waits, and ticks, in either order.
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

// tick has the pool look at the time, and tells it of workers.
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
				d.state.pool.Observe(now, worker.Heard{Announcement: s.announcement(), At: now})
			}
		}
	}
	d.state.pool.Tick(now)
	d.applyDecisions()
}

// submit takes in a job.
func (d *simDispatcher) submit(c *simCall, r pool.Request) {
	w := d.w
	c.received = true
	if d.state.pool == nil {
		w.after(w.messageDelay(), func() { c.attempt.receiveReply(c, forwardReply{}) })
		return
	}
	if w.fault == faultTakeoverIgnoresMayRun && d.fence > 2 {
		r.MayRun = false
	}
	d.state.submit(w.now, r, waiter{c.ticket, c.done})
	c.attempt.job.record("taken in as", c.ticket.Number)
	d.calls = append(d.calls, c)
	admissions := 0
	for a := range d.state.waiters {
		if a.Job == r.Job.ID {
			admissions++
		}
	}
	if admissions > 1 {
		w.stats["batches of two lives"]++
	}
}

// withdraw takes in that a gate does not wait any more.
func (d *simDispatcher) withdraw(c *simCall) {
	if !c.received {
		d.w.stats["withdrawn first"]++
	}
	d.state.withdraw(d.w.now, withdrawal{c.ticket, c.attempt.job.request.Job.ID})
}

// applyDecisions carries out what was decided, as Group.applyDecisions does.
func (d *simDispatcher) applyDecisions() {
	s := d.state
	if s.pool == nil {
		return
	}
	orders, answers := s.pool.Take()
	// The pool's maps have no order; the schedule must not depend on it.
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
		s.dropPool()
	}
	d.sendReplies()
}

// answerByJob tells answers as it was before issue 17 was mended.
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

// sendReplies sends the results that are there to the gates.
func (d *simDispatcher) sendReplies() {
	w := d.w
	d.calls = slices.DeleteFunc(d.calls, func(c *simCall) bool {
		select {
		case r := <-c.done:
			o := forwardReply{Answer: r.answer, Leads: !r.dropped, Admitted: !r.dropped || w.fault != faultDroppedNotAdmitted}
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

// countStarts counts the starts with no gate waiting: as the dispatcher sees it, which must
// not happen, and as it is, which happens while a withdrawal is on its way or lost.
func (d *simDispatcher) countStarts(orders []pool.Order) {
	for _, o := range orders {
		a, pending := d.state.pool.InHand(o.Task.Job)
		if o.Kind != pool.StartOrder || !pending {
			continue
		}
		if len(d.state.waiters[a]) == 0 {
			d.w.stats["started for nobody"]++
		}
		if !slices.ContainsFunc(d.calls, func(c *simCall) bool { return !c.cancelled && c.attempt.job.request.Job.ID == o.Task.Job }) {
			d.w.stats["started with no gate waiting"]++
			d.w.job(o.Task.Job).startedWithoutGate = true
		}
	}
}

// sendOrder sends an order to its worker. Some are lost, and some are carried out late,
// without an answer.
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
				r.Order, r.At = o, w.now
				d.state.pool.Receive(w.now, r)
			}
		})
	}
	w.after(o.Wait+pool.OrderTimeout, func() { receive(pool.Reply{}) })
	reply := func(r pool.Reply) { w.after(w.messageDelay(), func() { receive(r) }) }
	switch w.r.IntN(45) {
	case 0:
		w.stats["lost orders"]++
	case 1: // before its deadline
		w.after(w.randomDelay(100, 700), func() { s.handleOrder(o, true, func(pool.Reply) {}) })
	case 2:
		w.after(w.randomDelay(700, 4000), func() { s.handleOrder(o, true, func(pool.Reply) {}) })
	default:
		w.after(w.messageDelay(), func() { s.handleOrder(o, false, reply) })
	}
}
