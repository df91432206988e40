package pool

import (
	"testing"
	"time"

	"tamarackpin.example/internal/routes"
)

// TestSurgeIsOverItsShare guards against taking a common peak, or chance, for the surge of one row, and against
// missing a surge of 1.8 that lasts two seconds.
func TestSurgeIsOverItsShare(t *testing.T) {
	var s shares
	start := time.Unix(1000, 0)
	at := start
	submit := func(until time.Duration, interval map[routes.RowName]time.Duration) {
		for ; at.Before(start.Add(until)); at = at.Add(time.Millisecond) {
			for row, every := range interval {
				if at.Sub(start)%every == 0 {
					s.add(at, row, 3)
				}
			}
		}
	}
	submit(10*time.Second, map[routes.RowName]time.Duration{"a": 40 * time.Millisecond, "b": 20 * time.Millisecond})
	submit(14*time.Second, map[routes.RowName]time.Duration{"a": 20 * time.Millisecond, "b": 10 * time.Millisecond})
	if o := s.overload(at); o.over["a"] || o.over["b"] || o.usual["a"] < 0.3 || o.usual["a"] > 0.36 {
		t.Errorf("both rows at twice their demand: %+v, want none over its share and a third of the demand for a", o)
	}
	submit(30*time.Second, map[routes.RowName]time.Duration{"a": 40 * time.Millisecond, "b": 20 * time.Millisecond})
	submit(32*time.Second, map[routes.RowName]time.Duration{"a": 20 * time.Millisecond, "b": 20 * time.Millisecond})
	if o := s.overload(at); !o.over["a"] || o.over["b"] {
		t.Errorf("after two seconds of a surge in a: %+v, want a over its share", o)
	}
	if o := s.overload(at.Add(10 * usualPeriod)); len(s.rows) > 0 || len(o.usual) > 0 {
		t.Errorf("rows without demand are kept: %+v", o)
	}
}

// TestWhoGivesWay guards against rows that suffer from the surge of another one, and against
// a row over its share that gets nothing any more.
func TestWhoGivesWay(t *testing.T) {
	pending := func(row routes.RowName, work float64) *jobState {
		return &jobState{Request: Request{Row: row}, work: work}
	}
	small, large, surging := pending("a", 1), pending("a", 5), pending("b", 3)
	even := map[routes.RowName]float64{"a": 0.5, "b": 0.5}
	for _, c := range []struct {
		name   string
		j      *jobState
		served []*jobState
		rows   overload
		want   *jobState
	}{
		{"most work in the row", small, []*jobState{large, surging}, overload{usual: even}, large},
		{"not to another row", surging, []*jobState{small, large}, overload{usual: even}, surging},
		{"row over its share", small, []*jobState{surging, surging, surging, small}, overload{even, map[routes.RowName]bool{"b": true}}, surging},
		{"it keeps its usual share", small, []*jobState{large, large, surging}, overload{even, map[routes.RowName]bool{"b": true}}, large},
	} {
		if got := (&Pool{}).givesWay(c.j, c.served, c.rows); got != c.want {
			t.Errorf("%s: %s with %v gives way, want %s with %v", c.name, got.Row, got.work, c.want.Row, c.want.work)
		}
	}
}
