// Package wal keeps a member's part of the control quorum (package quorum) on
// its disk: a snapshot and the log that goes on from it.
//
// Each [Log.Save] is one frame and one sync, whatever it holds, and returns
// only once it is synced. How far the log was synced is noted in a file of its
// own, so that a damaged end can be told from one that was never finished: the
// second is cut off, the first stops the process, as does any other damage.
package wal

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/disk"
	"tamarackpin.example/internal/quorum"
	"tamarackpin.example/internal/vm"
)

// ErrCorrupt is the fault of files that were acknowledged and cannot be read
// any more.
var ErrCorrupt = errors.New("acknowledged data on the disk is damaged")

// ErrBroken is returned once a sync failed: what is on the disk is then not
// known, and the process must stop.
var ErrBroken = errors.New("the disk failed to sync")

// batch is the payload of one frame of the log.
type batch struct {
	HardState *quorum.HardState `json:"hard_state,omitempty"`
	Entries   []quorum.Entry    `json:"entries,omitempty"`
}

// Log is the open files of one member. It is not safe for concurrent use. It
// must be made by [Open].
type Log struct {
	folder string
	number int
	file   *os.File
	synced *os.File
	size   int64 // of the log, all synced
	broken bool

	// Member is the entry VM with the identity of this disk.
	Member quorum.Member

	// CutOff is the number of bytes that Open cut off the end.
	CutOff int64

	// Write and Sync stand in for the disk in tests of its faults.
	Write func(f *os.File, b []byte) (int, error)
	Sync  func(f *os.File) error
}

// Open opens the files that entry VM id keeps in folder and returns what they
// hold. A new folder holds nothing and gets an identity.
//
// The identity is written after the first log. A disk that has it without a
// log lost the log, and with it perhaps a vote: it is damaged, not new.
func Open(folder string, id vm.ID) (*Log, quorum.Saved, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, quorum.Saved{}, errors.Wrap(err, "making the data folder")
	}
	l := &Log{folder: folder, Write: (*os.File).Write, Sync: (*os.File).Sync}
	member, known, err := identify(folder, id)
	if err != nil {
		return nil, quorum.Saved{}, err
	}
	number, err := newest(folder)
	if err != nil {
		return nil, quorum.Saved{}, err
	}
	if known && number < 0 {
		return nil, quorum.Saved{}, errors.Wrap(ErrCorrupt, "the control log is missing")
	}
	var saved quorum.Saved
	if number < 0 {
		err = l.begin(0, saved)
	} else {
		saved, err = l.load(number)
	}
	if err != nil {
		return nil, quorum.Saved{}, err
	}
	if !known {
		if !saved.Empty() {
			return nil, quorum.Saved{}, errors.Wrapf(ErrCorrupt, "%s is missing", identityFile)
		}
		if member, err = draw(folder, id); err != nil {
			return nil, quorum.Saved{}, err
		}
	}
	l.Member = member
	saved.Commit = l.notedCommit()
	return l, saved, sweep(folder, l.number)
}

// Close closes the files.
func (l *Log) Close() error {
	return errors.Join(l.file.Close(), l.synced.Close())
}

// Size returns the bytes in the log since its snapshot.
func (l *Log) Size() int64 { return l.size }

// Save writes and syncs a hard state and entries. After an error other than
// [ErrBroken] nothing was saved and Save may be called again.
func (l *Log) Save(h *quorum.HardState, entries []quorum.Entry) error {
	if h == nil && len(entries) == 0 {
		return nil
	}
	if l.broken {
		return ErrBroken
	}
	payload, err := json.Marshal(batch{h, entries})
	if err != nil {
		return errors.Wrap(err, "encoding log entries")
	}
	frame := disk.AppendFrame(nil, payload)
	if _, err := l.Write(l.file, frame); err != nil {
		return l.undo(err)
	}
	if err := l.Sync(l.file); err != nil {
		l.broken = true
		return errors.Mark(errors.Wrap(err, "syncing the log"), ErrBroken)
	}
	l.size += int64(len(frame))
	l.note()
	return nil
}

// undo takes back a write that failed halfway, as on a full disk.
func (l *Log) undo(cause error) error {
	err := l.file.Truncate(l.size)
	if err == nil {
		_, err = l.file.Seek(l.size, io.SeekStart)
	}
	if err != nil {
		l.broken = true
		return errors.Mark(errors.Wrap(err, "taking back a failed write"), ErrBroken)
	}
	return errors.Wrap(cause, "writing the log")
}

// note writes down how far the log is synced. It is not synced itself: a
// killed process leaves it exact, a loss of power may leave an older one.
func (l *Log) note() {
	b := binary.BigEndian.AppendUint64(nil, uint64(l.number))
	b = binary.BigEndian.AppendUint64(b, uint64(l.size))
	// A failure is passed over: the log itself is synced, so the save stands.
	_, _ = l.synced.WriteAt(disk.AppendFrame(nil, b), 0)
}

// noted returns how far the log with this number was synced at least.
func (l *Log) noted() int64 {
	b, err := os.ReadFile(filepath.Join(l.folder, syncedFile))
	if err != nil {
		return 0
	}
	payload, _, _, err := disk.CutFrame(b)
	if err != nil || len(payload) != 16 || binary.BigEndian.Uint64(payload) != uint64(l.number) {
		return 0
	}
	return int64(binary.BigEndian.Uint64(payload[8:]))
}

// NoteCommit writes down that entries up to i are committed, so that a restart
// knows it before it hears a leader. It is not synced: after a loss of power an
// older note, or none, is found.
func (l *Log) NoteCommit(i quorum.Index) error {
	frame := disk.AppendFrame(nil, binary.BigEndian.AppendUint64(nil, uint64(i)))
	return errors.Wrap(os.WriteFile(filepath.Join(l.folder, commitFile), frame, 0o600), "noting what is committed")
}

// notedCommit returns the last NoteCommit that can be read, or 0.
func (l *Log) notedCommit() quorum.Index {
	b, err := os.ReadFile(filepath.Join(l.folder, commitFile))
	if err != nil {
		return 0
	}
	payload, _, _, err := disk.CutFrame(b)
	if err != nil || len(payload) != 8 {
		return 0
	}
	return quorum.Index(binary.BigEndian.Uint64(payload))
}

// SaveSnapshot starts a new log from saved and removes the old one. After an
// error other than [ErrBroken] the old one is still in use.
func (l *Log) SaveSnapshot(saved quorum.Saved) error {
	if l.broken {
		return ErrBroken
	}
	old := l.number
	oldFile, oldSynced := l.file, l.synced
	if err := l.begin(l.number+1, saved); err != nil {
		return err
	}
	_ = oldFile.Close()
	_ = oldSynced.Close()
	for _, name := range []string{snapshotName(old), logName(old)} {
		if err := os.Remove(filepath.Join(l.folder, name)); err != nil {
			return errors.Wrap(err, "removing the old log")
		}
	}
	return nil
}

// begin makes the log and then the snapshot with this number; the snapshot's
// appearance puts both in force.
func (l *Log) begin(number int, saved quorum.Saved) error {
	var first []byte
	if saved.HardState != (quorum.HardState{}) || len(saved.Entries) > 0 {
		payload, err := json.Marshal(batch{&saved.HardState, saved.Entries})
		if err != nil {
			return errors.Wrap(err, "encoding log entries")
		}
		first = disk.AppendFrame(nil, payload)
	}
	snapshot, err := json.Marshal(saved.Snapshot)
	if err != nil {
		return errors.Wrap(err, "encoding the snapshot")
	}
	if err := disk.WriteFile(filepath.Join(l.folder, logName(number)), first); err != nil {
		return err
	}
	if err := disk.WriteFile(filepath.Join(l.folder, snapshotName(number)), disk.AppendFrame(nil, snapshot)); err != nil {
		return err
	}
	return l.use(number, int64(len(first)))
}

// use opens the log with this number for appending at size.
func (l *Log) use(number int, size int64) error {
	file, err := os.OpenFile(filepath.Join(l.folder, logName(number)), os.O_RDWR, 0o600)
	if err != nil {
		return errors.Wrap(err, "opening the log")
	}
	if _, err := file.Seek(size, io.SeekStart); err != nil {
		return errors.Wrap(err, "seeking the end of the log")
	}
	synced, err := os.OpenFile(filepath.Join(l.folder, syncedFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return errors.Wrap(err, "opening the note of the synced size")
	}
	l.number, l.file, l.synced, l.size = number, file, synced, size
	l.note()
	return nil
}

// load reads the snapshot and the log with this number.
func (l *Log) load(number int) (quorum.Saved, error) {
	l.number = number
	var saved quorum.Saved
	b, err := os.ReadFile(filepath.Join(l.folder, snapshotName(number)))
	if err != nil {
		return saved, errors.Wrap(err, "reading the snapshot")
	}
	payload, rest, _, err := disk.CutFrame(b)
	if err != nil || len(rest) > 0 {
		return saved, errors.Wrapf(ErrCorrupt, "snapshot %s", snapshotName(number))
	}
	if err := json.Unmarshal(payload, &saved.Snapshot); err != nil {
		return saved, errors.Wrapf(ErrCorrupt, "snapshot %s: %v", snapshotName(number), err)
	}
	size, err := l.replay(&saved)
	if err != nil {
		return saved, err
	}
	return saved, l.use(number, size)
}

// replay reads the log into saved and returns the size of what is whole.
func (l *Log) replay(saved *quorum.Saved) (int64, error) {
	path := filepath.Join(l.folder, logName(l.number))
	b, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return 0, errors.Wrapf(ErrCorrupt, "%s is missing", logName(l.number))
	}
	if err != nil {
		return 0, errors.Wrap(err, "reading the log")
	}
	whole := int64(0)
	for rest := b; len(rest) > 0; {
		payload, after, toEnd, err := disk.CutFrame(rest)
		if err != nil {
			return whole, l.cutOff(path, whole, int64(len(b)), toEnd)
		}
		var one batch
		if err := json.Unmarshal(payload, &one); err != nil {
			return whole, errors.Wrapf(ErrCorrupt, "%s at byte %d: %v", logName(l.number), whole, err)
		}
		if err := one.extend(saved); err != nil {
			return whole, errors.Wrapf(err, "%s at byte %d", logName(l.number), whole)
		}
		whole = int64(len(b) - len(after))
		rest = after
	}
	if noted := l.noted(); whole < noted {
		return whole, errors.Wrapf(ErrCorrupt, "%s ends at byte %d of %d", logName(l.number), whole, noted)
	}
	return whole, nil
}

// cutOff drops the end of the log where it cannot have been acknowledged.
func (l *Log) cutOff(path string, whole, size int64, toEnd bool) error {
	if !toEnd || whole < l.noted() {
		return errors.Wrapf(ErrCorrupt, "%s at byte %d of %d", logName(l.number), whole, size)
	}
	l.CutOff = size - whole
	if err := os.Truncate(path, whole); err != nil {
		return errors.Wrap(err, "cutting off the end of the log")
	}
	f, err := os.OpenFile(path, os.O_RDWR, 0o600)
	if err != nil {
		return errors.Wrap(err, "opening the log")
	}
	defer f.Close()
	return errors.Wrap(f.Sync(), "syncing the log")
}

// extend adds b to saved. Entries replace those that stood at their indices.
func (b batch) extend(saved *quorum.Saved) error {
	if b.HardState != nil {
		saved.HardState = *b.HardState
	}
	for _, e := range b.Entries {
		at := int(e.Index) - int(saved.Snapshot.Index) - 1
		if at < 0 || at > len(saved.Entries) {
			return errors.Wrapf(ErrCorrupt, "entry %d does not follow", e.Index)
		}
		saved.Entries = append(saved.Entries[:at], e)
	}
	return nil
}
