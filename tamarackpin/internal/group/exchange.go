package group

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/routes"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// Times of the exchanges.
const (
	// exchangeEvery gives four signs of life before a VM that leads counts as dead.
	exchangeEvery = 150 * time.Millisecond
	// restEvery is the interval between two VMs of which neither leads, while
	// every group is led: a third of the time after which they count as dead.
	restEvery = 600 * time.Millisecond
	// exchangeTimeout is under half of that time, so that a connection that went
	// silent is replaced before.
	exchangeTimeout = 250 * time.Millisecond
	peersEvery      = 300 * time.Millisecond
)

// sign is a sign of life, and its answer.
type sign struct {
	Self     vm.Presence    `json:"self"`
	Division lead.Division  `json:"division"`
	Claims   []lead.Claim   `json:"claims"` // the newest that the sender knows, for each group
	Version  routes.Version `json:"version"`
	Partial  bool           `json:"partial,omitempty"` // there may be workers that the sender has not heard of
}

func (g *Group) sign() sign {
	d := g.directory.Load()
	s := sign{Self: g.config.Knowledge.Self(), Division: d.division, Partial: g.partial(time.Now())}
	for _, l := range d.leaders {
		s.Claims = append(s.Claims, l.Claim)
	}
	if t := g.config.Knowledge.Table(); t != nil {
		s.Version = t.Version
	}
	return s
}

// exchangeLoop exchanges signs of life with every entry VM of the failure domain.
func (g *Group) exchangeLoop(ctx context.Context) {
	var loops sync.WaitGroup
	defer loops.Wait()
	running := make(map[vm.ID]bool)
	for {
		for _, p := range g.peers() {
			if running[p.VM] {
				continue
			}
			running[p.VM] = true
			loops.Go(func() { g.exchange(ctx, p.VM) })
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(peersEvery):
		}
	}
}

// peers returns the other entry VMs of the failure domain.
func (g *Group) peers() []vm.Present {
	return g.config.Knowledge.VMs(func(p vm.Present) bool {
		return p.Callers && p.FailureDomain == g.self.FailureDomain
	})
}

func (g *Group) exchange(ctx context.Context, id vm.ID) {
	lost, drains := false, false
	for ctx.Err() == nil {
		news := g.config.Knowledge.Changed()
		drainsNow := g.config.Knowledge.Self().Draining
		if wait := g.pause(time.Now(), id); wait > 0 && drainsNow == drains {
			if drains {
				news = nil // the others know
			}
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			case <-news: // it may be that this VM drains, which the others are told at once
			}
			continue
		}
		drains = drainsNow
		answer, err := g.once(ctx, id)
		g.note(time.Now(), id)
		switch {
		case err == nil:
			lost = false
			g.heard(ctx, answer)
		case !lost && ctx.Err() == nil:
			lost = true
			event.Log(g.config.Log, event.VMDead, zap.String("vm", string(id)), event.Err(err))
		}
	}
}

// pause returns how long to wait before the next exchange with a VM: each of the two
// begins it when the last one is long enough ago, whoever began that.
func (g *Group) pause(now time.Time, id vm.ID) time.Duration {
	every := restEvery
	for _, l := range g.directory.Load().leaders {
		if l.VM == "" || l.VM == id || l.VM == g.self.VM {
			every = exchangeEvery
		}
	}
	g.exchangeMu.Lock()
	defer g.exchangeMu.Unlock()
	return g.exchanged[id].Add(every).Sub(now)
}

// note takes in that an exchange with a VM was made or tried.
func (g *Group) note(now time.Time, id vm.ID) {
	g.exchangeMu.Lock()
	defer g.exchangeMu.Unlock()
	g.exchanged[id] = now
}

func (g *Group) once(ctx context.Context, id vm.ID) (sign, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	return peer.Call[sign](ctx, g.config.Mesh, id, report.UseHeartbeat, methodExchange, g.sign())
}

func (g *Group) serveExchange(ctx context.Context, _ vm.ID, s sign) (sign, error) {
	g.heard(ctx, s)
	return g.sign(), nil
}

// heard takes in a sign of life.
func (g *Group) heard(ctx context.Context, s sign) {
	now := time.Now()
	g.note(now, s.Self.VM)
	g.config.Knowledge.ObserveVM(now, s.Self, 0)
	_ = g.ring.Put(ctx, func(g *Group, now time.Time) { g.take(now, s) })
	t := g.config.Knowledge.Table()
	behind := s.Version > 0 && (t == nil || t.Version < s.Version)
	completes := g.partial(now) && !s.Partial
	if !behind && !completes && g.config.Knowledge.KnowsWorkers() {
		return
	}
	if g.config.Asker.FetchFrom(ctx, s.Self.VM) && completes {
		g.caught.Store(true)
	}
}

// take puts what a sign of life says in force.
func (g *Group) take(now time.Time, s sign) {
	if s.Division.Epoch > g.division.Epoch && len(s.Claims) == s.Division.Count() {
		g.divide(now, s.Division)
	}
	for i, p := range g.parts {
		p.leadership.Hear(now, s.Self)
		if s.Division.Epoch == g.division.Epoch && i < len(s.Claims) {
			p.leadership.Learn(s.Self.VM, s.Claims[i])
		}
	}
}
