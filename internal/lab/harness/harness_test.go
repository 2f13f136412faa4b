package harness

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"heathgap/internal/lab/faultproxy"
	"heathgap/internal/lab/oracle"
	"heathgap/internal/lab/policy"
	"heathgap/internal/lab/record"
	"heathgap/internal/lab/scenario"
	"heathgap/internal/lifecycle"
	"heathgap/internal/operator"
)

// asSidecar, set in the environment, makes the test binary run as a sidecar in which the policy of that name decides.
const asSidecar = "HEATHGAP_TEST_POLICY"

func TestMain(m *testing.M) {
	if bug := os.Getenv(asMember); bug != "" {
		os.Exit(memberMain(bug))
	}
	if name := os.Getenv(asSidecar); name != "" {
		decider, err := policy.ByName(name)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		os.Exit(lifecycle.Main(lifecycle.Options{Operator: operator.Default(), Decider: decider}))
	}
	os.Exit(m.Run())
}

// sidecarCommand returns a function that returns the command of a sidecar with a policy.
func sidecarCommand(name string) func() *exec.Cmd {
	return func() *exec.Cmd {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), asSidecar+"="+name)
		return cmd
	}
}

// baseScenario has a few endpoints and two sidecars. The margin and the allowed lag are wide enough for a slow and busy machine;
// the faulty policies exceed them.
const baseScenario = `
name = "test"
duration = "4s"
margin = "300ms"
most_lag = "5s"
[rules]
drain_grace = "300ms"
cold = "6s"
cold_from = 0.1
fall_multiple = 1.5
overload_for = "1s"
[[class]]
name = "look"
effect = "safe"
share = 0.6
work = "4ms"
deadline = "1500ms"
[[class]]
name = "pay"
effect = "keyed"
window = "10s"
share = 0.2
work = "4ms"
deadline = "1500ms"
[[class]]
name = "burn"
effect = "unsafe"
share = 0.2
work = "4ms"
deadline = "1500ms"
[[tier]]
name = "front"
endpoints = 6
sidecars = 2
cores = 2
slots = 8
queue = 16
[load]
rate = 250
churn = 0.05
`

func parseScenario(t *testing.T, more string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Parse(t.Name(), []byte(baseScenario+more))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// runScenario runs the scenario with the policy of that name.
func runScenario(t *testing.T, s *scenario.Scenario, name string) *record.Record {
	t.Helper()
	r, err := Run(t.Context(), s, s.Seed, Options{Policy: name, Sidecar: sidecarCommand(name)})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

const (
	drain   = "[[fault]]\nkind = \"drain\"\nat = \"1s\"\nfor = \"3s\"\ncount = 2\n"
	arrival = "[[fault]]\nkind = \"add\"\nat = \"500ms\"\ncount = 1\n"
	release = "[[fault]]\nkind = \"release\"\nat = \"500ms\"\nfor = \"1s\"\nshare = 0.34\n"
	crash   = "[[fault]]\nkind = \"crash\"\nat = \"1s\"\nfor = \"1s\"\nshare = 0.5\n"
)

// Guards against violations by the module itself in short scenarios: each request has exactly one end, and the sidecars' counters
// agree with the checker's records.
func TestScenariosPass(t *testing.T) {
	for name, c := range map[string]struct {
		more    string
		service float64 // the least allowed: cold and dead endpoints cost some
	}{
		"calm": {"", 0.95}, "release": {release, 0.5}, "crash": {crash, 0.5}, "drain": {drain, 0.8}, "arrival": {arrival, 0.8},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := parseScenario(t, c.more)
			r := runScenario(t, s, policy.Module)
			if !r.Passed() || r.Service < c.service || r.All.Requests < 800 {
				t.Errorf("service %.3f of %d; violations %v; mismatches %q; void %q", r.Service, r.All.Requests, r.Violations, r.Mismatches, r.Void)
			}
			if r.Timeline != s.Hash(s.Seed) {
				t.Error("the timeline is not that of the seed")
			}
		})
	}
}

// Guards against a checker that notices nothing or confuses faults: each faulty policy, and a proxy that answers twice, is found
// by its own rule and by no other.
func TestFaultyPoliciesDetected(t *testing.T) {
	for name, c := range map[string]struct {
		more string
		rule oracle.Rule
	}{
		"lie-drop":      {"", oracle.LostRequest},
		"lie-double":    {"", oracle.DuplicateEffect},
		"lie-drain":     {drain, oracle.SentToDrained},
		"lie-push-over": {arrival, oracle.OverloadedCold},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := runScenario(t, parseScenario(t, c.more), name)
			wantOnly(t, r, c.rule)
		})
	}
	t.Run("answers twice", func(t *testing.T) {
		t.Parallel()
		var proxies []*faultproxy.Proxy
		var mu sync.Mutex
		s := parseScenario(t, "")
		r, err := Run(t.Context(), s, s.Seed, Options{Sidecar: sidecarCommand(policy.Module), Proxy: func(to string) (string, error) {
			l, err := faultproxy.Start("127.0.0.1:0", to, 100)
			if err != nil {
				return "", err
			}
			mu.Lock()
			defer mu.Unlock()
			proxies = append(proxies, l)
			return l.Address(), nil
		}})
		if err != nil {
			t.Fatal(err)
		}
		doubled := 0
		for _, l := range proxies {
			doubled += l.Close()
		}
		wantOnly(t, r, oracle.AnsweredTwice)
		if n := r.Rules[oracle.AnsweredTwice]; n > doubled || n < doubled/2 {
			t.Errorf("noticed %d of %d duplicate answers; only those whose connection ended may be missed", n, doubled)
		}
	})
}

// wantOnly fails the test unless the given rule is the only violated one.
func wantOnly(t *testing.T, r *record.Record, rule oracle.Rule) {
	t.Helper()
	for _, other := range oracle.Rules {
		if n := r.Rules[other]; (n > 0) != (other == rule) {
			t.Errorf("%s: %d", other, n)
		}
	}
	if t.Failed() {
		t.Logf("violations: %v", r.Violations[:min(5, len(r.Violations))])
	}
}

// Guards against calls of a second tier that are not recorded: they count as requests of their own.
func TestTwoTiers(t *testing.T) {
	t.Parallel()
	text := strings.Replace(baseScenario, "queue = 16\n", "queue = 16\ncalls = 2\ncall_class = \"look\"\n"+
		"[[tier]]\nname = \"store\"\nendpoints = 2\ncores = 4\n", 1)
	s, err := scenario.Parse("two", []byte(strings.Replace(text, "rate = 250", "rate = 80", 1)))
	if err != nil {
		t.Fatal(err)
	}
	r := runScenario(t, s, policy.Module)
	if !r.Passed() || r.Service < 0.9 {
		t.Fatalf("service %.3f, violations %v, mismatches %q, void %q", r.Service, r.Violations, r.Mismatches, r.Void)
	}
	calls := 0
	for _, sc := range r.Sidecars {
		if sc.Tier == 1 {
			calls += sc.Tally.Requests
		}
	}
	if calls < 2*r.All.Served {
		t.Errorf("%d calls of the second tier for %d requests served", calls, r.All.Served)
	}
}

// Requests at a sidecar that the lab kills count as interrupted, which violates no rule. A sidecar that gets SIGTERM must lose
// none.
func TestSidecarKillAndRestart(t *testing.T) {
	for kind, interrupts := range map[string]bool{"sidecar_kill": true, "sidecar_restart": false} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			// About fifteen requests are in flight at a sidecar at any time, so that some are interrupted when it is killed.
			text := strings.ReplaceAll(baseScenario, `work = "4ms"`, `work = "120ms"`)
			text = strings.ReplaceAll(text, "cores = 2", "cores = 8")
			text = strings.Replace(text, `duration = "4s"`, `duration = "6s"`, 1)
			s, err := scenario.Parse(kind, []byte(text+"retries = 1\n"+
				"[[fault]]\nkind = \""+kind+"\"\nat = \"1500ms\"\nfor = \"500ms\"\ncount = 1\n"))
			if err != nil {
				t.Fatal(err)
			}
			r := runScenario(t, s, policy.Module)
			interrupted, starts := 0, 0
			for _, sc := range r.Sidecars {
				interrupted += sc.Tally.Interrupted
				starts += sc.Starts
			}
			if !r.Passed() || starts != 3 || (interrupted > 0) != interrupts {
				t.Errorf("violations %v, mismatches %q, void %q, %d starts, %d requests interrupted", r.Violations, r.Mismatches, r.Void, starts, interrupted)
			}
		})
	}
}

// Guards against processes that outlive an interrupted run. Its record must be marked as partial.
func TestInterruptedRun(t *testing.T) {
	t.Parallel()
	var cmds []*exec.Cmd
	s := parseScenario(t, "")
	s.Duration = time.Minute
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r, err := Run(ctx, s, 1, Options{
		Sidecar: func() *exec.Cmd {
			cmds = append(cmds, sidecarCommand(policy.Module)())
			return cmds[len(cmds)-1]
		},
		Progress: func(string) { cancel() },
	})
	if err != nil || !r.Partial || r.Passed() {
		t.Fatalf("%v, %+v; want a partial record", err, r)
	}
	for _, cmd := range cmds {
		if err := syscall.Kill(cmd.Process.Pid, 0); err != syscall.ESRCH {
			t.Errorf("process %d is still running: %v", cmd.Process.Pid, err)
		}
	}
	if len(r.Mismatches) > 0 {
		t.Errorf("mismatches in the partial record: %q", r.Mismatches)
	}
}

// A sidecar whose port was taken before it could listen is started again at another port. One that never starts ends the run with
// an error that names it.
func TestSidecarStartRetry(t *testing.T) {
	t.Parallel()
	s := parseScenario(t, "")
	s.Duration = time.Second
	s.Tiers[0].Sidecars = 1
	tries := 0
	broken := func() *exec.Cmd { return exec.Command(os.Args[0], "-test.run=^$", "-no-such-flag") }
	r, err := Run(t.Context(), s, 1, Options{Sidecar: func() *exec.Cmd {
		if tries++; tries == 1 {
			return broken()
		}
		return sidecarCommand(policy.Module)()
	}})
	if err != nil || r.Service < 0.9 {
		t.Errorf("the sidecar was to start at the second try: %v", err)
	}
	if _, err = Run(t.Context(), s, 1, Options{Sidecar: broken}); err == nil || !strings.Contains(err.Error(), "sidecar s0") {
		t.Errorf("a sidecar that never starts: %v", err)
	}
}

// Guards against results of a run whose own load was late: the run is void.
func TestLateLoadIsVoid(t *testing.T) {
	t.Parallel()
	s := parseScenario(t, "")
	s.Duration, s.MaxLag = time.Second, 1
	r := runScenario(t, s, policy.Module)
	if r.Passed() || len(r.Void) != 1 || !strings.Contains(r.Void[0], "lagged") {
		t.Errorf("void: %q", r.Void)
	}
}
