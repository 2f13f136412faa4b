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

// plotSpec is one plot over the seconds of a run.
type plotSpec struct {
	name, title, unit string
	minY              float64 // the axis begins there
	lines             []line
}

type line struct {
	name  string
	color color.RGBA
	xy    plotter.XYs
}

// Colors that people with any sight tell apart.
var (
	blue   = color.RGBA{0, 114, 178, 255}
	orange = color.RGBA{213, 94, 0, 255}
	green  = color.RGBA{0, 158, 115, 255}
)

// recordPlots are those of a record.
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
	g := plot.New()
	g.Title.Text = p.title
	g.X.Label.Text = "seconds"
	g.Y.Label.Text = p.unit
	g.Y.Min = p.minY
	g.Legend.Top = true
	for _, l := range p.lines {
		if len(l.xy) == 0 {
			continue
		}
		drawn, err := plotter.NewLine(l.xy)
		if err != nil {
			return nil, err
		}
		drawn.Color = l.color
		g.Add(drawn)
		g.Legend.Add(l.name, drawn)
	}
	g.Y.Min = min(g.Y.Min, p.minY)
	writer, err := g.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	_, err = writer.WriteTo(&out)
	return out.Bytes(), err
}
