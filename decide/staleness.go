package decide

import (
	"cmp"
	"slices"
	"time"
)

// A stale list: polls have failed for so long that changes of the list count as delivered though they have
// not come. By then any endpoint may be gone or draining. Endpoints that have served without a long gap
// since the list was last known to be current have not been away, so new work goes to them alone until the
// list is current again.

const (
	// After this time a change that discovery has counts as delivered, whether or not it came (protocol:
	// Figures).
	deliveredAfter = 6 * time.Second
	// An attempt may begin later than it was decided on, because the process may be delayed.
	sendMargin = 250 * time.Millisecond

	// An endpoint that has served no attempt for longer may have been away and listed as gone.
	maxServedGap  = 4 * time.Second
	maxFailureGap = 1 * time.Second // the same if a connection to it failed meanwhile
	// An endpoint is proven only if it has served an attempt that was sent within this time: then it can't
	// count as draining yet.
	maxAcceptAge = deliveredAfter
	servedPerGap = 6                // mean served attempts in maxServedGap that keep an endpoint proven
	provenTime   = 10 * time.Second // once it has served for so long, its return counts as delivered
)

// evidence is what the outcomes of attempts show of an endpoint while the list may be stale.
type evidence struct {
	lastServed    Time // when it last served an attempt
	steadySince   Time // since when no gap between served attempts was so long that it may have been away
	lastFailure   Time // when a connection to it failed last
	lastRejection Time // when it rejected an attempt last
}

// recordFailure records an outcome, if it is a failed connection or a rejection.
func (v *evidence) recordFailure(now Time, o Outcome) {
	switch o {
	case ConnectFailed, Reset:
		v.lastFailure = now
	case Rejected:
		v.lastRejection = now
	}
}

// recordServed records that the endpoint has served an attempt; no other answer counts. If the gap since it
// last did was so long that it may have been away, steadySince starts anew.
func (v *evidence) recordServed(now Time) {
	gap := maxServedGap
	if v.lastFailure > v.lastServed {
		gap = maxFailureGap
	}
	if v.lastServed == 0 || now-v.lastServed > gap {
		v.steadySince = now
	}
	v.lastServed = now
}

// markListMissed records that changes of the list since a time may have been missed, and when they count as
// delivered. 0 stands for now, and for deliveredAfter from then. A period that is already marked goes on.
func (b *Balancer) markListMissed(since, deliveredBy Time) {
	if b.endpoints.missedSince > 0 {
		return
	}
	since = cmp.Or(since, b.now)
	b.endpoints.missedSince, b.endpoints.deliveredBy = since, cmp.Or(deliveredBy, since+deliveredAfter)
}

// listStale reports whether missed changes may be binding by now. It is true from half of the drain grace on;
// the other half is left to attempts that have been decided on.
func (b *Balancer) listStale() bool {
	set := &b.endpoints
	return set.missedSince > 0 && b.now >= set.deliveredBy+b.settings.Rules.DrainGrace/2
}

// proven reports whether an endpoint has served without a long gap since the list was last known to be
// current, or for so long that any earlier change that took it off the list has been reversed.
func (b *Balancer) proven(e *endpoint) bool {
	v := &e.evidence
	if v.lastServed <= max(v.lastFailure, v.lastRejection) || b.now-v.lastServed > maxServedGap ||
		b.now-e.servedSentAt > maxAcceptAge {
		return false
	}
	return v.steadySince <= b.endpoints.missedSince+maxServedGap || b.now-v.steadySince >= provenTime
}

// trust says which endpoints may get new work: all, unless the list is stale.
type trust struct {
	proven bool      // only proven endpoints
	only   *endpoint // only this one; nil for no such bound
}

// allows reports whether t lets new work go to an endpoint.
func (b *Balancer) allows(t trust, e *endpoint) bool {
	if t.only != nil {
		return e == t.only
	}
	return !t.proven || b.proven(e)
}

// trustFor returns which endpoints a request may go to. While the list is stale these are the proven ones; if
// none is proven, the one that served last; if none has served, all. Where probes decide, a stale list
// changes nothing, because most instances see too little traffic to prove any endpoint.
func (b *Balancer) trustFor(r *request) trust {
	switch {
	case !b.listStale() || b.probesFirst():
		return trust{}
	case slices.ContainsFunc(b.endpoints.ready, b.proven):
		return trust{proven: true}
	}
	return trust{only: b.lastToServe(r)}
}

// lastToServe returns the endpoint that served last, among those that the request has not tried, that may
// take it and that have neither failed nor rejected an attempt since they served; nil for none.
func (b *Balancer) lastToServe(r *request) *endpoint {
	var last *endpoint
	for _, e := range b.endpoints.ready {
		v := &e.evidence
		if v.lastServed <= max(v.lastFailure, v.lastRejection) || last != nil &&
			v.lastServed <= last.evidence.lastServed {
			continue
		}
		if !r.tried(e) && b.mayTake(r, e) && b.hasColdCredit(e) {
			last = e
		}
	}
	return last
}

// pickWidth returns how many idle endpoints pick draws from. While changes of the list may have been missed,
// it is as many as the traffic keeps proven: fewer could not carry the traffic once the list is stale, and
// with more none would be proven.
func (b *Balancer) pickWidth() int {
	if b.endpoints.missedSince == 0 {
		return b.endpoints.pickWidth
	}
	return max(minPickWidth, int(b.servedRate()*maxServedGap.Seconds()/servedPerGap))
}

// sendBy returns when an attempt must have begun, because its endpoint may count as gone or draining from
// then on; 0 for no such bound.
func (b *Balancer) sendBy(e *endpoint) Time {
	if b.endpoints.missedSince == 0 || b.proven(e) || b.listStale() {
		return 0
	}
	return b.endpoints.deliveredBy + b.settings.Rules.DrainGrace - sendMargin
}
