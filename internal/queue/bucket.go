package queue

import "time"

// bucket is a token bucket for a row's rate. It holds at most one second's
// tokens.
type bucket struct {
	tokens float64
	filled time.Time
}

// take takes n tokens if the bucket holds them, or returns how long until it
// would. A submission larger than a full bucket takes a full one and leaves a
// debt, else it could never be accepted.
func (b *bucket) take(now time.Time, rate float64, n int) (ok bool, retry time.Duration) {
	if b.filled.IsZero() {
		b.tokens = rate
	} else {
		b.tokens = min(rate, b.tokens+now.Sub(b.filled).Seconds()*rate)
	}
	b.filled = now
	need := min(float64(n), rate)
	if b.tokens < need {
		return false, time.Duration((need - b.tokens) / rate * float64(time.Second))
	}
	b.tokens -= float64(n)
	return true, 0
}
