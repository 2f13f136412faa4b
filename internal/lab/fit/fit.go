// Package fit draws a curve through measured points by least squares, and tells how far off it is. It is pure.
//
//	c, err := fit.Linear(x, y)           // y = a + b x
//	c, err := fit.Quadratic(x, y)        // y = a + b x + c x²
//	c.Predict(580)                       // y at an x that was not in the fit
//	c.Residual                           // the residual standard error, in y's unit
//	c.Miss(580, measured)                // how far a run there is off the prediction, as a part of the prediction
//	fmt.Print(c)                         // "1.2 + 0.034 x, residual 0.05 over 4 points"
//
// A slope counts once it has predicted a size that was not in the fit: leave the largest size out, and compare.
package fit

import (
	"fmt"
	"math"
	"strings"
)

// Curve is a polynomial drawn through points.
type Curve struct {
	Coefficients []float64 `json:"coefficients"` // of x⁰, x¹, ...
	// Errors are the standard errors of the coefficients, one each. With as many points as coefficients nothing is
	// left to tell an error by, and these and Residual are 0: see Freedom.
	Errors   []float64 `json:"errors"`
	Residual float64   `json:"residual"` // residual standard error, in y's unit
	R2       float64   `json:"r2"`       // the part of y's variance that the curve explains; 1 where y does not vary
	Points   int       `json:"points"`
}

// Linear fits y = a + b x. It needs two different x.
func Linear(x, y []float64) (Curve, error) { return polynomial(x, y, 1) }

// Quadratic fits y = a + b x + c x². It needs three different x.
func Quadratic(x, y []float64) (Curve, error) { return polynomial(x, y, 2) }

// DegreesOfFreedom is how many points there are beyond those that the curve must go through: below 1 its error is unknown.
func (c Curve) DegreesOfFreedom() int { return c.Points - len(c.Coefficients) }

// Predict is the curve's y at an x.
func (c Curve) Predict(x float64) float64 {
	y := 0.0
	for i := len(c.Coefficients) - 1; i >= 0; i-- {
		y = y*x + c.Coefficients[i]
	}
	return y
}

// RelativeError is how far a measured y is off the prediction, as a part of the prediction: 0.1 is a tenth more than predicted.
func (c Curve) RelativeError(x, measured float64) float64 {
	predicted := c.Predict(x)
	if predicted == measured {
		return 0
	}
	return (measured - predicted) / math.Abs(predicted)
}

// String is the curve, its residual error and how many points it was drawn through.
func (c Curve) String() string {
	var b strings.Builder
	for power, k := range c.Coefficients {
		switch power {
		case 0:
			fmt.Fprintf(&b, "%.4g", k)
			continue
		case 1:
			fmt.Fprintf(&b, " %+.4g x", k)
		default:
			fmt.Fprintf(&b, " %+.4g x^%d", k, power)
		}
		if c.DegreesOfFreedom() > 0 {
			fmt.Fprintf(&b, " (±%.2g)", c.Errors[power])
		}
	}
	if c.DegreesOfFreedom() > 0 {
		fmt.Fprintf(&b, ", residual %.3g over %d points", c.Residual, c.Points)
	} else {
		fmt.Fprintf(&b, ", through all of %d points: its error is unknown", c.Points)
	}
	return b.String()
}

// polynomial fits one of a degree. x is brought to -1 to 1 first, so that powers of large x lose no digits.
func polynomial(x, y []float64, degree int) (Curve, error) {
	if len(x) != len(y) {
		return Curve{}, fmt.Errorf("%d x and %d y; allowed: as many of each", len(x), len(y))
	}
	different := map[float64]bool{}
	for i := range x {
		for _, v := range [2]float64{x[i], y[i]} {
			if math.IsNaN(v) || math.IsInf(v, 0) {
				return Curve{}, fmt.Errorf("point %d: (%v, %v); allowed: finite numbers", i, x[i], y[i])
			}
		}
		different[x[i]] = true
	}
	if len(different) <= degree {
		return Curve{}, fmt.Errorf("%d different x; allowed: %d or more for degree %d", len(different), degree+1, degree)
	}
	scale := 0.0
	for _, v := range x {
		scale = max(scale, math.Abs(v))
	}
	n := degree + 1
	normal := make([][]float64, n) // the normal equations, with their inverse beside them
	right := make([]float64, n)
	for i := range normal {
		normal[i] = make([]float64, 2*n)
		normal[i][n+i] = 1
	}
	for k := range x {
		u := x[k] / scale
		for i := range n {
			for j := range n {
				normal[i][j] += math.Pow(u, float64(i+j))
			}
			right[i] += math.Pow(u, float64(i)) * y[k]
		}
	}
	invert(normal)
	c := Curve{Coefficients: make([]float64, n), Errors: make([]float64, n), Points: len(x)}
	for i := range n {
		for j := range n {
			c.Coefficients[i] += normal[i][n+j] * right[j]
		}
		c.Coefficients[i] /= math.Pow(scale, float64(i))
	}
	c.computeResidual(x, y)
	for i := range n {
		c.Errors[i] = c.Residual * math.Sqrt(max(0, normal[i][n+i])) / math.Pow(scale, float64(i))
	}
	return c, nil
}

// computeResidual takes the residual error and what is explained.
func (c *Curve) computeResidual(x, y []float64) {
	mean, off, spread := 0.0, 0.0, 0.0
	for _, v := range y {
		mean += v / float64(len(y))
	}
	for i := range x {
		d := y[i] - c.Predict(x[i])
		off += d * d
		spread += (y[i] - mean) * (y[i] - mean)
	}
	if free := c.DegreesOfFreedom(); free > 0 {
		c.Residual = math.Sqrt(off / float64(free))
	}
	c.R2 = 1
	if spread > 0 {
		c.R2 = 1 - off/spread
	}
}

// invert turns (A | 1) into (1 | inverse of A), by rows with the largest pivot first. A is symmetric and positive:
// there are enough different x.
func invert(rows [][]float64) {
	for i := range rows {
		best := i
		for k := i + 1; k < len(rows); k++ {
			if math.Abs(rows[k][i]) > math.Abs(rows[best][i]) {
				best = k
			}
		}
		rows[i], rows[best] = rows[best], rows[i]
		pivot := rows[i][i]
		for j := range rows[i] {
			rows[i][j] /= pivot
		}
		for k := range rows {
			if k == i {
				continue
			}
			factor := rows[k][i]
			for j := range rows[k] {
				rows[k][j] -= factor * rows[i][j]
			}
		}
	}
}
