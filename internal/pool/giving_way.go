package pool

import (
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/routes"
)

// maxGivingWay bounds the number of jobs that give way in one run of shedLoad, each of which costs another forecast.
// Further jobs that would be late are late themselves.
const maxGivingWay = 8

// expectLate marks the jobs that are expected to miss their objective deadline, given the work ahead of
// them, as expectedLate, and returns them with the forecast of the others. A job that would be late is not,
// if an earlier one that gives way to it is late instead. Jobs that may have started do not give way.
func (p *Pool) expectLate(now time.Time, queue []*jobState, free forecast) (late []*jobState, f forecast) {
	f = make(forecast, len(free))
	before := make(forecast, len(free))
	rows := p.shares.overload(now)
	gaveWay := make(map[*jobState]bool)
again:
	for {
		copy(f, free)
		late = late[:0]
		var served []*jobState
		for _, j := range queue {
			switch {
			case j.begun():
				j.expectedLate = false
				f.add(p, j)
				continue
			case gaveWay[j] || j.deadlineClass(now) > 0:
				j.expectedLate = true
				late = append(late, j)
				continue
			}
			copy(before, f)
			j.expectedLate = f.add(p, j).After(j.objectiveDeadline.Add(shedSlack))
			if !j.expectedLate {
				if !p.mayHaveStarted(now, j) {
					served = append(served, j)
				}
				continue
			}
			if len(gaveWay) < maxGivingWay {
				if victim := p.givesWay(j, served, rows); victim != j {
					gaveWay[victim] = true
					continue again
				}
			}
			late = append(late, j)
			copy(f, before)
		}
		return late, f
	}
}

// givesWay returns which of j and the jobs served before it gives way. Jobs of a row over its share give way first, as
// long as the row keeps its usual share of the work served. Otherwise a row gives way to no other: of the
// jobs of j's row, the one that needs the most work for its answer does.
func (p *Pool) givesWay(j *jobState, served []*jobState, s overload) *jobState {
	total := j.work
	byRow := map[routes.RowName]float64{j.Row: j.work}
	for _, other := range served {
		total += other.work
		byRow[other.Row] += other.work
	}
	victim, victimOver := j, s.over[j.Row] && byRow[j.Row]-j.work >= s.usual[j.Row]*total
	for _, other := range served {
		over := s.over[other.Row] && byRow[other.Row]-other.work >= s.usual[other.Row]*total
		switch {
		case over != victimOver:
			if over {
				victim, victimOver = other, true
			}
		case (over || other.Row == j.Row) && other.work > victim.work:
			victim = other
		}
	}
	return victim
}

// totalWork returns the expected core-seconds of j.
func (j *jobState) totalWork(workOf func(*job.Step) time.Duration) (coreSeconds float64) {
	for i := range j.Job.Steps {
		s := &j.Job.Steps[i]
		coreSeconds += float64(s.Count) * float64(s.Need.MilliCores) / 1000 * workOf(s).Seconds()
	}
	return coreSeconds
}
