package group

import (
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/worker"
)

// claim lets the leaderships decide, group by group, so that each knows how many
// others are vacant.
func (g *Group) claim(now time.Time) {
	reached := g.config.Asker.LastContact()
	others := lead.Others{Led: make(map[vm.ID]int)}
	for _, p := range g.parts {
		if leader, led := p.leadership.Leader(now); led {
			others.Led[leader]++
		}
	}
	for i, p := range g.parts {
		vacant := p.leadership.Vacant(now)
		if claim, claimed := p.leadership.Tick(now, reached, others); claimed {
			event.Log(g.config.Log, event.LeadTaken, zap.Int("group", i), zap.Int64("fence", int64(claim.Fence)), zap.Int("living", len(p.leadership.Living(now))))
			p.dropPool()
			p.pool = pool.New(now, pool.Config{Fence: claim.Fence, LeaseMax: g.config.LeaseMax, StopMax: g.config.StopMax, Divided: g.divided, Partial: g.partial(now)})
			p.cursor, g.told = 0, time.Time{}
		}
		if vacant {
			others.Turn++
		}
	}
}

// partial reports whether there may be workers that this process has not heard of:
// each tells one control VM of itself, which may have started again as well.
func (g *Group) partial(now time.Time) bool {
	return !g.caught.Load() && now.Sub(g.begun) < worker.SilentAfter
}

// redivide divides the workers anew if they are too many or too few for the
// groups. The leader of the first group decides, when it reaches all others.
func (g *Group) redivide(now time.Time) {
	first := g.parts[0].leadership
	if !first.Leads() {
		g.divider = lead.Divider{}
		return
	}
	workers := g.config.Knowledge.CountWorkers(now, g.self.FailureDomain)
	groups, change := g.divider.Tick(now, g.division, workers, 1+len(first.Living(now)))
	if change && first.Whole(now) {
		g.divide(now, lead.Division{Epoch: first.Epoch(now), Groups: groups})
	}
}

// divide puts a division in force: nobody leads its groups yet.
func (g *Group) divide(now time.Time, d lead.Division) {
	event.Log(g.config.Log, event.WorkersDivided, zap.Int64("epoch", int64(d.Epoch)), zap.Int("groups", d.Count()), zap.Int("before", g.division.Count()))
	first := g.parts[0].leadership
	for _, p := range g.parts {
		p.dropPool()
	}
	g.parts = nil
	for range d.Count() {
		g.parts = append(g.parts, newPart(first.Divided(d.Epoch)))
	}
	g.division, g.divided, g.divider = d, now, lead.Divider{}
	g.config.Knowledge.SetDivision(g.self.FailureDomain, d)
}
