package queue

import "time"

// bucket is the token bucket that enforces a row's rate. It holds at most the
// tokens of one second. The zero bucket is full.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// take removes n tokens if the bucket holds them; else it returns the time until
// it does. A submission larger than a full bucket needs only a full one and leaves
// the count negative, else it could never be accepted.
func (b *bucket) take(now time.Time, rate float64, n int) (ok bool, retry time.Duration) {
	if b.refilledAt.IsZero() {
		b.tokens = rate
	} else {
		b.tokens = min(rate, b.tokens+now.Sub(b.refilledAt).Seconds()*rate)
	}
	b.refilledAt = now
	need := min(float64(n), rate)
	if b.tokens < need {
		return false, time.Duration((need - b.tokens) / rate * float64(time.Second))
	}
	b.tokens -= float64(n)
	return true, 0
}
