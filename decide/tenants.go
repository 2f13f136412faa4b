package decide

import "time"

// Shares of tenants, and the excess time of classes and tenants whose requests hold their slots for long.

const (
	tenantBurst = 2 * time.Second // a tenant may use this much of its allowance at once
)

// chargeTenant takes a request from its tenant's allowance and returns the part of its worth that it keeps:
// 1, or OverShareWorth if the allowance is used up.
func (b *Balancer) chargeTenant(t *bucket) float64 {
	if t == nil || !b.settings.Front || b.settings.Entry == PerCaller {
		return 1
	}
	if t.refill(b.now); t.tokens < 1 {
		return b.settings.OverShareWorth
	}
	t.tokens--
	return 1
}

// excessTime is how much longer than usual the attempts of a class or a tenant have lately taken: the
// logarithm of the ratio.
type excessTime struct {
	log       float64
	updatedAt Time
}

// current returns the excess time after its decay, which is as slow as the drift of payoffs.
func (x *excessTime) current(now Time) float64 {
	return max(0, x.log*decay(now-x.updatedAt, driftTime))
}
