package estimate

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/target"
)

// TestSpeedsAreLearned checks that speeds a factor of four apart are found from
// task times alone, though these vary widely.
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
		t.Errorf("speed of fast relative to slow is %.1f, want about 4", ratio)
	}
	if e.Speed("middle") <= e.Speed("slow") || e.Speed("fast") <= e.Speed("middle") {
		t.Errorf("speeds of slow, middle, fast are %.2f, %.2f, %.2f, want them increasing", e.Speed("slow"), e.Speed("middle"), e.Speed("fast"))
	}
}

// TestDeclaredTimeCountsOnlyAtFirst checks that a declared time, often far off,
// is not used once a time was measured.
func TestDeclaredTimeCountsOnlyAtFirst(t *testing.T) {
	var e Estimator
	k := party.Key{Party: "p", Kind: "k"}
	for declared, want := range map[time.Duration]time.Duration{0: defaultServiceTime, time.Second: time.Second} {
		if got, learned := e.Expected(k, declared); got != want || learned {
			t.Errorf("no samples, %s declared: Expected returned %s, learned %v", declared, got, learned)
		}
	}
	e.Observe(k, "t", 50*time.Millisecond)
	if got, learned := e.Expected(k, time.Second); got != 50*time.Millisecond || !learned {
		t.Errorf("after a sample of 50ms: Expected returned %s, learned %v", got, learned)
	}
}

// TestEstimatesDoNotDrift guards against times that vary widely driving speeds
// and work up together: TestRollingRestart refused a quarter of all submissions
// as too late for that reason (issue 4).
func TestEstimatesDoNotDrift(t *testing.T) {
	const seed = 2
	r := rand.New(rand.NewPCG(seed, 0))
	var e Estimator
	k := party.Key{Party: "p", Kind: "k"}
	speeds := map[target.ID]float64{"a": 1, "b": 2, "c": 2, "d": 4} // geometric mean 2
	ids := []target.ID{"a", "b", "c", "d"}
	mean := 250 * math.Exp(.9*.9/2) / 2
	worst := 0.0
	for n := range 40000 {
		id := ids[r.IntN(len(ids))]
		work := 250 * math.Exp(.9*r.NormFloat64())
		e.Observe(k, id, time.Duration(work/speeds[id]*float64(time.Millisecond)))
		if n > 1000 {
			got, _ := e.Expected(k, 0)
			worst = max(worst, float64(got.Milliseconds())/mean)
		}
	}
	if worst > 2 {
		t.Errorf("the expected service time reached %.1f times the mean, want at most 2", worst)
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
		if s := e.Speed(id); s < 1/maxSpeed || s > maxSpeed {
			t.Errorf("speed of %s is %v, out of bounds", id, s)
		}
	}
	e.Forget(func(target.ID) bool { return false })
	if e.Speed("a") != 1 || e.logSpeedSum > 1e-9 || e.logSpeedSum < -1e-9 {
		t.Errorf("a forgotten target keeps its speed or its part of the sum of log speeds: %v", e.logSpeedSum)
	}
}
