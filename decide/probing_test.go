package decide

import (
	"testing"
	"time"
)

// probingSettings returns settings with endpoints that report their load to probes.
func probingSettings() Settings {
	set := testSettings()
	set.Entry, set.Limits.Probing = PerCaller, true
	set.Report = Report{Mode: ReportWithProbes, Fields: []LoadField{Outstanding, Utilization}}
	return set
}

// reportLoad answers a probe with a load report.
func (s *script) reportLoad(id EndpointID, outstanding, utilization float64) []Action {
	s.t.Helper()
	return s.event(Event{
		Kind: ProbeFinished, Endpoint: id, Outcome: Served, Latency: ms,
		Load: Load{Outstanding: outstanding, Utilization: utilization},
	})
}

// Guards against an even share of the limit where a few instances carry most of the traffic: it refused a fifth of the requests on a quiet
// day.
func TestProbingIsNotLimitedToAnEvenShare(t *testing.T) {
	set := probingSettings()
	set.Peers = 700
	s := start(t, set, two()...)
	s.expect(s.arrive(1, "read"), Probe, Probe)
	s.expect(s.reportLoad(1, 0, 0.1))
	s.expect(s.reportLoad(2, 0, 0.1), Send)
	for id := RequestID(2); id < 12; id++ { // far more than this instance's share: 3 attempts for each endpoint among 700 peers
		s.after(20 * ms)
		for _, a := range s.arrive(id, "read") {
			if a.Kind != Probe {
				t.Fatalf("request %d: %+v, want probes first", id, a)
			}
			for _, b := range s.reportLoad(a.Endpoint, 0, 0.1) {
				if b.Kind != Send {
					t.Fatalf("request %d: %+v, want it sent", id, b)
				}
			}
		}
		s.after(5 * ms).tick()
		if got := s.b.pending[id]; got == nil || got.unsettled != 1 {
			t.Fatalf("request %d is not in flight though endpoints are idle", id)
		}
	}
}

// Of two endpoints that have answered, the one with fewer requests outstanding is picked, whatever this instance has in flight itself.
func TestProbingPicksTheLessBusyEndpoint(t *testing.T) {
	for busy := EndpointID(1); busy <= 2; busy++ {
		s := start(t, probingSettings(), two()...)
		s.expect(s.arrive(1, "read"), Probe, Probe)
		s.expect(s.reportLoad(busy, 2, 0.5))
		if got := s.expect(s.reportLoad(3-busy, 0, 0.1), Send)[0]; got.Endpoint != 3-busy {
			t.Errorf("sent to %d, which reported two outstanding requests, not to the idle %d", got.Endpoint, 3-busy)
		}
	}
}

// A request for which no endpoint has a slot is queued, and refused as soon as it can hardly meet its aim.
func TestProbingRefusesOnceTheAimCannotBeMet(t *testing.T) {
	set := probingSettings()
	set.Classes[0].LateShare = 0
	s := start(t, set, two()...)
	s.expect(s.arrive(1, "read"), Probe, Probe)
	s.reportLoad(1, 50, 1)
	s.reportLoad(2, 50, 1)
	for s.now < time.Hour+200*ms-s.b.settings.Tick {
		s.after(5 * ms)
		for _, a := range s.tick() {
			switch a.Kind {
			case Probe:
				s.reportLoad(a.Endpoint, 50, 1)
			case Refuse:
				t.Fatalf("refused %v after its arrival, though it could still meet its aim", s.now-time.Hour)
			default:
				t.Fatalf("%+v though all are full", a)
			}
		}
	}
	s.expect(s.after(5*ms).tick(), Refuse)
}

// The busier endpoints report to be, the more slots requests of low worth leave to those of high worth.
func TestBusyEndpointsKeepSlotsForHigherWorth(t *testing.T) {
	set := probingSettings()
	set.Peers = 1
	s := start(t, set, two()...)
	full := s.b.admission.perEndpoint // slots at the start
	scan, read := &request{class: s.b.classes["scan"], value: 1}, &request{class: s.b.classes["read"], value: 2}
	e := s.b.endpoints.byID[1]
	e.reportedAt, e.load = s.now, Load{Outstanding: 0.6 * full, Utilization: 1}
	s.b.now = s.now
	s.b.endpoints.utilization = 0.5
	if !s.b.hasSlot(scan, e) || !s.b.hasSlot(read, e) {
		t.Error("endpoints are half idle, but a request gets no slot")
	}
	s.b.endpoints.utilization = 1
	if s.b.hasSlot(scan, e) || !s.b.hasSlot(read, e) {
		t.Error("endpoints are busy, but the slot is not kept for the higher worth")
	}
	e.state = Draining
	if s.b.hasSlot(read, e) {
		t.Error("a draining endpoint has a slot")
	}
}

// Where probes are costly, one endpoint is probed at a time, and the first that answers gets the request.
func TestCostlyProbesGoOneByOne(t *testing.T) {
	set := probingSettings()
	set.Prices.Probe, set.Report = 0.01, Report{Mode: ReportWithAnswers, Fields: []LoadField{Utilization}}
	s := start(t, set, two()...)
	first := s.expect(s.arrive(1, "read"), Probe)[0].Endpoint
	second := s.expect(s.after(30*ms).tick(), Probe)[0].Endpoint
	if first == second {
		t.Fatalf("endpoint %d is probed twice", first)
	}
	if got := s.expect(s.reportLoad(second, -1, 0.9), Send)[0]; got.Endpoint != second {
		t.Errorf("sent to %d, not to %d which has answered", got.Endpoint, second)
	}
	s.expect(s.arrive(2, "read"))
	if got := s.expect(s.reportLoad(first, -1, 0.9), Send)[0]; got.Request != 2 || got.Endpoint != first {
		t.Errorf("%+v, want the answer of %d used for the next request", got, first)
	}
}

// Guards against a timer of its own for each queued request: each timer set further ones, which made a second of events for each request.
func TestManyQueuedRequestsNeedFewTimers(t *testing.T) {
	s := start(t, probingSettings(), two()...)
	for id := RequestID(1); id <= 50; id++ {
		s.after(ms).arrive(id, "read")
	}
	wakes := 0
	for range 200 {
		s.after(ms)
		for _, a := range s.b.Handle(s.now, &Event{Kind: TimerDue}, nil) {
			if a.Kind == SetTimer {
				wakes++
			}
		}
	}
	if wakes > 200 || len(s.b.timers.heap) > 300 {
		t.Errorf("%d wakes in 200 ms, %d timers pending", wakes, len(s.b.timers.heap))
	}
}

// A request too heavy to meet its aim still earns something when late: refusing it on a quiet day costs most.
func TestRequestTooHeavyForItsAimIsNotRefused(t *testing.T) {
	set := probingSettings()
	set.HintsWork = true
	s := start(t, set, two()...)
	s.b.classes["read"].latency = latencyModel{mean: 0, baseline: 0, count: meanCount} // a second of latency for a second of work
	heavy := s.event(Event{Kind: Arrived, Request: 1, Class: "read", Work: 300 * ms, Grace: time.Second})
	s.expect(heavy, Probe, Probe)
	s.reportLoad(1, 0, 0.1)
	s.expect(s.reportLoad(2, 0, 0.1), Send)
	s.b.admission.unplaced = 0.5 // many find no slot: it would take one from requests that can be in time
	s.after(50 * ms)
	heavy = s.event(Event{Kind: Arrived, Request: 2, Class: "read", Work: 300 * ms, Grace: time.Second})
	if n := len(heavy); n == 0 || heavy[n-1].Kind != Refuse {
		t.Errorf("%+v, want it refused at once", heavy)
	}
}

// Guards against the sum of hundreds of floors, which was twelve times a tenth of the traffic.
func TestRefillFloorIsSharedByPeers(t *testing.T) {
	set := testSettings()
	set.Entry, set.Peers = PerCaller, 700
	b, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	if sum := b.bucket.floor * 700; sum > floorPeers*floorRate*1.01 {
		t.Errorf("the floor of all peers is %v a second", sum)
	}
	if b.bucket.burst < 1 {
		t.Errorf("the bucket holds %v: it can never fund a retry", b.bucket.burst)
	}
	set.Entry = Pooled
	if b, err = New(set, 1); err != nil || b.bucket.floor != floorRate || b.bucket.burst != floorBurst {
		t.Errorf("a pool's floor is %v up to %v (%v)", b.bucket.floor, b.bucket.burst, err)
	}
}

// Guards against attempts beyond the limit: a hedged request that waited for a slot was funded again at each check, and all of its attempts
// were sent.
func TestHedgeThatWaitsForASlotIsNotFundedTwice(t *testing.T) {
	set := probingSettings()
	set.Limits.Hedging, set.Limits.MaxAttempts = true, 2
	s := start(t, set, two()...)
	s.expect(s.arrive(1, "read"), Probe, Probe)
	s.reportLoad(1, 0, 0.1)
	s.expect(s.reportLoad(2, 0, 0.1), Send)
	r := s.b.pending[1]
	s.now += 100 * ms
	s.b.now = s.now
	s.b.retry(r) // the hedge: funded, and queued until an endpoint has a slot
	tokens := s.b.bucket.tokens
	s.b.retry(r)
	if n := len(s.b.admission.queue); n != 1 || s.b.bucket.tokens != tokens || r.done {
		t.Errorf("queued %d times, %v tokens of %v, done: %v", n, s.b.bucket.tokens, tokens, r.done)
	}
	s.now += time.Second
	s.event(Event{Kind: Finished, Request: 1, Outcome: TimedOut, Latency: time.Second})
	if !r.done {
		t.Error("the request's time is up, and it has no final answer")
	}
}

// Where callers share a pool, an even share of the limit works better than probes: probing cost two deployments two thirds of what they
// could serve.
func TestPooledInstancesDoNotProbe(t *testing.T) {
	set := probingSettings()
	set.Entry = Pooled
	s := start(t, set, two()...)
	s.expect(s.arrive(1, "read"), Send)
}
