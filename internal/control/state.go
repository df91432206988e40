package control

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/ledger"
	"tamarackpin.example/internal/quorum"
	"tamarackpin.example/internal/submission"
	"tamarackpin.example/internal/table"
)

// State is the state machine. The same commands give the same State. It is not
// safe for concurrent use. The zero State is empty.
type State struct {
	index       quorum.Index
	store       table.Store
	assignments map[submission.LedgerID]ledger.Assignment
	assignedAt  quorum.Index // of the last command that changed assignments
}

// Index returns the index of the last command that changed something.
func (s *State) Index() quorum.Index { return s.index }

// Table returns the state machine of the table. The caller must not change it.
func (s *State) Table() *table.Store { return &s.store }

// Assignment returns the present assignment of a ledger.
func (s *State) Assignment(l submission.LedgerID) (ledger.Assignment, bool) {
	a, ok := s.assignments[l]
	return a, ok
}

// Apply takes in the command at index. Only a command that changes something
// moves the State's index on.
func (s *State) Apply(index quorum.Index, c Command) Result {
	var r Result
	before := s.store.Current().Version()
	switch {
	case c.Change != nil:
		r.Version, r.Refusal = s.store.Apply(*c.Change)
		if s.store.Current().Version() != before {
			s.index = index
		}
	case c.Assign != nil:
		if r.Refusal = s.assign(*c.Assign); r.Refusal == nil {
			s.index, s.assignedAt = index, index
		}
	}
	r.Index = s.index
	return r
}

func (s *State) assign(a Assign) *code.Error {
	if err := a.Check(); err != nil {
		return code.New(code.BadField, "%v", err)
	}
	now := s.assignments[a.Next.Ledger]
	if now.Generation != a.Generation || now.Epoch != a.Epoch {
		return code.New(code.StaleVersion, "ledger %s is at generation %d, epoch %d", a.Next.Ledger, now.Generation, now.Epoch)
	}
	if s.assignments == nil {
		s.assignments = make(map[submission.LedgerID]ledger.Assignment)
	}
	s.assignments[a.Next.Ledger] = a.Next
	return nil
}

// View returns what entry VMs act on.
func (s *State) View() *View {
	return &View{Index: s.index, Table: s.store.Current(), Assignments: sortedAssignments(s.assignments)}
}

func sortedAssignments(m map[submission.LedgerID]ledger.Assignment) []ledger.Assignment {
	list := make([]ledger.Assignment, 0, len(m))
	for _, a := range m {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b ledger.Assignment) int {
		if c := cmp.Compare(a.Ledger.FailureDomain, b.Ledger.FailureDomain); c != 0 {
			return c
		}
		return cmp.Compare(a.Ledger.Number, b.Ledger.Number)
	})
	return list
}

type stateJSON struct {
	Index       quorum.Index        `json:"index"`
	Store       *table.Store        `json:"store"`
	Assignments []ledger.Assignment `json:"assignments"`
}

// MarshalJSON writes the whole state, for a snapshot.
func (s *State) MarshalJSON() ([]byte, error) {
	return json.Marshal(stateJSON{s.index, &s.store, sortedAssignments(s.assignments)})
}

// UnmarshalJSON takes what MarshalJSON writes.
func (s *State) UnmarshalJSON(b []byte) error {
	var j stateJSON
	if err := json.Unmarshal(b, &j); err != nil {
		return errors.Wrap(err, "decoding the control state")
	}
	*s = State{index: j.Index, assignedAt: j.Index, assignments: make(map[submission.LedgerID]ledger.Assignment)}
	if j.Store != nil {
		s.store = *j.Store
	}
	for _, a := range j.Assignments {
		s.assignments[a.Ledger] = a
	}
	return nil
}
