package interference

import (
	"math"
	"slices"
	"time"

	"tamarackpin.example/internal/routes"
	"tamarackpin.example/internal/worker"
)

// Learner learns how much longer runs take beside others. It is not safe for concurrent
// use. The zero Learner has learned nothing.
type Learner struct {
	rows        map[routes.RowName]*rowState
	workers     map[worker.ID]*offset
	nextSource  int                    // of the next new worker
	outliers    float64                // share of the last runs, on all workers, that deviate by maxResidual or more
	pairs       int                    // number of partners of all rows
	confident   int                    // number of those that are confident
	involved    map[routes.RowName]int // number of confident pairs that a row is part of
	expiredAt   time.Time
	summarizeAt time.Time // start of the present summary
	changes     []Change
	omitted     int // changes beyond maxChanges

	x, z []float64 // scratch
	at   []int
}

// Observe learns from a run that was done. It ignores impossible observations.
func (l *Learner) Observe(now time.Time, o Observation) {
	if !o.valid() {
		return
	}
	if l.rows == nil {
		l.rows, l.workers = make(map[routes.RowName]*rowState), make(map[worker.ID]*offset)
		l.expiredAt, l.summarizeAt = now, now
	}
	l.expire(now)
	s := l.row(now, o.Row)
	w := l.offset(now, o.Worker)
	ratio := o.ratio()
	s.summary.add(o.total(), ratio)
	if w.runs < workerWarmUp {
		w.update(ratio - s.baseline())
		return
	}
	if len(s.first) < warmUp {
		s.first = append(s.first, ratio-w.value)
		if len(s.first) == warmUp {
			s.origin = slices.Sorted(slices.Values(s.first))[warmUp/2]
		}
		return
	}
	s.decay(now)
	l.arrange(now, o.Row, s, o.Beside)
	weight := o.weight() * s.acceptance(w.source, l.at)
	predicted := s.predict(l.x)
	outlier := 0.0
	if math.Abs(ratio-w.value-predicted) >= maxResidual {
		outlier = 1
	}
	w.outliers += workerWeight * (outlier - w.outliers)
	l.outliers += workerWeight / 16 * (outlier - l.outliers)
	if weight > 0 && !w.unsteady(l.outliers) {
		s.add(weight, ratio-w.value, w.source, l.x, l.z)
	}
	w.update(ratio - predicted)
	if s.pending >= max(solveInterval, 2*len(s.partners)) {
		l.solve(now, o.Row, s)
	}
}

// solve computes the effects on a row anew.
func (l *Learner) solve(now time.Time, row routes.RowName, s *rowState) {
	for _, c := range s.solve(now, row) {
		l.record(c)
	}
}

// record counts a change and keeps it for TakeChanges.
func (l *Learner) record(c Change) {
	if c.Dropped {
		l.confident--
		l.involve(c.Row, -1)
		l.involve(c.Beside, -1)
	} else {
		l.confident++
		l.involve(c.Row, 1)
		l.involve(c.Beside, 1)
	}
	if len(l.changes) == maxChanges {
		l.omitted++
		return
	}
	l.changes = append(l.changes, c)
}

// involve changes the number of confident pairs that a row is part of.
func (l *Learner) involve(row routes.RowName, by int) {
	if l.involved == nil {
		l.involved = make(map[routes.RowName]int)
	}
	if l.involved[row] += by; l.involved[row] == 0 {
		delete(l.involved, row)
	}
}

// maxChanges bounds the changes that are kept for the log.
const maxChanges = 32

// row returns the state of a row, and makes it if there is none.
func (l *Learner) row(now time.Time, name routes.RowName) *rowState {
	s := l.rows[name]
	if s == nil {
		if len(l.rows) >= maxRows {
			l.evictRows()
		}
		s = &rowState{decayedAt: now, effects: []float64{0}}
		s.moments.grow()
		l.rows[name] = s
	}
	s.seenAt = now
	return s
}

// arrange fills the scratch with the exposures of a run: x and z by dimension of the moments
// of s, and at the indexes of the partners with an early exposure. Only these decide how a run is
// weighted: a later exposure is the more likely the longer the run takes. It makes room for new partners.
func (l *Learner) arrange(now time.Time, row routes.RowName, s *rowState, beside []Exposure) {
	for _, e := range beside {
		if i := s.partner(e.Row); i >= 0 {
			s.partners[i].seenAt = now
		}
	}
	for _, e := range beside {
		if s.partner(e.Row) >= 0 {
			continue
		}
		if len(s.partners) == maxPartners {
			l.drop(row, s, stalest(s.partners))
		}
		if l.pairs >= MaxPairs {
			l.evictPairs(now)
		}
		s.partners = append(s.partners, partner{row: e.Row, seenAt: now, deviation: math.Inf(1)})
		s.moments.grow()
		s.effects = append(s.effects, 0)
		l.pairs++
	}
	n := len(s.partners) + 1
	l.x, l.z, l.at = append(l.x[:0], make([]float64, n)...), append(l.z[:0], make([]float64, n)...), l.at[:0]
	l.x[0], l.z[0] = 1, 1
	for _, e := range beside {
		i := s.partner(e.Row)
		l.x[i+1], l.z[i+1] = e.Share, e.Early
		if e.Early > 0 {
			l.at = append(l.at, i)
		}
	}
}

// drop removes a pair.
func (l *Learner) drop(row routes.RowName, s *rowState, i int) {
	if p := &s.partners[i]; p.confident {
		p.confident = false
		l.record(Change{p.pair(row), true})
	}
	s.drop(i)
	l.pairs--
}

// dropRow removes a row as a slowed one.
func (l *Learner) dropRow(row routes.RowName, s *rowState) {
	for len(s.partners) > 0 {
		l.drop(row, s, len(s.partners)-1)
	}
	delete(l.rows, row)
}

// expire drops rows and pairs that were not seen for idleLimit, and judges pairs that are not
// seen any more by what is left of their runs. It does so once in ten seconds.
func (l *Learner) expire(now time.Time) {
	if l.rows == nil || now.Sub(l.expiredAt) < 10*time.Second {
		return
	}
	l.expiredAt = now
	for name, s := range l.rows {
		if now.Sub(s.seenAt) > idleLimit {
			l.dropRow(name, s)
			continue
		}
		for i := len(s.partners) - 1; i >= 0; i-- {
			if now.Sub(s.partners[i].seenAt) > idleLimit {
				l.drop(name, s, i)
			}
		}
		if len(s.partners) > 0 {
			s.decay(now)
			l.solve(now, name, s)
		}
	}
	for id, w := range l.workers {
		if now.Sub(w.seenAt) > idleLimit {
			delete(l.workers, id)
		}
	}
}

// Tick forgets what is too old, also while no runs end.
func (l *Learner) Tick(now time.Time) { l.expire(now) }

// ForgetWorker drops what was learned about a worker, which has restarted or left.
func (l *Learner) ForgetWorker(id worker.ID) { delete(l.workers, id) }
