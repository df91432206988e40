package node

import (
	"net/http"

	"tamarackpin.example/internal/pool"
	"tamarackpin.example/tamarackpin/internal/group"
	"tamarackpin.example/tamarackpin/internal/metrics"
)

// newMetrics returns the metrics of this VM. The dispatcher's (waiting and running
// tasks) cover the groups that this VM leads and are 0 if it leads none.
func (n *Node) newMetrics() (*metrics.Metrics, error) {
	count := func(read func(pool.Counts) int) func() int64 {
		return func() int64 {
			if n.group == nil {
				return 0
			}
			return int64(read(n.group.Counts()))
		}
	}
	total := func(read func(*group.Group) int64) func() int64 {
		return func() int64 {
			if n.group == nil {
				return 0
			}
			return read(n.group)
		}
	}
	return metrics.New(metrics.Gauges{
		StartsWithheld: total((*group.Group).StartsWithheld), JobsMoved: total((*group.Group).JobsMoved),
		Waiting: count(func(c pool.Counts) int { return c.Waiting }),
		Running: count(func(c pool.Counts) int { return c.Assigned }),
		InHand:  n.unansweredJobs,

		PairsKnown:  count(func(c pool.Counts) int { return c.PairsKnown }),
		PlacedApart: count(func(c pool.Counts) int { return c.PlacedApart }),
		TableVersion: func() int64 {
			if t := n.Knowledge.Table(); t != nil {
				return int64(t.Version)
			}
			return 0
		},
		Evacuated: func() int64 { return int64(n.Knowledge.Evacuations().Count()) },
	})
}

func (n *Node) metricsHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle("GET /metrics", n.metrics.Handler())
	return m
}
