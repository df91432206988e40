package lead

import (
	"hash/fnv"
	"time"
)

// Group numbers the groups of a failure domain's workers from 0. Each has a
// dispatcher, and each job belongs to one.
type Group int

// Division says into how many groups the workers of a failure domain are
// divided. The zero Division is one group. Of two the one with the higher Epoch
// counts.
type Division struct {
	Epoch  Fence `json:"epoch"` // below the fences of all claims under it
	Groups int   `json:"groups"`
}

// GroupCount returns the number of groups.
func (d Division) GroupCount() int { return max(1, d.Groups) }

// GroupOf returns the group of a worker or a job, by its id.
func (d Division) GroupOf(id string) Group {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return Group(mixBits(h.Sum32()) % uint32(d.GroupCount()))
}

// mixBits spreads the bits of a hash: the low ones of ids that differ at their end only
// are alike.
func mixBits(x uint32) uint32 {
	x ^= x >> 16
	x *= 0x7feb352d
	return x ^ x>>15
}

// Bounds of a Division.
const (
	// groupSize is the number of workers that one dispatcher is meant for: at up
	// to 9 tasks a second on each and 0.7 ms for a task, two fifths of the strongest
	// VMs of the grown deployments (0.48 of a core).
	groupSize = 32
	// maxGroupSize and minGroupSize are the sizes of groups beyond which the
	// workers are divided anew; they lie far enough apart that workers that come
	// and go do not make the number of groups swing.
	maxGroupSize = 40
	minGroupSize = 20
	// divisionDelay is how long another number of groups must be wanted: workers
	// announce themselves one after the other, every 1.5 s.
	divisionDelay = 2 * time.Second
)

// Divider decides when workers are divided anew. It is not safe for concurrent
// use. The zero Divider has seen nothing.
type Divider struct {
	wantedGroups int
	wantedSince  time.Time
}

// Tick returns into how many groups the workers should be divided from now on,
// and whether that is another number than now. vms is the number of VMs that can
// dispatch.
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
