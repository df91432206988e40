package pool

import (
	"math"
	"time"

	"tamarackpin.example/internal/routes"
)

// Periods over which the demand of a row is averaged. The usual demand follows the waves of demand, which last
// over ten seconds, only slowly; the recent demand shows a surge within a second or two.
const (
	usualPeriod  = 30 * time.Second
	recentPeriod = 2 * time.Second
)

// shares knows the usual and the recent demand of each row, by work in core-seconds a second. The zero
// value knows none.
type shares struct {
	rows map[routes.RowName]*rowDemand
}

// rowDemand is the demand of a row as of a time.
type rowDemand struct {
	since, at     time.Time // of the first job, and of the averages
	lastJob       time.Time // when the newest job came
	usual, recent float64   // in core-seconds a second
	jobs          float64   // number of recent jobs
}

// decay ages the averages of d to now.
func (d *rowDemand) decay(now time.Time) {
	passed := max(0, now.Sub(d.at))
	d.usual *= math.Exp(-passed.Seconds() / usualPeriod.Seconds())
	d.recent *= math.Exp(-passed.Seconds() / recentPeriod.Seconds())
	d.jobs *= math.Exp(-passed.Seconds() / recentPeriod.Seconds())
	d.at = later(d.at, now)
}

// add records a job of a row.
func (s *shares) add(now time.Time, r routes.RowName, coreSeconds float64) {
	if s.rows == nil {
		s.rows = make(map[routes.RowName]*rowDemand)
	}
	d := s.rows[r]
	if d == nil {
		d = &rowDemand{since: now, at: now}
		s.rows[r] = d
	}
	d.decay(now)
	d.lastJob = now
	d.usual += coreSeconds / usualPeriod.Seconds()
	d.recent += coreSeconds / recentPeriod.Seconds()
	d.jobs++
}

// averages returns the usual and the recent demand of d, which was aged to its at, corrected for the time since
// its first job.
func (d *rowDemand) averages() (usual, recent float64) {
	age := max(time.Millisecond, d.at.Sub(d.since)).Seconds()
	return d.usual / (1 - math.Exp(-age/usualPeriod.Seconds())), d.recent / (1 - math.Exp(-age/recentPeriod.Seconds()))
}

// overload tells which rows are over their share.
type overload struct {
	usual map[routes.RowName]float64 // share of the usual demand
	over  map[routes.RowName]bool    // the demand grew more than that of all rows
}

// overload returns the rows whose demand grew more than that of all rows together, by more than chance
// explains: two standard deviations of the number of the row's recent jobs. Rows without demand are dropped.
func (s *shares) overload(now time.Time) overload {
	o := overload{usual: make(map[routes.RowName]float64), over: make(map[routes.RowName]bool)}
	var allUsual, allRecent float64
	for r, d := range s.rows {
		if now.Sub(d.lastJob) > 5*usualPeriod {
			delete(s.rows, r)
			continue
		}
		d.decay(now)
		usual, recent := d.averages()
		o.usual[r] = usual
		allUsual += usual
		allRecent += recent
	}
	for r, usual := range o.usual {
		d := s.rows[r]
		_, recent := d.averages()
		o.over[r] = d.jobs >= 1 && recent*allUsual > usual*allRecent*(1+2/math.Sqrt(d.jobs))
		o.usual[r] = usual / max(1e-9, allUsual)
	}
	return o
}
