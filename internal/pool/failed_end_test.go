package pool

import (
	"testing"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/worker"
)

// TestFailedEndCountsOnce: one failed end is listed again and again, by a worker whose
// acknowledgements of ends are lost, also to a successor and after the job was submitted
// again. The job may have two.
func TestFailedEndCountsOnce(t *testing.T) {
	r := request("j", 1, 60*time.Millisecond)
	r.RemainingWait = 20 * time.Second
	for name, then := range map[string]func(s *failingSite){
		"repeated list": func(*failingSite) {},
		"takeover":      func(s *failingSite) { s.replace(r, Config{}) },
		"division":      func(s *failingSite) { s.replace(r, Config{DividedAt: s.now}) },
		"resubmission": func(s *failingSite) { // the run that has begun elsewhere goes on, and the task with it
			s.pool.Withdraw(s.now, s.admission)
			s.pool.Submit(s.now, r)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := &failingSite{harness: newHarness(t, 2), ended: make(map[worker.ID][]End), ending: make(map[worker.ID][]End), listed: make(map[worker.ID]int)}
			s.admission = s.pool.Submit(s.now, r)
			for range 100 {
				if s.step(); s.failed == 1 {
					break
				}
			}
			if s.failed != 1 || s.jobFailed {
				t.Fatalf("%d failed ends, job failed %v; want 1, false", s.failed, s.jobFailed)
			}
			then(s)
			for range 600 {
				if s.step(); s.jobFailed {
					break
				}
			}
			if s.failed != r.MaxAttempts || !s.jobFailed {
				t.Errorf("%d failed ends, job failed %v; want %d, true", s.failed, s.jobFailed, r.MaxAttempts)
			}
		})
	}
}

// failingSite drives a harness whose runs fail, each after one more list of its worker's
// earlier ends.
type failingSite struct {
	*harness
	admission Admission
	ended     map[worker.ID][]End // all of them are listed each time
	ending    map[worker.ID][]End // listed from the next time on
	listed    map[worker.ID]int   // number of those that were listed
	failed    int                 // ends listed to the present dispatcher for the first time
	jobFailed bool
}

// replace has another dispatcher take over the workers and the job.
func (s *failingSite) replace(r Request, c Config) {
	c.Fence, c.LeaseMax, c.StopMax = 2, time.Second, 50*time.Millisecond
	s.pool, s.buffered, s.failed = New(s.now, c), nil, 0
	s.announce("w0", 1)
	s.announce("w1", 1)
	r.MayBeRunning = true
	s.pool.Submit(s.now, r)
}

func (s *failingSite) step() {
	s.advance(10 * time.Millisecond)
	orders, answers := s.takePending()
	for _, a := range answers {
		s.jobFailed = s.jobFailed || a.Outcome == job.Failed
	}
	for _, o := range orders {
		reply := Reply{Done: true}
		switch o.Kind {
		case StartOrder:
			n := uint64(len(s.ended[o.Worker]) + len(s.ending[o.Worker]) + 1)
			s.ending[o.Worker] = append(s.ending[o.Worker], End{Number: n, Task: o.Task, Run: o.Run, Kind: EndedFailed})
		case RenewOrder:
			reply.EndedRuns = s.ended[o.Worker]
			if len(s.ending[o.Worker]) > 0 && len(s.pool.workers[o.Worker].tasks) > 0 {
				reply.Running = []RunningTask{{Task: s.ending[o.Worker][0].Task, Run: s.ending[o.Worker][0].Run}}
			}
		}
		s.reply(o, reply)
		if o.Kind == RenewOrder {
			s.failed += len(s.ended[o.Worker]) - s.listed[o.Worker]
			s.listed[o.Worker] = len(s.ended[o.Worker])
			s.ended[o.Worker] = append(s.ended[o.Worker], s.ending[o.Worker]...)
			delete(s.ending, o.Worker)
		}
	}
}
