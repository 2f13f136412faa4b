package pipeline

import (
	"slices"
	"strings"
	"testing"

	"heathgap/decide"
	"heathgap/internal/httpwire"
	"heathgap/internal/state"
)

// toldRules say what a test has them say.
type toldRules struct{ acting *EffectiveRules }

// Effective is Rules'.
func (r *toldRules) Effective() *EffectiveRules { return r.acting }

// heedEngine is an engine in a crew, with the events that its module is told.
func heedEngine(t *testing.T) (*Engine, *toldRules, *[]decide.Event) {
	t.Helper()
	e := testEngine(t)
	rules := &toldRules{&EffectiveRules{Generation: 1, Dynamic: &decide.DynamicSettings{MaxAttempts: 1}}}
	e.SetRules(rules)
	told := &[]decide.Event{}
	e.balancer = tapped{e.balancer, told}
	return e, rules, told
}

type tapped struct {
	Decider
	told *[]decide.Event
}

// Handle is Decider's.
func (d tapped) Handle(now decide.Time, ev *decide.Event, out []decide.Action) []decide.Action {
	*d.told = append(*d.told, *ev)
	return d.Decider.Handle(now, ev, out)
}

// Guards against an attempt that was decided on under rules that are no more, and written after a pause: a repeat, or
// anything to an endpoint that has been banned since.
func TestRulesAreLookedAtWhereItIsWritten(t *testing.T) {
	e, rules, _ := heedEngine(t)
	to := &state.Endpoint{ListedEndpoint: httpwire.ListedEndpoint{Name: "e"}}
	for _, c := range []struct {
		name   string
		number int
		now    EffectiveRules
		want   bool
	}{
		{"the same rules", 1, EffectiveRules{Generation: 1}, true},
		{"a repeat under rules that are no more", 1, EffectiveRules{Generation: 2}, false},
		{"a first attempt", 0, EffectiveRules{Generation: 2}, true},
		{"its endpoint is banned", 0, EffectiveRules{Generation: 2, Banned: map[string]bool{"e": true}}, false},
	} {
		rules.acting = &c.now
		if got := e.rulesAllowWrite(&state.Attempt{Number: c.number, Endpoint: to, Generation: 1}); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// What holds is told to the module ahead of what comes next; bans of the crew and by hand stand beside each other.
func TestHeed(t *testing.T) {
	e, rules, told := heedEngine(t)
	kinds := func() (out []decide.EventKind) {
		for _, ev := range *told {
			out = append(out, ev.Kind)
		}
		*told = nil
		return out
	}
	hand := func(on bool) error {
		c := banCall{name: "e", on: on, known: true, done: make(chan error, 1)}
		c.handle(e)
		return <-c.done
	}
	next := func(banned ...string) {
		a := &EffectiveRules{Generation: rules.acting.Generation + 1, Dynamic: &decide.DynamicSettings{MaxAttempts: 1}, Banned: map[string]bool{}}
		for _, name := range banned {
			a.Banned[name] = true
		}
		rules.acting = a
		e.notifyModule(decide.Event{Kind: decide.TimerDue})
	}
	const due = decide.TimerDue
	for i, step := range []struct {
		do   func()
		want []decide.EventKind
	}{
		{func() { next() }, []decide.EventKind{decide.SettingsChanged, due}},
		{func() { e.notifyModule(decide.Event{Kind: due}) }, []decide.EventKind{due}},
		{func() { next("e") }, []decide.EventKind{decide.SettingsChanged, decide.Banned, due}},
		{func() { hand(true) }, nil},
		{func() { next() }, []decide.EventKind{decide.SettingsChanged, due}}, // by hand it stays banned
		{func() { hand(false) }, []decide.EventKind{decide.Unbanned}},
		{func() { next("e") }, []decide.EventKind{decide.SettingsChanged, decide.Banned, due}},
		{func() {
			if err := hand(false); err == nil || !strings.Contains(err.Error(), "propose one without") {
				t.Errorf("the crew's ban was lifted by hand: %v", err)
			}
		}, nil},
		{func() { next() }, []decide.EventKind{decide.SettingsChanged, decide.Unbanned, due}},
	} {
		step.do()
		if got := kinds(); !slices.Equal(got, step.want) {
			t.Errorf("step %d: %v, want %v", i, got, step.want)
		}
	}
}

// Cut off, endpoints that come new to the list wait until the lease is back; those that are known still drain.
func TestWithhold(t *testing.T) {
	e, rules, _ := heedEngine(t)
	list := func(whole bool, names ...string) *httpwire.List {
		l := &httpwire.List{Whole: whole}
		for _, name := range names {
			l.Endpoints = append(l.Endpoints, httpwire.ListedEndpoint{Name: name, Address: "127.0.0.1:9"})
		}
		return l
	}
	names := func() (out []string) {
		for _, l := range e.endpoints.List() {
			out = append(out, l.Name)
		}
		return out
	}
	say := func(cautious bool) {
		rules.acting = &EffectiveRules{Generation: rules.acting.Generation + 1, Dynamic: &decide.DynamicSettings{MaxAttempts: 1}, Cautious: cautious}
	}
	say(true)
	e.applyList(list(true, "a", "b"), decide.ListReplaced) // a process's first list is taken whole
	e.applyList(list(false, "c"), decide.ListChanged)
	if got := names(); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("cut off: %v", got)
	}
	say(false)
	e.notifyModule(decide.Event{Kind: decide.TimerDue})
	if got := names(); !slices.Equal(got, []string{"a", "b", "c"}) {
		t.Errorf("whole again: %v", got)
	}
	say(true)
	e.applyList(list(false, "d"), decide.ListChanged)
	say(false)
	e.applyList(list(true, "a"), decide.ListReplaced) // d has left meanwhile
	if got := names(); !slices.Equal(got, []string{"a"}) || len(e.withheld) != 0 {
		t.Errorf("a whole list: %v, %v withheld", got, e.withheld)
	}
}
