// Package record holds the result of a run of the lab as one JSON object. docs/lab.md lists its
// keys; they do not change.
package record

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"heathgap/internal/lab/load"
	"heathgap/internal/lab/oracle"
)

// Version is the version of the record's format.
const Version = 1

// Record is the result of one run.
type Record struct {
	Version  int       `json:"version"`
	Scenario string    `json:"scenario"`
	About    string    `json:"about"`
	Policy   string    `json:"policy"` // the load-balancing policy: heathgap, or a baseline
	Seed     uint64    `json:"seed"`
	Timeline string    `json:"timeline"` // hash of the arrivals and faults: equal for equal seeds
	Began    time.Time `json:"began"`
	Seconds  float64   `json:"seconds"`
	Partial  bool      `json:"partial"` // the run was interrupted
	Void     []string  `json:"void"`    // the reasons why the run does not count; empty if it does
	Machine  Machine   `json:"machine"`

	Service                   float64                 `json:"service"` // worth earned over worth asked, of all requests
	All                       oracle.Stats            `json:"all"`
	Classes                   map[string]oracle.Stats `json:"classes"`
	Tenants                   map[string]oracle.Stats `json:"tenants"`
	Rules                     map[oracle.Rule]int     `json:"rules"`
	Violations                []oracle.Violation      `json:"breaks"`
	AttemptsPerRequest        float64                 `json:"attempts_per_request"` // attempts that reached endpoints, per request to a sidecar of the first tier
	AttemptsPerLogicalRequest float64                 `json:"attempts_per_want"`    // the same attempts per logical request of a client, however often the client tried
	ClientRepeats             int                     `json:"client_repeats"`       // keyed effects that ran twice because a client repeated its request
	Sidecars                  []Sidecar               `json:"sidecars"`
	Mismatches                []string                `json:"books"` // where a sidecar's counters differ from what the checker recorded
	LateSendsP99              float64                 `json:"late_sends_ms_p99"`
	LateSendsMax              float64                 `json:"late_sends_ms_max"`
	BadClients                load.MalformedCounts    `json:"bad_clients"`
	Series                    []oracle.Second         `json:"series"`
	Faults                    []string                `json:"faults"` // as they were carried out
}

// Machine describes the machine of a run.
type Machine struct {
	Cores    int    `json:"cores"`
	MemoryMB int    `json:"memory_mb"`
	Go       string `json:"go"`
}

// Sidecar describes one sidecar, over all its starts.
type Sidecar struct {
	Name     string        `json:"name"`
	Tier     int           `json:"tier"`
	Starts   int           `json:"starts"`
	Crashed  bool          `json:"crashed"` // the process ended by itself
	RSSMB    float64       `json:"rss_mb"`  // the largest resident memory
	CPU      float64       `json:"cpu_s"`   // seconds of processor time of its last start
	FDs      int           `json:"fds"`     // the largest number of file descriptors
	Tally    *oracle.Tally `json:"book"`    // what the checker recorded of its requests
	Counters *Counters     `json:"counters"`
}

// Counters are a sidecar's own counters.
type Counters struct {
	Taken      int            `json:"taken"`
	Malformed  int            `json:"malformed"`
	TurnedAway int            `json:"turned_away"`
	Served     int            `json:"served"`
	Refused    int            `json:"refused"`
	Failed     int            `json:"failed"`
	Left       int            `json:"left"` // the client left before the end
	Sent       int            `json:"sent"`
	Held       int            `json:"held"` // still pending
	Attempts   map[string]int `json:"attempts"`
}

// Compare returns where a sidecar's counters differ from what the checker recorded, one line each.
// If a client left early, the sidecar may have counted its request as answered or not; nothing else
// may differ, except attempts of which the sidecar cannot know whether they reached an endpoint.
func Compare(name string, c *Counters, tally *oracle.Tally) []string {
	var mismatches []string
	// check compares a counter with the range that the checker's records allow.
	check := func(what string, got, low, high int) {
		if got < low || got > high {
			mismatches = append(mismatches, fmt.Sprintf("%s: %s %d, the checker recorded %d to %d", name, what, got, low, high))
		}
	}
	answers := tally.Answers
	check("taken and turned away", c.Taken+c.TurnedAway, tally.Requests, tally.Requests)
	check("ends", c.Served+c.Refused+c.Failed+c.Left+c.Held, c.Taken, c.Taken)
	check("served", c.Served, answers[oracle.Served], answers[oracle.Served]+tally.ClientLeft)
	check("refused", c.Refused+c.TurnedAway, answers[oracle.Refused], answers[oracle.Refused]+tally.ClientLeft)
	check("failed", c.Failed, answers[oracle.Failed], answers[oracle.Failed]+tally.ClientLeft)
	uncertain := c.Attempts["connect_failed"] + c.Attempts["timed_out"] + c.Attempts["canceled"] +
		c.Attempts["reset"] + c.Attempts["not_sent"]
	check("attempts", c.Sent, tally.Arrivals, tally.Arrivals+uncertain)
	check("attempts served", c.Attempts["served"], 0, tally.Runs)
	return mismatches
}

// NumViolations returns the number of violations of all rules.
func (r *Record) NumViolations() int {
	n := 0
	for _, count := range r.Rules {
		n += count
	}
	return n
}

// Passed reports whether the run counts and nothing was violated.
func (r *Record) Passed() bool {
	return r.NumViolations() == 0 && len(r.Void) == 0 && len(r.Mismatches) == 0 && !r.Partial && !r.anyCrashed()
}

func (r *Record) anyCrashed() bool {
	for _, s := range r.Sidecars {
		if s.Crashed {
			return true
		}
	}
	return false
}

// Load reads a record from a file. A record of another version is an error.
func Load(path string) (*Record, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r := &Record{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("%s: no record: %w", path, err)
	}
	if r.Version != Version {
		return nil, fmt.Errorf("%s: record of version %d; allowed: %d", path, r.Version, Version)
	}
	return r, nil
}

// Save writes the record to a file, completely or not at all.
func (r *Record) Save(path string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return WriteFile(path, append(text, '\n'))
}

// WriteFile writes a file completely or not at all: it writes to a temporary file, which it then
// renames.
func WriteFile(path string, text []byte) (err error) {
	f, err := os.CreateTemp(filepath.Dir(path), ".tmp-*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			os.Remove(f.Name())
		}
	}()
	_, err = f.Write(text)
	if err = errors.Join(err, f.Chmod(0o644), f.Sync(), f.Close()); err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}
