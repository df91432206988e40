package standin

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a script.
const (
	ExitHeld      = 0
	ExitBroken    = 1
	ExitCannotRun = 2
)

// Record writes record.txt: what was sent, answered and run, with the seconds since the
// start of the script.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	onFail  func()
}

// NewRecord creates the record file at path.
func NewRecord(path string) *Record {
	f, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitCannotRun)
	}
	return &Record{file: f, started: time.Now()}
}

// Trouble reports whether the disruption is to be made.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Printf writes a line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// OnFail sets what is done before a script ends early.
func (r *Record) OnFail(f func()) { r.onFail = f }

// Fail ends a script that cannot run.
func (r *Record) Fail(format string, args ...any) {
	r.Printf("cannot run: "+format, args...)
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	if r.onFail != nil {
		r.onFail()
	}
	os.Exit(ExitCannotRun)
}

// Verdict writes the result and returns the exit code.
func (r *Record) Verdict(broken bool, format string, args ...any) int {
	word, code := "held: ", ExitHeld
	if broken {
		word, code = "BROKEN: ", ExitBroken
	}
	r.Printf(word+format, args...)
	fmt.Printf(word+format+"\n", args...)
	return code
}
