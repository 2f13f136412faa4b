package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds. What lasts ends after For.
const (
	Crash    Kind = "crash"    // an endpoint dies, and comes back cold under its name
	Cold     Kind = "cold"     // a cold endpoint joins, under a name of its own
	Drain    Kind = "drain"    // an endpoint drains, and leaves
	Stall    Kind = "stall"    // an endpoint stops working
	Errors   Kind = "errors"   // an endpoint fails all it gets, at once
	Refuse   Kind = "refuse"   // an endpoint turns all away
	Hang     Kind = "hang"     // an endpoint never answers
	Half     Kind = "half"     // an endpoint breaks off within answers
	Garbage  Kind = "garbage"  // an endpoint answers with nonsense
	CutOff   Kind = "cut_off"  // a machine is silent
	Late     Kind = "late"     // connections to an endpoint come up late
	Kill     Kind = "kill"     // a sidecar is killed, and starts again from nothing
	Stop     Kind = "stop"     // a sidecar gets SIGTERM, and starts again when it has ended
	ListDown Kind = "listdown" // discovery is down
	Reload   Kind = "reload"   // a sidecar is told another discovery's address, with the same list
)

var endpointKinds = []Kind{Crash, Cold, Drain, Stall, Errors, Refuse, Hang, Half, Garbage, CutOff}
var otherKinds = []Kind{Kill, Stop, ListDown, Reload}

// Fault is one fault of a script.
type Fault struct {
	Kind   Kind
	At     time.Duration
	For    time.Duration
	Target int // endpoint or sidecar, modulo how many there are
}

// Ask is one request of a script.
type Ask struct {
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
	Asks      []Ask
	Faults    []Fault
}

// Sizes of drawn scripts.
const (
	mostSidecars  = 3
	leastBackends = 3
	mostBackends  = 6
	leastAsks     = 40
	moreAsks      = 80
	heavyAsks     = 300 // of one script in heavyEvery, which also has a cold arrival
	heavyEvery    = 5
	mostFaults    = 10
	stormEvery    = 4 // one script in so many has all four kinds of trouble at once
	cutDrainEvery = 6 // one script in so many has an endpoint drain whose machine is cut off
	lateEvery     = 4 // one script in so many has connections to all endpoints come up late, from some time on
	scriptTime    = 6 * time.Second
	grid          = time.Millisecond // requests and faults begin on it, so that some meet in an instant
	lightWork     = 15 * time.Millisecond
	heavyWork     = 50 * time.Millisecond
	longWindow    = 3 * time.Second
	shortWindow   = 600 * time.Millisecond // of one script in three: repeats must stay within it
)

// drawTime draws a time on the grid.
func drawTime(r *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(most/grid))) * grid
}

// GenerateScript draws a script from a seed.
func GenerateScript(seed uint64) Script {
	r := rand.New(rand.NewPCG(seed, 12))
	s := Script{
		Seed: seed, Sidecars: 1 + r.IntN(mostSidecars), Duration: scriptTime,
		Endpoints: leastBackends + r.IntN(mostBackends-leastBackends+1), Window: longWindow, Work: lightWork,
	}
	asks := leastAsks + r.IntN(moreAsks)
	if r.IntN(heavyEvery) == 0 {
		asks, s.Work = heavyAsks, heavyWork
		s.Faults = append(s.Faults, Fault{Kind: Cold, At: drawTime(r, s.Duration/2)})
	}
	if r.IntN(3) == 0 {
		s.Window = shortWindow
	}
	for n := range asks {
		a := Ask{ID: fmt.Sprintf("r%03d", n), At: drawTime(r, s.Duration)}
		switch k := r.IntN(10); {
		case k < 5:
			a.Class = "look"
		case k < 8:
			a.Class, a.Key = "pay", "k"+a.ID
		default:
			a.Class = "burn"
		}
		if r.IntN(12) == 0 {
			a.Leave = time.Duration(1 + r.Int64N(int64(200*time.Millisecond)))
		}
		a.Close = r.IntN(10) == 0
		a.Fresh = r.IntN(4) == 0
		s.Asks = append(s.Asks, a)
	}
	// Bursts: some requests come in the same instant as others.
	for n := range s.Asks {
		if r.IntN(5) == 0 {
			s.Asks[n].At = s.Asks[r.IntN(len(s.Asks))].At
		}
	}
	slices.SortStableFunc(s.Asks, func(a, b Ask) int { return int(a.At - b.At) })
	for range r.IntN(mostFaults + 1) {
		kinds := endpointKinds
		if r.IntN(3) == 0 {
			kinds = otherKinds
		}
		s.Faults = append(s.Faults, Fault{
			Kind: kinds[r.IntN(len(kinds))], Target: r.IntN(mostBackends),
			At: drawTime(r, s.Duration), For: grid + drawTime(r, longestFault),
		})
	}
	if r.IntN(stormEvery) == 0 {
		s.Faults = append(s.Faults, storm(r, s.Duration)...)
	}
	if r.IntN(cutDrainEvery) == 0 {
		// Dials to a machine that is cut off hang: the drain comes meanwhile.
		cut := Fault{Kind: CutOff, Target: r.IntN(mostBackends), At: drawTime(r, s.Duration), For: longestFault}
		drain := Fault{Kind: Drain, Target: cut.Target, At: cut.At + drawTime(r, longestFault/2), For: longestFault}
		s.Faults = append(s.Faults, cut, drain)
	}
	// From a source of its own, so that the rest of a seed's script stays as it was.
	if own := rand.New(rand.NewPCG(seed, 13)); own.IntN(lateEvery) == 0 {
		for target := range s.Endpoints {
			s.Faults = append(s.Faults, Fault{Kind: Late, Target: target, At: drawTime(own, s.Duration/2), For: s.Duration})
		}
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return s
}

// longestFault bounds how long a fault lasts.
const longestFault = 2 * time.Second

// storm draws a restart, a failure, a stall and a cold arrival that meet.
func storm(r *rand.Rand, long time.Duration) (faults []Fault) {
	meet := drawTime(r, long-longestFault) + longestFault/2
	for _, kinds := range [][]Kind{{Kill, Stop}, {Errors, Half, Garbage, Refuse}, {Stall, Hang, CutOff}, {Cold, Crash}} {
		before := drawTime(r, longestFault/2)
		faults = append(faults, Fault{
			Kind: kinds[r.IntN(len(kinds))], Target: r.IntN(mostBackends), At: meet - before, For: before + drawTime(r, longestFault/2),
		})
	}
	return faults
}

// Overlap tells whether a restart, a failure, a stall and a cold arrival are all
// under way at one time.
func (s *Script) Overlap() bool {
	sorts := map[Kind]int{
		Kill: 0, Stop: 0, Errors: 1, Half: 1, Garbage: 1, Refuse: 1, Stall: 2, Hang: 2, CutOff: 2, Cold: 3, Crash: 3,
	}
	for _, at := range s.Faults {
		seen := [4]bool{}
		for _, f := range s.Faults {
			sort, counts := sorts[f.Kind]
			end := f.At + f.For
			if f.Kind == Cold || f.Kind == Crash {
				end += coldFor // it is cold for so long after
			}
			if counts && f.At <= at.At && at.At <= end {
				seen[sort] = true
			}
		}
		if seen == [4]bool{true, true, true, true} {
			return true
		}
	}
	return false
}
