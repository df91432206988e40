package caller

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/request"
	"tamarackpin.example/internal/submission"
	"tamarackpin.example/internal/table"
	"tamarackpin.example/internal/wire"
	"tamarackpin.example/tamarackpin/internal/jsonhttp"
	"tamarackpin.example/tamarackpin/internal/ledgers"
)

// Bounds of the bodies.
const (
	maxRequestBytes    = request.MaxBodyBytes + 4<<10
	maxSubmissionBytes = submission.MaxBodyBytes + submission.MaxTasks*128
	maxSmallBytes      = 4 << 10
)

// defaultWait is how long a call for a submission's result waits unless it
// says otherwise.
const defaultWait = 30 * time.Second

// Handler serves the callers' address. ready reports whether the platform's
// balancer should send callers here.
func (b *Backend) Handler(ready func() bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/requests", b.inHandOnly(b.serveRequest))
	mux.HandleFunc("POST /v1/submission-ids", b.inHandOnly(b.serveIDs))
	mux.HandleFunc("POST /v1/submissions", b.inHandOnly(b.serveNew))
	mux.HandleFunc("PUT /v1/submissions/{id}", b.inHandOnly(b.servePut))
	mux.HandleFunc("GET /v1/submissions/{id}", b.counted(b.serveGet))
	mux.HandleFunc("DELETE /v1/submissions/{id}", b.counted(b.serveDelete))
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, http.StatusOK, health{true})
	})
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			jsonhttp.Write(w, http.StatusServiceUnavailable, health{false})
			return
		}
		jsonhttp.Write(w, http.StatusOK, health{true})
	})
	return jsonhttp.Fallback(mux)
}

type health struct {
	OK bool `json:"ok"`
}

// inHandOnly wraps calls that bring new work, which is refused at times.
func (b *Backend) inHandOnly(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if refusal := b.take(); refusal != nil {
			jsonhttp.Refuse(w, refusal)
			return
		}
		defer b.leave()
		serve(w, r)
	}
}

// counted wraps calls about work that was taken before; they are served until
// the end.
func (b *Backend) counted(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		b.inHand.Add(1)
		defer b.leave()
		serve(w, r)
	}
}

func (b *Backend) serveRequest(w http.ResponseWriter, r *http.Request) {
	var q request.Request
	if refusal := jsonhttp.Read(w, r, maxRequestBytes, b.config.BodyLimit, &q); refusal != nil {
		b.config.Recorder.Request(report.OtherKey, refusal.Code, 0, 0)
		jsonhttp.Refuse(w, refusal)
		return
	}
	reply := b.Request(r.Context(), q)
	jsonhttp.Write(w, reply.Code.Entry().Status, reply)
}

// idsRequest asks for submission ids.
type idsRequest struct {
	Count int `json:"count"`
}

// Check returns an error for a count out of bounds.
func (r idsRequest) Check() error {
	if r.Count < 1 || r.Count > ledgers.MaxIssue {
		return errors.Newf("count %d: want 1 to %d", r.Count, ledgers.MaxIssue)
	}
	return nil
}

// idsReply carries submission ids.
type idsReply struct {
	IDs []submission.ID `json:"ids"`
}

func (b *Backend) serveIDs(w http.ResponseWriter, r *http.Request) {
	var q idsRequest
	if refusal := jsonhttp.Read(w, r, maxSmallBytes, b.config.BodyLimit, &q); refusal != nil {
		jsonhttp.Refuse(w, refusal)
		return
	}
	ids, refusal := b.config.Ledgers.Issue(r.Context(), q.Count)
	if refusal != nil {
		jsonhttp.Refuse(w, refusal)
		return
	}
	jsonhttp.Write(w, http.StatusOK, idsReply{ids})
}

// serveNew takes a submission without an id of the caller's.
func (b *Backend) serveNew(w http.ResponseWriter, r *http.Request) {
	s, wait, refusal := b.readSubmission(w, r)
	if refusal != nil {
		jsonhttp.Refuse(w, refusal)
		return
	}
	ids, refusal := b.config.Ledgers.Issue(r.Context(), 1)
	if refusal != nil {
		jsonhttp.Refuse(w, refusal)
		return
	}
	b.submit(w, r, ids[0], s, wait)
}

// servePut takes a submission, or a resubmission, under an id issued before.
func (b *Backend) servePut(w http.ResponseWriter, r *http.Request) {
	id, err := submission.ParseID(r.PathValue("id"))
	if err != nil {
		jsonhttp.Refuse(w, code.New(code.BadField, "%v", err))
		return
	}
	s, wait, refusal := b.readSubmission(w, r)
	if refusal != nil {
		jsonhttp.Refuse(w, refusal)
		return
	}
	b.submit(w, r, id, s, wait)
}

func (b *Backend) readSubmission(w http.ResponseWriter, r *http.Request) (s submission.Submission, wait time.Duration, refusal *code.Error) {
	if wait, refusal = waitOf(r); refusal != nil {
		return s, 0, refusal
	}
	refusal = jsonhttp.Read(w, r, maxSubmissionBytes, b.config.BodyLimit, &s)
	return s, wait, refusal
}

// waitOf returns how long a call waits for a result: its query parameter wait,
// a duration.
func waitOf(r *http.Request) (time.Duration, *code.Error) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return defaultWait, nil
	}
	var d wire.Duration
	if err := d.UnmarshalText([]byte(text)); err != nil || d > table.MaxDeadline {
		return 0, code.New(code.BadField, "wait=%.40s: want 0s to %s", strconv.Quote(text), table.MaxDeadline)
	}
	return d.Std(), nil
}

func (b *Backend) submit(w http.ResponseWriter, r *http.Request, id submission.ID, s submission.Submission, wait time.Duration) {
	status, refusal := b.config.Ledgers.Submit(r.Context(), id, s, wait)
	b.reply(w, id, status, refusal)
}

func (b *Backend) serveGet(w http.ResponseWriter, r *http.Request) {
	id, wait, refusal := asked(r)
	if refusal != nil {
		jsonhttp.Refuse(w, refusal)
		return
	}
	status, refusal := b.config.Ledgers.Status(r.Context(), id, wait)
	b.reply(w, id, status, refusal)
}

func (b *Backend) serveDelete(w http.ResponseWriter, r *http.Request) {
	id, _, refusal := asked(r)
	if refusal != nil {
		jsonhttp.Refuse(w, refusal)
		return
	}
	status, refusal := b.config.Ledgers.Cancel(context.WithoutCancel(r.Context()), id)
	b.reply(w, id, status, refusal)
}

// asked returns the id and the wait of a call about a submission.
func asked(r *http.Request) (submission.ID, time.Duration, *code.Error) {
	id, err := submission.ParseID(r.PathValue("id"))
	if err != nil {
		return id, 0, code.New(code.BadField, "%v", err)
	}
	wait, refusal := waitOf(r)
	return id, wait, refusal
}

// refusedSubmission is a refusal together with the id it is about, so that a
// caller who sent none can try again under it.
type refusedSubmission struct {
	*code.Error
	ID submission.ID `json:"id"`
}

func (b *Backend) reply(w http.ResponseWriter, id submission.ID, s submission.Status, refusal *code.Error) {
	if refusal != nil {
		jsonhttp.Write(w, refusal.Code.Entry().Status, refusedSubmission{refusal, id})
		return
	}
	if s.State == submission.Running {
		jsonhttp.Write(w, http.StatusAccepted, s)
		return
	}
	jsonhttp.Write(w, s.Code.Entry().Status, s)
}
