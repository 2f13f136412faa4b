package scenario

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Step is one thing that the lab does at a time. All that is drawn has been drawn:
// the same scenario and seed make the same steps.
type Step struct {
	At     time.Duration
	Kind   Kind
	Revert bool // the fault ends
	Tier   int
	Slots  []int // endpoints of the tier, or sidecars, by their place
	Fault  Fault
}

// String is the step as a line of the record.
func (s Step) String() string {
	state := "begins"
	if s.Revert {
		state = "ends"
	}
	return fmt.Sprintf("%v %s %s, tier %d, %v", s.At, s.Kind, state, s.Tier, s.Slots)
}

// Timeline draws the steps of a seed, in the order of their times.
func (s *Scenario) Timeline(seed uint64) []Step {
	random := rand.New(rand.NewPCG(seed, 5))
	sizes := make([]int, len(s.Tiers)) // endpoints' places, those that were added included
	for i, t := range s.Tiers {
		sizes[i] = t.Endpoints
	}
	var steps []Step
	for _, f := range s.Faults {
		switch f.Kind {
		case Flood: // the load's own
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

// pickSlots picks the places that a fault strikes, in rising order.
func pickSlots(random *rand.Rand, total int, f Fault) []int {
	n := f.Count
	if n == 0 {
		n = max(1, int(math.Round(f.Share*float64(total))))
	}
	slots := random.Perm(total)[:min(n, total)]
	slices.Sort(slots)
	return slots
}

// release drains and replaces a tier batch by batch, in an order that is drawn. A
// batch begins when the one before it is replaced.
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

// Hash is a sum over all that a seed draws beforehand: arrivals and faults.
func (s *Scenario) Hash(seed uint64) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%x", s.Plan().Hash(seed))
	for _, step := range s.Timeline(seed) {
		fmt.Fprintln(h, step)
	}
	return fmt.Sprintf("%016x", h.Sum64())
}
