package vm

import "testing"

func TestProcessorIsANumberOfCores(t *testing.T) {
	for _, c := range []struct {
		text string
		want Processor
	}{{"0.4", 400}, {"0.144", 144}, {"2", 2000}, {"0.0001", 1}} {
		var p Processor
		if err := p.UnmarshalText([]byte(c.text)); err != nil || p != c.want {
			t.Errorf("%s: %d, %v", c.text, p, err)
		}
	}
	for _, text := range []string{"", "0", "-1", "NaN", "Inf", "1e9", "half"} {
		var p Processor
		if err := p.UnmarshalText([]byte(text)); err == nil {
			t.Errorf("%q is taken for %d", text, p)
		}
	}
}
