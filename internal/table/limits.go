package table

import (
	"time"

	"tamarackpin.example/internal/check"
)

// checkLimits adds the limits of a row that contradict each other or cannot be met.
func (r scannedRow) checkLimits(findings *check.Findings) {
	if r.RatePerSecond > 0 && (r.MaxQueue == 0 || r.MaxInFlight == 0) {
		findings.Add(check.Error, "rate_without_room", r.at["rate_per_second"],
			"row %s: rate_per_second %d cannot be met: no task may wait or run with max_queue %d and max_in_flight %d", r.Key, r.RatePerSecond, r.MaxQueue, r.MaxInFlight)
	}
	if len(r.faults()) > 0 {
		return // the other limits are compared only within their bounds
	}
	if r.TimeLimit > r.Deadline {
		findings.Add(check.Warning, "time_limit_over_deadline", r.at["time_limit"],
			"row %s: time_limit %s is over deadline %s: runs of requests that name no deadline end by the deadline", r.Key, r.TimeLimit, r.Deadline)
	}
	longest := min(r.TimeLimit, r.Deadline).Std()
	if carried := float64(r.MaxInFlight) * float64(time.Second) / float64(longest); float64(r.RatePerSecond) > carried {
		findings.Add(check.Warning, "rate_over_capacity", r.at["rate_per_second"],
			"row %s: rate_per_second %d cannot be met while runs take %s: max_in_flight %d carries %.4g a second then", r.Key, r.RatePerSecond, longest, r.MaxInFlight, carried)
	}
}
