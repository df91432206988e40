package server

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/control"
	"tamarackpin.example/internal/quorum"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/settings"
	"tamarackpin.example/internal/table"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// TestViewOfAnotherVMDoesNotMakeReady guards against an entry VM without a data folder
// that restarts beside an entry VM it can reach, while no leader can be: the view of the
// other may be older than the one that was in force here before the restart
// (docs/OPERATORS.md, the table about cut-off failure domains).
func TestViewOfAnotherVMDoesNotMakeReady(t *testing.T) {
	t.Parallel()
	const (
		index    quorum.Index = 7
		observed              = 8 * time.Second // beyond the time in which a leader is looked for
	)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	type request struct {
		Index   quorum.Index  `json:"index"`
		Version table.Version `json:"version"`
	}
	var other peer.Mux
	peer.Handle(&other, "control.fetch", func(context.Context, vm.ID, request) (control.Update, error) {
		return (&control.View{Index: index, Table: &table.Snapshot{}}).Whole(), nil
	})
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		s := &peer.Server{Self: "vm0", Mux: &other, Log: zap.NewNop(), Known: func(vm.ID) bool { return true }}
		_ = s.Serve(ctx, l)
	}()
	self, operators := fmt.Sprint("127.0.0.1:", freePort(t)), fmt.Sprint("127.0.0.1:", freePort(t))
	mesh := &peer.Mesh{Self: "vm0", Recorder: &report.Recorder{}, Address: func(vm.ID) (string, bool) { return self, true }}
	file := fmt.Sprintf(`{"vm":"vm1","failure_domain":"durban-a","shutdown_notice":"0s",
		"callers":{"address":%q},"targets":{"address":%q},
		"operators":{"address":%q,"credential":%q},"ledgers_per_failure_domain":1,
		"vms":[{"vm":"vm0","failure_domain":"durban-a","peer_address":%q,"control":true},
			{"vm":"vm1","failure_domain":"durban-a","peer_address":%q}]}`,
		"127.0.0.1:"+strconv.Itoa(freePort(t)), "127.0.0.1:"+strconv.Itoa(freePort(t)), operators, credential, l.Addr(), self)
	s, err := settings.Parse([]byte(file))
	if err != nil {
		t.Fatal(err)
	}
	v, err := New(s, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	ended := make(chan error, 1)
	go func() { ended <- v.Run(ctx) }()
	t.Cleanup(func() {
		mesh.Close()
		stop()
		<-ended
		<-served
	})
	a := &alone{addresses: map[string]string{"operators": operators}}
	a.await(t, "the view of vm0 is in force at vm1", func() bool {
		_ = mesh.Notify(ctx, "vm1", report.UseControl, "control.changed", map[string]quorum.Index{"index": index})
		return v.view().Index == index
	})
	for time.Since(begun) < observed {
		if status, _ := a.try(http.MethodGet, "operators", "/ready", ""); status == http.StatusOK {
			t.Fatalf("vm1 is ready after %s, with a view that the quorum did not confirm", time.Since(begun))
		}
		time.Sleep(20 * time.Millisecond)
	}
}
