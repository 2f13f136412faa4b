package decide

import (
	"testing"
	"time"
)

// sentTo sends so many safe requests, each served at once, and counts those to an endpoint.
func (s *script) sentTo(id EndpointID, from RequestID, requests int) (n int) {
	s.t.Helper()
	for i := range RequestID(requests) {
		for _, a := range s.arrive(from+i, "read") {
			if a.Kind == Send && a.Endpoint == id {
				n++
			}
		}
		s.after(5*ms).finish(from+i, 0, Served)
		s.after(20 * ms)
	}
	return n
}

// What is banned by hand gets nothing, whatever lists tell, until the one call that
// ends the ban; then it is cold, though the list tells an old start.
func TestBanByHand(t *testing.T) {
	s := start(t, testSettings(), two()...)
	id, other := two()[0].ID, two()[1].ID
	if s.sentTo(id, 1, 20) == 0 {
		t.Fatal("it gets nothing before the ban")
	}
	for range 3 {
		s.event(Event{Kind: Banned, Endpoint: id})
	}
	if n := s.b.Avoided(); n != 1 {
		t.Errorf("%d avoided, want 1", n)
	}
	for what, e := range map[string]Event{
		"the same list": {Kind: ListReplaced, Endpoints: two()},
		"a restart":     {Kind: ListChanged, Endpoints: []Endpoint{{ID: id, Zone: "here", Weight: 1, Started: s.now}}},
		"it left":       {Kind: ListReplaced, Endpoints: two()[1:]},
		"it came back":  {Kind: ListReplaced, Endpoints: two()},
	} {
		s.event(e)
		if n := s.sentTo(id, 1000, 20); n != 0 {
			t.Errorf("after %s: %d sent to what is banned", what, n)
		}
	}
	s.event(Event{Kind: ListReplaced, Endpoints: two()})
	s.event(Event{Kind: Unbanned, Endpoint: id})
	if e := s.b.fleet.byID[id]; e.cold == 0 || s.b.capacity(e) > s.b.set.Rules.ColdShare+0.01 {
		t.Errorf("after the ban it is not cold: %+v", *e)
	}
	s.event(Event{Kind: ListReplaced, Endpoints: two()})
	if e := s.b.fleet.byID[id]; e.cold == 0 {
		t.Error("a list that tells its old start made it warm")
	}
	fresh := s.b.fleet.byID[id]
	for _, call := range []Event{
		{Kind: Unbanned, Endpoint: id}, {Kind: Unbanned, Endpoint: other}, {Kind: Unbanned, Endpoint: 999},
	} {
		s.event(call)
	}
	if s.b.fleet.byID[id] != fresh || s.b.fleet.byID[other].cold != 0 {
		t.Error("a call that ends no ban has made an endpoint new")
	}
	if n := s.sentTo(id, 2000, 200); n == 0 {
		t.Error("it gets nothing in the 5 s after the ban")
	}
	if s.after(s.b.set.Rules.ColdTime); s.sentTo(id, 3000, 40) < 5 {
		t.Error("it is not in full use after its cold time")
	}
}

// Bans hold for what is not listed yet, and where nothing is left to send to.
func TestBanOfAll(t *testing.T) {
	s := start(t, testSettings())
	for _, e := range two() {
		s.event(Event{Kind: Banned, Endpoint: e.ID})
	}
	s.event(Event{Kind: ListReplaced, Endpoints: two()})
	if n := s.sentTo(two()[0].ID, 1, 5) + s.sentTo(two()[1].ID, 100, 5); n != 0 {
		t.Errorf("%d sent to banned endpoints", n)
	}
	s.arrive(500, "read")
	for _, a := range s.after(2 * time.Second).tick() {
		if a.Kind != Refuse || a.After == 0 {
			t.Errorf("%+v, want refusals that say when to come back", a)
		}
	}
	if len(s.b.held) != 0 {
		t.Errorf("%d requests are still held", len(s.b.held))
	}
}

// What has partly gone can't go twice, and its failure ends the request at once:
// refused while it can't have run, failed where it may have.
func TestWhatHasBegunIsNotSentAgain(t *testing.T) {
	for outcome, want := range map[Outcome]ActionKind{ConnectFailed: Refuse, Reset: Fail} {
		s := start(t, testSettings(), two()...)
		s.want(s.arrive(1, "once"), Send)
		s.event(Event{Kind: StreamBegan, Request: 1})
		s.want(s.after(5*ms).finish(1, 0, outcome), want)
		if len(s.b.held) != 0 {
			t.Errorf("outcome %d: the request is still held", outcome)
		}
	}
}

// An endpoint that breaks off its answers is worth less than one that ends them.
func TestBrokenStreamsCount(t *testing.T) {
	s := start(t, testSettings(), two()...)
	id := two()[0].ID
	s.sentTo(id, 1, 10)
	before := s.b.fleet.byID[id].payoff
	s.event(Event{Kind: StreamBroke, Endpoint: id})
	s.event(Event{Kind: StreamBroke, Endpoint: 999})
	if after := s.b.fleet.byID[id].payoff; after >= before {
		t.Errorf("payoff %v after a broken answer, %v before", after, before)
	}
}

// Guards against a tier that counts as full of bodies that still come: while its client
// sends, an endpoint does nothing for a request, and its place goes to another.
func TestPlaceWhileABodyComes(t *testing.T) {
	s := start(t, testSettings(), two()...)
	last := s.fill("once")
	s.want(s.arrive(last+1, "once"))
	s.want(s.event(Event{Kind: StreamBegan, Request: 1}), Send)
	if out, err := s.b.Audit(); err != nil || out != int(last)-1 {
		t.Errorf("%d out, %v; want %d", out, err, last-1)
	}
	full := s.b.hold.out
	s.event(Event{Kind: BodyReceived, Request: 1})
	s.event(Event{Kind: BodyReceived, Request: 1})
	if s.b.hold.out != full+1 {
		t.Errorf("%d in flight when the body has come, want %d", s.b.hold.out, full+1)
	}
	s.after(5*ms).finish(1, 0, Served)
	s.event(Event{Kind: BodyReceived, Request: 1})
	if _, err := s.b.Audit(); err != nil {
		t.Error(err)
	}
}
