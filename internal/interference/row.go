package interference

import (
	"math"
	"slices"
	"time"

	"tamarackpin.example/internal/routes"
)

// rowState is what is known of one row as the slowed one. Effects are logarithms.
type rowState struct {
	seenAt    time.Time
	decayedAt time.Time
	first     []float64 // ratios of the first runs, until there are warmUp
	origin    float64   // their median
	moments   moments
	weight    float64   // of the runs in moments
	squares   float64   // weighted sum of the squared residuals
	effects   []float64 // as of the last solution; the first is the baseline, less origin
	pending   int       // runs since the last solution
	partners  []partner // by dimension of moments, less 1
	summary   RowSummary
	alone     [maxSources]source // runs that nothing ran beside at first
}

// partner is a row that runs beside.
type partner struct {
	row          routes.RowName
	seenAt       time.Time
	confirmedAt  time.Time // when a solution last found it confident
	runs         float64   // weight of the runs beside
	observations uint64
	effect       float64
	deviation    float64 // standard error of effect
	confident    bool
	sources      [maxSources]source
}

// source is what one worker of the pair's runs, or one of every 16 if there are more, says of it.
type source struct {
	runs     float32 // weight of its runs beside
	exposure float32 // weighted by the share beside
	gain     float32 // of the same runs, the time that is not explained without this pair
}

// partner returns the index of a row beside, or -1.
func (s *rowState) partner(row routes.RowName) int {
	return slices.IndexFunc(s.partners, func(p partner) bool { return p.row == row })
}

// decay reduces the weight of earlier runs, in steps of a second.
func (s *rowState) decay(now time.Time) {
	age := now.Sub(s.decayedAt)
	if age < time.Second {
		return
	}
	s.decayedAt = now
	by := math.Exp2(-float64(age) / float64(halfLife))
	s.moments.scale(by)
	s.weight *= by
	s.squares *= by
	for i := range s.alone {
		s.alone[i].decay(float32(by))
	}
	for i := range s.partners {
		p := &s.partners[i]
		p.runs *= by
		for k := range p.sources {
			p.sources[k].decay(float32(by))
		}
	}
}

// drop removes a partner. What its runs say of the others stays.
func (s *rowState) drop(i int) {
	s.moments.remove(i + 1)
	s.partners = slices.Delete(s.partners, i, i+1)
	if i+1 < len(s.effects) {
		s.effects = slices.Delete(s.effects, i+1, i+2)
	}
}

// predict returns the expected ratio for exposures x, less that of the worker.
func (s *rowState) predict(x []float64) float64 {
	sum := s.origin
	for i, e := range s.effects {
		sum += e * x[i]
	}
	return sum
}

// baseline returns the expected ratio of a run alone.
func (s *rowState) baseline() float64 { return s.origin + s.effects[0] }

// acceptance returns the weight of a run from a source beside the partners with indexes at: less the
// more runs are known, and 0 if the source has contributed over a quarter of them.
func (s *rowState) acceptance(from int, at []int) float64 {
	weight := 1.0
	for _, i := range at {
		p := &s.partners[i]
		weight = min(weight, max(0, 1-p.runs/maxRuns))
		if float64(p.sources[from].runs) > max(minRuns/minSources, p.runs/4) {
			return 0
		}
	}
	return weight
}

// add learns from a run. ratio is without the offset of its worker.
func (s *rowState) add(weight, ratio float64, from int, x, z []float64) {
	residual := clamp(ratio-s.predict(x), maxResidual)
	s.moments.add(weight, s.predict(x)+residual-s.origin, x, z)
	s.weight += weight
	s.squares += weight * residual * residual
	s.pending++
	if !slices.ContainsFunc(z[1:], func(a float64) bool { return a > 0 }) {
		s.alone[from].runs += float32(weight)
		s.alone[from].gain += float32(weight * residual)
	}
	for i := range s.partners {
		if z[i+1] > 0 {
			s.partners[i].add(weight, residual, from, x[i+1], z[i+1])
		}
	}
}

// solve computes the effects anew and returns the pairs whose confidence changed.
func (s *rowState) solve(now time.Time, row routes.RowName) (changes []Change) {
	s.pending = 0
	variance := max(minDeviation*minDeviation, s.squares/max(1, s.weight))
	effects, deviations, ok := s.moments.solve(variance)
	if !ok {
		effects = make([]float64, s.moments.n)
	}
	s.effects = effects
	for i := range s.partners {
		p := &s.partners[i]
		p.effect, p.deviation = 0, math.Inf(1)
		if ok {
			p.effect, p.deviation = clamp(effects[i+1], maxEffect), deviations[i+1]
		}
		before := p.confident
		p.confident = p.isConfident(s)
		if p.confident {
			p.confirmedAt = now
		}
		if p.confident != before {
			changes = append(changes, Change{p.pair(row), !p.confident})
		}
	}
	return changes
}

// maxEffect limits the logarithm of one factor.
const maxEffect = 2

// isConfident reports whether the slowdown by p may be used. s is the state of the slowed row.
func (p *partner) isConfident(s *rowState) bool {
	score, slowdown, runs, agreement := float64(minScore), minSlowdown, float64(minRuns), minAgreement
	if p.confident {
		score, slowdown, runs, agreement = keepScore, keepSlowdown, minRuns/2, keepAgreement
	}
	if p.runs < runs || s.weight-p.runs < runs || p.effect <= math.Log(slowdown) || p.effect <= score*p.deviation {
		return false
	}
	known, agreeing := p.count(s)
	return known >= minSources && float64(agreeing) >= agreement*float64(known)
}

// count returns the number of sources, and the number of those whose runs beside p, relative to their own
// runs alone, show a third of the effect at least.
func (p *partner) count(s *rowState) (known, agreeing int) {
	for i, from := range p.sources {
		if from.runs < minSourceRuns {
			continue
		}
		known++
		if from.gain-s.alone[i].mean()*from.runs > float32(p.effect/3)*from.exposure {
			agreeing++
		}
	}
	return known, agreeing
}

// mean returns the mean gain of a run, or 0 if there is none.
func (s source) mean() float32 {
	if s.runs < minSourceRuns {
		return 0
	}
	return s.gain / s.runs
}

// add counts a run beside p. residual is what the effects known do not explain.
func (p *partner) add(weight, residual float64, from int, share, early float64) {
	runs := weight * min(early, 1)
	p.observations++
	p.runs += runs
	s := &p.sources[from]
	s.runs += float32(runs)
	s.exposure += float32(runs * share)
	s.gain += float32(runs * (residual + p.effect*share))
}

func (s *source) decay(by float32) {
	s.runs *= by
	s.exposure *= by
	s.gain *= by
}

// pair returns what is known of p beside row.
func (p *partner) pair(row routes.RowName) Pair {
	workers := 0
	for _, s := range p.sources {
		if s.runs >= minSourceRuns {
			workers++
		}
	}
	out := Pair{
		Row: row, Beside: p.row, Factor: round(math.Exp(p.effect)), Confident: p.confident,
		Observations: p.observations, Workers: workers, Low: round(math.Exp(-maxEffect)), High: round(math.Exp(maxEffect)),
	}
	if p.deviation > 0 && !math.IsInf(p.deviation, 1) {
		out.Confidence = round(0.5 * math.Erfc(-p.effect/p.deviation/math.Sqrt2))
		out.Low, out.High = round(math.Exp(clamp(p.effect-3*p.deviation, maxEffect))), round(math.Exp(clamp(p.effect+3*p.deviation, maxEffect)))
	}
	return out
}

// round rounds to four decimals, for logs and replies.
func round(x float64) float64 { return math.Round(x*1e4) / 1e4 }
