package group

import (
	"context"
	"time"

	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// ForwardResult is what came of handing a job to the leader.
type ForwardResult struct {
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
	// pingInterval is how often both sides show that they reach each other.
	pingInterval = 250 * time.Millisecond
	pingTimeout  = 250 * time.Millisecond
	// maxLostPings is how many pings in a row have no answer before the job is given
	// up.
	maxLostPings = 2
	// maxPingGap is how long the other group runs a job without a ping.
	maxPingGap = 900 * time.Millisecond
)

// Offload hands a job to the dispatcher of another group, and gives it up
// as soon as that cannot be reached any more.
func (g *Group) Offload(ctx context.Context, to pool.Report, number uint64, r pool.Request) ForwardResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		for lost := 0; lost < maxLostPings && ctx.Err() == nil; {
			pingCtx, done := context.WithTimeout(ctx, pingTimeout)
			_, err := peer.Call[struct{}](pingCtx, g.config.Mesh, to.VM, report.UseForward, methodPing, struct{}{})
			done()
			if lost++; err == nil {
				lost = 0
			}
			select {
			case <-ctx.Done():
			case <-time.After(pingInterval):
			}
		}
	}()
	return g.Forward(ctx, Leader{VM: to.VM, Group: to.Group, Epoch: to.Epoch}, number, r)
}

// servePing notes that a gate of another group is reached.
func (g *Group) servePing(_ context.Context, from vm.ID, _ struct{}) (struct{}, error) {
	g.pingMu.Lock()
	defer g.pingMu.Unlock()
	g.lastPings[from] = time.Now()
	return struct{}{}, nil
}

// watchPings returns when a gate of another group has not been heard for a while
// or ctx is done.
func (g *Group) watchPings(ctx context.Context, from vm.ID) {
	startedAt := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pingInterval):
		}
		g.pingMu.Lock()
		lastPing := g.lastPings[from]
		g.pingMu.Unlock()
		if lastPing.Before(startedAt) {
			lastPing = startedAt
		}
		if time.Since(lastPing) > maxPingGap {
			return
		}
	}
}

// Forward hands a job to the leader and waits for its answer, or until ctx is done:
// then the job is withdrawn. number tells the calls of this VM apart.
func (g *Group) Forward(ctx context.Context, to Leader, number uint64, r pool.Request) ForwardResult {
	startedAt := time.Now()
	result := g.forward(ctx, to, number, r)
	g.logUnanswered(to, number, r.Job.ID, time.Since(startedAt), result)
	return result
}

func (g *Group) forward(ctx context.Context, to Leader, number uint64, r pool.Request) ForwardResult {
	req := forwardRequest{Ticket{g.self.VM, g.self.Incarnation, number}, to.Group, to.Epoch, r}
	var reply forwardReply
	var err error
	if to.VM == g.self.VM {
		reply, err = g.runJob(ctx, req)
	} else {
		reply, err = peer.Call[forwardReply](ctx, g.config.Mesh, to.VM, report.UseForward, methodRun, req)
	}
	if err == nil {
		return ForwardResult{Answer: reply.Answer, Answered: reply.Leads, MayRun: reply.Admitted}
	}
	if peer.NotSent(err) {
		return ForwardResult{Err: err}
	}
	if to.VM != g.self.VM {
		go g.notifyWithdrawn(context.WithoutCancel(ctx), to.VM, withdrawal{req.Ticket, r.Job.ID})
	}
	return ForwardResult{MayRun: true, Err: err}
}

func (g *Group) notifyWithdrawn(ctx context.Context, leader vm.ID, w withdrawal) {
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	// If it is lost, the job ends with its caller's time.
	_ = g.config.Mesh.Notify(ctx, leader, report.UseForward, methodWithdraw, w)
}
