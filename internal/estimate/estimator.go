// Package estimate learns how long tasks run, for each party and kind, and how
// fast each target is. Declared times are used only until something was
// measured, since they are often far off. Package queue orders and admits by
// the estimates; package target picks by the speeds.
package estimate

import (
	"time"

	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/target"
)

// weight of a new measurement against what was learned before.
const weight = 0.1

// Bounds of a learned speed, so that one odd task does not decide about a
// target.
const (
	slowest = 1.0 / 16
	fastest = 16.0
)

// unknownService is assumed for work of which nothing is known.
const unknownService = 100 * time.Millisecond

// Estimator keeps the learned times. It is not safe for concurrent use. The
// zero Estimator has learned nothing.
type Estimator struct {
	work  map[party.Key]float64 // seconds on a target of speed 1
	speed map[target.ID]float64 // 1 is the speed of a target unknown so far
}

// Observe takes in that a task of row k ran for service on target t.
func (e *Estimator) Observe(k party.Key, t target.ID, service time.Duration) {
	if service <= 0 {
		return
	}
	if e.work == nil {
		e.work = make(map[party.Key]float64)
		e.speed = make(map[target.ID]float64)
	}
	speed := e.Speed(t)
	seconds := service.Seconds()
	work, known := e.work[k]
	if !known {
		e.work[k] = seconds * speed
		return
	}
	e.work[k] = work + weight*(seconds*speed-work)
	ratio := min(max(work/seconds, slowest), fastest)
	e.speed[t] = min(max(speed+weight*(ratio-speed), slowest), fastest)
}

// Speed returns the learned speed of t.
func (e *Estimator) Speed(t target.ID) float64 {
	if s, ok := e.speed[t]; ok {
		return s
	}
	return 1
}

// Expected returns the time that a task of row k runs on a target of speed 1:
// what was learned, or else what was declared, or else a default.
func (e *Estimator) Expected(k party.Key, declared time.Duration) time.Duration {
	if w, ok := e.work[k]; ok {
		return time.Duration(w * float64(time.Second))
	}
	if declared > 0 {
		return declared
	}
	return unknownService
}

// Forget drops the speeds of targets that keep reports false for.
func (e *Estimator) Forget(keep func(target.ID) bool) {
	for t := range e.speed {
		if !keep(t) {
			delete(e.speed, t)
		}
	}
}
