package worker

import "time"

// ConnectionClock tells the reply to an order from a second reply to an earlier order on the same
// connection, by the worker's clock. The zero ConnectionClock is that of a new connection.
//
// It relies on orders being sent only once IdleIn is 0: the worker's clock has then gone on by a
// whole clockUnit since the last reply, even if it is slow by ClockDrift.
type ConnectionClock struct {
	incarnation Incarnation
	reading     Clock     // of the last reply
	receivedAt  time.Time // of the last reply, local time; zero if there was none
}

// clockUnit is the unit of the readings in replies, which are rounded down.
const clockUnit = time.Millisecond

// minIdle is how long a connection is left idle after a reply. It must exceed
// clockUnit / (1 - ClockDrift).
const minIdle = 2 * time.Millisecond

// Observe records a reply of incarnation i with reading r.
func (c *ConnectionClock) Observe(receivedAt time.Time, i Incarnation, r Clock) {
	*c = ConnectionClock{i, r, receivedAt}
}

// IdleIn returns how long it takes until an order may be sent, 0 if one may be sent now.
func (c *ConnectionClock) IdleIn(now time.Time) time.Duration {
	if c.receivedAt.IsZero() {
		return 0
	}
	return max(0, minIdle-now.Sub(c.receivedAt))
}

// Behind returns how far reading r of incarnation i is below the lowest that a reply to an order
// sent at sentAt can have, or 0. A reply that is behind was made for an earlier order. Readings of
// different incarnations are not comparable; an incarnation of 0 is unknown.
func (c *ConnectionClock) Behind(sentAt time.Time, i Incarnation, r Clock) time.Duration {
	if c.receivedAt.IsZero() || i != c.incarnation && i != 0 && c.incarnation != 0 {
		return 0
	}
	elapsed := sentAt.Sub(c.receivedAt)
	elapsed -= time.Duration(ClockDrift * float64(elapsed))
	lowest := (time.Duration(c.reading) + elapsed).Truncate(clockUnit)
	return max(0, lowest-time.Duration(r))
}
