package decide

import (
	"slices"
	"testing"
	"time"
)

// listed returns n endpoints, numbered from 1.
func listed(n int) []Endpoint {
	lines := make([]Endpoint, n)
	for i := range lines {
		lines[i] = Endpoint{ID: EndpointID(i + 1), Zone: "here", Cell: i + 1, Weight: 1}
	}
	return lines
}

// pollingSettings returns test settings of an instance that polls for the list.
func pollingSettings() Settings {
	set := testSettings()
	set.MustPoll = true
	return set
}

// sendOne has a request arrive and returns its one Send. Polls for the list among the actions are ignored.
func (s *script) sendOne(id RequestID) Action {
	s.t.Helper()
	return s.expect(slices.DeleteFunc(s.arrive(id, "read"), func(a Action) bool { return a.Kind == WatchList }), Send)[0]
}

// serve has a request served and returns the endpoint that it went to.
func (s *script) serve(id RequestID) EndpointID {
	s.t.Helper()
	to := s.sendOne(id).Endpoint
	s.after(10 * ms)
	s.finish(id, 0, Served)
	return to
}

// stale lets time pass and reports whether the list is stale then.
func (s *script) stale(after time.Duration) bool {
	s.after(after).tick()
	return s.b.listStale()
}

// Guards against requests to endpoints that count as gone though no change has come (report 4547c5): while the list is stale, new work goes
// only to endpoints that have gone on answering.
func TestStaleListSendsToProvenEndpoints(t *testing.T) {
	const count = 200
	s := start(t, pollingSettings(), listed(count)...)
	s.event(Event{Kind: ListChanged})
	s.event(Event{Kind: ListMissed, Since: s.now})
	missed, id, used := s.now, RequestID(0), map[EndpointID]bool{}
	for ; s.now < missed+maxServedGap; s.after(90 * ms) {
		id++
		used[s.serve(id)] = true
	}
	if len(used) >= count {
		t.Fatal("all endpoints have been used: the test shows nothing")
	}
	for ; s.now < missed+deliveredAfter+s.b.settings.Rules.DrainGrace/2; s.after(90 * ms) {
		id++
		s.serve(id)
	}
	for ; s.now < missed+time.Minute; s.after(90 * ms) {
		id++
		if to := s.serve(id); !used[to] {
			t.Fatalf("%v after changes may have been missed a request goes to endpoint %d, not used before", s.now-missed, to)
		}
	}
	s.event(Event{Kind: ListChanged})
	others := 0
	for range count {
		id++
		if to := s.serve(id); !used[to] {
			others++
		}
		s.after(90 * ms)
	}
	if others == 0 {
		t.Error("with a current list, all requests still go to the endpoints that answered while it was stale")
	}
}

// Guards against an endpoint that was away, has come back and may count as gone: an answer after a gap proves nothing until its return
// counts as delivered.
func TestEndpointThatWasAwayIsNotProven(t *testing.T) {
	const missed, now = 100 * time.Second, 120 * time.Second
	steady := func(from, to, step Time) (at []Time) {
		for t := from; t <= to; t += step {
			at = append(at, t)
		}
		return at
	}
	for name, c := range map[string]struct {
		answers []Time
		failed  Time // when a connection to it failed
		took    Time // when the newest request that it served was sent
		want    bool
	}{
		"never used":                              {nil, 0, 0, false},
		"all the time":                            {steady(90*time.Second, now, time.Second), 0, now, true},
		"from soon after the start":               {steady(missed+maxServedGap, now, time.Second), 0, now, true},
		"from later on":                           {steady(now-provenTime+ms, now, time.Second), 0, now, false},
		"from later on, for long enough":          {steady(now-provenTime, now, time.Second), 0, now, true},
		"with a gap":                              {append(steady(90*time.Second, 113*time.Second, time.Second), steady(113*time.Second+maxServedGap+ms, now, time.Second)...), 0, now, false},
		"with a gap that is short enough":         {append(steady(90*time.Second, 113*time.Second, time.Second), steady(113*time.Second+maxServedGap, now, time.Second)...), 0, now, true},
		"with a connection that failed":           {append(steady(90*time.Second, 115*time.Second, time.Second), steady(115*time.Second+maxFailureGap+ms, now, time.Second)...), 115*time.Second + ms, now, false},
		"with one that failed between two others": {append(steady(90*time.Second, 115*time.Second, time.Second), steady(115*time.Second+maxFailureGap, now, time.Second)...), 115*time.Second + ms, now, true},
		"not lately":                              {steady(90*time.Second, now-maxServedGap-ms, time.Second), 0, now, false},
		"with answers to old requests alone":      {steady(90*time.Second, now, time.Second), 0, now - maxAcceptAge - ms, false},
	} {
		b, err := New(pollingSettings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		e := &endpoint{servedSentAt: c.took}
		for _, at := range c.answers {
			if c.failed > 0 && at > c.failed {
				e.evidence.lastFailure = c.failed
			}
			e.evidence.recordServed(at)
		}
		b.now, b.endpoints.missedSince = now, missed
		if got := b.proven(e); got != c.want {
			t.Errorf("%s: proven is %v", name, got)
		}
	}
}

// Guards against requests to a proven endpoint that begins to drain, or dies: while the list is stale, an endpoint that has rejected an
// attempt, or to which a connection has failed, gets nothing until it answers again.
func TestProvenEndpointThatFails(t *testing.T) {
	for name, outcome := range map[string]Outcome{"drains": Rejected, "dies": ConnectFailed, "breaks off": Reset} {
		s := start(t, pollingSettings(), two()...)
		s.event(Event{Kind: ListChanged})
		s.event(Event{Kind: ListMissed, Since: s.now})
		id := RequestID(0)
		for range 1000 { // both are proven
			id++
			s.serve(id)
		}
		if !s.b.listStale() {
			t.Fatal("the list is not stale")
		}
		id++
		failed := s.sendOne(id).Endpoint
		s.after(10*ms).finish(id, 0, outcome)
		s.finish(id, 1, Served)
		for range 3 { // more than the other endpoint has room for
			id++
			if to := s.sendOne(id).Endpoint; to == failed {
				t.Errorf("%s: endpoint %d gets another attempt", name, failed)
			}
		}
	}
}

// Guards against a few proven endpoints that have to carry all traffic once the list is stale: from the moment at which changes may be
// missed, as many endpoints are used as the traffic keeps proven.
func TestTrafficIsSpreadBeforeTheListIsStale(t *testing.T) {
	const count, peers, each = 400, 100, 10 * ms // 100 requests a second
	set := pollingSettings()
	set.Peers = peers
	s := start(t, set, listed(count)...)
	s.event(Event{Kind: ListChanged})
	id := RequestID(0)
	use := func(most time.Duration) int {
		used := map[EndpointID]bool{}
		for until := s.now + most; s.now < until; {
			id++
			used[s.serve(id)] = true
		}
		return len(used)
	}
	use(10 * time.Second)
	if n := use(time.Second); n > count/peers {
		t.Errorf("%d endpoints are used while all is well, want %d", n, count/peers)
	}
	s.event(Event{Kind: ListMissed, Since: s.now})
	use(deliveredAfter + s.b.settings.Rules.DrainGrace/2)
	want := int(time.Second/each) * int(maxServedGap/time.Second) / servedPerGap
	if n := use(maxServedGap); n < want*9/10 || n > want {
		t.Errorf("%d endpoints are used once the list is stale, want about %d", n, want)
	}
}

// Guards against requests to endpoints that count as gone, sent by instances with too little traffic to keep more than a few endpoints
// proven (report 4547c5).
func TestStaleListWithLittleTraffic(t *testing.T) {
	const count = 400
	for _, c := range []struct {
		gap  time.Duration // between requests
		most int           // endpoints that may be in use once the list is stale
	}{{200 * ms, 3}, {1 * time.Second, 2}, {2 * time.Second, 2}, {5 * time.Second, 1}, {30 * time.Second, 1}} {
		s := start(t, pollingSettings(), listed(count)...)
		s.event(Event{Kind: ListChanged})
		id := RequestID(0)
		use := func(until Time) map[EndpointID]bool {
			used := map[EndpointID]bool{}
			for ; s.now < until; s.after(c.gap) {
				id++
				used[s.serve(id)] = true
			}
			return used
		}
		use(s.now + time.Minute)
		s.event(Event{Kind: ListMissed, Since: s.now})
		before := use(s.now + max(c.gap, deliveredAfter+s.b.settings.Rules.DrainGrace/2))
		after := use(s.now + 5*time.Minute)
		if len(after) > c.most {
			t.Errorf("a request each %v: %d endpoints are used once the list is stale, want %d at most", c.gap, len(after), c.most)
		}
		for to := range after {
			if !before[to] {
				t.Errorf("a request each %v: endpoint %d is used, and was not before the list went stale", c.gap, to)
			}
		}
	}
}

// If the endpoint that answered last can't take a request, the request goes to the one that answered before it.
func TestLastEndpointToAnswerFails(t *testing.T) {
	s := start(t, pollingSettings(), listed(3)...)
	s.event(Event{Kind: ListChanged})
	latest := func(id RequestID) EndpointID {
		s.b.endpoints.byID[1].evidence.lastServed = s.now - 3*time.Minute
		s.b.endpoints.byID[2].evidence.lastServed = s.now - 2*time.Minute
		return s.sendOne(id).Endpoint
	}
	s.after(10 * time.Minute)
	s.event(Event{Kind: ListMissed, Since: s.now})
	s.after(time.Minute).tick()
	if to := latest(1); to != 2 {
		t.Errorf("sent to endpoint %d, want 2, which answered last", to)
	}
	s.after(10 * ms)
	if to := s.expect(s.finish(1, 0, ConnectFailed), Send)[0].Endpoint; to != 1 {
		t.Errorf("sent again to endpoint %d, want 1, which answered before it", to)
	}
	if to := latest(2); to != 1 {
		t.Errorf("the next is sent to endpoint %d, want 1: a connection to 2 has failed", to)
	}
}

// Guards against a sidecar that serves nothing because its list is stale: if no endpoint has answered, all may be used.
func TestStaleListWithNothingProven(t *testing.T) {
	s := start(t, pollingSettings(), two()...)
	s.event(Event{Kind: ListMissed, Since: s.now})
	s.after(time.Minute)
	s.sendOne(1)
}

// Guards against requests that no endpoint takes: where probes decide, the few proven endpoints are seldom among those probed.
func TestStaleListIsIgnoredWhereProbesDecide(t *testing.T) {
	set := probingSettings()
	set.MustPoll = true
	s := start(t, set, two()...)
	s.event(Event{Kind: ListChanged})
	s.event(Event{Kind: ListMissed, Since: s.now})
	s.after(time.Minute).tick()
	e := s.b.endpoints.byID[1]
	e.servedSentAt, e.evidence = s.now, evidence{lastServed: s.now, steadySince: s.now - time.Minute}
	if trusted := s.b.trustFor(nil); !s.b.proven(e) || !s.b.listStale() || trusted != (trust{}) {
		t.Errorf("proven %v, stale %v, new work may go to %+v; want all endpoints", s.b.proven(e), s.b.listStale(), trusted)
	}
}

// Guards against an attempt that was decided on in time and begins too late: if its endpoint may count as gone by then, the Send says when
// it must have begun.
func TestSendCarriesLatestStart(t *testing.T) {
	s := start(t, pollingSettings(), two()...)
	s.event(Event{Kind: ListChanged})
	if sent := s.sendOne(1); sent.NotAfter != 0 {
		t.Errorf("with a current list: not after %v", sent.NotAfter)
	}
	missed := s.now
	s.event(Event{Kind: ListMissed, Since: missed})
	s.after(deliveredAfter)
	want := missed + deliveredAfter + s.b.settings.Rules.DrainGrace - sendMargin
	if sent := s.sendOne(2); sent.NotAfter != want {
		t.Errorf("with a list that becomes stale: not after %v, want %v", sent.NotAfter, want)
	}
	s.event(Event{Kind: ListConfirmed})
	if sent := s.sendOne(3); sent.NotAfter != 0 {
		t.Errorf("with a confirmed list: not after %v", sent.NotAfter)
	}
}

// Guards against a list whose age is forgotten or counted from too late a time. It counts from the first failed poll, or from the start;
// lists and confirmations end it. Where lists are pushed, none is polled for.
func TestListGoesStale(t *testing.T) {
	const sure = deliveredAfter + time.Second // stale by then, whatever part of the drain grace is added
	set := pollingSettings()
	s := start(t, set, two()...)
	if !s.stale(sure) {
		t.Error("not stale though no list has come since the start")
	}
	for _, end := range []EventKind{ListChanged, ListReplaced, ListConfirmed} {
		s.event(Event{Kind: end, Endpoints: two()})
		if s.stale(time.Hour) {
			t.Errorf("stale after event %d", end)
		}
		s.event(Event{Kind: ListMissed, Since: s.now - time.Second})
		s.after(2 * time.Second).event(Event{Kind: ListFailed})
		if !s.stale(sure - 3*time.Second) {
			t.Errorf("not stale %v after the first failure that followed event %d", sure, end)
		}
	}
	s.event(Event{Kind: ListChanged})
	s.event(Event{Kind: ListFailed})
	if !s.stale(sure) {
		t.Error("not stale after a failed poll without a ListMissed event")
	}
	set.MustPoll = false
	s = start(t, set, two()...)
	if s.stale(time.Hour) {
		t.Error("stale where lists are pushed and nothing has failed")
	}
	s.expect(s.event(Event{Kind: ListMissed, Since: s.now, DeliveredBy: s.now}))
	if !s.stale(s.b.settings.Rules.DrainGrace) {
		t.Error("not stale where lists are pushed and count as delivered at once")
	}
	s.expect(s.tick())
}

// The cost of a pick among as many endpoints as the largest deployment has: with a current list, and with a stale one with few or no
// endpoints proven.
func BenchmarkPickAmongThousands(b *testing.B) {
	const count, peers = 3200, 400
	set := pollingSettings()
	set.Peers = peers
	for _, c := range []struct {
		name   string
		stale  bool
		proven int
	}{{"current list", false, 0}, {"stale, 20 proven", true, 20}, {"stale, none proven", true, 0}} {
		b.Run(c.name, func(b *testing.B) {
			balancer, err := New(set, 1)
			if err != nil {
				b.Fatal(err)
			}
			balancer.Handle(0, &Event{Kind: ListReplaced, Endpoints: listed(count)}, nil)
			now := Time(time.Hour)
			if c.stale {
				balancer.Handle(now-time.Minute, &Event{Kind: ListMissed, Since: now - time.Minute}, nil)
			}
			balancer.now = now
			for n := range c.proven {
				e := balancer.endpoints.ready[count-1-n]
				e.servedSentAt, e.evidence = now, evidence{lastServed: now, steadySince: now - 30*time.Second}
			}
			r := &request{}
			for b.Loop() {
				balancer.pick(r)
			}
		})
	}
}
