package pipeline

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"heathgap/decide"
	"heathgap/internal/config"
	"heathgap/internal/env"
	"heathgap/internal/httpwire"
	"heathgap/internal/lab/scripted"
)

// When a change is in force after discovery had it and could be reached. The clock is the bubble's, so that each case takes
// the longest way that the code can take, to the millisecond.

// patience is how long a call may wait its turn at a discovery that then refuses it.
const patience = 2 * time.Second

// fate is what becomes of a call to a discovery that can't answer it.
type fate uint8

const (
	refused fate = iota // its connection is refused
	deaf                // its connection never comes up
	silent              // it is read, and nothing comes
	overrun             // it is answered 503 at once
	soon503             // it is answered 503 after 1 s
	late503             // it is answered 503 after 2 s in turn
	broken              // it is answered with half a list
	stalled             // half an answer comes
	reset               // it is read, and its connection ends after a second
)

// doomed is a world of one discovery: the first calls there have one fate, and as the last of them meets it, discovery has
// the change and can be reached. From then on each call is answered when its turn has come.
type doomed struct {
	env.Real
	serving        sync.WaitGroup
	address        string // where the calls that count go
	fate           fate
	calls          int           // that meet it
	turn           time.Duration // the wait of each call behind them
	mu             sync.Mutex
	came           int
	open, mostOpen int       // connections
	since          time.Time // discovery has the change and can be reached
}

// RandomDuration is env.Env's: as long as can be.
func (d *doomed) RandomDuration(most time.Duration) time.Duration { return most - 1 }

// meet books a call and tells whether it is doomed.
func (d *doomed) meet() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.came++
	d.met()
	return d.came <= d.calls
}

// met notes when the last doomed call has met its fate.
func (d *doomed) met() {
	if d.came == d.calls {
		d.since = time.Now()
	}
}

// Dial is env.Env's.
func (d *doomed) Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	lost := false
	if address == d.address {
		lost = d.meet()
	}
	if lost && d.fate == refused {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	if lost && d.fate == deaf {
		select {
		case <-ctx.Done():
		case <-time.After(timeout):
		}
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	}
	here, there := net.Pipe()
	d.serving.Go(func() { d.serve(there, address == d.address, lost) })
	return here, nil
}

// serve is discovery's side of a connection.
func (d *doomed) serve(conn net.Conn, counts, lost bool) {
	defer conn.Close()
	if counts {
		d.count(1)
		defer d.count(-1)
	}
	r := bufio.NewReader(conn)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if lost {
			d.doom(conn, r)
			return
		}
		after := q.URL.Query().Get("after")
		if !counts || after == "8" {
			r.ReadByte() //nolint:errcheck // nothing is newer: until the other side ends it
			return
		}
		time.Sleep(d.turn)
		body := drained
		if after == "" {
			body = `{"index":8,"snapshot":true,"endpoints":[]}`
		}
		if _, err := conn.Write([]byte(scripted.OK(body))); err != nil {
			return
		}
	}
}

// count counts the connections that are open.
func (d *doomed) count(change int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open += change
	d.mostOpen = max(d.mostOpen, d.open)
}

// doom does to a call what its fate is.
func (d *doomed) doom(conn net.Conn, r *bufio.Reader) {
	half := scripted.OK(drained)
	half = half[:len(half)-20]
	switch d.fate {
	case silent:
		r.ReadByte() //nolint:errcheck // until it is given up
	case overrun, soon503, late503:
		time.Sleep(map[fate]time.Duration{soon503: time.Second, late503: patience}[d.fate])
		conn.Write([]byte("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")) //nolint:errcheck // a call may be given up
		r.ReadByte()                                                      //nolint:errcheck // the caller ends it
	case broken:
		conn.Write([]byte(scripted.OK(`{"index":`))) //nolint:errcheck // the same
	case stalled, reset:
		time.Sleep(time.Second)
		if d.fate == stalled {
			conn.Write([]byte(half)) //nolint:errcheck // the same
		}
		d.mu.Lock()
		d.met()
		d.mu.Unlock()
		if d.fate == stalled {
			r.ReadByte() //nolint:errcheck // until it is given up
		}
	}
}

// told is the module, and tells when a list has been put in force that is not the one of the start.
type told struct {
	Decider
	at chan time.Time
}

// Handle is Decider's.
func (d *told) Handle(now decide.Time, ev *decide.Event, actions []decide.Action) []decide.Action {
	actions = d.Decider.Handle(now, ev, actions)
	if ev.Kind == decide.ListChanged || ev.Kind == decide.ListReplaced {
		select {
		case d.at <- time.Now():
		default:
		}
	}
	return actions
}

// toldEngine is an engine at a discovery; known for a list of version 7 at the start.
func toldEngine(t *testing.T, world env.Env, address string, known, asks bool, seed uint64) (*Engine, *told) {
	t.Helper()
	conf := &config.Config{
		Discovery: address,
		Settings: decide.Settings{
			Classes:  []decide.Class{{Name: "look", Effect: decide.Safe, Aim: time.Second}},
			MustPoll: asks, Rules: decide.Rules{DrainGrace: time.Second},
		},
		ConnectTimeout: time.Second, EndpointConns: 10, IdleTimeout: time.Minute, Seed: seed,
	}
	if known {
		conf.KnownList = &httpwire.List{Index: 7}
	}
	balancer, err := decide.New(conf.Settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	module := &told{Decider: balancer, at: make(chan time.Time, 1)}
	return New(conf, world, Logs{All: zerolog.Nop(), ConnEnds: zerolog.Nop()}, module), module
}

// way is how long the change takes from when it can be had to when it is in force.
func (d *doomed) way(t *testing.T, known, asks, moves bool, seed uint64) (took time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		start := "discovery"
		if moves {
			start = "former"
		}
		d.address = "discovery"
		e, module := toldEngine(t, d, start, known, asks, seed)
		ctx, stop := context.WithCancel(context.Background())
		go e.Run(ctx)
		if moves {
			time.Sleep(3 * time.Second) // where it asks, the watch of the former one has begun
			e.MoveDiscovery("discovery")
		}
		select {
		case at := <-module.at:
			d.mu.Lock()
			took = at.Sub(d.since)
			if d.came < d.calls {
				t.Errorf("in force after %d calls, of which %d were to be lost", d.came, d.calls)
			}
			d.mu.Unlock()
		case <-time.After(5 * time.Minute):
			t.Error("it is never in force")
		}
		stop()
		<-e.stopped
		d.serving.Wait()
	})
	return took
}

// Guards against requests to endpoints that drain: what discovery has counts as told 6 s after it could be had, whatever a
// failed, refused or given-up call allows otherwise. A call goes out in the very moment before, comes to nothing in each of
// the ways that there are, after any number of others, and the next one has to wait its turn for 3 s.
func TestChangeIsInForceInTime(t *testing.T) {
	const (
		protocol = 6 * time.Second        // when it counts as told (protocol: Figures)
		margin   = 400 * time.Millisecond // for a busy machine
		turn     = 3 * time.Second        // the longest that a discovery keeps a call in turn
		sown     = 20                     // seeds, where the module draws the pauses
		most     = 5                      // calls that fail in a row
	)
	for _, c := range []struct {
		name  string
		fate  fate
		known bool
		moves bool
	}{
		{"refused dial", refused, true, false}, {"dial that hangs", deaf, true, false},
		{"503 at once", overrun, true, false}, {"503 after 1 s", soon503, true, false}, {"503 after 2 s in turn", late503, true, false},
		{"broken list", broken, true, false}, {"lost watch", reset, true, false},
		{"watch that stands still in its answer", stalled, true, false},
		{"fetch, refused dial", refused, false, false}, {"fetch, dial that hangs", deaf, false, false},
		{"fetch, silent", silent, false, false}, {"fetch, 503 after 2 s in turn", late503, false, false},
		{"fetch, stands still in its answer", stalled, false, false},
		{"reload, refused dial", refused, true, true}, {"reload, dial that hangs", deaf, true, true},
		{"reload, silent", silent, true, true}, {"reload, 503 at once", overrun, true, true},
	} {
		for _, asks := range []bool{false, true} {
			longest, worst := time.Duration(0), 0
			seeds := uint64(1)
			if asks {
				seeds = sown
			}
			for calls := 1; calls <= most; calls++ {
				if calls > 1 && (c.fate == stalled || c.fate == reset) {
					break // the call that was out; what comes after it is reached
				}
				for seed := range seeds {
					world := &doomed{fate: c.fate, calls: calls, turn: turn}
					if c.fate == late503 {
						world.turn = patience // it keeps no call for longer
					}
					if took := world.way(t, c.known, asks, c.moves, seed); took > longest {
						longest, worst = took, calls
					}
				}
			}
			t.Logf("%-40s asks %-5v %5d ms, behind %d lost calls", c.name, asks, longest.Milliseconds(), worst)
			if longest > protocol-margin {
				t.Errorf("%s, asks %v: in force %v after it could be had, behind %d lost calls", c.name, asks, longest, worst)
			}
		}
	}
}

// Guards against a silent watch whose loss is learned of late: the fresh calls behind its wait end in time where discovery
// answers at once, and where that is slow, the next call is answered in time, counted from when the watch was given up.
func TestChangeThatASilentWatchMissed(t *testing.T) {
	times := newCallTimes(1, time.Second)
	wait := times.wait + times.spread
	for _, asks := range []bool{false, true} {
		for turn, most := range map[time.Duration]time.Duration{
			0:               deliveryAfterWait + time.Second, // as told, and the grace
			3 * time.Second: overdueTime + 5600*time.Millisecond,
		} {
			took := (&doomed{fate: silent, calls: 1, turn: turn}).way(t, true, asks, false, 1)
			t.Logf("asks %v, turn %v: in force %d ms behind the wait", asks, turn, (took - wait).Milliseconds())
			if took-wait > most {
				t.Errorf("asks %v, turn %v: in force %v behind the wait, %v at most", asks, turn, took-wait, most)
			}
		}
	}
}

// Guards against a slow discovery that is asked from the back of its turn again and again: the fetch that has waited longer
// is answered first and counts, and the other one is ended.
func TestSlowAnswerToAFetchCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const turn = 3 * time.Second
		d := &doomed{address: "discovery", turn: turn}
		e, module := toldEngine(t, d, d.address, false, false, 1)
		ctx, stop := context.WithCancel(context.Background())
		begun := time.Now()
		go e.Run(ctx)
		if took := (<-module.at).Sub(begun); took != turn {
			t.Errorf("in force after %v, want %v", took, turn)
		}
		time.Sleep(fetchTimeout) // had the other one gone on, it would have told by now
		s := e.Snapshot()
		if d.mu.Lock(); d.came != 2 || d.open != 1 || s.Lists != 1 || s.ListFailures != 0 {
			t.Errorf("%d connections, %d open, %d lists, %d failures", d.came, d.open, s.Lists, s.ListFailures)
		}
		d.mu.Unlock()
		stop()
		<-e.stopped
		d.serving.Wait()
	})
}

// Guards against fetches without measure at a discovery that says nothing: one each hedgeAfter, two at a time, and each
// that is given up is counted.
func TestFetchesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const long = time.Minute
		d := &doomed{address: "discovery", fate: silent, calls: 1000}
		e, _ := toldEngine(t, d, d.address, false, false, 1)
		ctx, stop := context.WithCancel(context.Background())
		go e.Run(ctx)
		time.Sleep(long)
		s := e.Snapshot()
		d.mu.Lock()
		if most := int(long/hedgeDelay) + 1; d.came > most || d.came < most-1 || d.mostOpen != 2 || s.ListFailures < d.came-2 {
			t.Errorf("%d fetches, %d at a time, %d failures; %d at most", d.came, d.mostOpen, s.ListFailures, most)
		}
		d.mu.Unlock()
		stop()
		<-e.stopped
		d.serving.Wait()
	})
}

// crowd is a world of many sidecars at one discovery that works through calls in turn, and refuses those that wait too long.
type crowd struct {
	env.Real
	serving  sync.WaitGroup
	mu       sync.Mutex
	up       bool
	version  int
	news     chan struct{} // closed at the next change
	falls    chan struct{} // closed as it goes down
	queue    []*queued
	calls    int
	refusals int
	bySecond map[int]int
	begun    time.Time
}

// queued is a call that waits for its turn.
type queued struct {
	turn  chan struct{}
	ended bool
}

// Dial is env.Env's.
func (c *crowd) Dial(context.Context, string, time.Duration) (net.Conn, error) {
	here, there := net.Pipe()
	c.serving.Go(func() { c.serve(there) })
	return here, nil
}

func (c *crowd) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		c.mu.Lock()
		c.calls++
		c.bySecond[int(time.Since(c.begun).Seconds())]++
		w, up, came := &queued{turn: make(chan struct{})}, c.up, time.Now()
		if up {
			c.queue = append(c.queue, w)
		}
		c.mu.Unlock()
		served := false
		if up {
			select {
			case <-w.turn:
				served = true
			case <-time.After(patience):
			}
		}
		if !served {
			c.mu.Lock()
			w.ended = true
			c.refusals++
			c.mu.Unlock()
			conn.Write([]byte("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")) //nolint:errcheck // it may have been given up
			return
		}
		after, _ := strconv.Atoi(q.URL.Query().Get("after"))
		wait, _ := strconv.Atoi(q.URL.Query().Get("wait_ms"))
		over := time.After(time.Duration(wait)*time.Millisecond - time.Since(came))
		c.mu.Lock()
		for c.version <= after {
			news := c.news
			c.mu.Unlock()
			select {
			case <-c.falls:
				return
			case <-news:
				c.mu.Lock()
				continue
			case <-over:
				c.mu.Lock()
			}
			break
		}
		text := fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[]}`, c.version)
		c.mu.Unlock()
		if _, err := conn.Write([]byte(scripted.OK(text))); err != nil {
			return
		}
	}
}

// work serves calls one after another until the context ends.
func (c *crowd) work(ctx context.Context, each time.Duration) {
	for ctx.Err() == nil {
		time.Sleep(each)
		c.mu.Lock()
		for len(c.queue) > 0 {
			first := c.queue[0]
			c.queue = c.queue[1:]
			if !first.ended {
				close(first.turn)
				break
			}
		}
		c.mu.Unlock()
	}
}

// Guards against calls without measure at a discovery that is away, or that many sidecars call at once: all are told in
// the end, and none calls more often than once a second for long.
func TestCrowdedDiscoveryIsNotStormed(t *testing.T) {
	const (
		sidecars = 300
		each     = 20 * time.Millisecond // all take 6 s
		away     = 8 * time.Second
		changes  = 10
		step     = 620 * time.Millisecond
		whole    = 40 * time.Second
		perCall  = 1100 * time.Millisecond // least mean time between calls of a sidecar while discovery is away
	)
	for _, asks := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := &crowd{news: make(chan struct{}), falls: make(chan struct{}), version: 7, up: true, begun: time.Now(), bySecond: map[int]int{}}
			ctx, stop := context.WithCancel(context.Background())
			go c.work(ctx, each)
			var engines []*Engine
			for i := range sidecars {
				e, _ := toldEngine(t, c, "discovery", true, asks, uint64(i))
				e.conf.Settings.Peers = 1
				engines = append(engines, e)
				go e.Run(ctx)
			}
			time.Sleep(2 * time.Second)
			set := func(change func()) {
				c.mu.Lock()
				change()
				close(c.news)
				c.news = make(chan struct{})
				c.mu.Unlock()
			}
			c.mu.Lock()
			c.up = false
			close(c.falls)
			before := c.calls
			c.mu.Unlock()
			time.Sleep(away)
			c.mu.Lock()
			c.up, c.falls = true, nil
			down := c.calls - before
			c.mu.Unlock()
			for range changes {
				set(func() { c.version++ })
				time.Sleep(step)
			}
			last := time.Now()
			slowest := time.Duration(0)
			for _, e := range engines {
				for {
					index := make(chan int64, 1)
					e.post(asked(func() { index <- e.listVersion }))
					if <-index == int64(7+changes) {
						break
					}
					if time.Since(last) > whole {
						t.Fatal("a sidecar is never told")
					}
					time.Sleep(10 * time.Millisecond)
				}
				slowest = max(slowest, time.Since(last))
			}
			c.mu.Lock()
			t.Logf("asks %v: %d calls in all, %d while it was away, %d refused; all told %v after the last change; busiest second %d",
				asks, c.calls, down, c.refusals, slowest, busiest(c.bySecond))
			c.mu.Unlock()
			if most := int(sidecars * away / perCall); down > most {
				t.Errorf("asks %v: %d calls while it was away, %d at most", asks, down, most)
			}
			stop()
			for _, e := range engines {
				<-e.stopped
			}
			c.serving.Wait()
		})
	}
}

func busiest(counts map[int]int) (most int) {
	for _, n := range counts {
		most = max(most, n)
	}
	return most
}

// asked has the owner do something for the test.
type asked func()

func (f asked) handle(*Engine) { f() }
