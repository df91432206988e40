package quorum

// Index counts the entries of the log from 1.
type Index uint64

// Term counts the elections.
type Term uint64

// Entry is one entry of the log. It holds data for the state machine, or a
// Config, or neither: a new leader's first entry.
type Entry struct {
	Index  Index   `json:"index"`
	Term   Term    `json:"term"`
	Data   []byte  `json:"data,omitempty"`
	Config *Config `json:"config,omitempty"`
}

// HardState must be saved before any message that follows from it is sent.
type HardState struct {
	Term Term   `json:"term"`
	Vote Member `json:"vote,omitzero"`
}

// Snapshot is the state after the entry Index.
type Snapshot struct {
	Index  Index  `json:"index"`
	Term   Term   `json:"term"`
	Config Config `json:"config"`
	Data   []byte `json:"data,omitempty"`
}

// Saved is what a member finds on its disk when it starts.
type Saved struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
	Commit    Index // known to be committed; may be too low
}

// Empty reports whether the disk was never part of a quorum.
func (s Saved) Empty() bool {
	return s.HardState == HardState{} && s.Snapshot.Index == 0 && len(s.Entries) == 0
}
