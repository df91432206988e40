package ledger

import (
	"fmt"
	"runtime"
	"testing"

	"tamarackpin.example/internal/code"
)

// BenchmarkRetained measures the memory of finished submissions without their
// answers, by how many are retained.
func BenchmarkRetained(b *testing.B) {
	for _, count := range []int{10_000, 30_000, 100_000} {
		b.Run(fmt.Sprint(count, "submissions"), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				l := &Ledger{}
				for n := range count {
					for _, r := range []Record{
						opened(n+1, 10),
						{Kind: Started, Sequence: sequence(n + 1), Count: 10},
						{Kind: Ended, Sequence: sequence(n + 1), Count: 10, Code: code.OK},
						{Kind: Finished, Sequence: sequence(n + 1), Code: code.OK},
					} {
						if err := l.Apply(start, r); err != nil {
							b.Fatal(err)
						}
					}
				}
				b.ReportMetric(float64(heap()-before)/float64(count), "bytes/submission")
				runtime.KeepAlive(l)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
