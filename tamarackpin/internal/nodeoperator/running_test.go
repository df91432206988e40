package nodeoperator

import (
	"context"
	"net"
	"testing"

	"go.uber.org/zap"

	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// TestAskRunning guards against the two sides of the call between VMs that differ, and against an entry VM of an earlier build,
// which lacks the method, that counts as one without tasks.
func TestAskRunning(t *testing.T) {
	var current, earlier peer.Mux
	ServeRunning(&current, func() int { return 4 })
	addresses := make(map[vm.ID]string)
	for id, x := range map[vm.ID]*peer.Mux{"current": &current, "earlier": &earlier} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses[id] = l.Addr().String()
		s := &peer.Server{Self: id, Mux: x, Log: zap.NewNop(), Known: func(vm.ID) bool { return true }}
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = s.Serve(ctx, l)
		}()
		t.Cleanup(func() {
			stop()
			<-done
		})
	}
	m := &peer.Mesh{Self: "asker", Address: func(id vm.ID) (string, bool) { a, ok := addresses[id]; return a, ok }, Recorder: &report.Recorder{}}
	t.Cleanup(m.Close)
	ctx, cancel := context.WithTimeout(t.Context(), runningTimeout)
	defer cancel()
	if n, err := AskRunning(ctx, m, "current"); n != 4 || err != nil {
		t.Errorf("%d tasks, %v, want 4", n, err)
	}
	if n, err := AskRunning(ctx, m, "earlier"); err == nil {
		t.Errorf("a VM without the method answered %d", n)
	}
	if n, err := AskRunning(ctx, m, "unknown"); err == nil {
		t.Errorf("an unknown VM answered %d", n)
	}
}
