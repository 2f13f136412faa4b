package pipeline

import (
	"context"
	"net"
	"reflect"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"heathgap/decide"
	"heathgap/internal/env"
	"heathgap/internal/httpwire"
	"heathgap/internal/lab/scripted"
)

// Tests of a watch against a discovery that the test plays step by step.

// shortTimes are time limits with which calls time out quickly. The dial has time enough.
var shortTimes = callTimes{
	dial: 10 * time.Second, fetch: 100 * time.Millisecond, wait: 100 * time.Millisecond, spread: time.Nanosecond,
	overdue: 50 * time.Millisecond, check: 100 * time.Millisecond, body: 100 * time.Millisecond,
}

// startTestWatch returns an engine that knows version 7 and has started to watch, the listener of its discovery, and the first call.
func startTestWatch(t *testing.T, times callTimes) (*Engine, *scripted.Listener, *scripted.Peer) {
	t.Helper()
	discovery := scripted.Listen(t)
	e := newTestEngine(t)
	e.watch = newWatch(discovery.Address, times)
	e.watch.hasList, e.watch.version = true, 7
	t.Cleanup(func() {
		e.watch.cancel()
		close(e.stopped)
	})
	e.startWatch()
	first := discovery.Accept()
	if requested := first.ReadRequest().URL.RawQuery; !strings.HasPrefix(requested, "after=7&") {
		t.Fatalf("query %q", requested)
	}
	return e, discovery, first
}

// handleNext handles the next event of an engine.
func handleNext(t *testing.T, e *Engine) {
	t.Helper()
	select {
	case ev := <-e.events:
		ev.handle(e)
	case <-time.After(10 * time.Second):
		t.Fatal("no event came within 10 s")
	}
}

const drainingList = `{"index":8,"snapshot":false,"endpoints":[
	{"name":"s", "address":"127.0.0.1:1", "zone":"z", "type":"k", "group":1, "status":"DRAINING", "weight":1.0, "since_ms":0}
]}`

// Guards against requests to draining endpoints: what a watch missed when it timed out, broke or stopped halfway counts as delivered
// soon after. So a check call asks for it at once, on a new connection, and hardly waits.
func TestCheckCallFollowsALostWatch(t *testing.T) {
	half := scripted.OK(drainingList)
	for name, lose := range map[string]func(*scripted.Peer){
		"silent":             func(*scripted.Peer) {},
		"half a head":        func(p *scripted.Peer) { p.Send(half[:12]) },
		"half a list":        func(p *scripted.Peer) { p.Send(half[:len(half)-20]) },
		"reset":              func(p *scripted.Peer) { p.Reset() },
		"ended":              func(p *scripted.Peer) { p.Close() },
		"reset in a list":    func(p *scripted.Peer) { p.Send(half[:len(half)-20]); p.Reset() },
		"an earlier version": func(p *scripted.Peer) { p.Send(scripted.OK(`{"index":3,"snapshot":false,"endpoints":[]}`)) },
	} {
		t.Run(name, func(t *testing.T) {
			e, discovery, watchCall := startTestWatch(t, shortTimes)
			lose(watchCall)
			check := discovery.Accept()
			want := "after=7&wait_ms=1"
			if name == "an earlier version" {
				want = "" // the full list: the versions have started anew
			}
			if requested := check.ReadRequest().URL.RawQuery; requested != want {
				t.Errorf("query %q, want %q", requested, want)
			}
			check.Send(scripted.OK(drainingList))
			handleNext(t, e)
			if e.counters.Lists != 1 || e.counters.ListFailures != 0 || e.listVersion != 8 {
				t.Errorf("%d lists, %d failures, version %d", e.counters.Lists, e.counters.ListFailures, e.listVersion)
			}
			if requested := check.ReadRequest().URL.RawQuery; requested != "after=8&wait_ms=100" {
				t.Errorf("the next query is %q, want the watch to go on", requested)
			}
		})
	}
}

// Guards against a check call that is given up because its connection does not come up: it is made once more.
func TestCheckCallIsRepeatedAfterAFailedDial(t *testing.T) {
	discovery := scripted.Listen(t)
	e := newTestEngine(t)
	e.watch = newWatch(discovery.Address, shortTimes)
	e.watch.hasList, e.watch.version = true, 7
	dials := 0
	e.env = refusingEnv{refuse: func() bool { dials++; return dials == 2 }}
	defer func() {
		e.watch.cancel()
		close(e.stopped)
	}()
	e.startWatch()
	first := discovery.Accept()
	first.ReadRequest() // the connection is established: a reset before that would be a failed dial
	first.Reset()
	check := discovery.Accept()
	check.ReadRequest()
	check.Send(scripted.OK(drainingList))
	handleNext(t, e)
	if e.counters.Lists != 1 || e.counters.ListFailures != 0 || dials != 3 {
		t.Errorf("%d lists, %d failures after %d connections", e.counters.Lists, e.counters.ListFailures, dials)
	}
}

// refusingEnv is an environment in which some dials are refused.
type refusingEnv struct {
	env.Real
	refuse func() bool
}

// Dial implements env.Env.
func (d refusingEnv) Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	if d.refuse() {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	return d.Real.Dial(ctx, address, timeout)
}

// Guards against endless calls at a discovery that does not answer or has too many callers: after two check calls the module decides
// when to go on. A call that got an invalid answer or a refusal is not repeated at once.
func TestCheckCallsAreLimited(t *testing.T) {
	e, discovery, _ := startTestWatch(t, shortTimes)
	for range maxChecks {
		discovery.Accept().ReadRequest()
	}
	handleNext(t, e)
	if e.counters.ListFailures != 1 || e.watch.running || discovery.HasPending() {
		t.Errorf("silent: %d failures, running %v, one more call %v", e.counters.ListFailures, e.watch.running, discovery.HasPending())
	}
	for name, answer := range map[string]string{
		"overrun": "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", "broken": scripted.OK(`{"index":`),
	} {
		e, discovery, first := startTestWatch(t, shortTimes)
		first.Send(answer)
		handleNext(t, e)
		if e.counters.ListFailures != 1 || discovery.HasPending() {
			t.Errorf("%s: %d failures, one more call %v", name, e.counters.ListFailures, discovery.HasPending())
		}
	}
}

// Guards against a list that is applied in part: whatever is wrong with an answer, the previous list stays as it was, and one log line
// says why.
func TestInvalidListKeepsThePreviousOne(t *testing.T) {
	line := func(with string) string {
		return scripted.OK(`{"index":8,"snapshot":true,"endpoints":[{"name":"new","address":"127.0.0.1:2","status":"SERVING"},{` + with + `}]}`)
	}
	for name, answer := range map[string]string{
		"no JSON":          scripted.OK("<html>"),
		"half a text":      scripted.OK(`{"index":8,"snapshot":true,"endpoints":[{"name":"new","address":"127.0.0.1:2","status":"SERVING"},`),
		"no object":        scripted.OK(`[]`),
		"nothing":          scripted.OK(""),
		"no version":       scripted.OK(`{"snapshot":true,"endpoints":[]}`),
		"a version apart":  scripted.OK(`{"index":"8","snapshot":true,"endpoints":[]}`),
		"no endpoints":     scripted.OK(`{"index":8,"snapshot":true}`),
		"endpoints apart":  scripted.OK(`{"index":8,"snapshot":true,"endpoints":{"name":"new"}}`),
		"a line apart":     scripted.OK(`{"index":8,"snapshot":true,"endpoints":["new"]}`),
		"no name":          line(`"address":"127.0.0.1:3","status":"SERVING"`),
		"no address":       line(`"name":"s","status":"SERVING"`),
		"no status":        line(`"name":"s","address":"127.0.0.1:3"`),
		"an unknown state": line(`"name":"s","address":"127.0.0.1:3","status":"ASLEEP"`),
		"a weight apart":   line(`"name":"s","address":"127.0.0.1:3","status":"DRAINING","weight":"1"`),
		"over the bound":   "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n{",
		"no HTTP":          "+OK list follows\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			e, discovery, first := startTestWatch(t, shortTimes)
			var log strings.Builder
			e.connLog = zerolog.New(&log)
			e.applyList(listOf("s", "127.0.0.1:1", decide.Active), decide.ListReplaced)
			before := e.endpoints.List()
			first.Send(answer)
			handleNext(t, e)
			if now := e.endpoints.List(); !reflect.DeepEqual(now, before) || e.counters.Lists != 0 || e.counters.ListFailures != 1 {
				t.Errorf("%+v applied, want %+v; %d lists, %d failures", now, before, e.counters.Lists, e.counters.ListFailures)
			}
			if lines := strings.Count(log.String(), "\n"); lines != 1 || !strings.Contains(log.String(), `"level":"warn"`) ||
				!strings.Contains(log.String(), `"reason":"broken"`) || !strings.Contains(log.String(), `"error":"answer: `) {
				t.Errorf("the log has %d lines: %s", lines, &log)
			}
			if e.watch.hasList != true || e.watch.version != 7 || discovery.HasPending() {
				t.Errorf("version %d is requested next, list known %v; called again at once: %v", e.watch.version, e.watch.hasList, discovery.HasPending())
			}
		})
	}
}

// Guards against time limits that add up to a late change: the second check call must be answered, or given up, before the grace is
// over that starts when the missed change counts as delivered.
func TestCheckCallsEndInTime(t *testing.T) {
	const delivery, slack = 2 * time.Second, 50 * time.Millisecond // protocol: Figures, The rules on sockets
	for _, grace := range []time.Duration{300 * time.Millisecond, 800 * time.Millisecond, time.Second, 2 * time.Second} {
		times := newCallTimes(1, grace)
		if last := times.overdue + maxChecks*(checkSpread+times.check); last > delivery+grace+slack {
			t.Errorf("a change may come %v after the wait, and must come within %v", last, delivery+grace+slack)
		}
	}
}

// Guards against a reload that has no effect while a call to the former discovery is in progress: the new discovery must be asked for
// the full list at once, and the former one's answer must be ignored.
func TestMoveToAnotherDiscoveryDuringACall(t *testing.T) {
	e, _, first := startTestWatch(t, shortTimes)
	second := scripted.Listen(t)
	discoveryMoved{second.Address}.handle(e)
	call := second.Accept()
	if requested := call.ReadRequest().URL.RawQuery; requested != "" {
		t.Errorf("query %q, want the whole list", requested)
	}
	if text, err := first.ReadToEnd(); text != "" || err != nil && !strings.Contains(err.Error(), "reset") {
		t.Errorf("the former call goes on: %q, %v", text, err)
	}
	call.Send(scripted.OK(`{"index":3,"snapshot":true,"endpoints":[]}`))
	for e.counters.Lists == 0 {
		handleNext(t, e)
	}
	if e.listVersion != 3 || e.counters.ListFailures != 0 {
		t.Errorf("version %d, %d failures", e.listVersion, e.counters.ListFailures)
	}
}

// Guards against a sidecar with pushed lists that does not call discovery for long after an outage: what discovery has when it returns
// counts as delivered at once.
func TestBackoffForPushedListsIsShort(t *testing.T) {
	e := newTestEngine(t)
	e.watch = newWatch(scripted.FreeAddress(t), newCallTimes(1, time.Second))
	for _, most := range []time.Duration{minBackoff, 2 * minBackoff, maxBackoff, maxBackoff} {
		e.watch.running = true
		listCallFailed{watch: e.watch, retryWithin: time.Minute}.handle(e)
		if e.backoff != most {
			t.Errorf("%v, want %v", e.backoff, most)
		}
	}
	listReceived{e.watch, &httpwire.List{Index: 1}}.handle(e)
	if e.backoff != 0 {
		t.Errorf("after an answer still %v", e.backoff)
	}
}

// frozenEnv is an environment in which timers never fire and no goroutine runs. It records the times of timers, with random
// durations at their maximum, and counts the goroutines.
type frozenEnv struct {
	env.Real
	timers     []time.Duration
	goroutines int
}

// Go implements env.Env.
func (w *frozenEnv) Go(string, func()) { w.goroutines++ }

// AfterFunc implements env.Env.
func (w *frozenEnv) AfterFunc(d time.Duration, _ func()) { w.timers = append(w.timers, d) }

// RandomDuration implements env.Env.
func (w *frozenEnv) RandomDuration(most time.Duration) time.Duration { return most }

// Guards against a large fleet with pushed lists that keeps its discovery overloaded: the larger the fleet, the later a refused call is
// repeated.
func TestRetryDelayAfterARefusalGrowsWithTheFleet(t *testing.T) {
	least, spread := decide.ListRetryDelay(0, 376, true)
	for _, c := range []struct {
		peers   int
		refused bool
		want    time.Duration
	}{{10, true, 2 * minBackoff}, {376, false, 2 * minBackoff}, {376, true, least + spread}} {
		e, environment := newTestEngine(t), &frozenEnv{}
		e.env, e.conf.Settings.Peers = environment, c.peers
		listCallFailed{watch: e.watch, retryWithin: time.Minute, refused: c.refused}.handle(e)
		if len(environment.timers) != 1 || environment.timers[0] != c.want {
			t.Errorf("%d instances, refused %v: the next call comes within %v, want %v", c.peers, c.refused, environment.timers, c.want)
		}
	}
}

// Guards against a large fleet that overloads another discovery to which it moves, and against a first call that is late without
// need: in a small fleet, or with pushed lists, whose changes count as delivered soon.
func TestFirstCallsToAnotherDiscoveryAreSpread(t *testing.T) {
	for _, c := range []struct {
		peers  int
		polls  bool
		spread time.Duration
	}{{62, true, 0}, {376, false, 0}, {376, true, decide.MoveSpread(376)}} {
		e, environment := newTestEngine(t), &frozenEnv{}
		e.env, e.conf.Settings.Peers, e.conf.Settings.MustPoll = environment, c.peers, c.polls
		discoveryMoved{"another"}.handle(e)
		switch {
		case c.spread == 0 && (environment.goroutines != 1 || len(environment.timers) != 0):
			t.Errorf("%d instances, polls %v: %d watches begun, timers %v, want a watch at once", c.peers, c.polls, environment.goroutines, environment.timers)
		case c.spread > 0 && (environment.goroutines != 0 || len(environment.timers) != 1 || environment.timers[0] != c.spread):
			t.Errorf("%d instances, polls %v: %d watches begun, timers %v, want one timer of %v", c.peers, c.polls, environment.goroutines, environment.timers, c.spread)
		}
	}
	if got := decide.MoveSpread(376); got <= 0 {
		t.Errorf("the first calls of 376 instances are not spread (%v), so this test checks nothing", got)
	}
}
