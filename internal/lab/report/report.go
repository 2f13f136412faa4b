// Package report writes records for people: as text, as an HTML page with plots, and as comparisons
// of several records.
package report

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"heathgap/internal/lab/oracle"
	"heathgap/internal/lab/record"
)

// JSON writes a record as JSON.
func JSON(w io.Writer, r *record.Record) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(r)
}

// violationCounts returns the rules and how often each was violated, as text.
func violationCounts(rules map[oracle.Rule]int) string {
	parts := make([]string, 0, len(oracle.Rules))
	for _, rule := range oracle.Rules {
		parts = append(parts, fmt.Sprintf("%s %d", rule, rules[rule]))
	}
	return strings.Join(parts, ", ")
}

// Line returns a summary of a record in one line.
func Line(r *record.Record) string {
	line := fmt.Sprintf("service %.3f, p50 %.1f ms, p99 %.1f ms, attempts a request %.3f; broken: %s",
		r.Service, r.All.P50, r.All.P99, r.AttemptsPerRequest, violationCounts(r.Rules))
	if len(r.Void) > 0 {
		line += "; VOID: " + strings.Join(r.Void, "; ")
	}
	return line
}

// Text writes a record for people.
func Text(w io.Writer, r *record.Record) {
	fmt.Fprintf(w, "\n%s, decided by %s, seed %d, timeline %s\n%s\n\n", r.Scenario, r.Policy, r.Seed, r.Timeline, Line(r))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\tasked\tserved\tin time\tservice\tp50 ms\tp99 ms")
	row := func(name string, f oracle.Stats) {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.3f\t%.1f\t%.1f\n", name, f.Requests, f.Served, f.InTime, f.Service, f.P50, f.P99)
	}
	for _, groups := range []map[string]oracle.Stats{r.Classes, r.Tenants} {
		for _, name := range slices.Sorted(maps.Keys(groups)) {
			row(name, groups[name])
		}
	}
	row("all", r.All)
	t.Flush()
	fmt.Fprintf(w, "\nthe load's own lag: %.2f ms at the 99th percentile, %.1f ms at most\n", r.LateSendsP99, r.LateSendsMax)
	for _, s := range r.Sidecars {
		if s.Crashed {
			fmt.Fprintf(w, "sidecar %s ENDED BY ITSELF\n", s.Name)
		}
	}
	for _, b := range r.Violations[:min(10, len(r.Violations))] {
		fmt.Fprintf(w, "broken: %s at %v: %s\n", b.Rule, b.At, b.What)
	}
	for _, line := range r.Mismatches {
		fmt.Fprintln(w, "books differ:", line)
	}
	if r.Partial {
		fmt.Fprintln(w, "PARTIAL: it was interrupted")
	}
}

// Write writes a record, its plots and its page into a directory, which it creates if needed.
func Write(dir string, r *record.Record) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if err := r.Save(filepath.Join(dir, "record.json")); err != nil {
		return err
	}
	page := page{Record: r, Rules: violationCounts(r.Rules), Line: Line(r)}
	for _, p := range recordPlots(r) {
		svg, err := p.render()
		if err != nil {
			return fmt.Errorf("plot %s: %w", p.name, err)
		}
		if err := record.WriteFile(filepath.Join(dir, p.name+".svg"), svg); err != nil {
			return err
		}
		page.Plots = append(page.Plots, template.HTML(stripProlog(svg))) //nolint:gosec // the SVG was rendered by this program
	}
	var text bytes.Buffer
	if err := pageTemplate.Execute(&text, page); err != nil {
		return err
	}
	return record.WriteFile(filepath.Join(dir, "report.html"), text.Bytes())
}

// stripProlog removes the XML declaration from an SVG. It is not allowed inside an HTML page.
func stripProlog(svg []byte) string {
	if i := bytes.Index(svg, []byte("<svg")); i > 0 {
		svg = svg[i:]
	}
	return string(svg)
}

// page is the data of the template page.html, which names these fields and those of Record.
type page struct {
	*record.Record
	Rules, Line string
	Plots       []template.HTML
}

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))
