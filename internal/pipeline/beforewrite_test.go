package pipeline

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"heathgap/decide"
	"heathgap/internal/env"
	"heathgap/internal/httpwire"
	"heathgap/internal/lab/scripted"
	"heathgap/internal/metrics"
)

// dialBarrier is an environment in which connections come up when the test allows it.
type dialBarrier struct {
	env.Real
	dialBegan chan struct{} // receives when a dial has begun
	proceed   chan struct{} // closed to let connections come up
}

// Dial implements env.Env.
func (b *dialBarrier) Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	b.dialBegan <- struct{}{}
	<-b.proceed
	return b.Real.Dial(ctx, address, timeout)
}

// newDialBarrierEngine returns an engine whose dials wait at a barrier, the barrier, and the listener of an endpoint.
func newDialBarrierEngine(t *testing.T) (*Engine, *dialBarrier, *scripted.Listener) {
	t.Helper()
	e := newTestEngine(t)
	environment := &dialBarrier{dialBegan: make(chan struct{}, 1), proceed: make(chan struct{})}
	e.env, e.answerMemory = environment, httpwire.NewMemoryBudget(1<<20)
	return e, environment, scripted.Listen(t)
}

func listOf(name, address string, state decide.EndpointState) *httpwire.List {
	return &httpwire.List{Endpoints: []httpwire.ListedEndpoint{{Name: name, Address: address, State: state}}}
}

// Guards against a request that is written to an endpoint which began to drain, or left the list, while the connection to it was
// coming up: its state must be checked again before the first byte.
func TestEndpointDrainsWhileConnecting(t *testing.T) {
	for name, c := range map[string]struct {
		change  decide.EndpointState
		grace   time.Duration
		outcome decide.Outcome
	}{
		"drains":              {decide.Draining, 1, decide.ConnectFailed},
		"leaves":              {decide.Gone, 1, decide.ConnectFailed},
		"drains, in its time": {decide.Draining, time.Hour, decide.Served},
		"serves on":           {decide.Active, 1, decide.Served},
	} {
		t.Run(name, func(t *testing.T) {
			e, environment, listener := newDialBarrierEngine(t)
			e.endpoints.SetGrace(c.grace)
			e.applyList(listOf("s", listener.Address, decide.Active), decide.ListReplaced)
			to := e.endpoints.List()[0]
			id := e.updateEndpoints(listOf("s", to.Address, decide.Active))[0].ID
			deadline := e.clock.Now() + 10*time.Second
			r := e.requests.Add(&httpwire.Request{Method: "GET", URI: "/look"}, deadline, make(chan httpwire.Answer, 1))
			e.send(r, decide.Action{Kind: decide.Send, Request: r.ID, Endpoint: id})
			<-environment.dialBegan
			e.updateEndpoints(listOf("s", to.Address, c.change))
			close(environment.proceed)
			peer := listener.Accept()
			if c.outcome == decide.Served {
				peer.ReadRequest()
			}
			peer.Send(scripted.OK("x"))
			handleNext(t, e)
			if e.counters.Outcomes[c.outcome] != 1 {
				t.Errorf("outcomes %v", e.counters.Outcomes)
			}
			if c.outcome == decide.Served {
				return
			}
			e.pool.DropAll(r.Attempts[0].Endpoint, httpwire.ReasonUnlisted)
			if text, _ := peer.ReadToEnd(); text != "" {
				t.Errorf("written %q", text)
			}
		})
	}
}

// Guards against a request that is written to an endpoint which counts as gone by then, although no list has said so: the module
// gives a bound for the first byte, and the connection comes up after it.
func TestAttemptIsNotWrittenAfterItsBound(t *testing.T) {
	for name, c := range map[string]struct {
		bound   time.Duration // after the time of the decision; 0 for none
		outcome decide.Outcome
	}{
		"no bound":        {0, decide.Served},
		"within it":       {time.Hour, decide.Served},
		"when it is over": {1, decide.ConnectFailed},
	} {
		t.Run(name, func(t *testing.T) {
			e, environment, listener := newDialBarrierEngine(t)
			id := e.updateEndpoints(listOf("s", listener.Address, decide.Active))[0].ID
			deadline := e.clock.Now() + 10*time.Second
			r := e.requests.Add(&httpwire.Request{Method: "GET", URI: "/look"}, deadline, make(chan httpwire.Answer, 1))
			action := decide.Action{Kind: decide.Send, Request: r.ID, Endpoint: id}
			if c.bound > 0 {
				action.NotAfter = e.clock.Now() + c.bound
			}
			e.send(r, action)
			<-environment.dialBegan
			close(environment.proceed)
			peer := listener.Accept()
			if c.outcome == decide.Served {
				peer.ReadRequest()
			}
			peer.Send(scripted.OK("x"))
			handleNext(t, e)
			if e.counters.Outcomes[c.outcome] != 1 {
				t.Errorf("outcomes %v", e.counters.Outcomes)
			}
			if c.outcome == decide.Served {
				return
			}
			e.pool.DropAll(r.Attempts[0].Endpoint, httpwire.ReasonUnlisted)
			if text, _ := peer.ReadToEnd(); text != "" {
				t.Errorf("written %q", text)
			}
		})
	}
}

// Guards against an effect that happens twice: the window of a key ends while the connection for its resend comes up. There is a
// window only if the first attempt may have run.
func TestKeyWindowEndsWhileConnecting(t *testing.T) {
	const window = 50 * time.Millisecond
	for name, c := range map[string]struct {
		effect  decide.Effect
		first   decide.Outcome
		dynamic *decide.DynamicSettings
		written bool
	}{
		"may have run":          {decide.Keyed, decide.Reset, nil, false},
		"never ran":             {decide.Keyed, decide.ConnectFailed, nil, true},
		"safe":                  {decide.Safe, decide.Reset, nil, true},
		"a longer window ruled": {decide.Keyed, decide.Reset, &decide.DynamicSettings{Classes: map[string]decide.DynamicClass{"look": {Effect: decide.Keyed, Window: time.Hour}}}, true},
		"ruled to be keyed":     {decide.Safe, decide.Reset, &decide.DynamicSettings{Classes: map[string]decide.DynamicClass{"look": {Effect: decide.Keyed, Window: window}}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			e, environment, listener := newDialBarrierEngine(t)
			e.conf.Classes = map[string]decide.Class{"look": {Name: "look", Effect: c.effect, Window: window}}
			if c.dynamic != nil {
				e.effective = &EffectiveRules{Dynamic: c.dynamic}
			}
			id := e.updateEndpoints(listOf("s", listener.Address, decide.Active))[0].ID
			deadline := e.clock.Now() + 10*time.Second
			r := e.requests.Add(&httpwire.Request{Method: "GET", URI: "/look", Class: "look"}, deadline, make(chan httpwire.Answer, 1))
			first := e.requests.Begin(r, nil, e.clock.Now(), deadline)
			first.GiveUp = func() {}
			e.settle(first, c.first, nil)
			e.send(r, decide.Action{Kind: decide.Send, Request: r.ID, Endpoint: id})
			<-environment.dialBegan
			for e.clock.Now() < first.Sent+window { // until the window has ended
				time.Sleep(time.Millisecond)
			}
			close(environment.proceed)
			peer := listener.Accept()
			if c.written {
				peer.ReadRequest()
			}
			peer.Send(scripted.OK("x"))
			handleNext(t, e)
			want := decide.ConnectFailed
			if c.written {
				want = decide.Served
			}
			if got := r.Attempts[1]; !got.Settled || got.Ran != c.written || e.counters.Outcomes[want] < 1 {
				t.Errorf("ran %v, outcomes %v", got.Ran, e.counters.Outcomes)
			}
		})
	}
}

// goroutineWatcher is an environment that signals when a goroutine of a name has ended.
type goroutineWatcher struct {
	env.Real
	name  string
	ended chan struct{}
}

// Go implements env.Env.
func (w *goroutineWatcher) Go(name string, f func()) {
	w.Real.Go(name, func() {
		f()
		if name == w.name {
			w.ended <- struct{}{}
		}
	})
}

// slowClaims are holdings whose claims succeed when the test allows it.
type slowClaims struct {
	requested chan struct{}
	proceed   chan struct{}
	finished  chan httpwire.Answer
}

func (*slowClaims) Holds(string) bool { return true }

func (h *slowClaims) Claim(context.Context, *httpwire.Request, [16]byte, time.Duration) ClaimResult {
	h.requested <- struct{}{}
	<-h.proceed
	return ClaimResult{Claim: h}
}

func (*slowClaims) MayWrite() bool { return true }

func (h *slowClaims) Finish(_ context.Context, answer httpwire.Answer, ran bool, _ time.Duration) httpwire.Answer {
	answer.MayHaveRun = ran
	h.finished <- answer
	return answer
}

// Guards against a request that is sent although its caller disconnected while its key was being claimed. If the caller stays
// connected, the request is sent.
func TestCallerDisconnectsDuringClaim(t *testing.T) {
	for _, leaves := range []bool{true, false} {
		endpoint := scripted.Listen(t)
		e := newTestEngine(t)
		e.conf.Classes = map[string]decide.Class{"look": e.conf.Settings.Classes[0]}
		e.conf.Settings.MustPoll = true // the engine makes no call to discovery by itself
		e.conf.KnownList = listOf("s", endpoint.Address, decide.Active)
		e.answerMemory = httpwire.NewMemoryBudget(1 << 20)
		claims := &slowClaims{requested: make(chan struct{}, 1), proceed: make(chan struct{}), finished: make(chan httpwire.Answer, 1)}
		e.SetHoldings(claims)
		ctx, stop := context.WithCancel(t.Context())
		go e.Run(ctx)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		environment := &goroutineWatcher{name: "watch", ended: make(chan struct{}, 1)}
		callers := httpwire.NewCallers(listener, environment, 10, func(*httpwire.CallerConn, httpwire.Reason) {})
		server := &fasthttp.Server{Handler: e.Handle, StreamRequestBody: true}
		go server.Serve(callers) //nolint:errcheck // it ends with the listener

		peer := scripted.Connect(t, listener.Addr().String())
		peer.Send("GET /look HTTP/1.1\r\nHost: x\r\nX-Txn: 1\r\nX-Remaining: 5\r\n\r\n")
		<-claims.requested
		if leaves {
			peer.Close()
			<-environment.ended // the disconnection has been noticed
		}
		close(claims.proceed)
		if !leaves {
			to := endpoint.Accept()
			to.ReadRequest()
			to.Send(scripted.OK("x"))
		}
		want := map[bool]httpwire.Verdict{true: httpwire.Abandoned, false: httpwire.Served}[leaves]
		if answer := <-claims.finished; answer.Verdict != want || answer.MayHaveRun == leaves || endpoint.HasPending() {
			t.Errorf("leaves %v: %+v, sent on %v", leaves, answer, endpoint.HasPending())
		}
		callers.CloseNow() //nolint:errcheck // it listens no more
		stop()
		<-e.stopped
	}
}

// decisionFunc is a Decider whose decisions are set by the test.
type decisionFunc func(ev *decide.Event) []decide.Action

// Handle implements Decider.
func (p decisionFunc) Handle(_ decide.Time, ev *decide.Event, actions []decide.Action) []decide.Action {
	return append(actions, p(ev)...)
}

// pausePoint blocks a goroutine that reaches it until the test lets it proceed.
type pausePoint struct {
	reached chan struct{}
	proceed chan struct{}
}

func newPausePoint() *pausePoint {
	return &pausePoint{reached: make(chan struct{}, 1), proceed: make(chan struct{})}
}

func (s *pausePoint) wait() {
	s.reached <- struct{}{}
	<-s.proceed
}

// stagedEnv is an environment that pauses dials to one address, or the second write to one, can keep the watches of callers'
// connections from running, and counts connections and writes.
type stagedEnv struct {
	env.Real
	pausedDial  string // dials to this address pause
	pausedWrite string // the second write to this address pauses
	pause       *pausePoint
	allowWatch  chan struct{} // closed to let watches run
	watchEnded  chan struct{} // receives when a watch has ended
	exchanges   sync.WaitGroup
	mu          sync.Mutex
	connections map[string]int // connections by address
	writeCounts map[string]int // writes by address
}

// Dial implements env.Env.
func (s *stagedEnv) Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	if address == s.pausedDial {
		s.pause.wait()
	}
	conn, err := s.Real.Dial(ctx, address, timeout)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections[address]++
	return &stagedConn{TCPConn: conn.(*net.TCPConn), env: s, address: address}, nil
}

// Go implements env.Env.
func (s *stagedEnv) Go(name string, f func()) {
	switch name {
	case "watch":
		s.Real.Go(name, func() {
			<-s.allowWatch
			f()
			s.watchEnded <- struct{}{}
		})
	case "exchange":
		s.exchanges.Go(f)
	default:
		s.Real.Go(name, f)
	}
}

// writes returns how many writes there have been to an address.
func (s *stagedEnv) writes(address string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeCounts[address]
}

// stagedConn is a connection to an endpoint whose writes are counted and may pause.
type stagedConn struct {
	*net.TCPConn
	env     *stagedEnv
	address string
}

// Write implements net.Conn.
func (c *stagedConn) Write(b []byte) (int, error) {
	c.env.mu.Lock()
	c.env.writeCounts[c.address]++
	pauses := c.address == c.env.pausedWrite && c.env.writeCounts[c.address] == 2
	c.env.mu.Unlock()
	if pauses {
		c.env.pause.wait()
	}
	return c.TCPConn.Write(b)
}

// stagedSidecar is an engine whose decisions are set by the test, with two endpoints and a server for callers.
type stagedSidecar struct {
	*Engine
	env       *stagedEnv
	listeners [2]*scripted.Listener
	endpoints [2]decide.EndpointID
	address   string
	stop      context.CancelFunc
}

// startStagedSidecar starts one. configure is called before the engine runs.
func startStagedSidecar(t *testing.T, configure func(s *stagedSidecar)) *stagedSidecar {
	t.Helper()
	s := &stagedSidecar{Engine: newTestEngine(t), listeners: [2]*scripted.Listener{scripted.Listen(t), scripted.Listen(t)}}
	s.env = &stagedEnv{pause: newPausePoint(), allowWatch: make(chan struct{}), watchEnded: make(chan struct{}, 1), connections: map[string]int{}, writeCounts: map[string]int{}}
	s.Engine.env, s.answerMemory = s.env, httpwire.NewMemoryBudget(1<<20)
	s.conf.Classes = map[string]decide.Class{
		"look": s.conf.Settings.Classes[0], "burn": {Name: "burn", Effect: decide.Unsafe},
	}
	s.metrics = metrics.New([]string{"look", "burn"})
	s.conf.Settings.MustPoll = true // the engine makes no call to discovery by itself
	known := listOf("s0", s.listeners[0].Address, decide.Active)
	known.Endpoints = append(known.Endpoints, listOf("s1", s.listeners[1].Address, decide.Active).Endpoints...)
	s.conf.KnownList = known
	for i, change := range s.updateEndpoints(known) {
		s.endpoints[i] = change.ID
	}
	configure(s)
	var ctx context.Context
	ctx, s.stop = context.WithCancel(t.Context())
	go s.Run(ctx)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = listener.Addr().String()
	callers := httpwire.NewCallers(listener, s.env, 10, func(*httpwire.CallerConn, httpwire.Reason) {})
	t.Cleanup(func() { callers.CloseNow() }) //nolint:errcheck // it listens no more
	server := &fasthttp.Server{Handler: s.Handle, StreamRequestBody: true}
	go server.Serve(callers) //nolint:errcheck // it ends with the listener
	return s
}

// end stops the sidecar and waits until its exchanges have ended.
func (s *stagedSidecar) end() {
	s.stop()
	<-s.stopped
	s.env.exchanges.Wait()
}

// receivedBy returns what an endpoint has received. None of its connections may have been accepted yet.
func (s *stagedSidecar) receivedBy(i int) string {
	var all strings.Builder
	s.env.mu.Lock()
	up := s.env.connections[s.listeners[i].Address]
	s.env.mu.Unlock()
	for range up {
		peer := s.listeners[i].Accept()
		const short = 20 * time.Millisecond         // on loopback, what was written has been received by then
		peer.SetReadDeadline(time.Now().Add(short)) //nolint:errcheck // the read that meets it fails
		b := make([]byte, 64)
		n, _ := peer.Read(b)
		all.Write(b[:n])
	}
	return all.String()
}

func sendTo(s *stagedSidecar, request decide.RequestID, endpoint int) decide.Action {
	return decide.Action{Kind: decide.Send, Request: request, Endpoint: s.endpoints[endpoint]}
}

// delayedSend returns a Decider that sets a timer at the first event of a kind, and when it is due waits at the pause point and
// then sends the request of that event to the second endpoint. otherwise decides on all other events.
func delayedSend(s *stagedSidecar, trigger decide.EventKind, otherwise func(ev *decide.Event) []decide.Action) decisionFunc {
	var delayed decide.RequestID
	return func(ev *decide.Event) []decide.Action {
		switch {
		case ev.Kind == trigger && delayed == 0:
			delayed = ev.Request
			return []decide.Action{{Kind: decide.SetTimer, After: 1}}
		case ev.Kind == decide.TimerDue:
			s.env.pause.wait()
			return []decide.Action{sendTo(s, delayed, 1)}
		}
		return otherwise(ev)
	}
}

// callerRequest returns a request as a caller writes it: without a body, or with its head and so much of a body of that size that
// the sidecar streams it.
func callerRequest(body int) string {
	if body == 0 {
		return "GET /look HTTP/1.1\r\nHost: x\r\nX-Txn: 1\r\nX-Remaining: 9\r\n\r\n"
	}
	return "POST /burn HTTP/1.1\r\nHost: x\r\nX-Txn: 1\r\nX-Remaining: 9\r\nContent-Length: " + strconv.Itoa(body) + "\r\n\r\n" +
		strings.Repeat("x", httpwire.MaxBuffered+1)
}

// waitingSituation is what a request waits for before an attempt of it is written to the second endpoint.
type waitingSituation struct {
	body  int
	first bool // another attempt is in flight at the first endpoint
	set   func(s *stagedSidecar)
}

// waitingSituations returns all situations, by name.
func waitingSituations() map[string]waitingSituation {
	const long = 200 << 10
	none := func(*decide.Event) []decide.Action { return nil }
	return map[string]waitingSituation{
		"a dial is out": {set: func(s *stagedSidecar) {
			s.env.pausedDial = s.listeners[1].Address
			s.balancer = decisionFunc(func(ev *decide.Event) []decide.Action {
				if ev.Kind == decide.Arrived {
					return []decide.Action{sendTo(s, ev.Request, 1)}
				}
				return nil
			})
		}},
		"a second copy's dial is out": {first: true, set: func(s *stagedSidecar) {
			s.env.pausedDial = s.listeners[1].Address
			s.balancer = decisionFunc(func(ev *decide.Event) []decide.Action {
				if ev.Kind == decide.Arrived {
					return []decide.Action{sendTo(s, ev.Request, 0), sendTo(s, ev.Request, 1)}
				}
				return nil
			})
		}},
		"held for an endpoint": {set: func(s *stagedSidecar) { s.balancer = delayedSend(s, decide.Arrived, none) }},
		"a retry waits for the bucket": {first: true, set: func(s *stagedSidecar) {
			s.balancer = delayedSend(s, decide.Finished, func(ev *decide.Event) []decide.Action {
				if ev.Kind == decide.Arrived {
					return []decide.Action{sendTo(s, ev.Request, 0)}
				}
				return nil
			})
		}},
		"its key is claimed": {set: func(s *stagedSidecar) {
			s.SetHoldings(&slowClaims{requested: s.env.pause.reached, proceed: s.env.pause.proceed, finished: make(chan httpwire.Answer, 1)})
			s.balancer = decisionFunc(func(ev *decide.Event) []decide.Action {
				if ev.Kind == decide.Arrived {
					return []decide.Action{sendTo(s, ev.Request, 1)}
				}
				return nil
			})
		}},
		"its body still comes, a dial is out": {body: long, set: func(s *stagedSidecar) {
			s.env.pausedDial = s.listeners[1].Address
			s.balancer = decisionFunc(func(ev *decide.Event) []decide.Action {
				if ev.Kind == decide.Arrived {
					return []decide.Action{sendTo(s, ev.Request, 1)}
				}
				return nil
			})
		}},
		"its body still comes, held": {body: long, set: func(s *stagedSidecar) { s.balancer = delayedSend(s, decide.Arrived, none) }},
	}
}

// departure is what a caller does while its request waits. ahead is text that it may write behind its request.
type departure func(p *scripted.Peer, ahead string)

// Guards against an attempt that is written although its caller has disconnected, whatever the request is waiting for and however
// the caller disconnects. If the watch of the caller's connection is kept from running, only the check before the first byte can
// notice it. If the watch runs, the owner learns of the disconnection after the decision. If the caller stays, the attempt is
// written.
func TestCallerDisconnectsBeforeAttemptIsWritten(t *testing.T) {
	departures := map[string]departure{
		"ends":              func(p *scripted.Peer, _ string) { p.Close() },
		"half-ends":         func(p *scripted.Peer, _ string) { p.CloseWrite() }, //nolint:errcheck // the test sees it
		"resets":            func(p *scripted.Peer, _ string) { p.Reset() },
		"ends behind bytes": func(p *scripted.Peer, ahead string) { p.Send(ahead); p.Close() },
		"ends behind many":  func(p *scripted.Peer, ahead string) { p.Send(strings.Repeat(ahead, 400)); p.Close() },
		"stays":             nil,
		"stays with bytes":  func(p *scripted.Peer, ahead string) { p.Send(ahead[:2]) },
	}
	for situation, c := range waitingSituations() {
		for how, leave := range departures {
			disconnectBeforeWrite(t, situation, c, how, leave)
		}
	}
}

// Guards against report 620a8b: a caller writes more behind its request than the kernel's buffers hold and closes, and an attempt is
// written afterwards, since the close stands behind bytes that nobody has read. One that stays is served.
func TestCallerDisconnectsBehindUnreadBytes(t *testing.T) {
	const many = 700 << 10 // on loopback the buffer of a sender holds over 1 MiB, that of a receiver a tenth of that
	for situation, c := range waitingSituations() {
		if c.body > 0 {
			continue // what stands unread is its body: TestCallerDisconnectsBehindMoreThanKernelBuffers
		}
		disconnectBeforeWrite(t, situation, c, "ends", func(p *scripted.Peer, ahead string) {
			p.Send(strings.Repeat(ahead, many/len(ahead)))
			p.Close()
		})
		disconnectBeforeWrite(t, situation, c, "stays", func(p *scripted.Peer, ahead string) { p.Send(strings.Repeat(ahead, many/len(ahead))) })
	}
}

// disconnectBeforeWrite plays a situation with a departure, with the caller's connection watched and not. A caller stays if how begins with
// that word.
func disconnectBeforeWrite(t *testing.T, situation string, c waitingSituation, how string, leave departure) {
	for _, watched := range []bool{false, true} {
		if watched && c.body > 0 {
			continue // the connection is not watched while the body is received
		}
		t.Run(fmt.Sprintf("%s/%s/watched %v", situation, how, watched), func(t *testing.T) {
			playDisconnect(t, situation, c, how, leave, watched)
		})
	}
}

// playDisconnect implements disconnectBeforeWrite.
func playDisconnect(t *testing.T, situation string, c waitingSituation, how string, leave departure, watched bool) {
	s := startStagedSidecar(t, c.set)
	if watched {
		close(s.env.allowWatch)
	}
	peer := scripted.Connect(t, s.address)
	peer.Send(callerRequest(c.body))
	var first *scripted.Peer
	if c.first {
		first = s.listeners[0].Accept()
		first.ReadRequest()
		if strings.HasPrefix(situation, "a retry") {
			first.Send("HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
		}
	}
	<-s.env.pause.reached
	stays := strings.HasPrefix(how, "stays")
	extra := callerRequest(0)
	if c.body > 0 {
		extra = "xxxx"
	}
	if leave != nil {
		leave(peer, extra)
	}
	if watched && !stays {
		<-s.env.watchEnded // the disconnection has been noticed, and the owner may have been notified
	}
	close(s.env.pause.proceed)
	if stays {
		if c.body > 0 {
			rest := strings.Repeat("x", c.body-httpwire.MaxBuffered-1)
			if leave != nil { // two bytes of it have been sent already
				rest = rest[2:]
			}
			peer.Send(rest)
		}
		to := s.listeners[1].Accept()
		to.ReadRequest()
		to.Send(scripted.OK("x"))
		if !watched {
			close(s.env.allowWatch)
		}
		if status, _ := peer.ReadAnswer(); status != 200 {
			t.Errorf("answered %d", status)
		}
		if first != nil {
			first.Close()
		}
		s.end()
		return
	}
	for s.Snapshot().Left != 1 {
		if s.env.writes(s.listeners[1].Address) > 0 {
			t.Fatal("an attempt was written after its caller disconnected")
		}
		time.Sleep(time.Millisecond)
	}
	if first != nil {
		first.Close()
	}
	s.end()
	if !watched {
		close(s.env.allowWatch)
	}
	if text := s.receivedBy(1); text != "" {
		t.Errorf("written after its caller disconnected: %q", text)
	}
}

// Guards against an effect for a caller that is gone: a long body arrives in full, but its caller disconnects before the sidecar has
// passed on the last byte. An endpoint starts the work with that byte.
func TestCallerDisconnectsBeforeLastByteOfBody(t *testing.T) {
	const long = 200 << 10
	for name, leave := range map[string]func(*scripted.Peer){
		"half-ends": func(p *scripted.Peer) { p.CloseWrite() }, //nolint:errcheck // the test sees it
		"stays":     func(*scripted.Peer) {},
	} {
		leaves := name != "stays"
		s := startStagedSidecar(t, func(s *stagedSidecar) {
			s.env.pausedWrite = s.listeners[0].Address
			close(s.env.allowWatch)
			s.balancer = decisionFunc(func(ev *decide.Event) []decide.Action {
				if ev.Kind == decide.Arrived {
					return []decide.Action{sendTo(s, ev.Request, 0)}
				}
				return nil
			})
		})
		peer := scripted.Connect(t, s.address)
		peer.Send(callerRequest(long) + strings.Repeat("x", 100))
		<-s.env.pause.reached // a part of the body is being passed on
		peer.Send(strings.Repeat("x", long-httpwire.MaxBuffered-1-100))
		leave(peer)
		close(s.env.pause.proceed)
		to := s.listeners[0].Accept()
		if !leaves {
			to.ReadRequest()
			to.Send(scripted.OK("x"))
			if status, _ := peer.ReadAnswer(); status != 200 {
				t.Errorf("answered %d", status)
			}
			s.end()
			continue
		}
		if text, _ := to.ReadToEnd(); !strings.HasPrefix(text, "POST") || len(text) >= long {
			t.Errorf("%d bytes came to the endpoint, want a part of the body", len(text))
		}
		if status, _ := peer.ReadAnswer(); status == 200 {
			t.Errorf("answered %d", status)
		}
		if c := s.Snapshot(); c.Left != 1 || c.Outcomes[decide.ConnectFailed] != 1 {
			t.Errorf("%+v", c)
		}
		s.end()
	}
}

// Guards against an effect for a caller that is gone, where the disconnection can't be noticed before the first byte: it is behind
// more of the body than the kernel's buffers hold. It must be noticed before the last byte is written.
func TestCallerDisconnectsBehindMoreThanKernelBuffers(t *testing.T) {
	const long = 700 << 10 // on loopback the buffer of a sender holds over 1 MiB, that of a receiver a tenth of that
	s := startStagedSidecar(t, func(s *stagedSidecar) {
		close(s.env.allowWatch)
		s.balancer = delayedSend(s, decide.Arrived, func(*decide.Event) []decide.Action { return nil })
	})
	peer := scripted.Connect(t, s.address)
	peer.Send(callerRequest(long))
	<-s.env.pause.reached
	peer.Send(strings.Repeat("x", long-httpwire.MaxBuffered-1))
	peer.Close()
	close(s.env.pause.proceed)
	for s.Snapshot().Left != 1 {
		time.Sleep(time.Millisecond)
	}
	s.end()
	if s.env.writes(s.listeners[1].Address) == 0 {
		return // the disconnection was noticed before the first byte
	}
	if text, _ := s.listeners[1].Accept().ReadToEnd(); len(text) >= long {
		t.Errorf("%d bytes came to the endpoint: its whole request", len(text))
	}
}
