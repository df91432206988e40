package ledgers

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/archive"
	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/ledger"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/submission"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// Times and bounds of the archive's goroutine.
const (
	archiveEvery   = 50 * time.Millisecond // results that come within share one sync
	maxUnarchived  = 4096                  // more are dropped: they are then unknown after a loss
	archiveTimeout = time.Second
)

// Archive writes results behind the ledgers. A nil Archive keeps none.
type Archive struct {
	log *zap.Logger

	mu      sync.Mutex // guards waiting; held for a moment only
	waiting []archive.Entry

	disk    sync.Mutex // guards all below; held while the disk works
	files   *archive.Archive
	failing bool // the last write failed; logged once
}

// OpenArchive opens the archive in folder, or returns nil without a folder.
func OpenArchive(folder string, log *zap.Logger) (*Archive, error) {
	if folder == "" {
		return nil, nil
	}
	files, damaged, err := archive.Open(folder)
	if err != nil {
		return nil, err
	}
	if damaged > 0 {
		event.Log(log, event.FileFault, zap.Int("damaged_segments", damaged))
	}
	return &Archive{log: log, files: files}, nil
}

// Run writes what was offered, in groups, until ctx is done.
func (a *Archive) Run(ctx context.Context) {
	if a == nil {
		return
	}
	t := time.NewTicker(archiveEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			a.write()
			a.disk.Lock()
			defer a.disk.Unlock()
			_ = a.files.Close() // everything in it is synced
			return
		case <-t.C:
			a.write()
		}
	}
}

// write writes one group. Offers do not wait for it.
func (a *Archive) write() {
	a.mu.Lock()
	group := a.waiting
	a.waiting = nil
	a.mu.Unlock()
	if len(group) == 0 {
		return
	}
	a.disk.Lock()
	defer a.disk.Unlock()
	err := a.files.Add(group)
	if err != nil && !a.failing {
		event.Log(a.log, event.FileFault, zap.Error(err))
	}
	a.failing = err != nil
}

func (a *Archive) offer(entries []archive.Entry) {
	if a == nil || len(entries) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	room := max(0, maxUnarchived-len(a.waiting))
	a.waiting = append(a.waiting, entries[:min(room, len(entries))]...)
}

func (a *Archive) find(id submission.ID) (archive.Entry, bool) {
	if a == nil {
		return archive.Entry{}, false
	}
	a.disk.Lock()
	defer a.disk.Unlock()
	return a.files.Find(id)
}

// results returns the archive's entries for submissions that finished. The
// caller holds mu.
func (c *hosted) results(finished []submission.Sequence) []archive.Entry {
	var entries []archive.Entry
	for _, s := range finished {
		e, known := c.copy.Ledger().Entry(s)
		if !known {
			continue
		}
		if status, refusal := c.copy.Ledger().Status(c.id(s)); refusal == nil {
			entries = append(entries, archive.Entry{Digest: e.Digest, Status: status})
		}
	}
	return entries
}

// archivedRequest asks for a result of a lost generation.
type archivedRequest struct {
	ID submission.ID `json:"id"`
}

// archived is the answer to it.
type archived struct {
	Known bool          `json:"known"`
	Entry archive.Entry `json:"entry"`
}

func (h *Host) serveArchived(_ context.Context, _ vm.ID, r archivedRequest) (archived, error) {
	e, ok := h.config.Archive.find(r.ID)
	return archived{Known: ok, Entry: e}, nil
}

// lost returns what is known of a submission of a generation whose copies are
// gone: its result, if it is on a disk here or on a living entry VM of the
// ledger's failure domain.
func (h *Host) lost(ctx context.Context, id submission.ID) (archive.Entry, *code.Error) {
	if e, ok := h.config.Archive.find(id); ok {
		return e, nil
	}
	for _, v := range h.config.Disks[id.Ledger.FailureDomain] {
		if v == h.config.Self.VM || !h.config.Alive(v) {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, archiveTimeout)
		a, err := peer.Call[archived](ctx, h.config.Mesh, v, report.UseLedger, methodArchived, archivedRequest{id})
		cancel()
		if err == nil && a.Known {
			return a.Entry, nil
		}
	}
	return archive.Entry{}, code.New(code.OutcomeUnknown, "ledger %s lost the state of generation %d", id.Ledger, id.Generation)
}

// isLost reports whether id is of a generation that the ledger's primary, here,
// has no state of.
func (h *Host) isLost(id submission.ID) bool {
	c, ok := h.hosted(id.Ledger)
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.copy.Role() == ledger.Primary && id.Generation < c.copy.Assignment().Generation
}
