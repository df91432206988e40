package interference

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"tamarackpin.example/internal/routes"
)

// Known returns the number of confident pairs.
func (l *Learner) Known() int { return l.confident }

// Involves reports whether a row slows another or is slowed, in any confident pair.
func (l *Learner) Involves(row routes.RowName) bool { return l.involved[row] > 0 }

// Factor returns how much longer a run of a row takes beside tasks of the given rows, each listed
// once per task, and whether any confident pair is among them. Without one the factor is 1.
func (l *Learner) Factor(now time.Time, row routes.RowName, beside []routes.RowName) (factor float64, confident bool) {
	s := l.rows[row]
	if l.confident == 0 || s == nil {
		return 1, false
	}
	sum := 0.0
	for _, b := range beside {
		if i := s.partner(b); i >= 0 && s.partners[i].confident && now.Sub(s.partners[i].seenAt) <= idleLimit {
			sum, confident = sum+s.partners[i].effect, true
		}
	}
	return math.Exp(min(sum, maxEffect)), confident
}

// Slowdown returns by which factor the tasks beside a run slowed it, as far as confident pairs tell.
func (l *Learner) Slowdown(row routes.RowName, beside []Exposure) float64 {
	s := l.rows[row]
	if l.confident == 0 || s == nil {
		return 1
	}
	sum := 0.0
	for _, e := range beside {
		if i := s.partner(e.Row); i >= 0 && s.partners[i].confident {
			sum += s.partners[i].effect * e.Share
		}
	}
	return math.Exp(min(sum, maxEffect))
}

// Pairs returns all pairs: the confident ones first, then by factor, the largest first.
func (l *Learner) Pairs() []Pair {
	list := make([]Pair, 0, l.pairs)
	for row, s := range l.rows {
		for i := range s.partners {
			list = append(list, s.partners[i].pair(row))
		}
	}
	slices.SortFunc(list, Pair.compare)
	return list
}

// Merge sorts pairs of several Learners as [Learner.Pairs] does. Of equal ones it keeps that with the most
// observations.
func Merge(pairs []Pair) []Pair {
	type key struct{ row, beside routes.RowName }
	best := make(map[key]Pair, len(pairs))
	for _, p := range pairs {
		k := key{p.Row, p.Beside}
		if known, ok := best[k]; !ok || p.Observations > known.Observations {
			best[k] = p
		}
	}
	return slices.SortedFunc(maps.Values(best), Pair.compare)
}

func (p Pair) compare(q Pair) int {
	if p.Confident != q.Confident {
		if p.Confident {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(q.Factor, p.Factor), cmp.Compare(p.Row, q.Row), cmp.Compare(p.Beside, q.Beside))
}

// TakeChanges returns the changes since its last call, at most 32, and how many were left out.
func (l *Learner) TakeChanges() (changes []Change, omitted int) {
	changes, omitted = l.changes, l.omitted
	l.changes, l.omitted = nil, 0
	return changes, omitted
}
