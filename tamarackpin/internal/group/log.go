package group

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/crash"
	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/latestart"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// logReforwarded logs the arrival of a job that was forwarded to this or another
// dispatcher before.
func (g *Group) logReforwarded(s *groupState, req forwardRequest) {
	a, pending := s.pool.Lookup(req.Request.Job.ID)
	if !pending && !req.Request.MayBeRunning {
		return
	}
	event.Log(g.config.Log, event.JobHandedAgain, zap.String("job", string(req.Request.Job.ID)), zap.Int("group", int(req.Group)),
		zap.String("gate", string(req.Ticket.Gate)), zap.Uint64("number", req.Ticket.Number), zap.Int("known", len(s.waiters[a])),
		zap.Bool("may_run", req.Request.MayBeRunning), zap.Duration("earlier_contact_age", req.Request.EarlierContactAge), zap.Duration("age", req.Request.Age))
}

// logAnswers logs each completed job with the ends that were counted for its tasks, each refusal,
// and each answer that no gate waits for.
func (g *Group) logAnswers(s *groupState, answers []pool.Answer) {
	for _, a := range answers {
		gates := len(s.waiters[a.Admission])
		if a.Outcome == job.Completed {
			event.Log(g.config.Log, event.JobCompleted, zap.String("job", string(a.Job)), zap.Int64("fence", int64(s.leadership.Claim().Fence)),
				zap.Int("tasks", len(a.Tasks)), zap.Any("ends", a.Tasks[:min(len(a.Tasks), maxLoggedTasks)]))
		}
		fields := []zap.Field{
			zap.String("job", string(a.Job)), zap.Int64("fence", int64(s.leadership.Claim().Fence)), zap.String("outcome", string(a.Outcome)),
			zap.String("reason", a.Reason), zap.Bool("elsewhere", a.TryElsewhere), zap.Int("gates", gates),
		}
		switch {
		case gates == 0:
			event.Log(g.config.Log, event.AnswerUnclaimed, fields...)
		case a.Outcome == job.NotRun:
			event.Log(g.config.Log, event.JobRefused, fields...)
		}
	}
}

// maxLoggedTasks bounds the tasks of a job in one line.
const maxLoggedTasks = 16

// logStarts logs the start orders of the first task of each step, of runs after the first, and of
// jobs that no gate waits for, and each repeated order. Their fields say what was known of the worker.
func (g *Group) logStarts(now time.Time, s *groupState, orders []pool.Order) {
	if !slices.ContainsFunc(orders, func(o pool.Order) bool { return o.Kind == pool.StartOrder }) {
		return
	}
	takeover := s.pool.Takeover(now)
	for _, o := range orders {
		if o.Kind != pool.StartOrder {
			continue
		}
		a, pending := s.pool.Lookup(o.Task.Job)
		if !pending {
			continue // withdrawn at the same moment
		}
		id, gates := event.JobStarted, len(s.waiters[a])
		switch {
		case gates == 0:
			id = event.StartUnclaimed
		case o.Repeated:
			id = event.StartRepeated
		case o.Task.Index > 0 && o.Run == 1:
			continue
		case len(takeover.Unlisted) > 0 && takeover.Since < unlistedLogTime || !takeover.RunsKnown:
			id = event.StartUnlisted
		}
		fields := []zap.Field{
			zap.String("job", string(o.Task.Job)), zap.Int("step", o.Task.Step), zap.Int("index", o.Task.Index),
			zap.Int("run", int(o.Run)), zap.String("worker", string(o.Worker)), zap.Int("group", slices.Index(g.groups, s)), zap.Int64("epoch", int64(g.division.Epoch)),
			zap.Int64("fence", int64(o.Fence)), zap.Int("gates", gates),
			zap.Duration("gate_silence", now.Sub(g.gateContact(now, s.waiters[a]).HeardAt)), zap.Duration("after_takeover", takeover.Since),
		}
		fields = append(fields, workerFields(now, o)...)
		if id == event.StartUnlisted {
			fields = append(fields, takeoverFields(takeover)...)
		}
		event.Log(g.config.Log, id, fields...)
	}
}

// workerFields returns the fields that say what the dispatcher knew of the worker of a start order.
func workerFields(now time.Time, o pool.Order) []zap.Field {
	fields := []zap.Field{
		zap.Int64("incarnation", int64(o.Incarnation)), zap.Int64("announced_incarnation", int64(o.Known.Incarnation)), zap.Uint64("announced_sequence", o.Known.Sequence),
		zap.Bool("worker_leaving", o.Known.Leaving), zap.Bool("worker_deregistered", o.Known.Deregistered),
		zap.Duration("announcement_age", now.Sub(o.Known.AnnouncedAt)),
	}
	if !o.Known.RepliedAt.IsZero() {
		fields = append(fields, zap.Duration("reply_age", now.Sub(o.Known.RepliedAt)))
	}
	return fields
}

// unlistedLogTime is how long after a takeover starts are logged as made before all workers have listed
// their runs: twice the time for which a run of an earlier dispatcher may go on. A worker that
// crashed before the takeover never lists any.
const unlistedLogTime = 3 * time.Second

// maxLoggedWorkers bounds the names of workers in one line.
const maxLoggedWorkers = 8

// takeoverFields returns the fields that say what is known of the runs of earlier dispatchers.
func takeoverFields(t pool.Takeover) []zap.Field {
	return []zap.Field{
		zap.Int("workers", t.Workers), zap.Bool("workers_incomplete", t.WorkersIncomplete), zap.Bool("runs_inherited", t.RunsInherited),
		zap.Int("unlisted_count", len(t.Unlisted)), zap.Any("unlisted", t.Unlisted[:min(len(t.Unlisted), maxLoggedWorkers)]),
	}
}

// logRunsKnown logs, once after a takeover, that the runs of earlier dispatchers are known or over.
func (g *Group) logRunsKnown(now time.Time, s *groupState) {
	if s.runsKnownLogged {
		return
	}
	t := s.pool.Takeover(now)
	if !t.RunsKnown || t.Workers == 0 {
		return
	}
	s.runsKnownLogged = true
	event.Log(g.config.Log, event.RunsListed, append(takeoverFields(t), zap.Duration("after_takeover", t.Since), zap.Int64("fence", int64(s.leadership.Claim().Fence)))...)
}

// logLosses logs each task under which a worker was lost, and each change of the evidence.
func (g *Group) logLosses(records []crash.Record) {
	for _, r := range records {
		event.Log(g.config.Log, event.WorkerLost, zap.String("job", string(r.Task.Job)), zap.Int("step", r.Task.Step), zap.Int("index", r.Task.Index),
			zap.String("worker", string(r.Worker)), zap.Int64("incarnation", int64(r.Incarnation)), zap.String("evidence", string(r.Evidence)))
	}
}

// logLateStarts logs each start without a reply.
func (g *Group) logLateStarts(records []latestart.Record) {
	for _, r := range records {
		event.Log(g.config.Log, event.StartUnanswered, zap.String("job", string(r.Task.Job)), zap.Int("step", r.Task.Step), zap.Int("index", r.Task.Index),
			zap.Int("run", int(r.Run)), zap.String("worker", string(r.Worker)))
	}
}

// logFound logs each run that a worker lists and that its dispatcher had not ordered there.
func (g *Group) logFound(s *groupState) {
	for _, f := range s.pool.TakeFound() {
		event.Log(g.config.Log, event.RunFound, zap.String("job", string(f.Task.Job)), zap.Int("step", f.Task.Step), zap.Int("index", f.Task.Index),
			zap.Int("run", int(f.Run)), zap.String("worker", string(f.Worker)), zap.Int64("incarnation", int64(f.Incarnation)),
			zap.Duration("worker_known_for", f.KnownFor), zap.Bool("listed_before", f.ListedBefore), zap.Duration("after_takeover", f.SinceTakeover),
			zap.String("assigned_to", string(f.AssignedTo)), zap.String("task_phase", f.TaskPhase), zap.Int64("fence", int64(s.leadership.Claim().Fence)))
	}
}

// logUnanswered logs a forward without an answer. One that was never sent is not logged,
// as the gate forwards again some milliseconds later.
func (g *Group) logUnanswered(to Leader, number uint64, id job.ID, took time.Duration, result ForwardResult) {
	if result.Answered || peer.NotSent(result.Err) {
		return
	}
	fields := []zap.Field{
		zap.String("job", string(id)), zap.String("to", string(to.VM)), zap.Int("group", int(to.Group)), zap.Int64("fence", int64(to.Claim.Fence)),
		zap.Uint64("number", number), zap.Bool("may_run", result.MayBeRunning), zap.Duration("took", took),
	}
	if result.Err != nil {
		fields = append(fields, event.Err(result.Err))
	}
	event.Log(g.config.Log, event.HandOverLost, fields...)
}

// logLeaderChanges logs each group whose leader, or its claim, has changed.
func (g *Group) logLeaderChanges(before, now []Leader) {
	for i, l := range now {
		var old vm.ID
		if i < len(before) {
			old = before[i].VM
		}
		if i < len(before) && before[i] == l {
			continue
		}
		event.Log(g.config.Log, event.LeaderFollowed, zap.Int("group", i), zap.Int64("epoch", int64(l.Epoch)), zap.String("vm", string(l.VM)),
			zap.Int64("fence", int64(l.Claim.Fence)), zap.String("before", string(old)))
	}
}
