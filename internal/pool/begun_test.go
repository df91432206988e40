package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tamarackpin.example/internal/job"
)

// endRun replies to the outstanding renewal of the first worker with the end of a run.
func (h *harness) endRun(number uint64, t job.Task, running ...job.Task) {
	for _, o := range h.ordersOfKind(RenewOrder) {
		r := Reply{Done: true, EndedRuns: []End{{Number: number, Task: t, Run: 1, Kind: EndedDone}}}
		for _, name := range running {
			r.Running = append(r.Running, RunningTask{Task: name, Run: 1})
		}
		h.reply(o, r)
	}
}

// TestBegunJobIsFinishedFirst guards against a job that loses its place half-way: its
// first tasks run, it becomes late, and new jobs that arrive all the time take each slot
// until its caller's deadline (TestWholePath: 504 after 3 s; a whole job counts, a part of
// one is work thrown away).
func TestBegunJobIsFinishedFirst(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.Submit(h.now, request("begun", 3, 60*time.Millisecond))
	for _, o := range h.ordersOfKind(StartOrder) {
		h.reply(o, Reply{Done: true})
	}
	for range 20 { // past its objective of 156 ms
		h.advance(20 * time.Millisecond)
		for _, o := range h.ordersOfKind(RenewOrder) {
			h.buffered = append(h.buffered, o)
		}
	}
	for i := range 2 {
		h.pool.Submit(h.now, request(fmt.Sprint("new-", i), 1, 60*time.Millisecond))
	}
	h.endRun(1, job.Task{Job: "begun", Index: 0}, job.Task{Job: "begun", Index: 1})
	starts := h.ordersOfKind(StartOrder)
	if len(starts) != 1 || starts[0].Task != (job.Task{Job: "begun", Index: 2}) {
		t.Errorf("started %+v, want the last task of the job that began", starts)
	}
}

// TestForwardedJobKeepsItsPlace: after a takeover a job that the earlier dispatcher may have begun waits until its
// runs there are over, and is late. New jobs took each slot until its caller's deadline (TestWholePath:
// 504 after 3 s).
func TestForwardedJobKeepsItsPlace(t *testing.T) {
	h := newHarness(t, 1)
	full := h.pool.Submit(h.now, request("full", 2, 60*time.Millisecond))
	for _, o := range h.ordersOfKind(StartOrder) {
		h.reply(o, Reply{Done: true})
	}
	r := request("forwarded", 1, 60*time.Millisecond)
	r.MayBeRunning, r.EarlierContactAge, r.Age = true, maxRunSilence, 1500*time.Millisecond
	h.pool.Submit(h.now, r)
	h.pool.Submit(h.now, request("new", 1, 60*time.Millisecond))
	h.advance(20 * time.Millisecond)
	for _, o := range h.ordersOfKind(RenewOrder) {
		h.buffered = append(h.buffered, o)
	}
	h.endRun(1, job.Task{Job: full.Job, Index: 0}, job.Task{Job: full.Job, Index: 1})
	starts := h.ordersOfKind(StartOrder)
	if len(starts) != 1 || starts[0].Task.Job != "forwarded" {
		t.Errorf("started %+v, want the forwarded job", starts)
	}
}

// TestClosedLoopOfCallersStarvesNoJob drives a saturated group: each of 12 callers sends
// its next job of two tasks when its last was answered, and six tasks run at once. Every
// job must be answered as completed, or refused before any of its tasks started; none may
// be given up half-way, and none may wait ten times as long as the work ahead of it takes.
func TestClosedLoopOfCallersStarvesNoJob(t *testing.T) {
	const callers, workers, length = 12, 3, 20 * time.Second
	const taskTime = 30 * time.Millisecond
	const maxTime = 10 * callers * 2 * taskTime / (2 * workers)
	rng := rand.New(rand.NewPCG(1, 1))
	start := time.Unix(1000, 0)
	s := &replay{start: start, now: start, jobs: make(map[job.ID]*replayJob), dispatcher: New(start, Config{Fence: 1, LeaseMax: time.Second, StopMax: 50 * time.Millisecond})}
	for i := range workers {
		s.workers = append(s.workers, newReplayWorker(i))
	}
	pending := make(map[int]*replayJob)
	sent, completed := 0, 0
	for end := start.Add(length); s.now.Before(end); s.now = s.now.Add(replayStep) {
		if s.now.Sub(start)%time.Second == 0 {
			s.announceWorkers()
		}
		for c := range callers {
			if j := pending[c]; j != nil && s.jobs[j.Job.ID] == nil {
				if j.answer == job.Abandoned {
					t.Fatalf("job %s was given up after %s", j.Job.ID, s.now.Sub(j.at))
				}
				if took := s.now.Sub(j.at); j.answer == job.Completed && took > maxTime {
					t.Errorf("job %s took %s, want %s at most", j.Job.ID, took, maxTime)
				}
				completed++
				pending[c] = nil
			}
			if pending[c] == nil {
				sent++
				r := request(fmt.Sprintf("%d-%d", c, sent), 2, taskTime)
				r.RemainingWait = 3 * time.Second
				j := &replayJob{Request: r, at: s.now}
				for range 2 {
					j.work = append(j.work, time.Duration(float64(taskTime)*(0.2+1.6*rng.Float64())))
				}
				pending[c], s.jobs[r.Job.ID] = j, j
				s.dispatcher.Submit(s.now, r)
			}
		}
		s.endCompletedRuns()
		if s.now.Sub(start)%(20*time.Millisecond) == 0 {
			s.dispatcher.Tick(s.now)
		}
		s.executeOrders()
	}
	if completed < sent/2 {
		t.Errorf("%d of %d jobs were answered", completed, sent)
	}
}

// TestLoadIsShedSeldomInARush: with a thousand jobs pending and one arriving each
// millisecond, the work ahead is forecast about every 50 ms and not at each arrival, whose
// cost would grow with the square of the jobs.
func TestLoadIsShedSeldomInARush(t *testing.T) {
	h := newHarness(t, 40)
	submit := func(id string) {
		r := request(id, 2, time.Second)
		r.RemainingWait, r.Latency = time.Hour, time.Hour
		h.pool.Submit(h.now, r)
	}
	for i := range 1000 {
		submit(fmt.Sprint("waiting-", i))
	}
	runs, last := 0, h.pool.lastShedAt
	for i := range 500 {
		h.now = h.now.Add(time.Millisecond)
		submit(fmt.Sprint("rush-", i))
		if i%20 == 0 {
			h.pool.Tick(h.now)
		}
		if h.pool.lastShedAt != last {
			runs, last = runs+1, h.pool.lastShedAt
		}
	}
	if runs < 8 || runs > 15 {
		t.Errorf("load was shed %d times in 0.5 s, want about 10", runs)
	}
}
