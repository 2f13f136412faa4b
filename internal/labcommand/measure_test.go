package labcommand

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"heathgap/internal/command"
)

// Invalid flags give one line that names the flag and what is allowed, and an exit code other than 0. Nothing is
// started.
func TestMeasureFlagErrors(t *testing.T) {
	tests := []struct {
		args string
		says string
	}{
		{"call --rate 0", "--rate: 0; allowed: above 0"},
		{"call --rate 3001", "--rate: 3001"},
		{"call --rate NaN", "--rate: NaN"},
		{"call --rate 50,100 --endpoints 1,2", "--rate and --endpoints: several values of both"},
		{"call --endpoints 0", "--endpoints: 0; allowed: 1 to 1000"},
		{"call --peers=-1", "--peers: -1"},
		{"call --classes 0", "--classes: 0"},
		{"call --stages 65", "--stages: 65; allowed: 1 to 64"},
		{"call --runs 0", "--runs: 0"},
		{"call --most-lag 0s", "--most-lag: 0s"},
		{"call --for 1ms", "--for: 1ms; allowed: 1s to 1h0m0s"},
		{"call --for soon", "--for"},
		{"chain --deep 0", "--deep: 0; allowed: 1 to 32"},
		{"chain --deep 1,33", "--deep: 33"},
		{"chain --rate=-2", "--rate: -2"},
		{"chain --endpoints 17", "--endpoints: 17"},
		{"chain --deadline 1ms", "--deadline: 1ms"},
		{"chain --peers 0", "--peers: 0"},
		{"chain --fail fire", `--fail: "fire"; allowed: none`},
		{"chain --fail errors:2", `--fail: "errors:2"; allowed: errors: and a share`},
		{"chain --fail errors:NaN", `--fail: "errors:NaN"`},
		{"chain --fail hang:0.5", `--fail: "hang:0.5"; allowed: a share with errors only`},
		{"lists --endpoints 13 --at-once 40", "--at-once: 40; allowed: up to the largest of --endpoints, 13"},
		{"lists --sidecars 0", "--sidecars: 0"},
		{"lists --hollow=-1", "--hollow: -1"},
		{"lists --changes 0", "--changes: 0"},
		{"lists --idle=-1s", "--idle: -1s"},
		{"lists --endpoints x", "--endpoints"},
	}
	for _, c := range tests {
		var stdout, stderr bytes.Buffer
		code := Heathlab(append(strings.Fields(c.args), "--sidecar", "/nonexistent"), &stdout, &stderr)
		lines := strings.Split(strings.TrimSpace(stderr.String()), "\n")
		if code == 0 || len(lines) != 1 || !strings.Contains(lines[0], c.says) {
			t.Errorf("%s: exit code %d: %q; want one line with %q", c.args, code, stderr.String(), c.says)
		}
	}
}

func TestSpread(t *testing.T) {
	tests := []struct {
		runs []float64
		want spread
	}{
		{[]float64{3}, spread{3, 3, 3}},
		{[]float64{3, 1, 2}, spread{1, 2, 3}},
		{[]float64{4, 1, 3, 2}, spread{1, 2.5, 4}},
	}
	for _, c := range tests {
		before := slices.Clone(c.runs)
		if got := spreadOf(c.runs); got != c.want || !slices.Equal(c.runs, before) {
			t.Errorf("%v: %v; want %v, and the runs as they were", before, got, c.want)
		}
	}
}

// A run whose load lags doesn't count and is repeated, but not without end. A run whose load doesn't lag counts at
// once.
func TestVoidRunsDoNotCount(t *testing.T) {
	for _, c := range []struct {
		lags  []float64 // ms
		want  float64
		calls int
	}{
		{[]float64{3}, 3, 1},
		{[]float64{10}, 10, 1},
		{[]float64{10.1, 400, 2, 1}, 2, 3},
		{slices.Repeat([]float64{11}, 2*maxVoidRuns), -1, maxVoidRuns},
	} {
		var out bytes.Buffer
		calls := 0
		got, err := measureValid(&command.Out{Writer: &out}, 10*time.Millisecond, "run", func() (float64, error) {
			calls++
			return c.lags[calls-1], nil
		}, func(lag float64) float64 { return lag })
		if calls != c.calls || (err != nil) != (c.want < 0) || err == nil && got != c.want {
			t.Errorf("%v: %v, %v after %d runs; want %v after %d", c.lags, got, err, calls, c.want, c.calls)
		}
		if reported := strings.Count(out.String(), "VOID"); err == nil && reported != calls-1 {
			t.Errorf("%v: %d void runs reported of %d", c.lags, reported, calls-1)
		}
	}
}

// The prediction for the largest size uses only the other sizes, wherever the largest is in the list.
func TestPredictLargest(t *testing.T) {
	tests := []struct {
		sizes, medians []float64
		says           string
	}{
		{[]float64{1, 2, 3, 4}, []float64{2, 4, 6, 10}, "at 4 it says 8, the run 10 (+25.0 %)"},
		{[]float64{4, 1, 2, 3}, []float64{10, 2, 4, 6}, "at 4 it says 8, the run 10 (+25.0 %)"},
		{[]float64{1, 2}, []float64{2, 4}, "no line: 1 different x"},
		{[]float64{1}, []float64{2}, "no line: 0 different x"},
	}
	for _, c := range tests {
		if got := predictLargest(c.sizes, c.medians); !strings.Contains(got, c.says) {
			t.Errorf("%v %v: %q; want %q", c.sizes, c.medians, got, c.says)
		}
	}
}

// Runs the three built commands, each with two small sizes.
func TestMeasureCommands(t *testing.T) {
	bin := buildPrograms(t)
	for _, c := range []struct {
		args string
		says []string
	}{
		{"call --rate 20 --endpoints 2,4 --for 1s --runs 1 --most-lag 1m", []string{"[endpoints 2]", "[endpoints 4]", "machine:", "load average"}},
		{"chain --deep 1,2 --rate 10 --for 1s --runs 1 --most-lag 1m --fail none,errors:1", []string{"last tier: errors:1", "[deep 2]", "server_error:"}},
		{"lists --endpoints 3,5 --changes 3 --sidecars 1 --hollow 1 --runs 1", []string{"[endpoints 5]", "bytes of the whole list"}},
	} {
		name, _, _ := strings.Cut(c.args, " ")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			text, err := exec.Command(filepath.Join(bin, "heathlab"), strings.Fields(c.args)...).CombinedOutput()
			if err != nil {
				t.Fatalf("%v: %s", err, text)
			}
			for _, says := range c.says {
				if !strings.Contains(string(text), says) {
					t.Errorf("%q is missing in the output: %s", says, text)
				}
			}
		})
	}
}
