package estimate

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/target"
)

// TestSpeedsAreLearned: targets four times apart are told apart from the times
// of their tasks alone, which spread widely.
func TestSpeedsAreLearned(t *testing.T) {
	const seed = 1
	r := rand.New(rand.NewPCG(seed, 0))
	var e Estimator
	k := party.Key{Party: "p", Kind: "k"}
	speeds := map[target.ID]float64{"slow": 1, "middle": 2, "fast": 4}
	for range 3000 {
		for id, speed := range speeds {
			work := 100 * math.Exp(.4*r.NormFloat64())
			e.Observe(k, id, time.Duration(work/speed*float64(time.Millisecond)))
		}
	}
	if ratio := e.Speed("fast") / e.Speed("slow"); ratio < 2.5 || ratio > 6.5 {
		t.Errorf("a target four times as fast is learned as %.1f times", ratio)
	}
	if e.Speed("middle") <= e.Speed("slow") || e.Speed("fast") <= e.Speed("middle") {
		t.Errorf("speeds are %.2f, %.2f, %.2f", e.Speed("slow"), e.Speed("middle"), e.Speed("fast"))
	}
}

// TestDeclaredTimeCountsOnlyAtFirst: it is often far off.
func TestDeclaredTimeCountsOnlyAtFirst(t *testing.T) {
	var e Estimator
	k := party.Key{Party: "p", Kind: "k"}
	if e.Expected(k, 0) != unknownService || e.Expected(k, time.Second) != time.Second {
		t.Error("without a measurement the declared time does not count")
	}
	e.Observe(k, "t", 50*time.Millisecond)
	if got := e.Expected(k, time.Second); got != 50*time.Millisecond {
		t.Errorf("after a measurement %s is expected", got)
	}
}

func TestSpeedsStayWithinBounds(t *testing.T) {
	var e Estimator
	k := party.Key{Party: "p", Kind: "k"}
	for range 500 {
		e.Observe(k, "a", time.Nanosecond)
		e.Observe(k, "b", time.Hour)
	}
	for _, id := range []target.ID{"a", "b"} {
		if s := e.Speed(id); s < slowest || s > fastest {
			t.Errorf("speed of %s is %v", id, s)
		}
	}
	e.Forget(func(target.ID) bool { return false })
	if e.Speed("a") != 1 {
		t.Error("a forgotten target keeps its speed")
	}
}
