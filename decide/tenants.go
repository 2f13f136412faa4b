package decide

import "time"

// Shares of tenants, and what classes and tenants are charged whose requests hold their places for long.

const (
	tenantBurst = 2 * time.Second // how much of its allowance a tenant may use at once
)

// charge books a request on its tenant's allowance. It returns the part of its worth that is left to it.
func (b *Balancer) charge(t *bucket) float64 {
	if t == nil || !b.set.Front || b.set.Entry == PerCaller {
		return 1
	}
	if t.refill(b.now); t.tokens < 1 {
		return b.set.OverShareWorth
	}
	t.tokens--
	return 1
}

// toll is how much longer than usual requests of a class or a tenant lately hold their places, by logarithm.
type toll struct {
	held float64
	at   Time
}

// now is what is left of it: it is forgotten as payoffs are.
func (t *toll) now(now Time) float64 { return max(0, t.held*decay(now-t.at, driftTime)) }
