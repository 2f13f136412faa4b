package report

import "gonum.org/v1/plot/plotter"

// Plot is a plot over the seconds of a run, as other labs draw them.
type Plot struct {
	Title, Unit string
	Curves      []Curve // three at most: more colors are not told apart
}

// Curve is one line of a plot: values at seconds.
type Curve struct {
	Name string
	X, Y []float64
}

// SVG draws it.
func (p *Plot) SVG() ([]byte, error) {
	colors := []line{{color: blue}, {color: orange}, {color: green}}
	drawn := plotSpec{title: p.Title, unit: p.Unit}
	for i, c := range p.Curves {
		l := line{name: c.Name, color: colors[i%len(colors)].color, xy: make(plotter.XYs, len(c.X))}
		for k := range c.X {
			l.xy[k] = plotter.XY{X: c.X[k], Y: c.Y[k]}
		}
		drawn.lines = append(drawn.lines, l)
	}
	return drawn.render()
}
