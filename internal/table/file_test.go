package table

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"

	"tamarackpin.example/internal/check"
)

// TestFiles runs the archives in testdata. Each has a table file, and what is found in it, followed by the rows as
// they are written if they can be put in force. UPDATE=1 writes the latter anew.
func TestFiles(t *testing.T) {
	archives, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(archives) == 0 {
		t.Fatalf("%d archives: %v", len(archives), err)
	}
	for _, path := range archives {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txtar"), func(t *testing.T) {
			a, err := txtar.ParseFile(path)
			if err != nil {
				t.Fatal(err)
			}
			f := CheckFile(string(a.Files[0].Data))
			var got bytes.Buffer
			for _, finding := range f.Findings {
				fmt.Fprintln(&got, finding)
			}
			if f.Findings.Count(check.Error) == 0 {
				if err := WriteCSV(&got, f.Rows); err != nil {
					t.Fatal(err)
				}
			}
			if got.String() == string(a.Files[1].Data) {
				return
			}
			if os.Getenv("UPDATE") == "" {
				t.Fatalf("got:\n%swant:\n%s", &got, a.Files[1].Data)
			}
			a.Files[1].Data = got.Bytes()
			if err := os.WriteFile(path, txtar.Format(a), 0o600); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// TestCodesAreDocumented guards against a code that operators cannot look up, or that the page calls by another severity.
func TestCodesAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATORS.md")
	if err != nil {
		t.Fatal(err)
	}
	archives, err := filepath.Glob("testdata/*.txtar")
	if err != nil {
		t.Fatal(err)
	}
	seen := make(map[check.Code]bool)
	for _, path := range archives {
		a, err := txtar.ParseFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range CheckFile(string(a.Files[0].Data)).Findings {
			seen[f.Code] = true
			if row := fmt.Sprintf("| `%s` | %s |", f.Code, f.Severity); !bytes.Contains(page, []byte(row)) {
				t.Errorf("docs/OPERATORS.md has no row %s", row)
			}
		}
	}
	const codes = 14 // too_many_rows and stale_version have tests of their own
	if len(seen) != codes {
		t.Errorf("the archives have %d codes, want %d: %v", len(seen), codes, seen)
	}
}

// TestTooManyRows guards against a file that the server refuses for its size.
func TestTooManyRows(t *testing.T) {
	var b bytes.Buffer
	rows := make([]Row, MaxRows+1)
	for i := range rows {
		rows[i] = row(fmt.Sprint("p", i), "k", 1)
	}
	if err := WriteCSV(&b, rows); err != nil {
		t.Fatal(err)
	}
	f := CheckFile(VersionLine + "3\n" + b.String())
	if len(f.Findings) != 1 || f.Findings[0].Code != "too_many_rows" || f.Findings[0].Line != MaxRows+3 {
		t.Errorf("findings %v", f.Findings)
	}
}

func TestDifferences(t *testing.T) {
	s, err := NewSnapshot(3, []Row{row("p", "same", 1), row("q", "k", 2), row("r", "k", 1)})
	if err != nil {
		t.Fatal(err)
	}
	changed := row("q", "k", 5)
	changed.Urgent = true
	var got []string
	for _, d := range Differences(s, []Row{changed, row("a", "k", 1), row("p", "same", 1)}) {
		got = append(got, fmt.Sprint(d.Key, " ", d.Change, " ", d.Values))
	}
	want := []string{"a/k added []", "q/k changed [{weight 2 5} {urgent false true}]", "r/k removed []"}
	if !slices.Equal(got, want) {
		t.Errorf("differences %q, want %q", got, want)
	}
}

// FuzzCheckFile guards against a file without errors that cannot be put in force or read again, and against one that is refused
// although it could be.
func FuzzCheckFile(f *testing.F) {
	f.Add([]byte(strings.Join(Columns(), ",") + "\np,k,1,true,1,1,0,1s,1s\n"))
	f.Add([]byte(VersionLine + "3\n" + strings.Join(Columns(), ",") + "\np,k,1,true,1,1,7,1s,2s\np,k,1,true,0,1,0,1s,1s\n"))
	f.Add([]byte("# version 0")) // a position in a line that is not there
	f.Fuzz(func(t *testing.T, b []byte) {
		file := CheckFile(string(b))
		lines := 1 + bytes.Count(b, []byte("\n"))
		for _, finding := range file.Findings {
			if finding.Line < 1 || finding.Line > lines || finding.Column < 1 {
				t.Errorf("position outside the %d lines: %s", lines, finding)
			}
		}
		_, err := NewSnapshot(1, file.Rows)
		if file.Findings.Count(check.Error) > 0 {
			return
		}
		if err != nil {
			t.Fatalf("without errors, but it cannot be put in force: %v", err)
		}
		var out bytes.Buffer
		if err := WriteCSV(&out, file.Rows); err != nil {
			t.Fatal(err)
		}
		if back := CheckFile(out.String()); !slices.Equal(back.Rows, file.Rows) {
			t.Fatalf("written and read again: %v, want %v", back.Rows, file.Rows)
		}
	})
}
