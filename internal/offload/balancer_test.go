package offload

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/vm"
)

func candidate(domain vm.FailureDomain, free int, madeAt time.Time) Candidate {
	return Candidate{Report: pool.Report{FailureDomain: domain, VM: vm.ID("ip-" + domain), FreeSlots: free}, MadeAt: madeAt}
}

// share returns how often each failure domain is chosen, in percent.
func share(b *Balancer, now time.Time, c Choice) map[vm.FailureDomain]int {
	n := make(map[vm.FailureDomain]int)
	for i := range 100 {
		if one, ok := b.Choose(now, c, (float64(i)+0.5)/100); ok {
			n[one.FailureDomain]++
		}
	}
	return n
}

// TestChoice guards against a choice that ignores what this gate has sent, what came back, and the
// groups that a job has been offered to.
func TestChoice(t *testing.T) {
	now := time.Unix(1000, 0)
	made := now.Add(-time.Second)
	a, b, c := candidate("a", 60, made), candidate("b", 30, made), candidate("c", 10, made)
	for _, one := range []struct {
		name   string
		choice Choice
		record func(*Balancer)
		want   map[vm.FailureDomain]int
	}{
		{"by capacity", Choice{Candidates: []Candidate{a, b, c}, Tasks: 8}, nil, map[vm.FailureDomain]int{"a": 60, "b": 30, "c": 10}},
		{"too small for the job", Choice{Candidates: []Candidate{a, b, c}, Tasks: 12}, nil, map[vm.FailureDomain]int{"a": 67, "b": 33}},
		{"reserved for its own jobs", Choice{Candidates: []Candidate{candidate("a", 7, made)}, Tasks: 1}, nil, nil},
		{"tried", Choice{Candidates: []Candidate{a, b, c}, Tasks: 1, Tried: []pool.Destination{a.Destination()}}, nil, map[vm.FailureDomain]int{"b": 75, "c": 25}},
		{"three tried", Choice{Candidates: []Candidate{a}, Tasks: 1, Tried: make([]pool.Destination, MaxGroups)}, nil, nil},
		{"sent by all gates since the report", Choice{Candidates: []Candidate{a, b}, Tasks: 1, Gates: 10}, func(l *Balancer) {
			l.RecordSent(made.Add(-time.Millisecond), a.Destination(), 100) // the report has it
			l.RecordSent(now, a.Destination(), 3)
		}, map[vm.FailureDomain]int{"a": 50, "b": 50}},
		{"full, and no home", Choice{Candidates: []Candidate{candidate("a", -9, made), candidate("b", 3, made), c}, Tasks: 12, NoHome: true}, func(l *Balancer) {
			l.RecordRefusal(now, c.Destination())
		}, map[vm.FailureDomain]int{"a": 50, "b": 50}},
		{"refused since the report", Choice{Candidates: []Candidate{a, b}, Tasks: 1}, func(l *Balancer) {
			l.RecordRefusal(now, a.Destination())
			l.RecordRefusal(made.Add(-time.Millisecond), b.Destination())
		}, map[vm.FailureDomain]int{"b": 100}},
	} {
		var l Balancer
		if one.record != nil {
			one.record(&l)
		}
		if got := share(&l, now, one.choice); fmt.Sprint(got) != fmt.Sprint(one.want) && len(got)+len(one.want) > 0 {
			t.Errorf("%s: chosen in percent %v, want %v", one.name, got, one.want)
		}
	}
	local := a
	local.Local = true
	if got := share(&Balancer{}, now, Choice{Candidates: []Candidate{local, candidate("b", 60, made)}, Tasks: 1}); got["a"] <= 50 || got["b"] == 0 {
		t.Errorf("of equal groups, that of the own failure domain is chosen in %d%%, want a preference", got["a"])
	}
}

// TestHistoryIsBounded guards against a history that grows with the jobs of an hour.
func TestHistoryIsBounded(t *testing.T) {
	var b Balancer
	now := time.Unix(1000, 0)
	for i := range 36_000 {
		now = now.Add(100 * time.Millisecond)
		d := pool.Destination{FailureDomain: "a", Epoch: lead.Fence(i / 100)} // a division every 10 s
		b.RecordSent(now, d, 1)
		b.RecordRefusal(now, d)
	}
	sent := 0
	for _, h := range b.groups {
		sent += len(h.sent)
	}
	if len(b.groups) > 2 || sent > int(memory/(100*time.Millisecond)) {
		t.Errorf("%d groups and %d jobs are kept", len(b.groups), sent)
	}
}

// surge is a demand surge in one of four failure domains, with three groups each: 30 gates offload
// the jobs that its groups cannot carry, by reports that are up to 1.5 s old.
type surge struct {
	r      *rand.Rand
	now    time.Time
	groups []*surgeGroup
	gates  []*surgeGate

	// evacuated are the groups of a failure domain that is evacuated halfway; its gates, a quarter of all, offload as many jobs
	// again from then on, and have no home.
	evacuated                []lead.Group
	noHome                   bool // the job at hand is of the evacuated failure domain
	offered, accepted, calls int
	toEvacuated              int // accepted by an evacuated group after its reports said so
}

type surgeGroup struct {
	free  int
	queue map[time.Time]int // tasks that end
}

type surgeGate struct {
	b       Balancer
	reports []Candidate
	nextAt  []time.Time // when the gate gets the next report of each group
}

const (
	surgeStep    = 10 * time.Millisecond
	surgeTasks   = 4
	surgeRunTime = 300 * time.Millisecond
)

func newSurge(seed uint64) *surge {
	s := &surge{r: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0)}
	for range 12 {
		s.groups = append(s.groups, &surgeGroup{queue: make(map[time.Time]int)})
	}
	for i := range s.groups {
		if i >= 3 { // outside of the surge, from little to much room
			s.groups[i].free = 20 + 10*((i-3)%5)
		}
	}
	for range 30 {
		g := &surgeGate{reports: make([]Candidate, len(s.groups)), nextAt: make([]time.Time, len(s.groups))}
		s.gates = append(s.gates, g)
	}
	return s
}

// choose picks a group for a job of a gate.
type choose func(s *surge, g *surgeGate, tried []pool.Destination) (Candidate, bool)

// run offloads jobs for 20 s, each to as many groups as most says.
func (s *surge) run(pick choose, most int) {
	steps := int(20 * time.Second / surgeStep)
	for step := range steps {
		s.now = s.now.Add(surgeStep)
		over := step >= steps/2
		if step == steps/2 {
			for _, i := range s.evacuated { // entry VMs get the set within a round trip
				s.groups[i].free = -1000
				for _, g := range s.gates {
					g.reports[i], g.nextAt[i] = Candidate{}, s.now.Add(time.Hour)
				}
			}
		}
		for _, g := range s.groups {
			g.free += g.queue[s.now]
			delete(g.queue, s.now)
		}
		for _, g := range s.gates {
			for i, group := range s.groups {
				if !s.now.Before(g.nextAt[i]) {
					age := time.Duration(s.r.IntN(500)) * time.Millisecond
					g.reports[i] = candidate(vm.FailureDomain(rune('a'+i/3)), group.free, s.now.Add(-age))
					g.reports[i].Group = lead.Group(i)
					g.nextAt[i] = s.now.Add(time.Second)
				}
			}
		}
		jobs := 1 + s.r.IntN(3) // 200 jobs in a second, which take 240 of the 340 free slots
		if over && len(s.evacuated) > 0 {
			jobs *= 2
		}
		for n := range jobs {
			g := s.gates[s.r.IntN(len(s.gates))]
			s.noHome = n%2 == 1
			s.offered++
			var tried []pool.Destination
			for len(tried) < most {
				to, ok := pick(s, g, tried)
				if !ok {
					break
				}
				s.calls++
				g.b.RecordSent(s.now, to.Destination(), surgeTasks)
				group := s.groups[to.Group]
				if over && slices.Contains(s.evacuated, to.Group) {
					s.toEvacuated++
				}
				if group.free >= surgeTasks {
					group.free -= surgeTasks
					group.queue[s.now.Add(surgeRunTime)] += surgeTasks
					s.accepted++
					break
				}
				g.b.RecordRefusal(s.now, to.Destination())
				tried = append(tried, to.Destination())
			}
		}
	}
}

func naive(_ *surge, g *surgeGate, _ []pool.Destination) (Candidate, bool) {
	var best Candidate
	for _, c := range g.reports {
		if c.AcceptsOffload() && c.FreeSlots > best.FreeSlots {
			best = c
		}
	}
	return best, best.VM != ""
}

func balanced(s *surge, g *surgeGate, tried []pool.Destination) (Candidate, bool) {
	return g.b.Choose(s.now, Choice{Candidates: g.reports, Tasks: surgeTasks, Gates: len(s.gates) / 4, Tried: tried, NoHome: s.noHome && len(s.evacuated) > 0}, s.r.Float64())
}

// TestSurgeAgainstNaiveChoice guards against all gates sending their jobs to one group until its next
// report: of 1,525 jobs offered so, 1,006 came back.
func TestSurgeAgainstNaiveChoice(t *testing.T) {
	for seed := range uint64(5) {
		simple, one, all := newSurge(seed), newSurge(seed), newSurge(seed)
		simple.run(naive, 1)
		one.run(balanced, 1)
		all.run(balanced, MaxGroups)
		rate := func(s *surge) float64 { return float64(s.accepted) / float64(s.offered) }
		t.Logf("seed %d: accepted of %d offered: most free slots %.2f, by weight %.2f, in %d groups at most %.2f with %.2f calls for each job", seed, simple.offered, rate(simple), rate(one), MaxGroups, rate(all), float64(all.calls)/float64(all.offered))
		if rate(one) < rate(simple)+0.4 || rate(all) < rate(simple)+0.4 {
			t.Errorf("seed %d: the weighted choice is not better than that of the most free slots", seed)
		}
	}
}

// TestSurgeMeetsEvacuation guards against a choice that does without capacity while a demand surge meets the evacuation of another
// failure domain: twice the jobs are offloaded then, to two failure domains that can take half of them.
func TestSurgeMeetsEvacuation(t *testing.T) {
	for seed := range uint64(5) {
		simple, all := newSurge(seed), newSurge(seed)
		simple.evacuated, all.evacuated = []lead.Group{3, 4, 5}, []lead.Group{3, 4, 5}
		simple.run(naive, 1)
		all.run(balanced, MaxGroups)
		rate := func(s *surge) float64 { return float64(s.accepted) / float64(s.offered) }
		t.Logf("seed %d: accepted of %d offered: most free slots %.2f, by weight %.2f with %.2f calls for each job", seed, simple.offered, rate(simple), rate(all), float64(all.calls)/float64(all.offered))
		if rate(all) < rate(simple)+0.2 || all.toEvacuated > 0 {
			t.Errorf("seed %d: the weighted choice is not better, or %d jobs went to the evacuated failure domain", seed, all.toEvacuated)
		}
	}
}
