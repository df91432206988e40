package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

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
				if err := d.oddHeartbeat(r); err != nil {
					return nil, err
				}
			}
		}
	}
	<-posted
	return nil, nil // what is judged is TWICE, as in every case
}

// oddHeartbeat sends a heartbeat of another writer, which has neither Capacity nor Labels nor ClockMs.
func (d *deployment) oddHeartbeat(r *runner) error {
	b, err := json.Marshal(map[string]any{
		"Service": r.service, "Addr": r.address, "Zone": r.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
		"Seq": 1, "born": time.Now().UnixMilli(),
	})
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
