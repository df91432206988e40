package ledgers

import (
	"context"
	"time"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/ledger"
	"tamarackpin.example/internal/submission"
	"tamarackpin.example/internal/wire"
	"tamarackpin.example/tamarackpin/internal/dispatch"
)

// errNotHere is answered when this entry VM is not the primary of a ledger;
// the one who asked looks for it elsewhere. It says nothing about the work.
func errNotHere(l submission.LedgerID) *code.Error {
	return code.New(code.LedgerUnreachable, "ledger %s has its primary elsewhere", l)
}

// primary returns the copy of id's ledger, locked, if it is primary here and
// may know id.
func (h *Host) primary(id submission.ID) (*hosted, *code.Error) {
	c, ok := h.hosted(id.Ledger)
	if !ok {
		return nil, errNotHere(id.Ledger)
	}
	c.mu.Lock()
	a := c.copy.Assignment()
	var refusal *code.Error
	switch {
	case c.copy.Role() != ledger.Primary || c.copy.Damaged() || id.Generation > a.Generation:
		refusal = errNotHere(id.Ledger)
	case id.Generation < a.Generation:
		refusal = code.New(code.OutcomeUnknown, "ledger %s lost the state of generation %d", id.Ledger, id.Generation)
	case id.Sequence.Epoch > a.Epoch:
		refusal = errNotHere(id.Ledger)
	case !c.copy.Issued(id.Sequence):
		refusal = code.New(code.BadField, "submission id %s was never issued", id)
	}
	if refusal != nil {
		c.mu.Unlock()
		return nil, refusal
	}
	return c, nil
}

// issue returns new ids of a ledger.
func (h *Host) issue(l submission.LedgerID, count int) ([]submission.ID, *code.Error) {
	c, ok := h.hosted(l)
	if !ok {
		return nil, errNotHere(l)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.copy.Role() != ledger.Primary || c.copy.Damaged() || c.closing {
		return nil, errNotHere(l)
	}
	return c.copy.Issue(count), nil
}

// submit takes in a submission, or joins it if it is known, and waits for its
// result for at most wait.
func (h *Host) submit(ctx context.Context, id submission.ID, s submission.Submission, wait time.Duration) (submission.Status, *code.Error) {
	if h.isLost(id) {
		e, refusal := h.lost(ctx, id)
		if refusal == nil && e.Digest != s.Digest() {
			refusal = code.New(code.IDConflict, "submission %s has other content", id)
		}
		return e.Status, refusal
	}
	c, refusal := h.primary(id)
	if refusal != nil {
		return submission.Status{}, refusal
	}
	if e, known := c.copy.Ledger().Entry(id.Sequence); known {
		same := e.Digest == s.Digest()
		c.mu.Unlock()
		if !same {
			return submission.Status{}, code.New(code.IDConflict, "submission %s has other content", id)
		}
		h.config.Recorder.Submission(s.Key, true)
		return h.status(ctx, id, wait)
	}
	if r, opening := c.runs[id.Sequence]; opening {
		c.mu.Unlock()
		return h.join(ctx, r, id, s, wait)
	}
	if c.copy.Ledger().MayBeForgotten(id.Sequence) {
		c.mu.Unlock()
		return submission.Status{}, code.New(code.OutcomeUnknown, "submission %s is past its retention", id)
	}
	if c.closing {
		c.mu.Unlock()
		return submission.Status{}, errNotHere(id.Ledger)
	}
	r := newRun(c, id.Sequence)
	c.runs[id.Sequence] = r
	c.mu.Unlock()
	h.config.Recorder.Submission(s.Key, false)
	if refusal := h.open(ctx, r, s); refusal != nil {
		h.config.Recorder.SubmissionEnd(s.Key, refusal.Code)
		return submission.Status{}, refusal
	}
	return h.status(ctx, id, wait)
}

// join waits until a submission that is being opened is open, and goes on as a
// resubmission.
func (h *Host) join(ctx context.Context, r *run, id submission.ID, s submission.Submission, wait time.Duration) (submission.Status, *code.Error) {
	select {
	case <-r.opened:
		return h.submit(ctx, id, s, wait)
	case <-r.done:
	case <-ctx.Done():
		return submission.Status{}, errNotHere(id.Ledger)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended == runRefused {
		return submission.Status{}, r.refusal
	}
	return submission.Status{}, errNotHere(id.Ledger)
}

// open admits the tasks of s and records it as open. What is refused leaves no
// trace, so the same id may be tried again.
func (h *Host) open(ctx context.Context, r *run, s submission.Submission) *code.Error {
	refusal := h.tryOpen(ctx, r, s)
	if refusal == nil {
		return nil
	}
	c := r.copy
	c.mu.Lock()
	if c.runs[r.sequence] == r {
		delete(c.runs, r.sequence)
	}
	c.mu.Unlock()
	r.mu.Lock()
	r.refusal = refusal
	r.mu.Unlock()
	r.finish(runRefused)
	h.withdraw(r)
	return refusal
}

func (h *Host) tryOpen(ctx context.Context, r *run, s submission.Submission) *code.Error {
	row, refusal := h.row(s)
	if refusal != nil {
		return refusal
	}
	limit := s.Deadline
	if limit == 0 {
		limit = row.Deadline
	}
	deadline := time.Now().Add(limit.Std())
	c := r.copy
	c.mu.Lock()
	refusal = c.copy.Ledger().Room(h.config.Retention, s.Tasks)
	c.mu.Unlock()
	if refusal != nil {
		return refusal
	}
	asked := make([]dispatch.Asked, len(s.Tasks))
	for i := range s.Tasks {
		asked[i] = r.ask(s, deadline, i)
	}
	ids, refusal := h.config.Dispatcher.Add(ctx, asked...)
	if refusal != nil {
		return refusal
	}
	r.keep(ids)
	c.mu.Lock()
	if c.runs[r.sequence] != r || c.closing {
		defer c.mu.Unlock()
		return errNotHere(c.copy.Assignment().Ledger)
	}
	durable, err := c.append(ledger.Record{Kind: ledger.Opened, Sequence: r.sequence, Open: &ledger.Open{
		Digest:    s.Digest(),
		Key:       s.Key,
		Remaining: wire.Duration(max(0, time.Until(deadline))),
		Tasks:     s.Tasks,
	}})
	c.mu.Unlock()
	if err != nil {
		return code.New(code.Internal, "%v", err)
	}
	close(r.opened)
	// The caller is not told that the submission runs before that would
	// outlive this entry VM. If this copy is replaced meanwhile, the caller's
	// entry VM goes on with the next primary, under the same id.
	<-durable
	return nil
}

// status returns what became of a submission. If it runs, it waits for the
// result for at most wait. A result is told only once it is durable.
func (h *Host) status(ctx context.Context, id submission.ID, wait time.Duration) (submission.Status, *code.Error) {
	if h.isLost(id) {
		e, refusal := h.lost(ctx, id)
		return e.Status, refusal
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	c, refusal := h.primary(id)
	if refusal != nil {
		return submission.Status{}, refusal
	}
	r := c.runs[id.Sequence]
	if r == nil {
		defer c.mu.Unlock()
		return c.copy.Ledger().Status(id)
	}
	c.mu.Unlock()
	select {
	case <-r.done:
	case <-ctx.Done():
		return h.runningStatus(id)
	}
	c, refusal = h.primary(id)
	if refusal != nil {
		return submission.Status{}, refusal
	}
	defer c.mu.Unlock()
	return c.copy.Ledger().Status(id)
}

// runningStatus returns how far a submission has come, without a result that
// is not durable yet.
func (h *Host) runningStatus(id submission.ID) (submission.Status, *code.Error) {
	c, refusal := h.primary(id)
	if refusal != nil {
		return submission.Status{}, refusal
	}
	defer c.mu.Unlock()
	s, refusal := c.copy.Ledger().Status(id)
	if refusal != nil || s.State == submission.Running || c.runs[id.Sequence] == nil {
		return s, refusal
	}
	return submission.Status{ID: id, State: submission.Running, Tasks: s.Tasks, Started: s.Started, Ended: s.Ended}, nil
}

// cancel ends a submission: what has not started never will.
func (h *Host) cancel(ctx context.Context, id submission.ID) (submission.Status, *code.Error) {
	c, refusal := h.primary(id)
	if refusal != nil {
		return submission.Status{}, refusal
	}
	e, known := c.copy.Ledger().Entry(id.Sequence)
	if r := c.runs[id.Sequence]; known && r != nil && e.Running() {
		if e.Started() {
			c.close(r, e, code.CancelledLate, "cancelled after some tasks were started")
		} else {
			c.close(r, e, code.Cancelled, "cancelled before any task was started")
		}
	}
	c.mu.Unlock()
	return h.status(ctx, id, cancelWait)
}

// cancelWait is how long a cancellation waits for its result to be durable.
const cancelWait = 5 * time.Second
