package gate

import (
	"time"

	"tamarackpin.example/internal/job"
)

const (
	// cancelRetention is how long a canceled job is not run again. A request that submits it may arrive seconds after the
	// cancel, from a caller's next try or at a VM that was frozen.
	cancelRetention = 2 * time.Minute
	// maxCancelled bounds the number of canceled jobs that are remembered; the oldest are dropped first.
	maxCancelled = 20_000
)

// cancelledJobs holds the jobs that were canceled within cancelRetention, whether or not they were found. The zero value is
// empty.
type cancelledJobs struct {
	cancelledAt map[job.ID]time.Time
	order       []job.ID // oldest first, each once
}

// add records that a job is canceled; a later cancel of the same job changes nothing.
func (c *cancelledJobs) add(now time.Time, id job.ID) {
	for len(c.order) > 0 && now.Sub(c.cancelledAt[c.order[0]]) >= cancelRetention {
		c.dropOldest()
	}
	if _, found := c.cancelledAt[id]; found {
		return
	}
	if len(c.order) >= maxCancelled {
		c.dropOldest()
	}
	if c.cancelledAt == nil {
		c.cancelledAt = make(map[job.ID]time.Time)
	}
	c.cancelledAt[id] = now
	c.order = append(c.order, id)
}

func (c *cancelledJobs) dropOldest() {
	delete(c.cancelledAt, c.order[0])
	c.order = c.order[1:]
}

// has reports whether a job was canceled.
func (c *cancelledJobs) has(now time.Time, id job.ID) bool {
	at, found := c.cancelledAt[id]
	return found && now.Sub(at) < cancelRetention
}
