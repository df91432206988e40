package gate

import (
	"maps"
	"time"

	"tamarackpin.example/internal/job"
)

// isGivenUp reports whether dispatchers failed on a job within givenUpRetention.
func (g *Gate) isGivenUp(now time.Time, id job.ID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	at, found := g.givenUpAt[id]
	return found && now.Sub(at) < givenUpRetention
}

// recordGivenUp notes that dispatchers failed on a job. If there are maxGivenUp already, only
// those within givenUpRetention are kept, and the new one if that makes room.
func (g *Gate) recordGivenUp(now time.Time, id job.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.givenUpAt == nil {
		g.givenUpAt = make(map[job.ID]time.Time)
	}
	if len(g.givenUpAt) >= maxGivenUp {
		maps.DeleteFunc(g.givenUpAt, func(_ job.ID, at time.Time) bool { return now.Sub(at) >= givenUpRetention })
	}
	if len(g.givenUpAt) < maxGivenUp {
		g.givenUpAt[id] = now
	}
}
