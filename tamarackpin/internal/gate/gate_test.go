package gate

import (
	"testing"

	"tamarackpin.example/internal/lead"
	"tamarackpin.example/tamarackpin/internal/group"
)

// TestSlowLeaderKeepsItsJobs guards against withdrawing the jobs of a leader whose
// heartbeats are late (kartela-print-grown, scale-2): a gate cancels a forward only when
// another claim is known.
func TestSlowLeaderKeepsItsJobs(t *testing.T) {
	leader := group.Leader{VM: "ip-0a000001", Claim: lead.Claim{VM: "ip-0a000001", Fence: 7}}
	for _, c := range []struct {
		name    string
		current group.Leader
		want    bool
	}{
		{"the same", leader, false},
		{"no heartbeats", group.Leader{Claim: leader.Claim}, false},
		{"stepped down, no successor", group.Leader{Claim: lead.Claim{Fence: 7}}, false},
		{"another VM", group.Leader{VM: "ip-0a000002", Claim: lead.Claim{VM: "ip-0a000002", Fence: 9}}, true},
		{"the same VM under a new fence", group.Leader{VM: "ip-0a000001", Claim: lead.Claim{VM: "ip-0a000001", Fence: 9}}, true},
	} {
		if got := supersedes(c.current, leader); got != c.want {
			t.Errorf("%s: supersedes %v, want %v", c.name, got, c.want)
		}
	}
}
