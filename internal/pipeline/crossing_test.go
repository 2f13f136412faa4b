package pipeline

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"heathgap/decide"
	"heathgap/internal/env"
	"heathgap/internal/httpwire"
	"heathgap/internal/lab/scripted"
)

// barrier is a world in which connections come up when the test says so.
type barrier struct {
	env.Real
	begun chan struct{} // a dial has begun
	goOn  chan struct{} // closed: it may come up
}

// Dial is env.Env's.
func (b *barrier) Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	b.begun <- struct{}{}
	<-b.goOn
	return b.Real.Dial(ctx, address, timeout)
}

// lateEngine is an engine whose connections come up at a barrier, and an endpoint's address.
func lateEngine(t *testing.T) (*Engine, *barrier, *scripted.Door) {
	t.Helper()
	e := testEngine(t)
	world := &barrier{begun: make(chan struct{}, 1), goOn: make(chan struct{})}
	e.world, e.room = world, httpwire.NewRoom(1<<20)
	return e, world, scripted.OpenDoor(t)
}

func listOf(name, address string, state decide.EndpointState) *httpwire.List {
	return &httpwire.List{Endpoints: []httpwire.ListedEndpoint{{Name: name, Address: address, State: state}}}
}

// Guards against a request that is written to an endpoint which began to drain, or left, while the connection to it
// was coming up late: what was true when it was chosen is looked at again where the first byte leaves.
func TestEndpointThatDrainsWhileTheConnectionComesUp(t *testing.T) {
	for name, c := range map[string]struct {
		news    decide.EndpointState
		grace   time.Duration
		outcome decide.Outcome
	}{
		"drains":              {decide.Draining, 1, decide.ConnectFailed},
		"leaves":              {decide.Gone, 1, decide.ConnectFailed},
		"drains, in its time": {decide.Draining, time.Hour, decide.Served},
		"serves on":           {decide.Active, 1, decide.Served},
	} {
		t.Run(name, func(t *testing.T) {
			e, world, door := lateEngine(t)
			e.endpoints.SetGrace(c.grace)
			e.takeList(listOf("s", door.Address, decide.Active), decide.ListReplaced)
			to := e.endpoints.Lines()[0]
			id := e.update(listOf("s", to.Address, decide.Active))[0].ID
			until := e.clock.Now() + 10*time.Second
			r := e.requests.Take(&httpwire.Request{Method: "GET", URI: "/look"}, until, make(chan httpwire.Answer, 1))
			e.send(r, decide.Action{Kind: decide.Send, Request: r.ID, Endpoint: id})
			<-world.begun
			e.update(listOf("s", to.Address, c.news))
			close(world.goOn)
			peer := door.Next()
			if c.outcome == decide.Served {
				peer.Request()
			}
			peer.Say(scripted.OK("x"))
			next(t, e)
			if e.counters.Outcomes[c.outcome] != 1 {
				t.Errorf("outcomes %v", e.counters.Outcomes)
			}
			if c.outcome == decide.Served {
				return
			}
			e.pool.DropAll(r.Attempts[0].Endpoint, httpwire.ReasonUnlisted)
			if text, _ := peer.End(); text != "" {
				t.Errorf("written %q", text)
			}
		})
	}
}

// Guards against an effect that comes twice: the window of a key ends while the connection for its resend comes up. What
// the first attempt's outcome says about having run decides whether there is a window at all.
func TestWindowThatEndsWhileTheConnectionComesUp(t *testing.T) {
	const window = 50 * time.Millisecond
	for name, c := range map[string]struct {
		effect  decide.Effect
		first   decide.Outcome
		ruled   *decide.Ruling
		written bool
	}{
		"may have run":          {decide.Keyed, decide.Reset, nil, false},
		"never ran":             {decide.Keyed, decide.ConnectFailed, nil, true},
		"safe":                  {decide.Safe, decide.Reset, nil, true},
		"a longer window ruled": {decide.Keyed, decide.Reset, &decide.Ruling{Classes: map[string]decide.ClassRule{"look": {Effect: decide.Keyed, Window: time.Hour}}}, true},
		"ruled to be keyed":     {decide.Safe, decide.Reset, &decide.Ruling{Classes: map[string]decide.ClassRule{"look": {Effect: decide.Keyed, Window: window}}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			e, world, door := lateEngine(t)
			e.conf.Classes = map[string]decide.Class{"look": {Name: "look", Effect: c.effect, Window: window}}
			if c.ruled != nil {
				e.acting = &Acting{Ruling: c.ruled}
			}
			id := e.update(listOf("s", door.Address, decide.Active))[0].ID
			until := e.clock.Now() + 10*time.Second
			r := e.requests.Take(&httpwire.Request{Method: "GET", URI: "/look", Class: "look"}, until, make(chan httpwire.Answer, 1))
			first := e.requests.Begin(r, nil, e.clock.Now(), until)
			first.GiveUp = func() {}
			e.settle(first, c.first, nil)
			e.send(r, decide.Action{Kind: decide.Send, Request: r.ID, Endpoint: id})
			<-world.begun
			for e.clock.Now() < first.Sent+window { // the window ends
				time.Sleep(time.Millisecond)
			}
			close(world.goOn)
			peer := door.Next()
			if c.written {
				peer.Request()
			}
			peer.Say(scripted.OK("x"))
			next(t, e)
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

// watchful is a world that tells when a goroutine of a name has ended.
type watchful struct {
	env.Real
	name  string
	ended chan struct{}
}

// Go is env.Env's.
func (w *watchful) Go(name string, f func()) {
	w.Real.Go(name, func() {
		f()
		if name == w.name {
			w.ended <- struct{}{}
		}
	})
}

// slowClaims are holdings whose claims come when the test says so.
type slowClaims struct {
	asked chan struct{}
	goOn  chan struct{}
	ended chan httpwire.Answer
}

func (*slowClaims) Holds(string) bool { return true }

func (h *slowClaims) Open(*httpwire.Request, [16]byte, time.Duration) Opened {
	h.asked <- struct{}{}
	<-h.goOn
	return Opened{Hold: h}
}

func (*slowClaims) MayWrite() bool { return true }

func (h *slowClaims) End(answer httpwire.Answer, ran bool, _ time.Duration) httpwire.Answer {
	answer.Ran = ran
	h.ended <- answer
	return answer
}

// Guards against a request that is sent on though its caller left while its key was being claimed; one whose caller stays
// is sent.
func TestCallerThatLeavesWhileItsKeyIsClaimed(t *testing.T) {
	for _, leaves := range []bool{true, false} {
		door := scripted.OpenDoor(t)
		e := testEngine(t)
		e.conf.Classes = map[string]decide.Class{"look": e.conf.Settings.Classes[0]}
		e.conf.Settings.MustAsk = true // nothing is asked here
		e.conf.Known = listOf("s", door.Address, decide.Active)
		e.room = httpwire.NewRoom(1 << 20)
		claims := &slowClaims{asked: make(chan struct{}, 1), goOn: make(chan struct{}), ended: make(chan httpwire.Answer, 1)}
		e.Keep(claims)
		ctx, stop := context.WithCancel(t.Context())
		go e.Run(ctx)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		world := &watchful{name: "watch", ended: make(chan struct{}, 1)}
		callers := httpwire.NewCallers(listener, world, 10, func(*httpwire.CallerConn, httpwire.Reason) {})
		server := &fasthttp.Server{Handler: e.Handle, StreamRequestBody: true}
		go server.Serve(callers) //nolint:errcheck // it ends with the listener

		peer := scripted.Connect(t, listener.Addr().String())
		peer.Say("GET /look HTTP/1.1\r\nHost: x\r\nX-Txn: 1\r\nX-Remaining: 5\r\n\r\n")
		<-claims.asked
		if leaves {
			peer.Close()
			<-world.ended // its caller is seen to have gone
		}
		close(claims.goOn)
		if !leaves {
			to := door.Next()
			to.Request()
			to.Say(scripted.OK("x"))
		}
		want := map[bool]httpwire.Verdict{true: httpwire.Abandoned, false: httpwire.Served}[leaves]
		if answer := <-claims.ended; answer.Verdict != want || answer.Ran == leaves || door.Came() {
			t.Errorf("leaves %v: %+v, sent on %v", leaves, answer, door.Came())
		}
		callers.CloseNow() //nolint:errcheck // it listens no more
		stop()
		<-e.stopped
	}
}
