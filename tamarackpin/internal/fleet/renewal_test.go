package fleet

import (
	"testing"
	"time"

	"tamarackpin.example/internal/vm"
)

// TestVMThatControlVMsHearIsNotForgotten: an entry VM hears those of other failure domains only through control VMs,
// which sent a VM once and no more while nothing but the time of its last heartbeat changed. After 90 s it was forgotten,
// and a cancel no longer reached its jobs.
func TestVMThatControlVMsHearIsNotForgotten(t *testing.T) {
	start := time.Unix(1000, 0)
	control, entry := knowledge("ip-01", "a"), knowledge("ip-02", "a")
	other := vm.Presence{VM: "ip-03", FailureDomain: "b", Incarnation: 4, Callers: true}
	req := syncRequest{Self: entry.Self()}
	known := func() bool { return len(entry.VMs(func(p vm.Present) bool { return p.VM == other.VM })) == 1 }
	received, urgentReplies := 0, 0
	sync := func(now time.Time) {
		reply, urgent := control.changesSince(now, req)
		if received += len(reply.VMs); urgent {
			urgentReplies++
		}
		entry.merge(now, reply)
		req.CursorIncarnation, req.VMCursor, req.WorkerCursor = reply.Self.Incarnation, reply.VMCursor, reply.WorkerCursor
		entry.Prune(now)
	}
	const heard = 5 * time.Minute
	for at := time.Duration(0); at <= heard; at += time.Second {
		now := start.Add(at)
		control.ObserveVM(now, other, 0)
		if sync(now); !known() {
			t.Fatalf("a VM that a control VM heard just now was forgotten after %s", at)
		}
	}
	if received > 11 || urgentReplies != 1 {
		t.Errorf("the VM was sent %d times in %s, %d times urgently; want a renewal every 30 s, and only the first urgently", received, heard, urgentReplies)
	}
	end := heard
	for ; known(); end += time.Second {
		if sync(start.Add(end)); end > heard+5*time.Minute {
			t.Fatal("a VM that is not heard any more is not forgotten")
		}
	}
	if silent := end - heard; silent < time.Minute || silent > 2*time.Minute {
		t.Errorf("a VM was forgotten %s after a control VM last heard it", silent)
	}
}
