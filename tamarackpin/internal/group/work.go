package group

import (
	"context"
	"time"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// The methods between entry VMs of a failure domain.
const (
	methodRun      peer.Method = "group.run"
	methodWithdraw peer.Method = "group.withdraw"
	methodExchange peer.Method = "group.exchange"
	methodPing     peer.Method = "group.ping"
)

// Ticket tells the calls of one gate apart.
type Ticket struct {
	Gate        vm.ID          `json:"gate"`
	Incarnation vm.Incarnation `json:"incarnation"`
	Number      uint64         `json:"number"`
}

// waiter is a gate that waits for a job's answer.
type waiter struct {
	ticket Ticket
	done   chan result
}

// result is a job's answer, or that this VM does not lead any more.
type result struct {
	answer  pool.Answer
	dropped bool
}

// forwardRequest is a job on its way to the leader of a group.
type forwardRequest struct {
	Ticket  Ticket       `json:"ticket"`
	Group   lead.Group   `json:"group"`
	Epoch   lead.Fence   `json:"epoch"` // of the division that has the group
	Request pool.Request `json:"request"`
}

// withdrawal says that a gate does not wait any more.
type withdrawal struct {
	Ticket Ticket `json:"ticket"`
	Job    job.ID `json:"job"` // VMs of earlier versions find the gate by it
}

// forwardReply is the leader's reply to a gate.
type forwardReply struct {
	Answer   pool.Answer `json:"answer"`
	Leads    bool        `json:"leads"` // false: this VM does not lead, or not any more
	Admitted bool        `json:"taken"` // with leads false: it did when the job came, so tasks may run
}

func (g *Group) registerHandlers(x *peer.Mux) {
	peer.Handle(x, methodExchange, g.serveExchange)
	peer.Handle(x, methodPing, g.servePing)
	peer.Handle(x, methodRun, func(ctx context.Context, from vm.ID, req forwardRequest) (forwardReply, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		if req.Request.Guest {
			go func() {
				defer cancel()
				g.watchPings(ctx, from)
			}()
		}
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
		g.enqueueWithdrawal(ctx, w)
		return struct{}{}, nil
	})
}

// runJob has the pool run a job, and waits for its answer. When ctx is done the
// job is withdrawn.
func (g *Group) runJob(ctx context.Context, req forwardRequest) (forwardReply, error) {
	done := make(chan result, 1)
	admitted := make(chan bool, 1)
	err := g.ring.Put(ctx, func(g *Group, now time.Time) { admitted <- g.admit(now, req, done) })
	if err != nil {
		return forwardReply{}, code.New(code.Cancelled, "the gate left before the job was taken in")
	}
	select {
	case ok := <-admitted:
		if !ok {
			return forwardReply{}, nil
		}
	case <-ctx.Done():
	}
	select {
	case r := <-done:
		return forwardReply{Answer: r.answer, Leads: !r.dropped, Admitted: true}, nil
	case <-ctx.Done():
		g.enqueueWithdrawal(context.WithoutCancel(ctx), withdrawal{req.Ticket, req.Request.Job.ID})
		return forwardReply{}, code.New(code.Cancelled, "the gate left")
	}
}

// ledGroup returns the part in a group that this VM leads, or nil.
func (g *Group) ledGroup(epoch lead.Fence, group lead.Group) *groupState {
	if epoch != g.division.Epoch || group < 0 || int(group) >= len(g.groups) || g.groups[group].pool == nil {
		return nil
	}
	return g.groups[group]
}

// enqueueWithdrawal takes in that a gate does not wait any more. The job goes on if
// another does.
func (g *Group) enqueueWithdrawal(ctx context.Context, w withdrawal) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_ = g.ring.Put(ctx, func(g *Group, now time.Time) { g.handleWithdrawal(now, w) })
}

// admit takes in a job, and reports whether this VM dispatches it.
func (g *Group) admit(now time.Time, req forwardRequest, done chan result) bool {
	s := g.ledGroup(req.Epoch, req.Group)
	if s == nil || g.earlyWithdrawals.remove(req.Ticket) {
		return false
	}
	g.logReforwarded(s, req)
	s.submit(now, req.Request, waiter{req.Ticket, done})
	return true
}

// handleWithdrawal takes in that a gate does not wait any more, or will not once its job
// comes.
func (g *Group) handleWithdrawal(now time.Time, w withdrawal) {
	for _, s := range g.groups {
		if s.withdraw(now, w) {
			return
		}
	}
	g.earlyWithdrawals.add(now, w.Ticket)
}
