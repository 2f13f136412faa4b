// Package record holds what a run of the lab leaves: one JSON object, whose keys
// docs/lab.md lists and which stay as they are.
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

// Version is that of the record's form.
const Version = 1

// Record is one run.
type Record struct {
	Version  int       `json:"version"`
	Scenario string    `json:"scenario"`
	About    string    `json:"about"`
	Policy   string    `json:"policy"` // what decided: heathgap, or a baseline
	Seed     uint64    `json:"seed"`
	Timeline string    `json:"timeline"` // sum over arrivals and faults: equal for equal seeds
	Began    time.Time `json:"began"`
	Seconds  float64   `json:"seconds"`
	Partial  bool      `json:"partial"` // it was interrupted
	Void     []string  `json:"void"`    // why its figures count for nothing; empty for a good run
	Machine  Machine   `json:"machine"`

	Service                   float64                 `json:"service"`
	All                       oracle.Stats            `json:"all"`
	Classes                   map[string]oracle.Stats `json:"classes"`
	Tenants                   map[string]oracle.Stats `json:"tenants"`
	Rules                     map[oracle.Rule]int     `json:"rules"`
	Violations                []oracle.Violation      `json:"breaks"`
	AttemptsPerRequest        float64                 `json:"attempts_per_request"` // at endpoints of the first tier, for what its sidecars were asked
	AttemptsPerLogicalRequest float64                 `json:"attempts_per_want"`    // the same for what clients wanted, however often they asked
	ClientRepeats             int                     `json:"client_repeats"`       // keyed effects that clients doubled themselves
	Sidecars                  []Sidecar               `json:"sidecars"`
	Mismatches                []string                `json:"books"` // where a sidecar's counters differ from the book
	LateSendsP99              float64                 `json:"late_sends_ms_p99"`
	LateSendsMax              float64                 `json:"late_sends_ms_max"`
	BadClients                load.MalformedCounts    `json:"bad_clients"`
	Series                    []oracle.Second         `json:"series"`
	Faults                    []string                `json:"faults"` // as they were played
}

// Machine is where a run took place.
type Machine struct {
	Cores    int    `json:"cores"`
	MemoryMB int    `json:"memory_mb"`
	Go       string `json:"go"`
}

// Sidecar is one sidecar, over all its starts.
type Sidecar struct {
	Name     string        `json:"name"`
	Tier     int           `json:"tier"`
	Starts   int           `json:"starts"`
	Crashed  bool          `json:"crashed"` // it ended by itself
	RSSMB    float64       `json:"rss_mb"`  // the most, resident
	CPU      float64       `json:"cpu_s"`   // of its last start
	FDs      int           `json:"fds"`     // the most
	Tally    *oracle.Tally `json:"book"`    // what it was asked, by the book
	Counters *Counters     `json:"counters"`
}

// Counters are what a sidecar says of itself.
type Counters struct {
	Taken      int            `json:"taken"`
	Malformed  int            `json:"malformed"`
	TurnedAway int            `json:"turned_away"`
	Served     int            `json:"served"`
	Refused    int            `json:"refused"`
	Failed     int            `json:"failed"`
	Left       int            `json:"left"`
	Sent       int            `json:"sent"`
	Held       int            `json:"held"`
	Attempts   map[string]int `json:"attempts"`
}

// Compare tells where a sidecar's counters differ from the book. Where a client
// left, the sidecar may have answered or not: only there is it free.
func Compare(name string, c *Counters, t *oracle.Tally) []string {
	var faults []string
	within := func(what string, got, least, most int) {
		if got < least || got > most {
			faults = append(faults, fmt.Sprintf("%s: %s %d, by the book %d to %d", name, what, got, least, most))
		}
	}
	answers := t.Answers
	within("taken and turned away", c.Taken+c.TurnedAway, t.Requests, t.Requests)
	within("ends", c.Served+c.Refused+c.Failed+c.Left+c.Held, c.Taken, c.Taken)
	within("served", c.Served, answers[oracle.Served], answers[oracle.Served]+t.ClientLeft)
	within("refused", c.Refused+c.TurnedAway, answers[oracle.Refused], answers[oracle.Refused]+t.ClientLeft)
	within("failed", c.Failed, answers[oracle.Failed], answers[oracle.Failed]+t.ClientLeft)
	unsure := c.Attempts["connect_failed"] + c.Attempts["timed_out"] + c.Attempts["canceled"] +
		c.Attempts["reset"] + c.Attempts["not_sent"]
	within("attempts", c.Sent, t.Arrivals, t.Arrivals+unsure)
	within("attempts served", c.Attempts["served"], 0, t.Runs)
	return faults
}

// NumViolations is how many rules were broken in all.
func (r *Record) NumViolations() int {
	n := 0
	for _, count := range r.Rules {
		n += count
	}
	return n
}

// Passed tells whether the run counts and nothing was broken.
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

// Load reads a record.
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

// Save writes a record whole or not at all.
func (r *Record) Save(path string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return WriteFile(path, append(text, '\n'))
}

// WriteFile writes a file whole or not at all: under another name, then renamed.
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
