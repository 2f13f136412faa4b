package scale

import (
	"errors"
	"math"
)

// Curve is a + b n + c n² through measured points, by least squares; c is 0 where it was not asked for.
type Curve struct {
	A float64 `json:"a"`
	B float64 `json:"b"`
	C float64 `json:"c,omitempty"`
	// Error is the root of the mean square of what the points lie off it. Of a curve through as many points as it has parts it is 0,
	// and says nothing: Exact.
	Error float64 `json:"error"`
	Exact bool    `json:"exact,omitempty"`
}

// At is its value.
func (c Curve) At(n float64) float64 { return c.A + c.B*n + c.C*n*n }

var errTooFewSizes = errors.New("too few different sizes for a curve")

// fitUnit is by which sizes are divided while they are fitted, so that their squares don't lose digits.
const fitUnit = 100

// Fit lays a curve of a degree, 1 or 2, through points.
func Fit(n, value []float64, degree int) (Curve, error) {
	size := degree + 1
	different := map[float64]bool{}
	for _, x := range n {
		different[x] = true
	}
	if len(different) < size || len(n) != len(value) {
		return Curve{}, errTooFewSizes
	}
	// The normal equations, and on their right side the values.
	rows := make([][]float64, size)
	for i := range rows {
		rows[i] = make([]float64, size+1)
		for k, x := range n {
			for j := range size {
				rows[i][j] += math.Pow(x/fitUnit, float64(i+j))
			}
			rows[i][size] += math.Pow(x/fitUnit, float64(i)) * value[k]
		}
	}
	for i := range rows { // they are positive definite: no row has to be swapped
		for k := i + 1; k < size; k++ {
			by := rows[k][i] / rows[i][i]
			for j := i; j <= size; j++ {
				rows[k][j] -= by * rows[i][j]
			}
		}
	}
	var parts [3]float64
	for i := size - 1; i >= 0; i-- {
		sum := rows[i][size]
		for j := i + 1; j < size; j++ {
			sum -= rows[i][j] * parts[j]
		}
		parts[i] = sum / rows[i][i]
	}
	c := Curve{Exact: len(different) == size, A: parts[0], B: parts[1] / fitUnit, C: parts[2] / fitUnit / fitUnit}
	for k, x := range n {
		c.Error += (c.At(x) - value[k]) * (c.At(x) - value[k])
	}
	c.Error = math.Sqrt(c.Error / float64(len(n)))
	return c, nil
}

// fitted are the figures whose growth with the number of sidecars is told.
var fitted = []string{"leader_cpu_mean", "leader_out_mean", "member_cpu_mean", "member_bytes_mean", "in_force_p99"}

// Growth is how one figure grows with the number of sidecars, and what that predicted of a size that was not in the fit.
type Growth struct {
	Key       string    `json:"key"`
	What      string    `json:"what"`
	Unit      string    `json:"unit,omitempty"`
	Sizes     []float64 `json:"sizes"`
	Values    []float64 `json:"values"`
	Line      Curve     `json:"line"`
	Square    Curve     `json:"square"`
	At        float64   `json:"at,omitempty"`
	ByLine    float64   `json:"by_line,omitempty"`
	BySquare  float64   `json:"by_square,omitempty"`
	Measured  float64   `json:"measured,omitempty"`
	OffLine   float64   `json:"line_off_percent,omitempty"` // of what was measured
	OffSquare float64   `json:"square_off_percent,omitempty"`
}

// Grow fits each figure through runs at several sizes. of is the run at the predicted size; nil for none.
func Grow(runs []*Record, of *Record) ([]Growth, error) {
	var out []Growth
	for _, key := range fitted {
		var g Growth
		for _, r := range runs {
			f := r.Figure(key)
			if f.Not {
				continue
			}
			g.Key, g.What, g.Unit = f.Key, f.What, f.Unit
			g.Sizes, g.Values = append(g.Sizes, float64(r.Size)), append(g.Values, f.Value)
		}
		if len(g.Sizes) == 0 {
			continue // the scenario does not have it: without versions, say
		}
		var err error
		if g.Line, err = Fit(g.Sizes, g.Values, 1); err != nil {
			return nil, err
		}
		if g.Square, err = Fit(g.Sizes, g.Values, 2); err != nil {
			return nil, err
		}
		if of != nil {
			if f := of.Figure(key); !f.Not && f.Value != 0 {
				g.At, g.Measured = float64(of.Size), f.Value
				g.ByLine, g.BySquare = g.Line.At(g.At), g.Square.At(g.At)
				g.OffLine, g.OffSquare = 100*(g.ByLine/f.Value-1), 100*(g.BySquare/f.Value-1)
			}
		}
		out = append(out, g)
	}
	return out, nil
}
