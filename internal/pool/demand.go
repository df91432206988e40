package pool

import (
	"math"
	"time"
)

const (
	// Time constants of the means of a group's demand. The waves of demand to withstand have periods of 11 and 13 s. With 1.5
	// and 6 s the difference of the means followed such a wave by 17 degrees, with these it precedes it by 27.
	shortDemandTime = 700 * time.Millisecond
	longDemandTime  = 2 * time.Second
	// demandHorizon is how long a report is used (fleet).
	demandHorizon = 1500 * time.Millisecond
	// demandNoise is the share of the demand by which the extrapolation is off by chance, at 100 jobs a second.
	demandNoise = 0.1
)

// demand is the work that a group's own jobs bring, in tasks that run at the same time: arrivals in a second times their work in
// seconds, as exponentially weighted means over a short and a long time. The zero demand has seen no job.
type demand struct {
	short, long float64
	since, at   time.Time // of the first and of the newest update
}

// add records the arrival of tasks that need so much work in all.
func (d *demand) add(now time.Time, work time.Duration) {
	d.decay(now)
	d.short += work.Seconds() / shortDemandTime.Seconds()
	d.long += work.Seconds() / longDemandTime.Seconds()
}

func (d *demand) decay(now time.Time) {
	if d.since.IsZero() {
		d.since, d.at = now, now
	}
	if passed := now.Sub(d.at); passed > 0 {
		d.short *= math.Exp(-passed.Seconds() / shortDemandTime.Seconds())
		d.long *= math.Exp(-passed.Seconds() / longDemandTime.Seconds())
		d.at = now
	}
}

// rise returns by how many slots the demand will have risen, beyond noise, when a report made now is no longer used, or 0. It is 0
// until the long mean has seen enough.
func (d *demand) rise(now time.Time) int {
	d.decay(now)
	if now.Sub(d.since) < 3*longDemandTime {
		return 0
	}
	slope := (d.short - d.long) / (longDemandTime - shortDemandTime).Seconds()
	return max(0, int(slope*demandHorizon.Seconds()-demandNoise*d.long))
}
