package experiment

import (
	"testing"
	"time"

	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/wire"
	"tamarackpin.example/tamarackpinload/internal/trace"
)

func event(at, work time.Duration, kind party.Kind, urgent bool) trace.Event {
	return trace.Event{
		At: wire.Duration(at), Key: party.Key{Party: "p", Kind: kind}, Urgent: urgent,
		Deadline: wire.Duration(time.Minute), Work: []wire.Duration{wire.Duration(work)},
	}
}

// TestBoundByHand: cases small enough to work out by hand.
func TestBoundByHand(t *testing.T) {
	one := Bound{Domains: []int{1}, Speeds: []float64{1}, Slots: 1}
	second := time.Second
	r := one.Ratios(trace.Trace{event(0, second, "bulk", false), event(0, second, "bulk", false), event(0, second, "urgent", true)}, 1)
	if got := r["urgent"].Quantile(100); got < 199 || got > 202 {
		t.Errorf("the urgent task waits for the one that runs: %d", got)
	}
	if got := r["bulk"].Quantile(100); got < 298 || got > 303 {
		t.Errorf("the second bulk task goes last: %d", got)
	}
	kept := Bound{Domains: []int{1}, Speeds: []float64{1, 2}, Slots: 1, Reserve: 1}
	r = kept.Ratios(trace.Trace{event(0, second, "bulk", false), event(0, second, "bulk", false), event(0, second, "urgent", true)}, 1)
	if got := r["urgent"].Quantile(100); got < 99 || got > 101 {
		t.Errorf("the urgent task takes the kept slot, the fastest: %d", got)
	}
	if got := r["bulk"].Quantile(100); got < 398 || got > 403 {
		t.Errorf("bulk tasks take the slow slot one after the other: %d", got)
	}
}
