package fleet

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// TestSyncNowDoesNotWaitForPendingReply guards against a takeover that waits for its workers until a control VM without news
// replies to the pending call.
func TestSyncNowDoesNotWaitForPendingReply(t *testing.T) {
	control := NewKnowledge(vm.Presence{VM: "ip-0a000001", FailureDomain: "a", Incarnation: 1, Control: true}, zap.NewNop())
	var x peer.Mux
	control.Serve(&x)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	served, synced := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(served)
		server := peer.Server{Self: "ip-0a000001", Mux: &x, Log: zap.NewNop(), Known: func(vm.ID) bool { return true }}
		_ = server.Serve(ctx, l)
	}()
	m := &peer.Mesh{Self: "ip-0a000002", Recorder: &report.Recorder{}, Address: func(vm.ID) (string, bool) { return l.Addr().String(), true }}
	k := NewKnowledge(vm.Presence{VM: "ip-0a000002", FailureDomain: "a", Incarnation: 1, Callers: true}, zap.NewNop())
	s := &Syncer{Knowledge: k, Mesh: m, Log: zap.NewNop()}
	s.SetSeeds([]vm.ID{"ip-0a000001"})
	defer func() {
		cancel()
		m.Close()
		<-synced
		<-served
	}()
	go func() {
		defer close(synced)
		s.syncLoop(ctx, "ip-0a000001")
	}()
	for end := time.Now().Add(5 * time.Second); s.KnownAt().IsZero(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the control VM was not heard")
		}
	}
	for i := range 20 {
		time.Sleep(time.Duration(i) * time.Millisecond) // a call at any moment of the loop
		asked := time.Now()
		s.SyncNow()
		for s.KnownAt().Before(asked) {
			if time.Since(asked) > defaultSyncWait/2 {
				t.Fatalf("%s after call %d of SyncNow, the newest news is %s old", time.Since(asked), i, time.Since(s.KnownAt()))
			}
			time.Sleep(time.Millisecond)
		}
	}
}
