// Package simtest is what the tests of the simulations share.
package simtest

import (
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"
)

// HashPrefix stands before each hash that a test's other process prints, on a line of its own.
const HashPrefix = "hash "

// SameInSubprocesses runs a test of this program in processes of their own, with 1 processor and with 8, with a variable set that
// tells it to print hashes, and has the test fail unless they are those wanted.
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

// Create opens a file to be written for the time of a test; nil where no path is given.
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
