package controller

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/control"
	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/quorum"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/ring"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wal"
)

// Bounds of the log before it is replaced by a snapshot.
const (
	compactBytes   = 4 << 20
	compactEntries = 2000
)

// saveRetryEvery is the interval at which a full disk is tried again.
const saveRetryEvery = 200 * time.Millisecond

// command is one message to the member's goroutine.
type command func(m *member, now time.Time)

// waiter is a proposal that waits to be applied.
type waiter struct {
	term quorum.Term
	done chan outcome
}

// outcome is what became of a proposal.
type outcome struct {
	result control.Result
	err    *code.Error
}

// member is this VM's place in the quorum: the goroutine of run owns it.
type member struct {
	k    *Controller
	ring *ring.Ring[command]
	out  map[vm.ID]*ring.Ring[quorum.Message]

	log     *wal.Log
	saved   quorum.Saved // as found at the start
	core    *quorum.Core
	state   control.State
	planner *planning
	waiting map[quorum.Index]waiter
	empty   bool // the disk was never part of a quorum
	stopped chan struct{}
}

func newMember(k *Controller, random func() float64) (*member, error) {
	log, saved, err := wal.Open(k.config.Settings.DataFolder, k.self.VM)
	if err != nil {
		return nil, errors.Wrap(err, "opening the control log")
	}
	if log.CutOff > 0 {
		event.Log(k.config.Log, event.TailCutOff, zap.Int64("bytes", log.CutOff))
	}
	m := &member{
		k:       k,
		ring:    ring.New[command](ringSize),
		out:     make(map[vm.ID]*ring.Ring[quorum.Message]),
		log:     log,
		saved:   saved,
		planner: newPlanning(k),
		waiting: make(map[quorum.Index]waiter),
		empty:   saved.Empty(),
		stopped: make(chan struct{}),
	}
	for _, v := range k.config.Settings.VMs {
		if v.Control && v.VM != k.self.VM {
			m.out[v.VM] = ring.New[quorum.Message](outgoingSize)
		}
	}
	if err := m.restore(saved.Snapshot.Data); err != nil {
		return nil, err
	}
	m.core = quorum.New(time.Now(), log.Member, saved, random)
	return m, nil
}

func (m *member) restore(data []byte) error {
	m.state = control.State{}
	if len(data) == 0 {
		return nil
	}
	return errors.Wrap(json.Unmarshal(data, &m.state), "restoring the control state")
}

// run serves the ring until ctx is done or the disk cannot be trusted.
func (m *member) run(ctx context.Context, duties *sync.WaitGroup) error {
	defer close(m.stopped)
	defer m.log.Close()
	for id, out := range m.out {
		duties.Go(func() { m.sendLoop(ctx, id, out) })
	}
	duties.Go(func() { m.bootstrapLoop(ctx) })
	duties.Go(func() { m.memberLoop(ctx) })
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-m.ring.Out():
			c(m, time.Now())
			m.drain()
		case <-tick.C:
			now := time.Now()
			m.core.Tick(now)
			m.planner.plan(now, m)
			m.adopt()
		}
		if err := m.settle(ctx); err != nil {
			return err
		}
	}
}

// drain takes in what else waits, so that it shares one sync.
func (m *member) drain() {
	for range ringSize {
		select {
		case c := <-m.ring.Out():
			c(m, time.Now())
		default:
			return
		}
	}
}

// do runs c in the goroutine and waits for it.
func (m *member) do(ctx context.Context, c command) bool {
	done := make(chan struct{})
	err := m.ring.Put(ctx, func(m *member, now time.Time) {
		defer close(done)
		c(m, now)
	})
	if err != nil {
		return false
	}
	select {
	case <-done:
		return true
	case <-m.stopped:
		return false
	}
}

// settle saves, sends and applies what the core has ready, in this order.
func (m *member) settle(ctx context.Context) error {
	for m.core.Pending() {
		r := m.core.Ready()
		if err := m.save(ctx, r); err != nil {
			return err
		}
		for _, msg := range r.Messages {
			if out := m.out[msg.To.VM]; out != nil {
				out.Offer(msg) // a full ring drops; the core sends anew
			}
		}
		if err := m.apply(ctx, r); err != nil {
			return err
		}
		m.core.SaveDone(time.Now())
	}
	m.noteLeader()
	return m.compact(ctx)
}

// apply takes committed entries into the state and answers their proposers.
func (m *member) apply(ctx context.Context, r quorum.Ready) error {
	before := m.state.Index()
	results := make([]control.Result, len(r.Committed))
	if r.Install != nil {
		if err := m.restore(r.Install.Data); err != nil {
			return err
		}
	}
	for i, e := range r.Committed {
		if len(e.Data) > 0 {
			var c control.Command
			if err := json.Unmarshal(e.Data, &c); err != nil {
				return errors.Wrapf(err, "decoding control entry %d", e.Index)
			}
			results[i] = m.state.Apply(e.Index, c)
		}
		if e.Config != nil {
			event.Log(m.k.config.Log, event.MemberChanged, zap.Any("config", e.Config))
		}
	}
	if m.state.Index() != before {
		m.adopt()
		if m.core.Role() == quorum.Leader {
			m.k.tell(ctx, uint64(m.state.Index()))
		}
	}
	for i, e := range r.Committed {
		m.answer(e, results[i])
	}
	return nil
}

// adopt puts the state in force here, if it is not yet. Where the disk is full,
// that fails, and is tried again at the next tick; the entry VM acts on the View
// that it has.
func (m *member) adopt() {
	if m.state.Index() <= m.k.View().Index {
		return
	}
	if err := m.k.adoptUpdate(m.state.Update(m.k.View().Index, m.k.View().Table.Version())); err != nil {
		m.k.config.Log.Debug("putting a view in force failed", zap.Error(err))
	}
}

// answer tells the proposer of the entry at e.Index what became of it.
func (m *member) answer(e quorum.Entry, result control.Result) {
	w, ok := m.waiting[e.Index]
	if !ok {
		return
	}
	delete(m.waiting, e.Index)
	if w.term != e.Term {
		w.done <- outcome{err: code.New(code.TableUnavailable, "another leader took over before the change was accepted")}
		return
	}
	w.done <- outcome{result: result}
}

// noteLeader keeps who leads for those who ask, and answers the proposals that
// a leader can no longer follow.
func (m *member) noteLeader() {
	leader := m.core.Leader().VM
	old := m.k.leader.Load()
	if old == nil || *old != leader {
		m.k.leader.Store(&leader)
		if leader == "" {
			event.Log(m.k.config.Log, event.LeaderLost)
		} else {
			event.Log(m.k.config.Log, event.LeaderElected, zap.String("vm", string(leader)), zap.Uint64("term", uint64(m.core.Term())))
		}
	}
	if m.core.Role() == quorum.Leader {
		return
	}
	for i, w := range m.waiting {
		delete(m.waiting, i)
		w.done <- outcome{err: code.New(code.TableOutcomeUnsure, "the leader lost its majority while the change was on its way")}
	}
}

// sendLoop sends the quorum's messages to one other member.
func (m *member) sendLoop(ctx context.Context, to vm.ID, out *ring.Ring[quorum.Message]) {
	for {
		select {
		case <-ctx.Done():
			return
		case msg := <-out.Out():
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			// The core sends anew what is lost.
			_ = m.k.config.Mesh.Notify(ctx, to, report.UseControl, methodMessage, msg)
			cancel()
		}
	}
}
