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
	// LeaderTimeout is how long an entry VM is silent before another takes its
	// place: three exchanges, which come every 150 ms, and a slowed VM's pause.
	LeaderTimeout = 700 * time.Millisecond
	// followerTimeout is the same for two VMs of which neither leads: they exchange signs
	// every 600 ms.
	followerTimeout = 2 * time.Second
	// probeDuration is how long after a group lost its leader VMs count that were not
	// heard since: three exchanges, which come every 150 ms from then on.
	probeDuration = 450 * time.Millisecond
	// listenDuration is how long a process listens before it may claim.
	listenDuration = 600 * time.Millisecond
	// maxTickGap is a pause between two looks after which a process cannot know
	// what happened meanwhile: longer than a lease lasts at least.
	maxTickGap = 500 * time.Millisecond
	// refusalBackoff is how long a process that a worker refused waits to hear of
	// the claim that it lost to.
	refusalBackoff = time.Second
	// clockSkewStep is how far above a fence that was refused the next one is drawn, if
	// nobody is heard of who holds a higher one: the clock of a VM that led before
	// everything restarted was ahead, by twice the skew that the platform allows.
	clockSkewStep = Fence(12*time.Second/fenceUnit) << fenceVMBits
	// leaderLossMargin is how much later than the leader another VM must have been heard to
	// show that only the leader is gone: an exchange, and its way. Of all that a VM
	// hears, what is cut off with it falls silent within that time.
	leaderLossMargin = 200 * time.Millisecond
	// isolationTimeout is how long a process that leads may hear nobody before it
	// gives up, if others may have taken its place: with a lease that is less
	// than they wait before they start what it may run (LeaderTimeout and the
	// settling of package pool).
	isolationTimeout = time.Second
	// isolatedClaimDelay is how long a process that hears nobody waits before it claims
	// all the same: longer than a VM is cut off from all others, as the platform
	// names it.
	isolatedClaimDelay = 8 * time.Second
	// peerExpiry is how long a peer is silent that is not waited for any more:
	// longer than partitions last, as the platform names them.
	peerExpiry = 30 * time.Second
)

// Peer is what is known of another entry VM of the failure domain.
type Peer struct {
	vm.Presence
	LastSeen time.Time // local time of the last sign of life
}

// Leadership is one process's knowledge of who leads. It is not safe for
// concurrent use. It must be made by [New].
type Leadership struct {
	self            vm.Presence
	listeningSince  time.Time
	lastTick        time.Time
	claim           Claim
	highestFence    Fence     // ever seen
	leaderlessSince time.Time // since when the lead is vacant; zero if it is not
	refusedAt       time.Time
	lastContact     time.Time // when another VM was last heard or reached
	peers           map[vm.ID]Peer
}

// New returns the Leadership of a process that starts now.
func New(now time.Time, self vm.Presence) *Leadership {
	return &Leadership{self: self, listeningSince: now, lastTick: now, lastContact: now, peers: make(map[vm.ID]Peer)}
}

// ForDivision returns a Leadership of another group, of a Division with this epoch:
// it knows the same peers, and nobody leads yet.
func (l *Leadership) ForDivision(epoch Fence) *Leadership {
	return &Leadership{
		self: l.self, listeningSince: l.listeningSince, lastTick: l.lastTick, lastContact: l.lastContact, peers: maps.Clone(l.peers),
		highestFence: max(l.highestFence, epoch),
	}
}

// NextEpoch returns the epoch of a Division that this process makes now: a fence
// above all that it knows.
func (l *Leadership) NextEpoch(now time.Time) Fence { return nextFence(now, l.self.VM, l.highestFence) }

// AllPeersAvailable reports whether every peer lives that was heard of late and none drains,
// so that all learn what is changed now.
func (l *Leadership) AllPeersAvailable(now time.Time) bool {
	for _, p := range l.peers {
		sinceLastSeen := now.Sub(p.LastSeen)
		if sinceLastSeen < peerExpiry && (p.Draining || sinceLastSeen >= followerTimeout) {
			return false
		}
	}
	return !l.self.Draining
}

// RecordHeartbeat takes in a sign of life of a peer.
func (l *Leadership) RecordHeartbeat(now time.Time, p vm.Presence) {
	if p.VM == l.self.VM || p.Incarnation < l.peers[p.VM].Incarnation {
		return
	}
	l.peers[p.VM] = Peer{p, now}
	l.recordContact(now, now)
}

// RecordClaim takes in the claim that a peer knows. One that holds a claim and says
// that nobody does has given it up.
func (l *Leadership) RecordClaim(from vm.ID, c Claim) {
	l.highestFence = max(l.highestFence, c.Fence)
	if c.Fence > l.claim.Fence || c.Fence == l.claim.Fence && from == l.claim.VM && c.VM == "" {
		l.claim = c
		l.refusedAt = time.Time{}
	}
}

// RecordRefusal takes in that a worker refused fence f for a higher one.
func (l *Leadership) RecordRefusal(now time.Time, f Fence) {
	if l.claim.Fence == f && l.IsLeader() {
		l.claim = Claim{Fence: f}
		l.refusedAt = now
		l.highestFence = max(l.highestFence, f+clockSkewStep)
	}
}

// Drain makes the process leave the lead to those that do not drain. It goes on
// until one of them claims.
func (l *Leadership) Drain() { l.self.Draining = true }

// Claim returns the newest claim.
func (l *Leadership) Claim() Claim { return l.claim }

// IsLeader reports whether this process holds the newest claim.
func (l *Leadership) IsLeader() bool {
	return l.claim.VM == l.self.VM && l.claim.Incarnation == l.self.Incarnation
}

// Leader returns the entry VM that leads, if it lives.
func (l *Leadership) Leader(now time.Time) (vm.ID, bool) {
	if l.IsLeader() {
		return l.self.VM, true
	}
	if l.alive(now, l.claim.VM, l.claim.Incarnation) {
		return l.claim.VM, true
	}
	return "", false
}

// NeedsLeader reports whether somebody should take the lead: nobody has it, or one that
// drains, which goes on until another has taken over.
func (l *Leadership) NeedsLeader(now time.Time) bool {
	leader, hasLeader := l.Leader(now)
	return !hasLeader || !l.self.Draining && l.peers[leader].Draining
}

func (l *Leadership) alive(now time.Time, id vm.ID, i vm.Incarnation) bool {
	p, ok := l.peers[id]
	return ok && p.Incarnation == i && now.Sub(p.LastSeen) < LeaderTimeout
}

// OtherGroups is what is known of the other groups of the failure domain.
type OtherGroups struct {
	GroupsLed        map[vm.ID]int // groups that each VM leads
	LeaderlessBefore int           // groups before this one that nobody leads
}

// Tick decides whether this process claims now, and returns the claim if it
// does. controlReplyAt is when a control VM last answered.
//
// A process that was frozen gives up what it held and listens first. One that
// reaches nobody is probably cut off itself: it gives up before others start what
// it may run, and does not take the workers from a leader that lives.
func (l *Leadership) Tick(now, controlReplyAt time.Time, o OtherGroups) (claim Claim, claimed bool) {
	paused := now.Sub(l.lastTick) > maxTickGap
	l.lastTick = now
	if controlReplyAt.After(l.lastContact) {
		l.recordContact(now, controlReplyAt)
	}
	if paused {
		l.listeningSince = now
	}
	if l.IsLeader() && (paused || l.isolated(now)) {
		l.claim = Claim{Fence: l.claim.Fence}
	}
	if !l.NeedsLeader(now) {
		l.leaderlessSince = time.Time{}
		return Claim{}, false
	}
	if l.leaderlessSince.IsZero() {
		l.leaderlessSince = now
	}
	mayClaim := now.Sub(l.listeningSince) >= listenDuration && now.Sub(l.refusedAt) >= refusalBackoff
	if !mayClaim || !l.hasReliableView(now, controlReplyAt) || !l.isNextLeader(now, o) {
		return Claim{}, false
	}
	l.claim = Claim{Fence: nextFence(now, l.self.VM, l.highestFence), VM: l.self.VM, Incarnation: l.self.Incarnation}
	l.highestFence = l.claim.Fence
	return l.claim, true
}

// hasReliableView reports whether it is the leader that fell silent rather than this process
// that is cut off: somebody was heard well after it. One that hears nobody for long
// may be the last.
func (l *Leadership) hasReliableView(now, controlReplyAt time.Time) bool {
	if now.Sub(l.lastContact) > isolatedClaimDelay {
		return true
	}
	leader, known := l.peers[l.claim.VM]
	if !known {
		return now.Sub(l.lastContact) < LeaderTimeout
	}
	otherSeenAt := controlReplyAt
	for _, p := range l.peers {
		if p.LastSeen.After(otherSeenAt) {
			otherSeenAt = p.LastSeen
		}
	}
	return now.Sub(leader.LastSeen) < LeaderTimeout || otherSeenAt.Sub(leader.LastSeen) > leaderLossMargin
}

// recordContact takes in that another VM was heard or reached at a time. After a while
// without, it listens first.
func (l *Leadership) recordContact(now, at time.Time) {
	if at.Sub(l.lastContact) > isolationTimeout && !l.IsLeader() {
		l.listeningSince = now
	}
	l.lastContact = at
}

// isolated reports whether others may have taken this process's place.
func (l *Leadership) isolated(now time.Time) bool {
	if since := now.Sub(l.lastContact); since <= isolationTimeout || since > isolatedClaimDelay {
		return false
	}
	for _, p := range l.peers {
		if !p.Draining {
			return true
		}
	}
	return false
}

// isNextLeader reports whether it is this process that should claim. Groups that nobody
// leads go to the VMs in the order of compareCandidates, one to each.
func (l *Leadership) isNextLeader(now time.Time, o OtherGroups) bool {
	candidates := []vm.Presence{l.self}
	for _, p := range l.LivePeers(now) {
		candidates = append(candidates, p.Presence)
	}
	if remaining := slices.DeleteFunc(slices.Clone(candidates), func(p vm.Presence) bool { return p.Draining }); len(remaining) > 0 {
		candidates = remaining
	}
	slices.SortFunc(candidates, func(a, b vm.Presence) int { return o.compareCandidates(a, b) })
	return candidates[o.LeaderlessBefore%len(candidates)].VM == l.self.VM
}

// compareCandidates orders the VMs that may lead: those that lead the fewest groups, and of
// these the ones with the most processor, which a dispatcher needs most of.
func (o OtherGroups) compareCandidates(a, b vm.Presence) int {
	return cmp.Or(cmp.Compare(o.GroupsLed[a.VM], o.GroupsLed[b.VM]), cmp.Compare(b.Processor, a.Processor), cmp.Compare(a.VM, b.VM))
}

// peerTimeout returns how long peers are silent that count as living. Once the lead is
// vacant they are asked often, and answer soon if they live.
func (l *Leadership) peerTimeout(now time.Time) time.Duration {
	if !l.leaderlessSince.IsZero() && now.Sub(l.leaderlessSince) >= probeDuration {
		return LeaderTimeout
	}
	return followerTimeout
}

// LivePeers returns the peers that live, in the order of their ids.
func (l *Leadership) LivePeers(now time.Time) []Peer {
	var live []Peer
	for _, p := range l.peers {
		sinceLastSeen := now.Sub(p.LastSeen)
		if sinceLastSeen < l.peerTimeout(now) && (p.VM != l.claim.VM || sinceLastSeen < LeaderTimeout) {
			live = append(live, p)
		}
	}
	slices.SortFunc(live, func(a, b Peer) int { return cmp.Compare(a.VM, b.VM) })
	return live
}
