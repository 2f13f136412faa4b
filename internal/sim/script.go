package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is a kind of fault, as saved scripts name it.
type FaultKind string

// The kinds of faults. One that lasts ends after Fault.For.
const (
	Crash         FaultKind = "crash"    // an endpoint dies, and starts again cold under its name after For
	ColdJoin      FaultKind = "cold"     // a cold endpoint joins under a new name
	Drain         FaultKind = "drain"    // an endpoint drains, and leaves after For
	Stall         FaultKind = "stall"    // an endpoint stops working on its requests
	Errors        FaultKind = "errors"   // an endpoint answers every request with an error at once
	Refuse        FaultKind = "refuse"   // an endpoint rejects every request
	Hang          FaultKind = "hang"     // an endpoint never answers
	Truncate      FaultKind = "half"     // an endpoint truncates its answers
	Garbage       FaultKind = "garbage"  // an endpoint answers with bytes that are not HTTP
	Partition     FaultKind = "cut_off"  // an endpoint's machine is unreachable; its connections are reset when that ends
	SlowConnect   FaultKind = "late"     // connections to an endpoint are established late
	Kill          FaultKind = "kill"     // a sidecar is killed, and starts again without state after For
	Stop          FaultKind = "stop"     // a sidecar gets SIGTERM, and starts again when it has ended
	DiscoveryDown FaultKind = "listdown" // discovery does not answer
	Reload        FaultKind = "reload"   // a sidecar is given another address of discovery, which has the same list
)

// The kinds from which GenerateScript picks; SlowConnect is generated separately.
var endpointFaults = []FaultKind{Crash, ColdJoin, Drain, Stall, Errors, Refuse, Hang, Truncate, Garbage, Partition}
var otherFaults = []FaultKind{Kill, Stop, DiscoveryDown, Reload}

// Fault is one fault of a script.
type Fault struct {
	Kind   FaultKind
	At     time.Duration // since the start of the run
	For    time.Duration // how long it lasts
	Target int           // index of an endpoint or sidecar, modulo their number
}

// Request is one request of a script.
type Request struct {
	ID    string
	Class string        // "look" (safe), "pay" (keyed) or "burn" (unsafe)
	Key   string        // idempotency key; empty for none
	At    time.Duration // since the start of the run
	Leave time.Duration // the client leaves so long after it sent the request; 0 for never
	Close bool          // the client closes the connection after the answer
	Fresh bool          // the client opens a connection for it, also when one is idle
}

// Script is everything that happens in a run except the scheduler's choices, which follow from Seed.
// A failing script can be shrunk and saved.
type Script struct {
	Seed      uint64
	Sidecars  int
	Endpoints int
	Duration  time.Duration // requests and faults start within it
	Window    time.Duration // how long endpoints remember idempotency keys
	Work      time.Duration // mean time that an endpoint works on a request
	Requests  []Request     `json:"Asks"` // in the order of their times
	Faults    []Fault
}

// Sizes of generated scripts. A constant named ...Every is the n of "in one script of n".
const (
	maxSidecars           = 3
	minEndpoints          = 3
	maxEndpoints          = 6
	minRequests           = 40
	extraRequests         = 80  // at most so many more than minRequests
	heavyRequests         = 300 // in one script of heavyEvery, in which a cold endpoint joins too
	heavyEvery            = 5
	maxFaults             = 10
	overlapEvery          = 4 // overlappingFaults adds a fault of each of the four groups
	partitionedDrainEvery = 6 // an endpoint drains while its machine is unreachable
	slowConnectEvery      = 4 // connections to all endpoints are established late, each from some time on
	scriptDuration        = 6 * time.Second
	timeGrid              = time.Millisecond // requests and faults start on this grid, so that some start at the same instant
	lightWork             = 15 * time.Millisecond
	heavyWork             = 50 * time.Millisecond
	longWindow            = 3 * time.Second
	shortWindow           = 600 * time.Millisecond // in one script of three: repeats under a key must stay within it
)

// randomTime returns a time on the grid, below limit.
func randomTime(r *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(limit/timeGrid))) * timeGrid
}

// GenerateScript generates the script of a seed.
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
	// Bursts: one request in five starts at the same time as another.
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
		// Dials to an unreachable machine hang, and the endpoint drains in the meantime.
		partition := Fault{Kind: Partition, Target: r.IntN(maxEndpoints), At: randomTime(r, s.Duration), For: maxFaultDuration}
		drain := Fault{Kind: Drain, Target: partition.Target, At: partition.At + randomTime(r, maxFaultDuration/2), For: maxFaultDuration}
		s.Faults = append(s.Faults, partition, drain)
	}
	// These faults have their own random source, so that they do not change the rest of a seed's script.
	if rng := rand.New(rand.NewPCG(seed, 13)); rng.IntN(slowConnectEvery) == 0 {
		for target := range s.Endpoints {
			s.Faults = append(s.Faults, Fault{Kind: SlowConnect, Target: target, At: randomTime(rng, s.Duration/2), For: s.Duration})
		}
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return s
}

// maxFaultDuration is the longest time that a generated fault lasts, except SlowConnect.
const maxFaultDuration = 2 * time.Second

// overlappingFaults generates a restart, a failure, a stall and a cold start that are under way at the same time.
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

// HasOverlap reports whether a restart, a failure, a stall and a cold start are all under way at the
// same time.
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
				end += coldFor // it stays cold for so long after it starts
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
