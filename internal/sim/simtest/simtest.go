// Package simtest holds what the tests of the simulators share.
package simtest

import (
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"
)

// HashPrefix starts each line on which a test in another process prints a hash.
const HashPrefix = "hash "

// SameInSubprocesses runs a test of the present test binary in other processes, with GOMAXPROCS 1 and 8 and with an environment
// variable that makes it print hashes. The calling test fails unless each process prints the hashes in want.
func SameInSubprocesses(t *testing.T, test, variable string, want []string) {
	t.Helper()
	for _, processors := range []string{"1", "8"} {
		cmd := exec.Command(os.Args[0], "-test.run=^"+test+"$")
		cmd.Env = append(os.Environ(), variable+"=1", "GOMAXPROCS="+processors)
		out, err := cmd.Output()
		if err != nil {
			t.Fatalf("%v: %s", err, out)
		}
		var got []string
		for line := range strings.Lines(string(out)) {
			if hash, ok := strings.CutPrefix(line, HashPrefix); ok {
				got = append(got, strings.TrimSpace(hash))
			}
		}
		if !slices.Equal(got, want) {
			t.Errorf("another process with %s processors:\n%v\nwant\n%v", processors, got, want)
		}
	}
}

// Create creates a file that is closed at the end of the test. It returns nil for an empty path.
func Create(t *testing.T, path string) io.Writer {
	t.Helper()
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	return f
}
