package report

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"text/tabwriter"

	"heathgap/internal/lab/oracle"
	"heathgap/internal/lab/record"
)

// Comparison holds records of several sides, such as policies, to be compared seed by seed. The
// first side added is the one that the others are compared with.
type Comparison struct {
	// names holds the sides in the order in which they were added.
	names   []string
	records map[string][]*record.Record
}

// NewComparison returns an empty comparison.
func NewComparison() *Comparison { return &Comparison{records: map[string][]*record.Record{}} }

// Add adds a record to a side.
func (c *Comparison) Add(side string, r *record.Record) {
	if c.records[side] == nil {
		c.names = append(c.names, side)
	}
	c.records[side] = append(c.records[side], r)
}

// Value returns one metric of a record.
func Value(r *record.Record, metric string) (float64, error) {
	groups := map[string]map[string]oracle.Stats{"class": r.Classes, "tenant": r.Tenants}
	if kind, name, ok := strings.Cut(metric, ":"); ok {
		if f, there := groups[kind][name]; there {
			return f.Service, nil
		}
		return 0, fmt.Errorf("metric %q: the record has no such %s", metric, kind)
	}
	switch metric {
	case "service":
		return r.Service, nil
	case "p50_ms":
		return r.All.P50, nil
	case "p99_ms":
		return r.All.P99, nil
	case "attempts_per_request":
		return r.AttemptsPerRequest, nil
	}
	return 0, fmt.Errorf("metric %q: unknown; allowed: service, p50_ms, p99_ms, attempts_per_request, class:NAME, tenant:NAME", metric)
}

// Stats are statistics of some values.
type Stats struct{ Min, Median, Max float64 }

// StatsOf returns the statistics of values, of which there must be one at least.
func StatsOf(values []float64) Stats {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	n := len(sorted)
	return Stats{Min: sorted[0], Median: (sorted[(n-1)/2] + sorted[n/2]) / 2, Max: sorted[n-1]}
}

// Pairing compares a side with the first one, by pairs of runs with the same seed.
type Pairing struct {
	Pairs     int
	Median    float64 // of the differences
	Low, High float64 // a 95 % confidence interval of that median, by bootstrap
	Above     int     // pairs in which this side's value is larger
	Below     int     // pairs in which it is smaller
	P         float64 // two-sided p-value of the sign test, without ties
}

// Parameters of the bootstrap. The seed is fixed, so that the same records give the same interval.
const (
	resamples     = 2000
	tailShare     = 0.025
	bootstrapSeed = 7
)

// Pair compares the values of the first side with those of another side, pair by pair.
func Pair(first, other []float64) Pairing {
	diffs := make([]float64, len(first))
	p := Pairing{Pairs: len(first)}
	for i := range first {
		diffs[i] = other[i] - first[i]
		switch {
		case diffs[i] > 0:
			p.Above++
		case diffs[i] < 0:
			p.Below++
		}
	}
	if len(diffs) == 0 {
		return p
	}
	p.Median = StatsOf(diffs).Median
	random := rand.New(rand.NewPCG(bootstrapSeed, bootstrapSeed))
	medians := make([]float64, resamples)
	resample := make([]float64, len(diffs))
	for i := range medians {
		for j := range resample {
			resample[j] = diffs[random.IntN(len(diffs))]
		}
		medians[i] = StatsOf(resample).Median
	}
	slices.Sort(medians)
	last := float64(resamples - 1)
	p.Low, p.High = medians[int(tailShare*last)], medians[int((1-tailShare)*last)]
	p.P = signTest(p.Above, p.Below)
	return p
}

// signTest returns how likely a split at least as uneven would be if neither side were better.
func signTest(above, below int) float64 {
	n, k := above+below, min(above, below)
	sum := 0.0
	for i := 0; i <= k; i++ {
		sum += math.Exp(logChoose(n, i) - float64(n)*math.Ln2)
	}
	return min(1, 2*sum)
}

// logChoose returns the logarithm of the binomial coefficient of n over k.
func logChoose(n, k int) float64 {
	a, _ := math.Lgamma(float64(n + 1))
	b, _ := math.Lgamma(float64(k + 1))
	c, _ := math.Lgamma(float64(n - k + 1))
	return a - b - c
}

// Print writes a table with one line for each side, which compares it with the first one. Void and
// partial runs are left out. All others must be of one scenario; only seeds that both sides have
// are compared.
func (c *Comparison) Print(w io.Writer, metric string) error {
	if len(c.names) == 0 {
		return fmt.Errorf("no records")
	}
	values := map[string]map[uint64]float64{}
	scenario, leftOut := "", 0
	for _, name := range c.names {
		values[name] = map[uint64]float64{}
		for _, r := range c.records[name] {
			if len(r.Void) > 0 || r.Partial {
				leftOut++
				continue
			}
			if scenario == "" {
				scenario = r.Scenario
			}
			if r.Scenario != scenario {
				return fmt.Errorf("records of two scenarios, %s and %s, can't be compared", scenario, r.Scenario)
			}
			v, err := Value(r, metric)
			if err != nil {
				return err
			}
			values[name][r.Seed] = v
		}
	}
	fmt.Fprintf(w, "\n%s: %s, beside %s\n", scenario, metric, c.names[0])
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "side\tseeds\tmin\tmedian\tmax\tbroken\tpairs\tdifference\t95 %\tsign test")
	for _, name := range c.names {
		c.printSide(t, name, values)
	}
	t.Flush()
	if leftOut > 0 {
		fmt.Fprintf(w, "%d void or partial runs were left out\n", leftOut)
	}
	return nil
}

// printSide writes the line of one side. values are by side and seed.
func (c *Comparison) printSide(w io.Writer, name string, values map[string]map[uint64]float64) {
	var all, first, own []float64
	for _, seed := range seedsOf(values[name]) {
		v := values[name][seed]
		all = append(all, v)
		if base, both := values[c.names[0]][seed]; both {
			first, own = append(first, base), append(own, v)
		}
	}
	broken := 0
	for _, r := range c.records[name] {
		broken += r.NumViolations()
	}
	if len(all) == 0 {
		fmt.Fprintf(w, "%s\t0\t\t\t\t%d\n", name, broken)
		return
	}
	st := StatsOf(all)
	fmt.Fprintf(w, "%s\t%d\t%.3f\t%.3f\t%.3f\t%d", name, len(all), st.Min, st.Median, st.Max, broken)
	if name != c.names[0] && len(own) > 0 {
		p := Pair(first, own)
		fmt.Fprintf(w, "\t%d\t%+.3f\t%+.3f to %+.3f\t%d up, %d down, p %.2f", p.Pairs, p.Median, p.Low, p.High, p.Above, p.Below, p.P)
	}
	fmt.Fprintln(w)
}

// seedsOf returns the seeds in rising order.
func seedsOf(values map[uint64]float64) []uint64 {
	seeds := make([]uint64, 0, len(values))
	for seed := range values {
		seeds = append(seeds, seed)
	}
	slices.Sort(seeds)
	return seeds
}
