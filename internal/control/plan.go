package control

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"tamarackpin.example/internal/ledger"
	"tamarackpin.example/internal/submission"
	"tamarackpin.example/internal/vm"
)

// AbandonAfter is how long a ledger waits for a silent entry VM that alone
// holds its state, while others of the failure domain are there.
const AbandonAfter = time.Minute

// freshWithin is how recently an entry VM must have been heard for another to
// be replaced in its favour. Of two that are cut off together one falls silent a
// little earlier; the other is no witness that only the first is gone.
const freshWithin = vm.DeadAfter - 2*vm.HeartbeatEvery

// Planner repairs the assignments of ledgers for the quorum's leader. It is
// not safe for concurrent use.
type Planner struct {
	Ledgers int // in each failure domain
	VMs     []vm.State
	// silent says since when the holder of a ledger's only copy is not heard.
	silent map[submission.LedgerID]time.Time
}

// Plan returns the changes of assignments that s needs, given the entry VMs
// that are alive.
func (p *Planner) Plan(now time.Time, s *State, domains []vm.FailureDomain, living []vm.State) []Assign {
	p.VMs = living
	var plan []Assign
	for _, d := range domains {
		for n := range p.Ledgers {
			id := submission.LedgerID{FailureDomain: d, Number: n}
			a := s.assignments[id]
			if next, ok := p.next(now, id, a); ok {
				plan = append(plan, Assign{Generation: a.Generation, Epoch: a.Epoch, Next: next})
			}
		}
	}
	return plan
}

// next returns the assignment that should follow a, if any.
func (p *Planner) next(now time.Time, id submission.LedgerID, a ledger.Assignment) (ledger.Assignment, bool) {
	if a.Generation == 0 {
		return p.begin(id, 1)
	}
	if p.alive(a.Primary) {
		delete(p.silent, id)
		if !p.fresh(now, a.Primary) {
			return a, false
		}
		return p.repair(a)
	}
	if p.alive(a.Backup) {
		delete(p.silent, id)
		if !p.fresh(now, a.Backup) || !p.missing(a.Primary, a.Backup.VM) {
			return a, false
		}
		return advance(a, func(n *ledger.Assignment) {
			n.Primary, n.Backup, n.Joining = a.Backup, ledger.Holder{}, ledger.Holder{}
		}), true
	}
	if !p.lost(now, id, a) {
		return a, false
	}
	delete(p.silent, id)
	return p.begin(id, a.Generation+1)
}

// repair gives a ledger whose primary lives a backup that lives.
func (p *Planner) repair(a ledger.Assignment) (ledger.Assignment, bool) {
	switch {
	case !a.Backup.IsZero() && !p.alive(a.Backup):
		return advance(a, func(n *ledger.Assignment) { n.Backup = ledger.Holder{} }), true
	case !a.Backup.IsZero():
		return a, false
	case !a.Joining.IsZero() && p.alive(a.Joining):
		return a, false
	}
	candidate, ok := p.pick(a.Ledger, a.Primary)
	if !ok && a.Joining.IsZero() {
		return a, false
	}
	return advance(a, func(n *ledger.Assignment) { n.Joining = candidate }), true
}

func advance(a ledger.Assignment, change func(*ledger.Assignment)) ledger.Assignment {
	a.Epoch++
	change(&a)
	return a
}

// lost reports whether the state of a is gone for good: its holders restarted,
// or are silent for so long that the failure domain should not wait for them.
func (p *Planner) lost(now time.Time, id submission.LedgerID, a ledger.Assignment) bool {
	if p.superseded(a.Primary) && (a.Backup.IsZero() || p.superseded(a.Backup)) {
		return true
	}
	if p.silent == nil {
		p.silent = make(map[submission.LedgerID]time.Time)
	}
	since, known := p.silent[id]
	if !known {
		p.silent[id] = now
		return false
	}
	if now.Sub(since) < AbandonAfter {
		return false
	}
	return slices.ContainsFunc(p.VMs, func(s vm.State) bool { return s.Heartbeat.FailureDomain == id.FailureDomain })
}

// begin returns the first assignment of a generation. Its backup needs no
// transfer, as there is no state yet.
func (p *Planner) begin(id submission.LedgerID, g submission.Generation) (ledger.Assignment, bool) {
	primary, ok := p.pick(id, ledger.Holder{})
	if !ok || p.domain(primary) != id.FailureDomain {
		return ledger.Assignment{}, false
	}
	backup, _ := p.pick(id, primary)
	return ledger.Assignment{Ledger: id, Generation: g, Epoch: 1, Primary: primary, Backup: backup}, true
}

// pick returns the living entry VM, other than not, that should hold a copy of
// id: of its own failure domain if there is one, and by rendezvous hashing
// among those.
func (p *Planner) pick(id submission.LedgerID, not ledger.Holder) (ledger.Holder, bool) {
	var candidates []vm.State
	for _, s := range p.VMs {
		if s.Heartbeat.VM != not.VM && !s.Heartbeat.Draining {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return ledger.Holder{}, false
	}
	best := slices.MinFunc(candidates, func(a, b vm.State) int {
		ownA, ownB := a.Heartbeat.FailureDomain == id.FailureDomain, b.Heartbeat.FailureDomain == id.FailureDomain
		if ownA != ownB {
			if ownA {
				return -1
			}
			return 1
		}
		return cmp.Compare(rank(id, b.Heartbeat.VM), rank(id, a.Heartbeat.VM))
	})
	return holder(best), true
}

func holder(s vm.State) ledger.Holder {
	return ledger.Holder{VM: s.Heartbeat.VM, Incarnation: s.Heartbeat.Incarnation}
}

func rank(id submission.LedgerID, v vm.ID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id.String()))
	h.Write([]byte{0})
	h.Write([]byte(v))
	return h.Sum64()
}

func (p *Planner) alive(h ledger.Holder) bool {
	return !h.IsZero() && slices.ContainsFunc(p.VMs, func(s vm.State) bool { return holder(s) == h })
}

// fresh reports whether h was heard a moment ago.
func (p *Planner) fresh(now time.Time, h ledger.Holder) bool {
	return slices.ContainsFunc(p.VMs, func(s vm.State) bool { return holder(s) == h && now.Sub(s.Heard) < freshWithin })
}

// missing reports whether h runs no more or witness does not hear it either. When
// a cut heals, some of those who were cut off are heard before the others: a
// backup that has its primary beside it says so.
func (p *Planner) missing(h ledger.Holder, witness vm.ID) bool {
	return p.superseded(h) || slices.ContainsFunc(p.VMs, func(s vm.State) bool {
		return s.Heartbeat.VM == witness && slices.Contains(s.Heartbeat.Silent, h.VM)
	})
}

// superseded reports whether a later run of h's VM is alive.
func (p *Planner) superseded(h ledger.Holder) bool {
	return slices.ContainsFunc(p.VMs, func(s vm.State) bool {
		return s.Heartbeat.VM == h.VM && s.Heartbeat.Incarnation > h.Incarnation
	})
}

func (p *Planner) domain(h ledger.Holder) vm.FailureDomain {
	for _, s := range p.VMs {
		if s.Heartbeat.VM == h.VM {
			return s.Heartbeat.FailureDomain
		}
	}
	return ""
}
