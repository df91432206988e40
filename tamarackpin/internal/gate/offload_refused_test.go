package gate

import (
	"context"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/evacuation"
	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/routes"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/fleet"
	"tamarackpin.example/tamarackpin/internal/group"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// What entry VMs send each other, as far as standInLeader needs it.
type (
	heartbeatReply struct {
		Self            vm.Presence    `json:"self"`
		Claims          []lead.Claim   `json:"claims"`
		Made            map[string]any `json:"made,omitempty"`
		ReadsContactAge bool           `json:"reads_contact_age,omitempty"`
		ReadsRefusedBy  bool           `json:"reads_refused_by,omitempty"`
	}
	runRequest struct {
		Ticket  group.Ticket `json:"ticket"`
		Group   lead.Group   `json:"group"`
		Epoch   lead.Fence   `json:"epoch"`
		Request pool.Request `json:"request"`
		Made    any          `json:"made"`
	}
	runReply struct {
		Answer   pool.Answer `json:"answer"`
		Answered bool        `json:"leads"`
		Admitted bool        `json:"taken"`
	}
)

// standInLeader stands in for another entry VM that leads the only group, and for the group to which it has
// jobs offloaded.
type standInLeader struct {
	answer          func(try int, r pool.Request) runReply
	readsContactAge bool
	readsRefusedBy  bool

	mu    sync.Mutex // guards calls
	calls []pool.Request
	// offloadedTo has the groups of the jobs that were offloaded to the stand-in.
	offloadedTo []lead.Group
}

// serve starts the stand-in on a loopback address and returns a gate that follows it.
func (s *standInLeader) serve(t *testing.T) *Gate {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	self := vm.Presence{VM: "ip-0a000002", FailureDomain: "a", Incarnation: 1, Callers: true}
	startedAt := time.Now()
	var x peer.Mux
	(&Gate{}).Register(&x)
	peer.Handle(&x, "group.exchange", func(context.Context, vm.ID, map[string]any) (heartbeatReply, error) {
		reply := heartbeatReply{Self: self, Claims: []lead.Claim{{Fence: 7, VM: self.VM, Incarnation: self.Incarnation}}, ReadsContactAge: s.readsContactAge, ReadsRefusedBy: s.readsRefusedBy}
		if s.readsContactAge {
			reply.Made = map[string]any{"incarnation": self.Incarnation, "age": (time.Second + time.Since(startedAt)).String()}
		}
		return reply, nil
	})
	peer.Handle(&x, "group.ping", func(context.Context, vm.ID, map[string]any) (struct{}, error) { return struct{}{}, nil })
	peer.Handle(&x, "group.run", func(_ context.Context, _ vm.ID, r runRequest) (runReply, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.calls = append(s.calls, r.Request)
		if r.Request.Offloaded {
			s.offloadedTo = append(s.offloadedTo, r.Group)
		}
		reply := s.answer(len(s.calls), r.Request)
		reply.Answer.Job = r.Request.Job.ID
		return reply, nil
	})
	server := &peer.Server{Self: self.VM, Mux: &x, Log: zap.NewNop(), Known: func(vm.ID) bool { return true }}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(ctx, l) })

	k := fleet.NewKnowledge(vm.Presence{VM: "ip-0a000001", FailureDomain: "a", Incarnation: 1, Callers: true}, zap.NewNop())
	k.ObserveVM(time.Now(), self, 0)
	m := &peer.Mesh{Self: "ip-0a000001", Recorder: &report.Recorder{}, FailuresToRedial: 2, Address: func(vm.ID) (string, bool) { return l.Addr().String(), true }}
	var own peer.Mux
	g := group.New(time.Now(), group.Config{Knowledge: k, Syncer: &fleet.Syncer{Knowledge: k, Mesh: m, Log: zap.NewNop()}, Mesh: m, Log: zap.NewNop()}, &own)
	running.Go(func() { g.Run(ctx) })
	t.Cleanup(func() {
		stop()
		m.Close()
		running.Wait()
	})
	return &Gate{Group: g, Knowledge: k, Mesh: m, Log: zap.NewNop(), OnAnswer: func(routes.RowName, job.Outcome, time.Duration) {}}
}

// TestRefusedOffloadIsReportedOnce: a gate told its group that the other one had refused a job, lost the call, and
// told it again. A later try of the caller may have been offloaded in between, and the job was started beside it.
func TestRefusedOffloadIsReportedOnce(t *testing.T) {
	s := &standInLeader{answer: func(try int, r pool.Request) runReply {
		notRun := pool.Answer{Outcome: job.NotRun, TryElsewhere: true}
		switch {
		case r.Offloaded:
			return runReply{Answer: notRun, Answered: true, Admitted: true}
		case try == 1:
			notRun.OffloadTo = pool.Destination{FailureDomain: "b", VM: "ip-0a000002"}
			return runReply{Answer: notRun, Answered: true, Admitted: true}
		case try == 3:
			return runReply{Admitted: true} // it lost the leadership
		}
		return runReply{Answer: pool.Answer{Outcome: job.Completed}, Answered: true, Admitted: true}
	}}
	g := s.serve(t)
	a := g.Run(t.Context(), pool.Request{Job: job.Job{ID: "a"}, RemainingWait: 10 * time.Second})
	if a.Outcome != job.Completed {
		t.Fatalf("answer %+v, want completed", a)
	}
	var got []bool
	for _, r := range s.calls {
		got = append(got, r.OffloadRefused)
	}
	if want := []bool{false, false, true, false}; !slices.Equal(got, want) {
		t.Errorf("calls with OffloadRefused: %v, want %v", got, want)
	}
}

// TestOffloadHasNoContactAge: the contact age of a forward went on to the group to which the job was offloaded, whose VM may
// be of a build that refuses the field, so that the job was abandoned.
func TestOffloadHasNoContactAge(t *testing.T) {
	s := &standInLeader{readsContactAge: true, answer: func(try int, _ pool.Request) runReply {
		switch try {
		case 1:
			return runReply{Admitted: true} // it lost the leadership
		case 2:
			elsewhere := pool.Answer{Outcome: job.NotRun, TryElsewhere: true, OffloadTo: pool.Destination{FailureDomain: "b", VM: "ip-0a000002"}}
			return runReply{Answer: elsewhere, Answered: true, Admitted: true}
		}
		return runReply{Answer: pool.Answer{Outcome: job.Completed}, Answered: true, Admitted: true}
	}}
	g := s.serve(t)
	if a := g.Run(t.Context(), pool.Request{Job: job.Job{ID: "a"}, RemainingWait: 10 * time.Second}); a.Outcome != job.Completed {
		t.Fatalf("answer %+v, want completed", a)
	}
	if len(s.calls) != 3 || !s.calls[2].Offloaded || s.calls[1].EarlierContactAge == 0 {
		t.Fatalf("calls %+v, want an offload after a forward with a contact age", s.calls)
	}
	if age := s.calls[2].EarlierContactAge; age != 0 {
		t.Errorf("the offload has a contact age of %s", age)
	}
}

// TestJobIsOfferedToThreeGroups guards against a job that is offered to one group twice, to more than three, or on from a
// group that has it, and against an offer of which the home group is not told before.
func TestJobIsOfferedToThreeGroups(t *testing.T) {
	s := &standInLeader{readsRefusedBy: true, answer: func(_ int, r pool.Request) runReply {
		if r.Offloaded || r.CanOffload {
			return runReply{Answer: pool.Answer{Outcome: job.NotRun, TryElsewhere: true}, Answered: true, Admitted: true}
		}
		return runReply{Answer: pool.Answer{Outcome: job.Completed}, Answered: true, Admitted: true}
	}}
	g := s.serve(t)
	for _, d := range []vm.FailureDomain{"b", "c", "d", "e", "f"} {
		g.Knowledge.RecordReport(time.Now(), pool.Report{FailureDomain: d, VM: "ip-0a000002", Fence: 7, FreeSlots: 100})
	}
	a := g.Run(t.Context(), pool.Request{Job: job.Job{ID: "a", Steps: []job.Step{{Count: 4}}}, RemainingWait: 10 * time.Second})
	if a.Outcome != job.Completed {
		t.Fatalf("answer %+v, want completed", a)
	}
	if len(s.calls) != 7 {
		t.Fatalf("%d calls, want three offers, each after a call to the home group, and a last call to that one", len(s.calls))
	}
	told := make(map[pool.Destination]bool)
	for i, r := range s.calls {
		home := i%2 == 0
		switch {
		case r.Offloaded == home, r.CanOffload != (home && i < 6), r.OffloadRefused != (i > 0) && home:
			t.Errorf("call %d: offloaded %v, can be offloaded %v, refused elsewhere %v", i, r.Offloaded, r.CanOffload, r.OffloadRefused)
		case home && i > 0 && r.RefusedBy != s.calls[i-1].OffloadTo, !home && r.RefusedBy != pool.Destination{}:
			t.Errorf("call %d: refused by %+v, want the group of the call before, told to the home group only", i, r.RefusedBy)
		case home && i < 6 && told[r.OffloadTo]:
			t.Errorf("call %d: offered to %+v twice", i, r.OffloadTo)
		case !home && r.OffloadTo != s.calls[i-1].OffloadTo:
			t.Errorf("call %d: offered to %+v, but the home group was told %+v", i, r.OffloadTo, s.calls[i-1].OffloadTo)
		}
		told[r.OffloadTo] = true
	}
}

// TestJobIsOfferedOnceBeforeEarlierBuild guards against a second offload of a job whose home group has a dispatcher of an earlier build: it takes a
// refusal for that of the newest offload, and fields that it does not know for a fault.
func TestJobIsOfferedOnceBeforeEarlierBuild(t *testing.T) {
	s := &standInLeader{answer: func(_ int, r pool.Request) runReply {
		if r.Offloaded || r.CanOffload {
			return runReply{Answer: pool.Answer{Outcome: job.NotRun, TryElsewhere: true}, Answered: true, Admitted: true}
		}
		return runReply{Answer: pool.Answer{Outcome: job.Completed}, Answered: true, Admitted: true}
	}}
	g := s.serve(t)
	for _, d := range []vm.FailureDomain{"b", "c"} {
		g.Knowledge.RecordReport(time.Now(), pool.Report{FailureDomain: d, VM: "ip-0a000002", Fence: 7, FreeSlots: 100})
	}
	if a := g.Run(t.Context(), pool.Request{Job: job.Job{ID: "a", Steps: []job.Step{{Count: 4}}}, RemainingWait: 10 * time.Second}); a.Outcome != job.Completed {
		t.Fatalf("answer %+v, want completed", a)
	}
	if len(s.calls) != 3 {
		t.Errorf("%d calls, want one offer between two calls to the home group", len(s.calls))
	}
	for i, r := range s.calls {
		if r.RefusedBy != (pool.Destination{}) {
			t.Errorf("call %d names the group that refused the job", i)
		}
	}
}

// TestSecondGateFollowsFirst guards against a gate that offloads a job to a group of its own choice although another gate waits for the
// job as well and offloads it to another group.
func TestSecondGateFollowsFirst(t *testing.T) {
	choice := pool.Destination{FailureDomain: "c", Group: 5, VM: "ip-0a000002"}
	s := &standInLeader{readsRefusedBy: true, answer: func(_ int, r pool.Request) runReply {
		if r.Offloaded {
			return runReply{Answer: pool.Answer{Outcome: job.Completed}, Answered: true, Admitted: true}
		}
		return runReply{Answer: pool.Answer{Outcome: job.NotRun, TryElsewhere: true, OffloadTo: choice, Offered: true}, Answered: true, Admitted: true}
	}}
	g := s.serve(t)
	g.Knowledge.RecordReport(time.Now(), pool.Report{FailureDomain: "b", VM: "ip-0a000002", Fence: 7, FreeSlots: 100})
	if a := g.Run(t.Context(), pool.Request{Job: job.Job{ID: "a", Steps: []job.Step{{Count: 4}}}, RemainingWait: 10 * time.Second}); a.Outcome != job.Completed {
		t.Fatalf("answer %+v, want completed", a)
	}
	if !slices.Equal(s.offloadedTo, []lead.Group{choice.Group}) {
		t.Errorf("offloaded to the groups %v, want %d, which the answer names", s.offloadedTo, choice.Group)
	}
}

// TestEvacuatedJobIsOfferedElsewhere guards against a job of an evacuated failure domain that goes to a group of that failure domain or of
// another evacuated one, or to none because no group reports capacity, and against a refusal that is late or without Retry-After.
func TestEvacuatedJobIsOfferedElsewhere(t *testing.T) {
	s := &standInLeader{readsRefusedBy: true, answer: func(_ int, r pool.Request) runReply {
		a := pool.Answer{Outcome: job.NotRun, RetryAfter: time.Second, TryElsewhere: r.CanOffload || r.Offloaded}
		return runReply{Answer: a, Answered: true, Admitted: true}
	}}
	g := s.serve(t)
	var evacuated evacuation.Set
	for i, d := range []vm.FailureDomain{"a", "b"} {
		evacuated = evacuated.With(evacuation.Domain{FailureDomain: d, Revision: evacuation.Revision(i + 1), Evacuated: true, Since: time.Now()})
	}
	g.Knowledge.SetEvacuations(evacuated)
	for d, free := range map[vm.FailureDomain]int{"a": 100, "b": 100, "c": -5, "d": 2} {
		g.Knowledge.RecordReport(time.Now(), pool.Report{FailureDomain: d, Group: 3, Epoch: 9, VM: "ip-0a000002", Fence: 7, FreeSlots: free})
	}
	startedAt := time.Now()
	a := g.Run(t.Context(), pool.Request{Job: job.Job{ID: "a", Steps: []job.Step{{Count: 4}}}, RemainingWait: 10 * time.Second})
	if took := time.Since(startedAt); a.Outcome != job.NotRun || a.RetryAfter == 0 || took > 2*time.Second {
		t.Errorf("answer %+v after %s, want not run at once, with Retry-After", a, took)
	}
	offered := make(map[vm.FailureDomain]int)
	for _, r := range s.calls {
		if r.Offloaded {
			offered[r.OffloadTo.FailureDomain]++
		}
	}
	if len(offered) != 2 || offered["c"] != 1 || offered["d"] != 1 {
		t.Errorf("offered to %v, want c and d once each", offered)
	}
}
