// Package submission holds the submission of many tasks, its id, its status
// and its answer, as they travel over the callers' interface and between entry
// VMs. What became of a submission is kept by package ledger.
package submission

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/vm"
)

// Generation counts how often a ledger lost all its copies and began anew.
type Generation uint64

// Epoch counts the assignments of a ledger to entry VMs.
type Epoch uint64

// LedgerID names one ledger: they are numbered from 0 in each failure domain.
type LedgerID struct {
	FailureDomain vm.FailureDomain `json:"failure_domain"`
	Number        int              `json:"number"`
}

// String returns the failure domain and the number with a dot between them.
func (l LedgerID) String() string { return string(l.FailureDomain) + "." + strconv.Itoa(l.Number) }

// Sequence orders the ids that a ledger issued within a generation: first by
// the epoch of the issuing primary, then by its count.
type Sequence struct {
	Epoch Epoch  `json:"epoch"`
	Count uint64 `json:"count"`
}

// After reports whether s was issued later than o.
func (s Sequence) After(o Sequence) bool {
	if s.Epoch != o.Epoch {
		return s.Epoch > o.Epoch
	}
	return s.Count > o.Count
}

// ID names one submission, and with it the ledger that knows its fate. As text
// it is failure domain, ledger number, generation, epoch and count, with dots.
type ID struct {
	Ledger     LedgerID
	Generation Generation
	Sequence   Sequence
}

// idParts is the number of dotted parts of an ID.
const idParts = 5

// MaxIDBytes bounds the text of an ID.
const MaxIDBytes = vm.MaxNameBytes + 4*21

// String returns the text of id.
func (id ID) String() string {
	b := make([]byte, 0, MaxIDBytes)
	b = append(b, id.Ledger.String()...)
	for _, n := range []uint64{uint64(id.Generation), uint64(id.Sequence.Epoch), id.Sequence.Count} {
		b = append(b, '.')
		b = strconv.AppendUint(b, n, 10)
	}
	return string(b)
}

// ParseID returns the ID whose text is s.
func ParseID(s string) (ID, error) {
	parts := strings.Split(s, ".")
	if len(s) > MaxIDBytes || len(parts) != idParts {
		return ID{}, errors.Newf("submission id %.150q: want %d parts with dots between them", s, idParts)
	}
	if err := vm.CheckName(parts[0]); err != nil {
		return ID{}, errors.Wrapf(err, "submission id %q", s)
	}
	var n [idParts]uint64
	for i, p := range parts[1:] {
		v, err := strconv.ParseUint(p, 10, 64)
		if err != nil || strconv.FormatUint(v, 10) != p {
			return ID{}, errors.Newf("submission id %q: part %q is not a plain number", s, p)
		}
		n[i+1] = v
	}
	if n[1] > maxLedgerNumber {
		return ID{}, errors.Newf("submission id %q: ledger number %d is over %d", s, n[1], maxLedgerNumber)
	}
	return ID{
		Ledger:     LedgerID{vm.FailureDomain(parts[0]), int(n[1])},
		Generation: Generation(n[2]),
		Sequence:   Sequence{Epoch(n[3]), n[4]},
	}, nil
}

const maxLedgerNumber = 1 << 16

// MarshalText writes the text of id.
func (id ID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText takes what MarshalText writes.
func (id *ID) UnmarshalText(b []byte) (err error) {
	*id, err = ParseID(string(b))
	return err
}
