package group

import (
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/worker"
)

// tickLeaderships lets the leaderships decide, group by group, so that each knows how many
// others are vacant.
func (g *Group) tickLeaderships(now time.Time) {
	reached := g.config.Asker.Reached()
	others := lead.OtherGroups{GroupsLed: make(map[vm.ID]int)}
	for _, s := range g.groups {
		if leader, led := s.leadership.Leader(now); led {
			others.GroupsLed[leader]++
		}
	}
	for i, s := range g.groups {
		leaderless := s.leadership.NeedsLeader(now)
		if claim, claimed := s.leadership.Tick(now, reached, others); claimed {
			event.Log(g.config.Log, event.LeadTaken, zap.Int("group", i), zap.Int64("fence", int64(claim.Fence)), zap.Int("living", len(s.leadership.LivePeers(now))))
			s.dropPool()
			s.pool = pool.New(now, pool.Config{Fence: claim.Fence, LeaseMax: g.config.LeaseMax, StopMax: g.config.StopMax, Divided: g.dividedAt, Partial: g.mayLackWorkers(now)})
			s.cursor, g.workersUpdatedAt = 0, time.Time{}
		}
		if leaderless {
			others.LeaderlessBefore++
		}
	}
}

// mayLackWorkers reports whether there may be workers that this process has not heard of:
// each tells one control VM of itself, which may have started again as well.
func (g *Group) mayLackWorkers(now time.Time) bool {
	return !g.workersSynced.Load() && now.Sub(g.startedAt) < worker.AnnouncementTimeout
}

// redivide divides the workers anew if they are too many or too few for the
// groups. The leader of the first group decides, when it reaches all others.
func (g *Group) redivide(now time.Time) {
	first := g.groups[0].leadership
	if !first.IsLeader() {
		g.divider = lead.Divider{}
		return
	}
	workers := g.config.Knowledge.CountWorkers(now, g.self.FailureDomain)
	groups, change := g.divider.Tick(now, g.division, workers, 1+len(first.LivePeers(now)))
	if change && first.AllPeersAvailable(now) {
		g.applyDivision(now, lead.Division{Epoch: first.NextEpoch(now), Groups: groups})
	}
}

// applyDivision puts a division in force: nobody leads its groups yet.
func (g *Group) applyDivision(now time.Time, d lead.Division) {
	event.Log(g.config.Log, event.WorkersDivided, zap.Int64("epoch", int64(d.Epoch)), zap.Int("groups", d.GroupCount()), zap.Int("before", g.division.GroupCount()))
	first := g.groups[0].leadership
	for _, s := range g.groups {
		s.dropPool()
	}
	g.groups = nil
	for range d.GroupCount() {
		g.groups = append(g.groups, newGroupState(first.ForDivision(d.Epoch)))
	}
	g.division, g.dividedAt, g.divider = d, now, lead.Divider{}
	g.config.Knowledge.Divide(g.self.FailureDomain, d)
}
