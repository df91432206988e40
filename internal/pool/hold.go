package pool

import (
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/worker"
)

// send adds an order to w to those that are due.
func (p *Pool) send(now time.Time, w *workerState, o Order) {
	if p.fenced {
		return
	}
	o.Worker, o.Incarnation, o.Address = w.Worker, w.Incarnation, w.Address
	o.Fence, o.Sent = p.config.Fence, now
	if o.Deadline != 0 {
		w.extended = later(w.extended, w.timing.Lapse(now, o.Deadline))
	}
	p.orders = append(p.orders, o)
}

// deadline returns a time on w's clock, one lease from now.
func (p *Pool) deadline(now time.Time, w *workerState) worker.Clock {
	return w.timing.Now(now) + worker.Clock(min(lease, p.config.LeaseMax))
}

// look keeps one hold on its way to each worker that runs something, looks once
// at every worker under a new fence, and now and then at one that did not answer.
func (p *Pool) look(now time.Time, w *workerState) {
	if p.fenced || w.holding || w.stale || w.Address == "" {
		return
	}
	probe := (w.silent > 0 && w.Usable(now) || w.unheard(now)) && now.Sub(w.holdAt) >= probeEvery
	if w.listed && !w.busy() && !probe {
		return
	}
	o := Order{Kind: RenewOrder, EndsSeen: w.seen}
	if w.listed && w.silent == 0 && w.busy() {
		o.Wait = holdWait
	}
	if w.busy() && w.timing.Known() && w.silent == 0 && !p.dividing(now) {
		// A worker that does not answer is not granted more time: what runs there
		// must lapse before it may start elsewhere. Nor is what ran before the
		// workers were divided.
		o.Deadline = p.deadline(now, w)
	}
	w.holding, w.holdAt = true, now
	p.send(now, w, o)
}

// probeEvery is how often a worker is looked at that did not answer: it gets no
// task until it does.
const probeEvery = 150 * time.Millisecond

// held takes in the reply to a hold: ends first, so that a run that is neither
// listed nor ended is known to be gone.
func (p *Pool) held(now time.Time, w *workerState, r Reply) {
	w.holding = false
	if !r.Done {
		return
	}
	for _, e := range r.Ended {
		if e.Number > w.seen {
			w.seen = e.Number
			p.ended(now, w, e)
		}
	}
	listed := make(map[job.Task]job.Run, len(r.Running))
	for _, t := range r.Running {
		listed[t.Task] = t.Run
	}
	p.compare(now, w, r, listed)
	w.listed = true
	for _, row := range r.Running {
		if t := w.tasks[row.Task]; t != nil && t.run == row.Run && t.phase == running {
			p.progress(now, w, t, row.Percent)
		}
	}
}

// compare holds what a worker lists against what is known to be there.
func (p *Pool) compare(now time.Time, w *workerState, r Reply, listed map[job.Task]job.Run) {
	for _, t := range placedTasks(w) {
		run, there := listed[t.name]
		switch {
		case there && run == t.run:
			if t.phase == starting {
				t.phase, t.acked = running, now
			}
		case t.phase == running && r.Sent.After(t.acked), t.phase != starting && t.phase != running && r.Sent.After(t.lapse):
			// It is neither listed nor among the ends, and cannot come any more.
			p.lose(t)
			p.tidy(t.of)
		}
	}
	clear(w.alien)
	for _, row := range r.Running {
		name := row.Task
		if w.tasks[name] != nil {
			continue
		}
		w.alien[name] = row.Run
		if j := p.jobs[name.Job]; j != nil && !j.ended && !p.dividing(now) {
			p.adopt(j)
		}
	}
	for name, run := range w.alien {
		if now.Sub(p.begun) > alienTime || p.dividing(now) {
			p.send(now, w, Order{Kind: StopOrder, Task: name, Run: run})
		}
	}
}

// ended takes in the end of a run.
func (p *Pool) ended(now time.Time, w *workerState, e End) {
	delete(w.alien, e.Task)
	t := w.tasks[e.Task]
	if t == nil || t.run != e.Run {
		return
	}
	j := t.of
	began := t.ordered
	wasRunning := t.phase == running || t.phase == starting
	t.release()
	switch {
	case e.Kind == EndedDone:
		p.Counts.Done++
		w.failures, w.stuck = 0, 0
		t.phase = ended
		if wasRunning && !t.acked.IsZero() && began != p.begun {
			p.learn.Observe(j.Row, t.step, w.Kind, w.Worker, now.Sub(began))
		}
		j.left--
		if j.left == 0 && !j.ended {
			p.answer(now, j, Answer{Outcome: job.Completed})
		}
	case e.Kind == EndedFailed:
		p.Counts.Failed++
		t.failed++
		t.failedOn = w.Worker
		p.failedOn(now, w)
		t.phase = waiting
		if !j.ended && j.MaxAttempts > 0 && t.failed >= j.MaxAttempts {
			p.answer(now, j, Answer{Outcome: job.Failed, Reason: "a task failed as often as it may"})
		}
	default:
		if e.Kind == EndedLapsed {
			p.Counts.Lapsed++
		}
		t.phase = waiting
	}
	if j.ended {
		t.phase = ended
	}
	p.tidy(j)
}

// failedOn takes in that a task failed on w. One failure may be the task's own;
// several in a row speak against the worker.
func (p *Pool) failedOn(now time.Time, w *workerState) {
	w.failures++
	p.shun(now, w, 2*(w.failures-1))
}

// shun keeps new tasks from w for a time that doubles with each time in a row.
func (p *Pool) shun(now time.Time, w *workerState, times int) {
	w.avoid = later(w.avoid, now.Add(min(shunTime<<min(times, 6), maxShun)))
}
