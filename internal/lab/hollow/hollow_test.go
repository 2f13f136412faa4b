package hollow

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"heathgap/internal/crew"
	"heathgap/internal/crew/keeper"
	"heathgap/internal/crew/member"
	"heathgap/internal/env"
	"heathgap/internal/peers"
	"heathgap/internal/versions"
)

// Figures of the tests.
const (
	testLease = time.Second
	testWait  = 20 * time.Second // for what surely comes, on a busy machine
	testPause = 5 * time.Millisecond
)

var testNet = struct {
	sync.Mutex
	next int
}{}

// free returns an address that nobody listens at, off 127.0.0.1, from which the kernel makes connections: so none of them takes
// its port before something listens there.
func free(t *testing.T) string {
	t.Helper()
	testNet.Lock()
	defer testNet.Unlock()
	testNet.next++
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 100+pid%100, pid/100%250, 1+testNet.next%250)
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// told is a process of hollow members in this one, and what it says.
type told struct {
	t     *testing.T
	in    *json.Encoder
	close func()
	ended chan error

	mu      sync.Mutex
	changed *sync.Cond
	events  []Stance
	answers map[int]Line
	ready   bool
	failed  string // a line with an error and no id
	id      int
}

// run starts one; it ends with the test.
func run(t *testing.T, start any) *told {
	t.Helper()
	inRead, inWrite := io.Pipe()
	outRead, outWrite := io.Pipe()
	p := &told{t: t, in: json.NewEncoder(inWrite), close: func() { inWrite.Close() }, ended: make(chan error, 1), answers: map[int]Line{}}
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
		lines.Buffer(nil, mostLine)
		for lines.Scan() {
			var l Line
			if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
				t.Error(err)
			}
			p.hear(l)
		}
	}()
	p.in.Encode(start) //nolint:errcheck // its end tells
	t.Cleanup(func() {
		inWrite.Close()
		<-read
	})
	return p
}

func (p *told) hear(l Line) {
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

// await waits until something holds of what it has said.
func (p *told) await(what string, holds func() bool) {
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

// say gives a command and returns the answer.
func (p *told) say(c Command) Line {
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

// good is say, of a command that is carried out.
func (p *told) good(c Command) Line {
	p.t.Helper()
	l := p.say(c)
	if l.Error != "" {
		p.t.Fatalf("%+v: %s", c, l.Error)
	}
	return l
}

func (p *told) sample() *Sampled {
	p.t.Helper()
	return p.good(Command{Do: Sample}).Sample
}

// last returns each member's last event; the lock is held.
func (p *told) last() map[string]Stance {
	out := map[string]Stance{}
	for _, e := range p.events {
		out[e.Member] = e
	}
	return out
}

// awaitAll waits until the last event of each member holds.
func (p *told) awaitAll(what string, n int, holds func(Stance) bool) {
	p.t.Helper()
	p.await(what, func() bool {
		good := 0
		for _, s := range p.last() {
			if holds(s) {
				good++
			}
		}
		return good == n
	})
}

// theCrew is real keepers in this process, and the start of a process of hollow members beside them.
type theCrew struct {
	t     *testing.T
	start Start
	lines []*peers.Line
}

// form starts keepers and draws up members.
func form(t *testing.T, keepers, members, copies int) *theCrew {
	t.Helper()
	c := &theCrew{t: t, start: Start{
		Crew: "hollow", Lease: testLease, Drift: 0.01, Slack: 200 * time.Millisecond, ContradictAtMost: 2500 * time.Millisecond,
		FixedClasses: []string{LookClass}, Copies: copies, Keep: time.Minute, LostAfter: 5 * time.Second, Seed: 1,
	}}
	for i := range keepers {
		c.start.Keepers = append(c.start.Keepers, Place{Name: fmt.Sprintf("k%d", i+1), Zone: zone(i), Address: free(t)})
	}
	for i := range members {
		c.start.Members = append(c.start.Members, Place{Name: fmt.Sprintf("m%d", i+1), Zone: zone(i), Address: free(t)})
	}
	var starting sync.WaitGroup
	for _, k := range c.start.Keepers {
		dir := t.TempDir()
		starting.Go(func() {
			table := c.start.table(k)
			table.Data = dir
			conf, err := conf(k)
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
		c.lines = append(c.lines, peers.NewLine(env.Real{}, c.start.Crew, "test", k.Address))
	}
	starting.Wait()
	if t.Failed() {
		t.FailNow()
	}
	c.ledger() // it has formed
	return c
}

func zone(i int) string { return string(rune('a' + i%3)) }

// ledger is what the leader knows.
func (c *theCrew) ledger() *crew.Ledger {
	c.t.Helper()
	for limit := time.Now().Add(testWait); time.Now().Before(limit); time.Sleep(testPause) {
		for i, line := range c.lines {
			var s keeper.Status
			if line.Call("status", struct{}{}, &s, time.Second) == nil && s.Leader == c.start.Keepers[i].Name && s.Ledger != nil {
				return s.Ledger
			}
		}
	}
	c.t.Fatal("no keeper leads")
	return nil
}

// awaitLedger waits until something holds of what the leader knows.
func (c *theCrew) awaitLedger(what string, holds func(l *crew.Ledger) bool) *crew.Ledger {
	c.t.Helper()
	var l *crew.Ledger
	for limit := time.Now().Add(testWait); time.Now().Before(limit); time.Sleep(testPause) {
		if l = c.ledger(); holds(l) {
			return l
		}
	}
	c.t.Fatalf("not after %v: %s; epoch %d, %d members", testWait, what, l.Epoch, len(l.Members))
	return nil
}

// propose has a version proposed.
func (c *theCrew) propose(doc versions.Document) uint64 {
	c.t.Helper()
	id := keeper.Draw()
	for limit := time.Now().Add(testWait); time.Now().Before(limit); time.Sleep(testPause) {
		for _, line := range c.lines {
			var told keeper.Proposed
			p := crew.Proposal{ID: id, Parent: c.ledger().Active.Number, Author: "test", Doc: doc}
			if err := line.Call("propose", p, &told, time.Second); err == nil && told.Number > 0 {
				return told.Number
			}
		}
	}
	c.t.Fatal("no keeper takes the proposal")
	return 0
}


// All get leases, and a version is acted on by all, as each event tells.
func TestAllActOnAVersion(t *testing.T) {
	c := form(t, 3, 20, 0)
	p := run(t, c.start)
	p.await("ready", func() bool { return p.ready })
	p.awaitAll("leases", 20, func(s Stance) bool { return !s.Cautious })
	number := c.propose(versions.Document{MaxAttempts: 1})
	p.awaitAll("the version", 20, func(s Stance) bool { return s.Active == number && s.Next == 0 && !s.Cautious })
	s := p.sample()
	if s.CPU <= 0 || s.RSSBytes <= 0 || s.Goroutines <= 20 || s.Descriptors <= 20 {
		t.Errorf("%+v", s)
	}
	p.good(Command{Do: End})
	if err := <-p.ended; err != nil {
		t.Error(err)
	}
}
