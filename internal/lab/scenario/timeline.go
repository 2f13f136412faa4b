package scenario

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Step is one action of the lab at a time. Nothing in it is left to chance: the same scenario and seed give the same
// steps.
type Step struct {
	At     time.Duration
	Kind   Kind
	Revert bool // the fault ends
	Tier   int
	Slots  []int // indexes of endpoints of the tier, or of sidecars
	Fault  Fault
}

// String returns the step as a line of the record.
func (s Step) String() string {
	state := "begins"
	if s.Revert {
		state = "ends"
	}
	return fmt.Sprintf("%v %s %s, tier %d, %v", s.At, s.Kind, state, s.Tier, s.Slots)
}

// Timeline returns the steps that a seed gives, in the order of their times.
func (s *Scenario) Timeline(seed uint64) []Step {
	random := rand.New(rand.NewPCG(seed, 5))
	sizes := make([]int, len(s.Tiers)) // the number of endpoints so far, with those that were added
	for i, t := range s.Tiers {
		sizes[i] = t.Endpoints
	}
	var steps []Step
	for _, f := range s.Faults {
		switch f.Kind {
		case Flood: // part of the load's plan
		case Release:
			steps = append(steps, s.release(f, random)...)
		case Add:
			slots := make([]int, f.Count)
			for i := range slots {
				slots[i] = sizes[f.Tier] + i
			}
			sizes[f.Tier] += f.Count
			steps = append(steps, Step{At: f.At, Kind: f.Kind, Tier: f.Tier, Slots: slots, Fault: f})
		default:
			total := s.Tiers[f.Tier].Endpoints
			if f.Kind == SidecarKill || f.Kind == SidecarRestart {
				total = s.Tiers[0].Sidecars
			}
			begin := Step{At: f.At, Kind: f.Kind, Tier: f.Tier, Slots: pickSlots(random, total, f), Fault: f}
			end := begin
			end.At, end.Revert = f.At+f.For, true
			steps = append(steps, begin, end)
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps
}

// pickSlots picks the endpoints or sidecars that have a fault, and returns their indexes in rising order.
func pickSlots(random *rand.Rand, total int, f Fault) []int {
	n := f.Count
	if n == 0 {
		n = max(1, int(math.Round(f.Share*float64(total))))
	}
	slots := random.Perm(total)[:min(n, total)]
	slices.Sort(slots)
	return slots
}

// release drains and replaces the endpoints of a tier in batches, in a random order. A batch begins when the one before
// has been replaced.
func (s *Scenario) release(f Fault, random *rand.Rand) []Step {
	total := s.Tiers[f.Tier].Endpoints
	size := f.Count
	if size == 0 {
		size = max(1, int(math.Round(f.Share*float64(total))))
	}
	var steps []Step
	at := f.At
	for batch := range slices.Chunk(random.Perm(total), size) {
		slots := slices.Clone(batch)
		slices.Sort(slots)
		steps = append(steps,
			Step{At: at, Kind: Release, Tier: f.Tier, Slots: slots, Fault: f},
			Step{At: at + f.For, Kind: Release, Revert: true, Tier: f.Tier, Slots: slots, Fault: f})
		at += f.For
	}
	return steps
}

// Hash returns a hash of everything that a seed determines: arrivals and faults.
func (s *Scenario) Hash(seed uint64) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%x", s.Plan().Hash(seed))
	for _, step := range s.Timeline(seed) {
		fmt.Fprintln(h, step)
	}
	return fmt.Sprintf("%016x", h.Sum64())
}
