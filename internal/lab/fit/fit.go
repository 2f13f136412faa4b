// Package fit fits a curve to measured points by least squares, and estimates its error. It is pure.
//
//	c, err := fit.Linear(x, y)           // y = a + b x
//	c, err := fit.Quadratic(x, y)        // y = a + b x + c x²
//	c.Predict(580)                       // y at an x that was not in the fit
//	c.Residual                           // the residual standard error, in y's unit
//	c.RelativeError(580, measured)       // how far a measurement there is from the prediction, as a fraction of it
//	fmt.Print(c)                         // "1.2 + 0.034 x, residual 0.05 over 4 points"
//
// Trust a slope only if it has predicted a size that was not in the fit: leave out the largest size, and compare.
package fit

import (
	"fmt"
	"math"
	"strings"
)

// Curve is a polynomial fitted to points.
type Curve struct {
	Coefficients []float64 `json:"coefficients"` // of x⁰, x¹, ...
	// Errors are the standard errors of the coefficients, one each. If there are only as many points as coefficients,
	// the error cannot be estimated, and Errors and Residual are 0: see DegreesOfFreedom.
	Errors   []float64 `json:"errors"`
	Residual float64   `json:"residual"` // residual standard error, in y's unit
	R2       float64   `json:"r2"`       // the part of y's variance that the curve explains; 1 if y does not vary
	Points   int       `json:"points"`   // number of points that the curve was fitted to
}

// Linear fits y = a + b x. It needs two different values of x.
func Linear(x, y []float64) (Curve, error) { return polynomial(x, y, 1) }

// Quadratic fits y = a + b x + c x². It needs three different values of x.
func Quadratic(x, y []float64) (Curve, error) { return polynomial(x, y, 2) }

// DegreesOfFreedom returns the number of points minus the number of coefficients. Below 1 the curve's error is unknown.
func (c Curve) DegreesOfFreedom() int { return c.Points - len(c.Coefficients) }

// Predict returns the curve's y at x.
func (c Curve) Predict(x float64) float64 {
	y := 0.0
	for i := len(c.Coefficients) - 1; i >= 0; i-- {
		y = y*x + c.Coefficients[i]
	}
	return y
}

// RelativeError returns how far a measured y is from the prediction, as a fraction of the prediction: 0.1 means a tenth
// more than predicted.
func (c Curve) RelativeError(x, measured float64) float64 {
	predicted := c.Predict(x)
	if predicted == measured {
		return 0
	}
	return (measured - predicted) / math.Abs(predicted)
}

// String returns the curve's formula with its errors and the number of points.
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

// polynomial fits a polynomial of the given degree. It scales x to the range from -1 to 1 first, so that powers of
// large x do not lose precision.
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
	normal := make([][]float64, n) // the matrix of the normal equations, with the identity beside it
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

// computeResidual sets Residual and R2.
func (c *Curve) computeResidual(x, y []float64) {
	mean, squaredErrors, variation := 0.0, 0.0, 0.0
	for _, v := range y {
		mean += v / float64(len(y))
	}
	for i := range x {
		d := y[i] - c.Predict(x[i])
		squaredErrors += d * d
		variation += (y[i] - mean) * (y[i] - mean)
	}
	if free := c.DegreesOfFreedom(); free > 0 {
		c.Residual = math.Sqrt(squaredErrors / float64(free))
	}
	c.R2 = 1
	if variation > 0 {
		c.R2 = 1 - squaredErrors/variation
	}
}

// invert turns (A
// 1) into (1
// inverse of A) by Gauss-Jordan elimination with row pivoting. A is symmetric and positive definite, because there are
// enough different values of x.
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
