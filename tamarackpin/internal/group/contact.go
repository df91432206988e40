package group

import "time"

// contact tells a VM that is silent from one that is only slow, from the pings sent to it
// and their replies. A reply counts however late it is. The zero contact has no pings.
type contact struct {
	unanswered []time.Time // when the pings without a later reply were sent, oldest first
	checkedAt  time.Time   // last call of isSilent
}

// sent records a ping.
func (c *contact) sent(now time.Time) { c.unanswered = append(c.unanswered, now) }

// replied records the reply to the ping sent at sentAt, which covers all earlier ones.
func (c *contact) replied(sentAt time.Time) {
	for len(c.unanswered) > 0 && !c.unanswered[0].After(sentAt) {
		c.unanswered = c.unanswered[1:]
	}
}

// isSilent reports whether a ping has been without a reply for silenceTimeout. It is
// called every pingInterval. A longer gap is a pause of this process, in which it could
// not have read a reply, so the pause does not count as silence.
func (c *contact) isSilent(now time.Time) bool {
	if pause := now.Sub(c.checkedAt) - 2*pingInterval; !c.checkedAt.IsZero() && pause > 0 {
		for i, at := range c.unanswered {
			c.unanswered[i] = at.Add(pause)
		}
	}
	c.checkedAt = now
	return len(c.unanswered) > 0 && now.Sub(c.unanswered[0]) >= silenceTimeout
}
