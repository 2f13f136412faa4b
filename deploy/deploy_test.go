// Package deploy_test checks the deploy files in the way in which the operators' test bench reads them.
package deploy_test

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// value returns the string under a key of deploy/balancer.toml.
func value(t *testing.T, key string) string {
	t.Helper()
	text, err := os.ReadFile("balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile(`(?m)^` + key + ` = "([^"]*)"`).FindSubmatch(text)
	if m == nil {
		t.Fatalf("balancer.toml: no key %q with a string", key)
	}
	return string(m[1])
}

// TestLinkMode guards against a deploy file that loses the dynamic link against the C library: the operators' standing
// test redirects the program's sockets and clocks to itself, which it can't do with a static program. That program
// would not start there.
func TestLinkMode(t *testing.T) {
	build := value(t, "build")
	if !strings.Contains(build, "go build -ldflags=-linkmode=external ") {
		t.Errorf("build is %q; it has to link with -ldflags=-linkmode=external", build)
	}
	if run := value(t, "run"); run != "exec bin/heathgap" {
		t.Errorf("run is %q; it has to end by exec in one process", run)
	}
	for _, other := range []string{"../README.md", "../.ci/run"} {
		if text, err := os.ReadFile(other); err != nil || !strings.Contains(string(text), build) {
			t.Errorf("%s does not build as balancer.toml does (%v)", other, err)
		}
	}
}
