// Package scenario reads the files that describe the lab's runs: tiers, classes, tenants, load and a timeline of
// faults. It checks a whole file and reports everything that is wrong with it at once.
package scenario

import (
	"fmt"
	"slices"
	"time"

	"heathgap/decide"
	"heathgap/internal/lab/load"
	"heathgap/internal/lab/servermodel"
	"heathgap/internal/tomlread"
)

// MaxRate bounds the load, in requests per second. Above it, this lab has not been shown to send its own requests on
// time (docs/results.md).
const MaxRate = 6000

// Bounds that keep a run within the descriptors and ports of one machine.
const (
	maxTiers     = 4
	maxEndpoints = 3200
	maxSidecars  = 32
	maxClasses   = 32
	maxTenants   = 200
	maxFaults    = 200
	maxDuration  = time.Hour
)

// Scenario is the content of one file.
type Scenario struct {
	Name     string
	About    string
	Seed     uint64
	Duration time.Duration
	Warmup   time.Duration // requests that are due before it don't count for the measured service
	Rules    Rules
	Limits   Limits
	Tiers    []Tier
	Classes  []Class
	Tenants  []Tenant
	Load     Load
	Faults   []Fault
	Margin   time.Duration // tolerance of the checker's time limits
	MaxLag   time.Duration // a run whose own requests were sent later than this, at the 99th percentile, doesn't count
	Notice   time.Duration // how long the front goes on picking a sidecar that has died
}

// Rules are the parameters of the rules, as in the sidecars' settings.
type Rules struct {
	AnswerSlack, PollEvery, DeliveredAfter, Cold, DrainGrace, OverloadFor time.Duration
	ColdFrom, OverloadMultiple                                            float64
}

// Limits are the limits in the sidecars' settings.
type Limits struct {
	MemoryMB, Sockets, MaxAttempts, MaxPending int
	Cancel, Hedging, RetryAfter                bool
	MaxRetryAfter, ConnectTimeout, ConnIdle    time.Duration
}

// Tier is one tier of endpoints.
type Tier struct {
	Name        string
	Endpoints   int
	Sidecars    int // of the first tier; in later tiers, each endpoint of the tier before has a sidecar of its own
	Zones       []string
	Groups      int // number of cells that the endpoints are divided into
	ServerModel servermodel.Conf
	WorkScale   float64       // factor of the classes' work
	Connections int           // that an endpoint accepts at once; 0 for no limit
	Handshake   time.Duration // work that a new connection costs an endpoint
	Body        int           // bytes of an answer
	Calls       int           // calls of the next tier for each request
	CallClass   string        // class of those calls
	ListBy      string        // "subscribe" or "push": the membership mode in the settings
}

// Class is a class of requests.
type Class struct {
	Name             string
	Effect           decide.Effect
	Group            string // effect group: all, zone or cell
	Window           time.Duration
	Aim, Deadline    time.Duration
	Worth, LateShare float64
	Share            float64
	Work             time.Duration
}

// Tenant is a tenant with its share of the load.
type Tenant struct {
	Name  string
	Share float64 // part of the load, relative to the other tenants
	// Allowed is the sidecars' setting allowance_per_s: requests per second, over all sidecars, beyond which a request of the tenant counts
	// for less. 0 leaves the tenant out of the settings.
	Allowed float64
	Portion float64 // the sidecars' setting portion, passed on if Allowed is above 0; package decide does not use it
}

// Load says how many requests clients send, and how the clients behave.
type Load struct {
	Rate          float64
	Shape         load.Shape
	Low           float64
	Period        time.Duration
	Behavior      load.ClientBehavior
	MalformedRate float64 // malformed requests per second
}

// Kind is a kind of fault.
type Kind string

// The kinds.
const (
	Crash             Kind = "crash"             // endpoints die, and start again after For at the same address
	Replace           Kind = "replace"           // endpoints die, and others under new names start after For
	Pause             Kind = "pause"             // endpoints stop working for a while
	Slow              Kind = "slow"              // endpoints work at Factor of their speed
	Errors            Kind = "errors"            // endpoints fail a share (RequestShare) of their requests at once
	Hang              Kind = "hang"              // endpoints accept requests and never answer
	Silent            Kind = "silent"            // the network of the endpoints' machines is partitioned
	Refuse            Kind = "refuse"            // endpoints reject all requests
	TruncatedAnswer   Kind = "half"              // endpoints break off within answers
	Garbage           Kind = "garbage"           // endpoints answer with something that is not HTTP
	ExtraBytes        Kind = "surplus"           // endpoints send bytes after their answers
	Drain             Kind = "drain"             // endpoints drain, and leave after For
	Release           Kind = "release"           // the tier is replaced, Share of it at a time; each batch drains for For
	Add               Kind = "add"               // Count cold endpoints join
	SidecarKill       Kind = "sidecar_kill"      // sidecars are killed, and start again after For
	SidecarRestart    Kind = "sidecar_restart"   // sidecars get SIGTERM, end, and start again after For
	DiscoveryDown     Kind = "discovery_down"    // discovery fails all calls for For
	DiscoveryLag      Kind = "discovery_lag"     // each answer of discovery is delayed by Lag
	DiscoveryOverload Kind = "discovery_crowded" // discovery refuses each new call after Lag, as if it had too many callers
	Flood             Kind = "flood"             // requests of Tenant, or of all tenants, times Factor
)

var faultKinds = []string{
	string(Crash), string(Replace), string(Pause), string(Slow), string(Errors), string(Hang), string(Silent),
	string(Refuse), string(TruncatedAnswer), string(Garbage), string(ExtraBytes), string(Drain), string(Release), string(Add),
	string(SidecarKill), string(SidecarRestart), string(DiscoveryDown), string(DiscoveryLag),
	string(DiscoveryOverload), string(Flood),
}

// Fault is one entry of the timeline.
type Fault struct {
	Kind         Kind
	At           time.Duration
	For          time.Duration
	Tier         int     // index of the endpoints' tier
	Share        float64 // share of the endpoints or sidecars that have the fault
	RequestShare float64 // errors: share of an endpoint's requests that fail
	Count        int     // number of endpoints or sidecars, instead of Share
	Factor       float64
	Tenant       string
	Lag          time.Duration
	Listed       time.Duration // crash: how long after it discovery lists the endpoints as gone; 0 for never
}

// LoadFile reads and checks a file.
func LoadFile(path string) (*Scenario, error) {
	doc, err := tomlread.Load(path)
	if err != nil {
		return nil, err
	}
	return decode(doc)
}

// Parse reads and checks a text; file is the name used in errors.
func Parse(file string, text []byte) (*Scenario, error) {
	doc, err := tomlread.Parse(file, text)
	if err != nil {
		return nil, err
	}
	return decode(doc)
}

func decode(doc *tomlread.Doc) (*Scenario, error) {
	root := doc.Root
	s := &Scenario{}
	root.Require("name", "a text")
	root.Require("duration", "a time with its unit")
	s.Name = root.Text("name", "")
	s.About = root.Text("about", s.Name)
	s.Seed = uint64(root.Int("seed", 1, 0, 1<<53))
	s.Duration = root.Duration("duration", time.Second, time.Second, maxDuration)
	s.Warmup = root.Duration("warmup", 0, 0, s.Duration)
	s.Margin = root.Duration("margin", 50*time.Millisecond, 0, time.Minute)
	s.MaxLag = root.Duration("most_lag", 10*time.Millisecond, time.Millisecond, time.Minute)
	s.Notice = root.Duration("notice", 2*time.Second, 0, time.Minute)
	s.Rules = decodeRules(root.Table("rules"))
	s.Limits = decodeLimits(root.Table("limits"))
	s.decodeClasses(root)
	s.decodeTenants(root)
	s.decodeTiers(root)
	s.decodeLoad(root.Table("load"))
	for _, t := range root.Tables("fault", maxFaults) {
		s.Faults = append(s.Faults, s.decodeFault(t))
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

const hour = time.Hour

func decodeRules(t *tomlread.Table) Rules {
	return Rules{
		AnswerSlack:      t.Duration("answer_slack", 20*time.Millisecond, 0, time.Second),
		PollEvery:        t.Duration("ask_every", 10*time.Second, time.Second, hour),
		DeliveredAfter:   t.Duration("told_after", 6*time.Second, 0, hour),
		Cold:             t.Duration("cold", 8*time.Second, 0, hour),
		DrainGrace:       t.Duration("drain_grace", time.Second, 0, time.Minute),
		OverloadFor:      t.Duration("overload_for", 3*time.Second, 0, hour),
		ColdFrom:         t.Float("cold_from", 0.3, 0.01, 1),
		OverloadMultiple: t.Float("fall_multiple", 3, 1, 100),
	}
}

func decodeLimits(t *tomlread.Table) Limits {
	return Limits{
		MemoryMB:       t.Int("memory_mb", 192, 16, 8192),
		Sockets:        t.Int("sockets", 1024, 64, 65536),
		MaxAttempts:    t.Int("max_attempts", 4, 1, 16),
		MaxPending:     t.Int("most_held", 1000, 1, 100_000),
		Cancel:         t.Bool("cancel", true),
		Hedging:        t.Bool("second_copies", true),
		RetryAfter:     t.Bool("retry_after", true),
		MaxRetryAfter:  t.Duration("max_retry_after", 2*time.Second, 0, time.Minute),
		ConnectTimeout: t.Duration("connect_timeout", 500*time.Millisecond, time.Millisecond, time.Minute),
		ConnIdle:       t.Duration("conn_idle", 10*time.Second, 100*time.Millisecond, hour),
	}
}

var effects = map[string]decide.Effect{"safe": decide.Safe, "keyed": decide.Keyed, "unsafe": decide.Unsafe}

func (s *Scenario) decodeClasses(root *tomlread.Table) {
	root.Require("class", "an array of tables")
	for _, t := range root.Tables("class", maxClasses) {
		t.Require("name", "a text")
		t.Require("work", "a time with its unit")
		c := Class{
			Name:      t.Text("name", ""),
			Effect:    effects[t.Enum("effect", "safe", "safe", "keyed", "unsafe")],
			Group:     t.Enum("group", "all", "all", "zone", "cell"),
			Window:    t.Duration("window", 0, 0, hour),
			Aim:       t.Duration("aim", 500*time.Millisecond, time.Millisecond, time.Minute),
			Deadline:  t.Duration("deadline", 2*time.Second, time.Millisecond, time.Minute),
			Worth:     t.Float("worth", 1, 0, 1000),
			LateShare: t.Float("late_share", 0.5, 0, 1),
			Share:     t.Float("share", 1, 0, 1e6),
			Work:      t.Duration("work", time.Millisecond, time.Microsecond, time.Minute),
		}
		if c.Effect == decide.Keyed && c.Window == 0 {
			t.Fail("window", "missing or 0", "a time with its unit: keyed repeats are dropped within it")
		}
		if c.Aim > c.Deadline {
			t.Fail("aim", fmt.Sprintf("%q", c.Aim), fmt.Sprintf("up to the deadline, %q", c.Deadline))
		}
		if slices.ContainsFunc(s.Classes, func(o Class) bool { return o.Name == c.Name }) {
			t.Fail("name", fmt.Sprintf("%q, once more", c.Name), "a name of its own")
		}
		s.Classes = append(s.Classes, c)
	}
}

func (s *Scenario) decodeTenants(root *tomlread.Table) {
	for _, t := range root.Tables("tenant", maxTenants) {
		t.Require("name", "a text")
		s.Tenants = append(s.Tenants, Tenant{
			Name:    t.Text("name", ""),
			Share:   t.Float("share", 1, 0, 1e6),
			Allowed: t.Float("allowed", 0, 0, 1e6),
			Portion: t.Float("portion", 0, 0, 1),
		})
	}
	if len(s.Tenants) == 0 {
		s.Tenants = []Tenant{{Name: "all", Share: 1}}
	}
}

func (s *Scenario) decodeTiers(root *tomlread.Table) {
	root.Require("tier", "an array of tables")
	tables := root.Tables("tier", maxTiers)
	for i, t := range tables {
		t.Require("name", "a text")
		t.Require("endpoints", "a whole number")
		tier := Tier{
			Name:        t.Text("name", ""),
			Endpoints:   t.Int("endpoints", 1, 1, maxEndpoints),
			Zones:       t.Texts("zones"),
			Groups:      t.Int("groups", 1, 1, maxEndpoints),
			WorkScale:   t.Float("work_scale", 1, 0.001, 1000),
			Connections: t.Int("connections", 0, 0, 65536),
			Handshake:   t.Duration("handshake", 0, 0, time.Second),
			Body:        t.Int("body", 200, 0, 1<<20),
			ListBy:      t.Enum("list_by", "subscribe", "subscribe", "push"),
		}
		tier.ServerModel = decodeServerModel(t, s.Rules)
		if len(tier.Zones) == 0 {
			tier.Zones = []string{"a"}
		}
		if i == 0 {
			tier.Sidecars = t.Int("sidecars", 1, 1, maxSidecars)
		}
		if i < len(tables)-1 {
			tier.Calls = t.Int("calls", 1, 0, 16)
			t.Require("call_class", "the name of a class")
			tier.CallClass = t.Text("call_class", "")
			if t.Has("call_class") && s.classIndex(tier.CallClass) < 0 {
				t.Fail("call_class", fmt.Sprintf("%q", tier.CallClass), "the name of a class")
			}
			if tier.Calls > 0 && tier.Endpoints > maxSidecars {
				t.Fail("endpoints", fmt.Sprint(tier.Endpoints), fmt.Sprintf("up to %d where they call: each has a sidecar", maxSidecars))
			}
		}
		s.Tiers = append(s.Tiers, tier)
	}
}

func decodeServerModel(t *tomlread.Table, rules Rules) servermodel.Conf {
	return servermodel.Conf{
		Cores:            t.Float("cores", 2, 0.01, 1000),
		Speed:            t.Float("speed", 1, 0.01, 1000),
		Slots:            t.Int("slots", 16, 1, 100_000),
		Queue:            t.Int("queue", 32, 0, 100_000),
		ChokeAbove:       t.Int("choke_above", 0, 0, 100_000),
		ChokeTo:          t.Float("choke_to", 1, 0.01, 1),
		ColdFrom:         rules.ColdFrom,
		ColdFor:          rules.Cold,
		OverloadMultiple: rules.OverloadMultiple,
		OverloadFor:      rules.OverloadFor,
	}
}

// classIndex returns the index of a class, or -1.
func (s *Scenario) classIndex(name string) int {
	return slices.IndexFunc(s.Classes, func(c Class) bool { return c.Name == name })
}

func (s *Scenario) decodeLoad(t *tomlread.Table) {
	const maxOfCapacity = 20
	l := &s.Load
	l.Shape = load.Shape(t.Enum("shape", "steady", "steady", "ramp", "surge", "wander"))
	l.Low = t.Float("low", 0.5, 0, 1)
	l.Period = t.Duration("period", 10*time.Second, time.Second, hour)
	if t.Has("of_capacity") {
		if t.Has("rate") {
			t.MarkKnown("rate")
			t.Fail("of_capacity", "beside rate", "one of the two")
		}
		l.Rate = t.Float("of_capacity", 0.5, 0.001, maxOfCapacity) * s.Capacity()
	} else {
		t.Require("rate", fmt.Sprintf("requests a second up to %d, or of_capacity", MaxRate))
		l.Rate = t.Float("rate", 1, 0.1, 1e9)
	}
	if l.Rate > MaxRate {
		key := "rate"
		if t.Has("of_capacity") {
			key = "of_capacity"
		}
		t.Fail(key, fmt.Sprintf("%.0f requests a second", l.Rate), fmt.Sprintf("up to %d: more than the lab can make", MaxRate))
	}
	l.MalformedRate = t.Float("rude", 0, 0, 200)
	l.Behavior = load.ClientBehavior{
		Retries:   t.Int("retries", 0, 0, 20),
		Backoff:   t.Duration("backoff", 50*time.Millisecond, 0, time.Minute),
		Impatient: t.Float("impatient", 0, 0, 1),
		LeaveAt:   t.Float("leave_at", 0.5, 0, 1),
		Churn:     t.Float("churn", 0, 0, 1),
		Body:      t.Int("body", 64, 0, 64<<10),
	}
}

// Capacity returns how many requests per second the first tier can serve while all its endpoints are warm and without
// faults.
func (s *Scenario) Capacity() float64 {
	if len(s.Tiers) == 0 {
		return 0
	}
	shares, work := 0.0, 0.0
	for _, c := range s.Classes {
		shares += c.Share
		work += c.Share * c.Work.Seconds()
	}
	t := s.Tiers[0]
	if work == 0 {
		return 0
	}
	return float64(t.Endpoints) * t.ServerModel.Cores * t.ServerModel.Speed / (work / shares * t.WorkScale)
}

// faultKeys are the keys that each kind of fault may have besides kind and at.
var faultKeys = map[Kind][]string{
	Crash: {"for", "tier", "share", "count", "listed_after"}, Replace: {"for", "tier", "share", "count"},
	Pause: {"for", "tier", "share", "count"}, Slow: {"for", "tier", "share", "count", "factor"},
	Errors: {"for", "tier", "share", "count", "of_requests"}, Hang: {"for", "tier", "share", "count"},
	Silent: {"for", "tier", "share", "count"}, Refuse: {"for", "tier", "share", "count"},
	TruncatedAnswer: {"for", "tier", "share", "count"}, Garbage: {"for", "tier", "share", "count"},
	ExtraBytes: {"for", "tier", "share", "count"}, Drain: {"for", "tier", "share", "count"},
	Release: {"for", "tier", "share", "count"}, Add: {"tier", "count"},
	SidecarKill: {"for", "share", "count"}, SidecarRestart: {"for", "share", "count"},
	DiscoveryDown: {"for", "tier"}, DiscoveryLag: {"for", "tier", "lag"},
	DiscoveryOverload: {"for", "tier", "lag"}, Flood: {"for", "tenant", "factor"},
}

func (s *Scenario) decodeFault(t *tomlread.Table) Fault {
	t.Require("kind", "a kind of fault")
	t.Require("at", "a time with its unit")
	f := Fault{
		Kind:         Kind(t.Enum("kind", "", faultKinds...)),
		At:           t.Duration("at", 0, 0, s.Duration),
		Share:        1,
		RequestShare: 1,
		Factor:       1,
	}
	if f.Kind == "" {
		t.MarkKnown("for", "tier", "share", "count", "of_requests", "factor", "lag", "listed_after", "tenant") // which keys an unknown kind has can't be told
	}
	for _, key := range faultKeys[f.Kind] {
		s.decodeFaultKey(t, &f, key)
	}
	if t.Has("share") && t.Has("count") {
		t.Fail("count", "beside share", "one of the two")
	}
	return f
}

func (s *Scenario) decodeFaultKey(t *tomlread.Table, f *Fault, key string) {
	const maxFactor = 100
	switch key {
	case "for":
		t.Require(key, "a time with its unit")
		f.For = t.Duration(key, 0, 0, maxDuration)
	case "tier":
		f.Tier = max(0, s.decodeTierName(t, key))
	case "share":
		f.Share = t.Float(key, 1, 0.001, 1)
	case "count":
		if f.Kind == Add {
			t.Require(key, "a whole number")
		}
		f.Count = t.Int(key, 0, 1, maxEndpoints)
	case "of_requests":
		f.RequestShare = t.Float(key, 1, 0, 1)
	case "factor":
		t.Require(key, "a number")
		f.Factor = t.Float(key, 1, 0.001, maxFactor)
	case "lag":
		t.Require(key, "a time with its unit")
		f.Lag = t.Duration(key, 0, 0, time.Minute)
	case "listed_after":
		f.Listed = t.Duration(key, 0, 0, time.Minute)
	case "tenant":
		f.Tenant = t.Text(key, "")
		if f.Tenant != "" && !slices.ContainsFunc(s.Tenants, func(o Tenant) bool { return o.Name == f.Tenant }) {
			t.Fail(key, fmt.Sprintf("%q", f.Tenant), "the name of a tenant")
		}
	}
}

// decodeTierName returns the index of the named tier, and of the first tier if no name is given.
func (s *Scenario) decodeTierName(t *tomlread.Table, key string) int {
	name := t.Text(key, "")
	names := make([]string, len(s.Tiers))
	for i, tier := range s.Tiers {
		if names[i] = tier.Name; name == tier.Name || name == "" {
			return i
		}
	}
	t.Fail(key, fmt.Sprintf("%q", name), fmt.Sprint(names))
	return -1
}

// Plan returns the arrivals of the load, with the floods among the faults.
func (s *Scenario) Plan() *load.Plan {
	p := &load.Plan{
		Rate: s.Load.Rate, Shape: s.Load.Shape, Low: s.Load.Low, Period: s.Load.Period, Duration: s.Duration,
	}
	for _, c := range s.Classes {
		p.Classes = append(p.Classes, load.Share{Name: c.Name, Share: c.Share})
	}
	for _, t := range s.Tenants {
		p.Tenants = append(p.Tenants, load.Share{Name: t.Name, Share: t.Share})
	}
	for _, f := range s.Faults {
		if f.Kind == Flood {
			p.Floods = append(p.Floods, load.Flood{Tenant: f.Tenant, At: f.At, For: f.For, Factor: f.Factor})
		}
	}
	return p
}
