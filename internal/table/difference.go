package table

import (
	"slices"

	"tamarackpin.example/internal/party"
)

// Difference is what a file would change about one row of the table in force.
type Difference struct {
	party.Key
	Change DifferenceKind `json:"change"`
	Values []ValueChange  `json:"values,omitempty"` // of a changed row
}

// DifferenceKind tells what happens to a row.
type DifferenceKind string

// The kinds of differences.
const (
	Added   DifferenceKind = "added"
	Removed DifferenceKind = "removed"
	Changed DifferenceKind = "changed"
)

// ValueChange is a value that differs.
type ValueChange struct {
	Column string `json:"column"`
	From   string `json:"from"`
	To     string `json:"to"`
}

// Differences returns what the rows would change about s, sorted by row.
func Differences(s *Snapshot, rows []Row) []Difference {
	change := Diff(s, rows)
	list := make([]Difference, 0, len(change.Set)+len(change.Remove))
	for _, r := range change.Set {
		old, known := s.Row(r.Key)
		if !known {
			list = append(list, Difference{Key: r.Key, Change: Added})
			continue
		}
		d := Difference{Key: r.Key, Change: Changed}
		for _, c := range columns {
			if from, to := c.get(old), c.get(r); from != to {
				d.Values = append(d.Values, ValueChange{c.name, from, to})
			}
		}
		list = append(list, d)
	}
	for _, k := range change.Remove {
		list = append(list, Difference{Key: k, Change: Removed})
	}
	slices.SortFunc(list, func(a, b Difference) int { return a.Compare(b.Key) })
	return list
}
