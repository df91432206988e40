package pool

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/lead"
)

// maxUnclaimedJobs bounds the unclaimed jobs that are kept, above those of all gates of a failure domain. Further ones are not recorded.
const maxUnclaimedJobs = 8192

// UnclaimedJobs holds the jobs that were offloaded, that no gate waits for any more, and whose runs may continue in the group that they were
// offloaded to. A caller may submit such a job again to its own group, which a dispatcher may have taken over that does not know
// of the offload. It is not safe for concurrent use. The zero UnclaimedJobs is empty.
type UnclaimedJobs struct {
	jobs    map[job.ID]unclaimedJob
	reports []UnclaimedJob // not yet taken by TakeReports
}

// unclaimedJob is a job whose runs end by some time.
type unclaimedJob struct {
	until    time.Time
	reporter lead.Fence // of the Pool that has the runs; zero if that is on another VM
}

// UnclaimedJob says that no run of a job continues after Until in the group that reports it.
type UnclaimedJob struct {
	Job   job.ID
	Until time.Time // local time
}

// Merge records jobs that another entry VM has reported.
func (u *UnclaimedJobs) Merge(now time.Time, list []UnclaimedJob) {
	for _, r := range list {
		u.put(now, r, 0)
	}
}

// report records a job that a Pool of this VM has.
func (u *UnclaimedJobs) report(now time.Time, r UnclaimedJob, reporter lead.Fence) {
	if u.put(now, r, reporter) {
		u.reports = append(u.reports, r)
	}
}

// put records a job and reports whether it is new or may run for longer than was known.
func (u *UnclaimedJobs) put(now time.Time, r UnclaimedJob, reporter lead.Fence) bool {
	known, found := u.jobs[r.Job]
	if !now.Before(r.Until) || !r.Until.After(known.until) || !found && len(u.jobs) >= maxUnclaimedJobs {
		return false
	}
	if u.jobs == nil {
		u.jobs = make(map[job.ID]unclaimedJob)
	}
	u.jobs[r.Job] = unclaimedJob{r.Until, reporter}
	return true
}

// mayRun reports whether a job may be running under another Pool than that of the given fence.
func (u *UnclaimedJobs) mayRun(now time.Time, id job.ID, own lead.Fence) bool {
	known, found := u.jobs[id]
	return found && now.Before(known.until) && known.reporter != own
}

// Expire drops the jobs whose runs have ended.
func (u *UnclaimedJobs) Expire(now time.Time) {
	maps.DeleteFunc(u.jobs, func(_ job.ID, known unclaimedJob) bool { return !now.Before(known.until) })
}

// TakeReports returns the jobs that Pools of this VM reported since its last call.
func (u *UnclaimedJobs) TakeReports() []UnclaimedJob {
	reports := u.reports
	u.reports = nil
	return reports
}

// UnclaimedMessage is an UnclaimedJob as entry VMs send it to each other, whose clocks differ.
type UnclaimedMessage struct {
	Job       job.ID        `json:"job"`
	Remaining time.Duration `json:"remaining"` // until its runs have ended
}

// Message returns r as it is sent at now.
func (r UnclaimedJob) Message(now time.Time) UnclaimedMessage {
	return UnclaimedMessage{r.Job, r.Until.Sub(now)}
}

// Received returns the UnclaimedJob of a message that arrives at now. It ends later than that of the sender, by the time that the message
// took.
func (m UnclaimedMessage) Received(now time.Time) UnclaimedJob {
	return UnclaimedJob{m.Job, now.Add(m.Remaining)}
}

// UnmarshalJSON decodes and checks an UnclaimedMessage.
func (m *UnclaimedMessage) UnmarshalJSON(b []byte) error {
	type plain UnclaimedMessage
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return errors.Wrap(err, "decoding an unclaimed job")
	}
	if p.Job == "" {
		return errors.New("an unclaimed job has no id")
	}
	if p.Remaining > maxRunSilence {
		return errors.Newf("an unclaimed job may run for %s: want at most %s", p.Remaining, maxRunSilence)
	}
	*m = UnclaimedMessage(p)
	return nil
}

// reportUnclaimed reports j if it was offloaded here and has runs that may continue. No lease outlasts maxRunSilence after the newest
// message of its gate.
func (p *Pool) reportUnclaimed(now time.Time, j *jobState) {
	if j.Offloaded && j.closed && slices.ContainsFunc(j.tasks, (*task).assigned) {
		p.unclaimed.report(now, UnclaimedJob{j.Job.ID, j.gate.HeardAt.Add(maxRunSilence)}, p.config.Fence)
	}
}

// runsUnclaimed reports whether j may be running in another group, to which it was offloaded for an earlier try of its caller. If so, j
// is considered started from then on.
func (p *Pool) runsUnclaimed(now time.Time, j *jobState) bool {
	runs := p.unclaimed.mayRun(now, j.Job.ID, p.config.Fence)
	j.mayHaveStarted = j.mayHaveStarted || runs
	return runs
}
