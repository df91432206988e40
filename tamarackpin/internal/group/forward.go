package group

import (
	"context"
	"time"

	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// ForwardResult is the answer to a forwarded job, or what the gate knows without one.
type ForwardResult struct {
	Answer       pool.Answer
	Answered     bool
	MayBeRunning bool  // tasks may have been started; valid only if !Answered
	Err          error // why there was no answer; nil if the VM replied without one
}

// withdrawTimeout bounds the notification of a leader that a job is withdrawn.
const withdrawTimeout = time.Second

// Pings monitor the connection for jobs offloaded to other groups. The caller retries
// 1.3 s after its connection broke or the gate gave the job up, so the other group must
// have withdrawn it by then. 1.3 s is what the platform states; the RetryAfter of the
// gate's answer is a hint.
const (
	// pingInterval is both how often the gate pings and how often the other group checks.
	pingInterval = 250 * time.Millisecond
	pingTimeout  = 250 * time.Millisecond
	// maxLostPings is how many pings in a row may go unanswered before the gate gives the
	// job up.
	maxLostPings = 2
	// maxPingGap is how long the other group runs an offloaded job without a ping.
	maxPingGap = 900 * time.Millisecond
)

// Offload forwards a job to the dispatcher of another group. It withdraws the job after
// maxLostPings consecutive failed pings to that VM: 0.5 to 1 s after the first of them was
// sent.
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

// servePing records a ping of a gate that has a job offloaded here.
func (g *Group) servePing(_ context.Context, from vm.ID, _ struct{}) (struct{}, error) {
	g.pingMu.Lock()
	defer g.pingMu.Unlock()
	g.lastPings[from] = time.Now()
	return struct{}{}, nil
}

// watchPings returns when the last ping from a gate is older than maxPingGap, or when ctx
// is done. The time of the call counts as a ping.
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

// Forward sends a job to a leader and waits for its answer. When ctx is done before, the
// job is withdrawn. number must be unique among the calls of this process.
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
		return ForwardResult{Answer: reply.Answer, Answered: reply.Answered, MayBeRunning: reply.Admitted}
	}
	if peer.NotSent(err) {
		return ForwardResult{Err: err}
	}
	if to.VM != g.self.VM {
		go g.notifyWithdrawn(context.WithoutCancel(ctx), to.VM, withdrawal{req.Ticket, r.Job.ID})
	}
	return ForwardResult{MayBeRunning: true, Err: err}
}

func (g *Group) notifyWithdrawn(ctx context.Context, leader vm.ID, w withdrawal) {
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	// If the notification is lost, the job ends at the latest at its caller's deadline.
	_ = g.config.Mesh.Notify(ctx, leader, report.UseForward, methodWithdraw, w)
}
