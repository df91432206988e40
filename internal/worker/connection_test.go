package worker

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestConnectionClock checks which readings are behind the order that they came for.
func TestConnectionClock(t *testing.T) {
	const ms = time.Millisecond
	const unit = 1020409 // a clockUnit of a clock that is slow by ClockDrift, in nanoseconds
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name        string
		pause       time.Duration // from the last reply, which has the reading 5 s of incarnation 1, to the order
		incarnation Incarnation
		reading     time.Duration
		idleIn      time.Duration
		behind      time.Duration
	}{
		{"the same reply again", 2 * ms, 1, 5000 * ms, 0, ms},
		{"an earlier reply", 2 * ms, 1, 4000 * ms, 0, 1001 * ms},
		{"the same reply long after", time.Second, 1, 5000 * ms, 0, 980 * ms},
		{"a clock of full speed", time.Second, 1, 6000 * ms, 0, 0},
		{"a clock that is 2% slow", time.Second, 1, 5980 * ms, 0, 0},
		{"a clock that is slower", time.Second, 1, 5979 * ms, 0, ms},
		{"too early to tell", ms, 1, 5000 * ms, unit - ms, 0},
		{"just early enough to tell", unit, 1, 5000 * ms, 0, ms},
		{"at once", 0, 1, 5000 * ms, unit, 0},
		{"no incarnation", time.Second, 0, 5000 * ms, 0, 980 * ms},
		{"another incarnation", time.Second, 2, 10 * ms, 0, 0},
	} {
		var clock ConnectionClock
		if clock.IdleIn(start, PlainReply) != 0 || clock.Behind(start, 1, 1) != 0 {
			t.Fatal("a new connection has no earlier order")
		}
		clock.Observe(start, 1, Clock(5*time.Second), PlainReply)
		sent := start.Add(c.pause)
		if idleIn, behind := clock.IdleIn(sent, PlainReply), clock.Behind(sent, c.incarnation, Clock(c.reading)); idleIn != c.idleIn || behind != c.behind {
			t.Errorf("%s: idle in %s, behind by %s; want %s, %s", c.name, idleIn, behind, c.idleIn, c.behind)
		}
	}
}

// TestConnectionClockByShape checks how long an order waits for replies that could pass for its own.
func TestConnectionClockByShape(t *testing.T) {
	const ms, unit = time.Millisecond, 1020409
	start := time.Unix(1000, 0)
	type reply struct {
		shape   ReplyShape
		reading time.Duration
	}
	for _, c := range []struct {
		name    string
		replies []reply // all received at start
		order   ReplyShape
		want    time.Duration
	}{
		{"a renewal after a start", []reply{{PlainReply, 50 * ms}}, ListsReply, 0},
		{"a start after a renewal", []reply{{ListsReply, 50 * ms}}, PlainReply, 0},
		{"a start after a refusal", []reply{{AnyShape, 50 * ms}}, PlainReply, unit},
		{"a renewal after a refusal", []reply{{AnyShape, 50 * ms}}, ListsReply, unit},
		{"a start two replies after one, within the same millisecond", []reply{{PlainReply, 50 * ms}, {ListsReply, 50 * ms}}, PlainReply, unit},
		{"a start two replies after one, when the clock has moved on", []reply{{PlainReply, 50 * ms}, {ListsReply, 51 * ms}}, PlainReply, 0},
		{"a renewal two replies after a refusal", []reply{{AnyShape, 50 * ms}, {PlainReply, 50 * ms}}, ListsReply, unit},
	} {
		var clock ConnectionClock
		for _, r := range c.replies {
			clock.Observe(start, 1, Clock(r.reading), r.shape)
		}
		if got := clock.IdleIn(start, c.order); got != c.want {
			t.Errorf("%s: idle in %s, want %s", c.name, got, c.want)
		}
	}
}

// TestConnectionClockOfRandomReplies checks that a reply is never behind its own order, and that a second reply
// to any order before always is, unless it has another shape.
func TestConnectionClockOfRandomReplies(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(r.Int64N(int64(high-low))) }
	type reply struct {
		shape   ReplyShape
		reading Clock
	}
	for range 1000 {
		var clock ConnectionClock
		now, speed := time.Unix(1000, 0), 1-ClockDrift*r.Float64()
		exact := float64(between(time.Millisecond, time.Hour)) // on the worker's clock
		var earlier []reply
		for n := range 20 {
			shape := ReplyShape(r.IntN(int(replyShapes)))
			sent := now.Add(clock.IdleIn(now, shape))
			switch n % 4 {
			case 0:
				sent = sent.Add(between(0, time.Minute))
			case 1, 2:
				sent = sent.Add(between(0, 10*time.Millisecond))
			}
			for _, e := range earlier {
				passes := e.shape == shape || e.shape == AnyShape
				if passes && clock.Behind(sent, 1, e.reading) == 0 {
					t.Fatalf("a second reply with the reading %s is accepted as the reply to an order sent %s after the last reply", time.Duration(e.reading), sent.Sub(now))
				}
			}
			replied := sent.Add(between(0, 300*time.Millisecond))
			if n%2 == 0 {
				replied = sent.Add(between(0, time.Millisecond))
			}
			exact += speed * float64(replied.Sub(now))
			last := Clock(time.Duration(exact).Truncate(clockUnit))
			if behind := clock.Behind(sent, 1, last); behind != 0 {
				t.Fatalf("a reply made %s after its order is behind by %s", replied.Sub(sent), behind)
			}
			received := replied.Add(between(0, 20*time.Millisecond))
			if n%3 == 0 {
				received = replied
			}
			exact += speed * float64(received.Sub(replied))
			now = received
			if r.IntN(3) == 0 {
				shape = AnyShape
			}
			clock.Observe(now, 1, last, shape)
			earlier = append(earlier, reply{shape, last})
		}
	}
}
