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
	"heathgap/internal/peerrpc"
)

// A hollow member is true if it costs the leader what a real one does. Measuring that takes minutes and a machine that has
// little else to do, so it is done by flag:
//
//	go test ./internal/lab/emulated -run TestTrue -hollow.true -hollow.runs 3 -timeout 2h -v
//
// A part of it: -run 'TestTrue/lease_1s/holdings_off'.
var (
	trueFlag    = flag.Bool("hollow.true", false, "measure what 60 hollow members cost the leader beside 60 real ones")
	trueRuns    = flag.Int("hollow.runs", 3, "so many times each")
	trueMembers = flag.Int("hollow.members", 60, "so many members")
)

// Figures of the measurement.
const (
	trueKeepers  = 5
	trueOrders   = 5.0 // a second and member
	trueTakes    = 20 * time.Millisecond
	trueSettles  = 5 * time.Minute // for all to be in and all shards to be whole, at the longest lease
	trueBeats    = 24              // renewals that are measured at least: three leases
	trueLeast    = 20 * time.Second
	trueMost     = 1.1 // the most that the costs may differ, as a ratio, and the inverse
	clockTick    = 10 * time.Millisecond
	trueTimeouts = 5 * time.Second
	trueTries    = 4
	trueLooks    = 200 * time.Millisecond
)

// side is one crew of real keepers, with members that are real processes or hollow ones.
type side struct {
	t       *testing.T
	real    bool
	dir     string
	bin     string
	start   Start
	orders  float64
	procs   map[string]*exec.Cmd
	listens map[string]string // for callers, of real sidecars
	lines   map[string]*peerrpc.Client
	end     *httptest.Server
	hollow  *exec.Cmd
	tell    io.WriteCloser
	hears   *bufio.Scanner
	asked   atomic.Int64
	denied  atomic.Int64
}

// cost is what was measured.
type cost struct {
	name             string
	cpu, read, wrote float64 // of the leader; bytes of all that it reads and writes
	used             used    // by the members
	members          string  // the same, for people
	renewals         float64 // of all members
	asked, denied    int64
	seats            int // of the leader
	load             string
	took             time.Duration
}

// state is how a crew stands.
type state struct {
	leader       string
	epoch, table uint64
	seats        int // of the leader
	whole        bool
}

func TestTrue(t *testing.T) {
	if !*trueFlag {
		t.Skip("by flag alone: it takes minutes, and a quiet machine")
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
				name   string
				copies int
				orders float64
			}{{"holdings off", 0, 0}, {"copies 2", 2, 0}, {"copies 2 with orders", 2, trueOrders}} {
				t.Run(c.name, func(t *testing.T) {
					var cpu, in, out []float64
					for n := range *trueRuns {
						r, h := measureWhole(t, bin, lease, c.copies, c.orders)
						for _, m := range []*cost{r, h} {
							t.Logf("run %d, %s: leader %.2f ms of processor a second, %.0f B/s read, %.0f B/s written, %d seats; members: %.0f renewals a second of all, %s; orders %d, denied %d",
								n+1, m.name, 1000*m.cpu, m.read, m.wrote, m.seats, m.renewals, m.members, m.asked, m.denied)
						}
						cpu, in, out = append(cpu, h.cpu/r.cpu), append(in, h.read/r.read), append(out, h.wrote/r.wrote)
						t.Logf("run %d: hollow/real: processor %.3f, read %.3f, written %.3f; over %v, at a load average of %s",
							n+1, h.cpu/r.cpu, h.read/r.read, h.wrote/r.wrote, r.took, h.load)
					}
					for what, ratios := range map[string][]float64{"processor": cpu, "bytes read": in, "bytes written": out} {
						slices.Sort(ratios)
						if median := ratios[len(ratios)/2]; median > trueMost || median < 1/trueMost {
							t.Errorf("%s: hollow members cost the leader %.3f of what real ones do (median of %.3f)", what, median, ratios)
						}
					}
				})
			}
		})
	}
}

// measureWhole measures again where a measurement is void.
func measureWhole(t *testing.T, bin string, lease time.Duration, copies int, orders float64) (real, hollow *cost) {
	t.Helper()
	for range trueTries {
		if real, hollow = measure(t, bin, lease, copies, orders); real != nil {
			return real, hollow
		}
	}
	t.Fatalf("%d measurements are void: the machine is too busy", trueTries)
	return nil, nil
}

// measure starts both crews, waits until they are at rest, and measures their leaders over the same time: what else the machine has
// to do then strikes both alike. It returns nil where another keeper came to lead, or members came or went meanwhile.
func measure(t *testing.T, bin string, lease time.Duration, copies int, orders float64) (real, hollow *cost) {
	t.Helper()
	var sides [2]*side
	for i := range sides {
		s := newSide(t, bin, lease, copies, orders, i == 0)
		defer s.close()
		sides[i] = s
	}
	var was [2]state
	var first, costs [2]*cost
	for i, s := range sides {
		was[i] = s.settle()
		defer s.order()()
	}
	began := time.Now()
	for i, s := range sides {
		first[i] = s.cost(was[i])
	}
	time.Sleep(max(trueLeast, trueBeats*lease/cluster.HeartbeatsPerLease)) // measured for so long
	took := time.Since(began)
	for i, s := range sides {
		costs[i] = s.cost(was[i]).since(first[i], took)
	}
	for i, s := range sides {
		if now := s.state(); now.leader != was[i].leader || now.epoch != was[i].epoch {
			t.Logf("void, %s: leader %s, epoch %d before, %s, %d after; load average %s", costs[i].name, was[i].leader, was[i].epoch, now.leader, now.epoch, costs[i].load)
			return nil, nil
		}
	}
	return costs[0], costs[1]
}

// newSide starts a crew.
func newSide(t *testing.T, bin string, lease time.Duration, copies int, orders float64, real bool) *side {
	t.Helper()
	s := &side{t: t, real: real, dir: t.TempDir(), bin: bin, orders: orders,
		procs: map[string]*exec.Cmd{}, listens: map[string]string{}, lines: map[string]*peerrpc.Client{}}
	s.start = Start{
		Cluster: "true", Lease: lease, Drift: 0.01, Slack: 200 * time.Millisecond, ContradictAtMost: lease + lease/10 + time.Second,
		FixedClasses: []string{LookClass}, Copies: copies, Keep: 2 * time.Minute, LostAfter: 10 * time.Second, KeyedDuration: trueTakes, Seed: 1,
	}
	for i := range trueKeepers {
		s.start.Voters = append(s.start.Voters, Peer{Name: fmt.Sprintf("k%d", i+1), Zone: zone(i), Address: free(t)})
	}
	for i := range *trueMembers {
		s.start.Members = append(s.start.Members, Peer{Name: fmt.Sprintf("m%d", i+1), Zone: zone(i), Address: free(t)})
	}
	s.end = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(trueTakes)
		w.Write([]byte("done")) //nolint:errcheck // its client shows
	}))
	for _, k := range s.start.Voters {
		s.startReal(k)
		s.lines[k.Name] = peerrpc.NewClient(env.Real{}, s.start.Cluster, "test", k.Address)
	}
	if !real {
		s.startHollow() // to begin anew, each at its own time
		s.await(Command{ID: 3, Do: Leave}, func(l Output) bool { return l.ID == 3 })
	}
	// Members come up at drawn times over two beats, the same for both sides: what a leader answers together costs it less, and who
	// comes up together asks together for long.
	dice := rand.New(rand.NewPCG(s.start.Seed, 0))
	due := time.Now()
	for i, m := range s.start.Members {
		due = due.Add(time.Duration(dice.Int64N(4*int64(lease)/cluster.HeartbeatsPerLease) / int64(*trueMembers))) // half of that is the mean
		time.Sleep(time.Until(due))
		if real {
			s.startReal(m)
			continue
		}
		// Its answer is read on the way to the next one that is waited for.
		if err := json.NewEncoder(s.tell).Encode(Command{ID: 10 + i, Do: Restart, Members: []string{m.Name}}); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

// cost is what its leader and its members have cost so far.
func (s *side) cost(at state) *cost {
	s.t.Helper()
	pid := s.procs[at.leader].Process.Pid
	c := &cost{name: map[bool]string{true: "real", false: "hollow"}[s.real], cpu: cpuOf(s.t, pid).Seconds(),
		read: ioOf(s.t, pid, "rchar"), wrote: ioOf(s.t, pid, "wchar"), used: s.members(), seats: at.seats}
	c.asked, c.denied = s.orderCounts()
	c.renewals = s.renewals()
	load, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		s.t.Fatal(err)
	}
	c.load = strings.Fields(string(load))[0]
	return c
}

// since is what it has cost a second after another look.
func (c *cost) since(first *cost, took time.Duration) *cost {
	out, n := *c, float64(*trueMembers)
	out.took = took.Round(time.Millisecond)
	out.cpu, out.read, out.wrote = (c.cpu-first.cpu)/took.Seconds(), (c.read-first.read)/took.Seconds(), (c.wrote-first.wrote)/took.Seconds()
	out.renewals = (c.renewals - first.renewals) / took.Seconds()
	out.asked, out.denied = c.asked-first.asked, c.denied-first.denied
	out.members = fmt.Sprintf("%.2f ms of processor a second, %.2f MB, %.1f goroutines, %.1f descriptors, each",
		1000*(c.used.cpu-first.used.cpu).Seconds()/took.Seconds()/n, c.used.rss/(1<<20)/n, c.used.goroutines/n, c.used.descriptors/n)
	return &out
}

// startReal starts a sidecar as a process.
func (s *side) startReal(p Peer) {
	s.t.Helper()
	dir := filepath.Join(s.dir, p.Name)
	if err := os.MkdirAll(filepath.Join(dir, "data"), 0o700); err != nil {
		s.t.Fatal(err)
	}
	s.listens[p.Name] = free(s.t)
	conf, err := json.Marshal(map[string]any{
		"name": p.Name, "listen": s.listens[p.Name], "discovery": "127.0.0.1:9", "seed": "1", "settings": Settings(p.Zone),
		"known": map[string]any{"index": 1, "snapshot": true, "endpoints": []any{
			map[string]any{"name": "e-1", "address": s.end.Listener.Addr().String(), "zone": "a", "group": 1, "status": "SERVING"}}},
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

// startHollow starts all members in one process.
func (s *side) startHollow() {
	s.t.Helper()
	s.hollow = exec.Command(filepath.Join(s.bin, "heathlab"), "hollow")
	s.hollow.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	in, err := s.hollow.StdinPipe()
	if err != nil {
		s.t.Fatal(err)
	}
	out, err := s.hollow.StdoutPipe()
	if err != nil {
		s.t.Fatal(err)
	}
	if err := s.hollow.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.tell, s.hears = in, bufio.NewScanner(out)
	s.hears.Buffer(nil, mostLine)
	s.await(s.start, func(l Output) bool { return l.Ready })
}

// await tells the hollow process something and returns the answer.
func (s *side) await(told any, is func(Output) bool) Output {
	s.t.Helper()
	if err := json.NewEncoder(s.tell).Encode(told); err != nil {
		s.t.Fatal(err)
	}
	for s.hears.Scan() {
		var l Output
		if err := json.Unmarshal(s.hears.Bytes(), &l); err != nil || l.Error != "" {
			s.t.Fatal(err, l.Error)
		}
		if is(l) {
			return l
		}
	}
	s.t.Fatal("the hollow process has ended")
	return Output{}
}

func (s *side) sample() *Usage {
	return s.await(Command{ID: 1, Do: Sample}, func(l Output) bool { return l.Sample != nil }).Sample
}

// state asks who leads, and what it knows.
func (s *side) state() (now state) {
	for name, line := range s.lines {
		var st voter.Status
		if line.Call("status", struct{}{}, &st, trueTimeouts) != nil || st.Leader != name || st.Ledger == nil {
			continue
		}
		l := st.Ledger
		now = state{leader: name, epoch: l.Epoch, whole: len(l.Members) == trueKeepers+*trueMembers && (s.start.Copies == 0) == (l.Placement == nil)}
		if l.Placement == nil {
			return now
		}
		now.table, now.seats = l.Placement.Number, seatsOf(l, name)
		for _, shard := range l.Placement.Shards {
			ready := 0
			for _, seat := range shard.Replicas {
				if seat.Ready {
					ready++
				}
			}
			now.whole = now.whole && ready == s.start.Copies && len(shard.Replicas) == ready
		}
		return now
	}
	return now
}

// settle waits until all are in and all shards are whole, and nothing has changed for some questions of each.
func (s *side) settle() state {
	s.t.Helper()
	var last state
	since := time.Now()
	for limit := time.Now().Add(trueSettles); time.Now().Before(limit); time.Sleep(trueLooks) {
		now := s.state()
		if now != last || !now.whole {
			last, since = now, time.Now()
		}
		if time.Since(since) > max(3*time.Second, 4*s.start.Lease/cluster.HeartbeatsPerLease) {
			return now
		}
	}
	s.t.Fatalf("not at rest after %v: %+v", trueSettles, last)
	return last
}

// order has members make orders until it is told to stop.
func (s *side) order() (stop func()) {
	if s.orders == 0 {
		return func() {}
	}
	if !s.real {
		s.await(Command{ID: 2, Do: Order, Orders: s.orders}, func(l Output) bool { return l.ID == 2 })
		return func() {}
	}
	halt := make(chan struct{})
	var all sync.WaitGroup
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	for i, m := range s.start.Members {
		all.Go(func() {
			ticker := time.NewTicker(time.Duration(float64(time.Second) / s.orders))
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-halt:
					return
				case <-ticker.C:
				}
				all.Go(func() {
					s.asked.Add(1)
					q, err := http.NewRequest(http.MethodPost, "http://"+s.listens[m.Name]+"/"+OrderClass+"/x", strings.NewReader("one"))
					if err != nil {
						s.t.Error(err)
						return
					}
					key := fmt.Sprintf("%s-1-%016x%016x", m.Name, i, n) // as long as a hollow member's
					q.Header.Set("X-Txn", key)
					q.Header.Set("X-Remaining", "0.8")
					q.Header.Set("Idempotency-Key", key)
					a, err := client.Do(q)
					if err == nil {
						io.Copy(io.Discard, a.Body) //nolint:errcheck // its status counts
						a.Body.Close()
					}
					if err != nil || a.StatusCode != http.StatusOK {
						s.denied.Add(1)
					}
				})
			}
		})
	}
	return func() {
		close(halt)
		all.Wait()
		client.CloseIdleConnections()
	}
}

func (s *side) orderCounts() (asked, denied int64) {
	if s.real {
		return s.asked.Load(), s.denied.Load()
	}
	for _, m := range s.sample().Members {
		asked, denied = asked+m.KeyedRequests, denied+m.KeyedRefused
	}
	return asked, denied
}

// renewals are those of all members so far.
func (s *side) renewals() (sum float64) {
	s.t.Helper()
	if !s.real {
		for _, m := range s.sample().Members {
			sum += float64(m.Renewals)
		}
		return sum
	}
	for _, m := range s.start.Members {
		line := peerrpc.NewClient(env.Real{}, s.start.Cluster, "test", m.Address)
		var a member.Status
		if err := line.Call("acting", struct{}{}, &a, trueTimeouts); err != nil {
			s.t.Fatal(err)
		}
		line.Close()
		sum += float64(a.Renewals)
	}
	return sum
}

// used is what all members take together.
type used struct {
	cpu                          time.Duration
	rss, goroutines, descriptors float64
}

func (s *side) members() (u used) {
	s.t.Helper()
	if !s.real {
		m := s.sample()
		return used{m.CPU, float64(m.RSSBytes), float64(m.Goroutines), float64(m.Descriptors)}
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
	return u // nobody tells a real one's goroutines
}

// cpuOf is what a process has had of processors.
func cpuOf(t *testing.T, pid int) time.Duration {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	// What follows the name, which is in brackets: field 3 on; 14 and 15 are times.
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

// ioOf is what a process has read or written, with sockets.
func ioOf(t *testing.T, pid int, field string) float64 {
	t.Helper()
	return fieldOf(t, fmt.Sprintf("/proc/%d/io", pid), field)
}

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

// close ends all that was started, each by its own id.
func (s *side) close() {
	if s.hollow != nil {
		s.tell.Close()
		s.hollow.Process.Kill() //nolint:errcheck // it may have ended
		s.hollow.Wait()         //nolint:errcheck // it was killed
	}
	for _, p := range s.procs {
		p.Process.Kill() //nolint:errcheck // likewise
	}
	for _, p := range s.procs {
		p.Wait() //nolint:errcheck // likewise
	}
	for _, l := range s.lines {
		l.Close()
	}
	s.end.Close()
}
