package sim

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
)

// Shrink makes a failing script smaller for as long as it fails by the same rule:
// without some of its faults, requests, sidecars and endpoints, and shorter. fails
// plays a script and returns its failure.
func Shrink(script Script, fails func(Script) *Failure) Script {
	first := fails(script)
	if first == nil {
		return script
	}
	still := func(s Script) bool {
		f := fails(s)
		return f != nil && f.Rule == first.Rule
	}
	for smaller := true; smaller; {
		smaller = false
		for _, next := range []func(Script, func(Script) bool) (Script, bool){fewerAsks, fewerFaults, fewerMachines, shorter} {
			var done bool
			script, done = next(script, still)
			smaller = smaller || done
		}
	}
	return script
}

// fewerAsks drops requests, half of them at a time at first, then ever fewer.
func fewerAsks(s Script, still func(Script) bool) (_ Script, smaller bool) {
	for size := (len(s.Asks) + 1) / 2; size > 0; size /= 2 {
		for from := 0; from < len(s.Asks); {
			try := s
			try.Asks = slices.Delete(slices.Clone(s.Asks), from, min(from+size, len(s.Asks)))
			if still(try) {
				s, smaller = try, true
			} else {
				from += size
			}
		}
	}
	return s, smaller
}

func fewerFaults(s Script, still func(Script) bool) (_ Script, smaller bool) {
	for i := 0; i < len(s.Faults); {
		try := s
		try.Faults = slices.Delete(slices.Clone(s.Faults), i, i+1)
		if still(try) {
			s, smaller = try, true
		} else {
			i++
		}
	}
	return s, smaller
}

func fewerMachines(s Script, still func(Script) bool) (_ Script, smaller bool) {
	for _, n := range []func(*Script) *int{
		func(s *Script) *int { return &s.Sidecars }, func(s *Script) *int { return &s.Endpoints },
	} {
		for *n(&s) > 1 {
			try := s
			*n(&try)--
			if !still(try) {
				break
			}
			s, smaller = try, true
		}
	}
	return s, smaller
}

// shorter ends the run after the last thing that begins in it.
func shorter(s Script, still func(Script) bool) (Script, bool) {
	try := s
	try.Duration = grid
	for _, a := range s.Asks {
		try.Duration = max(try.Duration, a.At+grid)
	}
	for _, f := range s.Faults {
		try.Duration = max(try.Duration, f.At+f.For+grid)
	}
	if try.Duration < s.Duration && still(try) {
		return try, true
	}
	return s, false
}

// SavedFailure is a script that was kept because it once failed.
type SavedFailure struct {
	Why    string // what it found
	Script Script
}

// LoadSavedFailure reads one.
func LoadSavedFailure(path string) (SavedFailure, error) {
	var k SavedFailure
	text, err := os.ReadFile(path)
	if err != nil {
		return k, err
	}
	if err := json.Unmarshal(text, &k); err != nil {
		return k, fmt.Errorf("%s: %w", path, err)
	}
	if len(k.Script.Asks) == 0 || k.Script.Sidecars < 1 || k.Script.Endpoints < 1 {
		return k, fmt.Errorf("%s: no script: it needs requests, sidecars and endpoints", path)
	}
	return k, nil
}

// Save writes one.
func (k SavedFailure) Save(path string) error {
	text, err := json.MarshalIndent(k, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}
