package gate

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/offload"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/tamarackpin/internal/group"
)

// chooseGroup returns the last report of the group to which a job of this failure domain's group own is offloaded if that
// one returns it. tried has the groups that have not run it. ok is false if there is none with capacity left.
func (g *Gate) chooseGroup(now time.Time, own lead.Group, r pool.Request, tried []pool.Destination) (spare pool.Report, ok bool) {
	random := rand.Float64
	if g.Random != nil {
		random = g.Random
	}
	choice := offload.Choice{
		Candidates: g.Knowledge.SpareGroups(now, own), Tasks: r.Job.TaskCount(), Gates: g.Knowledge.CountGates(), Tried: tried,
		NoHome: g.Knowledge.Evacuations().Contains(g.Knowledge.Self().FailureDomain),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	c, ok := g.balancer.Choose(now, choice, random())
	return c.Report, ok
}

// offload forwards a job, returned by its own group with TryElsewhere, to the group in spare, which may be running it already
// if mayRunThere is set: by another gate, or for an earlier try of its caller. ok is false if that group did not run the job and will not.
// If its fate is unknown, offload returns a final answer, as running it in its own group could run it
// twice. now is when the caller was last known to be connected.
func (g *Gate) offload(ctx context.Context, now time.Time, mayRunThere bool, spare pool.Report, r pool.Request) (a pool.Answer, ok bool) {
	if !mayRunThere {
		g.updateBalancer(func(b *offload.Balancer) { b.RecordSent(now, spare.Destination(), r.Job.TaskCount()) })
	}
	r.CanOffload, r.Offloaded, r.EarlierContactAge, r.RefusedBy = false, true, 0, pool.Destination{} // that VM may be of a build that refuses the fields
	result := g.Group.Offload(ctx, now, spare, g.lastCall.Add(1), r)
	event.Log(g.Log, event.JobSpilled, zap.String("job", string(r.Job.ID)), zap.String("failure_domain", string(spare.FailureDomain)), zap.Int("group", int(spare.Group)),
		zap.Int("free_places", spare.FreeSlots), zap.Bool("again", mayRunThere), zap.Bool("answered", result.Answered), zap.String("outcome", string(result.Answer.Outcome)), zap.String("reason", result.Answer.Reason))
	if g.OnOffload != nil {
		g.OnOffload(offloadOutcome(result))
	}
	switch {
	case result.Answered && !result.Answer.TryElsewhere:
		return result.Answer, true
	case (result.MayBeRunning || mayRunThere) && !result.Answered:
		r.MayBeRunning = true
		return gateAnswer(r, "the group that took the job cannot be heard any more"), true
	}
	g.recordReturned(time.Now(), spare, result.Answer)
	return pool.Answer{}, false
}

// OffloadOutcome is what became of a job that was offered to another group, for metrics.
type OffloadOutcome string

// The outcomes of a group that did not answer the job. Otherwise it is the job's [job.Outcome].
const (
	OffloadReturned   OffloadOutcome = "returned"   // not run, and another group may have it
	OffloadUnanswered OffloadOutcome = "unanswered" // not known
)

func offloadOutcome(r group.ForwardResult) OffloadOutcome {
	switch {
	case r.Answered && !r.Answer.TryElsewhere:
		return OffloadOutcome(r.Answer.Outcome)
	case r.Answered || !r.MayBeRunning:
		return OffloadReturned
	}
	return OffloadUnanswered
}

// recordReturned records that a group has not run a job. If it tells that it has capacity, it did not return the job for want of it,
// and others may still be offloaded to it.
func (g *Gate) recordReturned(now time.Time, spare pool.Report, a pool.Answer) {
	if a.FreeSlots != nil && spare.Fence != 0 { // 0 if there is no report of the group
		spare.FreeSlots = *a.FreeSlots
		g.Knowledge.RecordReport(now, spare)
		if spare.AcceptsOffload() {
			return
		}
	}
	g.updateBalancer(func(b *offload.Balancer) { b.RecordRefusal(now, spare.Destination()) })
}

// updateBalancer calls f with what this gate remembers of its offloads.
func (g *Gate) updateBalancer(f func(*offload.Balancer)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(&g.balancer)
}
