package report

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/vm"
)

func recorded(rows int) *Recorder {
	var r Recorder
	for i := range rows {
		k := party.Key{Party: party.ID(fmt.Sprint("party-", i)), Kind: "booking"}
		r.Request(k, code.OK, 30*time.Millisecond, 20*time.Millisecond)
		r.Request(k, code.QueueFull, 0, 0)
		r.Submission(k, false)
		r.Submission(k, true)
		r.SubmissionEnd(k, code.SubmissionFailed)
		r.Task(k, code.OK, 10*time.Millisecond, 20*time.Millisecond)
	}
	r.Message(UseTask, 3, 1, 300)
	r.Slots(time.Second, 8, 3, 2)
	return &r
}

// TestMergedText is golden: parts travel as JSON and are merged.
func TestMergedText(t *testing.T) {
	var parts []Part
	for i := range 2 {
		p := recorded(2).Part()
		p.VM = vm.ID(fmt.Sprint("vm", i))
		b, err := json.Marshal(p)
		if err != nil {
			t.Fatal(err)
		}
		var back Part
		if err := json.Unmarshal(b, &back); err != nil {
			t.Fatal(err)
		}
		parts = append(parts, back)
	}
	var out bytes.Buffer
	if err := Merge(parts, []vm.ID{"vm2"}).WriteText(&out); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "merged", out.Bytes())
}

// TestRowsAreBounded: what comes beyond the bound is counted in one row.
func TestRowsAreBounded(t *testing.T) {
	p := recorded(MaxRows + 50).Part()
	if len(p.Rows) > MaxRows+1 {
		t.Errorf("%d rows", len(p.Rows))
	}
	var tasks uint64
	for _, r := range p.Rows {
		tasks += r.Tasks
	}
	if tasks != MaxRows+50 {
		t.Errorf("%d tasks are counted, want %d", tasks, MaxRows+50)
	}
}

func TestForeignHistogramIsRefused(t *testing.T) {
	var h Histogram
	if err := json.Unmarshal([]byte(`{"count":1,"counts":"bm90IG9uZQ=="}`), &h); err == nil {
		t.Error("bytes that are no histogram were taken")
	}
}
