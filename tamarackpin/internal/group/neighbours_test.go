package group

import (
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// TestNeighboursWithoutControlVMsLackWorkers: two VMs lose all control VMs, one 0.5 s after the other. Each
// fetched the workers from the other when its own news was too old, and took the time of the fetch for that of
// the news, so that both counted on knowing all workers for as long as the loss lasted.
func TestNeighboursWithoutControlVMsLackWorkers(t *testing.T) {
	addresses := make(map[vm.ID]string)
	var groups []*Group
	now := time.Now()
	for _, id := range []vm.ID{"ip-0a000001", "ip-0a000002"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses[id] = l.Addr().String()
		m := &peer.Mesh{Self: id, Recorder: &report.Recorder{}, Address: func(id vm.ID) (string, bool) { return addresses[id], true }}
		g, _, x := newTestGroup(id, now.Add(-time.Minute), m)
		groups = append(groups, g)
		done := make(chan struct{})
		go func() {
			defer close(done)
			server := peer.Server{Self: id, Mux: x, Log: zap.NewNop(), Known: func(vm.ID) bool { return true }}
			_ = server.Serve(t.Context(), l)
		}()
		t.Cleanup(func() {
			m.Close()
			<-done
		})
	}
	groups[0].config.Syncer.RecordContact(now)
	groups[1].config.Syncer.RecordContact(now.Add(-500 * time.Millisecond))
	for time.Since(now) < 4*maxWorkerNewsAge {
		time.Sleep(150 * time.Millisecond) // an exchange of heartbeats, as of a leader
		groups[0].receiveHeartbeat(t.Context(), groups[1].heartbeat(groups[0].self.VM))
		groups[1].receiveHeartbeat(t.Context(), groups[0].heartbeat(groups[1].self.VM))
	}
	for i, g := range groups {
		if at := time.Now(); !g.workersIncomplete(at) {
			t.Errorf("%s after the last reply of a control VM, VM %d counts on knowing all workers", at.Sub(now), i)
		}
	}
}
