package shadow

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"heathgap/decide"
)

const ms = time.Millisecond

func settings() decide.Settings {
	return decide.Settings{
		Peers: 2, Zone: "z", Front: true, Tick: 2 * ms,
		Classes: []decide.Class{
			{Name: "look", Aim: 200 * ms, Deadline: time.Second, Worth: 1, LateShare: 0.5, Effect: decide.Safe},
			{Name: "burn", Aim: 200 * ms, Deadline: time.Second, Worth: 3, LateShare: 0.5, Effect: decide.Unsafe},
		},
		Limits: decide.Limits{Cancel: true, MaxAttempts: 3, Hedging: true},
		Rules:  decide.Rules{ColdShare: 0.2, ColdTime: 10 * time.Second, DrainGrace: time.Second},
	}
}

// probingSettings are settings under which endpoints are probed before a request is sent.
func probingSettings() decide.Settings {
	set := settings()
	set.Entry, set.Peers, set.Limits.Probing = decide.PerCaller, 100, true
	set.Report = decide.Report{Mode: decide.ReportWithProbes, Fields: []decide.LoadField{decide.Outstanding}}
	return set
}

func balancer(t *testing.T, set decide.Settings) *decide.Balancer {
	t.Helper()
	b, err := decide.New(set, 7)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// runRandomEvents passes random events to a decider, among them the outcomes of its attempts, and returns all its
// actions.
func runRandomEvents(d Decider, seed uint64) [][]decide.Action {
	rng := rand.New(rand.NewPCG(seed, 1))
	now := decide.Time(time.Hour)
	type attemptInFlight struct {
		id      decide.RequestID
		attempt int
		to      decide.EndpointID
		at      decide.Time
	}
	var all [][]decide.Action
	var inFlight []attemptInFlight
	attempts := map[decide.RequestID]int{}
	done := map[decide.RequestID]bool{}
	due := decide.Time(0)
	handle := func(ev decide.Event) {
		actions := d.Handle(now, &ev, nil)
		all = append(all, append([]decide.Action(nil), actions...))
		for _, a := range actions {
			switch a.Kind {
			case decide.Send:
				inFlight = append(inFlight, attemptInFlight{a.Request, attempts[a.Request], a.Endpoint, now + time.Duration(rng.IntN(300))*ms})
				attempts[a.Request]++
			case decide.Refuse, decide.Fail:
				done[a.Request] = true
			case decide.SetTimer:
				due = now + a.After
			}
		}
	}
	handle(decide.Event{Kind: decide.Start})
	var list []decide.Endpoint
	for i := range 6 {
		list = append(list, decide.Endpoint{ID: decide.EndpointID(i + 1), Zone: "z", Weight: 1})
	}
	handle(decide.Event{Kind: decide.ListReplaced, Endpoints: list})
	for id := decide.RequestID(1); id < 1500; {
		now += time.Duration(rng.IntN(4)) * ms
		if due > 0 && now >= due {
			due = 0
			handle(decide.Event{Kind: decide.TimerDue})
		}
		for i := 0; i < len(inFlight); i++ {
			if o := inFlight[i]; o.at <= now {
				inFlight = append(inFlight[:i], inFlight[i+1:]...)
				i--
				outcome := decide.Outcome(rng.IntN(7))
				done[o.id] = done[o.id] || outcome == decide.Served
				handle(decide.Event{
					Kind: decide.Finished, Request: o.id, Attempt: o.attempt, Endpoint: o.to, Outcome: outcome,
					Latency: 100 * ms, RequestDone: done[o.id],
				})
			}
		}
		switch rng.IntN(20) {
		case 0:
			handle(decide.Event{Kind: decide.ClientLeft, Request: decide.RequestID(rng.Uint64N(uint64(id)) + 1)})
		default:
			class := []string{"look", "burn"}[rng.IntN(2)]
			handle(decide.Event{Kind: decide.Arrived, Request: id, Class: class, Grace: time.Second})
			id++
		}
	}
	return all
}

// Guards against a shadow that influences the deciding balancer: the same events bring the same actions with and
// without it.
func TestShadowChangesNothing(t *testing.T) {
	for seed := range uint64(20) {
		comparison, err := New(balancer(t, settings()), probingSettings(), 99)
		if err != nil {
			t.Fatal(err)
		}
		alone, compared := runRandomEvents(balancer(t, settings()), seed), runRandomEvents(comparison, seed)
		if !reflect.DeepEqual(alone, compared) {
			t.Fatalf("seed %d: other actions with a shadow than without", seed)
		}
		c := comparison.Counts()
		if c.Followed == 0 || c.Probes == 0 || c.SentElsewhere == 0 {
			t.Errorf("seed %d: no difference was counted: %+v", seed, c)
		}
		if len(comparison.followed) > 300 || len(comparison.inFlight) > 6 {
			t.Errorf("seed %d: %d followed requests and %d in-flight counts are left", seed, len(comparison.followed), len(comparison.inFlight))
		}
	}
}

// With the same settings and seed there is no difference at all.
func TestSameSettingsAgree(t *testing.T) {
	comparison, err := New(balancer(t, settings()), settings(), 7)
	if err != nil {
		t.Fatal(err)
	}
	runRandomEvents(comparison, 3)
	c := comparison.Counts()
	if c.Same < 1000 {
		t.Errorf("%d actions were the same, want at least 1000", c.Same)
	}
	if n := c.SentElsewhere + c.Sent + c.Retried + c.Pending + c.Refused + c.Failed + c.Canceled; n > 0 {
		t.Errorf("differences between equal balancers: %+v", c)
	}
}

// Each kind of difference is counted by what the shadow would have done.
func TestDifferenceKinds(t *testing.T) {
	one := []decide.Endpoint{{ID: 1, Zone: "z", Weight: 1}}
	arrive := decide.Event{Kind: decide.Arrived, Request: 1, Class: "look", Grace: time.Second}
	for name, c := range map[string]struct {
		change func(real, shadow *decide.Settings)
		events []decide.Event
		want   Counts
	}{
		"retried": {
			func(real, _ *decide.Settings) { real.Limits.MaxAttempts = 1 },
			[]decide.Event{arrive, {Kind: decide.Finished, Request: 1, Endpoint: 1, Outcome: decide.ServerError, Latency: ms}},
			Counts{Followed: 1, Same: 1, Retried: 1},
		},
		"refused": {
			func(_, shadow *decide.Settings) { shadow.Limits.MaxAttempts = 1 },
			[]decide.Event{arrive, {Kind: decide.Finished, Request: 1, Endpoint: 1, Outcome: decide.ServerError, Latency: ms}},
			Counts{Followed: 1, Same: 1, Refused: 1},
		},
		"failed": {
			func(_, shadow *decide.Settings) { shadow.Classes[0].Effect = decide.Unsafe },
			[]decide.Event{arrive, {Kind: decide.Finished, Request: 1, Endpoint: 1, Outcome: decide.ServerError, Latency: ms}},
			Counts{Followed: 1, Same: 1, Failed: 1},
		},
	} {
		real, shadow := settings(), settings()
		c.change(&real, &shadow)
		comparison, err := New(balancer(t, real), shadow, 99)
		if err != nil {
			t.Fatal(err)
		}
		comparison.Handle(time.Hour, &decide.Event{Kind: decide.ListReplaced, Endpoints: one}, nil)
		for i := range c.events {
			comparison.Handle(time.Hour, &c.events[i], nil)
		}
		if got := comparison.Counts(); got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}

// Guards against entries that are never removed: the outcome at an endpoint that has left the list names no endpoint.
func TestOutcomeWithoutAnEndpoint(t *testing.T) {
	comparison, err := New(balancer(t, settings()), probingSettings(), 99)
	if err != nil {
		t.Fatal(err)
	}
	for _, ev := range []decide.Event{
		{Kind: decide.ListReplaced, Endpoints: []decide.Endpoint{{ID: 7, Zone: "z", Weight: 1}}},
		{Kind: decide.Arrived, Request: 1, Class: "look", Grace: time.Second},
		{Kind: decide.Finished, Request: 1, Outcome: decide.TimedOut, Latency: time.Second, RequestDone: true},
	} {
		comparison.Handle(time.Hour, &ev, nil)
	}
	if len(comparison.followed) != 0 || len(comparison.inFlight) != 0 {
		t.Errorf("%d followed requests and %d in-flight counts are left", len(comparison.followed), len(comparison.inFlight))
	}
}

func TestBadSettings(t *testing.T) {
	if _, err := New(balancer(t, settings()), decide.Settings{}, 1); err == nil {
		t.Error("settings without classes were accepted")
	}
}
