package deploy_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a list of known failures with lines that can't be read or reproduced, with tests that do not exist, or
// with tests that are listed twice.
func TestKnownRed(t *testing.T) {
	const (
		good  = "./deploy TestKnownRed | go test ./deploy -run TestKnownRed -seed 7 | it is an example | issue 42\n"
		other = "./decide TestRulesUnderRandomEvents | go test ./decide -run TestRulesUnderRandomEvents | it is another | issue 43\n"
		form  = "not './PACKAGE TestName | the command, with its seed | what was seen | issue NUMBER'"
	)
	for name, c := range map[string]struct{ text, out, fault string }{
		"nothing":        {"", "", ""},
		"a comment":      {"# none now\n\n", "", ""},
		"one":            {good, "./deploy TestKnownRed\n", ""},
		"without an end": {strings.TrimSuffix(good, "\n"), "./deploy TestKnownRed\n", ""},
		"two":            {good + other, "./deploy TestKnownRed\n./decide TestRulesUnderRandomEvents\n", ""},
		"twice":          {good + other + good, "", ":3: TestKnownRed of ./deploy stands here already"},
		"nothing seen":   {"./deploy TestKnownRed | go test ./deploy -run TestKnownRed | issue 42\n", "", ":1: " + form},
		"another command": {"./deploy TestKnownRed | go test ./deploy | seen | issue 42\n", "",
			":1: the command does not play TestKnownRed"},
		"no issue":         {good + "./decide TestRulesUnderRandomEvents | go test -run TestRules | seen | 42\n", "", ":2: " + form},
		"a pattern":        {"./deploy Test.* | go test -run Test | seen | issue 1\n", "", ":1: " + form},
		"no such test":     {"./deploy TestNever | -run TestNever | seen | issue 1\n", "", ":1: there is no test TestNever in ./deploy"},
		"part of a name":   {"./deploy TestKnown | -run TestKnown | seen | issue 1\n", "", ":1: there is no test TestKnown in ./deploy"},
		"no such package":  {"./nowhere TestKnownRed | -run TestKnownRed | seen | issue 1\n", "", ":1: there is no package ./nowhere"},
		"outside the tree": {"../x TestKnownRed | -run TestKnownRed | seen | issue 1\n", "", ":1: " + form},
	} {
		path := filepath.Join(t.TempDir(), "red.txt")
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(filepath.Join(".ci", "known-red"), path)
		cmd.Dir = ".."
		var fault strings.Builder
		cmd.Stderr = &fault
		out, err := cmd.Output()
		if (err != nil) != (c.fault != "") || c.fault == "" && string(out) != c.out {
			t.Errorf("%s: %v, %q, %q", name, err, out, fault.String())
		}
		if said := fault.String(); !strings.Contains(said, c.fault) || strings.Count(said, "\n") > 1 {
			t.Errorf("%s: said %q, want one line with %q", name, said, c.fault)
		}
	}
	// The list in the repository is valid.
	cmd := exec.Command(filepath.Join(".ci", "known-red"), "KNOWN-RED.txt")
	cmd.Dir = ".."
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Errorf("KNOWN-RED.txt: %v, %s", err, out)
	}
}
