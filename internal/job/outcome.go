package job

// Outcome is what became of a job.
type Outcome string

// The outcomes.
const (
	Completed Outcome = "completed" // all tasks ended well
	Failed    Outcome = "failed"    // workers listed as many failed runs of a task as it may have
	NotRun    Outcome = "not_run"   // refused; no task was started for this request, and none will be
	Abandoned Outcome = "abandoned" // given up after tasks may have been started; it may be submitted again
	Cancelled Outcome = "cancelled" // its caller canceled it
)
