package table

import (
	"slices"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/vm"
)

// ChangeID names one change; an operator's program makes it up and sends it
// again unaltered when an answer is lost.
type ChangeID string

// Change replaces or adds the rows in Set and takes out those in Remove.
type Change struct {
	ID      ChangeID    `json:"change_id"`
	BasedOn Version     `json:"based_on"` // the version that the operator saw
	Set     []Row       `json:"set,omitempty"`
	Remove  []party.Key `json:"remove,omitempty"`
	Comment string      `json:"comment,omitempty"`
}

// MaxCommentBytes bounds the comment of a change.
const MaxCommentBytes = 1000

// Check returns an error for a change that could not be applied to any table.
func (c Change) Check() error {
	if err := vm.CheckName(string(c.ID)); err != nil {
		return errors.Wrap(err, "change_id")
	}
	if len(c.Comment) > MaxCommentBytes {
		return errors.Newf("comment of %d bytes: want at most %d", len(c.Comment), MaxCommentBytes)
	}
	if len(c.Set) == 0 && len(c.Remove) == 0 {
		return errors.New("the change sets no row and removes none")
	}
	for _, r := range c.Set {
		if slices.Contains(c.Remove, r.Key) {
			return errors.Newf("row %s is both set and removed", r.Key)
		}
	}
	return nil
}

// Diff returns the Change that makes the table of rows out of s, without an id.
func Diff(s *Snapshot, rows []Row) Change {
	c := Change{BasedOn: s.version}
	kept := make(map[party.Key]bool, len(rows))
	for _, r := range rows {
		kept[r.Key] = true
		if old, ok := s.Row(r.Key); !ok || old != r {
			c.Set = append(c.Set, r)
		}
	}
	for _, r := range s.rows {
		if !kept[r.Key] {
			c.Remove = append(c.Remove, r.Key)
		}
	}
	return c
}

// apply returns the table that c makes out of s.
func (c Change) apply(s *Snapshot) (*Snapshot, error) {
	replaced := make(map[party.Key]bool, len(c.Set)+len(c.Remove))
	for _, r := range c.Set {
		replaced[r.Key] = true
	}
	for _, k := range c.Remove {
		if _, ok := s.Row(k); !ok {
			return nil, errors.Newf("row %s is not in the table and cannot be removed", k)
		}
		replaced[k] = true
	}
	rows := slices.Clone(c.Set)
	for _, r := range s.rows {
		if !replaced[r.Key] {
			rows = append(rows, r)
		}
	}
	return NewSnapshot(s.version+1, rows)
}

// Replay returns the table that entries make out of s. Each must follow the
// one before.
func Replay(s *Snapshot, entries []Entry) (*Snapshot, error) {
	for _, e := range entries {
		next, err := e.Change.apply(s)
		if err != nil {
			return nil, err
		}
		if next.version != e.Version {
			return nil, errors.Newf("version %d follows version %d", e.Version, s.version)
		}
		s = next
	}
	return s, nil
}
