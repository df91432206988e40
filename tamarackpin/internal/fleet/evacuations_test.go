package fleet

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/evacuation"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wire"
)

// evacuations returns a set with one order, committed at a time.
func evacuations(r evacuation.Revision, evacuated bool, since time.Time) evacuation.Set {
	return evacuation.Set{}.With(evacuation.Domain{FailureDomain: "b", Revision: r, Evacuated: evacuated, Since: since})
}

// TestEvacuationsInSyncReplies: the reply is urgent if the requester lacks an order, carries its age, and repeats nothing that is known.
func TestEvacuationsInSyncReplies(t *testing.T) {
	now := time.Unix(1000, 0)
	control, entry := knowledge("ip-01", "a"), knowledge("ip-02", "b")
	first, _ := control.changesSince(now, syncRequest{Self: entry.Self()})
	known := syncRequest{Self: entry.Self(), CursorIncarnation: 1, VMCursor: first.VMCursor, WorkerCursor: first.WorkerCursor}
	control.SetEvacuations(evacuations(3, true, now.Add(-2*time.Second)))
	reply, urgent := control.changesSince(now, known)
	if !urgent || len(reply.Evacuations) != 1 {
		t.Fatalf("urgent %t, %+v", urgent, reply.Evacuations)
	}
	const transit = time.Hour // of clocks that differ
	entry.merge(now.Add(transit), reply)
	if got := entry.Evacuations(); !got.Contains("b") || got.Age(now.Add(transit+time.Second), "b") != 3*time.Second {
		t.Errorf("evacuated %t, for %s", got.Contains("b"), got.Age(now.Add(transit+time.Second), "b"))
	}
	known.Evacuations = entry.Evacuations().Revision()
	if reply, urgent := control.changesSince(now, known); urgent || reply.Evacuations != nil {
		t.Errorf("known evacuations are sent again: %+v, urgent %t", reply.Evacuations, urgent)
	}
}

// TestEvacuationsWakePendingSyncCalls: an order reaches a VM with a pending call at once, not at the end of the wait.
func TestEvacuationsWakePendingSyncCalls(t *testing.T) {
	control := NewKnowledge(vm.Presence{VM: "ip-01", FailureDomain: "a", Incarnation: 1, Control: true}, zap.NewNop())
	entry := knowledge("ip-02", "b")
	req := syncRequest{Self: entry.Self(), CursorIncarnation: 1, Wait: wire.Duration(defaultSyncWait)}
	first := control.answer(canceled(), req)
	req.VMCursor, req.WorkerCursor = first.VMCursor, first.WorkerCursor
	answered := make(chan time.Duration, 1)
	startedAt := time.Now()
	go func() {
		reply := control.answer(context.Background(), req)
		if len(reply.Evacuations) != 1 {
			t.Errorf("the reply has %+v", reply.Evacuations)
		}
		answered <- time.Since(startedAt)
	}()
	time.Sleep(20 * time.Millisecond)
	control.SetEvacuations(evacuations(1, true, time.Now()))
	if took := <-answered; took > defaultSyncWait/2 {
		t.Errorf("the reply took %s", took)
	}
}

// TestNewestEvacuationIsInForce: replies of control VMs that are behind arrive late, and neither withdraw nor renew an evacuation.
func TestNewestEvacuationIsInForce(t *testing.T) {
	now := time.Now()
	k := knowledge("ip-01", "a")
	changed := k.Changed()
	for _, c := range []struct {
		revision  evacuation.Revision
		evacuated bool
		want      bool
		wantAge   time.Duration
	}{
		{2, true, true, 2 * time.Second},
		{1, false, true, 2 * time.Second},
		{2, true, true, 2 * time.Second},
		{5, false, false, 5 * time.Second},
		{4, true, false, 5 * time.Second},
	} {
		k.SetEvacuations(evacuations(c.revision, c.evacuated, now.Add(-time.Duration(c.revision)*time.Second)))
		if got := k.Evacuations(); got.Contains("b") != c.want || got.Age(now, "b") != c.wantAge {
			t.Errorf("after revision %d: evacuated %t for %s, want %t for %s", c.revision, got.Contains("b"), got.Age(now, "b"), c.want, c.wantAge)
		}
	}
	select {
	case <-changed:
	default:
		t.Error("an order does not count as a change")
	}
	changed = k.Changed()
	k.SetEvacuations(evacuations(5, false, now))
	select {
	case <-changed:
		t.Error("a known order counts as a change")
	default:
	}
}

// TestEarlierBuildsReadSyncRequests: they refuse calls with fields that they don't know, so a VM that knows no order sends none, and
// no request to a neighbour has it.
func TestEarlierBuildsReadSyncRequests(t *testing.T) {
	b, err := json.Marshal(syncRequest{Self: knowledge("ip-01", "a").Self()})
	if err != nil || strings.Contains(string(b), "evacuations") {
		t.Errorf("%s, %v", b, err)
	}
}

// TestKnownFailureDomains: those of this VM, of other VMs and workers, and those with an order.
func TestKnownFailureDomains(t *testing.T) {
	now := time.Unix(1000, 0)
	k := knowledge("ip-01", "a")
	k.SetEvacuations(evacuations(1, false, now))
	k.ObserveVM(now, vm.Presence{VM: "ip-02", FailureDomain: "c", Incarnation: 1}, 0)
	k.ObserveWorker(now, announcement("w1", 1, "d"), 0, nil)
	for d, want := range map[vm.FailureDomain]bool{"a": true, "b": true, "c": true, "d": true, "e": false, "": false} {
		if k.KnowsFailureDomain(d) != want {
			t.Errorf("failure domain %q known: %t", d, !want)
		}
	}
}
