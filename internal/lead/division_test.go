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

// divisionTrace feeds a Divider with a fixed number of workers every 200 ms, and applies what it decides.
type divisionTrace struct {
	now      time.Time
	divider  Divider
	division Division
	changes  []time.Duration // of the last run, since its begin
}

// run returns the number of groups after d.
func (s *divisionTrace) run(d time.Duration, in DivisionInput) int {
	s.changes = nil
	begin := s.now
	for ; s.now.Before(begin.Add(d)); s.now = s.now.Add(200 * time.Millisecond) {
		if groups, change := s.divider.Tick(s.now, s.division, in); change {
			s.division = Division{Epoch: s.division.Epoch + 1, Groups: groups}
			s.changes = append(s.changes, s.now.Sub(begin))
		}
	}
	return s.division.GroupCount()
}

// healthy is the input of a failure domain without faults and with little load.
func healthy(workers, vms int) DivisionInput {
	return DivisionInput{Workers: workers, VMs: vms, Reachable: true, WorkersKnown: true, Calm: true}
}

// Without load and faults, the number of groups grows soon after the number of workers, shrinks long after it, and
// stays the same within the limits of group size.
func TestDivider(t *testing.T) {
	s := &divisionTrace{now: time.Unix(1000, 0)}
	for _, c := range []struct{ workers, vms, want int }{
		{16, 3, 1}, {40, 3, 1}, {48, 3, 2}, {41, 3, 2}, {40, 3, 2}, {80, 3, 2}, {39, 3, 2}, {117, 16, 4}, {100, 16, 4}, {150, 16, 4}, {79, 16, 3}, {0, 16, 1}, {250, 2, 2},
	} {
		before := s.division.GroupCount()
		after := s.run(divisionDelay+time.Second, healthy(c.workers, c.vms))
		if c.want < before {
			if after != before {
				t.Errorf("%d workers: %d groups after %s, want %d still", c.workers, after, divisionDelay, before)
			}
			after = s.run(shrinkDelay, healthy(c.workers, c.vms))
		}
		if after != c.want {
			t.Errorf("%d workers on %d VMs: %d groups, want %d", c.workers, c.vms, after, c.want)
		}
		for _, at := range s.changes {
			if c.want > before && at < divisionDelay {
				t.Errorf("%d workers: divided after %s, want %s at least", c.workers, at, divisionDelay)
			}
		}
	}
}

// Guards against a division in the middle of a peak: two thirds of the workers leave, or are hidden by a
// partition, while callers use all that is left. The number of groups shrinks only once the workers have been
// missing for shrinkDelay, with all VMs in contact, and the load is low.
func TestDividerKeepsGroupsUnderLoadAndFaults(t *testing.T) {
	few := healthy(39, 16)
	with := func(change func(*DivisionInput)) DivisionInput {
		in := few
		change(&in)
		return in
	}
	busy := with(func(in *DivisionInput) { in.Calm = false })
	cutOff := with(func(in *DivisionInput) { in.Reachable = false })
	hidden := with(func(in *DivisionInput) { in.WorkersKnown = false })
	for _, c := range []struct {
		name  string
		steps []DivisionInput // for 40 s each
		want  int             // groups after them, of 4
	}{
		{"workers leave during a peak that lasts", []DivisionInput{busy, busy, busy, busy}, 4},
		{"workers leave for good, and the peak ends later", []DivisionInput{busy, busy, few}, 2},
		{"half of the workers are hidden by a partition, which heals", []DivisionInput{few, healthy(117, 16), few, healthy(117, 16), few}, 4},
		{"all control VMs are lost, so announcements are missing", []DivisionInput{hidden, hidden, hidden}, 4},
		{"an entry VM is lost for a while", []DivisionInput{few, cutOff, few}, 4},
		{"an entry VM is lost, and the fleet shrinks for good", []DivisionInput{few, cutOff, few, few}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &divisionTrace{now: time.Unix(1000, 0), division: Division{Epoch: 1, Groups: 4}}
			got := 4
			for _, in := range c.steps {
				got = s.run(40*time.Second, in)
			}
			if got != c.want {
				t.Errorf("%d groups, want %d", got, c.want)
			}
		})
	}
}

// Guards against a group that outgrows its dispatcher during a peak: it is divided although that costs a pause.
func TestDividerGrowsUnderLoad(t *testing.T) {
	in := healthy(117, 16)
	in.Calm = false
	s := &divisionTrace{now: time.Unix(1000, 0)}
	if got := s.run(divisionDelay+time.Second, in); got != 4 {
		t.Errorf("117 workers in one group under load: %d groups, want 4", got)
	}
	in.Reachable = false
	in.Workers = 300
	if got := s.run(divisionDelay+time.Second, in); got != 4 {
		t.Errorf("300 workers while a VM is not reachable: %d groups, want 4 still", got)
	}
}

// After a division, VMs of about the same strength lead one group each, and a lost leader is
// succeeded by a VM that leads no group (issue 12). A VM of less than half the processor of
// another leads none: dispatchers of 0.144 of a core answered quick jobs 45 ms later than those
// of 0.48 of a core.
func TestGroupsGoToVMsWithProcessor(t *testing.T) {
	for _, c := range []struct {
		name       string
		processors []vm.Processor
		first      string // leaders of the three groups
		afterLoss  string // of the second leader
	}{
		{"alike", []vm.Processor{540, 530, 520, 510, 500}, "[0 1 2]", "[0 3 2]"},
		{"unknown", []vm.Processor{0, 0, 0, 0, 0}, "[0 1 2]", "[0 3 2]"},
		{"two strong ones", []vm.Processor{480, 480, 144, 144, 144}, "[0 1 0]", "[0 0 0]"},
		{"one strong one", []vm.Processor{144, 144, 480, 144, 144}, "[2 2 2]", "[0 1 3]"},
		{"one twice as strong", []vm.Processor{400, 201, 200, 199, 198}, "[0 1 2]", "[0 0 2]"},
	} {
		t.Run(c.name, func(t *testing.T) { testGroupLeaders(t, c.processors, c.first, c.afterLoss) })
	}
}

// testGroupLeaders elects the leaders of three groups among VMs with these processors, and again after the loss of the
// VM that leads the second group.
func testGroupLeaders(t *testing.T, processors []vm.Processor, wantFirst, wantAfterLoss string) {
	const groups = 3
	vms := len(processors)
	now := time.Unix(1000, 0)
	leaderships := make([][]*Leadership, vms)
	for i := range leaderships {
		first := New(now, vm.Presence{VM: vmID(i), Incarnation: 1, Processor: processors[i]})
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
	first := leaders()
	if got := fmt.Sprint(first); got != wantFirst {
		t.Fatalf("leaders %s, want %s", got, wantFirst)
	}
	dead[first[1]] = true
	advance(LeaderTimeout + probeDuration + 300*time.Millisecond)
	if got := fmt.Sprint(leaders()); got != wantAfterLoss {
		t.Errorf("leaders %s after the loss of VM %d, want %s", got, first[1], wantAfterLoss)
	}
}
