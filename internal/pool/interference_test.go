package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tamarackpin.example/internal/interference"
	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/routes"
	"tamarackpin.example/internal/worker"
)

// teach has a Pool learn that row takes 1.5 times as long beside another.
func teach(p *Pool, now time.Time, row, beside routes.RowName) {
	r := rand.New(rand.NewPCG(1, 1))
	for i := range 400 {
		o := interference.Observation{Row: row, Worker: worker.ID(fmt.Sprint("w", i%10)), Took: 95*time.Millisecond + time.Duration(r.IntN(10))*time.Millisecond, Expected: 100 * time.Millisecond}
		if r.IntN(2) == 0 {
			o.Took, o.Beside = o.Took*3/2, []interference.Exposure{{Row: beside, Share: 1, Early: 1}}
		}
		p.interference.Observe(now.Add(time.Duration(i-400)*time.Millisecond), o)
	}
}

// interferenceHarness returns a harness of so many workers with two slots, and a job of row a with a task on each
// of the first few. If the rows are taught, row b is slowed by row a.
func interferenceHarness(t *testing.T, mode interference.Mode, workers, running int) *harness {
	h := newHarness(t, workers)
	h.pool.config.Interference = mode
	for i := range running {
		r := request(fmt.Sprint("a", i), 1, 400*time.Millisecond)
		r.Row, r.Job.Steps[0].Need.MilliCores = "a", 8000
		r.Latency = 5 * time.Second
		h.pool.Submit(h.now, r)
		// Until the last one started, each fills up its worker, so that the next one goes to another.
		w := h.pool.byID[i]
		w.free.MilliCores -= 8000
	}
	for i := range running {
		h.pool.byID[i].free.MilliCores += 8000
	}
	for _, o := range h.ordersOfKind(StartOrder) {
		h.reply(o, Reply{Done: true})
	}
	teach(h.pool, h.now, "b", "a")
	if h.pool.interference.Known() != 1 {
		t.Fatalf("pairs %+v, want one that is known", h.pool.Pairs())
	}
	return h
}

// TestRowsOfAPairApart: a task does not start beside one that slows it while another worker has room, and
// starts there, rather than late or not at all, if none has.
func TestRowsOfAPairApart(t *testing.T) {
	for _, c := range []struct {
		mode             interference.Mode
		workers, running int
		want             worker.ID
		apart            int
	}{
		{interference.Avoid, 3, 2, "w2", 1},
		{interference.Observe, 3, 2, "w0", 0},
		{interference.Off, 3, 2, "w0", 0},
		{interference.Avoid, 2, 2, "w0", 0},
		{interference.Avoid, 3, 0, "w0", 0},
	} {
		h := interferenceHarness(t, c.mode, c.workers, c.running)
		r := request("b", 1, 100*time.Millisecond)
		r.Row, r.Latency = "b", time.Second
		h.pool.Submit(h.now, r)
		orders, answers := h.takePending()
		var started []worker.ID
		for _, o := range orders {
			if o.Kind == StartOrder && o.Task.Job == "b" {
				started = append(started, o.Worker)
			}
		}
		if len(started) != 1 || started[0] != c.want || len(answers) != 0 || h.pool.Counts.PlacedApart != c.apart {
			t.Errorf("%s with %d workers, %d of them beside row a: started on %v, want %s; %d answers; %d placed apart, want %d",
				c.mode, c.workers, c.running, started, c.want, len(answers), h.pool.Counts.PlacedApart, c.apart)
		}
	}
}

// TestNotLateToBeApart: a worker that meets the objective is taken although it slows the task, if the ones
// without the slowing row don't meet it.
func TestNotLateToBeApart(t *testing.T) {
	h := interferenceHarness(t, interference.Avoid, 2, 1)
	for range 40 { // w1 is slow as a whole
		h.pool.estimator.Observe("c", &job.Step{Estimate: 100 * time.Millisecond}, "", "w1", 800*time.Millisecond)
		h.pool.estimator.Observe("c", &job.Step{Estimate: 100 * time.Millisecond}, "", "w0", 100*time.Millisecond)
	}
	r := request("b", 1, 200*time.Millisecond)
	r.Row, r.Latency = "b", 100*time.Millisecond
	h.pool.Submit(h.now, r)
	for _, o := range h.ordersOfKind(StartOrder) {
		if o.Worker != "w0" {
			t.Errorf("started on %s, where it is late", o.Worker)
		}
	}
}

// TestForecastCountsInterference: a slot is free later if what runs beside its task slows it.
func TestForecastCountsInterference(t *testing.T) {
	freeAt := func(mode interference.Mode) (latest time.Duration) {
		h := interferenceHarness(t, mode, 1, 1)
		r := request("b", 1, time.Second)
		r.Row, r.Latency = "b", 5*time.Second
		h.pool.Submit(h.now, r)
		for _, s := range h.pool.forecast(h.now, 6800) {
			latest = max(latest, s.freeAt.Sub(h.now))
		}
		return latest
	}
	alone, beside := freeAt(interference.Observe), freeAt(interference.Avoid)
	if ratio := float64(beside) / float64(alone); ratio < 1.4 || ratio > 1.6 {
		t.Errorf("the slot is free after %s, and without interference after %s", beside, alone)
	}
}

// TestObservesOnlyWholeRuns: runs that were adopted or stopped, or whose start was repeated, are not
// learned from.
func TestObservesOnlyWholeRuns(t *testing.T) {
	observed := func(change func(h *harness, tk *task)) int {
		h := newHarness(t, 1)
		h.pool.config.Interference = interference.Observe
		h.advance(10 * time.Millisecond) // a run ordered at the takeover counts as adopted
		h.pool.Submit(h.now, request("j", 1, 100*time.Millisecond))
		start := h.ordersOfKind(StartOrder)[0]
		h.reply(start, Reply{Done: true})
		tk := h.pool.jobs["j"].tasks[0]
		h.now = h.now.Add(100 * time.Millisecond)
		change(h, tk)
		w := h.pool.workers["w0"]
		h.pool.handleEnd(h.now, w, End{Number: 1, Task: tk.name, Run: tk.run, Kind: EndedDone})
		s, _ := h.pool.interference.TakeSummary(h.now.Add(time.Minute))
		return s.Observations
	}
	if n := observed(func(*harness, *task) {}); n != 1 {
		t.Errorf("%d observations of a whole run, want one", n)
	}
	for name, change := range map[string]func(*harness, *task){
		"adopted":  func(h *harness, tk *task) { tk.orderedAt = h.pool.startedAt },
		"stopped":  func(h *harness, tk *task) { h.pool.stopTask(h.now, tk) },
		"repeated": func(_ *harness, tk *task) { tk.startSentAt = tk.orderedAt.Add(time.Millisecond) },
		"beside an unknown run": func(h *harness, _ *task) {
			h.pool.workers["w0"].orphans[job.Task{Job: "x"}] = 1
		},
	} {
		if n := observed(change); n != 0 {
			t.Errorf("%s: %d observations, want none", name, n)
		}
	}
}

// TestNoTaskRunsTwiceWhenPlacedApart runs random schedules in which each dispatcher takes the tasks for such
// that slow each other down, so that all are placed apart.
func TestNoTaskRunsTwiceWhenPlacedApart(t *testing.T) {
	t.Parallel()
	apart := 0
	for seed := range uint64(60) {
		sim := newSimulation(seed, noFault)
		sim.taught = true
		if _, err := sim.run(scheduleSteps); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for _, p := range sim.pools {
			apart += p.Counts.PlacedApart
		}
	}
	t.Logf("%d tasks placed apart", apart)
	if apart < 60 {
		t.Errorf("%d tasks were placed apart, too few for the test to be conclusive", apart)
	}
}

// BenchmarkSelectWorker measures the choice among 40 workers that each run one task, without and with a known pair.
func BenchmarkSelectWorker(b *testing.B) {
	for _, known := range []bool{false, true} {
		b.Run(fmt.Sprint("known pair ", known), func(b *testing.B) {
			h := &harness{now: time.Unix(1000, 0)}
			h.pool = New(h.now, Config{Fence: 1, LeaseMax: time.Second, StopMax: 50 * time.Millisecond, Interference: interference.Avoid})
			for i := range 40 {
				h.announce(fmt.Sprint("w", i), 1)
			}
			for _, o := range h.ordersOfKind(RenewOrder) {
				h.reply(o, Reply{Done: true})
			}
			for i := range 40 {
				r := request(fmt.Sprint("j", i), 1, time.Second)
				r.Latency, r.Job.Steps[0].Need.MilliCores = time.Hour, 9000
				h.pool.Submit(h.now, r)
			}
			if known {
				teach(h.pool, h.now, "row", "row")
			}
			j := &jobState{Request: request("next", 1, time.Second)}
			createTasks(j)
			b.ReportAllocs()
			for b.Loop() {
				h.pool.selectWorker(h.now, h.pool.byID, j.tasks[0])
			}
		})
	}
}
