package group

import (
	"cmp"
	"slices"
	"time"

	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/worker"
)

// simDispatcher is an entry VM that leads a group: a part, and what the goroutine
// of a Group does with it.
type simDispatcher struct {
	w      *world
	group  int
	vm     int
	fence  lead.Fence
	part   *part
	ring   []func()
	calls  []*simCall // that wait for an answer
	behind time.Time  // it takes nothing in before
	over   time.Time  // it learns then that it was replaced; zero if it was not
	claims bool       // it will
	ticked time.Time
	told   time.Time
}

// claim begins a lead, also over the group that it leads already.
func (d *simDispatcher) claim() {
	w := d.w
	w.fence++
	d.claims, d.fence, d.told = false, w.fence, time.Time{}
	d.part.dropPool()
	d.part.pool = pool.New(w.now, pool.Config{Fence: d.fence, LeaseMax: time.Second, StopMax: 50 * time.Millisecond, WorkersIncomplete: w.one(4)})
	d.reply()
	w.tell(leader{d, d.fence})
}

// put adds a command to the ring.
func (d *simDispatcher) put(c func()) { d.ring = append(d.ring, c) }

// step takes in all that waits, and ticks, in either order.
func (d *simDispatcher) step() {
	if d.w.now.Before(d.behind) {
		return
	}
	first := d.w.one(2)
	if first {
		d.tick()
	}
	if commands := d.ring; len(commands) > 0 {
		d.ring = nil
		for _, c := range commands {
			c()
		}
		d.settle()
	}
	if !first {
		d.tick()
	}
}

// tick has the pool look at the time, and tells it of workers.
func (d *simDispatcher) tick() {
	now := d.w.now
	if d.part.pool == nil || now.Sub(d.ticked) < tickEvery {
		return
	}
	d.ticked = now
	if d.claims && d.over.IsZero() {
		d.claim()
	}
	if now.Sub(d.told) >= workersEvery {
		d.told = now
		for _, s := range d.w.workers[d.group] {
			if !now.Before(s.down) {
				d.part.pool.UpdateWorker(now, worker.Heard{Announcement: s.announcement(), At: now})
			}
		}
	}
	d.part.pool.Tick(now)
	d.settle()
}

// submit takes in a job.
func (d *simDispatcher) submit(c *simCall, r pool.Request) {
	w := d.w
	c.taken = true
	if d.part.pool == nil {
		w.after(w.way(), func() { c.of.replied(c, outcome{}) })
		return
	}
	if w.plant == plantTakeoverBlank && d.fence > 2 {
		r.MayBeRunning = false
	}
	d.part.submit(w.now, r, waiter{c.ticket, c.done})
	c.of.job.note("taken in as", c.ticket.Number)
	d.calls = append(d.calls, c)
	lives := 0
	for a := range d.part.waiters {
		if a.Job == r.Job.ID {
			lives++
		}
	}
	if lives > 1 {
		w.stats["batches of two lives"]++
	}
}

// withdraw takes in that a gate does not wait any more.
func (d *simDispatcher) withdraw(c *simCall) {
	if !c.taken {
		d.w.stats["withdrawn first"]++
	}
	d.part.withdraw(d.w.now, withdrawal{c.ticket, c.of.job.request.Job.ID})
}

// settle carries out what was decided, as Group.settle does.
func (d *simDispatcher) settle() {
	p := d.part
	if p.pool == nil {
		return
	}
	orders, answers := p.pool.TakePending()
	// The pool's maps have no order; the schedule must not depend on it.
	slices.SortStableFunc(orders, func(a, b pool.Order) int {
		return cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.Kind, b.Kind), a.Task.Compare(b.Task))
	})
	for _, o := range orders {
		d.order(o)
	}
	if d.w.plant == plantAnswersByJob {
		d.answerByJob(answers)
	} else {
		p.answer(answers)
	}
	d.count(orders)
	if p.pool.Fenced() || !d.over.IsZero() && !d.w.now.Before(d.over) {
		p.dropPool()
	}
	d.reply()
}

// answerByJob tells answers as it was before issue 17 was mended.
func (d *simDispatcher) answerByJob(answers []pool.Answer) {
	for _, answer := range answers {
		for a, list := range d.part.waiters {
			if a.Job != answer.Job {
				continue
			}
			for _, one := range list {
				one.done <- result{answer: answer}
				delete(d.part.admitted, one.ticket)
			}
			delete(d.part.waiters, a)
		}
	}
}

// reply sends the results that are there to the gates.
func (d *simDispatcher) reply() {
	w := d.w
	d.calls = slices.DeleteFunc(d.calls, func(c *simCall) bool {
		select {
		case r := <-c.done:
			o := outcome{Answer: r.answer, Leads: !r.dropped, Taken: !r.dropped || w.plant != plantDroppedBlank}
			wait := w.way()
			if c.to.d.vm == c.of.gate.index {
				wait = 0
			}
			w.after(wait, func() { c.of.replied(c, o) })
			return true
		default:
			return false
		}
	})
}

// count counts the starts with no gate waiting: as the dispatcher sees it, which must
// not happen, and as it is, which happens while a withdrawal is on its way or lost.
func (d *simDispatcher) count(orders []pool.Order) {
	for _, o := range orders {
		a, inHand := d.part.pool.Lookup(o.Task.Job)
		if o.Kind != pool.StartOrder || !inHand {
			continue
		}
		if len(d.part.waiters[a]) == 0 {
			d.w.stats["started for nobody"]++
		}
		if !slices.ContainsFunc(d.calls, func(c *simCall) bool { return !c.left && c.of.job.request.Job.ID == o.Task.Job }) {
			d.w.stats["started with no gate waiting"]++
			d.w.job(o.Task.Job).deserted = true
		}
	}
}

// order sends an order to its worker. Some are lost, and some are carried out late,
// without an answer.
func (d *simDispatcher) order(o pool.Order) {
	w := d.w
	s := w.find(o.Worker)
	answered := false
	receive := func(r pool.Reply) {
		if answered {
			return
		}
		answered = true
		d.put(func() {
			if d.part.pool != nil && d.fence == o.Fence {
				r.Order, r.ReceivedAt = o, w.now
				d.part.pool.Receive(w.now, r)
			}
		})
	}
	w.after(o.Wait+pool.OrderTimeout, func() { receive(pool.Reply{}) })
	reply := func(r pool.Reply) { w.after(w.way(), func() { receive(r) }) }
	switch w.r.IntN(45) {
	case 0:
		w.stats["lost orders"]++
	case 1: // before its deadline
		w.after(w.some(100, 700), func() { s.carryOut(o, true, func(pool.Reply) {}) })
	case 2:
		w.after(w.some(700, 4000), func() { s.carryOut(o, true, func(pool.Reply) {}) })
	default:
		w.after(w.way(), func() { s.carryOut(o, false, reply) })
	}
}
