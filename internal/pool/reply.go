package pool

import (
	"time"

	"tamarackpin.example/internal/job"
)

// Receive takes in the reply to an order, or that none came in time.
func (p *Pool) Receive(now time.Time, r Reply) {
	w := p.workers[r.Worker]
	if w == nil {
		return
	}
	if r.AnsweredBy > w.Incarnation {
		p.succeeded(now, w, r)
	}
	if w.Incarnation != r.Incarnation && w.Incarnation != r.AnsweredBy {
		return // of a life that is over
	}
	if r.Refusal != "" {
		p.Counts.Refused[r.Refusal]++
	}
	if r.HasClock {
		w.timing.Observe(r.ReceivedAt, r.Clock)
	}
	if r.Done || r.HasClock {
		w.silent = 0
		w.answered = now
	}
	switch {
	case r.Refusal == RefusedFence:
		p.fenced = true
		p.orders = nil
		return
	case r.Refusal == RefusedIncarnation:
		p.gone(w)
	case !r.Done && (r.Refusal == "" || r.Refusal == RefusedUnsent):
		w.silent++
		if r.Refusal == "" && r.Deadline != 0 {
			w.stray = later(w.stray, r.Sent.Add(latest))
		}
	}
	switch r.Kind {
	case StartOrder:
		p.started(now, w, r)
	case StopOrder:
		p.stopAnswered(now, w, r)
	case RenewOrder:
		p.held(now, w, r)
	}
	p.look(now, w)
	p.place(now)
}

// succeeded takes in that a later incarnation answered under the same name.
func (p *Pool) succeeded(now time.Time, w *workerState, r Reply) {
	if r.Kind == StartOrder && r.Done {
		if t := w.tasks[r.Task]; t != nil && t.run == r.Run {
			t.acked = now // by the new one
		}
	}
	h := w.Heard
	h.Incarnation, h.Sequence = r.AnsweredBy, 0
	p.reborn(now, w, h)
	if t := w.tasks[r.Task]; r.Kind == StartOrder && r.Done && t != nil && t.run == r.Run {
		t.phase = running
	}
}

// gone takes in that the incarnation of w that was known is over.
func (p *Pool) gone(w *workerState) {
	w.stale = true
	clear(w.alien)
	for _, t := range placedTasks(w) {
		p.lose(t)
		p.tidy(t.of)
	}
}

// started takes in the reply to a start.
func (p *Pool) started(now time.Time, w *workerState, r Reply) {
	t := w.tasks[r.Task]
	if t == nil || t.run != r.Run {
		return
	}
	switch {
	case r.Done:
		t.acked = now
		if t.phase == starting {
			t.phase = running
		}
		return
	case r.Refusal == "":
		if t.phase == starting {
			p.doubt(now, w, t)
		}
		return
	}
	// The worker did nothing, and will not: the order was answered.
	p.lose(t)
	p.tidy(t.of)
	switch r.Refusal {
	case RefusedOld:
		t.run++ // a run of that number ended there under another dispatcher
	case RefusedRoom:
		w.avoid = later(w.avoid, now.Add(roomPause))
		w.listed = false // look at what runs there
	case RefusedUnhealthy, RefusedInvalid:
		p.failedOn(now, w)
	}
}

// doubt takes in that a start had no answer: it may be carried out, also later.
func (p *Pool) doubt(now time.Time, w *workerState, t *task) {
	p.Counts.InDoubt++
	t.phase = doubtful
	w.ghosts = append(w.ghosts, ghost{t.name, t.run, now})
	p.order(now, t)
}

// roomPause keeps tasks from a worker that had no room, until it was looked at.
const roomPause = 30 * time.Millisecond

// stop orders a run to be stopped.
func (p *Pool) stop(now time.Time, t *task) {
	t.phase = stopping
	p.order(now, t)
}

// order sends the stop of a task.
func (p *Pool) order(now time.Time, t *task) {
	t.stopped = now
	p.send(now, t.on, Order{Kind: StopOrder, Task: t.name, Run: t.run})
}

// stopAnswered takes in the reply to a stop. After an acknowledged stop the
// run cannot begin any more, and what runs ends within StopMax.
func (p *Pool) stopAnswered(now time.Time, w *workerState, r Reply) {
	if t := w.tasks[r.Task]; t != nil && t.run == r.Run && r.Done && t.stopAck.Before(r.Sent) {
		t.stopAck = now
	}
}

// Tick takes in that time passed.
func (p *Pool) Tick(now time.Time) {
	if p.fenced {
		return
	}
	for _, w := range p.byID {
		for _, t := range placedTasks(w) {
			p.review(now, w, t)
		}
		if w.silent > 0 && now.After(w.extended) {
			clear(w.alien)
		}
		p.look(now, w)
	}
	p.expire(now)
	if now.Sub(p.triaged) >= triageEvery {
		p.triage(now)
	}
	p.place(now)
	p.census()
}

// triageEvery is how often the jobs that wait are looked at without an event: less
// than the least that an objective allows for the platform's own time (60 ms).
const triageEvery = 50 * time.Millisecond

// census counts the tasks that wait and run.
func (p *Pool) census() {
	p.Counts.Waiting, p.Counts.Running = 0, 0
	for _, j := range p.jobs {
		for _, t := range j.tasks {
			switch {
			case t.placed():
				p.Counts.Running++
			case t.phase == waiting:
				p.Counts.Waiting++
			}
		}
	}
}

// review looks at one task on w whose time may be over.
func (p *Pool) review(now time.Time, w *workerState, t *task) {
	if now.After(w.extended) && now.After(t.lapse) && w.silent > 0 {
		p.Counts.Lapsed++
		p.lose(t)
		p.tidy(t.of)
		return
	}
	if t.phase != stopping && t.phase != doubtful {
		return
	}
	switch {
	case !t.stopAck.IsZero() && now.Sub(t.stopAck) > p.config.StopMax+stopSlack:
		p.lose(t)
		p.tidy(t.of)
	case t.stopAck.IsZero() && now.Sub(t.stopped) > stopAgain:
		p.order(now, t)
	}
}

// stopSlack covers that a worker looks at its stops now and then.
const stopSlack = 30 * time.Millisecond

// expire answers the jobs whose callers' time is over.
func (p *Pool) expire(now time.Time) {
	for _, j := range p.jobsThat(func(j *jobState) bool { return !now.Before(j.until) }) {
		outcome := job.NotRun
		if j.began {
			outcome = job.Abandoned
		}
		p.answer(now, j, Answer{Outcome: outcome, Reason: "the caller's time is over", RetryAfter: time.Second})
	}
}
