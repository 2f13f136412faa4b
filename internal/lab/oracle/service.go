package oracle

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of recorded latencies, in nanoseconds, and their precision in significant decimal digits.
const (
	minLatency    = int64(time.Microsecond)
	maxLatency    = int64(time.Minute)
	latencyDigits = 3
)

// LogicalRequest is what a client wants, over all the requests that it sends for it.
type LogicalRequest struct {
	Class, Tenant string
	Due           time.Duration // when its first request was planned, even if it was sent later
	Took          time.Duration // from Due to the answer that served it
	Served        bool
	Tries         int // requests sent for it
}

// Worth is what the answers of a class are worth, by their latency.
type Worth struct {
	Full     float64       // of an answer within Aim
	Late     float64       // the fraction of Full that an answer within Deadline earns
	Aim      time.Duration // from Due, as Deadline
	Deadline time.Duration
}

// Service sums up what clients wanted and what they got.
type Service struct {
	worth   map[string]Worth // by class
	from    time.Duration    // logical requests due earlier count in series only
	classes map[string]*group
	tenants map[string]*group
	series  []Second
	tries   int
	all     group
}

// group holds the sums of a class, of a tenant or of all requests.
type group struct {
	requests, served, inTime int
	earned, wanted           float64
	latencies                *hdrhistogram.Histogram
}

// Second sums up the logical requests that were due in one second of a run. Earned and Wanted are worths.
type Second struct {
	Requests int     `json:"asked"`
	Served   int     `json:"served"`
	InTime   int     `json:"in_time"`
	Earned   float64 `json:"earned"`
	Wanted   float64 `json:"wanted"`
}

// Stats are the statistics of a class, of a tenant or of all requests. P50 and P99 are in milliseconds.
type Stats struct {
	Requests int     `json:"asked"`
	Served   int     `json:"served"`
	InTime   int     `json:"in_time"` // within the class's aim
	Service  float64 `json:"service"` // worth earned divided by worth wanted
	P50      float64 `json:"p50_ms"`  // latency of served requests, from Due
	P99      float64 `json:"p99_ms"`
}

// NewService returns an empty Service. worth is by class; logical requests that are due before from count in Series only.
func NewService(worth map[string]Worth, from time.Duration) *Service {
	return &Service{worth: worth, from: from, classes: map[string]*group{}, tenants: map[string]*group{}, all: newGroup()}
}

func newGroup() group {
	return group{latencies: hdrhistogram.New(minLatency, maxLatency, latencyDigits)}
}

// Ended adds a logical request whose outcome is known.
func (s *Service) Ended(r LogicalRequest) {
	worth := s.worth[r.Class]
	earned := 0.0
	inTime := r.Served && r.Took <= worth.Aim
	switch {
	case inTime:
		earned = worth.Full
	case r.Served && r.Took <= worth.Deadline:
		earned = worth.Full * worth.Late
	}
	second := int(r.Due / time.Second)
	for len(s.series) <= second {
		s.series = append(s.series, Second{})
	}
	at := &s.series[second]
	at.Requests++
	at.Wanted += worth.Full
	at.Earned += earned
	if r.Served {
		at.Served++
	}
	if inTime {
		at.InTime++
	}
	if r.Due < s.from {
		return
	}
	s.tries += r.Tries
	for _, g := range []*group{&s.all, groupOf(s.classes, r.Class), groupOf(s.tenants, r.Tenant)} {
		g.requests++
		g.wanted += worth.Full
		g.earned += earned
		if inTime {
			g.inTime++
		}
		if r.Served {
			g.served++
			g.latencies.RecordValue(min(max(int64(r.Took), minLatency), maxLatency)) //nolint:errcheck // it is within bounds
		}
	}
}

// groupOf returns the group of a name, which it creates if there is none.
func groupOf(groups map[string]*group, name string) *group {
	g := groups[name]
	if g == nil {
		fresh := newGroup()
		g = &fresh
		groups[name] = g
	}
	return g
}

func (g *group) stats() Stats {
	f := Stats{Requests: g.requests, Served: g.served, InTime: g.inTime, Service: ratio(g.earned, g.wanted)}
	f.P50 = toMS(g.latencies.ValueAtQuantile(50))
	f.P99 = toMS(g.latencies.ValueAtQuantile(99))
	return f
}

// toMS converts nanoseconds to milliseconds, rounded down to a microsecond.
func toMS(ns int64) float64 { return float64(ns/1000) / 1000 }

// ratio returns part divided by total, and 0 where total is 0.
func ratio(part, total float64) float64 {
	if total == 0 {
		return 0
	}
	return part / total
}

// All returns the statistics of all logical requests.
func (s *Service) All() Stats { return s.all.stats() }

// Classes returns the statistics by class.
func (s *Service) Classes() map[string]Stats { return statsOf(s.classes) }

// Tenants returns the statistics by tenant.
func (s *Service) Tenants() map[string]Stats { return statsOf(s.tenants) }

// Series returns all seconds of the run, including those before the time from which requests count.
func (s *Service) Series() []Second { return s.series }

// Tries returns how many requests were sent to sidecars for the logical requests that count.
func (s *Service) Tries() int { return s.tries }

func statsOf(groups map[string]*group) map[string]Stats {
	out := map[string]Stats{}
	for name, g := range groups {
		out[name] = g.stats()
	}
	return out
}
