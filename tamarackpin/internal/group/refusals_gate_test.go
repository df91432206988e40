package group

import (
	"fmt"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/vm"
)

// leader is who leads a group, as a gate knows it; zero for nobody.
type leader struct {
	d     *simDispatcher
	fence lead.Fence
}

// simGate is an entry VM that takes in jobs.
type simGate struct {
	index   int
	follows [2]leader
	lost    [2]time.Time // it hears nobody who leads a group before
}

// lose has a gate not hear a dispatcher for a while.
func (g *simGate) lose(w *world, d *simDispatcher, length time.Duration) {
	if d.vm != g.index && g.follows[d.group].d == d {
		g.lost[d.group] = w.now.Add(length)
		w.stats["leader lost"]++
	}
}

func (g *simGate) leader(now time.Time, group int) leader {
	if now.Before(g.lost[group]) {
		return leader{}
	}
	return g.follows[group]
}

// simTry is one call of a caller at a gate: what gate.Gate.run does.
type simTry struct {
	w        *world
	job      *simJob
	gate     *simGate
	begun    time.Time
	until    time.Time
	notices  time.Time // that until is over
	request  pool.Request
	left     bool // the caller did, as the gate sees it
	unheard  bool // the caller did, so it hears no answer
	over     bool
	told     job.Outcome // what the caller heard
	tried    bool        // its own group handed it back
	guest    bool        // it was handed to the other group
	call     *simCall    // it waits for
	wake     time.Time
	noLeader time.Time
}

// simCall is one hand-over.
type simCall struct {
	of     *simTry
	to     leader
	ticket Ticket
	done   chan result
	taken  bool // by the dispatcher
	left   bool // the gate broke it off
}

func (t *simTry) step() {
	w := t.w
	ends := t.left || !w.now.Before(t.notices)
	switch {
	case t.over:
	case t.call != nil:
		if ends || !t.guest && t.gate.leader(w.now, t.job.home) != t.call.to {
			t.breakOff()
		}
	case ends:
		t.giveUp()
	case !w.now.Before(t.wake) && w.now.Before(t.until):
		t.handIn()
	}
}

// handIn hands the job to whom the gate follows.
func (t *simTry) handIn() {
	w := t.w
	t.request.Age, t.request.RemainingWait = w.now.Sub(t.begun), t.until.Sub(w.now)
	to := t.gate.leader(w.now, t.job.home)
	if to.d == nil {
		if t.noLeader.IsZero() {
			t.noLeader = w.now
		}
		if w.now.Sub(t.noLeader) > gateLeaderWait {
			t.giveUp()
		}
		return
	}
	t.noLeader = time.Time{}
	t.request.CanOffload = !t.tried && !t.request.MayBeRunning && w.one(3)
	if t.request.MayBeRunning {
		w.stats["handed in again"]++
	}
	r := t.request
	r.MayBeRunning = r.MayBeRunning && w.plant != plantMayRunLost
	t.hand(to, r)
}

// hand sends a job to a dispatcher.
func (t *simTry) hand(to leader, r pool.Request) {
	w := t.w
	w.number++
	c := &simCall{of: t, to: to, ticket: Ticket{vm.ID(fmt.Sprint("vm", t.gate.index)), 1, w.number}, done: make(chan result, 1)}
	t.call = c
	t.job.note("handed in as", w.number)
	take := func() { to.d.put(func() { to.d.submit(c, r) }) }
	n := w.r.IntN(100)
	if to.d.vm == t.gate.index {
		take()
		return
	}
	switch {
	case n < 2: // it never leaves, and the gate knows
		w.after(w.way(), func() { t.handed(c, Handed{}) })
	case n < 4: // it is lost, or its connection breaks
		w.after(w.some(20, 500), func() { t.broken(c) })
	case n < 12:
		w.after(w.some(50, 800), take)
	default:
		w.after(w.way(), take)
	}
	if n >= 4 && w.one(40) {
		w.after(w.some(5, 400), func() { t.broken(c) })
	}
}

// broken has the connection of a call break.
func (t *simTry) broken(c *simCall) {
	if t.call == c {
		t.breakOff()
	}
}

// breakOff ends the wait for an answer. The withdrawal may be late, overtake the
// hand-over or never arrive.
func (t *simTry) breakOff() {
	w, c := t.w, t.call
	w.stats["broken off"]++
	t.job.note("broke off", c.ticket.Number)
	c.left = true
	take := func() { c.to.d.put(func() { c.to.d.withdraw(c) }) }
	n := w.r.IntN(10)
	switch {
	case c.to.d.vm == t.gate.index:
		take()
	case n == 0 && !t.guest:
		w.stats["withdrawn never"]++
	case n == 0: // the dispatcher misses the pings
		w.after(guestAfter, take)
	case n < 4:
		w.stats["withdrawn late"]++
		w.after(w.some(50, 800), take)
	default:
		w.after(w.way(), take)
		if w.one(4) { // also since the connection broke
			w.after(w.some(1, 300), take)
		}
	}
	t.handed(c, Handed{MayRun: true})
}

// replied takes in the reply to a hand-over.
func (t *simTry) replied(c *simCall, o outcome) {
	switch {
	case c.left && t.w.plant == plantRepliesByJob && o.Leads && t.call != nil && !t.over:
		t.call.left = true
		c = t.call
	case c.left:
		return
	case t.w.one(60): // its connection breaks just now
		t.broken(c)
		return
	}
	if o.Taken && !o.Leads {
		t.w.stats["dropped"]++
	}
	t.handed(c, Handed{Answer: o.Answer, Answered: o.Leads, MayRun: o.Taken})
}

// handed goes on after a hand-over.
func (t *simTry) handed(c *simCall, h Handed) {
	w := t.w
	if t.call != c || t.over {
		return
	}
	t.call = nil
	c.left = true
	guest := t.guest
	t.guest = false
	switch {
	case h.Answered && !h.Answer.TryElsewhere:
		t.end(h.Answer.Outcome)
	case guest && h.MayRun && !h.Answered && w.plant != plantGuestBlank:
		// It may run there, and must not run here.
		t.end(job.Abandoned)
	case guest:
		// Its own group has it after all.
	case h.Answered:
		t.tried = true
		t.handElsewhere()
	default:
		t.request.MayBeRunning = t.request.MayBeRunning || h.MayRun
		t.wake = w.now.Add(gateRetry)
		if t.left || !w.now.Before(t.until) {
			t.giveUp()
		}
	}
}

// handElsewhere hands the job to the other group, which may have another leader
// than the gate heard of.
func (t *simTry) handElsewhere() {
	w := t.w
	t.guest = true
	w.stats["guests"]++
	r := t.request
	r.CanOffload, r.Offloaded = false, true
	t.hand(t.gate.follows[1-t.job.home], r)
	if c := t.call; w.one(8) { // the pings are lost
		w.after(w.some(10, 700), func() { t.broken(c) })
	}
}

// giveUp answers a job that nobody answered.
func (t *simTry) giveUp() {
	t.w.stats["given up"]++
	t.job.note("given up", 0)
	if t.request.MayBeRunning && t.w.plant != plantGivesUpBlank {
		t.end(job.Abandoned)
		return
	}
	t.end(job.NotRun)
}

func (t *simTry) end(o job.Outcome) {
	t.over = true
	t.job.told(t, o)
}
