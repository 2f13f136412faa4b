package emulated

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"heathgap/internal/cluster"
	"heathgap/internal/cluster/member"
	"heathgap/internal/cluster/voter"
	"heathgap/internal/env"
	"heathgap/internal/lab/scripted"
	"heathgap/internal/peerrpc"
)

// TestCostMatchesRealMembers guards against emulated members that cost the leader less or more than real ones: scale tests with them
// would then show a wrong cost. It measures for minutes and needs a machine that has little else to do, so it runs by flag only:
//
//	go test ./internal/lab/emulated -run TestCostMatchesRealMembers -hollow.true -hollow.runs 3 -timeout 2h -v
//
// To run a part of it: -run 'TestCostMatchesRealMembers/lease_1s/holdings_off'.
var (
	costFlag    = flag.Bool("hollow.true", false, "measure what emulated members cost the leader beside as many real ones")
	costRuns    = flag.Int("hollow.runs", 3, "number of measurements of each case")
	costMembers = flag.Int("hollow.members", 60, "number of members of each kind")
)

// Parameters of the measurement.
const (
	costVoters        = 5
	costKeyedRate     = 5.0 // keyed requests per second and member
	costKeyedDuration = 20 * time.Millisecond
	costSettleTimeout = 5 * time.Minute // for all members to join and all shards to have all replicas, at the longest lease
	costRenewals      = 24              // the fewest renewals of each member in a measurement: three leases
	costMinDuration   = 20 * time.Second
	costMaxRatio      = 1.1 // bound of the ratio of the costs, and of its inverse
	clockTick         = 10 * time.Millisecond
	costCallTimeout   = 5 * time.Second
	costTries         = 4
	costPollInterval  = 200 * time.Millisecond
)

// costCluster is a cluster of real voters whose other members are either all real processes or all emulated.
type costCluster struct {
	t               *testing.T
	real            bool
	dir             string
	bin             string
	start           Start
	keyedRate       float64
	procs           map[string]*exec.Cmd
	callerAddresses map[string]string // where real sidecars listen for callers, by name
	clients         map[string]*peerrpc.Client
	endpoint        *httptest.Server
	emulated        *exec.Cmd
	input           io.WriteCloser
	output          *bufio.Scanner
	keyedRequests   atomic.Int64
	keyedRefused    atomic.Int64
}

// cost is what the leader and the members of a cluster have used, in total or, from since, per second.
type cost struct {
	name                        string
	cpu, read, wrote            float64     // of the leader: seconds of processor time, and bytes of all that it reads and writes
	memberCosts                 memberCosts // of all members together
	memberText                  string      // memberCosts per member, for people
	renewals                    float64     // of all members
	keyedRequests, keyedRefused int64
	replicas                    int // of the leader
	load                        string
	took                        time.Duration
}

// clusterState is the state of a cluster by its leader's report. settled means that all members have joined and all shards have all
// replicas.
type clusterState struct {
	leader           string
	epoch, placement uint64
	replicas         int // of the leader
	settled          bool
}

func TestCostMatchesRealMembers(t *testing.T) {
	if !*costFlag {
		t.Skip("runs only with -hollow.true: it takes minutes and needs an idle machine")
	}
	bin := t.TempDir()
	for _, name := range []string{"heathgap-crew", "heathlab"} {
		if out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", filepath.Join(bin, name), "heathgap/cmd/"+name).CombinedOutput(); err != nil {
			t.Fatalf("%v: %s", err, out)
		}
	}
	for _, lease := range []time.Duration{time.Second, 15 * time.Second} {
		t.Run("lease "+lease.String(), func(t *testing.T) {
			for _, c := range []struct {
				name      string
				copies    int
				keyedRate float64
			}{{"holdings off", 0, 0}, {"copies 2", 2, 0}, {"copies 2 with orders", 2, costKeyedRate}} {
				t.Run(c.name, func(t *testing.T) {
					var cpu, in, out []float64
					for n := range *costRuns {
						r, h := measureValid(t, bin, lease, c.copies, c.keyedRate)
						for _, m := range []*cost{r, h} {
							t.Logf("run %d, %s: leader %.2f ms of processor time per second, %.0f B/s read, %.0f B/s written, %d replicas; members: %.0f renewals per second in all, %s; keyed requests %d, refused %d",
								n+1, m.name, 1000*m.cpu, m.read, m.wrote, m.replicas, m.renewals, m.memberText, m.keyedRequests, m.keyedRefused)
						}
						cpu, in, out = append(cpu, h.cpu/r.cpu), append(in, h.read/r.read), append(out, h.wrote/r.wrote)
						t.Logf("run %d: emulated/real: processor time %.3f, read %.3f, written %.3f; over %v, at a load average of %s",
							n+1, h.cpu/r.cpu, h.read/r.read, h.wrote/r.wrote, r.took, h.load)
					}
					for what, ratios := range map[string][]float64{"processor": cpu, "bytes read": in, "bytes written": out} {
						slices.Sort(ratios)
						if median := ratios[len(ratios)/2]; median > costMaxRatio || median < 1/costMaxRatio {
							t.Errorf("%s: emulated members cost the leader %.3f times what real ones do (median of %.3f)", what, median, ratios)
						}
					}
				})
			}
		})
	}
}

// measureValid repeats a measurement that is void, up to costTries times in all.
func measureValid(t *testing.T, bin string, lease time.Duration, copies int, keyedRate float64) (real, emulated *cost) {
	t.Helper()
	for range costTries {
		if real, emulated = measure(t, bin, lease, copies, keyedRate); real != nil {
			return real, emulated
		}
	}
	t.Fatalf("%d measurements are void: the machine is too busy", costTries)
	return nil, nil
}

// measure starts both clusters, waits until they are settled, and measures both leaders over the same time, so that other load of the
// machine affects both alike. It returns nil if another voter became leader or members joined or left meanwhile.
func measure(t *testing.T, bin string, lease time.Duration, copies int, keyedRate float64) (real, emulated *cost) {
	t.Helper()
	var clusters [2]*costCluster
	for i := range clusters {
		s := newCostCluster(t, bin, lease, copies, keyedRate, i == 0)
		defer s.close()
		clusters[i] = s
	}
	var was [2]clusterState
	var first, costs [2]*cost
	for i, s := range clusters {
		was[i] = s.settle()
		defer s.sendKeyedRequests()()
	}
	began := time.Now()
	for i, s := range clusters {
		first[i] = s.cost(was[i])
	}
	time.Sleep(max(costMinDuration, costRenewals*lease/cluster.HeartbeatsPerLease)) // the measured time
	took := time.Since(began)
	for i, s := range clusters {
		costs[i] = s.cost(was[i]).since(first[i], took)
	}
	for i, s := range clusters {
		if now := s.state(); now.leader != was[i].leader || now.epoch != was[i].epoch {
			t.Logf("void, %s: leader %s, epoch %d before, %s, %d after; load average %s", costs[i].name, was[i].leader, was[i].epoch, now.leader, now.epoch, costs[i].load)
			return nil, nil
		}
	}
	return costs[0], costs[1]
}

// newCostCluster starts the voters and the members of a cluster.
func newCostCluster(t *testing.T, bin string, lease time.Duration, copies int, keyedRate float64, real bool) *costCluster {
	t.Helper()
	s := &costCluster{t: t, real: real, dir: t.TempDir(), bin: bin, keyedRate: keyedRate,
		procs: map[string]*exec.Cmd{}, callerAddresses: map[string]string{}, clients: map[string]*peerrpc.Client{}}
	s.start = Start{
		Cluster: "true", Lease: lease, Drift: 0.01, Slack: 200 * time.Millisecond, ContradictAtMost: lease + lease/10 + time.Second,
		FixedClasses: []string{LookClass}, Copies: copies, Keep: 2 * time.Minute, LostAfter: 10 * time.Second, KeyedDuration: costKeyedDuration, Seed: 1,
	}
	for i := range costVoters {
		s.start.Voters = append(s.start.Voters, Peer{Name: fmt.Sprintf("k%d", i+1), Zone: zone(i), Address: scripted.FreeAddress(t)})
	}
	for i := range *costMembers {
		s.start.Members = append(s.start.Members, Peer{Name: fmt.Sprintf("m%d", i+1), Zone: zone(i), Address: scripted.FreeAddress(t)})
	}
	s.endpoint = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(costKeyedDuration)
		w.Write([]byte("done")) //nolint:errcheck // its client notices a failure
	}))
	for _, k := range s.start.Voters {
		s.startReal(k)
		s.clients[k.Name] = peerrpc.NewClient(env.Real{}, s.start.Cluster, "test", k.Address)
	}
	if !real {
		s.startEmulated() // all members leave at once, so that each can be started again at its own time
		s.await(Command{ID: 3, Do: Leave}, func(l Output) bool { return l.ID == 3 })
	}
	// Members start at random times over two heartbeats, the same times for both clusters. Members that start together renew together
	// for a long time, and renewals that the leader answers together cost it less.
	rng := rand.New(rand.NewPCG(s.start.Seed, 0))
	due := time.Now()
	for i, m := range s.start.Members {
		due = due.Add(time.Duration(rng.Int64N(4*int64(lease)/cluster.HeartbeatsPerLease) / int64(*costMembers))) // the mean is half of the bound
		time.Sleep(time.Until(due))
		if real {
			s.startReal(m)
			continue
		}
		// A later await reads and skips its answer.
		if err := json.NewEncoder(s.input).Encode(Command{ID: 10 + i, Do: Restart, Members: []string{m.Name}}); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

// cost returns what the leader and the members have used so far.
func (s *costCluster) cost(at clusterState) *cost {
	s.t.Helper()
	pid := s.procs[at.leader].Process.Pid
	c := &cost{name: map[bool]string{true: "real", false: "emulated"}[s.real], cpu: cpuOf(s.t, pid).Seconds(),
		read: ioOf(s.t, pid, "rchar"), wrote: ioOf(s.t, pid, "wchar"), memberCosts: s.memberCosts(), replicas: at.replicas}
	c.keyedRequests, c.keyedRefused = s.keyedCounts()
	c.renewals = s.renewals()
	load, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		s.t.Fatal(err)
	}
	c.load = strings.Fields(string(load))[0]
	return c
}

// since returns what was used per second since an earlier measurement, which was took ago.
func (c *cost) since(first *cost, took time.Duration) *cost {
	out, n := *c, float64(*costMembers)
	out.took = took.Round(time.Millisecond)
	out.cpu, out.read, out.wrote = (c.cpu-first.cpu)/took.Seconds(), (c.read-first.read)/took.Seconds(), (c.wrote-first.wrote)/took.Seconds()
	out.renewals = (c.renewals - first.renewals) / took.Seconds()
	out.keyedRequests, out.keyedRefused = c.keyedRequests-first.keyedRequests, c.keyedRefused-first.keyedRefused
	out.memberText = fmt.Sprintf("%.2f ms of processor time per second, %.2f MB, %.1f goroutines, %.1f descriptors, each",
		1000*(c.memberCosts.cpu-first.memberCosts.cpu).Seconds()/took.Seconds()/n, c.memberCosts.rss/(1<<20)/n, c.memberCosts.goroutines/n, c.memberCosts.descriptors/n)
	return &out
}

// startReal starts a voter or a member as a real process.
func (s *costCluster) startReal(p Peer) {
	s.t.Helper()
	dir := filepath.Join(s.dir, p.Name)
	if err := os.MkdirAll(filepath.Join(dir, "data"), 0o700); err != nil {
		s.t.Fatal(err)
	}
	s.callerAddresses[p.Name] = scripted.FreeAddress(s.t)
	conf, err := json.Marshal(map[string]any{
		"name": p.Name, "listen": s.callerAddresses[p.Name], "discovery": "127.0.0.1:9", "seed": "1", "settings": Settings(p.Zone),
		"known": map[string]any{"index": 1, "snapshot": true, "endpoints": []any{
			map[string]any{"name": "e-1", "address": s.endpoint.Listener.Addr().String(), "zone": "a", "group": 1, "status": "SERVING"}}},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "[crew]\nname = %q\naddress = %q\nlease = %q\ndrift = %v\nslack = %q\ncontradict_at_most = %q\nfixed_classes = [%q]\n",
		s.start.Cluster, p.Address, s.start.Lease, s.start.Drift, s.start.Slack, s.start.ContradictAtMost, LookClass)
	if strings.HasPrefix(p.Name, "k") {
		fmt.Fprintf(&b, "data = %q\n", filepath.Join(dir, "data"))
	}
	for _, k := range s.start.Voters {
		fmt.Fprintf(&b, "[[crew.keeper]]\nname = %q\naddress = %q\n", k.Name, k.Address)
	}
	if s.start.Copies > 0 {
		fmt.Fprintf(&b, "[holdings]\ncopies = %d\nkeep = %q\nlost_after = %q\n[[holdings.class]]\nname = %q\n",
			s.start.Copies, s.start.Keep, s.start.LostAfter, OrderClass)
	}
	confPath, operatorPath := filepath.Join(dir, "sidecar.json"), filepath.Join(dir, "operator.toml")
	for path, text := range map[string][]byte{confPath: conf, operatorPath: []byte(b.String())} {
		if err := os.WriteFile(path, text, 0o600); err != nil {
			s.t.Fatal(err)
		}
	}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		s.t.Fatal(err)
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(s.bin, "heathgap-crew"))
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+confPath, "HEATHGAP_OPERATOR="+operatorPath)
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.procs[p.Name] = cmd
}

// startEmulated starts all members in one process, as emulated ones.
func (s *costCluster) startEmulated() {
	s.t.Helper()
	s.emulated = exec.Command(filepath.Join(s.bin, "heathlab"), "hollow")
	s.emulated.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	in, err := s.emulated.StdinPipe()
	if err != nil {
		s.t.Fatal(err)
	}
	out, err := s.emulated.StdoutPipe()
	if err != nil {
		s.t.Fatal(err)
	}
	if err := s.emulated.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.input, s.output = in, bufio.NewScanner(out)
	s.output.Buffer(nil, maxLineBytes)
	s.await(s.start, func(l Output) bool { return l.Ready })
}

// await sends the emulated process a message and returns the first output that matches. An error in any output fails the test.
func (s *costCluster) await(message any, matches func(Output) bool) Output {
	s.t.Helper()
	if err := json.NewEncoder(s.input).Encode(message); err != nil {
		s.t.Fatal(err)
	}
	for s.output.Scan() {
		var l Output
		if err := json.Unmarshal(s.output.Bytes(), &l); err != nil || l.Error != "" {
			s.t.Fatal(err, l.Error)
		}
		if matches(l) {
			return l
		}
	}
	s.t.Fatal("the process of emulated members has ended")
	return Output{}
}

func (s *costCluster) sample() *Usage {
	return s.await(Command{ID: 1, Do: Sample}, func(l Output) bool { return l.Sample != nil }).Sample
}

// state asks the voters which of them leads, and returns the state of the cluster by the leader's ledger.
func (s *costCluster) state() (now clusterState) {
	for name, client := range s.clients {
		var st voter.Status
		if client.Call("status", struct{}{}, &st, costCallTimeout) != nil || st.Leader != name || st.Ledger == nil {
			continue
		}
		l := st.Ledger
		now = clusterState{leader: name, epoch: l.Epoch, settled: len(l.Members) == costVoters+*costMembers && (s.start.Copies == 0) == (l.Placement == nil)}
		if l.Placement == nil {
			return now
		}
		now.placement, now.replicas = l.Placement.Number, replicasOf(l, name)
		for _, shard := range l.Placement.Shards {
			ready := 0
			for _, replica := range shard.Replicas {
				if replica.Ready {
					ready++
				}
			}
			now.settled = now.settled && ready == s.start.Copies && len(shard.Replicas) == ready
		}
		return now
	}
	return now
}

// settle waits until the cluster is settled and its state has not changed for some heartbeats.
func (s *costCluster) settle() clusterState {
	s.t.Helper()
	var last clusterState
	since := time.Now()
	for limit := time.Now().Add(costSettleTimeout); time.Now().Before(limit); time.Sleep(costPollInterval) {
		now := s.state()
		if now != last || !now.settled {
			last, since = now, time.Now()
		}
		if time.Since(since) > max(3*time.Second, 4*s.start.Lease/cluster.HeartbeatsPerLease) {
			return now
		}
	}
	s.t.Fatalf("the cluster has not settled after %v: %+v", costSettleTimeout, last)
	return last
}

// sendKeyedRequests sends keyed requests to real members until stop is called. Emulated members make their own, and continue until the
// cluster is closed.
func (s *costCluster) sendKeyedRequests() (stop func()) {
	if s.keyedRate == 0 {
		return func() {}
	}
	if !s.real {
		s.await(Command{ID: 2, Do: SetKeyedRate, KeyedRate: s.keyedRate}, func(l Output) bool { return l.ID == 2 })
		return func() {}
	}
	stopped := make(chan struct{})
	var running sync.WaitGroup
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	for i, m := range s.start.Members {
		running.Go(func() {
			ticker := time.NewTicker(time.Duration(float64(time.Second) / s.keyedRate))
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-stopped:
					return
				case <-ticker.C:
				}
				running.Go(func() {
					s.keyedRequests.Add(1)
					q, err := http.NewRequest(http.MethodPost, "http://"+s.callerAddresses[m.Name]+"/"+OrderClass+"/x", strings.NewReader("one"))
					if err != nil {
						s.t.Error(err)
						return
					}
					key := fmt.Sprintf("%s-1-%016x%016x", m.Name, i, n) // as long as the key of an emulated member
					q.Header.Set("X-Txn", key)
					q.Header.Set("X-Remaining", "0.8")
					q.Header.Set("Idempotency-Key", key)
					a, err := client.Do(q)
					if err == nil {
						io.Copy(io.Discard, a.Body) //nolint:errcheck // only its status counts
						a.Body.Close()
					}
					if err != nil || a.StatusCode != http.StatusOK {
						s.keyedRefused.Add(1)
					}
				})
			}
		})
	}
	return func() {
		close(stopped)
		running.Wait()
		client.CloseIdleConnections()
	}
}

// keyedCounts returns how many keyed requests were made so far, and how many of them were refused.
func (s *costCluster) keyedCounts() (requests, refused int64) {
	if s.real {
		return s.keyedRequests.Load(), s.keyedRefused.Load()
	}
	for _, m := range s.sample().Members {
		requests, refused = requests+m.KeyedRequests, refused+m.KeyedRefused
	}
	return requests, refused
}

// renewals returns the number of renewals of all members so far.
func (s *costCluster) renewals() (sum float64) {
	s.t.Helper()
	if !s.real {
		for _, m := range s.sample().Members {
			sum += float64(m.Renewals)
		}
		return sum
	}
	for _, m := range s.start.Members {
		client := peerrpc.NewClient(env.Real{}, s.start.Cluster, "test", m.Address)
		var a member.Status
		if err := client.Call("acting", struct{}{}, &a, costCallTimeout); err != nil {
			s.t.Fatal(err)
		}
		client.Close()
		sum += float64(a.Renewals)
	}
	return sum
}

// memberCosts is what all members use together.
type memberCosts struct {
	cpu                          time.Duration
	rss, goroutines, descriptors float64
}

// memberCosts returns what the members use: of emulated members the values of their process, of real ones the sums over theirs.
func (s *costCluster) memberCosts() (u memberCosts) {
	s.t.Helper()
	if !s.real {
		m := s.sample()
		return memberCosts{m.CPU, float64(m.RSSBytes), float64(m.Goroutines), float64(m.Descriptors)}
	}
	for _, m := range s.start.Members {
		pid := s.procs[m.Name].Process.Pid
		u.cpu += cpuOf(s.t, pid)
		u.rss += fieldOf(s.t, fmt.Sprintf("/proc/%d/status", pid), "VmRSS") * 1024
		files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		if err != nil {
			s.t.Fatal(err)
		}
		u.descriptors += float64(len(files))
	}
	return u // a real member does not report its goroutines
}

// cpuOf returns the processor time that a process has used.
func cpuOf(t *testing.T, pid int) time.Duration {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	// The fields after the name, which is in brackets, begin with field 3. Fields 14 and 15 are user and system time.
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	sum := 0
	for _, f := range fields[11:13] {
		ticks, err := strconv.Atoi(f)
		if err != nil {
			t.Fatal(err)
		}
		sum += ticks
	}
	return time.Duration(sum) * clockTick
}

// ioOf returns how many bytes a process has read or written, sockets included.
func ioOf(t *testing.T, pid int, field string) float64 {
	t.Helper()
	return fieldOf(t, fmt.Sprintf("/proc/%d/io", pid), field)
}

// fieldOf returns the number in a line "field: number" of a file.
func fieldOf(t *testing.T, path, field string) float64 {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, field+":"); ok {
			n, err := strconv.ParseFloat(strings.Fields(value)[0], 64)
			if err != nil {
				t.Fatal(err)
			}
			return n
		}
	}
	t.Fatalf("%s: no %s", path, field)
	return 0
}

// close ends all processes that were started, each by its own process id.
func (s *costCluster) close() {
	if s.emulated != nil {
		s.input.Close()
		s.emulated.Process.Kill() //nolint:errcheck // it may have ended
		s.emulated.Wait()         //nolint:errcheck // it was killed
	}
	for _, p := range s.procs {
		p.Process.Kill() //nolint:errcheck // likewise
	}
	for _, p := range s.procs {
		p.Wait() //nolint:errcheck // likewise
	}
	for _, l := range s.clients {
		l.Close()
	}
	s.endpoint.Close()
}
