package pool

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkCrowd measures one reply of a worker and one tick while so many jobs wait
// for 32 workers that are busy.
func BenchmarkCrowd(b *testing.B) {
	for _, jobs := range []int{0, 20, 200} {
		t := &bench{now: time.Unix(1000, 0)}
		t.pool = New(t.now, Config{Fence: 1, LeaseMax: time.Second, StopMax: 50 * time.Millisecond})
		for i := range 32 {
			t.announce(fmt.Sprint("w", i), 1)
		}
		for _, o := range t.orders(RenewOrder) {
			t.reply(o, Reply{Done: true})
		}
		for i := range 32 + jobs {
			r := request(fmt.Sprint("j", i), 2, time.Second)
			r.RemainingWait, r.Latency = time.Hour, time.Hour
			t.pool.Submit(t.now, r)
		}
		for _, o := range t.orders(StartOrder) {
			t.reply(o, Reply{Done: true})
		}
		hold := t.orders(RenewOrder)[0]
		b.Run(fmt.Sprint("reply,", jobs, "jobs"), func(b *testing.B) {
			for b.Loop() {
				t.reply(hold, Reply{Done: true, Running: []RunningTask{}})
				t.pool.TakePending()
			}
		})
		b.Run(fmt.Sprint("tick,", jobs, "jobs"), func(b *testing.B) {
			for b.Loop() {
				t.pool.Tick(t.now)
				t.pool.TakePending()
			}
		})
	}
}
