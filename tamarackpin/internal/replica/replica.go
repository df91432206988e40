// Package replica runs this VM's member of the control quorum: it owns the
// decisions (package quorum) and the disk (package wal), sends and receives the
// members' messages, forms the quorum at the first start and keeps its members
// as they should be. What the log holds is up to the [Machine].
//
// Package controller replicates the table and the assignments of a deployment
// whose VMs are listed in the settings; package keeper the operators' table of
// one whose VMs find each other.
package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/quorum"
	"tamarackpin.example/internal/ring"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wal"
)

// Sizes and times of the goroutines.
const (
	ringSize     = 1024
	outgoingSize = 64
	tickEvery    = 25 * time.Millisecond
	callTimeout  = time.Second
)

// Bounds of the log before it is replaced by a snapshot.
const (
	compactBytes   = 4 << 20
	compactEntries = 2000
)

// Errors of a proposal.
var (
	// ErrLost says that the leader lost its majority; the entry may still be
	// applied.
	ErrLost = errors.New("the leader lost its majority while the change was on its way")
	// ErrReplaced says that another leader's entry took the place.
	ErrReplaced = errors.New("another leader took over before the change was accepted")
	// ErrStopped says that the member stopped or did not take the proposal in time.
	ErrStopped = errors.New("the control member is busy or stopped")
)

// Machine is the state machine behind the log. Its functions are called by the
// Replica's goroutine only.
type Machine struct {
	// Apply takes in a committed entry and returns what its proposer is told.
	Apply func(index quorum.Index, data []byte) (any, error)
	// Settle is called after entries were applied, before their proposers hear
	// of it, and at each tick.
	Settle func(now time.Time, core *quorum.Core)
	// Snapshot encodes the state, Restore replaces it; no data is the empty state.
	Snapshot func() ([]byte, error)
	Restore  func(data []byte) error
	// Led is told each change of the leader.
	Led func(vm.ID)
}

// Config is what a Replica needs.
type Config struct {
	Folder  string
	Self    vm.ID
	Log     *zap.Logger
	Machine Machine

	// Send delivers a message to another member, or loses it.
	Send func(ctx context.Context, to vm.ID, m quorum.Message) error
	// Ask returns the identity of another VM's member.
	Ask func(ctx context.Context, v vm.ID) (Identity, error)
	// Founders are the VMs that form the quorum, if they may.
	Founders []vm.ID
	// MayFound says whether a new quorum may be formed when all founders' disks
	// are empty.
	MayFound bool
	// Wanted returns the VMs that should be members, given those that are and the ones of them
	// that are silent.
	Wanted func(now time.Time, c quorum.Config, silent []quorum.Member) []vm.ID
}

// command is one message to the Replica's goroutine.
type command func(r *Replica, now time.Time)

// Replica is one member. It must be made by [New]. Its methods are safe for
// concurrent use; the fields below the ring belong to the goroutine of Run.
type Replica struct {
	config  Config
	ring    *ring.Ring[command]
	stopped chan struct{}

	out     map[vm.ID]*ring.Ring[quorum.Message]
	log     *wal.Log
	saved   quorum.Saved // as found at the start
	core    *quorum.Core
	waiting map[quorum.Index]waiter
	empty   bool // the disk was never part of a quorum
	leader  vm.ID
	noted   quorum.Index // that was written down as committed
	duties  sync.WaitGroup
}

// New opens the member's disk.
func New(c Config) (*Replica, error) {
	log, saved, err := wal.Open(c.Folder, c.Self)
	if err != nil {
		return nil, errors.Wrap(err, "opening the control log")
	}
	if log.CutOff > 0 {
		event.Log(c.Log, event.TailCutOff, zap.Int64("bytes", log.CutOff))
	}
	r := &Replica{
		config: c, ring: ring.New[command](ringSize), stopped: make(chan struct{}),
		out: make(map[vm.ID]*ring.Ring[quorum.Message]), log: log, saved: saved,
		waiting: make(map[quorum.Index]waiter), empty: saved.Empty(),
	}
	if err := c.Machine.Restore(saved.Snapshot.Data); err != nil {
		return nil, err
	}
	r.core = quorum.New(time.Now(), log.Member, saved, rand.Float64)
	return r, nil
}

// Run serves the ring until ctx is done or the disk cannot be trusted.
func (r *Replica) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer r.duties.Wait()
	defer cancel()
	defer close(r.stopped)
	defer r.log.Close()
	r.duties.Go(func() { r.foundLoop(ctx) })
	r.duties.Go(func() { r.memberLoop(ctx) })
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-r.ring.Out():
			c(r, time.Now())
			r.drain()
		case <-tick.C:
			now := time.Now()
			r.core.Tick(now)
			r.config.Machine.Settle(now, r.core)
		}
		if err := r.settle(ctx); err != nil {
			return err
		}
	}
}

// drain takes in what else waits, so that it shares one sync.
func (r *Replica) drain() {
	for range ringSize {
		select {
		case c := <-r.ring.Out():
			c(r, time.Now())
		default:
			return
		}
	}
}

// Do runs c in the Replica's goroutine and reports whether it ran.
func (r *Replica) Do(ctx context.Context, c func(core *quorum.Core, now time.Time)) bool {
	return r.do(ctx, func(r *Replica, now time.Time) { c(r.core, now) })
}

func (r *Replica) do(ctx context.Context, c command) bool {
	done := make(chan struct{})
	err := r.ring.Put(ctx, func(r *Replica, now time.Time) {
		defer close(done)
		c(r, now)
	})
	if err != nil {
		return false
	}
	select {
	case <-done:
		return true
	case <-r.stopped:
		return false
	}
}

// Receive takes in a message from another member.
func (r *Replica) Receive(ctx context.Context, m quorum.Message) {
	// A message that is lost is sent anew.
	_ = r.ring.Put(ctx, func(r *Replica, now time.Time) { r.core.Receive(now, m) })
}

// settle saves, sends and applies what the core has ready, in this order.
func (r *Replica) settle(ctx context.Context) error {
	for r.core.Pending() {
		ready := r.core.Ready()
		if err := r.save(ctx, ready); err != nil {
			return err
		}
		for _, m := range ready.Messages {
			r.outgoing(ctx, m.To.VM).Offer(m) // a full ring drops; the core sends anew
		}
		if err := r.apply(ready); err != nil {
			return err
		}
		r.core.SaveDone(time.Now())
	}
	r.noteCommit()
	r.noteLeader()
	return r.compact(ctx)
}

// outgoing returns the ring towards another member and starts its goroutine.
func (r *Replica) outgoing(ctx context.Context, to vm.ID) *ring.Ring[quorum.Message] {
	out := r.out[to]
	if out == nil {
		out = ring.New[quorum.Message](outgoingSize)
		r.out[to] = out
		r.duties.Go(func() { r.sendLoop(ctx, to, out) })
	}
	return out
}

// sendLoop sends messages to one other member.
func (r *Replica) sendLoop(ctx context.Context, to vm.ID, out *ring.Ring[quorum.Message]) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-out.Out():
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			// The core sends anew what is lost.
			_ = r.config.Send(ctx, to, m)
			cancel()
		}
	}
}

// apply takes committed entries into the machine and answers their proposers.
func (r *Replica) apply(ready quorum.Ready) error {
	results := make([]any, len(ready.Committed))
	if ready.Install != nil {
		if err := r.config.Machine.Restore(ready.Install.Data); err != nil {
			return err
		}
	}
	for i, e := range ready.Committed {
		if len(e.Data) > 0 {
			result, err := r.config.Machine.Apply(e.Index, e.Data)
			if err != nil {
				return errors.Wrapf(err, "applying control entry %d", e.Index)
			}
			results[i] = result
		}
		if e.Config != nil {
			event.Log(r.config.Log, event.MemberChanged, zap.Any("config", e.Config))
		}
	}
	if ready.Install != nil || len(ready.Committed) > 0 {
		r.config.Machine.Settle(time.Now(), r.core)
	}
	for i, e := range ready.Committed {
		r.answer(e, results[i])
	}
	return nil
}

// noteCommit writes down what is committed.
func (r *Replica) noteCommit() {
	c := r.core.Commit()
	if c == r.noted {
		return
	}
	r.noted = c
	if err := r.log.NoteCommit(c); err != nil {
		// A restart then learns it from the leader.
		r.config.Log.Debug("noting what is committed failed", event.Err(err))
	}
}

// noteLeader tells who leads, and answers the proposals that a leader can no
// longer follow.
func (r *Replica) noteLeader() {
	if leader := r.core.Leader().VM; leader != r.leader {
		r.leader = leader
		r.config.Machine.Led(leader)
		if leader == "" {
			event.Log(r.config.Log, event.LeaderLost)
		} else {
			event.Log(r.config.Log, event.LeaderElected, zap.String("vm", string(leader)), zap.Uint64("term", uint64(r.core.Term())))
		}
	}
	if r.core.Role() == quorum.Leader {
		return
	}
	for i, w := range r.waiting {
		delete(r.waiting, i)
		w.done <- outcome{err: ErrLost}
	}
}
