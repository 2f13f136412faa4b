package decide

import (
	"math"
	"slices"
	"time"
)

// The concurrency limit on first attempts. It moves with the latency of attempts; requests above it are
// queued by their expected worth.

const (
	maxSlowdown        = 1.35 // above this ratio of latency to its baseline the limit falls
	minPerEndpoint     = 2.0  // lowest limit on attempts in flight for each ready endpoint and tier
	initialPerEndpoint = 3.0  // that limit at the start of an instance
	// The highest value of that limit: without a bound, a long overload would raise it slowly until endpoints
	// collapse.
	maxPerEndpoint     = 6.0
	minLimit           = 4               // this many attempts are always allowed
	limitStepPerSecond = 0.06            // part of the limit by which it moves in a second
	slowdownGain       = 0.03            // weight of the newest outcome in the smoothed slowdown
	slowdownTime       = 3 * time.Second // time constant of that smoothing, where outcomes are few
	bindingShare       = 0.8             // the limit rises only if at least this part of it is in flight
	crowdedFactor      = 1.25            // one endpoint may have this many times its even part of the limit
)

// admission queues first attempts that exceed the limit. Without a limit, first attempts, which cost no
// token, would overload a full tier (docs/design.md).
type admission struct {
	inFlight int // attempts that count as in flight; see setCounted
	// Queued requests, highest value first, then oldest. A value that giveUpAt lowers does not move its
	// request.
	queue        []*request
	perEndpoint  float64 // this instance's limit on attempts in flight for each ready endpoint
	updatedAt    Time    // time of the newest outcome that counts
	slowdown     float64 // smoothed logarithm of an attempt's latency over its class's baseline
	unplaced     float64 // smoothed part of the requests that found no slot in time
	slotDeniedAt Time    // when a load report last left no slot for its request
}

// limit is how many attempts may be in flight. It is proportional to the capacity of the ready endpoints,
// which stays the same while something slows all of them.
func (b *Balancer) limit() float64 { return b.admission.perEndpoint * b.refreshed().capacity }

// hasRoom reports whether a queued request may be sent: an endpoint has a slot where probes decide, else the
// limit is not reached.
func (b *Balancer) hasRoom(r *request) bool {
	if b.probesFirst() {
		return len(b.candidates(r)) > 0
	}
	return float64(b.admission.inFlight+1) <= max(b.limit(), minLimit)
}

// limitBinds reports whether the limit keeps requests back; only then may quick answers raise it. Where
// probes decide, it binds for slowdownTime after a load report that left no slot. With an empty list there is
// no limit.
func (b *Balancer) limitBinds() bool {
	if b.probesFirst() {
		return b.now-b.admission.slotDeniedAt < slowdownTime
	}
	return b.limit() > 0 && float64(b.admission.inFlight) >= bindingShare*b.limit()
}

// tierShare converts a limit on attempts in flight for each endpoint and tier into this instance's limit for
// each endpoint. An attempt is in flight while any of the Depth+1 tiers from here down works on it, and all
// Peers send to the same endpoints.
func (b *Balancer) tierShare() float64 {
	return float64(b.settings.Depth+1) / float64(b.settings.Peers)
}

// adjustLimit moves the limit after an outcome: down if attempts take more than maxSlowdown times their
// baseline, else up if the limit binds.
func (b *Balancer) adjustLimit(r *request, e *Event) {
	informative := e.Outcome == Served || e.Outcome == TimedOut || e.Outcome == Canceled
	if r.class.latency.count == 0 || len(b.endpoints.ready) == 0 || !informative {
		return // quick errors and refusals don't show how slow a full tier is
	}
	adm := &b.admission
	gain := max(slowdownGain, 1-decay(b.now-adm.updatedAt, slowdownTime))
	adm.slowdown += gain *
		(r.class.latency.normalized(r.work, e.Latency) - r.class.latency.baseline - adm.slowdown)
	step := adm.perEndpoint * limitStepPerSecond * min(1, (b.now-adm.updatedAt).Seconds())
	adm.updatedAt = b.now
	switch {
	case adm.slowdown > math.Log(maxSlowdown):
		adm.perEndpoint -= step
	case b.limitBinds():
		adm.perEndpoint += step
	}
	adm.perEndpoint = max(minPerEndpoint*b.tierShare(), min(maxPerEndpoint*b.tierShare(), adm.perEndpoint))
}

// crowded reports whether an endpoint has its part of the limit in flight. Its part follows its payoff, so
// that slow endpoints don't fill the limit.
func (b *Balancer) crowded(e *endpoint) bool {
	even := max(minLimit, b.limit()) / max(1, b.endpoints.capacity) * b.capacity(e)
	return float64(e.inFlight) >= max(1, crowdedFactor*even*b.payoff(e)/b.refreshed().meanPayoff)
}

// admit sends a request at once, or queues it if the tier is full or endpoints are to be probed first.
func (b *Balancer) admit(r *request) {
	adm := &b.admission
	if !b.settings.Front || !b.probesFirst() && len(adm.queue) == 0 && b.hasRoom(r) {
		b.dispatch(r)
		return
	}
	at := len(adm.queue)
	for at > 0 && adm.queue[at-1].value < r.value {
		at--
	}
	adm.queue = slices.Insert(adm.queue, at, r)
	b.timers.set(max(b.now, b.giveUpAt(r)), timerRequest, r.id)
	r.probed, r.probesPending, r.nextProbeAt = 0, 0, b.now
	b.sendQueued()
	b.probeForQueued()
}

// giveUpAt returns when a queued request is given up: when it can hardly meet its aim any more. If that time
// has come where probes decide, late answers earn something and few requests find no slot, giveUpAt marks the
// request as late, once: this lowers its value, but not its place in the queue, and sets a timer. A late
// request is given up when it can hardly meet its deadline.
func (b *Balancer) giveUpAt(r *request) Time {
	expected := r.class.latency.expected(r.work)
	at := r.aimAt - expected
	if b.probesFirst() {
		at -= probeSlack * expected
	}
	if b.probesFirst() && !r.late && b.now >= at && r.class.LateShare > 0 &&
		b.admission.unplaced < maxUnplaced {
		r.late, r.value = true, r.value*r.class.LateShare
		b.timers.set(max(b.now+recheckInterval, r.deadline-expected), timerRequest, r.id)
	}
	if r.late {
		return max(at, r.deadline-expected)
	}
	return at
}

// sendQueued sends the queued requests that may go now, in the order of the queue.
func (b *Balancer) sendQueued() {
	queue := b.admission.queue
	b.admission.queue = nil // dispatch may add a retry to it
	kept := queue[:0]
	for _, r := range queue {
		if !r.done && b.hasRoom(r) {
			b.dispatch(r)
		} else if !r.done {
			kept = append(kept, r)
		}
	}
	b.admission.queue = append(kept, b.admission.queue...)
}
