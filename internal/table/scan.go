package table

import (
	"encoding/csv"
	"io"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/check"
)

// scannedRow is a row of a CSV file.
type scannedRow struct {
	Row
	readable bool // every cell could be read
	at       map[string]check.Position
}

// scanner reads a CSV file and notes every cell that cannot be read.
type scanner struct {
	csv      *csv.Reader
	skipped  int      // lines before the CSV
	order    []column // of the cells of a line; unknown columns have no name
	findings check.Findings
}

// scan returns the rows of a CSV file. The first line names the columns, in any order. The rows are empty if the columns are
// not those of the table.
func (s *scanner) scan() []scannedRow {
	before := len(s.findings)
	header, ok := s.next()
	if !ok {
		if len(s.findings) == before {
			s.findings.Add(check.Error, "empty_file", check.Position{Line: 1, Column: 1}, "the table is empty: want a line with the column names")
		}
		return nil
	}
	if !s.readHeader(header) {
		return nil
	}
	var rows []scannedRow
	for {
		cells, ok := s.next()
		if !ok {
			return rows
		}
		if cells != nil {
			rows = append(rows, s.readRow(cells))
		}
	}
}

// next returns the next line, nil for one that is not CSV or has another number of cells than the first, and false at the end of
// the file.
func (s *scanner) next() (cells []string, ok bool) {
	cells, err := s.csv.Read()
	var syntax *csv.ParseError
	switch {
	case err == nil:
		return cells, true
	case errors.Is(err, io.EOF):
		return nil, false
	case errors.Is(err, csv.ErrFieldCount):
		s.findings.Add(check.Error, "bad_csv", s.position(0), "%d cells: want %d, as the line with the column names has", len(cells), s.csv.FieldsPerRecord)
	case errors.As(err, &syntax):
		s.findings.Add(check.Error, "bad_csv", check.Position{Line: syntax.Line + s.skipped, Column: syntax.Column}, "%v", syntax.Err)
	default:
		s.findings.Add(check.Error, "bad_csv", check.Position{Line: 1, Column: 1}, "%v", err)
		return nil, false
	}
	return nil, true
}

// position returns the position of a cell of the line that was read last.
func (s *scanner) position(cell int) check.Position {
	line, column := s.csv.FieldPos(cell)
	return check.Position{Line: line + s.skipped, Column: column}
}

// readHeader sets the order of the columns and reports whether the header is right.
func (s *scanner) readHeader(names []string) bool {
	if names == nil { // not CSV
		return false
	}
	unread := make(map[string]column, len(columns))
	for _, c := range columns {
		unread[c.name] = c
	}
	before := len(s.findings)
	want := strings.Join(Columns(), ", ")
	s.order = make([]column, len(names))
	for i, name := range names {
		c, ok := unread[strings.TrimSpace(name)]
		if !ok {
			s.findings.Add(check.Error, "bad_column", s.position(i), "column %.80q is unknown or stands twice: want %s", name, want)
			continue
		}
		delete(unread, c.name)
		s.order[i] = c
	}
	missing := slices.DeleteFunc(Columns(), func(name string) bool { _, ok := unread[name]; return !ok })
	if len(missing) > 0 {
		s.findings.Add(check.Error, "missing_column", s.position(0), "missing: %s", strings.Join(missing, ", "))
	}
	return len(s.findings) == before
}

func (s *scanner) readRow(cells []string) scannedRow {
	r := scannedRow{readable: true, at: make(map[string]check.Position, len(cells))}
	for i, text := range cells {
		c := s.order[i]
		r.at[c.name] = s.position(i)
		if err := c.set(&r.Row, strings.TrimSpace(text)); err != nil {
			r.readable = false
			s.findings.Add(check.Error, "bad_cell", r.at[c.name], "%s %.80q: %v", c.name, text, err)
		}
	}
	return r
}
