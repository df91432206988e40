package pool

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/worker"
)

// capacityNotice is how long after it shrank a worker's former capacity may still be used:
// the contact time of the deployments (3 s) and one announcement interval, as the platform
// states it.
const capacityNotice = 4500 * time.Millisecond

// announceCapacity announces another capacity of a worker of a harness.
func (h *harness) announceCapacity(id string, sequence uint64, milliCores int) {
	h.pool.UpdateWorker(h.now, worker.Record{AnnouncedAt: h.now, Announcement: worker.Announcement{
		Worker: worker.ID(id), Incarnation: 1, Sequence: sequence, Service: "s", Address: id,
		Capacity: worker.Resources{MilliCores: milliCores, MemoryMB: 1000}, Clock: worker.Clock(time.Hour + h.now.Sub(time.Unix(1000, 0))),
	}})
}

// unguarded returns a request of one task for workers that do not guard their capacity.
func unguarded(id string) Request {
	r := request(id, 1, 200*time.Millisecond)
	r.Unguarded, r.RemainingWait = true, 20*time.Second
	return r
}

// startedJobs acknowledges the pending starts and returns the ids of their jobs.
func (h *harness) startedJobs() (ids []job.ID) {
	for _, o := range h.ordersOfKind(StartOrder) {
		ids = append(ids, o.Task.Job)
		h.reply(o, Reply{Done: true})
	}
	return ids
}

// TestCapacityThatShrinksWhileTasksRun guards against starts beyond the capacity of a worker
// that shrinks under its runs and grows again.
func TestCapacityThatShrinksWhileTasksRun(t *testing.T) {
	h := newHarness(t, 1)
	for i := range 5 {
		h.pool.Submit(h.now, unguarded(fmt.Sprint("j", i)))
	}
	if ids := h.startedJobs(); len(ids) != 2 {
		t.Fatalf("started %v on a worker with room for two", ids)
	}
	h.announceCapacity("w0", 2, 8000)
	h.advance(10 * time.Millisecond)
	h.endRun(1, job.Task{Job: "j0"}, job.Task{Job: "j1"})
	if ids := h.startedJobs(); len(ids) != 0 {
		t.Errorf("started %v beside a run that fills the worker", ids)
	}
	h.advance(10 * time.Millisecond)
	h.endRun(2, job.Task{Job: "j1"})
	if ids := h.startedJobs(); len(ids) != 1 {
		t.Errorf("started %v on a worker with room for one", ids)
	}
	h.announceCapacity("w0", 3, 16000)
	if ids := h.startedJobs(); len(ids) != 1 {
		t.Errorf("started %v on a worker that has room for another one again", ids)
	}
}

// TestUnknownCapacityIsNotFilled: while no announcement arrives, replies show that a worker
// lives, not what its capacity is. A worker that refuses what does not fit is used on.
func TestUnknownCapacityIsNotFilled(t *testing.T) {
	for _, guarded := range []bool{false, true} {
		h := newHarness(t, 1)
		for range 200 {
			h.advance(20 * time.Millisecond)
			for _, o := range h.ordersOfKind(RenewOrder) {
				h.reply(o, Reply{Done: true})
			}
		}
		r := unguarded("late")
		r.Unguarded = !guarded
		h.pool.Submit(h.now, r)
		if ids := h.startedJobs(); (len(ids) > 0) != guarded {
			t.Errorf("guarded %v: started %v, 4 s after the last announcement", guarded, ids)
		}
	}
}

// TestShrunkWorkerIsNotTriedAgainAndAgain guards against a start every few milliseconds
// on a worker that shrank and refuses what does not fit, until it announces that.
func TestShrunkWorkerIsNotTriedAgainAndAgain(t *testing.T) {
	const untilAnnounced, limit = 1500 * time.Millisecond, 6
	h := newHarness(t, 1)
	for _, id := range []string{"running", "waiting"} {
		r := unguarded(id)
		r.Unguarded = false
		if id == "running" {
			r.Job.Steps[0].Estimate = 2 * time.Second // as its progress says, so that it is not stopped as too slow
		}
		h.pool.Submit(h.now, r)
		if id == "running" {
			h.startedJobs()
		}
	}
	refusals := 0
	for range untilAnnounced / (10 * time.Millisecond) {
		for _, o := range h.ordersOfKind(StartOrder) {
			refusals++
			h.reply(o, Reply{Refusal: RefusedRoom})
		}
		for _, o := range h.ordersOfKind(RenewOrder) {
			h.reply(o, Reply{Done: true, Running: []RunningTask{{Task: job.Task{Job: "running"}, Run: 1, Percent: int(h.now.UnixMilli() % 1e6 / 20)}}})
		}
		h.advance(10 * time.Millisecond)
	}
	if refusals > limit {
		t.Errorf("%d starts were refused for want of room, want at most %d", refusals, limit)
	}
	h.announceCapacity("w0", 2, 16000)
	h.advance(10 * time.Millisecond)
	if ids := h.startedJobs(); len(ids) != 1 {
		t.Errorf("started %v once the worker has announced its capacity, want the waiting job", ids)
	}
}

// TestCapacityOfNewIncarnationIsAwaited: a worker that restarts may come back smaller.
func TestCapacityOfNewIncarnationIsAwaited(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.Submit(h.now, unguarded("first"))
	start := h.ordersOfKind(StartOrder)[0]
	r := Reply{Order: start, ReceivedAt: h.now, Refusal: RefusedUnhealthy, RepliedBy: 2, Clock: worker.Clock(time.Second), HasClock: true}
	h.pool.Receive(h.now, r)
	h.advance(time.Second)
	if ids := h.startedJobs(); len(ids) > 0 {
		t.Errorf("started %v on an incarnation whose capacity is not known", ids)
	}
	h.announce("w0", 2)
	for _, o := range h.ordersOfKind(RenewOrder) {
		h.reply(o, Reply{Done: true})
	}
	h.advance(20 * time.Millisecond)
	if ids := h.startedJobs(); len(ids) != 1 {
		t.Errorf("started %v once its capacity is known, want the job", ids)
	}
}

// checkCapacity records an error if a start brings a worker over its capacity. One that
// shrank counts capacityNotice later.
func (sim *simulation) checkCapacity(s *simWorker, o Order) {
	limit := 2
	if sim.now.Before(s.shrunkUntil) && sim.now.Sub(s.shrunkSince) > capacityNotice {
		limit = 1
	}
	if len(s.running) >= limit && sim.overfilled == nil {
		sim.overfilled = fmt.Errorf("at %s task %v starts as number %d on %s, ordered %s ago", sim.now.Sub(time.Unix(1000, 0)), o.Task, len(s.running)+1, s.id, sim.now.Sub(o.Sent))
	}
}

// shrinkOrGrow changes the capacity of a worker at random.
func (sim *simulation) shrinkOrGrow() {
	s := sim.workers[sim.capacities.IntN(simWorkers)]
	if sim.capacities.IntN(400) == 0 && !sim.now.Before(s.shrunkUntil) {
		s.shrunkSince, s.shrunkUntil = sim.now, sim.now.Add(time.Duration(sim.capacities.IntN(8000))*time.Millisecond)
		sim.stats["shrinks"]++
	}
}

// TestUnguardedWorkersAreNotOverfilled runs the random schedules with workers that start
// whatever they are ordered to, and whose capacity shrinks and grows.
func TestUnguardedWorkersAreNotOverfilled(t *testing.T) {
	t.Parallel()
	shrinks := 0
	for seed := range uint64(scheduleSeeds) {
		sim := newSimulation(seed, noFault)
		sim.capacities = rand.New(rand.NewPCG(seed, 2))
		for range scheduleSteps {
			sim.shrinkOrGrow()
			if err := sim.step(); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			if sim.overfilled != nil {
				t.Errorf("seed %d: %v", seed, sim.overfilled)
				break
			}
		}
		shrinks += sim.stats["shrinks"]
	}
	if shrinks < scheduleSeeds {
		t.Errorf("capacity shrank %d times in %d schedules, too few for the test to be conclusive", shrinks, scheduleSeeds)
	}
}

// TestLargeCapacityExhaustsMemory guards against a forecast with a slot for each need that
// fits on a worker, whatever the number of tasks that wait: a capacity far too large, as
// in an announcement that is not the worker's own, ended the process for want of memory.
func TestLargeCapacityExhaustsMemory(t *testing.T) {
	const limit = 1 << 20 // bytes
	h := newHarness(t, 1)
	h.announceCapacity("w0", 2, 1<<20)
	r := request("j", 1, time.Second)
	r.Job.Steps[0].Need.MilliCores = 1
	r.Job.Steps = append(r.Job.Steps, job.Step{Count: 1, Need: worker.Resources{MilliCores: 1}, After: []int{0}})
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	h.pool.Submit(h.now, r)
	h.advance(shedInterval)
	runtime.ReadMemStats(&after)
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > limit {
		t.Errorf("a job of two tasks allocated %d bytes on a worker of %d cores, want at most %d", allocated, 1<<20/1000, limit)
	}
}

// TestAnnouncementWithoutClock guards against an announcement that has no clock reading, which
// counted as a reading of 0 once the last one was a second old: the worker refused the next
// start as too late.
func TestAnnouncementWithoutClock(t *testing.T) {
	h := newHarness(t, 1)
	h.advance(2 * time.Second)
	h.pool.UpdateWorker(h.now, worker.Record{AnnouncedAt: h.now, Announcement: worker.Announcement{
		Worker: "w0", Incarnation: 1, Sequence: 2, Service: "s", Address: "w0", Capacity: worker.Resources{MilliCores: 16000, MemoryMB: 1000},
	}})
	h.pool.Submit(h.now, request("j", 1, time.Second))
	clock := worker.Clock(time.Hour + 2*time.Second)
	if starts := h.ordersOfKind(StartOrder); len(starts) != 1 || starts[0].Deadline <= clock {
		t.Errorf("starts %+v at a clock reading of %s, want one with a later deadline", starts, time.Duration(clock))
	}
}
