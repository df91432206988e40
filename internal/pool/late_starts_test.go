package pool

import (
	"time"

	"tamarackpin.example/internal/latestart"
)

// shareDelay is how long the starts without a reply of one dispatcher are under way to the
// other entry VMs.
const shareDelay = 120 * time.Millisecond

// lateStartSharing passes the starts without a reply of each dispatcher on to the others, and
// to those that take over later. The zero value is ready for use.
type lateStartSharing struct {
	logs     []*latestart.Log // by dispatcher
	underWay []sharedLateStarts
	known    latestart.Log // what has arrived
}

type sharedLateStarts struct {
	arrivesAt time.Time
	records   []latestart.Record
}

// newLog returns the log of a dispatcher that takes over at now.
func (s *lateStartSharing) newLog(now time.Time) *latestart.Log {
	l := &latestart.Log{}
	l.Merge(now, s.known.Records(now))
	s.logs = append(s.logs, l)
	return l
}

// share sends the new records of the dispatchers whose processes live, and delivers what has
// arrived.
func (s *lateStartSharing) share(sim *simulation) {
	if sim.fault == faultLateStartsForgotten {
		for _, l := range s.logs {
			*l = latestart.Log{}
		}
		return
	}
	for i, l := range s.logs {
		if records := l.TakeChanges(); len(records) > 0 && !sim.wasKilled(i) {
			s.underWay = append(s.underWay, sharedLateStarts{sim.now.Add(shareDelay), records})
		}
	}
	for len(s.underWay) > 0 && !sim.now.Before(s.underWay[0].arrivesAt) {
		for _, l := range append([]*latestart.Log{&s.known}, s.logs...) {
			l.Merge(sim.now, s.underWay[0].records)
		}
		s.underWay = s.underWay[1:]
	}
	s.known.Expire(sim.now)
	for _, l := range s.logs {
		l.Expire(sim.now)
	}
}
