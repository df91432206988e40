package archive

import (
	"encoding/json"
	"fmt"
	"os"
	"testing"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/submission"
)

func result(n int) Entry {
	return Entry{Status: submission.Status{
		ID:    submission.ID{Ledger: submission.LedgerID{FailureDomain: "arusha"}, Generation: 1, Sequence: submission.Sequence{Epoch: 1, Count: uint64(n)}},
		State: submission.Complete, Code: code.OK, Name: "ok", Outcome: code.Ran, Tasks: 1, Answers: []json.RawMessage{[]byte(fmt.Sprint(n))},
	}}
}

func open(t *testing.T, folder string) (*Archive, int) {
	t.Helper()
	a, damaged, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = a.Close() })
	return a, damaged
}

func TestResultsOutliveARestart(t *testing.T) {
	folder := t.TempDir()
	a, _ := open(t, folder)
	for n := range 50 {
		if err := a.Add([]Entry{result(2 * n), result(2*n + 1)}); err != nil {
			t.Fatal(err)
		}
	}
	for range 2 {
		a, damaged := open(t, folder)
		if damaged != 0 || a.Len() != 100 {
			t.Fatalf("%d damaged, %d results", damaged, a.Len())
		}
		e, ok := a.Find(result(77).Status.ID)
		if !ok || string(e.Status.Answers[0]) != "77" {
			t.Fatalf("%+v, %v", e, ok)
		}
	}
	if _, ok := a.Find(result(777).Status.ID); ok {
		t.Error("a result that was never added is found")
	}
}

// TestDamageCostsAnswersOnly flips each byte in turn: whatever is still found
// is what was added.
func TestDamageCostsAnswersOnly(t *testing.T) {
	folder := t.TempDir()
	a, _ := open(t, folder)
	for n := range 3 {
		if err := a.Add([]Entry{result(n)}); err != nil {
			t.Fatal(err)
		}
	}
	path := a.path(1)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(whole); i += 7 {
		damaged := append([]byte(nil), whole...)
		damaged[i] ^= 0x55
		if err := os.WriteFile(path, damaged, 0o600); err != nil {
			t.Fatal(err)
		}
		b, count := open(t, folder)
		if count != 1 {
			t.Fatalf("byte %d: %d segments are damaged", i, count)
		}
		for n := range 3 {
			if e, ok := b.Find(result(n).Status.ID); ok && string(e.Status.Answers[0]) != fmt.Sprint(n) {
				t.Fatalf("byte %d: result %d is %s", i, n, e.Status.Answers[0])
			}
		}
		if err := os.Remove(b.path(b.segments[len(b.segments)-1])); err != nil {
			t.Fatal(err)
		}
	}
}

func TestOldSegmentsGo(t *testing.T) {
	a, _ := open(t, t.TempDir())
	for n := range MaxSegments + 4 {
		if err := a.Add([]Entry{result(n)}); err != nil {
			t.Fatal(err)
		}
		if err := a.rotate(); err != nil {
			t.Fatal(err)
		}
	}
	files, err := os.ReadDir(a.folder)
	if err != nil || len(files) != MaxSegments || a.Len() != MaxSegments-1 {
		t.Errorf("%d files, %d results, %v", len(files), a.Len(), err)
	}
}
