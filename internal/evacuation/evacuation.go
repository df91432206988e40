// Package evacuation holds the failure domains that operators evacuate: nothing new may start on
// their workers until the evacuation is withdrawn. A [Set] is one state of all of them and never
// changes; of two orders for a failure domain, the one with the higher [Revision] is in force. Package keeper stores it on the
// control VMs' disks, package fleet distributes it.
package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"tamarackpin.example/internal/vm"
)

// Revision counts the orders of operators that were applied, over all failure domains. 0 stands for
// none.
type Revision uint64

// Domain is the newest order for a failure domain.
type Domain struct {
	FailureDomain vm.FailureDomain
	Revision      Revision  // of the order
	Evacuated     bool      // false once the evacuation was withdrawn
	Since         time.Time // local time at which the order was committed, or earlier
}

// Set has the newest order for each failure domain that ever had one. The zero Set has none.
type Set struct {
	domains map[vm.FailureDomain]Domain
}

// With returns s with the newest order of d replaced if that of d has a higher revision, else s.
func (s Set) With(d Domain) Set {
	if d.Revision <= s.domains[d.FailureDomain].Revision {
		return s
	}
	next := maps.Clone(s.domains)
	if next == nil {
		next = make(map[vm.FailureDomain]Domain)
	}
	next[d.FailureDomain] = d
	return Set{next}
}

// Revision returns the highest revision of s.
func (s Set) Revision() Revision {
	var highest Revision
	for _, d := range s.domains {
		highest = max(highest, d.Revision)
	}
	return highest
}

// RevisionOf returns the revision of the newest order for a failure domain, 0 if there was none.
func (s Set) RevisionOf(d vm.FailureDomain) Revision { return s.domains[d].Revision }

// Contains reports whether a failure domain is evacuated.
func (s Set) Contains(d vm.FailureDomain) bool { return s.domains[d].Evacuated }

// Count returns the number of evacuated failure domains.
func (s Set) Count() int {
	n := 0
	for _, d := range s.domains {
		if d.Evacuated {
			n++
		}
	}
	return n
}

// Age returns how long ago the newest order for a failure domain was committed, at least.
func (s Set) Age(now time.Time, d vm.FailureDomain) time.Duration {
	return max(0, now.Sub(s.domains[d].Since))
}

// Domains returns the newest orders, sorted by failure domain.
func (s Set) Domains() []Domain {
	return slices.SortedFunc(maps.Values(s.domains), func(a, b Domain) int { return cmp.Compare(a.FailureDomain, b.FailureDomain) })
}
