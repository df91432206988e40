package group

import (
	"slices"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/vm"
)

// Leader is the dispatcher of a group as this VM knows it.
type Leader struct {
	VM    vm.ID      // empty if no leader is known
	Group lead.Group // index in the division of Epoch
	Epoch lead.Fence // drawn from the same sequence as fences
	Claim lead.Claim
}

// directory maps each group of the failure domain to its leader. It is immutable once
// published.
type directory struct {
	division lead.Division
	leaders  []Leader // by group
}

// Leader returns the leader of the group that a job belongs to, and a channel that is
// closed when any leader changes.
func (g *Group) Leader(id job.ID) (Leader, <-chan struct{}) {
	g.changeMu.Lock()
	defer g.changeMu.Unlock()
	d := g.directory.Load()
	return d.leaders[d.division.GroupOf(string(id))], g.change
}

// leaderChange returns a channel that is closed when any leader changes.
func (g *Group) leaderChange() <-chan struct{} {
	g.changeMu.Lock()
	defer g.changeMu.Unlock()
	return g.change
}

// HasLeader reports whether any group has a known leader.
func (g *Group) HasLeader() bool {
	return slices.ContainsFunc(g.directory.Load().leaders, func(l Leader) bool { return l.VM != "" })
}

// publish makes the current leaders visible to gates, and wakes those that wait for a
// change.
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
