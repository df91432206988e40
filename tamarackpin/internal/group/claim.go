package group

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/worker"
)

// tickLeaderships advances the leader election of each group and starts a pool for
// each leadership acquired. Groups are processed by index, as each election needs the
// number of leaderless groups before it.
func (g *Group) tickLeaderships(now time.Time) {
	g.recordSignsOfLife(now)
	controlReplyAt := g.config.Syncer.LastContact()
	others := lead.OtherGroups{GroupsLed: make(map[vm.ID]int)}
	for _, s := range g.groups {
		if leader, led := s.leadership.Leader(now); led {
			others.GroupsLed[leader]++
		}
		others.HighestFence = max(others.HighestFence, s.leadership.HighestFence())
	}
	for i, s := range g.groups {
		leaderless := s.leadership.NeedsLeader(now)
		first := s.leadership.NoEarlierLeader()
		if claim, claimed := s.leadership.Tick(now, controlReplyAt, others); claimed {
			others.HighestFence = claim.Fence
			g.takeoverAt.Store(&now)
			g.config.Syncer.SyncNow()
			incomplete := g.workersIncomplete(now)
			event.Log(g.config.Log, event.LeadTaken, zap.Int("group", i), zap.Int64("epoch", int64(g.division.Epoch)), zap.Int64("fence", int64(claim.Fence)), zap.Int("living", len(s.leadership.LivePeers(now))),
				zap.Bool("workers_incomplete", incomplete), zap.Bool("first", first), zap.Any("control_news_seconds", g.config.Syncer.ContactAges(now)),
				zap.Any("peer_news_seconds", s.leadership.PeerAges(now)))
			s.dropPool(now)
			s.pool = pool.New(now, pool.Config{
				Fence: claim.Fence, LeaseMax: g.config.LeaseMax, StopMax: g.config.StopMax, DividedAt: g.dividedAt, WorkersIncomplete: incomplete, FirstDispatcher: first, Crashes: &g.crashes, LateStarts: &g.lateStarts, Unclaimed: &g.unclaimed,
				Interference: g.config.Interference, EvacuationUnknown: true, EvacuationBound: g.config.EvacuationBound,
				GateContact: func(now time.Time, a pool.Admission) pool.GateContact { return g.gateContact(now, s.waiters[a]) },
			})
			s.withheld = withheldStarts{}
			g.setEvacuation(now, s.pool)
			s.fence, s.predecessor, s.runsInherited = claim.Fence, lead.Claim{}, false
			if incomplete {
				s.predecessor = s.leadership.Predecessor()
			}
			s.interferenceLog = interferenceLog{}
			s.cursor, s.runsKnownLogged, s.workersIncomplete, g.workersUpdatedAt = 0, false, incomplete, time.Time{}
		}
		if leaderless {
			others.LeaderlessBefore++
		}
	}
}

// maxWorkerNewsAge is how long after the last news of workers a VM counts on knowing all of
// them: longer than a control VM without news delays its reply (0.8 s).
const maxWorkerNewsAge = time.Second

// workersIncomplete reports whether workers may exist that this process does not know:
// a worker announces itself to one control VM only, which may have restarted as well.
// After AnnouncementTimeout every live worker has announced itself again. A VM that is cut off
// from the control VMs does not know the workers that started since, on which other
// dispatchers may start tasks, unless it gets them from a neighbour. After a takeover it needs
// the workers as of the takeover at least, since the predecessor may have started tasks until then on
// workers that had just announced themselves.
func (g *Group) workersIncomplete(now time.Time) bool {
	newsAt := g.newerWorkers(g.config.Syncer.LastContact())
	justStarted := g.workersCompleteAt.Load() == nil && now.Sub(g.startedAt) < worker.AnnouncementTimeout
	return justStarted || !newsAt.IsZero() && (now.Sub(newsAt) > maxWorkerNewsAge || g.workersKnownAt().Before(g.newestTakeover()))
}

// workersKnownAt returns a time such that all workers that some control VM knew then are known here, or the zero time.
func (g *Group) workersKnownAt() time.Time { return g.newerWorkers(g.config.Syncer.KnownAt()) }

// newerWorkers returns the later of at and the time as of which workers were last fetched from a neighbour.
func (g *Group) newerWorkers(at time.Time) time.Time {
	if fetched := g.workersCompleteAt.Load(); fetched != nil && fetched.After(at) {
		return *fetched
	}
	return at
}

// newestTakeover returns when this VM last took over a group, or the zero time.
func (g *Group) newestTakeover() time.Time {
	if at := g.takeoverAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// newWorkersComplete reports whether a pool that lacked workers can get all of them now.
func (g *Group) newWorkersComplete(now time.Time) bool {
	lacking := slices.ContainsFunc(g.groups, func(s *groupState) bool { return s.pool != nil && s.workersIncomplete })
	return lacking && !g.workersIncomplete(now)
}

// redivide changes the number of groups if there are too many or too few workers for
// them. The leader of the first group decides, and only while it reaches all other
// entry VMs.
func (g *Group) redivide(now time.Time) {
	first := g.groups[0].leadership
	if !first.IsLeader() {
		g.divider = lead.Divider{}
		return
	}
	in := lead.DivisionInput{
		Workers: g.config.Knowledge.CountWorkers(now, g.self.FailureDomain), VMs: 1 + len(first.LivePeers(now)),
		Reachable:    first.AllPeersAvailable(now),
		WorkersKnown: now.Sub(g.config.Syncer.LastContact()) <= maxWorkerNewsAge,
		Calm:         g.config.Knowledge.DomainIsCalm(now, g.division),
	}
	groups, change := g.divider.Tick(now, g.division, in)
	if change {
		g.applyDivision(now, lead.Division{Epoch: g.nextEpoch(now), Groups: groups})
	}
}

// nextEpoch returns the epoch for a division that this VM makes now: higher than the fences of all groups, so that workers refuse the
// orders of their dispatchers once one of the new division has queried them. Those of other groups may be of clocks that are ahead.
func (g *Group) nextEpoch(now time.Time) (epoch lead.Fence) {
	for _, s := range g.groups {
		epoch = max(epoch, s.leadership.NextEpoch(now))
	}
	return epoch
}

// settledDivisionAge is the age from which a division that becomes known to a process
// that has restarted needs no recovery: what dispatchers from before it ordered has lapsed. It
// exceeds twice the largest difference of two clocks that the platform states (8 s), the
// longest time that a dispatcher is paused (7 s) and a lease.
const settledDivisionAge = 30 * time.Second

// applyDivision replaces the groups by those of d, which start without a leader. Pools
// of the old groups are dropped.
func (g *Group) applyDivision(now time.Time, d lead.Division) {
	event.Log(g.config.Log, event.WorkersDivided, zap.Int64("epoch", int64(d.Epoch)), zap.Int("groups", d.GroupCount()), zap.Int("before", g.division.GroupCount()))
	first := g.groups[0].leadership
	// A VM that was cut off may make an old division known after others have dispatched under the present one.
	hadDispatchers := g.division.Epoch != 0
	for _, s := range g.groups {
		hadDispatchers = hadDispatchers || s.leadership.Claim().Fence != 0
		s.dropPool(now)
	}
	g.groups = nil
	for range d.GroupCount() {
		g.groups = append(g.groups, newGroupState(first.ForDivision(d.Epoch)))
	}
	g.division, g.dividedAt, g.divider = d, now, lead.Divider{}
	if !hadDispatchers && now.Sub(d.Epoch.Time()) > settledDivisionAge {
		g.dividedAt = time.Time{}
	}
	g.config.Knowledge.SetDivision(g.self.FailureDomain, d)
}
