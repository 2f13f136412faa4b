package harness

import "math"

// The retry budget as docs/design.md has it ("Retry token bucket"); decide keeps it, and here a run is held against it.
const (
	budgetPerServed    = 0.1  // tokens for each served attempt
	budgetPerSecond    = 3.0  // tokens a second whatever the traffic, of a sidecar alone or of a pool
	budgetStartSeconds = 10.0 // seconds of the floor that the bucket holds at the start
	budgetPoolSize     = 10.0 // where each caller has its own, the floor of so many is shared by all peers
	minBudgetStart     = 3.0  // tokens that it holds then at least
)

// Budget is what one sidecar's retries may be paid from over a run, at most.
type Budget struct {
	Start  float64 // tokens in the bucket as it begins
	Floor  float64 // that the floor brings
	Served float64 // that served attempts bring
}

// Total is how many retries it funds.
func (b Budget) Total() float64 { return b.Start + b.Floor + b.Served }

// NewBudget is that of a sidecar with so many peers, itself included, that served so many attempts in so many seconds.
func NewBudget(perCaller bool, peers, served int, seconds float64) Budget {
	floor, start := budgetPerSecond, budgetPerSecond*budgetStartSeconds
	if perCaller {
		floor = budgetPerSecond * budgetPoolSize / float64(max(1, peers))
		start = max(minBudgetStart, floor*budgetStartSeconds)
	}
	return Budget{Start: start, Floor: floor * seconds, Served: budgetPerServed * float64(served)}
}

// FromFloors is how many of a sidecar's retries served attempts can't have paid for: the floor or the full bucket did.
func (b Budget) FromFloors(retries int) float64 { return max(0, float64(retries)-b.Served) }

// Amplified is how many attempts come to tier n (from 1) for a request at the front if each tier sends a tenth more than
// it is asked, as the served alone would pay for.
func Amplified(tier int) float64 { return math.Pow(1+budgetPerServed, float64(tier)) }
