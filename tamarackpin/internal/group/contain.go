package group

import (
	"context"
	"time"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/pool"
)

// contain runs c. If it panics, the state of the pools cannot be trusted: this VM steps
// down from all groups that it leads, and other VMs take over as from a lost leader. The
// rest of the process goes on, above all the gate with its callers' jobs.
func (g *Group) contain(doing string, c command) {
	defer event.Contain(g.config.Log, doing, func() {
		now := time.Now()
		for _, s := range g.groups {
			if s.pool != nil {
				s.leadership.StepDown(now)
				s.pool = nil // so that dropPool does not ask it
				s.dropPool(now)
			}
		}
		g.publish(now)
	})
	c(g, time.Now())
}

// call sends an order to its worker. A panic counts as a missing reply.
func (g *Group) call(ctx context.Context, o pool.Order) (r pool.Reply) {
	defer event.Contain(g.config.Log, "sending an order", func() { r = pool.Reply{} })
	return g.config.Call(ctx, o)
}
