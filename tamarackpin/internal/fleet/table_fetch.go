package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/routes"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// tableTimeout bounds the fetching of a table from one VM: a compressed table of some
// thousand rows takes half a second on a link of 2 Mbit/s.
const tableTimeout = 1500 * time.Millisecond

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

// fetchTableFrom fetches the changes to the table from another VM and adopts the result.
func (s *Syncer) fetchTableFrom(ctx context.Context, from vm.ID) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	reply, err := peer.Call[tableReply](ctx, s.Mesh, from, report.UseControl, methodTable, tableRequest{s.Knowledge.tableVersion()})
	if err != nil {
		return err
	}
	d, err := decodeDelta(reply.Delta)
	if err != nil {
		return err
	}
	return s.Knowledge.adoptDelta(d, from)
}
