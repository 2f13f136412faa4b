package scale

import (
	"context"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"heathgap/internal/cluster/member"
	"heathgap/internal/lab/emulated"
	"heathgap/internal/lifecycle"
	"heathgap/internal/operator"
)

// roleVariable is an environment variable that makes the test's program run as one of the processes of a run.
const roleVariable = "HEATHGAP_SCALE_TEST_AS"

func TestMain(m *testing.M) {
	switch os.Getenv(roleVariable) {
	case "member":
		os.Exit(member.Process())
	case "plain":
		os.Exit(lifecycle.Main(lifecycle.Options{Operator: operator.Default()}))
	case "hollow":
		if err := emulated.Run(os.Stdin, os.Stdout, zerolog.New(os.Stderr).Level(zerolog.WarnLevel)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func testOptions(t *testing.T) Options {
	as := func(what string) func() *exec.Cmd {
		return func() *exec.Cmd {
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), roleVariable+"="+what)
			return cmd
		}
	}
	return Options{Member: as("member"), Plain: as("plain"), Emulated: as("hollow"), LogDir: t.TempDir(),
		Progress: func(line string) { t.Log(line) }}
}

// smallScenario is a cluster of 65. In the first half counts and bytes of its members are checked, and three of the members have an
// injected fault; in the second half the leader's answers are 200 ms late. No times are checked, and most_lag is so high that the run is
// not void, so that the result is the same on a busy machine. On a busy machine members renew less often; therefore least_renewals is
// checked in the second half only: there members cannot renew more often than every 450 ms, which is 0.56 of the intended rate, on any
// machine. With a leader that is not late they reach 1.1 of it.
const smallScenario = `keepers = 3
real = 2
hollow = 60
each_process = 60
rate = 10
copies = 1
duration = "5s"
most_lag = "10s"
banned = 2
[[planted]]
who = "h11"
fault = "unheeding"
[[planted]]
who = "h22"
fault = "hasty"
[[planted]]
who = "h44"
fault = "forgetful"
[[step]]
at = "500ms"
do = "burst"
count = 2
[[step]]
at = "2500ms"
do = "slow"
who = "leader"
by = "200ms"
for = "2500ms"
[limits]
least_renewals = 0.65
above_median = 1.35
renewal_bytes = 1500
`

// healthyTime is the first part of the run, in which the leader's answers are not delayed.
const healthyTime = 2500 * time.Millisecond

// Guards against checks that miss an injected fault in a cluster of real processes, and against limits that members without a fault
// violate. Each injected fault must violate its limit, and the measurement must name the faulty member.
func TestClusterOfRealProcesses(t *testing.T) {
	t.Parallel()
	s := parse(t, smallScenario)
	r, err := observe(context.Background(), s, s.Seed, testOptions(t))
	if err != nil {
		t.Fatal(err)
	}
	evaluate := func(name string, o Observations) *Record {
		rec := Evaluate(&o)
		if len(rec.Broken) > 0 || len(rec.Void) > 0 || rec.Partial {
			t.Errorf("%s: broken %v, void %v", name, rec.Broken, rec.Void)
		}
		var text strings.Builder
		rec.WriteText(&text)
		t.Logf("%s: %s", name, text.String())
		return rec
	}

	members := r.obs
	members.Ended = members.Began + healthyTime
	withFaults := evaluate("all members, those with a fault too", members)
	whole := evaluate("the whole run, members with a fault too", r.obs)
	for key, by := range map[string]struct {
		who string
		in  *Record
	}{
		"in_force_never": {"h11", whole},
		// This is checked over the whole run: in the first half each new version makes all members renew a few more times, which levels the
		// rates.
		"renewals_above": {"h22", whole},
		"renewal_bytes":  {"h44", withFaults},
	} {
		if f := by.in.Measurement(key); !f.Violated || f.Source != by.who {
			t.Errorf("%+v: want a violation by %s", f, by.who)
		}
	}

	healthy := excluding(members, "h11", "h22", "h44")
	healthy.Plan.Scenario.Limits.MinRenewals = 0
	healthy.Versions = nil // versions are checked over the whole run, below
	rec := evaluate("the others", healthy)
	if !rec.Passed() {
		t.Errorf("members without a fault violate %v", violated(rec))
	}
	for _, key := range []string{"renewals_above", "renewal_bytes", "renewals_mean", "keeper_cpu_worst", "real_cpu_mean"} {
		if f := rec.Measurement(key); f.NotMeasured {
			t.Errorf("%s was not measured", key)
		}
	}
	if f := rec.Measurement("renewal_bytes_mean"); f.Value < 100 {
		t.Errorf("%v bytes per renewal; want 100 or more", f.Value)
	}
	if f := rec.Measurement("load_served"); f.NotMeasured || f.Value < 99 {
		t.Errorf("%v %% of the load was served; want 99 or more", f.Value)
	}
	rec = evaluate("the others, the whole run", excluding(r.obs, "h11", "h22", "h44"))
	if f := rec.Measurement("renewals_above"); f.NotMeasured || f.Violated {
		t.Errorf("%+v", f)
	}
	if f := rec.Measurement("in_force_never"); f.NotMeasured || f.Violated || rec.Measurement("versions").Value != 2 || rec.Measurement("versions_refused").Violated {
		t.Errorf("%+v, of %v versions", f, rec.Measurement("versions").Value)
	}

	slowLeader := excluding(r.obs, "h11", "h22", "h44")
	slowLeader.Began += healthyTime
	slowLeader.Ended = slowLeader.Began + healthyTime
	slowLeader.Versions = nil
	if f := evaluate("a leader whose answers are late", slowLeader).Measurement("renewals_mean"); !f.Violated {
		t.Errorf("%+v: want a violation", f)
	}
}

// excluding returns the observations without the named emulated members.
func excluding(o Observations, names ...string) Observations {
	out := o
	plan, scenario := *o.Plan, *o.Plan.Scenario
	plan.Scenario = &scenario
	out.Plan, plan.Locations, out.Samples = &plan, maps.Clone(plan.Locations), map[string][]emulated.Usage{}
	for _, name := range names {
		delete(plan.Locations, name)
	}
	for process, samples := range o.Samples {
		for _, s := range samples {
			s.Members = maps.Clone(s.Members)
			for _, name := range names {
				delete(s.Members, name)
			}
			out.Samples[process] = append(out.Samples[process], s)
		}
	}
	return out
}

// Guards against processes that are left running after an interrupt. The record says that the run is partial.
func TestInterrupt(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	opts := testOptions(t)
	opts.Progress = func(line string) {
		if strings.HasPrefix(line, "playing") {
			time.AfterFunc(time.Second, cancel)
		}
	}
	var pids []int
	opts.started = func(pid int) { pids = append(pids, pid) }
	s := parse(t, "keepers = 2\nhollow = 4\nreal = 1\nduration = \"10m\"\nmost_lag = \"5s\"\n")
	r, err := Run(ctx, s, 1, opts)
	if err != nil {
		t.Fatal(err)
	}
	if !r.Partial || r.Passed() {
		t.Errorf("partial %v, passed %v; want a partial run that does not pass", r.Partial, r.Passed())
	}
	if len(pids) != 4 {
		t.Errorf("started processes %v; want 4", pids)
	}
	for _, pid := range pids {
		if _, err := os.Stat(fmt.Sprintf("/proc/%d", pid)); err == nil {
			t.Errorf("process %d still runs", pid)
		}
	}
}

// Guards against processes that are started before the plan is rejected as too large.
func TestTooLargeStartsNothing(t *testing.T) {
	opts := testOptions(t)
	opts.started = func(pid int) { t.Errorf("process %d was started", pid) }
	s := parse(t, "hollow = 400\neach_process = 1\n")
	if _, err := Run(context.Background(), s, 1, opts); err == nil || !strings.Contains(err.Error(), "403 processes") {
		t.Errorf("%v", err)
	}
}
