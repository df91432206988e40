package group

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/evacuation"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// TestEvacuationsWithoutControlVMs: a VM that restarts, or missed an order, while no control VM is reachable learns of it from the heartbeats
// of a neighbour, whichever of the two calls, with the age that it has there.
func TestEvacuationsWithoutControlVMs(t *testing.T) {
	const age = 3 * time.Second
	for _, c := range []struct {
		name      string
		freshCall bool // the VM that lacks the order sends the heartbeats
		calls     int  // until it knows
	}{{"it calls", true, 1}, {"its neighbour calls", false, 2}} {
		t.Run(c.name, func(t *testing.T) {
			addresses := make(map[vm.ID]string)
			var groups []*Group
			for _, id := range []vm.ID{"ip-0a000001", "ip-0a000002"} {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				addresses[id] = l.Addr().String()
				m := &peer.Mesh{Self: id, Recorder: &report.Recorder{}, Address: func(id vm.ID) (string, bool) { return addresses[id], true }}
				g, _, x := newTestGroup(id, time.Now().Add(-time.Minute), m)
				groups = append(groups, g)
				ctx, stop := context.WithCancel(context.Background())
				done := make(chan struct{})
				go func() {
					defer close(done)
					server := peer.Server{Self: id, Mux: x, Log: zap.NewNop(), Known: func(vm.ID) bool { return true }}
					_ = server.Serve(ctx, l)
				}()
				t.Cleanup(func() {
					m.Close()
					stop()
					<-done
				})
			}
			knowing, fresh := groups[0], groups[1]
			knowing.config.Knowledge.SetEvacuations(evacuation.Set{}.With(evacuation.Domain{FailureDomain: "b", Revision: 4, Evacuated: true, Since: time.Now().Add(-age)}))
			caller, called := knowing, fresh
			if c.freshCall {
				caller, called = fresh, knowing
			}
			for range c.calls {
				if err := caller.sendHeartbeat(t.Context(), called.self.VM); err != nil {
					t.Fatal(err)
				}
			}
			set := fresh.config.Knowledge.Evacuations()
			if got := set.Age(time.Now(), "b"); !set.Contains("b") || set.Revision() != 4 || got < age || got > age+2*time.Second {
				t.Errorf("evacuated %t, revision %d, for %s", set.Contains("b"), set.Revision(), got)
			}
			for range 2 {
				if err := caller.sendHeartbeat(t.Context(), called.self.VM); err != nil {
					t.Fatal(err)
				}
			}
			if again := caller.evacuationsFor(time.Now(), called.self.VM); again.EvacuationRevision != 4 || again.Evacuations != nil {
				t.Errorf("a call does not tell the revision, or again all evacuations: %+v", again)
			}
		})
	}
}

// TestEarlierBuildsReadHeartbeats: a call to a process that is not known to read evacuations does not have them, as it would refuse the
// call.
func TestEarlierBuildsReadHeartbeats(t *testing.T) {
	g, k, _ := newTestGroup("ip-0a000001", time.Now(), &peer.Mesh{Self: "ip-0a000001"})
	k.SetEvacuations(evacuation.Set{}.With(evacuation.Domain{FailureDomain: "b", Revision: 4, Evacuated: true, Since: time.Now()}))
	hb := g.heartbeat("ip-0a000002")
	b, err := json.Marshal(hb)
	if err != nil || strings.Contains(string(b), "evacuat") {
		t.Errorf("%s, %v", b, err)
	}
}
