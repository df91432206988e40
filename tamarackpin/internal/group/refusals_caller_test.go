package group

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/worker"
)

// traceEntry is a line of a job's trace, which is printed if checkRefusal fails.
type traceEntry struct {
	at     time.Duration
	event  string
	number uint64 // of the attempt, call or run that the event is about; 0 if there is none
}

// simJob is a job and its caller, which sends it to a random gate up to three times.
type simJob struct {
	w                  *world
	request            pool.Request
	homeGroup          int // index of the group that the job belongs to
	attempts           []*simAttempt
	retryPending       bool // another attempt is scheduled
	starts             int
	startsAfterRefusal int // of these, after the last attempt was refused
	trace              []traceEntry
	startedWithoutGate bool // a dispatcher ordered a start with no gate waiting
}

// newJob creates a random job, a quarter of them for group 1, and sends it for the first
// time.
func (w *world) newJob() {
	j := &simJob{w: w, request: pool.Request{
		Job: job.Job{ID: job.ID(fmt.Sprint("j", len(w.jobs)+1)), Steps: []job.Step{{
			Count: 1 + w.r.IntN(3), Need: worker.Resources{MilliCores: 1000, MemoryMB: 10}, Estimate: w.randomDelay(20, 500),
		}}},
		Row: "row", Service: "s", MaxAttempts: 3, Stretch: 1.6, Latency: 60 * time.Millisecond,
	}}
	if w.oneIn(4) {
		j.homeGroup = 1
	}
	w.jobs = append(w.jobs, j)
	w.stats["jobs"]++
	j.send()
}

// job returns the job with the id. It panics if there is none.
func (w *world) job(id job.ID) *simJob {
	return w.jobs[slices.IndexFunc(w.jobs, func(j *simJob) bool { return j.request.Job.ID == id })]
}

// record adds an event to the trace at the current time.
func (j *simJob) record(event string, number uint64) {
	j.trace = append(j.trace, traceEntry{j.w.now.Sub(j.w.startedAt), event, number})
}

// send starts an attempt at a random gate. In one of 12 the caller's connection to it
// breaks; the gate notices that within 300 ms or never.
func (j *simJob) send() {
	w := j.w
	j.retryPending = false
	t := &simAttempt{w: w, job: j, gate: w.gates[w.r.IntN(gateCount)], startedAt: w.now, request: j.request}
	t.deadline = w.now.Add(w.randomDelay(200, 2500))
	if t.deadlineNoticedAt = t.deadline; w.oneIn(3) {
		t.deadlineNoticedAt = t.deadline.Add(w.randomDelay(1, 60))
	}
	j.attempts = append(j.attempts, t)
	w.attempts = append(w.attempts, t)
	j.record("attempt", uint64(len(j.attempts)))
	if !w.oneIn(12) {
		return
	}
	w.after(w.randomDelay(5, 900), func() {
		if t.finished {
			return
		}
		t.disconnected = true
		j.record("connection broken", 0)
		if w.oneIn(2) {
			w.after(w.randomDelay(0, 300), func() { t.disconnectNoticed = true })
		}
		j.retry()
	})
}

// retry schedules the caller's next attempt, after one without an answer or one that was
// abandoned. There are three attempts at most.
func (j *simJob) retry() {
	if j.retryPending || len(j.attempts) >= 3 {
		return
	}
	j.retryPending = true
	j.w.stats["resent"]++
	j.w.after(callerRetryDelay, j.send)
}

// receiveOutcome handles the answer to an attempt. It is lost if the caller's connection
// broke.
func (j *simJob) receiveOutcome(t *simAttempt, o job.Outcome) {
	if t.disconnected {
		return
	}
	j.record(string(o), 0)
	t.outcome = o
	if o == job.Abandoned && !j.w.oneIn(4) {
		j.retry()
	}
	j.checkRefusal()
}

// taskStarted records that a worker started a task of the job.
func (j *simJob) taskStarted(run job.Run) {
	j.starts++
	if j.attempts[len(j.attempts)-1].outcome == job.NotRun && !j.retryPending {
		j.startsAfterRefusal++
	}
	j.record("started, run", uint64(run))
	j.w.stats["starts"]++
	j.checkRefusal()
}

// checkRefusal fails the schedule, with the job's trace, if every attempt at the job was
// refused and a task of it was started.
func (j *simJob) checkRefusal() {
	if j.starts == 0 || j.w.err != nil || !j.refused() {
		return
	}
	var trace strings.Builder
	for _, entry := range j.trace {
		fmt.Fprintf(&trace, "\n%s %s %d", entry.at, entry.event, entry.number)
	}
	j.w.err = fmt.Errorf("job %s was refused and started%s", j.request.Job.ID, trace.String())
}

// refused reports whether every attempt was answered as not run and no other is scheduled.
// An attempt without an answer is not refused.
func (j *simJob) refused() bool {
	for _, t := range j.attempts {
		if t.outcome != job.NotRun {
			return false
		}
	}
	return !j.retryPending
}

// addStats counts the job by its final state.
func (j *simJob) addStats() {
	if j.startedWithoutGate {
		j.w.stats["jobs started with no gate waiting"]++
	}
	last := j.attempts[len(j.attempts)-1].outcome
	switch {
	case last == "":
	case last != job.NotRun:
		j.w.stats[string(last)]++
	case j.refused():
		j.w.stats["refused"]++
	case j.startsAfterRefusal > 0:
		// An earlier attempt had another answer or none, so the caller was not promised
		// that the job does not run.
		j.w.stats["refused at the last attempt only, started after"]++
	case j.starts > 0:
		j.w.stats["refused at the last attempt only, started before"]++
	default:
		j.w.stats["refused at the last attempt only, not started"]++
	}
}
