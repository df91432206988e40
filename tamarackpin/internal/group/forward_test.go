package group

import (
	"context"
	"testing"
	"time"

	"tamarackpin.example/internal/vm"
)

// TestOffloadedJobIsWithdrawnWithoutPings: a job of a gate that cannot be reached any
// more is withdrawn before its caller retries, and not while pings arrive
// (issue 10; incident inc-9a18 of bunkerline).
func TestOffloadedJobIsWithdrawnWithoutPings(t *testing.T) {
	const callerRetryDelay = 1300 * time.Millisecond
	g := &Group{lastPings: make(map[vm.ID]time.Time)}
	watch := func(ctx context.Context) chan time.Duration {
		ended := make(chan time.Duration, 1)
		startedAt := time.Now()
		go func() {
			g.watchPings(ctx, "ip-0a000001")
			ended <- time.Since(startedAt)
		}()
		return ended
	}
	if took := <-watch(t.Context()); took > callerRetryDelay {
		t.Errorf("without pings it is watched for %s", took)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := watch(ctx)
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

// TestOffloadedJobEndsBeforeCallerRetries: the gate answers its caller no sooner
// than is safe: what the other group may still run ends before the caller's
// next try.
func TestOffloadedJobEndsBeforeCallerRetries(t *testing.T) {
	const callerRetryDelay = 1300 * time.Millisecond
	gateGivesUpAfter := time.Duration(maxLostPings) * pingTimeout
	if maxPingGap+pingInterval > gateGivesUpAfter+callerRetryDelay-200*time.Millisecond {
		t.Errorf("an offloaded job may run until %s after the cut, its caller retries after %s", maxPingGap+pingInterval, gateGivesUpAfter+callerRetryDelay)
	}
}
