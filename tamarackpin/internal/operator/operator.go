// Package operator serves the operators' address: the table, the report, the
// state of this entry VM and of what it knows, and the drain. Every call but
// the two for the platform's health checks needs the credential.
package operator

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/control"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/settings"
	"tamarackpin.example/internal/table"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wire"
	"tamarackpin.example/tamarackpin/internal/controller"
	"tamarackpin.example/tamarackpin/internal/dispatch"
	"tamarackpin.example/tamarackpin/internal/jsonhttp"
	"tamarackpin.example/tamarackpin/internal/ledgers"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// methodPart asks another entry VM for its part of the report.
const methodPart peer.Method = "operator.part"

// Bounds and times.
const (
	maxChangeBytes = 8 << 20
	partTimeout    = 2 * time.Second
	defaultHistory = 20
	maxHistory     = 1000
)

// Config is what a Handler needs.
type Config struct {
	Settings   *settings.Settings
	Controller *controller.Controller
	Mesh       *peer.Mesh
	Part       func() report.Part
	Status     func(context.Context) Status
	Targets    func(context.Context) []dispatch.TargetState
	Ready      func() bool
	Drain      func() // begins the graceful shutdown
	Metrics    http.Handler
}

// Status is what one entry VM tells about itself.
type Status struct {
	VM            vm.ID             `json:"vm"`
	FailureDomain vm.FailureDomain  `json:"failure_domain"`
	Incarnation   vm.Incarnation    `json:"incarnation"`
	Uptime        wire.Duration     `json:"uptime"`
	Ready         bool              `json:"ready"`
	Draining      bool              `json:"draining"`
	InHand        int64             `json:"in_hand"` // callers that wait for a reply
	Waiting       int               `json:"waiting"` // tasks without a slot
	Running       int               `json:"running"` // tasks on targets
	Control       controller.Status `json:"control"`
	Living        []vm.Heartbeat    `json:"living"`
	Ledgers       []ledgers.State   `json:"ledgers"`
}

// handler serves the calls.
type handler struct {
	config Config
}

// Handler returns the handler of the operators' address and registers what it
// serves to other entry VMs.
func Handler(c Config, x *peer.Mux) http.Handler {
	h := &handler{config: c}
	guard := jsonhttp.NewCredential(c.Settings.Operators.Credential).Guard
	peer.Handle(x, methodPart, func(context.Context, vm.ID, struct{}) (report.Part, error) { return c.Part(), nil })
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/table", guard(h.getTable))
	mux.HandleFunc("POST /v1/table/changes", guard(h.postChange))
	mux.HandleFunc("GET /v1/table/history", guard(h.getHistory))
	mux.HandleFunc("GET /v1/report", guard(h.getReport))
	mux.HandleFunc("GET /v1/status", guard(func(w http.ResponseWriter, r *http.Request) {
		jsonhttp.Write(w, http.StatusOK, c.Status(r.Context()))
	}))
	mux.HandleFunc("GET /v1/targets", guard(h.getTargets))
	mux.HandleFunc("POST /v1/drain", guard(func(w http.ResponseWriter, _ *http.Request) {
		c.Drain()
		jsonhttp.Write(w, http.StatusAccepted, draining{true})
	}))
	mux.HandleFunc("GET /metrics", guard(c.Metrics.ServeHTTP))
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { jsonhttp.Write(w, http.StatusOK, health{true}) })
	mux.HandleFunc("GET /ready", h.getReady)
	return jsonhttp.Fallback(mux)
}

type draining struct {
	Draining bool `json:"draining"`
}

type health struct {
	OK bool `json:"ok"`
}

func (h *handler) getReady(w http.ResponseWriter, _ *http.Request) {
	if !h.config.Ready() {
		jsonhttp.Write(w, http.StatusServiceUnavailable, health{false})
		return
	}
	jsonhttp.Write(w, http.StatusOK, health{true})
}

func (h *handler) getTable(w http.ResponseWriter, r *http.Request) {
	t := h.config.Controller.View().Table
	if r.URL.Query().Get("format") != "csv" {
		jsonhttp.Write(w, http.StatusOK, t)
		return
	}
	w.Header().Set("Content-Type", "text/csv")
	w.Header().Set("Tamarackpin-Table-Version", strconv.FormatUint(uint64(t.Version()), 10))
	_ = table.WriteCSV(w, t.Rows()) // a client that left cannot be told
}

// changed is the reply to an accepted change.
type changed struct {
	Version table.Version `json:"version"`
}

func (h *handler) postChange(w http.ResponseWriter, r *http.Request) {
	var c table.Change
	if refusal := jsonhttp.Read(w, r, maxChangeBytes, h.config.Settings.BodyTimeout.Std(), &c); refusal != nil {
		if refusal.Code == code.BadField {
			refusal = code.New(code.BadTable, "%s", refusal.Message)
		}
		jsonhttp.Refuse(w, refusal)
		return
	}
	// An operator who gives up does not take the change back.
	result, refusal := h.config.Controller.Propose(context.WithoutCancel(r.Context()), control.Command{Change: &c})
	if refusal != nil {
		jsonhttp.Refuse(w, refusal)
		return
	}
	jsonhttp.Write(w, http.StatusOK, changed{result.Version})
}

func (h *handler) getHistory(w http.ResponseWriter, r *http.Request) {
	most := defaultHistory
	if text := r.URL.Query().Get("most"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxHistory {
			jsonhttp.Refuse(w, code.New(code.BadField, "most=%.40q: want 1 to %d", text, maxHistory))
			return
		}
		most = n
	}
	entries, refusal := h.config.Controller.History(r.Context(), most)
	if refusal != nil {
		jsonhttp.Refuse(w, refusal)
		return
	}
	if entries == nil {
		entries = []table.Entry{}
	}
	jsonhttp.Write(w, http.StatusOK, entries)
}

func (h *handler) getTargets(w http.ResponseWriter, r *http.Request) {
	states := h.config.Targets(r.Context())
	if states == nil {
		states = []dispatch.TargetState{}
	}
	jsonhttp.Write(w, http.StatusOK, states)
}

// getReport merges the parts of all entry VMs that answer.
func (h *handler) getReport(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), partTimeout)
	defer cancel()
	vms := h.config.Settings.VMs
	parts := make([]*report.Part, len(vms))
	var asks sync.WaitGroup
	for i, v := range vms {
		asks.Go(func() {
			if v.VM == h.config.Settings.VM {
				own := h.config.Part()
				parts[i] = &own
				return
			}
			p, err := peer.Call[report.Part](ctx, h.config.Mesh, v.VM, report.UseOther, methodPart, struct{}{})
			if err == nil {
				parts[i] = &p
			}
		})
	}
	asks.Wait()
	var in []report.Part
	var missing []vm.ID
	for i, p := range parts {
		if p == nil {
			missing = append(missing, vms[i].VM)
			continue
		}
		in = append(in, *p)
	}
	jsonhttp.Write(w, http.StatusOK, report.Merge(in, missing))
}
