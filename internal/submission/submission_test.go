package submission

import (
	"strings"
	"testing"

	"tamarackpin.example/internal/party"
)

func FuzzParseID(f *testing.F) {
	f.Add("durban-a.3.1.2.17")
	f.Add("a.0.0.0.18446744073709551615")
	f.Add("a.00.0.0.1")
	f.Fuzz(func(t *testing.T, s string) {
		id, err := ParseID(s)
		if err == nil && id.String() != s {
			t.Errorf("%q is read as %q", s, id)
		}
	})
}

func TestBadIDsAreRefused(t *testing.T) {
	for _, s := range []string{"", "a", "a.1.1.1", "a.1.1.1.1.1", "A.1.1.1.1", "a.-1.1.1.1", "a.01.1.1.1", "a.99999999.1.1.1", "a.1.1.1.99999999999999999999", strings.Repeat("a", 500) + ".1.1.1.1"} {
		if id, err := ParseID(s); err == nil {
			t.Errorf("%q is read as %v", s, id)
		}
	}
}

// TestDigestTellsContentsApart: also where the same bytes are cut elsewhere.
func TestDigestTellsContentsApart(t *testing.T) {
	one := Submission{Key: party.Key{Party: "p", Kind: "k"}, Tasks: []Task{{Body: []byte("12")}, {Body: []byte("3")}}}
	two := Submission{Key: one.Key, Tasks: []Task{{Body: []byte("1")}, {Body: []byte("23")}}}
	three := Submission{Key: party.Key{Party: "pk", Kind: ""}, Tasks: one.Tasks}
	if one.Digest() == two.Digest() || one.Digest() == three.Digest() || one.Digest() != one.Digest() {
		t.Error("digests do not tell contents apart")
	}
}

func TestSequencesOrderByEpochFirst(t *testing.T) {
	if !(Sequence{2, 1}).After(Sequence{1, 9}) || (Sequence{1, 1}).After(Sequence{1, 1}) || !(Sequence{1, 2}).After(Sequence{1, 1}) {
		t.Error("the order is wrong")
	}
}
