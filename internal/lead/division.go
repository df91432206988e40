package lead

import (
	"hash/fnv"
	"time"
)

// Group is the index, from 0, of a group of a failure domain's workers. Each
// group has its own dispatcher, and each job belongs to one group.
type Group int

// Division is how a failure domain's workers and jobs are partitioned into
// groups. The zero Division is one group. Of two Divisions, the one with the
// higher Epoch is in force.
type Division struct {
	Epoch  Fence `json:"epoch"` // lower than the fence of any claim under this Division
	Groups int   `json:"groups"`
}

// GroupCount returns the number of groups, at least 1.
func (d Division) GroupCount() int { return max(1, d.Groups) }

// GroupOf returns the group of the worker or job with this id.
func (d Division) GroupOf(id string) Group {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return Group(mixBits(h.Sum32()) % uint32(d.GroupCount()))
}

// mixBits is a hash finalizer: FNV-1a gives similar low bits to ids that differ
// only at their end.
func mixBits(x uint32) uint32 {
	x ^= x >> 16
	x *= 0x7feb352d
	return x ^ x>>15
}

const (
	// groupSize is the number of workers per dispatcher that a new Division aims
	// at. With up to 9 tasks a second per worker and 0.7 ms per task, a dispatcher
	// of that many uses two fifths of one of the strongest VMs of the grown
	// deployments (0.48 of a core).
	groupSize = 32
	// Workers are divided again if the average group is larger than maxGroupSize or
	// smaller than minGroupSize. The wide gap keeps the number of groups stable
	// while workers join and leave.
	maxGroupSize = 40
	minGroupSize = 20
	// divisionDelay is how long the wanted number of groups must stay the same
	// before it takes effect: workers announce themselves one after the other, every
	// 1.5 s.
	divisionDelay = 2 * time.Second
)

// Divider decides when the workers of a failure domain are divided again. The
// zero Divider is ready to use. It is not safe for concurrent use.
type Divider struct {
	wantedGroups int
	wantedSince  time.Time
}

// Tick returns the wanted number of groups, and whether a new Division should be
// made now. workers is the number of live workers, vms the number of entry VMs
// that can dispatch.
func (d *Divider) Tick(now time.Time, current Division, workers, vms int) (groups int, change bool) {
	n := current.GroupCount()
	wanted := n
	if workers > maxGroupSize*n || n > 1 && workers < minGroupSize*n {
		wanted = max(1, min(vms, (workers+groupSize-1)/groupSize))
	}
	if wanted != d.wantedGroups {
		d.wantedGroups, d.wantedSince = wanted, now
	}
	return wanted, wanted != n && now.Sub(d.wantedSince) >= divisionDelay
}
