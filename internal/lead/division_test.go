package lead

import (
	"fmt"
	"testing"
	"time"

	"tamarackpin.example/internal/vm"
)

// Groups get about the same number of workers and jobs for every pattern of ids
// (issue 12).
func TestDivisionIsEven(t *testing.T) {
	d := Division{Epoch: 1, Groups: 4}
	for _, pattern := range []string{"i-%d", "i-%08x", "worker-%d.zone", "%016x"} {
		sizes := make([]int, d.GroupCount())
		for i := range 4000 {
			sizes[d.GroupOf(fmt.Sprintf(pattern, i))]++
		}
		for g, n := range sizes {
			if n < 850 || n > 1150 {
				t.Errorf("ids of pattern %s: group %d has %d of 4000, want 850 to 1150", pattern, g, n)
			}
		}
	}
	if g := (Division{}).GroupOf("any"); g != 0 {
		t.Errorf("zero Division: group %d, want 0", g)
	}
}

// The number of groups follows the number of workers after divisionDelay, and
// stays the same while workers join and leave within the limits of group size.
func TestDivider(t *testing.T) {
	now := time.Unix(1000, 0)
	var d Divider
	division := Division{}
	for _, c := range []struct{ workers, vms, want int }{
		{16, 3, 1}, {40, 3, 1}, {48, 3, 2}, {41, 3, 2}, {40, 3, 2}, {80, 3, 2}, {39, 3, 2}, {117, 16, 4}, {100, 16, 4}, {150, 16, 4}, {79, 16, 3}, {0, 16, 1}, {250, 2, 2},
	} {
		until := now.Add(divisionDelay + time.Second)
		for ; now.Before(until); now = now.Add(200 * time.Millisecond) {
			if groups, change := d.Tick(now, division, c.workers, c.vms); change {
				if now.Before(until.Add(-time.Second - 200*time.Millisecond)) {
					t.Errorf("%d workers: divided after less than %s", c.workers, divisionDelay)
				}
				division = Division{Epoch: division.Epoch + 1, Groups: groups}
			}
		}
		if division.GroupCount() != c.want {
			t.Errorf("%d workers on %d VMs: %d groups, want %d", c.workers, c.vms, division.GroupCount(), c.want)
		}
	}
}

// After a division, each group is claimed by a different VM, and a lost leader is
// succeeded by a VM that leads no group (issue 12).
func TestGroupsGoToDifferentVMs(t *testing.T) {
	const vms, groups = 5, 3
	now := time.Unix(1000, 0)
	leaderships := make([][]*Leadership, vms)
	for i := range leaderships {
		first := New(now, vm.Presence{VM: vmID(i), Incarnation: 1, Processor: vm.Processor(100 * (vms - i))})
		for range groups {
			leaderships[i] = append(leaderships[i], first.ForDivision(1))
		}
	}
	dead := make(map[int]bool)
	advance := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(tickInterval) {
			for i, list := range leaderships {
				if dead[i] {
					continue
				}
				others := OtherGroups{GroupsLed: make(map[vm.ID]int)}
				for _, l := range list {
					if leader, hasLeader := l.Leader(now); hasLeader {
						others.GroupsLed[leader]++
					}
				}
				for g, l := range list {
					needsLeader := l.NeedsLeader(now)
					l.Tick(now, now, others)
					if needsLeader {
						others.LeaderlessBefore++
					}
					for j, o := range leaderships {
						if i != j && !dead[j] && now.UnixMilli()%160 == 0 {
							o[g].RecordHeartbeat(now, l.self)
							o[g].RecordClaim(now, vmID(i), l.Claim())
						}
					}
				}
			}
		}
	}
	leaders := func() (list []int) {
		for g := range groups {
			for i := range leaderships {
				if !dead[i] && leaderships[i][g].IsLeader() {
					list = append(list, i)
				}
			}
		}
		return list
	}
	advance(1500 * time.Millisecond)
	if got := fmt.Sprint(leaders()); got != "[0 1 2]" {
		t.Errorf("leaders %s, want [0 1 2], the three strongest VMs", got)
	}
	dead[1] = true
	advance(LeaderTimeout + probeDuration + 300*time.Millisecond)
	if got := fmt.Sprint(leaders()); got != "[0 3 2]" {
		t.Errorf("leaders %s after the loss of VM 1, want [0 3 2]: its successor led no group before", got)
	}
}
