package fleet

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/worker"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// TestContactCountsOnceWorkersAreKnown: package group takes the workers for complete once a control VM has
// replied. A tick between the contact and the merge of its reply counted on workers that were not known.
func TestContactCountsOnceWorkersAreKnown(t *testing.T) {
	control := NewKnowledge(vm.Presence{VM: "ip-0a000001", FailureDomain: "a", Incarnation: 1, Control: true}, zap.NewNop())
	var x peer.Mux
	control.Serve(&x)
	control.ObserveWorker(time.Now(), worker.Announcement{Worker: "w", Incarnation: 1, Sequence: 1, Service: "s", Address: "10.0.0.9:1", FailureDomain: "a"}, 0, nil)
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
	control.mu.Lock() // delays the reply
	go func() {
		defer close(synced)
		s.syncLoop(ctx, "ip-0a000001")
	}()
	time.Sleep(200 * time.Millisecond)
	k.mu.Lock() // another goroutine has the Knowledge as the reply arrives
	control.mu.Unlock()
	time.Sleep(200 * time.Millisecond)
	contact, workers := s.LastContact(), 0
	for range k.registry.All {
		workers++
	}
	k.mu.Unlock()
	if !contact.IsZero() && workers == 0 {
		t.Error("the control VM counts as heard, although its reply was not merged yet")
	}
	for end := time.Now().Add(5 * time.Second); s.LastContact().IsZero(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the control VM was not heard")
		}
	}
	if !k.KnowsWorkers() {
		t.Error("the control VM counts as heard, and its worker is not known")
	}
}
