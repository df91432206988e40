package quorum

// entryLog is the log after a snapshot.
type entryLog struct {
	snapshot Snapshot
	entries  []Entry // the first follows the snapshot
}

func (l *entryLog) last() Index { return l.snapshot.Index + Index(len(l.entries)) }

// term returns the term of entry i, if the log still knows it.
func (l *entryLog) term(i Index) (Term, bool) {
	if i == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if i < l.snapshot.Index || i > l.last() {
		return 0, false
	}
	return l.at(i).Term, true
}

func (l *entryLog) at(i Index) *Entry { return &l.entries[i-l.snapshot.Index-1] }

func (l *entryLog) lastTerm() Term {
	t, _ := l.term(l.last())
	return t
}

// from returns at most count entries from i on.
func (l *entryLog) from(i Index, count int) []Entry {
	if i <= l.snapshot.Index || i > l.last() {
		return nil
	}
	rest := l.entries[i-l.snapshot.Index-1:]
	return append([]Entry(nil), rest[:min(len(rest), count)]...)
}

// batch returns the entries from i on that fit into one message; at least one if there
// is any.
func (l *entryLog) batch(i Index) []Entry {
	batch := l.from(i, maxEntries)
	bytes := 0
	for n, e := range batch {
		if bytes += len(e.Data); n > 0 && bytes > maxMessageBytes {
			return batch[:n]
		}
	}
	return batch
}

func (l *entryLog) append(e ...Entry) { l.entries = append(l.entries, e...) }

// truncate drops entry i and all after it.
func (l *entryLog) truncate(i Index) {
	l.entries = append([]Entry(nil), l.entries[:i-l.snapshot.Index-1]...)
}

// compact replaces what is up to s.Index by s.
func (l *entryLog) compact(s Snapshot) {
	if s.Index >= l.last() {
		l.entries = nil
	} else {
		l.entries = append([]Entry(nil), l.entries[s.Index-l.snapshot.Index:]...)
	}
	l.snapshot = s
}

// config returns the newest Config, committed or not, and its index.
func (l *entryLog) config() (Config, Index) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if c := l.entries[i].Config; c != nil {
			return *c, l.entries[i].Index
		}
	}
	return l.snapshot.Config, l.snapshot.Index
}
