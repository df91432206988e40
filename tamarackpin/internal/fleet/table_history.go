package fleet

import (
	"context"
	"encoding/json"
	"slices"
	"sync"

	"tamarackpin.example/internal/code"
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
