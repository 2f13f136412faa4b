package scale

import (
	"math"
	"strings"
	"testing"

	"heathgap/internal/lab/fit"
)

// Guards against curves with a wrong residual or degrees of freedom, and against a fit through too few sizes.
func TestFit(t *testing.T) {
	n := []float64{60, 120, 240, 360}
	valuesOf := func(f func(x float64) float64) (out []float64) {
		for _, x := range n {
			out = append(out, f(x))
		}
		return out
	}
	near := func(a, b float64) bool { return math.Abs(a-b) <= 1e-6*max(1, math.Abs(b)) }
	line := valuesOf(func(x float64) float64 { return 3 + 0.25*x })
	c, err := fit.Linear(n, line)
	if err != nil || !near(c.Coefficients[0], 3) || !near(c.Coefficients[1], 0.25) || !near(c.Residual, 0) {
		t.Errorf("a linear fit of linear points: %+v %v", c, err)
	}
	square := valuesOf(func(x float64) float64 { return 2 + 0.1*x + 0.003*x*x })
	if c, err = fit.Quadratic(n, square); err != nil || !near(c.Coefficients[0], 2) || !near(c.Coefficients[1], 0.1) || !near(c.Coefficients[2], 0.003) ||
		!near(c.Predict(580), 2+58+0.003*580*580) {
		t.Errorf("a quadratic fit of quadratic points: %+v %v", c, err)
	}
	if c.DegreesOfFreedom() != 1 {
		t.Error("four points and three coefficients: want one degree of freedom")
	}
	if c, err = fit.Quadratic(n[:3], square[:3]); err != nil || c.DegreesOfFreedom() != 0 {
		t.Errorf("three points and three coefficients: want no degree of freedom: %+v %v", c, err)
	}
	// A line through quadratic points has a large residual.
	if c, err = fit.Linear(n, square); err != nil || c.Residual < 5 || c.Predict(580) > 0.8*(2+58+0.003*580*580) {
		t.Errorf("a linear fit of quadratic points: %+v, at 580 %v %v", c, c.Predict(580), err)
	}
	// The points are off by 1, alternately up and down. Their sum of squares is 4 at most, with two degrees of freedom.
	off := []float64{line[0] + 1, line[1] - 1, line[2] - 1, line[3] + 1}
	if c, err = fit.Linear(n, off); err != nil || c.Residual < 0.5*math.Sqrt2 || c.Residual > math.Sqrt2 {
		t.Errorf("points off the line: %+v %v", c, err)
	}
	if _, err = fit.Quadratic([]float64{60, 60, 120}, []float64{1, 2, 3}); err == nil {
		t.Error("a quadratic fit through two sizes is not rejected")
	}
}

// Guards against wrong predictions, and against a fit of a measurement that was not made.
func TestFitGrowth(t *testing.T) {
	at := func(size int, cpu float64) *Record {
		return &Record{Size: size, Measurements: []Measurement{{Key: "leader_cpu_mean", Description: "the leader", Value: cpu}, {Key: "in_force_p99", NotMeasured: true}}}
	}
	grown, err := FitGrowth([]*Record{at(60, 7), at(120, 13), at(240, 25)}, at(580, 118))
	if err != nil || len(grown) != 1 {
		t.Fatalf("%+v %v", grown, err)
	}
	g := grown[0]
	if math.Abs(g.LinearPrediction-59) > 1e-6 || math.Abs(g.LinearErrorPercent+50) > 1e-6 || g.Measured != 118 || g.PredictedSize != 580 {
		t.Errorf("%+v", g)
	}
	var text strings.Builder
	if WriteGrowth(&text, grown); !strings.Contains(text.String(), "predicted at 580: 59") || !strings.Contains(text.String(), "(-50.0 %)") ||
		!strings.Contains(text.String(), "measured 118") || !strings.Contains(text.String(), "through all of 3 points") {
		t.Error(text.String())
	}
	if _, err := FitGrowth([]*Record{at(60, 7), at(120, 13)}, nil); err == nil {
		t.Error("a quadratic fit through two sizes is not rejected")
	}
}
