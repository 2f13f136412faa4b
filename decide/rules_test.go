package decide

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// An observer checks the rules from outside, on events and actions alone. It delivers unusual but legal orders of events and checks each
// action, without any knowledge of how the module decides.

// observedRequest is what the observer knows of a request.
type observedRequest struct {
	class    Class
	deadline Time
	done     bool
	attempts []observedAttempt
}

type observedAttempt struct {
	to         Endpoint
	sentAt     Time
	settled    bool
	mayHaveRun bool
}

// observer checks actions against the rules.
type observer struct {
	t         testing.TB
	set       Settings
	b         *Balancer
	rng       *rand.Rand
	now       Time
	classes   map[string]Class
	list      map[EndpointID]Endpoint
	removedAt map[EndpointID]Time // when an endpoint was reported draining or gone
	requests  map[RequestID]*observedRequest
	open      []RequestID // in the order of arrival, done or not
	timers    []Time
	probes    []EndpointID // in flight
	next      RequestID
	trace     []Action
}

func newObserver(t testing.TB, set Settings, seed uint64) *observer {
	b, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	o := &observer{
		t: t, set: set, b: b, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, classes: map[string]Class{},
		list: map[EndpointID]Endpoint{}, removedAt: map[EndpointID]Time{}, requests: map[RequestID]*observedRequest{},
	}
	for _, c := range set.Classes {
		o.classes[c.Name] = c
	}
	return o
}

// deliver delivers an event and checks the actions that follow.
func (o *observer) deliver(e Event) {
	for _, a := range o.b.Handle(o.now, &e, nil) {
		o.trace = append(o.trace, a)
		switch a.Kind {
		case Send:
			o.checkSend(a)
		case Refuse, Fail:
			o.checkAnswer(a)
		case SetTimer:
			o.timers = append(o.timers, o.now+a.After)
		case Probe:
			if !o.set.Limits.Probing {
				o.t.Fatalf("at %v: a probe where none is allowed: %+v", o.now, a)
			}
			o.probes = append(o.probes, a.Endpoint)
		case Cancel:
			r := o.requests[a.Request]
			if r == nil || a.Attempt >= len(r.attempts) {
				o.t.Fatalf("cancel of an attempt that was never made: %+v", a)
			}
		}
	}
}

// checkSend checks that a Send keeps the rules, and records the attempt.
func (o *observer) checkSend(a Action) {
	r := o.requests[a.Request]
	if r == nil || r.done {
		o.t.Fatalf("at %v: sent for a request that is done or unknown: %+v", o.now, a)
	}
	to, ok := o.list[a.Endpoint]
	if !ok || to.State != Active {
		o.t.Fatalf("at %v: sent to an endpoint that is not active: %+v", o.now, a)
	}
	if len(r.attempts) >= o.set.Limits.MaxAttempts {
		o.t.Fatalf("at %v: attempt past the limit: %+v", o.now, a)
	}
	for _, old := range r.attempts {
		if !old.settled && !o.set.Limits.Hedging {
			o.t.Fatalf("at %v: two attempts in flight at once: %+v", o.now, a)
		}
		if !old.mayHaveRun {
			continue
		}
		switch r.class.Effect {
		case Unsafe:
			o.t.Fatalf("at %v: unsafe request sent again: %+v", o.now, a)
		case Keyed:
			same := r.class.Group == GroupAll ||
				r.class.Group == GroupZone && old.to.Zone == to.Zone ||
				r.class.Group == GroupCell && old.to.Cell == to.Cell
			if !same || o.now-old.sentAt > r.class.Window {
				o.t.Fatalf("at %v: keyed request sent outside its group or window: %+v", o.now, a)
			}
		}
	}
	r.attempts = append(r.attempts, observedAttempt{to: to, sentAt: o.now, mayHaveRun: true})
}

// checkAnswer checks that a final answer keeps the rules.
func (o *observer) checkAnswer(a Action) {
	r := o.requests[a.Request]
	if r == nil || r.done {
		o.t.Fatalf("at %v: a second final answer: %+v", o.now, a)
	}
	r.done = true
	if o.now > r.deadline+o.set.Rules.AnswerSlack {
		o.t.Fatalf("at %v: answered after the client's deadline: %+v", o.now, a)
	}
	ran := false
	for _, old := range r.attempts {
		ran = ran || old.mayHaveRun
	}
	harmless := r.class.Effect == Safe || r.class.Effect == Keyed && r.class.Group == GroupAll || !ran
	if a.Kind == Refuse && !harmless {
		o.t.Fatalf("at %v: refused though it may have run: %+v", o.now, a)
	}
}

// advance lets time pass in ticks and handles the timers and deadlines that come due.
func (o *observer) advance(d time.Duration) {
	for end := o.now + d; o.now < end; {
		o.now += o.set.Tick
		kept := o.timers[:0]
		due := false
		for _, at := range o.timers {
			if at <= o.now {
				due = true
			} else {
				kept = append(kept, at)
			}
		}
		o.timers = kept
		if due {
			o.deliver(Event{Kind: TimerDue})
		}
		o.checkDeadlines()
	}
}

// checkDeadlines ends the attempts in flight of requests whose deadline has passed, and checks that each of these requests has its final
// answer then.
func (o *observer) checkDeadlines() {
	for _, id := range o.open {
		r := o.requests[id]
		if r.done || o.now < r.deadline {
			continue
		}
		for i := range r.attempts {
			if !r.attempts[i].settled {
				o.finish(id, i, TimedOut)
			}
		}
		if !r.done {
			o.t.Fatalf("at %v: request %d got no final answer by %v", o.now, id, r.deadline)
		}
	}
}

func (o *observer) finish(id RequestID, attempt int, outcome Outcome) {
	r := o.requests[id]
	a := &r.attempts[attempt]
	a.settled, a.mayHaveRun = true, !outcome.NeverRan()
	if outcome == Served && !r.done {
		r.done = true
	}
	o.deliver(Event{
		Kind: Finished, Request: id, Attempt: attempt, Endpoint: a.to.ID, Outcome: outcome,
		Latency: o.now - a.sentAt, RequestDone: r.done,
	})
}

func (o *observer) arrive(class int, grace time.Duration) {
	o.next++
	name := "unheard of"
	c := Class{Effect: Unsafe}
	if class < len(o.set.Classes) {
		c = o.set.Classes[class]
		name = c.Name
	}
	o.requests[o.next] = &observedRequest{class: c, deadline: o.now + grace}
	o.open = append(o.open, o.next)
	tenant := []string{"big", "small", "", "stranger"}[o.rng.IntN(4)]
	o.deliver(Event{Kind: Arrived, Request: o.next, Class: name, Tenant: tenant, Grace: grace, Repeat: o.rng.IntN(4) == 0})
}

// settleOne gives an outcome to one attempt in flight.
func (o *observer) settleOne(pick int, outcome Outcome) {
	for i := range o.open {
		id := o.open[(i+pick)%len(o.open)]
		for j := range o.requests[id].attempts {
			if !o.requests[id].attempts[j].settled {
				o.finish(id, j, outcome)
				return
			}
		}
	}
}

// changeList changes one line of the list, or replaces the list.
func (o *observer) changeList(id EndpointID, how int) {
	line := Endpoint{ID: id, Zone: []string{"a", "b"}[id%2], Cell: int(id / 2), Weight: 1}
	if old, ok := o.list[id]; ok {
		line.Started = old.Started
	}
	switch how {
	case 0:
		line.State = Draining
	case 1:
		line.State = Gone
	case 2:
		line.Started = o.now
	case 3:
		o.deliver(Event{Kind: ListFailed})
		return
	case 4: // the full list without one endpoint
		delete(o.list, id)
		var lines []Endpoint
		for other := EndpointID(0); other < 12; other++ {
			if e, ok := o.list[other]; ok {
				lines = append(lines, e)
			}
		}
		o.deliver(Event{Kind: ListReplaced, Endpoints: lines})
		return
	}
	if line.State == Gone {
		delete(o.list, id)
	} else {
		o.list[id] = line
	}
	o.deliver(Event{Kind: ListChanged, Endpoints: []Endpoint{line}})
}

// answerProbes answers some of the probes in flight, or lets them fail.
func (o *observer) answerProbes() {
	for len(o.probes) > 0 && o.rng.IntN(3) > 0 {
		id := o.probes[0]
		o.probes = o.probes[1:]
		e := Event{Kind: ProbeFinished, Endpoint: id, Outcome: Outcome(max(0, o.rng.IntN(9)-4)), Latency: ms}
		if e.Outcome == Served {
			e.Load = o.set.Report.Read([]float64{float64(o.rng.IntN(8)), o.rng.Float64()})
		}
		o.deliver(e)
	}
}

// step turns two bytes into something that may legally happen next.
func (o *observer) step(what, detail byte) {
	d := int(detail)
	o.answerProbes()
	switch what % 16 {
	case 0, 1, 2, 3, 4:
		o.arrive(d%(len(o.set.Classes)+1), time.Duration(1+d)*5*ms)
	case 5, 6, 7:
		o.settleOne(d, Served)
	case 8, 9, 10:
		o.settleOne(d, Outcome(1+d%7))
	case 11:
		o.changeList(EndpointID(d%12), d/12%6)
	case 12:
		if len(o.open) > 0 {
			id := o.open[d%len(o.open)]
			o.requests[id].done = true
			o.deliver(Event{Kind: ClientLeft, Request: id})
		}
	case 13:
		o.deliver(Event{Kind: Finished, Request: RequestID(d) + 1<<40, Attempt: d})
	default:
		o.advance(time.Duration(d) * ms)
	}
}

// finishUp lets every deadline pass, and checks that the module keeps nothing.
func (o *observer) finishUp() {
	o.advance(2 * time.Second)
	for _, id := range o.open {
		r := o.requests[id]
		for i := range r.attempts {
			if !r.attempts[i].settled {
				o.finish(id, i, Canceled)
			}
		}
	}
	if n := len(o.b.pending); n != 0 {
		o.t.Fatalf("%d requests are still pending after everything has ended", n)
	}
	if o.b.admission.inFlight != 0 {
		o.t.Fatalf("%d attempts still count as in flight", o.b.admission.inFlight)
	}
}

// variant returns the test settings in one of several variants.
func variant(n uint64) Settings {
	set := testSettings()
	set.Limits.Hedging = n&1 != 0
	set.Front = n&2 == 0
	set.MustPoll = n&4 != 0
	set.Limits.Cancel = n&8 == 0
	set.Peers = 1 + int(n%3)
	if n&16 != 0 {
		set.Limits.Probing, set.Entry = true, PerCaller
		set.Report = Report{Mode: ReportWithProbes, Fields: []LoadField{Outstanding, Utilization}}
		if n&32 != 0 {
			set.Report, set.Prices.Probe = Report{Mode: ReportWithAnswers, Fields: []LoadField{OtherField, Utilization}}, 0.01
		}
	}
	return set
}

// runScript delivers the events that a script of bytes stands for to a new balancer, and lets them all end.
func runScript(t testing.TB, seed uint64, script []byte) *observer {
	o := newObserver(t, variant(seed), seed)
	for id := EndpointID(0); id < 6; id++ {
		o.list[id] = Endpoint{ID: id, Zone: []string{"a", "b"}[id%2], Cell: int(id / 2), Weight: 1}
	}
	o.deliver(Event{Kind: Start})
	var lines []Endpoint
	for id := EndpointID(0); id < 6; id++ {
		lines = append(lines, o.list[id])
	}
	o.deliver(Event{Kind: ListRestored, Endpoints: lines})
	for i := 0; i+1 < len(script); i += 2 {
		o.step(script[i], script[i+1])
	}
	o.finishUp()
	return o
}

func randomScript(seed uint64) []byte {
	rng := rand.New(rand.NewPCG(seed, 2))
	script := make([]byte, 600)
	for i := range script {
		script[i] = byte(rng.IntN(256))
	}
	return script
}

func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := range uint64(1200) {
		runScript(t, seed, randomScript(seed))
	}
}

func FuzzRules(f *testing.F) {
	for seed := range uint64(8) {
		f.Add(seed, randomScript(seed))
	}
	f.Fuzz(func(t *testing.T, seed uint64, script []byte) {
		if len(script) > 4000 {
			t.Skip("longer than a fuzzed script needs to be")
		}
		runScript(t, seed, script)
	})
}

func TestSameEventsSameActions(t *testing.T) {
	for seed := range uint64(20) {
		first, second := runScript(t, seed, randomScript(seed)), runScript(t, seed, randomScript(seed))
		if len(first.trace) == 0 {
			t.Fatal("the script led to no action")
		}
		if !reflect.DeepEqual(first.trace, second.trace) {
			t.Fatalf("seed %d: the same events led to different actions", seed)
		}
	}
}
