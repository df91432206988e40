package pool

import (
	"math"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/routes"
	"tamarackpin.example/internal/worker"
)

// Weights of a new measurement against what was learned before, and bounds of
// factors. Declared and learned times count alike (declaredWeight), since both are
// off by about as much: 40%, as the users state it.
const (
	rowWeight      = 0.02
	kindWeight     = 0.02
	workerWeight   = 0.25
	declaredWeight = 0.5
	minFactor      = 1.0 / 16
	maxFactor      = 16
)

// Estimator estimates how long tasks take, from declared times and measured ones. It
// treats a time as the work of a task, learned by row of the operators' table, times
// the factors of the worker's kind and of the worker. It is not safe for concurrent
// use. The zero Estimator has learned nothing.
type Estimator struct {
	rows    map[routes.RowName]float64 // logarithm of the mean work in seconds
	kinds   map[worker.Kind]float64    // logarithm of the time per unit of work
	workers map[worker.ID]float64      // the same, relative to the kind
}

// Work returns the expected work of a task of step s: the time that it takes on a
// worker of factor 1. It is the weighted geometric mean of the declared and the
// learned work, if both are known.
func (e *Estimator) Work(r routes.RowName, s *job.Step) time.Duration {
	declared := s.Estimate.Seconds()
	learned, known := e.rows[r]
	switch {
	case declared <= 0 && !known:
		return unknownWork
	case declared <= 0:
		return seconds(math.Exp(learned))
	case !known:
		return s.Estimate
	}
	return seconds(math.Exp(declaredWeight*math.Log(declared) + (1-declaredWeight)*learned))
}

// unknownWork is assumed if nothing is declared or learned: the middle of the users'
// tasks, most of which take 50 ms to a second.
const unknownWork = 200 * time.Millisecond

// Factor returns the time per unit of work on a worker: above 1 if it is slow.
func (e *Estimator) Factor(k worker.Kind, id worker.ID) float64 {
	return math.Exp(e.kinds[k] + e.workers[id])
}

// KindFactor returns the time per unit of work on workers of a kind.
func (e *Estimator) KindFactor(k worker.Kind) float64 { return math.Exp(e.kinds[k]) }

// Observe records that a task of step s took d on a worker. It ignores a d of 0 or
// less.
func (e *Estimator) Observe(r routes.RowName, s *job.Step, k worker.Kind, id worker.ID, d time.Duration) {
	if d <= 0 {
		return
	}
	if e.rows == nil {
		e.rows, e.kinds = make(map[routes.RowName]float64), make(map[worker.Kind]float64)
		e.workers = make(map[worker.ID]float64)
	}
	work := math.Log(e.Work(r, s).Seconds())
	took := math.Log(d.Seconds())
	residual := clampLog(took - work - e.kinds[k])
	e.kinds[k] += kindWeight * residual
	own := e.workers[id]
	e.workers[id] = clampLog(own + workerWeight*(residual-own))
	if declared := s.Estimate.Seconds(); declared > 0 {
		// The row learns the mean of the declared work only: declared times set the
		// scale, and deviations from it go to the factors.
		mean, known := e.rows[r]
		if !known {
			mean = math.Log(declared)
		}
		e.rows[r] = mean + rowWeight*(math.Log(declared)-mean)
		return
	}
	mean, known := e.rows[r]
	if !known {
		mean = took - e.kinds[k]
	}
	e.rows[r] = mean + rowWeight*(took-e.kinds[k]-mean)
}

// ForgetWorker drops what was learned about a worker, which has restarted or left.
func (e *Estimator) ForgetWorker(id worker.ID) { delete(e.workers, id) }

// clampLog limits the logarithm of a factor to the range of minFactor to maxFactor.
func clampLog(x float64) float64 { return min(max(x, math.Log(minFactor)), math.Log(maxFactor)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
