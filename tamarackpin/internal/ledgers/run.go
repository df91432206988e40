package ledgers

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/ledger"
	"tamarackpin.example/internal/queue"
	"tamarackpin.example/internal/submission"
	"tamarackpin.example/tamarackpin/internal/dispatch"
	"tamarackpin.example/tamarackpin/internal/targets"
)

// runEnd is why a run ended.
type runEnd int

const (
	runDone    runEnd = iota + 1 // the submission has a durable result
	runRefused                   // it was never opened
	runMoved                     // this copy is no longer primary
)

// run is one open submission at its primary.
type run struct {
	copy     *hosted
	sequence submission.Sequence
	opened   chan struct{} // closed once the Opened record is appended
	done     chan struct{} // closed once end is set

	mu      sync.Mutex // guards all below; taken after that of the copy
	ids     []queue.TaskID
	ended   runEnd
	refusal *code.Error // of runRefused
}

func newRun(c *hosted, s submission.Sequence) *run {
	return &run{copy: c, sequence: s, opened: make(chan struct{}), done: make(chan struct{})}
}

func (r *run) finish(end runEnd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended == 0 {
		r.ended = end
		close(r.done)
	}
}

func (r *run) over() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended != 0
}

// withdraw takes the waiting tasks of r back from the dispatcher.
func (h *Host) withdraw(r *run) {
	r.mu.Lock()
	ids := r.ids
	r.mu.Unlock()
	if len(ids) > 0 {
		h.config.Dispatcher.Cancel(h.ctx, ids...)
	}
}

// ask returns what the dispatcher is asked for task i of e.
func (r *run) ask(key submission.Submission, deadline time.Time, i int) dispatch.Asked {
	return dispatch.Asked{
		Task:     queue.Task{Key: key.Key, Arrived: time.Now(), Deadline: deadline},
		Declared: key.Tasks[i].Declared.Std(),
		Tell:     func(g dispatch.Grant) { go r.granted(i, g) },
	}
}

// recover settles the open submissions of a ledger that was taken over: those
// with a task in doubt fail, the others go on. The caller holds the copy's mu.
func (c *hosted) recover() {
	for _, e := range c.copy.Ledger().Open() {
		r := newRun(c, e.Sequence)
		close(r.opened)
		c.runs[e.Sequence] = r
		switch doubt := e.InDoubt(); {
		case len(doubt) > 0:
			event.Log(c.host.config.Log, event.SubmissionInDoubt, zap.Stringer("submission", c.id(e.Sequence)), zap.Int("tasks", len(doubt)))
			c.close(r, e, code.InDoubt, fmt.Sprintf("%d tasks were started and their ends are not known", len(doubt)))
		case e.Failure != 0:
			c.close(r, e, code.SubmissionFailed, fmt.Sprintf("a task ended with %s", e.Failure))
		case e.AllEnded():
			c.close(r, e, code.OK, "")
		default:
			c.resume(r, e)
		}
	}
}

// resume asks for slots for the waiting tasks of e. The caller holds mu.
func (c *hosted) resume(r *run, e *ledger.Entry) {
	s := submission.Submission{Key: e.Key, Tasks: e.Tasks}
	var asked []dispatch.Asked
	for _, i := range e.Waiting() {
		asked = append(asked, r.ask(s, e.Deadline, i))
	}
	go func() {
		ids, refusal := c.host.config.Dispatcher.Resume(c.host.ctx, asked...)
		r.keep(ids)
		if refusal != nil {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.fail(r, refusal)
		}
	}()
}

// keep notes the dispatcher's ids, and gives them back if the run is over
// already.
func (r *run) keep(ids []queue.TaskID) {
	r.mu.Lock()
	r.ids = append(r.ids, ids...)
	over := r.ended != 0
	r.mu.Unlock()
	if over {
		go r.copy.host.withdraw(r)
	}
}

// granted runs task i in the slot that g gives.
func (r *run) granted(i int, g dispatch.Grant) {
	select {
	case <-r.opened:
	case <-r.done:
	}
	c := r.copy
	if g.Refusal != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.fail(r, g.Refusal)
		return
	}
	body, ok := r.start(i)
	if !ok {
		c.host.config.Dispatcher.Done(dispatch.End{Task: g.Task.ID, Code: code.Cancelled})
		return
	}
	started := time.Now()
	result := c.host.config.Sender.Send(context.WithoutCancel(c.host.ctx), targets.Sending{
		Name:       fmt.Sprintf("%s-%d-s%d", c.host.config.Self.VM, c.host.config.Self.Incarnation, c.host.sendings.Add(1)),
		Key:        g.Task.Key,
		Lease:      g.Lease,
		Submission: fmt.Sprintf("%s/%d", body.id, i),
		Limit:      min(g.TimeLimit, time.Until(g.Task.Deadline)),
		Body:       body.bytes,
	})
	if result.Unrun && result.Code == code.TargetBusy {
		r.returned(i, g, result)
		return
	}
	c.host.config.Recorder.Task(g.Task.Key, result.Code, started.Sub(g.Task.Arrived), result.Service)
	// The end of the last task answers the caller, who may look at the slots then.
	c.host.config.Dispatcher.Release(dispatch.End{Task: g.Task.ID, Code: result.Code, Service: result.Service})
	r.end(i, result)
}

// startedTask is what a started task is sent with.
type startedTask struct {
	id    submission.ID
	bytes []byte
}

// start appends the start record of task i and waits until it is durable. Not
// before then may the task be sent.
func (r *run) start(i int) (startedTask, bool) {
	c := r.copy
	c.mu.Lock()
	e, ok := c.copy.Ledger().Entry(r.sequence)
	if !ok || !e.Running() || r.over() || c.closing {
		c.mu.Unlock()
		return startedTask{}, false
	}
	task := startedTask{c.id(r.sequence), e.Tasks[i].Body}
	durable, err := c.append(ledger.Record{Kind: ledger.Started, Sequence: r.sequence, Task: i, Count: 1})
	c.mu.Unlock()
	if err != nil {
		return startedTask{}, false
	}
	return task, <-durable
}

// returned records that task i did not run, and asks for another slot unless
// the submission is over or handed over.
func (r *run) returned(i int, g dispatch.Grant, result targets.Result) {
	c := r.copy
	c.mu.Lock()
	again := false
	if c.runs[r.sequence] == r {
		_, err := c.append(ledger.Record{Kind: ledger.Returned, Sequence: r.sequence, Task: i})
		again = err == nil && !r.over() && !c.closing
	}
	c.mu.Unlock()
	if again {
		c.host.config.Dispatcher.Busy(g.Task.ID, result.Avoid)
		return
	}
	c.host.config.Dispatcher.Done(dispatch.End{Task: g.Task.ID, Code: code.Cancelled})
}

// end records how task i ended, and closes the submission if that decides it.
func (r *run) end(i int, result targets.Result) {
	c := r.copy
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs[r.sequence] != r {
		return // another primary decides about it now
	}
	e, ok := c.copy.Ledger().Entry(r.sequence)
	if !ok {
		return
	}
	record := ledger.Record{Kind: ledger.Ended, Sequence: r.sequence, Task: i, Code: result.Code}
	if e.Running() && result.Code == code.OK {
		record.Answer = result.Answer
	}
	if _, err := c.append(record); err != nil {
		c.host.config.Log.Error("recording the end of a task failed", zap.Error(err))
		return
	}
	switch {
	case !e.Running():
	case result.Code != code.OK:
		c.close(r, e, code.SubmissionFailed, fmt.Sprintf("task %d: %s: %s", i, result.Code, result.Message))
	case e.AllEnded():
		c.close(r, e, code.OK, "")
	}
}

// fail closes the submission of r because one of its tasks was refused. The
// caller holds mu.
func (c *hosted) fail(r *run, refusal *code.Error) {
	e, ok := c.copy.Ledger().Entry(r.sequence)
	if !ok || !e.Running() || c.runs[r.sequence] != r {
		return
	}
	if e.Started() {
		c.close(r, e, code.SubmissionFailed, "after some tasks were started: "+refusal.Message)
		return
	}
	c.close(r, e, refusal.Code, refusal.Message)
}

// close gives the submission its result and tells those who wait for it once
// the result is durable. The caller holds mu.
func (c *hosted) close(r *run, e *ledger.Entry, result code.Code, message string) {
	durable, err := c.append(ledger.Record{Kind: ledger.Finished, Sequence: e.Sequence, Code: result, Message: message})
	if err != nil {
		c.host.config.Log.Error("closing a submission failed", zap.Error(err))
		return
	}
	c.host.config.Recorder.SubmissionEnd(e.Key, result)
	go func() {
		c.host.withdraw(r)
		if !<-durable {
			return // stepDown told them
		}
		c.mu.Lock()
		if c.runs[r.sequence] == r {
			delete(c.runs, r.sequence)
		}
		// Only what is durable is kept: a takeover may decide otherwise about
		// the rest.
		c.copy.Ledger().TakeResults()
		c.host.config.Archive.offer(c.results([]submission.Sequence{r.sequence}))
		c.expire()
		c.mu.Unlock()
		r.finish(runDone)
	}()
}
