package decide

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings are plain settings with one class of each effect.
func testSettings() Settings {
	return Settings{
		Peers: 1,
		Zone:  "here",
		Front: true,
		Tick:  5 * ms,
		Classes: []Class{
			{Name: "read", Aim: 200 * ms, Deadline: 1000 * ms, Worth: 2, Effect: Safe},
			{Name: "scan", Aim: 200 * ms, Deadline: 1000 * ms, Worth: 1, Effect: Safe},
			{Name: "cell", Aim: 200 * ms, Deadline: 1000 * ms, Worth: 2, Effect: Keyed, Group: GroupCell, Window: 400 * ms},
			{Name: "zone", Aim: 200 * ms, Deadline: 1000 * ms, Worth: 2, Effect: Keyed, Group: GroupZone, Window: 400 * ms},
			{Name: "fleet", Aim: 200 * ms, Deadline: 1000 * ms, Worth: 2, Effect: Keyed, Group: GroupAll, Window: 400 * ms},
			{Name: "once", Aim: 200 * ms, Deadline: 1000 * ms, Worth: 2, Effect: Unsafe},
		},
		Limits: Limits{Cancel: true, MaxAttempts: 4, RetryAfter: true, MaxRetryAfter: time.Second},
		Rules: Rules{
			AnswerSlack: 20 * ms, AskEvery: 10 * time.Second, ColdShare: 0.2, ColdTime: 10 * time.Second,
			FallMultiple: 3, FallWindow: 2 * time.Second, DrainGrace: time.Second,
		},
	}
}

// bench drives a balancer with scripted events.
type bench struct {
	t   *testing.T
	b   *Balancer
	now Time
	all []Action
}

func start(t *testing.T, set Settings, endpoints ...Endpoint) *bench {
	t.Helper()
	b, err := New(set, 7)
	if err != nil {
		t.Fatal(err)
	}
	d := &bench{t: t, b: b, now: time.Hour}
	d.event(Event{Kind: Start})
	d.event(Event{Kind: ListRestored, Endpoints: endpoints})
	return d
}

// event hands over an event and returns the actions without timers.
func (d *bench) event(e Event) []Action {
	d.t.Helper()
	var seen []Action
	for _, a := range d.b.Handle(d.now, &e, nil) {
		if a.Kind != SetTimer {
			seen = append(seen, a)
		}
	}
	d.all = append(d.all, seen...)
	return seen
}

func (d *bench) after(t time.Duration) *bench {
	d.now += t
	return d
}

func (d *bench) arrive(id RequestID, class string) []Action {
	d.t.Helper()
	return d.event(Event{Kind: Arrived, Request: id, Class: class, Grace: time.Second})
}

func (d *bench) finish(id RequestID, attempt int, o Outcome) []Action {
	d.t.Helper()
	return d.event(Event{
		Kind: Finished, Request: id, Attempt: attempt, Outcome: o, Latency: 50 * ms, Over: o == Served,
	})
}

func (d *bench) tick() []Action { return d.event(Event{Kind: TimerDue}) }

// want checks the kinds of the actions.
func (d *bench) want(got []Action, kinds ...ActionKind) {
	d.t.Helper()
	ok := len(got) == len(kinds)
	for i := 0; ok && i < len(got); i++ {
		ok = got[i].Kind == kinds[i]
	}
	if !ok {
		d.t.Fatalf("at %v: got actions %+v, want kinds %v", d.now, got, kinds)
	}
}

func two() []Endpoint {
	return []Endpoint{{ID: 1, Zone: "here", Cell: 1, Weight: 1}, {ID: 2, Zone: "there", Cell: 2, Weight: 1}}
}

func TestFailureAfterTheEndTimerIsAnswered(t *testing.T) {
	d := start(t, testSettings(), two()...)
	d.want(d.arrive(1, "read"), Send)
	d.after(996 * ms).want(d.tick()) // the attempt is out: its own time-out will end it
	d.b.fleet.ready = nil            // nothing could take another attempt
	d.after(1*ms).want(d.finish(1, 0, Rejected), Refuse)
}
