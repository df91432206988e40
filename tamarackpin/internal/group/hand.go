package group

import (
	"context"
	"time"

	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// Handed is what came of handing a job to the leader.
type Handed struct {
	Answer   pool.Answer
	Answered bool
	MayRun   bool  // without an answer: tasks may have been started
	Err      error // why there was no answer; nil if the VM said that it does not lead
}

// withdrawTimeout bounds telling a leader that a job is withdrawn.
const withdrawTimeout = time.Second

// Times of the watch over jobs in other groups. The caller comes again 1.3 s after
// a job is given up, so the other group must have withdrawn it by then.
const (
	// pingEvery is how often both sides show that they reach each other.
	pingEvery   = 250 * time.Millisecond
	pingTimeout = 250 * time.Millisecond
	// pingsLost is how many pings in a row have no answer before the job is given
	// up.
	pingsLost = 2
	// guestAfter is how long the other group runs a job without a ping.
	guestAfter = 900 * time.Millisecond
)

// HandElsewhere hands a job to the dispatcher of another group, and gives it up
// as soon as that cannot be reached any more.
func (g *Group) HandElsewhere(ctx context.Context, to pool.Report, number uint64, r pool.Request) Handed {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		for lost := 0; lost < pingsLost && ctx.Err() == nil; {
			pingCtx, done := context.WithTimeout(ctx, pingTimeout)
			_, err := peer.Call[struct{}](pingCtx, g.config.Mesh, to.VM, report.UseForward, methodPing, struct{}{})
			done()
			if lost++; err == nil {
				lost = 0
			}
			select {
			case <-ctx.Done():
			case <-time.After(pingEvery):
			}
		}
	}()
	return g.Hand(ctx, Leader{VM: to.VM, Group: to.Group, Epoch: to.Epoch}, number, r)
}

// servePing notes that a gate of another group is reached.
func (g *Group) servePing(_ context.Context, from vm.ID, _ struct{}) (struct{}, error) {
	g.pingMu.Lock()
	defer g.pingMu.Unlock()
	g.pings[from] = time.Now()
	return struct{}{}, nil
}

// watchGuest returns when a gate of another group has not been heard for a while
// or ctx is done.
func (g *Group) watchGuest(ctx context.Context, from vm.ID) {
	begun := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pingEvery):
		}
		g.pingMu.Lock()
		heard := g.pings[from]
		g.pingMu.Unlock()
		if heard.Before(begun) {
			heard = begun
		}
		if time.Since(heard) > guestAfter {
			return
		}
	}
}

// Hand hands a job to the leader and waits for its answer, or until ctx is done:
// then the job is withdrawn. number tells the calls of this VM apart.
func (g *Group) Hand(ctx context.Context, to Leader, number uint64, r pool.Request) Handed {
	begun := time.Now()
	h := g.hand(ctx, to, number, r)
	g.logHandOver(to, number, r.Job.ID, time.Since(begun), h)
	return h
}

func (g *Group) hand(ctx context.Context, to Leader, number uint64, r pool.Request) Handed {
	w := work{Ticket{g.self.VM, g.self.Incarnation, number}, to.Group, to.Epoch, r}
	var o outcome
	var err error
	if to.VM == g.self.VM {
		o, err = g.run(ctx, w)
	} else {
		o, err = peer.Call[outcome](ctx, g.config.Mesh, to.VM, report.UseForward, methodRun, w)
	}
	if err == nil {
		return Handed{Answer: o.Answer, Answered: o.Leads, MayRun: o.Taken}
	}
	if peer.NotSent(err) {
		return Handed{Err: err}
	}
	if to.VM != g.self.VM {
		go g.tellWithdrawn(context.WithoutCancel(ctx), to.VM, withdrawal{w.Ticket, r.Job.ID})
	}
	return Handed{MayRun: true, Err: err}
}

func (g *Group) tellWithdrawn(ctx context.Context, leader vm.ID, w withdrawal) {
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	// If it is lost, the job ends with its caller's time.
	_ = g.config.Mesh.Notify(ctx, leader, report.UseForward, methodWithdraw, w)
}
