package lead

import (
	"fmt"
	"maps"
	"time"

	"tamarackpin.example/internal/vm"
)

const (
	// LeaderTimeout is the time without a heartbeat after which a leader counts as
	// dead and another entry VM may claim: three heartbeat intervals of 150 ms and
	// the pause of a slow VM.
	LeaderTimeout = 700 * time.Millisecond
	// followerTimeout is the same between two followers, which exchange heartbeats
	// every 1.8 s.
	followerTimeout = 5 * time.Second
	// probeDuration is how long after the loss of the leader a follower stays a
	// candidate without a new heartbeat: three heartbeat intervals, which are
	// 150 ms among all VMs from then on.
	probeDuration = 450 * time.Millisecond
	// listenDuration is how long a process receives heartbeats before it may claim.
	listenDuration = 600 * time.Millisecond
	// settleDuration is how long a process waits after its first contact before it may
	// claim: the time to learn of the other VMs from that one and to exchange heartbeats
	// with them.
	settleDuration = 250 * time.Millisecond
	// noContactClaimDelay is how long a process that has had no contact since its start
	// waits before it claims nevertheless: the spread of the starts after a loss of all
	// power, and the time until control VMs are reached.
	noContactClaimDelay = 2 * time.Second
	// MaxTickGap is the longest time between two Ticks after which a process still
	// trusts its state. After a longer pause its claim may have been replaced: the
	// gap exceeds the shortest lease.
	MaxTickGap = 500 * time.Millisecond
	// MaxTickDelay is the longest usual time between two Ticks. What exceeds it is time in
	// which this process did not run and could not read heartbeats either.
	MaxTickDelay = 100 * time.Millisecond
	// refusalBackoff is how long a leader whose fence a worker refused waits for a
	// heartbeat with the higher claim before it claims again.
	refusalBackoff = time.Second
	// clockSkewStep is how far the next fence exceeds a refused one if no higher
	// claim becomes known. The higher fence then comes from a leader before a full
	// restart, whose clock was ahead by up to twice the skew that the platform
	// allows.
	clockSkewStep = Fence(12*time.Second/fenceUnit) << fenceVMBits
	// leaderLossMargin is how much later than the leader another VM must have been
	// seen to show that the leader is gone and the local process is not partitioned:
	// a heartbeat interval and its transmission. In a partition, the last heartbeats
	// of all unreachable VMs lie within that time.
	leaderLossMargin = 200 * time.Millisecond
	// isolationTimeout is how long a leader without any contact goes on before it
	// steps down, if other VMs may have replaced it. Together with a lease it is
	// shorter than the time that a new leader waits before it starts tasks that the
	// old one may run (LeaderTimeout and the recovery delay of package pool).
	isolationTimeout = time.Second
	// isolatedClaimDelay is how long a process without any contact waits before it
	// claims nevertheless: longer than the longest partition of one VM from all
	// others that the platform states.
	isolatedClaimDelay = 8 * time.Second
	// peerExpiry is the time without a heartbeat after which AllPeersAvailable
	// ignores a peer: longer than the partitions that the platform states.
	peerExpiry = 30 * time.Second
)

// Peer is another entry VM of the failure domain as of its last heartbeat.
type Peer struct {
	vm.Presence
	LastSeen time.Time // local time of the last heartbeat
}

// Leadership is one process's view of the leader election of a group. It is
// created by [New] or [Leadership.ForDivision], and is not safe for concurrent
// use.
type Leadership struct {
	self            vm.Presence
	startedAt       time.Time // of the process
	firstContact    time.Time // with another VM since the start; zero before
	listeningSince  time.Time
	lastTick        time.Time
	claim           Claim
	claimHeard      bool      // a peer has told which claim it knows, if any
	claimedAt       time.Time // when claim became known, a sign of life of its holder
	predecessor     Claim     // see Predecessor
	highestFence    Fence     // highest fence known, including refused ones
	leaderlessSince time.Time // when NeedsLeader became true; zero while it is false
	refusedAt       time.Time
	lastContact     time.Time // last heartbeat of a peer or reply of a control VM
	peers           map[vm.ID]Peer
}

// New returns the Leadership of a process that starts now and knows no peers.
func New(now time.Time, self vm.Presence) *Leadership {
	return &Leadership{self: self, startedAt: now, listeningSince: now, lastTick: now, lastContact: now, peers: make(map[vm.ID]Peer)}
}

// ForDivision returns the Leadership of a group of a new Division with this
// epoch. It knows the same peers and has no leader.
func (l *Leadership) ForDivision(epoch Fence) *Leadership {
	return &Leadership{
		self: l.self, startedAt: l.startedAt, firstContact: l.firstContact, listeningSince: l.listeningSince, lastTick: l.lastTick, lastContact: l.lastContact, peers: maps.Clone(l.peers),
		highestFence: max(l.highestFence, epoch),
	}
}

// NextEpoch returns the epoch for a Division that this process makes now: a
// fence higher than all that it knows. A VM that has restarted with its clock set back may draw one at the same time of day
// again, for another Division, so the incarnation is part of it.
func (l *Leadership) NextEpoch(now time.Time) Fence {
	return nextFence(now, fmt.Sprintf("%s/%d", l.self.VM, l.self.Incarnation), l.highestFence)
}

// AllPeersAvailable reports whether all peers seen within peerExpiry are alive
// and no VM drains, so that a change made now reaches all of them.
func (l *Leadership) AllPeersAvailable(now time.Time) bool {
	for _, p := range l.peers {
		sinceLastSeen := now.Sub(p.LastSeen)
		if sinceLastSeen < peerExpiry && (p.Draining || sinceLastSeen >= followerTimeout) {
			return false
		}
	}
	return !l.self.Draining
}

// RecordHeartbeat records a heartbeat of a peer. Heartbeats of an earlier
// incarnation are ignored, see [vm.IncarnationTimeout].
func (l *Leadership) RecordHeartbeat(now time.Time, p vm.Presence) {
	known := l.peers[p.VM]
	if p.VM == l.self.VM || p.Incarnation < known.Incarnation && now.Sub(known.LastSeen) < vm.IncarnationTimeout {
		return
	}
	if p.Incarnation == known.Incarnation && known.Draining {
		p.Draining = true // a process that drains ends
	}
	l.peers[p.VM] = Peer{p, now}
	l.recordContact(now, now)
}

// RecordClaim records the newest claim that peer from knows. A claim without a VM
// from the VM that held it means that it stepped down.
func (l *Leadership) RecordClaim(now time.Time, from vm.ID, c Claim) {
	l.claimHeard = true
	l.highestFence = max(l.highestFence, c.Fence)
	if c.Fence > l.claim.Fence || c.Fence == l.claim.Fence && from == l.claim.VM && c.VM == "" {
		l.claim, l.claimedAt = c, now
		l.refusedAt = time.Time{}
	}
}

// RecordRefusal makes the process step down if it leads with fence f, which a
// worker refused because it has seen a higher one.
func (l *Leadership) RecordRefusal(now time.Time, f Fence) {
	if l.claim.Fence == f && l.IsLeader() {
		l.claim = Claim{Fence: f}
		l.refusedAt = now
		l.highestFence = max(l.highestFence, f+clockSkewStep)
	}
}

// StepDown gives up the lead, if this process has it, because it cannot go on; it waits as
// after a refusal before it claims again.
func (l *Leadership) StepDown(now time.Time) { l.RecordRefusal(now, l.claim.Fence) }

// Drain marks the process as draining: peers that do not drain may claim in its
// place, and it leads until one of them does.
func (l *Leadership) Drain() { l.self.Draining = true }

// HighestFence returns the highest fence known, including refused ones.
func (l *Leadership) HighestFence() Fence { return l.highestFence }

// Claim returns the newest claim known.
func (l *Leadership) Claim() Claim { return l.claim }

// NoEarlierLeader reports whether the peers that were heard, at least one, know of no claim: all of them
// have started since the last leader was lost, if there was one.
func (l *Leadership) NoEarlierLeader() bool { return l.claim.Fence == 0 && l.claimHeard }

// Predecessor returns the claim that the last claim of this process replaced, if its holder was alive
// and draining, so that it can tell what it ordered; else the zero Claim.
func (l *Leadership) Predecessor() Claim { return l.predecessor }

// IsLeader reports whether this process holds the newest claim.
func (l *Leadership) IsLeader() bool {
	return l.claim.VM == l.self.VM && l.claim.Incarnation == l.self.Incarnation
}

// Leader returns the entry VM that leads, or false if none is known to be alive.
func (l *Leadership) Leader(now time.Time) (vm.ID, bool) {
	if l.IsLeader() {
		return l.self.VM, true
	}
	if l.alive(now, l.claim.VM, l.claim.Incarnation) {
		return l.claim.VM, true
	}
	return "", false
}

// NeedsLeader reports whether another process should claim: there is no live
// leader, or the leader drains and this process does not.
func (l *Leadership) NeedsLeader(now time.Time) bool {
	leader, hasLeader := l.Leader(now)
	return !hasLeader || !l.self.Draining && l.peers[leader].Draining
}

// Tick decides whether this process claims leadership now, and returns its claim
// if it does. controlReplyAt is when a control VM last answered.
//
// A process that was paused for longer than MaxTickGap steps down and listens
// again before it claims. A process without contact to any other VM is probably
// partitioned itself: it steps down before another leader starts tasks that it
// may run, and does not take over from a leader that may be alive.
func (l *Leadership) Tick(now, controlReplyAt time.Time, o OtherGroups) (claim Claim, claimed bool) {
	paused := now.Sub(l.lastTick) > MaxTickGap
	l.excuseSilence(now, now.Sub(l.lastTick)-MaxTickDelay)
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
	mayClaim := now.Sub(l.listeningSince) >= listenDuration && now.Sub(l.firstContact) >= settleDuration && now.Sub(l.refusedAt) >= refusalBackoff
	if !mayClaim || !l.hasReliableView(now, controlReplyAt) || !l.isNextLeader(now, o) {
		return Claim{}, false
	}
	l.predecessor = Claim{}
	if leader, alive := l.Leader(now); alive && l.peers[leader].Draining {
		l.predecessor = l.claim
	}
	l.claim = Claim{Fence: nextFence(now, string(l.self.VM), max(l.highestFence, o.HighestFence)), VM: l.self.VM, Incarnation: l.self.Incarnation}
	l.highestFence = l.claim.Fence
	return l.claim, true
}

// hasReliableView reports whether missing heartbeats of the leader mean that the
// leader failed, and not that this process is partitioned: another VM was in
// contact more than leaderLossMargin after the leader. After isolatedClaimDelay
// without any contact, or noContactClaimDelay if there was none since the start, this
// process may be the last one and claims.
func (l *Leadership) hasReliableView(now, controlReplyAt time.Time) bool {
	if l.firstContact.IsZero() {
		return now.Sub(l.startedAt) >= noContactClaimDelay
	}
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
