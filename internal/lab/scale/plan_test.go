package scale

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

func parse(t *testing.T, text string) *Scenario {
	t.Helper()
	s, err := Parse("test.toml", []byte("name = \"test\"\n"+text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

const twoRegions = `
[[region]]
name = "north"
zones = ["a", "b", "c"]
[[region]]
name = "south"
zones = ["d", "e"]
`

// Guards against a plan that depends on anything but the scenario and the seed.
func TestPlanIsDeterministic(t *testing.T) {
	for _, path := range shippedScenarios(t) {
		s, err := Load(path)
		if err != nil {
			t.Fatal(err)
		}
		if a, b := NewPlan(s, 7), NewPlan(s, 7); !reflect.DeepEqual(a, b) {
			t.Errorf("%s: two plans of one seed differ", path)
		}
	}
	s := parse(t, "speed_up = 1000\nduration = \"1m\"\n[day]\nrestarts = 200\nlost = 2\n")
	a, b := NewPlan(s, 1), NewPlan(s, 2)
	if reflect.DeepEqual(a.Actions, b.Actions) {
		t.Error("two seeds give the same actions")
	}
	count := map[string]int{}
	for i, act := range a.Actions {
		count[act.Kind] += len(act.Members)
		if i > 0 && act.At < a.Actions[i-1].At {
			t.Errorf("action %d is earlier than the one before it", i)
		}
	}
	if count[Restart] < 130 || count[Restart] > 139 || count[Kill] != 1 { // 200 restarts and 2 lost a day, 1,000 times as frequent, are 139 and 1 in 60 s
		t.Errorf("%v", count)
	}
}

// Guards against actions on members that are not up: a rolling restart takes each member once, a killed member is never picked again, and
// one that is down is not picked before it is back.
func TestPlanPicksMembersThatAreUp(t *testing.T) {
	s := parse(t, `hollow = 40
keepers = 3
duration = "60s"
[[step]]
do = "kill"
count = 10
[[step]]
at = "1s"
do = "restart"
share = 1.0
for = "50s"
away = "1s"
`)
	p := NewPlan(s, 3)
	killed, restarted := map[string]bool{}, map[string]int{}
	for _, a := range p.Actions {
		for _, m := range a.Members {
			if killed[m] {
				t.Errorf("%v affects %s, which was killed before", a, m)
			}
			if killed[m] = a.Kind == Kill; a.Kind == Restart {
				restarted[m]++
			}
		}
	}
	if len(restarted) != 30 {
		t.Errorf("%d members were restarted; want 30", len(restarted))
	}
	for m, n := range restarted {
		if n != 1 {
			t.Errorf("%s was restarted %d times", m, n)
		}
	}
}

// Guards against wrong members of a failure: a zone includes its voters, a rack does not.
func TestPlanZoneAndRack(t *testing.T) {
	s := parse(t, `keepers = 5
real = 10
hollow = 565
duration = "60s"
[[step]]
do = "zone"
who = "b"
for = "2s"
[[step]]
at = "30s"
do = "rack"
who = "a"
count = 40
leader = true
`+twoRegions)
	p := NewPlan(s, 1)
	zone, rack := p.Actions[0], p.Actions[1]
	if len(zone.Members) != 116 || zone.Downtime != 2*time.Second || zone.Members[0] != "k2" {
		t.Errorf("the zone: %d members, down for %v, the first is %v", len(zone.Members), zone.Downtime, zone.Members[0])
	}
	if len(rack.Members) != 40 || !rack.KillLeader {
		t.Errorf("the rack: %d members; want 40 and the leader", len(rack.Members))
	}
	for _, m := range rack.Members {
		if p.Locations[m] != (Location{"a", "north"}) || strings.HasPrefix(m, "k") {
			t.Errorf("a member of the rack: %s in %v", m, p.Locations[m])
		}
	}
	north := 0
	for _, k := range s.voterNames() {
		if p.Locations[k].Region == "north" {
			north++
		}
	}
	if north != 3 {
		t.Errorf("%d voters in the north; want 3", north)
	}
}

// Guards against a plan that is too large for the machine: the error is one line with the need and the limit.
func TestPlanRejectsTooLarge(t *testing.T) {
	for name, c := range map[string]struct {
		text        string
		descriptors uint64
		want        []string
	}{
		"processes":   {"hollow = 400\neach_process = 1\n", 20000, []string{"403 processes", "allowed: 300", "each_process"}},
		"descriptors": {"hollow = 400\neach_process = 400\ncopies = 2\n", 1024, []string{"descriptors", "allowed: 1024", "RLIMIT_NOFILE", "each_process"}},
		"memory":      {"hollow = 2000\neach_process = 400\n", 1 << 20, []string{"MB", "allowed: 12288 MB", "hollow"}},
	} {
		err := NewPlan(parse(t, c.text), 1).Check(c.descriptors)
		if err == nil {
			t.Errorf("%s: not refused", name)
			continue
		}
		for _, want := range c.want {
			if !strings.Contains(err.Error(), want) {
				t.Errorf("%s: %q is not in: %v", name, want, err)
			}
		}
		if strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: more than one line: %v", name, err)
		}
	}
	if err := NewPlan(parse(t, "hollow = 60\ncopies = 2\n"), 1).Check(20000); err != nil {
		t.Error(err)
	}
}
