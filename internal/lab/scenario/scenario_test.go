package scenario

import (
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const validScenario = `name = "test"
duration = "30s"
[[class]]
name = "look"
work = "4ms"
[[class]]
name = "pay"
effect = "keyed"
window = "10s"
work = "8ms"
[[tenant]]
name = "north"
[[tenant]]
name = "south"
share = 3
[[tier]]
name = "front"
endpoints = 8
sidecars = 2
[load]
rate = 200
[[fault]]
kind = "crash"
at = "5s"
for = "2s"
share = 0.5
[[fault]]
kind = "release"
at = "10s"
for = "1s"
count = 3
[[fault]]
kind = "add"
at = "20s"
count = 2
[[fault]]
kind = "flood"
at = "10s"
for = "10s"
tenant = "south"
factor = 5
`

func parse(t testing.TB, text string) *Scenario {
	t.Helper()
	s, err := Parse("f", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// All scenarios of the repository are valid and named like their files.
func TestRepositoryScenarios(t *testing.T) {
	paths, err := filepath.Glob("../../../lab/scenarios/*.toml")
	if err != nil || len(paths) < 10 {
		t.Fatalf("%d scenarios, %v; want at least ten", len(paths), err)
	}
	for _, path := range paths {
		s, err := LoadFile(path)
		if err != nil {
			t.Error(err)
			continue
		}
		if s.Name+".toml" != filepath.Base(path) {
			t.Errorf("%s is named %q", path, s.Name)
		}
	}
}

// Guards against mistakes in a file that are not reported, or are reported for the wrong line.
func TestParseErrors(t *testing.T) {
	for name, c := range map[string]struct{ from, to, want string }{
		"wrong key":         {"work = \"4ms\"", "work = \"4ms\"\nwrok = 1", `f:6: class[0].wrok: unknown key`},
		"unit missing":      {"at = \"5s\"", "at = 5", `f:24: fault[0].at: 5; allowed: a time from "0s" to "30s" with its unit`},
		"more load":         {"rate = 200", "rate = 7000", `f:21: load.rate: 7000 requests a second; allowed: up to 6000: more than the lab can make`},
		"more of capacity":  {"rate = 200", "of_capacity = 20", `f:21: load.of_capacity: 53333 requests a second`},
		"both":              {"rate = 200", "rate = 1\nof_capacity = 1", `f:22: load.of_capacity: beside rate`},
		"neither":           {"rate = 200", "", `f:20: load.rate: missing`},
		"no window":         {"window = \"10s\"\n", "", `class[1].window: missing or 0`},
		"unknown tenant":    {"tenant = \"south\"", "tenant = \"west\"", `fault[3].tenant: "west"; allowed: the name of a tenant`},
		"unknown kind":      {"kind = \"crash\"", "kind = \"crahs\"", `f:23: fault[0].kind: "crahs"; allowed: crash, replace`},
		"key of other kind": {"kind = \"add\"", "kind = \"add\"\nfor = \"2s\"", `fault[2].for: unknown key; allowed: at, count, kind`},
		"after the end":     {"at = \"5s\"", "at = \"31s\"", `f:24: fault[0].at: "31s"`},
		"share and count":   {"share = 0.5", "share = 0.5\ncount = 2", `f:27: fault[0].count: beside share`},
		"twice a class":     {"name = \"pay\"", "name = \"look\"", `class[1].name: "look", once more`},
		"no duration":       {"duration = \"30s\"\n", "", `f:1: duration: missing`},
		"no TOML":           {"[load]", "[load", `f:20: no TOML`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("f", []byte(strings.Replace(validScenario, c.from, c.to, 1)))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got error\n%v\nwant\n%s", err, c.want)
			}
		})
	}
}

// The same seed gives the same arrivals and faults, another seed gives others.
func TestHashFollowsSeed(t *testing.T) {
	s := parse(t, validScenario)
	first, again := s.Hash(3), s.Hash(3)
	if first != again || first != s.Hash(3) || first != parse(t, validScenario).Hash(3) {
		t.Error("the same seed gives two hashes")
	}
	if s.Hash(3) == s.Hash(4) {
		t.Error("two seeds give the same hash")
	}
	if s.Hash(3) == parse(t, strings.Replace(validScenario, "rate = 200", "rate = 201", 1)).Hash(3) {
		t.Error("the hash does not depend on the load")
	}
	if s.Hash(3) == parse(t, strings.Replace(validScenario, "share = 0.5", "share = 0.4", 1)).Hash(3) {
		t.Error("the hash does not depend on the faults")
	}
}

func TestTimeline(t *testing.T) {
	var released, added []int
	last := time.Duration(0)
	for _, step := range parse(t, validScenario).Timeline(1) {
		if step.At < last {
			t.Errorf("%v after %v", step, last)
		}
		last = step.At
		switch {
		case step.Kind == Crash && len(step.Slots) != 4:
			t.Errorf("%v, want half of 8", step)
		case step.Kind == Release && !step.Revert:
			released = append(released, step.Slots...)
		case step.Kind == Add:
			added = append(added, step.Slots...)
		}
	}
	if len(released) != 8 || len(added) != 2 || added[0] != 8 {
		t.Errorf("released %v, added %v; want all eight released once, and indexes 8 and 9 added", released, added)
	}
	seen := map[int]bool{}
	for _, n := range released {
		if seen[n] {
			t.Errorf("%d is released twice", n)
		}
		seen[n] = true
	}
}

// The arrivals follow the plan's rate, shares and floods.
func TestArrivals(t *testing.T) {
	plan := parse(t, validScenario).Plan()
	calm, flooded, south := 0, 0, 0
	for src := plan.Arrivals(1); ; {
		a, ok := src.Next()
		if !ok {
			break
		}
		if a.At >= 10*time.Second && a.At < 20*time.Second {
			flooded++
			south += a.Tenant
			continue
		}
		calm++
	}
	// 200 per second for 20 s without a flood; in the flood, 50 per second of north and 750 of south for 10 s.
	if calm < 3700 || calm > 4300 || flooded < 7700 || flooded > 8300 {
		t.Errorf("%d arrivals while calm, %d in the flood; want about 4000 and 8000", calm, flooded)
	}
	if part := float64(south) / float64(flooded); part < 0.92 || part > 0.96 {
		t.Errorf("%.3f of the flood is south's, want about 0.9375", part)
	}
}

func TestSetKey(t *testing.T) {
	for key, value := range map[string]string{"load.rate": "300", "tier.0.endpoints": "4", "rules.cold": `"2s"`} {
		text, err := SetKey([]byte(validScenario), key, value)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse("f", text); err != nil {
			t.Errorf("%s: %v", key, err)
		}
	}
	text, err := SetKey([]byte(validScenario), "load.rate", "300")
	if err != nil || parse(t, string(text)).Load.Rate != 300 {
		t.Errorf("the rate is not set: %v", err)
	}
	for _, key := range []string{"tier.7.endpoints", "name.first", "tier.0"} {
		if _, err := SetKey([]byte(validScenario), key, "1"); err == nil {
			t.Errorf("%s: an invalid key was set", key)
		}
	}
	if _, err := SetKey([]byte(validScenario), "load.rate", "many"); err == nil {
		t.Error("an invalid value was set")
	}
}

// No text may crash the parser. A scenario that it accepts can be run: its timeline has only tiers that exist, and its
// load is within bounds.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validScenario))
	f.Add([]byte(strings.ReplaceAll(validScenario, "\"", "'")))
	f.Add([]byte("name=\"x\"\nduration=\"1s\"\n[[tier]]\nname=\"a\"\nendpoints=1\n[load]\nof_capacity=1"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("f", text)
		if err != nil {
			return
		}
		if s.Load.Rate > MaxRate || len(s.Tiers) == 0 || len(s.Classes) == 0 {
			t.Fatalf("accepted: %+v", s)
		}
		for _, step := range s.Timeline(1) {
			if step.Tier >= len(s.Tiers) {
				t.Fatalf("%v: no such tier", step)
			}
		}
	})
}
