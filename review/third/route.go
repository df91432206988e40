package main

import (
	"fmt"
	"time"
)

// Bounds of the rules on cancelling and on the configuration.
const (
	ackBound   = 4 * time.Second // AckMs
	applyBound = 2 * time.Second // ConfigApplyMs
)

// playRoute submits a job of many short steps. While it runs, the operator removes its route. Then its caller cancels it.
func playRoute(d *deployment, trouble bool) (broken []string, err error) {
	const prefix = "/work2/"
	d.prefixes = []string{prefix}
	if err := d.up(); err != nil {
		return nil, err
	}
	id, j := newID(), job{tasks: 1, ms: 600, need: capacity{1000, 64, 0}, steps: 24}
	posted := make(chan answer, 1)
	go func() { posted <- d.submitTo(d.entries[0], prefix, id, j, 20*time.Second) }()
	time.Sleep(500 * time.Millisecond)
	if trouble {
		if err := d.configure(12); err != nil {
			return nil, err
		}
	}
	time.Sleep(applyBound + 500*time.Millisecond)
	if len(d.record.startsOf(id)) == 0 {
		return nil, fmt.Errorf("the job has not begun")
	}
	askedAt, from, why := time.Now(), time.Now().Add(ackBound), "had waited AckMs for its acknowledgement"
	for i, ended := 0, false; !ended; i++ {
		if a := d.cancelOn(d.entries[i%3], prefix, id); a.status/100 == 2 || a.status == 410 {
			if a.at.Before(from) {
				from, why = a.at, "was acknowledged"
			}
			break
		}
		select {
		case a := <-posted:
			d.record.note("the POST was answered %.1f s after the first DELETE: %v", time.Since(askedAt).Seconds(), a)
			ended = true
		case <-time.After(400 * time.Millisecond):
		}
	}
	time.Sleep(cancelBound + time.Second)
	for _, s := range d.record.startsOf(id) {
		if late := s.at.Sub(from); late > cancelBound {
			broken = append(broken, fmt.Sprintf("UNASKED: %s starts %.1f s after the cancelling of its job %s", s.task, late.Seconds(), why))
		}
	}
	return broken, nil
}
