package target

// The protocol between entry VMs and targets is HTTP. A task is posted to TaskPath
// at the announced address, and its answer is the body of the response.
// Announcements are posted to AnnouncePath. docs/API.md has an example of each.
const (
	TaskPath     = "/v1/tasks"
	AnnouncePath = "/v1/announcements"

	// HeaderTask identifies one attempt to send a task. The target must return it.
	HeaderTask       = "Tamarackpin-Task"
	HeaderParty      = "Tamarackpin-Party"
	HeaderKind       = "Tamarackpin-Kind"
	HeaderSubmission = "Tamarackpin-Submission" // id and index of the task
	HeaderTimeLimit  = "Tamarackpin-Time-Limit"
	// HeaderNotRun is "true" in a response that refuses a task before running it.
	HeaderNotRun = "Tamarackpin-Not-Run"
	// HeaderDigest is the SHA-256 of the answer in the format of RFC 9530. It is
	// optional.
	HeaderDigest = "Content-Digest"
)

// MaxAnswerBytes is the largest answer of a task, in bytes.
const MaxAnswerBytes = 1 << 20
