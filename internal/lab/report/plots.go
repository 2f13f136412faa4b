package report

import (
	"bytes"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"heathgap/internal/lab/oracle"
	"heathgap/internal/lab/record"
)

// Size of a plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

// plotSpec describes one plot over the seconds of a run.
type plotSpec struct {
	name, title, unit string
	minY              float64 // the y axis begins here, or lower if values are lower
	lines             []line
}

// line is one curve of a plot.
type line struct {
	name  string
	color color.RGBA
	xy    plotter.XYs
}

// Colors that people with a color vision deficiency can tell apart.
var (
	blue   = color.RGBA{0, 114, 178, 255}
	orange = color.RGBA{213, 94, 0, 255}
	green  = color.RGBA{0, 158, 115, 255}
)

// recordPlots returns the plots of a record.
func recordPlots(r *record.Record) []plotSpec {
	curve := func(read func(oracle.Second) float64) plotter.XYs {
		xy := make(plotter.XYs, len(r.Series))
		for i, s := range r.Series {
			xy[i] = plotter.XY{X: float64(i), Y: read(s)}
		}
		return xy
	}
	return []plotSpec{
		{name: "requests", title: "Requests", unit: "a second", lines: []line{
			{"asked", blue, curve(func(s oracle.Second) float64 { return float64(s.Requests) })},
			{"served", orange, curve(func(s oracle.Second) float64 { return float64(s.Served) })},
			{"in time", green, curve(func(s oracle.Second) float64 { return float64(s.InTime) })},
		}},
		{name: "service", title: "Service", unit: "worth earned over worth asked", lines: []line{
			{"service", blue, curve(func(s oracle.Second) float64 {
				if s.Wanted == 0 {
					return 1
				}
				return s.Earned / s.Wanted
			})},
		}},
	}
}

// render returns the plot as SVG.
func (p plotSpec) render() ([]byte, error) {
	chart := plot.New()
	chart.Title.Text = p.title
	chart.X.Label.Text = "seconds"
	chart.Y.Label.Text = p.unit
	chart.Y.Min = p.minY
	chart.Legend.Top = true
	for _, l := range p.lines {
		if len(l.xy) == 0 {
			continue
		}
		curve, err := plotter.NewLine(l.xy)
		if err != nil {
			return nil, err
		}
		curve.Color = l.color
		chart.Add(curve)
		chart.Legend.Add(l.name, curve)
	}
	chart.Y.Min = min(chart.Y.Min, p.minY)
	writer, err := chart.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	_, err = writer.WriteTo(&out)
	return out.Bytes(), err
}
