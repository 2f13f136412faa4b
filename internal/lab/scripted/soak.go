package scripted

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// Soak plays a test once for each of a number of seeds. Flags of the test's program change which seeds these are: few in CI, many by hand.
type Soak struct {
	seeds, parallel *int
	first           *uint64
	logs            *string
}

// NewSoak returns a soak that plays so many seeds from 1 on, so many of them at a time, and defines its flags. A test's program may have one
// soak, which is created before the flags are parsed.
func NewSoak(seeds, parallel int) *Soak {
	return &Soak{
		seeds:    flag.Int("soak.seeds", seeds, "number of seeds of the soak"),
		first:    flag.Uint64("soak.first", 1, "first seed of the soak"),
		parallel: flag.Int("soak.parallel", parallel, "number of seeds of the soak that run at a time"),
		logs:     flag.String("soak.logs", "", "folder for the sidecars' logs of failed seeds"),
	}
}

// Run plays each seed as a subtest.
func (s *Soak) Run(t *testing.T, play func(t *testing.T, seed uint64)) {
	slots := make(chan struct{}, *s.parallel)
	for i := range *s.seeds {
		seed := *s.first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			play(t, seed)
		})
	}
}

// SaveLog prints the command that plays a seed of a test again, and writes a sidecar's log to the folder for logs, if there is one.
func (s *Soak) SaveLog(t *testing.T, pkg, test string, seed uint64, text string) {
	t.Helper()
	t.Logf("again: go test %s -run %s -soak.first %d -soak.seeds 1 -soak.logs DIR", pkg, test, seed)
	if *s.logs == "" {
		return
	}
	path := filepath.Join(*s.logs, fmt.Sprintf("seed-%d.log", seed))
	if err := errors.Join(os.MkdirAll(*s.logs, 0o700), os.WriteFile(path, []byte(text), 0o600)); err != nil {
		t.Log(err)
	}
}
