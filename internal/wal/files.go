package wal

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/disk"
)

// Names of the files in the data folder. A snapshot and the log that goes on
// from it share a number; the snapshot with the highest one counts.
const (
	snapshotPattern = "control-%08d.snapshot"
	logPattern      = "control-%08d.log"
	syncedFile      = "control.synced"
	identityFile    = "identity.json"
	commitFile      = "commit.noted"
)

func snapshotName(number int) string { return fmt.Sprintf(snapshotPattern, number) }
func logName(number int) string      { return fmt.Sprintf(logPattern, number) }

// newest returns the highest number of a snapshot in folder, or -1.
func newest(folder string) (int, error) {
	files, err := os.ReadDir(folder)
	if err != nil {
		return 0, errors.Wrap(err, "listing the data folder")
	}
	highest := -1
	for _, f := range files {
		var n int
		if _, err := fmt.Sscanf(f.Name(), snapshotPattern, &n); err == nil && f.Name() == snapshotName(n) {
			highest = max(highest, n)
		}
	}
	return highest, nil
}

// sweep removes what an interrupted change of files left behind.
func sweep(folder string, number int) error {
	files, err := os.ReadDir(folder)
	if err != nil {
		return errors.Wrap(err, "listing the data folder")
	}
	for _, f := range files {
		name := f.Name()
		ours := strings.HasPrefix(name, "control-") || strings.HasPrefix(name, identityFile)
		old := strings.HasPrefix(name, "control-") && name != snapshotName(number) && name != logName(number)
		if !ours || !old && !strings.HasSuffix(name, disk.TemporarySuffix) {
			continue
		}
		if err := os.Remove(filepath.Join(folder, name)); err != nil {
			return errors.Wrap(err, "removing an old file")
		}
	}
	return nil
}
