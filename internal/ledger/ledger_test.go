package ledger

import (
	"flag"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/submission"
	"tamarackpin.example/internal/wire"
)

// The seed is fixed, so that each run gives the same verdict; -rapid.seed
// overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

var start = time.Unix(1000, 0)

func sequence(n int) submission.Sequence { return submission.Sequence{Epoch: 1, Count: uint64(n)} }

func opened(n, tasks int) Record {
	open := &Open{Key: party.Key{Party: "p", Kind: "k"}, Remaining: wire.Duration(time.Minute)}
	for i := range tasks {
		open.Tasks = append(open.Tasks, submission.Task{Declared: wire.Duration(i), Body: []byte(fmt.Sprint(i))})
	}
	return Record{Kind: Opened, Sequence: sequence(n), Open: open}
}

func drawRecord(r *rapid.T) Record {
	one := Record{
		Kind:     RecordKind(rapid.IntRange(int(Started), int(Floor)).Draw(r, "kind")),
		Sequence: submission.Sequence{Epoch: submission.Epoch(rapid.Uint64().Draw(r, "epoch")), Count: rapid.Uint64().Draw(r, "count")},
		Task:     rapid.IntRange(0, 999).Draw(r, "task"), Count: rapid.IntRange(0, 999).Draw(r, "tasks"),
		Code: code.Code(rapid.IntRange(0, 9999).Draw(r, "code")), Message: rapid.String().Draw(r, "message"),
	}
	if b := rapid.SliceOf(rapid.Byte()).Draw(r, "answer"); len(b) > 0 {
		one.Answer = b
	}
	if rapid.Bool().Draw(r, "opens") {
		one = opened(rapid.IntRange(0, 99).Draw(r, "n"), rapid.IntRange(1, 5).Draw(r, "each"))
	}
	return one
}

func TestRecordsTravel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var records []Record
		var b []byte
		for range rapid.IntRange(0, 6).Draw(r, "records") {
			one := drawRecord(r)
			records = append(records, one)
			b = one.Append(b)
		}
		got, err := ParseRecords(b)
		if err != nil || !reflect.DeepEqual(got, records) {
			r.Fatalf("came back as %+v, was %+v: %v", got, records, err)
		}
	})
}

func FuzzParseRecords(f *testing.F) {
	one, two := opened(1, 3), Record{Kind: Started, Sequence: sequence(1), Count: 2}
	f.Add(two.Append(one.Append(nil)))
	f.Fuzz(func(_ *testing.T, b []byte) {
		records, err := ParseRecords(b)
		if err != nil {
			return
		}
		var l Ledger
		for _, r := range records {
			_ = l.Apply(start, r) // an error is fine, a panic is not
		}
	})
}

// history drives a ledger with random records that follow from each other.
func history(r *rapid.T) *Ledger {
	l := &Ledger{}
	for i := range rapid.IntRange(1, 80).Draw(r, "steps") {
		n := rapid.IntRange(1, 6).Draw(r, "submission")
		task := rapid.IntRange(0, 3).Draw(r, "task")
		all := []Record{
			opened(n, 4),
			{Kind: Started, Sequence: sequence(n), Task: task, Count: 1},
			{Kind: Started, Sequence: sequence(n), Task: task, Count: 1},
			{Kind: Ended, Sequence: sequence(n), Task: task, Code: code.OK, Answer: []byte("answer")},
			{Kind: Ended, Sequence: sequence(n), Task: task, Code: code.OK, Answer: []byte("answer")},
			{Kind: Ended, Sequence: sequence(n), Task: task, Code: code.TargetFailed},
			{Kind: Returned, Sequence: sequence(n), Task: task},
			{Kind: Finished, Sequence: sequence(n), Code: rapid.SampledFrom([]code.Code{code.OK, code.Cancelled}).Draw(r, "result")},
			{Kind: Dropped, Sequence: sequence(n)},
			{Kind: Forgotten, Sequence: sequence(n)},
		}
		_ = l.Apply(start.Add(time.Duration(i)*time.Second), all[rapid.IntRange(0, len(all)-1).Draw(r, "record")])
	}
	return l
}

// TestTransferMakesTheSameLedger: a copy that joined answers like the one it
// was made from.
func TestTransferMakesTheSameLedger(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		l := history(r)
		var joined Ledger
		for _, one := range l.Records(start) {
			if err := joined.Apply(start, one); err != nil {
				r.Fatalf("record %+v: %v", one, err)
			}
		}
		for n := range 8 {
			id := submission.ID{Sequence: sequence(n)}
			want, wantErr := l.Status(id)
			got, gotErr := joined.Status(id)
			if !reflect.DeepEqual(got, want) || !reflect.DeepEqual(gotErr, wantErr) {
				r.Fatalf("submission %d: %+v %v, want %+v %v", n, got, gotErr, want, wantErr)
			}
			e, known := l.Entry(sequence(n))
			o, _ := joined.Entry(sequence(n))
			if known && (!reflect.DeepEqual(e.Waiting(), o.Waiting()) || !reflect.DeepEqual(e.InDoubt(), o.InDoubt()) || e.Running() && e.Failure != o.Failure) {
				r.Fatalf("submission %d: waiting %v, in doubt %v, failure %d; want %v, %v, %d",
					n, o.Waiting(), o.InDoubt(), o.Failure, e.Waiting(), e.InDoubt(), e.Failure)
			}
		}
		if joined.Bytes() != l.Bytes() || joined.openBytes != l.openBytes {
			r.Fatalf("%d bytes, %d open; want %d, %d", joined.Bytes(), joined.openBytes, l.Bytes(), l.openBytes)
		}
	})
}

// TestRetentionIsBounded: what finished goes in its order, and is never taken
// for new afterwards.
func TestRetentionIsBounded(t *testing.T) {
	var l Ledger
	keep := Retention{Submissions: 10, Bytes: 40 * entryBytes, Answers: time.Minute}
	now := start
	for n := 1; n <= 1000; n++ {
		now = now.Add(time.Second)
		for _, one := range []Record{
			opened(n, 1),
			{Kind: Started, Sequence: sequence(n), Count: 1},
			{Kind: Ended, Sequence: sequence(n), Code: code.OK, Answer: make([]byte, 1000)},
			{Kind: Finished, Sequence: sequence(n), Code: code.OK},
		} {
			if err := l.Apply(now, one); err != nil {
				t.Fatal(err)
			}
		}
		for _, one := range l.Expired(now, keep) {
			if err := l.Apply(now, one); err != nil {
				t.Fatal(err)
			}
		}
		if l.Len() > keep.Submissions || l.Bytes() > keep.Bytes {
			t.Fatalf("after %d: %d submissions, %d bytes", n, l.Len(), l.Bytes())
		}
	}
	if _, refusal := l.Status(submission.ID{Sequence: sequence(5)}); refusal == nil || refusal.Code != code.OutcomeUnknown {
		t.Errorf("a forgotten submission is %v", refusal)
	}
	if err := l.Apply(now, opened(5, 1)); err == nil {
		t.Error("a forgotten submission was opened anew")
	}
	if s, refusal := l.Status(submission.ID{Sequence: sequence(1000)}); refusal != nil || s.Code != code.OK || len(s.Answers) != 1 {
		t.Errorf("the newest is %+v, %v", s, refusal)
	}
	for _, one := range l.Expired(now.Add(time.Hour), keep) {
		if err := l.Apply(now, one); err != nil {
			t.Fatal(err)
		}
	}
	if s, _ := l.Status(submission.ID{Sequence: sequence(1000)}); s.Code != code.AnswerExpired || s.Answers != nil {
		t.Errorf("after an hour the newest is %+v", s)
	}
}

// TestStaleBatchDoesNotTurnBack: a transfer that arrives twice must not undo
// what followed it.
func TestStaleBatchDoesNotTurnBack(t *testing.T) {
	p, b := Holder{"vm0", 1}, Holder{"vm1", 1}
	primary, backup := NewCopy(p), NewCopy(b)
	a := Assignment{Generation: 1, Epoch: 1, Primary: p, Backup: b}
	primary.Assign(a)
	backup.Assign(a)
	first, _, _ := primary.Batch(start)
	ack, err := backup.Receive(start, first)
	if err != nil {
		t.Fatal(err)
	}
	primary.Acknowledged(b, ack)
	if _, err := primary.Append(start, opened(1, 1)); err != nil {
		t.Fatal(err)
	}
	second, _, _ := primary.Batch(start)
	if ack, err = backup.Receive(start, second); err != nil || ack.Next != 1 {
		t.Fatalf("%+v, %v", ack, err)
	}
	for _, again := range []Append{first, second, first} {
		if ack, err = backup.Receive(start, again); err != nil || !ack.Accepted || ack.Next != 1 || backup.Ledger().Len() != 1 {
			t.Errorf("after a doubled batch: %+v, %v, %d submissions", ack, err, backup.Ledger().Len())
		}
	}
}

// TestTransferOfAnEmptyLedgerIsSentAgain: a joining copy of a ledger without
// records must not be forgotten when its first batch is lost (found by
// TestCutTable and TestOneWayCuts, issue 4).
func TestTransferOfAnEmptyLedgerIsSentAgain(t *testing.T) {
	p, b := Holder{"vm0", 1}, Holder{"vm1", 1}
	primary := NewCopy(p)
	primary.Assign(Assignment{Generation: 1, Epoch: 1, Primary: p, Joining: b})
	for range 3 {
		m, to, ok := primary.Batch(start)
		if !ok || !m.Transfer || to != b || !primary.Behind() {
			t.Fatalf("batch %+v to %v: %v, behind %v", m, to, ok, primary.Behind())
		}
		primary.Unsent(m)
	}
	primary.Batch(start)
	if promote := primary.Acknowledged(b, Ack{Generation: 1, Epoch: 1, Accepted: true}); !promote || primary.Behind() {
		t.Errorf("promote %v, behind %v", promote, primary.Behind())
	}
}

// BenchmarkRecord measures what start records cost to write and to read, by how
// many come in one batch.
func BenchmarkRecord(b *testing.B) {
	for _, count := range []int{1, 16, 256} {
		b.Run(fmt.Sprint(count, "records"), func(b *testing.B) {
			var out []byte
			for b.Loop() {
				out = out[:0]
				for i := range count {
					one := Record{Kind: Started, Sequence: sequence(123456), Task: 1000 + i, Count: 1}
					out = one.Append(out)
				}
				if _, err := ParseRecords(out); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(out))/float64(count), "bytes/record")
		})
	}
}
