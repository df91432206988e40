package report

import (
	"maps"
	"time"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/party"
)

// Row holds the counts of one party and kind.
type Row struct {
	party.Key
	Requests    uint64               `json:"requests"`       // requests that arrived
	Submissions uint64               `json:"submissions"`    // submissions that arrived, resubmissions included
	Resubmitted uint64               `json:"resubmitted"`    // submissions answered from a ledger
	Tasks       uint64               `json:"tasks"`          // tasks started on targets
	Replies     map[code.Code]uint64 `json:"replies"`        // requests and submissions by their result
	TaskEnds    map[code.Code]uint64 `json:"task_ends"`      // started tasks by their result
	Wait        Histogram            `json:"wait_micros"`    // from arrival to the start of a task
	Service     Histogram            `json:"service_micros"` // from the start of a task to its end
	// Ratio is response time against the ideal for requests, in hundredths.
	Ratio Histogram `json:"response_over_ideal_hundredths"`
}

// Merge adds the counts of o.
func (r *Row) Merge(o *Row) {
	r.Requests += o.Requests
	r.Submissions += o.Submissions
	r.Resubmitted += o.Resubmitted
	r.Tasks += o.Tasks
	r.Replies = addCounts(r.Replies, o.Replies)
	r.TaskEnds = addCounts(r.TaskEnds, o.TaskEnds)
	r.Wait.Merge(o.Wait)
	r.Service.Merge(o.Service)
	r.Ratio.Merge(o.Ratio)
}

func addCounts[K comparable](sum, part map[K]uint64) map[K]uint64 {
	if sum == nil {
		return maps.Clone(part)
	}
	for k, n := range part {
		sum[k] += n
	}
	return sum
}

// countsRatio records how long a request took against its ideal.
func (r *Row) countsRatio(response, ideal time.Duration) {
	if ideal > 0 {
		r.Ratio.Record(int64(100 * response / ideal))
	}
}
