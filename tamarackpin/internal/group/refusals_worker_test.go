package group

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/worker"
)

// workerPlaces is how many tasks a worker has room for.
const workerPlaces = 2

// simRun is a run on a simulated worker.
type simRun struct {
	run         job.Run
	left, whole time.Duration
}

// simWorker carries out orders as the protocol says.
type simWorker struct {
	w           *world
	id          worker.ID
	incarnation worker.Incarnation
	born        time.Time
	rate        float64 // of its clock
	down        time.Time
	fence       lead.Fence
	deadline    worker.Clock
	running     map[job.Task]simRun
	highest     map[job.Task]job.Run // stopped, ended or running
	ended       []pool.End
	number      uint64
	sequence    uint64
}

func newSimWorker(w *world, group, index int) *simWorker {
	s := &simWorker{w: w, id: worker.ID(fmt.Sprint("w", group, "-", index)), rate: 1 - worker.ClockDrift*w.r.Float64()}
	s.start()
	return s
}

// find returns the worker of an id.
func (w *world) find(id worker.ID) *simWorker {
	for _, workers := range w.workers {
		for _, s := range workers {
			if s.id == id {
				return s
			}
		}
	}
	return nil
}

// start begins a life of the worker.
func (s *simWorker) start() {
	s.incarnation++
	s.born, s.fence, s.deadline, s.number, s.ended, s.sequence = s.w.now, 0, 0, 0, nil, 0
	s.running, s.highest = make(map[job.Task]simRun), make(map[job.Task]job.Run)
}

func (s *simWorker) clock() worker.Clock {
	return worker.Clock(float64(s.w.now.Sub(s.born)) * s.rate)
}

func (s *simWorker) announcement() worker.Announcement {
	s.sequence++
	return worker.Announcement{
		Worker: s.id, Incarnation: s.incarnation, Sequence: s.sequence, Service: "s", Address: string(s.id),
		Room: worker.Room{MilliCores: 1000 * workerPlaces, MemoryMB: 1000}, Clock: s.clock(),
	}
}

// carryOut does what an order says, and replies; a hold may wait for an end first.
func (s *simWorker) carryOut(o pool.Order, late bool, reply func(pool.Reply)) {
	w := s.w
	if w.now.Before(s.down) {
		return
	}
	if late {
		w.stats["late orders"]++
	}
	if o.Fence >= s.fence && o.Wait > 0 && len(s.ended) == 0 {
		s.extend(o.Deadline)
		o.Wait -= stepTime
		w.after(stepTime, func() { s.carryOut(o, false, reply) })
		return
	}
	r := s.execute(o)
	if late && o.Kind == pool.StartOrder && r.Done {
		w.stats["late starts"]++
	}
	reply(r)
}

// execute carries out one order.
func (s *simWorker) execute(o pool.Order) pool.Reply {
	r := pool.Reply{Order: o, Clock: s.clock(), HasClock: true, AnsweredBy: s.incarnation}
	if o.Fence < s.fence {
		r.Refusal = pool.RefusedFence
		return r
	}
	s.fence = o.Fence
	switch o.Kind {
	case pool.StartOrder:
		r.Refusal = s.begin(o)
		r.Done = r.Refusal == ""
	case pool.StopOrder:
		r.Done = true
		s.highest[o.Task] = max(s.highest[o.Task], o.Run)
		if now, there := s.running[o.Task]; there && now.run <= o.Run {
			s.end(o.Task, pool.EndedOther)
		}
	case pool.RenewOrder:
		r.Done = true
		s.ended = slices.DeleteFunc(s.ended, func(e pool.End) bool { return e.Number <= o.EndsSeen })
		s.extend(o.Deadline)
		r.Ended = append(r.Ended, s.ended...)
		for _, t := range s.tasks() {
			run := s.running[t]
			r.Running = append(r.Running, pool.RunningTask{Task: t, Run: run.run, Percent: int(100 * (run.whole - run.left) / run.whole)})
		}
	}
	return r
}

func (s *simWorker) extend(d worker.Clock) {
	s.deadline = max(s.deadline, min(d, s.clock()+worker.Clock(time.Second)))
}

// begin starts a task.
func (s *simWorker) begin(o pool.Order) pool.Refusal {
	w := s.w
	if o.Deadline <= s.clock() {
		return pool.RefusedLate
	}
	s.extend(o.Deadline)
	if now, there := s.running[o.Task]; there && now.run == o.Run {
		return ""
	}
	if o.Run <= s.highest[o.Task] {
		return pool.RefusedOld
	}
	if len(s.running) >= workerPlaces {
		return pool.RefusedRoom
	}
	s.highest[o.Task] = o.Run
	takes := w.some(10, 400)
	if w.one(4) {
		takes *= 4
	}
	s.running[o.Task] = simRun{o.Run, takes, takes}
	w.job(o.Task.Job).started(o.Run)
	return ""
}

func (s *simWorker) end(t job.Task, how pool.EndKind) {
	s.number++
	s.ended = append(s.ended, pool.End{Number: s.number, Task: t, Run: s.running[t].run, Kind: how})
	delete(s.running, t)
}

// tasks returns what runs, in order.
func (s *simWorker) tasks() []job.Task {
	return slices.SortedFunc(maps.Keys(s.running), job.Task.Compare)
}

// work lets the runs go on, end or lapse.
func (s *simWorker) work() {
	lapsed := s.clock() > s.deadline
	for _, t := range s.tasks() {
		run := s.running[t]
		run.left -= stepTime
		s.running[t] = run
		switch {
		case lapsed:
			s.end(t, pool.EndedLapsed)
		case run.left <= 0 && s.w.one(40):
			s.end(t, pool.EndedFailed)
		case run.left <= 0:
			s.end(t, pool.EndedDone)
		}
	}
}
