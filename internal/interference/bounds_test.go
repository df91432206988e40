package interference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"tamarackpin.example/internal/routes"
	"tamarackpin.example/internal/worker"
)

// TestNoBaseline: a row that always runs beside the same other one cannot be judged.
func TestNoBaseline(t *testing.T) {
	var l Learner
	now, r := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 1))
	for i := range 3000 {
		now = now.Add(20 * time.Millisecond)
		took := time.Duration(150 * float64(time.Millisecond) * (0.6 + 0.8*r.Float64()))
		l.Observe(now, Observation{"a", worker.ID(fmt.Sprint("w", i%20)), took, 100 * time.Millisecond, 1, []Exposure{{"b", 1, 1}}})
	}
	if l.Known() != 0 {
		t.Errorf("pairs %+v are confident without a baseline", l.Pairs())
	}
}

// TestFewWorkersAreNotBelieved: three workers that report false times do not make a pair, though all
// others run the rows beside each other too.
func TestFewWorkersAreNotBelieved(t *testing.T) {
	for seed := range uint64(10) {
		s := newSimulation(seed, simRows)
		s.observed = func(o Observation) Observation {
			if o.total() > 0.5 && (o.Worker == "w1" || o.Worker == "w2" || o.Worker == "w3") {
				o.Took *= 20
			}
			return o
		}
		for range 8 {
			s.run(5 * time.Second)
			for _, p := range s.learner.Pairs() {
				if p.Confident {
					t.Errorf("seed %d: %s beside %s %.2f of %d", seed, p.Row, p.Beside, p.Factor, p.Observations)
				}
			}
		}
	}
}

// TestImpossibleObservations: they are ignored, and extreme ones do not spoil what is learned.
func TestImpossibleObservations(t *testing.T) {
	s := newSimulation(3, simRows)
	s.slowdown = slows("quick", "long", 1.5)
	extreme := []Observation{
		{"quick", "w1", 0, time.Second, 1, nil},
		{"quick", "w1", time.Second, 0, 1, nil},
		{"quick", "w1", -time.Second, time.Second, 1, nil},
		{"quick", "w1", time.Second, time.Second, 1, []Exposure{{"long", math.NaN(), 0}}},
		{"quick", "w1", time.Second, time.Second, 1, []Exposure{{"long", 0, math.Inf(1)}}},
		{"quick", "w1", time.Second, time.Second, 1, []Exposure{{"long", -1, 0}}},
		{"quick", "w1", math.MaxInt64, 1, 1, []Exposure{{"long", 1, 1}}},
		{"quick", "w1", 1, math.MaxInt64, 1, []Exposure{{"long", 1, 1}}},
	}
	for range 20 {
		s.run(2 * time.Second)
		for _, o := range extreme {
			s.learner.Observe(s.now, o)
		}
	}
	factor, ok := s.learner.Factor(s.now, "quick", []routes.RowName{"long"})
	if !ok || factor < 1.35 || factor > 1.65 {
		t.Errorf("factor %.2f, %v, want 1.5", factor, ok)
	}
}

// TestBound: the state does not grow beyond its bound with 10,000 rows, and the pairs that are
// confirmed stay.
func TestBound(t *testing.T) {
	s := newSimulation(5, simRows)
	s.slowdown = slows("quick", "long", 1.5)
	s.run(20 * time.Second)
	if s.learner.Known() != 1 {
		t.Fatalf("pairs %v", s.confident())
	}
	l, now := &s.learner, s.now
	name := func(i int) routes.RowName { return routes.RowName(fmt.Sprint("r", i)) }
	r := rand.New(rand.NewPCG(2, 2))
	for i := range 30000 {
		now = now.Add(time.Millisecond)
		// The first observations of a row are not learned from, so each row has a series of them.
		row := name(i / 12)
		l.Observe(now, Observation{row, worker.ID(fmt.Sprint("w", i%20)), time.Second, time.Second, 1, []Exposure{{name(r.IntN(10000)), 1, 1}, {name(r.IntN(10000)), 1, 1}}})
		if i%1000 == 0 {
			l.Observe(now, Observation{"quick", "w1", time.Second, time.Second, 1, nil})
		}
	}
	pairs := 0
	for _, s := range l.rows {
		pairs += len(s.partners)
	}
	if pairs != l.pairs || pairs > MaxPairs || len(l.rows) > maxRows || len(l.workers) > maxWorkers {
		t.Errorf("%d pairs (counted as %d), %d rows, %d workers", pairs, l.pairs, len(l.rows), len(l.workers))
	}
	if l.Known() != 1 {
		t.Errorf("the confirmed pair was evicted: %d known", l.Known())
	}
	if !l.Involves("quick") || !l.Involves("long") || l.Involves("medium") {
		t.Errorf("rows of pairs are %v", l.involved)
	}
	for i := range 10000 {
		l.Observe(now, Observation{"quick", worker.ID(fmt.Sprint("x", i)), time.Second, time.Second, 1, nil})
	}
	if len(l.workers) > maxWorkers {
		t.Errorf("%d workers", len(l.workers))
	}
	l.Tick(now.Add(idleLimit + time.Minute))
	if len(l.rows)+len(l.workers)+l.pairs+l.Known()+len(l.involved) != 0 {
		t.Errorf("after idleLimit %d rows, %d workers, %d pairs, %d known", len(l.rows), len(l.workers), l.pairs, l.Known())
	}
}

// TestZeroLearner: the zero value answers that nothing is known.
func TestZeroLearner(t *testing.T) {
	var l Learner
	now := time.Unix(1000, 0)
	l.Tick(now)
	l.ForgetWorker("w")
	if f, ok := l.Factor(now, "a", []routes.RowName{"b"}); f != 1 || ok {
		t.Errorf("factor %v, %v", f, ok)
	}
	if _, ok := l.TakeSummary(now); ok || len(l.Pairs()) > 0 || l.Slowdown("a", nil) != 1 {
		t.Error("a zero Learner knows something")
	}
}

// BenchmarkObserve measures one observation of a row with 15 others beside it.
func BenchmarkObserve(b *testing.B) {
	for _, partners := range []int{3, maxPartners} {
		b.Run(fmt.Sprint(partners, " rows beside"), func(b *testing.B) {
			var l Learner
			now, r := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 1))
			workers := make([]worker.ID, 40)
			for i := range workers {
				workers[i] = worker.ID(fmt.Sprint("w", i))
			}
			rows := make([]routes.RowName, partners)
			for i := range rows {
				rows[i] = routes.RowName(fmt.Sprint("r", i))
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(5 * time.Millisecond)
				took := time.Duration(100 * float64(time.Millisecond) * (0.6 + 0.8*r.Float64()))
				l.Observe(now, Observation{rows[r.IntN(len(rows))], workers[r.IntN(40)], took, 100 * time.Millisecond, 1, []Exposure{{rows[r.IntN(len(rows))], r.Float64(), r.Float64()}}})
			}
		})
	}
}
