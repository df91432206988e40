package submission

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/request"
	"tamarackpin.example/internal/table"
	"tamarackpin.example/internal/wire"
)

// Bounds of one submission.
const (
	MaxTasks     = 2000
	MaxBodyBytes = 8 << 20 // all task bodies together
)

// Task is one task of a submission.
type Task struct {
	Declared wire.Duration   `json:"declared,omitzero"` // expected run time; zero means unknown
	Body     json.RawMessage `json:"body"`              // opaque
}

// Submission is a list of tasks with one answer: complete or failed.
type Submission struct {
	party.Key
	Deadline wire.Duration `json:"deadline,omitzero"` // from arrival; zero takes the row's
	Tasks    []Task        `json:"tasks"`
}

// Check returns an error for a submission that cannot be taken.
func (s Submission) Check() error {
	if err := s.Key.Check(); err != nil {
		return err
	}
	if s.Deadline > table.MaxDeadline {
		return errors.Newf("deadline %s: want at most %s", s.Deadline, table.MaxDeadline)
	}
	if len(s.Tasks) < 1 || len(s.Tasks) > MaxTasks {
		return errors.Newf("%d tasks: want 1 to %d", len(s.Tasks), MaxTasks)
	}
	total := 0
	for i, t := range s.Tasks {
		if len(t.Body) == 0 {
			return errors.Newf("tasks[%d]: body is missing", i)
		}
		if len(t.Body) > request.MaxBodyBytes {
			return errors.Newf("tasks[%d]: body of %d bytes: want at most %d", i, len(t.Body), request.MaxBodyBytes)
		}
		total += len(t.Body)
	}
	if total > MaxBodyBytes {
		return errors.Newf("task bodies of %d bytes: want at most %d", total, MaxBodyBytes)
	}
	return nil
}

// Digest tells submissions of different content apart.
type Digest [sha256.Size]byte

// MarshalText writes d in base64.
func (d Digest) MarshalText() ([]byte, error) {
	return base64.StdEncoding.AppendEncode(nil, d[:]), nil
}

// UnmarshalText takes what MarshalText writes.
func (d *Digest) UnmarshalText(b []byte) error {
	raw, err := base64.StdEncoding.AppendDecode(nil, b)
	if err != nil || len(raw) != len(d) {
		return errors.Newf("digest %.80q: want %d bytes in base64", b, len(d))
	}
	copy(d[:], raw)
	return nil
}

// Digest returns the digest of all that was submitted.
func (s Submission) Digest() Digest {
	h := sha256.New()
	text := func(b []byte) {
		h.Write(binary.AppendUvarint(nil, uint64(len(b))))
		h.Write(b)
	}
	text([]byte(s.Party))
	text([]byte(s.Kind))
	text(binary.AppendVarint(nil, int64(s.Deadline)))
	for _, t := range s.Tasks {
		text(binary.AppendVarint(nil, int64(t.Declared)))
		text(t.Body)
	}
	return Digest(h.Sum(nil))
}
