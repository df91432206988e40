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
	// The number of groups grows if the average group has more than maxGroupSize workers,
	// more than its dispatcher can carry, and may shrink if it has fewer than minGroupSize. The
	// wide gap keeps the number of groups stable while workers join and leave.
	maxGroupSize = 40
	minGroupSize = 20
	// divisionDelay is how long the wanted number of groups must stay the same
	// before it takes effect: workers announce themselves one after the other, every
	// 1.5 s.
	divisionDelay = 2 * time.Second
	// shrinkDelay is how long there must be too few workers before the number of groups
	// shrinks: longer than the partitions and restarts that the platform states, after which the
	// workers are back. A new Division stops every run of the failure domain, which under load
	// costs callers more than small groups do: these offload jobs, and one VM can lead several.
	shrinkDelay = time.Minute
)

// DivisionInput is what a [Divider] decides on.
type DivisionInput struct {
	Workers int // live workers of the failure domain
	VMs     int // entry VMs that can dispatch
	// Reachable reports that all VMs of the failure domain are in contact, so that a new Division
	// reaches them.
	Reachable bool
	// WorkersKnown reports that a control VM is in contact, so that workers that are missing are
	// not only cut off with the control VMs to which they announce themselves.
	WorkersKnown bool
	// Calm reports that the workers have so much free capacity that callers would hardly notice
	// the pause of a new Division.
	Calm bool
}

// Divider decides when the workers of a failure domain are divided again. It answers two load
// patterns: groups that outgrow their dispatchers, which are divided soon, and workers that are
// lost or hidden during a peak, for which nothing changes until they have been missing for long
// and the load is low. The zero Divider is ready to use. It is not safe for concurrent use.
type Divider struct {
	wantedGroups int
	wantedSince  time.Time
	fewSince     time.Time // since when there have been too few workers, with all VMs in contact; zero if that does not hold
	calmSince    time.Time // since when the load has been low; zero if it is not
}

// Tick returns the wanted number of groups, and whether a new Division should be
// made now.
func (d *Divider) Tick(now time.Time, current Division, in DivisionInput) (groups int, change bool) {
	n := current.GroupCount()
	tooFew := n > 1 && in.Workers < minGroupSize*n
	wanted := n
	if in.Workers > maxGroupSize*n || tooFew {
		wanted = max(1, min(in.VMs, (in.Workers+groupSize-1)/groupSize))
	}
	if wanted != d.wantedGroups {
		d.wantedGroups, d.wantedSince = wanted, now
	}
	trackSince(&d.fewSince, now, tooFew && in.Reachable && in.WorkersKnown)
	trackSince(&d.calmSince, now, in.Calm)
	settled := in.Reachable && now.Sub(d.wantedSince) >= divisionDelay
	switch {
	case wanted > n:
		return wanted, settled
	case wanted < n:
		return wanted, settled && lasted(d.fewSince, now, shrinkDelay) && lasted(d.calmSince, now, divisionDelay)
	}
	return n, false
}

// trackSince keeps in since the time from which holds has been true without a break, zero if it
// is false.
func trackSince(since *time.Time, now time.Time, holds bool) {
	switch {
	case !holds:
		*since = time.Time{}
	case since.IsZero():
		*since = now
	}
}

// lasted reports whether a condition has held from since on for at least d.
func lasted(since, now time.Time, d time.Duration) bool {
	return !since.IsZero() && now.Sub(since) >= d
}
