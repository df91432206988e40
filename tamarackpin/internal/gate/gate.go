// Package gate takes in the jobs of callers on an entry VM: it hands each to the
// entry VM that orders the workers of the failure domain, keeps it until it is
// answered, and hands it to the next one when that VM is lost.
package gate

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/routes"
	"tamarackpin.example/tamarackpin/internal/fleet"
	"tamarackpin.example/tamarackpin/internal/group"
)

// Times of a Gate.
const (
	// leaderWait is how long a job waits for somebody to lead: as long as a
	// takeover takes.
	leaderWait = 1500 * time.Millisecond
	// retryEvery is the pause before a job is handed on again.
	retryEvery = 10 * time.Millisecond
	// retryAfter is what callers are told when nobody leads.
	retryAfter = time.Second
)

// Gate must be given its fields. It is safe for concurrent use.
type Gate struct {
	Group     *group.Group
	Knowledge *fleet.Knowledge
	Answered  func(routes.RowName, job.Outcome, time.Duration) // told each answer
	Log       *zap.Logger

	inHand atomic.Int64
	number atomic.Uint64

	mu   sync.Mutex // guards rows
	rows map[routes.RowName]int
}

// InHand returns the number of jobs that are not answered.
func (g *Gate) InHand() int64 { return g.inHand.Load() }

// Pending returns the number of jobs of a row that this VM holds and that are not
// answered.
func (g *Gate) Pending(row routes.RowName) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rows[row]
}

func (g *Gate) count(row routes.RowName, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.rows == nil {
		g.rows = make(map[routes.RowName]int)
	}
	g.rows[row] += n
	if g.rows[row] == 0 {
		delete(g.rows, row)
	}
}

// Run has a job run and returns its answer. When ctx is done, since the caller
// left, the job is withdrawn.
func (g *Gate) Run(ctx context.Context, r pool.Request) pool.Answer {
	g.inHand.Add(1)
	defer g.inHand.Add(-1)
	g.count(r.Row, 1)
	defer g.count(r.Row, -1)
	begun := time.Now()
	a := g.run(ctx, begun, r)
	a.Job = r.Job.ID
	g.Answered(r.Row, a.Outcome, time.Since(begun))
	id := event.JobAnswered
	if a.Outcome != job.Completed {
		id = event.JobNotCompleted
	}
	event.Log(g.Log, id, zap.String("job", string(a.Job)), zap.String("row", string(r.Row)), zap.String("outcome", string(a.Outcome)),
		zap.String("reason", a.Reason), zap.Duration("took", time.Since(begun)), zap.Duration("patience", r.Patience))
	return a
}

func (g *Gate) run(ctx context.Context, begun time.Time, r pool.Request) pool.Answer {
	until := begun.Add(r.Patience)
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	age := r.Age
	noLeader := time.Time{}
	tried := false
	for {
		now := time.Now()
		r.Age, r.Patience = age+now.Sub(begun), until.Sub(now)
		leader, changed := g.Group.Leader(r.Job.ID)
		if leader.VM == "" {
			if noLeader.IsZero() {
				noLeader = now
			}
			if now.Sub(noLeader) > leaderWait || !wait(ctx, changed, leaderWait) {
				return givenUp(r, "no entry VM orders the workers")
			}
			continue
		}
		noLeader = time.Time{}
		spare, hasSpare := g.Knowledge.SelectSpareGroup(now, leader.Group)
		r.Elsewhere = hasSpare && !tried && !r.MayRun
		handed := g.hand(ctx, leader, changed, r)
		if handed.Answered && !handed.Answer.Elsewhere {
			return handed.Answer
		}
		if handed.Answered {
			tried = true
			if a, ok := g.elsewhere(ctx, spare, r); ok {
				return a
			}
			continue
		}
		r.MayRun = r.MayRun || handed.MayRun
		if ctx.Err() != nil || !wait(ctx, nil, retryEvery) {
			return givenUp(r, "the caller left or its time is over")
		}
	}
}

// elsewhere hands a job that its own group handed back to one with room. It
// returns ok false if that did not take it either. If it took it and cannot be
// heard any more, the job ends: it may still run there, and must not run here.
func (g *Gate) elsewhere(ctx context.Context, spare pool.Report, r pool.Request) (a pool.Answer, ok bool) {
	r.Elsewhere, r.Guest = false, true
	handed := g.Group.HandElsewhere(ctx, spare, g.number.Add(1), r)
	event.Log(g.Log, event.JobSpilled, zap.String("job", string(r.Job.ID)), zap.String("failure_domain", string(spare.FailureDomain)), zap.Int("group", int(spare.Group)),
		zap.Int("free_places", spare.FreePlaces), zap.Bool("answered", handed.Answered), zap.String("outcome", string(handed.Answer.Outcome)))
	switch {
	case handed.Answered && !handed.Answer.Elsewhere:
		return handed.Answer, true
	case handed.MayRun && !handed.Answered:
		r.MayRun = true
		return givenUp(r, "the group that took the job cannot be heard any more"), true
	}
	return pool.Answer{}, false
}

// hand hands the job to the leader; a change of the leader ends the wait.
func (g *Gate) hand(ctx context.Context, leader group.Leader, changed <-chan struct{}, r pool.Request) group.Handed {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-changed:
			}
			var now group.Leader
			if now, changed = g.Group.Leader(r.Job.ID); now.VM != leader.VM || now.Claim.Fence != leader.Claim.Fence {
				cancel()
			}
		}
	}()
	return g.Group.Hand(ctx, leader, g.number.Add(1), r)
}

// givenUp returns the answer to a job that nobody answered.
func givenUp(r pool.Request, reason string) pool.Answer {
	a := pool.Answer{Outcome: job.NotRun, Reason: reason, RetryAfter: retryAfter}
	if r.MayRun {
		a.Outcome = job.Abandoned
	}
	return a
}

// wait returns false when ctx is done before there is news or d has passed.
func wait(ctx context.Context, news <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-news:
	case <-t.C:
	}
	return true
}
