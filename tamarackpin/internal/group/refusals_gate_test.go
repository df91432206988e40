package group

import (
	"fmt"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/vm"
)

// leader is the leader of a group as known to a gate. The zero value is no leader.
type leader struct {
	d     *simDispatcher
	fence lead.Fence
}

// simGate is the gate of an entry VM.
type simGate struct {
	index            int
	leaders          [2]leader    // by group
	unreachableUntil [2]time.Time // by group: the gate knows no leader before
}

// loseLeader makes the gate know no leader of d's group for the given length, if d is the
// leader that it knows and is on another VM.
func (g *simGate) loseLeader(w *world, d *simDispatcher, length time.Duration) {
	if d.vm != g.index && g.leaders[d.group].d == d {
		g.unreachableUntil[d.group] = w.now.Add(length)
		w.stats["leader lost"]++
	}
}

func (g *simGate) leader(now time.Time, group int) leader {
	if now.Before(g.unreachableUntil[group]) {
		return leader{}
	}
	return g.leaders[group]
}

// simAttempt is one attempt of a caller at a gate. It does what gate.Gate.run does.
type simAttempt struct {
	w                 *world
	job               *simJob
	gate              *simGate
	startedAt         time.Time
	deadline          time.Time
	deadlineNoticedAt time.Time // when the gate notices that the deadline passed
	request           pool.Request
	disconnectNoticed bool // the gate noticed that the caller disconnected
	disconnected      bool // the caller disconnected, so it receives no answer
	finished          bool
	outcome           job.Outcome // received by the caller; empty if none
	offloadTried      bool        // the job's own group refused it with TryElsewhere
	offloaded         bool        // the pending call is to the other group
	call              *simCall    // pending, or nil
	retryAt           time.Time
	noLeaderSince     time.Time
	asksUntil         time.Time // when it gives up the reply of a replaced dispatcher; zero if it waits for none
}

// simCall is one forward of a job to a dispatcher.
type simCall struct {
	attempt   *simAttempt
	to        leader
	ticket    Ticket
	done      chan result
	received  bool // by the dispatcher
	cancelled bool // or finished: the gate ignores its reply
}

func (t *simAttempt) step() {
	w := t.w
	expired := t.disconnectNoticed || !w.now.Before(t.deadlineNoticedAt)
	switch {
	case t.finished || !t.asksUntil.IsZero():
	case t.call != nil:
		current := t.gate.leader(w.now, t.job.homeGroup)
		switch {
		case expired || !t.offloaded && current.d == nil:
			t.cancelCall()
		case !t.offloaded && current != t.call.to:
			t.supersedeCall()
		}
	case expired:
		t.giveUp()
	case !w.now.Before(t.retryAt) && w.now.Before(t.deadline):
		t.forwardToLeader()
	}
}

// forwardToLeader forwards the job to the leader that the gate knows, and gives up after
// gateNoLeaderTimeout without one.
func (t *simAttempt) forwardToLeader() {
	w := t.w
	t.request.Age, t.request.RemainingWait = w.now.Sub(t.startedAt), t.deadline.Sub(w.now)
	to := t.gate.leader(w.now, t.job.homeGroup)
	if to.d == nil {
		if t.noLeaderSince.IsZero() {
			t.noLeaderSince = w.now
		}
		if w.now.Sub(t.noLeaderSince) > gateNoLeaderTimeout {
			t.giveUp()
		}
		return
	}
	t.noLeaderSince = time.Time{}
	t.request.CanOffload = !t.offloadTried && !t.request.MayBeRunning && w.oneIn(3)
	if t.request.MayBeRunning {
		w.stats["forwarded again"]++
	}
	r := t.request
	r.MayBeRunning = r.MayBeRunning && w.fault != faultMayBeRunningLost
	t.forward(to, r)
}

// forward sends a job to a dispatcher. The call may be lost, delayed or cut off, unless the
// dispatcher is on the same VM.
func (t *simAttempt) forward(to leader, r pool.Request) {
	w := t.w
	w.lastCall++
	c := &simCall{attempt: t, to: to, ticket: Ticket{vm.ID(fmt.Sprint("vm", t.gate.index)), 1, w.lastCall}, done: make(chan result, 1)}
	t.call = c
	t.job.record("forwarded as call", w.lastCall)
	submit := func() { to.d.enqueue(func() { to.d.submit(c, r) }) }
	n := w.r.IntN(100)
	if to.d.vm == t.gate.index {
		submit()
		return
	}
	switch {
	case n < 2: // not sent, and the gate knows
		w.after(w.messageDelay(), func() { t.finishForward(c, ForwardResult{}) })
	case n < 4: // lost, and the connection breaks
		w.after(w.randomDelay(20, 500), func() { t.connectionBroke(c) })
	case n < 12:
		w.after(w.randomDelay(50, 800), submit)
	default:
		w.after(w.messageDelay(), submit)
	}
	if n >= 4 && w.oneIn(40) {
		w.after(w.randomDelay(5, 400), func() { t.connectionBroke(c) })
	}
}

// connectionBroke cancels c if it is still pending.
func (t *simAttempt) connectionBroke(c *simCall) {
	if t.call == c {
		t.cancelCall()
	}
}

// cancelCall ends the wait for an answer and withdraws the call. The withdrawal may be
// late, arrive twice, overtake the forward or be lost.
func (t *simAttempt) cancelCall() {
	w, c := t.w, t.call
	w.stats["cancelled calls"]++
	t.job.record("cancelled call", c.ticket.Number)
	c.cancelled = true
	withdraw := func() { c.to.d.enqueue(func() { c.to.d.withdraw(c) }) }
	n := w.r.IntN(10)
	switch {
	case c.to.d.vm == t.gate.index:
		withdraw()
	case n == 0 && !t.offloaded:
		w.stats["lost withdrawals"]++
	case n == 0: // the dispatcher notices missing pings
		w.after(pool.MaxGateSilence, withdraw)
	case n < 4:
		w.stats["late withdrawals"]++
		w.after(w.randomDelay(50, 800), withdraw)
	default:
		w.after(w.messageDelay(), withdraw)
		if w.oneIn(4) { // a second one, as the connection broke too
			w.after(w.randomDelay(1, 300), withdraw)
		}
	}
	t.finishForward(c, ForwardResult{MayBeRunning: true})
}

// supersedeCall ends the wait for an answer when another dispatcher has taken over, and asks the replaced one whether it
// has started the job, as Group.reclaim does. The withdrawal or its reply may be late or lost.
func (t *simAttempt) supersedeCall() {
	w, c := t.w, t.call
	if c.to.d.vm == t.gate.index || w.oneIn(4) { // one that does not answer is not asked
		t.cancelCall()
		return
	}
	w.stats["asked whether started"]++
	t.job.record("superseded call", c.ticket.Number)
	c.cancelled = true
	t.asksUntil = w.now.Add(supersededTimeout)
	finish := func(neverStarted bool) {
		if t.call != c || t.finished {
			return
		}
		if neverStarted {
			w.stats["never started"]++
			t.job.record("never started, call", c.ticket.Number)
		}
		t.asksUntil = time.Time{}
		t.finishForward(c, ForwardResult{MayBeRunning: !neverStarted})
	}
	w.after(supersededTimeout, func() { finish(false) })
	ask := func() {
		c.to.d.enqueue(func() {
			neverStarted := c.to.d.withdraw(c)
			switch w.r.IntN(10) {
			case 0: // lost
			case 1:
				w.stats["late replies to withdrawals"]++
				w.after(w.randomDelay(20, 200), func() { finish(neverStarted) })
			default:
				w.after(w.messageDelay(), func() { finish(neverStarted) })
			}
		})
	}
	switch w.r.IntN(10) {
	case 0:
		w.stats["lost withdrawals"]++
	case 1, 2:
		w.stats["late withdrawals"]++
		w.after(w.randomDelay(20, 800), ask)
	default:
		w.after(w.messageDelay(), ask)
	}
}

// receiveReply handles the reply to a forward.
func (t *simAttempt) receiveReply(c *simCall, o forwardReply) {
	switch {
	case c.cancelled && t.w.fault == faultRepliesByJob && o.Answered && t.call != nil && !t.finished:
		t.call.cancelled = true
		c = t.call
	case c.cancelled:
		return
	case t.w.oneIn(60): // the reply is lost with its connection
		t.connectionBroke(c)
		return
	}
	if o.Admitted && !o.Answered {
		t.w.stats["dropped"]++
	}
	t.finishForward(c, ForwardResult{Answer: o.Answer, Answered: o.Answered, MayBeRunning: o.Admitted})
}

// finishForward handles the result of a forward: it answers the caller, offloads the job or
// schedules the next forward.
func (t *simAttempt) finishForward(c *simCall, result ForwardResult) {
	w := t.w
	if t.call != c || t.finished {
		return
	}
	t.call = nil
	c.cancelled = true
	wasOffloaded := t.offloaded
	t.offloaded = false
	switch {
	case result.Answered && !result.Answer.TryElsewhere:
		t.finish(result.Answer.Outcome)
	case wasOffloaded && result.MayBeRunning && !result.Answered && w.fault != faultOffloadedNotAdmitted:
		// It may still run there, and must not run here.
		t.finish(job.Abandoned)
	case wasOffloaded:
		// The other group did not admit it: the next step forwards it to its own group.
	case result.Answered:
		t.offloadTried = true
		t.offload()
	default:
		t.request.MayBeRunning = t.request.MayBeRunning || result.MayBeRunning
		t.retryAt = w.now.Add(gateRetryInterval)
		if t.disconnectNoticed || !w.now.Before(t.deadline) {
			t.giveUp()
		}
	}
}

// offload forwards the job to the other group's last leader known to the gate, which may
// have been replaced.
func (t *simAttempt) offload() {
	w := t.w
	t.offloaded = true
	w.stats["offloaded"]++
	r := t.request
	r.CanOffload, r.Offloaded = false, true
	t.forward(t.gate.leaders[1-t.job.homeGroup], r)
	if c := t.call; w.oneIn(8) { // too many pings are lost
		w.after(w.randomDelay(10, 700), func() { t.connectionBroke(c) })
	}
}

// giveUp answers a job that no dispatcher answered.
func (t *simAttempt) giveUp() {
	t.w.stats["given up"]++
	t.job.record("given up", 0)
	if t.request.MayBeRunning && t.w.fault != faultGivesUpNotRun {
		t.finish(job.Abandoned)
		return
	}
	t.finish(job.NotRun)
}

func (t *simAttempt) finish(o job.Outcome) {
	t.finished = true
	t.job.receiveOutcome(t, o)
}
