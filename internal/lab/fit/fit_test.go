package fit

import (
	"math"
	"strings"
	"testing"
)

func near(a, b float64) bool { return math.Abs(a-b) <= 1e-6*max(1, math.Abs(a), math.Abs(b)) }

// Guards against wrong coefficients and residuals: the expected curves are known, and one residual is worked out by
// hand.
func TestFit(t *testing.T) {
	tests := []struct {
		name         string
		fit          func(x, y []float64) (Curve, error)
		x, y         []float64
		coefficients []float64
		residual     float64
		at, want     float64
	}{
		{"a line", Linear, []float64{10, 60, 145, 290}, []float64{25, 125, 295, 585}, []float64{5, 2}, 0, 580, 1165},
		{"no slope", Linear, []float64{1, 2, 3}, []float64{7, 7, 7}, []float64{7, 0}, 0, 100, 7},
		// The mean of y is 2 and the slope 0.5. The points are off by 0.5, -1 and 0.5: 1.5 in squares, one degree of
		// freedom.
		{"off the line", Linear, []float64{0, 1, 2}, []float64{2, 1, 3}, []float64{1.5, 0.5}, math.Sqrt(1.5), 4, 3.5},
		{"two points", Linear, []float64{1, 2}, []float64{1, 3}, []float64{-1, 2}, 0, 3, 5},
		{"quadratic points", Quadratic, []float64{10, 60, 145, 290}, []float64{103, 3603, 21028, 84103}, []float64{3, 0, 1}, 0, 580, 336403},
		{"linear points, quadratic fit", Quadratic, []float64{1, 2, 3, 4}, []float64{3, 5, 7, 9}, []float64{1, 2, 0}, 0, 10, 21},
		{"large x", Quadratic, []float64{1e6, 2e6, 3e6, 4e6}, []float64{1e12, 4e12, 9e12, 16e12}, []float64{0, 0, 1}, 0, 5e6, 25e12},
	}
	for _, c := range tests {
		got, err := c.fit(c.x, c.y)
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		size := 0.0 // magnitude of the values, for the tolerance of the comparison
		for _, y := range c.y {
			size = max(size, math.Abs(y))
		}
		for i, want := range c.coefficients {
			at := math.Pow(c.x[len(c.x)-1], float64(i))
			if math.Abs(got.Coefficients[i]-want)*at > 1e-9*size {
				t.Errorf("%s: coefficient %d is %v; want %v", c.name, i, got.Coefficients[i], want)
			}
		}
		if math.Abs(got.Residual-c.residual) > 1e-9*size {
			t.Errorf("%s: residual %v; want %v", c.name, got.Residual, c.residual)
		}
		if !near(got.Predict(c.at), c.want) {
			t.Errorf("%s: at %v %v; want %v", c.name, c.at, got.Predict(c.at), c.want)
		}
	}
}

// Guards against wrong standard errors of a linear fit. The formulas are those of textbooks: s / sqrt(Sxx) for the
// slope, and s sqrt(1/n + mean² / Sxx) for the intercept.
func TestStandardErrors(t *testing.T) {
	x, y := []float64{1, 2, 3, 4, 5}, []float64{2.2, 3.9, 6.1, 7.8, 10.3}
	c, err := Linear(x, y)
	if err != nil {
		t.Fatal(err)
	}
	const sxx, mean, n = 10.0, 3.0, 5.0
	if want := c.Residual / math.Sqrt(sxx); c.Residual == 0 || !near(c.Errors[1], want) {
		t.Errorf("the slope's error is %v; want %v", c.Errors[1], want)
	}
	if want := c.Residual * math.Sqrt(1/n+mean*mean/sxx); !near(c.Errors[0], want) {
		t.Errorf("the intercept's error is %v; want %v", c.Errors[0], want)
	}
	if c.R2 < 0.99 || c.R2 >= 1 {
		t.Errorf("R2 %v; want 0.99 or more, and below 1", c.R2)
	}
	if got := c.RelativeError(10, 1.1*c.Predict(10)); !near(got, 0.1) {
		t.Errorf("a tenth more than predicted: relative error %v; want 0.1", got)
	}
}

// Guards against a fit through points that do not determine the curve.
func TestFitRejects(t *testing.T) {
	tests := []struct {
		name string
		fit  func(x, y []float64) (Curve, error)
		x, y []float64
		want string
	}{
		{"unpaired", Linear, []float64{1, 2}, []float64{1}, "2 x and 1 y"},
		{"nothing", Linear, nil, nil, "0 different x"},
		{"one x", Linear, []float64{5, 5, 5}, []float64{1, 2, 3}, "1 different x"},
		{"two x for a quadratic fit", Quadratic, []float64{1, 2, 2}, []float64{1, 2, 3}, "2 different x"},
		{"not a number", Linear, []float64{1, 2}, []float64{1, math.NaN()}, "finite"},
		{"infinite", Linear, []float64{1, math.Inf(1)}, []float64{1, 2}, "finite"},
	}
	for _, c := range tests {
		if _, err := c.fit(c.x, c.y); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v; want an error with %q", c.name, err, c.want)
		}
	}
}

// Guards against a curve that is printed as if it were exact although its error is unknown.
func TestStringWithUnknownError(t *testing.T) {
	for _, c := range []struct {
		x    []float64
		says string
	}{{[]float64{1, 2}, "unknown"}, {[]float64{1, 2, 3}, "residual"}} {
		curve, err := Linear(c.x, c.x)
		if err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(curve.String(), c.says) {
			t.Errorf("%v: %q does not say %q", c.x, curve, c.says)
		}
	}
}
