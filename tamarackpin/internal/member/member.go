// Package member keeps this entry VM's knowledge of the others and of the
// targets. It sends heartbeats, passes on announcements within a failure
// domain, and tells the dispatcher which targets are live and which part of
// their slots is this entry VM's. The decisions are those of vm.View,
// target.Book and target.Split.
package member

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/settings"
	"tamarackpin.example/internal/target"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wire"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// Times of the goroutines.
const (
	refreshEvery = 100 * time.Millisecond
	passOnEvery  = 200 * time.Millisecond
	sendTimeout  = time.Second
	forgetAfter  = time.Hour
)

// The methods between entry VMs.
const (
	methodHeartbeat peer.Method = "member.heartbeat"
	methodAnnounced peer.Method = "member.announced"
)

// Config is what a Member needs.
type Config struct {
	Self         settings.VM
	Incarnation  vm.Incarnation
	VMs          []settings.VM
	Mesh         *peer.Mesh
	Log          *zap.Logger
	Demand       func() int    // what counts here when slots are divided
	ControlIndex func() uint64 // of the View in force here
	// Targets is told the live targets of this failure domain, the part of each
	// that is this entry VM's, and among how many entry VMs they are divided,
	// whenever they may have changed.
	Targets func(live []target.Lease, part func(target.Lease) int, sharers int)
	// Heard is told every newer heartbeat.
	Heard func(vm.Heartbeat)
}

// Member is the membership duty. It must be made by [New]. It is safe for
// concurrent use.
type Member struct {
	config Config

	mu       sync.Mutex // guards all below
	view     vm.View
	book     target.Book
	sequence uint64
	draining bool
	kinds    []party.Kind // of this failure domain
	// kindsSince is when kinds last changed.
	kindsSince time.Time
	beats      map[vm.ID]int // heartbeats sent to each other entry VM
	living     map[vm.ID]bool
	live       map[target.ID]bool
	passOn     map[vm.ID]map[target.ID]passed
	told       map[vm.ID]map[target.ID]told
}

// New returns a Member and registers what it serves.
func New(c Config, x *peer.Mux) *Member {
	m := &Member{
		config: c,
		living: make(map[vm.ID]bool),
		live:   make(map[target.ID]bool),
		passOn: make(map[vm.ID]map[target.ID]passed),
		told:   make(map[vm.ID]map[target.ID]told),
		beats:  make(map[vm.ID]int),
	}
	peer.Handle(x, methodHeartbeat, m.heartbeat)
	peer.Handle(x, methodAnnounced, m.announced)
	return m
}

// Run sends heartbeats and refreshes until ctx is done.
func (m *Member) Run(ctx context.Context) {
	var duties sync.WaitGroup
	for _, v := range m.config.VMs {
		if v.VM == m.config.Self.VM {
			continue
		}
		duties.Go(func() { m.beatLoop(ctx, v) })
		duties.Go(func() { every(ctx, passOnEvery, func() { m.pass(ctx, v.VM) }) })
	}
	duties.Go(func() { every(ctx, refreshEvery, m.refresh) })
	duties.Wait()
}

// every calls fn now and then at each interval until ctx is done.
func every(ctx context.Context, interval time.Duration, fn func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		fn()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// Drain makes the heartbeats say that this entry VM takes no more work.
func (m *Member) Drain() {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	m.refresh()
}

// Living returns the living entry VMs, this one among them.
func (m *Member) Living() []vm.State {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.Observe(now, m.own(now, true))
	return m.view.Living(now)
}

// Alive reports whether heartbeats of an entry VM arrive.
func (m *Member) Alive(id vm.ID) bool {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return id == m.config.Self.VM || m.view.Alive(now, id)
}

// Elsewhere returns a living entry VM of another failure domain whose targets
// run kind k, the one with the least demand.
func (m *Member) Elsewhere(k party.Kind) (vm.ID, bool) {
	var best vm.Heartbeat
	for _, s := range m.Living() {
		h := s.Heartbeat
		if h.FailureDomain == m.config.Self.FailureDomain || h.Draining || !h.Runs(string(k)) {
			continue
		}
		if best.VM == "" || h.Demand < best.Demand {
			best = h
		}
	}
	return best.VM, best.VM != ""
}

// RunsHere reports whether a live target of this failure domain runs k.
func (m *Member) RunsHere(k party.Kind) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, own := range m.kinds {
		if own == k {
			return true
		}
	}
	return false
}

// refresh works out what is alive now and tells the dispatcher.
func (m *Member) refresh() {
	now := time.Now()
	m.mu.Lock()
	m.view.Observe(now, m.own(now, true))
	m.noteVMs(m.view.Living(now))
	var live []target.Lease
	for _, l := range m.book.Live(now) {
		if l.FailureDomain == m.config.Self.FailureDomain {
			live = append(live, l)
		}
	}
	m.noteTargets(live)
	claims := m.claims(now)
	m.view.Forget(now, forgetAfter)
	m.book.Forget(now)
	m.forgetTold(now)
	m.mu.Unlock()
	m.config.Targets(live, func(l target.Lease) int {
		return target.Split(l.Target, l.Slots, claims)[m.config.Self.VM]
	}, len(claims))
}

// claims returns the claims of the entry VMs of this failure domain. The
// caller holds mu.
func (m *Member) claims(now time.Time) []target.Claim {
	var claims []target.Claim
	for _, s := range m.view.Living(now) {
		h := s.Heartbeat
		if h.FailureDomain != m.config.Self.FailureDomain {
			continue
		}
		if h.Draining && h.Demand == 0 {
			continue
		}
		claims = append(claims, target.Claim{VM: h.VM, Demand: h.Demand})
	}
	return claims
}

// noteVMs logs which entry VMs came and went. The caller holds mu.
func (m *Member) noteVMs(states []vm.State) {
	living := make(map[vm.ID]bool, len(states))
	for _, s := range states {
		living[s.Heartbeat.VM] = true
		if !m.living[s.Heartbeat.VM] {
			event.Log(m.config.Log, event.VMAlive, zap.String("vm", string(s.Heartbeat.VM)))
		}
	}
	for id := range m.living {
		if !living[id] {
			event.Log(m.config.Log, event.VMDead, zap.String("vm", string(id)))
		}
	}
	m.living = living
}

// noteTargets logs which targets came and went. The caller holds mu.
func (m *Member) noteTargets(leases []target.Lease) {
	live := make(map[target.ID]bool, len(leases))
	kinds := wire.NewSet[party.Kind]()
	for _, l := range leases {
		live[l.Target] = true
		for _, k := range l.Kinds {
			kinds[k] = struct{}{}
		}
		if !m.live[l.Target] {
			event.Log(m.config.Log, event.TargetLive, zap.String("target", string(l.Target)), zap.String("address", l.Address))
		}
	}
	for id := range m.live {
		if !live[id] {
			event.Log(m.config.Log, event.TargetGone, zap.String("target", string(id)))
		}
	}
	m.live = live
	if sorted := kinds.Sorted(); !slices.Equal(sorted, m.kinds) {
		m.kinds, m.kindsSince = sorted, time.Now()
	}
}
