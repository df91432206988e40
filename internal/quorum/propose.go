package quorum

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Propose appends data to the log of a leader.
func (c *Core) Propose(now time.Time, data []byte) (Index, Term, error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	return c.propose(now, Entry{Data: data}), c.hard.Term, nil
}

// ProposeConfig appends a change of members by one step, or puts a learner that is
// caught up in the place of its VM's lost disk. It must wait until the
// one before is committed, and until this leader committed an entry of its own
// term.
func (c *Core) ProposeConfig(now time.Time, next Config) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	ownTerm, _ := c.log.term(c.commit)
	if c.configAt > c.commit || ownTerm != c.hard.Term {
		return ErrConfigPending
	}
	swap := c.config.swaps(next) && c.CaughtUp()
	if !c.config.oneStep(next) && !swap || len(next.Voters) == 0 {
		return errors.New("a change of members takes one step at a time")
	}
	if c.config.equal(next) {
		return nil
	}
	c.propose(now, Entry{Config: &next})
	return nil
}

func (c *Core) propose(now time.Time, e Entry) Index {
	e.Index, e.Term = c.log.last()+1, c.hard.Term
	c.log.append(e)
	c.ready.Entries = append(c.ready.Entries, e)
	if e.Config != nil {
		c.config, c.configAt = *e.Config, e.Index
		c.track(now)
	}
	for _, m := range c.config.others(c.self) {
		c.replicate(now, m, false)
	}
	return e.Index
}
