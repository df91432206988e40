package lead

import (
	"cmp"
	"slices"
	"time"

	"tamarackpin.example/internal/vm"
)

// OtherGroups summarizes the elections of the other groups of the failure domain.
type OtherGroups struct {
	GroupsLed        map[vm.ID]int // number of groups that each VM leads
	LeaderlessBefore int           // number of groups with a lower index that need a leader
	// HighestFence is the highest fence known in any group. A claim exceeds it: orders of two
	// groups that one VM leads are told apart by their fences.
	HighestFence Fence
}

// isNextLeader reports whether this process is the candidate that should claim.
func (l *Leadership) isNextLeader(now time.Time, o OtherGroups) bool {
	candidates := []vm.Presence{l.self}
	for _, p := range l.LivePeers(now) {
		candidates = append(candidates, p.Presence)
	}
	if remaining := slices.DeleteFunc(slices.Clone(candidates), func(p vm.Presence) bool { return p.Draining }); len(remaining) > 0 {
		candidates = remaining
	}
	return o.nextLeader(candidates) == l.self.VM
}

// nextLeader returns the candidate that should lead this group. The leaderless groups before it
// are assigned first, each to the best candidate given those before: a group goes to the VM
// that has the most processor for it, the resource that a dispatcher needs most. So a strong VM
// may lead two groups before a weak one leads any, which would be late with all its jobs.
func (o OtherGroups) nextLeader(candidates []vm.Presence) vm.ID {
	led := make(map[vm.ID]int, len(candidates))
	for _, c := range candidates {
		led[c.VM] = o.GroupsLed[c.VM]
	}
	var best vm.Presence
	for range o.LeaderlessBefore + 1 {
		best = slices.MinFunc(candidates, func(a, b vm.Presence) int { return compareCandidates(a, led[a.VM], b, led[b.VM]) })
		led[best.VM]++
	}
	return best.VM
}

// compareCandidates is the order of succession: the VM with the most processor for each of its
// groups, if it leads one more than now; then the one that leads the fewest, and the lowest id.
func compareCandidates(a vm.Presence, ledByA int, b vm.Presence, ledByB int) int {
	return cmp.Or(cmp.Compare(int(b.Processor)*(ledByA+1), int(a.Processor)*(ledByB+1)), cmp.Compare(ledByA, ledByB), cmp.Compare(a.VM, b.VM))
}
