// Package nodeoperator serves the operators' address of a VM in a deployment with workers: the
// evacuations of failure domains, the pairs of rows that slow each other down, and the state of the
// VM. Every call needs the credential.
package nodeoperator

import (
	"context"
	"net/http"
	"time"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/fleet"
	"tamarackpin.example/tamarackpin/internal/jsonhttp"
)

// Config is what a Handler needs.
type Config struct {
	Credential string
	Knowledge  *fleet.Knowledge
	// Evacuate orders the evacuation of a failure domain, or its end, and returns once the order is stored.
	// waiting reports whether the operator still waits for the reply. Nil on a VM that is no control VM.
	Evacuate func(ctx context.Context, d vm.FailureDomain, evacuate bool, waiting func() bool) *code.Error
	// ClientLeft reports whether the client of a request has closed its connection, also before the context of
	// the request ends. If it is nil, the context alone tells.
	ClientLeft func(ctx context.Context) bool
	// Interference returns the list of pairs of rows that slow each other down, as JSON. Nil on a VM that dispatches
	// nothing.
	Interference func() any
	// Running returns the number of tasks that the dispatchers of an entry VM have assigned to workers. The entry VM may be
	// this one.
	Running func(ctx context.Context, of vm.ID) (int, error)
	Status  func(now time.Time) Status
}

// orderTimeout bounds an order: its bound while the quorum is stable, after which the operator sends it
// again.
const orderTimeout = 5 * time.Second

// handler serves the calls.
type handler struct {
	config Config
}

// Handler returns the handler of the operators' address.
func Handler(c Config) http.Handler {
	h := &handler{config: c}
	guard := jsonhttp.NewCredential(c.Credential).Guard
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/evacuations", guard(h.getEvacuations))
	mux.HandleFunc("POST /v1/evacuations/{domain}/begin", guard(func(w http.ResponseWriter, r *http.Request) { h.postOrder(w, r, true) }))
	mux.HandleFunc("POST /v1/evacuations/{domain}/finish", guard(func(w http.ResponseWriter, r *http.Request) { h.postOrder(w, r, false) }))
	mux.HandleFunc("GET /v1/interference", guard(h.getInterference))
	mux.HandleFunc("GET /v1/status", guard(func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, http.StatusOK, c.Status(time.Now()))
	}))
	return jsonhttp.Fallback(mux)
}

func (h *handler) getEvacuations(w http.ResponseWriter, r *http.Request) {
	jsonhttp.Write(w, http.StatusOK, h.domains(r.Context(), time.Now()))
}

// ordered is the reply to an order that is stored.
type ordered struct {
	FailureDomain vm.FailureDomain `json:"failure_domain"`
	Evacuated     bool             `json:"evacuated"`
}

func (h *handler) postOrder(w http.ResponseWriter, r *http.Request, evacuate bool) {
	domain := vm.FailureDomain(r.PathValue("domain"))
	if h.config.Evacuate == nil {
		jsonhttp.Refuse(w, code.New(code.AskControlVM, "%s is an entry VM: send the order to the operators' address of a control VM", h.config.Knowledge.Self().VM))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), orderTimeout)
	defer cancel()
	waiting := func() bool {
		return ctx.Err() == nil && (h.config.ClientLeft == nil || !h.config.ClientLeft(r.Context()))
	}
	if refusal := h.config.Evacuate(ctx, domain, evacuate, waiting); refusal != nil {
		jsonhttp.Refuse(w, refusal)
		return
	}
	jsonhttp.Write(w, http.StatusOK, ordered{domain, evacuate})
}

func (h *handler) getInterference(w http.ResponseWriter, _ *http.Request) {
	if h.config.Interference == nil {
		jsonhttp.Write(w, http.StatusOK, []struct{}{})
		return
	}
	jsonhttp.Write(w, http.StatusOK, h.config.Interference())
}
