package replica

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/quorum"
	"tamarackpin.example/internal/wal"
)

// saveRetryEvery is the interval at which a full disk is tried again.
const saveRetryEvery = 200 * time.Millisecond

// save returns once r is on disk. A full disk is waited for: the member is
// silent meanwhile, so the others go on without it.
func (r *Replica) save(ctx context.Context, ready quorum.Ready) error {
	if ready.Install != nil {
		saved := quorum.Saved{HardState: r.saved.HardState, Snapshot: *ready.Install}
		if ready.HardState != nil {
			saved.HardState = *ready.HardState
		}
		if err := r.insist(ctx, func() error { return r.log.SaveSnapshot(saved) }); err != nil {
			return err
		}
	}
	if ready.HardState != nil {
		r.saved.HardState = *ready.HardState
	}
	if ready.HardState != nil || len(ready.Entries) > 0 || ready.Install != nil {
		r.empty = false
	}
	return r.insist(ctx, func() error { return r.log.Save(ready.HardState, ready.Entries) })
}

func (r *Replica) insist(ctx context.Context, write func() error) error {
	logged := false
	for {
		err := write()
		if err == nil {
			return nil
		}
		if errors.Is(err, wal.ErrBroken) {
			event.Log(r.config.Log, event.FileFault, zap.Error(err))
			return err
		}
		if !logged {
			event.Log(r.config.Log, event.FileFault, zap.Error(err))
			logged = true
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(saveRetryEvery):
		}
	}
}

// compact replaces a long log by a snapshot.
func (r *Replica) compact(ctx context.Context) error {
	if r.log.Size() < compactBytes && r.core.LogLength() < compactEntries {
		return nil
	}
	data, err := r.config.Machine.Snapshot()
	if err != nil {
		return errors.Wrap(err, "encoding the control state")
	}
	saved := quorum.Saved{HardState: r.saved.HardState, Snapshot: r.core.Compact(data), Entries: r.core.Entries()}
	return r.insist(ctx, func() error { return r.log.SaveSnapshot(saved) })
}
