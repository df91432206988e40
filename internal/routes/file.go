package routes

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/check"
	"tamarackpin.example/internal/wire"
	"tamarackpin.example/internal/worker"
)

// File is a table in the JSON form of [Table] that was checked.
type File struct {
	Table    *Table // nil if it could not be read
	Findings check.Findings
}

// CheckFile reads and checks a table. One without an error among the findings can be put in force.
func CheckFile(text []byte) File {
	var t Table
	c := fileCheck{positions: check.JSONPositions(text)}
	if err := wire.DecodeStrict(text, &t); err != nil {
		c.findings.Add(check.Error, "bad_json", c.errorPosition(text, err), "%v", err)
		return File{Findings: c.findings}
	}
	c.checkTable(&t)
	c.findings.Sort()
	return File{Table: &t, Findings: c.findings}
}

// fileCheck collects what is found in one file.
type fileCheck struct {
	positions map[string]check.Position
	findings  check.Findings
}

// at returns the position of the value at a path, or of the value that lacks it.
func (c *fileCheck) at(path string) check.Position {
	for path != "" {
		if p, ok := c.positions[path]; ok {
			return p
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return check.Position{Line: 1, Column: 1}
}

// errorPosition returns the position that an error of the decoder names, or that of the first unknown field.
func (c *fileCheck) errorPosition(text []byte, err error) check.Position {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return check.At(text, int(syntax.Offset)-1)
	case errors.As(err, &wrongType):
		return c.startOf(check.At(text, int(wrongType.Offset)-1))
	}
	first := check.Position{Line: 1, Column: 1}
	found := false
	for path, at := range c.positions {
		name := path[strings.LastIndexByte(path, '.')+1:]
		if err.Error() != fmt.Sprintf("json: unknown field %q", name) {
			continue
		}
		if !found || at.Before(first) {
			first, found = at, true
		}
	}
	return first
}

// startOf returns the start of the value that has the byte at a position, its last one.
func (c *fileCheck) startOf(end check.Position) check.Position {
	start := check.Position{Line: 1, Column: 1}
	for _, at := range c.positions {
		if start.Before(at) && !end.Before(at) {
			start = at
		}
	}
	return start
}

// checkTable adds what is wrong with the services and rows of a table.
func (c *fileCheck) checkTable(t *Table) {
	services := make(map[worker.Service]bool, len(t.Services))
	for i, s := range t.Services {
		at := c.at(fmt.Sprintf("services[%d].name", i))
		switch {
		case s.Name == "":
			c.findings.Add(check.Error, "missing_value", at, "service %d has no name", i+1)
		case services[s.Name]:
			c.findings.Add(check.Warning, "duplicate_service", at, "service %s stands twice: the first one is used", s.Name)
		}
		services[s.Name] = true
	}
	used := make(map[worker.Service]bool, len(services))
	places := make(map[Place]RowName, len(t.Rows))
	names := make(map[RowName]bool, len(t.Rows))
	for i, r := range t.Rows {
		path := fmt.Sprintf("rows[%d].", i)
		for _, f := range r.faults(services) {
			c.findings.Add(check.Error, f.code, c.at(path+f.field), "row %d, %q: %v", i+1, r.Name, f.err)
		}
		if first, taken := places[r.place()]; taken {
			c.findings.Add(check.Error, "duplicate_place", c.at(path+"prefix"), "row %d, %q, never matches: row %q has host %s and prefix %s too", i+1, r.Name, first, r.Host, r.Prefix)
		} else {
			places[r.place()] = r.Name
		}
		if names[r.Name] && r.Name != "" {
			c.findings.Add(check.Warning, "duplicate_name", c.at(path+"name"), "row %d, %q: an earlier row has the same name, so their jobs and metrics are counted as those of one", i+1, r.Name)
		}
		names[r.Name], used[r.Service] = true, true
		c.checkLimits(path, i, r)
	}
	for i, s := range t.Services {
		if s.Name != "" && !used[s.Name] {
			c.findings.Add(check.Warning, "unused_service", c.at(fmt.Sprintf("services[%d].name", i)), "no row uses service %s", s.Name)
		}
	}
}

// checkLimits adds what row i cannot meet, although it can be put in force.
func (c *fileCheck) checkLimits(path string, i int, r Row) {
	if r.Timeout > 0 && r.Timeout < r.Latency {
		c.findings.Add(check.Warning, "timeout_under_latency", c.at(path+"timeout"),
			"row %d, %q: timeout %s is under latency %s: callers leave before the objective has passed", i+1, r.Name, r.Timeout, r.Latency)
	}
}
