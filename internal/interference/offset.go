package interference

import (
	"time"

	"tamarackpin.example/internal/worker"
)

// offset is how much slower than its kind a worker is, as a logarithm.
type offset struct {
	value    float64
	runs     int
	source   int     // index in the sources of pairs
	outliers float64 // share of the last runs that deviate by maxResidual or more
	seenAt   time.Time
}

// maxOffset limits the logarithm of a worker's offset.
const maxOffset = 2.8

// update learns from a run on the worker, whose logarithm exceeds the prediction for a worker without
// an offset by residual. The first runs count alike.
func (w *offset) update(residual float64) {
	w.runs++
	w.value = clamp(w.value+clamp(residual-w.value, maxStep)*max(workerWeight, 1/float64(w.runs+1)), maxOffset)
}

// unsteady reports whether far more runs deviate on the worker than on the others, where usual is their share:
// it is becoming slower or faster, or reports false times. A slowdown that is not known yet makes runs deviate on all.
func (w *offset) unsteady(usual float64) bool {
	return w.outliers > maxOutliers && w.outliers > 2*usual
}

// maxOutliers is the share of outliers up to which a worker is steady: tails make up 3%.
const maxOutliers = 0.2

// maxStep limits how far one run may deviate from the offset of its worker.
const maxStep = 1.5

// offset returns the offset of a worker, and makes it if there is none.
func (l *Learner) offset(now time.Time, id worker.ID) *offset {
	w := l.workers[id]
	if w == nil {
		if len(l.workers) >= maxWorkers {
			l.evictWorkers()
		}
		w = &offset{source: l.nextSource}
		l.nextSource = (l.nextSource + 1) % maxSources
		l.workers[id] = w
	}
	w.seenAt = now
	return w
}
