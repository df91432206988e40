package worker

import (
	"math"
	"time"
)

// ConnectionClock tells the reply to an order from a second reply to an earlier order on the same
// connection, by the worker's clock and by the shape of the replies. A second reply repeats the
// first, with its reading. The zero ConnectionClock is that of a new connection.
//
// It relies on each order being sent only once IdleIn is 0 for its shape: the worker's clock has
// then gone on by a whole clockUnit since the last reply that could pass for the reply to this
// order, even if it is slow by ClockDrift.
type ConnectionClock struct {
	incarnation Incarnation
	reading     Clock              // of the last reply
	receivedAt  time.Time          // of the last reply, local time; zero if there was none
	passing     [replyShapes]Clock // reading of the last reply that could pass for one of this shape; 0 if there was none
}

// ReplyShape tells apart the replies to orders of different kinds.
type ReplyShape int

// The shapes of replies.
const (
	PlainReply ReplyShape = iota // to a start or a stop
	ListsReply                   // to a renewal
	replyShapes

	AnyShape ReplyShape = -1 // of a refusal, which could pass for the reply to any order
)

// clockUnit is the unit of the readings in replies, which are rounded down.
const clockUnit = time.Millisecond

// Observe records a reply of incarnation i with reading r.
func (c *ConnectionClock) Observe(receivedAt time.Time, i Incarnation, r Clock, s ReplyShape) {
	if !c.comparable(i) {
		c.passing = [replyShapes]Clock{}
	}
	c.incarnation, c.reading, c.receivedAt = i, r, receivedAt
	for shape := range replyShapes {
		if s == shape || s == AnyShape {
			c.passing[shape] = r
		}
	}
}

// comparable reports whether the readings of incarnation i and of the last reply are of one clock. An
// incarnation of 0 is unknown.
func (c *ConnectionClock) comparable(i Incarnation) bool {
	return i == c.incarnation || i == 0 || c.incarnation == 0
}

// IdleIn returns how long it takes until an order whose reply has shape s may be sent, 0 if it may be
// sent now.
func (c *ConnectionClock) IdleIn(now time.Time, s ReplyShape) time.Duration {
	last := c.passing[s]
	if last == 0 {
		return 0
	}
	missing := time.Duration(last).Truncate(clockUnit) + clockUnit - time.Duration(c.reading)
	idle := time.Duration(math.Ceil(float64(missing) / (1 - ClockDrift)))
	return max(0, idle-now.Sub(c.receivedAt))
}

// Behind returns how far reading r of incarnation i is below the lowest that a reply to an order
// sent at sentAt can have, or 0. A reply that is behind was made for an earlier order.
func (c *ConnectionClock) Behind(sentAt time.Time, i Incarnation, r Clock) time.Duration {
	if c.receivedAt.IsZero() || !c.comparable(i) {
		return 0
	}
	elapsed := sentAt.Sub(c.receivedAt)
	elapsed -= time.Duration(ClockDrift * float64(elapsed))
	lowest := (time.Duration(c.reading) + elapsed).Truncate(clockUnit)
	return max(0, lowest-time.Duration(r))
}
