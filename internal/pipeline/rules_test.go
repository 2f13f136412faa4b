package pipeline

import (
	"slices"
	"strings"
	"testing"

	"heathgap/decide"
	"heathgap/internal/httpwire"
	"heathgap/internal/state"
)

// fixedRules returns the rules that a test has set.
type fixedRules struct{ effective *EffectiveRules }

// Effective implements RulesSource.
func (r *fixedRules) Effective() *EffectiveRules { return r.effective }

// newClusterEngine returns an engine in a cluster, its rules, and the events that its module gets.
func newClusterEngine(t *testing.T) (*Engine, *fixedRules, *[]decide.Event) {
	t.Helper()
	e := newTestEngine(t)
	rules := &fixedRules{&EffectiveRules{Generation: 1, Dynamic: &decide.DynamicSettings{MaxAttempts: 1}}}
	e.SetRules(rules)
	events := &[]decide.Event{}
	e.balancer = eventRecorder{e.balancer, events}
	return e, rules, events
}

type eventRecorder struct {
	Decider
	events *[]decide.Event
}

// Handle implements Decider.
func (d eventRecorder) Handle(now decide.Time, ev *decide.Event, out []decide.Action) []decide.Action {
	*d.events = append(*d.events, *ev)
	return d.Decider.Handle(now, ev, out)
}

// Guards against an attempt that was decided on under rules that are no longer in effect and is written after a pause of the process:
// a further attempt, or any attempt to an endpoint that has been banned since.
func TestRulesAreCheckedBeforeWriting(t *testing.T) {
	e, rules, _ := newClusterEngine(t)
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
		rules.effective = &c.now
		if got := e.rulesAllowWrite(&state.Attempt{Number: c.number, Endpoint: to, Generation: 1}); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// Guards against an id that comes again and is taken for a new one, whatever the rules in effect say of its class: a version may say of a
// class, repeatable by the sidecar's own file, that its requests run once.
func TestIDsAreClaimedByTheRulesInEffect(t *testing.T) {
	e, rules, _ := newClusterEngine(t)
	e.conf.Classes = map[string]decide.Class{"look": {Name: "look", Effect: decide.Safe}}
	under := func(effect decide.Effect) {
		rules.effective = &EffectiveRules{Generation: 2, Dynamic: &decide.DynamicSettings{Classes: map[string]decide.DynamicClass{"look": {Effect: effect}}}}
	}
	arrive := func(id string) *httpwire.Request { return &httpwire.Request{ID: id, Class: "look"} }
	if !e.claimID(arrive("1")) || e.claimID(arrive("1")) {
		t.Error("an id of a repeatable class is not new exactly once")
	}
	under(decide.Unsafe)
	if e.claimID(arrive("1")) || !e.claimID(arrive("2")) || e.claimID(arrive("2")) {
		t.Error("an id is not new exactly once, though the version says that its request may run once")
	}
	if _, known := e.ids.once.lookUp(hashOfID("2")); !known {
		t.Error("its id is not among those that may not run twice")
	}
}

// The module gets changed rules before any other event. Bans of the cluster and bans by hand are independent of each other.
func TestRuleChangesReachTheModuleFirst(t *testing.T) {
	e, rules, events := newClusterEngine(t)
	kinds := func() (out []decide.EventKind) {
		for _, ev := range *events {
			out = append(out, ev.Kind)
		}
		*events = nil
		return out
	}
	banByHand := func(on bool) error {
		c := banCall{name: "e", on: on, known: true, done: make(chan error, 1)}
		c.handle(e)
		return <-c.done
	}
	banByCluster := func(banned ...string) {
		a := &EffectiveRules{Generation: rules.effective.Generation + 1, Dynamic: &decide.DynamicSettings{MaxAttempts: 1}, Banned: map[string]bool{}}
		for _, name := range banned {
			a.Banned[name] = true
		}
		rules.effective = a
		e.notifyModule(decide.Event{Kind: decide.TimerDue})
	}
	const due = decide.TimerDue
	for i, step := range []struct {
		do   func()
		want []decide.EventKind
	}{
		{func() { banByCluster() }, []decide.EventKind{decide.SettingsChanged, due}},
		{func() { e.notifyModule(decide.Event{Kind: due}) }, []decide.EventKind{due}},
		{func() { banByCluster("e") }, []decide.EventKind{decide.SettingsChanged, decide.Banned, due}},
		{func() { banByHand(true) }, nil},
		{func() { banByCluster() }, []decide.EventKind{decide.SettingsChanged, due}}, // it stays banned by hand
		{func() { banByHand(false) }, []decide.EventKind{decide.Unbanned}},
		{func() { banByCluster("e") }, []decide.EventKind{decide.SettingsChanged, decide.Banned, due}},
		{func() {
			if err := banByHand(false); err == nil || !strings.Contains(err.Error(), "propose one without") {
				t.Errorf("a ban of the cluster was ended by hand: %v", err)
			}
		}, nil},
		{func() { banByCluster() }, []decide.EventKind{decide.SettingsChanged, decide.Unbanned, due}},
	} {
		step.do()
		if got := kinds(); !slices.Equal(got, step.want) {
			t.Errorf("step %d: %v, want %v", i, got, step.want)
		}
	}
}

// While the sidecar is cautious, endpoints that are new in the list are withheld; those that are known still drain.
func TestNewEndpointsAreWithheldWhileCautious(t *testing.T) {
	e, rules, _ := newClusterEngine(t)
	list := func(whole bool, names ...string) *httpwire.List {
		l := &httpwire.List{Full: whole}
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
	setCautious := func(cautious bool) {
		rules.effective = &EffectiveRules{Generation: rules.effective.Generation + 1, Dynamic: &decide.DynamicSettings{MaxAttempts: 1}, Cautious: cautious}
	}
	setCautious(true)
	e.applyList(list(true, "a", "b"), decide.ListReplaced) // the first list of a process is applied in full
	e.applyList(list(false, "c"), decide.ListChanged)
	if got := names(); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("while cautious: %v", got)
	}
	setCautious(false)
	e.notifyModule(decide.Event{Kind: decide.TimerDue})
	if got := names(); !slices.Equal(got, []string{"a", "b", "c"}) {
		t.Errorf("no longer cautious: %v", got)
	}
	setCautious(true)
	e.applyList(list(false, "d"), decide.ListChanged)
	setCautious(false)
	e.applyList(list(true, "a"), decide.ListReplaced) // d has left the list meanwhile
	if got := names(); !slices.Equal(got, []string{"a"}) || len(e.withheld) != 0 {
		t.Errorf("after a full list: %v, %v withheld", got, e.withheld)
	}
}
