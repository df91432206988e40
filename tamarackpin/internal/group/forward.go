package group

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// ForwardResult is the answer to a forwarded job, or what the gate knows without one.
type ForwardResult struct {
	Answer       pool.Answer
	Answered     bool
	MayBeRunning bool // tasks may have been started; valid only if !Answered
	// DispatcherFailed reports that the dispatcher panicked while it admitted the job; it has
	// stepped down.
	DispatcherFailed bool
	Err              error // why there was no answer; nil if the VM replied without one
}

// errOtherJob is the error of a call whose answer names another job. What became of its own is unknown.
var errOtherJob = errors.New("the answer names another job")

// ErrSuperseded is the cause with which a gate cancels the context of [Group.Forward] when another dispatcher has taken over.
var ErrSuperseded = errors.New("another dispatcher has taken over")

// supersededTimeout bounds the wait for a dispatcher that has been replaced to tell whether it has started a job. The
// next dispatcher keeps the runs of the job meanwhile (orphanGrace of package pool).
const supersededTimeout = 100 * time.Millisecond

const (
	// withdrawTimeout bounds the attempts to withdraw a job. By then its dispatcher has handled a message that lists the
	// withdrawal, or has withdrawn all jobs of this gate, of which it has heard nothing newer for more than pool.MaxGateSilence.
	withdrawTimeout = 3 * time.Second
	// withdrawRetryInterval is the pause before the next attempt, once the connection of the last one has failed.
	withdrawRetryInterval = 50 * time.Millisecond
)

// Forward sends a job to a leader and waits for its answer. now is when the caller was last known to be connected; the leader
// does not admit a job that arrives pool.MaxGateSilence or more after that. When ctx is done before the answer, the job is
// withdrawn. number must be unique among the calls of this process.
func (g *Group) Forward(ctx context.Context, now time.Time, to Leader, number uint64, r pool.Request) ForwardResult {
	startedAt := time.Now()
	result := g.forward(ctx, now, to, number, r)
	g.logUnanswered(to, number, r.Job.ID, time.Since(startedAt), result)
	return result
}

func (g *Group) forward(ctx context.Context, now time.Time, to Leader, number uint64, r pool.Request) ForwardResult {
	req := forwardRequest{Ticket: Ticket{g.self.VM, g.self.Incarnation, number}, Group: to.Group, Epoch: to.Epoch, Request: r, Made: g.stampFor(to.VM, now)}
	req.Withdrawn = g.contacts.withdrawalsFor(to.VM)
	var reply forwardReply
	var err error
	if to.VM == g.self.VM {
		reply, err = g.runJob(ctx, req)
	} else {
		reply, err = peer.Call[forwardReply](ctx, g.config.Mesh, to.VM, report.UseForward, methodRun, req)
	}
	if err == nil && reply.Answered && reply.Answer.Job != r.Job.ID {
		event.Log(g.config.Log, event.AnswerMisdirected, zap.String("job", string(r.Job.ID)), zap.String("answered", string(reply.Answer.Job)),
			zap.String("outcome", string(reply.Answer.Outcome)), zap.String("from", string(to.VM)), zap.Uint64("number", number))
		err = errOtherJob
	}
	if err == nil {
		g.contacts.answered(to.VM)
		if reply.Answered && to.VM != g.self.VM {
			g.recordAnswer(to.VM, time.Now())
		}
		return ForwardResult{Answer: reply.Answer, Answered: reply.Answered, MayBeRunning: reply.Admitted}
	}
	if peer.NotSent(err) {
		return ForwardResult{Err: err}
	}
	if to.VM != g.self.VM {
		w := withdrawal{req.Ticket, r.Job.ID}
		switch {
		case !errors.Is(context.Cause(ctx), ErrSuperseded) || !g.contacts.isAnswering(to.VM, time.Now()):
			g.startWithdrawal(context.WithoutCancel(ctx), to.VM, w)
		case g.reclaim(context.WithoutCancel(ctx), to.VM, w):
			return ForwardResult{Err: err}
		}
	}
	var failure *code.Error
	panicked := errors.As(err, &failure) && failure.Code == code.Internal
	return ForwardResult{MayBeRunning: true, DispatcherFailed: panicked, Err: err}
}

// Release asks a leader to answer a forwarded job as not run, unless it may have been started. number is
// that of the call of Forward.
func (g *Group) Release(ctx context.Context, to Leader, number uint64) {
	t := Ticket{g.self.VM, g.self.Incarnation, number}
	if to.VM == g.self.VM {
		g.enqueueRelease(ctx, t)
		return
	}
	if err := g.config.Mesh.Notify(ctx, to.VM, report.UseForward, methodRelease, t); err != nil {
		g.config.Log.Debug("a job was not released", zap.String("vm", string(to.VM)), event.Err(err))
	}
}

// recordAnswer records that another VM answered a job as the leader of its group.
func (g *Group) recordAnswer(from vm.ID, at time.Time) {
	g.answerMu.Lock()
	defer g.answerMu.Unlock()
	g.lastAnswers[from] = at
}

// recordSignsOfLife passes the answers of other VMs since its last call to the leader
// elections. It runs on the goroutine of Run.
func (g *Group) recordSignsOfLife(now time.Time) {
	g.answerMu.Lock()
	defer g.answerMu.Unlock()
	for id, at := range g.lastAnswers {
		for _, s := range g.groups {
			s.leadership.RecordSignOfLife(now, id, at)
		}
	}
	clear(g.lastAnswers)
}

// reclaim withdraws a job from a dispatcher and reports whether that one says within supersededTimeout that it, and the
// dispatchers before it, have never started the job. The call is canceled rather than timed out, so that a late reply does
// not count against the connection, on which other jobs may be waiting.
func (g *Group) reclaim(ctx context.Context, from vm.ID, w withdrawal) bool {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	neverStarted := make(chan bool, 1)
	go func() { // it may outlast its context while a write waits
		reply, err := peer.Call[reclaimReply](callCtx, g.config.Mesh, from, report.UseForward, methodReclaim, w)
		if neverStarted <- err == nil && reply.NeverStarted; err != nil {
			g.config.Log.Debug("a replaced dispatcher did not tell whether it has started a job", zap.String("job", string(w.Job)), zap.String("vm", string(from)), event.Err(err))
			g.startWithdrawal(ctx, from, w) // an earlier build does not know the method
		}
	}()
	timer := time.NewTimer(supersededTimeout)
	defer timer.Stop()
	select {
	case never := <-neverStarted:
		return never
	case <-timer.C:
		return false
	}
}

// startWithdrawal withdraws a job from a leader in the background. Until the leader has acknowledged that, messages to its VM
// list the withdrawal, or show no contact after the present time: by a newer one it would extend the leases of the job, whose
// caller may submit it again.
func (g *Group) startWithdrawal(ctx context.Context, leader vm.ID, w withdrawal) {
	now := time.Now()
	g.contacts.hold(leader, w.Ticket.Number, now)
	go func() {
		defer g.contacts.release(leader, w.Ticket.Number)
		ctx, cancel := context.WithDeadline(ctx, now.Add(withdrawTimeout))
		defer cancel()
		var failure error // of the last attempt that failed
		acknowledged := false
		attempts := 0
		for !acknowledged && (attempts == 0 || pause(ctx, withdrawRetryInterval)) {
			attempts++
			_, err := peer.Call[struct{}](ctx, g.config.Mesh, leader, report.UseForward, methodWithdraw, w)
			if acknowledged = err == nil; !acknowledged {
				failure = err
			}
		}
		if failure != nil {
			event.Log(g.config.Log, event.WithdrawalDelayed, zap.String("job", string(w.Job)), zap.String("vm", string(leader)), zap.Uint64("number", w.Ticket.Number),
				zap.Int("attempts", attempts), zap.Bool("acknowledged", acknowledged), zap.Duration("took", time.Since(now)), event.Err(failure))
		}
	}()
}

// pause waits for d, and reports whether ctx is not done then.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
