package quorum

import "time"

// stand asks for votes; first for pre-votes, which change nobody's term, so
// that a member that was cut off does not unseat a working leader.
func (c *Core) stand(now time.Time, pre bool) {
	kind, term := MsgVote, c.hard.Term+1
	c.leader = Member{}
	c.votes = map[Member]bool{c.self: true}
	if pre {
		kind = MsgPreVote
		c.role, c.stood = PreCandidate, now
	} else {
		c.role = Candidate
		c.hard = HardState{Term: term, Vote: c.self}
		c.saveHardState()
	}
	for _, m := range c.config.Voters {
		if m != c.self {
			c.send(Message{Kind: kind, To: m, Term: term, LastIndex: c.log.last(), LastTerm: c.log.lastTerm()})
		}
	}
	c.countVotes(now)
}

func (c *Core) countVotes(now time.Time) {
	if !c.majority(func(m Member) bool { return c.votes[m] }) {
		return
	}
	if c.role == PreCandidate {
		c.stand(now, false)
		return
	}
	c.lead(now)
}

func (c *Core) lead(now time.Time) {
	c.role, c.leader, c.timeout = Leader, c.self, ElectionTimeout
	c.others = nil
	c.track(now)
	c.beat = now.Add(HeartbeatEvery)
	c.propose(now, Entry{})
}

// vote answers a request for a vote or pre-vote.
func (c *Core) vote(now time.Time, m Message) {
	pre := m.Kind == MsgPreVote
	// Whoever hears a leader helps nobody to unseat it.
	if now.Sub(c.heard) < ElectionTimeout && !c.leader.IsZero() || c.role == Leader {
		c.refuseVote(m)
		return
	}
	if !pre && m.Term > c.hard.Term {
		c.follow(now, m.Term, Member{})
	}
	if pre && c.outranks(now, m) {
		c.refuseVote(m)
		return
	}
	fresh := m.LastTerm > c.log.lastTerm() || m.LastTerm == c.log.lastTerm() && m.LastIndex >= c.log.last()
	free := c.hard.Vote.IsZero() || c.hard.Vote == m.From
	if m.Term < c.hard.Term || !fresh || !pre && !free {
		c.refuseVote(m)
		return
	}
	if pre {
		c.send(Message{Kind: MsgPreVoteReply, To: m.From, Term: m.Term, Accepted: true})
		return
	}
	c.hard.Vote = m.From
	c.saveHardState()
	c.resetElection(now)
	c.send(Message{Kind: MsgVoteReply, To: m.From, Accepted: true})
}

// outranks reports whether this member and m.From ask for pre-votes at the same time, with
// equally fresh logs, and this one goes first: if each granted the other's, both would stand
// and split the votes. A member whose pre-votes are not granted holds up others no longer than
// leaderlessElectionTimeout each time.
func (c *Core) outranks(now time.Time, m Message) bool {
	return c.role == PreCandidate && now.Sub(c.stood) < leaderlessElectionTimeout && c.self.VM < m.From.VM &&
		m.LastTerm == c.log.lastTerm() && m.LastIndex == c.log.last()
}

func (c *Core) refuseVote(m Message) {
	kind := MsgVoteReply
	if m.Kind == MsgPreVote {
		kind = MsgPreVoteReply
	}
	c.send(Message{Kind: kind, To: m.From})
}

// voted takes in an answer to a request for a vote or pre-vote.
func (c *Core) voted(now time.Time, m Message) {
	wanted, term := Candidate, c.hard.Term
	if m.Kind == MsgPreVoteReply {
		wanted, term = PreCandidate, c.hard.Term+1
	}
	if c.role != wanted || !m.Accepted || m.Term != term {
		return
	}
	c.votes[m.From] = true
	c.countVotes(now)
}
