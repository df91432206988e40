// Package report counts what ran, waited and was refused on one entry VM and
// merges the counts of many into one report. A [Recorder] counts; a [Part] is
// one entry VM's counts as they travel; a [Report] is the sum.
package report

import (
	"encoding/json"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// Range and precision of a Histogram. Two digits keep a histogram near 20 KB.
const (
	smallest = 1          // one unit
	largest  = 1000000000 // units
	digits   = 2
)

// Histogram counts whole numbers of a unit that its owner names. The zero
// Histogram is empty. It is not safe for concurrent use.
type Histogram struct {
	h *hdrhistogram.Histogram
}

// Record counts v; values beyond the range count as its end.
func (h *Histogram) Record(v int64) {
	if h.h == nil {
		h.h = hdrhistogram.New(smallest, largest, digits)
	}
	_ = h.h.RecordValue(min(max(v, smallest), largest)) // cannot fail within the range
}

// RecordDuration counts d in microseconds.
func (h *Histogram) RecordDuration(d time.Duration) { h.Record(d.Microseconds()) }

// Merge adds the counts of o.
func (h *Histogram) Merge(o Histogram) {
	if o.h == nil {
		return
	}
	if h.h == nil {
		h.h = hdrhistogram.New(smallest, largest, digits)
	}
	h.h.Merge(o.h)
}

// Count returns the number of recorded values.
func (h Histogram) Count() int64 {
	if h.h == nil {
		return 0
	}
	return h.h.TotalCount()
}

// Quantile returns the value at percentile p, from 0 to 100.
func (h Histogram) Quantile(p float64) int64 {
	if h.h == nil {
		return 0
	}
	return h.h.ValueAtQuantile(p)
}

// histogramJSON carries the readable figures beside the counts, so that a
// person and a merge read the same document.
type histogramJSON struct {
	Count  int64  `json:"count"`
	P50    int64  `json:"p50"`
	P99    int64  `json:"p99"`
	Max    int64  `json:"max"`
	Counts []byte `json:"counts,omitempty"` // HdrHistogram V2, compressed
}

// MarshalJSON writes the figures and the counts.
func (h Histogram) MarshalJSON() ([]byte, error) {
	if h.Count() == 0 {
		return []byte(`{"count":0,"p50":0,"p99":0,"max":0}`), nil
	}
	counts, err := h.h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return nil, errors.Wrap(err, "encoding a histogram")
	}
	return json.Marshal(histogramJSON{h.Count(), h.Quantile(50), h.Quantile(99), h.h.Max(), counts})
}

// UnmarshalJSON takes what MarshalJSON writes.
func (h *Histogram) UnmarshalJSON(b []byte) error {
	var j histogramJSON
	if err := json.Unmarshal(b, &j); err != nil {
		return err
	}
	h.h = nil
	if len(j.Counts) == 0 {
		return nil
	}
	decoded, err := hdrhistogram.Decode(j.Counts)
	if err != nil {
		return errors.Wrap(err, "decoding a histogram")
	}
	if decoded.LowestTrackableValue() != smallest || decoded.HighestTrackableValue() != largest || decoded.SignificantFigures() != digits {
		return errors.New("a histogram of another range or precision")
	}
	h.h = decoded
	return nil
}
