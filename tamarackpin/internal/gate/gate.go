// Package gate accepts callers' jobs on an entry VM: it forwards each to the leader of
// the job's group, keeps it until it is answered, and, if the leader is lost, forwards the
// job to its successor.
package gate

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/offload"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/routes"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/fleet"
	"tamarackpin.example/tamarackpin/internal/group"
	"tamarackpin.example/tamarackpin/internal/peer"
)

const (
	// noLeaderTimeout is how long a job waits for its group to have a leader: as long as a
	// takeover takes. The tests of package lead require a successor within probeDuration
	// and 300 ms (0.75 s) after the leader counts as dead.
	noLeaderTimeout = 1500 * time.Millisecond
	// retryInterval is the pause before a job is forwarded again.
	retryInterval = 10 * time.Millisecond
	// retryAfter is the retry delay in the gate's own answers to callers. Callers whose
	// connection broke receive none and retry after 1.3 s (see the pings of package group).
	retryAfter = time.Second
	// maxDispatcherFailures is the number of dispatchers that may panic while they admit a
	// job before it is given up: each of them steps down.
	maxDispatcherFailures = 2
	// givenUpRetention is how long a job that dispatchers failed on is not forwarded again:
	// callers submit a job again within seconds.
	givenUpRetention = time.Minute
	// maxGivenUp bounds the number of such jobs.
	maxGivenUp = 1000
)

// Gate forwards jobs and counts those that are pending, which means not answered yet. Its
// exported fields must be set before use; it is safe for concurrent use.
type Gate struct {
	Group     *group.Group
	Knowledge *fleet.Knowledge
	OnAnswer  func(routes.RowName, job.Outcome, time.Duration) // called with each answer and the time it took
	Log       *zap.Logger
	Mesh      *peer.Mesh // to cancel jobs that other entry VMs hold
	// CallerLeft reports whether the caller of a job has closed its connection, by the context of Run or one derived from
	// it. The context itself ends later: a process that was paused reads a submission before the end of its connection.
	// If it is nil, only the context is considered.
	CallerLeft func(ctx context.Context) bool
	// HoldCaller counts a pending job of the caller with the context of Run, until the function that it returns is called. It may
	// be nil.
	HoldCaller func(ctx context.Context) (end func())
	// OnOffload is called with what became of each job that was offered to another group. It may be nil.
	OnOffload func(OffloadOutcome)
	// Random returns a uniform number in [0, 1), for the choice of groups to offload to. If it is nil, [rand.Float64] is used.
	Random func() float64

	pending  atomic.Int64
	lastCall atomic.Uint64

	mu           sync.Mutex // guards the fields below
	pendingByRow map[routes.RowName]int
	givenUpAt    map[job.ID]time.Time // jobs that dispatchers failed on
	shutdown     shutdown
	cancels      map[job.ID][]*context.CancelCauseFunc // of the pending jobs
	cancelled    cancelledJobs
	balancer     offload.Balancer
	undelivered  map[vm.ID][]job.ID // cancels that a VM has not acknowledged; has an entry while deliverCancels runs for the VM
}

// PendingTotal returns the number of unanswered jobs of all rows on this VM.
func (g *Gate) PendingTotal() int64 { return g.pending.Load() }

// Pending returns the number of unanswered jobs of a row on this VM.
func (g *Gate) Pending(row routes.RowName) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pendingByRow[row]
}

func (g *Gate) addPending(row routes.RowName, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pendingByRow == nil {
		g.pendingByRow = make(map[routes.RowName]int)
	}
	g.pendingByRow[row] += n
	if g.pendingByRow[row] == 0 {
		delete(g.pendingByRow, row)
	}
}

// Run forwards a job until it is answered, and returns the answer. When ctx is done (the
// caller has disconnected) the job is withdrawn.
func (g *Gate) Run(ctx context.Context, r pool.Request) pool.Answer {
	g.pending.Add(1)
	defer g.pending.Add(-1)
	g.addPending(r.Row, 1)
	defer g.addPending(r.Row, -1)
	startedAt := time.Now()
	if g.HoldCaller != nil {
		defer g.HoldCaller(ctx)()
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer g.holdCancel(startedAt, r.Job.ID, cancel)()
	a := answerCancelled(ctx, g.run(ctx, startedAt, r))
	a.Job = r.Job.ID
	g.OnAnswer(r.Row, a.Outcome, time.Since(startedAt))
	id := event.JobAnswered
	if a.Outcome != job.Completed {
		id = event.JobNotCompleted
	}
	event.Log(g.Log, id, zap.String("job", string(a.Job)), zap.String("row", string(r.Row)), zap.String("outcome", string(a.Outcome)),
		zap.String("reason", a.Reason), zap.Duration("took", time.Since(startedAt)), zap.Duration("patience", r.RemainingWait))
	return a
}

func (g *Gate) run(ctx context.Context, startedAt time.Time, r pool.Request) pool.Answer {
	deadline := startedAt.Add(r.RemainingWait)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	aborted, _ := g.shutdownState()
	defer context.AfterFunc(aborted, cancel)()
	dispatchersFailed := pool.Answer{Outcome: job.Abandoned, Reason: "dispatchers failed while they admitted it"}
	if g.isGivenUp(startedAt, r.Job.ID) {
		return dispatchersFailed
	}
	age := r.Age
	noLeaderSince := time.Time{}
	var tried []pool.Destination // that have not run the job
	var refusedBy pool.Destination
	failures := 0
	var earlier []group.Leader // that may have started the job
	unserved := func() pool.Answer {
		if aborted.Err() != nil {
			return gateAnswer(r, "the entry VM that accepted it stops")
		}
		return gateAnswer(r, "the caller left or its time is over")
	}
	for {
		now := time.Now() // before the check, so that a pause in between shows in the stamp of the forward
		if g.callerLeft(ctx) {
			return unserved()
		}
		r.Age, r.RemainingWait = age+now.Sub(startedAt), deadline.Sub(now)
		leader, changed := g.Group.Leader(r.Job.ID)
		if leader.VM == "" {
			if noLeaderSince.IsZero() {
				noLeaderSince = now
			}
			if now.Sub(noLeaderSince) > noLeaderTimeout || !wait(ctx, changed, noLeaderTimeout) {
				return gateAnswer(r, "no entry VM orders the workers")
			}
			continue
		}
		noLeaderSince = time.Time{}
		spare, hasSpare := g.chooseGroup(now, leader.Group, r, tried)
		r.CanOffload, r.OffloadTo, r.RefusedBy = hasSpare && !r.MayBeRunning, spare.Destination(), pool.Destination{}
		if g.Group.ReadsRefusedBy(leader) {
			r.RefusedBy = refusedBy
		} else if len(tried) > 0 {
			r.CanOffload = false // a dispatcher of an earlier build takes a refusal for that of the newest offload
		}
		if r.MayBeRunning {
			r.EarlierContactAge = g.Group.ContactAge(now, earlier, leader)
		}
		result := g.forward(ctx, now, leader, changed, deadline, r)
		if result.Answered && !result.Answer.TryElsewhere {
			return result.Answer
		}
		if result.Answered {
			now = time.Now()
			if g.callerLeft(ctx) {
				return unserved()
			}
			to := result.Answer.OffloadTo
			mayRunThere := to != pool.Destination{} && !(result.Answer.Offered && r.CanOffload && to.SameGroup(spare.Destination()))
			switch {
			case mayRunThere: // offloaded by another gate, or for an earlier try
				spare = g.Knowledge.ReportOf(now, to)
			case !r.CanOffload: // another gate waits for the job, and offloads it
				if !wait(ctx, nil, retryInterval) {
					return unserved()
				}
				continue
			}
			if a, ok := g.offload(ctx, now, mayRunThere, spare, r); ok {
				return a
			}
			tried = append(tried, spare.Destination())
			r.OffloadRefused, refusedBy = true, spare.Destination()
			continue
		}
		r.MayBeRunning = r.MayBeRunning || result.MayBeRunning
		if result.MayBeRunning {
			r.OffloadRefused, refusedBy = false, pool.Destination{} // reported by this call; a later try may have been offloaded since
			earlier = append(earlier, leader)
		}
		if result.DispatcherFailed {
			failures++
		}
		if failures >= maxDispatcherFailures {
			g.recordGivenUp(now, r.Job.ID)
			return dispatchersFailed
		}
		if ctx.Err() != nil || !wait(ctx, nil, retryInterval) {
			return unserved()
		}
	}
}

// forward sends the job to the leader and waits for the answer, at most until another claim supersedes the leader's. now is
// when the caller was last known to be connected. When [Gate.ReleaseWaiting] is called, the leader is asked to answer the
// job unless it has started.
func (g *Gate) forward(ctx context.Context, now time.Time, leader group.Leader, changed <-chan struct{}, deadline time.Time, r pool.Request) group.ForwardResult {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	number := g.lastCall.Add(1)
	_, released := g.shutdownState()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-released:
				if released = nil; g.endsBefore(deadline) {
					g.Group.Release(ctx, leader, number)
				}
				continue
			case <-changed:
			}
			var current group.Leader
			if current, changed = g.Group.Leader(r.Job.ID); supersedes(current, leader) {
				cancel(group.ErrSuperseded)
			}
		}
	}()
	return g.Group.Forward(ctx, now, leader, number, r)
}

// supersedes reports whether current leads in the place of leader. A leader whose heartbeats
// are missing may only be slow: until another VM claims, nobody else can run its jobs, and
// a withdrawn job would count as one that may have run.
func supersedes(current, leader group.Leader) bool {
	return current.VM != "" && (current.VM != leader.VM || current.Claim.Fence != leader.Claim.Fence)
}

// gateAnswer returns the gate's own answer to a job that no dispatcher answered: not run,
// or abandoned if tasks may have been started. The caller reads the reason.
func gateAnswer(r pool.Request, reason string) pool.Answer {
	a := pool.Answer{Outcome: job.NotRun, Reason: reason, RetryAfter: retryAfter}
	if r.MayBeRunning {
		a.Outcome = job.Abandoned
	}
	return a
}

// wait returns true when changed is closed or d has passed, and false if ctx is done
// first.
func wait(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-t.C:
	}
	return true
}
