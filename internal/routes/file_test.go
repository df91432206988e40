package routes

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"tamarackpin.example/internal/check"
)

// TestFiles compares the findings in each file of testdata with its golden file, and guards against a code that operators
// cannot look up.
func TestFiles(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATORS.md")
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob("testdata/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d files: %v", len(files), err)
	}
	for _, path := range files {
		name := strings.TrimSuffix(filepath.Base(path), ".json")
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			var got bytes.Buffer
			for _, f := range CheckFile(text).Findings {
				fmt.Fprintln(&got, f)
				if row := fmt.Sprintf("| `%s` | %s |", f.Code, f.Severity); !bytes.Contains(page, []byte(row)) {
					t.Errorf("docs/OPERATORS.md has no row %s", row)
				}
			}
			goldie.New(t).Assert(t, name, got.Bytes())
		})
	}
}

// TestFindingsAgreeWithCheck guards against a file without errors that [Table.Check] refuses, and against errors in one that it
// accepts.
func TestFindingsAgreeWithCheck(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	refused := 0
	for range 2000 {
		table := randomTable(rng, 1)
		for i := range table.Rows {
			r := &table.Rows[i]
			switch rng.IntN(120) {
			case 0:
				r.Name = ""
			case 1:
				r.Host = ""
			case 2:
				r.Prefix = strings.TrimPrefix(r.Prefix, "/")
			case 3:
				r.Service = "another"
			case 4:
				r.Timeout = 0
			case 5:
				r.Latency = -1
			case 6:
				r.Stretch = -1
			case 7:
				r.Priority = -1
			case 8:
				r.MaxAttempts = -1
			case 9:
				r.Host, r.Prefix = table.Rows[0].Host, table.Rows[0].Prefix
			}
		}
		if rng.IntN(20) == 0 {
			table.Services = append(table.Services, Service{})
		}
		text, err := json.MarshalIndent(table, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		f := CheckFile(text)
		refusal := table.Check()
		if (refusal != nil) != (f.Findings.Count(check.Error) > 0) {
			t.Fatalf("Check returns %v, and the findings are %v, in\n%s", refusal, f.Findings, text)
		}
		if refusal != nil {
			refused++
		}
	}
	if refused < 200 || refused > 1800 {
		t.Errorf("%d of 2000 tables were refused: too few of a kind to compare", refused)
	}
}

func FuzzCheckFile(f *testing.F) {
	f.Add([]byte(`{"rows":[{"name":"a"}],"services":[{}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		file := CheckFile(b)
		lines := 1 + bytes.Count(b, []byte("\n"))
		for _, finding := range file.Findings {
			if finding.Line < 1 || finding.Line > lines || finding.Column < 1 {
				t.Errorf("position outside the %d lines: %s", lines, finding)
			}
		}
		if file.Table == nil && file.Findings.Count(check.Error) == 0 {
			t.Error("a file that cannot be read has no error")
		}
	})
}
