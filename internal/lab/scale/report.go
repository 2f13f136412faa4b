package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"strings"

	"heathgap/internal/lab/report"
)

// WriteText writes the record for people, each measurement with its limit.
func (r *Record) WriteText(o io.Writer) {
	fmt.Fprintf(o, "%s, seed %d: %d sidecars (%d keepers, %d real, %d hollow), %.1f s, "+
		"on %d cores with %d MB (%s), load average %s before and %s after\n",
		r.Scenario, r.Seed, r.Size, r.Voters, r.Real, r.Emulated, r.Seconds, r.Machine.Cores, r.Machine.MemoryMB, r.Machine.Go,
		r.Machine.LoadBefore, r.Machine.LoadAfter)
	for _, f := range r.Measurements {
		fmt.Fprintln(o, f.textLine())
	}
	if len(r.Leaders) > 0 {
		fmt.Fprint(o, "leaders:")
		for _, l := range r.Leaders {
			fmt.Fprintf(o, " %s from %.2f s", orDefault(l.Name, "nobody"), l.At)
		}
		fmt.Fprintln(o)
	}
	if len(r.Costs) > 0 {
		fmt.Fprintf(o, "%-6s %8s %10s %8s %10s %10s %10s %6s   (read and written: bytes of read and write calls, at sockets, folder and log)\n",
			"", "CPU %", "worst 10 s", "MB", "read KB/s", "wrote KB/s", "disk KB/s", "files")
		for _, c := range r.Costs {
			fmt.Fprintf(o, "%-6s %8.2f %10.2f %8.1f %10.1f %10.1f %10.1f %6d\n",
				c.Name, c.CPUMean, c.CPUWorst, c.MB, c.ReadKBs, c.WriteKBs, c.DiskKBs, c.Descriptors)
		}
	}
	if len(r.OwnLag) > 0 {
		fmt.Fprintln(o, "the run's own load was late by at most:", strings.Join(r.OwnLag, ", "))
	}
	for _, v := range r.Versions {
		if len(v.Never) > 0 || v.Refused != "" {
			fmt.Fprintf(o, "version %d, told at %.2f s: refused %q, not acted on by %s\n", v.Number, v.At, v.Refused, firstNames(v.Never))
		}
	}
	for _, b := range r.Broken {
		fmt.Fprintln(o, "broken:", b)
	}
	for _, v := range r.Void {
		fmt.Fprintln(o, "VOID:", v)
	}
	if r.Partial {
		fmt.Fprintln(o, "PARTIAL: it was interrupted")
	}
	switch {
	case r.Passed():
		fmt.Fprintln(o, "all limits hold")
	case len(r.Void) == 0 && !r.Partial:
		fmt.Fprintln(o, "NOT GOOD: violated limits are marked with !")
	}
}

// orDefault returns text, or other if text is empty.
func orDefault(text, other string) string {
	if text == "" {
		return other
	}
	return text
}

// firstNames lists the first few names and the number of the rest.
func firstNames(names []string) string {
	const maxNames = 5
	if len(names) <= maxNames {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNames], ", "), len(names)-maxNames)
}

// textLine returns the measurement as a line of text, marked with ! if its limit is violated.
func (f *Measurement) textLine() string {
	mark, limit, value := " ", "", formatNumber(f.Value)
	if f.NotMeasured {
		value = "not measured"
	}
	if f.Violated {
		mark = "!"
	}
	if f.Limit != nil {
		bound := "at most"
		if f.IsMinimum {
			bound = "at least"
		}
		limit = fmt.Sprintf("  (%s %s)", bound, formatNumber(*f.Limit))
	}
	source := ""
	if f.Source != "" {
		source = "  " + f.Source
	}
	return fmt.Sprintf("%s %-80s %12s %-8s%s%s", mark, f.Description, value, f.Unit, limit, source)
}

// formatNumber formats a number with as many digits as matter.
func formatNumber(v float64) string {
	switch a := math.Abs(v); {
	case v == math.Trunc(v) || a >= 1000:
		return fmt.Sprintf("%.0f", v)
	case a >= 10:
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.3f", v)
}

// Write writes record.json and the plots into a directory, which it creates if needed.
func (r *Record) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "record.json"), text, 0o644); err != nil {
		return err
	}
	for name, p := range r.plots() {
		svg, err := p.SVG()
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, name+".svg"), svg, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// plots returns the plots of the run by file name.
func (r *Record) plots() map[string]*report.Plot {
	curve := func(name string, read func(s Second) float64) report.Curve {
		c := report.Curve{Name: name}
		for i, s := range r.Series {
			c.X, c.Y = append(c.X, float64(i)), append(c.Y, read(s))
		}
		return c
	}
	inEffect := report.Curve{Name: "in force after"}
	for _, v := range r.Versions {
		inEffect.X, inEffect.Y = append(inEffect.X, v.At), append(inEffect.Y, v.InEffectMS/1000)
	}
	return map[string]*report.Plot{
		"members": {Title: "Members", Unit: "members", Curves: []report.Curve{
			curve("cautious, could be reached", func(s Second) float64 { return float64(s.Cautious) }),
			curve("down or cut off", func(s Second) float64 { return float64(s.Down + s.Partitioned) }),
			curve("act on an older version than others", func(s Second) float64 { return float64(s.Behind) }),
		}},
		"versions": {Title: "Versions, at the time they were told", Unit: "seconds", Curves: []report.Curve{inEffect}},
		"leader": {Title: "The leader's share of a core", Unit: "%", Curves: []report.Curve{
			curve("leader", func(s Second) float64 { return s.LeaderCPU }),
		}},
	}
}

// WriteSpread writes the minimum, median and maximum of each measurement over several runs of a scenario.
func WriteSpread(o io.Writer, runs []*Record) {
	fmt.Fprintf(o, "%d runs: minimum, median, maximum\n", len(runs))
	for _, first := range runs[0].Measurements {
		var values []float64
		violated, notMeasured := 0, 0
		for _, r := range runs {
			f := r.Measurement(first.Key)
			if f.Violated {
				violated++
			}
			if f.NotMeasured {
				notMeasured++
				continue
			}
			values = append(values, f.Value)
		}
		line := "not measured"
		if len(values) > 0 {
			line = fmt.Sprintf("%12s %12s %12s %s", formatNumber(quantile(values, 0)), formatNumber(quantile(values, 0.5)), formatNumber(quantile(values, 1)), first.Unit)
		}
		fmt.Fprintf(o, "  %-80s %s", first.Description, line)
		if first.Limit != nil {
			fmt.Fprintf(o, "  (limit %s, violated in %d)", formatNumber(*first.Limit), violated)
		}
		if notMeasured > 0 {
			fmt.Fprintf(o, "  (not measured in %d)", notMeasured)
		}
		fmt.Fprintln(o)
	}
}

// WriteGrowth writes how measurements grow with the number of sidecars.
func WriteGrowth(o io.Writer, grown []Growth) {
	for _, g := range grown {
		fmt.Fprintf(o, "%s (%s): %s\n", g.Key, g.Unit, strings.TrimSpace(g.Description))
		for i, n := range g.Sizes {
			fmt.Fprintf(o, "  at %4.0f sidecars %12s\n", n, formatNumber(g.Values[i]))
		}
		fmt.Fprintf(o, "  %v; %v\n", g.Linear, g.Quadratic)
		if g.PredictedSize > 0 {
			fmt.Fprintf(o, "  predicted at %.0f: %s by the line (%+.1f %%), %s by the square (%+.1f %%); measured %s\n",
				g.PredictedSize, formatNumber(g.LinearPrediction), g.LinearErrorPercent, formatNumber(g.QuadraticPrediction), g.QuadraticErrorPercent, formatNumber(g.Measured))
		}
	}
}
