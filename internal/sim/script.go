package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is a kind of fault.
type FaultKind string

// The kinds. What lasts ends after For.
const (
	Crash         FaultKind = "crash"    // an endpoint dies, and comes back cold under its name
	ColdJoin      FaultKind = "cold"     // a cold endpoint joins, under a name of its own
	Drain         FaultKind = "drain"    // an endpoint drains, and leaves
	Stall         FaultKind = "stall"    // an endpoint stops working
	Errors        FaultKind = "errors"   // an endpoint fails all it gets, at once
	Refuse        FaultKind = "refuse"   // an endpoint turns all away
	Hang          FaultKind = "hang"     // an endpoint never answers
	Truncate      FaultKind = "half"     // an endpoint breaks off within answers
	Garbage       FaultKind = "garbage"  // an endpoint answers with nonsense
	Partition     FaultKind = "cut_off"  // a machine is silent
	SlowConnect   FaultKind = "late"     // connections to an endpoint come up late
	Kill          FaultKind = "kill"     // a sidecar is killed, and starts again from nothing
	Stop          FaultKind = "stop"     // a sidecar gets SIGTERM, and starts again when it has ended
	DiscoveryDown FaultKind = "listdown" // discovery is down
	Reload        FaultKind = "reload"   // a sidecar is told another discovery's address, with the same list
)

var endpointFaults = []FaultKind{Crash, ColdJoin, Drain, Stall, Errors, Refuse, Hang, Truncate, Garbage, Partition}
var otherFaults = []FaultKind{Kill, Stop, DiscoveryDown, Reload}

// Fault is one fault of a script.
type Fault struct {
	Kind   FaultKind
	At     time.Duration
	For    time.Duration
	Target int // endpoint or sidecar, modulo how many there are
}

// Request is one request of a script.
type Request struct {
	ID    string
	Class string
	Key   string
	At    time.Duration
	Leave time.Duration // after which its client leaves; 0 for never
	Close bool          // its connection ends with it
	Fresh bool          // on a connection of its own
}

// Script is all that happens in a run but what the scheduler picks: that follows from
// Seed. A failing script can be made smaller and kept.
type Script struct {
	Seed      uint64
	Sidecars  int
	Endpoints int
	Duration  time.Duration
	Window    time.Duration // in which keys are known
	Work      time.Duration // of a request, on average
	Requests  []Request     `json:"Asks"` // in the order of their times
	Faults    []Fault
}

// Sizes of drawn scripts.
const (
	maxSidecars           = 3
	minEndpoints          = 3
	maxEndpoints          = 6
	minRequests           = 40
	extraRequests         = 80
	heavyRequests         = 300 // of one script in heavyEvery, which also has a cold arrival
	heavyEvery            = 5
	maxFaults             = 10
	overlapEvery          = 4 // one script in so many has all four kinds of trouble at once
	partitionedDrainEvery = 6 // one script in so many has an endpoint drain whose machine is cut off
	slowConnectEvery      = 4 // one script in so many has connections to all endpoints come up late, from some time on
	scriptDuration        = 6 * time.Second
	timeGrid              = time.Millisecond // requests and faults begin on it, so that some meet in an instant
	lightWork             = 15 * time.Millisecond
	heavyWork             = 50 * time.Millisecond
	longWindow            = 3 * time.Second
	shortWindow           = 600 * time.Millisecond // of one script in three: repeats must stay within it
)

// randomTime draws a time on the grid.
func randomTime(r *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(limit/timeGrid))) * timeGrid
}

// GenerateScript draws a script from a seed.
func GenerateScript(seed uint64) Script {
	r := rand.New(rand.NewPCG(seed, 12))
	s := Script{
		Seed: seed, Sidecars: 1 + r.IntN(maxSidecars), Duration: scriptDuration,
		Endpoints: minEndpoints + r.IntN(maxEndpoints-minEndpoints+1), Window: longWindow, Work: lightWork,
	}
	asks := minRequests + r.IntN(extraRequests)
	if r.IntN(heavyEvery) == 0 {
		asks, s.Work = heavyRequests, heavyWork
		s.Faults = append(s.Faults, Fault{Kind: ColdJoin, At: randomTime(r, s.Duration/2)})
	}
	if r.IntN(3) == 0 {
		s.Window = shortWindow
	}
	for n := range asks {
		a := Request{ID: fmt.Sprintf("r%03d", n), At: randomTime(r, s.Duration)}
		switch n := r.IntN(10); {
		case n < 5:
			a.Class = "look"
		case n < 8:
			a.Class, a.Key = "pay", "k"+a.ID
		default:
			a.Class = "burn"
		}
		if r.IntN(12) == 0 {
			a.Leave = time.Duration(1 + r.Int64N(int64(200*time.Millisecond)))
		}
		a.Close = r.IntN(10) == 0
		a.Fresh = r.IntN(4) == 0
		s.Requests = append(s.Requests, a)
	}
	// Bursts: some requests come in the same instant as others.
	for n := range s.Requests {
		if r.IntN(5) == 0 {
			s.Requests[n].At = s.Requests[r.IntN(len(s.Requests))].At
		}
	}
	slices.SortStableFunc(s.Requests, func(a, b Request) int { return int(a.At - b.At) })
	for range r.IntN(maxFaults + 1) {
		kinds := endpointFaults
		if r.IntN(3) == 0 {
			kinds = otherFaults
		}
		s.Faults = append(s.Faults, Fault{
			Kind: kinds[r.IntN(len(kinds))], Target: r.IntN(maxEndpoints),
			At: randomTime(r, s.Duration), For: timeGrid + randomTime(r, maxFaultDuration),
		})
	}
	if r.IntN(overlapEvery) == 0 {
		s.Faults = append(s.Faults, overlappingFaults(r, s.Duration)...)
	}
	if r.IntN(partitionedDrainEvery) == 0 {
		// Dials to a machine that is cut off hang: the drain comes meanwhile.
		partition := Fault{Kind: Partition, Target: r.IntN(maxEndpoints), At: randomTime(r, s.Duration), For: maxFaultDuration}
		drain := Fault{Kind: Drain, Target: partition.Target, At: partition.At + randomTime(r, maxFaultDuration/2), For: maxFaultDuration}
		s.Faults = append(s.Faults, partition, drain)
	}
	// From a source of its own, so that the rest of a seed's script stays as it was.
	if rng := rand.New(rand.NewPCG(seed, 13)); rng.IntN(slowConnectEvery) == 0 {
		for target := range s.Endpoints {
			s.Faults = append(s.Faults, Fault{Kind: SlowConnect, Target: target, At: randomTime(rng, s.Duration/2), For: s.Duration})
		}
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return s
}

// maxFaultDuration bounds how long a fault lasts.
const maxFaultDuration = 2 * time.Second

// overlappingFaults draws a restart, a failure, a stall and a cold arrival that meet.
func overlappingFaults(rng *rand.Rand, duration time.Duration) (faults []Fault) {
	meet := randomTime(rng, duration-maxFaultDuration) + maxFaultDuration/2
	for _, kinds := range [][]FaultKind{{Kill, Stop}, {Errors, Truncate, Garbage, Refuse}, {Stall, Hang, Partition}, {ColdJoin, Crash}} {
		before := randomTime(rng, maxFaultDuration/2)
		faults = append(faults, Fault{
			Kind: kinds[rng.IntN(len(kinds))], Target: rng.IntN(maxEndpoints), At: meet - before, For: before + randomTime(rng, maxFaultDuration/2),
		})
	}
	return faults
}

// HasOverlap tells whether a restart, a failure, a stall and a cold arrival are all
// under way at one time.
func (s *Script) HasOverlap() bool {
	groups := map[FaultKind]int{
		Kill: 0, Stop: 0, Errors: 1, Truncate: 1, Garbage: 1, Refuse: 1, Stall: 2, Hang: 2, Partition: 2, ColdJoin: 3, Crash: 3,
	}
	for _, start := range s.Faults {
		seen := [4]bool{}
		for _, f := range s.Faults {
			group, counts := groups[f.Kind]
			end := f.At + f.For
			if f.Kind == ColdJoin || f.Kind == Crash {
				end += coldFor // it is cold for so long after
			}
			if counts && f.At <= start.At && start.At <= end {
				seen[group] = true
			}
		}
		if seen == [4]bool{true, true, true, true} {
			return true
		}
	}
	return false
}
