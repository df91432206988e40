package interference

import (
	"cmp"
	"slices"
	"time"

	"tamarackpin.example/internal/routes"
	"tamarackpin.example/internal/worker"
)

// stalest returns the index of the partner that was confirmed least recently, of those
// equal in that the one that was seen least recently.
func stalest(partners []partner) int {
	worst := 0
	for i := range partners {
		if partners[i].compare(&partners[worst]) < 0 {
			worst = i
		}
	}
	return worst
}

// compare orders partners by which is evicted first.
func (p *partner) compare(q *partner) int {
	return cmp.Or(p.confirmedAt.Compare(q.confirmedAt), p.seenAt.Compare(q.seenAt), cmp.Compare(p.row, q.row))
}

// evictPairs removes an eighth of the pairs, those confirmed least recently, but none that was seen just now.
func (l *Learner) evictPairs(now time.Time) {
	type place struct {
		row, beside         routes.RowName
		confirmedAt, seenAt time.Time
	}
	all := make([]place, 0, l.pairs)
	for row, s := range l.rows {
		for i := range s.partners {
			if p := &s.partners[i]; !p.seenAt.Equal(now) {
				all = append(all, place{row, p.row, p.confirmedAt, p.seenAt})
			}
		}
	}
	slices.SortFunc(all, func(a, b place) int {
		return cmp.Or(a.confirmedAt.Compare(b.confirmedAt), a.seenAt.Compare(b.seenAt), cmp.Compare(a.row, b.row), cmp.Compare(a.beside, b.beside))
	})
	for _, a := range all[:min(len(all), MaxPairs/8)] {
		s := l.rows[a.row]
		l.drop(a.row, s, s.partner(a.beside))
	}
}

// evictRows removes an eighth of the rows, those seen least recently.
func (l *Learner) evictRows() {
	all := make([]seen[routes.RowName], 0, len(l.rows))
	for name, s := range l.rows {
		all = append(all, seen[routes.RowName]{name, s.seenAt})
	}
	for _, name := range oldest(all, maxRows/8) {
		l.dropRow(name, l.rows[name])
	}
}

// evictWorkers removes an eighth of the workers, those seen least recently.
func (l *Learner) evictWorkers() {
	all := make([]seen[worker.ID], 0, len(l.workers))
	for id, w := range l.workers {
		all = append(all, seen[worker.ID]{id, w.seenAt})
	}
	for _, id := range oldest(all, maxWorkers/8) {
		delete(l.workers, id)
	}
}

// seen is a row or a worker with the time of its last run.
type seen[K ~string] struct {
	key K
	at  time.Time
}

// oldest returns the keys of the n entries that were seen least recently.
func oldest[K ~string](all []seen[K], n int) []K {
	slices.SortFunc(all, func(a, b seen[K]) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.key, b.key)) })
	keys := make([]K, 0, n)
	for _, a := range all[:min(n, len(all))] {
		keys = append(keys, a.key)
	}
	return keys
}
