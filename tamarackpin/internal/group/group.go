// Package group makes an entry VM a member of the groups of its failure domain: it
// exchanges heartbeats with the other entry VMs, takes part in the leader election of
// each group of workers (package lead), and dispatches to the workers of the groups
// that it leads (package pool).
//
// A division is a numbered partition of the workers and jobs of a failure domain into
// groups; its number is the epoch. The leader of a group is its dispatcher; a claim names
// it and the fence of its orders. A gate (package gate) forwards jobs to it.
//
// One goroutine owns all decisions; orders and heartbeats run in goroutines of their
// own and enqueue commands for it on a bounded queue.
//
// A fence is a fencing token: it rises with each leadership, and workers refuse orders
// with a lower one than they have seen.
package group

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/crash"
	"tamarackpin.example/internal/interference"
	"tamarackpin.example/internal/latestart"
	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/ring"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/fleet"
	"tamarackpin.example/tamarackpin/internal/peer"
)

const (
	ringSize           = 4096
	leaderTickInterval = 20 * time.Millisecond
	// followerTickInterval applies while this VM leads no group. A takeover starts at a
	// tick, so it is short against lead.LeaderTimeout, after which a leader counts as dead.
	followerTickInterval = 60 * time.Millisecond
	// maxBatchTime is how long queued commands are executed before orders are sent and
	// ticks run.
	maxBatchTime = leaderTickInterval
	// workerUpdateInterval is how often new worker announcements are polled into the pools,
	// which are not notified of them.
	workerUpdateInterval = 200 * time.Millisecond
)

// Config holds the dependencies and limits of a [Group].
type Config struct {
	Knowledge *fleet.Knowledge
	Syncer    *fleet.Syncer
	Mesh      *peer.Mesh
	Log       *zap.Logger
	LeaseMax  time.Duration // the longest lease that a worker grants
	StopMax   time.Duration // the longest that a run goes on after its stop was acknowledged
	// EvacuationBound is as in pool.Config.
	EvacuationBound time.Duration
	// Call sends an order to its worker and returns the reply, or an empty one if none
	// came before ctx was done.
	Call func(ctx context.Context, o pool.Order) pool.Reply
	// SuspendedTime returns for how long this VM has been suspended since some moment, so that its steady clock stood
	// still. If it is nil, never.
	SuspendedTime func() time.Duration
	// CallersKnownUntil returns the newest time, not after now, such that this VM has ended the jobs of all callers that had left
	// by then. If it is nil, it is now.
	CallersKnownUntil func(now time.Time) time.Time
	// Interference says what is done about rows that slow each other down; the zero Mode is off.
	Interference interference.Mode
}

// command runs on the goroutine of [Group.Run].
type command func(g *Group, now time.Time)

// Group is this VM's membership in all groups of its failure domain. The state of one
// group is a groupState, and lead.Group is a group's index. A Group must be made by [New].
// Its methods are safe for concurrent use.
type Group struct {
	config    Config
	self      vm.Presence
	directory atomic.Pointer[directory]
	counts    atomic.Pointer[pool.Counts]
	pairs     atomic.Pointer[[]interference.Pair] // see Interference
	// startsWithheld and jobsMoved are totals of this process, see pool.Counts.
	startsWithheld, jobsMoved atomic.Int64

	offloads offloads

	answerMu    sync.Mutex          // guards lastAnswers
	lastAnswers map[vm.ID]time.Time // of jobs forwarded to other VMs as leaders

	contacts    lastContacts
	suspensions suspensions
	// suspendedBefore is Config.SuspendedTime at the start.
	suspendedBefore time.Duration

	// startedAt is when the process started; workersCompleteAt is the time of the news of workers that were last
	// fetched from a VM that knows all of them, takeoverAt that of the last takeover, nil if never.
	startedAt         time.Time
	workersCompleteAt atomic.Pointer[time.Time]
	takeoverAt        atomic.Pointer[time.Time]
	syncing           atomic.Bool // a sync caused by a heartbeat is running

	exchangeMu    sync.Mutex // guards lastExchanges
	lastExchanges map[vm.ID]time.Time

	changeMu sync.Mutex // guards change
	change   chan struct{}

	ring *ring.Ring[command]
	// withdrawals precede the commands of ring: messages of a gate count as contact when they arrive, so a dispatcher that is behind
	// with its commands would extend the leases of a job whose withdrawal it has acknowledged.
	withdrawals *ring.Ring[command]

	// Owned by the goroutine of Run.
	division         lead.Division
	dividedAt        time.Time // when this process adopted the division; zero before the first
	divider          lead.Divider
	groups           []*groupState // by group of the division
	tickedAt         time.Time
	workersUpdatedAt time.Time // when the pools last received the workers
	// suspensionCheckedAt is when the tick last looked for a suspension of the VM.
	suspensionCheckedAt time.Time
	earlyWithdrawals    withdrawals
	crashes             crash.Log          // of the tasks of all groups
	lateStarts          latestart.Log      // of the tasks of all groups
	unclaimed           pool.UnclaimedJobs // of all groups
	unclaimedSentAt     time.Time          // when they were last sent to the other entry VMs
	pairsPublishedAt    time.Time
	// When the late starts were last sent to the own and to the other failure domains.
	lateStartsSentAt, lateStartsReportedAt time.Time
	incarnations                           map[vm.ID]vm.Incarnation // of the VMs whose heartbeats arrived
	startedVMs                             map[vm.ID]bool           // VMs that may lack crash records
	lackLateStarts                         map[vm.ID]bool           // VMs that may lack late starts
	calls                                  sync.WaitGroup
}

// New returns a Group that has not started, and registers its methods with x.
func New(now time.Time, c Config, x *peer.Mux) *Group {
	self := c.Knowledge.Self()
	g := &Group{
		config: c, self: self, startedAt: now, change: make(chan struct{}), ring: ring.New[command](ringSize), withdrawals: ring.New[command](ringSize),
		groups: []*groupState{newGroupState(lead.New(now, self))}, lastAnswers: make(map[vm.ID]time.Time), lastExchanges: make(map[vm.ID]time.Time),
	}
	g.suspendedBefore = g.suspendedTime()
	g.directory.Store(&directory{leaders: make([]Leader, 1)})
	g.registerHandlers(x)
	return g
}

// Counts returns the totals of Waiting, Assigned, PairsKnown and PlacedApart over the groups that this VM leads,
// as of the last tick; the other counts are zero.
func (g *Group) Counts() pool.Counts {
	if c := g.counts.Load(); c != nil {
		return *c
	}
	return pool.Counts{}
}

// Drain asks Run to hand over leadership of all groups as soon as another VM can acquire
// it; it does not wait for that.
func (g *Group) Drain(ctx context.Context) {
	_ = g.ring.Put(ctx, func(g *Group, _ time.Time) {
		for _, s := range g.groups {
			s.leadership.Drain()
		}
	})
}

// Run executes commands and ticks until ctx is done. Then it drops all pools and waits
// for the goroutines that it started.
func (g *Group) Run(ctx context.Context) {
	defer g.calls.Wait()
	g.calls.Go(func() { g.exchangeLoop(ctx) })
	tick := time.NewTimer(leaderTickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			for _, s := range g.groups {
				s.dropPool(time.Now())
			}
			return
		case c := <-g.withdrawals.Out():
			g.runCommand(c)
			g.runQueued()
		case c := <-g.ring.Out():
			g.runCommand(c)
			g.runQueued()
		case <-tick.C:
			g.contain("a tick", (*Group).tick)
			tick.Reset(g.tickInterval())
		}
		g.contain("sending decisions", func(g *Group, now time.Time) { g.applyDecisions(ctx, now) })
	}
}

// tickInterval returns the time until the next tick. Pools, which only a leader has, need
// the shorter one.
func (g *Group) tickInterval() time.Duration {
	if g.leads() {
		return leaderTickInterval
	}
	return followerTickInterval
}

// leads reports whether this VM leads any group.
func (g *Group) leads() bool {
	return slices.ContainsFunc(g.groups, func(s *groupState) bool { return s.pool != nil })
}

// runCommand executes a command. If this process was paused, a tick comes first: it may have
// been replaced meanwhile, and steps down.
func (g *Group) runCommand(c command) {
	if !g.tickedAt.IsZero() && time.Since(g.tickedAt) > lead.MaxTickGap {
		g.contain("a tick", (*Group).tick)
	}
	g.runWithdrawals()
	g.contain("a command", c)
}

// runWithdrawals executes the withdrawals that are queued.
func (g *Group) runWithdrawals() {
	for {
		select {
		case c := <-g.withdrawals.Out():
			g.contain("a withdrawal", c)
		default:
			return
		}
	}
}

// runQueued executes the commands that are queued already, so that orders are sent only
// after all of them have been considered. It returns after maxBatchTime, so that ticks are
// not late when the dispatcher is behind: a leader whose ticks stop steps down.
func (g *Group) runQueued() {
	for startedAt := time.Now(); time.Since(startedAt) < maxBatchTime; {
		g.runWithdrawals()
		select {
		case c := <-g.ring.Out():
			g.contain("a command", c)
		default:
			return
		}
	}
}

func (g *Group) tick(now time.Time) {
	maxSilence := pool.MaxGateSilence
	if gap := now.Sub(g.tickedAt); !g.tickedAt.IsZero() && gap > lead.MaxTickDelay { // messages of the gates may wait unread
		maxSilence = min(pool.MaxGateSilence+2*gap, maxUnreadSilence)
	}
	g.tickedAt = now
	if now.Sub(g.suspensionCheckedAt) >= suspensionCheckInterval {
		g.suspensionCheckedAt = now
		g.noteSuspension(now)
	}
	if d := g.config.Knowledge.Division(g.self.FailureDomain); d.Epoch > g.division.Epoch {
		g.applyDivision(now, d) // the one that a control VM has stored
	}
	g.tickLeaderships(now)
	for i, s := range g.groups {
		if s.pool != nil {
			g.setEvacuation(now, s.pool)
			g.logWithheld(now, lead.Group(i), s)
		}
	}
	g.runWithdrawals()
	g.earlyWithdrawals.expire(now)
	for _, s := range g.groups {
		s.givenBack.expire(now)
	}
	if now.Sub(g.workersUpdatedAt) >= workerUpdateInterval || g.newWorkersComplete(now) {
		g.workersUpdatedAt = now
		g.updateWorkers(now)
		g.redivide(now)
		g.crashes.Expire(now)
		g.lateStarts.Expire(now)
		g.unclaimed.Expire(now)
		g.contacts.expire(now)
	}
	g.withdrawLost(now, maxSilence)
	for _, s := range g.groups {
		if s.pool != nil {
			s.pool.Tick(now)
		}
	}
	g.tickInterference(now)
	g.updateCounts()
}

// updateWorkers passes new announcements of workers to the pools, and reports the free
// capacity of the groups to other VMs.
func (g *Group) updateWorkers(now time.Time) {
	var reports []pool.Report
	for i, s := range g.groups {
		if s.pool == nil {
			continue
		}
		complete := !g.workersIncomplete(now)
		announced, cursor := g.config.Knowledge.Workers(g.self.FailureDomain, s.cursor)
		s.cursor = cursor
		for _, rec := range announced {
			if g.division.GroupOf(string(rec.Worker)) == lead.Group(i) {
				s.pool.UpdateWorker(now, rec)
			}
		}
		if complete {
			s.workersIncomplete = false
			s.pool.CompleteWorkers(now)
		}
		if s.runsInherited {
			s.pool.InheritRuns(now)
		}
		r := s.pool.Report(now)
		r.VM, r.FailureDomain, r.Group, r.Epoch = g.self.VM, g.self.FailureDomain, lead.Group(i), g.division.Epoch
		reports = append(reports, r)
	}
	g.config.Knowledge.SetReports(reports)
}
