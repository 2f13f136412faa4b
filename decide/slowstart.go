package decide

import "time"

// Slow start: an endpoint that has just started gets its part of the traffic that is served, never a burst.

const (
	rateTime    = 3 * time.Second // averaging time of the served rate
	coldTrickle = 1.0             // sends a second to a cold endpoint that all peers may make at least
)

// capacity returns the part of its full capacity that an endpoint has at least.
func (b *Balancer) capacity(e *endpoint) float64 {
	age := b.now - e.started
	if e.cold == 0 || age >= b.settings.Rules.ColdTime {
		return 1
	}
	return 1 - (1-b.settings.Rules.ColdShare)*(1-max(0, age.Seconds()/b.settings.Rules.ColdTime.Seconds()))
}

// servedRate returns how many attempts were lately served in a second.
func (b *Balancer) servedRate() float64 {
	return b.endpoints.served * decay(b.now-b.endpoints.servedAt, rateTime) / rateTime.Seconds()
}

// hasColdCredit reports whether the rule on cold starts allows a send to an endpoint now. A cold endpoint
// earns credit in proportion to its part of the tier's present capacity and to the served rate; a send costs
// one.
func (b *Balancer) hasColdCredit(e *endpoint) bool {
	if e.cold == 0 {
		return true
	}
	rate := b.capacity(e) * e.weight * b.servedRate() / max(b.refreshed().weightedCapacity, e.weight)
	rate = max(rate, coldTrickle/float64(b.settings.Peers))
	e.credit, e.creditAt = min(1, e.credit+rate*(b.now-e.creditAt).Seconds()), b.now
	return e.credit >= 1
}
