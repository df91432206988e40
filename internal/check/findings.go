package check

import (
	"fmt"
	"slices"
)

// Findings is everything that the check of one file found.
type Findings []Finding

// Add adds a finding.
func (l *Findings) Add(s Severity, c Code, at Position, format string, args ...any) {
	*l = append(*l, Finding{Severity: s, Code: c, Position: at, Message: fmt.Sprintf(format, args...)})
}

// Sort orders the findings by their position.
func (l Findings) Sort() { slices.SortFunc(l, Finding.compare) }

// Count returns the number of findings of a severity.
func (l Findings) Count(s Severity) int {
	n := 0
	for _, f := range l {
		if f.Severity == s {
			n++
		}
	}
	return n
}
