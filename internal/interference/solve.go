package interference

import "math"

// moments holds the weighted sums of a regression of y on the exposures x, with
// instrumental variables z. The dimension 0 is the constant.
type moments struct {
	n  int // dimension
	zx []float64
	zz []float64
	zy []float64
}

// grow adds a dimension.
func (m *moments) grow() {
	n := m.n + 1
	zx, zz := make([]float64, n*n), make([]float64, n*n)
	for i := range m.n {
		copy(zx[i*n:], m.zx[i*m.n:(i+1)*m.n])
		copy(zz[i*n:], m.zz[i*m.n:(i+1)*m.n])
	}
	m.n, m.zx, m.zz, m.zy = n, zx, zz, append(m.zy, 0)
}

// remove removes a dimension.
func (m *moments) remove(at int) {
	n := m.n - 1
	zx, zz, zy := make([]float64, 0, n*n), make([]float64, 0, n*n), make([]float64, 0, n)
	for i := range m.n {
		if i == at {
			continue
		}
		zy = append(zy, m.zy[i])
		for k := range m.n {
			if k != at {
				zx, zz = append(zx, m.zx[i*m.n+k]), append(zz, m.zz[i*m.n+k])
			}
		}
	}
	m.n, m.zx, m.zz, m.zy = n, zx, zz, zy
}

// scale multiplies all sums.
func (m *moments) scale(by float64) {
	for _, list := range [...][]float64{m.zx, m.zz, m.zy} {
		for i := range list {
			list[i] *= by
		}
	}
}

// add adds an observation. Most exposures are 0.
func (m *moments) add(weight, y float64, x, z []float64) {
	for i, a := range z {
		if a == 0 {
			continue
		}
		a *= weight
		m.zy[i] += a * y
		for k := range x {
			m.zx[i*m.n+k] += a * x[k]
			m.zz[i*m.n+k] += a * z[k]
		}
	}
}

// solve returns the coefficients and their standard errors for observations with
// a variance. It reports false if the sums determine none.
func (m *moments) solve(variance float64) (coefficients, deviations []float64, ok bool) {
	inverse, ok := m.inverse()
	if !ok {
		return nil, nil, false
	}
	n := m.n
	coefficients, deviations = make([]float64, n), make([]float64, n)
	for i := range n {
		row := inverse[i*n : (i+1)*n]
		sum := 0.0
		for k, a := range row {
			coefficients[i] += a * m.zy[k]
			if a == 0 {
				continue
			}
			for l, b := range row {
				sum += a * m.zz[k*n+l] * b
			}
			if k > 0 {
				sum += a * ridge * a
			}
		}
		deviations[i] = math.Sqrt(variance * sum)
	}
	return coefficients, deviations, true
}

// inverse returns the inverse of zx plus the ridge, by elimination with pivots.
func (m *moments) inverse() (inverse []float64, ok bool) {
	n := m.n
	a, inverse := append([]float64(nil), m.zx...), make([]float64, n*n)
	for i := range n {
		inverse[i*n+i] = 1
		if i > 0 {
			a[i*n+i] += ridge
		}
	}
	for c := range n {
		pivot := c
		for i := c + 1; i < n; i++ {
			if math.Abs(a[i*n+c]) > math.Abs(a[pivot*n+c]) {
				pivot = i
			}
		}
		if math.Abs(a[pivot*n+c]) < 1e-9 {
			return nil, false
		}
		for k := range n {
			a[c*n+k], a[pivot*n+k] = a[pivot*n+k], a[c*n+k]
			inverse[c*n+k], inverse[pivot*n+k] = inverse[pivot*n+k], inverse[c*n+k]
		}
		by := 1 / a[c*n+c]
		for k := range n {
			a[c*n+k] *= by
			inverse[c*n+k] *= by
		}
		for i := range n {
			f := a[i*n+c]
			if i == c || f == 0 {
				continue
			}
			for k := range n {
				a[i*n+k] -= f * a[c*n+k]
				inverse[i*n+k] -= f * inverse[c*n+k]
			}
		}
	}
	return inverse, true
}
