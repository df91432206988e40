package fleet

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/routes"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/worker"
)

func knowledge(id vm.ID, domain vm.FailureDomain) *Knowledge {
	return NewKnowledge(vm.Presence{VM: id, FailureDomain: domain, Incarnation: 1, Callers: true}, zap.NewNop())
}

func announcement(id worker.ID, sequence uint64, domain vm.FailureDomain) worker.Announcement {
	return worker.Announcement{Worker: id, Incarnation: 1, Sequence: sequence, Service: "s", Address: "10.0.0.1:1", FailureDomain: domain}
}

// TestNeighbourTellsAll: a process that starts learns table, VMs and the workers
// of its failure domain from one answer, and what is not new changes nothing.
func TestNeighbourTellsAll(t *testing.T) {
	now := time.Unix(1000, 0)
	old := knowledge("ip-01", "a")
	old.AdoptTable(&routes.Table{Version: 7}, "")
	old.ObserveVM(now, vm.Presence{VM: "ip-03", FailureDomain: "a", Incarnation: 4}, 0)
	old.ObserveWorker(now, announcement("w1", 1, "a"), 0)
	old.ObserveWorker(now, announcement("w2", 1, "b"), 0)
	fresh := knowledge("ip-02", "a")
	n, pressing := old.since(now.Add(time.Second), syncRequest{Self: fresh.Self()})
	if !pressing {
		t.Error("it is not told at once")
	}
	fresh.merge(now.Add(time.Second), n)
	if got := fresh.Table(); got == nil || got.Version != 7 {
		t.Errorf("table %+v", got)
	}
	if got := fresh.VMs(func(vm.Present) bool { return true }); len(got) != 2 {
		t.Errorf("VMs %+v", got)
	}
	workers, _ := fresh.Workers("a", 0)
	if len(workers) != 1 || workers[0].Worker != "w1" || !workers[0].At.Equal(now) {
		t.Errorf("workers %+v", workers)
	}
	again, pressing := old.since(now.Add(time.Second), syncRequest{Self: fresh.Self(), Version: 7, Of: 1, VMs: n.VMCursor, Workers: n.WorkerCount})
	if pressing || again.Table != nil || len(again.VMs)+len(again.Workers) != 0 {
		t.Errorf("what is known is told again: %+v", again)
	}
}

// TestTableNeverGoesBack in one life of a process, whoever tells it.
func TestTableNeverGoesBack(t *testing.T) {
	k := knowledge("ip-01", "a")
	for _, c := range []struct{ version, want routes.Version }{{3, 3}, {2, 3}, {3, 3}, {9, 9}, {4, 9}} {
		k.AdoptTable(&routes.Table{Version: c.version}, "")
		if got := k.Table().Version; got != c.want {
			t.Errorf("after %d: %d, want %d", c.version, got, c.want)
		}
	}
}

// TestSpareGroup: jobs go to a group with room that reported a moment ago, and
// not to their own.
func TestSpareGroup(t *testing.T) {
	now := time.Unix(1000, 0)
	k := knowledge("ip-01", "a")
	for _, r := range []pool.Report{
		{FailureDomain: "a", VM: "ip-01", Fence: 1, FreePlaces: 40},
		{FailureDomain: "b", VM: "ip-02", Fence: 1, FreePlaces: 12},
		{FailureDomain: "c", VM: "ip-03", Fence: 1, FreePlaces: 3},
	} {
		k.recordReport(now, r)
	}
	if r, ok := k.SelectSpareGroup(now.Add(time.Second), 0); !ok || r.FailureDomain != "b" {
		t.Errorf("%+v, %v", r, ok)
	}
	k.recordReport(now.Add(time.Second), pool.Report{FailureDomain: "b", VM: "ip-04", Fence: 0, FreePlaces: 30})
	if r, _ := k.SelectSpareGroup(now.Add(time.Second), 0); r.VM != "ip-02" {
		t.Errorf("a report under an older fence counts: %+v", r)
	}
	if r, ok := k.SelectSpareGroup(now.Add(2*time.Second), 0); ok {
		t.Errorf("an old report counts: %+v", r)
	}
}

// TestDivisionOutlivesARestartOfAll: a control VM that starts with its disk tells
// how the workers of each failure domain were divided (issue 12).
func TestDivisionOutlivesARestartOfAll(t *testing.T) {
	now := time.Unix(1000, 0)
	path := filepath.Join(t.TempDir(), "divisions.json")
	ctx, stop := context.WithCancel(t.Context())
	control := knowledge("ip-01", "a")
	done := make(chan struct{})
	go func() {
		defer close(done)
		control.PersistDivisions(ctx, path)
	}()
	entry := knowledge("ip-02", "b")
	entry.SetDivision("b", lead.Division{Epoch: 7, Groups: 4})
	control.answer(canceled(), syncRequest{Self: entry.Self(), Division: entry.Division("b")})
	for begun := time.Now(); time.Since(begun) < 10*rememberEvery; time.Sleep(20 * time.Millisecond) {
		if _, err := os.Stat(path); err == nil {
			break
		}
	}
	stop()
	<-done

	again := knowledge("ip-01", "a")
	again.loadDivisions(path)
	fresh := knowledge("ip-02", "b")
	n, pressing := again.since(now, syncRequest{Self: fresh.Self()})
	fresh.merge(now, n)
	if d := fresh.Division("b"); !pressing || d.Epoch != 7 || d.Groups != 4 {
		t.Errorf("the VM that starts learns %+v, at once: %v", d, pressing)
	}
	fresh.SetDivision("b", lead.Division{Epoch: 6, Groups: 2})
	if d := fresh.Division("b"); d.Epoch != 7 {
		t.Errorf("an older division counts: %+v", d)
	}
}

func canceled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// TestFarewellOfAnEarlierLife: a control VM that knows of a worker's last life only, which
// deregistered, does not end the life that another one told of (issue 17).
func TestFarewellOfAnEarlierLife(t *testing.T) {
	now := time.Unix(1000, 0)
	behind, entry := knowledge("ip-01", "a"), knowledge("ip-02", "a")
	behind.ObserveWorker(now, announcement("w", 1, "a"), 0)
	behind.DeregisterWorker("w", 0)
	again := announcement("w", 1, "a")
	again.Incarnation = 2
	entry.ObserveWorker(now.Add(time.Second), again, 0)
	n, _ := behind.since(now.Add(2*time.Second), syncRequest{Self: entry.Self()})
	entry.merge(now.Add(2*time.Second), n)
	again.Sequence = 2
	entry.ObserveWorker(now.Add(2*time.Second), again, 0)
	workers, _ := entry.Workers("a", 0)
	if len(workers) != 1 || workers[0].Incarnation != 2 || !workers[0].Usable(now.Add(2*time.Second)) {
		t.Errorf("after news of the life before, the worker is known as %+v", workers)
	}
}
