package group

import (
	"context"
	"slices"
	"time"

	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/pool"
)

// applyDecisions sends what the pools decided and recorded, drops the pools of lost leaderships and
// publishes the leaders.
func (g *Group) applyDecisions(ctx context.Context, now time.Time) {
	g.shareLateStarts(ctx, now)
	g.shareCrashes(ctx)
	g.shareUnclaimed(ctx, now)
	for i, s := range g.groups {
		if s.pool == nil {
			continue
		}
		g.flush(ctx, now, s)
		if s.pool.Fenced() {
			s.leadership.RecordRefusal(now, s.leadership.Claim().Fence)
		}
		if !s.leadership.IsLeader() {
			g.endLeadership(now, lead.Group(i), s)
			continue
		}
		if s.predecessor != (lead.Claim{}) {
			predecessor, claim := s.predecessor, s.leadership.Claim()
			s.predecessor = lead.Claim{}
			request := handoverRequest{Group: lead.Group(i), Epoch: g.division.Epoch, Ended: predecessor.Fence, Claim: claim}
			g.calls.Go(func() { g.inheritRuns(ctx, predecessor.VM, request) })
		}
	}
	g.publish(now)
}

// flush sends the pending orders and answers of a pool. One whose leadership was lost orders
// nothing more.
func (g *Group) flush(ctx context.Context, now time.Time, s *groupState) {
	orders, answers := s.pool.TakePending()
	if !s.leadership.IsLeader() {
		orders = nil
	}
	for _, o := range orders {
		g.calls.Go(func() { g.sendOrder(ctx, o) })
	}
	g.logAnswers(s, answers)
	s.deliverAnswers(answers)
	g.logStarts(now, s, orders)
	g.logFound(s)
	g.logRunsKnown(now, s)
}

// updateCounts stores the totals of the pools for [Group.Counts], which metrics and operators read.
func (g *Group) updateCounts() {
	var total pool.Counts
	for _, s := range g.groups {
		if s.pool != nil {
			total.Waiting += s.pool.Counts.Waiting
			total.Assigned += s.pool.Counts.Assigned
			total.PairsKnown += s.pool.Counts.PairsKnown
			total.PlacedApart += s.pool.Counts.PlacedApart
		}
	}
	last := g.Counts()
	if last.Waiting != total.Waiting || last.Assigned != total.Assigned || last.PairsKnown != total.PairsKnown || last.PlacedApart != total.PlacedApart {
		g.counts.Store(&total)
	}
}

// sendOrder sends one order and queues its reply for the pool that has the order's fence.
// If that is gone, only a missing reply to a start matters.
func (g *Group) sendOrder(ctx context.Context, o pool.Order) {
	// The time counts from the decision: a process that was paused since may have been replaced.
	callCtx, cancel := context.WithDeadline(ctx, o.Sent.Add(o.Wait+pool.OrderTimeout))
	defer cancel()
	r := pool.Reply{Refusal: pool.RefusedUnsent}
	if callCtx.Err() == nil {
		r = g.call(callCtx, o)
	}
	r.Order = o
	_ = g.ring.Put(ctx, func(g *Group, now time.Time) {
		i := slices.IndexFunc(g.groups, func(s *groupState) bool { return s.pool != nil && s.leadership.Claim().Fence == o.Fence })
		switch {
		case i >= 0:
			r.ReceivedAt = now
			g.groups[i].pool.Receive(now, r)
		case o.Kind == pool.StartOrder && r.Unanswered():
			g.lateStarts.Add(now, r.LateStart())
		}
	})
}
