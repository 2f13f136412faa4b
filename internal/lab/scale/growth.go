package scale

import "heathgap/internal/lab/fit"

// fitted are the figures whose growth with the number of sidecars is told.
var fitted = []string{"leader_cpu_mean", "leader_out_mean", "member_cpu_mean", "member_bytes_mean", "in_force_p99"}

// Growth is how one figure grows with the number of sidecars, and what that predicted of a size that was not in the fit.
type Growth struct {
	Key       string    `json:"key"`
	What      string    `json:"what"`
	Unit      string    `json:"unit,omitempty"`
	Sizes     []float64 `json:"sizes"`
	Values    []float64 `json:"values"`
	Line      fit.Curve `json:"line"`
	Square    fit.Curve `json:"square"`
	At        float64   `json:"at,omitempty"`
	ByLine    float64   `json:"by_line,omitempty"`
	BySquare  float64   `json:"by_square,omitempty"`
	Measured  float64   `json:"measured,omitempty"`
	OffLine   float64   `json:"line_off_percent,omitempty"` // of what was measured
	OffSquare float64   `json:"square_off_percent,omitempty"`
}

// FitGrowth fits each figure through runs at several sizes. of is the run at the predicted size; nil for none.
func FitGrowth(runs []*Record, of *Record) ([]Growth, error) {
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
		if g.Line, err = fit.Linear(g.Sizes, g.Values); err != nil {
			return nil, err
		}
		if g.Square, err = fit.Quadratic(g.Sizes, g.Values); err != nil {
			return nil, err
		}
		if of != nil {
			if f := of.Figure(key); !f.Not && f.Value != 0 {
				g.At, g.Measured = float64(of.Size), f.Value
				g.ByLine, g.BySquare = g.Line.Predict(g.At), g.Square.Predict(g.At)
				g.OffLine, g.OffSquare = 100*(g.ByLine/f.Value-1), 100*(g.BySquare/f.Value-1)
			}
		}
		out = append(out, g)
	}
	return out, nil
}
