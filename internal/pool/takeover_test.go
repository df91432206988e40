package pool

import (
	"maps"
	"testing"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/worker"
)

// takeOver returns a harness whose dispatcher has just taken over: w0 has listed no runs, and the first
// query of w1, which is returned, has no reply yet.
func takeOver(t *testing.T) (h *harness, unlisted Order) {
	h = &harness{t: t, now: time.Unix(1000, 0)}
	h.pool = New(h.now, Config{Fence: 2, LeaseMax: time.Second, StopMax: 50 * time.Millisecond})
	h.announce("w0", 1)
	h.announce("w1", 1)
	for _, o := range h.ordersOfKind(RenewOrder) {
		if o.Worker == "w0" {
			h.reply(o, Reply{Done: true})
		} else {
			unlisted = o
		}
	}
	return h, unlisted
}

// TestResubmittedJobIsNotStartedBesideItsRun: after a takeover a job arrives as new, since its gate was lost,
// while a worker that runs it has not listed its runs. The dispatcher started it on another one (issue 47).
func TestResubmittedJobIsNotStartedBesideItsRun(t *testing.T) {
	h, unlisted := takeOver(t)
	r := patientRequest(time.Second)
	r.Job.ID = inheritedRun.Task.Job
	h.pool.Submit(h.now, r)
	h.advance(100 * time.Millisecond)
	if list := h.ordersOfKind(StartOrder); len(list) > 0 {
		t.Fatalf("starts before w1 has listed its runs: %+v", list)
	}
	h.reply(unlisted, Reply{Done: true, Running: []RunningTask{inheritedRun}})
	h.advance(recoveryDelay)
	if list := h.ordersOfKind(StartOrder); len(list) > 0 {
		t.Errorf("starts beside the run on w1: %+v", list)
	}
	if task := h.pool.jobs[r.Job.ID].tasks[0]; task.worker == nil || task.worker.Worker != "w1" {
		t.Errorf("task %+v, want it adopted on w1", task)
	}
}

// TestNewJobsStartOnceRunsAreKnown: the wait after a takeover ends with the last list of runs, and in any
// case when the leases of earlier dispatchers are over.
func TestNewJobsStartOnceRunsAreKnown(t *testing.T) {
	for _, listed := range []bool{true, false} {
		h, unlisted := takeOver(t)
		h.pool.Submit(h.now, patientRequest(time.Second))
		if listed {
			h.reply(unlisted, Reply{Done: true})
		} else {
			h.advance(recoveryDelay)
		}
		if list := h.ordersOfKind(StartOrder); len(list) != 1 {
			t.Errorf("w1 has listed its runs: %v, starts %+v, want 1", listed, list)
		}
	}
}

// TestNewJobWaitsForUnknownWorkers: a dispatcher that may not know all workers starts no job, until it
// knows them: one of them may run the job (issue 47).
func TestNewJobWaitsForUnknownWorkers(t *testing.T) {
	h := newHarness(t, 2)
	h.pool.config.WorkersIncomplete = true
	h.pool.Submit(h.now, patientRequest(time.Second))
	h.advance(100 * time.Millisecond)
	if list := h.ordersOfKind(StartOrder); len(list) > 0 {
		t.Errorf("starts although workers may be unknown: %+v", list)
	}
	h.pool.CompleteWorkers(h.now)
	if list := h.ordersOfKind(StartOrder); len(list) != 1 {
		t.Errorf("starts once all workers are known: %+v, want 1", list)
	}
}

// TestFirstDispatcherStartsNewJobsAtOnce: after the loss of all entry VMs no dispatcher knows all workers, and
// there is no earlier one whose runs could go on. Only a forwarded job waits.
func TestFirstDispatcherStartsNewJobsAtOnce(t *testing.T) {
	h := newHarness(t, 2)
	h.pool.config.WorkersIncomplete, h.pool.config.FirstDispatcher = true, true
	h.pool.Submit(h.now, request("new", 1, 200*time.Millisecond))
	forwarded := request("forwarded", 1, 200*time.Millisecond)
	forwarded.MayBeRunning = true
	h.pool.Submit(h.now, forwarded)
	if list := h.ordersOfKind(StartOrder); len(list) != 1 || list[0].Task.Job != "new" {
		t.Errorf("starts %+v, want one, of the new job", list)
	}
}

// TestJobWithUnknownRunIsNeitherRefusedNorOffloaded: while a worker may run a job unknown to the dispatcher,
// neither "not run" nor an offer to another group, which would start it, is true.
func TestJobWithUnknownRunIsNeitherRefusedNorOffloaded(t *testing.T) {
	h, unlisted := takeOver(t)
	late := request("late", 2, time.Second)
	late.Age, late.CanOffload = 900*time.Millisecond, true
	offloaded := request("offloaded", 1, 200*time.Millisecond)
	offloaded.Offloaded, offloaded.Age, offloaded.Service = true, 900*time.Millisecond, "other" // no worker is of it
	h.pool.Submit(h.now, late)
	admission := h.pool.Submit(h.now, offloaded)
	h.pool.Release(h.now, admission)
	h.advance(100 * time.Millisecond)
	if _, answers := h.pool.TakePending(); len(answers) > 0 {
		t.Errorf("answers while w1 has not listed its runs: %+v", answers)
	}
	if r := h.pool.Report(h.now); r.AcceptsOffload() || r.FreeSlots > 0 {
		t.Errorf("report %+v, want no free slots while nothing may start", r)
	}
	h.reply(unlisted, Reply{Done: true})
	h.advance(shedInterval)
	if _, answers := h.pool.TakePending(); len(answers) != 1 || answers[0].Job != "offloaded" || !answers[0].TryElsewhere {
		t.Errorf("answers once all runs are known: %+v, want the offloaded job to be tried elsewhere", answers)
	}
}

// announceLate has the dispatcher learn of worker w2 by its newest announcement, which is old.
func (h *harness) announceLate(age time.Duration, deregistered bool) {
	h.pool.UpdateWorker(h.now, worker.Record{AnnouncedAt: h.now.Add(-age), Deregistered: deregistered, Announcement: worker.Announcement{
		Worker: "w2", Incarnation: 1, Sequence: 1, Leaving: deregistered, Service: "s", Address: "w2", Capacity: worker.Resources{MilliCores: 16000, MemoryMB: 1000}, Clock: worker.Clock(time.Hour),
	}})
}

// TestDeregisteredWorkerMayRun: a worker whose deregistration is not acknowledged goes on for seconds with
// what it runs. A job that came as new after a takeover started beside its run there.
func TestDeregisteredWorkerMayRun(t *testing.T) {
	h := newHarness(t, 1)
	h.announceLate(0, true)
	r := patientRequest(time.Second)
	r.Job.ID = inheritedRun.Task.Job
	h.pool.Submit(h.now, r)
	query := h.ordersOfKind(RenewOrder)
	if list := h.ordersOfKind(StartOrder); len(list) > 0 || len(query) != 1 || query[0].Worker != "w2" {
		t.Fatalf("starts %+v and queries %+v, want one query of the deregistered worker", list, query)
	}
	h.reply(query[0], Reply{Done: true, Running: []RunningTask{inheritedRun}})
	h.advance(100 * time.Millisecond)
	if list := h.ordersOfKind(StartOrder); len(list) > 0 {
		t.Errorf("starts beside the run on the deregistered worker: %+v", list)
	}
}

// TestEndedWorkerDelaysNoStart: the wait after a takeover does not last for workers whose hosts refuse
// connections, if they have deregistered or do not announce themselves any more.
func TestEndedWorkerDelaysNoStart(t *testing.T) {
	for _, c := range []struct {
		name         string
		age          time.Duration
		deregistered bool
		refuses      bool // its host refuses connections; else it is silent
		starts       int
	}{
		{"crashed long ago", worker.AnnouncementTimeout, false, true, 1},
		{"deregistered", 0, true, true, 1},
		{"announced itself just now", 0, false, true, 0},
		{"deregistered, silent", 0, true, false, 0},
		{"deregistered long ago, silent", probeLimit + time.Second, true, false, 1},
	} {
		h := newHarness(t, 1)
		h.announceLate(c.age, c.deregistered)
		h.pool.Submit(h.now, patientRequest(time.Second))
		h.advance(5 * time.Millisecond)
		for _, o := range h.ordersOfKind(RenewOrder) {
			h.reply(o, Reply{NoListener: c.refuses})
		}
		h.advance(5 * time.Millisecond)
		if list := h.ordersOfKind(StartOrder); len(list) != c.starts {
			t.Errorf("%s: starts %+v, want %d", c.name, list, c.starts)
		}
	}
}

// TestNoFreeSlotsAfterDivision: nothing starts for recoveryDelay after a division, so the group offers
// no room to jobs of other groups.
func TestNoFreeSlotsAfterDivision(t *testing.T) {
	h := newHarness(t, 4)
	h.pool.config.DividedAt = h.now
	if r := h.pool.Report(h.now); r.FreeSlots > 0 || r.AcceptsOffload() {
		t.Errorf("report %+v just after a division, want no free slots", r)
	}
}

// TestForwardedJobWaitsForPredecessor: a gate learned of a takeover late and forwarded a job that the earlier
// dispatcher was running on a worker that only it reached; the next one started the job at once (issue 50). That all workers
// have listed their runs is no proof either, as the earlier dispatcher may start the job after that (issue 57). The job
// waits for maxRunSilence after the gate's last contact with that one, which may be over when it is forwarded.
func TestForwardedJobWaitsForPredecessor(t *testing.T) {
	for _, contactAge := range []time.Duration{-time.Second, 0, 400 * time.Millisecond, maxRunSilence - 5*time.Millisecond, maxRunSilence, time.Minute} {
		for _, listed := range []bool{true, false} {
			h, unlisted := takeOver(t)
			if listed {
				h.reply(unlisted, Reply{Done: true})
			}
			h.advance(2 * recoveryDelay)
			h.announce("w0", 1)
			forwarded := patientRequest(10 * time.Second)
			forwarded.Job.ID, forwarded.MayBeRunning, forwarded.EarlierContactAge = "forwarded", true, contactAge
			other := patientRequest(10 * time.Second)
			other.Job.ID = "other"
			h.pool.Submit(h.now, forwarded)
			h.pool.Submit(h.now, other)
			forwardedAt := h.now
			startedAfter := make(map[job.ID]time.Duration)
			for h.now.Sub(forwardedAt) < 2*maxRunSilence {
				for _, o := range h.ordersOfKind(StartOrder) {
					startedAfter[o.Task.Job] = h.now.Sub(forwardedAt)
				}
				h.announce("w0", 1)
				h.advance(5 * time.Millisecond)
			}
			want := map[job.ID]time.Duration{"other": 0, "forwarded": min(max(0, maxRunSilence-contactAge), maxRunSilence)}
			if !maps.Equal(startedAfter, want) {
				t.Errorf("contact until %s before the forward, all workers have listed their runs: %v; jobs start after %v, want %v", contactAge, listed, startedAfter, want)
			}
		}
	}
}
