// Package quorum is the replicated log that the control state lives in: leader
// election, replication, snapshots and changes of members, after the Raft
// algorithm (Ongaro and Ousterhout, "In Search of an Understandable Consensus
// Algorithm", 2014) with pre-votes, a leader that steps down when it loses its
// majority, and single-member changes.
//
// A [Core] only decides: it takes in messages, proposals and the present time
// and tells by [Core.Ready] what must be saved, sent and applied, in this
// order. Package wal saves; the server sends. What the entries mean is up to
// package control.
package quorum

import (
	"slices"

	"tamarackpin.example/internal/vm"
)

// DiskID names one disk: it is drawn when a data folder is first used. A VM
// that comes back with another disk is another member.
type DiskID string

// Member is one entry VM with one disk.
type Member struct {
	VM   vm.ID  `json:"vm"`
	Disk DiskID `json:"disk"`
}

// IsZero reports whether m names nobody, for omitzero.
func (m Member) IsZero() bool { return m == Member{} }

// Config says whose votes count.
type Config struct {
	Voters  []Member `json:"voters"`
	Learner Member   `json:"learner,omitzero"` // receives the log and does not vote
}

// Votes reports whether m is a voter.
func (c Config) Votes(m Member) bool { return slices.Contains(c.Voters, m) }

// Disk returns the voter that runs on v.
func (c Config) Disk(v vm.ID) (Member, bool) {
	for _, m := range c.Voters {
		if m.VM == v {
			return m, true
		}
	}
	return Member{}, false
}

// others returns every member but self.
func (c Config) others(self Member) []Member {
	var others []Member
	for _, m := range c.Voters {
		if m != self {
			others = append(others, m)
		}
	}
	if !c.Learner.IsZero() && c.Learner != self {
		others = append(others, c.Learner)
	}
	return others
}

func (c Config) equal(o Config) bool {
	return c.Learner == o.Learner && slices.Equal(c.Voters, o.Voters)
}

// swaps reports whether o differs from c by the learner in place of the voter that
// ran on the same VM. The old disk is gone, since a VM has one: it votes and
// acknowledges no more. So a majority of c is one of the voters that stay, and
// overlaps every majority of o; what the old disk alone acknowledged besides, the
// learner holds, if it is caught up.
func (c Config) swaps(o Config) bool {
	old, votes := c.Disk(c.Learner.VM)
	if c.Learner.IsZero() || !votes || len(o.Voters) != len(c.Voters) {
		return false
	}
	for _, m := range c.Voters {
		if m != old && !o.Votes(m) {
			return false
		}
	}
	return o.Votes(c.Learner)
}

// oneStep reports whether the majorities of c and o always overlap, as they do
// when they differ by at most one voter.
func (c Config) oneStep(o Config) bool {
	differ := 0
	for _, m := range c.Voters {
		if !o.Votes(m) {
			differ++
		}
	}
	for _, m := range o.Voters {
		if !c.Votes(m) {
			differ++
		}
	}
	return differ <= 1
}
