package group

import (
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// logHandedAgain writes a line for a job that this dispatcher or another one had
// before.
func (g *Group) logHandedAgain(p *part, w work) {
	a, inHand := p.pool.Lookup(w.Request.Job.ID)
	if !inHand && !w.Request.MayBeRunning {
		return
	}
	event.Log(g.config.Log, event.JobHandedAgain, zap.String("job", string(w.Request.Job.ID)), zap.Int("group", int(w.Group)),
		zap.String("gate", string(w.Ticket.Gate)), zap.Uint64("number", w.Ticket.Number), zap.Int("known", len(p.waiters[a])),
		zap.Bool("may_run", w.Request.MayBeRunning), zap.Duration("age", w.Request.Age))
}

// logAnswers writes a line for each refusal, and for each answer that nobody waits
// for.
func (g *Group) logAnswers(p *part, answers []pool.Answer) {
	for _, a := range answers {
		gates := len(p.waiters[a.Admission])
		fields := []zap.Field{
			zap.String("job", string(a.Job)), zap.Int64("fence", int64(p.leadership.Claim().Fence)), zap.String("outcome", string(a.Outcome)),
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

// logStarts writes a line for the first task of each job that is ordered to start,
// and for each task that starts for nobody.
func (g *Group) logStarts(p *part, orders []pool.Order) {
	for _, o := range orders {
		if o.Kind != pool.StartOrder {
			continue
		}
		a, inHand := p.pool.Lookup(o.Task.Job)
		if !inHand {
			continue // withdrawn at the same moment
		}
		id, gates := event.JobStarted, len(p.waiters[a])
		switch {
		case gates == 0:
			id = event.StartUnclaimed
		case o.Task.Index > 0:
			continue
		}
		event.Log(g.config.Log, id, zap.String("job", string(o.Task.Job)), zap.Int("step", o.Task.Step), zap.Int("index", o.Task.Index),
			zap.Int("run", int(o.Run)), zap.String("worker", string(o.Worker)), zap.Int64("fence", int64(o.Fence)), zap.Int("gates", gates))
	}
}

// logHandOver writes a line for a hand-over that had no answer. One that never left is
// made again some milliseconds later, and leaves none.
func (g *Group) logHandOver(to Leader, number uint64, id job.ID, took time.Duration, h Handed) {
	if h.Answered || peer.NotSent(h.Err) {
		return
	}
	fields := []zap.Field{
		zap.String("job", string(id)), zap.String("to", string(to.VM)), zap.Int("group", int(to.Group)), zap.Int64("fence", int64(to.Claim.Fence)),
		zap.Uint64("number", number), zap.Bool("may_run", h.MayRun), zap.Duration("took", took),
	}
	if h.Err != nil {
		fields = append(fields, event.Err(h.Err))
	}
	event.Log(g.config.Log, event.HandOverLost, fields...)
}

// logFollowed writes a line for each group whose dispatcher is another one now.
func (g *Group) logFollowed(before, now []Leader) {
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
