package keeper

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	"tamarackpin.example/internal/evacuation"
	"tamarackpin.example/internal/quorum"
	"tamarackpin.example/internal/routes"
	"tamarackpin.example/internal/vm"
)

// at returns a time of day after that of the first order of a test.
func at(sinceFirst time.Duration) time.Time { return time.Unix(1000, 0).Add(sinceFirst) }

// TestOrdersAreComparedWithTheirRevision guards against a copy of an earlier order that is applied after a later one, whether or not the
// later one changed anything.
func TestOrdersAreComparedWithTheirRevision(t *testing.T) {
	type step struct {
		domain    vm.FailureDomain
		evacuate  bool
		known     evacuation.Revision
		applied   bool
		evacuated bool // afterwards
		revision  evacuation.Revision
	}
	for _, test := range []struct {
		name  string
		steps []step
	}{
		{"a copy of a Begin after a Finish", []step{{"a", true, 0, true, true, 1}, {"a", false, 1, true, false, 2}, {"a", true, 0, false, false, 2}, {"a", true, 1, false, false, 2}}},
		{"a copy of a Begin after a Finish of nothing", []step{{"a", false, 0, true, false, 1}, {"a", true, 0, false, false, 1}}},
		{"a copy of a Finish after a repeated Begin", []step{{"a", true, 0, true, true, 1}, {"a", true, 1, true, true, 2}, {"a", false, 1, false, true, 2}}},
		{"both at once", []step{{"a", true, 0, true, true, 1}, {"a", false, 0, false, true, 1}, {"a", false, 1, true, false, 2}}},
		{"other failure domains do not count", []step{{"a", true, 0, true, true, 1}, {"b", true, 0, true, true, 2}, {"c", false, 0, true, false, 3}, {"a", false, 1, true, false, 4}}},
		{"a revision that does not exist", []step{{"a", true, 7, false, false, 0}}},
	} {
		var s state
		for i, step := range test.steps {
			data, err := encode(entry{Order: &order{step.domain, step.evacuate, step.known, at(0).UnixMilli()}})
			if err != nil {
				t.Fatal(err)
			}
			got, err := s.apply(at(time.Second), data)
			if err != nil || got.applied != step.applied || got.revision != step.revision || s.orders.set.Contains(step.domain) != step.evacuated {
				t.Errorf("%s, step %d: %+v, evacuated %t, %v; want %+v", test.name, i, got, s.orders.set.Contains(step.domain), err, step)
			}
		}
	}
}

// TestApplyIsDeterministic: members that apply the same entries at other times, with other clocks, hold the same snapshot.
func TestApplyIsDeterministic(t *testing.T) {
	var first, second state
	for i, o := range []order{{"a", true, 0, 1_000_000}, {"b", true, 0, 1_000_100}, {"a", true, 1, 1_000_200}, {"b", true, 0, 1_000_300}, {"b", false, 2, 1_000_400}} {
		data, err := encode(entry{Order: &o})
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range []struct {
			state *state
			now   time.Time
		}{{&first, at(time.Duration(i) * time.Millisecond)}, {&second, at(time.Duration(i)*time.Hour - 30*time.Hour)}} {
			if _, err := m.state.apply(m.now, data); err != nil {
				t.Fatal(err)
			}
		}
	}
	a, errA := first.encode()
	b, errB := second.encode()
	if errA != nil || errB != nil || string(a) != string(b) {
		t.Errorf("snapshots %s and %s, %v, %v", a, b, errA, errB)
	}
}

// TestAgeOfOrder guards against a grace period that begins anew where an order is read back or arrives late. An order is at least as old
// as this member knows it, whatever the time of day of its leader was.
func TestAgeOfOrder(t *testing.T) {
	for _, c := range []struct {
		name             string
		proposed, now    time.Duration
		restored         bool
		wantAge, repeats time.Duration
	}{
		{"applied when committed", 0, 0, false, 0, 0},
		{"read back after a restart", 0, 7 * time.Second, false, 7 * time.Second, 0},
		{"from a snapshot", 0, 7 * time.Second, true, 7 * time.Second, 0},
		{"the leader's clock is ahead", 3 * time.Second, 0, false, 0, 0},
		{"sent again", 0, 0, false, 0, 4 * time.Second},
	} {
		var s state
		data, err := encode(entry{Order: &order{"a", true, 0, at(c.proposed).UnixMilli()}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.apply(at(c.now), data); err != nil {
			t.Fatal(err)
		}
		if c.restored {
			snapshot, err := s.encode()
			if err == nil {
				err = s.restore(at(c.now), snapshot)
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		s.orders.apply(at(c.now+c.repeats), order{"a", true, 1, at(c.now + c.repeats).UnixMilli()})
		if got := s.orders.set.Age(at(c.now+c.repeats), "a"); got != c.wantAge+c.repeats {
			t.Errorf("%s: age %s, want %s", c.name, got, c.wantAge+c.repeats)
		}
	}
}

// TestSnapshots: a snapshot of each state is restored as it was, and builds that know the table only read the table of it.
func TestSnapshots(t *testing.T) {
	table := &routes.Table{Version: 7, Rows: []routes.Row{{Name: "r", Host: "h", Prefix: "/"}}, Source: []byte("{}")}
	large := &routes.Table{Version: 8, Source: []byte(strings.Repeat("x", compressAbove))}
	var evacuated orders
	evacuated.apply(at(0), order{"a", true, 0, at(0).UnixMilli()})
	evacuated.apply(at(0), order{"b", true, 0, at(0).UnixMilli()})
	evacuated.apply(at(0), order{"b", false, 2, at(0).UnixMilli()})
	storing := []quorum.Member{{VM: "ip-01", Disk: "d"}}
	for _, c := range []struct {
		name  string
		state state
	}{
		{"empty", state{}},
		{"a table", state{table: table}},
		{"orders without a table", state{orders: evacuated, storing: storing}},
		{"both", state{table, evacuated, storing}},
		{"compressed", state{large, evacuated, storing}},
	} {
		data, err := c.state.encode()
		if err != nil {
			t.Fatal(err)
		}
		got := state{table: table, orders: evacuated} // is to be replaced
		if err := got.restore(at(0), data); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
		if !reflect.DeepEqual(got, c.state) {
			t.Errorf("%s: restored %+v, want %+v", c.name, got, c.state)
		}
		var earlier *routes.Table
		if err := decode(data, &earlier); err != nil {
			t.Errorf("%s: an earlier build reads %v", c.name, err)
		}
		if len(c.state.orders.newest) == 0 && (earlier == nil) != (c.state.table == nil) || earlier != nil && c.state.table != nil && !reflect.DeepEqual(earlier, c.state.table) {
			t.Errorf("%s: an earlier build reads %+v", c.name, earlier)
		}
	}
}

// TestSnapshotsOfEarlierBuilds: what builds without evacuations wrote is restored, also the snapshot before the first table.
func TestSnapshotsOfEarlierBuilds(t *testing.T) {
	table := &routes.Table{Version: 7, Rows: []routes.Row{{Name: "r", Host: "h", Prefix: "/"}}}
	written, err := json.Marshal(table)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		data []byte
		want *routes.Table
	}{{nil, nil}, {[]byte("null"), nil}, {written, table}} {
		var s state
		if err := s.restore(at(0), c.data); err != nil || !reflect.DeepEqual(s.table, c.want) || s.orders.set.Revision() != 0 {
			t.Errorf("%q: restored %+v, %v", c.data, s, err)
		}
	}
}

// TestEarlierBuildsSkipOrders: a build that knows tables and barriers only decodes the other entries as ones that change nothing.
func TestEarlierBuildsSkipOrders(t *testing.T) {
	for _, e := range []entry{{Order: &order{"a", true, 0, 1}}, {Storing: &[]quorum.Member{}}} {
		data, err := encode(e)
		var got earlierEntry
		if err == nil {
			err = decode(data, &got)
		}
		if err != nil || got != (earlierEntry{}) {
			t.Errorf("%s is read as %+v, %v", data, got, err)
		}
	}
}

// earlierEntry is an entry of builds that do not store evacuations.
type earlierEntry struct {
	Table   *routes.Table `json:"table,omitempty"`
	Barrier bool          `json:"barrier,omitempty"`
}
