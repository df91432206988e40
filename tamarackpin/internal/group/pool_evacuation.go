package group

import (
	"time"

	"tamarackpin.example/internal/evacuation"
	"tamarackpin.example/internal/pool"
)

// setEvacuation tells a pool whether its failure domain is evacuated, once that is known: the set of evacuated failure domains
// arrives with the table.
func (g *Group) setEvacuation(now time.Time, p *pool.Pool) {
	set, d := g.config.Knowledge.Evacuations(), g.self.FailureDomain
	if g.config.Knowledge.Table() == nil && set.Revision() == 0 {
		return
	}
	p.SetEvacuation(now, evacuation.Domain{FailureDomain: d, Revision: set.RevisionOf(d), Evacuated: set.Contains(d), Since: now.Add(-set.Age(now, d))})
}
