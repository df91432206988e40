package replica

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/quorum"
	"tamarackpin.example/internal/vm"
)

// waiter is a proposal that waits to be applied.
type waiter struct {
	term quorum.Term
	done chan outcome
}

// outcome is what became of a proposal.
type outcome struct {
	result any
	err    error
}

// Decision is what became of a proposal, or who leads instead.
type Decision struct {
	Leads  bool
	Leader vm.ID // if this member does not lead; may be unknown
	Result any   // of [Machine.Apply]
}

// Propose proposes data if this member leads, and waits until it is applied.
// After an error of [ErrLost], [ErrStopped] or ctx it is not known whether it
// will be.
func (r *Replica) Propose(ctx context.Context, data []byte) (Decision, error) {
	done := make(chan outcome, 1)
	var d Decision
	ran := r.do(ctx, func(r *Replica, now time.Time) {
		index, term, err := r.core.Propose(now, data)
		if errors.Is(err, quorum.ErrNotLeader) {
			d.Leader = r.core.Leader().VM
			return
		}
		d.Leads = true
		r.waiting[index] = waiter{term, done}
	})
	if !ran {
		return d, ErrStopped // the proposal may still be in the ring
	}
	if !d.Leads {
		return d, nil
	}
	select {
	case o := <-done:
		d.Result = o.result
		return d, o.err
	case <-r.stopped:
		return d, ErrStopped
	case <-ctx.Done():
		return d, ctx.Err()
	}
}

// answer tells the proposer of the entry at e.Index what became of it.
func (r *Replica) answer(e quorum.Entry, result any) {
	w, ok := r.waiting[e.Index]
	if !ok {
		return
	}
	delete(r.waiting, e.Index)
	if w.term != e.Term {
		w.done <- outcome{err: ErrReplaced}
		return
	}
	w.done <- outcome{result: result}
}
