package harness

import "math"

// The retry budget as docs/design.md states it ("Retry token bucket"). Package decide implements it; the harness compares the
// retries of a run with it.
const (
	budgetPerServed    = 0.1  // tokens for each served attempt
	budgetPerSecond    = 3.0  // the floor: tokens a second that come whatever the traffic, for a sidecar alone or for a pool
	budgetStartSeconds = 10.0 // the bucket begins with the floor of this many seconds
	budgetPoolSize     = 10.0 // where each caller has its own sidecar, all peers share the floor of this many sidecars
	minBudgetStart     = 3.0  // tokens that the bucket of such a sidecar begins with at least
)

// Budget is the number of retries that one sidecar can pay for over a run, at most.
type Budget struct {
	Start  float64 // tokens in the bucket at the start
	Floor  float64 // tokens from the floor
	Served float64 // tokens from served attempts
}

// Total returns the number of retries that the budget pays for.
func (b Budget) Total() float64 { return b.Start + b.Floor + b.Served }

// NewBudget returns the budget of a sidecar that has the given number of peers, itself included, and has served the given number
// of attempts in a run of that many seconds. perCaller states that each caller has its own sidecar.
func NewBudget(perCaller bool, peers, served int, seconds float64) Budget {
	floor, start := budgetPerSecond, budgetPerSecond*budgetStartSeconds
	if perCaller {
		floor = budgetPerSecond * budgetPoolSize / float64(max(1, peers))
		start = max(minBudgetStart, floor*budgetStartSeconds)
	}
	return Budget{Start: start, Floor: floor * seconds, Served: budgetPerServed * float64(served)}
}

// FromFloors returns how many of a sidecar's retries were not paid for by served attempts, but by the floor or by the tokens at
// the start.
func (b Budget) FromFloors(retries int) float64 { return max(0, float64(retries)-b.Served) }

// Amplified returns the number of attempts that arrive at a tier (the first is 1) for one request at the front, if each tier
// sends a tenth more than it receives, which is what served attempts alone pay for.
func Amplified(tier int) float64 { return math.Pow(1+budgetPerServed, float64(tier)) }
