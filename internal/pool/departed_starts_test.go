package pool

import (
	"testing"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/latestart"
	"tamarackpin.example/internal/worker"
)

// announceDeparture reports that the first incarnation of a worker leaves.
func (h *harness) announceDeparture(id worker.ID, sequence uint64) {
	h.pool.UpdateWorker(h.now, worker.Record{AnnouncedAt: h.now, Announcement: worker.Announcement{
		Worker: id, Incarnation: 1, Sequence: sequence, Service: "s", Address: string(id), Capacity: worker.Resources{MilliCores: 16000, MemoryMB: 1000},
		Leaving: true, Clock: worker.Clock(time.Hour + h.now.Sub(time.Unix(1000, 0))),
	}})
}

// TestStartInDoubtIsNotRepeatedOnLeavingWorker: a worker that leaves replied to all orders but a start, which
// was repeated for as long as it lived (DRAIN).
func TestStartInDoubtIsNotRepeatedOnLeavingWorker(t *testing.T) {
	h := newHarness(t, 2)
	h.pool.Submit(h.now, patientRequest(time.Second))
	start := h.ordersOfKind(StartOrder)[0]
	h.advance(100 * time.Millisecond)
	h.announceDeparture(start.Worker, 2)
	departedAt := h.now
	h.reply(start, Reply{})
	var lastStart time.Duration
	starts := 0
	for range 500 {
		h.advance(10 * time.Millisecond)
		orders, _ := h.takePending()
		for _, o := range orders {
			if o.Kind == StartOrder {
				starts, lastStart = starts+1, h.now.Sub(departedAt)
			}
			h.reply(o, Reply{Done: o.Kind != StartOrder})
		}
	}
	if starts > 0 {
		t.Errorf("%d starts, the last %s after the departure, want none", starts, lastStart)
	}
}

// TestRunInDoubtOnLeavingWorkerGoesOn: the reply to a start is lost and its worker leaves. The run is
// listed, so it is not stopped.
func TestRunInDoubtOnLeavingWorkerGoesOn(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.Submit(h.now, patientRequest(time.Second))
	start := h.ordersOfKind(StartOrder)[0]
	h.announceDeparture(start.Worker, 2)
	h.reply(start, Reply{})
	for at := range 100 {
		h.advance(10 * time.Millisecond)
		orders, answers := h.takePending()
		if len(answers) > 0 {
			if answers[0].Outcome != job.Completed {
				t.Errorf("answer %+v, want completed", answers[0])
			}
			return
		}
		for _, o := range orders {
			switch {
			case o.Kind != RenewOrder:
				t.Fatalf("order %+v, want only renewals", o)
			case at < 50:
				h.reply(o, Reply{Done: true, Running: []RunningTask{{Task: start.Task, Run: start.Run, Percent: 2 * at}}})
			default:
				h.reply(o, Reply{Done: true, EndedRuns: []End{{Number: 1, Task: start.Task, Run: start.Run, Kind: EndedDone}}})
			}
		}
	}
	t.Error("the job is not answered")
}

// TestJobOfStartGivenUpOnLeavingWorkerIsAnswered: a start that got no reply on a worker that leaves can
// be carried out only there. Its job was kept until its caller's deadline.
func TestJobOfStartGivenUpOnLeavingWorkerIsAnswered(t *testing.T) {
	h := newHarness(t, 2)
	r := patientRequest(time.Second)
	r.RemainingWait = 6 * time.Second
	h.pool.Submit(h.now, r)
	start := h.ordersOfKind(StartOrder)[0]
	h.announceDeparture(start.Worker, 2)
	h.reply(start, Reply{})
	for range 500 {
		h.advance(10 * time.Millisecond)
		orders, answers := h.takePending()
		for _, o := range orders {
			h.reply(o, Reply{Done: o.Kind != StartOrder})
		}
		for _, a := range answers {
			if after := h.now.Sub(start.Sent); a.Outcome != job.Abandoned || after > time.Second {
				t.Errorf("answer %+v after %s, want abandoned within 1s", a, after)
			}
			return
		}
	}
	t.Error("no answer within 5s")
}

// TestTaskBoundToLeavingWorker: a task may start nowhere else than on a worker that leaves, by a late start.
// Its job waited for its caller's deadline, or for a start there.
func TestTaskBoundToLeavingWorker(t *testing.T) {
	for name, c := range map[string]struct {
		expires time.Duration // of the late start
		starts  bool
	}{"until after the caller's deadline": {12 * time.Second, false}, "for a short time": {500 * time.Millisecond, true}} {
		h := newHarness(t, 2)
		h.announceDeparture("w0", 2)
		h.pool.lateStarts.Merge(h.now, []latestart.Record{{Task: job.Task{Job: "a"}, Run: 1, Worker: "w0", Expires: h.now.Add(c.expires)}})
		r := patientRequest(time.Second)
		r.RemainingWait = 6 * time.Second
		h.pool.Submit(h.now, r)
		abandoned, started := false, false
		for range 100 {
			h.advance(10 * time.Millisecond)
			orders, answers := h.takePending()
			for _, a := range answers {
				if a.Outcome != job.Abandoned {
					t.Errorf("%s: answer %+v, want abandoned", name, a)
				}
				abandoned = true
			}
			for _, o := range orders {
				if o.Kind == StartOrder {
					if o.Worker != "w1" {
						t.Errorf("%s: the task starts on %s", name, o.Worker)
					}
					started = true
				}
				h.reply(o, Reply{Done: true})
			}
		}
		if started != c.starts || abandoned == c.starts {
			t.Errorf("%s: started %t, abandoned %t after %s", name, started, abandoned, h.now.Sub(time.Unix(1000, 0)))
		}
	}
}
