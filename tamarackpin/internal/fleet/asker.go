package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wire"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// Times of a Syncer.
const (
	// syncWait is how long a control VM without news keeps the question of a VM
	// that orders workers. News of the heartbeats of workers travels with the
	// answer: it is well under the time after which a worker counts as silent.
	syncWait = 400 * time.Millisecond
	// restWait is the same for other VMs: what they are told of the room of other
	// groups is 1.2 s old at most, and is believed for 1.5 s.
	restWait = 800 * time.Millisecond
	// askSlack bounds a question beside what the control VM may wait.
	askSlack = 500 * time.Millisecond
	// askAgain is the pause after a question that failed.
	askAgain    = 200 * time.Millisecond
	askersEvery = 300 * time.Millisecond
)

// Syncer keeps a question open at every control VM that is known.
type Syncer struct {
	Knowledge *Knowledge
	Mesh      *peer.Mesh
	Log       *zap.Logger

	seeds   atomic.Pointer[[]vm.ID]
	reached atomic.Pointer[time.Time] // the last answer of any, on the steady clock
}

// SetSeeds says where the settings begin; it is called before Run, and when they
// change.
func (a *Syncer) SetSeeds(ids []vm.ID) { a.seeds.Store(&ids) }

// Run asks until ctx is done.
func (a *Syncer) Run(ctx context.Context) {
	var loops sync.WaitGroup
	defer loops.Wait()
	self := a.Knowledge.Self()
	running := make(map[vm.ID]chan struct{})
	for {
		for id, done := range running {
			select {
			case <-done:
				delete(running, id)
			default:
			}
		}
		for _, id := range a.controlVMs() {
			if id == self.VM || running[id] != nil {
				continue
			}
			done := make(chan struct{})
			running[id] = done
			loops.Go(func() {
				defer close(done)
				a.syncLoop(ctx, id)
			})
		}
		a.Knowledge.Prune(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-time.After(askersEvery):
		}
	}
}

func (a *Syncer) controlVMs() []vm.ID {
	var ids []vm.ID
	if seeds := a.seeds.Load(); seeds != nil {
		ids = append(ids, *seeds...)
	}
	for _, p := range a.Knowledge.VMs(func(p vm.Present) bool { return p.Control }) {
		ids = append(ids, p.VM)
	}
	return ids
}

// known reports whether id is still worth asking.
func (a *Syncer) known(id vm.ID) bool {
	for _, c := range a.controlVMs() {
		if c == id {
			return true
		}
	}
	return false
}

// syncLoop queries one control VM repeatedly, as long as it is known.
func (a *Syncer) syncLoop(ctx context.Context, id vm.ID) {
	var q syncRequest
	lost := false
	for ctx.Err() == nil && a.known(id) {
		q.Self = a.Knowledge.Self()
		q.Reports = a.Knowledge.ownReports()
		q.Division = a.Knowledge.Division(q.Self.FailureDomain)
		q.Wait = wire.Duration(a.wait())
		q.Version = 0
		if t := a.Knowledge.Table(); t != nil {
			q.Version = t.Version
		}
		n, err := a.once(ctx, id, q)
		if err != nil {
			if !lost && ctx.Err() == nil {
				event.Log(a.Log, event.ControlLost, zap.String("vm", string(id)), event.Err(err))
			}
			lost = true
			select {
			case <-ctx.Done():
			case <-time.After(askAgain):
			}
			continue
		}
		if lost {
			event.Log(a.Log, event.ControlFound, zap.String("vm", string(id)))
			lost = false
		}
		now := time.Now()
		a.reached.Store(&now)
		a.Knowledge.merge(now, n)
		q.Of, q.VMs, q.Workers = n.Self.Incarnation, n.VMCursor, n.WorkerCount
	}
}

func (a *Syncer) once(ctx context.Context, id vm.ID, q syncRequest) (syncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Wait.Std()+askSlack)
	defer cancel()
	return peer.Call[syncReply](ctx, a.Mesh, id, report.UseHeartbeat, methodSync, q)
}

// wait returns how long a control VM may keep a question.
func (a *Syncer) wait() time.Duration {
	if len(a.Knowledge.ownReports()) > 0 {
		return syncWait
	}
	return restWait
}

// LastContact returns when a control VM last answered; zero if none did.
func (a *Syncer) LastContact() time.Time {
	if at := a.reached.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// FetchFrom asks another VM once for all that it knows: a process that starts while
// no control VM can be reached learns table and workers from its neighbours.
// It reports whether that VM answered.
func (a *Syncer) FetchFrom(ctx context.Context, from vm.ID) bool {
	ctx, cancel := context.WithTimeout(ctx, askSlack)
	defer cancel()
	q := syncRequest{Self: a.Knowledge.Self()}
	q.Division = a.Knowledge.Division(q.Self.FailureDomain)
	if t := a.Knowledge.Table(); t != nil {
		q.Version = t.Version
	}
	n, err := peer.Call[syncReply](ctx, a.Mesh, from, report.UseControl, methodKnown, q)
	if err != nil {
		a.Log.Debug("asking a neighbour failed", zap.String("vm", string(from)), event.Err(err))
		return false
	}
	a.Knowledge.merge(time.Now(), n)
	return true
}
