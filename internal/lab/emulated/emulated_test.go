package emulated

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"heathgap/internal/cluster"
	"heathgap/internal/cluster/member"
	"heathgap/internal/cluster/voter"
	"heathgap/internal/env"
	"heathgap/internal/lab/scripted"
	"heathgap/internal/peerrpc"
	"heathgap/internal/versions"
)

// Times of the tests.
const (
	testLease = time.Second
	testWait  = 20 * time.Second // for what must happen, on a busy machine
	testPause = 5 * time.Millisecond
)

// testProcess runs a process of emulated members inside the test process, and holds its output.
type testProcess struct {
	t     *testing.T
	in    *json.Encoder
	close func()
	ended chan error

	mu      sync.Mutex
	changed *sync.Cond
	events  []MemberState
	answers map[int]Output
	ready   bool
	failed  string // the error of a line without id
	id      int
}

// startProcess starts a process of emulated members, which ends with the test.
func startProcess(t *testing.T, start any) *testProcess {
	t.Helper()
	inRead, inWrite := io.Pipe()
	outRead, outWrite := io.Pipe()
	p := &testProcess{t: t, in: json.NewEncoder(inWrite), close: func() { inWrite.Close() }, ended: make(chan error, 1), answers: map[int]Output{}}
	p.changed = sync.NewCond(&p.mu)
	go func() {
		err := Run(inRead, outWrite, zerolog.Nop())
		inRead.Close()
		outWrite.Close()
		p.ended <- err
	}()
	read := make(chan struct{})
	go func() {
		defer close(read)
		lines := bufio.NewScanner(outRead)
		lines.Buffer(nil, maxLineBytes)
		for lines.Scan() {
			var l Output
			if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
				t.Error(err)
			}
			p.receive(l)
		}
	}()
	p.in.Encode(start) //nolint:errcheck // the process reports what is wrong
	t.Cleanup(func() {
		inWrite.Close()
		<-read
	})
	return p
}

// receive stores a line that the process wrote.
func (p *testProcess) receive(l Output) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case l.Event != nil:
		p.events = append(p.events, *l.Event)
	case l.ID > 0:
		p.answers[l.ID] = l
	case l.Ready:
		p.ready = true
	default:
		p.failed = l.Error
	}
	p.changed.Broadcast()
}

// await waits until holds returns true. It is called, with the lock held, after each line that the process writes.
func (p *testProcess) await(what string, holds func() bool) {
	p.t.Helper()
	timer := time.AfterFunc(testWait, p.changed.Broadcast)
	defer timer.Stop()
	limit := time.Now().Add(testWait)
	p.mu.Lock()
	defer p.mu.Unlock()
	for !holds() {
		if !time.Now().Before(limit) {
			p.t.Fatalf("not after %v: %s; failed %q, %d events, the last %+v", testWait, what, p.failed, len(p.events), p.events[max(0, len(p.events)-3):])
		}
		p.changed.Wait()
	}
}

// do sends a command and returns the answer.
func (p *testProcess) do(c Command) Output {
	p.t.Helper()
	p.mu.Lock()
	p.id++
	c.ID = p.id
	p.mu.Unlock()
	if err := p.in.Encode(c); err != nil {
		p.t.Fatal(err)
	}
	p.await(c.Do, func() bool { return p.answers[c.ID].ID == c.ID })
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answers[c.ID]
}

// mustDo is do for a command that must succeed.
func (p *testProcess) mustDo(c Command) Output {
	p.t.Helper()
	l := p.do(c)
	if l.Error != "" {
		p.t.Fatalf("%+v: %s", c, l.Error)
	}
	return l
}

func (p *testProcess) sample() *Usage {
	p.t.Helper()
	return p.mustDo(Command{Do: Sample}).Sample
}

// last returns each member's last event; the lock is held.
func (p *testProcess) last() map[string]MemberState {
	out := map[string]MemberState{}
	for _, e := range p.events {
		out[e.Member] = e
	}
	return out
}

// awaitAll waits until holds is true for the last events of exactly n members.
func (p *testProcess) awaitAll(what string, n int, holds func(MemberState) bool) {
	p.t.Helper()
	p.await(what, func() bool {
		matching := 0
		for _, s := range p.last() {
			if holds(s) {
				matching++
			}
		}
		return matching == n
	})
}

// testCluster holds real voters in the test process, and the Start of a process of emulated members beside them.
type testCluster struct {
	t       *testing.T
	start   Start
	clients []*peerrpc.Client
}

// startCluster starts the voters and names the members.
func startCluster(t *testing.T, voters, members, copies int) *testCluster {
	t.Helper()
	c := &testCluster{t: t, start: Start{
		Cluster: "hollow", Lease: testLease, Drift: 0.01, Slack: 200 * time.Millisecond, ContradictAtMost: 2500 * time.Millisecond,
		FixedClasses: []string{LookClass}, Copies: copies, Keep: time.Minute, LostAfter: 5 * time.Second, Seed: 1,
	}}
	for i := range voters {
		c.start.Voters = append(c.start.Voters, Peer{Name: fmt.Sprintf("k%d", i+1), Zone: zone(i), Address: scripted.FreeAddress(t)})
	}
	for i := range members {
		c.start.Members = append(c.start.Members, Peer{Name: fmt.Sprintf("m%d", i+1), Zone: zone(i), Address: scripted.FreeAddress(t)})
	}
	var starting sync.WaitGroup
	for _, k := range c.start.Voters {
		dir := t.TempDir()
		starting.Go(func() {
			table := c.start.clusterConfig(k)
			table.DataDir = dir
			conf, err := sidecarConfig(k)
			if err != nil {
				t.Error(err)
				return
			}
			m, err := member.Start(table, conf, env.Real{}, zerolog.Nop())
			if err != nil {
				t.Error(err)
				return
			}
			t.Cleanup(m.Stop)
		})
		c.clients = append(c.clients, peerrpc.NewClient(env.Real{}, c.start.Cluster, "test", k.Address))
	}
	starting.Wait()
	if t.Failed() {
		t.FailNow()
	}
	c.ledger() // waits until the voters have formed the cluster
	return c
}

// zone returns one of three zones in turn.
func zone(i int) string { return string(rune('a' + i%3)) }

// ledger returns the leader's ledger.
func (c *testCluster) ledger() *cluster.Ledger {
	c.t.Helper()
	for limit := time.Now().Add(testWait); time.Now().Before(limit); time.Sleep(testPause) {
		for i, client := range c.clients {
			var s voter.Status
			if client.Call("status", struct{}{}, &s, time.Second) == nil && s.Leader == c.start.Voters[i].Name && s.Ledger != nil {
				return s.Ledger
			}
		}
	}
	c.t.Fatal("no voter leads")
	return nil
}

// awaitLedger waits until holds is true for the leader's ledger, and returns it.
func (c *testCluster) awaitLedger(what string, holds func(l *cluster.Ledger) bool) *cluster.Ledger {
	c.t.Helper()
	var l *cluster.Ledger
	for limit := time.Now().Add(testWait); time.Now().Before(limit); time.Sleep(testPause) {
		if l = c.ledger(); holds(l) {
			return l
		}
	}
	c.t.Fatalf("not after %v: %s; epoch %d, %d members", testWait, what, l.Epoch, len(l.Members))
	return nil
}

// awaitReplicated waits until all shards have all their replicas ready, and neither the placement nor the membership has changed for
// half a lease.
func (c *testCluster) awaitReplicated() *cluster.Ledger {
	c.t.Helper()
	since, epoch, table := time.Now(), uint64(0), uint64(0)
	return c.awaitLedger("all shards have all replicas", func(l *cluster.Ledger) bool {
		if l.Placement == nil {
			return false
		}
		if l.Epoch != epoch || l.Placement.Number != table {
			since, epoch, table = time.Now(), l.Epoch, l.Placement.Number
		}
		for i := range l.Placement.Shards {
			ready := 0
			for _, replica := range l.Placement.Shards[i].Replicas {
				if replica.Ready {
					ready++
				}
			}
			if ready < c.start.Copies {
				return false
			}
		}
		return time.Since(since) > testLease/2
	})
}

// propose proposes a version and returns its number.
func (c *testCluster) propose(doc versions.Document) uint64 {
	c.t.Helper()
	id := voter.NewID()
	for limit := time.Now().Add(testWait); time.Now().Before(limit); time.Sleep(testPause) {
		for _, client := range c.clients {
			var result voter.ProposeResult
			p := cluster.Proposal{ID: id, Parent: c.ledger().Active.Number, Author: "test", Doc: doc}
			if err := client.Call("propose", p, &result, time.Second); err == nil && result.Number > 0 {
				return result.Number
			}
		}
	}
	c.t.Fatal("no voter accepts the proposal")
	return 0
}

// listens reports whether somebody listens at an address.
func listens(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err == nil {
		conn.Close()
	}
	return err == nil
}

// All members get leases, and a new version takes effect at all of them. The events show it first together with the version before,
// then alone.
func TestVersionTakesEffectOnAll(t *testing.T) {
	const members = 20
	c := startCluster(t, 3, members, 0)
	p := startProcess(t, c.start)
	p.awaitAll("leases", members, func(s MemberState) bool { return !s.Cautious })
	p.await("ready", func() bool { return p.ready })
	number := c.propose(versions.Document{MaxAttempts: 1})
	p.awaitAll("the version", members, func(s MemberState) bool { return s.Active == number && s.Next == 0 && !s.Cautious })
	p.mu.Lock()
	acceptedBoth, before := map[string]bool{}, map[string]MemberState{}
	for _, e := range p.events {
		if e.Active == 0 && e.Next == number {
			acceptedBoth[e.Member] = true
		}
		b, had := before[e.Member]
		if before[e.Member] = e; had && (b.At > e.At || b.Active == e.Active && b.Next == e.Next && b.Cautious == e.Cautious) {
			t.Errorf("%+v after %+v", e, b)
		}
	}
	p.mu.Unlock()
	if len(acceptedBoth) != members {
		t.Errorf("%d of %d members have reported both versions in effect together", len(acceptedBoth), members)
	}
	s := p.sample()
	if s.CPU <= 0 || s.RSSBytes < 1<<20 || s.Goroutines < 2*members || s.Descriptors < 2*members || s.At <= 0 {
		t.Errorf("%+v", s)
	}
	for name, m := range s.Members {
		if m.Renewals == 0 || m.Conns == 0 || m.ToVoters == 0 || m.FromVoters == 0 || m.In < m.FromVoters || m.Out < m.ToVoters || m.State.Active != number {
			t.Errorf("%s: %+v", name, m)
		}
	}
	p.mustDo(Command{Do: End})
	if err := <-p.ended; err != nil {
		t.Error(err)
	}
	if listens(c.start.Members[0].Address) {
		t.Error("a member still listens after the end")
	}
}

// A member that is killed ends at once and sends nothing more, so the voters remove it only when its lease has expired. It starts again
// as another process with the same name and address. Guards against a kill that sends the message of a member that leaves.
func TestKillAndRestart(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3, 6, 0)
	p := startProcess(t, c.start)
	p.awaitAll("leases", 6, func(s MemberState) bool { return !s.Cautious })
	before := c.ledger().Members["m1"]
	renewals := p.sample().Members["m1"].Renewals
	killed := time.Now()
	p.mustDo(Command{Do: Kill, Members: []string{"m1"}})
	if listens(before.Address) {
		t.Error("a killed member still listens")
	}
	p.await("its end", func() bool { return p.last()["m1"].Gone })
	if s := p.sample().Members["m1"]; s.Conns != 0 || !s.State.Gone || s.Renewals < renewals {
		t.Errorf("%+v", s)
	}
	c.awaitLedger("m1 is removed from the cluster", func(l *cluster.Ledger) bool { return l.Members["m1"].Token == 0 })
	// Its last renewal was at most a heartbeat before, or a late one up to a heartbeat more. A message that it leaves would have removed
	// it at once.
	if after := time.Since(killed); after < testLease/2 {
		t.Errorf("removed %v after the kill, before its lease can have expired", after)
	}
	if l := p.do(Command{Do: Kill, Members: []string{"m1"}}); !strings.Contains(l.Error, "m1: the member is not running") {
		t.Errorf("%+v", l)
	}
	p.mustDo(Command{Do: Restart, Members: []string{"m1"}})
	p.awaitAll("its lease", 6, func(s MemberState) bool { return !s.Cautious && !s.Gone })
	if now := c.ledger().Members["m1"]; now.Token == before.Token || now.Address != before.Address {
		t.Errorf("%+v after %+v", now, before)
	}
	if l := p.do(Command{Do: Restart, Members: []string{"m1"}}); !strings.Contains(l.Error, "m1: the member is already running") {
		t.Errorf("%+v", l)
	}
}

// Members of a partitioned region lose their leases and are removed, the others are not. After the partition is healed all have leases
// again. Commands that are invalid get an error in one line.
func TestPartitionAndHeal(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3, 6, 0)
	c.start.RegionDelay = 5 * time.Millisecond
	c.start.Regions = map[string]string{}
	for _, k := range c.start.Voters {
		c.start.Regions[k.Address] = "north"
	}
	for i, m := range c.start.Members {
		c.start.Regions[m.Address] = []string{"north", "south"}[i%2]
	}
	p := startProcess(t, c.start)
	p.awaitAll("leases", 6, func(s MemberState) bool { return !s.Cautious })
	p.mustDo(Command{Do: Partition, Regions: [2]string{"south", "north"}})
	south := func(name string) bool { return name == "m2" || name == "m4" || name == "m6" }
	p.await("the south is cautious", func() bool {
		n := 0
		for name, s := range p.last() {
			if south(name) && s.Cautious {
				n++
			}
		}
		return n == 3
	})
	l := c.awaitLedger("the members of the south are removed", func(l *cluster.Ledger) bool { return len(l.Members) == 6 })
	for name := range l.Members {
		if south(name) {
			t.Errorf("%s is still in the cluster", name)
		}
	}
	p.mustDo(Command{Do: Heal, Regions: [2]string{"north", "south"}})
	p.awaitAll("leases again", 6, func(s MemberState) bool { return !s.Cautious })
	c.awaitLedger("all members have joined", func(l *cluster.Ledger) bool { return len(l.Members) == 9 })
	for _, bad := range []Command{
		{Do: Partition, Regions: [2]string{"north", "west"}}, {Do: Partition}, {Do: Heal, Regions: [2]string{"north", "north"}}, {Do: Sample, Members: []string{"m9"}},
		{Do: SetKeyedRate, KeyedRate: 1}, {Do: SetKeyedRate, KeyedRate: -1},
	} {
		if l := p.do(bad); l.Error == "" || strings.Contains(l.Error, "\n") {
			t.Errorf("%+v: %+v", bad, l)
		}
	}
}

// The bytes that a member's sockets count are those of its messages as the server counts them, plus the HTTP heads. A member that leaves
// announces it in a last renewal, and one that is killed does not.
func TestTrafficAndLeaveMessage(t *testing.T) {
	s, err := peerrpc.Listen(env.Real{}, scripted.FreeAddress(t), "hollow")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	var renewals, leaving atomic.Int64
	s.Serve(env.Real{}, map[string]peerrpc.Handler{"renew": func(from string, body []byte) (any, error) {
		var r cluster.Renewal
		if err := peerrpc.Decode(body, &r); err != nil || r.Name != from || r.Leaving && !r.Decommissioning {
			t.Errorf("%+v of %s, %v", r, from, err)
		}
		renewals.Add(1)
		if r.Leaving {
			leaving.Add(1)
		}
		return voter.RenewResult{}, nil // neither a grant nor the name of the leader
	}})
	start := Start{Cluster: "hollow", Lease: 400 * time.Millisecond, ContradictAtMost: time.Second, Copies: 2, Keep: time.Minute, LostAfter: time.Second,
		Voters: []Peer{{Name: "k1", Address: s.Address()}}}
	const members = 5
	for i := range members {
		start.Members = append(start.Members, Peer{Name: fmt.Sprintf("m%d", i), Zone: zone(i), Address: scripted.FreeAddress(t)})
	}
	p := startProcess(t, start)
	p.await("ready", func() bool { return p.ready })
	for limit := time.Now().Add(testWait); renewals.Load() < 100 && time.Now().Before(limit); time.Sleep(testPause) {
	}
	p.mustDo(Command{Do: Leave}) // returns when the last renewal of each member is answered
	n, sum := renewals.Load(), MemberUsage{}
	for _, m := range p.sample().Members {
		sum.In, sum.Out, sum.ToVoters, sum.FromVoters = sum.In+m.In, sum.Out+m.Out, sum.ToVoters+m.ToVoters, sum.FromVoters+m.FromVoters
		sum.LostRenewals += m.LostRenewals
	}
	if size := s.BytesIn.Load() / max(1, n); n < 100 || size < 10 || size > 90 {
		t.Fatalf("%d messages of %d bytes; the heads that this test computes need at least 100 messages, of a length with two digits", n, size)
	}
	request := int64(len("POST /crew/1/renew HTTP/1.1\r\nHost: " + s.Address() + "\r\nContent-Length: 12\r\n\r\n"))
	answer := int64(len("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"))
	if want := s.BytesIn.Load() + n*request; sum.ToVoters != want || sum.Out != want {
		t.Errorf("%d bytes out, %d to voters, want %d", sum.Out, sum.ToVoters, want)
	}
	if want := s.BytesOut.Load() + n*answer; sum.FromVoters != want || sum.In != want {
		t.Errorf("%d bytes in, %d from voters, want %d", sum.In, sum.FromVoters, want)
	}
	if sum.LostRenewals == 0 {
		t.Error("no voter led, but no member counted a lost renewal")
	}
	if leaving.Load() != members {
		t.Errorf("%d of %d members have announced that they leave", leaving.Load(), members)
	}
	p.mustDo(Command{Do: Restart})
	p.awaitAll("they are back", members, func(s MemberState) bool { return !s.Gone })
	p.mustDo(Command{Do: Kill})
	p.mustDo(Command{Do: End})
	<-p.ended // the goroutines of the killed members have ended too
	if leaving.Load() != members {
		t.Error("a member that was killed has announced that it leaves")
	}
}

// replicasOf returns the number of shards of which a member has a replica.
func replicasOf(l *cluster.Ledger, name string) (n int) {
	for _, shard := range l.Placement.Shards {
		for _, replica := range shard.Replicas {
			if replica.Incarnation.Name == name {
				n++
			}
		}
	}
	return n
}

// Members make keyed requests while the rate is above 0. A member that leaves finishes those in flight, and other members have its
// replicas before it is removed: no shard is lost.
func TestKeyedRequestsAndLeave(t *testing.T) {
	t.Parallel()
	const members = 9
	c := startCluster(t, 3, members, 2)
	c.start.KeyedDuration = 10 * time.Millisecond
	p := startProcess(t, c.start)
	p.awaitAll("leases", members, func(s MemberState) bool { return !s.Cautious })
	if replicasOf(c.awaitReplicated(), "m1") == 0 {
		t.Fatal("m1 has no replicas, so this test would show nothing")
	}
	idle := p.sample().Members
	if idle["m1"].KeyedRequests != 0 {
		t.Errorf("%+v", idle["m1"])
	}
	p.mustDo(Command{Do: SetKeyedRate, KeyedRate: 20})
	for limit := time.Now().Add(testWait); ; time.Sleep(testPause) {
		fewest := int64(1 << 60)
		for _, m := range p.sample().Members {
			fewest = min(fewest, m.KeyedRequests-m.KeyedRefused)
		}
		if fewest >= 10 { // on a busy machine some exceed their deadline and are refused
			break
		}
		if time.Now().After(limit) {
			t.Fatalf("a member has finished only %d keyed requests", fewest)
		}
	}
	p.mustDo(Command{Do: SetKeyedRate, KeyedRate: 0})
	p.mustDo(Command{Do: Leave, Members: []string{"m1"}})
	l := c.awaitLedger("it has left", func(l *cluster.Ledger) bool { return l.Members["m1"].Token == 0 && replicasOf(l, "m1") == 0 })
	for i, shard := range l.Placement.Shards {
		if shard.Lost > 0 {
			t.Errorf("shard %d was lost", i)
		}
	}
	p.await("its end", func() bool { return p.last()["m1"].Gone })
	if listens(c.start.Members[0].Address) {
		t.Error("a member that has left still listens")
	}
	now := p.sample().Members
	requests, finished, out, in := now["m1"].KeyedRequests, int64(0), int64(0), int64(0)
	for name, m := range now {
		finished += m.KeyedRequests - m.KeyedRefused
		out += m.Out - m.ToVoters - idle[name].Out + idle[name].ToVoters
		in += m.In - m.FromVoters - idle[name].In + idle[name].FromVoters
	}
	// A claim and an outcome go to a primary and from there to another replica, each in a message of some 100 bytes and its head. Most of
	// these replicas are at members that are not voters.
	if least := finished * 100; out < least || in < least {
		t.Errorf("%d bytes out and %d in, for %d keyed requests: they have not been sent to other members", out, in, finished)
	}
	if p.mustDo(Command{Do: Restart, Members: []string{"m1"}}); p.sample().Members["m1"].KeyedRequests != requests {
		t.Error("a member that was started again makes keyed requests although the rate is 0")
	}
	p.awaitAll("its lease", members, func(s MemberState) bool { return !s.Cautious && !s.Gone })
}

// Each injected fault has its effect: a member that ignores versions keeps its first one in its events but reports the new one to
// others, one renews about twice as often, and one receives far more bytes per renewal. Guards against faults that do nothing, with
// which the checks would seem to work.
func TestInjectedFaults(t *testing.T) {
	t.Parallel()
	const members = 8
	c := startCluster(t, 3, members, 2)
	c.start.Faults = map[string]Fault{"m1": IgnoresVersions, "m2": RenewsTooOften, "m3": LosesState}
	p := startProcess(t, c.start)
	p.awaitAll("leases", members, func(s MemberState) bool { return !s.Cautious })
	number := c.propose(versions.Document{MaxAttempts: 1})
	c.awaitLedger("the version is active", func(l *cluster.Ledger) bool { return l.Active.Number == number })
	p.await("the version is in effect at all other members", func() bool {
		n := 0
		for _, s := range p.last() {
			if s.Active == number {
				n++
			}
		}
		return n == members-1
	})
	p.mu.Lock()
	for _, e := range p.events {
		if e.Member == "m1" && (e.Active != 0 || e.Next != 0) {
			t.Errorf("the member that ignores versions applies one: %+v", e)
		}
	}
	p.mu.Unlock()
	var status member.Status
	client := peerrpc.NewClient(env.Real{}, "hollow", "test", c.start.Members[0].Address)
	defer client.Close()
	if err := client.Call("acting", struct{}{}, &status, testWait); err != nil || status.Active != number {
		t.Errorf("the member that ignores versions reports %+v, %v", status, err)
	}
	c.awaitReplicated()
	// Compares over minRenewals renewals, and over as many again if it fails: while replicas still move, all members receive placements.
	const minRenewals = 24
	first, limit := p.sample().Members, time.Now().Add(testWait)
	for {
		now := p.sample().Members
		since := func(name string) (renewals, received float64) {
			return float64(now[name].Renewals - first[name].Renewals), float64(now[name].FromVoters - first[name].FromVoters)
		}
		honest, honestBytes := since("m4")
		if honest < minRenewals {
			time.Sleep(testPause)
			continue
		}
		tooOften, _ := since("m2")
		stateless, statelessBytes := since("m3")
		renewsOften, receivesMore := tooOften > 1.6*honest && tooOften < 2.4*honest, statelessBytes/stateless > 10*honestBytes/honest
		if renewsOften && receivesMore {
			return
		}
		if time.Now().After(limit) {
			t.Fatalf("a member without a fault renews %v times and receives %.0f bytes each; the one with RenewsTooOften renews %v times, the one with LosesState receives %.0f bytes",
				honest, honestBytes/honest, tooOften, statelessBytes/stateless)
		}
		first = now
	}
}

// An invalid Start is reported as an error in one line that names the field, and no member is left running.
func TestBadStart(t *testing.T) {
	good := func() Start {
		return Start{
			Cluster: "hollow", Lease: time.Second, ContradictAtMost: 2 * time.Second, Voters: []Peer{{Name: "k1", Address: "127.0.0.1:9"}},
			Members: []Peer{{Name: "m1", Zone: "a", Address: scripted.FreeAddress(t)}, {Name: "m2", Zone: "b", Address: scripted.FreeAddress(t)}},
		}
	}
	for want, change := range map[string]func(*Start){
		"keepers: 0":                   func(s *Start) { s.Voters = nil },
		"members: 0":                   func(s *Start) { s.Members = nil },
		"members[1].address: \"\", of": func(s *Start) { s.Members[1].Address = "" },
		"members[0].name: missing":     func(s *Start) { s.Members[0].Name = "" },
		"members[1]: m1 at":            func(s *Start) { s.Members[1].Name = "m1" },
		"members[0]: k1 at":            func(s *Start) { s.Members[0].Name = "k1" },
		"planted.m1: \"sleepy\"":       func(s *Start) { s.Faults = map[string]Fault{"m1": "sleepy"} },
		"planted.m7: no member":        func(s *Start) { s.Faults = map[string]Fault{"m7": RenewsTooOften} },
		"planted.m1: forgetful":        func(s *Start) { s.Faults = map[string]Fault{"m1": LosesState} },
		"lease_ns: 1ns":                func(s *Start) { s.Lease = 1 },
		"contradict_at_most_ns: 1s":    func(s *Start) { s.ContradictAtMost, s.Slack = time.Second, time.Millisecond },
		"copies: 9":                    func(s *Start) { s.Copies = 9 },
		"keep_ns: 0s":                  func(s *Start) { s.Copies = 2 },
		"lost_after_ns: 0s":            func(s *Start) { s.Copies, s.Keep = 2, time.Minute },
		"orders: 1; allowed: with":     func(s *Start) { s.KeyedRate = 1 },
		"orders: -1":                   func(s *Start) { s.KeyedRate = -1 },
		"members[1].zone: missing":     func(s *Start) { s.Copies, s.Keep, s.LostAfter, s.Members[1].Zone = 2, time.Minute, time.Second, "" },
		"crew: missing":                func(s *Start) { s.Cluster = "" },
		"region_delay_ns: -1ns":        func(s *Start) { s.RegionDelay = -1 },
		"order_takes_ns: -1ns":         func(s *Start) { s.KeyedDuration = -1 },
		"drift: 1;":                    func(s *Start) { s.Drift = 1 },
		"slack_ns: -1ns":               func(s *Start) { s.Slack = -1 },
		"m2: crew.address: listen tcp": func(s *Start) { s.Members[1].Address = "192.0.2.1:9" }, // not an address of this machine
	} {
		s := good()
		change(&s)
		p := startProcess(t, s)
		err := <-p.ended
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v, want %q", err, want)
			continue
		}
		p.await("the line", func() bool { return p.failed == err.Error() })
		if p.mu.Lock(); p.ready || len(p.events) > 0 && !strings.Contains(want, "listen") {
			t.Errorf("%s: %+v", want, p.events)
		}
		p.mu.Unlock()
		if len(s.Members) > 0 && listens(s.Members[0].Address) {
			t.Errorf("%s: m1 listens", want)
		}
	}
	for want, text := range map[string]string{
		"start: missing":                 "",
		"start: json: unknown field":     `{"crew":"hollow","sleep":1}`,
		"start: invalid character":       "hello",
		"start: json: cannot unmarshal":  "[]",
		"start: crew: missing; allowed:": "{}",
	} {
		var out bytes.Buffer
		err := Run(strings.NewReader(text+"\n"), &out, zerolog.Nop())
		if text == "" {
			out.Reset()
			err = Run(strings.NewReader(""), &out, zerolog.Nop())
		}
		if err == nil || !strings.HasPrefix(err.Error(), want) || strings.Count(out.String(), "\n") != 1 {
			t.Errorf("%v, want %q; output %q", err, want, out.String())
		}
	}
}

// An unknown command or field ends the process with an error, and all its members.
func TestUnknownCommand(t *testing.T) {
	for want, command := range map[string]any{
		`command 1: do: "sleep"; allowed: kill, `: Command{ID: 1, Do: "sleep"},
		"command: json: unknown field":            map[string]any{"id": 1, "do": "kill", "who": "m1"},
	} {
		s := Start{Cluster: "hollow", Lease: 200 * time.Millisecond, ContradictAtMost: time.Second, Voters: []Peer{{Name: "k1", Address: "127.0.0.1:9"}},
			Members: []Peer{{Name: "m1", Address: scripted.FreeAddress(t)}}}
		p := startProcess(t, s)
		p.await("ready", func() bool { return p.ready })
		if err := p.in.Encode(command); err != nil {
			t.Fatal(err)
		}
		if err := <-p.ended; err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
		p.await("the line", func() bool { return strings.HasPrefix(p.failed, want) })
		if listens(s.Members[0].Address) {
			t.Error("m1 listens")
		}
	}
}

// The end of standard input ends the process and its members without an error.
func TestEndOfInput(t *testing.T) {
	s := Start{Cluster: "hollow", Lease: 200 * time.Millisecond, ContradictAtMost: time.Second, Voters: []Peer{{Name: "k1", Address: "127.0.0.1:9"}},
		Members: []Peer{{Name: "m1", Address: scripted.FreeAddress(t)}}}
	p := startProcess(t, s)
	p.await("ready", func() bool { return p.ready })
	p.close()
	if err := <-p.ended; err != nil {
		t.Error(err)
	}
	p.await("its end", func() bool { return p.last()["m1"].Gone })
	if listens(s.Members[0].Address) {
		t.Error("m1 listens")
	}
}
