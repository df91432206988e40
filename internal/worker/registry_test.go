package worker

import (
	"testing"
	"time"
)

// heartbeat is an announcement of a worker at a Registry, in the tests of this file.
type heartbeat struct {
	at          time.Duration // arrival
	incarnation Incarnation
	sequence    uint64
	clock       time.Duration
	replaced    []Incarnation // as reported by another Registry
	want        Observation
	current     Incarnation // after it
}

// TestPresentIncarnation: a Registry took the higher of two start times for the later one, so that the
// announcements of a worker whose clock had been set back were dropped, its draining among them (review/5). Late
// announcements of earlier incarnations must not replace the present one either.
func TestPresentIncarnation(t *testing.T) {
	const old, present = 3000, 1000
	for _, c := range []struct {
		name  string
		beats []heartbeat
	}{
		{"the clock was set back", []heartbeat{
			{0, old, 1, 0, nil, Changed, old},
			{2 * time.Second, present, 1, 100 * time.Millisecond, nil, Unproven, old},
			{2100 * time.Millisecond, present, 1, 100 * time.Millisecond, nil, Unproven, old},
			{3500 * time.Millisecond, present, 2, 1600 * time.Millisecond, nil, Changed, present},
			{5 * time.Second, present, 3, 3100 * time.Millisecond, nil, Renewed, present},
			{5500 * time.Millisecond, old, 2, 1500 * time.Millisecond, nil, Unproven, present},
			{6500 * time.Millisecond, present, 4, 4600 * time.Millisecond, nil, Renewed, present},
		}},
		{"announcements that a partition delayed arrive together", []heartbeat{
			{0, old, 1, 0, nil, Changed, old},
			{time.Second, present, 7, 10 * time.Second, nil, Unproven, old},
			{1010 * time.Millisecond, present, 8, 11500 * time.Millisecond, nil, Unproven, old},
			{1500 * time.Millisecond, old, 2, 1500 * time.Millisecond, nil, Renewed, old},
		}},
		{"the recorded incarnation goes on", []heartbeat{
			{0, old, 1, 0, nil, Changed, old},
			{time.Second, present, 7, 10 * time.Second, nil, Unproven, old},
			{1500 * time.Millisecond, old, 2, 1500 * time.Millisecond, nil, Renewed, old},
			{2500 * time.Millisecond, present, 8, 11500 * time.Millisecond, nil, Unproven, old},
		}},
		{"an ordinary restart", []heartbeat{
			{0, present, 4, time.Minute, nil, Changed, present},
			{time.Second, old, 1, 0, nil, Changed, old},
			{1100 * time.Millisecond, present, 5, 61 * time.Second, nil, Unproven, old},
			{1200 * time.Millisecond, old, 1, 0, nil, Outdated, old},
		}},
		{"another VM knows which one was replaced", []heartbeat{
			{0, old, 1, 0, nil, Changed, old},
			{2 * time.Second, present, 2, 0, []Incarnation{old}, Changed, present},
			{3 * time.Second, old, 2, time.Second, nil, Unproven, present},
		}},
	} {
		var g Registry
		start := time.Unix(1000, 0)
		for i, b := range c.beats {
			a := Announcement{Worker: "w", Incarnation: b.incarnation, Sequence: b.sequence, Service: "s", Clock: Clock(b.clock) + 1}
			if got := g.Observe(start.Add(b.at), a, 0, b.replaced); got != b.want {
				t.Errorf("%s, announcement %d: observation %d, want %d", c.name, i, got, b.want)
			}
			if r, _ := g.Get("w"); r.Incarnation != b.current {
				t.Errorf("%s, announcement %d: incarnation %d, want %d", c.name, i, r.Incarnation, b.current)
			}
		}
	}
}
