//go:build ignore

// Command quorumsoak disturbs the core machines at random, one at a time or all processes at
// once, and checks what the operator reads. It is a search, not a case: quorumsoak RECORD SEED
// SECONDS.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	standin "tamarackpin.example/review"
)

func main() {
	record := standin.NewRecord(os.Args[1])
	seed, _ := strconv.Atoi(os.Args[2])
	seconds, _ := strconv.Atoi(os.Args[3])
	rng := rand.New(rand.NewPCG(uint64(seed), 9))
	d := standin.New(record, 1, 1, 1)
	var extra []*standin.VM
	spare := make([]*standin.VM, 12)
	for i := range spare {
		spare[i] = d.AddVM(fmt.Sprintf("core-new-%d", i), []string{"a", "b", "c"}[i%3], true)
	}
	defer func() { d.Close(extra...) }()
	record.OnFail(func() { d.Close(extra...) })
	d.StartAll()
	route := standin.Route{Name: "r-1", Host: "nony24.example", PathPrefix: "/lohu930/", Kind: "non_idempotent", TargetLatencyMs: 60, Service: "desk", MaxAttempts: 2, Stretch: 1.6}
	config := func(version int) standin.Config {
		route.TimeoutMs = 1000 + version
		return standin.NewConfig(version, "desk", true, route)
	}
	if !d.ReplaceAny(d.Cores, config(1), 15*time.Second) {
		record.Fail("no configuration")
	}
	var mu sync.Mutex
	cores := append([]*standin.VM(nil), d.Cores...)
	acked, broken, writes, reads := 1, 0, 0, 0
	done := make(chan struct{})
	var work sync.WaitGroup
	pick := func(r *rand.Rand) *standin.VM {
		mu.Lock()
		defer mu.Unlock()
		return cores[r.IntN(len(cores))]
	}
	work.Go(func() {
		r := rand.New(rand.NewPCG(uint64(seed), 1))
		for version := 2; ; version += 1 + r.IntN(4) {
			for {
				select {
				case <-done:
					return
				case <-time.After(time.Duration(20+r.IntN(200)) * time.Millisecond):
				}
				if status := d.Replace(pick(r), config(version)); status == 200 {
					mu.Lock()
					acked = max(acked, version)
					writes++
					mu.Unlock()
					break
				} else if status/100 == 4 {
					mu.Lock()
					broken++
					record.Printf("FAULT version %d refused with %d", version, status)
					mu.Unlock()
					break
				}
			}
		}
	})
	for i := range 2 {
		work.Go(func() {
			r := rand.New(rand.NewPCG(uint64(seed), uint64(2+i)))
			for {
				select {
				case <-done:
					return
				case <-time.After(time.Duration(20+r.IntN(200)) * time.Millisecond):
				}
				mu.Lock()
				before := acked
				mu.Unlock()
				version, status := d.Read(pick(r))
				mu.Lock()
				reads++
				if status == 200 && version < before {
					broken++
					record.Printf("FAULT read version %d, %d was acknowledged before", version, before)
				}
				mu.Unlock()
			}
		})
	}
	const catchUp = 4500 * time.Millisecond
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(100+rng.IntN(1500)) * time.Millisecond)
		i := rng.IntN(3)
		v := cores[i]
		switch k := rng.IntN(6); {
		case k == 0:
			record.Printf("kill %s", v.Name)
			v.Kill()
			time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
			v.Start(false, false)
			time.Sleep(catchUp)
		case k == 1:
			record.Printf("freeze %s", v.Name)
			v.Signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(200+rng.IntN(6000)) * time.Millisecond)
			v.Signal(syscall.SIGCONT)
			time.Sleep(catchUp)
		case k == 2:
			record.Printf("wipe %s", v.Name)
			v.Kill()
			time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
			v.Start(false, true)
			time.Sleep(catchUp)
		case k == 3:
			record.Printf("kill all")
			for _, v := range cores {
				v.Signal(syscall.SIGKILL)
			}
			for _, v := range cores {
				v.Wait(time.Second)
				time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
			}
			for _, v := range cores {
				v.Start(false, false)
			}
			time.Sleep(time.Second)
		case k == 4 && len(extra) < len(spare):
			n := spare[len(extra)]
			record.Printf("replace %s by %s", v.Name, n.Name)
			v.Kill()
			time.Sleep(time.Second)
			n.Start(false, true)
			mu.Lock()
			cores[i] = n
			extra = append(extra, n)
			mu.Unlock()
			time.Sleep(9500 * time.Millisecond)
		default:
			record.Printf("SIGTERM %s", v.Name)
			v.Signal(syscall.SIGTERM)
			v.Wait(6 * time.Second)
			v.Kill()
			v.Start(false, false)
			time.Sleep(catchUp)
		}
	}
	close(done)
	work.Wait()
	time.Sleep(3 * time.Second)
	for _, v := range cores {
		if version, status := d.Read(v); status != 200 || version < acked {
			broken++
			record.Printf("FAULT at the end %s: %d, version %d, acknowledged %d", v.Name, status, version, acked)
		}
	}
	fmt.Println("seed", seed, "writes", writes, "reads", reads, "acked", acked, "replaced", len(extra), "broken", broken)
}
