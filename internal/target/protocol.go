package target

// The protocol towards targets is HTTP: a task is posted to TaskPath of the
// announced address, and the answer is the body of the reply. docs/API.md has
// an example of each.
const (
	TaskPath     = "/v1/tasks"
	AnnouncePath = "/v1/announcements"

	// HeaderTask names one sending of one task. The target must return it.
	HeaderTask       = "Tamarackpin-Task"
	HeaderParty      = "Tamarackpin-Party"
	HeaderKind       = "Tamarackpin-Kind"
	HeaderSubmission = "Tamarackpin-Submission" // id and index of the task
	HeaderTimeLimit  = "Tamarackpin-Time-Limit"
	// HeaderNotRun is "true" on a reply that refuses a task before running it.
	HeaderNotRun = "Tamarackpin-Not-Run"
	// HeaderDigest is the SHA-256 of the answer as RFC 9530 writes it; a target
	// may leave it out.
	HeaderDigest = "Content-Digest"
)

// MaxAnswerBytes bounds the answer of one task.
const MaxAnswerBytes = 1 << 20
