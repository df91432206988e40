package pool

import (
	"testing"
	"time"
)

// TestOffloadNamesItsGroup guards against two gates that wait for one job and offload it to two groups: the answer names
// the group that is recorded, and says that it is the choice of the request.
func TestOffloadNamesItsGroup(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.Submit(h.now, request("ahead", 2, 10*time.Second)) // takes all the room
	first, second := Destination{FailureDomain: "b", VM: "ip-0a000003"}, Destination{FailureDomain: "c", VM: "ip-0a000004"}
	r := request("a", 1, 100*time.Millisecond)
	r.CanOffload, r.OffloadTo = true, first
	h.pool.Submit(h.now, r)
	_, answers := h.takePending()
	if len(answers) != 1 || !answers[0].TryElsewhere || answers[0].OffloadTo != first || !answers[0].Offered {
		t.Fatalf("answers %+v, want the job to be offloaded to %+v, as the request chose", answers, first)
	}
	r.OffloadTo = second
	h.pool.Submit(h.now, r)
	if _, answers = h.takePending(); len(answers) != 1 || answers[0].OffloadTo != first || answers[0].Offered {
		t.Errorf("answers %+v to another gate, want it redirected to %+v", answers, first)
	}
}

// TestStaleRefusalKeepsOffload guards against a gate that reports the refusal of one group after another gate has offloaded the
// job to the next group: the job would start here, or be refused as not run, while it runs there.
func TestStaleRefusalKeepsOffload(t *testing.T) {
	first, second := Destination{FailureDomain: "b", VM: "ip-0a000003"}, Destination{FailureDomain: "c", VM: "ip-0a000004"}
	for _, c := range []struct {
		name      string
		refusedBy Destination
		redirects bool
	}{
		{"of the group before", first, true},
		{"of the present group", second, false},
		{"of a gate of an earlier build", Destination{}, false},
	} {
		h := newHarness(t, 1)
		h.pool.Submit(h.now, request("ahead", 2, 10*time.Second)) // takes all the room
		r := request("a", 1, 100*time.Millisecond)
		r.CanOffload, r.OffloadTo = true, second
		h.pool.Submit(h.now, r)
		h.takePending()
		r.CanOffload, r.OffloadTo, r.OffloadRefused, r.RefusedBy = false, Destination{}, true, c.refusedBy
		h.pool.Submit(h.now, r)
		_, answers := h.takePending()
		if got := len(answers) == 1 && answers[0].OffloadTo == second; got != c.redirects {
			t.Errorf("a refusal %s: answers %+v, want the job redirected: %t", c.name, answers, c.redirects)
		}
	}
}
