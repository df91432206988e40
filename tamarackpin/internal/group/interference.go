package group

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/interference"
	"tamarackpin.example/internal/pool"
)

// pairsInterval is the time between two looks at what the pools have learned of interference. Sorting a
// thousand pairs takes under a millisecond.
const pairsInterval = 2 * time.Second

// Interference returns what the dispatchers of this VM have learned of rows that slow each other down,
// as of some seconds ago: empty if it leads no group. Of a pair that two groups know, it has the one with
// the most observations.
func (g *Group) Interference() []interference.Pair {
	if pairs := g.pairs.Load(); pairs != nil {
		return slices.Clone(*pairs)
	}
	return []interference.Pair{}
}

// tickInterference publishes and logs what the pools have learned.
func (g *Group) tickInterference(now time.Time) {
	if !g.config.Interference.Observes() || now.Sub(g.pairsPublishedAt) < pairsInterval {
		return
	}
	g.pairsPublishedAt = now
	var all []interference.Pair
	for i, s := range g.groups {
		if s.pool == nil {
			continue
		}
		pairs := s.pool.Pairs()
		s.interferenceLog.write(now, g.config.Log.With(zap.Int("group", i)), s.pool, pairs)
		all = append(all, pairs...)
	}
	all = interference.Merge(all)
	g.pairs.Store(&all)
}

// interferenceLog writes the events of one pool, a bounded number of them.
type interferenceLog struct {
	periodAt time.Time // start of the present period
	written  int       // changes in it
	omitted  int       // changes that were not written since the last that was
}

// Limits of the lines about changes.
const (
	changesPeriod    = 10 * time.Second
	changesPerPeriod = 8
	// summaryPairs bounds the pairs in a summary.
	summaryPairs = 8
)

// write logs the changes since the last call, and the summary of the last minute if it is due.
func (l *interferenceLog) write(now time.Time, log *zap.Logger, p *pool.Pool, pairs []interference.Pair) {
	changes, omitted, summary, due := p.TakeInterference(now)
	l.omitted += omitted
	for _, c := range changes {
		l.change(now, log, c)
	}
	if !due {
		return
	}
	slices.SortFunc(pairs, func(a, b interference.Pair) int {
		return cmp.Or(cmp.Compare(b.Low, a.Low), cmp.Compare(a.Row, b.Row), cmp.Compare(a.Beside, b.Beside))
	})
	event.Log(log, event.Interference, zap.Int("observations", summary.Observations), zap.Int("rows_seen", summary.Rows),
		zap.Int("watched", summary.Pairs), zap.Int("known", summary.Confident), zap.Int("placed_apart", p.Counts.PlacedApart),
		zap.Any("rows", summary.Busiest), zap.Any("pairs", pairs[:min(len(pairs), summaryPairs)]))
}

// change logs one change, or counts it.
func (l *interferenceLog) change(now time.Time, log *zap.Logger, c interference.Change) {
	if now.Sub(l.periodAt) >= changesPeriod {
		l.periodAt, l.written = now, 0
	}
	if l.written == changesPerPeriod {
		l.omitted++
		return
	}
	l.written++
	id := event.PairKnown
	if c.Dropped {
		id = event.PairDropped
	}
	event.Log(log, id, zap.String("row", string(c.Row)), zap.String("beside", string(c.Beside)), zap.Float64("factor", c.Factor),
		zap.Float64("low", c.Low), zap.Float64("high", c.High), zap.Float64("confidence", c.Confidence),
		zap.Uint64("observations", c.Observations), zap.Int("workers", c.Workers), zap.Int("omitted", l.omitted))
	l.omitted = 0
}
