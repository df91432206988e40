// Package member keeps this entry VM's knowledge of the others and of the
// targets. It sends heartbeats, passes on announcements within a failure
// domain, and tells the dispatcher which targets are live and which part of
// their slots is this entry VM's. The decisions are those of vm.View,
// target.Book and target.Split.
package member

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/report"
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
	Demand       func() int    // tasks that wait or run here
	ControlIndex func() uint64 // of the View in force here
	// Targets is told the live targets of this failure domain and the part of
	// each that is this entry VM's, whenever they may have changed.
	Targets func(live []target.Lease, part func(target.Lease) int)
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

// told is what another entry VM was last told of a target in full.
type told struct {
	announcement target.Announcement
	renewals     int // since
}

// kindsEvery is how many heartbeats go without the kinds before one has them.
const kindsEvery = 5

// fullEvery is how many times in a row a target is passed on before its
// announcement is in full again, for those who missed it.
const fullEvery = 10

// passed is an announcement that is to be passed on.
type passed struct {
	announcement target.Announcement
	heard        time.Time
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

// demandEvery is the interval at which entry VMs of one failure domain tell each
// other of a demand that moved, so that slots follow it.
const demandEvery = 50 * time.Millisecond

// beatLoop sends heartbeats to one entry VM: at the regular interval, and within
// the failure domain sooner when the demand here moved.
func (m *Member) beatLoop(ctx context.Context, to settings.VM) {
	if to.FailureDomain != m.config.Self.FailureDomain {
		every(ctx, vm.HeartbeatEvery, func() { m.beat(ctx, to.VM) })
		return
	}
	var sent time.Time
	told := 0
	every(ctx, demandEvery, func() {
		demand := m.config.Demand()
		if time.Since(sent) < vm.HeartbeatEvery && !moved(told, demand) {
			return
		}
		sent, told = time.Now(), demand
		m.beat(ctx, to.VM)
	})
}

// moved reports whether a demand differs enough to divide slots anew.
func moved(before, now int) bool {
	return 4*max(before-now, now-before) > max(before, now)
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
	m.view.Observe(now, m.own(true))
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

// Announce takes in what a target said to this entry VM.
func (m *Member) Announce(a target.Announcement) {
	now := time.Now()
	m.mu.Lock()
	known := m.book.Usable(now, a.Target)
	newer := m.book.Observe(now, a, 0)
	urgent := newer && (a.Leaving || !known)
	var to []vm.ID
	if newer {
		to = m.queuePass(now, a)
	}
	m.mu.Unlock()
	if !urgent {
		return
	}
	m.refresh()
	for _, id := range to {
		go m.pass(context.Background(), id)
	}
}

// queuePass notes a for the other entry VMs of the target's failure domain.
// The caller holds mu.
func (m *Member) queuePass(now time.Time, a target.Announcement) []vm.ID {
	var to []vm.ID
	for _, v := range m.config.VMs {
		if v.VM == m.config.Self.VM || v.FailureDomain != a.FailureDomain {
			continue
		}
		if m.passOn[v.VM] == nil {
			m.passOn[v.VM] = make(map[target.ID]passed)
		}
		m.passOn[v.VM][a.Target] = passed{a, now}
		to = append(to, v.VM)
	}
	return to
}

// Announced carries what was heard of targets from one entry VM to another.
type Announced struct {
	Announcements []Aged        `json:"announcements,omitempty"`
	Renewals      []AgedRenewal `json:"renewals,omitempty"` // of what was carried in full before
}

// Aged is an announcement with the time since the sender heard it.
type Aged struct {
	target.Announcement
	Age wire.Duration `json:"age"`
}

// AgedRenewal is a renewal with the time since the sender heard it.
type AgedRenewal struct {
	target.Renewal
	Age wire.Duration `json:"age"`
}

// Check returns an error if an announcement cannot be used.
func (a Announced) Check() error {
	for _, one := range a.Announcements {
		if err := one.Announcement.Check(); err != nil {
			return err
		}
	}
	return nil
}

// pass sends what waits for entry VM to.
func (m *Member) pass(ctx context.Context, to vm.ID) {
	now := time.Now()
	m.mu.Lock()
	alive := m.view.Alive(now, to)
	message := m.takePass(now, to)
	m.mu.Unlock()
	if !alive || len(message.Announcements)+len(message.Renewals) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	// A loss is mended by the next announcement in full.
	_ = m.config.Mesh.Notify(ctx, to, report.UseTarget, methodAnnounced, message)
}

// takePass returns what waits for entry VM to: as a renewal where that says all.
// The caller holds mu.
func (m *Member) takePass(now time.Time, to vm.ID) Announced {
	var message Announced
	waiting := m.passOn[to]
	delete(m.passOn, to)
	if m.told[to] == nil {
		m.told[to] = make(map[target.ID]told)
	}
	for id, p := range waiting {
		a, age := p.announcement, wire.Duration(now.Sub(p.heard)).Round()
		last := m.told[to][id]
		last.renewals++
		if last.renewals < fullEvery && a.Same(last.announcement) {
			m.told[to][id] = last
			message.Renewals = append(message.Renewals, AgedRenewal{target.Renewal{Target: id, Incarnation: a.Incarnation, Sequence: a.Sequence}, age})
			continue
		}
		m.told[to][id] = told{announcement: a}
		message.Announcements = append(message.Announcements, Aged{a, age})
	}
	return message
}

func (m *Member) announced(_ context.Context, _ vm.ID, a Announced) (struct{}, error) {
	now := time.Now()
	changed := false
	m.mu.Lock()
	for _, one := range a.Announcements {
		newer := m.book.Observe(now, one.Announcement, one.Age.Std())
		changed = changed || newer && (one.Leaving || !m.live[one.Target])
	}
	for _, one := range a.Renewals {
		m.book.Renew(now, one.Renewal, one.Age.Std())
	}
	m.mu.Unlock()
	if changed {
		m.refresh()
	}
	return struct{}{}, nil
}

// own returns the heartbeat of this entry VM. The caller holds mu.
func (m *Member) own(withKinds bool) vm.Heartbeat {
	m.sequence++
	h := vm.Heartbeat{
		VM:            m.config.Self.VM,
		FailureDomain: m.config.Self.FailureDomain,
		Incarnation:   m.config.Incarnation,
		Sequence:      m.sequence,
		Draining:      m.draining,
		ControlIndex:  m.config.ControlIndex(),
		Demand:        m.config.Demand(),
	}
	if !withKinds {
		return h
	}
	h.Kinds = []string{}
	for _, k := range m.kinds {
		h.Kinds = append(h.Kinds, string(k))
	}
	return h
}

func (m *Member) beat(ctx context.Context, to vm.ID) {
	now := time.Now()
	m.mu.Lock()
	m.beats[to]++
	h := m.own(m.beats[to]%kindsEvery == 1 || now.Sub(m.kindsSince) < 2*vm.HeartbeatEvery)
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	// A loss is what the other side's View is made to notice.
	_ = m.config.Mesh.Notify(ctx, to, report.UseHeartbeat, methodHeartbeat, h)
}

func (m *Member) heartbeat(_ context.Context, from vm.ID, h vm.Heartbeat) (struct{}, error) {
	if h.VM != from {
		return struct{}{}, nil
	}
	now := time.Now()
	m.mu.Lock()
	if !m.view.Alive(now, from) {
		delete(m.told, from) // it may have missed what it was told, or restarted
	}
	newer := m.view.Observe(now, h)
	m.mu.Unlock()
	if newer {
		m.config.Heard(h)
	}
	if newer && h.FailureDomain == m.config.Self.FailureDomain {
		m.refresh()
	}
	return struct{}{}, nil
}

// refresh works out what is alive now and tells the dispatcher.
func (m *Member) refresh() {
	now := time.Now()
	m.mu.Lock()
	m.view.Observe(now, m.own(true))
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
	})
}

// forgetTold drops what others were told of targets that are gone. The caller
// holds mu.
func (m *Member) forgetTold(now time.Time) {
	for _, t := range m.told {
		maps.DeleteFunc(t, func(id target.ID, _ told) bool { return !m.book.Usable(now, id) })
	}
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
