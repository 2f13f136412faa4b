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

// asMember in the environment makes the test's own program a member of a crew, with the bug of that name.
const asMember = "HEATHGAP_TEST_MEMBER"

// Bugs that are planted into a member.
const (
	bugNone            = "none"
	bugKeepsRules      = "goes on when its lease has ended"
	bugForgetsBans     = "forgets bans when it is cut off"
	bugKeepsFirstRules = "acts on the first rules that it was told"
	bugSlowClock       = "its clock is slower than the terms allow"
	bugClockStops      = "its clock stops with its process"
	bugAnswersEarly    = "tells outcomes long before they are copied, and dies"
	bugNoClaim         = "sends without a claim"
	// No bug: it dies when an outcome is copied and its client may not have heard it.
	diesAfterCopy = "dies when an outcome is copied"
	// No bug: a build whose words are another version's.
	olderBuild = "older build"
	// No bug: clocks whose rates are off by as much as the terms allow, one fast, the next slow.
	clockDrift = "clocks off"
)

// skewedClock is the machine's, but for the rate of the clock that leases are counted by.
type skewedClock struct {
	env.Env
	rate      float64
	startedAt time.Duration
}

// BootTime is env.Env's.
func (c skewedClock) BootTime() time.Duration {
	return c.startedAt + time.Duration(float64(c.Env.BootTime()-c.startedAt)*c.rate)
}

// stoppingClock's clock stands still while the process is stopped, as one does that does not go on while a machine is suspended.
type stoppingClock struct {
	env.Env
	mu            sync.Mutex
	last, stopped time.Duration
}

// stopGap without a look at the clock is taken for a stop: a member that runs looks with each heartbeat, and by stayAwake.
const stopGap = 300 * time.Millisecond

// BootTime is env.Env's.
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

func (s *stoppingClock) tick() {
	for range time.Tick(stopGap / 10) {
		s.BootTime()
	}
}

// olderEnv's connections say the words of another version.
type olderEnv struct{ env.Env }

type olderConn struct{ net.Conn }

// Dial is env.Env's.
func (w olderEnv) Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	conn, err := w.Env.Dial(ctx, address, timeout)
	if err != nil {
		return nil, err
	}
	return olderConn{conn}, nil
}

// Write is net.Conn's.
func (c olderConn) Write(b []byte) (int, error) {
	return c.Conn.Write(bytes.Replace(b, []byte("POST /crew/1/"), []byte("POST /crew/0/"), 1))
}

// faultyHoldings have a bug round them, at one member.
type faultyHoldings struct {
	pipeline.Holdings
	bug      string
	finished atomic.Int64
}

// fatalFinish is the outcome with which a process dies, the first ones having shown that it serves.
const fatalFinish = 20

// Claim is pipeline.Holdings'.
func (b *faultyHoldings) Claim(m *httpwire.Request, fingerprint [16]byte, within time.Duration) pipeline.ClaimResult {
	if b.bug == bugNoClaim {
		return pipeline.ClaimResult{}
	}
	result := b.Holdings.Claim(m, fingerprint, within)
	if result.Claim != nil {
		result.Claim = &faultyClaim{result.Claim, b}
	}
	return result
}

type faultyClaim struct {
	pipeline.Claim
	holdings *faultyHoldings
}

// Finish is pipeline.Hold's.
func (h *faultyClaim) Finish(answer httpwire.Answer, ran bool, within time.Duration) httpwire.Answer {
	n := h.holdings.finished.Add(1)
	if h.holdings.bug == bugAnswersEarly {
		time.AfterFunc(keyWindow+time.Second, func() { h.Claim.Finish(answer, ran, within) })
		if n == 2*fatalFinish {
			syscall.Kill(os.Getpid(), syscall.SIGKILL) //nolint:errcheck // it dies
		}
		return answer
	}
	answer = h.Claim.Finish(answer, ran, within)
	if n == fatalFinish && h.holdings.bug == diesAfterCopy {
		syscall.Kill(os.Getpid(), syscall.SIGKILL) //nolint:errcheck // it dies
	}
	return answer
}

// Holdings is lifecycle.Crew's.
func (b *faultyMember) Holdings() pipeline.Holdings {
	h := b.Cluster.Holdings()
	if h == nil || b.name != "m1" {
		return h
	}
	return &faultyHoldings{Holdings: h, bug: b.bug}
}

// envWithClock is a member's clock.
func envWithClock(e env.Env, bug, name string, drift float64) env.Env {
	rate := 1.0
	switch {
	case bug == olderBuild:
		return olderEnv{e}
	case bug == bugClockStops && name == "m2":
		s := &stoppingClock{Env: e, last: e.BootTime()}
		go s.tick()
		return s
	case bug == bugSlowClock && name == "m2":
		rate = 0.15 // its lease lasts longer than it is cut off
	case bug == clockDrift && name[len(name)-1]%2 == 0:
		rate = 1 + drift
	case bug == clockDrift:
		rate = 1 - drift
	}
	return skewedClock{e, rate, e.BootTime()}
}

// faultyMember is a member with a bug round it.
type faultyMember struct {
	lifecycle.Cluster
	bug       string
	name      string
	lastRules atomic.Pointer[pipeline.EffectiveRules]
}

// Effective is pipeline.Rules'.
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

// memberMain runs a member with a bug.
func memberMain(bug string) int {
	file, err := operator.FromEnv(os.Getenv)
	if err != nil || file.Cluster == nil || bug == bugNone {
		return member.Process()
	}
	join := member.JoinFunc(*file.Cluster)
	return lifecycle.Main(lifecycle.Options{Operator: file,
		Cluster: func(conf *config.Config, e env.Env, log zerolog.Logger) (lifecycle.Cluster, error) {
			m, err := join(conf, envWithClock(e, bug, conf.Name, file.Cluster.Params.Drift), log)
			return &faultyMember{Cluster: m, bug: bug, name: conf.Name}, err
		}})
}

func parseCluster(t *testing.T, text string) *scenario.Cluster {
	t.Helper()
	s, err := scenario.ParseCluster(t.Name(), []byte("name = \"test\"\nlease = \"600ms\"\nslack = \"200ms\"\ncontradict_at_most = \"1s\"\n"+text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func runCluster(t *testing.T, s *scenario.Cluster, bug string, opts ClusterOptions) *ClusterRecord {
	t.Helper()
	opts.LogDir = t.TempDir()
	if dir := os.Getenv("HEATHGAP_TEST_LOGS"); dir != "" { // kept for who looks into a failure
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

// Five processes: a member is cut off, the leader killed with a version on its way, and both come back. Nobody acts on
// rules that contradict another's for longer than is promised, and the version is not lost; with clocks as far off as they may be.
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
		t.Errorf("leaders %v: the killed one was not followed by another", r.Leaders)
	}
	if r.CautiousMS["m2"] < 1000 {
		t.Errorf("cut off for 4 s, cautious for %v ms", r.CautiousMS["m2"])
	}
	if float64(r.Served) < 0.95*float64(r.Requests) {
		t.Errorf("served %d of %d", r.Served, r.Requests)
	}
}

// The leader is stopped for twice its lease and goes on, then hears and is not heard; all keepers die at once; a folder is
// lost. Every version that was told comes through, in its order, and none contradicts another for too long.
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
		t.Errorf("versions %+v, folders replaced %v, served %d of %d", r.Versions, r.Replaced, r.Served, r.Requests)
	}
}

// A process of another build and a second process of a name serve cautiously and hold up nobody; a proposal counts though its
// proposer died before it heard so; who was named twice holds the lease when the first one has ended.
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
		t.Errorf("cautious: %v; want most of 3.5 s at m1, and at m2' until m2 has gone", r.CautiousMS)
	}
	if float64(r.Served) < 0.95*float64(r.Requests) {
		t.Errorf("served %d of %d", r.Served, r.Requests)
	}
}

// Each planted bug is caught by its own rule, and a sound program breaks none in the same scene.
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
				t.Errorf("not found as %q: %q", c.rule, r.Violations)
			}
		})
	}
	for name, scene := range map[string]string{"sound, cut off": banThenPartition, "sound, stopped": partitionStopPropose} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if r := runCluster(t, parseCluster(t, scene), bugNone, ClusterOptions{}); r.NumViolations > 0 || len(r.Versions) != 1 {
				t.Errorf("versions %+v, breaks %q", r.Versions, r.Violations)
			}
		})
	}
}

// Without a crew the same contradiction goes on for as long as nobody looks: what the crew is for.
func TestSeparateProcessesContradict(t *testing.T) {
	t.Parallel()
	s := parseCluster(t, "duration = \"4s\"\nkeepers = 1\nmembers = 1\n[[step]]\nat = \"500ms\"\ndo = \"restart\"\nwho = \"m1\"\n")
	r := runCluster(t, s, bugNone, ClusterOptions{Separate: true})
	if r.Contradicted < 2*r.MaxContradiction {
		t.Errorf("contradicted for %v ms, want well over the %v that a crew allows", r.Contradicted, r.MaxContradiction)
	}
}
