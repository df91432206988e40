package table

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/code"
)

// MaxHistory is the number of accepted changes that a Store remembers by their
// ids. At 5,100 changes a day a resent change is known for two days.
const MaxHistory = 10_200

// Entry is one accepted change and the version that it made.
type Entry struct {
	Version Version `json:"version"`
	Change  Change  `json:"change"`
}

// Store is the state machine of the table: it takes changes one after the
// other and decides about each. The same changes in the same order give the
// same Store. The zero Store holds an empty table. It is not safe for
// concurrent use.
type Store struct {
	current *Snapshot
	history []Entry
	byID    map[ChangeID]Version
}

// Current returns the present table.
func (s *Store) Current() *Snapshot {
	if s.current == nil {
		s.current = &Snapshot{}
	}
	return s.current
}

// History returns the newest accepted changes, oldest first.
func (s *Store) History(most int) []Entry {
	return slices.Clone(s.history[max(0, len(s.history)-most):])
}

// Decide says what Apply would answer to c, without applying it: the version
// that c made earlier, or makes now, or why it is refused.
func (s *Store) Decide(c Change) (v Version, resent bool, refusal *code.Error) {
	if v, ok := s.byID[c.ID]; ok {
		return v, true, nil
	}
	if err := c.Check(); err != nil {
		return 0, false, code.New(code.BadTable, "%v", err)
	}
	now := s.Current().version
	if c.BasedOn != now {
		return 0, false, code.New(code.StaleVersion, "the change is based on version %d; the present one is %d", c.BasedOn, now)
	}
	if _, err := c.apply(s.Current()); err != nil {
		return 0, false, code.New(code.BadTable, "%v", err)
	}
	return now + 1, false, nil
}

// Apply takes c and returns the version that it made. A change that was
// accepted before gets its first answer again.
func (s *Store) Apply(c Change) (Version, *code.Error) {
	v, resent, refusal := s.Decide(c)
	if resent || refusal != nil {
		return v, refusal
	}
	next, err := c.apply(s.Current())
	if err != nil {
		return 0, code.New(code.BadTable, "%v", err)
	}
	s.current = next
	s.remember(Entry{Version: v, Change: c})
	return v, nil
}

func (s *Store) remember(e Entry) {
	if s.byID == nil {
		s.byID = make(map[ChangeID]Version)
	}
	s.byID[e.Change.ID] = e.Version
	s.history = append(s.history, e)
	if extra := len(s.history) - MaxHistory; extra > 0 {
		for _, old := range s.history[:extra] {
			delete(s.byID, old.Change.ID)
		}
		s.history = slices.Clone(s.history[extra:])
	}
}

// Since returns the accepted changes after version v, or ok false if the Store
// does not remember all of them.
func (s *Store) Since(v Version) (entries []Entry, ok bool) {
	behind := int(s.Current().version) - int(v)
	if behind < 0 || behind > len(s.history) {
		return nil, false
	}
	return s.History(behind), true
}

type storeJSON struct {
	Table   *Snapshot `json:"table"`
	History []Entry   `json:"history"`
}

// MarshalJSON writes the whole state.
func (s *Store) MarshalJSON() ([]byte, error) {
	return json.Marshal(storeJSON{s.Current(), s.history})
}

// UnmarshalJSON takes what MarshalJSON writes.
func (s *Store) UnmarshalJSON(b []byte) error {
	j := storeJSON{Table: &Snapshot{}}
	if err := json.Unmarshal(b, &j); err != nil {
		return errors.Wrap(err, "decoding the table's state")
	}
	*s = Store{current: j.Table}
	for _, e := range j.History {
		s.remember(e)
	}
	return nil
}
