// Package estimate learns how long tasks run, for each party and kind, and how
// fast each target is. Declared times are used only until something was
// measured, since they are often far off. Package queue orders and admits by
// the estimates; package target picks by the speeds.
package estimate

import (
	"math"
	"time"

	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/target"
)

// weight of a new measurement against what was learned before, once there were
// enough for it; before, all count alike.
const weight = 0.02

// speedWeight is the same for speeds. It is smaller, as the times of single
// tasks spread widely.
const speedWeight = 0.05

// mostSpeed bounds a learned speed, and its inverse, so that one odd task does
// not decide about a target.
const mostSpeed = 16.0

// unknownService is assumed for work of which nothing is known.
const unknownService = 100 * time.Millisecond

// Estimator keeps the learned times. It is not safe for concurrent use. The
// zero Estimator has learned nothing.
//
// Speeds and work are learned together from their ratio, which leaves their
// common scale open; speeds are therefore read against their geometric mean.
// They are learned as logarithms: the mean of a ratio of spread times is not the
// ratio of their means, and would drive both up without end.
type Estimator struct {
	work     map[party.Key]float64 // seconds on a target of speed 1
	seen     map[party.Key]int     // measurements of work
	logWork  map[party.Key]float64 // logarithm of the typical time there, on the open scale
	logSpeed map[target.ID]float64 // on the open scale
	sum      float64               // of logSpeed
}

// Observe takes in that a task of row k ran for service on target t.
func (e *Estimator) Observe(k party.Key, t target.ID, service time.Duration) {
	if service <= 0 {
		return
	}
	if e.work == nil {
		e.work = make(map[party.Key]float64)
		e.seen = make(map[party.Key]int)
		e.logWork = make(map[party.Key]float64)
		e.logSpeed = make(map[target.ID]float64)
	}
	e.learnSpeed(k, t, math.Log(service.Seconds()))
	atOne := service.Seconds() * e.Speed(t)
	e.seen[k]++
	e.work[k] += max(weight, 1/float64(e.seen[k])) * (atOne - e.work[k])
}

// learnSpeed moves the target's speed, and a little the row's work, towards the
// logarithm of one time.
func (e *Estimator) learnSpeed(k party.Key, t target.ID, logTime float64) {
	logWork, known := e.logWork[k]
	if !known {
		logWork = logTime + e.logSpeed[t]
	}
	surprise := logTime - (logWork - e.logSpeed[t])
	e.logWork[k] = logWork + speedWeight*surprise
	before := e.logSpeed[t]
	limit := math.Log(mostSpeed)
	e.logSpeed[t] = min(max(before-speedWeight*surprise, e.mean()-limit), e.mean()+limit)
	e.sum += e.logSpeed[t] - before
}

func (e *Estimator) mean() float64 {
	if len(e.logSpeed) == 0 {
		return 0
	}
	return e.sum / float64(len(e.logSpeed))
}

// Speed returns the learned speed of t against the mean of all targets. A
// target of which nothing is known has the mean speed 1.
func (e *Estimator) Speed(t target.ID) float64 {
	s, ok := e.logSpeed[t]
	if !ok {
		return 1
	}
	return min(max(math.Exp(s-e.mean()), 1/mostSpeed), mostSpeed)
}

// Expected returns the time that a task of row k runs on a target of speed 1:
// what was learned, or else what was declared, or else a default. learned tells
// the first from the others.
func (e *Estimator) Expected(k party.Key, declared time.Duration) (d time.Duration, learned bool) {
	if w, ok := e.work[k]; ok {
		return time.Duration(w * float64(time.Second)), true
	}
	if declared > 0 {
		return declared, false
	}
	return unknownService, false
}

// Forget drops the speeds of targets that keep reports false for.
func (e *Estimator) Forget(keep func(target.ID) bool) {
	for t, s := range e.logSpeed {
		if !keep(t) {
			e.sum -= s
			delete(e.logSpeed, t)
		}
	}
}
