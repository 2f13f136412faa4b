package decide

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// The balancer's state and its entry point Handle, which passes each event to the code that it concerns.

const (
	seedMix = 0x9e3779b97f4a7c15 // makes the second word of the random generator's seed differ from the first
)

// Balancer is the decision state of one instance. It is not safe for concurrent use.
type Balancer struct {
	settings Settings
	rng      *rand.Rand
	now      Time
	actions  []Action
	timers   timerQueue
	classes  map[string]*class
	// The class of requests whose class name is not in the settings: unsafe, and worth as much as the first
	// class.
	unknownClass class
	requests
	bucket    bucket
	admission admission
	// Buckets of the requests inside each tenant's share: this instance's part of it.
	tenants   map[string]*bucket
	endpoints endpointSet
	polling   polling
	maxWorth  float64 // highest worth of any class
}

// class is a request class with the state that its requests share.
type class struct {
	Class
	// reserve is the part of the retry budget that requests of this class leave to the others. It is above 0
	// only for the class of lowest worth, where worths differ.
	reserve float64
	latency latencyModel
	excess  excessTime
	// grace is how long clients wait on a first try. On the front tier it is the grace that most tries have;
	// on lower tiers the longest seen.
	grace      time.Duration
	graceVotes int // recent tries with that grace, less those with another
}

// New returns a balancer that has handled no event yet. The seed is its only source of randomness.
// It returns an error if the settings are invalid.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.validate(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	b := &Balancer{settings: set, rng: rand.New(rand.NewPCG(seed, seed^seedMix)),
		classes: map[string]*class{}}
	minWorth, maxWorth := math.Inf(1), 0.0
	for _, c := range set.Classes {
		minWorth, maxWorth = min(minWorth, c.Worth), max(maxWorth, c.Worth)
	}
	for _, c := range set.Classes {
		b.classes[c.Name] = &class{Class: c}
		if minWorth < maxWorth && c.Worth == minWorth {
			b.classes[c.Name].reserve = reserveShare
		}
	}
	b.unknownClass = class{Class: Class{Effect: Unsafe, Worth: set.Classes[0].Worth, Aim: set.Classes[0].Aim}}
	b.pending, b.bucket, b.tenants = map[RequestID]*request{}, newBucket(&set), map[string]*bucket{}
	for _, t := range set.Tenants {
		rate := t.Allowed / float64(max(1, set.Peers))
		b.tenants[t.Name] = &bucket{floor: rate, burst: max(1, rate*tenantBurst.Seconds())}
	}
	b.maxWorth, b.endpoints.byID = max(maxWorth, math.SmallestNonzeroFloat64), map[EndpointID]*endpoint{}
	b.endpoints.banned, b.polling.backoff = map[EndpointID]bool{}, minPollBackoff
	b.admission.perEndpoint = initialPerEndpoint * b.tierShare()
	return b, nil
}

// Handle processes one event that happened at now and appends the actions that follow from it to actions.
func (b *Balancer) Handle(now Time, e *Event, actions []Action) []Action {
	b.now, b.actions = now, actions
	switch e.Kind {
	case Start:
		if b.settings.MustPoll {
			b.scheduleFirstPoll()
		}
	case Arrived:
		b.handleArrival(e)
	case Finished:
		b.handleOutcome(e)
	case StreamBegan, ClientLeft:
		b.handleClientEvent(e, 0)
	case BodyReceived:
		b.handleClientEvent(e, 1)
	case ListChanged, ListReplaced, ListRestored:
		b.handleList(e)
	case ListMissed:
		b.markListMissed(e.Since, e.DeliveredBy)
	case ListConfirmed:
		b.markListConfirmed()
	case ListFailed:
		b.handleListFailure(e)
	case ProbeFinished:
		b.handleProbeResult(e)
	case StreamBroke:
		if to := b.endpoints.byID[e.Endpoint]; to != nil {
			to.payoff *= 1 - payoffGain // counts as a failed attempt
		}
	case SettingsChanged:
		b.applyDynamic(e.Dynamic)
	case Banned, Unbanned:
		b.setBanned(e.Endpoint, e.Kind == Banned)
	}
	b.runTimers() // after the event: a request that the event ends needs no timer
	actions = b.timers.arm(now, b.actions)
	b.actions = nil
	return actions
}

// runTimers does what the timers that are due by now are set for.
func (b *Balancer) runTimers() {
	for t, ok := b.timers.due(b.now); ok; t, ok = b.timers.due(b.now) {
		switch t.kind {
		case timerRequest:
			b.checkDeadline(t.request)
		case timerWaiting:
			b.recheckAt = 0
			b.recheckWaiting()
			b.sendQueued()
			b.probeForQueued()
		case timerList:
			b.emit(Action{Kind: WatchList})
		}
	}
}

// emit appends an action to those that Handle returns.
func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// jitter returns a random duration from 0 to d.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(d))
}

// decay returns the weight that is left after age in an exponential average with time constant over.
func decay(age, over time.Duration) float64 { return math.Exp(-age.Seconds() / over.Seconds()) }
