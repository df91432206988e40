package worker

import "time"

// ClockEstimate estimates a worker's clock. The zero ClockEstimate knows nothing.
type ClockEstimate struct {
	clock Clock
	at    time.Time
	known bool
}

// Observe takes in that the worker's clock read c no later than now.
func (t *ClockEstimate) Observe(now time.Time, c Clock) {
	if t.known && c < t.Now(now) && now.Sub(t.at) < readingLifetime {
		return // a reading that was longer on its way
	}
	t.clock, t.at, t.known = c, now, true
}

// readingLifetime is how long a reading is preferred to lower ones: in this time the
// largest drift is less than the shortest lease's slack.
const readingLifetime = time.Second

// Now returns a reading that the clock has reached, but for its drift since the
// last observation.
func (t *ClockEstimate) Now(now time.Time) Clock { return t.clock + Clock(now.Sub(t.at)) }

// Known reports whether the clock was ever read.
func (t *ClockEstimate) Known() bool { return t.known }

// ReachedBy returns the local time by which the clock has surely reached the
// reading c, however slow it is.
func (t *ClockEstimate) ReachedBy(now time.Time, c Clock) time.Time {
	behind := time.Duration(ClockDrift * float64(now.Sub(t.at)))
	left := time.Duration(c-t.Now(now)) + behind
	return now.Add(time.Duration(float64(left)/(1-ClockDrift)) + leaseCheckSlack)
}

// leaseCheckSlack covers that a worker looks at its leases now and then.
const leaseCheckSlack = 20 * time.Millisecond
