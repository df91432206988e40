// Package estimate learns the service time of tasks per party and kind, and the
// relative speed of each target. Declared times are used only until a time was
// measured, since they are often far off. Package queue orders and admits tasks
// by the estimates; package target selects targets by the speeds.
package estimate

import (
	"math"
	"time"

	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/target"
)

// minWorkWeight is the weight of a new sample in the moving average of a row's
// work. The first 1/minWorkWeight samples are averaged evenly.
const minWorkWeight = 0.02

// speedWeight is the weight of a new sample in the logarithms of speed and of
// typical work. It is small since the times of single tasks vary widely.
const speedWeight = 0.05

// maxSpeed bounds a learned speed and its inverse, so that one outlier does not
// decide how a target is rated.
const maxSpeed = 16.0

// defaultServiceTime is expected of a task without a measured or declared time.
const defaultServiceTime = 100 * time.Millisecond

// Estimator holds the learned work of rows and speeds of targets. It is not safe
// for concurrent use. The zero Estimator is ready to use and has no samples.
//
// A measured time gives only the ratio of work to speed, so their common scale is
// undetermined; speeds are therefore read relative to their geometric mean.
// Both are learned as logarithms: with times that vary widely, the mean of ratios
// is not the ratio of means, and plain averages would drive both up without end.
type Estimator struct {
	work        map[party.Key]float64 // seconds on a target of speed 1
	samples     map[party.Key]int     // samples in work
	logWork     map[party.Key]float64 // logarithm of the typical work, on the undetermined scale
	logSpeed    map[target.ID]float64 // on the undetermined scale
	logSpeedSum float64               // sum of the values of logSpeed
}

// Observe records that a task of row k ran for service on target t. A service
// time of zero or less is ignored.
func (e *Estimator) Observe(k party.Key, t target.ID, service time.Duration) {
	if service <= 0 {
		return
	}
	if e.work == nil {
		e.work = make(map[party.Key]float64)
		e.samples = make(map[party.Key]int)
		e.logWork = make(map[party.Key]float64)
		e.logSpeed = make(map[target.ID]float64)
	}
	e.learnSpeed(k, t, math.Log(service.Seconds()))
	atUnitSpeed := service.Seconds() * e.Speed(t)
	e.samples[k]++
	e.work[k] += max(minWorkWeight, 1/float64(e.samples[k])) * (atUnitSpeed - e.work[k])
}

// learnSpeed adjusts the target's speed and the row's typical work by one
// measured time, given as the logarithm of its seconds. Speeds stay within
// maxSpeed of the geometric mean.
func (e *Estimator) learnSpeed(k party.Key, t target.ID, logTime float64) {
	logWork, known := e.logWork[k]
	if !known {
		logWork = logTime + e.logSpeed[t]
	}
	residual := logTime - (logWork - e.logSpeed[t])
	e.logWork[k] = logWork + speedWeight*residual
	previous := e.logSpeed[t]
	limit := math.Log(maxSpeed)
	e.logSpeed[t] = min(max(previous-speedWeight*residual, e.meanLogSpeed()-limit), e.meanLogSpeed()+limit)
	e.logSpeedSum += e.logSpeed[t] - previous
}

func (e *Estimator) meanLogSpeed() float64 {
	if len(e.logSpeed) == 0 {
		return 0
	}
	return e.logSpeedSum / float64(len(e.logSpeed))
}

// Speed returns the learned speed of t relative to the geometric mean of all
// targets. A target without samples has speed 1.
func (e *Estimator) Speed(t target.ID) float64 {
	s, ok := e.logSpeed[t]
	if !ok {
		return 1
	}
	return min(max(math.Exp(s-e.meanLogSpeed()), 1/maxSpeed), maxSpeed)
}

// Expected returns the expected service time of a task of row k on a target of
// speed 1: the learned time, else the declared one, else a default. learned
// reports whether the first applies.
func (e *Estimator) Expected(k party.Key, declared time.Duration) (d time.Duration, learned bool) {
	if w, ok := e.work[k]; ok {
		return time.Duration(w * float64(time.Second)), true
	}
	if declared > 0 {
		return declared, false
	}
	return defaultServiceTime, false
}

// Forget drops the speeds of the targets for which keep returns false.
func (e *Estimator) Forget(keep func(target.ID) bool) {
	for t, s := range e.logSpeed {
		if !keep(t) {
			e.logSpeedSum -= s
			delete(e.logSpeed, t)
		}
	}
}
