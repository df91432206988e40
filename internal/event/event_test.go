package event

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// TestPage holds docs/EVENTS.md to the catalogue in the code; go test -update
// writes it anew.
func TestPage(t *testing.T) {
	var b bytes.Buffer
	b.WriteString("# Log events\n\nThe server logs JSON lines to standard error. The field `event` has the number.\n\n1xx the process, 2xx settings and files, 3xx entry VMs, 4xx targets, 5xx tasks,\n6xx ledgers, 7xx the table and its quorum.\n\n| event | level | text | meaning |\n| --- | --- | --- | --- |\n")
	last := ID(0)
	for _, e := range All() {
		if e.ID <= last {
			t.Errorf("event %d follows %d", e.ID, last)
		}
		last = e.ID
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.ID, e.Level, e.Text, e.Meaning)
	}
	goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md")).Assert(t, "EVENTS", b.Bytes())
}

func TestLogCarriesNumberAndLevel(t *testing.T) {
	core, logs := observer.New(zap.WarnLevel)
	Log(zap.New(core), VMDead, zap.String("vm", "vm1"))
	Log(zap.New(core), Ready)
	if logs.Len() != 1 {
		t.Fatalf("%d lines were logged at warn, want 1", logs.Len())
	}
	fields := logs.All()[0].ContextMap()
	if fields["event"] != int64(VMDead) || fields["vm"] != "vm1" {
		t.Errorf("fields are %v", fields)
	}
}

// TestOverlongErrorIsLogged guards against log lines as long as a message that could not be
// decoded: the decoder's error quotes a number in full.
func TestOverlongErrorIsLogged(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	var n int64
	Log(zap.New(core), Fault, Err(json.Unmarshal([]byte(strings.Repeat("1", 1<<20)), &n)))
	text := logs.All()[0].ContextMap()["error"].(string)
	if len(text) > 1<<10 || !strings.HasPrefix(text, "json: cannot unmarshal number 111") {
		t.Errorf("an error of %d bytes was logged, which begins with %.40q", len(text), text)
	}
}
