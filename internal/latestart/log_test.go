package latestart

import (
	"bytes"
	"encoding/json"
	"fmt"
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

func lateOn(id worker.ID, run job.Run, expiresIn time.Duration) Record {
	return Record{Task: task, Run: run, Worker: id, Expires: start.Add(expiresIn)}
}

// TestWhereATaskMayStart writes, for each state of the log, on which incarnation of which
// worker a task may start, and when.
func TestWhereATaskMayStart(t *testing.T) {
	states := []struct {
		name string
		set  func(*Log)
	}{
		{"no late start", func(*Log) {}},
		{"a late start of another task", func(l *Log) {
			l.Add(start, Record{Task: job.Task{Job: "other"}, Run: 1, Worker: "w1", Expires: start.Add(13 * time.Second)})
		}},
		{"one on w1", func(l *Log) { l.Add(start, lateOn("w1", 1, 13*time.Second)) }},
		{"one on w1, which stopped it in incarnation 1", func(l *Log) {
			l.Add(start, lateOn("w1", 1, 13*time.Second))
			l.Bar(start, task, 1, "w1", 1, 200*time.Millisecond)
		}},
		{"the same, stopped anew in incarnation 2", func(l *Log) {
			l.Add(start, lateOn("w1", 1, 13*time.Second))
			l.Bar(start, task, 1, "w1", 1, 200*time.Millisecond)
			l.Bar(start, task, 1, "w1", 2, 200*time.Millisecond)
		}},
		{"one of run 2, and a stop of run 1", func(l *Log) {
			l.Add(start, lateOn("w1", 2, 13*time.Second))
			l.Bar(start, task, 1, "w1", 1, 200*time.Millisecond)
		}},
		{"runs 1 and 2, and a stop of run 2", func(l *Log) {
			l.Add(start, lateOn("w1", 1, 13*time.Second))
			l.Add(start, lateOn("w1", 2, 13*time.Second))
			l.Bar(start, task, 2, "w1", 1, 200*time.Millisecond)
		}},
		{"one on each of two workers, both stopped", func(l *Log) {
			l.Add(start, lateOn("w1", 1, 13*time.Second))
			l.Add(start, lateOn("w2", 2, 13*time.Second))
			l.Bar(start, task, 1, "w1", 1, 200*time.Millisecond)
			l.Bar(start, task, 2, "w2", 1, 200*time.Millisecond)
		}},
		{"the start was repeated 3 s later", func(l *Log) {
			l.Add(start, lateOn("w1", 1, 13*time.Second))
			l.Add(start, lateOn("w1", 1, 16*time.Second))
		}},
		{"it was reported by another VM first", func(l *Log) {
			l.Merge(start, []Record{lateOn("w1", 1, 14*time.Second)})
			l.Add(start, lateOn("w1", 1, 13*time.Second))
		}},
		{"its reply arrived after all", func(l *Log) {
			l.Add(start, lateOn("w1", 1, 13*time.Second))
			l.Add(start, lateOn("w2", 2, 13*time.Second))
			l.Settle(lateOn("w2", 2, 13*time.Second))
			l.Bar(start, task, 1, "w1", 1, 200*time.Millisecond)
		}},
		{"the reply to a start of another dispatcher arrived", func(l *Log) {
			l.Add(start, lateOn("w1", 1, 13*time.Second))
			l.Settle(lateOn("w1", 1, 12*time.Second))
		}},
		{"another worker is at its address", func(l *Log) {
			l.Add(start, lateOn("w1", 1, 13*time.Second))
			l.Forget("w1")
		}},
	}
	var page bytes.Buffer
	fmt.Fprintln(&page, "state | seconds | w1 in incarnation 1 | w1 in incarnation 2 | w2 in incarnation 1")
	for _, s := range states {
		for _, after := range []time.Duration{100 * time.Millisecond, 250 * time.Millisecond, 2 * time.Second, 13500 * time.Millisecond, 15 * time.Second, 17 * time.Second} {
			var l Log
			s.set(&l)
			now := start.Add(after)
			l.Expire(now)
			fmt.Fprintf(&page, "%s | %.2f | %t | %t | %t\n", s.name, after.Seconds(),
				l.Permits(now, task, "w1", 1), l.Permits(now, task, "w1", 2), l.Permits(now, task, "w2", 1))
		}
	}
	goldie.New(t).Assert(t, "permits", page.Bytes())
}

// TestStopsAreRepeatedUntilEachIncarnationAcknowledged: a stop may be lost, and a later
// incarnation does not know of it.
func TestStopsAreRepeatedUntilEachIncarnationAcknowledged(t *testing.T) {
	const interval = 250 * time.Millisecond
	var l Log
	l.Add(start, lateOn("w1", 1, 13*time.Second))
	waits := false
	due := func(after time.Duration, i worker.Incarnation) int {
		return len(l.TakeDueStops(start.Add(after), "w1", i, interval, func(job.Task) bool { return waits }))
	}
	for _, c := range []struct {
		after       time.Duration
		incarnation worker.Incarnation
		want        int
	}{{0, 1, 1}, {interval / 2, 1, 0}, {interval, 1, 1}} {
		if n := due(c.after, c.incarnation); n != c.want {
			t.Errorf("%s after the start: %d stops are due, want %d", c.after, n, c.want)
		}
	}
	l.Bar(start, task, 1, "w1", 1, 200*time.Millisecond)
	if n := due(2*time.Second, 1); n != 0 {
		t.Errorf("%d stops are due once the incarnation acknowledged one, want none", n)
	}
	waits = true
	if n := due(2*time.Second, 1); n != 1 {
		t.Errorf("%d stops are due for a waiting task 2 s after the incarnation acknowledged one, want 1", n)
	}
	if n := due(3*time.Second, 2); n != 1 {
		t.Errorf("%d stops are due in the next incarnation, want 1", n)
	}
	if n := due(14*time.Second, 2); n != 0 {
		t.Errorf("%d stops are due after the expiry, want none", n)
	}
}

// TestExpiredStartsAreDropped: the log of a busy VM does not grow.
func TestExpiredStartsAreDropped(t *testing.T) {
	var l Log
	for run := range 100 {
		l.Add(start, lateOn(worker.ID(fmt.Sprint("w", run%7)), job.Run(1+run), time.Duration(run)*time.Millisecond+time.Millisecond))
	}
	l.Expire(start.Add(time.Second))
	if !l.Empty() || len(l.workers) > 0 {
		t.Errorf("%d tasks and %d workers are left after the expiry, want none", len(l.tasks), len(l.workers))
	}
}

// TestMessageIsCheckedWhenDecoded: a malformed message of another VM is refused as a whole.
func TestMessageIsCheckedWhenDecoded(t *testing.T) {
	for _, text := range []string{
		`{"task":{"job":"","step":0,"index":3},"run":1,"worker":"w1","remaining":5}`,
		`{"task":{"job":"j","step":0,"index":3},"run":0,"worker":"w1","remaining":5}`,
		`{"task":{"job":"j","step":0,"index":3},"run":1,"remaining":5}`,
		`{"task":{"job":"j","step":0,"index":3},"run":1,"worker":"w1","remaining":99000000000}`,
		`{"task":7}`,
	} {
		var m Message
		if err := json.Unmarshal([]byte(text), &m); err == nil {
			t.Errorf("%s was accepted", text)
		}
	}
	raw, err := json.Marshal(lateOn("w1", 2, 13*time.Second).Message(start.Add(time.Second)))
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "message", raw)
}
