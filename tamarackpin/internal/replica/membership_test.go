package replica

import (
	"slices"
	"testing"

	"tamarackpin.example/internal/quorum"
	"tamarackpin.example/internal/vm"
)

// TestMembersFollowTheirDisks: a member that comes back with another disk is
// taken out, brought up to date and made a voter again, one step at a time.
func TestMembersFollowTheirDisks(t *testing.T) {
	a, b, c, fresh := quorum.Member{VM: "a", Disk: "1"}, quorum.Member{VM: "b", Disk: "2"}, quorum.Member{VM: "c", Disk: "3"}, quorum.Member{VM: "c", Disk: "4"}
	config := quorum.Config{Voters: []quorum.Member{a, b, c}}
	wanted := map[vm.ID]quorum.Member{"a": a, "b": b, "c": {}}
	if _, changes := nextConfig(config, wanted, false, nil); changes {
		t.Fatal("a member that cannot be asked was changed")
	}
	wanted["c"] = fresh
	steps := 0
	for {
		next, changes := nextConfig(config, wanted, true, nil)
		if !changes {
			break
		}
		if steps++; steps > 5 {
			t.Fatalf("it does not settle: %+v", next)
		}
		// One voter less or more, or one disk for another of the same VM: with a
		// smaller quorum in between, one more lost disk would end it (issue 10;
		// hunt-46c2-7 of bunkerline).
		var out, in []quorum.Member
		for _, m := range config.Voters {
			if !next.Votes(m) {
				out = append(out, m)
			}
		}
		for _, m := range next.Voters {
			if !config.Votes(m) {
				in = append(in, m)
			}
		}
		swap := len(out) == 1 && len(in) == 1 && out[0].VM == in[0].VM && in[0] == config.Learner
		if len(out)+len(in) > 1 && !swap {
			t.Fatalf("%+v follows %+v in one step", next, config)
		}
		if len(next.Voters) < 3 {
			t.Fatalf("%+v leaves a quorum of %d", next, len(next.Voters))
		}
		config = next
	}
	if !slices.Equal(config.Voters, []quorum.Member{a, b, fresh}) || !config.Learner.IsZero() {
		t.Errorf("it settled at %+v", config)
	}
	delete(wanted, "b")
	if next, changes := nextConfig(config, wanted, true, nil); !changes || next.Votes(b) {
		t.Errorf("a member that the settings no longer name stays: %+v", next)
	}
}

// TestLostLearnerDoesNotBlockChanges: a learner is lost for good before it has caught up. It stayed the
// learner, and no member was taken in or left out any more.
func TestLostLearnerDoesNotBlockChanges(t *testing.T) {
	a, b, c := quorum.Member{VM: "a", Disk: "1"}, quorum.Member{VM: "b", Disk: "2"}, quorum.Member{VM: "c", Disk: "3"}
	lost, successor := quorum.Member{VM: "d", Disk: "4"}, quorum.Member{VM: "e", Disk: "5"}
	for _, test := range []struct {
		name   string
		wanted map[vm.ID]quorum.Member
		silent []quorum.Member
	}{
		{"it counts as unresponsive", map[vm.ID]quorum.Member{"a": a, "b": b, "c": c, "e": successor}, nil},
		{"the leader does not hear it", map[vm.ID]quorum.Member{"a": a, "b": b, "c": c, "d": {}, "e": successor}, []quorum.Member{lost}},
	} {
		config := quorum.Config{Voters: []quorum.Member{a, b, c}, Learner: lost}
		for range 3 {
			config, _ = nextConfig(config, test.wanted, config.Learner == successor, test.silent)
		}
		if !config.Votes(successor) {
			t.Errorf("%s: members %+v after three steps, want the successor to vote", test.name, config)
		}
	}
}
