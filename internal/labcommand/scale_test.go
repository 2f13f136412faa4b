package labcommand

import (
	"bytes"
	"strings"
	"testing"
)

// All mistakes of a scenario are reported, and so is a plan with too many processes. Nothing is started.
func TestScaleInvalidInput(t *testing.T) {
	for name, c := range map[string]struct {
		text  string
		args  []string
		wants []string
	}{
		"faults":    {"name = \"x\"\nkeepers = 0\nhollow = -1\n", nil, []string{"s.toml:2: keepers: 0; allowed:", "s.toml:3: hollow: -1; allowed:"}},
		"too large": {"name = \"x\"\nhollow = 400\neach_process = 1\n", nil, []string{"needs 403 processes; allowed: 300"}},
		"predict":   {"name = \"x\"\n", []string{"--predict", "100"}, []string{"--predict: without --sizes"}},
		"sizes":     {"name = \"x\"\n", []string{"--sizes", "3"}, []string{"--sizes: 3 sidecars"}},
	} {
		var out, errs bytes.Buffer
		code := Heathlab(append([]string{"scale", writeScenario(t, c.text)}, c.args...), &out, &errs)
		if code != 1 {
			t.Errorf("%s: exit code %d", name, code)
		}
		for _, want := range c.wants {
			if !strings.Contains(out.String()+errs.String(), want) {
				t.Errorf("%s: %q is not in %s%s", name, want, out.String(), errs.String())
			}
		}
	}
}
