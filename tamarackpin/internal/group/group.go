// Package group is an entry VM's part in the groups of its failure domain: it
// exchanges signs of life with the others, agrees with them on who orders which
// workers (package lead), and does so itself for the groups that it leads (package
// pool).
//
// One goroutine owns the decisions; orders and exchanges run in goroutines of
// their own and report back over a bounded ring.
package group

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/ring"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/fleet"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// Sizes and times of the goroutines.
const (
	ringSize  = 4096
	tickEvery = 20 * time.Millisecond
	// restTick is the same while this VM orders no workers: it looks often enough
	// to take over in time.
	restTick = 60 * time.Millisecond
	// workersEvery is how often the pools are told of workers without news.
	workersEvery = 200 * time.Millisecond
)

// Config is what a Group needs.
type Config struct {
	Knowledge *fleet.Knowledge
	Asker     *fleet.Syncer
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

// Group must be made by [New]. Its methods are safe for concurrent use; the
// fields below the ring belong to the goroutine of Run.
type Group struct {
	config    Config
	self      vm.Presence
	directory atomic.Pointer[directory]
	counts    atomic.Pointer[pool.Counts]

	pingMu sync.Mutex // guards pings
	pings  map[vm.ID]time.Time

	// begun is when the process started; caught is set once a VM that knows all
	// workers told it of them.
	begun  time.Time
	caught atomic.Bool

	exchangeMu sync.Mutex // guards exchanged
	exchanged  map[vm.ID]time.Time

	changeMu sync.Mutex // guards change
	change   chan struct{}

	ring     *ring.Ring[command]
	division lead.Division
	divided  time.Time // when this process learned of the division; zero before the first
	divider  lead.Divider
	parts    []*part   // one for each group of the division
	told     time.Time // when the pools were last told of workers
	early    withdrawals
	calls    sync.WaitGroup
}

// New returns a Group and registers what it serves.
func New(now time.Time, c Config, x *peer.Mux) *Group {
	self := c.Knowledge.Self()
	g := &Group{
		config: c, self: self, begun: now, change: make(chan struct{}), ring: ring.New[command](ringSize),
		parts: []*part{newPart(lead.New(now, self))}, pings: make(map[vm.ID]time.Time), exchanged: make(map[vm.ID]time.Time),
	}
	g.directory.Store(&directory{leaders: make([]Leader, 1)})
	g.serve(x)
	return g
}

// Counts returns the totals of the pools that this VM leads.
func (g *Group) Counts() pool.Counts {
	if c := g.counts.Load(); c != nil {
		return *c
	}
	return pool.Counts{}
}

// Drain leaves the lead to others, as soon as one can take it.
func (g *Group) Drain(ctx context.Context) {
	_ = g.ring.Put(ctx, func(g *Group, _ time.Time) {
		for _, p := range g.parts {
			p.leadership.Drain()
		}
	})
}

// Run serves the ring until ctx is done.
func (g *Group) Run(ctx context.Context) {
	defer g.calls.Wait()
	g.calls.Go(func() { g.exchangeLoop(ctx) })
	tick := time.NewTimer(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			for _, p := range g.parts {
				p.dropPool()
			}
			return
		case c := <-g.ring.Out():
			c(g, time.Now())
			g.drain()
		case <-tick.C:
			g.tick(time.Now())
			tick.Reset(g.tickInterval())
		}
		g.settle(ctx, time.Now())
	}
}

// tickInterval is short while this VM leads a group.
func (g *Group) tickInterval() time.Duration {
	if slices.ContainsFunc(g.parts, func(p *part) bool { return p.pool != nil }) {
		return tickEvery
	}
	return restTick
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
	if d := g.config.Knowledge.Division(g.self.FailureDomain); d.Epoch > g.division.Epoch {
		g.divide(now, d) // as a control VM remembers it
	}
	g.claim(now)
	g.early.forget(now)
	if now.Sub(g.told) >= workersEvery {
		g.told = now
		g.tellWorkers(now)
		g.redivide(now)
	}
	for _, p := range g.parts {
		if p.pool != nil {
			p.pool.Tick(now)
		}
	}
}

// tellWorkers tells the pools what is new of their workers, and others what room
// the groups have.
func (g *Group) tellWorkers(now time.Time) {
	var reports []pool.Report
	for i, p := range g.parts {
		if p.pool == nil {
			continue
		}
		heard, cursor := g.config.Knowledge.Workers(g.self.FailureDomain, p.cursor)
		p.cursor = cursor
		for _, h := range heard {
			if g.division.Of(string(h.Worker)) == lead.Group(i) {
				p.pool.Observe(now, h)
			}
		}
		r := p.pool.Report(now)
		r.VM, r.FailureDomain, r.Group, r.Epoch = g.self.VM, g.self.FailureDomain, lead.Group(i), g.division.Epoch
		reports = append(reports, r)
	}
	g.config.Knowledge.SetReports(reports)
}

// settle carries out what was decided.
func (g *Group) settle(ctx context.Context, now time.Time) {
	for i, p := range g.parts {
		if p.pool == nil {
			continue
		}
		g.flush(ctx, p)
		if p.pool.Fenced() {
			p.leadership.Refused(now, p.leadership.Claim().Fence)
		}
		if !p.leadership.Leads() {
			event.Log(g.config.Log, event.LeadLost, zap.Int("group", i), zap.Bool("refused", p.pool.Fenced()), zap.Int64("newer_fence", int64(p.leadership.Claim().Fence)),
				zap.String("newer_vm", string(p.leadership.Claim().VM)))
			p.dropPool()
		}
	}
	g.publish(now)
}

// flush sends the orders and answers of a pool.
func (g *Group) flush(ctx context.Context, p *part) {
	orders, answers := p.pool.Take()
	for _, o := range orders {
		g.calls.Go(func() { g.call(ctx, o) })
	}
	g.logAnswers(p, answers)
	p.answer(answers)
	g.logStarts(p, orders)
	if len(orders)+len(answers) > 0 {
		g.count()
	}
}

// count adds up the counts of the pools, for metrics.
func (g *Group) count() {
	var total pool.Counts
	for _, p := range g.parts {
		if p.pool != nil {
			total.Waiting += p.pool.Counts.Waiting
			total.Running += p.pool.Counts.Running
		}
	}
	g.counts.Store(&total)
}

// call carries one order and reports its reply.
func (g *Group) call(ctx context.Context, o pool.Order) {
	callCtx, cancel := context.WithTimeout(ctx, o.Wait+pool.OrderTimeout)
	defer cancel()
	r := g.config.Call(callCtx, o)
	r.Order = o
	_ = g.ring.Put(ctx, func(g *Group, now time.Time) {
		i := slices.IndexFunc(g.parts, func(p *part) bool { return p.pool != nil && p.leadership.Claim().Fence == o.Fence })
		if i >= 0 {
			r.At = now
			g.parts[i].pool.Receive(now, r)
		}
	})
}
