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

// work is a job on its way to the leader of a group.
type work struct {
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

// outcome is the leader's reply to a gate.
type outcome struct {
	Answer pool.Answer `json:"answer"`
	Leads  bool        `json:"leads"` // false: this VM does not lead, or not any more
	Taken  bool        `json:"taken"` // with leads false: it did when the job came, so tasks may run
}

func (g *Group) serve(x *peer.Mux) {
	peer.Handle(x, methodExchange, g.serveExchange)
	peer.Handle(x, methodPing, g.servePing)
	peer.Handle(x, methodRun, func(ctx context.Context, from vm.ID, w work) (outcome, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		if w.Request.Offloaded {
			go func() {
				defer cancel()
				g.watchGuest(ctx, from)
			}()
		}
		go func() {
			select {
			case <-ctx.Done():
			case <-peer.Disconnected(ctx):
				cancel()
			}
		}()
		return g.run(ctx, w)
	})
	peer.Handle(x, methodWithdraw, func(ctx context.Context, _ vm.ID, w withdrawal) (struct{}, error) {
		g.withdraw(ctx, w)
		return struct{}{}, nil
	})
}

// run has the pool run a job, and waits for its answer. When ctx is done the
// job is withdrawn.
func (g *Group) run(ctx context.Context, w work) (outcome, error) {
	done := make(chan result, 1)
	taken := make(chan bool, 1)
	err := g.ring.Put(ctx, func(g *Group, now time.Time) { taken <- g.admit(now, w, done) })
	if err != nil {
		return outcome{}, code.New(code.Cancelled, "the gate left before the job was taken in")
	}
	select {
	case t := <-taken:
		if !t {
			return outcome{}, nil
		}
	case <-ctx.Done():
	}
	select {
	case r := <-done:
		return outcome{Answer: r.answer, Leads: !r.dropped, Taken: true}, nil
	case <-ctx.Done():
		g.withdraw(context.WithoutCancel(ctx), withdrawal{w.Ticket, w.Request.Job.ID})
		return outcome{}, code.New(code.Cancelled, "the gate left")
	}
}

// led returns the part in a group that this VM leads, or nil.
func (g *Group) led(epoch lead.Fence, group lead.Group) *part {
	if epoch != g.division.Epoch || group < 0 || int(group) >= len(g.parts) || g.parts[group].pool == nil {
		return nil
	}
	return g.parts[group]
}

// withdraw takes in that a gate does not wait any more. The job goes on if
// another does.
func (g *Group) withdraw(ctx context.Context, w withdrawal) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_ = g.ring.Put(ctx, func(g *Group, now time.Time) { g.dismiss(now, w) })
}

// admit takes in a job, and reports whether this VM dispatches it.
func (g *Group) admit(now time.Time, w work, done chan result) bool {
	p := g.led(w.Epoch, w.Group)
	if p == nil || g.early.take(w.Ticket) {
		return false
	}
	g.logHandedAgain(p, w)
	p.submit(now, w.Request, waiter{w.Ticket, done})
	return true
}

// dismiss takes in that a gate does not wait any more, or will not once its job
// comes.
func (g *Group) dismiss(now time.Time, w withdrawal) {
	for _, p := range g.parts {
		if p.withdraw(now, w) {
			return
		}
	}
	g.early.add(now, w.Ticket)
}
