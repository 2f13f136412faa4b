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

// These tests measure how long it takes until a change is applied, from when discovery has it and can be reached. They run on a
// simulated clock, and random times take their maximum, so that each case takes the longest time that the code allows.

// maxQueueWait is how long a call may wait in the queue of a discovery before it is refused.
const maxQueueWait = 2 * time.Second

// callFailure is how a call to discovery fails.
type callFailure uint8

const (
	dialRefused    callFailure = iota // the connection is refused
	dialHangs                         // the connection never comes up
	noAnswer                          // the call is received, and there is no answer
	refusedAtOnce                     // answered 503 at once
	refusedAfter1s                    // answered 503 after 1 s
	refusedAfter2s                    // answered 503 after 2 s in the queue
	invalidAnswer                     // answered with half a list
	answerStalls                      // half an answer comes, and the connection stays open
	connReset                         // the call is received, and the connection ends after a second
)

// failingDiscovery is an environment with one discovery. Its first calls fail in one way. When the last of them has failed,
// discovery has the change and can be reached: from then on each call is answered after its time in the queue.
type failingDiscovery struct {
	env.Real
	serving        sync.WaitGroup
	address        string // of this discovery; calls to other addresses do not count
	failure        callFailure
	failingCalls   int           // number of calls that fail
	queueTime      time.Duration // how long each further call waits
	mu             sync.Mutex
	callsSeen      int
	open, maxOpen  int       // connections that are open, and the most at a time
	availableSince time.Time // when discovery had the change and could be reached
}

// RandomDuration implements env.Env. It returns the longest duration possible.
func (d *failingDiscovery) RandomDuration(most time.Duration) time.Duration { return most - 1 }

// countCall counts a call and reports whether it is to fail.
func (d *failingDiscovery) countCall() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.callsSeen++
	d.noteAvailable()
	return d.callsSeen <= d.failingCalls
}

// noteAvailable records the time when the last failing call has failed.
func (d *failingDiscovery) noteAvailable() {
	if d.callsSeen == d.failingCalls {
		d.availableSince = time.Now()
	}
}

// Dial implements env.Env.
func (d *failingDiscovery) Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	fails := false
	if address == d.address {
		fails = d.countCall()
	}
	if fails && d.failure == dialRefused {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	if fails && d.failure == dialHangs {
		select {
		case <-ctx.Done():
		case <-time.After(timeout):
		}
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	}
	here, there := net.Pipe()
	d.serving.Go(func() { d.serve(there, address == d.address, fails) })
	return here, nil
}

// serve handles a connection to discovery.
func (d *failingDiscovery) serve(conn net.Conn, counts, fails bool) {
	defer conn.Close()
	if counts {
		d.trackConn(1)
		defer d.trackConn(-1)
	}
	r := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if fails {
			d.failCall(conn, r)
			return
		}
		after := request.URL.Query().Get("after")
		if !counts || after == "8" {
			r.ReadByte() //nolint:errcheck // nothing is newer: until the other side ends it
			return
		}
		time.Sleep(d.queueTime)
		body := drainingList
		if after == "" {
			body = `{"index":8,"snapshot":true,"endpoints":[]}`
		}
		if _, err := conn.Write([]byte(scripted.OK(body))); err != nil {
			return
		}
	}
}

// trackConn counts open connections.
func (d *failingDiscovery) trackConn(change int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open += change
	d.maxOpen = max(d.maxOpen, d.open)
}

// failCall makes a call fail in the discovery's way.
func (d *failingDiscovery) failCall(conn net.Conn, r *bufio.Reader) {
	half := scripted.OK(drainingList)
	half = half[:len(half)-20]
	switch d.failure {
	case noAnswer:
		r.ReadByte() //nolint:errcheck // until it is given up
	case refusedAtOnce, refusedAfter1s, refusedAfter2s:
		time.Sleep(map[callFailure]time.Duration{refusedAfter1s: time.Second, refusedAfter2s: maxQueueWait}[d.failure])
		conn.Write([]byte("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")) //nolint:errcheck // a call may be given up
		r.ReadByte()                                                      //nolint:errcheck // the caller ends it
	case invalidAnswer:
		conn.Write([]byte(scripted.OK(`{"index":`))) //nolint:errcheck // the same
	case answerStalls, connReset:
		time.Sleep(time.Second)
		if d.failure == answerStalls {
			conn.Write([]byte(half)) //nolint:errcheck // the same
		}
		d.mu.Lock()
		d.noteAvailable()
		d.mu.Unlock()
		if d.failure == answerStalls {
			r.ReadByte() //nolint:errcheck // until it is given up
		}
	}
}

// listRecorder passes events to the module, and records when a list other than the one of the start was applied.
type listRecorder struct {
	Decider
	applied chan time.Time
}

// Handle implements Decider.
func (d *listRecorder) Handle(now decide.Time, ev *decide.Event, actions []decide.Action) []decide.Action {
	actions = d.Decider.Handle(now, ev, actions)
	if ev.Kind == decide.ListChanged || ev.Kind == decide.ListReplaced {
		select {
		case d.applied <- time.Now():
		default:
		}
	}
	return actions
}

// newListEngine returns an engine at a discovery. With known it starts with a list of version 7.
func newListEngine(t *testing.T, environment env.Env, address string, known, polls bool, seed uint64) (*Engine, *listRecorder) {
	t.Helper()
	conf := &config.Config{
		Discovery: address,
		Settings: decide.Settings{
			Classes:  []decide.Class{{Name: "look", Effect: decide.Safe, Aim: time.Second}},
			MustPoll: polls, Rules: decide.Rules{DrainGrace: time.Second},
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
	module := &listRecorder{Decider: balancer, applied: make(chan time.Time, 1)}
	return New(conf, environment, Logs{All: zerolog.Nop(), ConnEnds: zerolog.Nop()}, module), module
}

// deliveryTime returns how long it takes from when discovery has the change and can be reached until it is applied.
func (d *failingDiscovery) deliveryTime(t *testing.T, known, polls, moves bool, seed uint64) (took time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		start := "discovery"
		if moves {
			start = "former"
		}
		d.address = "discovery"
		e, module := newListEngine(t, d, start, known, polls, seed)
		ctx, stop := context.WithCancel(context.Background())
		go e.Run(ctx)
		if moves {
			time.Sleep(3 * time.Second) // where lists are polled, the watch at the former discovery has started by then
			e.MoveDiscovery("discovery")
		}
		select {
		case at := <-module.applied:
			d.mu.Lock()
			took = at.Sub(d.availableSince)
			if d.callsSeen < d.failingCalls {
				t.Errorf("the change was applied after %d calls, although %d had to fail", d.callsSeen, d.failingCalls)
			}
			d.mu.Unlock()
		case <-time.After(5 * time.Minute):
			t.Error("the change was never applied")
		}
		stop()
		<-e.stopped
		d.serving.Wait()
	})
	return took
}

// Guards against requests to draining endpoints: what discovery has counts as delivered 6 s after it could be had, whatever calls
// failed. In each case a call is made just before discovery can be reached and fails in one of the ways, after a number of other
// failures, and the next call waits in the queue for 3 s.
func TestChangeIsAppliedInTime(t *testing.T) {
	const (
		protocol    = 6 * time.Second        // when a change counts as delivered (protocol: Figures)
		margin      = 400 * time.Millisecond // for a busy machine
		turn        = 3 * time.Second        // the longest time that a discovery keeps a call in its queue
		seedCount   = 20                     // random seeds, where the module chooses the pauses at random
		maxFailures = 5                      // calls that fail one after another
	)
	for _, c := range []struct {
		name    string
		failure callFailure
		known   bool
		moves   bool
	}{
		{"refused dial", dialRefused, true, false}, {"dial that hangs", dialHangs, true, false},
		{"503 at once", refusedAtOnce, true, false}, {"503 after 1 s", refusedAfter1s, true, false}, {"503 after 2 s in turn", refusedAfter2s, true, false},
		{"broken list", invalidAnswer, true, false}, {"lost watch", connReset, true, false},
		{"watch that stands still in its answer", answerStalls, true, false},
		{"fetch, refused dial", dialRefused, false, false}, {"fetch, dial that hangs", dialHangs, false, false},
		{"fetch, silent", noAnswer, false, false}, {"fetch, 503 after 2 s in turn", refusedAfter2s, false, false},
		{"fetch, stands still in its answer", answerStalls, false, false},
		{"reload, refused dial", dialRefused, true, true}, {"reload, dial that hangs", dialHangs, true, true},
		{"reload, silent", noAnswer, true, true}, {"reload, 503 at once", refusedAtOnce, true, true},
	} {
		for _, polls := range []bool{false, true} {
			longest, worst := time.Duration(0), 0
			seeds := uint64(1)
			if polls {
				seeds = seedCount
			}
			for calls := 1; calls <= maxFailures; calls++ {
				if calls > 1 && (c.failure == answerStalls || c.failure == connReset) {
					break // this failure applies only to a call in progress; later calls reach the discovery
				}
				for seed := range seeds {
					discovery := &failingDiscovery{failure: c.failure, failingCalls: calls, queueTime: turn}
					if c.failure == refusedAfter2s {
						discovery.queueTime = maxQueueWait // such a discovery keeps no call for longer
					}
					if took := discovery.deliveryTime(t, c.known, polls, c.moves, seed); took > longest {
						longest, worst = took, calls
					}
				}
			}
			t.Logf("%-40s polls %-5v %5d ms, after %d failed calls", c.name, polls, longest.Milliseconds(), worst)
			if longest > protocol-margin {
				t.Errorf("%s, polls %v: applied %v after it could be had, after %d failed calls", c.name, polls, longest, worst)
			}
		}
	}
}

// Guards against a change that a silent watch missed and that comes too late. Where discovery answers at once, the check calls after
// the wait bring it in time. Where discovery is slow, the next call is answered in time, counted from the end of the watch.
func TestChangeMissedByASilentWatch(t *testing.T) {
	times := newCallTimes(1, time.Second)
	wait := times.wait + times.spread
	for _, polls := range []bool{false, true} {
		for turn, limit := range map[time.Duration]time.Duration{
			0:               deliveryAfterWait + time.Second, // when it counts as delivered, plus the grace
			3 * time.Second: overdueTime + 5600*time.Millisecond,
		} {
			took := (&failingDiscovery{failure: noAnswer, failingCalls: 1, queueTime: turn}).deliveryTime(t, true, polls, false, 1)
			t.Logf("polls %v, queue time %v: applied %d ms after the wait", polls, turn, (took - wait).Milliseconds())
			if took-wait > limit {
				t.Errorf("polls %v, queue time %v: applied %v after the wait, want %v at most", polls, turn, took-wait, limit)
			}
		}
	}
}

// Guards against a slow discovery that is called again and again from the end of its queue: the fetch that has waited longer is
// answered first and counts, and the other one is ended.
func TestSlowFetchAnswerIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const turn = 3 * time.Second
		d := &failingDiscovery{address: "discovery", queueTime: turn}
		e, module := newListEngine(t, d, d.address, false, false, 1)
		ctx, stop := context.WithCancel(context.Background())
		begun := time.Now()
		go e.Run(ctx)
		if took := (<-module.applied).Sub(begun); took != turn {
			t.Errorf("applied after %v, want %v", took, turn)
		}
		time.Sleep(fetchTimeout) // if the other fetch had gone on, it would have been answered by now
		s := e.Snapshot()
		if d.mu.Lock(); d.callsSeen != 2 || d.open != 1 || s.Lists != 1 || s.ListFailures != 0 {
			t.Errorf("%d connections, %d open, %d lists, %d failures", d.callsSeen, d.open, s.Lists, s.ListFailures)
		}
		d.mu.Unlock()
		stop()
		<-e.stopped
		d.serving.Wait()
	})
}

// Guards against unlimited fetches at a discovery that does not answer: there is one each hedgeDelay, two are in progress at most,
// and each one that is given up is counted.
func TestFetchesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const long = time.Minute
		d := &failingDiscovery{address: "discovery", failure: noAnswer, failingCalls: 1000}
		e, _ := newListEngine(t, d, d.address, false, false, 1)
		ctx, stop := context.WithCancel(context.Background())
		go e.Run(ctx)
		time.Sleep(long)
		s := e.Snapshot()
		d.mu.Lock()
		if most := int(long/hedgeDelay) + 1; d.callsSeen > most || d.callsSeen < most-1 || d.maxOpen != 2 || s.ListFailures < d.callsSeen-2 {
			t.Errorf("%d fetches, %d at a time, %d failures; %d at most", d.callsSeen, d.maxOpen, s.ListFailures, most)
		}
		d.mu.Unlock()
		stop()
		<-e.stopped
		d.serving.Wait()
	})
}

// crowdedDiscovery is an environment of many sidecars with one discovery, which processes calls one after another and refuses
// those that wait too long.
type crowdedDiscovery struct {
	env.Real
	serving  sync.WaitGroup
	mu       sync.Mutex
	up       bool
	version  int
	changed  chan struct{} // closed at the next change of the list
	wentDown chan struct{} // closed when discovery goes down
	queue    []*queuedCall
	calls    int
	refusals int
	bySecond map[int]int
	begun    time.Time
}

// queuedCall is a call in the queue of discovery.
type queuedCall struct {
	served  chan struct{}
	refused bool
}

// Dial implements env.Env.
func (c *crowdedDiscovery) Dial(context.Context, string, time.Duration) (net.Conn, error) {
	here, there := net.Pipe()
	c.serving.Go(func() { c.serve(there) })
	return here, nil
}

func (c *crowdedDiscovery) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		c.mu.Lock()
		c.calls++
		c.bySecond[int(time.Since(c.begun).Seconds())]++
		w, up, came := &queuedCall{served: make(chan struct{})}, c.up, time.Now()
		if up {
			c.queue = append(c.queue, w)
		}
		c.mu.Unlock()
		served := false
		if up {
			select {
			case <-w.served:
				served = true
			case <-time.After(maxQueueWait):
			}
		}
		if !served {
			c.mu.Lock()
			w.refused = true
			c.refusals++
			c.mu.Unlock()
			conn.Write([]byte("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")) //nolint:errcheck // it may have been given up
			return
		}
		after, _ := strconv.Atoi(request.URL.Query().Get("after"))
		wait, _ := strconv.Atoi(request.URL.Query().Get("wait_ms"))
		over := time.After(time.Duration(wait)*time.Millisecond - time.Since(came))
		c.mu.Lock()
		for c.version <= after {
			news := c.changed
			c.mu.Unlock()
			select {
			case <-c.wentDown:
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

// work processes calls one after another until the context ends.
func (c *crowdedDiscovery) work(ctx context.Context, each time.Duration) {
	for ctx.Err() == nil {
		time.Sleep(each)
		c.mu.Lock()
		for len(c.queue) > 0 {
			first := c.queue[0]
			c.queue = c.queue[1:]
			if !first.refused {
				close(first.served)
				break
			}
		}
		c.mu.Unlock()
	}
}

// Guards against unlimited calls at a discovery that is down, or that many sidecars call at once: all sidecars get the list
// eventually, and none calls more often than about once a second for long.
func TestBusyDiscoveryIsNotFlooded(t *testing.T) {
	const (
		sidecars        = 300
		each            = 20 * time.Millisecond // for all sidecars together 6 s
		outage          = 8 * time.Second
		changes         = 10
		step            = 620 * time.Millisecond
		limit           = 40 * time.Second
		minCallInterval = 1100 * time.Millisecond // minimum mean interval between the calls of a sidecar during the outage
	)
	for _, polls := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := &crowdedDiscovery{changed: make(chan struct{}), wentDown: make(chan struct{}), version: 7, up: true, begun: time.Now(), bySecond: map[int]int{}}
			ctx, stop := context.WithCancel(context.Background())
			go c.work(ctx, each)
			var engines []*Engine
			for i := range sidecars {
				e, _ := newListEngine(t, c, "discovery", true, polls, uint64(i))
				e.conf.Settings.Peers = 1
				engines = append(engines, e)
				go e.Run(ctx)
			}
			time.Sleep(2 * time.Second)
			publish := func(change func()) {
				c.mu.Lock()
				change()
				close(c.changed)
				c.changed = make(chan struct{})
				c.mu.Unlock()
			}
			c.mu.Lock()
			c.up = false
			close(c.wentDown)
			before := c.calls
			c.mu.Unlock()
			time.Sleep(outage)
			c.mu.Lock()
			c.up, c.wentDown = true, nil
			down := c.calls - before
			c.mu.Unlock()
			for range changes {
				publish(func() { c.version++ })
				time.Sleep(step)
			}
			last := time.Now()
			slowest := time.Duration(0)
			for _, e := range engines {
				for {
					index := make(chan int64, 1)
					e.post(ownerFunc(func() { index <- e.listVersion }))
					if <-index == int64(7+changes) {
						break
					}
					if time.Since(last) > limit {
						t.Fatal("a sidecar never got the last list")
					}
					time.Sleep(10 * time.Millisecond)
				}
				slowest = max(slowest, time.Since(last))
			}
			c.mu.Lock()
			t.Logf("polls %v: %d calls in all, %d during the outage, %d refused; all had the list %v after the last change; busiest second %d",
				polls, c.calls, down, c.refusals, slowest, maxCount(c.bySecond))
			c.mu.Unlock()
			if most := int(sidecars * outage / minCallInterval); down > most {
				t.Errorf("polls %v: %d calls during the outage, want %d at most", polls, down, most)
			}
			stop()
			for _, e := range engines {
				<-e.stopped
			}
			c.serving.Wait()
		})
	}
}

func maxCount(counts map[int]int) (most int) {
	for _, n := range counts {
		most = max(most, n)
	}
	return most
}

// ownerFunc is an event that runs a function in the owner's goroutine.
type ownerFunc func()

func (f ownerFunc) handle(*Engine) { f() }
