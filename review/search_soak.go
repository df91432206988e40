//go:build ignore

// Command soak disturbs a small deployment at random and looks for broken rules on jobs. It is
// a search, not a case: soak RECORD SEED SECONDS KINDS.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	standin "tamarackpin.example/review"
)

type run struct {
	runner string
	run    int
}

type jobSeen struct {
	starts   int
	statuses []int
	endedAt  time.Time
	steps    []int // tasks done by step
}

func main() {
	record := standin.NewRecord(os.Args[1])
	seed, _ := strconv.Atoi(os.Args[2])
	seconds, _ := strconv.Atoi(os.Args[3])
	kinds := strings.Split(os.Args[4], ",")
	has := func(k string) bool { return slices.Contains(kinds, k) }
	rng := rand.New(rand.NewPCG(uint64(seed), 1))
	d := standin.New(record, 3, 1, 1)
	defer d.Close()
	record.OnFail(func() { d.Close() })
	var mu sync.Mutex
	running := map[string][]run{}
	jobs := map[string]*jobSeen{}
	faults := map[string]int{}
	fault := func(rule, format string, args ...any) {
		faults[rule]++
		record.Printf("FAULT "+rule+" "+format, args...)
	}
	drainAcked := map[string]time.Time{}
	var runners []*standin.Runner
	for zi, z := range []string{"a", "b", "c"} {
		for i := range []int{6, 2, 2}[zi] {
			kind := []string{"a", "b"}[i%2]
			r := d.NewRunner(fmt.Sprintf("i-%s%d", z, i), z, "desk", kind, "r1-1")
			r.Guards = !has("unguarded")
			var fateMu sync.Mutex
			fate := rand.New(rand.NewPCG(uint64(seed), uint64(100+len(runners))))
			r.Fate = func(string, int64) (bool, time.Duration) {
				fateMu.Lock()
				defer fateMu.Unlock()
				if has("lost") && fate.Float64() < 0.1 {
					return true, 0
				}
				if has("late") && fate.Float64() < 0.055 {
					return false, 2*time.Second + time.Duration(fate.IntN(10000))*time.Millisecond
				}
				return false, 0
			}
			r.OnOver = func(r *standin.Runner, task string, used int) {
				mu.Lock()
				defer mu.Unlock()
				fault("LIMIT", "%s starts on %s, %d used of %d", task, r.ID, used, r.Cpu)
			}
			r.OnStart = func(r *standin.Runner, s standin.Start) {
				mu.Lock()
				defer mu.Unlock()
				id := s.Task[:16]
				j := jobs[id]
				if j == nil {
					fault("UNASKED", "%s on %s", s.Task, r.ID)
					return
				}
				j.starts++
				for _, o := range running[s.Task] {
					fault("TWICE", "%s run %d on %s while run %d runs on %s", s.Task, s.Run, r.ID, o.run, o.runner)
				}
				running[s.Task] = append(running[s.Task], run{r.ID, s.Run})
				step, _ := strconv.Atoi(strings.Split(s.Task, ".")[2])
				if step > 0 && len(j.steps) > step-1 && j.steps[step-1] < 2 {
					fault("ORDER", "%s starts on %s, %v done", s.Task, r.ID, j.steps)
				}
				if at := drainAcked[r.ID]; !at.IsZero() && time.Since(at) > 2*time.Second {
					fault("DRAIN", "%s on %s, %v after the acknowledgement", s.Task, r.ID, time.Since(at))
				}
				if n := len(slices.DeleteFunc(hosted(running, r.ID, id+".0."+strconv.Itoa(step)+"."), func(t string) bool { return t == s.Task })); strings.Contains(s.Spec, "apart") && n > 0 {
					fault("ROUTE", "%s on %s beside %d of its step", s.Task, r.ID, n)
				}
				if strings.HasPrefix(s.Spec, "label") && !slices.Contains(s.Labels, "a") {
					fault("ROUTE", "%s on %s with %v", s.Task, r.ID, s.Labels)
				}
			}
			r.OnEnd = func(r *standin.Runner, task string, n int, how string) {
				mu.Lock()
				defer mu.Unlock()
				running[task] = slices.DeleteFunc(running[task], func(o run) bool { return o.runner == r.ID && o.run == n })
				if j := jobs[task[:16]]; j != nil && how == "done" {
					step, _ := strconv.Atoi(strings.Split(task, ".")[2])
					j.steps[step]++
				}
			}
			r.OnDrain = func(r *standin.Runner) {
				mu.Lock()
				defer mu.Unlock()
				if drainAcked[r.ID].IsZero() {
					drainAcked[r.ID] = time.Now()
				}
			}
			runners = append(runners, r)
		}
	}
	crash := func(r *standin.Runner) {
		r.Crash()
		mu.Lock()
		for task, list := range running {
			running[task] = slices.DeleteFunc(list, func(o run) bool { return o.runner == r.ID })
		}
		mu.Unlock()
	}
	d.StartAll()
	time.Sleep(time.Second)
	for _, r := range runners {
		r.Begin()
	}
	route := standin.Route{Name: "r-1", Host: "nony24.example", PathPrefix: "/lohu930/", Kind: "non_idempotent", TimeoutMs: 3000, TargetLatencyMs: 400, Service: "desk", MaxAttempts: 2, Stretch: 2}
	if !d.ReplaceAny(d.Cores, standin.NewConfig(1, "desk", !has("unguarded"), route), 15*time.Second) {
		record.Fail("no configuration")
	}
	time.Sleep(4 * time.Second)
	done := make(chan struct{})
	var clients, troubles sync.WaitGroup
	answers := map[int]int{}
	clients.Go(func() {
		rng := rand.New(rand.NewPCG(uint64(seed), 2))
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Duration(20+rng.IntN(20)) * time.Millisecond):
			}
			id := standin.NewID()
			work := []int{60, 200, 900}[rng.IntN(3)]
			job := standin.Job{Spec: fmt.Sprintf("work %d cpu 6800", work), BestEffort: true, Phases: []standin.Phase{{Count: 2, Cpu: 6800, MemMb: 64, EstimateMs: work}}}
			if rng.IntN(3) == 0 {
				job.Phases = append(job.Phases, standin.Phase{Count: 2, Cpu: 6800, MemMb: 64, EstimateMs: work, DependsOn: []int{0}})
			}
			if rng.IntN(4) == 0 {
				job.Spec = "label " + job.Spec
				for i := range job.Phases {
					job.Phases[i].RequiredLabel = "a"
				}
			}
			if rng.IntN(4) == 0 {
				job.Spec += " apart"
				for i := range job.Phases {
					job.Phases[i].AntiAffinity = 1
				}
			}
			mu.Lock()
			j := &jobSeen{steps: make([]int, len(job.Phases))}
			jobs[id] = j
			mu.Unlock()
			first := rng.IntN(3)
			if rng.IntN(6) == 0 {
				first = 3 + rng.IntN(2)
			}
			clients.Go(func() {
				for try := range 3 {
					to := d.Fronts[first]
					if first < 3 {
						to = d.Fronts[(first+try)%3]
					}
					a := d.Submit(to, route, id, job, 3*time.Second)
					mu.Lock()
					j.statuses = append(j.statuses, a.Status)
					answers[a.Status]++
					mu.Unlock()
					if a.Status != 0 && a.Status != 504 {
						break
					}
					time.Sleep(1300 * time.Millisecond)
				}
				mu.Lock()
				j.endedAt = time.Now()
				mu.Unlock()
			})
		}
	})
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(500+rng.IntN(1500)) * time.Millisecond)
		k := kinds[rng.IntN(len(kinds))]
		v := d.Fronts[rng.IntN(3)]
		r := runners[rng.IntN(6)]
		switch k {
		case "term":
			record.Printf("SIGTERM %s", v.Name)
			troubles.Go(func() {
				v.Signal(syscall.SIGTERM)
				v.Wait(7 * time.Second)
				v.Kill()
				v.Start(false, false)
			})
			time.Sleep(4 * time.Second)
		case "kill":
			record.Printf("SIGKILL %s", v.Name)
			v.Kill()
			time.Sleep(300 * time.Millisecond)
			v.Start(false, false)
			time.Sleep(2 * time.Second)
		case "freeze":
			f := time.Duration(300+rng.IntN(3000)) * time.Millisecond
			record.Printf("freeze %s for %v", v.Name, f)
			v.Signal(syscall.SIGSTOP)
			time.Sleep(f)
			v.Signal(syscall.SIGCONT)
		case "core":
			c := d.Cores[rng.IntN(3)]
			record.Printf("SIGKILL %s", c.Name)
			c.Kill()
			time.Sleep(300 * time.Millisecond)
			c.Start(false, false)
			time.Sleep(4 * time.Second)
		case "drain":
			record.Printf("drain %s", r.ID)
			troubles.Go(func() {
				r.Drain()
				time.Sleep(6 * time.Second)
				crash(r)
				mu.Lock()
				delete(drainAcked, r.ID)
				mu.Unlock()
				r.Begin()
			})
			time.Sleep(6500 * time.Millisecond)
		case "crash":
			record.Printf("crash %s", r.ID)
			crash(r)
			time.Sleep(time.Duration(200+rng.IntN(2000)) * time.Millisecond)
			r.Begin()
		}
	}
	close(done)
	troubles.Wait()
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	for id, j := range jobs {
		refused := len(j.statuses) > 0
		for _, s := range j.statuses {
			refused = refused && (s == 503 || s == 429)
		}
		if refused && j.starts > 0 {
			fault("REFUSED", "%s was rejected %v and started %d tasks", id, j.statuses, j.starts)
		}
	}
	fmt.Println(os.Args[2], os.Args[4], len(jobs), "jobs", answers, "faults", faults)
}

// hosted returns the tasks that run on a runner and whose names begin with a prefix.
func hosted(running map[string][]run, runner, prefix string) []string {
	var list []string
	for task, runs := range running {
		if strings.HasPrefix(task, prefix) && slices.ContainsFunc(runs, func(r run) bool { return r.runner == runner }) {
			list = append(list, task)
		}
	}
	return list
}
