package group

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/worker"
)

// TestSettledDivisionNeedsNoRecovery: a process that restarts, as after the loss of all
// power, learns of the division that was in force for long. It must not wait until what
// dispatchers from before that division ordered has lapsed, as it must after a new one
// (incident inc-270b of kartela-print-grown: no start for 1.5 s).
func TestSettledDivisionNeedsNoRecovery(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		age     time.Duration
		settled bool
	}{{0, false}, {20 * time.Second, false}, {time.Minute, true}} {
		divider := lead.New(now, vm.Presence{VM: "ip-0a000002", Incarnation: 1})
		d := lead.Division{Epoch: divider.NextEpoch(now.Add(-c.age)), Groups: 2}
		g, _, _ := newTestGroup("ip-0a000001", now, nil)
		g.applyDivision(now, d)
		if settled := g.dividedAt.IsZero(); settled != c.settled {
			t.Errorf("a division of %s ago counts as settled: %v, want %v", c.age, settled, c.settled)
		}
	}
}

// TestDivisionExceedsFencesOfAllGroups: the dispatcher of another group has a clock that is ahead of that of the VM that divides the workers anew. The
// dispatchers of the new division had lower fences than that one, so that workers accepted its late orders and refused theirs.
func TestDivisionExceedsFencesOfAllGroups(t *testing.T) {
	const ahead = 8 * time.Second // of the difference of two clocks that the platform states
	g, _ := newLeadingGroup(t)
	now := time.Now()
	other := lead.New(now, vm.Presence{VM: "ip-0a000002", Incarnation: 1})
	g.division.Groups = 2
	g.groups = append(g.groups, newGroupState(other))
	claim := lead.Claim{Fence: other.NextEpoch(now.Add(ahead)), VM: "ip-0a000002", Incarnation: 1}
	g.groups[1].leadership.RecordClaim(now, "ip-0a000002", claim)
	for i := range 100 { // too many for two groups
		a := worker.Announcement{Worker: worker.ID(fmt.Sprint("i-", i)), Incarnation: 1, Service: "s", FailureDomain: g.self.FailureDomain}
		g.config.Knowledge.ObserveWorker(now, a, 0, nil)
	}
	for at := now; g.division.Epoch == 0 && at.Sub(now) < time.Minute; at = at.Add(workerUpdateInterval) {
		for i := range 3 { // VMs for four groups
			g.groups[0].leadership.RecordHeartbeat(at, vm.Presence{VM: vm.ID(fmt.Sprint("ip-0a00000", 2+i)), Incarnation: 1})
		}
		g.redivide(at)
	}
	if g.division.GroupCount() != 4 || g.division.Epoch <= claim.Fence {
		t.Errorf("division %+v after a claim with fence %d, want four groups and a higher epoch", g.division, claim.Fence)
	}
}

// TestNewDivisionIsNotSettledByClocks: a VM whose clock is ahead by as much as the platform states learns late of a division by one whose clock is behind, or
// either clock has just jumped. Until dispatchers that were paused meanwhile have lost their leases, it must not count as settled.
func TestNewDivisionIsNotSettledByClocks(t *testing.T) {
	const (
		clockError   = 8 * time.Second // of each clock, with a jump
		longestPause = 7 * time.Second
		leases       = 1500 * time.Millisecond
	)
	now := time.Now()
	divider := lead.New(now, vm.Presence{VM: "ip-0a000002", Incarnation: 1})
	for age := time.Duration(0); age <= longestPause+leases; age += 500 * time.Millisecond {
		g, _, _ := newTestGroup("ip-0a000001", now, nil)
		g.applyDivision(now, lead.Division{Epoch: divider.NextEpoch(now.Add(-age - 2*clockError)), Groups: 2})
		if g.dividedAt.IsZero() {
			t.Errorf("a division of %s ago counts as settled", age)
		}
	}
}

// TestDivisionAfterAnotherNeedsRecovery: a VM makes a division and is cut off before it tells of it; its clock is ahead. Others make the next one
// meanwhile, with a lower epoch, and dispatch under that until the cut ends. The earlier division is in force then, is old, and counted as
// settled, so that jobs submitted anew were not kept from starting beside their runs on workers of other groups.
func TestDivisionAfterAnotherNeedsRecovery(t *testing.T) {
	now := time.Now()
	divider := lead.New(now, vm.Presence{VM: "ip-0a000002", Incarnation: 1})
	old := lead.Division{Epoch: divider.NextEpoch(now.Add(-settledDivisionAge - time.Second)), Groups: 3}
	for name, dispatch := range map[string]func(g *Group){
		"under another division": func(g *Group) {
			g.applyDivision(now.Add(-time.Minute), lead.Division{Epoch: divider.NextEpoch(now.Add(-time.Minute)), Groups: 2})
		},
		"before the first division": func(g *Group) {
			g.groups[0].leadership.RecordClaim(now.Add(-time.Minute), "ip-0a000002", lead.Claim{Fence: 1, VM: "ip-0a000002", Incarnation: 1})
		},
	} {
		g, _, _ := newTestGroup("ip-0a000001", now, nil)
		dispatch(g)
		g.applyDivision(now, old)
		if !g.dividedAt.Equal(now) {
			t.Errorf("%s: the division that is in force from now on counts as made at %s", name, g.dividedAt)
		}
	}
}

// TestGroupsOfOneVMHaveFencesOfTheirOwn guards against two groups that one VM takes over at one tick with the same
// fence: replies are matched to pools by the fence, so the second group got none, had no workers and refused all jobs.
func TestGroupsOfOneVMHaveFencesOfTheirOwn(t *testing.T) {
	g, _ := newLeadingGroup(t)
	now := time.Now()
	g.applyDivision(now, lead.Division{Epoch: g.nextEpoch(now), Groups: 3})
	for at := now; at.Before(now.Add(time.Minute)) && !g.leadsAll(); at = at.Add(followerTickInterval) {
		g.tickLeaderships(at)
	}
	fences := make(map[lead.Fence]bool)
	for i, s := range g.groups {
		if s.pool == nil {
			t.Fatalf("group %d has no dispatcher", i)
		}
		fences[s.leadership.Claim().Fence] = true
	}
	if len(fences) != len(g.groups) {
		t.Errorf("%d fences for %d groups, want one each", len(fences), len(g.groups))
	}
}

// leadsAll reports whether g leads all groups.
func (g *Group) leadsAll() bool {
	return !slices.ContainsFunc(g.groups, func(s *groupState) bool { return s.pool == nil })
}
