package interference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/routes"
	"tamarackpin.example/internal/worker"
)

// simRow is a row of tasks of a simulation.
type simRow struct {
	name routes.RowName
	work time.Duration // on a worker of factor 1
	rate float64       // tasks a second
}

// simulation has workers of several slots that carry out tasks placed at random, or as place
// tells. Declared times are off by 40%, and the work of the tasks of a row varies by 40%.
type simulation struct {
	rows     []simRow
	workers  []*simWorker
	slowdown func(now time.Time, row, beside routes.RowName) float64 // at which a task of row runs beside one of another
	tail     float64                                                 // share of tasks that take 7 times as long
	perJob   int                                                     // tasks of a job, whose times are off alike; 0 stands for 1
	wave     float64                                                 // amplitude of the rates, with a period of 11 s
	packed   bool                                                    // fill workers up, as the pool does, rather than at random
	place    func(s *simulation, free []*simWorker, row routes.RowName) *simWorker
	random   *rand.Rand
	now      time.Time
	learner  Learner
	tasks    int
	observed func(o Observation) Observation // changes what is learned
	runs     map[[2]routes.RowName]int       // observations by row and the row that was beside for half of the time at least
}

type simWorker struct {
	id      worker.ID
	factor  float64 // not known to the estimate
	slots   int
	tasks   []*simTask
	tracker Tracker

	advancedAt time.Time
	ending     *simTask // the task that ends next
	endsAt     time.Time
}

type simTask struct {
	name      job.Task
	row       routes.RowName
	expected  time.Duration
	remaining float64 // seconds of work
	pace      float64 // time per unit of work at present
	startedAt time.Time
}

var simRows = []simRow{{"quick", 60 * time.Millisecond, 70}, {"long", 900 * time.Millisecond, 8}, {"medium", 200 * time.Millisecond, 45}}

// newSimulation returns a simulation of 20 workers of two slots, used to some two thirds.
func newSimulation(seed uint64, rows []simRow) *simulation {
	s := &simulation{rows: rows, random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), runs: make(map[[2]routes.RowName]int)}
	for i := range 20 {
		s.workers = append(s.workers, &simWorker{id: worker.ID(fmt.Sprint("w", i)), factor: 1, slots: 2})
	}
	s.slowdown = func(time.Time, routes.RowName, routes.RowName) float64 { return 1 }
	return s
}

// run simulates a length of time.
func (s *simulation) run(length time.Duration) {
	end := s.now.Add(length)
	total := 0.0
	for _, r := range s.rows {
		total += r.rate
	}
	for s.now.Before(end) {
		rate := total / float64(max(1, s.perJob)) * (1 + s.wave*math.Sin(2*math.Pi*float64(s.now.UnixMilli())/11000))
		next := s.now.Add(seconds(s.random.ExpFloat64() / rate))
		var on *simWorker
		for _, w := range s.workers {
			if w.ending != nil && w.endsAt.Before(next) {
				next, on = w.endsAt, w
			}
		}
		s.now = next
		if on != nil {
			s.end(on, on.ending)
		} else {
			s.arrive(total)
		}
	}
}

// advance counts the work done on w until now. It must be called before the tasks change.
func (s *simulation) advance(w *simWorker) {
	for _, t := range w.tasks {
		t.remaining -= s.now.Sub(w.advancedAt).Seconds() / t.pace
	}
	w.advancedAt = s.now
}

// schedule computes the next end on w. It must be called after the tasks changed.
func (s *simulation) schedule(w *simWorker) {
	w.ending = nil
	for _, t := range w.tasks {
		t.pace = w.factor
		for _, u := range w.tasks {
			if u != t {
				t.pace *= s.slowdown(s.now, t.row, u.row)
			}
		}
		if at := s.now.Add(seconds(max(0, t.remaining*t.pace))); w.ending == nil || at.Before(w.endsAt) {
			w.ending, w.endsAt = t, at
		}
	}
}

func (s *simulation) end(w *simWorker, t *simTask) {
	s.advance(w)
	w.tasks = slices.DeleteFunc(w.tasks, func(u *simTask) bool { return u == t })
	s.schedule(w)
	beside, ok := w.tracker.End(s.now, t.name)
	if !ok {
		return
	}
	o := Observation{t.row, w.id, s.now.Sub(t.startedAt), t.expected, s.perJob, beside}
	if s.observed != nil {
		o = s.observed(o)
	}
	for _, e := range beside {
		if e.Share >= 0.5 {
			s.runs[[2]routes.RowName{t.row, e.Row}]++
		}
	}
	s.learner.Observe(s.now, o)
}

// arrive starts the tasks of a job of a random row on workers with free slots, and drops those without one.
func (s *simulation) arrive(total float64) {
	at := s.random.Float64() * total
	var row simRow
	for _, r := range s.rows {
		row = r
		if at -= r.rate; at < 0 {
			break
		}
	}
	declared := row.work.Seconds() * (0.6 + 0.8*s.random.Float64())
	work := declared * (0.6 + 0.8*s.random.Float64())
	if s.random.Float64() < s.tail {
		work *= 7
	}
	for range max(1, s.perJob) {
		s.start(row, declared, work)
	}
}

// start starts a task of a row.
func (s *simulation) start(row simRow, declared, work float64) {
	var free []*simWorker
	for _, w := range s.workers {
		if len(w.tasks) < w.slots {
			free = append(free, w)
		}
	}
	if len(free) == 0 {
		return
	}
	w := free[s.random.IntN(len(free))]
	if s.packed {
		for _, other := range free {
			if len(other.tasks) > len(w.tasks) {
				w = other
			}
		}
	}
	if s.place != nil {
		w = s.place(s, free, row.name)
	}
	s.tasks++
	expected := seconds(math.Sqrt(declared * row.work.Seconds())) // as pool.Estimator.Work
	t := &simTask{name: job.Task{Job: "j", Index: s.tasks}, row: row.name, expected: expected, remaining: work, startedAt: s.now}
	s.advance(w)
	w.tracker.Start(s.now, t.name, t.row, t.expected)
	w.tasks = append(w.tasks, t)
	s.schedule(w)
}

func seconds(s float64) time.Duration { return time.Duration(s*float64(time.Second)) + 1 }

// busy returns the share of the slots that are taken.
func (s *simulation) busy() float64 {
	taken, slots := 0, 0
	for _, w := range s.workers {
		taken, slots = taken+len(w.tasks), slots+w.slots
	}
	return float64(taken) / float64(slots)
}

// slows returns a slowdown of one row beside another.
func slows(row, beside routes.RowName, factor float64) func(time.Time, routes.RowName, routes.RowName) float64 {
	return func(_ time.Time, r, b routes.RowName) float64 {
		if r == row && b == beside {
			return factor
		}
		return 1
	}
}

// confident returns the confident pairs as text.
func (s *simulation) confident() (list []string) {
	for _, p := range s.learner.Pairs() {
		if p.Confident {
			list = append(list, fmt.Sprintf("%s beside %s: %.2f of %d runs", p.Row, p.Beside, p.Factor, p.Observations))
		}
	}
	return list
}
