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

// note is a line of a job's trace.
type note struct {
	at   time.Duration
	what string
	n    uint64 // the hand-over or fence
}

// simJob is a job and its caller, who sends it to one gate after the other.
type simJob struct {
	w       *world
	request pool.Request
	home    int // group
	tries   []*simTry
	coming  bool // another try is
	starts  int
	after   int // of them after the last try was refused
	trace   []note
	// deserted says that a dispatcher started it with no gate waiting.
	deserted bool
}

// newJob has a caller send a job.
func (w *world) newJob() {
	j := &simJob{w: w, request: pool.Request{
		Job: job.Job{ID: job.ID(fmt.Sprint("j", len(w.jobs)+1)), Steps: []job.Step{{
			Count: 1 + w.r.IntN(3), Need: worker.Resources{MilliCores: 1000, MemoryMB: 10}, Estimate: w.some(20, 500),
		}}},
		Row: "row", Service: "s", MaxAttempts: 3, Stretch: 1.6, Latency: 60 * time.Millisecond,
	}}
	if w.one(4) {
		j.home = 1
	}
	w.jobs = append(w.jobs, j)
	w.stats["jobs"]++
	j.send()
}

// job returns the job of an id.
func (w *world) job(id job.ID) *simJob {
	return w.jobs[slices.IndexFunc(w.jobs, func(j *simJob) bool { return j.request.Job.ID == id })]
}

// note adds a line to the trace.
func (j *simJob) note(what string, n uint64) {
	j.trace = append(j.trace, note{j.w.now.Sub(j.w.begun), what, n})
}

// send tries a gate. The caller's connection to it breaks now and then; the gate
// notices soon, or never.
func (j *simJob) send() {
	w := j.w
	j.coming = false
	t := &simTry{w: w, job: j, gate: w.gates[w.r.IntN(worldGates)], begun: w.now, request: j.request}
	t.until = w.now.Add(w.some(200, 2500))
	if t.notices = t.until; w.one(3) {
		t.notices = t.until.Add(w.some(1, 60))
	}
	j.tries = append(j.tries, t)
	w.tries = append(w.tries, t)
	j.note("try", uint64(len(j.tries)))
	if !w.one(12) {
		return
	}
	w.after(w.some(5, 900), func() {
		if t.over {
			return
		}
		t.unheard = true
		j.note("connection broken", 0)
		if w.one(2) {
			w.after(w.some(0, 300), func() { t.left = true })
		}
		j.comeAgain()
	})
}

// comeAgain has the caller send the job once more, after a try without an answer or
// one that was given up.
func (j *simJob) comeAgain() {
	if j.coming || len(j.tries) >= 3 {
		return
	}
	j.coming = true
	j.w.stats["resent"]++
	j.w.after(comesAgain, j.send)
}

// told takes in what a try was answered.
func (j *simJob) told(t *simTry, o job.Outcome) {
	if t.unheard {
		return
	}
	j.note(string(o), 0)
	t.told = o
	if o == job.Abandoned && !j.w.one(4) {
		j.comeAgain()
	}
	j.judge()
}

// started takes in that a worker began a task.
func (j *simJob) started(run job.Run) {
	j.starts++
	if j.tries[len(j.tries)-1].told == job.NotRun && !j.coming {
		j.after++
	}
	j.note("started, run", uint64(run))
	j.w.stats["starts"]++
	j.judge()
}

// judge finds a job that was refused at every try of its caller, and started.
func (j *simJob) judge() {
	if j.starts == 0 || j.w.err != nil || !j.refused() {
		return
	}
	var trace strings.Builder
	for _, n := range j.trace {
		fmt.Fprintf(&trace, "\n%s %s %d", n.at, n.what, n.n)
	}
	j.w.err = fmt.Errorf("job %s was refused and started%s", j.request.Job.ID, trace.String())
}

// refused reports whether every try was answered as not run. One without an answer
// does not count.
func (j *simJob) refused() bool {
	for _, t := range j.tries {
		if t.told != job.NotRun {
			return false
		}
	}
	return !j.coming
}

// count adds a job to the statistics.
func (j *simJob) count() {
	if j.deserted {
		j.w.stats["jobs that went on with no gate waiting"]++
	}
	last := j.tries[len(j.tries)-1].told
	switch {
	case last == "":
	case last != job.NotRun:
		j.w.stats[string(last)]++
	case j.refused():
		j.w.stats["refused"]++
	case j.after > 0:
		// A try before had another answer, or none: not a broken promise.
		j.w.stats["refused at the last try only, started after"]++
	case j.starts > 0:
		j.w.stats["refused at the last try only, started before"]++
	default:
		j.w.stats["refused at the last try only, not started"]++
	}
}
