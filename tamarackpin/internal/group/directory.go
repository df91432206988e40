package group

import (
	"slices"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/vm"
)

// Leader is who orders the workers of a group, as known here.
type Leader struct {
	VM    vm.ID      // empty if nobody is known to
	Group lead.Group // in the division of Epoch
	Epoch lead.Fence
	Claim lead.Claim
}

// directory is who orders which workers of the failure domain. It is not changed
// once it is published.
type directory struct {
	division lead.Division
	leaders  []Leader // of each group
}

// Leader returns who orders the workers for a job, and a channel that is closed
// when any leader changes.
func (g *Group) Leader(id job.ID) (Leader, <-chan struct{}) {
	g.changeMu.Lock()
	defer g.changeMu.Unlock()
	d := g.directory.Load()
	return d.leaders[d.division.GroupOf(string(id))], g.change
}

// HasLeader reports whether anybody is known to order workers.
func (g *Group) HasLeader() bool {
	return slices.ContainsFunc(g.directory.Load().leaders, func(l Leader) bool { return l.VM != "" })
}

// publish tells the gate who leads.
func (g *Group) publish(now time.Time) {
	next := &directory{division: g.division}
	for i, s := range g.groups {
		l := Leader{Group: lead.Group(i), Epoch: g.division.Epoch, Claim: s.leadership.Claim()}
		l.VM, _ = s.leadership.Leader(now)
		next.leaders = append(next.leaders, l)
	}
	before := g.directory.Load().leaders
	if slices.Equal(next.leaders, before) {
		return
	}
	g.logLeaderChanges(before, next.leaders)
	g.changeMu.Lock()
	defer g.changeMu.Unlock()
	g.directory.Store(next)
	close(g.change)
	g.change = make(chan struct{})
}
