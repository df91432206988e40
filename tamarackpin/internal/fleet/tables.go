package fleet

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"io"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/routes"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// methodTable returns the changes from a version of the table to the newest one.
const methodTable peer.Method = "fleet.table"

const (
	// maxInlineRows is the most changed rows that a sync reply carries. Every control VM
	// replies to every VM, so a larger change is only announced, and each VM fetches it
	// once.
	maxInlineRows = 32
	// keptTables is how many versions of the table a VM holds, to send the changes from
	// them to VMs that are behind.
	keptTables = 4
	// maxTableBytes bounds a decoded change: the largest table that an operator may send,
	// with room for the names of the fields.
	maxTableBytes = 32 << 20
)

// tableRequest asks for the changes since Version, the sender's table; 0 without one.
type tableRequest struct {
	Version routes.Version `json:"version"`
}

// tableReply has a [routes.Delta] to the newest version, as compressed JSON. Its base is
// the requested version, or no table if that version is not held any more.
type tableReply struct {
	Delta []byte `json:"delta"`
}

// tableHistory holds the newest versions of the table, and the changes from each of them
// to the newest. It computes and encodes a change once, for all VMs that are behind by it.
// It is safe for concurrent use. The zero value is empty.
type tableHistory struct {
	mu      sync.Mutex
	tables  []*routes.Table                    // newest last
	deltas  map[routes.Version]routes.Delta    // to the newest version, by base
	encoded map[routes.Version]json.RawMessage // tableReply of a delta, by its base
}

// add makes t the newest version.
func (h *tableHistory) add(t *routes.Table) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tables = append(h.tables, t)
	if len(h.tables) > keptTables {
		h.tables = slices.Clone(h.tables[1:])
	}
	h.deltas, h.encoded = make(map[routes.Version]routes.Delta), make(map[routes.Version]json.RawMessage)
}

// delta returns the changes from a version to the newest one. ok is false if there is no
// table. h.mu is held.
func (h *tableHistory) delta(from routes.Version) (d routes.Delta, ok bool) {
	if len(h.tables) == 0 {
		return routes.Delta{}, false
	}
	var base *routes.Table
	if i := slices.IndexFunc(h.tables, func(t *routes.Table) bool { return t.Version == from }); i >= 0 {
		base = h.tables[i]
	} else {
		from = 0
	}
	d, known := h.deltas[from]
	if !known {
		d = routes.Diff(base, h.tables[len(h.tables)-1])
		h.deltas[from] = d
	}
	return d, true
}

// inline returns the changes from a version if they fit into a sync reply, else nil.
func (h *tableHistory) inline(from routes.Version) *routes.Delta {
	h.mu.Lock()
	defer h.mu.Unlock()
	d, ok := h.delta(from)
	if !ok || len(d.Set)+len(d.Removed) > maxInlineRows {
		return nil
	}
	return &d
}

// reply returns the encoded tableReply for a VM that holds the version from.
func (h *tableHistory) reply(from routes.Version) (json.RawMessage, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d, ok := h.delta(from)
	if !ok {
		return nil, code.New(code.TableUnavailable, "there is no table yet")
	}
	if b, known := h.encoded[d.From]; known {
		return b, nil
	}
	b, err := encodeDelta(d)
	if err == nil {
		b, err = json.Marshal(tableReply{Delta: b})
	}
	if err != nil {
		return nil, err
	}
	h.encoded[d.From] = b
	return b, nil
}

func encodeDelta(d routes.Delta) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compressing a change of the table")
	}
	if err := json.NewEncoder(w).Encode(d); err != nil {
		return nil, errors.Wrap(err, "encoding a change of the table")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compressing a change of the table")
	}
	return b.Bytes(), nil
}

func decodeDelta(b []byte) (routes.Delta, error) {
	var d routes.Delta
	r := io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxTableBytes)
	return d, errors.Wrap(json.NewDecoder(r).Decode(&d), "decoding a change of the table")
}

// serveTable returns the changes since the requester's version.
func (k *Knowledge) serveTable(_ context.Context, _ vm.ID, req tableRequest) (json.RawMessage, error) {
	return k.history.reply(req.Version)
}

// adoptDelta makes the table that results from d the current one, if d applies to the
// current table and is newer.
func (k *Knowledge) adoptDelta(d routes.Delta, from vm.ID) error {
	t, err := d.Apply(k.Table())
	if err != nil {
		return err
	}
	k.AdoptTable(t, from)
	return nil
}

// tableVersion returns the version of the current table; 0 without one.
func (k *Knowledge) tableVersion() routes.Version {
	if t := k.Table(); t != nil {
		return t.Version
	}
	return 0
}

// tableFetch is the state of fetching an announced version of the table, which one
// goroutine at a time does. It is safe for concurrent use. The zero value fetches nothing.
type tableFetch struct {
	mu      sync.Mutex
	running bool
	wanted  routes.Version // newest announced version
	sources []vm.ID        // VMs that announced it and were not asked yet
}

// announce records that a VM has a version newer than the one held, and reports whether
// the caller is to fetch it.
func (f *tableFetch) announce(held, version routes.Version, from vm.ID) (start bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case version <= held || f.running && version < f.wanted:
		return false
	case f.running && version == f.wanted:
		if !slices.Contains(f.sources, from) {
			f.sources = append(f.sources, from)
		}
		return false
	}
	f.wanted, f.sources = version, []vm.ID{from}
	start = !f.running
	f.running = true
	return start
}

// next returns the VM to fetch the wanted version from. ok is false, and the fetching has
// ended, if that version is held or no VM is left to ask.
func (f *tableFetch) next(held routes.Version) (from vm.ID, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if held >= f.wanted || len(f.sources) == 0 {
		f.running = false
		return "", false
	}
	from, f.sources = f.sources[0], f.sources[1:]
	return from, true
}

// announced returns the newest version that is held or being fetched, about which this VM
// needs no further announcement.
func (f *tableFetch) announced(held routes.Version) routes.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running && f.wanted > held {
		return f.wanted
	}
	return held
}

// TableAnnounced fetches the table from a VM that has a newer version, unless it is being
// fetched already. It does not wait for that. Control VMs fetch none: the log of the quorum
// brings it.
func (s *Syncer) TableAnnounced(ctx context.Context, from vm.ID, version routes.Version) {
	if s.Knowledge.Self().Control || !s.table.announce(s.Knowledge.tableVersion(), version, from) {
		return
	}
	go s.fetchTable(context.WithoutCancel(ctx))
}

// fetchTable fetches the announced version from one VM after the other until it is held. A
// later announcement starts it again if no VM delivered it.
func (s *Syncer) fetchTable(ctx context.Context) {
	for {
		from, ok := s.table.next(s.Knowledge.tableVersion())
		if !ok {
			return
		}
		if err := s.fetchTableFrom(ctx, from); err != nil {
			event.Log(s.Log, event.TableFetchFailed, zap.String("vm", string(from)), zap.Int64("held", int64(s.Knowledge.tableVersion())), event.Err(err))
		}
	}
}
