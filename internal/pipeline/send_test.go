package pipeline

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"heathgap/decide"
	"heathgap/internal/config"
	"heathgap/internal/env"
	"heathgap/internal/httpwire"
	"heathgap/internal/state"
)

func newTestEngine(t *testing.T) *Engine {
	t.Helper()
	conf := &config.Config{
		Settings:       decide.Settings{Classes: []decide.Class{{Name: "look", Effect: decide.Safe, Aim: time.Second}}},
		ConnectTimeout: 10 * time.Second, EndpointConns: 10, IdleTimeout: time.Minute,
	}
	balancer, err := decide.New(conf.Settings, conf.Seed)
	if err != nil {
		t.Fatal(err)
	}
	return New(conf, env.Real{}, Logs{All: zerolog.Nop(), ConnEnds: zerolog.Nop()}, balancer)
}

// An attempt that times out while its connection is still being made has never run, so its caller may learn that it can
// safely try again.
func TestTimeoutBeforeConnecting(t *testing.T) {
	for outcome, written := range map[decide.Outcome]bool{decide.ConnectFailed: false, decide.TimedOut: true} {
		e := newTestEngine(t)
		now := e.clock.Now()
		r := e.requests.Add(&httpwire.Request{}, now, make(chan httpwire.Answer, 1))
		a := e.requests.Begin(r, nil, now, now)
		a.GiveUp = func() {}
		e.timeouts.Add(a)
		if written && !a.StartWrite() {
			t.Fatal("the attempt can't be written")
		}
		e.runDue()
		if e.counters.Outcomes[outcome] != 1 || written == a.PreventWrite() {
			t.Errorf("written %v: outcomes %v", written, e.counters.Outcomes)
		}
	}
}

// Guards against an attempt that is written after its request has ended, because its connection was still being made then.
func TestNothingIsWrittenAfterTheRequestEnded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	e := newTestEngine(t)
	to := &state.Endpoint{Listed: true}
	if _, ok := e.pool.Take(to, 0); !ok {
		t.Fatal("no room in an empty pool")
	}
	until := e.clock.Now() + 10*time.Second
	r := e.requests.Add(&httpwire.Request{Method: "GET", URI: "/look"}, until, make(chan httpwire.Answer, 1))
	a := e.requests.Begin(r, to, 0, until)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	a.GiveUp = cancel
	e.relay(r, httpwire.Answer{Verdict: httpwire.Abandoned})

	e.exchange(ctx, a, nil, listener.Addr().String())
	(<-e.events).handle(e)
	if n := e.counters.Outcomes[decide.NotSent]; n != 1 {
		t.Errorf("outcomes %v, want one that was not sent", e.counters.Outcomes)
	}
	if l, _ := e.pool.Take(to, e.clock.Now()+time.Second); l == nil {
		t.Error("the unused connection was not returned to the pool")
	} else {
		l.Close()
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	if n, err := conn.Read(make([]byte, 10)); n > 0 || err == nil {
		t.Errorf("%d bytes were written", n)
	}
}
