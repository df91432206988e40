package gate

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// methodCancel asks another entry VM to cancel a job, and returns whether its gate held it.
const methodCancel peer.Method = "gate.cancel"

// cancelTimeout bounds the call to each of the other entry VMs.
const cancelTimeout = 500 * time.Millisecond

// errCancelled is the cause with which the contexts of canceled jobs end.
var errCancelled = errors.New("the caller canceled the job")

// ErrCancelUnsure is returned by [Gate.Cancel] if the job was not found, and an entry VM that may hold it
// did not reply.
var ErrCancelUnsure = errors.New("some entry VMs cannot be asked for the job")

// Register registers the gate's methods with x.
func (g *Gate) Register(x *peer.Mux) {
	peer.Handle(x, methodCancel, func(_ context.Context, _ vm.ID, id job.ID) (bool, error) { return g.cancelHere(time.Now(), id), nil })
}

// Cancel cancels a job wherever it is pending, and reports whether it was found. The gate that holds it
// withdraws it from its dispatcher, which stops its tasks and starts no others. A request for it that a gate reads later is
// answered as canceled.
//
// An entry VM that refuses connections has no process, and the jobs that its gate held ended with it: callers' connections had to
// be open. One that is silent may hold the job, or accept it while it is cut off from this VM. The cancel is delivered to either
// once it replies, since a partition may refuse connections as well.
func (g *Gate) Cancel(ctx context.Context, id job.ID) (found bool, err error) {
	if g.cancelHere(time.Now(), id) {
		go func() { _, _ = g.cancelElsewhere(context.WithoutCancel(ctx), id) }() // it may have arrived at others, too; what fails is logged
		return true, nil
	}
	return g.cancelElsewhere(ctx, id)
}

// cancelElsewhere cancels a job at all other entry VMs.
func (g *Gate) cancelElsewhere(ctx context.Context, id job.ID) (found bool, err error) {
	var mu sync.Mutex // guards the results
	var calls sync.WaitGroup
	for _, p := range g.Knowledge.VMs(func(p vm.Present) bool { return p.Callers }) {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
			defer cancel()
			held, callErr := peer.Call[bool](ctx, g.Mesh, p.VM, report.UseForward, methodCancel, id)
			unsure := callErr != nil && !g.Mesh.Refuses(ctx, p.VM)
			if callErr != nil {
				g.deliverCancel(p.VM, id)
			}
			mu.Lock()
			defer mu.Unlock()
			found = found || held
			if unsure {
				err = ErrCancelUnsure
				g.Log.Debug("asking for a job to cancel failed", zap.String("job", string(id)), zap.String("vm", string(p.VM)), event.Err(callErr))
			}
		})
	}
	calls.Wait()
	if found {
		return true, nil
	}
	return false, err
}

// cancelHere cancels a job at this gate, and reports whether it was pending.
func (g *Gate) cancelHere(now time.Time, id job.ID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cancelled.add(now, id)
	for _, cancel := range g.cancels[id] {
		(*cancel)(errCancelled)
	}
	return len(g.cancels[id]) > 0
}

// holdCancel keeps the function that cancels a job, which may be pending more than once, until the
// returned function is called. It calls it at once if the job was canceled before.
func (g *Gate) holdCancel(now time.Time, id job.ID, cancel context.CancelCauseFunc) (release func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cancelled.has(now, id) {
		cancel(errCancelled)
	}
	if g.cancels == nil {
		g.cancels = make(map[job.ID][]*context.CancelCauseFunc)
	}
	g.cancels[id] = append(g.cancels[id], &cancel)
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		rest := g.cancels[id][:0:0]
		for _, c := range g.cancels[id] {
			if c != &cancel {
				rest = append(rest, c)
			}
		}
		if g.cancels[id] = rest; len(rest) == 0 {
			delete(g.cancels, id)
		}
	}
}

// answerCancelled returns the answer to a job whose context has ended, given the one without its cancellation: a
// canceled job is answered as such unless its outcome is known.
func answerCancelled(ctx context.Context, a pool.Answer) pool.Answer {
	if !errors.Is(context.Cause(ctx), errCancelled) || a.Outcome == job.Completed || a.Outcome == job.Failed {
		return a
	}
	return pool.Answer{Outcome: job.Cancelled, Reason: errCancelled.Error()}
}
