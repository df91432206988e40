package main

import (
	"fmt"
	"sync"
	"time"
)

// playCancel cancels jobs while they run, restarts one entry VM gracefully, and delivers a copy of
// each job's POST there, seconds after the answer to the first.
func playCancel(d *deployment, trouble bool) (broken []string, err error) {
	if err := d.up(); err != nil {
		return nil, err
	}
	const jobs = 8
	type cancelled struct {
		id      string
		ackedAt time.Time
		posted  answer
	}
	j := job{tasks: 2, ms: 900, need: capacity{1000, 64, 0}}
	// The machine that gives the orders in the zone is not the one that is restarted.
	probe := newID()
	d.submit(d.entries[0], probe, job{tasks: 1, ms: 20, need: capacity{1000, 64, 0}}, 2*time.Second)
	starts := d.record.startsOf(probe)
	if len(starts) == 0 {
		return nil, fmt.Errorf("the probe did not run")
	}
	starter := d.starter(starts[0].fence)
	restarted := d.entries[0]
	if starter == restarted {
		restarted = d.entries[1]
	}
	if starter == nil {
		return nil, fmt.Errorf("the machine that gave the order is not known")
	}
	d.record.note("%s gives the orders, %s is to be restarted", starter.name, restarted.name)
	list := make([]cancelled, jobs)
	var calls sync.WaitGroup
	for i := range list {
		calls.Go(func() {
			c := &list[i]
			c.id = newID()
			var post sync.WaitGroup
			post.Go(func() { c.posted = d.submit(restarted, c.id, j, 6*time.Second) })
			time.Sleep(300 * time.Millisecond)
			if a := d.cancel(restarted, c.id); a.status/100 == 2 || a.status == 410 {
				c.ackedAt = a.at
			}
			post.Wait()
		})
	}
	calls.Wait()
	for _, c := range list {
		if c.ackedAt.IsZero() || c.posted.state != "cancelled" {
			return nil, fmt.Errorf("job %s was not cancelled: %v", c.id, c.posted)
		}
	}
	answeredAt := time.Now()
	if trouble {
		if err := d.restart(restarted); err != nil {
			return nil, err
		}
		if err := d.awaitReady(restarted); err != nil {
			return nil, err
		}
	}
	// The copies arrive once the restarted machine is in touch again.
	time.Sleep(time.Until(answeredAt.Add(4 * time.Second)))
	if trouble {
		time.Sleep(contact)
	}
	d.record.note("the copies arrive")
	for i := range list {
		calls.Go(func() { d.submit(restarted, list[i].id, j, 6*time.Second) })
	}
	calls.Wait()
	for _, c := range list {
		for _, s := range d.record.startsOf(c.id) {
			if late := s.at.Sub(c.ackedAt); late > cancelBound {
				broken = append(broken, fmt.Sprintf("UNASKED: %s starts %.1f s after the cancelling of its job was acknowledged", s.task, late.Seconds()))
			}
		}
	}
	return broken, nil
}
