package pool

import (
	"maps"
	"time"

	"tamarackpin.example/internal/job"
)

// offload is a job of this group that was returned to its gate, which offloads it.
type offload struct {
	to    Destination
	until time.Time // when its caller stops waiting
}

// recordOffload records that j is returned to its gate to be offloaded. Until the caller stops waiting, or a gate
// says that the other group has refused the job, that group may run it.
func (p *Pool) recordOffload(j *jobState) {
	if j.OffloadTo == (Destination{}) {
		return // from a gate of an earlier build
	}
	if p.offloads == nil {
		p.offloads = make(map[job.ID]offload)
	}
	p.offloads[j.Job.ID] = offload{j.OffloadTo, j.callerDeadline}
}

// tryElsewhere makes a the answer with which j is returned to its gate, to be offloaded, or to be offered to another group
// by the gate that offloaded it here.
func (p *Pool) tryElsewhere(j *jobState, a *Answer) {
	a.TryElsewhere = true
	if j.Offloaded {
		return
	}
	p.recordOffload(j)
	a.OffloadTo, a.Offered = j.OffloadTo, j.OffloadTo != Destination{}
}

// redirect returns a job to its gate that another group may be running, since it was offloaded for an earlier
// try of its caller, and reports whether it did. That group answers both tries.
func (p *Pool) redirect(now time.Time, r Request) (Admission, bool) {
	o, offloaded := p.offloads[r.Job.ID]
	switch {
	case !offloaded || now.After(o.until):
		return Admission{}, false
	case r.OffloadRefused && (r.RefusedBy == (Destination{}) || o.to.SameGroup(r.RefusedBy)):
		delete(p.offloads, r.Job.ID) // a refusal of another group is that of an earlier offload
		return Admission{}, false
	}
	o.until = later(o.until, now.Add(r.RemainingWait))
	p.offloads[r.Job.ID] = o
	p.lastAdmission++
	a := Admission{r.Job.ID, p.lastAdmission}
	p.answers = append(p.answers, Answer{Admission: a, Outcome: job.NotRun, Reason: "another group has it", RetryAfter: minRetryAfter, TryElsewhere: true, OffloadTo: o.to})
	return a, true
}

// expireOffloads drops the offloads whose callers do not wait any more.
func (p *Pool) expireOffloads(now time.Time) {
	maps.DeleteFunc(p.offloads, func(_ job.ID, o offload) bool { return now.After(o.until) })
}
