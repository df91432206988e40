package settings

import (
	"fmt"
	"strings"
)

// Fault is one thing that is wrong with a settings file.
type Fault struct {
	Path    string // such as vms[2].peer_address
	Value   string // as it stands in the file; empty when missing
	Allowed string // what would be right
}

// String returns the fault as a line.
func (f Fault) String() string {
	if f.Value == "" {
		return fmt.Sprintf("%s: %s", f.Path, f.Allowed)
	}
	return fmt.Sprintf("%s: %.200s: %s", f.Path, f.Value, f.Allowed)
}

// Faults is every fault of one settings file.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

func (f *Faults) add(path, value, format string, args ...any) {
	*f = append(*f, Fault{path, value, fmt.Sprintf(format, args...)})
}
