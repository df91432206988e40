package table

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/party"
)

// Version numbers the tables; each accepted change adds one.
type Version uint64

// MaxRows bounds a table.
const MaxRows = 20_000

// Snapshot is one version of the table. It is immutable and safe for
// concurrent use. The zero Snapshot is version 0 without rows.
type Snapshot struct {
	version Version
	rows    []Row // in the order of their keys
	index   map[party.Key]int
}

// NewSnapshot checks rows and returns them as a Snapshot. Every fault is named
// in the error.
func NewSnapshot(version Version, rows []Row) (*Snapshot, error) {
	if len(rows) > MaxRows {
		return nil, errors.Newf("%d rows: want at most %d", len(rows), MaxRows)
	}
	s := &Snapshot{version: version, rows: slices.Clone(rows), index: make(map[party.Key]int, len(rows))}
	slices.SortFunc(s.rows, func(a, b Row) int { return a.Compare(b.Key) })
	var faults error
	for i, r := range s.rows {
		if err := r.Check(); err != nil {
			faults = errors.Join(faults, errors.Wrapf(err, "row %s", r.Key))
		}
		if _, twice := s.index[r.Key]; twice {
			faults = errors.Join(faults, errors.Newf("row %s stands twice", r.Key))
		}
		s.index[r.Key] = i
	}
	if faults != nil {
		return nil, faults
	}
	return s, nil
}

// Version returns the number of this table.
func (s *Snapshot) Version() Version { return s.version }

// Rows returns the rows in the order of their keys.
func (s *Snapshot) Rows() []Row { return slices.Clone(s.rows) }

// Row returns the row of k.
func (s *Snapshot) Row(k party.Key) (Row, bool) {
	i, ok := s.index[k]
	if !ok {
		return Row{}, false
	}
	return s.rows[i], true
}

type snapshotJSON struct {
	Version Version `json:"version"`
	Rows    []Row   `json:"rows"`
}

// MarshalJSON writes version and rows.
func (s *Snapshot) MarshalJSON() ([]byte, error) {
	rows := s.rows
	if rows == nil {
		rows = []Row{}
	}
	return json.Marshal(snapshotJSON{s.version, rows})
}

// UnmarshalJSON takes version and rows and checks them.
func (s *Snapshot) UnmarshalJSON(b []byte) error {
	var j snapshotJSON
	if err := json.Unmarshal(b, &j); err != nil {
		return err
	}
	checked, err := NewSnapshot(j.Version, j.Rows)
	if err != nil {
		return err
	}
	*s = *checked
	return nil
}
