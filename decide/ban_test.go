package decide

import (
	"testing"
	"time"
)

// countSentTo sends that many safe requests, each served at once, and returns how many attempts went to the endpoint.
func (s *script) countSentTo(id EndpointID, from RequestID, requests int) (n int) {
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

// A banned endpoint gets nothing, whatever the list reports, until the ban ends. Then it is cold, though the list reports an old start.
func TestBanByHand(t *testing.T) {
	s := start(t, testSettings(), two()...)
	id, other := two()[0].ID, two()[1].ID
	if s.countSentTo(id, 1, 20) == 0 {
		t.Fatal("the endpoint gets nothing before the ban")
	}
	for range 3 {
		s.event(Event{Kind: Banned, Endpoint: id})
	}
	if n := s.b.Avoided(); n != 1 {
		t.Errorf("%d endpoints are avoided, want 1", n)
	}
	for what, e := range map[string]Event{
		"the same list": {Kind: ListReplaced, Endpoints: two()},
		"a restart":     {Kind: ListChanged, Endpoints: []Endpoint{{ID: id, Zone: "here", Weight: 1, Started: s.now}}},
		"it left":       {Kind: ListReplaced, Endpoints: two()[1:]},
		"it came back":  {Kind: ListReplaced, Endpoints: two()},
	} {
		s.event(e)
		if n := s.countSentTo(id, 1000, 20); n != 0 {
			t.Errorf("after %s: %d attempts went to the banned endpoint", what, n)
		}
	}
	s.event(Event{Kind: ListReplaced, Endpoints: two()})
	s.event(Event{Kind: Unbanned, Endpoint: id})
	if e := s.b.endpoints.byID[id]; e.cold == 0 || s.b.capacity(e) > s.b.settings.Rules.ColdShare+0.01 {
		t.Errorf("after the ban the endpoint is not cold: %+v", *e)
	}
	s.event(Event{Kind: ListReplaced, Endpoints: two()})
	if e := s.b.endpoints.byID[id]; e.cold == 0 {
		t.Error("a list with the old start time made the endpoint warm")
	}
	fresh := s.b.endpoints.byID[id]
	for _, call := range []Event{
		{Kind: Unbanned, Endpoint: id}, {Kind: Unbanned, Endpoint: other}, {Kind: Unbanned, Endpoint: 999},
	} {
		s.event(call)
	}
	if s.b.endpoints.byID[id] != fresh || s.b.endpoints.byID[other].cold != 0 {
		t.Error("Unbanned for an endpoint without a ban replaced or cooled an endpoint")
	}
	if n := s.countSentTo(id, 2000, 200); n == 0 {
		t.Error("the endpoint gets nothing in the 5 s after the ban")
	}
	if s.after(s.b.settings.Rules.ColdTime); s.countSentTo(id, 3000, 40) < 5 {
		t.Error("the endpoint is not in full use after its cold time")
	}
}

// A ban applies to an endpoint that is not listed yet, and also where it leaves no endpoint to send to.
func TestBanOfUnlistedAndOfAllEndpoints(t *testing.T) {
	s := start(t, testSettings())
	for _, e := range two() {
		s.event(Event{Kind: Banned, Endpoint: e.ID})
	}
	s.event(Event{Kind: ListReplaced, Endpoints: two()})
	if n := s.countSentTo(two()[0].ID, 1, 5) + s.countSentTo(two()[1].ID, 100, 5); n != 0 {
		t.Errorf("%d attempts went to banned endpoints", n)
	}
	s.arrive(500, "read")
	for _, a := range s.after(2 * time.Second).tick() {
		if a.Kind != Refuse || a.After == 0 {
			t.Errorf("%+v, want refusals that say how long to wait", a)
		}
	}
	if len(s.b.pending) != 0 {
		t.Errorf("%d requests are still pending", len(s.b.pending))
	}
}

// A request whose body or answer has partly been sent can't be sent again. If its attempt fails, it ends at once: refused if it can't have
// run, else failed.
func TestStartedStreamIsNotSentAgain(t *testing.T) {
	for outcome, want := range map[Outcome]ActionKind{ConnectFailed: Refuse, Reset: Fail} {
		s := start(t, testSettings(), two()...)
		s.expect(s.arrive(1, "once"), Send)
		s.event(Event{Kind: StreamBegan, Request: 1})
		s.expect(s.after(5*ms).finish(1, 0, outcome), want)
		if len(s.b.pending) != 0 {
			t.Errorf("outcome %d: the request is still pending", outcome)
		}
	}
}

// An endpoint that breaks off an answer loses payoff.
func TestBrokenStreamLowersPayoff(t *testing.T) {
	s := start(t, testSettings(), two()...)
	id := two()[0].ID
	s.countSentTo(id, 1, 10)
	before := s.b.endpoints.byID[id].payoff
	s.event(Event{Kind: StreamBroke, Endpoint: id})
	s.event(Event{Kind: StreamBroke, Endpoint: 999})
	if after := s.b.endpoints.byID[id].payoff; after >= before {
		t.Errorf("payoff %v after a broken answer, %v before", after, before)
	}
}

// Guards against a tier that counts as full because of bodies that are still being sent: until the body is complete, the endpoint does no
// work for the request, and its slot goes to another.
func TestRequestIsNotInFlightWhileItsBodyComes(t *testing.T) {
	s := start(t, testSettings(), two()...)
	last := s.fill("once")
	s.expect(s.arrive(last+1, "once"))
	s.expect(s.event(Event{Kind: StreamBegan, Request: 1}), Send)
	if unsettled, err := s.b.Audit(); err != nil || unsettled != int(last)-1 {
		t.Errorf("%d attempts without an outcome, error %v; want %d attempts", unsettled, err, last-1)
	}
	full := s.b.admission.inFlight
	s.event(Event{Kind: BodyReceived, Request: 1})
	s.event(Event{Kind: BodyReceived, Request: 1})
	if s.b.admission.inFlight != full+1 {
		t.Errorf("%d in flight when the body is complete, want %d", s.b.admission.inFlight, full+1)
	}
	s.after(5*ms).finish(1, 0, Served)
	s.event(Event{Kind: BodyReceived, Request: 1})
	if _, err := s.b.Audit(); err != nil {
		t.Error(err)
	}
}
