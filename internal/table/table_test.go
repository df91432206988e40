package table

import (
	"encoding/json"
	"flag"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/wire"
)

// The seed is fixed, so that each run gives the same verdict; -rapid.seed
// overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

func row(p, k string, weight int) Row {
	return Row{
		Key: party.Key{Party: party.ID(p), Kind: party.Kind(k)}, Weight: weight,
		MaxInFlight: 8, MaxQueue: 100, Deadline: wire.Duration(5e9), TimeLimit: wire.Duration(1e9),
	}
}

// naive is the table as its contract reads, without any cleverness.
type naive struct {
	version Version
	rows    map[party.Key]Row
	answers map[ChangeID]Version
}

func (n *naive) apply(c Change) (Version, code.Code) {
	if v, ok := n.answers[c.ID]; ok {
		return v, code.OK
	}
	if len(c.Set)+len(c.Remove) == 0 || slices.ContainsFunc(c.Set, func(r Row) bool { return slices.Contains(c.Remove, r.Key) }) {
		return 0, code.BadTable
	}
	if c.BasedOn != n.version {
		return 0, code.StaleVersion
	}
	next := make(map[party.Key]Row)
	for k, r := range n.rows {
		next[k] = r
	}
	for _, k := range c.Remove {
		if _, ok := next[k]; !ok {
			return 0, code.BadTable
		}
		delete(next, k)
	}
	for _, r := range c.Set {
		next[r.Key] = r
	}
	n.rows = next
	n.version++
	n.answers[c.ID] = n.version
	return n.version, code.OK
}

func drawChange(r *rapid.T, version Version) Change {
	c := Change{
		ID:      ChangeID(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g", "h"}).Draw(r, "id")),
		BasedOn: max(0, version-Version(rapid.IntRange(0, 1).Draw(r, "behind"))),
	}
	if version == 0 {
		c.BasedOn = 0
	}
	seen := make(map[party.Key]bool)
	for range rapid.IntRange(0, 2).Draw(r, "set") {
		one := row(rapid.SampledFrom([]string{"p", "q"}).Draw(r, "party"), "k", rapid.IntRange(1, 9).Draw(r, "weight"))
		if !seen[one.Key] {
			c.Set = append(c.Set, one)
		}
		seen[one.Key] = true
	}
	if rapid.Bool().Draw(r, "remove") {
		c.Remove = []party.Key{{Party: party.ID(rapid.SampledFrom([]string{"p", "q"}).Draw(r, "removed")), Kind: "k"}}
	}
	return c
}

// TestStoreAgainstNaive is differential: operators race with equal versions
// and send changes again, and the state travels as a snapshot between.
func TestStoreAgainstNaive(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var s Store
		n := naive{rows: make(map[party.Key]Row), answers: make(map[ChangeID]Version)}
		for range rapid.IntRange(1, 30).Draw(r, "changes") {
			c := drawChange(r, n.version)
			v, refusal := s.Apply(c)
			wantV, wantCode := n.apply(c)
			got := code.OK
			if refusal != nil {
				got = refusal.Code
			}
			if v != wantV || got != wantCode {
				r.Fatalf("change %+v: version %d, %s; want %d, %s", c, v, got, wantV, wantCode)
			}
			if rapid.IntRange(0, 9).Draw(r, "travels") == 0 {
				s = travel(r, &s)
			}
		}
		if len(s.Current().Rows()) != len(n.rows) {
			r.Fatalf("%d rows, want %d", len(s.Current().Rows()), len(n.rows))
		}
		for _, one := range s.Current().Rows() {
			if n.rows[one.Key] != one {
				r.Fatalf("row %+v, want %+v", one, n.rows[one.Key])
			}
		}
	})
}

func travel(r *rapid.T, s *Store) Store {
	b, err := json.Marshal(s)
	if err != nil {
		r.Fatal(err)
	}
	var back Store
	if err := json.Unmarshal(b, &back); err != nil {
		r.Fatal(err)
	}
	return back
}

// TestReplayMakesTheSameTable: entry VMs that are sent changes and those that
// are sent tables act alike.
func TestReplayMakesTheSameTable(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var s Store
		old := s.Current()
		for i := range rapid.IntRange(1, 20).Draw(r, "changes") {
			c := drawChange(r, s.Current().Version())
			c.ID = ChangeID(fmt.Sprint("change-", i))
			_, _ = s.Apply(c)
			if rapid.IntRange(0, 5).Draw(r, "mark") == 0 {
				old = s.Current()
			}
		}
		entries, ok := s.Since(old.Version())
		if !ok {
			r.Fatal("changes are forgotten")
		}
		got, err := Replay(old, entries)
		if err != nil {
			r.Fatal(err)
		}
		if got.Version() != s.Current().Version() || !reflect.DeepEqual(got.Rows(), s.Current().Rows()) {
			r.Fatalf("replayed to version %d, want %d", got.Version(), s.Current().Version())
		}
	})
}

// TestSharesAddUp: whoever is cut off, the parts of a limit never exceed it.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		limit, count := rapid.IntRange(0, 10000).Draw(r, "limit"), rapid.IntRange(1, 40).Draw(r, "count")
		sum := 0
		for i := range count {
			sum += Share(limit, count, i)
		}
		if sum != limit {
			r.Fatalf("%d parts of %d add up to %d", count, limit, sum)
		}
	})
}

func TestDiffMakesTheWantedTable(t *testing.T) {
	var s Store
	if _, refusal := s.Apply(Change{ID: "one", Set: []Row{row("p", "k", 1), row("q", "k", 2)}}); refusal != nil {
		t.Fatal(refusal)
	}
	c := Diff(s.Current(), []Row{row("q", "k", 3), row("r", "k", 1)})
	c.ID = "two"
	if _, refusal := s.Apply(c); refusal != nil {
		t.Fatal(refusal)
	}
	if got := s.Current().Rows(); len(got) != 2 || got[0] != row("q", "k", 3) || got[1] != row("r", "k", 1) {
		t.Errorf("rows are %+v", got)
	}
}
