package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wire"
	"tamarackpin.example/tamarackpin/internal/peer"
)

const (
	// leaderSyncWait is how long a control VM with nothing new delays its reply to
	// a VM that leads a group. The reply carries the workers' heartbeats, so this is
	// well below the time after which a worker counts as unresponsive.
	leaderSyncWait = 400 * time.Millisecond
	// defaultSyncWait is the same for other VMs, and the longest that a control VM
	// delays any reply. What they receive about the free slots of other groups is
	// at most 1.2 s old and is used for 1.5 s (reportMaxAge).
	defaultSyncWait = 800 * time.Millisecond
	// syncSlack is added to the wait to bound a sync call, and is the whole bound of
	// a call that doesn't wait.
	syncSlack = 500 * time.Millisecond
	// retryInterval is the pause after a failed sync call.
	retryInterval = 100 * time.Millisecond
	// discoveryInterval is how often Run looks for new control VMs.
	discoveryInterval = 300 * time.Millisecond
)

// Syncer keeps a [Knowledge] up to date: it has one long-polling sync call open
// to each known control VM. Its exported fields are set before use.
type Syncer struct {
	Knowledge *Knowledge
	Mesh      *peer.Mesh
	Log       *zap.Logger

	table       tableFetch
	seeds       atomic.Pointer[[]vm.ID]
	lastContact atomic.Pointer[time.Time] // last reply of any control VM, with a monotonic reading
	knownAt     atomic.Pointer[time.Time] // see KnownAt

	mu       sync.Mutex // guards the fields below
	contacts map[vm.ID]time.Time
	hurries  int           // number of calls of SyncNow
	hurried  chan struct{} // closed by the next one; nil until a syncLoop needs it
}

// SetSeeds sets the control VMs that the settings name. It is called before Run
// and again when the settings change.
func (s *Syncer) SetSeeds(ids []vm.ID) { s.seeds.Store(&ids) }

// Run syncs with the control VMs until ctx is done, and prunes the Knowledge
// meanwhile.
func (s *Syncer) Run(ctx context.Context) {
	var loops sync.WaitGroup
	defer loops.Wait()
	self := s.Knowledge.Self()
	running := make(map[vm.ID]chan struct{})
	for {
		for id, done := range running {
			select {
			case <-done:
				delete(running, id)
			default:
			}
		}
		for _, id := range s.controlVMs() {
			if id == self.VM || running[id] != nil {
				continue
			}
			done := make(chan struct{})
			running[id] = done
			loops.Go(func() {
				defer close(done)
				s.syncLoop(ctx, id)
			})
		}
		s.Knowledge.Prune(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-time.After(discoveryInterval):
		}
	}
}

// controlVMs returns the seeds and the discovered control VMs; an ID may occur
// twice.
func (s *Syncer) controlVMs() []vm.ID {
	var ids []vm.ID
	if seeds := s.seeds.Load(); seeds != nil {
		ids = append(ids, *seeds...)
	}
	for _, p := range s.Knowledge.VMs(func(p vm.Present) bool { return p.Control }) {
		ids = append(ids, p.VM)
	}
	return ids
}

// isControlVM reports whether id is still a seed or a discovered control VM.
func (s *Syncer) isControlVM(id vm.ID) bool {
	for _, c := range s.controlVMs() {
		if c == id {
			return true
		}
	}
	return false
}

// syncLoop syncs with one control VM until ctx is done or id is no longer a known
// control VM. Lost and regained contact are logged once each.
func (s *Syncer) syncLoop(ctx context.Context, id vm.ID) {
	var req syncRequest
	unreachable, hurriesSeen, readsEvacuations := false, 0, false
	for ctx.Err() == nil && s.isControlVM(id) {
		req.Self = s.Knowledge.Self()
		req.Reports = s.Knowledge.ownReports()
		req.Division = s.Knowledge.Division(req.Self.FailureDomain)
		req.Evacuations = 0
		if readsEvacuations {
			req.Evacuations = s.Knowledge.Evacuations().Revision()
		}
		req.Wait = wire.Duration(s.wait())
		hurries, hurried := s.hurry()
		if hurries != hurriesSeen {
			hurriesSeen, req.Wait = hurries, 0
		}
		s.setVersions(&req)
		sentAt := time.Now()
		reply, err := s.syncOnce(ctx, id, req, hurried)
		if err != nil && s.hurriedSince(hurries) {
			continue
		}
		if err != nil {
			if !unreachable && ctx.Err() == nil {
				event.Log(s.Log, event.ControlLost, zap.String("vm", string(id)), event.Err(err))
			}
			unreachable, readsEvacuations = true, false // the next process may be of an earlier build
			select {
			case <-ctx.Done():
			case <-time.After(retryInterval):
			}
			continue
		}
		if unreachable {
			event.Log(s.Log, event.ControlFound, zap.String("vm", string(id)))
			unreachable = false
		}
		now := time.Now()
		readsEvacuations = reply.ReadsEvacuations
		s.Knowledge.merge(now, reply)
		s.recordContact(sentAt, now) // after the merge: it says that the workers of the reply are known
		s.recordReply(now, id)
		s.TableAnnounced(ctx, id, reply.Version)
		req.CursorIncarnation, req.VMCursor, req.WorkerCursor = reply.Self.Incarnation, reply.VMCursor, reply.WorkerCursor
	}
}

// syncOnce sends a request, and gives it up once hurried is closed: a reply to a request from before does not show what the
// control VM knows by then.
func (s *Syncer) syncOnce(ctx context.Context, id vm.ID, req syncRequest, hurried <-chan struct{}) (syncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, req.Wait.Std()+syncSlack)
	defer cancel()
	go func() {
		select {
		case <-hurried:
			cancel()
		case <-ctx.Done():
		}
	}()
	return peer.Call[syncReply](ctx, s.Mesh, id, report.UseHeartbeat, methodSync, req)
}

// wait returns how long a control VM may delay its reply.
func (s *Syncer) wait() time.Duration {
	if len(s.Knowledge.ownReports()) > 0 {
		return leaderSyncWait
	}
	return defaultSyncWait
}

// SyncNow asks each control VM at once for what it knows now, instead of waiting for its reply to the pending call.
func (s *Syncer) SyncNow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hurries++
	if s.hurried != nil {
		close(s.hurried)
		s.hurried = nil
	}
}

// hurry returns the number of calls of SyncNow and a channel that is closed by the next one.
func (s *Syncer) hurry() (int, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hurried == nil {
		s.hurried = make(chan struct{})
	}
	return s.hurries, s.hurried
}

// hurriedSince reports whether SyncNow was called since the number of its calls was n.
func (s *Syncer) hurriedSince(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hurries != n
}

// RecordContact records that a control VM replied with what it knew at that time.
func (s *Syncer) RecordContact(at time.Time) { s.recordContact(at, at) }

// recordContact records a reply of a control VM and when its request was sent.
func (s *Syncer) recordContact(sentAt, at time.Time) {
	s.lastContact.Store(&at)
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.knownAt.Load(); known == nil || sentAt.After(*known) {
		s.knownAt.Store(&sentAt)
	}
}

// recordReply records that a control VM replied.
func (s *Syncer) recordReply(at time.Time, id vm.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.contacts == nil {
		s.contacts = make(map[vm.ID]time.Time)
	}
	s.contacts[id] = at
}

// ContactAges returns the age in seconds of the last reply of each control VM that is known now, for the
// log; -1 stands for no reply.
func (s *Syncer) ContactAges(now time.Time) map[vm.ID]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	ages := make(map[vm.ID]float64)
	for _, id := range s.controlVMs() {
		if ages[id] = -1; !s.contacts[id].IsZero() {
			ages[id] = now.Sub(s.contacts[id]).Seconds()
		}
	}
	return ages
}

// LastContact returns when a control VM last replied, or the zero time.
func (s *Syncer) LastContact() time.Time {
	if at := s.lastContact.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// KnownAt returns a time such that all that some control VM knew then is known here, or the zero time: when the newest request
// with a reply was sent.
func (s *Syncer) KnownAt() time.Time {
	if at := s.knownAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// FetchFrom fetches all that another VM knows, once, and reports whether that VM
// replied. A process that starts while no control VM is reachable gets the table
// and the workers from its neighbours this way. It does not tell which evacuations it knows, as a
// neighbour of an earlier build would refuse that, so the reply has all.
func (s *Syncer) FetchFrom(ctx context.Context, from vm.ID) bool {
	ctx, cancel := context.WithTimeout(ctx, syncSlack)
	defer cancel()
	req := syncRequest{Self: s.Knowledge.Self()}
	req.Division = s.Knowledge.Division(req.Self.FailureDomain)
	s.setVersions(&req)
	reply, err := peer.Call[syncReply](ctx, s.Mesh, from, report.UseControl, methodKnown, req)
	if err != nil {
		s.Log.Debug("fetching the state of a neighbour failed", zap.String("vm", string(from)), event.Err(err))
		return false
	}
	s.Knowledge.merge(time.Now(), reply)
	s.TableAnnounced(ctx, from, reply.Version)
	return true
}

// setVersions sets what a request says of this VM's table.
func (s *Syncer) setVersions(req *syncRequest) {
	req.Deltas, req.Version = true, s.Knowledge.tableVersion()
	req.Announced = s.table.announced(req.Version)
}
