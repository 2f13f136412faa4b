package oracle

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of recorded latencies: a microsecond to a minute, three digits.
const (
	leastLatency = int64(time.Microsecond)
	mostLatency  = int64(time.Minute)
	latencyFigs  = 3
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
	asked, served, inTime int
	earned, wanted        float64
	took                  *hdrhistogram.Histogram
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
	return group{took: hdrhistogram.New(leastLatency, mostLatency, latencyFigs)}
}

// Ended adds what a client wanted, once it is settled.
func (s *Service) Ended(w LogicalRequest) {
	worth := s.worth[w.Class]
	earned := 0.0
	inTime := w.Served && w.Took <= worth.Aim
	switch {
	case inTime:
		earned = worth.Full
	case w.Served && w.Took <= worth.Deadline:
		earned = worth.Full * worth.Late
	}
	second := int(w.Due / time.Second)
	for len(s.series) <= second {
		s.series = append(s.series, Second{})
	}
	at := &s.series[second]
	at.Requests++
	at.Wanted += worth.Full
	at.Earned += earned
	if w.Served {
		at.Served++
	}
	if inTime {
		at.InTime++
	}
	if w.Due < s.from {
		return
	}
	s.tries += w.Tries
	for _, g := range []*group{&s.all, member(s.classes, w.Class), member(s.tenants, w.Tenant)} {
		g.asked++
		g.wanted += worth.Full
		g.earned += earned
		if inTime {
			g.inTime++
		}
		if w.Served {
			g.served++
			g.took.RecordValue(min(max(int64(w.Took), leastLatency), mostLatency)) //nolint:errcheck // it is within bounds
		}
	}
}

func member(groups map[string]*group, name string) *group {
	g := groups[name]
	if g == nil {
		fresh := newGroup()
		g = &fresh
		groups[name] = g
	}
	return g
}

func (g *group) figures() Stats {
	f := Stats{Requests: g.asked, Served: g.served, InTime: g.inTime, Service: share(g.earned, g.wanted)}
	f.P50 = toMS(g.took.ValueAtQuantile(50))
	f.P99 = toMS(g.took.ValueAtQuantile(99))
	return f
}

func toMS(ns int64) float64 { return float64(ns/1000) / 1000 }

func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// All are the figures of all requests.
func (s *Service) All() Stats { return s.all.figures() }

// Classes are the figures by class.
func (s *Service) Classes() map[string]Stats { return figuresOf(s.classes) }

// Tenants are the figures by tenant.
func (s *Service) Tenants() map[string]Stats { return figuresOf(s.tenants) }

// Series are the seconds of the run, those before the count begins included.
func (s *Service) Series() []Second { return s.series }

// Tries is how often sidecars were asked for what counts.
func (s *Service) Tries() int { return s.tries }

func figuresOf(groups map[string]*group) map[string]Stats {
	out := map[string]Stats{}
	for name, g := range groups {
		out[name] = g.figures()
	}
	return out
}
