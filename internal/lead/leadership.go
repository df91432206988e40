package lead

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"tamarackpin.example/internal/vm"
)

// Times of a Leadership.
const (
	// DeadAfter is how long an entry VM is silent before another takes its
	// place: three exchanges, which come every 150 ms, and a slowed VM's pause.
	DeadAfter = 700 * time.Millisecond
	// restAfter is the same for two VMs of which neither leads: they exchange signs
	// every 600 ms.
	restAfter = 2 * time.Second
	// rollCall is how long after a group lost its leader VMs count that were not
	// heard since: three exchanges, which come every 150 ms from then on.
	rollCall = 450 * time.Millisecond
	// settleTime is how long a process listens before it may claim.
	settleTime = 600 * time.Millisecond
	// frozenAfter is a pause between two looks after which a process cannot know
	// what happened meanwhile: longer than a lease lasts at least.
	frozenAfter = 500 * time.Millisecond
	// yieldTime is how long a process that a worker refused waits to hear of
	// the claim that it lost to.
	yieldTime = time.Second
	// aheadStep is how far above a fence that was refused the next one is drawn, if
	// nobody is heard of who holds a higher one: the clock of a VM that led before
	// everything restarted was ahead, by twice the skew that the platform allows.
	aheadStep = Fence(12*time.Second/fenceUnit) << fenceVMBits
	// outlastBy is how much later than the leader another VM must have been heard to
	// show that only the leader is gone: an exchange, and its way. Of all that a VM
	// hears, what is cut off with it falls silent within that time.
	outlastBy = 200 * time.Millisecond
	// isolatedAfter is how long a process that leads may hear nobody before it
	// gives up, if others may have taken its place: with a lease that is less
	// than they wait before they start what it may run (DeadAfter and the
	// settling of package pool).
	isolatedAfter = time.Second
	// aloneTime is how long a process that hears nobody waits before it claims
	// all the same: longer than a VM is cut off from all others, as the platform
	// names it.
	aloneTime = 8 * time.Second
	// goneAfter is how long a peer is silent that is not waited for any more:
	// longer than partitions last, as the platform names them.
	goneAfter = 30 * time.Second
)

// Peer is what is known of another entry VM of the failure domain.
type Peer struct {
	vm.Presence
	Heard time.Time // local time of the last sign of life
}

// Leadership is one process's knowledge of who leads. It is not safe for
// concurrent use. It must be made by [New].
type Leadership struct {
	self    vm.Presence
	begun   time.Time
	looked  time.Time
	claim   Claim
	highest Fence     // ever seen
	vacant  time.Time // since when the lead is vacant; zero if it is not
	refused time.Time
	contact time.Time // when another VM was last heard or reached
	peers   map[vm.ID]Peer
}

// New returns the Leadership of a process that starts now.
func New(now time.Time, self vm.Presence) *Leadership {
	return &Leadership{self: self, begun: now, looked: now, contact: now, peers: make(map[vm.ID]Peer)}
}

// Divided returns a Leadership of another group, of a Division with this epoch:
// it knows the same peers, and nobody leads yet.
func (l *Leadership) Divided(epoch Fence) *Leadership {
	return &Leadership{
		self: l.self, begun: l.begun, looked: l.looked, contact: l.contact, peers: maps.Clone(l.peers),
		highest: max(l.highest, epoch),
	}
}

// Epoch returns the epoch of a Division that this process makes now: a fence
// above all that it knows.
func (l *Leadership) Epoch(now time.Time) Fence { return next(now, l.self.VM, l.highest) }

// Whole reports whether every peer lives that was heard of late and none drains,
// so that all learn what is changed now.
func (l *Leadership) Whole(now time.Time) bool {
	for _, p := range l.peers {
		silent := now.Sub(p.Heard)
		if silent < goneAfter && (p.Draining || silent >= restAfter) {
			return false
		}
	}
	return !l.self.Draining
}

// Hear takes in a sign of life of a peer.
func (l *Leadership) Hear(now time.Time, p vm.Presence) {
	if p.VM == l.self.VM || p.Incarnation < l.peers[p.VM].Incarnation {
		return
	}
	l.peers[p.VM] = Peer{p, now}
	l.touch(now, now)
}

// Learn takes in the claim that a peer knows. One that holds a claim and says
// that nobody does has given it up.
func (l *Leadership) Learn(from vm.ID, c Claim) {
	l.highest = max(l.highest, c.Fence)
	if c.Fence > l.claim.Fence || c.Fence == l.claim.Fence && from == l.claim.VM && c.VM == "" {
		l.claim = c
		l.refused = time.Time{}
	}
}

// Refused takes in that a worker refused fence f for a higher one.
func (l *Leadership) Refused(now time.Time, f Fence) {
	if l.claim.Fence == f && l.Leads() {
		l.claim = Claim{Fence: f}
		l.refused = now
		l.highest = max(l.highest, f+aheadStep)
	}
}

// Drain makes the process leave the lead to those that do not drain. It goes on
// until one of them claims.
func (l *Leadership) Drain() { l.self.Draining = true }

// Claim returns the newest claim.
func (l *Leadership) Claim() Claim { return l.claim }

// Leads reports whether this process holds the newest claim.
func (l *Leadership) Leads() bool {
	return l.claim.VM == l.self.VM && l.claim.Incarnation == l.self.Incarnation
}

// Leader returns the entry VM that leads, if it lives.
func (l *Leadership) Leader(now time.Time) (vm.ID, bool) {
	if l.Leads() {
		return l.self.VM, true
	}
	if l.alive(now, l.claim.VM, l.claim.Incarnation) {
		return l.claim.VM, true
	}
	return "", false
}

// Vacant reports whether somebody should take the lead: nobody has it, or one that
// drains, which goes on until another has taken over.
func (l *Leadership) Vacant(now time.Time) bool {
	leader, led := l.Leader(now)
	return !led || !l.self.Draining && l.peers[leader].Draining
}

func (l *Leadership) alive(now time.Time, id vm.ID, i vm.Incarnation) bool {
	p, ok := l.peers[id]
	return ok && p.Incarnation == i && now.Sub(p.Heard) < DeadAfter
}

// Others is what is known of the other groups of the failure domain.
type Others struct {
	Led  map[vm.ID]int // groups that each VM leads
	Turn int           // groups before this one that nobody leads
}

// Tick decides whether this process claims now, and returns the claim if it
// does. reached is when a control VM last answered.
//
// A process that was frozen gives up what it held and listens first. One that
// reaches nobody is probably cut off itself: it gives up before others start what
// it may run, and does not take the workers from a leader that lives.
func (l *Leadership) Tick(now, reached time.Time, o Others) (claim Claim, claimed bool) {
	paused := now.Sub(l.looked) > frozenAfter
	l.looked = now
	if reached.After(l.contact) {
		l.touch(now, reached)
	}
	if paused {
		l.begun = now
	}
	if l.Leads() && (paused || l.isolated(now)) {
		l.claim = Claim{Fence: l.claim.Fence}
	}
	if !l.Vacant(now) {
		l.vacant = time.Time{}
		return Claim{}, false
	}
	if l.vacant.IsZero() {
		l.vacant = now
	}
	settled := now.Sub(l.begun) >= settleTime && now.Sub(l.refused) >= yieldTime
	if !settled || !l.sees(now, reached) || !l.turn(now, o) {
		return Claim{}, false
	}
	l.claim = Claim{Fence: next(now, l.self.VM, l.highest), VM: l.self.VM, Incarnation: l.self.Incarnation}
	l.highest = l.claim.Fence
	return l.claim, true
}

// sees reports whether it is the leader that fell silent rather than this process
// that is cut off: somebody was heard well after it. One that hears nobody for long
// may be the last.
func (l *Leadership) sees(now, reached time.Time) bool {
	if now.Sub(l.contact) > aloneTime {
		return true
	}
	leader, known := l.peers[l.claim.VM]
	if !known {
		return now.Sub(l.contact) < DeadAfter
	}
	witness := reached
	for _, p := range l.peers {
		if p.Heard.After(witness) {
			witness = p.Heard
		}
	}
	return now.Sub(leader.Heard) < DeadAfter || witness.Sub(leader.Heard) > outlastBy
}

// touch takes in that another VM was heard or reached at a time. After a while
// without, it listens first.
func (l *Leadership) touch(now, at time.Time) {
	if at.Sub(l.contact) > isolatedAfter && !l.Leads() {
		l.begun = now
	}
	l.contact = at
}

// isolated reports whether others may have taken this process's place.
func (l *Leadership) isolated(now time.Time) bool {
	if since := now.Sub(l.contact); since <= isolatedAfter || since > aloneTime {
		return false
	}
	for _, p := range l.peers {
		if !p.Draining {
			return true
		}
	}
	return false
}

// turn reports whether it is this process that should claim. Groups that nobody
// leads go to the VMs in the order of before, one to each.
func (l *Leadership) turn(now time.Time, o Others) bool {
	candidates := []vm.Presence{l.self}
	for _, p := range l.Living(now) {
		candidates = append(candidates, p.Presence)
	}
	if stay := slices.DeleteFunc(slices.Clone(candidates), func(p vm.Presence) bool { return p.Draining }); len(stay) > 0 {
		candidates = stay
	}
	slices.SortFunc(candidates, func(a, b vm.Presence) int { return o.before(a, b) })
	return candidates[o.Turn%len(candidates)].VM == l.self.VM
}

// before orders the VMs that may lead: those that lead the fewest groups, and of
// these the ones with the most processor, which a dispatcher needs most of.
func (o Others) before(a, b vm.Presence) int {
	return cmp.Or(cmp.Compare(o.Led[a.VM], o.Led[b.VM]), cmp.Compare(b.Processor, a.Processor), cmp.Compare(a.VM, b.VM))
}

// patience returns how long peers are silent that count as living. Once the lead is
// vacant they are asked often, and answer soon if they live.
func (l *Leadership) patience(now time.Time) time.Duration {
	if !l.vacant.IsZero() && now.Sub(l.vacant) >= rollCall {
		return DeadAfter
	}
	return restAfter
}

// Living returns the peers that live, in the order of their ids.
func (l *Leadership) Living(now time.Time) []Peer {
	var living []Peer
	for _, p := range l.peers {
		silent := now.Sub(p.Heard)
		if silent < l.patience(now) && (p.VM != l.claim.VM || silent < DeadAfter) {
			living = append(living, p)
		}
	}
	slices.SortFunc(living, func(a, b Peer) int { return cmp.Compare(a.VM, b.VM) })
	return living
}
