// Package disk writes whole files so that they survive a loss of power, and
// holds the frames that logs are made of. Packages wal and archive are built on
// it.
package disk

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// TemporarySuffix ends the names of files that are being written.
const TemporarySuffix = ".tmp"

// WriteFile writes a file so that it is there whole or not at all, also after
// a loss of power.
func WriteFile(path string, b []byte) error {
	temporary := path + TemporarySuffix
	f, err := os.OpenFile(temporary, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return errors.Wrap(err, "creating a file")
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	if closed := f.Close(); err == nil {
		err = closed
	}
	if err == nil {
		err = os.Rename(temporary, path)
	}
	if err != nil {
		_ = os.Remove(temporary)
		return errors.Wrapf(err, "writing %s", filepath.Base(path))
	}
	return SyncFolder(filepath.Dir(path))
}

// SyncFolder makes the names in folder last.
func SyncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return errors.Wrap(err, "opening the data folder")
	}
	defer d.Close()
	return errors.Wrap(d.Sync(), "syncing the data folder")
}
