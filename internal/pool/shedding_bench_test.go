package pool

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkOverload measures one decision on who is served, by a dispatcher of 30 workers with
// 300 pending jobs, of which two thirds would be late.
func BenchmarkOverload(b *testing.B) {
	h := &harness{now: time.Unix(1000, 0)}
	h.pool = New(h.now, Config{Fence: 1, LeaseMax: time.Second, StopMax: 50 * time.Millisecond})
	for i := range 30 {
		h.announce(fmt.Sprint("w", i), 1)
	}
	for _, o := range h.ordersOfKind(RenewOrder) {
		h.reply(o, Reply{Done: true})
	}
	for i := range 300 {
		r := request(fmt.Sprint("j", i), 1+i%3, time.Second)
		r.RemainingWait, r.Latency = time.Hour, 3*time.Second
		h.pool.Submit(h.now, r)
	}
	for b.Loop() {
		h.pool.shedLoad(h.now)
	}
	b.ReportMetric(float64(len(h.pool.jobs)), "jobs")
}
