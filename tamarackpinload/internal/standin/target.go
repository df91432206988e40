package standin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/target"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wire"
)

// Config describes a Target.
type Config struct {
	ID            target.ID
	FailureDomain vm.FailureDomain
	Slots         int
	Connections   int
	Kinds         []party.Kind
	Speed         float64 // 1 takes as long as the work says
	Fault         Fault
	Entries       []string // addresses of entry VMs that take announcements
	Record        *Record
}

// Target is one stand-in. It must be made by [New].
type Target struct {
	config      Config
	listener    net.Listener
	server      *http.Server
	incarnation vm.Incarnation
	sequence    atomic.Uint64
	running     atomic.Int64
	leaving     atomic.Bool
	gone        chan struct{} // closed to end Run
	once        sync.Once
	announcer   *http.Client
}

// Body is what a stand-in makes of a task's body.
type Body struct {
	ID   string        `json:"id"`
	Work wire.Duration `json:"work"`
}

// Answer is what it answers.
type Answer struct {
	ID     string `json:"id"`
	Target string `json:"target"`
}

// maxBodyBytes bounds the body that a stand-in reads.
const maxBodyBytes = 1 << 20

// slowdown is what Slow does to the speed.
const slowdown = 10

// New opens a Target on a free port of loopback.
func New(c Config) (*Target, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "opening a stand-in target")
	}
	t := &Target{
		config:      c,
		listener:    l,
		incarnation: vm.Incarnation(time.Now().UnixNano()),
		announcer:   &http.Client{Timeout: time.Second},
		gone:        make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+target.TaskPath, t.serve)
	t.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	return t, nil
}

// Address returns where the Target takes tasks.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Run serves and announces until ctx is done; then it leaves in order.
func (t *Target) Run(ctx context.Context) {
	go func() { _ = t.server.Serve(t.listener) }() // ends with the listener
	ticker := time.NewTicker(target.RenewInterval)
	defer ticker.Stop()
	for {
		t.announce()
		select {
		case <-ctx.Done():
			t.Leave()
			return
		case <-t.gone:
			return
		case <-ticker.C:
		}
	}
}

// Leave announces that no new task is taken.
func (t *Target) Leave() {
	t.leaving.Store(true)
	t.announce()
}

// Quit leaves in order and ends the announcements; tasks are still served.
func (t *Target) Quit() {
	t.Leave()
	t.once.Do(func() { close(t.gone) })
}

// Kill closes everything at once, without a word.
func (t *Target) Kill() {
	t.once.Do(func() { close(t.gone) })
	_ = t.server.Close()
}

// announce tells one entry VM after the other until one takes it, as through
// a balancer.
func (t *Target) announce() {
	sequence := t.sequence.Add(1)
	b, err := json.Marshal(target.Announcement{
		Target: t.config.ID, Address: t.Address(), FailureDomain: t.config.FailureDomain,
		Incarnation: t.incarnation, Sequence: sequence,
		Slots: t.config.Slots, Connections: t.config.Connections, Kinds: t.config.Kinds,
		Leaving: t.leaving.Load(),
	})
	if err != nil {
		return
	}
	for i := range t.config.Entries {
		entry := t.config.Entries[(int(sequence)+i)%len(t.config.Entries)]
		resp, err := t.announcer.Post("http://"+entry+target.AnnouncePath, "application/json", bytes.NewReader(b))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	var body Body
	if err != nil || json.Unmarshal(b, &body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set(target.HeaderTask, r.Header.Get(target.HeaderTask))
	defer t.running.Add(-1)
	if t.running.Add(1) > int64(t.config.Slots) || t.config.Fault == RefusesIt {
		w.Header().Set(target.HeaderNotRun, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.config.Record.Add(Start{Work: body.ID, Target: string(t.config.ID), Submission: r.Header.Get(target.HeaderSubmission), At: time.Now()})
	if t.config.Fault == FailsAll {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	t.work(r.Context(), body.Work.Std())
	t.answer(w, r, body)
}

// work pretends to work.
func (t *Target) work(ctx context.Context, d time.Duration) {
	speed := t.config.Speed
	if t.config.Fault == Slow {
		speed /= slowdown
	}
	select {
	case <-time.After(time.Duration(float64(d) / speed)):
	case <-ctx.Done():
	}
}

func (t *Target) answer(w http.ResponseWriter, r *http.Request, body Body) {
	b, err := json.Marshal(Answer{body.ID, string(t.config.ID)})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	sum := sha256.Sum256(b)
	switch t.config.Fault {
	case Truncates:
		w.Header().Set("Content-Length", strconv.Itoa(len(b)))
		b = b[:len(b)/2]
	case Crosses:
		w.Header().Set(target.HeaderTask, "other-"+r.Header.Get(target.HeaderTask))
	case Hangs:
		<-r.Context().Done()
		return
	case Drops:
		panic(http.ErrAbortHandler)
	case BadDigest:
		sum[0]++
	}
	w.Header().Set(target.HeaderDigest, "sha-256=:"+base64.StdEncoding.EncodeToString(sum[:])+":")
	_, _ = w.Write(b) // a dispatcher that left does not want it
}

// Fleet is some targets run together.
type Fleet struct {
	targets []*Target
	done    sync.WaitGroup
}

// Start runs targets until ctx is done.
func (f *Fleet) Start(ctx context.Context, configs []Config) error {
	for _, c := range configs {
		t, err := New(c)
		if err != nil {
			return err
		}
		f.targets = append(f.targets, t)
		f.done.Go(func() { t.Run(ctx) })
	}
	return nil
}

// Targets returns the targets.
func (f *Fleet) Targets() []*Target { return f.targets }

// Wait returns once all targets have left.
func (f *Fleet) Wait() { f.done.Wait() }
