package gate

import (
	"context"
	"testing"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/pool"
)

// TestJobOfDepartedCallerIsNotSent: a gate sent a job to its dispatcher, after a lost leadership again, or to another group,
// without a look whether its caller had left (review/6).
func TestJobOfDepartedCallerIsNotSent(t *testing.T) {
	elsewhere := pool.Answer{Outcome: job.NotRun, TryElsewhere: true, OffloadTo: pool.Destination{FailureDomain: "b", VM: "ip-0a000002"}}
	for _, c := range []struct {
		name    string
		sent    int // calls before the caller leaves
		reply   runReply
		outcome job.Outcome
	}{
		{"before the first call", 0, runReply{}, job.NotRun},
		{"before the job is forwarded again", 1, runReply{Admitted: true}, job.Abandoned},
		{"before the job is offloaded", 1, runReply{Answer: elsewhere, Answered: true, Admitted: true}, job.NotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &standInLeader{answer: func(int, pool.Request) runReply { return c.reply }}
			g := s.serve(t)
			sent := func() int {
				s.mu.Lock()
				defer s.mu.Unlock()
				return len(s.calls)
			}
			g.CallerLeft = func(context.Context) bool { return sent() >= c.sent }
			a := g.Run(t.Context(), pool.Request{Job: job.Job{ID: "a"}, RemainingWait: 3 * time.Second})
			if sent() != c.sent || a.Outcome != c.outcome {
				t.Errorf("%d calls and the answer %+v, want %d and %s", sent(), a, c.sent, c.outcome)
			}
		})
	}
}
