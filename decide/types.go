// Package decide holds heathgap's decision module: what one load balancer
// instance does with each request, given only what that instance has seen.
//
// This file is the module's interface: Settings in, Events in, Actions out.
// The decisions themselves stand in a file a concern, from balancer.go on.
package decide

import (
	"fmt"
	"time"
)

// Time is a moment on the instance's clock, counted from an origin of no
// meaning. It only ever grows.
type Time = time.Duration

// RequestID names a request for as long as the instance holds it.
type RequestID uint64

// EndpointID names an endpoint. A restarted process keeps its id.
type EndpointID uint32

// Settings are what an instance is told once, at its start.
type Settings struct {
	Number         int           // of this instance among its peers, from 0
	Peers          int           // instances that send to this tier, this one included
	Zone           string        // zone of this instance
	Classes        []Class       // request classes; at least one
	Tenants        []Tenant      // customers with a share; may be empty
	OverShareWorth float64       // worth of a request beyond its tenant's share, as a part of its class's
	MustPoll       bool          // the endpoint list comes only when asked for
	Limits         Limits        // what the deployment allows
	Rules          Rules         // figures of the rules
	WeightKnown    bool          // Endpoint.Weight states a size
	Prices         Prices        // what the deployment counts against a decision
	Report         Report        // how endpoints tell their load
	Entry          Entry         // how callers come to instances
	HintsWork      bool          // requests carry an expected amount of work
	Front          bool          // this instance is handed clients' requests, not calls of another tier
	Depth          int           // tiers below the one this instance sends to
	Tick           time.Duration // events are handed over at most this often
}

// Class is a kind of request.
type Class struct {
	Name      string
	Aim       time.Duration // an answer within this time earns the full worth
	Deadline  time.Duration // how long a client waits in all
	Worth     float64
	LateShare float64 // part of the worth that an answer after the aim still earns
	Effect    Effect
	Group     Group         // keyed classes: which endpoints drop repeats
	Window    time.Duration // keyed classes: for how long they drop them
	Stream    bool
}

// Effect says what repeating a request of a class may do.
type Effect uint8

// The effects. The zero value is no effect at all and is turned down by New.
const (
	EffectUnset Effect = iota
	Safe               // may be repeated freely
	Keyed              // repeats are dropped by a group of endpoints for a while
	Unsafe             // must not run twice
)

// Group says which endpoints share their memory of keys.
type Group uint8

// The groups of a keyed class.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Tenant is a customer with a share of the service.
type Tenant struct {
	Name    string
	Allowed float64 // requests a second, over all instances, inside its share
	Portion float64
}

// Limits are what the deployment allows.
type Limits struct {
	Cancel        bool // attempts may be called off
	Hedging       bool // a request may have two attempts out at once
	RetryAfter    bool // a refusal may say when to come back
	Probing       bool // endpoints may be probed
	MaxAttempts   int
	MaxRetryAfter time.Duration
}

// Prices are the deductions that bear on a decision, each for its full rate.
type Prices struct {
	CrossZone float64
	Waste     float64
	LateFail  float64
	Probe     float64 // for each probe a request
}

// Entry says how callers are spread over the instances of a tier.
type Entry uint8

// The entries.
const (
	Pooled    Entry = iota // callers share a pool of instances: each has an even part of the traffic
	PerCaller              // each caller has an instance of its own: most carry little, a few far more
)

// ReportMode says how endpoints tell their load.
type ReportMode uint8

// The ways of telling it.
const (
	ReportNever       ReportMode = iota // not at all
	ReportWithAnswers                   // in outcomes, which the module passes over, and probe results
	ReportWithProbes                    // in probe results only
)

// LoadField is one value of a load report.
type LoadField uint8

// The values that the module reads. OtherField is any other: passed over.
const (
	OtherField LoadField = iota
	Outstanding
	Utilization
)

// Report is how endpoints tell their load.
type Report struct {
	Mode   ReportMode
	Fields []LoadField // in the order in which a report holds them
}

// Load is what an endpoint has told of itself.
type Load struct {
	Outstanding float64 // requests in hand; below 0 when not told
	Utilization float64 // share of its cores that is busy; below 0 when not told
}

// Read turns the values of a report into a Load.
func (r *Report) Read(values []float64) Load {
	l := Load{Outstanding: -1, Utilization: -1}
	for i, v := range values {
		switch {
		case i >= len(r.Fields):
		case r.Fields[i] == Outstanding:
			l.Outstanding = v
		case r.Fields[i] == Utilization:
			l.Utilization = v
		}
	}
	return l
}

// Rules are the figures of the rules an instance keeps alone.
type Rules struct {
	AnswerSlack  time.Duration // a final answer may be this much later than the client's time
	AskEvery     time.Duration // an unasked list counts as told after this long
	ColdShare    float64       // a starting endpoint has at least this part of its capacity
	ColdTime     time.Duration // and is warm after this long
	FallMultiple float64       // sent more than this many times its present capacity
	FallWindow   time.Duration // for this long, a cold endpoint falls over
	DrainGrace   time.Duration // sends to a draining endpoint end within this
	GoneMayServe bool          // only draining binds: one told gone, or left out, without it may serve on
}

// EndpointState is what the list says of an endpoint.
type EndpointState uint8

// The states of a listed endpoint.
const (
	Active EndpointState = iota
	Draining
	Gone
)

// Endpoint is one line of the endpoint list.
type Endpoint struct {
	ID      EndpointID
	Zone    string
	Cell    int // endpoints of one cell share what keys they have seen
	State   EndpointState
	Weight  float64
	Started Time // start of its process; 0 when long ago
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	Served        Outcome = iota
	ServerError           // the endpoint answered with an error; it may have run
	Rejected              // turned away unseen
	TimedOut              // no answer in time; it may have run or still run
	ConnectFailed         // no connection could be made
	Reset                 // the connection broke while the attempt was out
	Canceled              // called off; it may have run
	NotSent               // the request was over or the attempts were used up
)

// NeverRan tells whether the outcome proves that the endpoint did not run the
// request.
func (o Outcome) NeverRan() bool {
	return o == Rejected || o == ConnectFailed || o == NotSent
}

// EventKind says which fields of an Event are set.
type EventKind uint8

// The kinds of event.
const (
	Start           EventKind = iota // the instance starts
	Arrived                          // Request, Class, Repeat, Work, Tenant, Grace
	Finished                         // Request, Attempt, Endpoint, Outcome, Latency, Over
	StreamBegan                      // Request, Attempt: bytes of its body or answer can't go twice
	ClientLeft                       // Request
	TimerDue                         // the timer asked for is due
	ListChanged                      // Endpoints: only changed lines
	ListReplaced                     // Endpoints: the whole list
	ListRestored                     // Endpoints: the whole list as last known, maybe old
	ListFailed                       // Grace, Refused: a call for the list failed; nothing has come of it
	ProbeFinished                    // Endpoint, Outcome, Latency, Load
	BodyReceived                     // Request, Attempt: the body that began to go then has come whole
	StreamBroke                      // Endpoint: it broke off an answer that counted as served
	Banned                           // Endpoint, listed or not: nothing new for it until Unbanned
	Unbanned                         // Endpoint: the ban has ended, however often it was told
	SettingsChanged                  // Ruling: it holds from now on
	ListMissed                       // Since, Told: what discovery has had since then may not have come
	ListConfirmed                    // the list is as discovery has it: a watch waits there for what is newer
)

// Event is something that happened to the instance.
type Event struct {
	Kind        EventKind
	Request     RequestID
	Class       string
	Tenant      string
	Repeat      bool          // a client's repeat, where clients mark it
	Work        time.Duration // expected work; 0 when unknown
	Grace       time.Duration // until the client gives up on this try, or the next call for the list
	Attempt     int
	Endpoint    EndpointID
	Outcome     Outcome
	Latency     time.Duration
	RequestDone bool // the request has had its final answer
	Refused     bool // discovery has answered, and not with a list
	Since       Time // 0 for now
	DeliveredBy Time // when that counts as told, whether or not it comes; 0 for the usual time
	Load        Load // the endpoint's report, if one came
	Endpoints   []Endpoint
	Dynamic     *DynamicSettings
}

// ActionKind says which fields of an Action are set.
type ActionKind uint8

// The kinds of action.
const (
	Send      ActionKind = iota // Request, Endpoint, After (its time-out; 0 for the client's), Reason
	Cancel                      // Request, Attempt
	Refuse                      // Request, After (how long to stay away; 0 for no advice), Reason
	Fail                        // Request, Reason
	SetTimer                    // After
	WatchList                   // ask for changes of the list from now on
	Probe                       // Endpoint: ask it for its load, or whether it answers
)

// Action is something the instance decides to do. Attempts of a request are
// numbered from 0 in the order of their Send.
type Action struct {
	Kind     ActionKind
	Request  RequestID
	Attempt  int
	Endpoint EndpointID
	After    time.Duration
	Reason   Reason
	NotAfter Time // Send: the attempt may not begin from then on; 0 for no such bound
}

// validate turns down settings that cannot be acted on.
func (s *Settings) validate() error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("classes: there are none")
	}
	for i, c := range s.Classes {
		switch {
		case c.Effect == EffectUnset:
			return fmt.Errorf("classes[%d] %q: effect: not set", i, c.Name)
		case c.Aim <= 0:
			return fmt.Errorf("classes[%d] %q: aim: %v is not above 0", i, c.Name, c.Aim)
		case c.Deadline < 0:
			return fmt.Errorf("classes[%d] %q: deadline: %v is negative", i, c.Name, c.Deadline)
		case c.Window < 0:
			return fmt.Errorf("classes[%d] %q: window: %v is negative", i, c.Name, c.Window)
		case c.Worth < 0:
			return fmt.Errorf("classes[%d] %q: worth: %v is negative", i, c.Name, c.Worth)
		}
	}
	r := &s.Rules
	for _, f := range []struct {
		name string
		d    time.Duration
	}{
		{"answer slack", r.AnswerSlack}, {"ask every", r.AskEvery}, {"cold time", r.ColdTime},
		{"fall window", r.FallWindow}, {"drain grace", r.DrainGrace},
	} {
		if f.d < 0 {
			return fmt.Errorf("rules: %s: %v is negative", f.name, f.d)
		}
	}
	if s.Prices.Probe < 0 {
		return fmt.Errorf("prices: probe: %v is negative", s.Prices.Probe)
	}
	if s.Limits.MaxAttempts < 0 {
		return fmt.Errorf("limits: max attempts: %d is negative", s.Limits.MaxAttempts)
	}
	s.Peers = max(1, s.Peers)
	s.Limits.MaxAttempts = max(1, s.Limits.MaxAttempts)
	return nil
}
