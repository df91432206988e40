package group

import (
	"context"
	"testing"
	"time"

	"tamarackpin.example/internal/vm"
)

// TestGuestIsWithdrawnWithoutPings: a job of a gate that cannot be reached any
// more is withdrawn before its caller comes again, and not while pings arrive
// (issue 10; incident inc-9a18 of bunkerline).
func TestGuestIsWithdrawnWithoutPings(t *testing.T) {
	const comesAgain = 1300 * time.Millisecond
	g := &Group{pings: make(map[vm.ID]time.Time)}
	watched := func(ctx context.Context) chan time.Duration {
		ended := make(chan time.Duration, 1)
		begun := time.Now()
		go func() {
			g.watchGuest(ctx, "ip-0a000001")
			ended <- time.Since(begun)
		}()
		return ended
	}
	if took := <-watched(t.Context()); took > comesAgain {
		t.Errorf("without pings it is watched for %s", took)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := watched(ctx)
	for range 10 {
		time.Sleep(150 * time.Millisecond)
		if _, err := g.servePing(ctx, "ip-0a000001", struct{}{}); err != nil {
			t.Fatal(err)
		}
		select {
		case took := <-ended:
			t.Fatalf("given up after %s with pings", took)
		default:
		}
	}
	cancel()
	<-ended
}

// TestGateGivesUpBeforeTheGuestIsForgotten: the gate answers its caller no sooner
// than is safe: what the other group may still run ends before the caller's
// next try.
func TestGateGivesUpBeforeTheGuestIsForgotten(t *testing.T) {
	const comesAgain = 1300 * time.Millisecond
	gateKnows := time.Duration(pingsLost) * pingTimeout
	if guestAfter+pingEvery > gateKnows+comesAgain-200*time.Millisecond {
		t.Errorf("a guest may run until %s after the cut, its caller comes again after %s", guestAfter+pingEvery, gateKnows+comesAgain)
	}
}
