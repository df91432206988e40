package settings

import (
	"slices"
	"strings"
	"testing"
	"time"

	"tamarackpin.example/internal/vm"
)

// leastNode is a settings file of a VM without optional settings, to which a test adds some.
const leastNode = `{"name": "n", "ip": "10.0.0.1", "failure_domain": "a", "control": "10.0.0.1:1", "data_folder": "d", "peer_port": 1, "metrics_port": 2,
	"seeds": ["10.0.0.1:1"], "lease_max": "1s", "stop_max": "50ms", "shutdown_limit": "6s"`

// TestSettingsOfEvacuations: a platform without failure domains and a bound in its settings is served, and faults in the
// list are found.
func TestSettingsOfEvacuations(t *testing.T) {
	for _, c := range []struct {
		added   string
		domains []vm.FailureDomain
		bound   time.Duration
		fault   string
	}{
		{"", nil, 0, ""},
		{`, "failure_domains": []`, nil, 0, ""},
		{`, "failure_domains": ["a", "b-2"], "evacuation_bound": "5000ms"`, []vm.FailureDomain{"a", "b-2"}, 5 * time.Second, ""},
		{`, "failure_domains": ["a", "B C"]`, nil, 0, "failure_domains[1]"},
		{`, "failure_domains": ["a", 7]`, nil, 0, "failure_domains[1]"},
		{`, "evacuation_bound": "5000"`, nil, 0, "evacuation_bound"},
	} {
		var n Node
		err := parse([]byte(leastNode+c.added+"}"), &n)
		if c.fault != "" {
			if err == nil || !strings.Contains(err.Error(), c.fault) {
				t.Errorf("%s: %v, want a fault of %s", c.added, err, c.fault)
			}
			continue
		}
		if err != nil || !slices.Equal(n.FailureDomains, c.domains) || n.EvacuationBound.Std() != c.bound {
			t.Errorf("%s: failure domains %v, bound %s, %v", c.added, n.FailureDomains, n.EvacuationBound, err)
		}
	}
}
