// Package group is an entry VM's part in the group of its failure domain: it
// exchanges signs of life with the others, agrees with them on who orders the
// workers (package lead), and does so itself while it leads (package pool).
//
// One goroutine owns the decisions; orders and exchanges run in goroutines of
// their own and report back over a bounded ring.
package group

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/ring"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/worker"
	"tamarackpin.example/tamarackpin/internal/fleet"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// Sizes and times of the goroutines.
const (
	ringSize  = 4096
	tickEvery = 20 * time.Millisecond
	// workersEvery is how often the pool is told of workers without news.
	workersEvery = 200 * time.Millisecond
)

// Config is what a Group needs.
type Config struct {
	Knowledge *fleet.Knowledge
	Asker     *fleet.Asker
	Mesh      *peer.Mesh
	Log       *zap.Logger
	LeaseMax  time.Duration
	StopMax   time.Duration
	// Call carries an order to its worker and returns what came back before ctx
	// was done.
	Call func(ctx context.Context, o pool.Order) pool.Reply
}

// command is one message to the Group's goroutine.
type command func(g *Group, now time.Time)

// Leader is who orders the workers of the failure domain, as known here.
type Leader struct {
	VM    vm.ID // empty if nobody is known to
	Claim lead.Claim
}

// Group must be made by [New]. Its methods are safe for concurrent use; the
// fields below the ring belong to the goroutine of Run.
type Group struct {
	config Config
	self   vm.Presence
	leader atomic.Pointer[Leader]
	counts atomic.Pointer[pool.Counts]

	pingMu sync.Mutex // guards pings
	pings  map[vm.ID]time.Time

	changeMu sync.Mutex // guards change
	change   chan struct{}

	ring       *ring.Ring[command]
	leadership *lead.Leadership
	pool       *pool.Pool
	waiters    map[job.ID][]waiter
	cursor     worker.Cursor
	told       time.Time // when the pool was last told of workers
	calls      sync.WaitGroup
}

// New returns a Group and registers what it serves.
func New(now time.Time, c Config, x *peer.Mux) *Group {
	self := c.Knowledge.Self()
	g := &Group{
		config: c, self: self, change: make(chan struct{}), ring: ring.New[command](ringSize),
		leadership: lead.New(now, self), waiters: make(map[job.ID][]waiter), pings: make(map[vm.ID]time.Time),
	}
	g.leader.Store(&Leader{})
	g.serve(x)
	return g
}

// Leader returns who leads, and a channel that is closed when that changes.
func (g *Group) Leader() (Leader, <-chan struct{}) {
	g.changeMu.Lock()
	defer g.changeMu.Unlock()
	return *g.leader.Load(), g.change
}

// Counts returns the totals of the pool that this VM leads, if it does.
func (g *Group) Counts() (pool.Counts, bool) {
	c := g.counts.Load()
	if c == nil {
		return pool.Counts{}, false
	}
	return *c, true
}

// Drain leaves the lead to others, as soon as one can take it.
func (g *Group) Drain(ctx context.Context) {
	_ = g.ring.Put(ctx, func(g *Group, _ time.Time) { g.leadership.Drain() })
}

// Run serves the ring until ctx is done.
func (g *Group) Run(ctx context.Context) {
	defer g.calls.Wait()
	g.calls.Go(func() { g.exchangeLoop(ctx) })
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			g.dropPool()
			return
		case c := <-g.ring.Out():
			c(g, time.Now())
			g.drain()
		case <-tick.C:
			g.tick(time.Now())
		}
		g.settle(ctx, time.Now())
	}
}

// drain takes in what else waits before orders are sent.
func (g *Group) drain() {
	for range ringSize {
		select {
		case c := <-g.ring.Out():
			c(g, time.Now())
		default:
			return
		}
	}
}

func (g *Group) tick(now time.Time) {
	claim, claimed := g.leadership.Tick(now, g.config.Asker.Reaches(now))
	if claimed {
		event.Log(g.config.Log, event.LeadTaken, zap.Int64("fence", int64(claim.Fence)), zap.Int("living", len(g.leadership.Living(now))))
		g.dropPool()
		g.pool = pool.New(now, pool.Config{Fence: claim.Fence, LeaseMax: g.config.LeaseMax, StopMax: g.config.StopMax})
		g.cursor, g.told = 0, time.Time{}
	}
	if g.pool != nil {
		g.tellWorkers(now)
		g.pool.Tick(now)
	}
}

// tellWorkers tells the pool what is new of the workers.
func (g *Group) tellWorkers(now time.Time) {
	if now.Sub(g.told) < workersEvery {
		return
	}
	g.told = now
	heard, cursor := g.config.Knowledge.Workers(g.self.FailureDomain, g.cursor)
	g.cursor = cursor
	for _, h := range heard {
		g.pool.Observe(now, h)
	}
	r := g.pool.Report(now)
	r.VM, r.FailureDomain = g.self.VM, g.self.FailureDomain
	g.config.Knowledge.SetReport(&r)
}

// settle carries out what was decided.
func (g *Group) settle(ctx context.Context, now time.Time) {
	if g.pool != nil {
		g.flush(ctx)
		if g.pool.Fenced() {
			g.leadership.Refused(now, g.leadership.Claim().Fence)
		}
		if !g.leadership.Leads() {
			event.Log(g.config.Log, event.LeadLost, zap.Bool("refused", g.pool.Fenced()), zap.Int64("newer_fence", int64(g.leadership.Claim().Fence)),
				zap.String("newer_vm", string(g.leadership.Claim().VM)))
			g.dropPool()
		}
	}
	g.publish(now)
}

// publish tells the gate who leads.
func (g *Group) publish(now time.Time) {
	next := Leader{Claim: g.leadership.Claim()}
	next.VM, _ = g.leadership.Leader(now)
	if old := g.leader.Load(); *old == next {
		return
	}
	g.changeMu.Lock()
	defer g.changeMu.Unlock()
	g.leader.Store(&next)
	close(g.change)
	g.change = make(chan struct{})
}

// dropPool ends this VM's lead: gates hand their jobs to the next leader.
func (g *Group) dropPool() {
	g.pool = nil
	g.counts.Store(nil)
	g.config.Knowledge.SetReport(nil)
	for id, list := range g.waiters {
		for _, w := range list {
			w.done <- result{dropped: true}
		}
		delete(g.waiters, id)
	}
}

// flush sends the pool's orders and answers.
func (g *Group) flush(ctx context.Context) {
	orders, answers := g.pool.Take()
	for _, o := range orders {
		g.calls.Go(func() { g.call(ctx, o) })
	}
	for _, a := range answers {
		for _, w := range g.waiters[a.Job] {
			w.done <- result{answer: a}
		}
		delete(g.waiters, a.Job)
	}
	if len(orders)+len(answers) > 0 {
		c := g.pool.Counts
		g.counts.Store(&c)
	}
}

// call carries one order and reports its reply.
func (g *Group) call(ctx context.Context, o pool.Order) {
	callCtx, cancel := context.WithTimeout(ctx, o.Wait+pool.OrderTimeout)
	defer cancel()
	r := g.config.Call(callCtx, o)
	r.Order = o
	_ = g.ring.Put(ctx, func(g *Group, now time.Time) {
		if g.pool != nil && g.leadership.Claim().Fence == o.Fence {
			r.At = now
			g.pool.Receive(now, r)
		}
	})
}
