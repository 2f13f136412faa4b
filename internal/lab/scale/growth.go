package scale

import "heathgap/internal/lab/fit"

// growthKeys are the keys of the measurements whose growth with the number of sidecars is reported.
var growthKeys = []string{"leader_cpu_mean", "leader_out_mean", "member_cpu_mean", "member_bytes_mean", "in_force_p99"}

// Growth describes how one measurement grows with the number of sidecars, and what the fitted curves predict for a size that was not part
// of the fit.
type Growth struct {
	Key         string    `json:"key"`
	Description string    `json:"what"`
	Unit        string    `json:"unit,omitempty"`
	Sizes       []float64 `json:"sizes"`
	Values      []float64 `json:"values"`
	Linear      fit.Curve `json:"line"`
	Quadratic   fit.Curve `json:"square"`
	// PredictedSize and the fields below are 0 if there was no run at a size to predict.
	PredictedSize         float64 `json:"at,omitempty"`
	LinearPrediction      float64 `json:"by_line,omitempty"`
	QuadraticPrediction   float64 `json:"by_square,omitempty"`
	Measured              float64 `json:"measured,omitempty"`
	LinearErrorPercent    float64 `json:"line_off_percent,omitempty"` // of the measured value
	QuadraticErrorPercent float64 `json:"square_off_percent,omitempty"`
}

// FitGrowth fits curves through each measurement of runs at several sizes. of is the run at the size to predict; nil for none.
func FitGrowth(runs []*Record, of *Record) ([]Growth, error) {
	var out []Growth
	for _, key := range growthKeys {
		var g Growth
		for _, r := range runs {
			f := r.Measurement(key)
			if f.NotMeasured {
				continue
			}
			g.Key, g.Description, g.Unit = f.Key, f.Description, f.Unit
			g.Sizes, g.Values = append(g.Sizes, float64(r.Size)), append(g.Values, f.Value)
		}
		if len(g.Sizes) == 0 {
			continue // the scenario does not have this measurement, for example because it proposes no versions
		}
		var err error
		if g.Linear, err = fit.Linear(g.Sizes, g.Values); err != nil {
			return nil, err
		}
		if g.Quadratic, err = fit.Quadratic(g.Sizes, g.Values); err != nil {
			return nil, err
		}
		if of != nil {
			if f := of.Measurement(key); !f.NotMeasured && f.Value != 0 {
				g.PredictedSize, g.Measured = float64(of.Size), f.Value
				g.LinearPrediction, g.QuadraticPrediction = g.Linear.Predict(g.PredictedSize), g.Quadratic.Predict(g.PredictedSize)
				g.LinearErrorPercent, g.QuadraticErrorPercent = 100*(g.LinearPrediction/f.Value-1), 100*(g.QuadraticPrediction/f.Value-1)
			}
		}
		out = append(out, g)
	}
	return out, nil
}
