package fleet

import (
	"testing"
	"time"

	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/vm"
)

// TestLeadIsReportedToItsFailureDomain: control VMs passed on the report of an undivided group to other failure
// domains only, and an earlier leader that no peer reached did not learn of its successor.
func TestLeadIsReportedToItsFailureDomain(t *testing.T) {
	now := time.Unix(1000, 0)
	want := lead.Claim{Fence: 7, VM: "ip-03", Incarnation: 4}
	r := pool.Report{FailureDomain: "a", VM: want.VM, Incarnation: want.Incarnation, Fence: want.Fence}
	reported := func(self vm.ID, r pool.Report, epoch lead.Fence) lead.ReportedLead {
		control, entry := knowledge("ip-01", "z"), knowledge(self, "a")
		control.recordReport(now.Add(-time.Second), r)
		reply, _ := control.changesSince(now, syncRequest{Self: entry.Self()})
		entry.merge(now, reply)
		return entry.ReportedLead(r.Group, epoch)
	}
	if got := reported("ip-02", r, 0); got.Claim != want || !got.MadeAt.Equal(now.Add(-time.Second)) {
		t.Errorf("the lead is known as %+v, want %+v, reported 1 s ago", got, want)
	}
	divided, old := r, r
	divided.Group, divided.Epoch, old.Incarnation = 1, 5, 0
	if got := reported("ip-02", divided, 5); got.Claim != want {
		t.Errorf("the lead of a divided group is known as %+v, want %+v", got, want)
	}
	for name, got := range map[string]lead.ReportedLead{
		"of another division": reported("ip-02", divided, 6),
		"of this VM":          reported("ip-03", r, 0),
		"of a build that does not tell its incarnation": reported("ip-02", old, 0),
	} {
		if got != (lead.ReportedLead{}) {
			t.Errorf("a report %s counts: %+v", name, got)
		}
	}
}
