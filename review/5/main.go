// Command born adds a runner, lets the time of day of its machine jump back by two seconds,
// crashes it and starts it again under its id, and has it drain seconds later. TROUBLE=crash
// leaves out the jump.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	standin "tamarackpin.example/review"
)

const (
	step     = 2000 * time.Millisecond // of the time of day, back
	crashAt  = 700 * time.Millisecond  // after the first start
	downFor  = 500 * time.Millisecond
	drainAt  = 4 * time.Second // after the second start; more than ContactMs
	drainMs  = 2000 * time.Millisecond
	watch    = 5 * time.Second // after DrainMs
	jobEvery = 40 * time.Millisecond
	deadline = 1500 * time.Millisecond
)

func main() { os.Exit(run()) }

func run() int {
	record := standin.NewRecord(os.Args[1])
	d := standin.New(record, 2, 1, 1)
	defer d.Close()
	record.OnFail(func() { d.Close() })
	var mu sync.Mutex
	var acked time.Time
	var late []time.Duration
	before := 0
	added := d.NewRunner("i-added", "a", "desk", "a", "r1-1")
	added.OnStart = func(_ *standin.Runner, s standin.Start) {
		mu.Lock()
		defer mu.Unlock()
		since := time.Since(acked)
		switch {
		case acked.IsZero():
			before++
		case since > drainMs:
			late = append(late, since)
			record.Printf("DRAIN: %s starts on i-added %d ms after its draining was acknowledged", s.Task, since.Milliseconds())
		}
	}
	added.OnDrain = func(*standin.Runner) {
		mu.Lock()
		defer mu.Unlock()
		if acked.IsZero() {
			acked = time.Now()
		}
	}
	d.StartAll()
	time.Sleep(time.Second)
	for _, z := range []string{"a", "b", "c"} {
		for i := range 2 {
			d.NewRunner(fmt.Sprintf("i-%s%d", z, i), z, "desk", "a", "r1-1").Begin()
		}
	}
	route := standin.Route{Name: "r-1", Host: "nony24.example", PathPrefix: "/lohu930/", Kind: "non_idempotent", TimeoutMs: 1500, TargetLatencyMs: 60, Service: "desk", MaxAttempts: 2, Stretch: 1.6}
	if !d.ReplaceAny(d.Cores, standin.NewConfig(1, "desk", true, route), 15*time.Second) {
		record.Fail("the first configuration was not acknowledged")
	}
	time.Sleep(4 * time.Second)
	done := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(jobEvery):
			}
			clients.Go(func() {
				job := standin.Job{Spec: "work 200 cpu 6800", BestEffort: true, Phases: []standin.Phase{{Count: 1, Cpu: 6800, MemMb: 64, EstimateMs: 200}}}
				d.Submit(d.Fronts[i%2], route, standin.NewID(), job, deadline)
			})
		}
	})
	added.Begin()
	time.Sleep(crashAt)
	if standin.Trouble() {
		added.Crash()
		time.Sleep(downFor)
		if os.Getenv("TROUBLE") != "crash" {
			record.Printf("the time of day on the machine of i-added has jumped back by %v", step)
			added.ClockAhead = -step
		}
		added.Begin()
	}
	time.Sleep(drainAt)
	added.Drain()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		mu.Lock()
		is := !acked.IsZero()
		mu.Unlock()
		if is {
			break
		}
		if time.Now().After(end) {
			record.Fail("the draining was not acknowledged")
		}
	}
	time.Sleep(drainMs + watch)
	close(done)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	if before == 0 {
		record.Fail("no task was started on the added runner")
	}
	return record.Verdict(len(late) > 0, "%d tasks were started on the added runner before its draining was acknowledged, %d later than %d ms after that", before, len(late), drainMs.Milliseconds())
}
