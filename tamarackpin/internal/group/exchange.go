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
	// exchangeEvery gives four signs of life before a VM counts as dead.
	exchangeEvery = 150 * time.Millisecond
	// exchangeTimeout is under half of that time, so that a connection that went
	// silent is replaced before.
	exchangeTimeout = 250 * time.Millisecond
	peersEvery      = 300 * time.Millisecond
)

// sign is a sign of life, and its answer.
type sign struct {
	Self    vm.Presence    `json:"self"`
	Claim   lead.Claim     `json:"claim"` // the newest that the sender knows
	Version routes.Version `json:"version"`
}

func (g *Group) sign() sign {
	s := sign{Self: g.config.Knowledge.Self(), Claim: g.leader.Load().Claim}
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
	lost := false
	for ctx.Err() == nil {
		news := g.config.Knowledge.News()
		answer, err := g.once(ctx, id)
		switch {
		case err == nil:
			lost = false
			g.heard(ctx, answer)
		case !lost && ctx.Err() == nil:
			lost = true
			event.Log(g.config.Log, event.VMDead, zap.String("vm", string(id)), event.Err(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(exchangeEvery):
		case <-g.drained(news):
		}
	}
}

// drained returns a channel that is closed when this VM begins to drain, so
// that the others know at once.
func (g *Group) drained(news <-chan struct{}) <-chan struct{} {
	if g.config.Knowledge.Self().Draining {
		return nil
	}
	return news
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
	g.config.Knowledge.Meet(now, s.Self, 0)
	_ = g.ring.Put(ctx, func(g *Group, now time.Time) {
		g.leadership.Hear(now, s.Self)
		g.leadership.Learn(s.Self.VM, s.Claim)
	})
	t := g.config.Knowledge.Table()
	behind := s.Version > 0 && (t == nil || t.Version < s.Version)
	if behind || !g.config.Knowledge.KnowsWorkers() {
		g.config.Asker.Catch(ctx, s.Self.VM)
	}
}
