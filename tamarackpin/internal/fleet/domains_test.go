package fleet

import (
	"maps"
	"testing"
	"time"

	"tamarackpin.example/internal/evacuation"
	"tamarackpin.example/internal/vm"
)

// TestFailureDomainsWithoutWorkers guards against a failure domain that operators are not shown, and take for open, because
// none of its workers can be given tasks.
func TestFailureDomainsWithoutWorkers(t *testing.T) {
	now := time.Unix(1000, 0)
	k := knowledge("ip-01", "own")
	k.ObserveVM(now, vm.Presence{VM: "ip-02", FailureDomain: "only-vm", Incarnation: 1}, 0)
	k.ObserveWorker(now, announcement("w1", 1, "a"), 0, nil)
	k.ObserveWorker(now, announcement("w2", 1, "a"), 0, nil)
	leaving := announcement("w3", 1, "leaving")
	leaving.Leaving = true
	k.ObserveWorker(now, leaving, 0, nil)
	k.SetEvacuations(evacuation.Set{}.With(evacuation.Domain{FailureDomain: "lost", Revision: 1, Evacuated: true, Since: now}))
	want := map[vm.FailureDomain]int{"own": 0, "only-vm": 0, "a": 2, "leaving": 0, "lost": 0}
	if got := k.CountUsableWorkers(now); !maps.Equal(got, want) {
		t.Errorf("workers %v, want %v", got, want)
	}
}
