package pool

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/worker"
)

// loadWorker is a simulated worker that refuses what does not fit.
type loadWorker struct {
	id      worker.ID
	kind    worker.Kind
	factor  float64
	cores   int // in thousandths
	free    int
	lost    bool
	runs    map[job.Task]*loadRun
	ended   []End
	lastEnd uint64
}

// loadRun is a run on a loadWorker.
type loadRun struct {
	job               *loadJob
	run               job.Run
	startedAt, endsAt time.Time
}

// loadReplay is the state of one run of a trace and its totals.
type loadReplay struct {
	start     time.Time
	now       time.Time
	pool      *Pool
	workers   []*loadWorker
	byID      map[worker.ID]*loadWorker
	jobs      map[job.ID]*loadJob // not answered
	unreplied []Order             // renewals that wait at their workers, orders to lost workers
	loadTotals
}

// loadTotals are the results of replays.
type loadTotals struct {
	all       []*loadJob
	capacity  float64 // core-seconds of the workers that are not lost
	idle      float64 // core-seconds idle while a task waits
	idleFits  float64 // those on workers where a waiting task would fit
	spent     float64 // core-seconds of all runs
	discarded float64 // core-seconds of runs that did not end as done, or of jobs without a useful answer
}

// replayLoad runs one trace of a pattern.
func replayLoad(p loadPattern, seed uint64) loadTotals {
	start := time.Unix(1000, 0)
	s := &loadReplay{
		start: start, now: start, byID: make(map[worker.ID]*loadWorker), jobs: make(map[job.ID]*loadJob),
		pool: New(start.Add(-recoveryDelay), Config{Fence: 1, LeaseMax: time.Second, StopMax: 50 * time.Millisecond}),
	}
	for i := range loadWorkers {
		cores := 1000 * p.deployment.cores[i%2]
		w := &loadWorker{
			id: worker.ID(fmt.Sprintf("w%02d", i)), kind: worker.Kind("abc"[i%3 : i%3+1]), factor: p.deployment.factors[i%3],
			cores: cores, free: cores, runs: make(map[job.Task]*loadRun),
		}
		s.workers, s.byID[w.id] = append(s.workers, w), w
	}
	trace := loadTrace(start, p, seed)
	s.all = trace
	for end := start.Add(loadLength + 5*time.Second); s.now.Before(end); s.now = s.now.Add(loadStep) {
		elapsed := s.now.Sub(start)
		if elapsed%time.Second == 0 {
			s.announceWorkers()
		}
		if p.loss && elapsed == loadLossAt {
			s.loseWorkers()
		}
		s.endCompletedRuns()
		for len(trace) > 0 && !trace[0].at.After(s.now) {
			j := trace[0]
			trace = trace[1:]
			s.jobs[j.Job.ID] = j
			r := j.Request
			r.Age = s.now.Sub(j.at)
			s.pool.Submit(s.now, r)
		}
		if elapsed%(20*time.Millisecond) == 0 {
			s.pool.Tick(s.now)
		}
		s.executeOrders()
		if elapsed < loadLength {
			s.measureIdle()
		}
	}
	for _, j := range s.all {
		if j.usefulness() == 0 {
			s.discarded += j.spent
		}
	}
	return s.loadTotals
}

func (s *loadReplay) clock() worker.Clock { return worker.Clock(time.Hour + s.now.Sub(s.start)) }

// announceWorkers sends the announcements of the workers that are not lost.
func (s *loadReplay) announceWorkers() {
	for _, w := range s.workers {
		if w.lost {
			continue
		}
		s.pool.UpdateWorker(s.now, worker.Record{AnnouncedAt: s.now, Announcement: worker.Announcement{
			Worker: w.id, Incarnation: 1, Sequence: uint64(s.now.UnixMilli()), Service: "s", Address: string(w.id), Kind: w.kind,
			Capacity: worker.Resources{MilliCores: w.cores, MemoryMB: 65536}, Clock: s.clock(),
		}})
	}
}

// loseWorkers loses every fourth worker with its runs.
func (s *loadReplay) loseWorkers() {
	for i := 0; i < len(s.workers); i += 4 {
		w := s.workers[i]
		w.lost = true
		for _, t := range w.sortedRuns() {
			s.endRun(w, t, EndedOther)
		}
	}
}

func (w *loadWorker) sortedRuns() []job.Task {
	if len(w.runs) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Keys(w.runs), job.Task.Compare)
}

// endCompletedRuns ends the runs whose work is complete.
func (s *loadReplay) endCompletedRuns() {
	for _, w := range s.workers {
		var ended []job.Task
		for t, run := range w.runs {
			if !run.endsAt.After(s.now) {
				ended = append(ended, t)
			}
		}
		slices.SortFunc(ended, job.Task.Compare)
		for _, t := range ended {
			s.endRun(w, t, EndedDone)
		}
	}
}

func (s *loadReplay) endRun(w *loadWorker, t job.Task, kind EndKind) {
	run := w.runs[t]
	spent := float64(run.job.need()) / 1000 * s.now.Sub(run.startedAt).Seconds()
	s.spent += spent
	if kind == EndedDone {
		run.job.spent += spent
	} else {
		s.discarded += spent
	}
	w.lastEnd++
	w.ended = append(w.ended, End{Number: w.lastEnd, Task: t, Run: run.run, Kind: kind})
	w.free += run.job.need()
	delete(w.runs, t)
}

func (j *loadJob) need() int { return j.Job.Steps[0].Need.MilliCores }

// measureIdle adds the cores that are idle until the next step.
func (s *loadReplay) measureIdle() {
	least := s.pool.smallestNeed()
	for _, w := range s.workers {
		if w.lost {
			continue
		}
		s.capacity += float64(w.cores) / 1000 * loadStep.Seconds()
		idle := float64(w.free) / 1000 * loadStep.Seconds()
		if least != noTaskWaits {
			s.idle += idle
		}
		if w.free >= least {
			s.idleFits += idle
		}
	}
}

// executeOrders carries out orders until the dispatcher issues no more.
func (s *loadReplay) executeOrders() {
	for {
		orders, answers := s.pool.TakePending()
		for _, a := range answers {
			if j := s.jobs[a.Job]; j != nil {
				delete(s.jobs, a.Job)
				j.answer, j.answeredAt = a.Outcome, s.now
			}
		}
		unreplied := s.unreplied[:0:0]
		for _, o := range append(s.unreplied, orders...) {
			if !s.execute(o) {
				unreplied = append(unreplied, o)
			}
		}
		s.unreplied = unreplied
		if len(orders) == 0 {
			return
		}
	}
}

// execute carries out an order and reports whether it got a reply, or none in time. An order
// that got none is tried again in the next round. A renewal gets its reply when a run has
// ended or its Wait is over.
func (s *loadReplay) execute(o Order) bool {
	w := s.byID[o.Worker]
	r := Reply{Order: o, ReceivedAt: s.now, Done: true, RepliedBy: 1, Clock: s.clock(), HasClock: true}
	if w.lost {
		if s.now.Sub(o.Sent) < o.Wait+OrderTimeout {
			return false
		}
		s.pool.Receive(s.now, Reply{Order: o, ReceivedAt: s.now})
		return true
	}
	switch o.Kind {
	case StartOrder:
		j := s.jobs[o.Task.Job]
		if j == nil {
			break
		}
		if w.free < j.need() {
			r.Done, r.Refusal = false, RefusedRoom
			break
		}
		w.free -= j.need()
		w.runs[o.Task] = &loadRun{j, o.Run, s.now, s.now.Add(time.Duration(float64(j.work[o.Task.Index]) * w.factor))}
	case StopOrder:
		if run, runs := w.runs[o.Task]; runs && run.run <= o.Run {
			s.endRun(w, o.Task, EndedOther)
		}
	case RenewOrder:
		w.ended = slices.DeleteFunc(w.ended, func(e End) bool { return e.Number <= o.EndsSeen })
		if len(w.ended) == 0 && s.now.Sub(o.Sent) < o.Wait {
			return false
		}
		r.EndedRuns = slices.Clone(w.ended)
		for _, t := range w.sortedRuns() {
			run := w.runs[t]
			r.Running = append(r.Running, RunningTask{Task: t, Run: run.run, Percent: int(100 * s.now.Sub(run.startedAt) / run.endsAt.Sub(run.startedAt))})
		}
	}
	s.pool.Receive(s.now, r)
	return true
}
