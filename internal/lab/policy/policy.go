// Package policy contains simple load-balancing policies that take the place of package decide in a sidecar: baselines
// to compare heathgap with, and faulty policies that break one rule each, which show that the lab's checker notices.
// They receive the same events, and the sidecar carries out their actions in the same way.
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

// Kind describes a policy and configures a picker for it.
type Kind struct {
	About     string
	configure func(p *picker)
}

// Module is the name of heathgap's own decision module.
const Module = "heathgap"

// kinds are all policies except Module. Names of faulty policies begin with "lie-".
var kinds = map[string]Kind{
	"random":        {"each attempt goes to a random endpoint; retries without a budget", func(p *picker) { p.pick = p.random }},
	"round-robin":   {"endpoints in turn; retries without a budget", func(p *picker) { p.pick = p.roundRobin }},
	"least":         {"the endpoint with the fewest attempts in flight from this sidecar; retries without a budget", func(p *picker) { p.pick = p.fewestInFlight }},
	"least-budget":  {"the fewest attempts in flight; a retry costs a token, and a served attempt earns a tenth of one", func(p *picker) { p.pick, p.tokens = p.fewestInFlight, maxTokens }},
	"no-retry":      {"the fewest attempts in flight, and no retry at all", func(p *picker) { p.pick, p.maxAttempts = p.fewestInFlight, 1 }},
	"lie-drop":      {"faulty: never answers 1 request in 100", func(p *picker) { p.pick, p.dropEvery = p.fewestInFlight, 100 }},
	"lie-double":    {"faulty: sends unsafe requests twice", func(p *picker) { p.pick, p.sendTwice = p.fewestInFlight, true }},
	"lie-drain":     {"faulty: sends to draining endpoints as to others", func(p *picker) { p.pick, p.ignoreDrain = p.roundRobin, true }},
	"lie-push-over": {"faulty: sends all requests to the endpoint that started last", func(p *picker) { p.pick = p.lastStarted }},
}

// Names returns the names of all policies: the module first, faulty policies last.
func Names() []string {
	names := slices.Sorted(maps.Keys(kinds))
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(strings.Count(a, "lie-"), strings.Count(b, "lie-"))
	})
	return append([]string{Module}, names...)
}

// Baselines returns the names of the policies that break no rule on purpose.
func Baselines() []string {
	return slices.DeleteFunc(Names()[1:], func(name string) bool { return strings.HasPrefix(name, "lie-") })
}

// About returns a one-line description of a policy.
func About(name string) string {
	if name == Module {
		return "the module's decisions"
	}
	return kinds[name].About
}

// ByName returns the constructor of a policy's decider for a sidecar.
func ByName(name string) (lifecycle.Decider, error) {
	if name == Module {
		return lifecycle.NewBalancer, nil
	}
	kind, known := kinds[name]
	if !known {
		return nil, fmt.Errorf("policy %q: unknown; allowed: %s", name, strings.Join(Names(), ", "))
	}
	return func(conf *config.Config) (pipeline.Decider, error) {
		p, err := newPicker(conf.Settings, conf.Seed, kind)
		if err == nil && p.ignoreDrain {
			conf.Settings.Rules.DrainGrace = 0 // else the pipeline, which checks for drains again before the first byte of an attempt is sent, would enforce the rule for this policy
		}
		return p, err
	}, nil
}

// openRequest is a request that has not ended.
type openRequest struct {
	class      *decide.Class
	deadline   decide.Time // when the request's time is up
	attempts   int
	inFlight   map[int]decide.EndpointID // by the number of the attempt
	mayHaveRun bool                      // some attempt may have run
}

// picker implements all policies. It picks an endpoint for each attempt, and retries what may be retried until the
// attempts are used up.
type picker struct {
	settings   decide.Settings
	classes    map[string]*decide.Class
	rng        *rand.Rand
	now        decide.Time
	endpoints  []decide.Endpoint         // as listed, draining ones included
	inFlight   map[decide.EndpointID]int // attempts in flight to each endpoint
	requests   map[decide.RequestID]*openRequest
	nextInTurn int
	rewatchAt  decide.Time // when to watch the list again after a failure; 0 for not at all

	pick        func(from []decide.Endpoint) decide.EndpointID
	maxAttempts int     // for each request
	tokens      float64 // of the retry budget; below 0 for no budget
	dropEvery   int     // injected fault: each request whose number is a multiple of this is never answered; 0 for none
	sendTwice   bool    // injected fault: unsafe requests are sent twice
	ignoreDrain bool    // injected fault: draining endpoints get requests, too
	arrivals    int
}

// The retry budget of the policy least-budget. Unlike that of package decide, it has no refill but that by served attempts.
const (
	maxTokens       = 10.0 // tokens at the start, and the most that can be saved
	tokensPerServed = 0.1  // added for each served attempt
)

// spendToken takes a token for a retry and returns false if there is none.
func (p *picker) spendToken() bool {
	if p.tokens < 0 {
		return true
	}
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// earnToken adds the share of a token that a served attempt earns.
func (p *picker) earnToken() {
	if p.tokens >= 0 {
		p.tokens = min(maxTokens, p.tokens+tokensPerServed)
	}
}

// rewatchDelay is the time between a failed call for the list and the next call.
const rewatchDelay = time.Second

func newPicker(s decide.Settings, seed uint64, kind Kind) (*picker, error) {
	if len(s.Classes) == 0 {
		return nil, errors.New("classes: there are none")
	}
	p := &picker{
		settings: s, classes: map[string]*decide.Class{}, rng: rand.New(rand.NewPCG(seed, 6)),
		inFlight: map[decide.EndpointID]int{},
		requests: map[decide.RequestID]*openRequest{}, maxAttempts: max(1, s.Limits.MaxAttempts), tokens: -1,
	}
	for i := range s.Classes {
		p.classes[s.Classes[i].Name] = &s.Classes[i]
	}
	kind.configure(p)
	return p, nil
}

// Handle decides on one event and appends its actions to out.
func (p *picker) Handle(now decide.Time, ev *decide.Event, out []decide.Action) []decide.Action {
	p.now = now
	switch ev.Kind {
	case decide.Start:
		if p.settings.MustPoll {
			out = append(out, decide.Action{Kind: decide.WatchList})
		}
	case decide.ListReplaced, decide.ListRestored:
		p.endpoints = nil
		p.applyLines(ev.Endpoints)
	case decide.ListChanged:
		p.applyLines(ev.Endpoints)
	case decide.ListFailed:
		p.rewatchAt = now + rewatchDelay
		out = append(out, decide.Action{Kind: decide.SetTimer, After: rewatchDelay})
	case decide.TimerDue:
		if p.rewatchAt > 0 && p.rewatchAt <= now {
			p.rewatchAt = 0
			out = append(out, decide.Action{Kind: decide.WatchList})
		}
	case decide.Arrived:
		out = p.handleArrived(ev, out)
	case decide.Finished:
		out = p.handleFinished(ev, out)
	case decide.ClientLeft:
		out = p.endRequest(ev.Request, out)
	}
	return out
}

// applyLines adds, replaces and removes endpoints by the lines of a list.
func (p *picker) applyLines(lines []decide.Endpoint) {
	for _, line := range lines {
		i := slices.IndexFunc(p.endpoints, func(e decide.Endpoint) bool { return e.ID == line.ID })
		switch {
		case line.State == decide.Gone && i >= 0:
			p.endpoints = slices.Delete(p.endpoints, i, i+1)
		case line.State == decide.Gone:
		case i >= 0:
			p.endpoints[i] = line
		default:
			p.endpoints = append(p.endpoints, line)
		}
	}
}

// handleArrived opens a request and sends its first attempt.
func (p *picker) handleArrived(ev *decide.Event, out []decide.Action) []decide.Action {
	p.arrivals++
	q := &openRequest{class: p.classes[ev.Class], deadline: p.now + ev.Grace, inFlight: map[int]decide.EndpointID{}}
	if q.class == nil {
		return append(out, decide.Action{Kind: decide.Fail, Request: ev.Request})
	}
	p.requests[ev.Request] = q
	if p.dropEvery > 0 && p.arrivals%p.dropEvery == 0 {
		return out
	}
	out = p.send(ev.Request, q, out)
	if p.sendTwice && q.class.Effect == decide.Unsafe {
		out = p.send(ev.Request, q, out)
	}
	return out
}

// send sends one attempt, or ends the request if no endpoint may get it or its time is up.
func (p *picker) send(id decide.RequestID, q *openRequest, out []decide.Action) []decide.Action {
	candidates := slices.DeleteFunc(slices.Clone(p.endpoints), func(e decide.Endpoint) bool {
		return e.State != decide.Active && !p.ignoreDrain
	})
	if len(candidates) == 0 || q.deadline <= p.now {
		return p.giveUp(id, q, out)
	}
	endpoint := p.pick(candidates)
	q.inFlight[q.attempts] = endpoint
	q.attempts++
	p.inFlight[endpoint]++
	return append(out, decide.Action{Kind: decide.Send, Request: id, Endpoint: endpoint})
}

// handleFinished takes the outcome of an attempt and then ends the request, retries it, or waits for another attempt.
func (p *picker) handleFinished(ev *decide.Event, out []decide.Action) []decide.Action {
	q := p.requests[ev.Request]
	if q == nil {
		return out
	}
	endpoint := q.inFlight[ev.Attempt]
	delete(q.inFlight, ev.Attempt)
	if p.inFlight[endpoint]--; p.inFlight[endpoint] <= 0 {
		delete(p.inFlight, endpoint)
	}
	if ev.Outcome == decide.Served {
		p.earnToken()
	}
	q.mayHaveRun = q.mayHaveRun || !ev.Outcome.NeverRan()
	switch {
	case ev.RequestDone || ev.Outcome == decide.Served:
		return p.endRequest(ev.Request, out)
	case len(q.inFlight) > 0: // another attempt is in flight
		return out
	case q.attempts < p.maxAttempts && p.mayRetry(q, ev.Outcome) && p.spendToken():
		return p.send(ev.Request, q, out)
	}
	return p.giveUp(ev.Request, q, out)
}

// mayRetry reports whether a retry can do no harm. Keyed requests are retried only if no attempt may have run: these
// policies know nothing of effect groups and windows, so they can't rely on the endpoints to drop the repeat.
func (p *picker) mayRetry(q *openRequest, outcome decide.Outcome) bool {
	return q.class.Effect == decide.Safe && outcome != decide.TimedOut || !q.mayHaveRun
}

// giveUp refuses a request if no attempt may have run, and fails it otherwise.
func (p *picker) giveUp(id decide.RequestID, q *openRequest, out []decide.Action) []decide.Action {
	kind := decide.Fail
	if !q.mayHaveRun {
		kind = decide.Refuse
	}
	return p.endRequest(id, append(out, decide.Action{Kind: kind, Request: id}))
}

// endRequest forgets a request and cancels its attempts in flight.
func (p *picker) endRequest(id decide.RequestID, out []decide.Action) []decide.Action {
	q := p.requests[id]
	if q == nil {
		return out
	}
	delete(p.requests, id)
	for _, attempt := range slices.Sorted(maps.Keys(q.inFlight)) {
		if p.inFlight[q.inFlight[attempt]]--; p.inFlight[q.inFlight[attempt]] <= 0 {
			delete(p.inFlight, q.inFlight[attempt])
		}
		if p.settings.Limits.Cancel {
			out = append(out, decide.Action{Kind: decide.Cancel, Request: id, Attempt: attempt})
		}
	}
	return out
}

// random picks any endpoint.
func (p *picker) random(from []decide.Endpoint) decide.EndpointID {
	return from[p.rng.IntN(len(from))].ID
}

// roundRobin picks the endpoints in turn.
func (p *picker) roundRobin(from []decide.Endpoint) decide.EndpointID {
	p.nextInTurn++
	return from[p.nextInTurn%len(from)].ID
}

// fewestInFlight picks at random among the endpoints with the fewest attempts in flight.
func (p *picker) fewestInFlight(from []decide.Endpoint) decide.EndpointID {
	fewest, n := from[0].ID, 0
	for _, e := range from {
		switch out := p.inFlight[e.ID]; {
		case n == 0 || out < p.inFlight[fewest]:
			fewest, n = e.ID, 1
		case out == p.inFlight[fewest]:
			if n++; p.rng.IntN(n) == 0 {
				fewest = e.ID
			}
		}
	}
	return fewest
}

// lastStarted picks the endpoint that started last.
func (p *picker) lastStarted(from []decide.Endpoint) decide.EndpointID {
	return slices.MaxFunc(from, func(a, b decide.Endpoint) int { return cmp.Compare(a.Started, b.Started) }).ID
}
