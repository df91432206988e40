package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

const drainBound = 2 * time.Second // DrainMs

// playWriter sends one heartbeat under the id of a runner that has a task, which is not the runner's: it lacks
// fields.
func playWriter(d *deployment, trouble bool) (broken []string, err error) {
	if err := d.up(); err != nil {
		return nil, err
	}
	j := job{tasks: 4, ms: 900, need: capacity{6800, 64, 0}}
	for range 4 { // until it is known how long the tasks take
		d.submit(d.entries[0], newID(), j, 6*time.Second)
	}
	id := newID()
	posted := make(chan answer, 1)
	go func() { posted <- d.submit(d.entries[0], id, j, 6*time.Second) }()
	time.Sleep(200 * time.Millisecond)
	worker := d.record.workerOf(id)
	if worker == "" {
		return nil, fmt.Errorf("the job is not at work")
	}
	if trouble {
		for _, r := range d.runners {
			if r.id == worker {
				if err := d.oddHeartbeat(r, map[string]any{ // neither Capacity nor Labels nor ClockMs
					"Service": r.service, "Addr": r.address, "Zone": r.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
					"Seq": 1, "born": time.Now().UnixMilli(),
				}); err != nil {
					return nil, err
				}
			}
		}
	}
	<-posted
	return nil, nil // what is judged is TWICE, as in every case
}

// playDrain sends one heartbeat under the id of a runner, which is not the runner's: it lacks fields. Then the runner says
// that it leaves.
func playDrain(d *deployment, trouble bool) (broken []string, err error) {
	if err := d.up(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var jobs sync.WaitGroup
	jobs.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
				jobs.Go(func() {
					d.submit(d.entries[0], newID(), job{tasks: 2, ms: 200, need: capacity{6800, 64, 0}}, 3*time.Second)
				})
			}
		}
	})
	end := sync.OnceFunc(func() {
		close(stop)
		jobs.Wait()
	})
	defer end()
	time.Sleep(3 * time.Second)
	target := d.busiest(d.runners[:5])
	if trouble {
		if err := d.oddHeartbeat(target, map[string]any{
			"Service": target.service, "Addr": target.address, "Zone": target.zone, "State": "ready",
			"Capacity": target.capacity, "Labels": target.labels, "ClockMs": target.life.clock(), "Seq": 40000, "born": target.life.born,
		}); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Second)
	target.life.drain()
	time.Sleep(6 * time.Second)
	end()
	acked := target.life.ackedAt.Load()
	if acked == 0 {
		return nil, errors.New("the draining was not acknowledged")
	}
	for _, s := range d.record.startsOf("") {
		if late := s.at.Sub(time.UnixMilli(acked)); s.worker == target.id && late > drainBound {
			broken = append(broken, fmt.Sprintf("DRAIN: %s starts on %s %.1f s after its draining was acknowledged", s.task, s.worker, late.Seconds()))
		}
	}
	return broken, nil
}

// busiest returns the runner with the most starts.
func (d *deployment) busiest(runners []*runner) *runner {
	starts := make(map[string]int)
	for _, s := range d.record.startsOf("") {
		starts[s.worker]++
	}
	return slices.MaxFunc(runners, func(a, b *runner) int { return cmp.Compare(starts[a.id], starts[b.id]) })
}

// oddHeartbeat sends a heartbeat of another writer under the id of a runner to one control VM.
func (d *deployment) oddHeartbeat(r *runner, body map[string]any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: time.Second}
	d.record.note("another writer sends a heartbeat under %s: %s", r.id, b)
	resp, err := client.Post("http://"+d.controls[0].control+"/api/Instances.Heartbeat/"+r.id, "application/json", bytes.NewReader(b))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	d.record.note("it gets %d %s", resp.StatusCode, bytes.TrimSpace(text))
	return nil
}
