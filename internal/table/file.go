package table

import (
	"encoding/csv"
	"strconv"
	"strings"

	"tamarackpin.example/internal/check"
	"tamarackpin.example/internal/party"
)

// VersionLine begins the first line of a table file, before the version that the file was read at.
const VersionLine = "# version "

// File is a table file that was checked: a CSV file, which may begin with a [VersionLine].
type File struct {
	Rows     []Row   // those whose cells could be read
	BasedOn  Version // that the file was read at, if it says so
	Based    bool    // whether it does
	Findings check.Findings
}

// CheckFile reads and checks a table file. Rows without an error among the findings can be put in force, as far as the
// file alone can tell.
func CheckFile(text string) File {
	f := File{Rows: []Row{}}
	skipped := 0
	if rest, ok := strings.CutPrefix(text, VersionLine); ok {
		first, body, _ := strings.Cut(rest, "\n")
		text, skipped = body, 1
		f.readVersion(strings.TrimSpace(first))
	} else {
		f.Findings.Add(check.Warning, "no_version", check.Position{Line: 1, Column: 1}, "no line %q: put needs --based-on", VersionLine+"N")
	}
	s := scanner{csv: csv.NewReader(strings.NewReader(text)), skipped: skipped, findings: f.Findings}
	rows := s.scan()
	if len(rows) == 0 && s.findings.Count(check.Error) == 0 {
		s.findings.Add(check.Warning, "no_rows", check.Position{Line: 1, Column: 1}, "the file has no row: put removes all rows")
	}
	f.Findings = s.findings
	f.checkRows(rows)
	f.Findings.Sort()
	return f
}

func (f *File) readVersion(text string) {
	v, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		f.Findings.Add(check.Error, "bad_version", check.Position{Line: 1, Column: 1 + len(VersionLine)}, "version %.80q: want a whole number", text)
		return
	}
	f.BasedOn, f.Based = Version(v), true
}

// checkRows keeps the rows that could be read and adds what is wrong with them.
func (f *File) checkRows(rows []scannedRow) {
	lines := make(map[party.Key]int, len(rows))
	for i, r := range rows {
		if i == MaxRows {
			f.Findings.Add(check.Error, "too_many_rows", r.at["party"], "%d rows: want at most %d", len(rows), MaxRows)
		}
		if first, twice := lines[r.Key]; twice {
			f.Findings.Add(check.Error, "duplicate_row", r.at["party"], "row %s never matches: line %d has the same party and kind", r.Key, first)
		} else {
			lines[r.Key] = r.at["party"].Line
		}
		if !r.readable {
			continue // a limit that was not read is 0
		}
		f.Rows = append(f.Rows, r.Row)
		for _, fault := range r.faults() {
			code, message := check.Code("out_of_bounds"), "row %s: %v"
			if fault.column == "party" || fault.column == "kind" {
				code, message = "bad_name", "row %s never matches: %v"
			}
			f.Findings.Add(check.Error, code, r.at[fault.column], message, r.Key, fault.err)
		}
		r.checkLimits(&f.Findings)
	}
}
