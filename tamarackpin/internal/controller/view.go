package controller

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"tamarackpin.example/internal/control"
	"tamarackpin.example/internal/disk"
	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/quorum"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/table"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// viewFile keeps the View in force, where there is a data folder.
const viewFile = "view.json"

func (k *Controller) viewPath() string {
	return filepath.Join(k.config.Settings.DataFolder, viewFile)
}

// loadView puts the View in force that was in force before a restart.
func (k *Controller) loadView() error {
	if k.config.Settings.DataFolder == "" {
		return nil
	}
	if err := os.MkdirAll(k.config.Settings.DataFolder, 0o700); err != nil {
		return errors.Wrap(err, "making the data folder")
	}
	b, err := os.ReadFile(k.viewPath())
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "reading the view")
	}
	var v control.View
	if err := json.Unmarshal(b, &v); err != nil {
		return errors.Wrapf(err, "the view in %s is damaged", k.viewPath())
	}
	if err := v.Check(); err != nil {
		return errors.Wrapf(err, "the view in %s is damaged", k.viewPath())
	}
	k.view.Store(&v)
	k.config.View(&v)
	return nil
}

// adoptUpdate puts the View in force that u makes, unless it is not later than
// the present one.
func (k *Controller) adoptUpdate(u control.Update) error {
	k.adopt.Lock()
	defer k.adopt.Unlock()
	old := k.view.Load()
	next, err := old.Next(u)
	if err != nil || next == old {
		return err
	}
	// It is on disk before it is in force, so that a restart does not go back.
	if err := k.saveView(next); err != nil {
		return err
	}
	k.view.Store(next)
	if next.Table.Version() != old.Table.Version() {
		event.Log(k.config.Log, event.TableChanged, zap.Uint64("version", uint64(next.Table.Version())))
	}
	k.config.View(next)
	return nil
}

func (k *Controller) saveView(v *control.View) error {
	if k.config.Settings.DataFolder == "" {
		return nil
	}
	b, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encoding the view")
	}
	if err := disk.WriteFile(k.viewPath(), b); err != nil {
		event.Log(k.config.Log, event.FileFault, zap.Error(err))
		return err
	}
	return nil
}

// fetchRequest asks for what follows a View.
type fetchRequest struct {
	Index   quorum.Index  `json:"index"`
	Version table.Version `json:"version"` // of its table
}

// changed says that the sender has a View of this index.
type changed struct {
	Index uint64 `json:"index"`
}

// fetchLoop asks one entry VM after the other for a later View.
func (k *Controller) fetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case from := <-k.fetches.Out():
			if err := k.fetch(ctx, from); err != nil && ctx.Err() == nil {
				k.config.Log.Debug("fetching a view failed", zap.String("vm", string(from)), zap.Error(err))
			}
		}
	}
}

func (k *Controller) fetch(ctx context.Context, from vm.ID) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v := k.View()
	u, err := peer.Call[control.Update](ctx, k.config.Mesh, from, report.UseControl, methodFetch, fetchRequest{v.Index, v.Table.Version()})
	if err != nil {
		return err
	}
	return k.adoptUpdate(u)
}

// serveFetch answers another entry VM from the state of the quorum where there
// is one, else from the View in force.
func (k *Controller) serveFetch(ctx context.Context, _ vm.ID, r fetchRequest) (control.Update, error) {
	u := k.View().Whole()
	if k.member == nil {
		return u, nil
	}
	k.member.replica.Do(ctx, func(*quorum.Core, time.Time) {
		// What is committed but not in force here yet may be served as well.
		if state := &k.member.state; state.Index() >= u.Index {
			u = state.Update(r.Index, r.Version)
		}
	})
	return u, nil
}

func (k *Controller) serveChanged(_ context.Context, from vm.ID, c changed) (struct{}, error) {
	k.Heard(vm.Heartbeat{VM: from, ControlIndex: c.Index})
	return struct{}{}, nil
}

// tell tells the other entry VMs that there is a new View.
func (k *Controller) tell(ctx context.Context, index uint64) {
	for _, v := range k.config.Settings.VMs {
		if v.VM == k.self.VM {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			// A loss is mended by the next heartbeat.
			_ = k.config.Mesh.Notify(ctx, v.VM, report.UseControl, methodChanged, changed{index})
		}()
	}
}
