package crash

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/worker"
)

var (
	start = time.Unix(1000, 0)
	task  = job.Task{Job: "j", Index: 3}
)

func lostOn(id worker.ID, i worker.Incarnation, e Evidence) Record {
	return Record{Task: task, Worker: id, Incarnation: i, Evidence: e}
}

// String makes golden files readable.
func (v Verdict) String() string {
	return [...]string{"clear", "suspect", "undecided", "exhausted", "deadly"}[v]
}

// TestVerdictOfEachPairOfLosses walks every pair of evidence of two workers under one task,
// and what later replies and incarnations of the first make of it.
func TestVerdictOfEachPairOfLosses(t *testing.T) {
	var page bytes.Buffer
	kinds := []Evidence{"", Silent, Unproven, Refused, Restarted, Survived}
	fmt.Fprintln(&page, "first, second | verdict | after the first replies | after the first restarts")
	for _, first := range kinds {
		for _, second := range kinds {
			var verdicts []string
			for _, then := range []func(*Log){
				func(*Log) {},
				func(l *Log) { l.ObserveReply(start.Add(2*time.Second), "w1", 1, start.Add(time.Second)) },
				func(l *Log) { l.ObserveIncarnation(start.Add(time.Second), "w1", 2) },
			} {
				var l Log
				if first != "" {
					l.Add(start, lostOn("w1", 1, first))
				}
				if second != "" {
					l.Add(start, lostOn("w2", 1, second))
				}
				then(&l)
				verdicts = append(verdicts, l.Verdict(task).String())
			}
			fmt.Fprintf(&page, "%s, %s | %s\n", first, second, strings.Join(verdicts, " | "))
		}
	}
	goldie.New(t).Assert(t, "verdicts", page.Bytes())
}

// TestReplySentBeforeTheLossProvesNothing: the reply to an order that was sent before the
// loss may have been under way when the worker crashed.
func TestReplySentBeforeTheLossProvesNothing(t *testing.T) {
	var l Log
	l.Add(start, lostOn("w1", 1, Refused))
	l.ObserveReply(start.Add(time.Second), "w1", 1, start.Add(-time.Millisecond))
	if v := l.Verdict(task); v != Suspect {
		t.Errorf("verdict %s, want suspect", v)
	}
}

// TestLogsThatExchangeRecordsAgree: Records may arrive repeatedly and in any order.
func TestLogsThatExchangeRecordsAgree(t *testing.T) {
	var a, b Log
	a.Add(start, lostOn("w1", 1, Refused))
	early := a.Records()
	a.ObserveIncarnation(start, "w1", 2)
	a.Add(start, lostOn("w2", 1, Refused))
	b.Merge(start, a.TakeChanges())
	b.Merge(start, early)
	b.Merge(start, a.Records())
	got, want := fmt.Sprint(b.Records()), fmt.Sprint(a.Records())
	if got != want || b.Verdict(task) != Deadly {
		t.Errorf("records %s, verdict %s; want %s, deadly", got, b.Verdict(task), want)
	}
	if again := b.TakeChanges(); len(again) > 0 {
		t.Errorf("%d merged records would be sent on, want none", len(again))
	}
}

// TestLogIsBounded: a partition loses many workers under many tasks.
func TestLogIsBounded(t *testing.T) {
	var l Log
	for i := range maxTasks + 10 {
		l.Add(start.Add(time.Duration(i)*time.Millisecond), Record{Task: job.Task{Job: "j", Index: i}, Worker: "w1", Incarnation: 1, Evidence: Refused})
	}
	if len(l.tasks) != maxTasks || l.Verdict(job.Task{Job: "j", Index: 9}) != Clear || l.Verdict(job.Task{Job: "j", Index: 10}) != Suspect {
		t.Errorf("%d tasks, want the newest %d", len(l.tasks), maxTasks)
	}
	l.Expire(start.Add(2 * retention))
	if !l.Empty() || len(l.unresolved) > 0 {
		t.Errorf("%d tasks and %d workers are left after their retention, want none", len(l.tasks), len(l.unresolved))
	}
}

// TestRecordIsCheckedWhenDecoded: a malformed message of another VM is refused as a whole.
func TestRecordIsCheckedWhenDecoded(t *testing.T) {
	for _, text := range []string{
		`{"task":{"job":"j","step":0,"index":3},"worker":"w1","incarnation":1,"evidence":"gone"}`,
		`{"task":{"job":"","step":0,"index":3},"worker":"w1","incarnation":1,"evidence":"silent"}`,
		`{"task":{"job":"j","step":0,"index":3},"incarnation":1,"evidence":"silent"}`,
		`{"task":7}`,
	} {
		var r Record
		if err := json.Unmarshal([]byte(text), &r); err == nil {
			t.Errorf("%s was accepted", text)
		}
	}
	raw, err := json.Marshal(lostOn("w1", 1, Restarted))
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "record", raw)
}
