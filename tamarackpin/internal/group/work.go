package group

import (
	"cmp"
	"context"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/ring"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// Methods that entry VMs call on each other.
const (
	methodRun        peer.Method = "group.run"
	methodWithdraw   peer.Method = "group.withdraw"
	methodReclaim    peer.Method = "group.reclaim"
	methodRelease    peer.Method = "group.release"
	methodExchange   peer.Method = "group.exchange"
	methodHandover   peer.Method = "group.handover"
	methodPing       peer.Method = "group.ping"
	methodCrashes    peer.Method = "group.crashes"
	methodLateStarts peer.Method = "group.late_starts"
	methodUnclaimed  peer.Method = "group.unclaimed"
)

// Ticket identifies a forward by a gate; it is unique across restarts of the gate's
// process.
type Ticket struct {
	Gate        vm.ID          `json:"gate"`
	Incarnation vm.Incarnation `json:"incarnation"`
	Number      uint64         `json:"number"`
}

func (t Ticket) process() process { return process{t.Gate, t.Incarnation} }

// waiter is a call of a gate that waits for a job's answer.
type waiter struct {
	ticket Ticket
	done   chan result // buffered: receives one result
}

// result is what a waiter receives: the answer, or that there will be none.
type result struct {
	answer       pool.Answer
	dropped      bool // no answer: leadership was lost or the gate withdrew
	neverStarted bool // of one that was dropped: no dispatcher has started a task of the job
}

func (r result) reply() forwardReply {
	return forwardReply{Answer: r.answer, Answered: !r.dropped, Admitted: !r.neverStarted}
}

// forwardRequest carries a job from a gate to the leader of a group.
type forwardRequest struct {
	Ticket  Ticket       `json:"ticket"`
	Group   lead.Group   `json:"group"`
	Epoch   lead.Fence   `json:"epoch"` // of the division of Group; drawn from the same sequence as fences
	Request pool.Request `json:"request"`
	Made    stamp        `json:"made,omitzero"`
	// Withdrawn lists the ticket numbers of the process's withdrawals that the receiver has not acknowledged. Earlier
	// builds refuse calls with the field; see ReadsWithdrawals of heartbeat.
	Withdrawn []uint64 `json:"withdrawn,omitempty"`
}

// ping is a heartbeat of a gate that has offloaded jobs, and the reply to one.
type ping struct {
	Made      stamp    `json:"made,omitzero"`
	Withdrawn []uint64 `json:"withdrawn,omitempty"` // as in forwardRequest
	// ReadsWithdrawals is as in heartbeat.
	ReadsWithdrawals bool `json:"reads_withdrawals,omitempty"`
}

// withdrawal cancels the call of a gate.
type withdrawal struct {
	Ticket Ticket `json:"ticket"`
	Job    job.ID `json:"job"` // read only by versions that match withdrawals by job
}

// reclaimReply is the reply to methodReclaim, which withdraws a job as methodWithdraw does.
type reclaimReply struct {
	// NeverStarted reports that neither this dispatcher nor an earlier one has started a task of the job, and that this
	// one won't, or that this one did not admit the job of a gate that had it nowhere before.
	NeverStarted bool `json:"never_started,omitempty"`
}

// forwardReply carries the answer to a forwarded job, or whether the job was admitted
// without one. The zero value means that it was not admitted.
type forwardReply struct {
	Answer pool.Answer `json:"answer"`
	// Answered reports that Answer is set (outer name "leads"). It is false if this VM does
	// not lead the group or lost the leadership, or if the gate withdrew the call.
	Answered bool `json:"leads"`
	// Admitted reports that the job reached the pool (outer name "taken") and, if Answered is
	// false, that its tasks may be running.
	Admitted bool `json:"taken"`
}

func (g *Group) registerHandlers(x *peer.Mux) {
	peer.Handle(x, methodExchange, g.serveExchange)
	peer.Handle(x, methodHandover, g.serveHandover)
	peer.Handle(x, methodPing, g.servePing)
	peer.Handle(x, methodCrashes, g.serveCrashes)
	peer.Handle(x, methodLateStarts, g.serveLateStarts)
	peer.Handle(x, methodUnclaimed, g.serveUnclaimed)
	peer.Handle(x, methodRun, func(ctx context.Context, _ vm.ID, req forwardRequest) (forwardReply, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		go func() {
			select {
			case <-ctx.Done():
			case <-peer.Disconnected(ctx):
				cancel()
			}
		}()
		return g.runJob(ctx, req)
	})
	peer.Handle(x, methodWithdraw, func(ctx context.Context, _ vm.ID, w withdrawal) (struct{}, error) {
		return struct{}{}, g.enqueueWithdrawal(ctx, w)
	})
	peer.Handle(x, methodReclaim, func(ctx context.Context, _ vm.ID, w withdrawal) (reclaimReply, error) {
		return g.serveReclaim(ctx, w), nil
	})
	peer.Handle(x, methodRelease, func(ctx context.Context, _ vm.ID, t Ticket) (struct{}, error) {
		g.enqueueRelease(ctx, t)
		return struct{}{}, nil
	})
}

// runJob submits a job to the pool and waits for its answer. When ctx is done the job is
// withdrawn and the error has [code.Cancelled].
func (g *Group) runJob(ctx context.Context, req forwardRequest) (forwardReply, error) {
	now := time.Now()
	sentAt, err := g.recordMessage(ctx, now, req.Ticket.process(), req.Made, req.Withdrawn)
	if err != nil {
		return forwardReply{}, code.New(code.Cancelled, "the gate left before its withdrawals were taken in")
	}
	if now.Sub(sentAt) >= pool.MaxGateSilence {
		return forwardReply{}, nil // the gate may have given it up; if not, it forwards it again
	}
	done := make(chan result, 1)
	admitted := make(chan bool, 1)
	err = g.ring.Put(ctx, func(g *Group, startedAt time.Time) {
		defer close(admitted) // without a value if admit panics
		// Its withdrawal may have come earlier, at any time since it was sent, and have expired.
		admitted <- startedAt.Sub(sentAt) < earlyWithdrawalTTL && g.admit(startedAt, req, done)
	})
	if err != nil {
		return forwardReply{}, code.New(code.Cancelled, "the gate left before the job was taken in")
	}
	select {
	case ok, returned := <-admitted:
		if !returned {
			return forwardReply{}, code.New(code.Internal, "the dispatcher failed while it admitted job %s", req.Request.Job.ID)
		}
		if !ok {
			return forwardReply{}, nil
		}
	case <-ctx.Done():
	}
	select {
	case r := <-done:
		return r.reply(), nil
	case <-ctx.Done():
		select {
		case r := <-done:
			return r.reply(), nil
		default:
		}
		_ = g.enqueueWithdrawal(context.WithoutCancel(ctx), withdrawal{req.Ticket, req.Request.Job.ID}) // logged; a gate elsewhere repeats it
		return forwardReply{}, code.New(code.Cancelled, "the gate left")
	}
}

// ledGroup returns the state of a group that this VM leads, by the epoch of its division
// and its index. It returns nil if this VM does not lead the group or has another division.
func (g *Group) ledGroup(epoch lead.Fence, group lead.Group) *groupState {
	if epoch != g.division.Epoch || group < 0 || int(group) >= len(g.groups) || g.groups[group].pool == nil {
		return nil
	}
	return g.groups[group]
}

// enqueueWithdrawal has the goroutine of Run handle a withdrawal before it decides anything else. The job continues if
// another gate waits for it. It fails only if that goroutine has not handled any for a second, and then it steps down.
func (g *Group) enqueueWithdrawal(ctx context.Context, w withdrawal) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := g.withdrawals.Put(ctx, func(g *Group, now time.Time) { g.handleWithdrawal(now, w) }); err != nil {
		g.config.Log.Debug("the dispatcher is too far behind for a withdrawal", zap.String("job", string(w.Job)), event.Err(err))
		return code.New(code.Cancelled, "the dispatcher is too far behind for a withdrawal")
	}
	return nil
}

// serveReclaim has the goroutine of Run handle a withdrawal, and waits for that. If the job is not there, its forward may be among the
// queued commands, which refuses it as withdrawn: then the withdrawal is handled after them once more.
func (g *Group) serveReclaim(ctx context.Context, w withdrawal) reclaimReply {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	type outcome struct{ neverStarted, early bool }
	for _, queue := range []*ring.Ring[command]{g.withdrawals, g.ring} {
		outcomes := make(chan outcome, 1)
		err := queue.Put(ctx, func(g *Group, now time.Time) {
			neverStarted := g.handleWithdrawal(now, w)
			outcomes <- outcome{neverStarted, g.earlyWithdrawals.has(w.Ticket)}
		})
		if err != nil {
			return reclaimReply{}
		}
		select {
		case o := <-outcomes:
			if !o.early {
				return reclaimReply{NeverStarted: o.neverStarted}
			}
		case <-ctx.Done():
			return reclaimReply{}
		}
	}
	return reclaimReply{}
}

// enqueueRelease has the goroutine of Run release a job that a gate forwarded: it is answered as not run,
// unless it may have been started.
func (g *Group) enqueueRelease(ctx context.Context, t Ticket) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	// If the queue is full, the job stays until the gate withdraws it.
	_ = g.ring.Put(ctx, func(g *Group, now time.Time) {
		for _, s := range g.groups {
			if s.release(now, t) {
				return
			}
		}
	})
}

// admit submits a job to its group's pool. It reports false if this VM does not lead the
// group or the job was withdrawn before it arrived.
func (g *Group) admit(now time.Time, req forwardRequest, done chan result) bool {
	s := g.ledGroup(req.Epoch, req.Group)
	if s == nil {
		return false
	}
	if g.earlyWithdrawals.remove(req.Ticket) {
		if _, pending := s.pool.Lookup(req.Request.Job.ID); !pending && !req.Request.MayBeRunning {
			s.givenBack.add(now, req.Ticket)
		}
		return false
	}
	g.logReforwarded(s, req)
	if g.contactOf(now, req.Ticket).HeardAt.IsZero() {
		g.contacts.record(now, req.Ticket.process(), stamp{})
	}
	req.Request.GateHeardAt = g.contactOf(now, req.Ticket).HeardAt
	s.submit(now, req.Request, waiter{req.Ticket, done})
	return true
}

// handleWithdrawal removes the waiter of a call, or stores the withdrawal until the call
// arrives. It reports whether the job is withdrawn and was never started. A list of
// withdrawals names no jobs.
func (g *Group) handleWithdrawal(now time.Time, w withdrawal) (neverStarted bool) {
	for _, s := range g.groups {
		a := s.admissions[w.Ticket]
		if waits, neverStarted := s.withdraw(now, w); waits {
			event.Log(g.config.Log, event.JobWithdrawn, zap.String("job", string(cmp.Or(w.Job, a.Job))), zap.String("gate", string(w.Ticket.Gate)), zap.Uint64("number", w.Ticket.Number),
				zap.Duration("gate_silence", now.Sub(g.contactOf(now, w.Ticket).HeardAt)), zap.Int("gates", len(s.waiters[a])))
			return neverStarted
		}
	}
	g.earlyWithdrawals.add(now, w.Ticket)
	return false
}
