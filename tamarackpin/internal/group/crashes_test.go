package group

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/crash"
	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// twoVMs returns the groups of a leading VM of failure domain a and of another VM of the
// given one, which serves the first one's calls.
func twoVMs(t *testing.T, d vm.FailureDomain) (leading, other *Group) {
	other, _, x := newTestGroup("ip-0a000002", time.Now().Add(-time.Minute), nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &peer.Server{Self: "ip-0a000002", Mux: x, Log: zap.NewNop(), Known: func(vm.ID) bool { return true }}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ctx, l)
	}()
	m := &peer.Mesh{Self: "ip-0a000001", Recorder: &report.Recorder{}, FailuresToRedial: 2, Address: func(vm.ID) (string, bool) { return l.Addr().String(), true }}
	t.Cleanup(func() {
		m.Close()
		stop()
		<-done
	})
	leading, _ = newLeadingGroup(t)
	leading.config.Mesh = m
	other.self.FailureDomain = d
	leading.config.Knowledge.ObserveVM(time.Now(), other.self, 0)
	return leading, other
}

// recordTwoCrashes records that two workers crashed under a task, and sends what follows.
func recordTwoCrashes(t *testing.T, g *Group, task job.Task) {
	now := time.Now()
	g.crashes.Add(now, crash.Record{Task: task, Worker: "w1", Incarnation: 1, Evidence: crash.Refused})
	g.crashes.Add(now, crash.Record{Task: task, Worker: "w2", Incarnation: 1, Evidence: crash.Refused})
	g.applyDecisions(t.Context(), now)
}

// TestCrashesAreKnownToTheSuccessor guards against a dispatcher that starts the tasks of
// its predecessor's jobs as if they had crashed nothing.
func TestCrashesAreKnownToTheSuccessor(t *testing.T) {
	leading, other := twoVMs(t, "a")
	task := job.Task{Job: "deadly"}
	recordTwoCrashes(t, leading, task)
	other.waitForCommands(t, 1)
	other.runNext(t)
	if v := other.crashes.Verdict(task); v != crash.Deadly {
		t.Errorf("verdict %d, want %d", v, crash.Deadly)
	}
}

// TestRestartedVMLearnsCrashes: a VM that was down at the time of a crash may be the next
// dispatcher.
func TestRestartedVMLearnsCrashes(t *testing.T) {
	leading, other := twoVMs(t, "a")
	task := job.Task{Job: "deadly"}
	recordTwoCrashes(t, leading, task)
	other.waitForCommands(t, 1)
	other.runNext(t)
	other.crashes = crash.Log{} // restarted
	hb := other.heartbeat(leading.self.VM)
	hb.Self.Incarnation++
	leading.applyHeartbeat(time.Now(), hb)
	leading.applyDecisions(t.Context(), time.Now())
	other.waitForCommands(t, 1)
	other.runNext(t)
	if v := other.crashes.Verdict(task); v != crash.Deadly {
		t.Errorf("verdict %d, want %d", v, crash.Deadly)
	}
}

// TestTaskGivenUpIsKnownInOtherFailureDomains: the caller of a job that is given up submits
// it again, and may reach a VM of another failure domain. There a task that was lost with
// one worker only begins anew.
func TestTaskGivenUpIsKnownInOtherFailureDomains(t *testing.T) {
	leading, other := twoVMs(t, "b")
	deadly, suspect := job.Task{Job: "deadly"}, job.Task{Job: "suspect"}
	leading.crashes.Add(time.Now(), crash.Record{Task: suspect, Worker: "w1", Incarnation: 1, Evidence: crash.Refused})
	leading.crashes.Add(time.Now(), crash.Record{Task: deadly, Worker: "w1", Incarnation: 1, Evidence: crash.Refused})
	leading.applyDecisions(t.Context(), time.Now())
	leading.crashes.Add(time.Now(), crash.Record{Task: deadly, Worker: "w2", Incarnation: 1, Evidence: crash.Refused})
	leading.applyDecisions(t.Context(), time.Now())
	other.waitForCommands(t, 1)
	other.runNext(t)
	if v := other.crashes.Verdict(deadly); v != crash.Deadly {
		t.Errorf("verdict %d on the task that is given up, want %d", v, crash.Deadly)
	}
	if v := other.crashes.Verdict(suspect); v != crash.Clear {
		t.Errorf("verdict %d on the other task, want %d", v, crash.Clear)
	}
}
