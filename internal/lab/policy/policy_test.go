package policy

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"heathgap/decide"
)

const ms = time.Millisecond

func settings() decide.Settings {
	class := func(name string, e decide.Effect) decide.Class {
		return decide.Class{Name: name, Effect: e, Aim: 100 * ms, Deadline: time.Second}
	}
	return decide.Settings{
		MustPoll: true, Limits: decide.Limits{Cancel: true, MaxAttempts: 3},
		Classes: []decide.Class{class("look", decide.Safe), class("pay", decide.Keyed), class("burn", decide.Unsafe)},
	}
}

// Whatever happens, a baseline ends each request once, sends nothing for it afterwards, repeats no keyed or unsafe
// request that may have run, and sends nothing to a draining endpoint.
func TestBaselinesKeepTheRules(t *testing.T) {
	for _, name := range Baselines() {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { checkRules(t, name) })
		})
	}
}

// trackedRequest is what the test knows of a request.
type trackedRequest struct {
	class             string
	inFlight          map[int]decide.EndpointID
	sent              int
	ended, mayHaveRun bool
}

// checkRules feeds random events to a policy and checks its actions.
func checkRules(t *rapid.T, name string) {
	p, err := newPicker(settings(), 1, kinds[name])
	if err != nil {
		t.Fatal(err)
	}
	requests := map[decide.RequestID]*trackedRequest{}
	state := map[decide.EndpointID]decide.EndpointState{}
	now, last := decide.Time(0), decide.RequestID(0)
	handle := func(ev decide.Event) {
		for _, a := range p.Handle(now, &ev, nil) {
			q := requests[a.Request]
			switch a.Kind {
			case decide.Send:
				if q.ended || state[a.Endpoint] != decide.Active {
					t.Fatalf("sent to endpoint %d in state %v, request ended: %v", a.Endpoint, state[a.Endpoint], q.ended)
				}
				if q.class != "look" && (q.mayHaveRun || len(q.inFlight) > 0) {
					t.Fatalf("%s sent again though it may have run", q.class)
				}
				q.inFlight[q.sent] = a.Endpoint
				q.sent++
			case decide.Refuse, decide.Fail:
				if q.ended || a.Kind == decide.Refuse && q.mayHaveRun {
					t.Fatalf("ended twice, or refused what may have run: %+v", a)
				}
				q.ended = true
			}
		}
	}
	publishList := func() {
		var lines []decide.Endpoint
		for id := range decide.EndpointID(4) {
			state[id] = decide.EndpointState(rapid.IntRange(0, 2).Draw(t, "state"))
			lines = append(lines, decide.Endpoint{ID: id, State: state[id]})
		}
		handle(decide.Event{Kind: decide.ListChanged, Endpoints: lines})
	}
	handle(decide.Event{Kind: decide.Start})
	publishList()
	for range rapid.IntRange(1, 100).Draw(t, "steps") {
		now += time.Duration(rapid.IntRange(0, 50).Draw(t, "pause")) * ms
		switch rapid.IntRange(0, 4).Draw(t, "kind") {
		case 0, 1:
			last++
			class := rapid.SampledFrom([]string{"look", "pay", "burn"}).Draw(t, "class")
			requests[last] = &trackedRequest{class: class, inFlight: map[int]decide.EndpointID{}}
			handle(decide.Event{Kind: decide.Arrived, Request: last, Class: class, Grace: time.Second})
		case 2, 3:
			if last == 0 {
				break
			}
			id := decide.RequestID(rapid.IntRange(1, int(last)).Draw(t, "request"))
			q := requests[id]
			n := q.sent - 1
			if _, out := q.inFlight[n]; !out {
				break
			}
			delete(q.inFlight, n)
			o := decide.Outcome(rapid.IntRange(0, int(decide.NotSent)).Draw(t, "outcome"))
			q.mayHaveRun = q.mayHaveRun || !o.NeverRan()
			ended := q.ended || o == decide.Served
			q.ended = ended
			handle(decide.Event{Kind: decide.Finished, Request: id, Attempt: n, Outcome: o, RequestDone: ended})
		case 4:
			publishList()
		}
	}
	for id, q := range requests {
		if !q.ended && len(q.inFlight) == 0 {
			t.Fatalf("request %d has neither ended nor an attempt in flight", id)
		}
	}
	for id, n := range p.inFlight {
		if n <= 0 {
			t.Fatalf("endpoint %d has %d attempts in flight", id, n)
		}
	}
}

// The budget limits retries to its tokens at the start as long as no attempt is served.
func TestRetryBudget(t *testing.T) {
	sent := func(name string) int {
		p, err := newPicker(settings(), 1, kinds[name])
		if err != nil {
			t.Fatal(err)
		}
		p.Handle(0, &decide.Event{Kind: decide.ListReplaced, Endpoints: []decide.Endpoint{{ID: 1}}}, nil)
		n := 0
		for id := decide.RequestID(1); id <= 100; id++ {
			actions := p.Handle(0, &decide.Event{Kind: decide.Arrived, Request: id, Class: "look", Grace: time.Second}, nil)
			for attempt := 0; len(actions) > 0 && actions[0].Kind == decide.Send; attempt++ {
				n++
				actions = p.Handle(0, &decide.Event{Kind: decide.Finished, Request: id, Attempt: attempt, Outcome: decide.ServerError}, nil)
			}
		}
		return n
	}
	if n := sent("least"); n != 300 {
		t.Errorf("without a budget: %d attempts, want 300", n)
	}
	if n := sent("least-budget"); n != 100+maxTokens {
		t.Errorf("with a budget: %d attempts, want %v", n, 100+maxTokens)
	}
}

func TestNames(t *testing.T) {
	names := Names()
	if names[0] != Module || len(names) != len(kinds)+1 {
		t.Errorf("names %q", names)
	}
	for _, name := range names {
		if _, err := ByName(name); err != nil || About(name) == "" {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := ByName("none"); err == nil {
		t.Error("an unknown policy is accepted")
	}
}
