package queue

import (
	"math"
	"time"
)

// Parameters of the slots reserved for urgent tasks.
const (
	// averagingTime is the time constant of the moving average of urgent demand.
	averagingTime = 2 * time.Second
	// reserveStdDevs is how many standard deviations above the average demand are
	// reserved, as if urgent tasks arrived independently (Poisson). A larger
	// reserve cost the other rows more than the urgent ones gained
	// (docs/EXPERIMENTS.md).
	reserveStdDevs = 1
	// minReserveDemand is the average demand below which nothing is reserved.
	minReserveDemand = 0.05
	// maxReservePart is the largest fraction of all slots that is reserved.
	maxReservePart = 0.3
)

// Reserve computes how many slots to reserve for urgent tasks, so that these do
// not wait for a long task that is not urgent. It follows the urgent demand, so
// that other tasks do not lose slots that nobody needs. The zero Reserve reserves
// none.
type Reserve struct {
	averageDemand float64
	observedAt    time.Time
}

// Observe records how many urgent tasks wait or run now.
func (r *Reserve) Observe(now time.Time, urgent int) {
	if r.observedAt.IsZero() {
		r.observedAt = now
	}
	weight := 1 - math.Exp(-now.Sub(r.observedAt).Seconds()/averagingTime.Seconds())
	r.averageDemand += weight * (float64(urgent) - r.averageDemand)
	r.observedAt = now
}

// Slots returns how many of total slots to reserve.
func (r *Reserve) Slots(total int) int {
	if r.averageDemand < minReserveDemand {
		return 0
	}
	wanted := math.Ceil(r.averageDemand + reserveStdDevs*math.Sqrt(r.averageDemand))
	return int(min(wanted, maxReservePart*float64(total)))
}
