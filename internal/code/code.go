// Package code holds the numbered result codes that every reply carries.
//
// A code is the whole of what a caller may rely on: it fixes the HTTP status,
// the name and the [Outcome], which says whether the work was run. The table
// of codes in docs/CODES.md is held to [All] by a test. All other packages
// report their refusals and failures as an [*Error] of this package.
package code

import "net/http"

// Code is a numbered result.
type Code int

// The codes: 1xxx done, 2xxx bad input, 3xxx refused, 4xxx failed, 5xxx
// operators' table and orders, 9xxx faults of the system itself.
const (
	OK                Code = 1000
	BadJSON           Code = 2001
	TooLarge          Code = 2002
	BadField          Code = 2003
	UnknownParty      Code = 2004
	IncompleteBody    Code = 2005
	NotFound          Code = 2006
	MethodNotAllowed  Code = 2007
	Unauthorized      Code = 2008
	IDConflict        Code = 2009
	UnknownSubmission Code = 2010
	OutcomeUnknown    Code = 2011
	AnswerExpired     Code = 2012
	// UnknownFailureDomain and QuorumOutdated are of orders to evacuate a failure domain.
	UnknownFailureDomain Code = 2013
	QueueFull            Code = 3001
	DeadlineTooClose     Code = 3002
	RateLimited          Code = 3003
	NoTarget             Code = 3004
	Draining             Code = 3005
	DeadlinePassed       Code = 3006
	Cancelled            Code = 3007
	LedgerUnreachable    Code = 3008
	NotReady             Code = 3009
	LedgerFull           Code = 3010
	TargetBusy           Code = 3011
	TargetFailed         Code = 4001
	TargetLost           Code = 4002
	TimeLimit            Code = 4003
	BadAnswer            Code = 4004
	InDoubt              Code = 4005
	SubmissionFailed     Code = 4006
	CancelledLate        Code = 4007
	PeerLost             Code = 4008
	StaleVersion         Code = 5001
	BadTable             Code = 5002
	TableUnavailable     Code = 5003
	TableOutcomeUnsure   Code = 5004
	QuorumOutdated       Code = 5005
	AskControlVM         Code = 5006
	Internal             Code = 9001
)

// Entry describes one code.
type Entry struct {
	Code    Code
	Name    string
	Status  int // HTTP status
	Outcome Outcome
	Meaning string // one sentence for docs/CODES.md
}

var entries = []Entry{
	{OK, "ok", http.StatusOK, Ran, "The answer is whole and belongs to this request."},
	{BadJSON, "bad_json", http.StatusBadRequest, NotRun, "The body is not the JSON this call takes."},
	{TooLarge, "too_large", http.StatusRequestEntityTooLarge, NotRun, "The body or a list in it is over its limit."},
	{BadField, "bad_field", http.StatusBadRequest, NotRun, "A field is missing, unknown or outside what is allowed."},
	{UnknownParty, "unknown_party", http.StatusForbidden, NotRun, "The table has no row for this party and kind."},
	{IncompleteBody, "incomplete_body", http.StatusRequestTimeout, NotRun, "The body stopped or took too long before its end."},
	{NotFound, "not_found", http.StatusNotFound, NotRun, "There is no such path."},
	{MethodNotAllowed, "method_not_allowed", http.StatusMethodNotAllowed, NotRun, "The path does not take this method."},
	{Unauthorized, "unauthorized", http.StatusUnauthorized, NotRun, "The operators' credential is missing or wrong."},
	{IDConflict, "id_conflict", http.StatusConflict, NotRun, "The id already belongs to a submission of other content; this content was not run."},
	{UnknownSubmission, "unknown_submission", http.StatusNotFound, NotRun, "The id was issued, but nothing was submitted under it."},
	{OutcomeUnknown, "outcome_unknown", http.StatusGone, MayHaveRun, "The id is past its retention or its ledger's state was lost; it is never taken for new."},
	{AnswerExpired, "answer_expired", http.StatusGone, Ran, "The submission is complete, but its answer is no longer kept."},
	{UnknownFailureDomain, "unknown_failure_domain", http.StatusNotFound, NotRun, "No failure domain of this name exists, so it cannot be evacuated."},
	{QueueFull, "queue_full", http.StatusTooManyRequests, NotRun, "The row's queue is at its limit."},
	{DeadlineTooClose, "deadline_too_close", http.StatusTooManyRequests, NotRun, "The work could not start early enough to make its deadline."},
	{RateLimited, "rate_limited", http.StatusTooManyRequests, NotRun, "The row is over its rate."},
	{NoTarget, "no_target", http.StatusServiceUnavailable, NotRun, "No target for this kind can be reached."},
	{Draining, "draining", http.StatusServiceUnavailable, NotRun, "This entry VM is shutting down."},
	{DeadlinePassed, "deadline_passed", http.StatusGatewayTimeout, NotRun, "The deadline passed before the work was started."},
	{Cancelled, "cancelled", http.StatusConflict, NotRun, "The work was cancelled before any of it was started."},
	{LedgerUnreachable, "ledger_unreachable", http.StatusServiceUnavailable, MayHaveRun, "The entry VM that keeps this submission cannot be asked now; resubmit under the same id."},
	{NotReady, "not_ready", http.StatusServiceUnavailable, NotRun, "This entry VM has no table yet."},
	{LedgerFull, "ledger_full", http.StatusServiceUnavailable, NotRun, "The ledger holds as many submissions as it may."},
	{TargetBusy, "target_busy", http.StatusServiceUnavailable, NotRun, "The target refused the work before running it. The system tries again until the deadline, so a caller sees this only inside a message."},
	{TargetFailed, "target_failed", http.StatusBadGateway, Ran, "The target ran the work and answered with a failure."},
	{TargetLost, "target_lost", http.StatusBadGateway, MayHaveRun, "The target was lost after the work was sent."},
	{TimeLimit, "time_limit", http.StatusGatewayTimeout, MayHaveRun, "The target did not answer within the time limit or the deadline."},
	{BadAnswer, "bad_answer", http.StatusBadGateway, MayHaveRun, "The target's answer was cut short or belongs to other work."},
	{InDoubt, "in_doubt", http.StatusBadGateway, MayHaveRun, "A task was started and its end is not known; it is not started again."},
	{SubmissionFailed, "submission_failed", http.StatusBadGateway, MayHaveRun, "A task of the submission failed, so the submission has no answer."},
	{CancelledLate, "cancelled_late", http.StatusConflict, MayHaveRun, "The submission was cancelled after some of its tasks were started."},
	{PeerLost, "peer_lost", http.StatusBadGateway, MayHaveRun, "The entry VM that the request was passed on to was lost before it answered."},
	{StaleVersion, "stale_version", http.StatusConflict, NotRun, "The change was based on another version than the present one."},
	{BadTable, "bad_table", http.StatusBadRequest, NotRun, "The table has faults; each is named with its row and column."},
	{TableUnavailable, "table_unavailable", http.StatusServiceUnavailable, NotRun, "The change was not applied: the holder of the table cannot be reached."},
	{TableOutcomeUnsure, "table_outcome_unsure", http.StatusServiceUnavailable, MayHaveRun, "The answer about the change was lost; send it again under the same change id."},
	{QuorumOutdated, "quorum_outdated", http.StatusServiceUnavailable, NotRun, "The order was not applied: a member of the control quorum runs an earlier build, which would lose it."},
	{AskControlVM, "ask_control_vm", http.StatusMisdirectedRequest, NotRun, "This VM takes no orders of operators: send the order to the operators' address of a control VM."},
	{Internal, "internal", http.StatusInternalServerError, MayHaveRun, "A fault of the system; the log event of the same time tells more."},
}

var byCode = func() map[Code]Entry {
	m := make(map[Code]Entry, len(entries))
	for _, e := range entries {
		m[e.Code] = e
	}
	return m
}()

// All returns every code in ascending order.
func All() []Entry { return append([]Entry(nil), entries...) }

// Entry returns the description of c, or that of [Internal] for a number that
// is no code.
func (c Code) Entry() Entry {
	if e, ok := byCode[c]; ok {
		return e
	}
	return byCode[Internal]
}

// Known reports whether c is one of [All].
func (c Code) Known() bool {
	_, ok := byCode[c]
	return ok
}

// String returns the name of c in snake case.
func (c Code) String() string { return c.Entry().Name }
