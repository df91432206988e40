package control

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// traceSteps is the length of a recorded trace.
const traceSteps = 3000

// TestRecordedTraces replays traces in testdata against their stated outcomes:
// which tasks were started where, who took over, and what was told. A trace is
// the draws of one schedule; with RECORD_TRACES=1 they are recorded anew.
func TestRecordedTraces(t *testing.T) {
	for _, seed := range []uint64{6, 28, 56} {
		name := fmt.Sprint("trace-", seed)
		t.Run(name, func(t *testing.T) {
			path := filepath.Join("testdata", name+".draws")
			if os.Getenv("RECORD_TRACES") != "" {
				record(t, path, seed)
			}
			b, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			w := newWorld(0, sound)
			w.replayed = 0
			for _, field := range strings.Fields(string(b)) {
				var v int
				if _, err := fmt.Sscan(field, &v); err != nil {
					t.Fatal(err)
				}
				w.draws = append(w.draws, v)
			}
			for range traceSteps {
				if err := w.step(); err != nil {
					t.Fatal(err)
				}
			}
			if len(w.log) < 10 {
				t.Errorf("little happened: %v", w.log)
			}
			goldie.New(t, goldie.WithNameSuffix(".outcome")).Assert(t, name, []byte(strings.Join(w.log, "\n")+"\n"))
		})
	}
}

// record writes the draws of one schedule.
func record(t *testing.T, path string, seed uint64) {
	w := newWorld(seed, sound)
	for range traceSteps {
		if err := w.step(); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.MkdirAll("testdata", 0o755); err != nil {
		t.Fatal(err)
	}
	text := strings.Trim(fmt.Sprint(w.draws), "[]")
	if err := os.WriteFile(path, []byte(text+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
}
