package evacuation

import (
	"testing"
	"time"
)

// An order that arrives late, or twice, must not replace a newer one of its failure domain, and a
// Set must not change under its readers.
func TestNewestOrderIsInForce(t *testing.T) {
	now := time.Unix(1000, 0)
	begin := Domain{FailureDomain: "a", Revision: 3, Evacuated: true, Since: now}
	before := Set{}.With(Domain{FailureDomain: "b", Revision: 2, Evacuated: true, Since: now}).With(begin)
	after := before.With(Domain{FailureDomain: "a", Revision: 4, Since: now.Add(time.Second)})
	late := after.With(begin)
	for _, c := range []struct {
		name      string
		set       Set
		evacuated bool
		revision  Revision
	}{{"zero", Set{}, false, 0}, {"begun", before, true, 3}, {"withdrawn", after, false, 4}, {"begun again by a late copy", late, false, 4}} {
		if c.set.Contains("a") != c.evacuated || c.set.Revision() != c.revision || c.set.RevisionOf("a") != c.revision {
			t.Errorf("%s: evacuated %t, revision %d, want %t, %d", c.name, c.set.Contains("a"), c.set.Revision(), c.evacuated, c.revision)
		}
	}
	if got := before.Age(now.Add(2*time.Second), "a"); got != 2*time.Second {
		t.Errorf("age %s, want 2s", got)
	}
	if list := after.Domains(); len(list) != 2 || list[0].FailureDomain != "a" || !after.Contains("b") {
		t.Errorf("domains %+v", list)
	}
}
