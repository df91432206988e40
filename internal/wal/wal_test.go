package wal

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"tamarackpin.example/internal/disk"
	"tamarackpin.example/internal/quorum"
)

// The seed is fixed, so that each run gives the same verdict; -rapid.seed
// overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

func open(t testing.TB, folder string) (*Log, quorum.Saved) {
	t.Helper()
	l, saved, err := Open(folder, "vm0")
	if err != nil {
		t.Fatal(err)
	}
	return l, saved
}

func entry(i, term int) quorum.Entry {
	return quorum.Entry{Index: quorum.Index(i), Term: quorum.Term(term), Data: []byte(fmt.Sprint("change ", i))}
}

// fill saves count entries, each by itself.
func fill(t testing.TB, l *Log, count int) {
	t.Helper()
	for i := 1; i <= count; i++ {
		if err := l.Save(&quorum.HardState{Term: 1}, []quorum.Entry{entry(i, 1)}); err != nil {
			t.Fatal(err)
		}
	}
}

// TestSavedIsFoundAgain is differential: a log with restarts against a plain
// copy in memory.
func TestSavedIsFoundAgain(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		folder, err := os.MkdirTemp("", "wal")
		if err != nil {
			r.Fatal(err)
		}
		defer os.RemoveAll(folder)
		l, _, err := Open(folder, "vm0")
		if err != nil {
			r.Fatal(err)
		}
		var want quorum.Saved
		r.Repeat(map[string]func(*rapid.T){
			"save": func(r *rapid.T) {
				last := len(want.Entries)
				from := rapid.IntRange(max(0, last-2), last).Draw(r, "from")
				count := rapid.IntRange(0, 3).Draw(r, "count")
				term := rapid.IntRange(1, 9).Draw(r, "term")
				var entries []quorum.Entry
				for i := range count {
					entries = append(entries, entry(int(want.Snapshot.Index)+from+i+1, term))
				}
				h := &quorum.HardState{Term: quorum.Term(term)}
				if err := l.Save(h, entries); err != nil {
					r.Fatal(err)
				}
				want.HardState = *h
				if count > 0 {
					want.Entries = append(want.Entries[:from:from], entries...)
				}
			},
			"snapshot": func(r *rapid.T) {
				cut := rapid.IntRange(0, len(want.Entries)).Draw(r, "cut")
				want.Snapshot = quorum.Snapshot{Index: want.Snapshot.Index + quorum.Index(cut), Term: 1, Data: []byte("state")}
				want.Entries = append([]quorum.Entry(nil), want.Entries[cut:]...)
				if err := l.SaveSnapshot(want); err != nil {
					r.Fatal(err)
				}
			},
			"restart": func(r *rapid.T) {
				if err := l.Close(); err != nil {
					r.Fatal(err)
				}
				var got quorum.Saved
				if l, got, err = Open(folder, "vm0"); err != nil {
					r.Fatal(err)
				}
				if len(got.Entries) == 0 && len(want.Entries) == 0 {
					got.Entries, want.Entries = nil, nil
				}
				if !reflect.DeepEqual(got, want) {
					r.Fatalf("found %+v, saved %+v", got, want)
				}
			},
		})
	})
}

// TestTornTailIsCutOff: an end that was never acknowledged goes, all before it
// stays.
func TestTornTailIsCutOff(t *testing.T) {
	folder := t.TempDir()
	l, _ := open(t, folder)
	fill(t, l, 3)
	path := filepath.Join(folder, logName(0))
	f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Write([]byte{0, 0, 0, 90, 1, 2, 3, 4, 'h', 'a', 'l', 'f'}); err != nil {
		t.Fatal(err)
	}
	_ = f.Close()
	l, saved := open(t, folder)
	if len(saved.Entries) != 3 || l.CutOff != 12 {
		t.Errorf("%d entries are left, %d bytes were cut off", len(saved.Entries), l.CutOff)
	}
	fill(t, l, 4)
	if _, saved = open(t, folder); len(saved.Entries) != 4 {
		t.Errorf("%d entries after going on", len(saved.Entries))
	}
}

// TestDamageIsNotCutOff flips each byte of an acknowledged log in turn: it must
// stop the process, never lose what was acknowledged.
func TestDamageIsNotCutOff(t *testing.T) {
	folder := t.TempDir()
	l, _ := open(t, folder)
	fill(t, l, 3)
	_ = l.Close()
	for _, name := range []string{logName(0), snapshotName(0), identityFile} {
		path := filepath.Join(folder, name)
		whole, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for i := range whole {
			damaged := append([]byte(nil), whole...)
			damaged[i] ^= 0x55
			if err := os.WriteFile(path, damaged, 0o600); err != nil {
				t.Fatal(err)
			}
			l, saved, err := Open(folder, "vm0")
			if err == nil && name != identityFile {
				_ = l.Close()
				t.Fatalf("%s with byte %d damaged was opened with %d entries", name, i, len(saved.Entries))
			}
			if err == nil {
				_ = l.Close()
			}
		}
		if err := os.WriteFile(path, whole, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// TestLostFilesAreDamage: a disk that is known but lost a file must not vote as
// if it were new.
func TestLostFilesAreDamage(t *testing.T) {
	for _, lost := range [][]string{{logName(0)}, {snapshotName(0), logName(0)}, {identityFile}} {
		folder := t.TempDir()
		l, _ := open(t, folder)
		fill(t, l, 3)
		_ = l.Close()
		for _, name := range lost {
			if err := os.Remove(filepath.Join(folder, name)); err != nil {
				t.Fatal(err)
			}
		}
		if _, _, err := Open(folder, "vm0"); !errors.Is(err, ErrCorrupt) {
			t.Errorf("without %v: %v", lost, err)
		}
	}
}

func TestForeignDiskIsRefused(t *testing.T) {
	folder := t.TempDir()
	l, _ := open(t, folder)
	_ = l.Close()
	if _, _, err := Open(folder, "vm1"); !errors.Is(err, ErrForeign) {
		t.Errorf("error is %v", err)
	}
}

// TestFullDiskIsSurvived: a write that fails halfway leaves no trace, and the
// next one goes through.
func TestFullDiskIsSurvived(t *testing.T) {
	folder := t.TempDir()
	l, _ := open(t, folder)
	fill(t, l, 2)
	l.Write = func(f *os.File, b []byte) (int, error) {
		n, _ := f.Write(b[:len(b)/2])
		return n, syscall.ENOSPC
	}
	err := l.Save(nil, []quorum.Entry{entry(3, 1)})
	if !errors.Is(err, syscall.ENOSPC) || errors.Is(err, ErrBroken) {
		t.Fatalf("error is %v", err)
	}
	l.Write = (*os.File).Write
	if err := l.Save(nil, []quorum.Entry{entry(3, 2)}); err != nil {
		t.Fatal(err)
	}
	if _, saved := open(t, folder); len(saved.Entries) != 3 || saved.Entries[2].Term != 2 || saved.HardState.Term != 1 {
		t.Errorf("found %+v", saved)
	}
}

// TestFailedSyncIsFinal: after it nobody knows what is on the disk.
func TestFailedSyncIsFinal(t *testing.T) {
	l, _ := open(t, t.TempDir())
	l.Sync = func(*os.File) error { return syscall.EIO }
	if err := l.Save(nil, []quorum.Entry{entry(1, 1)}); !errors.Is(err, ErrBroken) {
		t.Errorf("error is %v", err)
	}
	l.Sync = (*os.File).Sync
	if err := l.Save(nil, []quorum.Entry{entry(1, 1)}); !errors.Is(err, ErrBroken) {
		t.Errorf("the next save: %v", err)
	}
}

// TestInterruptedSnapshotLeavesTheOldOne: only the snapshot's appearance puts
// the new files in force.
func TestInterruptedSnapshotLeavesTheOldOne(t *testing.T) {
	folder := t.TempDir()
	l, _ := open(t, folder)
	fill(t, l, 3)
	_ = l.Close()
	if err := os.WriteFile(filepath.Join(folder, logName(1)), []byte("unfinished"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(folder, snapshotName(1)+".tmp"), []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, saved := open(t, folder)
	if len(saved.Entries) != 3 {
		t.Errorf("%d entries are left", len(saved.Entries))
	}
	files, _ := os.ReadDir(folder)
	if len(files) != 4 {
		t.Errorf("files are %v", files)
	}
}

// FuzzOpen opens logs of any bytes: it must end with an error or with what
// follows in order.
func FuzzOpen(f *testing.F) {
	payload := []byte(`{"entries":[{"index":1,"term":1}]}`)
	f.Add(disk.AppendFrame(nil, payload))
	f.Add(disk.AppendFrame(disk.AppendFrame(nil, payload), payload))
	f.Fuzz(func(t *testing.T, b []byte) {
		folder := t.TempDir()
		l, _ := open(t, folder)
		_ = l.Close()
		if err := os.WriteFile(filepath.Join(folder, logName(0)), b, 0o600); err != nil {
			t.Fatal(err)
		}
		l, saved, err := Open(folder, "vm0")
		if err != nil {
			return
		}
		defer l.Close()
		for i, e := range saved.Entries {
			if e.Index != quorum.Index(i+1) {
				t.Fatalf("entry %d has index %d", i, e.Index)
			}
		}
	})
}

// BenchmarkSave measures one synced write, alone and as a group that shares it.
func BenchmarkSave(b *testing.B) {
	for _, group := range []int{1, 32} {
		b.Run(fmt.Sprint(group, "entries"), func(b *testing.B) {
			l, _ := open(b, b.TempDir())
			defer l.Close()
			next := 1
			for b.Loop() {
				var entries []quorum.Entry
				for range group {
					entries = append(entries, entry(next, 1))
					next++
				}
				if err := l.Save(nil, entries); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// TestCommitIsNoted: what was noted is found; a note that is torn or missing
// counts as none (issue 10: all processes killed at once).
func TestCommitIsNoted(t *testing.T) {
	folder := t.TempDir()
	open := func() quorum.Index {
		l, saved, err := Open(folder, "vm0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		if err := l.NoteCommit(saved.Commit + 7); err != nil {
			t.Fatal(err)
		}
		return saved.Commit
	}
	for i, want := range []quorum.Index{0, 7, 14} {
		if got := open(); got != want {
			t.Errorf("start %d: %d, want %d", i, got, want)
		}
	}
	path := filepath.Join(folder, commitFile)
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range b {
		if err := os.WriteFile(path, b[:i], 0o600); err != nil {
			t.Fatal(err)
		}
		if got := open(); got != 0 {
			t.Errorf("a note of %d bytes is taken for %d", i, got)
		}
	}
}
