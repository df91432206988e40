package lead

import (
	"cmp"
	"slices"
	"time"

	"tamarackpin.example/internal/vm"
)

// RecordSignOfLife records that a peer answered something at time at, as the process that
// last sent a heartbeat. A leader that is behind with its heartbeats, but answers jobs, is
// not dead.
func (l *Leadership) RecordSignOfLife(now time.Time, id vm.ID, at time.Time) {
	p, known := l.peers[id]
	if !known || !at.After(p.LastSeen) {
		return
	}
	p.LastSeen = at
	l.peers[id] = p
	l.recordContact(now, at)
}

// alive reports whether the holder of the newest claim is alive. The claim may have become
// known from another VM, and its holder have been a follower until then, with which
// heartbeats are seldom exchanged.
func (l *Leadership) alive(now time.Time, id vm.ID, i vm.Incarnation) bool {
	p, ok := l.peers[id]
	return ok && p.Incarnation == i && min(now.Sub(p.LastSeen), now.Sub(l.claimedAt)) < LeaderTimeout
}

// excuseSilence takes a delay of this process off the silence of all other VMs. On a VM
// that is behind, heartbeats wait unread, and it must not replace a leader for that. A leader
// gets no excuse for its own lack of contact, see isolated.
func (l *Leadership) excuseSilence(now time.Time, delay time.Duration) {
	if delay <= 0 {
		return
	}
	for id, p := range l.peers {
		if p.LastSeen = p.LastSeen.Add(delay); p.LastSeen.After(now) {
			p.LastSeen = now
		}
		l.peers[id] = p
	}
	if l.IsLeader() {
		return
	}
	if l.lastContact = l.lastContact.Add(delay); l.lastContact.After(now) {
		l.lastContact = now
	}
}

// recordContact records contact with another VM at time at. A follower that had
// no contact for longer than isolationTimeout listens again before it may claim; after the
// first contact since the start, settleDuration is enough.
func (l *Leadership) recordContact(now, at time.Time) {
	switch {
	case l.firstContact.IsZero():
		l.firstContact = now
	case at.Sub(l.lastContact) > isolationTimeout && !l.IsLeader():
		l.listeningSince = now
	}
	l.lastContact = at
}

// isolated reports whether this process had no contact for so long that a peer
// may have claimed. Peers that drain do not count. After isolatedClaimDelay the
// process may lead without contact.
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

// peerTimeout returns the time without a heartbeat after which a peer counts as
// dead. Without a leader, peers exchange heartbeats more often, so after
// probeDuration the shorter timeout applies.
func (l *Leadership) peerTimeout(now time.Time) time.Duration {
	if !l.leaderlessSince.IsZero() && now.Sub(l.leaderlessSince) >= probeDuration {
		return LeaderTimeout
	}
	return followerTimeout
}

// LivePeers returns the peers that count as alive, in the order of their ids. For
// the holder of the newest claim, LeaderTimeout applies.
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

// PeerAges returns the time in seconds since the last heartbeat or answer of each peer, for the log.
func (l *Leadership) PeerAges(now time.Time) map[vm.ID]float64 {
	ages := make(map[vm.ID]float64)
	for id, p := range l.peers {
		ages[id] = now.Sub(p.LastSeen).Seconds()
	}
	return ages
}
