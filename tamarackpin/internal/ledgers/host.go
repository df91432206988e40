// Package ledgers runs the copies of ledgers that this entry VM holds: it
// carries their records to followers, starts the tasks of submissions as their
// records become durable, and finds the primary of any other ledger for the
// callers' interface. The decisions are those of ledger.Copy.
package ledgers

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/control"
	"tamarackpin.example/internal/ledger"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/submission"
	"tamarackpin.example/internal/table"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/dispatch"
	"tamarackpin.example/tamarackpin/internal/peer"
	"tamarackpin.example/tamarackpin/internal/targets"
)

// Config is what a Host needs.
type Config struct {
	Self       ledger.Holder
	Domain     vm.FailureDomain
	Retention  ledger.Retention
	Mesh       *peer.Mesh
	Dispatcher *dispatch.Dispatcher
	Sender     *targets.Sender
	Recorder   *report.Recorder
	Log        *zap.Logger
	View       func() *control.View
	Propose    func(context.Context, control.Command) (control.Result, *code.Error)
	// Archive keeps results on disk; nil without one.
	Archive *Archive
	// Disks are the entry VMs of each failure domain that may keep results.
	Disks map[vm.FailureDomain][]vm.ID
	// Alive reports whether heartbeats of an entry VM arrive.
	Alive func(vm.ID) bool
}

// Host holds this entry VM's copies. It must be made by [New]. It is safe for
// concurrent use.
type Host struct {
	config Config
	ctx    context.Context // ends the goroutines
	duties sync.WaitGroup
	// sendings numbers the sendings of tasks to targets.
	sendings atomic.Uint64

	mu     sync.Mutex // guards copies; taken before that of a copy
	copies map[submission.LedgerID]*hosted
}

// New returns a Host whose goroutines end with ctx, and registers what it
// serves.
func New(ctx context.Context, c Config, x *peer.Mux) *Host {
	h := &Host{config: c, ctx: ctx, copies: make(map[submission.LedgerID]*hosted)}
	peer.Handle(x, methodAppend, h.serveAppend)
	peer.Handle(x, methodIssue, h.serveIssue)
	peer.Handle(x, methodSubmit, h.serveSubmit)
	peer.Handle(x, methodStatus, h.serveStatus)
	peer.Handle(x, methodCancel, h.serveCancel)
	peer.Handle(x, methodArchived, h.serveArchived)
	return h
}

// Wait returns once the goroutines have ended.
func (h *Host) Wait() { h.duties.Wait() }

// Assign puts the assignments of a View in force here.
func (h *Host) Assign(v *control.View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range v.Assignments {
		c := h.copies[a.Ledger]
		if c == nil {
			if a.RoleOf(h.config.Self) == ledger.NoRole {
				continue
			}
			c = newHosted(h)
			h.copies[a.Ledger] = c
		}
		c.assign(a)
	}
}

// hosted returns this entry VM's copy of a ledger.
func (h *Host) hosted(l submission.LedgerID) (*hosted, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c, ok := h.copies[l]
	return c, ok
}

func (h *Host) all() []*hosted {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make([]*hosted, 0, len(h.copies))
	for _, c := range h.copies {
		all = append(all, c)
	}
	return all
}

// row returns the table's row of a submission.
func (h *Host) row(s submission.Submission) (table.Row, *code.Error) {
	row, ok := h.config.View().Table.Row(s.Key)
	if !ok {
		return row, code.New(code.UnknownParty, "the table has no row %s", s.Key)
	}
	return row, nil
}

// State is one copy as operators see it.
type State struct {
	ledger.Assignment
	Role        ledger.Role     `json:"role"`
	Next        ledger.Position `json:"next"`
	Submissions int             `json:"submissions"`
	Bytes       int             `json:"bytes"`
}

// States returns the copies held here.
func (h *Host) States() []State {
	var states []State
	for _, c := range h.all() {
		c.mu.Lock()
		if c.copy.Role() != ledger.NoRole {
			l := c.copy.Ledger()
			states = append(states, State{c.copy.Assignment(), c.copy.Role(), c.copy.Next(), l.Len(), l.Bytes()})
		}
		c.mu.Unlock()
	}
	return states
}

func (h *Host) serveAppend(_ context.Context, _ vm.ID, m ledger.Append) (ledger.Ack, error) {
	c, ok := h.hosted(m.Ledger)
	if !ok {
		return ledger.Ack{}, nil // the assignment has not arrived here yet
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	ack, err := c.copy.Receive(time.Now(), m)
	h.config.Archive.offer(c.results(c.copy.Ledger().TakeResults()))
	return ack, err
}

func (h *Host) serveIssue(_ context.Context, _ vm.ID, r issueRequest) (issued, error) {
	ids, refusal := h.issue(r.Ledger, r.Count)
	if refusal != nil {
		return issued{}, refusal
	}
	return issued{ids}, nil
}

func (h *Host) serveSubmit(ctx context.Context, _ vm.ID, r submitRequest) (submission.Status, error) {
	return result(h.submit(ctx, r.ID, r.Submission, r.Wait.Std()))
}

func (h *Host) serveStatus(ctx context.Context, _ vm.ID, r statusRequest) (submission.Status, error) {
	return result(h.status(ctx, r.ID, r.Wait.Std()))
}

func (h *Host) serveCancel(ctx context.Context, _ vm.ID, r cancelRequest) (submission.Status, error) {
	return result(h.cancel(ctx, r.ID))
}

// result turns a refusal that may be nil into an error that is nil then.
func result(s submission.Status, refusal *code.Error) (submission.Status, error) {
	if refusal != nil {
		return s, refusal
	}
	return s, nil
}
