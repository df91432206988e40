// Package load plays traces against a deployment, open loop: each event is
// sent at its time, whatever became of those before. What came back is counted
// in [Results].
package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/request"
	"tamarackpin.example/internal/submission"
	"tamarackpin.example/tamarackpinload/internal/caller"
	"tamarackpin.example/tamarackpinload/internal/standin"
	"tamarackpin.example/tamarackpinload/internal/trace"
)

// Player plays traces.
type Player struct {
	Client  *caller.Client
	Entries []string // callers' addresses of the entry VMs
	Run     string   // makes the ids of the work unlike those of other runs
	Fastest float64  // speed of the fastest target, for the ideal
	Wait    time.Duration

	balancer balancer
}

// resubmitEvery is how long a caller waits before it sends a submission again
// whose reply was lost.
const resubmitEvery = 200 * time.Millisecond

// Play sends every event of t at its time and waits for all replies.
func (p *Player) Play(ctx context.Context, t trace.Trace, seed uint64) *Results {
	results := &Results{}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go p.balancer.watch(ctx, p.Client.HTTP, p.Entries)
	random := rand.New(rand.NewPCG(seed, 0))
	begun := time.Now()
	var sent sync.WaitGroup
	for i, e := range t {
		entry := random.IntN(len(p.Entries))
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(begun.Add(e.At.Std()))):
		}
		if ctx.Err() != nil {
			break
		}
		sent.Go(func() {
			at := time.Now()
			o := p.send(ctx, e, fmt.Sprintf("%s-%d", p.Run, i), entry)
			o.Took = time.Since(at)
			o.Works = works(e, fmt.Sprintf("%s-%d", p.Run, i))
			o.Ideal = p.ideal(e)
			results.add(e, o)
		})
	}
	sent.Wait()
	return results
}

// works returns the ids of the pieces of work of e.
func works(e trace.Event, name string) []string {
	if !e.Submission() {
		return []string{name}
	}
	ids := make([]string, len(e.Work))
	for i := range ids {
		ids[i] = fmt.Sprintf("%s.%d", name, i)
	}
	return ids
}

// ideal is the time on an idle system: the longest task on the fastest target.
func (p *Player) ideal(e trace.Event) time.Duration {
	var longest time.Duration
	for _, w := range e.Work {
		longest = max(longest, w.Std())
	}
	return time.Duration(float64(longest) / p.Fastest)
}

func (p *Player) send(ctx context.Context, e trace.Event, name string, entry int) Outcome {
	if e.Submission() {
		return p.submit(ctx, e, name, entry)
	}
	body, err := json.Marshal(standin.Body{ID: name, Work: e.Work[0]})
	if err != nil {
		return Outcome{Fault: err.Error()}
	}
	reply, err := p.Client.Request(ctx, p.balancer.pick(p.Entries, entry), request.Request{
		Key: e.Key, Deadline: e.Deadline, Declared: e.Declared, Idempotent: e.Idempotent, Body: body,
	})
	if err != nil {
		return Outcome{Lost: true}
	}
	o := Outcome{Code: reply.Code, Outcome: reply.Outcome}
	if reply.Code == code.OK && !caller.Belongs(reply.Answer, name) {
		o.Fault = fmt.Sprintf("the answer to %s is %.100s", name, reply.Answer)
	}
	return o
}

// submit sends a submission, again under its id while replies are lost.
func (p *Player) submit(ctx context.Context, e trace.Event, name string, entry int) Outcome {
	s := submission.Submission{Key: e.Key, Deadline: e.Deadline}
	for i, w := range e.Work {
		body, err := json.Marshal(standin.Body{ID: fmt.Sprintf("%s.%d", name, i), Work: w})
		if err != nil {
			return Outcome{Fault: err.Error()}
		}
		s.Tasks = append(s.Tasks, submission.Task{Declared: e.Declared, Body: body})
	}
	end := time.Now().Add(p.Wait)
	var o Outcome
	var ids []submission.ID
	for try := 0; time.Now().Before(end) && ctx.Err() == nil; try++ {
		address := p.balancer.pick(p.Entries, entry+try)
		if ids == nil {
			ids, _ = p.Client.IDs(ctx, address, 1)
		}
		if ids != nil {
			status, err := p.Client.Submit(ctx, address, ids[0], s, time.Until(end))
			if err == nil && status.Code != code.LedgerUnreachable && status.Code != code.Draining && status.State != submission.Running {
				return judge(status, name)
			}
			o.Resubmissions++
			o.Lost = errors.Is(err, caller.ErrNoReply)
		}
		time.Sleep(resubmitEvery)
	}
	o.Lost = true
	return o
}

func judge(s submission.Status, name string) Outcome {
	o := Outcome{Code: s.Code, Outcome: s.Outcome}
	if s.Code != code.OK {
		if len(s.Answers) > 0 {
			o.Fault = fmt.Sprintf("submission %s failed and has %d answers", s.ID, len(s.Answers))
		}
		return o
	}
	if len(s.Answers) != s.Tasks {
		o.Fault = fmt.Sprintf("submission %s is complete with %d answers to %d tasks", s.ID, len(s.Answers), s.Tasks)
	}
	for i, a := range s.Answers {
		if !caller.Belongs(a, fmt.Sprintf("%s.%d", name, i)) {
			o.Fault = fmt.Sprintf("answer %d of submission %s is %.100s", i, s.ID, a)
		}
	}
	return o
}
