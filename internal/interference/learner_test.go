package interference

import (
	"testing"
	"time"

	"tamarackpin.example/internal/routes"
)

// pairsTried are the pairs that a run of 200 exposures suffices for. The effect of a shorter row
// on a longer one is spread over many tasks beside each run.
var pairsTried = [][2]routes.RowName{{"quick", "long"}, {"medium", "medium"}, {"medium", "long"}}

// TestFindsPair: a pair that slows by 1.5 is found within 200 runs beside each other for half of their time at least, among other
// rows, tasks with a tail of 7 times, and declared times off by 40%.
func TestFindsPair(t *testing.T) {
	const seeds = 20
	for _, pair := range pairsTried {
		found, others := 0, 0
		for seed := range uint64(seeds) {
			s := newSimulation(seed, simRows)
			s.tail, s.slowdown = 0.03, slows(pair[0], pair[1], 1.5)
			for s.runs[pair] < 200 {
				s.run(100 * time.Millisecond)
			}
			if factor, ok := s.learner.Factor(s.now, pair[0], []routes.RowName{pair[1]}); ok && factor > 1.2 && factor < 1.9 {
				found++
			}
			s.run(5 * time.Second)
			if list := s.confident(); len(list) != 1 {
				others++
				t.Logf("%v, seed %d: %v", pair, seed, list)
			}
		}
		t.Logf("%s beside %s: found in %d of %d seeds, wrong set later in %d", pair[0], pair[1], found, seeds, others)
		if found < seeds*95/100 || others > seeds*5/100 {
			t.Errorf("%s beside %s: found in %d of %d seeds, wrong set in %d", pair[0], pair[1], found, seeds, others)
		}
	}
}

// misleading are loads without interference that could be taken for it.
var misleading = []struct {
	name  string
	seeds uint64
	setUp func(*simulation)
}{
	{"independent rows", 100, func(*simulation) {}},
	{"tasks with a tail of 7 times", 10, func(s *simulation) { s.tail = 0.03 }},
	{"workers filled up in a wave", 10, func(s *simulation) { s.packed, s.wave, s.tail = true, 0.5, 0.03 }},
	{"jobs of 4 tasks whose times are off alike", 10, func(s *simulation) { s.perJob, s.tail = 4, 0.03 }},
	{"three tasks a worker", 10, func(s *simulation) {
		for _, w := range s.workers {
			w.slots = 3
		}
	}},
	{"workers slow as a whole, from 0.6 to 4", 10, func(s *simulation) {
		for i, w := range s.workers {
			w.factor = []float64{0.6, 1, 1.6, 4}[i%4]
		}
	}},
	{"estimates off by 40% for one row each way", 10, func(s *simulation) {
		s.observed = func(o Observation) Observation {
			o.Expected = time.Duration(float64(o.Expected) * map[routes.RowName]float64{"quick": 1 / 1.4, "long": 1.4, "medium": 1}[o.Row])
			return o
		}
	}},
	{"a row declared 4 times too short", 10, func(s *simulation) {
		s.observed = func(o Observation) Observation {
			if o.Row == "long" {
				o.Expected /= 4
			}
			return o
		}
	}},
	{"a dispatcher that is late by 8 ms under load", 10, func(s *simulation) {
		s.wave = 0.5
		s.observed = func(o Observation) Observation {
			o.Took += time.Duration(s.busy() * 8 * float64(time.Millisecond))
			return o
		}
	}},
}

// TestFindsNone: rows that do not slow each other have no confident pair, in at least 95 of
// 100 seeds, at any time of a run.
func TestFindsNone(t *testing.T) {
	for _, c := range misleading {
		wrong := uint64(0)
		for seed := range c.seeds {
			s := newSimulation(seed, simRows)
			c.setUp(s)
			for range 4 {
				s.run(3 * time.Second)
				if list := s.confident(); len(list) > 0 {
					wrong++
					t.Logf("%s, seed %d: %v", c.name, seed, list)
					break
				}
			}
		}
		t.Logf("%s: a pair found in %d of %d seeds", c.name, wrong, c.seeds)
		if wrong*100 > 5*c.seeds {
			t.Errorf("%s: a pair found in %d of %d seeds", c.name, wrong, c.seeds)
		}
	}
}

// TestSlowWorkerIsNoPair: workers become slow as a whole while pairs are learned.
func TestSlowWorkerIsNoPair(t *testing.T) {
	wrong := 0
	for seed := range uint64(20) {
		s := newSimulation(seed, simRows)
		s.run(10 * time.Second)
		for i, w := range s.workers {
			if i%6 == 0 {
				w.factor = 6.5
			}
		}
		for range 5 {
			s.run(4 * time.Second)
			if list := s.confident(); len(list) > 0 {
				wrong++
				t.Logf("seed %d: %v", seed, list)
				break
			}
		}
	}
	if wrong > 1 {
		t.Errorf("a pair found in %d of 20 seeds", wrong)
	}
}

// TestForgets: a pair is no longer used 10 minutes after the slowdown ended, whether it is still seen
// beside each other or kept apart.
func TestForgets(t *testing.T) {
	for _, apart := range []bool{false, true} {
		s := newSimulation(1, []simRow{{"a", 400 * time.Millisecond, 9}, {"b", 500 * time.Millisecond, 9}})
		ended := false
		s.slowdown = func(_ time.Time, row, beside routes.RowName) float64 {
			if !ended && row == "a" && beside == "b" {
				return 1.5
			}
			return 1
		}
		s.run(6 * time.Minute)
		if s.learner.Known() != 1 {
			t.Fatalf("pairs %v, want one", s.confident())
		}
		ended = true
		if apart {
			s.place = placeApart
		}
		var forgottenAfter time.Duration
		for after := time.Duration(0); after < 10*time.Minute; after += 20 * time.Second {
			if s.run(20 * time.Second); s.learner.Known() == 0 && forgottenAfter == 0 {
				forgottenAfter = after
			}
		}
		t.Logf("apart %v: forgotten after %s", apart, forgottenAfter)
		if s.learner.Known() != 0 {
			t.Errorf("apart %v: after 10 minutes still %v", apart, s.confident())
		}
	}
}

// placeApart never places different rows beside each other if there is another worker.
func placeApart(_ *simulation, free []*simWorker, row routes.RowName) *simWorker {
	for _, w := range free {
		if len(w.tasks) == 0 || w.tasks[0].row == row {
			return w
		}
	}
	return free[0]
}
