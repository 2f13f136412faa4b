// Package policy holds small policies that stand in for heathgap's decisions: the
// baselines that it is compared with, and liars that break one rule each, by which
// the lab shows that its book would notice. They decide on the same events, and the
// sidecar round them carries them out as it does the module's.
package policy

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"heathgap/decide"
	"heathgap/internal/config"
	"heathgap/internal/lifecycle"
	"heathgap/internal/pipeline"
)

// Kind is what a policy does.
type Kind struct {
	About string
	make  func(p *picker)
}

// Module is heathgap's own.
const Module = "heathgap"

// kinds are all policies but the module.
var kinds = map[string]Kind{
	"random":        {"each attempt to any endpoint; retries without a budget", func(p *picker) { p.pick = p.random }},
	"round-robin":   {"endpoints in turn; retries without a budget", func(p *picker) { p.pick = p.inTurn }},
	"least":         {"the endpoint with the fewest attempts out of this sidecar; retries without a budget", func(p *picker) { p.pick = p.least }},
	"least-budget":  {"the fewest attempts out; a retry costs a token, and a served attempt earns a tenth", func(p *picker) { p.pick, p.tokens = p.least, burst }},
	"no-retry":      {"the fewest attempts out, and no retry at all", func(p *picker) { p.pick, p.attempts = p.least, 1 }},
	"lie-drop":      {"a liar: forgets 1 request in 100", func(p *picker) { p.pick, p.forget = p.least, 100 }},
	"lie-double":    {"a liar: sends effects twice", func(p *picker) { p.pick, p.double = p.least, true }},
	"lie-drain":     {"a liar: sends to draining endpoints as to others", func(p *picker) { p.pick, p.drained = p.inTurn, true }},
	"lie-push-over": {"a liar: sends all to the endpoint that started last", func(p *picker) { p.pick = p.youngest }},
}

// Names are those of all policies, the module first, liars last.
func Names() []string {
	names := slices.Sorted(maps.Keys(kinds))
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(strings.Count(a, "lie-"), strings.Count(b, "lie-"))
	})
	return append([]string{Module}, names...)
}

// Baselines are the names of those that break no rule on purpose.
func Baselines() []string {
	return slices.DeleteFunc(Names()[1:], func(name string) bool { return strings.HasPrefix(name, "lie-") })
}

// About tells what a policy does.
func About(name string) string {
	if name == Module {
		return "the module's decisions"
	}
	return kinds[name].About
}

// ByName returns what makes a policy's decider in a sidecar.
func ByName(name string) (lifecycle.Decider, error) {
	if name == Module {
		return lifecycle.Module, nil
	}
	kind, known := kinds[name]
	if !known {
		return nil, fmt.Errorf("policy %q: unknown; allowed: %s", name, strings.Join(Names(), ", "))
	}
	return func(conf *config.Config) (pipeline.Decider, error) {
		p, err := newPicker(conf.Settings, conf.Seed, kind)
		if err == nil && p.drained {
			conf.Settings.Rules.DrainGrace = 0 // the second look, where the first byte leaves, would keep the rule for it
		}
		return p, err
	}, nil
}

// asked is a request that is open.
type asked struct {
	class    *decide.Class
	until    decide.Time
	attempts int
	out      map[int]decide.EndpointID
	mayRun   bool // an attempt may have run
}

// picker is every policy: it picks an endpoint, and retries what may be retried
// until the attempts are used up.
type picker struct {
	settings  decide.Settings
	classes   map[string]*decide.Class
	dice      *rand.Rand
	now       decide.Time
	endpoints []decide.Endpoint // as listed, draining ones included
	out       map[decide.EndpointID]int
	requests  map[decide.RequestID]*asked
	turn      int
	rewatch   decide.Time // when to ask for the list again; 0 for not

	pick     func(from []decide.Endpoint) decide.EndpointID
	attempts int
	tokens   float64 // below 0 for no budget
	forget   int
	double   bool
	drained  bool
	arrivals int
}

// The budget of retries, as the design has it, but for the floor refill.
const (
	burst  = 10.0 // tokens at the start, and at most
	earned = 0.1  // for a served attempt
)

// pay takes a token for a retry; false if there is none.
func (p *picker) pay() bool {
	if p.tokens < 0 {
		return true
	}
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// earn books a served attempt.
func (p *picker) earn() {
	if p.tokens >= 0 {
		p.tokens = min(burst, p.tokens+earned)
	}
}

// relist is how long after a failed call for the list the next one comes.
const relist = time.Second

func newPicker(s decide.Settings, seed uint64, kind Kind) (*picker, error) {
	if len(s.Classes) == 0 {
		return nil, errors.New("classes: there are none")
	}
	p := &picker{
		settings: s, classes: map[string]*decide.Class{}, dice: rand.New(rand.NewPCG(seed, 6)),
		out:      map[decide.EndpointID]int{},
		requests: map[decide.RequestID]*asked{}, attempts: max(1, s.Limits.MaxAttempts), tokens: -1,
	}
	for i := range s.Classes {
		p.classes[s.Classes[i].Name] = &s.Classes[i]
	}
	kind.make(p)
	return p, nil
}

// Handle decides on one event.
func (p *picker) Handle(now decide.Time, ev *decide.Event, out []decide.Action) []decide.Action {
	p.now = now
	switch ev.Kind {
	case decide.Start:
		if p.settings.MustPoll {
			out = append(out, decide.Action{Kind: decide.WatchList})
		}
	case decide.ListReplaced, decide.ListRestored:
		p.endpoints = nil
		p.takeLines(ev.Endpoints)
	case decide.ListChanged:
		p.takeLines(ev.Endpoints)
	case decide.ListFailed:
		p.rewatch = now + relist
		out = append(out, decide.Action{Kind: decide.SetTimer, After: relist})
	case decide.TimerDue:
		if p.rewatch > 0 && p.rewatch <= now {
			p.rewatch = 0
			out = append(out, decide.Action{Kind: decide.WatchList})
		}
	case decide.Arrived:
		out = p.arrived(ev, out)
	case decide.Finished:
		out = p.finished(ev, out)
	case decide.ClientLeft:
		out = p.end(ev.Request, out)
	}
	return out
}

func (p *picker) takeLines(lines []decide.Endpoint) {
	for _, l := range lines {
		i := slices.IndexFunc(p.endpoints, func(e decide.Endpoint) bool { return e.ID == l.ID })
		switch {
		case l.State == decide.Gone && i >= 0:
			p.endpoints = slices.Delete(p.endpoints, i, i+1)
		case l.State == decide.Gone:
		case i >= 0:
			p.endpoints[i] = l
		default:
			p.endpoints = append(p.endpoints, l)
		}
	}
}

func (p *picker) arrived(ev *decide.Event, out []decide.Action) []decide.Action {
	p.arrivals++
	q := &asked{class: p.classes[ev.Class], until: p.now + ev.Grace, out: map[int]decide.EndpointID{}}
	if q.class == nil {
		return append(out, decide.Action{Kind: decide.Fail, Request: ev.Request})
	}
	p.requests[ev.Request] = q
	if p.forget > 0 && p.arrivals%p.forget == 0 {
		return out
	}
	out = p.send(ev.Request, q, out)
	if p.double && q.class.Effect == decide.Unsafe {
		out = p.send(ev.Request, q, out)
	}
	return out
}

// send sends one attempt, or ends a request that can't be sent.
func (p *picker) send(id decide.RequestID, q *asked, out []decide.Action) []decide.Action {
	from := slices.DeleteFunc(slices.Clone(p.endpoints), func(e decide.Endpoint) bool {
		return e.State != decide.Active && !p.drained
	})
	if len(from) == 0 || q.until <= p.now {
		return p.giveUp(id, q, out)
	}
	to := p.pick(from)
	q.out[q.attempts] = to
	q.attempts++
	p.out[to]++
	return append(out, decide.Action{Kind: decide.Send, Request: id, Endpoint: to})
}

func (p *picker) finished(ev *decide.Event, out []decide.Action) []decide.Action {
	q := p.requests[ev.Request]
	if q == nil {
		return out
	}
	to := q.out[ev.Attempt]
	delete(q.out, ev.Attempt)
	if p.out[to]--; p.out[to] <= 0 {
		delete(p.out, to)
	}
	if ev.Outcome == decide.Served {
		p.earn()
	}
	q.mayRun = q.mayRun || !ev.Outcome.NeverRan()
	switch {
	case ev.RequestDone || ev.Outcome == decide.Served:
		return p.end(ev.Request, out)
	case len(q.out) > 0: // another attempt is out
		return out
	case q.attempts < p.attempts && p.mayRepeat(q, ev.Outcome) && p.pay():
		return p.send(ev.Request, q, out)
	}
	return p.giveUp(ev.Request, q, out)
}

// mayRepeat tells whether a repeat can do no harm. Keyed requests are repeated only
// where nothing has run: a policy that knows no groups and windows can't do more.
func (p *picker) mayRepeat(q *asked, o decide.Outcome) bool {
	return q.class.Effect == decide.Safe && o != decide.TimedOut || !q.mayRun
}

func (p *picker) giveUp(id decide.RequestID, q *asked, out []decide.Action) []decide.Action {
	kind := decide.Fail
	if !q.mayRun {
		kind = decide.Refuse
	}
	return p.end(id, append(out, decide.Action{Kind: kind, Request: id}))
}

// end forgets a request and calls off what is out for it.
func (p *picker) end(id decide.RequestID, out []decide.Action) []decide.Action {
	q := p.requests[id]
	if q == nil {
		return out
	}
	delete(p.requests, id)
	for _, n := range slices.Sorted(maps.Keys(q.out)) {
		if p.out[q.out[n]]--; p.out[q.out[n]] <= 0 {
			delete(p.out, q.out[n])
		}
		if p.settings.Limits.Cancel {
			out = append(out, decide.Action{Kind: decide.Cancel, Request: id, Attempt: n})
		}
	}
	return out
}

func (p *picker) random(from []decide.Endpoint) decide.EndpointID {
	return from[p.dice.IntN(len(from))].ID
}

func (p *picker) inTurn(from []decide.Endpoint) decide.EndpointID {
	p.turn++
	return from[p.turn%len(from)].ID
}

// least picks among those with the fewest attempts out, by chance.
func (p *picker) least(from []decide.Endpoint) decide.EndpointID {
	fewest, n := from[0].ID, 0
	for _, e := range from {
		switch out := p.out[e.ID]; {
		case n == 0 || out < p.out[fewest]:
			fewest, n = e.ID, 1
		case out == p.out[fewest]:
			if n++; p.dice.IntN(n) == 0 {
				fewest = e.ID
			}
		}
	}
	return fewest
}

func (p *picker) youngest(from []decide.Endpoint) decide.EndpointID {
	return slices.MaxFunc(from, func(a, b decide.Endpoint) int { return cmp.Compare(a.Started, b.Started) }).ID
}
