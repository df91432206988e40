package group

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// otherGroup stands in for the dispatcher of another group: it answers pings after
// pingLag, and each job as completed after jobTime.
type otherGroup struct {
	pingLag, jobTime time.Duration
	answered         job.ID // the job that the answers name, if not the one that was asked for
	pings            atomic.Int64
	withdrawn        atomic.Uint64 // number of the newest withdrawal
}

// serve starts the stand-in on a loopback address and returns a Group that reaches it.
func (o *otherGroup) serve(t *testing.T) *Group {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var x peer.Mux
	peer.Handle(&x, methodPing, func(context.Context, vm.ID, struct{}) (struct{}, error) {
		o.pings.Add(1)
		time.Sleep(o.pingLag)
		return struct{}{}, nil
	})
	peer.Handle(&x, methodRun, func(_ context.Context, _ vm.ID, r forwardRequest) (forwardReply, error) {
		time.Sleep(o.jobTime)
		a := pool.Admission{Job: r.Request.Job.ID, Number: 1}
		if o.answered != "" {
			a.Job = o.answered
		}
		return forwardReply{Answer: pool.Answer{Admission: a, Outcome: job.Completed}, Answered: true, Admitted: true}, nil
	})
	peer.Handle(&x, methodWithdraw, func(_ context.Context, _ vm.ID, w withdrawal) (struct{}, error) {
		o.withdrawn.Store(w.Ticket.Number)
		return struct{}{}, nil
	})
	s := &peer.Server{Self: "ip-0a000002", Mux: &x, Log: zap.NewNop(), Known: func(vm.ID) bool { return true }}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(ctx, l)
	}()
	m := &peer.Mesh{Self: "ip-0a000001", Recorder: &report.Recorder{}, FailuresToRedial: 2, Address: func(vm.ID) (string, bool) { return l.Addr().String(), true }}
	t.Cleanup(func() {
		m.Close()
		stop()
		<-done
	})
	g, _, _ := newTestGroup("ip-0a000001", time.Now(), m)
	return g
}

// TestSlowGroupKeepsOffloadedJob guards against giving up a job that another group runs
// because its dispatcher is behind with everything, pings included.
func TestSlowGroupKeepsOffloadedJob(t *testing.T) {
	g := (&otherGroup{pingLag: 600 * time.Millisecond, jobTime: 1800 * time.Millisecond}).serve(t)
	result := g.Offload(t.Context(), time.Now(), pool.Report{VM: "ip-0a000002"}, 1, pool.Request{Job: job.Job{ID: "a"}})
	if !result.Answered || result.Answer.Outcome != job.Completed {
		t.Errorf("the job was given up while its group replied late: %+v", result)
	}
}

// TestAnswerOfAnotherJobIsNotDelivered: a dispatcher's answer was taken for that of the job that was asked for, whichever
// job it named.
func TestAnswerOfAnotherJobIsNotDelivered(t *testing.T) {
	o := &otherGroup{answered: "b"}
	g := o.serve(t)
	const number = 7
	for _, to := range []job.ID{"a", "b"} {
		result := g.Forward(t.Context(), time.Now(), Leader{VM: "ip-0a000002"}, number, pool.Request{Job: job.Job{ID: to}})
		if got, want := result.Answered, to == "b"; got != want {
			t.Errorf("job %s: answered %v with the outcome of job b, want %v", to, got, want)
		}
		if to == "a" && (!result.MayBeRunning || result.Err == nil) {
			t.Errorf("the job is taken for one that may not be running, without an error: %+v", result)
		}
	}
	for deadline := time.Now().Add(5 * time.Second); o.withdrawn.Load() != number; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the job without an answer of its own is not withdrawn")
		}
	}
}

// TestPingsDoNotGrowWithOffloadedJobs guards against a load of pings that itself makes the
// other VM late: one VM pings another at most once in pingInterval, whatever the number
// of its jobs there.
func TestPingsDoNotGrowWithOffloadedJobs(t *testing.T) {
	const jobs, jobTime = 200, time.Second
	o := &otherGroup{jobTime: jobTime}
	g := o.serve(t)
	done := make(chan ForwardResult)
	for i := range jobs {
		go func() {
			done <- g.Offload(t.Context(), time.Now(), pool.Report{VM: "ip-0a000002"}, uint64(i), pool.Request{Job: job.Job{ID: "a"}})
		}()
	}
	for range jobs {
		if result := <-done; !result.Answered {
			t.Errorf("a job had no answer: %v", result.Err)
		}
	}
	if n, most := o.pings.Load(), int64(2*jobTime/pingInterval); n > most {
		t.Errorf("%d pings for %d jobs of %s, want %d at most", n, jobs, jobTime, most)
	}
}
