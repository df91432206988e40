package fleet

import (
	"cmp"
	"slices"
	"time"

	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/offload"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/vm"
)

// groupKey identifies a group of workers in the deployment.
type groupKey struct {
	domain vm.FailureDomain
	group  lead.Group
}

// receivedReport is a group's Report with the local time at which it was made.
type receivedReport struct {
	pool.Report
	madeAt time.Time
}

// reportMaxAge is how long a Report is used: two sync calls to a control VM.
const reportMaxAge = 1500 * time.Millisecond

// SetReports replaces the reports of the groups that this VM leads. The list must
// not be modified afterwards.
func (k *Knowledge) SetReports(list []pool.Report) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.own = list
}

func (k *Knowledge) ownReports() []pool.Report {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.own
}

// RecordReport records a Report of a group that this VM does not lead, made at madeAt.
func (k *Knowledge) RecordReport(madeAt time.Time, r pool.Report) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.recordReport(madeAt, r)
}

// recordReport records a Report unless one under a higher fence, or one as late
// under the same fence, is known. k.mu is held.
func (k *Knowledge) recordReport(madeAt time.Time, r pool.Report) {
	key := groupKey{r.FailureDomain, r.Group}
	old, known := k.reports[key]
	if known && (r.Fence < old.Fence || r.Fence == old.Fence && !madeAt.After(old.madeAt)) {
		return
	}
	if k.reports == nil {
		k.reports = make(map[groupKey]receivedReport)
	}
	k.reports[key] = receivedReport{r, madeAt}
}

// SpareGroups returns the groups to which jobs of this failure domain's group own may be offloaded,
// sorted, with their last reports, whether or not they have capacity left. Evacuated failure domains are left out.
func (k *Knowledge) SpareGroups(now time.Time, own lead.Group) []offload.Candidate {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []offload.Candidate
	for key, r := range k.reports {
		isLocal := key.domain == k.self.FailureDomain
		if isLocal && (key.group == own || r.Epoch == 0) || now.Sub(r.madeAt) >= reportMaxAge || k.evacuations.Contains(key.domain) {
			continue
		}
		list = append(list, offload.Candidate{Report: r.Report, MadeAt: r.madeAt, Local: isLocal})
	}
	slices.SortFunc(list, func(a, b offload.Candidate) int {
		return cmp.Or(cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.Group, b.Group))
	})
	return list
}

// CountGates returns the number of entry VMs of this VM's failure domain that accept callers' jobs, as far as is
// known, at least 1: this one.
func (k *Knowledge) CountGates() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 1
	for p := range k.roster.All {
		if p.Callers && !p.Draining && p.FailureDomain == k.self.FailureDomain {
			n++
		}
	}
	return n
}

// ReportOf returns the last report of a group, or one that only names it if there is none that may be
// used.
func (k *Knowledge) ReportOf(now time.Time, d pool.Destination) pool.Report {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, known := k.reports[groupKey{d.FailureDomain, d.Group}]
	if known && now.Sub(r.madeAt) < reportMaxAge && d.SameGroup(r.Destination()) {
		return r.Report
	}
	return pool.Report{FailureDomain: d.FailureDomain, Group: d.Group, Epoch: d.Epoch, VM: d.VM}
}

// DomainIsCalm reports whether each group of this VM's failure domain has reported lately, under
// this division, at least one free slot for each of its workers.
func (k *Knowledge) DomainIsCalm(now time.Time, d lead.Division) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	workers := make([]int, d.GroupCount())
	for r := range k.registry.All {
		if r.FailureDomain == k.self.FailureDomain && r.Usable(now) {
			workers[d.GroupOf(string(r.Worker))]++
		}
	}
	free := make(map[lead.Group]int)
	for key, r := range k.reports {
		if key.domain == k.self.FailureDomain && r.Epoch == d.Epoch && now.Sub(r.madeAt) < reportMaxAge {
			free[key.group] = r.FreeSlots
		}
	}
	for _, r := range k.own {
		if r.Epoch == d.Epoch {
			free[r.Group] = r.FreeSlots
		}
	}
	for g, n := range workers {
		slots, reported := free[lead.Group(g)]
		if !reported || slots < n {
			return false
		}
	}
	return true
}
