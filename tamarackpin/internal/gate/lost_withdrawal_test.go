package gate

import (
	"context"
	"testing"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/worker"
)

// callerRetryDelay is how long after the end of its connection a caller submits its job again, anywhere.
const callerRetryDelay = 1300 * time.Millisecond

// TestLostWithdrawalEndsTheRun: the withdrawal of a job whose caller had left was lost with a connection that had gone silent,
// and the dispatcher kept the job running on the heartbeats of the gate's next connection, beside the caller's next try.
func TestLostWithdrawalEndsTheRun(t *testing.T) {
	h := newHandover(t)
	leader := h.awaitLeader(t)
	time.Sleep(1600 * time.Millisecond) // until it knows that no earlier dispatcher has runs
	h.announce("w1")
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		h.gates[(leader+1)%3].Run(ctx, pool.Request{
			Job: job.Job{ID: "left", Steps: []job.Step{{Count: 1, Need: worker.Resources{MilliCores: 1000}, Estimate: 10 * time.Second}}},
			Row: "row", Service: "s", Stretch: 20, Latency: 60 * time.Millisecond, RemainingWait: 20 * time.Second,
		})
	}()
	select {
	case <-h.starts:
	case <-time.After(2 * time.Second):
		t.Fatal("the job was not started")
	}
	time.Sleep(300 * time.Millisecond)
	h.proxies[leader].silence()
	leftAt := time.Now()
	leave()
	<-answered
	time.Sleep(time.Until(leftAt.Add(callerRetryDelay)))
	for time.Since(leftAt) < 2*callerRetryDelay {
		if h.isRunning(time.Now(), "left") {
			t.Fatalf("the job is running %s after its caller left", time.Since(leftAt))
		}
		time.Sleep(5 * time.Millisecond)
	}
}
