package decide

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Package-wide state, and the one entry point: each event goes to the part that it concerns.

const (
	streamMix = 0x9e3779b97f4a7c15 // sets the second half of the random state apart from the seed
)

// Balancer decides for one instance. It is not safe for concurrent use.
type Balancer struct {
	set     Settings
	rng     *rand.Rand
	now     Time
	actions []Action
	timers  timerQueue
	classes map[string]*class
	unknown class // what a request of an unknown class is handled as
	requests
	bucket    bucket
	hold      hold
	tenants   map[string]*bucket // requests inside each customer's share, of this instance's part of it
	fleet     fleet
	asking    asking
	mostWorth float64 // of a class
}

// class is a request class with what its requests share.
type class struct {
	Class
	leaves float64 // part of the bucket left to others: by the lowest worth, where worth differs
	pace   pace
	toll   toll
	grace  time.Duration // of a first try: the one that most share; the longest seen at lower tiers
	votes  int           // tries that have lately had it, less those that have not
}

// New returns a balancer that has seen nothing yet. The seed is its only source of randomness.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.validate(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	b := &Balancer{set: set, rng: rand.New(rand.NewPCG(seed, seed^streamMix)), classes: map[string]*class{}}
	least, most := math.Inf(1), 0.0
	for _, c := range set.Classes {
		least, most = min(least, c.Worth), max(most, c.Worth)
	}
	for _, c := range set.Classes {
		b.classes[c.Name] = &class{Class: c}
		if least < most && c.Worth == least {
			b.classes[c.Name].leaves = spareShare
		}
	}
	b.unknown = class{Class: Class{Effect: Unsafe, Worth: set.Classes[0].Worth, Aim: set.Classes[0].Aim}}
	b.held, b.bucket, b.tenants = map[RequestID]*request{}, newBucket(&set), map[string]*bucket{}
	for _, t := range set.Tenants {
		rate := t.Allowed / float64(max(1, set.Peers))
		b.tenants[t.Name] = &bucket{floor: rate, burst: max(1, rate*tenantBurst.Seconds())}
	}
	b.mostWorth, b.fleet.byID = max(most, math.SmallestNonzeroFloat64), map[EndpointID]*endpoint{}
	b.fleet.banned, b.asking.backoff = map[EndpointID]bool{}, askBackoff
	b.hold.each = holdStart * b.tierShare()
	return b, nil
}

// Handle takes one event at its time and appends what is to be done about it.
func (b *Balancer) Handle(now Time, e *Event, actions []Action) []Action {
	b.now, b.actions = now, actions
	switch e.Kind {
	case Start:
		if b.set.MustPoll {
			b.firstAsk()
		}
	case Arrived:
		b.arrived(e)
	case Finished:
		b.finished(e)
	case StreamBegan, ClientLeft:
		b.clientDid(e, 0)
	case BodyReceived:
		b.clientDid(e, 1)
	case ListChanged, ListReplaced, ListRestored:
		b.listCame(e)
	case ListMissed:
		b.listMissed(e.Since, e.DeliveredBy)
	case ListConfirmed:
		b.listAnswered()
	case ListFailed:
		b.listFailed(e)
	case ProbeFinished:
		b.scoutBack(e)
	case StreamBroke:
		if to := b.fleet.byID[e.Endpoint]; to != nil {
			to.payoff *= 1 - payoffGain // as a failure
		}
	case SettingsChanged:
		b.ruled(e.Dynamic)
	case Banned, Unbanned:
		b.ban(e.Endpoint, e.Kind == Banned)
	}
	b.runTimers() // after the event: a request whose end it tells is left alone
	actions = b.timers.arm(now, b.actions)
	b.actions = nil
	return actions
}

func (b *Balancer) runTimers() {
	for t, ok := b.timers.due(b.now); ok; t, ok = b.timers.due(b.now) {
		switch t.kind {
		case timerRequest:
			b.timeUp(t.request)
		case timerWaiting:
			b.wakeAt = 0
			b.sendWaiting()
			b.sendHeld()
			b.ask()
		case timerList:
			b.act(Action{Kind: WatchList})
		}
	}
}

func (b *Balancer) act(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(d))
}

func decay(age, over time.Duration) float64 { return math.Exp(-age.Seconds() / over.Seconds()) }
