package harness

import (
	"bytes"
	"context"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"heathgap/internal/cluster/member"
	"heathgap/internal/config"
	"heathgap/internal/env"
	"heathgap/internal/httpwire"
	"heathgap/internal/lab/consistency"
	"heathgap/internal/lab/scenario"
	"heathgap/internal/lifecycle"
	"heathgap/internal/operator"
	"heathgap/internal/pipeline"
)

// asMember, set in the environment, makes the test binary run as a member of a cluster with the bug of that name.
const asMember = "HEATHGAP_TEST_MEMBER"

// Bugs that are injected into a member, by the names that asMember takes.
const (
	bugNone            = "none"
	bugKeepsRules      = "goes on when its lease has ended"
	bugForgetsBans     = "forgets bans when it is cut off"
	bugKeepsFirstRules = "acts on the first rules that it was told"
	bugSlowClock       = "its clock is slower than the terms allow"
	bugClockStops      = "its clock stops with its process"
	bugAnswersEarly    = "tells outcomes long before they are copied, and dies"
	bugNoClaim         = "sends without a claim"
	// Not a bug: the process dies when an outcome has been copied and its client may not have received it yet.
	diesAfterCopy = "dies when an outcome is copied"
	// Not a bug: a build that speaks another version of the RPC protocol.
	olderBuild = "older build"
	// Not a bug: clocks that differ in rate by as much as the cluster's parameters allow; members alternate between fast and
	// slow.
	clockDrift = "clocks off"
)

// skewedClock is the machine's environment, but the clock that leases are measured by runs at another rate.
type skewedClock struct {
	env.Env
	rate      float64
	startedAt time.Duration
}

// BootTime implements env.Env.
func (c skewedClock) BootTime() time.Duration {
	return c.startedAt + time.Duration(float64(c.Env.BootTime()-c.startedAt)*c.rate)
}

// stoppingClock stands still while the process is stopped, like a clock that does not advance while a machine is suspended.
type stoppingClock struct {
	env.Env
	mu            sync.Mutex
	last, stopped time.Duration
}

// stopGap is the longest time between two readings of the clock in a running process: a member reads it with each heartbeat, and
// tick reads it too. After a longer time the process is taken to have been stopped.
const stopGap = 300 * time.Millisecond

// BootTime implements env.Env.
func (s *stoppingClock) BootTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Env.BootTime()
	if now-s.last > stopGap {
		s.stopped += now - s.last
	}
	s.last = now
	return now - s.stopped
}

// tick reads the clock often enough that a running process is not taken for a stopped one.
func (s *stoppingClock) tick() {
	for range time.Tick(stopGap / 10) {
		s.BootTime()
	}
}

// olderEnv makes RPC connections that speak another version of the protocol.
type olderEnv struct{ env.Env }

// olderConn replaces the protocol version in what is written.
type olderConn struct{ net.Conn }

// Dial implements env.Env.
func (w olderEnv) Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	conn, err := w.Env.Dial(ctx, address, timeout)
	if err != nil {
		return nil, err
	}
	return olderConn{conn}, nil
}

// Write implements net.Conn.
func (c olderConn) Write(b []byte) (int, error) {
	return c.Conn.Write(bytes.Replace(b, []byte("POST /crew/1/"), []byte("POST /crew/0/"), 1))
}

// faultyHoldings adds a bug to the holdings of one member.
type faultyHoldings struct {
	pipeline.Holdings
	bug      string
	finished atomic.Int64
}

// fatalFinish is the number of the outcome at which the process dies; the ones before show that it serves.
const fatalFinish = 20

// Claim implements pipeline.Holdings.
func (b *faultyHoldings) Claim(ctx context.Context, m *httpwire.Request, fingerprint [16]byte, within time.Duration) pipeline.ClaimResult {
	if b.bug == bugNoClaim {
		return pipeline.ClaimResult{}
	}
	result := b.Holdings.Claim(ctx, m, fingerprint, within)
	if result.Claim != nil {
		result.Claim = &faultyClaim{result.Claim, b}
	}
	return result
}

// faultyClaim adds the bug of its holdings to a claim.
type faultyClaim struct {
	pipeline.Claim
	holdings *faultyHoldings
}

// Finish implements pipeline.Claim.
func (h *faultyClaim) Finish(ctx context.Context, answer httpwire.Answer, ran bool, within time.Duration) httpwire.Answer {
	n := h.holdings.finished.Add(1)
	if h.holdings.bug == bugAnswersEarly {
		time.AfterFunc(keyWindow+time.Second, func() { h.Claim.Finish(ctx, answer, ran, within) })
		if n == 2*fatalFinish {
			syscall.Kill(os.Getpid(), syscall.SIGKILL) //nolint:errcheck // this ends the process
		}
		return answer
	}
	answer = h.Claim.Finish(ctx, answer, ran, within)
	if n == fatalFinish && h.holdings.bug == diesAfterCopy {
		syscall.Kill(os.Getpid(), syscall.SIGKILL) //nolint:errcheck // this ends the process
	}
	return answer
}

// Holdings implements lifecycle.Cluster.
func (b *faultyMember) Holdings() pipeline.Holdings {
	h := b.Cluster.Holdings()
	if h == nil || b.name != "m1" {
		return h
	}
	return &faultyHoldings{Holdings: h, bug: b.bug}
}

// memberEnv returns the environment of a member, with the clock or the protocol version that the bug calls for.
func memberEnv(e env.Env, bug, name string, drift float64) env.Env {
	rate := 1.0
	switch {
	case bug == olderBuild:
		return olderEnv{e}
	case bug == bugClockStops && name == "m2":
		s := &stoppingClock{Env: e, last: e.BootTime()}
		go s.tick()
		return s
	case bug == bugSlowClock && name == "m2":
		rate = 0.15 // its lease lasts longer than it is partitioned
	case bug == clockDrift && name[len(name)-1]%2 == 0:
		rate = 1 + drift
	case bug == clockDrift:
		rate = 1 - drift
	}
	return skewedClock{e, rate, e.BootTime()}
}

// faultyMember adds a bug to a member.
type faultyMember struct {
	lifecycle.Cluster
	bug       string
	name      string
	lastRules atomic.Pointer[pipeline.EffectiveRules]
}

// Effective returns the member's effective rules, altered by the bug.
func (b *faultyMember) Effective() *pipeline.EffectiveRules {
	a := b.Cluster.Effective()
	last := b.lastRules.Load()
	switch {
	case b.bug == bugForgetsBans && a.Cautious:
		bare := *a
		bare.Banned = nil
		return &bare
	case a.Cautious && last != nil && b.bug == bugKeepsRules, last != nil && b.bug == bugKeepsFirstRules:
		return last
	case !a.Cautious:
		b.lastRules.Store(a)
	}
	return a
}

// memberMain runs a member with a bug and returns the exit status.
func memberMain(bug string) int {
	file, err := operator.FromEnv(os.Getenv)
	if err != nil || file.Cluster == nil || bug == bugNone {
		return member.Process()
	}
	join := member.JoinFunc(*file.Cluster)
	return lifecycle.Main(lifecycle.Options{Operator: file,
		Cluster: func(conf *config.Config, e env.Env, log zerolog.Logger) (lifecycle.Cluster, error) {
			m, err := join(conf, memberEnv(e, bug, conf.Name, file.Cluster.Params.Drift), log)
			return &faultyMember{Cluster: m, bug: bug, name: conf.Name}, err
		}})
}

// parseCluster returns a cluster scenario with short leases.
func parseCluster(t *testing.T, text string) *scenario.Cluster {
	t.Helper()
	s, err := scenario.ParseCluster(t.Name(), []byte("name = \"test\"\nlease = \"600ms\"\nslack = \"200ms\"\ncontradict_at_most = \"1s\"\n"+text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// runCluster runs the scenario. The test binary runs as the members, with the given bug.
func runCluster(t *testing.T, s *scenario.Cluster, bug string, opts ClusterOptions) *ClusterRecord {
	t.Helper()
	opts.LogDir = t.TempDir()
	if dir := os.Getenv("HEATHGAP_TEST_LOGS"); dir != "" { // the logs stay, to look into a failure
		opts.LogDir = filepath.Join(dir, strings.NewReplacer("/", "-", " ", "-").Replace(t.Name()))
		if err := os.MkdirAll(opts.LogDir, 0o755); err != nil {
			t.Fatal(err)
		}
	}
	opts.Program = func() *exec.Cmd {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), asMember+"="+bug)
		if opts.Separate {
			cmd.Env = append(os.Environ(), asSidecar+"=heathgap")
		}
		return cmd
	}
	opts.OlderProgram = func() *exec.Cmd {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), asMember+"="+olderBuild)
		return cmd
	}
	r, err := RunCluster(t.Context(), s, s.Seed, opts)
	if err != nil {
		t.Fatalf("%v; logs of its processes: HEATHGAP_TEST_LOGS=DIR go test ./internal/lab/harness -run '%s'", err, t.Name())
	}
	t.Logf("%+v", r)
	return r
}

const partitionAndPropose = `
duration = "5s"
[[step]]
at = "500ms"
do = "cut"
who = "m2"
for = "4s"
[[step]]
at = "1s"
do = "propose"
effect = "once"
ban = "e-2"
`

// A member is partitioned and the leader is killed while a version is being agreed; both come back. Clocks differ as much as the
// parameters allow. Guards against members that apply contradicting rules for longer than allowed, and against the loss of the
// version.
func TestCluster(t *testing.T) {
	t.Parallel()
	r := runCluster(t, parseCluster(t, partitionAndPropose+"[[step]]\nat = \"1200ms\"\ndo = \"kill\"\nfor = \"2s\"\n"), clockDrift, ClusterOptions{})
	for _, b := range r.Violations {
		t.Error(b)
	}
	if len(r.Versions) != 1 || r.Versions[0].State != "active" {
		t.Errorf("versions: %+v", r.Versions)
	}
	if len(r.Leaders) < 2 {
		t.Errorf("leaders %v: no other leader followed the killed one", r.Leaders)
	}
	if r.CautiousMS["m2"] < 1000 {
		t.Errorf("partitioned for 4 s, but cautious for only %v ms", r.CautiousMS["m2"])
	}
	if float64(r.Served) < 0.95*float64(r.Requests) {
		t.Errorf("served %d of %d", r.Served, r.Requests)
	}
}

// The leader is stopped for twice its lease and resumes; a later one receives messages but can send none; all voters die at the
// same time; a data directory is lost. Guards against the loss of an agreed version, against versions out of order and against
// contradictions that last too long.
func TestClusterSevereFaults(t *testing.T) {
	t.Parallel()
	r := runCluster(t, parseCluster(t, `
duration = "10s"
[[step]]
at = "300ms"
do = "propose"
effect = "once"
[[step]]
at = "1300ms"
do = "stop"
for = "1300ms"
[[step]]
at = "1400ms"
do = "propose"
effect = "repeatable"
ban = "e-1"
[[step]]
at = "4s"
do = "cut"
way = "out"
for = "1500ms"
[[step]]
at = "4200ms"
do = "propose"
effect = "once"
[[step]]
at = "6500ms"
do = "kill"
who = "k1"
for = "300ms"
[[step]]
at = "6500ms"
do = "kill"
who = "k2"
for = "300ms"
[[step]]
at = "6500ms"
do = "kill"
who = "k3"
for = "300ms"
[[step]]
at = "8500ms"
do = "wipe"
who = "follower"
for = "300ms"
`), bugNone, ClusterOptions{})
	for _, b := range r.Violations {
		t.Error(b)
	}
	if len(r.Versions) != 3 || len(r.Replaced) != 1 || float64(r.Served) < 0.95*float64(r.Requests) {
		t.Errorf("versions %+v, replaced voters %v, served %d of %d", r.Versions, r.Replaced, r.Served, r.Requests)
	}
}

// Guards against processes that disturb the cluster: a member of an older build and a second process under the same name must
// serve cautiously and delay nobody. A proposal is accepted though its proposer died before the answer, and the second process
// gets the lease once the first one has ended.
func TestClusterOlderBuildAndDuplicate(t *testing.T) {
	t.Parallel()
	r := runCluster(t, parseCluster(t, `
duration = "7s"
[[step]]
at = "200ms"
do = "older"
who = "m1"
for = "3500ms"
[[step]]
at = "300ms"
do = "twin"
who = "m2"
for = "6s"
[[step]]
at = "1500ms"
do = "propose"
effect = "once"
dies = true
[[step]]
at = "4s"
do = "kill"
who = "m2"
for = "4s"
`), bugNone, ClusterOptions{})
	for _, b := range r.Violations {
		t.Error(b)
	}
	if len(r.Versions) != 1 || r.Versions[0].State != "active" || r.Versions[0].ActiveMS > 3000 {
		t.Errorf("versions: %+v", r.Versions)
	}
	if r.CautiousMS["m1"] < 1500 || r.CautiousMS["m2'"] < 2000 || r.CautiousMS["m2'"] > 5500 {
		t.Errorf("cautious: %v; want most of 3.5 s at m1, and at m2' until m2 has ended", r.CautiousMS)
	}
	if float64(r.Served) < 0.95*float64(r.Requests) {
		t.Errorf("served %d of %d", r.Served, r.Requests)
	}
}

// Guards against a checker that misses faults: each injected bug is found by its own rule, and correct members violate no rule in
// the same scenarios.
func TestCrewCatchesPlantedBugs(t *testing.T) {
	const banThenPartition = "duration = \"6s\"\n[[step]]\nat = \"200ms\"\ndo = \"propose\"\nban = \"e-2\"\n" +
		"[[step]]\nat = \"2500ms\"\ndo = \"cut\"\nwho = \"m2\"\nfor = \"3s\"\n"
	const partitionStopPropose = "duration = \"6s\"\n[[step]]\nat = \"800ms\"\ndo = \"cut\"\nwho = \"m2\"\nfor = \"5s\"\n" +
		"[[step]]\nat = \"810ms\"\ndo = \"stop\"\nwho = \"m2\"\nfor = \"3s\"\n" +
		"[[step]]\nat = \"1s\"\ndo = \"propose\"\neffect = \"once\"\n"
	for bug, c := range map[string]struct{ scene, rule string }{
		bugKeepsRules:      {partitionAndPropose, consistency.Contradicts},
		bugSlowClock:       {partitionAndPropose, consistency.Contradicts},
		bugClockStops:      {partitionStopPropose, consistency.Contradicts},
		bugForgetsBans:     {banThenPartition, consistency.Contradicts},
		bugKeepsFirstRules: {"duration = \"4s\"\n[[step]]\nat = \"200ms\"\ndo = \"propose\"\neffect = \"once\"\n", consistency.AgainstSelf},
	} {
		t.Run(bug, func(t *testing.T) {
			t.Parallel()
			r := runCluster(t, parseCluster(t, c.scene), bug, ClusterOptions{})
			if !strings.Contains(strings.Join(r.Violations, "\n"), c.rule+" at") {
				t.Errorf("no violation of rule %q: %q", c.rule, r.Violations)
			}
		})
	}
	for name, text := range map[string]string{"sound, cut off": banThenPartition, "sound, stopped": partitionStopPropose} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if r := runCluster(t, parseCluster(t, text), bugNone, ClusterOptions{}); r.NumViolations > 0 || len(r.Versions) != 1 {
				t.Errorf("versions %+v, violations %q", r.Versions, r.Violations)
			}
		})
	}
}

// Shows what a cluster prevents: without one, processes with contradicting rules go on for as long as nobody intervenes.
func TestSeparateProcessesContradict(t *testing.T) {
	t.Parallel()
	s := parseCluster(t, "duration = \"4s\"\nkeepers = 1\nmembers = 1\n[[step]]\nat = \"500ms\"\ndo = \"restart\"\nwho = \"m1\"\n")
	r := runCluster(t, s, bugNone, ClusterOptions{Separate: true})
	if r.Contradicted < 2*r.MaxContradiction {
		t.Errorf("contradicted for %v ms, want well over the %v ms that a cluster allows", r.Contradicted, r.MaxContradiction)
	}
}
