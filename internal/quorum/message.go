package quorum

// MessageKind says what a Message is.
type MessageKind string

// The kinds of messages.
const (
	MsgPreVote      MessageKind = "pre_vote"
	MsgVote         MessageKind = "vote"
	MsgVoteReply    MessageKind = "vote_reply"
	MsgPreVoteReply MessageKind = "pre_vote_reply"
	MsgAppend       MessageKind = "append"
	MsgAppendReply  MessageKind = "append_reply"
	MsgInstall      MessageKind = "install"
)

// Message travels between members. Which fields are used depends on the kind.
type Message struct {
	Kind      MessageKind `json:"kind"`
	From      Member      `json:"from"`
	To        Member      `json:"to"`
	Term      Term        `json:"term"`
	LastIndex Index       `json:"last_index,omitempty"` // of the candidate's log; the entry before Entries
	LastTerm  Term        `json:"last_term,omitempty"`
	Entries   []Entry     `json:"entries,omitempty"`
	Commit    Index       `json:"commit,omitempty"`
	Accepted  bool        `json:"accepted,omitempty"`
	Match     Index       `json:"match,omitempty"` // accepted: held up to here; refused: try from here
	Snapshot  *Snapshot   `json:"snapshot,omitempty"`
}
