package keeper

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"tamarackpin.example/internal/evacuation"
	"tamarackpin.example/internal/vm"
)

// order is an operator's order to evacuate a failure domain, or to withdraw that, as a log entry.
type order struct {
	FailureDomain vm.FailureDomain `json:"failure_domain"`
	Evacuated     bool             `json:"evacuated,omitempty"`
	// Known is the revision of the failure domain that the proposer knew. The order is applied only
	// if it is still that one.
	Known evacuation.Revision `json:"known,omitempty"`
	// Proposed is the leader's time of day when it proposed the order, in Unix milliseconds.
	Proposed int64 `json:"proposed,omitempty"`
}

// storedOrder is the newest order for a failure domain, as snapshots have it.
type storedOrder struct {
	FailureDomain vm.FailureDomain    `json:"failure_domain"`
	Revision      evacuation.Revision `json:"revision"`
	Evacuated     bool                `json:"evacuated,omitempty"`
	// Proposed is that of the first of the last orders that say the same.
	Proposed int64     `json:"proposed"`
	since    time.Time // on this VM's clock
}

// orders has the newest order for each failure domain that ever had one. Its members hold the same on
// all disks, but for the local times. The zero value has none.
type orders struct {
	newest map[vm.FailureDomain]storedOrder
	set    evacuation.Set
}

// apply applies an order if the revision of its failure domain is the one that its proposer knew, and reports whether
// it did. Each applied order gets a revision, also one that changes nothing: so a copy of an earlier
// order, proposed with an earlier revision, cannot win over one that was acknowledged. The
// outcome does not depend on now, which only dates the order.
func (s *orders) apply(now time.Time, o order) bool {
	old := s.newest[o.FailureDomain]
	if old.Revision != o.Known {
		return false
	}
	next := storedOrder{o.FailureDomain, s.set.Revision() + 1, o.Evacuated, o.Proposed, since(now, o.Proposed)}
	if old.Revision > 0 && old.Evacuated == o.Evacuated {
		next.Proposed, next.since = old.Proposed, old.since
	}
	s.put(next)
	return true
}

func (s *orders) put(o storedOrder) {
	if s.newest == nil {
		s.newest = make(map[vm.FailureDomain]storedOrder)
	}
	s.newest[o.FailureDomain] = o
	s.set = s.set.With(evacuation.Domain{FailureDomain: o.FailureDomain, Revision: o.Revision, Evacuated: o.Evacuated, Since: o.since})
}

// since returns when an order was committed, on this VM's clock, or an earlier time. An order is
// applied after it was committed, so it is now at the latest. It is earlier by the difference of the times of day if
// that is positive: an entry read back from the disk, or one that reached this member late, may be old. A
// wrong time of day can make an order appear older than it is, which only ends the grace period of the evacuation early.
func since(now time.Time, proposed int64) time.Time {
	return now.Add(-max(0, now.Round(0).Sub(time.UnixMilli(proposed))))
}

// list returns the orders as a snapshot has them, sorted by failure domain.
func (s *orders) list() []storedOrder {
	return slices.SortedFunc(maps.Values(s.newest), func(a, b storedOrder) int { return cmp.Compare(a.FailureDomain, b.FailureDomain) })
}

// ordersOf returns the orders of a snapshot.
func ordersOf(now time.Time, list []storedOrder) orders {
	var s orders
	for _, o := range list {
		o.since = since(now, o.Proposed)
		s.put(o)
	}
	return s
}
