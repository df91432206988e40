package quorum

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Times of the protocol.
const (
	HeartbeatEvery  = 250 * time.Millisecond
	ElectionTimeout = time.Second // least; up to twice that is drawn
	// leaderlessElectionTimeout is the first election timeout of a process, and of a
	// member that has stood after it lost its leader; it doubles with each attempt up to
	// ElectionTimeout. Nobody is known to lead then, and callers wait for the table.
	// Pre-votes keep such a member from unseating a leader that others hear.
	leaderlessElectionTimeout = 200 * time.Millisecond
	resendAfter               = 500 * time.Millisecond
)

// Bounds of the entries of one message: their number, and the bytes of their data unless
// it is a single entry.
const (
	maxEntries      = 256
	maxMessageBytes = 1 << 20
)

// Role is what a member is in its term.
type Role string

// The roles.
const (
	Follower     Role = "follower"
	PreCandidate Role = "pre_candidate"
	Candidate    Role = "candidate"
	Leader       Role = "leader"
)

// ErrNotLeader is returned for proposals to a member that does not lead.
var ErrNotLeader = errors.New("not the leader of the control quorum")

// ErrConfigPending is returned while an earlier change of members is not
// committed.
var ErrConfigPending = errors.New("a change of members is under way")

// progress is what a leader knows of another member.
type progress struct {
	match Index
	next  Index
	sent  time.Time // of the message that is not answered; zero if none
	heard time.Time
}

// Core is one member's part in the quorum. It is not safe for concurrent use.
//
// Invariants: a message leaves only after what it follows from is saved, since
// [Core.Ready] hands out both and the owner saves first; a vote is cast once a
// term; an entry of an earlier term is committed only together with one of the
// leader's own term.
type Core struct {
	self   Member
	random func() float64 // in [0, 1)

	hard     HardState
	role     Role
	leader   Member
	log      entryLog
	config   Config
	configAt Index
	commit   Index
	applied  Index
	stable   Index // saved up to here

	others   map[Member]*progress
	votes    map[Member]bool
	election time.Time     // when to stand, unless a leader is heard
	stood    time.Time     // when it last asked for pre-votes
	timeout  time.Duration // least time to the next election; at most ElectionTimeout
	beat     time.Time     // when a leader sends the next heartbeat
	heard    time.Time     // when a leader was last heard

	ready Ready
}

// Ready is what the owner of a Core must do, in the order of the fields.
type Ready struct {
	HardState *HardState // to save
	Install   *Snapshot  // to save; replaces the whole log and the state
	Entries   []Entry    // to save; the first replaces whatever stood at its index or after
	Messages  []Message  // to send after saving
	Committed []Entry    // to apply
}

// New returns the Core of member self with what its disk holds.
func New(now time.Time, self Member, saved Saved, random func() float64) *Core {
	c := &Core{self: self, random: random, hard: saved.HardState, role: Follower}
	c.log = entryLog{snapshot: saved.Snapshot, entries: slices.Clone(saved.Entries)}
	c.applied = saved.Snapshot.Index
	c.commit = max(c.applied, min(saved.Commit, c.log.last()))
	c.stable = c.log.last()
	c.config, c.configAt = c.log.config()
	c.timeout = leaderlessElectionTimeout
	c.resetElection(now)
	return c
}

// Bootstrap returns the Saved state that starts a quorum of voters. It is used
// by one member, once, when all of them are known to be empty.
func Bootstrap(voters []Member) Saved {
	return Saved{
		HardState: HardState{Term: 1},
		Snapshot:  Snapshot{Index: 1, Term: 1, Config: Config{Voters: voters}},
	}
}

// Role returns the present role.
func (c *Core) Role() Role { return c.role }

// Leader returns the leader of the present term, if known.
func (c *Core) Leader() Member { return c.leader }

// Term returns the present term.
func (c *Core) Term() Term { return c.hard.Term }

// Config returns the newest Config.
func (c *Core) Config() Config { return c.config }

// Commit returns the index up to which entries are committed.
func (c *Core) Commit() Index { return c.commit }

// Applied returns the index up to which entries were handed out.
func (c *Core) Applied() Index { return c.applied }

// Current reports whether a leader has committed an entry of its own term. Before, it may not know what
// earlier leaders committed, and so may not have handed it out.
func (c *Core) Current() bool {
	term, _ := c.log.term(c.commit)
	return c.role == Leader && term == c.hard.Term
}

// LogLength returns the number of entries after the snapshot.
func (c *Core) LogLength() int { return len(c.log.entries) }

// Ready returns what is to be done since the last call. The owner then calls
// [Core.SaveDone] once all is saved.
func (c *Core) Ready() Ready {
	r := c.ready
	c.ready = Ready{}
	r.Committed = c.log.from(c.applied+1, int(c.commit-c.applied))
	c.applied = c.commit
	return r
}

// Pending reports whether Ready has anything.
func (c *Core) Pending() bool {
	r := &c.ready
	return r.HardState != nil || r.Install != nil || len(r.Entries) > 0 || len(r.Messages) > 0 || c.applied < c.commit
}

// SaveDone takes in that everything handed out so far is on disk.
func (c *Core) SaveDone(now time.Time) {
	c.stable = c.log.last()
	if c.role == Leader {
		c.advance(now)
	}
}

func (c *Core) saveHardState() {
	h := c.hard
	c.ready.HardState = &h
}

func (c *Core) send(m Message) {
	m.From, m.Term = c.self, max(m.Term, c.hard.Term)
	c.ready.Messages = append(c.ready.Messages, m)
}

func (c *Core) resetElection(now time.Time) {
	wait := c.timeout + time.Duration(c.random()*float64(c.timeout))
	c.election = now.Add(wait)
}

// Tick takes in that time passed.
func (c *Core) Tick(now time.Time) {
	if c.role != Leader {
		if !now.Before(c.election) {
			if c.leader.IsZero() {
				c.timeout = min(2*c.timeout, ElectionTimeout)
			} else {
				c.timeout = leaderlessElectionTimeout
			}
			c.resetElection(now)
			if c.config.Votes(c.self) {
				c.stand(now, true)
			}
		}
		return
	}
	if !c.hearsMajority(now) {
		c.follow(now, c.hard.Term, Member{})
		return
	}
	if !now.Before(c.beat) {
		c.beat = now.Add(HeartbeatEvery)
		for _, m := range c.config.others(c.self) {
			c.replicate(now, m, true)
		}
	}
}

// hearsMajority is what makes a leader that is cut off step down.
func (c *Core) hearsMajority(now time.Time) bool {
	return c.majority(func(m Member) bool {
		return m == c.self || now.Sub(c.others[m].heard) < 2*ElectionTimeout
	})
}

func (c *Core) majority(has func(Member) bool) bool {
	n := 0
	for _, m := range c.config.Voters {
		if has(m) {
			n++
		}
	}
	return n > len(c.config.Voters)/2
}

func (c *Core) follow(now time.Time, t Term, leader Member) {
	if t > c.hard.Term {
		c.hard = HardState{Term: t}
		c.saveHardState()
	}
	c.role, c.leader = Follower, leader
	c.others, c.votes = nil, nil
	c.resetElection(now)
}

// track keeps a progress for each other member.
func (c *Core) track(now time.Time) {
	others := make(map[Member]*progress)
	for _, m := range c.config.others(c.self) {
		if p := c.others[m]; p != nil {
			others[m] = p
			continue
		}
		others[m] = &progress{next: c.log.last() + 1, heard: now}
	}
	c.others = others
}

// Silent returns the members, the learner among them, that a leader has not heard for d.
func (c *Core) Silent(now time.Time, d time.Duration) []Member {
	var silent []Member
	for _, m := range c.config.others(c.self) {
		if p := c.others[m]; p != nil && now.Sub(p.heard) >= d {
			silent = append(silent, m)
		}
	}
	return silent
}

// CaughtUp reports whether a leader's learner holds the whole log.
func (c *Core) CaughtUp() bool {
	p := c.others[c.config.Learner]
	return c.role == Leader && p != nil && p.match == c.log.last()
}

// Compact replaces the log up to the applied entry by the state data. It
// returns the snapshot to save.
func (c *Core) Compact(data []byte) Snapshot {
	term, _ := c.log.term(c.applied)
	s := Snapshot{Index: c.applied, Term: term, Data: data}
	s.Config = c.configUpTo(c.applied)
	c.log.compact(s)
	return s
}

func (c *Core) configUpTo(i Index) Config {
	config := c.log.snapshot.Config
	for _, e := range c.log.entries {
		if e.Index <= i && e.Config != nil {
			config = *e.Config
		}
	}
	return config
}

// Entries returns the entries after the snapshot.
func (c *Core) Entries() []Entry { return slices.Clone(c.log.entries) }

// Random returns the source of the random waits.
func (c *Core) Random() func() float64 { return c.random }
