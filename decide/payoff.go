package decide

import (
	"cmp"
	"time"
)

// What the balancer learns about endpoints from the outcomes of attempts. The payoff of an endpoint is a
// smoothed score of its attempts.

const (
	minPayoff            = 0.05             // lower bound: a bad endpoint is still picked now and then
	payoffGain           = 0.15             // weight of the newest outcome in the smoothed payoff
	errorsAlikeGain      = 0.1              // weight of the newest retry after an error in errorsAlike
	minErrorRetries      = 0.1              // at least this part of the errors is retried
	driftTime            = 8 * time.Second  // time constant of an idle endpoint's drift to the mean payoff
	maxSumAgePerEndpoint = time.Millisecond // see refreshed
)

// payoff returns an endpoint's payoff. While the endpoint has nothing in flight, its payoff drifts towards
// the mean of the ready endpoints; an endpoint without an outcome has the mean.
func (b *Balancer) payoff(e *endpoint) float64 {
	if idle := b.now - e.payoffAt; !e.hasOutcome {
		e.payoff = b.refreshed().meanPayoff
	} else if idle > 0 && e.inFlight == 0 {
		e.payoff += (b.refreshed().meanPayoff - e.payoff) * (1 - decay(idle, driftTime))
		e.payoffAt = b.now
	}
	return max(minPayoff, e.payoff)
}

// refreshed returns the endpoint set with meanPayoff, capacity and weightedCapacity brought up to date. They
// may be as old as maxSumAgePerEndpoint for each ready endpoint, which bounds what recomputing costs; a
// meanPayoff of 0 forces it. An endpoint that has reached its full capacity stops counting as cold, and ready
// is then ordered anew.
func (b *Balancer) refreshed() *endpointSet {
	set := &b.endpoints
	if set.meanPayoff > 0 && b.now-set.refreshedAt < time.Duration(len(set.ready))*maxSumAgePerEndpoint {
		return set
	}
	set.meanPayoff, set.capacity, set.weightedCapacity, set.refreshedAt = 1, 0, 0, b.now
	sum, known, warmed := 0.0, 0, false
	for _, e := range set.ready {
		if e.cold < 0 && b.capacity(e) >= 1 {
			e.cold, warmed = 0, true
		}
		set.capacity += b.capacity(e)
		set.weightedCapacity += b.capacity(e) * e.weight
		if e.hasOutcome {
			sum += max(minPayoff, e.payoff)
			known++
		}
	}
	if known > 0 {
		set.meanPayoff = sum / float64(known)
	}
	if warmed {
		b.orderReady()
	}
	return set
}

// learn updates the retry budget, the endpoint, the class and the limit with the outcome of an attempt.
func (b *Balancer) learn(r *request, a *attempt, e *Event) {
	if e.Outcome == NotSent {
		return
	}
	a.to.evidence.recordFailure(b.now, e.Outcome)
	score := 0.0
	if e.Outcome == Served {
		b.bucket.refill(b.now)
		b.bucket.add(depositPerServed)
		b.endpoints.served, b.endpoints.servedAt =
			b.endpoints.served*decay(b.now-b.endpoints.servedAt, rateTime)+1, b.now
		a.to.servedSentAt = max(a.to.servedSentAt, a.sentAt)
		a.to.evidence.recordServed(b.now)
		r.class.latency.observe(b.now, r.work, e.Latency, b.limitBinds())
		if b.probesFirst() { // the endpoint had a free slot: the time is all work, without queueing
			r.class.latency.covariance, r.class.latency.workVariance = 0, 0
		}
	}
	if e.Outcome == Served || e.Outcome == Canceled { // a canceled attempt took at least this long
		score = min(1, float64(fullPayoffLatency(r))/float64(max(e.Latency, 1)))
	}
	weight := payoffGain
	switch {
	case r.errors > 0 && e.Outcome == Served:
		b.endpoints.errorsAlike -= errorsAlikeGain * b.endpoints.errorsAlike
	case r.errors > 0 && e.Outcome == ServerError:
		b.endpoints.errorsAlike, weight =
			b.endpoints.errorsAlike+errorsAlikeGain*(1-b.endpoints.errorsAlike), 0
	}
	if e.Outcome == ServerError { // its fault as far as retries lately succeed
		weight, r.errors = weight*(1-b.endpoints.errorsAlike), r.errors+1
	}
	a.to.payoff += weight * (score - a.to.payoff)
	if excess := r.class.latency.normalized(r.work, e.Latency) -
		r.class.latency.baseline; a.mayHaveRun && r.class.latency.count > 0 {
		for _, t := range r.excess {
			t.log, t.updatedAt = (1-payoffGain)*t.current(b.now)+payoffGain*excess, b.now
		}
	}
	a.to.payoffAt, a.to.hasOutcome = b.now, true
	if a.to.absentSince > 0 && (e.Outcome == ConnectFailed || e.Outcome == TimedOut || e.Outcome == Reset) {
		a.to.state = Gone
		b.rebuildReady()
	}
	b.adjustLimit(r, e)
}

// fullPayoffLatency is the longest latency that earns a full payoff: the aim, or the expected latency if it
// is less, as it is for calls of lower tiers.
func fullPayoffLatency(r *request) time.Duration {
	return min(r.class.Aim, cmp.Or(r.class.latency.expected(r.work), r.class.Aim))
}
