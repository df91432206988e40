package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { plays["core"] = playCore }

// playCore is no case: it sends versions and reads them back while control VMs are killed, frozen and lose their disks in turn.
func playCore(d *deployment, _ bool) (broken []string, err error) {
	if err := d.up(); err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(uint64(envInt("SEED", 1)), 3))
	stop := time.Now().Add(time.Duration(envInt("SECONDS", 70)) * time.Second)
	type ack struct {
		version int
		at      time.Time
	}
	var mu sync.Mutex
	acks := []ack{}
	newest := func(before time.Time) int {
		mu.Lock()
		defer mu.Unlock()
		n := 0
		for _, a := range acks {
			if a.at.Before(before) {
				n = max(n, a.version)
			}
		}
		return n
	}
	read := func(c string) (int, int) {
		client := &http.Client{Timeout: 3500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Get("http://" + c + "/api/Config.Read")
		if err != nil {
			return 0, 0
		}
		defer resp.Body.Close()
		var b struct{ Version int }
		if resp.StatusCode == 200 && json.NewDecoder(resp.Body).Decode(&b) == nil {
			return 200, b.Version
		}
		return resp.StatusCode, 0
	}
	var all sync.WaitGroup
	version := 10
	reads := 0
	for i := range 3 { // operators
		all.Go(func() {
			for time.Now().Before(stop) {
				mu.Lock()
				version += 1 + rand.IntN(3)
				v := version
				mu.Unlock()
				body := fmt.Sprintf(`{"Version":%d,"Routes":[{"Name":"r-1","Host":%q,"PathPrefix":%q,"Kind":"non_idempotent","TimeoutMs":%d,"TargetLatencyMs":60,"Service":%q,"MaxAttempts":3,"Stretch":1.6}],"Services":[{"Name":%q,"AdmissionCheck":true}]}`, v, d.host, d.path, 8000+v, d.service, d.service)
				client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
				for k := 0; time.Now().Before(stop); k++ {
					resp, err := client.Post("http://"+d.seeds[(i+k)%3]+"/api/Config.Replace", "application/json", strings.NewReader(body))
					if err == nil {
						_ = resp.Body.Close()
						if resp.StatusCode == 200 {
							mu.Lock()
							acks = append(acks, ack{v, time.Now()})
							mu.Unlock()
							break
						}
						if resp.StatusCode/100 == 4 {
							broken = append(broken, fmt.Sprint("CONFIG: refused ", resp.StatusCode))
						}
					}
					time.Sleep(50 * time.Millisecond)
				}
				time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
			}
		})
	}
	for i := range 3 { // readers
		all.Go(func() {
			for time.Now().Before(stop) {
				want, asked := newest(time.Now()), time.Now()
				status, v := read(d.seeds[i])
				mu.Lock()
				if status == 200 {
					reads++
					if v < want {
						broken = append(broken, fmt.Sprintf("CONFIG: read of %s at %.2f got %d, acknowledged was %d", d.seeds[i], asked.Sub(d.record.startedAt).Seconds(), v, want))
					}
				}
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	all.Go(func() {
		for time.Now().Before(stop.Add(-8 * time.Second)) {
			m := d.controls[rng.IntN(3)]
			pause := 4 * time.Second
			switch rng.IntN(5) {
			case 0, 1: // loses its disk
				d.signal(m, syscall.SIGKILL)
				<-m.done
				_ = os.RemoveAll(m.folder)
				time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
				_ = d.start(m)
			case 2:
				d.signal(m, syscall.SIGKILL)
				<-m.done
				time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
				_ = d.start(m)
			case 3:
				d.signal(m, syscall.SIGSTOP)
				time.Sleep(time.Duration(500+rng.IntN(6000)) * time.Millisecond)
				d.signal(m, syscall.SIGCONT)
			case 4: // all are killed
				for _, c := range d.controls {
					d.signal(c, syscall.SIGKILL)
				}
				for _, c := range d.controls {
					<-c.done
				}
				time.Sleep(time.Duration(rng.IntN(900)) * time.Millisecond)
				for _, c := range d.controls {
					_ = d.start(c)
				}
			}
			time.Sleep(pause)
		}
	})
	all.Wait()
	ok := false
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && !ok; time.Sleep(100 * time.Millisecond) {
		for _, s := range d.seeds {
			if status, v := read(s); status == 200 {
				ok = true
				if v < newest(time.Now()) {
					broken = append(broken, fmt.Sprintf("CONFIG: at the end %d", v))
				}
			}
		}
	}
	if !ok {
		broken = append(broken, "CONFIG: no read at the end")
	}
	fmt.Printf("core seed %d: %d acks, %d reads, broken %v\n", envInt("SEED", 1), len(acks), reads, broken)
	return broken, nil
}
