package group

import (
	"testing"

	"tamarackpin.example/internal/pool"
)

// TestOnlyFirstGateFollowsItsChoice guards against two gates that wait for one job, each of which takes the group that it is
// offloaded to for its own choice: if one cannot reach that group, the job would start here while it runs there.
func TestOnlyFirstGateFollowsItsChoice(t *testing.T) {
	a := pool.Admission{Job: "j", Number: 1}
	s := groupState{waiters: make(map[pool.Admission][]waiter), admissions: make(map[Ticket]pool.Admission)}
	for n := range uint64(2) {
		s.waiters[a] = append(s.waiters[a], waiter{Ticket{Gate: "ip-0a000001", Number: n}, make(chan result, 1)})
	}
	waiters := s.waiters[a]
	s.deliverAnswers([]pool.Answer{{Admission: a, TryElsewhere: true, OffloadTo: pool.Destination{VM: "ip-0a000002"}, Offered: true}})
	for i, w := range waiters {
		if r := <-w.done; r.answer.Offered != (i == 0) || r.answer.OffloadTo.VM != "ip-0a000002" {
			t.Errorf("gate %d: %+v", i, r.answer)
		}
	}
}
