// Package interference learns which rows of the operators' table slow each other down on
// one worker. A [Tracker] measures which rows ran beside a run, and for which share of its
// time; a [Learner] estimates from such observations how much longer a run of one row takes
// beside a run of another. docs/design/interference.md describes the method.
package interference

import (
	"math"
	"time"

	"tamarackpin.example/internal/routes"
	"tamarackpin.example/internal/worker"
)

// Bounds of what a Learner keeps.
const (
	// MaxPairs is the number of pairs of rows that a Learner keeps at most.
	MaxPairs = 1024
	// maxRows bounds the rows with a baseline.
	maxRows = 1024
	// maxPartners bounds the rows beside one row: the cost of solving grows with its cube.
	maxPartners = 15
	// maxWorkers bounds the workers with an offset. A dispatcher has some 40, and the
	// largest deployment 2,000.
	maxWorkers = 2048
	// maxSources bounds the workers that are told apart per pair.
	maxSources = 16
)

// Rules of the estimate.
const (
	// halfLife is the time after which an observation counts half.
	halfLife = 2 * time.Minute
	// maxResidual limits how far, as a logarithm, one run may deviate from its prediction:
	// a task with a tail of 7 times or a false report counts as one of twice its time.
	maxResidual = 0.693
	// maxRuns limits the weight of one pair: without it, the thousands of runs of a busy
	// pair would outweigh what is seen in the 10 minutes after the slowdown ends.
	maxRuns = 400
	// ridge is the weight of the assumption that a row beside does not slow: that of half a run.
	ridge = 0.5
	// minDeviation is the least standard deviation of a run that is assumed: a row whose
	// first runs agree by chance would be certain too early.
	minDeviation = 0.1
	// warmUp is the number of first runs of a row whose median is the origin of its baseline.
	warmUp = 9
	// workerWeight is the weight of a run against the earlier offset of its worker: the last 20
	// runs, some seconds, so that workers that slow down as a whole are not taken for pairs.
	workerWeight = 0.05
	// workerWarmUp is the number of first runs on a worker that only its offset is learned from.
	workerWarmUp = 10
	// solveInterval is the least number of runs of a row between two solutions, and twice the number of
	// partners if that is more: solving takes up to 100 µs with all of them.
	solveInterval = 8
	// idleLimit is the time after which a row without a run is dropped: five half-lives.
	idleLimit = 10 * time.Minute
)

// Conditions for a confident pair.
const (
	// minSlowdown is the least slowdown worth avoiding.
	minSlowdown = 1.1
	// minScore is the least number of standard errors above no slowdown. Pairs are tested
	// over and over, and there may be a thousand: with 4, one in 30,000 independent tests of a
	// pair without a slowdown is wrong.
	minScore = 4
	// A pair that is confident stays so above these, so that it does not alternate.
	keepSlowdown = 1.07
	keepScore    = 3
	// minRuns is the least weight of the runs beside, and also of those not beside (the baseline).
	minRuns = 20
	// minSources is the least number of workers that observations come from.
	minSources = 5
	// minSourceRuns is the least weight of the runs of a worker that is counted.
	minSourceRuns = 0.5
	// minAgreement is the least share of the workers that show the slowdown: a few workers that report
	// false times, or slow down under any load, do not make a pair.
	minAgreement  = 0.6
	keepAgreement = 0.5
)

// Exposure says for which share of a run's time tasks of a row ran beside it. Two tasks of
// the row count twice.
type Exposure struct {
	Row   routes.RowName
	Share float64 // of the run's time
	// Early is the share of the first half of the run's expected time, or of the whole run if that
	// was shorter. Unlike Share it does not depend on how long the run then took.
	Early float64
}

// Observation is a run that was done.
type Observation struct {
	Row      routes.RowName
	Worker   worker.ID
	Took     time.Duration
	Expected time.Duration // for the row and the kind of the worker, without the worker's own factor
	// Tasks is the number of tasks of the job; 0 stands for 1. Their declared times and their work are off in
	// the same direction, so that together they count as one run.
	Tasks  int
	Beside []Exposure
}

// weight returns how many independent runs o counts for.
func (o Observation) weight() float64 { return 1 / float64(max(1, o.Tasks)) }

// valid reports whether o can be learned from.
func (o Observation) valid() bool {
	if o.Took <= 0 || o.Expected <= 0 || len(o.Beside) > maxPartners {
		return false
	}
	for _, e := range o.Beside {
		if !(e.Share >= 0 && e.Share <= maxExposure && e.Early >= 0 && e.Early <= maxExposure) { // also false for NaN
			return false
		}
	}
	return true
}

// maxExposure is the largest share: that of as many tasks as a Tracker keeps.
const maxExposure = maxTracked

// ratio returns the logarithm of the time relative to the expected one.
func (o Observation) ratio() float64 { return math.Log(float64(o.Took) / float64(o.Expected)) }

// total returns the mean number of tasks that ran beside.
func (o Observation) total() (sum float64) {
	for _, e := range o.Beside {
		sum += e.Share
	}
	return sum
}

// Pair is what is known of a row that runs beside another.
type Pair struct {
	Row          routes.RowName `json:"row"`          // the slowed row
	Beside       routes.RowName `json:"beside"`       // the row beside it
	Factor       float64        `json:"factor"`       // how much longer a run takes beside one task of that row
	Low          float64        `json:"low"`          // least factor, by three standard errors
	High         float64        `json:"high"`         // greatest factor, by three standard errors
	Confidence   float64        `json:"confidence"`   // probability that there is a slowdown, 0 to 1
	Confident    bool           `json:"confident"`    // the factor is used
	Observations uint64         `json:"observations"` // runs beside each other since the pair is known
	Workers      int            `json:"workers"`      // that they came from lately, at most 16 are counted
}

// Change is a pair that became confident, or that was confident and is no longer.
type Change struct {
	Pair
	Dropped bool
}

func clamp(x, limit float64) float64 { return min(max(x, -limit), limit) }
