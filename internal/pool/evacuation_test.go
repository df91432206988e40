package pool

import (
	"fmt"
	"testing"
	"time"

	"tamarackpin.example/internal/evacuation"
	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/latestart"
	"tamarackpin.example/internal/worker"
)

// testGrace is the grace period for jobs that have begun where the platform states no bound.
const testGrace = defaultEvacuationBound / 2

// evacuate has the failure domain of the harness evacuated, by an order that was committed age ago.
func (h *harness) evacuate(age time.Duration) {
	d := h.pool.evacuation
	h.pool.SetEvacuation(h.now, evacuation.Domain{FailureDomain: "a", Revision: d.Revision + 1, Evacuated: true, Since: h.now.Add(-age)})
}

// returnToService withdraws the evacuation.
func (h *harness) returnToService() {
	h.pool.SetEvacuation(h.now, evacuation.Domain{FailureDomain: "a", Revision: h.pool.evacuation.Revision + 1, Since: h.now})
}

// starts replies to all orders as a worker that carries them out and ends no run, and returns the starts and answers.
func (h *harness) starts() (starts []Order, answers []Answer) {
	orders, answers := h.takePending()
	listed := make(map[worker.ID][]RunningTask)
	for _, w := range h.pool.byID {
		for _, t := range assignedTasks(w) {
			if t.phase != running {
				continue
			}
			listed[w.Worker] = append(listed[w.Worker], RunningTask{Task: t.name, Run: t.run})
		}
	}
	for _, o := range orders {
		if o.Kind == StartOrder {
			starts = append(starts, o)
		}
		h.reply(o, Reply{Done: true, Running: listed[o.Worker]})
	}
	return starts, answers
}

// end reports the end of a run.
func (h *harness) end(o Order, number uint64, kind EndKind) {
	renewal := Order{Kind: RenewOrder, Worker: o.Worker, Incarnation: o.Incarnation, Fence: o.Fence, Sent: h.now}
	h.reply(renewal, Reply{Done: true, EndedRuns: []End{{Number: number, Task: o.Task, Run: o.Run, Kind: kind}}})
}

var elsewhere = Destination{FailureDomain: "b", VM: "ip-0a000009"}

// TestEvacuationReturnsJobsThatHaveNotBegun guards against jobs that wait in an evacuated failure domain until they are predicted to
// be late, and against an untrue refusal.
func TestEvacuationReturnsJobsThatHaveNotBegun(t *testing.T) {
	for _, c := range []struct {
		name    string
		request func(r *Request)
		late    bool // submitted after the order rather than before
		want    Answer
	}{
		{"another group may have room", func(r *Request) { r.CanOffload, r.OffloadTo = true, elsewhere }, false, Answer{Outcome: job.NotRun, TryElsewhere: true}},
		{"no other group", func(*Request) {}, false, Answer{Outcome: job.NotRun, RetryAfter: minRetryAfter}},
		{"offloaded here", func(r *Request) { r.Offloaded = true }, false, Answer{Outcome: job.NotRun, TryElsewhere: true}},
		{"new, another group may have room", func(r *Request) { r.CanOffload, r.OffloadTo = true, elsewhere }, true, Answer{Outcome: job.NotRun, TryElsewhere: true}},
		{"new, no other group", func(*Request) {}, true, Answer{Outcome: job.NotRun, RetryAfter: minRetryAfter}},
		{"new, offloaded here", func(r *Request) { r.Offloaded = true }, true, Answer{Outcome: job.NotRun, TryElsewhere: true}},
	} {
		h := newHarness(t, 1)
		if !c.late {
			h.pool.Submit(h.now, request("ahead", 2, 100*time.Millisecond)) // takes all the room
			h.starts()
		}
		r := request("a", 1, 900*time.Millisecond)
		c.request(&r)
		if !c.late {
			h.pool.Submit(h.now, r)
			if _, answers := h.takePending(); len(answers) > 0 {
				t.Fatalf("%s: answers %+v before the evacuation", c.name, answers)
			}
		}
		h.evacuate(0)
		if c.late {
			h.pool.Submit(h.now, r)
		}
		starts, answers := h.starts()
		if len(starts) > 0 || len(answers) != 1 || answers[0].Job != "a" || answers[0].Outcome != c.want.Outcome || answers[0].TryElsewhere != c.want.TryElsewhere || answers[0].RetryAfter < c.want.RetryAfter {
			t.Errorf("%s: starts %+v, answers %+v, want %+v at once", c.name, starts, answers, c.want)
		}
		if o, recorded := h.pool.offloads["a"]; recorded != r.CanOffload || o.to != r.OffloadTo {
			t.Errorf("%s: offload %+v, %v is recorded", c.name, o, recorded)
		}
		if r := h.pool.Report(h.now); r.FreeSlots != 0 || r.AcceptsOffload() {
			t.Errorf("%s: report %+v, want no free slots", c.name, r)
		}
	}
}

// TestEvacuationGraceForBegunJobs: a job that has begun starts its tasks for half of the bound, and is answered at once after that.
// An order that repeats the evacuation does not extend the time.
func TestEvacuationGraceForBegunJobs(t *testing.T) {
	h := newHarness(t, 1)
	r := request("a", 20, 400*time.Millisecond)
	r.RemainingWait, r.Stretch = 30*time.Second, 40
	h.pool.Submit(h.now, r)
	running, _ := h.starts()
	h.evacuate(500 * time.Millisecond)
	committedAt := h.now.Add(-500 * time.Millisecond)
	var lastStart time.Duration
	number := uint64(0)
	for range 400 {
		h.advance(10 * time.Millisecond)
		if h.now.Sub(committedAt) == 2*time.Second {
			h.evacuate(0)
		}
		if len(running) > 0 && h.now.Sub(running[0].Sent) >= 400*time.Millisecond {
			number++
			h.end(running[0], number, EndedDone)
			running = running[1:]
		}
		starts, answers := h.starts()
		running = append(running, starts...)
		if len(starts) > 0 {
			lastStart = h.now.Sub(committedAt)
		}
		if len(answers) > 0 {
			after := h.now.Sub(committedAt)
			if answers[0].Outcome != job.Abandoned || after < testGrace || after > testGrace+shedInterval+10*time.Millisecond {
				t.Errorf("answer %+v after %s, want abandoned after %s", answers[0], after, testGrace)
			}
			if lastStart < time.Second || lastStart >= testGrace {
				t.Errorf("the last start was after %s, want it within the grace of %s", lastStart, testGrace)
			}
			return
		}
	}
	t.Error("the job is not answered")
}

// TestNoStartAfterEvacuationFromAnyPath guards against each path on which a task may start after the grace.
func TestNoStartAfterEvacuationFromAnyPath(t *testing.T) {
	const over = testGrace
	patient := func(tasks int) Request {
		r := request("a", tasks, time.Second)
		r.RemainingWait, r.Stretch = 30*time.Second, 20
		return r
	}
	for _, c := range []struct {
		name string
		run  func(h *harness)
		want job.Outcome // of job a; empty if it goes on
	}{
		{"retry", func(h *harness) {
			h.pool.Submit(h.now, patient(1))
			running, _ := h.starts()
			h.evacuate(over)
			h.end(running[0], 1, EndedFailed)
		}, job.Abandoned},
		{"repeated order", func(h *harness) {
			h.pool.Submit(h.now, patient(1))
			start := h.ordersOfKind(StartOrder)[0]
			h.evacuate(over)
			h.reply(start, Reply{})
		}, job.Abandoned},
		{"remaining tasks of a job that has begun", func(h *harness) {
			h.pool.Submit(h.now, patient(6))
			running, _ := h.starts()
			h.evacuate(over)
			h.end(running[0], 1, EndedDone)
		}, job.Abandoned},
		{"forwarded job after a takeover", func(h *harness) {
			h.evacuate(over)
			r := patient(1)
			r.MayBeRunning = true
			h.pool.Submit(h.now, r)
		}, job.Abandoned},
		{"late start elsewhere", func(h *harness) {
			h.pool.lateStarts.Merge(h.now, []latestart.Record{{Task: job.Task{Job: "a"}, Run: 1, Worker: "w1", Expires: h.now.Add(10 * time.Second)}})
			h.evacuate(over)
			r := patient(1)
			r.CanOffload, r.OffloadTo = true, elsewhere // no second run anywhere
			h.pool.Submit(h.now, r)
		}, job.Abandoned},
		{"adopted run and a task beside it", func(h *harness) {
			h.pool = New(h.now, Config{Fence: 2, LeaseMax: time.Second, StopMax: 50 * time.Millisecond, EvacuationUnknown: true})
			h.announce("w0", 1)
			r := patient(2)
			r.MayBeRunning = true
			h.pool.Submit(h.now, r)
			h.evacuate(over)
			for _, o := range h.ordersOfKind(RenewOrder) {
				h.reply(o, Reply{Done: true, Running: []RunningTask{{Task: job.Task{Job: "a"}, Run: 1}}})
			}
		}, job.Abandoned},
		{"adopted run", func(h *harness) {
			h.pool = New(h.now, Config{Fence: 2, LeaseMax: time.Second, StopMax: 50 * time.Millisecond, EvacuationUnknown: true})
			h.announce("w0", 1)
			r := patient(1)
			r.MayBeRunning = true
			h.pool.Submit(h.now, r)
			h.evacuate(over)
			for _, o := range h.ordersOfKind(RenewOrder) {
				h.reply(o, Reply{Done: true, Running: []RunningTask{{Task: job.Task{Job: "a"}, Run: 1}}})
			}
		}, ""},
		{"division", func(h *harness) {
			h.pool = New(h.now, Config{Fence: 2, LeaseMax: time.Second, StopMax: 50 * time.Millisecond, DividedAt: h.now})
			h.announce("w0", 1)
			h.pool.Submit(h.now, patient(1))
			h.evacuate(over)
		}, job.Abandoned},
	} {
		h := newHarness(t, 2)
		c.run(h)
		var outcomes []job.Outcome
		for range 300 {
			starts, answers := h.starts()
			if len(starts) > 0 {
				t.Errorf("%s: %+v is started %s after the order", c.name, starts[0].Task, h.now.Sub(h.pool.evacuation.Since))
				break
			}
			for _, a := range answers {
				outcomes = append(outcomes, a.Outcome)
			}
			h.advance(10 * time.Millisecond)
		}
		want := []job.Outcome{c.want}
		if c.want == "" {
			want = nil
		}
		if fmt.Sprint(outcomes) != fmt.Sprint(want) {
			t.Errorf("%s: outcomes %v, want %v", c.name, outcomes, want)
		}
	}
}

// TestNothingStartsBeforeEvacuationsAreKnown guards against a process that has just restarted and starts tasks before it has learned
// that its failure domain is evacuated.
func TestNothingStartsBeforeEvacuationsAreKnown(t *testing.T) {
	for _, evacuated := range []bool{false, true} {
		h := newHarness(t, 0)
		h.pool = New(h.now, Config{Fence: 2, LeaseMax: time.Second, StopMax: 50 * time.Millisecond, EvacuationUnknown: true})
		h.announce("w0", 1)
		h.pool.Submit(h.now, request("a", 1, 100*time.Millisecond))
		for range 10 {
			if starts, answers := h.starts(); len(starts)+len(answers) > 0 {
				t.Fatalf("starts %+v and answers %+v before the evacuations are known", starts, answers)
			}
			if r := h.pool.Report(h.now); r.FreeSlots != 0 {
				t.Errorf("report %+v before the evacuations are known", r)
			}
			h.advance(10 * time.Millisecond)
		}
		if evacuated {
			h.evacuate(time.Minute)
		} else {
			h.pool.SetEvacuation(h.now, evacuation.Domain{})
		}
		starts, answers := h.starts()
		if (len(starts) == 1) == evacuated || (len(answers) == 1) != evacuated {
			t.Errorf("evacuated %v: starts %+v, answers %+v", evacuated, starts, answers)
		}
	}
}

// TestColdWorkersReturnSlowly guards against a failure domain that is returned to service and takes load for all its cores at once,
// which its cold workers cannot carry.
func TestColdWorkersReturnSlowly(t *testing.T) {
	announce := func(h *harness, id string, sequence uint64, cold time.Duration) {
		h.pool.UpdateWorker(h.now, worker.Record{AnnouncedAt: h.now, Announcement: worker.Announcement{
			Worker: worker.ID(id), Incarnation: 1, Sequence: sequence, Service: "s", Address: id, Capacity: worker.Resources{MilliCores: 64000, MemoryMB: 9000}, Clock: worker.Clock(time.Hour), ColdRemaining: cold,
		}})
	}
	h := newHarness(t, 0)
	announce(h, "warm", 1, 0)
	announce(h, "cold", 1, 10*time.Second)
	h.starts()
	if r := h.pool.Report(h.now); r.FreeSlots != 18 {
		t.Errorf("%d free slots without an evacuation, want 18: a worker that has just started is used as before", r.FreeSlots)
	}
	h.evacuate(time.Minute)
	h.returnToService()
	free := func() int { return h.pool.Report(h.now).FreeSlots }
	if n := free(); n != 9+1 {
		t.Errorf("%d free slots after the return, want 9 and one on the cold worker", n)
	}
	r := request("a", 18, 5*time.Second)
	r.RemainingWait, r.Stretch = 30*time.Second, 9
	h.pool.Submit(h.now, r)
	onCold := func(list []Order) (on []Order) {
		for _, o := range list {
			if o.Worker == "cold" {
				on = append(on, o)
			}
		}
		return on
	}
	starts, _ := h.starts()
	running := onCold(starts)
	if len(running) != 1 || len(starts) != 10 {
		t.Fatalf("%d of %d starts are on the cold worker, want 1 of 10", len(running), len(starts))
	}
	h.advance(100 * time.Millisecond)
	h.end(running[0], 1, EndedDone)
	starts, _ = h.starts()
	if n := len(onCold(starts)); n != 2 {
		t.Errorf("%d starts on the cold worker after one run, want 2", n)
	}
	announce(h, "cold", 2, 0)
	starts, _ = h.starts()
	if n := len(onCold(starts)); n != 6 {
		t.Errorf("%d starts on the worker once it is warm, want the 6 that wait", n)
	}
}
