package control

import (
	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/ledger"
	"tamarackpin.example/internal/quorum"
	"tamarackpin.example/internal/submission"
	"tamarackpin.example/internal/table"
)

// View is one state of control as every entry VM knows it. It is immutable.
type View struct {
	Index       quorum.Index        `json:"index"`
	Table       *table.Snapshot     `json:"table"`
	Assignments []ledger.Assignment `json:"assignments"`
}

// Assignment returns the assignment of a ledger.
func (v *View) Assignment(l submission.LedgerID) (ledger.Assignment, bool) {
	for _, a := range v.Assignments {
		if a.Ledger == l {
			return a, true
		}
	}
	return ledger.Assignment{}, false
}

// Check returns an error for a View that no State makes.
func (v *View) Check() error {
	if v.Table == nil {
		return errors.New("view without a table")
	}
	for _, a := range v.Assignments {
		if err := a.Check(); err != nil {
			return err
		}
	}
	return nil
}

// Update is what an entry VM that knows a View is sent to make a later one.
type Update struct {
	Index       quorum.Index        `json:"index"`
	Table       *table.Snapshot     `json:"table,omitempty"`       // whole, if Changes would not do
	Changes     []table.Entry       `json:"changes,omitempty"`     // since the version it knows
	Assignments []ledger.Assignment `json:"assignments,omitempty"` // absent if as they were
}

// maxUpdateChanges is how many changes are sent before the whole table is.
const maxUpdateChanges = 100

// Update returns what brings an entry VM up to date that has the View of index,
// with this version of the table.
func (s *State) Update(index quorum.Index, version table.Version) Update {
	u := Update{Index: s.index}
	if index < s.assignedAt {
		u.Assignments = sortedAssignments(s.assignments)
	}
	changes, ok := s.store.Since(version)
	if !ok || len(changes) > maxUpdateChanges {
		u.Table = s.store.Current()
		return u
	}
	u.Changes = changes
	return u
}

// Next returns the View that u makes out of v. A View never goes back: an
// update that is not later returns v itself.
func (v *View) Next(u Update) (*View, error) {
	if u.Index <= v.Index {
		return v, nil
	}
	next := &View{Index: u.Index, Table: u.Table, Assignments: u.Assignments}
	if u.Assignments == nil {
		next.Assignments = v.Assignments
	}
	if next.Table == nil {
		var err error
		if next.Table, err = table.Replay(v.Table, u.Changes); err != nil {
			return nil, errors.Wrapf(err, "updating the view of index %d to %d", v.Index, u.Index)
		}
	}
	if next.Table.Version() < v.Table.Version() {
		return nil, errors.Newf("index %d has table version %d, index %d had %d", u.Index, next.Table.Version(), v.Index, v.Table.Version())
	}
	return next, next.Check()
}

// Whole returns the Update that carries all of v, from an entry VM that keeps
// no State.
func (v *View) Whole() Update {
	return Update{Index: v.Index, Table: v.Table, Assignments: v.Assignments}
}
