package group

import (
	"context"
	"testing"
	"time"

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
