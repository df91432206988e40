package worker

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestConnectionClock checks which readings are behind the order that they came for.
func TestConnectionClock(t *testing.T) {
	const ms = time.Millisecond
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
		{"too early to tell", ms, 1, 5000 * ms, ms, 0},
		{"no incarnation", time.Second, 0, 5000 * ms, 0, 980 * ms},
		{"another incarnation", time.Second, 2, 10 * ms, 0, 0},
	} {
		var clock ConnectionClock
		if clock.IdleIn(start) != 0 || clock.Behind(start, 1, 1) != 0 {
			t.Fatal("a new connection has no earlier order")
		}
		clock.Observe(start, 1, Clock(5*time.Second))
		sent := start.Add(c.pause)
		if idleIn, behind := clock.IdleIn(sent), clock.Behind(sent, c.incarnation, Clock(c.reading)); idleIn != c.idleIn || behind != c.behind {
			t.Errorf("%s: idle in %s, behind by %s; want %s, %s", c.name, idleIn, behind, c.idleIn, c.behind)
		}
	}
}

// TestConnectionClockOfRandomReplies checks that a reply is never behind its own order, and that a second reply
// always is.
func TestConnectionClockOfRandomReplies(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(r.Int64N(int64(high-low))) }
	for range 1000 {
		var clock ConnectionClock
		now, speed := time.Unix(1000, 0), 1-ClockDrift*r.Float64()
		exact := float64(between(0, time.Hour)) // on the worker's clock
		var last Clock
		for n := range 20 {
			sent := now.Add(between(minIdle, 10*time.Millisecond))
			if n%3 == 0 {
				sent = now.Add(between(minIdle, time.Minute))
			}
			if n > 0 && clock.Behind(sent, 1, last) == 0 {
				t.Fatalf("the second reply with the reading %s is accepted as the reply to an order sent %s after the first", time.Duration(last), sent.Sub(now))
			}
			replied := sent.Add(between(0, 300*time.Millisecond))
			exact += speed * float64(replied.Sub(now))
			last = Clock(time.Duration(exact).Truncate(clockUnit))
			if behind := clock.Behind(sent, 1, last); behind != 0 {
				t.Fatalf("a reply made %s after its order is behind by %s", replied.Sub(sent), behind)
			}
			now = replied.Add(between(0, 20*time.Millisecond))
			exact += speed * float64(now.Sub(replied))
			clock.Observe(now, 1, last)
		}
	}
}
