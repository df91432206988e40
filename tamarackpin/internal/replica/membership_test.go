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
	if _, changes := nextConfig(config, wanted, false); changes {
		t.Fatal("a member that cannot be asked was changed")
	}
	wanted["c"] = fresh
	steps := 0
	for {
		next, changes := nextConfig(config, wanted, true)
		if !changes {
			break
		}
		if steps++; steps > 5 {
			t.Fatalf("it does not settle: %+v", next)
		}
		added := 0
		for _, m := range next.Voters {
			if !config.Votes(m) {
				added++
			}
		}
		for _, m := range config.Voters {
			if !next.Votes(m) {
				added++
			}
		}
		if added > 1 {
			t.Fatalf("%+v follows %+v in one step", next, config)
		}
		config = next
	}
	if !slices.Equal(config.Voters, []quorum.Member{a, b, fresh}) || !config.Learner.IsZero() {
		t.Errorf("it settled at %+v", config)
	}
	delete(wanted, "b")
	if next, changes := nextConfig(config, wanted, true); !changes || next.Votes(b) {
		t.Errorf("a member that the settings no longer name stays: %+v", next)
	}
}
