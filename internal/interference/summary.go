package interference

import (
	"cmp"
	"math"
	"slices"
	"time"

	"tamarackpin.example/internal/routes"
)

// summaryInterval is the time between two summaries.
const summaryInterval = time.Minute

// maxSummaryRows bounds the rows of a summary.
const maxSummaryRows = 16

// Summary is what was observed in about a minute.
type Summary struct {
	Observations int
	Rows         int // rows with observations
	Pairs        int // pairs known, at the end
	Confident    int // of these, those that are used
	Busiest      []RowSummary
}

// RowSummary has the runs of a row by how many tasks ran beside them on average: none, one, or more.
// Means are geometric, of the time relative to the estimate for the row and the kind of worker.
type RowSummary struct {
	Row        routes.RowName `json:"row"`
	Alone      int            `json:"alone"`
	BesideOne  int            `json:"beside_one"`
	BesideMore int            `json:"beside_more"`
	MeanAlone  float64        `json:"mean_alone,omitempty"` // 0 stands for no runs
	MeanOne    float64        `json:"mean_one,omitempty"`
	MeanMore   float64        `json:"mean_more,omitempty"`
}

// Limits between alone, beside one and beside more, in tasks beside on average.
const (
	aloneLimit = 0.1
	oneLimit   = 1.5
)

// add counts a run. Until the summary is taken, the means are sums of logarithms.
func (s *RowSummary) add(beside, ratio float64) {
	switch {
	case beside < aloneLimit:
		s.Alone++
		s.MeanAlone += ratio
	case beside < oneLimit:
		s.BesideOne++
		s.MeanOne += ratio
	default:
		s.BesideMore++
		s.MeanMore += ratio
	}
}

func (s *RowSummary) count() int { return s.Alone + s.BesideOne + s.BesideMore }

// geometricMean returns the mean of n logarithms, as a factor with three decimals.
func geometricMean(sum float64, n int) float64 {
	if n == 0 {
		return 0
	}
	return math.Round(1000*math.Exp(sum/float64(n))) / 1000
}

// TakeSummary returns what was observed since the last summary, once a minute, and false
// before and if nothing was observed.
func (l *Learner) TakeSummary(now time.Time) (Summary, bool) {
	if l.rows == nil || now.Sub(l.summarizeAt) < summaryInterval {
		return Summary{}, false
	}
	l.summarizeAt = now
	out := Summary{Pairs: l.pairs, Confident: l.confident}
	for name, s := range l.rows {
		row := s.summary
		s.summary = RowSummary{}
		n := row.count()
		if n == 0 {
			continue
		}
		out.Observations += n
		out.Rows++
		row.Row = name
		row.MeanAlone, row.MeanOne, row.MeanMore = geometricMean(row.MeanAlone, row.Alone), geometricMean(row.MeanOne, row.BesideOne), geometricMean(row.MeanMore, row.BesideMore)
		out.Busiest = append(out.Busiest, row)
	}
	slices.SortFunc(out.Busiest, func(a, b RowSummary) int {
		return cmp.Or(cmp.Compare(b.count(), a.count()), cmp.Compare(a.Row, b.Row))
	})
	out.Busiest = out.Busiest[:min(len(out.Busiest), maxSummaryRows)]
	return out, out.Observations > 0
}
