package code

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/sebdah/goldie/v2"
)

func TestCodesAscendAndNamesDiffer(t *testing.T) {
	names := make(map[string]bool)
	last := Code(0)
	for _, e := range All() {
		if e.Code <= last {
			t.Errorf("code %d follows %d", e.Code, last)
		}
		last = e.Code
		if names[e.Name] || e.Name == "" || e.Meaning == "" {
			t.Errorf("code %d: name %q or meaning %q is empty or stands twice", e.Code, e.Name, e.Meaning)
		}
		names[e.Name] = true
	}
}

// TestPage holds docs/CODES.md to the table in the code; go test -update
// writes it anew.
func TestPage(t *testing.T) {
	var b bytes.Buffer
	b.WriteString("# Result codes\n\nEvery reply carries one. The outcome says whether the work was run: `not_run` is\na promise that no byte of it reached a target. A reply may carry a sharper\noutcome than its code's where the process that answers knows more.\n\n")
	b.WriteString("1xxx done, 2xxx bad input, 3xxx refused, 4xxx failed, 5xxx the table and\norders of operators, 9xxx a fault of the system.\n\n| code | name | HTTP status | outcome | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, e := range All() {
		fmt.Fprintf(&b, "| %d | `%s` | %d | `%s` | %s |\n", e.Code, e.Name, e.Status, e.Outcome, e.Meaning)
	}
	goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md")).Assert(t, "CODES", b.Bytes())
}

func TestErrorTravels(t *testing.T) {
	e := New(QueueFull, "%d wait", 3).WithRetry(5_000_000).WithOutcome(MayHaveRun)
	b, err := json.Marshal(e)
	if err != nil {
		t.Fatal(err)
	}
	var back Error
	if err := json.Unmarshal(b, &back); err != nil || back != *e {
		t.Errorf("%s came back as %+v: %v", b, back, err)
	}
	if Of(fmt.Errorf("around: %w", e)) != e {
		t.Error("an Error inside another error is not found")
	}
	if Of(fmt.Errorf("plain")).Code != Internal || Of(nil) != nil {
		t.Error("a plain error is not internal, or nil is not nil")
	}
}

func TestUnknownOutcomeIsRefused(t *testing.T) {
	var o Outcome
	if err := json.Unmarshal([]byte(`"perhaps"`), &o); err == nil {
		t.Error("an unknown outcome was taken")
	}
}
