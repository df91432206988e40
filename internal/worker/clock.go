package worker

import "time"

// ClockEstimate estimates the present reading of a worker's clock from the
// readings that the worker sends. The zero ClockEstimate has no reading.
type ClockEstimate struct {
	clock Clock
	at    time.Time
	known bool
}

// Observe records a reading c that the worker took no later than now.
func (e *ClockEstimate) Observe(now time.Time, c Clock) {
	if e.known && c < e.Now(now) && now.Sub(e.at) < readingLifetime {
		return // this reading was delayed longer than the present one
	}
	e.clock, e.at, e.known = c, now, true
}

// readingLifetime is how long a reading is preferred to later ones that imply a
// lower clock. The largest drift in this time is less than the slack of the
// shortest lease.
const readingLifetime = time.Second

// Now returns a lower bound of the clock's reading at now, except for its drift
// since the last observation.
func (e *ClockEstimate) Now(now time.Time) Clock { return e.clock + Clock(now.Sub(e.at)) }

// Known reports whether there is a reading.
func (e *ClockEstimate) Known() bool { return e.known }

// ReachedBy returns the local time by which the clock has reached c even if it is
// slow by ClockDrift.
func (e *ClockEstimate) ReachedBy(now time.Time, c Clock) time.Time {
	behind := time.Duration(ClockDrift * float64(now.Sub(e.at)))
	return LapsedBy(now, time.Duration(c-e.Now(now))+behind)
}

// LapsedBy returns the local time by which a lease that a worker granted at now for d of its
// own clock has lapsed, even if that clock is slow by ClockDrift.
func LapsedBy(now time.Time, d time.Duration) time.Time {
	return now.Add(time.Duration(float64(d)/(1-ClockDrift)) + leaseCheckSlack)
}

// leaseCheckSlack allows for the interval at which a worker checks its leases.
const leaseCheckSlack = 20 * time.Millisecond
