package ledgers

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/submission"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wire"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// Times of the search for a ledger's primary.
const (
	callSlack    = 2 * time.Second        // beyond what the other side waits
	retryLeast   = 30 * time.Millisecond  // between two tries
	retryMost    = 250 * time.Millisecond // likewise, drawn
	longestWait  = 20 * time.Second       // of one call
	searchBudget = 8 * time.Second        // for a primary, beyond the wait for a result
)

// Submit takes a submission to its ledger's primary, wherever that is, and
// waits for its result for at most wait. Since the id decides, it is sent again
// whenever a primary is lost.
func (h *Host) Submit(ctx context.Context, id submission.ID, s submission.Submission, wait time.Duration) (submission.Status, *code.Error) {
	var all tries
	status, refusal := h.follow(ctx, id, wait, func(ctx context.Context, primary vm.ID, wait time.Duration) (submission.Status, error) {
		if primary == h.config.Self.VM {
			return result(h.submit(ctx, id, s, wait))
		}
		r, err := peer.Call[submission.Status](ctx, h.config.Mesh, primary, report.UseForward, methodSubmit, submitRequest{id, s, wire.Duration(wait)})
		all.observe(err)
		return r, err
	})
	return status, all.refusal(refusal)
}

// Status asks what became of a submission and waits for its result for at most
// wait.
func (h *Host) Status(ctx context.Context, id submission.ID, wait time.Duration) (submission.Status, *code.Error) {
	return h.follow(ctx, id, wait, func(ctx context.Context, primary vm.ID, wait time.Duration) (submission.Status, error) {
		if primary == h.config.Self.VM {
			return result(h.status(ctx, id, wait))
		}
		return peer.Call[submission.Status](ctx, h.config.Mesh, primary, report.UseForward, methodStatus, statusRequest{id, wire.Duration(wait)})
	})
}

// Cancel ends a submission.
func (h *Host) Cancel(ctx context.Context, id submission.ID) (submission.Status, *code.Error) {
	return h.follow(ctx, id, cancelWait, func(ctx context.Context, primary vm.ID, _ time.Duration) (submission.Status, error) {
		if primary == h.config.Self.VM {
			return result(h.cancel(ctx, id))
		}
		return peer.Call[submission.Status](ctx, h.config.Mesh, primary, report.UseForward, methodCancel, cancelRequest{id})
	})
}

// follow calls ask with id's primary until it has a result, a refusal that
// stands, or no more time.
func (h *Host) follow(ctx context.Context, id submission.ID, wait time.Duration, ask func(context.Context, vm.ID, time.Duration) (submission.Status, error)) (submission.Status, *code.Error) {
	end := time.Now().Add(wait)
	search := time.Now().Add(searchBudget)
	for {
		left := min(max(time.Until(end), 0), longestWait)
		s, err := h.askOnce(ctx, id, left, ask)
		switch {
		case err == nil && (s.State != submission.Running || !time.Now().Before(end)):
			return s, nil
		case err == nil:
			search = time.Now().Add(searchBudget)
			continue
		}
		refusal, stands := standing(err)
		if stands {
			return s, refusal
		}
		if time.Now().After(search) || ctx.Err() != nil {
			return s, code.New(code.LedgerUnreachable, "ledger %s: %v", id.Ledger, err).WithRetry(wire.Duration(retryMost))
		}
		pauseFor(ctx, retryLeast+rand.N(retryMost-retryLeast))
	}
}

func (h *Host) askOnce(ctx context.Context, id submission.ID, wait time.Duration, ask func(context.Context, vm.ID, time.Duration) (submission.Status, error)) (submission.Status, error) {
	a, ok := h.config.View().Assignment(id.Ledger)
	if !ok {
		return submission.Status{}, code.New(code.LedgerUnreachable, "ledger %s is not assigned", id.Ledger)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	if a.Primary.VM != h.config.Self.VM {
		go h.watch(ctx, cancel, a.Primary.VM)
	}
	return ask(ctx, a.Primary.VM, wait)
}

// watch cancels a call to an entry VM that stops sending heartbeats, so that a
// caller does not wait out the call's time.
func (h *Host) watch(ctx context.Context, cancel func(), primary vm.ID) {
	t := time.NewTicker(retryMost)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if !h.config.Alive(primary) {
				cancel()
				return
			}
		}
	}
}

// standing returns the refusal in err, and whether looking further cannot
// change it.
func standing(err error) (*code.Error, bool) {
	var e *code.Error
	if !errors.As(err, &e) {
		return nil, false
	}
	return e, e.Code != code.LedgerUnreachable
}

func pauseFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Issue returns new ids of a ledger of this failure domain: of one whose
// primary is here if possible, else of any that answers.
func (h *Host) Issue(ctx context.Context, count int) ([]submission.ID, *code.Error) {
	var refusal *code.Error
	for range int(searchBudget / retryMost) {
		ids, e := h.issueOnce(ctx, count)
		if e == nil {
			return ids, nil
		}
		refusal = e
		if ctx.Err() != nil {
			break
		}
		pauseFor(ctx, retryLeast+rand.N(retryMost-retryLeast))
	}
	return nil, refusal.WithOutcome(code.NotRun)
}

func (h *Host) issueOnce(ctx context.Context, count int) ([]submission.ID, *code.Error) {
	var own, others []submission.LedgerID
	remote := make(map[submission.LedgerID]vm.ID)
	for _, a := range h.config.View().Assignments {
		switch {
		case a.Ledger.FailureDomain != h.config.Domain:
		case a.Primary == h.config.Self:
			own = append(own, a.Ledger)
		case h.config.Alive(a.Primary.VM):
			others = append(others, a.Ledger)
			remote[a.Ledger] = a.Primary.VM
		}
	}
	for _, i := range rand.Perm(len(own)) {
		if ids, refusal := h.issue(own[i], count); refusal == nil {
			return ids, nil
		}
	}
	for _, i := range rand.Perm(len(others)) {
		ctx, cancel := context.WithTimeout(ctx, callSlack)
		r, err := peer.Call[issued](ctx, h.config.Mesh, remote[others[i]], report.UseForward, methodIssue, issueRequest{others[i], count})
		cancel()
		if err == nil {
			return r.IDs, nil
		}
	}
	return nil, code.New(code.LedgerUnreachable, "no ledger of failure domain %s can issue ids now", h.config.Domain).WithRetry(wire.Duration(retryMost))
}
