// Package ledger keeps what became of submissions, so that no task of one
// starts twice whatever fails.
//
// A [Ledger] is the state that follows from a list of [Record]s. A [Copy] is
// one entry VM's copy of it, as primary, backup or joining, under an
// [Assignment] that the control quorum makes (package control). The primary
// appends records and lets a start take effect only once every required
// follower has acknowledged its record. All types here decide without input or
// output; the server carries their messages.
package ledger

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/submission"
	"tamarackpin.example/internal/wire"
)

// RecordKind says what a Record states.
type RecordKind uint8

// The kinds of records.
const (
	Opened    RecordKind = 1 // a submission was taken in
	Started   RecordKind = 2 // a run of tasks may be sent to targets from now on
	Returned  RecordKind = 3 // a started task was refused by its target unrun; it may start again
	Ended     RecordKind = 4 // a started task ended
	Finished  RecordKind = 5 // the submission has its result
	Dropped   RecordKind = 6 // the answers of a finished submission are no longer kept
	Forgotten RecordKind = 7 // a finished submission is no longer known
	Floor     RecordKind = 8 // unknown submissions up to here may have been known once
)

// Record is one step in the life of one submission. Which fields are used
// depends on the kind.
type Record struct {
	Kind     RecordKind
	Sequence submission.Sequence
	Task     int // first task of Started and Ended; the task of Returned
	Count    int // tasks of Started; of Ended if more than one
	Code     code.Code
	Message  string
	Answer   []byte // of Ended
	Open     *Open  // of Opened
}

// Open is what an Opened record holds of the submission.
type Open struct {
	Digest    submission.Digest
	Key       party.Key
	Remaining wire.Duration // until the deadline when the record was made
	Tasks     []submission.Task
}

// Numbers of the fields in the encoded form, which follows the rules of
// Protocol Buffers. They are never used again for another meaning.
const (
	fieldKind       = 1
	fieldEpoch      = 2
	fieldIssueCount = 3
	fieldTask       = 4
	fieldCount      = 5
	fieldCode       = 6
	fieldMessage    = 7
	fieldAnswer     = 8
	fieldDigest     = 9
	fieldParty      = 10
	fieldPartyKind  = 11
	fieldRemaining  = 12
	fieldOpenTask   = 13
)

// Append appends the encoded form of r, with its length before it.
func (r *Record) Append(b []byte) []byte {
	return protowire.AppendBytes(b, r.encode())
}

func (r *Record) encode() []byte {
	b := appendNumber(nil, fieldKind, uint64(r.Kind))
	b = appendNumber(b, fieldEpoch, uint64(r.Sequence.Epoch))
	b = appendNumber(b, fieldIssueCount, r.Sequence.Count)
	b = appendNumber(b, fieldTask, uint64(r.Task))
	b = appendNumber(b, fieldCount, uint64(r.Count))
	b = appendNumber(b, fieldCode, uint64(r.Code))
	b = appendText(b, fieldMessage, []byte(r.Message))
	b = appendText(b, fieldAnswer, r.Answer)
	if r.Open == nil {
		return b
	}
	b = appendText(b, fieldDigest, r.Open.Digest[:])
	b = appendText(b, fieldParty, []byte(r.Open.Key.Party))
	b = appendText(b, fieldPartyKind, []byte(r.Open.Key.Kind))
	b = appendNumber(b, fieldRemaining, uint64(r.Open.Remaining))
	for _, t := range r.Open.Tasks {
		task := protowire.AppendVarint(nil, uint64(t.Declared))
		b = appendText(b, fieldOpenTask, append(task, t.Body...))
	}
	return b
}

func appendNumber(b []byte, field protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), v)
}

func appendText(b []byte, field protowire.Number, v []byte) []byte {
	if len(v) == 0 {
		return b
	}
	return protowire.AppendBytes(protowire.AppendTag(b, field, protowire.BytesType), v)
}

// errMalformed is the fault of bytes that no Append wrote.
var errMalformed = errors.New("malformed ledger record")

// ParseRecords decodes records that Append wrote one behind the other.
func ParseRecords(b []byte) ([]Record, error) {
	var records []Record
	for len(b) > 0 {
		one, n := protowire.ConsumeBytes(b)
		if n < 0 {
			return nil, errMalformed
		}
		var r Record
		if err := r.parse(one); err != nil {
			return nil, err
		}
		records = append(records, r)
		b = b[n:]
	}
	return records, nil
}

func (r *Record) parse(b []byte) error {
	for len(b) > 0 {
		field, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return errMalformed
		}
		b = b[n:]
		switch kind {
		case protowire.VarintType:
			v, n := protowire.ConsumeVarint(b)
			if n < 0 {
				return errMalformed
			}
			r.setNumber(field, v)
			b = b[n:]
		case protowire.BytesType:
			v, n := protowire.ConsumeBytes(b)
			if n < 0 {
				return errMalformed
			}
			if err := r.setText(field, v); err != nil {
				return err
			}
			b = b[n:]
		default:
			return errMalformed
		}
	}
	return r.check()
}

func (r *Record) setNumber(field protowire.Number, v uint64) {
	switch field {
	case fieldKind:
		r.Kind = RecordKind(v)
	case fieldEpoch:
		r.Sequence.Epoch = submission.Epoch(v)
	case fieldIssueCount:
		r.Sequence.Count = v
	case fieldTask:
		r.Task = int(v)
	case fieldCount:
		r.Count = int(v)
	case fieldCode:
		r.Code = code.Code(v)
	case fieldRemaining:
		r.open().Remaining = wire.Duration(v)
	}
}

func (r *Record) setText(field protowire.Number, v []byte) error {
	switch field {
	case fieldMessage:
		r.Message = string(v)
	case fieldAnswer:
		r.Answer = append([]byte(nil), v...)
	case fieldDigest:
		if copy(r.open().Digest[:], v) != len(v) || len(v) != len(r.Open.Digest) {
			return errMalformed
		}
	case fieldParty:
		r.open().Key.Party = party.ID(v)
	case fieldPartyKind:
		r.open().Key.Kind = party.Kind(v)
	case fieldOpenTask:
		declared, n := protowire.ConsumeVarint(v)
		if n < 0 {
			return errMalformed
		}
		body := append([]byte(nil), v[n:]...)
		r.open().Tasks = append(r.Open.Tasks, submission.Task{Declared: wire.Duration(declared), Body: body})
	}
	return nil
}

func (r *Record) open() *Open {
	if r.Open == nil {
		r.Open = &Open{}
	}
	return r.Open
}

// check keeps a record that no copy made from harming this one.
func (r *Record) check() error {
	if r.Kind < Opened || r.Kind > Floor {
		return errors.Wrapf(errMalformed, "kind %d", r.Kind)
	}
	if r.Task < 0 || r.Task >= submission.MaxTasks || r.Count < 0 || r.Task+r.Count > submission.MaxTasks {
		return errors.Wrapf(errMalformed, "tasks %d+%d", r.Task, r.Count)
	}
	if (r.Kind == Opened) != (r.Open != nil) {
		return errors.Wrap(errMalformed, "an opened record and no other has a submission")
	}
	if r.Open != nil && (len(r.Open.Tasks) == 0 || len(r.Open.Tasks) > submission.MaxTasks) {
		return errors.Wrapf(errMalformed, "%d tasks", len(r.Open.Tasks))
	}
	return nil
}
