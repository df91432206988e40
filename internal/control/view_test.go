package control

import (
	"encoding/json"
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tamarackpin.example/internal/ledger"
	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/quorum"
	"tamarackpin.example/internal/submission"
	"tamarackpin.example/internal/table"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wire"
)

// The seed is fixed, so that each run gives the same verdict; -rapid.seed
// overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

var theStart = time.Unix(1000, 0)

func change(id string, based table.Version, weight int) Command {
	return Command{Change: &table.Change{ID: table.ChangeID(id), BasedOn: based, Set: []table.Row{{
		Key: party.Key{Party: "p", Kind: "k"}, Weight: weight, MaxInFlight: 1, MaxQueue: 1,
		Deadline: wire.Duration(1e9), TimeLimit: wire.Duration(1e9),
	}}}}
}

// updates returns the updates of a state over its life, for views that know
// different versions.
func updates(r *rapid.T) []Update {
	var s State
	var all []Update
	for i := range rapid.IntRange(1, 120).Draw(r, "commands") {
		weight := rapid.IntRange(1, 9).Draw(r, "weight")
		s.Apply(quorum.Index(i+1), change("c"+string(rune('a'+i%26))+string(rune('a'+i/26)), s.Table().Current().Version(), weight))
		knows := table.Version(rapid.Uint64Range(0, uint64(s.Table().Current().Version())).Draw(r, "knows"))
		all = append(all, s.Update(quorum.Index(rapid.IntRange(0, i+1).Draw(r, "index")), knows))
	}
	return all
}

// never is the judge: a view that came into force is not followed by an older
// one.
func never(old, next *View) bool {
	return next.Index >= old.Index && next.Table.Version() >= old.Table.Version()
}

// TestViewNeverGoesBack brings updates late, doubled and out of order, through
// restarts.
func TestViewNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		all := updates(r)
		v := &View{Table: &table.Snapshot{}}
		for range 2 * len(all) {
			u := all[rapid.IntRange(0, len(all)-1).Draw(r, "update")]
			next, err := v.Next(u)
			if err != nil {
				continue // made for a view that knew more; it is fetched anew
			}
			if !never(v, next) {
				r.Fatalf("index %d, version %d is followed by %d, %d", v.Index, v.Table.Version(), next.Index, next.Table.Version())
			}
			v = next
			if rapid.IntRange(0, 4).Draw(r, "restart") == 0 {
				v = restart(r, v)
			}
		}
	})
}

// restart brings a view through its file.
func restart(r *rapid.T, v *View) *View {
	b, err := json.Marshal(v)
	if err != nil {
		r.Fatal(err)
	}
	var back View
	if err := json.Unmarshal(b, &back); err != nil {
		r.Fatal(err)
	}
	return &back
}

// TestPlantedLowerVersionIsCaught shows that the judge can fail: whole updates
// put in force without looking at their index.
func TestPlantedLowerVersionIsCaught(t *testing.T) {
	var s State
	s.Apply(1, change("a", 0, 1))
	first := &View{Index: 1, Table: s.Table().Current()}
	s.Apply(2, change("b", 1, 2))
	second := &View{Index: 2, Table: s.Table().Current()}
	if never(second, first) {
		t.Error("a lower version after a higher one is not caught")
	}
	if kept, err := second.Next(first.Whole()); err != nil || kept != second {
		t.Errorf("the lower version was put in force: %v, %v", kept, err)
	}
}

func TestStateTravels(t *testing.T) {
	var s State
	s.Apply(1, change("a", 0, 1))
	s.Apply(2, Command{Assign: &Assign{Next: ledger.Assignment{
		Ledger: submission.LedgerID{FailureDomain: "arusha"}, Generation: 1, Epoch: 1, Primary: ledger.Holder{VM: "vm0", Incarnation: 7},
	}}})
	b, err := json.Marshal(&s)
	if err != nil {
		t.Fatal(err)
	}
	var back State
	if err := json.Unmarshal(b, &back); err != nil {
		t.Fatal(err)
	}
	again, err := json.Marshal(&back)
	if err != nil || string(again) != string(b) {
		t.Errorf("came back as %s, was %s: %v", again, b, err)
	}
	if r := back.Apply(3, change("a", 0, 1)); r.Version != 1 || r.Refusal != nil {
		t.Errorf("a resent change gets %+v", r)
	}
}

// TestPlanFollowsDeaths: a ledger gets a backup, and moves on when holders die.
func TestPlanFollowsDeaths(t *testing.T) {
	beat := func(id vm.ID, incarnation vm.Incarnation) vm.State {
		return vm.State{Heard: theStart, Heartbeat: vm.Heartbeat{VM: id, FailureDomain: "arusha", Incarnation: incarnation}}
	}
	var s State
	p := Planner{Ledgers: 1}
	index := quorum.Index(0)
	run := func(living ...vm.State) ledger.Assignment {
		for _, a := range p.Plan(theStart, &s, []vm.FailureDomain{"arusha"}, living) {
			index++
			if r := s.Apply(index, Command{Assign: &a}); r.Refusal != nil {
				t.Fatal(r.Refusal)
			}
		}
		a, _ := s.Assignment(submission.LedgerID{FailureDomain: "arusha"})
		return a
	}
	a := run(beat("vm0", 1), beat("vm1", 1))
	if a.Generation != 1 || a.Epoch != 1 || a.Primary.IsZero() || a.Backup.IsZero() {
		t.Fatalf("first assignment %+v", a)
	}
	backup := a.Backup
	alone := beat(backup.VM, 1)
	alone.Heartbeat.Silent = []vm.ID{a.Primary.VM}
	if a = run(alone); a.Primary != backup || !a.Backup.IsZero() || a.Epoch != 2 {
		t.Fatalf("after the primary's death %+v", a)
	}
	if a = run(beat("vm0", 1), beat("vm1", 1), beat("vm2", 1)); a.Primary != backup || a.Joining.IsZero() {
		t.Fatalf("with others alive again %+v", a)
	}
	if a = run(beat(backup.VM, 2)); a.Generation != 2 || a.Epoch != 1 {
		t.Fatalf("after the only copy restarted %+v", a)
	}
}

// TestPlanDoesNotTrustAStaleWitness: two holders that are cut off together fall
// silent one after the other. That alone must not make the second primary
// (TestCutFailureDomain failed a submission so).
func TestPlanDoesNotTrustAStaleWitness(t *testing.T) {
	var s State
	p := Planner{Ledgers: 1}
	state := func(id vm.ID, heard time.Time) vm.State {
		return vm.State{Heard: heard, Heartbeat: vm.Heartbeat{VM: id, FailureDomain: "arusha", Incarnation: 1}}
	}
	domains := []vm.FailureDomain{"arusha"}
	for _, a := range p.Plan(theStart, &s, domains, []vm.State{state("vm0", theStart), state("vm1", theStart)}) {
		s.Apply(1, Command{Assign: &a})
	}
	a, _ := s.Assignment(submission.LedgerID{FailureDomain: "arusha"})
	heard := theStart.Add(vm.HeartbeatEvery)
	now := theStart.Add(vm.DeadAfter)
	if plan := p.Plan(now, &s, domains, []vm.State{state(a.Backup.VM, heard)}); len(plan) > 0 {
		t.Errorf("a backup that was heard %s ago takes over: %+v", now.Sub(heard), plan)
	}
	witness := state(a.Backup.VM, now)
	witness.Heartbeat.Silent = []vm.ID{a.Primary.VM}
	if plan := p.Plan(now, &s, domains, []vm.State{witness}); len(plan) != 1 || plan[0].Next.Primary != a.Backup {
		t.Errorf("a backup that is heard does not take over: %+v", plan)
	}
	if plan := p.Plan(now, &s, domains, []vm.State{state(a.Primary.VM, heard)}); len(plan) > 0 {
		t.Errorf("a primary that was heard %s ago loses its backup: %+v", now.Sub(heard), plan)
	}
}

// TestPlanAsksTheBackup: when a cut heals, the backup is heard some milliseconds
// before its primary, which was beside it all the time (issue 10,
// TestCutFailureDomain).
func TestPlanAsksTheBackup(t *testing.T) {
	var s State
	p := Planner{Ledgers: 1}
	state := func(id vm.ID, silent ...vm.ID) vm.State {
		return vm.State{Heard: theStart, Heartbeat: vm.Heartbeat{VM: id, FailureDomain: "arusha", Incarnation: 1, Silent: silent}}
	}
	domains := []vm.FailureDomain{"arusha"}
	for _, a := range p.Plan(theStart, &s, domains, []vm.State{state("vm0"), state("vm1")}) {
		s.Apply(1, Command{Assign: &a})
	}
	a, _ := s.Assignment(submission.LedgerID{FailureDomain: "arusha"})
	if plan := p.Plan(theStart, &s, domains, []vm.State{state(a.Backup.VM)}); len(plan) > 0 {
		t.Errorf("a backup that hears its primary takes over: %+v", plan)
	}
	if plan := p.Plan(theStart, &s, domains, []vm.State{state(a.Backup.VM, a.Primary.VM)}); len(plan) != 1 || plan[0].Next.Primary != a.Backup {
		t.Errorf("a backup that does not hear its primary does not take over: %+v", plan)
	}
	restarted := state(a.Primary.VM)
	restarted.Heartbeat.Incarnation = 2
	if plan := p.Plan(theStart, &s, domains, []vm.State{state(a.Backup.VM), restarted}); len(plan) != 1 || plan[0].Next.Primary != a.Backup {
		t.Errorf("the backup of a primary that restarted does not take over: %+v", plan)
	}
}
