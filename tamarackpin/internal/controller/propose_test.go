package controller

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/control"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/settings"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// TestChangeWithoutLeaderIsRefused guards against an unsure outcome of a change that no
// leader took in: the member that is asked answers each time that it does not lead, and
// the time ran out during the last of these calls (issue 10).
func TestChangeWithoutLeaderIsRefused(t *testing.T) {
	t.Parallel()
	const answerTime = 700 * time.Millisecond // the calls of a proposal end at 0.7, 1.45, 2.2, 2.95, 3.7, 4.45 and 5.2 s
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var member peer.Mux
	peer.Handle(&member, methodPropose, func(context.Context, vm.ID, proposal) (reply, error) {
		time.Sleep(answerTime)
		return reply{}, nil
	})
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		s := &peer.Server{Self: "vm0", Mux: &member, Log: zap.NewNop(), Known: func(vm.ID) bool { return true }}
		_ = s.Serve(ctx, l)
	}()
	mesh := &peer.Mesh{Self: "vm1", Recorder: &report.Recorder{}, Address: func(vm.ID) (string, bool) { return l.Addr().String(), true }}
	t.Cleanup(func() {
		mesh.Close()
		stop()
		<-served
	})
	file := fmt.Sprintf(`{"vm":"vm1","failure_domain":"durban-a",
		"callers":{"address":"127.0.0.1:1"},"targets":{"address":"127.0.0.1:2"},
		"operators":{"address":"127.0.0.1:3","credential":"credential-of-the-tests"},
		"vms":[{"vm":"vm0","failure_domain":"durban-a","peer_address":%q,"control":true},
			{"vm":"vm1","failure_domain":"durban-a","peer_address":"127.0.0.1:4"}]}`, l.Addr())
	s, err := settings.Parse([]byte(file))
	if err != nil {
		t.Fatal(err)
	}
	k, err := New(Config{
		Settings: s, Mesh: mesh, Log: zap.NewNop(), View: func(*control.View) {},
		Living: func() []vm.State { return []vm.State{{Heartbeat: vm.Heartbeat{VM: "vm0"}}} },
	}, &peer.Mux{})
	if err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	_, refusal := k.Propose(t.Context(), control.Command{})
	if refusal == nil || refusal.Code != code.TableUnavailable {
		t.Errorf("a change that no member leads to a decision: %v after %s, want %s", refusal, time.Since(begun), code.TableUnavailable)
	}
}
