package fleet

import (
	"context"
	"encoding/json"
	"maps"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"tamarackpin.example/internal/disk"
	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/vm"
)

// divisions has the newest known division of each failure domain. A published
// map is immutable.
type divisions map[vm.FailureDomain]lead.Division

// Division returns the newest known division of the workers of a failure domain
// into groups; the zero Division (one group) if none is known.
func (k *Knowledge) Division(d vm.FailureDomain) lead.Division {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.divisions[d]
}

// SetDivision records a division unless one of the same or a higher epoch is
// known.
func (k *Knowledge) SetDivision(d vm.FailureDomain, v lead.Division) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if v.Epoch <= k.divisions[d].Epoch {
		return
	}
	next := maps.Clone(k.divisions)
	if next == nil {
		next = make(divisions)
	}
	next[d] = v
	k.divisions = next
	k.notifyChanged()
}

// persistInterval is how often a control VM checks whether a division changed,
// which happens a few times a day.
const persistInterval = time.Second

// PersistDivisions loads the divisions from a file and writes changes back to it
// until ctx is done, so that after a restart of all VMs the number of workers need
// not be determined anew. The file is a hint and takes no quorum: the division
// with the higher epoch wins. File faults are logged; writes are retried.
func (k *Knowledge) PersistDivisions(ctx context.Context, path string) {
	saved := k.loadDivisions(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(persistInterval):
		}
		k.mu.Lock()
		current := k.divisions
		k.mu.Unlock()
		if maps.Equal(current, saved) {
			continue
		}
		b, err := json.Marshal(current)
		if err == nil {
			err = disk.WriteFile(path, b)
		}
		if err != nil {
			event.Log(k.log, event.FileFault, zap.String("file", path), event.Err(err))
			continue // the next interval retries
		}
		saved = current
	}
}

// loadDivisions records and returns the divisions of a file; nil if it is missing
// or unreadable.
func (k *Knowledge) loadDivisions(path string) divisions {
	b, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	var saved divisions
	if err == nil {
		err = json.Unmarshal(b, &saved)
	}
	if err != nil {
		event.Log(k.log, event.FileFault, zap.String("file", path), event.Err(err))
		return nil
	}
	for d, v := range saved {
		k.SetDivision(d, v)
	}
	return saved
}
