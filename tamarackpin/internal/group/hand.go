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
	MayRun   bool // without an answer: tasks may have been started
}

// withdrawTimeout bounds telling a leader that a job is withdrawn.
const withdrawTimeout = time.Second

// Hand hands a job to the leader and waits for its answer, or until ctx is done:
// then the job is withdrawn. number tells the calls of this VM apart.
func (g *Group) Hand(ctx context.Context, leader vm.ID, number uint64, r pool.Request) Handed {
	w := work{Ticket{g.self.VM, g.self.Incarnation, number}, r}
	var o outcome
	var err error
	if leader == g.self.VM {
		o, err = g.run(ctx, w)
	} else {
		o, err = peer.Call[outcome](ctx, g.config.Mesh, leader, report.UseForward, methodRun, w)
	}
	if err == nil {
		return Handed{Answer: o.Answer, Answered: o.Leads, MayRun: o.Taken}
	}
	if peer.NotSent(err) {
		return Handed{}
	}
	if leader != g.self.VM {
		go g.tellWithdrawn(context.WithoutCancel(ctx), leader, withdrawal{w.Ticket, r.Job.ID})
	}
	return Handed{MayRun: true}
}

func (g *Group) tellWithdrawn(ctx context.Context, leader vm.ID, w withdrawal) {
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	// If it is lost, the job ends with its caller's time.
	_ = g.config.Mesh.Notify(ctx, leader, report.UseForward, methodWithdraw, w)
}
