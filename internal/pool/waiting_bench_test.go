package pool

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkWaitingJobs measures the handling of one reply and of one tick with 32
// busy workers and a varying number of waiting jobs.
func BenchmarkWaitingJobs(b *testing.B) {
	for _, jobs := range []int{0, 20, 200} {
		h := &harness{now: time.Unix(1000, 0)}
		h.pool = New(h.now, Config{Fence: 1, LeaseMax: time.Second, StopMax: 50 * time.Millisecond})
		for i := range 32 {
			h.announce(fmt.Sprint("w", i), 1)
		}
		for _, o := range h.ordersOfKind(RenewOrder) {
			h.reply(o, Reply{Done: true})
		}
		for i := range 32 + jobs {
			r := request(fmt.Sprint("j", i), 2, time.Second)
			r.RemainingWait, r.Latency = time.Hour, time.Hour
			h.pool.Submit(h.now, r)
		}
		for _, o := range h.ordersOfKind(StartOrder) {
			h.reply(o, Reply{Done: true})
		}
		renewal := h.ordersOfKind(RenewOrder)[0]
		b.Run(fmt.Sprint("reply,", jobs, "jobs"), func(b *testing.B) {
			for b.Loop() {
				h.reply(renewal, Reply{Done: true, Running: []RunningTask{}})
				h.pool.TakePending()
			}
		})
		b.Run(fmt.Sprint("tick,", jobs, "jobs"), func(b *testing.B) {
			for b.Loop() {
				h.pool.Tick(h.now)
				h.pool.TakePending()
			}
		})
	}
}

// BenchmarkRush measures the admission of a job while many wait, as in a rush that exceeds
// the capacity of the group, one a millisecond. Each admission is withdrawn again.
func BenchmarkRush(b *testing.B) {
	for _, jobs := range []int{0, 20, 200, 1000} {
		b.Run(fmt.Sprint(jobs, "jobs"), func(b *testing.B) {
			h := &harness{now: time.Unix(1000, 0)}
			h.pool = New(h.now, Config{Fence: 1, LeaseMax: time.Second, StopMax: 50 * time.Millisecond})
			for i := range 40 {
				h.announce(fmt.Sprint("w", i), 1)
			}
			for _, o := range h.ordersOfKind(RenewOrder) {
				h.reply(o, Reply{Done: true})
			}
			for i := range 40 + jobs {
				r := request(fmt.Sprint("j", i), 2, time.Second)
				r.RemainingWait, r.Latency = time.Hour, time.Hour
				h.pool.Submit(h.now, r)
			}
			h.pool.TakePending()
			n := 0
			for b.Loop() {
				n++
				h.now = h.now.Add(time.Millisecond)
				r := request(fmt.Sprint("rush", n), 4, time.Second)
				r.RemainingWait, r.Latency = time.Hour, time.Hour
				h.pool.Withdraw(h.now, h.pool.Submit(h.now, r))
				h.pool.TakePending()
			}
		})
	}
}
