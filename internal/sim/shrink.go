package sim

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
)

// Shrink reduces a failing script while it still violates the same rule: it removes faults, requests,
// sidecars and endpoints, and shortens the run. fails runs a script and returns its failure, nil if it
// passed.
func Shrink(script Script, fails func(Script) *Failure) Script {
	original := fails(script)
	if original == nil {
		return script
	}
	stillFails := func(s Script) bool {
		f := fails(s)
		return f != nil && f.Rule == original.Rule
	}
	for smaller := true; smaller; {
		smaller = false
		for _, next := range []func(Script, func(Script) bool) (Script, bool){fewerRequests, fewerFaults, fewerProcesses, shorterDuration} {
			var done bool
			script, done = next(script, stillFails)
			smaller = smaller || done
		}
	}
	return script
}

// fewerRequests tries to remove requests, first half of them at a time, then ever smaller parts.
func fewerRequests(s Script, stillFails func(Script) bool) (_ Script, smaller bool) {
	for size := (len(s.Requests) + 1) / 2; size > 0; size /= 2 {
		for from := 0; from < len(s.Requests); {
			try := s
			try.Requests = slices.Delete(slices.Clone(s.Requests), from, min(from+size, len(s.Requests)))
			if stillFails(try) {
				s, smaller = try, true
			} else {
				from += size
			}
		}
	}
	return s, smaller
}

// fewerFaults tries to remove each fault.
func fewerFaults(s Script, stillFails func(Script) bool) (_ Script, smaller bool) {
	for i := 0; i < len(s.Faults); {
		try := s
		try.Faults = slices.Delete(slices.Clone(s.Faults), i, i+1)
		if stillFails(try) {
			s, smaller = try, true
		} else {
			i++
		}
	}
	return s, smaller
}

// fewerProcesses tries to run with fewer sidecars and fewer endpoints.
func fewerProcesses(s Script, stillFails func(Script) bool) (_ Script, smaller bool) {
	for _, n := range []func(*Script) *int{
		func(s *Script) *int { return &s.Sidecars }, func(s *Script) *int { return &s.Endpoints },
	} {
		for *n(&s) > 1 {
			try := s
			*n(&try)--
			if !stillFails(try) {
				break
			}
			s, smaller = try, true
		}
	}
	return s, smaller
}

// shorterDuration tries to end the run after the last request or fault of the script.
func shorterDuration(s Script, stillFails func(Script) bool) (Script, bool) {
	try := s
	try.Duration = timeGrid
	for _, a := range s.Requests {
		try.Duration = max(try.Duration, a.At+timeGrid)
	}
	for _, f := range s.Faults {
		try.Duration = max(try.Duration, f.At+f.For+timeGrid)
	}
	if try.Duration < s.Duration && stillFails(try) {
		return try, true
	}
	return s, false
}

// SavedFailure is a script that failed once and is saved as a test case.
type SavedFailure struct {
	Reason string `json:"Why"` // the failure that the script caused when it was saved
	Script Script
}

// LoadSavedFailure reads a saved script. It returns an error for one without requests, sidecars or endpoints.
func LoadSavedFailure(path string) (SavedFailure, error) {
	var k SavedFailure
	text, err := os.ReadFile(path)
	if err != nil {
		return k, err
	}
	if err := json.Unmarshal(text, &k); err != nil {
		return k, fmt.Errorf("%s: %w", path, err)
	}
	if len(k.Script.Requests) == 0 || k.Script.Sidecars < 1 || k.Script.Endpoints < 1 {
		return k, fmt.Errorf("%s: no script: it needs requests, sidecars and endpoints", path)
	}
	return k, nil
}

// Save writes the script as JSON.
func (k SavedFailure) Save(path string) error {
	text, err := json.MarshalIndent(k, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}
