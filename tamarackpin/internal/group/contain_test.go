package group

import (
	"context"
	"testing"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/pool"
)

// TestPanicStepsDown: a panic in the goroutine that owns all decisions ends neither the
// process nor that goroutine. The VM steps down from what it leads, since the state cannot
// be trusted, and goes on.
func TestPanicStepsDown(t *testing.T) {
	g, _ := newLeadingGroup(t)
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
	if err := g.ring.Put(ctx, func(*Group, time.Time) { panic("index out of range") }); err != nil {
		t.Fatal(err)
	}
	leads := make(chan bool, 1)
	if err := g.ring.Put(ctx, func(g *Group, _ time.Time) { leads <- g.groups[0].pool != nil }); err != nil {
		t.Fatal(err)
	}
	select {
	case still := <-leads:
		if still {
			t.Error("the VM still leads with a state that cannot be trusted")
		}
	case <-time.After(5 * time.Second):
		t.Fatal("no command is run any more")
	}
}

// TestPanicOfAnOrderIsAMissingReply: an order whose reply cannot be handled counts as one
// that may have been carried out.
func TestPanicOfAnOrderIsAMissingReply(t *testing.T) {
	g, _ := newLeadingGroup(t)
	g.config.Call = func(context.Context, pool.Order) pool.Reply { panic("index out of range") }
	if r := g.call(t.Context(), pool.Order{Kind: pool.StartOrder, Fence: lead.Fence(1)}); r.Done || r.Refusal != "" {
		t.Errorf("reply %+v, want none", r)
	}
}

// TestJobThatPanicsIsReported guards against a job that costs one leadership after the
// other: its gate is told that the dispatcher failed, and does not wait for another one to
// forward it to, again and again.
func TestJobThatPanicsIsReported(t *testing.T) {
	g, _ := newLeadingGroup(t)
	poison := pool.Request{Job: job.Job{ID: "poison", Steps: []job.Step{{Count: 1, After: []int{5}}}}, RemainingWait: time.Minute}
	result := make(chan ForwardResult, 1)
	go func() { result <- g.Forward(t.Context(), time.Now(), Leader{VM: g.self.VM}, 1, poison) }()
	g.waitForCommands(t, 1)
	g.contain("a command", <-g.ring.Out()) // without a tick before, at which a leader that was paused steps down
	select {
	case r := <-result:
		if !r.DispatcherFailed || r.Answered {
			t.Errorf("result %+v, want a failed dispatcher", r)
		}
	case <-time.After(time.Second):
		t.Error("the gate still waits for a dispatcher that has stepped down")
	}
	if g.groups[0].pool != nil {
		t.Error("the VM still leads with a state that cannot be trusted")
	}
}
