// Package archive keeps the results of submissions on disk, behind the ledgers
// (package ledger): when all copies of a ledger are lost, what had finished can
// still be told. Nothing waits for it. What is missing from it is unknown, never
// untrue, so damage costs answers and nothing else.
package archive

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/disk"
	"tamarackpin.example/internal/submission"
)

// Bounds of the files. The oldest segment goes when there are too many.
const (
	SegmentBytes = 16 << 20
	MaxSegments  = 8
)

const segmentPattern = "submissions-%08d.log"

// Entry is the result of one submission.
type Entry struct {
	Digest submission.Digest `json:"digest"`
	Status submission.Status `json:"status"`
}

// place is where an Entry stands.
type place struct {
	segment int
	offset  int64
}

// Archive is the files of one entry VM. It is not safe for concurrent use. It
// must be made by [Open].
type Archive struct {
	folder   string
	index    map[submission.ID]place
	segments []int // numbers, oldest first
	file     *os.File
	size     int64
}

// Open opens the archive in folder. damaged is the number of segments of which
// a part could not be read.
func Open(folder string) (a *Archive, damaged int, err error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, 0, errors.Wrap(err, "making the data folder")
	}
	a = &Archive{folder: folder, index: make(map[submission.ID]place)}
	files, err := os.ReadDir(folder)
	if err != nil {
		return nil, 0, errors.Wrap(err, "listing the data folder")
	}
	for _, f := range files {
		var n int
		if _, err := fmt.Sscanf(f.Name(), segmentPattern, &n); err == nil {
			a.segments = append(a.segments, n)
		}
	}
	slices.Sort(a.segments)
	for _, n := range a.segments {
		whole, err := a.scan(n)
		if err != nil {
			return nil, damaged, err
		}
		if !whole {
			damaged++
		}
	}
	// A new segment each time: the end of the last one may not be whole.
	return a, damaged, a.rotate()
}

func (a *Archive) path(segment int) string {
	return filepath.Join(a.folder, fmt.Sprintf(segmentPattern, segment))
}

// scan reads a segment into the index, up to the first frame that is not whole.
func (a *Archive) scan(segment int) (whole bool, err error) {
	b, err := os.ReadFile(a.path(segment))
	if err != nil {
		return false, errors.Wrap(err, "reading a segment of the archive")
	}
	for rest := b; len(rest) > 0; {
		payload, after, _, err := disk.CutFrame(rest)
		if err != nil {
			return false, nil
		}
		var e Entry
		if err := json.Unmarshal(payload, &e); err != nil {
			return false, nil
		}
		a.index[e.Status.ID] = place{segment, int64(len(b) - len(rest))}
		rest = after
	}
	return true, nil
}

// rotate begins a new segment and drops the oldest ones.
func (a *Archive) rotate() error {
	next := 1
	if len(a.segments) > 0 {
		next = a.segments[len(a.segments)-1] + 1
	}
	f, err := os.OpenFile(a.path(next), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "beginning a segment of the archive")
	}
	if a.file != nil {
		_ = a.file.Close()
	}
	a.file, a.size = f, 0
	a.segments = append(a.segments, next)
	for len(a.segments) > MaxSegments {
		a.forget(a.segments[0])
		a.segments = a.segments[1:]
	}
	return disk.SyncFolder(a.folder)
}

func (a *Archive) forget(segment int) {
	_ = os.Remove(a.path(segment)) // what is left is dropped at the next start
	for id, p := range a.index {
		if p.segment == segment {
			delete(a.index, id)
		}
	}
}

// Add writes and syncs entries. After an error they are not in the archive, and
// those before are.
func (a *Archive) Add(entries []Entry) error {
	if a.size > SegmentBytes {
		if err := a.rotate(); err != nil {
			return err
		}
	}
	var b []byte
	places := make([]place, len(entries))
	for i, e := range entries {
		payload, err := json.Marshal(e)
		if err != nil {
			return errors.Wrap(err, "encoding a result")
		}
		places[i] = place{a.segments[len(a.segments)-1], a.size + int64(len(b))}
		b = disk.AppendFrame(b, payload)
	}
	if err := a.write(b); err != nil {
		return err
	}
	for i, e := range entries {
		a.index[e.Status.ID] = places[i]
	}
	return nil
}

func (a *Archive) write(b []byte) error {
	_, err := a.file.WriteAt(b, a.size)
	if err == nil {
		err = a.file.Sync()
	}
	if err != nil {
		// Whatever reached the disk is overwritten by the next Add.
		return errors.Wrap(err, "writing the archive")
	}
	a.size += int64(len(b))
	return nil
}

// Find returns the result of a submission.
func (a *Archive) Find(id submission.ID) (Entry, bool) {
	p, ok := a.index[id]
	if !ok {
		return Entry{}, false
	}
	e, err := a.read(p)
	return e, err == nil && e.Status.ID == id
}

func (a *Archive) read(p place) (e Entry, err error) {
	f, err := os.Open(a.path(p.segment))
	if err != nil {
		return e, errors.Wrap(err, "opening a segment of the archive")
	}
	defer f.Close()
	payload, err := disk.ReadFrame(io.NewSectionReader(f, p.offset, SegmentBytes+disk.MaxFrameBytes))
	if err != nil {
		return e, errors.Wrap(err, "reading the archive")
	}
	return e, errors.Wrap(json.Unmarshal(payload, &e), "decoding a result")
}

// Len returns the number of results.
func (a *Archive) Len() int { return len(a.index) }

// Close closes the files.
func (a *Archive) Close() error { return errors.Wrap(a.file.Close(), "closing the archive") }
