// Package check holds what the check of a configuration file finds before the file is sent: a
// [Finding] for each fault, with its position in the file. What is checked is up to the packages of
// the configurations.
package check

import (
	"cmp"
	"fmt"
)

// Severity tells whether a file may be sent.
type Severity string

// The severities. A file with an error is not sent.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Code names a kind of finding. It stays the same between versions; docs/OPERATORS.md lists all.
type Code string

// Position is a place in a file. The first line and the first byte of a line are 1.
type Position struct {
	Line   int `json:"line"`
	Column int `json:"column"`
}

// Before reports whether p precedes o.
func (p Position) Before(o Position) bool {
	return p.Line < o.Line || p.Line == o.Line && p.Column < o.Column
}

// Finding is one thing that a check found.
type Finding struct {
	Severity Severity `json:"severity"`
	Code     Code     `json:"code"`
	Position
	Message string `json:"message"`
}

// String returns the finding as a line, without the file's name.
func (f Finding) String() string {
	return fmt.Sprintf("%d:%d: %s: %s: %s", f.Line, f.Column, f.Severity, f.Code, f.Message)
}

// compare orders findings by their position, then by their code and message.
func (f Finding) compare(o Finding) int {
	return cmp.Or(cmp.Compare(f.Line, o.Line), cmp.Compare(f.Column, o.Column), cmp.Compare(f.Code, o.Code), cmp.Compare(f.Message, o.Message))
}
