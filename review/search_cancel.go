//go:build ignore

// Command cancel cancels a job while its first step runs.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	standin "tamarackpin.example/review"
)

const (
	firstStep   = 5000 // ms of work
	secondStep  = 300  // ms of work
	deadline    = 12 * time.Second
	cancelAfter = 500 * time.Millisecond // from the start of the first task to the cancel
	cancelMs    = 3000 * time.Millisecond
)

func main() { os.Exit(run()) }

func run() int {
	record := standin.NewRecord(os.Args[1])
	d := standin.New(record, 2, 1, 1)
	defer d.Close()
	record.OnFail(func() { d.Close() })
	d.StartAll()
	time.Sleep(time.Second)
	id := standin.NewID()
	var mu sync.Mutex
	var starts []standin.Start
	for _, z := range []string{"a", "b", "c"} {
		for i := range 2 {
			r := d.NewRunner(fmt.Sprintf("i-%s%d", z, i), z, "desk", "a", "r1-1")
			r.OnStart = func(_ *standin.Runner, s standin.Start) {
				mu.Lock()
				defer mu.Unlock()
				starts = append(starts, s)
			}
			r.Begin()
		}
	}
	route := standin.Route{Name: "r-1", Host: "nony24.example", PathPrefix: "/lohu930/", Kind: "non_idempotent", TimeoutMs: 12000, TargetLatencyMs: 9000, Service: "desk", MaxAttempts: 2, Stretch: 1.6}
	if !d.ReplaceAny(d.Cores, standin.NewConfig(1, "desk", true, route), 15*time.Second) {
		record.Fail("the first configuration was not acknowledged")
	}
	time.Sleep(5 * time.Second)
	count := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(starts)
	}
	var clients sync.WaitGroup
	var a standin.Answer
	clients.Go(func() {
		job := standin.Job{Spec: fmt.Sprintf("work %d,%d cpu 4000", firstStep, secondStep), BestEffort: true, Phases: []standin.Phase{
			{Count: 1, Cpu: 4000, MemMb: 64, EstimateMs: firstStep}, {Count: 3, Cpu: 4000, MemMb: 64, EstimateMs: secondStep, DependsOn: []int{0}},
		}}
		a = d.Submit(d.Fronts[0], route, id, job, deadline)
	})
	for end := time.Now().Add(3 * time.Second); count() == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			record.Fail("the job was not started")
		}
	}
	time.Sleep(cancelAfter)
	var cancelledAt time.Time
	if standin.Trouble() {
		c := d.Delete(d.Fronts[0], route, id)
		if c.Status/100 != 2 && c.Status != 410 {
			record.Printf("the cancel was not acknowledged")
		} else {
			cancelledAt = time.Now()
		}
	}
	clients.Wait()
	late := 0
	for _, s := range starts {
		if !cancelledAt.IsZero() && s.At.Sub(cancelledAt) > cancelMs {
			late++
			record.Printf("UNASKED: %s run %d was started %d ms after the cancel was acknowledged", s.Task, s.Run, s.At.Sub(cancelledAt).Milliseconds())
		}
	}
	return record.Verdict(late > 0, "%d tasks of the job were started, %d of them later than %d ms after its cancel was acknowledged; the client got %d %s", len(starts), late, cancelMs.Milliseconds(), a.Status, a.Body)
}
