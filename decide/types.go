// Package decide holds heathgap's decision module: what one load balancer instance does with each request,
// given only what that instance has seen.
//
// This file is the module's interface: settings and events go in, actions come out. The decisions are in the
// other files, one for each concern; balancer.go has the entry point.
package decide

import (
	"fmt"
	"time"
)

// Time is a moment on the instance's monotonic clock, counted from an arbitrary origin.
type Time = time.Duration

// RequestID identifies a request until the instance has finished with it.
type RequestID uint64

// EndpointID identifies an endpoint. A restarted process keeps its id.
type EndpointID uint32

// Settings are what an instance is given at its start.
type Settings struct {
	Number         int           // index of this instance among its peers, from 0
	Peers          int           // number of instances that send to this tier, this one included
	Zone           string        // zone of this instance
	Classes        []Class       // request classes; at least one
	Tenants        []Tenant      // tenants with a share of the service; may be empty
	OverShareWorth float64       // worth of a request beyond its tenant's share, as a part of its class's
	MustPoll       bool          // the endpoint list comes only when the instance asks for it
	Limits         Limits        // what the deployment allows
	Rules          Rules         // parameters of the rules
	WeightKnown    bool          // Endpoint.Weight is the endpoint's size
	Prices         Prices        // deductions that bear on a decision
	Report         Report        // how endpoints report their load
	Entry          Entry         // how callers are spread over instances
	HintsWork      bool          // requests carry their expected work
	Front          bool          // this instance gets clients' requests, not calls of another tier
	Depth          int           // number of tiers below the one that this instance sends to
	Tick           time.Duration // shortest time between two deliveries of events
}

// Class is a kind of request.
type Class struct {
	Name      string
	Aim       time.Duration // an answer within this time earns the full worth
	Deadline  time.Duration // how long a client waits in all, over its tries
	Worth     float64
	LateShare float64 // part of the worth that an answer after the aim still earns
	Effect    Effect
	Group     Group         // keyed classes: which endpoints drop repeats of a key
	Window    time.Duration // keyed classes: for how long they drop repeats
	Stream    bool
}

// Effect says what harm repeating a request of a class may do.
type Effect uint8

// The effects. The zero value means that the effect is not set; New rejects it.
const (
	EffectUnset Effect = iota
	Safe               // may be repeated freely
	Keyed              // a group of endpoints drops repeats of a key for a while
	Unsafe             // must not run twice
)

// Group says which endpoints share their memory of the keys that they have seen.
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
	Allowed float64 // requests a second inside its share, over all instances
	Portion float64
}

// Limits are what the deployment allows.
type Limits struct {
	Cancel        bool // attempts may be canceled
	Hedging       bool // a request may have two attempts in flight at once
	RetryAfter    bool // a refusal may tell the client how long to wait
	Probing       bool // endpoints may be probed
	MaxAttempts   int
	MaxRetryAfter time.Duration
}

// Prices are what the deployment deducts for the results of decisions, each for its full rate.
type Prices struct {
	CrossZone float64
	Waste     float64
	LateFail  float64
	Probe     float64 // for one probe per request
}

// Entry says how callers are spread over the instances of a tier.
type Entry uint8

// The kinds of entry.
const (
	Pooled    Entry = iota // callers share a pool of instances: each gets an even part of the traffic
	PerCaller              // each caller has its own instance: most carry little traffic, a few much more
)

// ReportMode says when endpoints report their load.
type ReportMode uint8

// The report modes.
const (
	ReportNever       ReportMode = iota // not at all
	ReportWithAnswers                   // with outcomes, where the module ignores it, and with probe results
	ReportWithProbes                    // with probe results only
)

// LoadField is one value of a load report.
type LoadField uint8

// The values that the module reads. OtherField stands for any other value, which it ignores.
const (
	OtherField LoadField = iota
	Outstanding
	Utilization
)

// Report says how endpoints report their load.
type Report struct {
	Mode   ReportMode
	Fields []LoadField // in the order of the values in a report
}

// Load is what an endpoint has reported of its load.
type Load struct {
	Outstanding float64 // requests that it has accepted and not answered; below 0 when not reported
	Utilization float64 // share of its cores that is busy; below 0 when not reported
}

// Read returns the Load that the values of a report stand for.
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

// Rules are the parameters of the rules that an instance keeps without help of its peers.
type Rules struct {
	AnswerSlack time.Duration // a final answer may come this much after the client's deadline
	// When the instance has not polled for this long, changes of the list count as delivered.
	PollEvery time.Duration
	ColdShare float64       // a starting endpoint has at least this part of its capacity
	ColdTime  time.Duration // and has all of it after this time
	// A cold endpoint is overloaded when it is sent more than OverloadMultiple times its present capacity for
	// OverloadWindow.
	OverloadMultiple float64
	OverloadWindow   time.Duration
	DrainGrace       time.Duration // sends to a draining endpoint must end within this time
	// Only draining binds: an endpoint reported gone, or left out, may serve on.
	RemovalNotBinding bool
}

// EndpointState is what the list reports of an endpoint.
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
	Cell    int // endpoints of one cell share their memory of keys
	State   EndpointState
	Weight  float64
	Started Time // start of its process; 0 if long ago
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	Served        Outcome = iota
	ServerError           // the endpoint answered with an error; it may have run the request
	Rejected              // the endpoint rejected the attempt without running it
	TimedOut              // no answer in time; it may have run or still run
	ConnectFailed         // no connection could be made
	Reset                 // the connection broke while the attempt was in flight
	Canceled              // the attempt was canceled; it may have run
	NotSent               // not sent: the request was done, or its attempts were used up
)

// NeverRan reports whether the outcome proves that the endpoint did not run the request.
func (o Outcome) NeverRan() bool {
	return o == Rejected || o == ConnectFailed || o == NotSent
}

// EventKind says which fields of an Event are set.
type EventKind uint8

// The kinds of event.
const (
	Start           EventKind = iota // the instance starts
	Arrived                          // Request, Class, Repeat, Work, Tenant, Grace
	Finished                         // Request, Attempt, Endpoint, Outcome, Latency, RequestDone
	StreamBegan                      // Request, Attempt: its body or answer has begun and can't be sent twice
	ClientLeft                       // Request
	TimerDue                         // the timer set with SetTimer is due
	ListChanged                      // Endpoints: only the changed lines
	ListReplaced                     // Endpoints: the full list
	ListRestored                     // Endpoints: the full list as last known, which may be old
	ListFailed                       // Grace, Refused: a poll for the list failed without any news
	ProbeFinished                    // Endpoint, Outcome, Latency, Load
	BodyReceived                     // Request, Attempt: the body that began with StreamBegan is complete
	StreamBroke                      // Endpoint: it broke off an answer that had counted as served
	Banned                           // Endpoint, listed or not: it gets no new work until Unbanned
	Unbanned                         // Endpoint: its ban has ended, however often Banned was delivered
	SettingsChanged                  // Dynamic: these settings are in effect from now on
	ListMissed                       // Since, DeliveredBy: discovery's changes since then may be missed
	ListConfirmed                    // the list is the same as discovery's, where a watch waits for changes
)

// Event is something that happened to the instance.
type Event struct {
	Kind        EventKind
	Request     RequestID
	Class       string
	Tenant      string
	Repeat      bool          // it is a client's repeat, where clients mark these
	Work        time.Duration // expected work; 0 when unknown
	Grace       time.Duration // until the client gives up on this try, or until the next poll is due
	Attempt     int
	Endpoint    EndpointID
	Outcome     Outcome
	Latency     time.Duration
	RequestDone bool // the request has had its final answer
	Refused     bool // discovery has answered the poll with a refusal
	Since       Time // 0 for now
	DeliveredBy Time // when the changes count as delivered, come or not; 0 for the usual time
	Load        Load // the endpoint's report, if one came
	Endpoints   []Endpoint
	Dynamic     *DynamicSettings
}

// ActionKind says which fields of an Action are set.
type ActionKind uint8

// The kinds of action.
const (
	Send      ActionKind = iota // Request, Endpoint, After (time-out; 0: the client's), Reason, NotAfter
	Cancel                      // Request, Attempt
	Refuse                      // Request, After (how long the client should wait; 0 for no advice), Reason
	Fail                        // Request, Reason
	SetTimer                    // After
	WatchList                   // ask discovery for the list and its changes from now on
	Probe                       // Endpoint: ask it for its load, or whether it answers
)

// Action is something that the instance decides to do. The attempts of a request are numbered from 0 in the
// order of their Sends.
type Action struct {
	Kind     ActionKind
	Request  RequestID
	Attempt  int
	Endpoint EndpointID
	After    time.Duration
	Reason   Reason
	NotAfter Time // Send: the attempt may not begin at or after this time; 0 for no such bound
}

// validate rejects settings that can't be used, and raises Peers and MaxAttempts to 1.
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
		{"answer slack", r.AnswerSlack}, {"ask every", r.PollEvery}, {"cold time", r.ColdTime},
		{"fall window", r.OverloadWindow}, {"drain grace", r.DrainGrace},
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
