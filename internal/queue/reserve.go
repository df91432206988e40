package queue

import (
	"math"
	"time"
)

// Rules for the slots that are kept for urgent tasks.
const (
	// reserveMemory is the time over which urgent demand is averaged.
	reserveMemory = 2 * time.Second
	// reserveSpread is how many standard deviations above the average demand are
	// kept, as if urgent tasks came independently of each other. More cost the
	// other rows more than they gave the urgent ones (docs/EXPERIMENTS.md).
	reserveSpread = 1
	// reserveLeast is the average demand under which nothing is kept.
	reserveLeast = 0.05
	// reserveMost is the part of all slots that may be kept.
	reserveMost = 0.3
)

// Reserve works out how many slots to keep for urgent tasks, so that these do
// not wait for a long task that is not urgent, and so that the others do not pay
// for slots that nobody needs. The zero Reserve keeps none.
type Reserve struct {
	average float64
	seen    time.Time
}

// Observe takes in how many urgent tasks wait or run now.
func (r *Reserve) Observe(now time.Time, urgent int) {
	if r.seen.IsZero() {
		r.seen = now
	}
	weight := 1 - math.Exp(-now.Sub(r.seen).Seconds()/reserveMemory.Seconds())
	r.average += weight * (float64(urgent) - r.average)
	r.seen = now
}

// Slots returns how many of total slots to keep.
func (r *Reserve) Slots(total int) int {
	if r.average < reserveLeast {
		return 0
	}
	wanted := math.Ceil(r.average + reserveSpread*math.Sqrt(r.average))
	return int(min(wanted, reserveMost*float64(total)))
}
