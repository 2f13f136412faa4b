package scale

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"heathgap/internal/lab/emulated"
)

const evaluatedScenario = `keepers = 3
hollow = 6
each_process = 3
real = 1
plain = 1
duration = "30s"
copies = 2
orders = 1
[limits]
in_force = "4s"
member_cpu = 1.5
member_mb = 32
member_bytes = 22000
keeper_cpu = 50
keeper_mb = 100
cautious = "3s"
refusals = 5
least_renewals = 0.7
above_median = 1.3
renewal_bytes = 3000
most_renewals = 1.6
` + twoRegions

// observedRun is a run of 30 s without any fault, which begins at 1,000 s: two versions are proposed at 5 and 15 s, and each is in effect a
// second later. Tests add faults before they evaluate it.
type observedRun struct {
	*Observations
	usagePerSecond map[string]emulated.MemberUsage // by emulated member, per second
	// processor time by process, per second
	cpuPerSecond map[string]time.Duration
}

func at(seconds float64) time.Duration {
	return 1000*time.Second + time.Duration(seconds*float64(time.Second))
}

// flawlessRun returns the run before evaluate has added what its processes use.
func flawlessRun(t *testing.T) *observedRun {
	t.Helper()
	s := parse(t, evaluatedScenario)
	o := &observedRun{Observations: &Observations{Plan: NewPlan(s, 1), Began: at(0), Ended: at(30), States: map[string][]emulated.MemberState{}, Downtimes: map[string][]Span{},
		Samples: map[string][]emulated.Usage{}, Usage: map[string][]Usage{}, MaxLag: map[string]time.Duration{"this process": 30 * time.Millisecond},
		Leaders: []Leadership{{At: at(-5), Name: "k1", Term: 2}}}, usagePerSecond: map[string]emulated.MemberUsage{}, cpuPerSecond: map[string]time.Duration{}}
	o.Versions = []ProposedVersion{{Number: 1, Due: at(4.9), Proposed: at(5)}, {Number: 2, Due: at(15), Proposed: at(15)}}
	for name := range o.Plan.Locations {
		o.addState(name, -3, 0, 0)
		o.addState(name, 5.6, 0, 1)
		o.addState(name, 6, 1, 0)
		o.addState(name, 15.6, 1, 2)
		o.addState(name, 16, 2, 0)
		if strings.HasPrefix(name, "h") {
			o.usagePerSecond[name] = emulated.MemberUsage{In: 4000, Out: 3000, ToVoters: 1600, FromVoters: 1200, Renewals: 4, KeyedRequests: 1}
		}
	}
	for _, name := range []string{"k1", "k2", "k3", "m1", "p1"} {
		o.cpuPerSecond[name] = 8 * time.Millisecond
	}
	o.cpuPerSecond["k1"], o.cpuPerSecond["m1"] = 200*time.Millisecond, 12*time.Millisecond
	o.cpuPerSecond["hollow1"], o.cpuPerSecond["hollow2"] = 9*time.Millisecond, 9*time.Millisecond
	return o
}

// addState adds a member's state from a time on: the version in effect and the one being prepared.
func (o *observedRun) addState(name string, seconds float64, active, next uint64) {
	o.States[name] = append(o.States[name], emulated.MemberState{At: at(seconds), Member: name, Active: active, Next: next})
}

// replaceStates replaces a member's states from a time on by one state.
func (o *observedRun) replaceStates(name string, seconds float64, s emulated.MemberState) {
	s.At, s.Member = at(seconds), name
	o.States[name] = append(slices.DeleteFunc(o.States[name], func(old emulated.MemberState) bool { return old.At >= s.At }), s)
}

// evaluate adds what the processes use, for each second, and evaluates the run.
func (o *observedRun) evaluate() *Record {
	for second := 0; second <= 30; second++ {
		for _, p := range o.Plan.Processes {
			if p.Kind != EmulatedProcess {
				u := Usage{At: at(float64(second)), Start: 1, CPU: time.Duration(second) * o.cpuPerSecond[p.Name], MB: 30,
					Read: int64(second) * 9000, Write: int64(second) * 9000}
				if p.Kind == PlainProcess {
					u.MB, u.Read, u.Write = 12, u.Read/3, u.Write/3
				}
				o.Usage[p.Name] = append(o.Usage[p.Name], u)
				continue
			}
			s := emulated.Usage{At: at(float64(second)), CPU: time.Duration(second) * o.cpuPerSecond[p.Name], RSSBytes: 30 << 20, Members: map[string]emulated.MemberUsage{}}
			for _, m := range p.Members {
				one, n := o.usagePerSecond[m], int64(second)
				s.Members[m] = emulated.MemberUsage{In: n * one.In, Out: n * one.Out, ToVoters: n * one.ToVoters, FromVoters: n * one.FromVoters,
					Renewals: n * one.Renewals, KeyedRequests: n * one.KeyedRequests, KeyedRefused: n * one.KeyedRefused}
			}
			o.Samples[p.Name] = append(o.Samples[p.Name], s)
		}
	}
	return Evaluate(o.Observations)
}

// violated returns the keys of the measurements that violate their limits.
func violated(r *Record) (keys []string) {
	for _, f := range r.Measurements {
		if f.Violated {
			keys = append(keys, f.Key)
		}
	}
	return keys
}

// Guards against measurements with wrong values, and against a run without faults that does not pass.
func TestEvaluateFlawlessRun(t *testing.T) {
	r := flawlessRun(t).evaluate()
	if !r.Passed() {
		t.Fatalf("%v, void %v, broken %v", violated(r), r.Void, r.Broken)
	}
	for key, want := range map[string]float64{
		"in_force_p50": 1000, "in_force_most": 1000, "waited_most": 100, "contradicted": 0, "cautious_most": 0, "cautious_members": 0,
		"member_cpu_mean": 0.3, "member_cpu_worst": 0.3, "member_mb": 10, "member_bytes_mean": 7000, "member_bytes_worst": 7000,
		"renewals_mean": 1, "renewals_most": 1, "renewals_above": 1, "renewal_bytes": 700, "orders": 180, "refusals": 0,
		"keeper_cpu_worst": 20, "leader_cpu_mean": 20,
		"control_cpu_mean": 0.4, "control_mb": 18, "control_bytes_mean": 12000, "leader_changes": 0, "leader_out_mean": 9000,
	} {
		if f := r.Measurement(key); f.NotMeasured || f.Value < want*0.999-0.001 || f.Value > want*1.001+0.001 {
			t.Errorf("%s: %v, not %v", key, f, want)
		}
	}
	if _, err := json.Marshal(r); err != nil {
		t.Error(err)
	}
	if len(r.Series) != 30 || r.Series[10] != (Second{LeaderCPU: 20}) {
		t.Errorf("%d seconds, the one at index 10: %+v", len(r.Series), r.Series[10])
	}
	var text strings.Builder
	if r.WriteText(&text); !strings.Contains(text.String(), "all limits hold") {
		t.Error(text.String())
	}
	for name, p := range r.plots() {
		if svg, err := p.SVG(); err != nil || len(svg) < 1000 {
			t.Errorf("%s: %d bytes %v", name, len(svg), err)
		}
	}
}

// Guards against checks that miss their fault or report another one: each fault must violate exactly the expected limits and name its
// source.
func TestEvaluateCatchesEachFault(t *testing.T) {
	for name, c := range map[string]struct {
		inject func(o *observedRun)
		want   []string
		who    string
	}{
		"a member that ignores a version": {func(o *observedRun) {
			o.replaceStates("h3", 15.6, emulated.MemberState{Active: 1})
		}, []string{"contradicted", "in_force_never"}, "h3"},
		"a member that applies a version late": {func(o *observedRun) {
			o.replaceStates("h3", 15.6, emulated.MemberState{Active: 1, Next: 2})
			o.addState("h3", 19.1, 2, 0)
		}, []string{"in_force_most", "in_force_p99"}, "h3"},
		"a member that renews at twice the rate": {func(o *observedRun) {
			o.usagePerSecond["h2"] = emulated.MemberUsage{In: 8000, Out: 6000, ToVoters: 3200, FromVoters: 2400, Renewals: 8, KeyedRequests: 1}
		}, []string{"renewals_above", "renewals_most"}, "h2"},
		"a member that is sent the full state each time": {func(o *observedRun) {
			o.usagePerSecond["h5"] = emulated.MemberUsage{In: 40000, Out: 3000, ToVoters: 1600, FromVoters: 37200, Renewals: 4, KeyedRequests: 1}
		}, []string{"member_bytes_worst", "renewal_bytes"}, "h5"},
		"a leader whose answers are 200 ms late": {func(o *observedRun) {
			for m, one := range o.usagePerSecond {
				one.Renewals = 2
				o.usagePerSecond[m] = one
			}
		}, []string{"renewals_mean"}, ""},
		"a process that costs too much": {func(o *observedRun) { o.cpuPerSecond["hollow2"] = 60 * time.Millisecond }, []string{"member_cpu_worst"}, "hollow2"},
		"all processes cost too much": {func(o *observedRun) {
			o.cpuPerSecond["hollow1"], o.cpuPerSecond["hollow2"] = 60*time.Millisecond, 60*time.Millisecond
		}, []string{"member_cpu_mean", "member_cpu_worst"}, ""},
		"a real sidecar that costs too much": {func(o *observedRun) {
			o.cpuPerSecond["m1"] = 30 * time.Millisecond
		}, []string{"control_cpu_mean", "control_cpu_worst"}, ""},
		"a leader that costs too much": {func(o *observedRun) { o.cpuPerSecond["k1"] = 600 * time.Millisecond }, []string{"keeper_cpu_worst"}, "k1"},
		"requests that are refused": {func(o *observedRun) {
			one := o.usagePerSecond["h1"]
			one.KeyedRefused = 1
			o.usagePerSecond["h1"] = one
		}, []string{"refusals"}, ""},
		"a member without a lease": {func(o *observedRun) {
			o.replaceStates("h4", 20, emulated.MemberState{Active: 2, Cautious: true})
			o.addState("h4", 23.5, 2, 0)
		}, []string{"cautious_most"}, "h4"},
		"a member that never gets a lease again": {func(o *observedRun) {
			o.replaceStates("h4", 14, emulated.MemberState{Active: 1, Cautious: true})
		}, []string{"cautious_most"}, "h4"},
		"a version that is refused": {func(o *observedRun) {
			o.Versions[1].Refused = "h1: looser than its own"
			for m := range o.States {
				o.replaceStates(m, 15.6, emulated.MemberState{Active: 1})
			}
		}, []string{"versions_refused"}, "h1: looser than its own"},
		"a version that nobody could propose": {func(o *observedRun) { o.Unproposed = 1 }, []string{"versions_left"}, ""},
		"a process that needs too much memory": {func(o *observedRun) {
			o.Samples["hollow1"] = []emulated.Usage{{At: at(0), RSSBytes: 100 << 20}}
		}, []string{"member_mb"}, "hollow1"},
		"voters that were not measured": {func(o *observedRun) {
			for _, name := range []string{"k1", "k2", "k3"} {
				o.Usage[name] = []Usage{{At: at(100)}, {At: at(101)}} // after the end of the run
				delete(o.cpuPerSecond, name)
			}
			o.Plan.Processes = slices.DeleteFunc(o.Plan.Processes, func(p Process) bool { return p.Kind == VoterProcess })
		}, []string{"keeper_cpu_worst", "keeper_mb"}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			o := flawlessRun(t)
			c.inject(o)
			r := o.evaluate()
			got := violated(r)
			slices.Sort(got)
			if !slices.Equal(got, c.want) || r.Passed() {
				t.Errorf("violated limits: %v; want %v", got, c.want)
			}
			if who := r.Measurement(c.want[0]).Source; c.who != "" && who != c.who {
				t.Errorf("the source of %s is %q", c.want[0], who)
			}
			var text strings.Builder
			if r.WriteText(&text); !strings.Contains(text.String(), "\n! ") || strings.Contains(text.String(), "all limits hold") {
				t.Error(text.String())
			}
		})
	}
}

// Guards against wrong members counting for the time that a version took: a member that is lost does not count, and one that comes back
// counts only if it still applies the older version.
func TestEvaluateLostMembers(t *testing.T) {
	cautious := emulated.MemberState{Active: 1, Cautious: true}
	for name, c := range map[string]struct {
		inject  func(o *observedRun)
		inForce float64
		never   float64
	}{
		"killed before it applies the version": {func(o *observedRun) {
			o.replaceStates("h1", 15.2, emulated.MemberState{Active: 1, Gone: true})
			o.Downtimes["h1"] = []Span{{at(15.2), never}}
		}, 1000, 0},
		"killed, and back without applying the older version": {func(o *observedRun) {
			o.replaceStates("h1", 15.2, emulated.MemberState{Active: 1, Gone: true})
			o.Downtimes["h1"] = []Span{{at(15.2), at(18)}}
			o.States["h1"] = append(o.States["h1"], emulated.MemberState{At: at(18.01), Member: "h1", Cautious: true})
			o.addState("h1", 18.5, 2, 0)
		}, 1000, 0},
		"killed, and back applying the older version": {func(o *observedRun) {
			o.replaceStates("h1", 15.2, emulated.MemberState{Active: 1, Gone: true})
			o.Downtimes["h1"] = []Span{{at(15.2), at(15.5)}}
			o.addState("h1", 15.8, 1, 0)
			o.addState("h1", 17, 2, 0)
		}, 2000, 0},
		"back applying the older version, and never the newer": {func(o *observedRun) {
			o.replaceStates("h1", 15.2, emulated.MemberState{Active: 1, Gone: true})
			o.Downtimes["h1"] = []Span{{at(15.2), at(18)}}
			o.addState("h1", 18.5, 1, 0)
		}, 1000, 1},
		"without a lease as the version is proposed": {func(o *observedRun) {
			o.replaceStates("h1", 14.9, cautious)
			o.addState("h1", 16.5, 2, 0)
		}, 1000, 0},
		"cautious for a while": {func(o *observedRun) {
			o.replaceStates("h1", 15.2, cautious)
			o.addState("h1", 17.5, 2, 0)
		}, 2500, 0},
	} {
		t.Run(name, func(t *testing.T) {
			o := flawlessRun(t)
			c.inject(o)
			r := o.evaluate()
			if got := r.Measurement("in_force_most").Value; got < c.inForce-1 || got > c.inForce+1 {
				t.Errorf("in effect after %v ms; want %v", got, c.inForce)
			}
			if got := r.Measurement("in_force_never").Value; got != c.never {
				t.Errorf("%v members never applied it; want %v", got, c.never)
			}
		})
	}
}

// Guards against a wrong attribution during a partition: a member on the side without a majority of voters counts as partitioned, its
// cautious time is reported separately, and no version waits for it. A member on the other side counts as reachable.
func TestEvaluatePartition(t *testing.T) {
	s := parse(t, strings.Replace(evaluatedScenario, "keepers = 3", "keepers = 5", 1))
	build := func() *observedRun {
		o := flawlessRun(t)
		o.Plan = NewPlan(s, 1)
		o.Partitions = []PartitionSpan{{Span{at(14), at(24)}, [2]string{"north", "south"}}}
		for name, place := range o.Plan.Locations {
			if strings.HasPrefix(name, "k") && len(o.States[name]) == 0 {
				for _, st := range o.States["k1"] {
					o.States[name] = append(o.States[name], emulated.MemberState{At: st.At, Member: name, Active: st.Active, Next: st.Next})
				}
				o.cpuPerSecond[name] = time.Millisecond
			}
			if place.Region == "south" {
				o.replaceStates(name, 15.5, emulated.MemberState{Active: 1, Cautious: true}) // its lease has expired
				o.addState(name, 24.4, 2, 0)
			}
		}
		return o
	}
	r := build().evaluate()
	if !r.Passed() {
		t.Errorf("%v", violated(r))
	}
	for key, want := range map[string]float64{
		"in_force_most": 1000, "cut_off_older": 500, "cut_off_cautious": 8500, "cautious_most": 400, "contradicted": 0,
	} {
		if f := r.Measurement(key); f.NotMeasured || f.Value < want-1 || f.Value > want+1 {
			t.Errorf("%s: %v, not %v", key, f, want)
		}
	}
	south := 0
	for _, p := range NewPlan(s, 1).Locations {
		if p.Region == "south" {
			south++
		}
	}
	if got := r.Series[18]; got.Partitioned != south || got.Cautious != 0 {
		t.Errorf("second 18: %+v; want all %d members of the south partitioned", got, south)
	}
	// Members on the majority's side must keep their leases.
	o := build()
	o.replaceStates("h1", 15.5, emulated.MemberState{Active: 1, Cautious: true})
	o.addState("h1", 24.4, 2, 0)
	if o.Plan.Locations["h1"].Region != "north" {
		t.Fatal(o.Plan.Locations["h1"])
	}
	if got := violated(o.evaluate()); !slices.Contains(got, "cautious_most") || !slices.Contains(got, "in_force_most") {
		t.Errorf("%v", got)
	}
	// A partitioned member that goes on applying the older version contradicts the others.
	o = build()
	south1 := ""
	for name, p := range o.Plan.Locations {
		if p.Region == "south" && name[0] == 'h' && (south1 == "" || name < south1) {
			south1 = name
		}
	}
	o.replaceStates(south1, 15.5, emulated.MemberState{Active: 1})
	o.addState(south1, 24.4, 2, 0)
	r = o.evaluate()
	if f := r.Measurement("contradicted"); !f.Violated || f.Source != south1 || f.Value < 8399 || f.Value > 8401 {
		t.Errorf("%+v", f)
	}
}

// Guards against a run that passes although it does not count.
func TestEvaluateInvalidRuns(t *testing.T) {
	for name, inject := range map[string]func(o *observedRun){
		"the load lagged": func(o *observedRun) { o.MaxLag["hollow1"] = 251 * time.Millisecond },
		"interrupted":     func(o *observedRun) { o.Partial = true },
		"a process ended": func(o *observedRun) { o.Broken = []string{"the process hollow1 has ended by itself"} },
	} {
		o := flawlessRun(t)
		inject(o)
		r := o.evaluate()
		var text strings.Builder
		r.WriteText(&text)
		if r.Passed() || strings.Contains(text.String(), "all limits hold") {
			t.Errorf("%s: the run passes\n%s", name, text.String())
		}
		if len(violated(r)) > 0 {
			t.Errorf("%s: limits are violated too: %v", name, violated(r))
		}
	}
}

func TestWorstAndMeanRate(t *testing.T) {
	var p []point
	sum := 0.0
	for i := range 31 {
		p = append(p, point{time.Duration(i) * time.Second, sum})
		if sum += 1; i >= 10 && i < 20 {
			sum += 4
		}
	}
	if most, mean := worstAndMeanRate(p); most != 5 || mean < 2.3 || mean > 2.4 {
		t.Errorf("%v, %v", most, mean)
	}
	if most, mean := worstAndMeanRate(p[:5]); most != 1 || mean != 1 {
		t.Errorf("points over 4 s: worst rate %v, mean %v; want 1 for both", most, mean)
	}
	// A counter that begins anew does not lower the count.
	values := []float64{100, 110, 5, 15}
	second := func(i int) time.Duration { return time.Duration(i) * time.Second }
	r := cumulative(4, second, func(i int) float64 { return values[i] }, func(int) bool { return false })
	if fmt.Sprint(r[3].value) != "25" {
		t.Errorf("%v", r)
	}
}

func TestInterpolate(t *testing.T) {
	p := []point{{2 * time.Second, 10}, {4 * time.Second, 30}}
	for seconds, want := range []float64{10, 10, 10, 20, 30, 30} {
		at := time.Duration(seconds) * time.Second
		if got := interpolate(p, at); got != want {
			t.Errorf("at %v: %v, not %v", at, got, want)
		}
	}
}

func TestWriteSpread(t *testing.T) {
	a, b := flawlessRun(t).evaluate(), flawlessRun(t)
	b.cpuPerSecond["k1"] = 600 * time.Millisecond
	var text strings.Builder
	WriteSpread(&text, []*Record{a, b.evaluate()})
	for _, want := range []string{"2 runs", "20.0         20.0         60.0 %  (limit 50, violated in 1)"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("%q is not in:\n%s", want, text.String())
		}
	}
}
