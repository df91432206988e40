package interference

import (
	"slices"
	"testing"
	"time"

	"tamarackpin.example/internal/job"
)

func taskName(i int) job.Task { return job.Task{Job: "j", Index: i} }

// TestTracker: a run is beside others for the shares of its time that they had in common with it.
func TestTracker(t *testing.T) {
	var tr Tracker
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	tr.Start(at(0), taskName(1), "a", 200*time.Millisecond)
	tr.Start(at(50), taskName(2), "b", 100*time.Millisecond)
	tr.Start(at(50), taskName(3), "b", 100*time.Millisecond)
	if beside, ok := tr.End(at(150), taskName(2)); !ok || !slices.Equal(beside, []Exposure{{"a", 1, 1}, {"b", 1, 1}}) {
		t.Errorf("beside %v, %v", beside, ok)
	}
	if _, ok := tr.End(at(150), taskName(3)); !ok {
		t.Error("the third run is not known")
	}
	// Of 400 ms, two tasks ran beside for 100 ms each; of the first 100 ms, for 50 ms each.
	if beside, ok := tr.End(at(400), taskName(1)); !ok || !slices.Equal(beside, []Exposure{{"b", 0.5, 1}}) {
		t.Errorf("beside %v, %v", beside, ok)
	}
	if _, ok := tr.End(at(400), taskName(1)); ok || tr.Len() != 0 {
		t.Error("an end was counted twice")
	}
}

// TestTrackerIsUnclear guards against observations of runs beside which something may have run that
// the tracker does not know.
func TestTrackerIsUnclear(t *testing.T) {
	now := time.Unix(1000, 0)
	var tr Tracker
	tr.Start(now, taskName(1), "a", time.Second)
	tr.Start(now, taskName(2), "a", time.Second)
	tr.Retain(now, func(name job.Task) bool { return name.Index == 1 })
	if _, ok := tr.End(now.Add(time.Second), taskName(1)); ok {
		t.Error("a run was observed although a task beside it vanished at an unknown time")
	}
	for i := range maxTracked + 1 {
		tr.Start(now, taskName(i), "a", time.Second)
	}
	if tr.Len() != maxTracked {
		t.Errorf("%d tasks are kept", tr.Len())
	}
	if _, ok := tr.End(now.Add(time.Second), taskName(1)); ok {
		t.Error("a run was observed beside more tasks than are kept")
	}
}

// BenchmarkTracker measures a start and an end on a worker with three other tasks.
func BenchmarkTracker(b *testing.B) {
	var tr Tracker
	now := time.Unix(1000, 0)
	for i := range 3 {
		tr.Start(now, taskName(i), "a", time.Hour)
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		tr.Start(now, taskName(9), "b", 20*time.Millisecond)
		now = now.Add(10 * time.Millisecond)
		tr.End(now, taskName(9))
	}
}
