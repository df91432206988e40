package load

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Times of the balancer.
const (
	probeEvery   = 200 * time.Millisecond
	probeTimeout = 500 * time.Millisecond
)

// balancer stands in for the platform's balancer: it sends callers only to
// entry VMs whose last probe said ready. The zero balancer takes all for ready.
type balancer struct {
	mu   sync.Mutex // guards away
	away map[string]bool
}

// watch probes the entry VMs until ctx is done.
func (b *balancer) watch(ctx context.Context, client *http.Client, entries []string) {
	for ctx.Err() == nil {
		for _, e := range entries {
			go b.probe(ctx, client, e)
		}
		select {
		case <-ctx.Done():
		case <-time.After(probeEvery):
		}
	}
}

func (b *balancer) probe(ctx context.Context, client *http.Client, entry string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	ready := false
	if req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/ready", nil); err == nil {
		if resp, err := client.Do(req); err == nil {
			ready = resp.StatusCode == http.StatusOK
			_ = resp.Body.Close()
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.away == nil {
		b.away = make(map[string]bool)
	}
	b.away[entry] = !ready
}

// pick returns the entry VM n, or the next one that is ready.
func (b *balancer) pick(entries []string, n int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range entries {
		if e := entries[(n+i)%len(entries)]; !b.away[e] {
			return e
		}
	}
	return entries[n%len(entries)]
}
