package pool

import "time"

// GateContact is a dispatcher's contact with the gates that wait for an admission, usually one. With several
// gates, each field is that of the gate with the earliest time.
type GateContact struct {
	// HeardAt is when the gate sent the newest message that arrived.
	HeardAt time.Time
	// ConfirmedAt is the latest time up to which the gate is known not to have forwarded the job to
	// another dispatcher.
	ConfirmedAt time.Time
}

// Bounds for the jobs of silent gates. Such a gate may have forwarded the job to the
// next dispatcher, or its caller submits the job again through another gate, anywhere,
// callerRetryDelay after the loss of this one. So no lease of a job outlasts the newest message of its gate by
// callerRetryDelay, unless its worker has restarted without the dispatcher knowing.
const (
	// callerRetryDelay is how long after a lost connection callers submit a job again, as the platform
	// states it.
	callerRetryDelay = 1300 * time.Millisecond
	// maxLeaseSilence is the longest silence of its gate in which a job is started and leases of
	// its runs are extended: with a lease, on a clock that may be slow, less than callerRetryDelay.
	maxLeaseSilence = 550 * time.Millisecond
	// maxRunSilence is how long after the newest message of its gate a run may last. It is started within
	// maxLeaseSilence, the order arrives within OrderTimeout, and if the worker has restarted, the deadline is on the clock
	// of its earlier process: then it grants the longest lease, one second on a clock that may be slow.
	maxRunSilence = maxLeaseSilence + OrderTimeout + 1050*time.Millisecond
	// MaxGateSilence is the silence of a gate after which its jobs are to be withdrawn, before the leases of
	// other runs on the same workers lapse. They lapse nevertheless if the gates of several jobs on a worker
	// fall silent one after the other.
	MaxGateSilence = 900 * time.Millisecond
)

// observeGate updates the gate contact of a pending job.
func (p *Pool) observeGate(now time.Time, j *jobState) {
	c := GateContact{HeardAt: now, ConfirmedAt: now}
	if p.config.GateContact != nil {
		c = p.config.GateContact(now, j.admission)
	}
	j.gate.HeardAt, j.gate.ConfirmedAt = later(j.gate.HeardAt, c.HeardAt), later(j.gate.ConfirmedAt, c.ConfirmedAt)
}

// observeGates updates the gate contacts of all pending jobs.
func (p *Pool) observeGates(now time.Time) {
	for _, j := range p.jobs {
		if !j.closed {
			p.observeGate(now, j)
		}
	}
}

// gateSilent reports whether a gate of j has been silent for too long for j to get leases.
func (p *Pool) gateSilent(now time.Time, j *jobState) bool {
	return p.config.GateContact != nil && now.Sub(j.gate.HeardAt) > maxLeaseSilence
}

// lapseProven reports whether the newest run of t, if its leases have lapsed by the reckoning of this
// Pool, has ended. A later dispatcher to which a gate forwarded the job before may have
// extended them.
func (t *task) lapseProven() bool {
	return t.lapsedAt.IsZero() || !t.job.gate.ConfirmedAt.Before(t.lapsedAt)
}
