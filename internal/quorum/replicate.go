package quorum

import (
	"slices"
	"time"
)

// Receive takes in a message from another member.
func (c *Core) Receive(now time.Time, m Message) {
	if m.To != c.self {
		return // meant for another disk of this VM
	}
	switch m.Kind {
	case MsgVote, MsgPreVote:
		c.vote(now, m)
		return
	case MsgPreVoteReply:
		if m.Accepted {
			c.voted(now, m)
			return
		}
	}
	if m.Term > c.hard.Term {
		c.follow(now, m.Term, Member{})
	}
	switch m.Kind {
	case MsgVoteReply, MsgPreVoteReply:
		c.voted(now, m)
	case MsgAppend, MsgInstall:
		c.fromLeader(now, m)
	case MsgAppendReply:
		c.appended(now, m)
	}
}

func (c *Core) fromLeader(now time.Time, m Message) {
	if m.Term < c.hard.Term {
		c.send(Message{Kind: MsgAppendReply, To: m.From})
		return
	}
	c.timeout = ElectionTimeout
	c.follow(now, m.Term, m.From)
	c.heard = now
	if m.Kind == MsgInstall {
		c.install(m)
		return
	}
	c.append(m)
}

func (c *Core) append(m Message) {
	if t, known := c.log.term(m.LastIndex); m.LastIndex > c.commit && (!known || t != m.LastTerm) {
		c.send(Message{Kind: MsgAppendReply, To: m.From, Match: c.conflict(m.LastIndex)})
		return
	}
	for i, e := range m.Entries {
		if e.Index <= c.commit {
			continue
		}
		if t, known := c.log.term(e.Index); known && t == e.Term {
			continue
		}
		c.overwrite(m.Entries[i:])
		break
	}
	held := m.LastIndex + Index(len(m.Entries))
	c.commit = max(c.commit, min(m.Commit, held))
	c.send(Message{Kind: MsgAppendReply, To: m.From, Accepted: true, Match: held})
}

// conflict returns where the leader should try next: before the term that does
// not match.
func (c *Core) conflict(i Index) Index {
	i = min(i-1, c.log.last())
	t, _ := c.log.term(i)
	for i > c.commit {
		before, known := c.log.term(i - 1)
		if !known || before != t {
			break
		}
		i--
	}
	return max(i, c.commit)
}

// overwrite replaces the end of the log by entries.
func (c *Core) overwrite(entries []Entry) {
	first := entries[0].Index
	if first <= c.log.last() {
		c.log.truncate(first)
	}
	c.stable = min(c.stable, first-1)
	c.log.append(entries...)
	c.config, c.configAt = c.log.config()
	c.ready.Entries = slices.DeleteFunc(c.ready.Entries, func(e Entry) bool { return e.Index >= first })
	c.ready.Entries = append(c.ready.Entries, entries...)
}

func (c *Core) install(m Message) {
	s := m.Snapshot
	if s == nil || s.Index <= c.commit {
		c.send(Message{Kind: MsgAppendReply, To: m.From, Accepted: true, Match: c.commit})
		return
	}
	c.log = entryLog{snapshot: *s}
	c.commit, c.applied, c.stable = s.Index, s.Index, s.Index
	c.config, c.configAt = s.Config, s.Index
	c.ready.Install = s
	c.ready.Entries = nil
	c.send(Message{Kind: MsgAppendReply, To: m.From, Accepted: true, Match: s.Index})
}

// replicate sends member m what it lacks. Without an answer to the last
// message it waits, unless beat is set or the answer is overdue.
func (c *Core) replicate(now time.Time, m Member, beat bool) {
	p := c.others[m]
	overdue := now.Sub(p.sent) >= resendAfter
	if !p.sent.IsZero() && !overdue && !beat {
		return
	}
	if p.next <= c.log.snapshot.Index {
		if p.sent.IsZero() || overdue {
			s := c.log.snapshot
			p.sent = now
			c.send(Message{Kind: MsgInstall, To: m, Snapshot: &s})
		}
		return
	}
	entries := c.log.batch(p.next)
	if !p.sent.IsZero() && !overdue {
		entries = nil // a plain heartbeat
	}
	if len(entries) > 0 {
		p.sent = now
	}
	term, _ := c.log.term(p.next - 1)
	c.send(Message{Kind: MsgAppend, To: m, LastIndex: p.next - 1, LastTerm: term, Entries: entries, Commit: c.commit})
}

func (c *Core) appended(now time.Time, m Message) {
	p := c.others[m.From]
	if c.role != Leader || p == nil || m.Term < c.hard.Term {
		return
	}
	p.heard = now
	p.sent = time.Time{}
	if !m.Accepted {
		p.next = max(p.match, min(m.Match, c.log.last())) + 1
		c.replicate(now, m.From, false)
		return
	}
	p.match = max(p.match, min(m.Match, c.log.last()))
	p.next = max(p.next, p.match+1)
	c.advance(now)
	if p.next <= c.log.last() {
		c.replicate(now, m.From, false)
	}
}

// advance commits what a majority holds, and tells the others by the next
// message.
func (c *Core) advance(now time.Time) {
	matches := make([]Index, 0, len(c.config.Voters))
	for _, m := range c.config.Voters {
		if m == c.self {
			matches = append(matches, c.stable)
			continue
		}
		matches = append(matches, c.others[m].match)
	}
	slices.Sort(matches)
	held := matches[(len(matches)-1)/2]
	if t, known := c.log.term(held); held <= c.commit || !known || t != c.hard.Term {
		return
	}
	c.commit = held
	for _, m := range c.config.others(c.self) {
		c.replicate(now, m, true)
	}
	if !c.config.Votes(c.self) && c.configAt <= c.commit {
		c.follow(now, c.hard.Term, Member{}) // this leader was taken out
	}
}
