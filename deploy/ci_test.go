package deploy_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a list of known failures that lets through what it should not: more than three, lines that nobody can
// read, tests that were never there.
func TestKnownRed(t *testing.T) {
	const good = "./deploy TestKnownRed | it is an example | issue 42\n"
	for name, c := range map[string]struct{ text, out, fault string }{
		"nothing":          {"", "", ""},
		"a comment":        {"# none now\n\n", "", ""},
		"one":              {good, "./deploy TestKnownRed\n", ""},
		"without an end":   {strings.TrimSuffix(good, "\n"), "./deploy TestKnownRed\n", ""},
		"three":            {good + good + good, strings.Repeat("./deploy TestKnownRed\n", 3), ""},
		"four":             {good + good + good + good, "", ":4: one test too many, 3 may be known to fail"},
		"no cause":         {"./deploy TestKnownRed | issue 42\n", "", ":1: not './PACKAGE TestName | the cause | issue NUMBER'"},
		"no issue":         {good + "./deploy TestKnownRed | a cause | 42\n", "", ":2: not './PACKAGE"},
		"a pattern":        {"./deploy Test.* | a cause | issue 1\n", "", ":1: not './PACKAGE"},
		"no such test":     {"./deploy TestNever | a cause | issue 1\n", "", ":1: there is no test TestNever in ./deploy"},
		"part of a name":   {"./deploy TestKnown | a cause | issue 1\n", "", ":1: there is no test TestKnown in ./deploy"},
		"no such package":  {"./nowhere TestKnownRed | a cause | issue 1\n", "", ":1: there is no package ./nowhere"},
		"outside the tree": {"../x TestKnownRed | a cause | issue 1\n", "", ":1: not './PACKAGE"},
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
	// The list that stands holds.
	cmd := exec.Command(filepath.Join(".ci", "known-red"), "KNOWN-RED.txt")
	cmd.Dir = ".."
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Errorf("KNOWN-RED.txt: %v, %s", err, out)
	}
}
