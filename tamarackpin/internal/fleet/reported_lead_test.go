package fleet

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/peer"
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

// TestNewLeadIsReportedAtOnce: a VM that took over told control VMs only after their replies to the calls that were open, up to
// 0.8 s later.
func TestNewLeadIsReportedAtOnce(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	received := make(chan syncRequest, 10)
	var x peer.Mux
	peer.Handle(&x, methodSync, func(ctx context.Context, _ vm.ID, req syncRequest) (syncReply, error) {
		received <- req
		if req.Wait > 0 {
			<-ctx.Done()
		}
		return syncReply{}, ctx.Err()
	})
	var loops sync.WaitGroup
	loops.Go(func() {
		server := peer.Server{Self: "ip-0a000001", Mux: &x, Log: zap.NewNop(), Known: func(vm.ID) bool { return true }}
		_ = server.Serve(ctx, l)
	})
	k := knowledge("ip-0a000002", "a")
	s := &Syncer{Knowledge: k, Log: zap.NewNop(), Mesh: &peer.Mesh{
		Self: "ip-0a000002", Recorder: &report.Recorder{}, Address: func(vm.ID) (string, bool) { return l.Addr().String(), true },
	}}
	s.SetSeeds([]vm.ID{"ip-0a000001"})
	loops.Go(func() { s.Run(ctx) })
	t.Cleanup(func() {
		stop()
		s.Mesh.Close()
		loops.Wait()
	})
	<-received
	k.SetReports([]pool.Report{{FailureDomain: "a", VM: "ip-0a000002", Fence: 7}})
	select {
	case req := <-received:
		if len(req.Reports) != 1 || req.Reports[0].Fence != 7 || req.Wait != 0 {
			t.Errorf("the next request is %+v, want the report of the new lead and a reply at once", req)
		}
	case <-time.After(defaultSyncWait):
		t.Fatal("the control VM has not been told of the lead before a reply to the earlier call")
	}
	<-received // with the delay of a leader
	k.SetReports([]pool.Report{{FailureDomain: "a", VM: "ip-0a000002", Fence: 7, FreeSlots: 3}})
	select {
	case req := <-received:
		t.Errorf("a report under the same fence ended a call: %+v", req)
	case <-time.After(leaderSyncWait / 2):
	}
}
