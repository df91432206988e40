package check

import (
	"bytes"
	"maps"
	"slices"
	"testing"
)

// TestJSONPositions guards against findings that point at another row than the one they are about.
func TestJSONPositions(t *testing.T) {
	file := []byte("{\"version\": 3,\n \"rows\": [\n  {\"name\": \"a\", \"limits\": {\"x\": [1,\n2]}},\n  {\"name\":\n    \"b\"}],\"empty\":{}, \"none\" : []}")
	want := map[string]Position{
		"": {1, 1}, "version": {1, 13}, "rows": {2, 10}, "rows[0]": {3, 3}, "rows[0].name": {3, 12}, "rows[0].limits": {3, 27}, "rows[0].limits.x": {3, 33},
		"rows[0].limits.x[0]": {3, 34}, "rows[0].limits.x[1]": {4, 1}, "rows[1]": {5, 3}, "rows[1].name": {6, 5}, "empty": {6, 19}, "none": {6, 32},
	}
	if got := JSONPositions(file); !maps.Equal(got, want) {
		t.Errorf("positions %v, want %v", got, want)
	}
	if got := JSONPositions([]byte("{\"a\": 1, \"b\": }")); got["a"] != (Position{1, 7}) {
		t.Errorf("before a syntax error: %v", got)
	}
	for offset, want := range map[int]Position{0: {1, 1}, 14: {1, 15}, 15: {2, 1}, 16: {2, 2}, -1: {1, 1}} {
		if got := At(file, offset); got != want {
			t.Errorf("offset %d is at %v, want %v", offset, got, want)
		}
	}
}

func FuzzJSONPositions(f *testing.F) {
	f.Add([]byte(`{"a":[1,{"b":"c"}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		lines := 1 + bytes.Count(b, []byte("\n"))
		for path, at := range JSONPositions(b) {
			if at.Line < 1 || at.Line > lines || at.Column < 1 {
				t.Errorf("%s at %v of %d lines", path, at, lines)
			}
		}
	})
}

func TestOrderOfFindings(t *testing.T) {
	var l Findings
	l.Add(Warning, "b", Position{2, 1}, "later line")
	l.Add(Error, "c", Position{1, 9}, "later column")
	l.Add(Error, "b", Position{1, 2}, "later code")
	l.Add(Error, "a", Position{1, 2}, "%s", "first")
	l.Sort()
	var got []Code
	for _, f := range l {
		got = append(got, f.Code)
	}
	if !slices.Equal(got, []Code{"a", "b", "c", "b"}) || l.Count(Error) != 3 || l.Count(Warning) != 1 {
		t.Errorf("findings %v", l)
	}
	if want := "1:2: error: a: first"; l[0].String() != want {
		t.Errorf("%q, want %q", l[0], want)
	}
}
