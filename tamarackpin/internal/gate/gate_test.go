package gate

import (
	"context"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/routes"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/fleet"
	"tamarackpin.example/tamarackpin/internal/group"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// TestSlowLeaderKeepsItsJobs guards against withdrawing the jobs of a leader whose
// heartbeats are late (kartela-print-grown, scale-2): a gate cancels a forward only when
// another claim is known.
func TestSlowLeaderKeepsItsJobs(t *testing.T) {
	leader := group.Leader{VM: "ip-0a000001", Claim: lead.Claim{VM: "ip-0a000001", Fence: 7}}
	for _, c := range []struct {
		name    string
		current group.Leader
		want    bool
	}{
		{"the same", leader, false},
		{"no heartbeats", group.Leader{Claim: leader.Claim}, false},
		{"stepped down, no successor", group.Leader{Claim: lead.Claim{Fence: 7}}, false},
		{"another VM", group.Leader{VM: "ip-0a000002", Claim: lead.Claim{VM: "ip-0a000002", Fence: 9}}, true},
		{"the same VM under a new fence", group.Leader{VM: "ip-0a000001", Claim: lead.Claim{VM: "ip-0a000001", Fence: 9}}, true},
	} {
		if got := supersedes(c.current, leader); got != c.want {
			t.Errorf("%s: supersedes %v, want %v", c.name, got, c.want)
		}
	}
}

// TestJobThatDispatchersFailOnIsGivenUp guards against a job that is forwarded to one
// dispatcher after the other, each of which panics and steps down. The clock is that of the test: a pause of the
// process for over 0.5 s makes the only VM listen again before it leads, for longer than the job waits for a leader.
func TestJobThatDispatchersFailOnIsGivenUp(t *testing.T) {
	synctest.Test(t, testJobThatDispatchersFailOnIsGivenUp)
}

func testJobThatDispatchersFailOnIsGivenUp(t *testing.T) {
	k := fleet.NewKnowledge(vm.Presence{VM: "ip-0a000001", FailureDomain: "a", Incarnation: 1, Callers: true}, zap.NewNop())
	k.AdoptTable(&routes.Table{Version: 1}, "") // the evacuations are known with it
	var x peer.Mux
	g := group.New(time.Now().Add(-time.Minute), group.Config{Knowledge: k, Syncer: &fleet.Syncer{Knowledge: k, Log: zap.NewNop()}, Log: zap.NewNop()}, &x)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.Run(ctx)
	}()
	defer func() {
		stop()
		<-done
	}()
	for end := time.Now().Add(10 * time.Second); !g.HasLeader(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the only VM does not lead")
		}
	}
	gate := &Gate{Group: g, Knowledge: k, Log: zap.NewNop(), OnAnswer: func(routes.RowName, job.Outcome, time.Duration) {}}
	poison := job.Job{ID: "poison", Steps: []job.Step{{Count: 1, After: []int{5}}}}
	const wait = 20 * time.Second
	startedAt := time.Now()
	a := gate.Run(ctx, pool.Request{Job: poison, RemainingWait: wait})
	if took := time.Since(startedAt); a.Outcome != job.Abandoned || a.Reason != "dispatchers failed while they admitted it" || took > wait/2 {
		t.Errorf("answer %+v after %s, want abandoned after two dispatchers", a, took)
	}
	submittedAt := time.Now()
	again := gate.Run(ctx, pool.Request{Job: poison, RemainingWait: wait})
	if tookAgain := time.Since(submittedAt); !reflect.DeepEqual(again, a) || tookAgain > submittedAt.Sub(startedAt)/4 {
		t.Errorf("answer %+v after %s to the job when it is submitted again, want %+v at once", again, tookAgain, a)
	}
}

// TestUnreachableGroupKeepsItsJob: the group that may be running a job since an earlier try cannot be reached. The
// job goes to no other group, and is not answered as not run.
func TestUnreachableGroupKeepsItsJob(t *testing.T) {
	k := fleet.NewKnowledge(vm.Presence{VM: "ip-0a000001", FailureDomain: "a", Incarnation: 1, Callers: true}, zap.NewNop())
	var x peer.Mux
	m := &peer.Mesh{Self: "ip-0a000001", Recorder: &report.Recorder{}, Address: func(vm.ID) (string, bool) { return "", false }}
	defer m.Close()
	g := &Gate{Group: group.New(time.Now(), group.Config{Knowledge: k, Syncer: &fleet.Syncer{Knowledge: k, Log: zap.NewNop()}, Mesh: m, Log: zap.NewNop()}, &x), Knowledge: k, Log: zap.NewNop()}
	r := pool.Request{Job: job.Job{ID: "a"}, RemainingWait: time.Second}
	spare := pool.Report{FailureDomain: "a", Group: 1, VM: "ip-0a000002"}
	if a, ok := g.offload(t.Context(), time.Now(), false, spare, r); ok {
		t.Errorf("first try, which was not sent: answer %+v, want none", a)
	}
	if a, ok := g.offload(t.Context(), time.Now(), true, spare, r); !ok || a.Outcome != job.Abandoned {
		t.Errorf("later try, which was not sent: answer %+v, %v, want abandoned", a, ok)
	}
}
