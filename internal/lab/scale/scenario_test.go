package scale

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"heathgap/internal/tomlread"
)

// shippedScenarios returns the files of the scenarios in lab/scale.
func shippedScenarios(t *testing.T) []string {
	t.Helper()
	paths, err := filepath.Glob("../../../lab/scale/*.toml")
	if err != nil || len(paths) < 5 {
		t.Fatalf("%v %v", paths, err)
	}
	return paths
}

// Guards against a shipped scenario that cannot be read or planned. 20,000 descriptors is the hard limit that Linux gives by default at
// most.
func TestShippedScenarios(t *testing.T) {
	for _, path := range shippedScenarios(t) {
		s, err := Load(path)
		if err != nil {
			t.Error(err)
			continue
		}
		if err := NewPlan(s, s.Seed).Check(20000); err != nil {
			t.Errorf("%s: %v", path, err)
		}
		if name := strings.TrimSuffix(filepath.Base(path), ".toml"); s.Name != name {
			t.Errorf("%s: name %q", path, s.Name)
		}
		if s.Name != "small" && (s.Size() != 580 || len(s.Regions) != 2 || len(s.zones()) != 5) {
			t.Errorf("%s: %d sidecars in %v", path, s.Size(), s.Regions)
		}
		if l := s.Limits; l.InEffect != 4*time.Second || l.MemberCPU != 1.5 || l.MemberMB != 32 || l.MemberBytes != 22000 {
			t.Errorf("%s: limits %+v differ from those that the operators set", path, l)
		}
	}
}

// Guards against errors that are lost or hard to find: each has a line of its own, with the file, line, key and what is allowed.
func TestScenarioErrors(t *testing.T) {
	text := `name = "bad"
keepers = 9
copies = 4
contradict_at_most = "1s"
member_zones = ["x"]
surprise = 1
[[region]]
name = "north"
zones = ["a", "b"]
[[region]]
name = "south"
zones = ["b"]
[[step]]
do = "dance"
[[step]]
at = "1h"
do = "restart"
[[step]]
do = "cut"
between = ["north", "west"]
[[step]]
do = "slow"
who = "k8"
for = "1s"
[[step]]
do = "zone"
[[step]]
do = "burst"
[[planted]]
who = "h9999"
fault = "hasty"
[[planted]]
who = "h1"
fault = "lazy"
[limits]
in_force = "soon"
`
	_, err := Parse("bad.toml", []byte(text))
	var all tomlread.Errors
	if !errors.As(err, &all) {
		t.Fatalf("%v", err)
	}
	lines := strings.Split(err.Error(), "\n")
	for _, want := range []string{
		"bad.toml:2: keepers: 9; allowed: a whole number from 1 to 7",
		"bad.toml:3: copies: 4; allowed: as many as there are zones, 3",
		"bad.toml:4: contradict_at_most: 1s; allowed: lease x (1 + drift) / (1 - drift) + slack, 2.24s, or more",
		`bad.toml:5: member_zones: "x"; allowed: zones of the regions: a, b, b`,
		"bad.toml:6: surprise: unknown key; allowed: ",
		`bad.toml:12: region[1].zones: "b" a second time; allowed: each zone in one region`,
		`bad.toml:14: step[0].do: "dance"; allowed: restart, kill, rack, zone, cut, slow, leader, burst`,
		"bad.toml:16: step[1].at: ",
		"bad.toml:15: step[1].count: count 0 and share 0; allowed: one of the two, above 0",
		`bad.toml:20: step[2].between: ["north" "west"]; allowed: two of the regions north, south`,
		"bad.toml:18: step[2].for: 0s; allowed: a time above 0",
		`bad.toml:23: step[3].who: "k8"; allowed: leader, k1, k2, k3`,
		`bad.toml:25: step[4].who: ""; allowed: a, b, b`,
		"bad.toml:27: step[5].count: 0; allowed: 1 to ",
		`bad.toml:30: planted[0].who: "h9999"; allowed: a hollow member, h1 to h60`,
		`bad.toml:34: planted[1].fault: "lazy"; allowed: unheeding, hasty, forgetful`,
		"bad.toml:36: limits.in_force: ",
	} {
		found := false
		for _, line := range lines {
			found = found || strings.HasPrefix(line, want)
		}
		if !found {
			t.Errorf("no line begins with %q", want)
		}
	}
	for _, e := range all {
		if e.Allowed == "" {
			t.Errorf("%v: does not say what is allowed", e)
		}
	}
	if t.Failed() {
		t.Logf("%v", err)
	}
}

func TestScenarioDefaults(t *testing.T) {
	s, err := Parse("x", []byte(`name = "x"`))
	if err != nil {
		t.Fatal(err)
	}
	if s.Size() != 63 || s.Lease != 2*time.Second || len(s.zones()) != 3 || s.MaxLag != 250*time.Millisecond {
		t.Errorf("%+v", s)
	}
	sized, err := s.WithSize(120)
	if err != nil || sized.Emulated != 117 || sized.Size() != 120 || s.Emulated != 60 {
		t.Errorf("%d emulated members of 120; the original has %d: %v", sized.Emulated, s.Emulated, err)
	}
	if _, err := s.WithSize(3); err == nil {
		t.Error("3 sidecars, all of them voters, are not rejected")
	}
}
