package fleet

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"tamarackpin.example/internal/evacuation"
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

// TestFullSyncFromNeighbour: a process that starts gets the table, the VMs and the
// workers of its failure domain in one reply; a second reply repeats none of it.
func TestFullSyncFromNeighbour(t *testing.T) {
	now := time.Unix(1000, 0)
	old := knowledge("ip-01", "a")
	old.AdoptTable(&routes.Table{Version: 7}, "")
	old.ObserveVM(now, vm.Presence{VM: "ip-03", FailureDomain: "a", Incarnation: 4}, 0)
	old.ObserveWorker(now, announcement("w1", 1, "a"), 0, nil)
	old.ObserveWorker(now, announcement("w2", 1, "b"), 0, nil)
	fresh := knowledge("ip-02", "a")
	reply, urgent := old.changesSince(now.Add(time.Second), syncRequest{Self: fresh.Self()})
	if !urgent {
		t.Error("the first reply is not urgent")
	}
	fresh.merge(now.Add(time.Second), reply)
	if got := fresh.Table(); got == nil || got.Version != 7 {
		t.Errorf("table %+v", got)
	}
	if got := fresh.VMs(func(vm.Present) bool { return true }); len(got) != 2 {
		t.Errorf("VMs %+v", got)
	}
	workers, _ := fresh.Workers("a", 0)
	if len(workers) != 1 || workers[0].Worker != "w1" || !workers[0].AnnouncedAt.Equal(now) {
		t.Errorf("workers %+v", workers)
	}
	again, urgent := old.changesSince(now.Add(time.Second), syncRequest{Self: fresh.Self(), Version: 7, CursorIncarnation: 1, VMCursor: reply.VMCursor, WorkerCursor: reply.WorkerCursor})
	if urgent || again.Table != nil || len(again.VMs)+len(again.Workers) != 0 {
		t.Errorf("a second reply is urgent or repeats known state: %+v", again)
	}
}

// TestTableVersionNeverDecreases within one process, whichever VM sends the table.
func TestTableVersionNeverDecreases(t *testing.T) {
	k := knowledge("ip-01", "a")
	for _, c := range []struct{ version, want routes.Version }{{3, 3}, {2, 3}, {3, 3}, {9, 9}, {4, 9}} {
		k.AdoptTable(&routes.Table{Version: c.version}, "")
		if got := k.Table().Version; got != c.want {
			t.Errorf("after version %d: version %d is in force, want %d", c.version, got, c.want)
		}
	}
}

// TestSpareGroup: jobs are offloaded to groups with a recent report, and neither to their own
// group nor to an evacuated failure domain. Package offload tells which have enough free slots.
func TestSpareGroup(t *testing.T) {
	now := time.Unix(1000, 0)
	k := knowledge("ip-01", "a")
	for _, r := range []pool.Report{
		{FailureDomain: "a", VM: "ip-01", Fence: 1, FreeSlots: 40},
		{FailureDomain: "b", VM: "ip-02", Fence: 1, FreeSlots: 12},
		{FailureDomain: "c", VM: "ip-03", Fence: 1, FreeSlots: 3},
	} {
		k.recordReport(now, r)
	}
	if list := k.SpareGroups(now.Add(time.Second), 0); len(list) != 2 || list[0].FailureDomain != "b" || list[0].Local || !list[0].MadeAt.Equal(now) || !list[0].AcceptsOffload() || list[1].AcceptsOffload() {
		t.Errorf("spare groups %+v; want those of failure domains b, which accepts jobs, and c", list)
	}
	k.SetEvacuations(evacuation.Set{}.With(evacuation.Domain{FailureDomain: "c", Revision: 1, Evacuated: true}))
	k.recordReport(now.Add(time.Second), pool.Report{FailureDomain: "b", VM: "ip-04", Fence: 0, FreeSlots: 30})
	if list := k.SpareGroups(now.Add(time.Second), 0); len(list) != 1 || list[0].VM != "ip-02" {
		t.Errorf("a report under an older fence was used: %+v", list)
	}
	if list := k.SpareGroups(now.Add(2*time.Second), 0); len(list) != 0 {
		t.Errorf("an outdated report was used: %+v", list)
	}
}

// TestDivisionSurvivesFullRestart: a control VM that restarts with its disk returns
// the division of each failure domain (issue 12).
func TestDivisionSurvivesFullRestart(t *testing.T) {
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
	for startedAt := time.Now(); time.Since(startedAt) < 10*persistInterval; time.Sleep(20 * time.Millisecond) {
		if _, err := os.Stat(path); err == nil {
			break
		}
	}
	stop()
	<-done

	again := knowledge("ip-01", "a")
	again.loadDivisions(path)
	fresh := knowledge("ip-02", "b")
	reply, urgent := again.changesSince(now, syncRequest{Self: fresh.Self()})
	fresh.merge(now, reply)
	if d := fresh.Division("b"); !urgent || d.Epoch != 7 || d.Groups != 4 {
		t.Errorf("the starting VM received division %+v, urgent: %v", d, urgent)
	}
	fresh.SetDivision("b", lead.Division{Epoch: 6, Groups: 2})
	if d := fresh.Division("b"); d.Epoch != 7 {
		t.Errorf("an older division replaced the newer one: %+v", d)
	}
}

func canceled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// TestDeregistrationOfEarlierIncarnation: a control VM that knows only a worker's
// earlier, deregistered incarnation doesn't deregister the current one, which
// another VM reported (issue 17).
func TestDeregistrationOfEarlierIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	behind, entry := knowledge("ip-01", "a"), knowledge("ip-02", "a")
	behind.ObserveWorker(now, announcement("w", 1, "a"), 0, nil)
	behind.DeregisterWorker("w", 0)
	again := announcement("w", 1, "a")
	again.Incarnation = 2
	entry.ObserveWorker(now.Add(time.Second), again, 0, nil)
	reply, _ := behind.changesSince(now.Add(2*time.Second), syncRequest{Self: entry.Self()})
	entry.merge(now.Add(2*time.Second), reply)
	again.Sequence = 2
	entry.ObserveWorker(now.Add(2*time.Second), again, 0, nil)
	workers, _ := entry.Workers("a", 0)
	if len(workers) != 1 || workers[0].Incarnation != 2 || !workers[0].Usable(now.Add(2*time.Second)) {
		t.Errorf("after a reply about the earlier incarnation, the worker is recorded as %+v", workers)
	}
}

// TestOddWorkerOfAnotherVMIsFollowed guards against a control VM that passes on an announcement
// that is not a worker's, such as one of an older build: the entry VM recorded it, and took
// the worker's own announcements for older ones. The other workers in the reply hold.
func TestOddWorkerOfAnotherVMIsFollowed(t *testing.T) {
	now := time.Unix(1000, 0)
	core, logs := observer.New(zap.InfoLevel)
	entry := NewKnowledge(vm.Presence{VM: "ip-02", FailureDomain: "a", Incarnation: 1, Callers: true}, zap.New(core))
	seq, capacity, address, born := announcement("w1", ^uint64(0), "a"), announcement("w2", 2, "a"), announcement("w3", 2, "a"), announcement("w4", 2, "a")
	capacity.Capacity.MilliCores = 9e18
	address.Address = "10.0.0.1:99999"
	born.Incarnation = 1 << 62
	reply := syncReply{Self: vm.Presence{VM: "ip-01", Control: true}}
	for _, a := range []worker.Announcement{seq, capacity, address, born, announcement("w5", 2, "a")} {
		reply.Workers = append(reply.Workers, agedWorker{Announcement: a})
	}
	const repeats = 50
	for i := range repeats {
		entry.merge(now.Add(time.Duration(i)*time.Millisecond), reply)
	}
	if list, _ := entry.Workers("a", 0); len(list) != 1 || list[0].Worker != "w5" {
		t.Errorf("the VM knows %+v, want w5 only", list)
	}
	if n := logs.FilterMessage("worker refused").Len(); n != 1 {
		t.Errorf("%d lines on refused workers within %d ms, want 1", n, repeats)
	}
	now = now.Add(worker.AnnouncementTimeout)
	for _, id := range []worker.ID{"w1", "w2", "w3", "w4", "w5"} {
		entry.ObserveWorker(now, announcement(id, 3, "a"), 0, nil)
	}
	if n := entry.CountWorkers(now, "a"); n != 5 {
		t.Errorf("%d workers are usable after their own announcements, want 5", n)
	}
	gone := syncReply{Self: vm.Presence{VM: "ip-01", Control: true}}
	control := knowledge("ip-01", "a")
	control.ObserveWorker(now, announcement("w5", 3, "a"), 0, nil)
	control.DeregisterWorker("w5", 1)
	left, _ := control.Workers("a", 0)
	for _, r := range left {
		gone.Workers = append(gone.Workers, agedWorker{Announcement: r.Announcement, Deregistered: true})
	}
	entry.merge(now, gone)
	if n := entry.CountWorkers(now, "a"); n != 4 {
		t.Errorf("%d workers are usable after one deregistered, want 4", n)
	}
}
