package report

import "gonum.org/v1/plot/plotter"

// Plot is a plot over the seconds of a run, for labs with records of their own, such as package
// scale.
type Plot struct {
	Title, Unit string
	Curves      []Curve // at most three: there are three colors
}

// Curve is one line of a plot: Y are its values at the seconds X.
type Curve struct {
	Name string
	X, Y []float64
}

// SVG returns the plot as SVG.
func (p *Plot) SVG() ([]byte, error) {
	colors := []line{{color: blue}, {color: orange}, {color: green}}
	spec := plotSpec{title: p.Title, unit: p.Unit}
	for i, c := range p.Curves {
		l := line{name: c.Name, color: colors[i%len(colors)].color, xy: make(plotter.XYs, len(c.X))}
		for k := range c.X {
			l.xy[k] = plotter.XY{X: c.X[k], Y: c.Y[k]}
		}
		spec.lines = append(spec.lines, l)
	}
	return spec.render()
}
