package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"tamarackpin.example/internal/interference"
	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/routes"
)

// interferenceReplay is the result of a replay in which one row slows another.
type interferenceReplay struct {
	*replay
	pool    *Pool
	beside  time.Duration // time in which tasks of the slowed row ran beside one of the other, in the second half
	foundAt time.Duration // when the pair was known first
	known   map[string]bool
}

// runInterference replays multiples of the calm load, one after the other, each for a part of the length, up to replayLength. Tasks of row slowed take
// factor times as long beside one of row by.
func runInterference(mode interference.Mode, length time.Duration, loads []float64, factor float64, slowed, by routes.RowName) *interferenceReplay {
	start := time.Unix(1000, 0)
	p := New(start.Add(-recoveryDelay), Config{Fence: 1, LeaseMax: time.Second, StopMax: 50 * time.Millisecond, Interference: mode})
	s := &interferenceReplay{pool: p, known: make(map[string]bool), replay: &replay{
		start: start, now: start, dispatcher: p, jobs: make(map[job.ID]*replayJob),
		latencies: make(map[routes.RowName][]time.Duration), metObjective: make(map[routes.RowName]int), submitted: make(map[routes.RowName]int),
	}}
	for i := range replayWorkers {
		s.workers = append(s.workers, newReplayWorker(i))
	}
	var trace []*replayJob
	partLength := length / time.Duration(len(loads))
	for i, load := range loads {
		at := start.Add(time.Duration(i) * partLength)
		part := replayTrace(at, replayPattern{rate: scaled(load)}, uint64(i))
		part = slices.DeleteFunc(part, func(j *replayJob) bool { return j.at.Sub(at) >= partLength })
		for _, j := range part {
			j.Job.ID += job.ID(fmt.Sprint("-", i))
		}
		trace = append(trace, part...)
	}
	rows := make(map[job.ID]routes.RowName)
	for _, j := range trace {
		rows[j.Job.ID] = j.Row
	}
	for end := start.Add(length); s.now.Before(end); s.now = s.now.Add(replayStep) {
		if s.now.Sub(start)%time.Second == 0 {
			s.announceWorkers()
			for _, pair := range p.Pairs() {
				if pair.Confident {
					s.known[fmt.Sprint(pair.Row, " beside ", pair.Beside)] = true
				}
			}
			if len(s.known) > 0 && s.foundAt == 0 {
				s.foundAt = s.now.Sub(start)
			}
		}
		for len(trace) > 0 && !trace[0].at.After(s.now) {
			j := trace[0]
			trace = trace[1:]
			s.jobs[j.Job.ID] = j
			s.submitted[j.Row]++
			s.dispatcher.Submit(s.now, j.Request)
		}
		s.slow(rows, slowed, by, factor, s.now.Sub(start) > length/2)
		s.endCompletedRuns()
		if s.now.Sub(start)%(20*time.Millisecond) == 0 {
			s.dispatcher.Tick(s.now)
		}
		s.executeOrders()
	}
	return s
}

// slow moves the ends of the runs that are slowed.
func (s *interferenceReplay) slow(rows map[job.ID]routes.RowName, slowed, by routes.RowName, factor float64, count bool) {
	for _, w := range s.workers {
		for t, run := range w.runs {
			if rows[t.Job] != slowed {
				continue
			}
			for u := range w.runs {
				if u != t && rows[u.Job] == by {
					run.endsAt = run.endsAt.Add(time.Duration(float64(replayStep) * (1 - 1/factor)))
					w.runs[t] = run
					if count {
						s.beside += replayStep
					}
				}
			}
		}
	}
}

// mean returns the mean time of the completed jobs of a row.
func (s *interferenceReplay) mean(row routes.RowName) time.Duration {
	sum := time.Duration(0)
	for _, d := range s.latencies[row] {
		sum += d
	}
	return sum / time.Duration(max(1, len(s.latencies[row])))
}

// TestInterferenceIsFoundAndAvoided: a row that slows another by half is found from the ends of runs on workers of two
// kinds with estimates off by 40%, and its tasks are placed apart while half of the slots are free.
func TestInterferenceIsFoundAndAvoided(t *testing.T) {
	t.Parallel()
	observe := runInterference(interference.Observe, time.Minute, []float64{1, 1}, 1.5, "tonchk", "slotbook")
	avoid := runInterference(interference.Avoid, time.Minute, []float64{1, 1}, 1.5, "tonchk", "slotbook")
	for _, s := range []*interferenceReplay{observe, avoid} {
		t.Logf("known %v from %s; beside for %s in the second half; mean %s; objective met %d; refused %d; placed apart %d",
			s.known, s.foundAt, s.beside, s.mean("tonchk"), s.metPerThousand("tonchk"), s.refused, s.pool.Counts.PlacedApart)
		if !s.known["tonchk beside slotbook"] || len(s.known) != 1 {
			t.Errorf("known pairs are %v", s.known)
		}
	}
	if avoid.beside > observe.beside/2 {
		t.Errorf("beside for %s, and %s if that is only observed", avoid.beside, observe.beside)
	}
	if observe.pool.Counts.PlacedApart != 0 {
		t.Error("a placement was changed while interference was only observed")
	}
}

// TestNoInterferenceNothingChanges: without a slowdown the same jobs are served as with the setting off.
func TestNoInterferenceNothingChanges(t *testing.T) {
	t.Parallel()
	load := []float64{1.6}
	off := runInterference(interference.Off, replayLength, load, 1, "", "")
	avoid := runInterference(interference.Avoid, replayLength, load, 1, "", "")
	if len(avoid.known) != 0 {
		t.Errorf("pairs %v", avoid.known)
	}
	for _, row := range replayRows {
		if !slices.Equal(off.latencies[row.name], avoid.latencies[row.name]) {
			t.Errorf("jobs of %s took otherwise", row.name)
		}
	}
}

// TestInterferenceUnderFullLoad: the load becomes 2.8 times as high after a pair was found. When no worker is free, rows of a pair run beside each other rather than being refused.
func TestInterferenceUnderFullLoad(t *testing.T) {
	t.Parallel()
	off := runInterference(interference.Off, time.Minute, []float64{1, 2.8}, 1.5, "tonchk", "slotbook")
	avoid := runInterference(interference.Avoid, time.Minute, []float64{1, 2.8}, 1.5, "tonchk", "slotbook")
	t.Logf("refused %d and %d if off; objective met %d and %d", avoid.refused, off.refused, avoid.metPerThousand("tonchk"), off.metPerThousand("tonchk"))
	jobs := 0
	for _, n := range off.submitted {
		jobs += n
	}
	if !avoid.known["tonchk beside slotbook"] || off.refused == 0 {
		t.Errorf("pairs %v, %d refused: the test is not conclusive", avoid.known, off.refused)
	}
	if avoid.refused > off.refused+jobs/100 {
		t.Errorf("%d of %d jobs refused, and %d if the setting is off", avoid.refused, jobs, off.refused)
	}
}
