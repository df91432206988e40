// Package caller serves the callers' address: requests with one answer, and
// submissions of many tasks. It runs requests itself, through the dispatcher;
// submissions go to their ledgers (package ledgers).
package caller

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/control"
	"tamarackpin.example/internal/ledger"
	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/queue"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/request"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wire"
	"tamarackpin.example/tamarackpin/internal/dispatch"
	"tamarackpin.example/tamarackpin/internal/ledgers"
	"tamarackpin.example/tamarackpin/internal/metrics"
	"tamarackpin.example/tamarackpin/internal/peer"
	"tamarackpin.example/tamarackpin/internal/targets"
)

// methodRequest passes a request to an entry VM of another failure domain.
const methodRequest peer.Method = "caller.request"

// Config is what a Backend needs.
type Config struct {
	Self       ledger.Holder
	Dispatcher *dispatch.Dispatcher
	Sender     *targets.Sender
	Ledgers    *ledgers.Host
	Mesh       *peer.Mesh
	Recorder   *report.Recorder
	Metrics    *metrics.Metrics
	View       func() *control.View
	RunsHere   func(party.Kind) bool
	Elsewhere  func(party.Kind) (vm.ID, bool)
	Refusing   func() *code.Error // why no new work is taken, or nil
	BodyLimit  time.Duration      // for the arrival of one body
	MaxInHand  int
}

// Backend runs what callers ask for. It is safe for concurrent use. It must be
// made by [New].
type Backend struct {
	config   Config
	sendings atomic.Uint64
	inHand   atomic.Int64
}

// New returns a Backend and registers what it serves.
func New(c Config, x *peer.Mux) *Backend {
	b := &Backend{config: c}
	peer.Handle(x, methodRequest, func(ctx context.Context, _ vm.ID, r passedOn) (request.Reply, error) {
		return b.runHere(ctx, r.Request, time.Now()), nil
	})
	return b
}

// passedOn is a request on its way to another entry VM.
type passedOn struct {
	Request request.Request `json:"request"`
}

// Check returns an error for a request that cannot be taken.
func (p passedOn) Check() error { return p.Request.Check() }

// InHand returns how many callers wait for a reply.
func (b *Backend) InHand() int64 { return b.inHand.Load() }

// take counts a caller in, or refuses it.
func (b *Backend) take() *code.Error {
	if refusal := b.config.Refusing(); refusal != nil {
		return refusal
	}
	if b.inHand.Add(1) > int64(b.config.MaxInHand) {
		b.inHand.Add(-1)
		return code.New(code.QueueFull, "this entry VM has %d callers in hand", b.config.MaxInHand).WithRetry(wire.Duration(retryWhenFull))
	}
	return nil
}

// retryWhenFull is the hint to callers that are too many for this entry VM.
const retryWhenFull = 500 * time.Millisecond

func (b *Backend) leave() { b.inHand.Add(-1) }

// Request runs r here, or in another failure domain if no target of this one
// runs its kind.
func (b *Backend) Request(ctx context.Context, r request.Request) request.Reply {
	arrived := time.Now()
	if _, ok := b.config.View().Table.Row(r.Key); !ok {
		return b.refused(r.Key, code.New(code.UnknownParty, "the table has no row %s", r.Key))
	}
	if b.config.RunsHere(r.Kind) {
		return b.runHere(ctx, r, arrived)
	}
	elsewhere, ok := b.config.Elsewhere(r.Kind)
	if !ok {
		return b.refused(r.Key, code.New(code.NoTarget, "no target runs kind %s", r.Kind))
	}
	return b.passOn(ctx, r, elsewhere)
}

func (b *Backend) refused(k party.Key, e *code.Error) request.Reply {
	if e.Code == code.UnknownParty {
		k = report.OtherKey // its name is the caller's to choose
	}
	b.config.Recorder.Request(k, e.Code, 0, 0)
	return request.Failed(e)
}

// passOn has another entry VM run r.
func (b *Backend) passOn(ctx context.Context, r request.Request, to vm.ID) request.Reply {
	limit := r.Deadline
	if row, ok := b.config.View().Table.Row(r.Key); ok && limit == 0 {
		limit = row.Deadline
	}
	ctx, cancel := context.WithTimeout(ctx, limit.Std()+forwardSlack)
	defer cancel()
	reply, err := peer.Call[request.Reply](ctx, b.config.Mesh, to, report.UseForward, methodRequest, passedOn{r})
	if err == nil {
		return reply
	}
	if refusal, ok := peer.Refusal(err); ok {
		return b.refused(r.Key, refusal)
	}
	e := code.New(code.PeerLost, "entry VM %s was lost: %v", to, err)
	if peer.NotSent(err) {
		e = e.WithOutcome(code.NotRun)
	}
	return b.refused(r.Key, e)
}

// forwardSlack is how long after its deadline a reply from another entry VM is
// waited for.
const forwardSlack = time.Second

// runHere runs r on a target of this failure domain.
func (b *Backend) runHere(ctx context.Context, r request.Request, arrived time.Time) request.Reply {
	row, ok := b.config.View().Table.Row(r.Key)
	if !ok {
		return b.refused(r.Key, code.New(code.UnknownParty, "the table has no row %s", r.Key))
	}
	limit := r.Deadline
	if limit == 0 {
		limit = row.Deadline
	}
	task := queue.Task{Key: r.Key, Arrived: arrived, Deadline: arrived.Add(limit.Std())}
	reply, ideal := b.run(ctx, r, task)
	b.config.Recorder.Request(r.Key, reply.Code, time.Since(arrived), ideal)
	b.config.Metrics.Request(r.Key, reply.Code, time.Since(arrived))
	return reply
}

// run waits for slots and sends r until it has a reply. An idempotent request
// is sent a second time if its target was lost and time is left.
func (b *Backend) run(ctx context.Context, r request.Request, task queue.Task) (request.Reply, time.Duration) {
	for try := 0; ; try++ {
		result, g, settled := b.runOnce(ctx, r, task)
		if g.Refusal != nil {
			return request.Failed(g.Refusal), 0
		}
		if result.Code == code.OK {
			reply := request.Answered(result.Answer)
			reply.Waited = wire.Duration(max(0, time.Since(task.Arrived)-result.Service).Round(time.Microsecond))
			reply.Service = wire.Duration(result.Service.Round(time.Microsecond))
			return reply, settled.Ideal
		}
		lost := result.Code == code.TargetLost || result.Code == code.BadAnswer
		if !lost || !r.Idempotent || try >= maxResends || !time.Now().Before(task.Deadline) {
			return request.Failed(code.New(result.Code, "%s", result.Message)), 0
		}
	}
}

// maxResends is how often an idempotent request is sent again.
const maxResends = 1

// runOnce sends r once to one target.
func (b *Backend) runOnce(ctx context.Context, r request.Request, task queue.Task) (targets.Result, dispatch.Grant, dispatch.Settled) {
	grants := make(chan dispatch.Grant, 1)
	ids, refusal := b.config.Dispatcher.Add(ctx, dispatch.Asked{
		Task: task, Declared: r.Declared.Std(), Tell: func(g dispatch.Grant) { grants <- g },
	})
	if refusal != nil {
		return targets.Result{}, dispatch.Grant{Refusal: refusal}, dispatch.Settled{}
	}
	for {
		g := b.await(ctx, grants, ids)
		if g.Refusal != nil {
			return targets.Result{}, g, dispatch.Settled{}
		}
		// A caller that leaves now does not stop the target's work.
		result := b.config.Sender.Send(context.WithoutCancel(ctx), targets.Sending{
			Name:  fmt.Sprintf("%s-%d-r%d", b.config.Self.VM, b.config.Self.Incarnation, b.sendings.Add(1)),
			Key:   r.Key,
			Lease: g.Lease,
			Limit: g.TimeLimit,
			Body:  r.Body,
		})
		if result.Unrun && result.Code == code.TargetBusy {
			b.config.Dispatcher.Busy(g.Task.ID, result.Avoid)
			continue
		}
		b.config.Recorder.Task(r.Key, result.Code, time.Since(task.Arrived)-result.Service, result.Service)
		b.config.Metrics.Task(r.Key, result.Code, result.Service)
		settled := b.config.Dispatcher.Done(dispatch.End{Task: g.Task.ID, Code: result.Code, Service: result.Service})
		return result, g, settled
	}
}

// await waits for a slot. A caller that leaves takes its task back, unless the
// slot was just given.
func (b *Backend) await(ctx context.Context, grants <-chan dispatch.Grant, ids []queue.TaskID) dispatch.Grant {
	select {
	case g := <-grants:
		return g
	case <-ctx.Done():
	}
	if b.config.Dispatcher.Cancel(context.Background(), ids...) > 0 {
		return dispatch.Grant{Refusal: code.New(code.Cancelled, "the caller left before the work was started")}
	}
	return <-grants
}
