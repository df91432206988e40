package nodeoperator

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"tamarackpin.example/internal/evacuation"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wire"
)

// runningTimeout bounds the question to one entry VM what runs: several round trips within a region, also
// to a VM that is behind.
const runningTimeout = time.Second

// domainState is what operators see of a failure domain.
type domainState struct {
	FailureDomain vm.FailureDomain    `json:"failure_domain"`
	Evacuated     bool                `json:"evacuated"`
	Revision      evacuation.Revision `json:"revision"`     // of the newest order; 0 without one
	Age           wire.Duration       `json:"age,omitzero"` // of the newest order
	Workers       int                 `json:"workers"`      // that may be given tasks if the failure domain is not evacuated
	Running       int                 `json:"running"`      // tasks that are assigned to workers
	Unanswered    []vm.ID             `json:"unanswered"`   // entry VMs whose tasks Running lacks
}

// domains returns the state of each failure domain that is known, sorted by name. It asks all entry VMs that are known what
// runs, as any of them may lead a group.
func (h *handler) domains(ctx context.Context, now time.Time) []domainState {
	workers := h.config.Knowledge.CountUsableWorkers(now)
	set := h.config.Knowledge.Evacuations()
	states := make([]domainState, 0, len(workers))
	index := make(map[vm.FailureDomain]int, len(workers))
	for i, d := range slices.Sorted(maps.Keys(workers)) {
		s := domainState{FailureDomain: d, Evacuated: set.Contains(d), Revision: set.RevisionOf(d), Workers: workers[d], Unanswered: []vm.ID{}}
		if s.Revision > 0 {
			s.Age = wire.Duration(set.Age(now, d)).Round()
		}
		states = append(states, s)
		index[d] = i
	}
	for _, a := range h.askRunning(ctx) {
		i, known := index[a.entry.FailureDomain]
		switch {
		case !known: // first heard of since the workers were counted
		case a.err != nil:
			states[i].Unanswered = append(states[i].Unanswered, a.entry.VM)
		default:
			states[i].Running += a.running
		}
	}
	return states
}

// runningAnswer is what an entry VM replied to the question what runs.
type runningAnswer struct {
	entry   vm.Presence
	running int
	err     error
}

// askRunning asks all known entry VMs at once, and returns their answers sorted by VM.
func (h *handler) askRunning(ctx context.Context) []runningAnswer {
	var answers []runningAnswer
	for _, p := range h.config.Knowledge.VMs(func(p vm.Present) bool { return p.Callers }) {
		answers = append(answers, runningAnswer{entry: p.Presence})
	}
	if self := h.config.Knowledge.Self(); self.Callers {
		answers = append(answers, runningAnswer{entry: self})
	}
	slices.SortFunc(answers, func(a, b runningAnswer) int { return cmp.Compare(a.entry.VM, b.entry.VM) })
	ctx, cancel := context.WithTimeout(ctx, runningTimeout)
	defer cancel()
	var asks sync.WaitGroup
	for i := range answers {
		asks.Go(func() { answers[i].running, answers[i].err = h.config.Running(ctx, answers[i].entry.VM) })
	}
	asks.Wait()
	return answers
}
