package routes

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"tamarackpin.example/internal/worker"
)

// randomTable returns a table with up to 30 rows at few hosts, some with prefixes of
// each other.
func randomTable(rng *rand.Rand, v Version) *Table {
	t := &Table{Version: v, Services: []Service{{Name: "s"}}, Limits: Limits{BodyBytes: rng.Int64N(3)}}
	used := make(map[Place]bool)
	for range rng.IntN(30) {
		at := Place{fmt.Sprint("h", rng.IntN(3)), "/" + strings.Repeat("a/", rng.IntN(4)) + fmt.Sprint(rng.IntN(4))}
		if used[at] {
			continue
		}
		used[at] = true
		t.Rows = append(t.Rows, Row{
			Name: RowName(fmt.Sprint("r", rng.IntN(5))), Host: at.Host, Prefix: at.Prefix, Service: worker.Service("s"),
			Timeout: time.Duration(1+rng.IntN(2)) * time.Second,
		})
	}
	return t
}

// matchNaively compares a path with each row.
func matchNaively(t *Table, host, path string) *Row {
	var best *Row
	for i := range t.Rows {
		r := &t.Rows[i]
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// TestMatchAgainstNaive compares Match with a search of all rows.
func TestMatchAgainstNaive(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		table := randomTable(rng, 1)
		for range 50 {
			host, path := fmt.Sprint("h", rng.IntN(4)), "/"+strings.Repeat("a/", rng.IntN(4))+fmt.Sprint(rng.IntN(4), "x")
			want := matchNaively(table, host, path)
			got, rest, ok := table.Match(host, path)
			if got != want || ok != (want != nil) || ok && want.Prefix+rest != path {
				t.Fatalf("match of %s %s: %+v, %q, %v, want %+v", host, path, got, rest, ok, want)
			}
		}
	}
}

// TestDeltaAgainstFullTable applies the differences between random versions, also from
// no table, and compares the result with the table itself.
func TestDeltaAgainstFullTable(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	var held *Table
	for v := Version(1); v < 200; v++ {
		next := randomTable(rng, v)
		d := Diff(held, next)
		got, err := d.Apply(held)
		if err != nil {
			t.Fatal(err)
		}
		want := make(map[Place]Row)
		for _, r := range next.Rows {
			want[r.place()] = r
		}
		for _, r := range got.Rows {
			if want[r.place()] != r {
				t.Fatalf("version %d: row %+v, want %+v", v, r, want[r.place()])
			}
		}
		if len(got.Rows) != len(next.Rows) || got.Version != v || got.Limits != next.Limits {
			t.Fatalf("version %d: %d rows, %+v; want %d rows, %+v", v, len(got.Rows), got.Limits, len(next.Rows), next.Limits)
		}
		if _, err := d.Apply(&Table{Version: d.From + 1000}); err == nil && d.From != 0 {
			t.Fatalf("changes to version %d were applied to version %d", d.Version, d.From+1000)
		}
		held = got
	}
}

// BenchmarkMatch matches a path in a table of 2,000 rows at ten hosts.
func BenchmarkMatch(b *testing.B) {
	t := &Table{}
	for i := range 2000 {
		t.Rows = append(t.Rows, Row{Host: fmt.Sprint("host", i%10), Prefix: fmt.Sprintf("/queue%d/", i)})
	}
	for b.Loop() {
		if _, _, ok := t.Match("host9", "/queue1999/0123456789abcdef"); !ok {
			b.Fatal("no match")
		}
	}
}
