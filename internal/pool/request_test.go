package pool

import (
	"encoding/json"
	"maps"
	"slices"
	"testing"
)

// TestRequestAndAnswerKeepTheirWireNames guards against a renamed field of Request or
// Answer that another build of the process no longer reads.
func TestRequestAndAnswerKeepTheirWireNames(t *testing.T) {
	for _, c := range []struct {
		name  string
		value any
		want  []string
	}{
		{"Request", Request{}, []string{
			"Age", "Elsewhere", "Guest", "Job", "Latency", "MaxAttempts", "MayRun", "Patience", "Priority", "Row", "Service", "Stretch",
		}},
		{"Answer", Answer{}, []string{"Elsewhere", "Outcome", "Reason", "RetryAfter", "job", "number"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			encoded, err := json.Marshal(c.value)
			if err != nil {
				t.Fatal(err)
			}
			var fields map[string]json.RawMessage
			if err := json.Unmarshal(encoded, &fields); err != nil {
				t.Fatal(err)
			}
			if got := slices.Sorted(maps.Keys(fields)); !slices.Equal(got, c.want) {
				t.Errorf("names on the wire are %q, want %q", got, c.want)
			}
		})
	}
}
