// Package offload chooses the groups to which a gate offloads jobs. The reports of groups are up to
// 1.5 s old, and all gates read the same ones: if each picked the group with the most free slots,
// all would send their jobs there until the next report, and most would come back. A [Balancer]
// chooses at random, by the capacity that is probably left. It does no I/O, and the present time and
// the random number are arguments.
package offload

import (
	"slices"
	"time"

	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/vm"
)

const (
	// MaxGroups is the number of other groups that a job is offered to, one after the other: each
	// costs a round trip and a choice by the home group, out of half of the job's objective.
	MaxGroups = 3
	// localWeight is the weight of a group of the gate's own failure domain, relative to one
	// elsewhere with the same capacity left. It is low: a demand surge reaches all groups of a
	// failure domain.
	localWeight = 1.25
	// memory is how long a job sent or a refusal is remembered: reports are not used for longer
	// (fleet.Knowledge).
	memory = 2 * time.Second
)

// Candidate is a group with its last report.
type Candidate struct {
	pool.Report
	MadeAt time.Time // local time at which the report was made
	Local  bool      // of the gate's own failure domain
}

// Choice has what a job requires of the group that it is offloaded to.
type Choice struct {
	Candidates []Candidate
	Tasks      int                // number of the job's tasks
	Gates      int                // number of gates that probably offload to the same groups, with this one
	Tried      []pool.Destination // groups that have not run the job
	// NoHome reports that the job cannot run in its own failure domain. If no group has capacity left, it is offered to
	// one that may do it in time nevertheless, which the group tells at once.
	NoHome bool
}

// Balancer remembers what one gate has recently offloaded to each group. The zero Balancer
// remembers nothing. It is not safe for concurrent use.
type Balancer struct {
	groups map[groupKey]*history
}

// groupKey identifies a group, whichever VM has its dispatcher.
type groupKey struct {
	domain vm.FailureDomain
	group  lead.Group
	epoch  lead.Fence
}

func keyOf(d pool.Destination) groupKey { return groupKey{d.FailureDomain, d.Group, d.Epoch} }

// history is what a gate has offloaded to one group.
type history struct {
	sent      []sentJob // the oldest first
	refusedAt time.Time // when the group last returned a job; zero if never
}

type sentJob struct {
	at    time.Time
	tasks int
}

// Choose returns the group to which a job is offloaded next, and false if none has capacity left.
// random is uniform in [0, 1).
func (b *Balancer) Choose(now time.Time, c Choice, random float64) (Candidate, bool) {
	if len(c.Tried) >= MaxGroups {
		return Candidate{}, false
	}
	weights := make([]float64, len(c.Candidates))
	sum := 0.0
	for i, one := range c.Candidates {
		weights[i] = b.weight(now, c, one)
		sum += weights[i]
	}
	if sum == 0 && c.NoHome {
		for i, one := range c.Candidates {
			if !b.excluded(now, c, one) {
				weights[i] = 1
				sum++
			}
		}
	}
	at := random * sum
	chosen := -1
	for i, w := range weights {
		if w == 0 {
			continue
		}
		chosen = i // also if rounding leaves at above the last weight
		if at -= w; at < 0 {
			break
		}
	}
	if chosen < 0 {
		return Candidate{}, false
	}
	return c.Candidates[chosen], true
}

// excluded reports whether a group has returned this job, or any job since its last report.
func (b *Balancer) excluded(now time.Time, c Choice, one Candidate) bool {
	d := one.Destination()
	h := b.groups[keyOf(d)]
	refused := h != nil && !h.refusedAt.IsZero() && !one.MadeAt.After(h.refusedAt) && now.Sub(h.refusedAt) < memory
	return refused || slices.ContainsFunc(c.Tried, d.SameGroup)
}

// weight returns the weight of a group in the choice by its capacity, 0 if it has none left or is excluded.
func (b *Balancer) weight(now time.Time, c Choice, one Candidate) float64 {
	if !one.AcceptsOffload() || b.excluded(now, c, one) {
		return 0
	}
	left := one.FreeSlots
	if h := b.groups[keyOf(one.Destination())]; h != nil {
		left -= h.tasksSince(one.MadeAt) * max(1, c.Gates)
	}
	switch {
	case left < max(1, c.Tasks):
		return 0
	case one.Local:
		return localWeight * float64(left)
	}
	return float64(left)
}

// tasksSince returns the number of tasks sent since a report was made.
func (h *history) tasksSince(madeAt time.Time) int {
	n := 0
	for _, s := range h.sent {
		if s.at.After(madeAt) {
			n += s.tasks
		}
	}
	return n
}

// RecordSent notes that a job of so many tasks is offloaded to a group.
func (b *Balancer) RecordSent(now time.Time, to pool.Destination, tasks int) {
	h := b.history(now, to)
	h.sent = append(h.sent, sentJob{now, tasks})
}

// RecordRefusal notes that a group returned a job: it gets none before its next report.
func (b *Balancer) RecordRefusal(now time.Time, from pool.Destination) {
	b.history(now, from).refusedAt = now
}

// history returns the history of a group, and drops what is too old to matter.
func (b *Balancer) history(now time.Time, d pool.Destination) *history {
	for key, h := range b.groups {
		h.sent = slices.DeleteFunc(h.sent, func(s sentJob) bool { return now.Sub(s.at) >= memory })
		if len(h.sent) == 0 && now.Sub(h.refusedAt) >= memory {
			delete(b.groups, key)
		}
	}
	if b.groups == nil {
		b.groups = make(map[groupKey]*history)
	}
	h := b.groups[keyOf(d)]
	if h == nil {
		h = &history{}
		b.groups[keyOf(d)] = h
	}
	return h
}
