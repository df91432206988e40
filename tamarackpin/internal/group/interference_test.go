package group

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/interference"
	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/routes"
	"tamarackpin.example/internal/worker"
)

// slowedRows drives a Pool of ten workers with two slots in virtual time. Tasks of row b take 100 ms, and 150 ms beside
// one of row a.
type slowedRows struct {
	pool *pool.Pool
	now  time.Time
	r    *rand.Rand
	jobs int
	held map[worker.ID]pool.Order // renewals that wait for an end
	last map[worker.ID]uint64     // number of the last end
}

func newSlowedRows(now time.Time, p *pool.Pool) *slowedRows {
	return &slowedRows{pool: p, now: now, r: rand.New(rand.NewPCG(1, 1)), held: make(map[worker.ID]pool.Order), last: make(map[worker.ID]uint64)}
}

func (s *slowedRows) clock() worker.Clock { return worker.Clock(s.now.UnixNano()) }

// round runs one task of row b on a worker, alone or beside one of row a.
func (s *slowedRows) round() {
	for i := range 10 {
		s.pool.UpdateWorker(s.now, worker.Record{AnnouncedAt: s.now, Announcement: worker.Announcement{
			Worker: worker.ID(fmt.Sprint("w", i)), Incarnation: 1, Sequence: uint64(s.now.UnixMilli()), Service: "s", Address: "a",
			Capacity: worker.Resources{MilliCores: 16000, MemoryMB: 1000}, Clock: s.clock(), Rack: worker.Rack(fmt.Sprint("r", i)),
		}})
	}
	s.reply()
	beside := s.r.IntN(2) == 0
	label := fmt.Sprint("r", s.r.IntN(10)) // so that both run on one worker, another one each time
	took := time.Duration(95+s.r.IntN(10)) * time.Millisecond
	if beside {
		s.submit("a", label)
		took = took * 3 / 2
	}
	s.submit("b", label)
	on := s.reply()
	s.now = s.now.Add(took)
	for t, id := range on {
		s.last[id]++
		s.receive(s.held[id], pool.Reply{EndedRuns: []pool.End{{Number: s.last[id], Task: t, Run: 1, Kind: pool.EndedDone}}})
	}
	s.now = s.now.Add(10 * time.Millisecond)
}

func (s *slowedRows) receive(o pool.Order, r pool.Reply) {
	r.Order, r.ReceivedAt, r.Done, r.RepliedBy, r.Clock, r.HasClock = o, s.now, true, 1, s.clock(), true
	s.pool.Receive(s.now, r)
}

func (s *slowedRows) submit(row routes.RowName, label string) {
	s.jobs++
	s.pool.Submit(s.now, pool.Request{
		Job: job.Job{ID: job.ID(fmt.Sprint(row, "-", s.jobs)), Steps: []job.Step{{Count: 1, Label: label, Need: worker.Resources{MilliCores: 6800}, Estimate: 100 * time.Millisecond}}},
		Row: row, Service: "s", Stretch: 3, Latency: time.Minute, RemainingWait: time.Minute,
	})
}

// reply replies to all orders and returns the workers of the starts.
func (s *slowedRows) reply() map[job.Task]worker.ID {
	started := make(map[job.Task]worker.ID)
	for {
		orders, _ := s.pool.TakePending()
		if len(orders) == 0 {
			return started
		}
		for _, o := range orders {
			switch {
			case o.Kind == pool.StartOrder:
				started[o.Task] = o.Worker
			case o.Kind == pool.RenewOrder && o.Wait > 0:
				s.held[o.Worker] = o
				continue
			}
			s.receive(o, pool.Reply{})
		}
	}
}

// TestInterferenceIsShownAndLogged: what a pool learns of two rows is shown to operators, counted and logged; a
// VM that is told not to observe shows nothing, and one that no longer leads does not either.
func TestInterferenceIsShownAndLogged(t *testing.T) {
	for _, mode := range []interference.Mode{interference.Observe, interference.Off} {
		g, _ := newLeadingGroup(t)
		core, logs := observer.New(zap.InfoLevel)
		g.config.Log, g.config.Interference = zap.New(core), mode
		if got := g.Interference(); len(got) > 0 || got == nil {
			t.Errorf("before anything is learned: %#v, want an empty list, which JSON shows as one", got)
		}
		now := time.Now()
		p := pool.New(now.Add(-time.Minute), pool.Config{Fence: 1, LeaseMax: time.Second, StopMax: 50 * time.Millisecond, Interference: mode})
		g.groups[0].pool = p
		s := newSlowedRows(now, p)
		for range 800 {
			s.round()
			g.tickInterference(s.now)
		}
		s.now = s.now.Add(pairsInterval)
		g.tickInterference(s.now)
		g.updateCounts()
		pairs := g.Interference()
		if mode == interference.Off {
			if len(pairs) > 0 || logs.Len() > 0 {
				t.Errorf("off: %d pairs, %d lines", len(pairs), logs.Len())
			}
			continue
		}
		if len(pairs) == 0 || pairs[0].Row != "b" || pairs[0].Beside != "a" || !pairs[0].Confident || pairs[0].Factor < 1.35 || pairs[0].Factor > 1.6 || g.Counts().PairsKnown != 1 {
			t.Errorf("pairs %+v, counted %d", pairs, g.Counts().PairsKnown)
		}
		lines := make(map[int64]int)
		for _, l := range logs.All() {
			lines[l.ContextMap()["event"].(int64)]++
		}
		if lines[int64(event.PairKnown)] != 1 || lines[int64(event.Interference)] == 0 || lines[int64(event.Interference)] > 3 {
			t.Errorf("lines by event: %v", lines)
		}
		g.groups[0].pool = nil
		g.tickInterference(s.now.Add(pairsInterval))
		if got := g.Interference(); len(got) > 0 {
			t.Errorf("a VM that leads no group shows %v", got)
		}
	}
}

// TestChangesOfPairsAreBounded guards against a log that pairs fill which become known and are dropped in turn.
func TestChangesOfPairsAreBounded(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	var l interferenceLog
	now := time.Unix(1000, 0)
	for i := range 1000 {
		l.change(now.Add(time.Duration(i)*time.Millisecond), zap.New(core), interference.Change{Dropped: i%2 == 1})
	}
	l.change(now.Add(changesPeriod), zap.New(core), interference.Change{})
	if logs.Len() != changesPerPeriod+1 || logs.All()[changesPerPeriod].ContextMap()["omitted"] != int64(1000-changesPerPeriod) {
		t.Errorf("%d lines, the last %v", logs.Len(), logs.All()[logs.Len()-1].ContextMap())
	}
}
