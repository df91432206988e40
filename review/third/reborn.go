package main

import (
	"errors"
	"fmt"
	"time"
)

// playLabel cuts an idle runner off from control, not from the entry VMs. It crashes behind the cut
// and starts again, as another kind. Then a job comes that needs the kind that it was.
func playLabel(d *deployment, trouble bool) (broken []string, err error) {
	target := d.runners[2] // of the first zone
	target.labels = []string{"b", "r1-1"}
	d.runners[3].labels = []string{"c", "r1-1"}
	if err := d.up(); err != nil {
		return nil, err
	}
	j := job{tasks: 1, ms: 200, need: capacity{6800, 64, 0}, label: "b"}
	if a := d.submit(d.entries[0], newID(), j, 3*time.Second); a.state != "completed" {
		return nil, errors.New("a job with the label is not served")
	}
	d.reborn(target, trouble, func() { target.labels = []string{"a", "r1-1"} })
	id := newID()
	a := d.submit(d.entries[0], id, j, 1500*time.Millisecond)
	if !trouble && a.state != "completed" {
		return nil, errors.New("a job with the label is not served")
	}
	target.cutFromControl.Store(false)
	for _, s := range d.record.startsOf(id) {
		if s.labels[0] != "b" {
			broken = append(broken, fmt.Sprintf("ROUTE: %s starts on %s/%d without the label b, which has %v", s.task, s.worker, s.born, s.labels))
		}
	}
	return broken, nil
}

// reborn lets a runner crash behind a cut from control and start again.
func (d *deployment) reborn(r *runner, trouble bool, change func()) {
	time.Sleep(700 * time.Millisecond)
	if !trouble {
		return
	}
	d.record.note("runner %s is cut off from control", r.id)
	r.cutFromControl.Store(true)
	time.Sleep(300 * time.Millisecond)
	r.crash()
	change()
	time.Sleep(500 * time.Millisecond)
	_ = r.begin()
	time.Sleep(200 * time.Millisecond)
}
