package controller

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/quorum"
	"tamarackpin.example/internal/wal"
)

// save returns once r is on disk. A full disk is waited for: the member is
// silent meanwhile, so the others go on without it.
func (m *member) save(ctx context.Context, r quorum.Ready) error {
	if r.Install != nil {
		saved := quorum.Saved{HardState: m.saved.HardState, Snapshot: *r.Install}
		if r.HardState != nil {
			saved.HardState = *r.HardState
		}
		if err := m.insist(ctx, func() error { return m.log.SaveSnapshot(saved) }); err != nil {
			return err
		}
	}
	if r.HardState != nil {
		m.saved.HardState = *r.HardState
	}
	if r.HardState != nil || len(r.Entries) > 0 || r.Install != nil {
		m.empty = false
	}
	return m.insist(ctx, func() error { return m.log.Save(r.HardState, r.Entries) })
}

func (m *member) insist(ctx context.Context, write func() error) error {
	logged := false
	for {
		err := write()
		if err == nil {
			return nil
		}
		if errors.Is(err, wal.ErrBroken) {
			event.Log(m.k.config.Log, event.FileFault, zap.Error(err))
			return err
		}
		if !logged {
			event.Log(m.k.config.Log, event.FileFault, zap.Error(err))
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
func (m *member) compact(ctx context.Context) error {
	if m.log.Size() < compactBytes && m.core.LogLength() < compactEntries {
		return nil
	}
	data, err := json.Marshal(&m.state)
	if err != nil {
		return errors.Wrap(err, "encoding the control state")
	}
	saved := quorum.Saved{HardState: m.saved.HardState, Snapshot: m.core.Compact(data), Entries: m.core.Entries()}
	return m.insist(ctx, func() error { return m.log.SaveSnapshot(saved) })
}
