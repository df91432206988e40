package wal

import (
	"crypto/rand"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/disk"
	"tamarackpin.example/internal/quorum"
	"tamarackpin.example/internal/vm"
)

// ErrForeign is the fault of a data folder that belongs to another entry VM.
var ErrForeign = errors.New("the data folder belongs to another entry VM")

// identify returns the identity of the disk that holds folder, or ok false if
// it has none yet.
func identify(folder string, id vm.ID) (m quorum.Member, ok bool, err error) {
	b, err := os.ReadFile(filepath.Join(folder, identityFile))
	if errors.Is(err, os.ErrNotExist) {
		return m, false, nil
	}
	if err != nil {
		return m, false, errors.Wrap(err, "reading the disk's identity")
	}
	if err := json.Unmarshal(b, &m); err != nil || m.Disk == "" {
		return m, false, errors.Wrapf(ErrCorrupt, "the disk's identity in %s", identityFile)
	}
	if m.VM != id {
		return m, false, errors.Wrapf(ErrForeign, "%s is of %q, this is %q", identityFile, m.VM, id)
	}
	return m, true, nil
}

// draw gives an unused disk its identity, for good.
func draw(folder string, id vm.ID) (quorum.Member, error) {
	m := quorum.Member{VM: id, Disk: quorum.DiskID(rand.Text())}
	b, err := json.Marshal(m)
	if err != nil {
		return m, errors.Wrap(err, "encoding the disk's identity")
	}
	return m, disk.WriteFile(filepath.Join(folder, identityFile), b)
}
