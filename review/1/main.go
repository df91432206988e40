// Command handover stops the dispatcher of a zone gracefully while a task runs, and loses the
// answers to the second and the third call that the next dispatcher makes to the task's
// runner.
package main

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	standin "tamarackpin.example/review"
)

const (
	work     = 1200 // ms of work of the task
	deadline = 3 * time.Second
	settle   = 5 * time.Second        // more than ContactMs after the start of the runners
	termAt   = 300 * time.Millisecond // after the start of the task
	attempts = 3                      // jobs, with a handover each
)

type run struct {
	runner string
	run    int
}

func main() { os.Exit(play()) }

func play() int {
	record := standin.NewRecord(os.Args[1])
	d := standin.New(record, 2, 1, 1)
	defer d.Close()
	record.OnFail(func() { d.Close() })

	var mu sync.Mutex
	running := map[string][]run{}
	host := map[string]*standin.Runner{} // of the first run of a task
	twice := 0
	var lossFor *standin.Runner // whose answer is lost next
	var seenFence int64         // of the dispatcher that is stopped
	lastFence := map[*standin.Runner]int64{}
	var calls, lost int
	for _, z := range []string{"a", "b", "c"} {
		for i := range 3 {
			r := d.NewRunner(fmt.Sprintf("i-%s%d", z, i), z, "desk", "a", "r1-1")
			r.OnStart = func(r *standin.Runner, s standin.Start) {
				mu.Lock()
				defer mu.Unlock()
				for _, o := range running[s.Task] {
					twice++
					record.Printf("TWICE: %s run %d starts on %s while run %d runs on %s", s.Task, s.Run, r.ID, o.run, o.runner)
				}
				running[s.Task] = append(running[s.Task], run{r.ID, s.Run})
				if host[s.Task] == nil {
					host[s.Task] = r
				}
			}
			r.OnEnd = func(r *standin.Runner, task string, n int, _ string) {
				mu.Lock()
				defer mu.Unlock()
				running[task] = slices.DeleteFunc(running[task], func(o run) bool { return o.runner == r.ID && o.run == n })
			}
			r.Fate = func(path string, fence int64) (bool, time.Duration) {
				mu.Lock()
				defer mu.Unlock()
				if r != lossFor || fence <= seenFence {
					lastFence[r] = max(lastFence[r], fence)
					return false, 0
				}
				if calls++; calls == 1 {
					return false, 0
				}
				if calls == 3 {
					lossFor = nil
				}
				lost++
				record.Printf("runner %s: the answer to call %d of the new dispatcher (%s) is lost", r.ID, calls, path)
				return true, 0
			}
			defer r.Crash()
			go func() {
				time.Sleep(time.Second)
				r.Begin()
			}()
		}
	}
	d.StartAll()
	route := standin.Route{Name: "r-1", Host: "nony24.example", PathPrefix: "/lohu930/", Kind: "non_idempotent", TimeoutMs: 3000, TargetLatencyMs: 60, Service: "desk", MaxAttempts: 2, Stretch: 1.6}
	if !d.ReplaceAny(d.Cores, standin.NewConfig(1, "desk", true, route), 15*time.Second) {
		record.Fail("the first configuration was not acknowledged")
	}
	for attempt := range attempts {
		time.Sleep(settle)
		// The dispatcher of the zone is the VM with the lowest address first; after each
		// handover it is the other one.
		dispatcher := d.Fronts[attempt%2]
		id := standin.NewID()
		task := id + ".0.0.0"
		var clients sync.WaitGroup
		var a standin.Answer
		clients.Go(func() {
			job := standin.Job{Spec: fmt.Sprintf("work %d cpu 6800", work), BestEffort: true, Phases: []standin.Phase{{Count: 1, Cpu: 6800, MemMb: 64, EstimateMs: work}}}
			a = d.Submit(dispatcher, route, id, job, deadline)
		})
		var first *standin.Runner
		for end := time.Now().Add(2 * time.Second); first == nil; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				record.Fail("the job was not started")
			}
			mu.Lock()
			first = host[task]
			mu.Unlock()
		}
		if standin.Trouble() {
			mu.Lock()
			lossFor, seenFence, calls = first, lastFence[first], 0
			mu.Unlock()
		}
		time.Sleep(termAt)
		record.Printf("SIGTERM to %s", dispatcher.Name)
		dispatcher.Signal(syscall.SIGTERM)
		clients.Wait()
		dispatcher.Wait(standin.GraceS * time.Second)
		dispatcher.Kill()
		dispatcher.Start(false, false)
		record.Printf("job %s: status %d", id, a.Status)
	}
	mu.Lock()
	defer mu.Unlock()
	return record.Verdict(twice > 0, "%d planned handovers, %d lost answers: %d times a task was started while another run of it was going on", attempts, lost, twice)
}
