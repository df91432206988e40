package group

import (
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/evacuation"
	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/lead"
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

// withheldStarts has the counts of a pool that were logged, and when.
type withheldStarts struct {
	starts, jobsMoved int
	loggedAt          time.Time
}

// withheldLogInterval bounds the log of withheld starts: each new job of an evacuated failure domain has some.
const withheldLogInterval = time.Second

// logWithheld logs and counts the starts that a pool has withheld since the last line.
func (g *Group) logWithheld(now time.Time, group lead.Group, s *groupState) {
	starts, moved := s.pool.Counts.StartsWithheld-s.withheld.starts, s.pool.Counts.JobsMoved-s.withheld.jobsMoved
	if starts == 0 || now.Sub(s.withheld.loggedAt) < withheldLogInterval {
		return
	}
	s.withheld = withheldStarts{s.pool.Counts.StartsWithheld, s.pool.Counts.JobsMoved, now}
	g.startsWithheld.Add(int64(starts))
	g.jobsMoved.Add(int64(moved))
	event.Log(g.config.Log, event.StartsWithheld, zap.Int("group", int(group)), zap.Int("starts", starts), zap.Int("jobs_moved", moved))
}

// StartsWithheld returns the number of tasks that were not started here for an evacuation, up to a second late.
func (g *Group) StartsWithheld() int64 { return g.startsWithheld.Load() }

// JobsMoved returns the number of jobs that were returned to their gates for an evacuation, up to a second late.
func (g *Group) JobsMoved() int64 { return g.jobsMoved.Load() }
