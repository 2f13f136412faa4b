package oracle

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of recorded latencies: a microsecond to a minute, three digits.
const (
	minLatency    = int64(time.Microsecond)
	maxLatency    = int64(time.Minute)
	latencyDigits = 3
)

// LogicalRequest is what a client wanted, however often it had to ask for it.
type LogicalRequest struct {
	Class, Tenant string
	Due           time.Duration // when it was to be asked, whenever that was
	Took          time.Duration // from Due to the answer that served it
	Served        bool
	Tries         int
}

// Worth says what a class's answers earn.
type Worth struct {
	Full     float64       // within Aim
	Late     float64       // part of it, within Deadline
	Aim      time.Duration // from when it was due
	Deadline time.Duration
}

// Service adds up what clients wanted and got.
type Service struct {
	worth   map[string]Worth
	from    time.Duration // what was due before does not count
	classes map[string]*group
	tenants map[string]*group
	series  []Second
	tries   int
	all     group
}

// group is a class, or a tenant.
type group struct {
	requests, served, inTime int
	earned, wanted           float64
	latencies                *hdrhistogram.Histogram
}

// Second is one second of a run, by when requests were due.
type Second struct {
	Requests int     `json:"asked"`
	Served   int     `json:"served"`
	InTime   int     `json:"in_time"`
	Earned   float64 `json:"earned"`
	Wanted   float64 `json:"wanted"`
}

// Stats are those of a class or a tenant.
type Stats struct {
	Requests int     `json:"asked"`
	Served   int     `json:"served"`
	InTime   int     `json:"in_time"` // within the class's aim
	Service  float64 `json:"service"` // worth earned over worth asked
	P50      float64 `json:"p50_ms"`  // of what was served, from when it was due
	P99      float64 `json:"p99_ms"`
}

// NewService returns an empty sum; worths are by class.
func NewService(worth map[string]Worth, from time.Duration) *Service {
	return &Service{worth: worth, from: from, classes: map[string]*group{}, tenants: map[string]*group{}, all: newGroup()}
}

func newGroup() group {
	return group{latencies: hdrhistogram.New(minLatency, maxLatency, latencyDigits)}
}

// Ended adds what a client wanted, once it is settled.
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

func toMS(ns int64) float64 { return float64(ns/1000) / 1000 }

func ratio(part, total float64) float64 {
	if total == 0 {
		return 0
	}
	return part / total
}

// All are the figures of all requests.
func (s *Service) All() Stats { return s.all.stats() }

// Classes are the figures by class.
func (s *Service) Classes() map[string]Stats { return statsOf(s.classes) }

// Tenants are the figures by tenant.
func (s *Service) Tenants() map[string]Stats { return statsOf(s.tenants) }

// Series are the seconds of the run, those before the count begins included.
func (s *Service) Series() []Second { return s.series }

// Tries is how often sidecars were asked for what counts.
func (s *Service) Tries() int { return s.tries }

func statsOf(groups map[string]*group) map[string]Stats {
	out := map[string]Stats{}
	for name, g := range groups {
		out[name] = g.stats()
	}
	return out
}
