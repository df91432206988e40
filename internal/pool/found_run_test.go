package pool

import "testing"

// TestFoundRunTellsWhetherItsWorkerHadListed: the log tells a run that was unknown when the dispatcher took over from one that
// started after its worker had listed its runs, also in an earlier incarnation.
func TestFoundRunTellsWhetherItsWorkerHadListed(t *testing.T) {
	for _, c := range []struct {
		name                string
		listedFirst, resets bool
	}{
		{"first list", false, false},
		{"second list", true, false},
		{"first list of the next incarnation", true, true},
	} {
		h, unlisted := takeOver(t)
		query := unlisted
		if c.listedFirst {
			h.reply(query, Reply{Done: true})
			if c.resets {
				h.announce("w1", 2)
			}
			h.advance(renewWait)
			for _, o := range h.ordersOfKind(RenewOrder) {
				if o.Worker == "w1" {
					query = o
				}
			}
		}
		h.reply(query, Reply{Done: true, Running: []RunningTask{inheritedRun}})
		found := h.pool.TakeFound()
		if len(found) != 1 || found[0].ListedBefore != c.listedFirst {
			t.Errorf("%s: found %+v, want one run with ListedBefore %v", c.name, found, c.listedFirst)
		}
	}
}
