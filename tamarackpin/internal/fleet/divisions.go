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

// divisions are the newest divisions that are known, by failure domain. It is not
// changed once it is published.
type divisions map[vm.FailureDomain]lead.Division

// Division returns the newest division of the workers of a failure domain.
func (k *Knowledge) Division(d vm.FailureDomain) lead.Division {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.divisions[d]
}

// SetDivision records a division, unless a later one is known.
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

// rememberEvery is how often a control VM looks whether a division changed, which
// happens a few times a day.
const rememberEvery = time.Second

// PersistDivisions keeps the divisions in a file until ctx is done, so that VMs that all
// start at once need not find out again how many workers there are. It is a hint:
// of two the one with the higher epoch counts, so no majority is asked.
func (k *Knowledge) PersistDivisions(ctx context.Context, path string) {
	saved := k.loadDivisions(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(rememberEvery):
		}
		k.mu.Lock()
		now := k.divisions
		k.mu.Unlock()
		if maps.Equal(now, saved) {
			continue
		}
		b, err := json.Marshal(now)
		if err == nil {
			err = disk.WriteFile(path, b)
		}
		if err != nil {
			event.Log(k.log, event.FileFault, zap.String("file", path), event.Err(err))
			continue // and try again
		}
		saved = now
	}
}

// loadDivisions records the divisions of a file, if there is one.
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
