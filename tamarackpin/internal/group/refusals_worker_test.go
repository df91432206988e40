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

// workerSlots is the number of tasks that a worker can run at the same time.
const workerSlots = 2

// simRun is a running task of a simulated worker.
type simRun struct {
	run              job.Run
	remaining, total time.Duration
}

// simWorker is a worker that follows the protocol of orders.
type simWorker struct {
	w             *world
	id            worker.ID
	incarnation   worker.Incarnation
	startedAt     time.Time
	clockRate     float64 // at most 1: its clock loses up to worker.ClockDrift
	downUntil     time.Time
	fence         lead.Fence
	leaseDeadline worker.Clock
	running       map[job.Task]simRun
	highestRun    map[job.Task]job.Run // highest run that was started or stopped
	ended         []pool.End
	lastEnd       uint64
	sequence      uint64
}

func newSimWorker(w *world, group, index int) *simWorker {
	s := &simWorker{w: w, id: worker.ID(fmt.Sprint("w", group, "-", index)), clockRate: 1 - worker.ClockDrift*w.r.Float64()}
	s.start()
	return s
}

// find returns the worker with the id, or nil.
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

// start begins a new incarnation of the worker, which runs nothing and knows no fence.
func (s *simWorker) start() {
	s.incarnation++
	s.startedAt, s.fence, s.leaseDeadline, s.lastEnd, s.ended, s.sequence = s.w.now, 0, 0, 0, nil, 0
	s.running, s.highestRun = make(map[job.Task]simRun), make(map[job.Task]job.Run)
}

func (s *simWorker) clock() worker.Clock {
	return worker.Clock(float64(s.w.now.Sub(s.startedAt)) * s.clockRate)
}

func (s *simWorker) announcement() worker.Announcement {
	s.sequence++
	return worker.Announcement{
		Worker: s.id, Incarnation: s.incarnation, Sequence: s.sequence, Service: "s", Address: string(s.id),
		Capacity: worker.Resources{MilliCores: 1000 * workerSlots, MemoryMB: 1000}, Clock: s.clock(),
	}
}

// handleOrder carries out an order and replies. A hold order with a Wait is answered when
// a run has ended or the wait is over. A worker that is down ignores orders.
func (s *simWorker) handleOrder(o pool.Order, late bool, reply func(pool.Reply)) {
	w := s.w
	if w.now.Before(s.downUntil) {
		return
	}
	if late {
		w.stats["late orders"]++
	}
	if o.Fence >= s.fence && o.Wait > 0 && len(s.ended) == 0 {
		s.extendLease(o.Deadline)
		o.Wait -= stepTime
		w.after(stepTime, func() { s.handleOrder(o, false, reply) })
		return
	}
	r := s.execute(o)
	if late && o.Kind == pool.StartOrder && r.Done {
		w.stats["late starts"]++
	}
	reply(r)
}

// execute carries out an order at once, unless its fence is older than one seen before.
func (s *simWorker) execute(o pool.Order) pool.Reply {
	r := pool.Reply{Order: o, Clock: s.clock(), HasClock: true, RepliedBy: s.incarnation}
	if o.Fence < s.fence {
		r.Refusal = pool.RefusedFence
		return r
	}
	s.fence = o.Fence
	switch o.Kind {
	case pool.StartOrder:
		r.Refusal = s.startTask(o)
		r.Done = r.Refusal == ""
	case pool.StopOrder:
		r.Done = true
		s.highestRun[o.Task] = max(s.highestRun[o.Task], o.Run)
		if current, ok := s.running[o.Task]; ok && current.run <= o.Run {
			s.endTask(o.Task, pool.EndedOther)
		}
	case pool.RenewOrder:
		r.Done = true
		s.ended = slices.DeleteFunc(s.ended, func(e pool.End) bool { return e.Number <= o.EndsSeen })
		s.extendLease(o.Deadline)
		r.EndedRuns = append(r.EndedRuns, s.ended...)
		for _, t := range s.tasks() {
			run := s.running[t]
			r.Running = append(r.Running, pool.RunningTask{Task: t, Run: run.run, Percent: int(100 * (run.total - run.remaining) / run.total)})
		}
	}
	return r
}

func (s *simWorker) extendLease(d worker.Clock) {
	s.leaseDeadline = max(s.leaseDeadline, min(d, s.clock()+worker.Clock(time.Second)))
}

// startTask starts a run of a task, or returns why not. It extends the lease in any case
// but one, an order past its deadline.
func (s *simWorker) startTask(o pool.Order) pool.Refusal {
	w := s.w
	if o.Deadline <= s.clock() {
		return pool.RefusedLate
	}
	s.extendLease(o.Deadline)
	if current, ok := s.running[o.Task]; ok && current.run == o.Run {
		return ""
	}
	if o.Run <= s.highestRun[o.Task] {
		return pool.RefusedOld
	}
	if len(s.running) >= workerSlots {
		return pool.RefusedRoom
	}
	s.highestRun[o.Task] = o.Run
	duration := w.randomDelay(10, 400)
	if w.oneIn(4) {
		duration *= 4
	}
	s.running[o.Task] = simRun{o.Run, duration, duration}
	w.job(o.Task.Job).taskStarted(o.Run)
	return ""
}

func (s *simWorker) endTask(t job.Task, how pool.EndKind) {
	s.lastEnd++
	s.ended = append(s.ended, pool.End{Number: s.lastEnd, Task: t, Run: s.running[t].run, Kind: how})
	delete(s.running, t)
}

// tasks returns the running tasks in order.
func (s *simWorker) tasks() []job.Task {
	return slices.SortedFunc(maps.Keys(s.running), job.Task.Compare)
}

// advance moves all runs on by stepTime and ends those that finished, failed or whose lease
// has lapsed.
func (s *simWorker) advance() {
	lapsed := s.clock() > s.leaseDeadline
	for _, t := range s.tasks() {
		run := s.running[t]
		run.remaining -= stepTime
		s.running[t] = run
		switch {
		case lapsed:
			s.endTask(t, pool.EndedLapsed)
		case run.remaining <= 0 && s.w.oneIn(40):
			s.endTask(t, pool.EndedFailed)
		case run.remaining <= 0:
			s.endTask(t, pool.EndedDone)
		}
	}
}
