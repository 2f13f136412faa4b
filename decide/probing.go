package decide

import (
	"math"
	"slices"
	"time"
)

// Admission where endpoints report their load in answers to probes: endpoints are probed before a request is
// sent.

const (
	probesAtOnce    = 2    // endpoints probed for a request at a time
	flatSlotShare   = 0.5  // part of the slots that requests of any worth may take
	fullUtilization = 0.95 // from this utilization on, that part is 0
	utilizationSpan = 0.2  // this far below it, that part is flatSlotShare in full
	smoothingGain   = 0.05 // weight of the newest value in utilization and unplaced
	// Random draws of endpoints to probe for a request: a walk over hundreds of endpoints for each request
	// costs too much.
	maxDraws      = 12
	maxProbes     = 8                     // endpoints probed for a request in all
	costlyProbe   = 0.005                 // from this price of a probe on, they are sent one by one
	probeSlack    = 1                     // with probing, giveUpAt is this many expected latencies earlier
	maxUnplaced   = 0.1                   // from this value of unplaced on, giveUpAt marks no request as late
	probeInterval = 25 * time.Millisecond // how often endpoints are probed for a request without a slot
	freshTime     = 15 * time.Millisecond // how long a load report is valid
)

// probesFirst reports whether probes decide on admission, instead of this instance's share of the limit.
// Where callers have an instance each, a few instances carry most of the traffic, and an even share of the
// limit would not fit them.
func (b *Balancer) probesFirst() bool {
	return b.settings.Front && b.settings.Entry == PerCaller && b.settings.Limits.Probing &&
		b.settings.Report.Mode != ReportNever
}

// probeForQueued sends probes for the queued requests: for each request at most every probeInterval, two at a
// time, or one where probes are costly.
func (b *Balancer) probeForQueued() {
	count := probesAtOnce
	if b.settings.Prices.Probe >= costlyProbe {
		count = 1
	}
	next := Time(math.MaxInt64)
	for _, r := range b.admission.queue {
		if !b.probesFirst() || r.done || r.probed >= maxProbes {
			continue
		}
		for i := 0; i < count && b.now >= r.nextProbeAt; i++ {
			if e := b.probeTarget(r); e != nil {
				e.probedFor, r.probed, r.probesPending = r, r.probed+1, r.probesPending+1
				b.emit(Action{Kind: Probe, Endpoint: e.listed.ID})
			}
		}
		if b.now >= r.nextProbeAt {
			r.nextProbeAt = b.now + probeInterval
		}
		next = min(next, r.nextProbeAt)
	}
	if next < math.MaxInt64 { // one timer for all requests: when it is due, this runs again and sets the next
		b.scheduleRecheck(max(0, next-b.now-recheckInterval))
	}
}

// probeTarget returns an endpoint to probe for a request, or nil: the better of two drawn at random. The
// first probes go to the instance's own zone.
func (b *Balancer) probeTarget(r *request) *endpoint {
	set, n := &b.endpoints, len(b.endpoints.ready)
	if r.probed < probesAtOnce && set.nearCount > 0 {
		n = set.nearCount
	}
	drawn := set.scratch[:0]
	for try := 0; try < maxDraws && n > 0 && len(drawn) < probesAtOnce; try++ {
		e := set.ready[b.rng.IntN(n)]
		repeated := n > len(r.attempts) && r.tried(e)
		if e.probedFor == nil && !b.fresh(e) && !repeated && b.mayTake(r, e) && b.hasColdCredit(e) {
			drawn = append(drawn, e)
		}
	}
	return b.pickOfTwo(drawn)
}

// handleProbeResult records an endpoint's load report, or that its probe failed, and sends the queued
// requests that have a slot now.
func (b *Balancer) handleProbeResult(e *Event) {
	to := b.endpoints.byID[e.Endpoint]
	if to == nil || to.probedFor == nil {
		return
	}
	r := to.probedFor
	to.probedFor, r.probesPending = nil, r.probesPending-1
	if e.Outcome == Served {
		b.endpoints.reported = append(slices.DeleteFunc(b.endpoints.reported, func(e *endpoint) bool {
			return e == to || !b.fresh(e)
		}), to)
		to.reportedAt, to.load, to.sentSince = b.now, e.Load, 0
		b.endpoints.utilization +=
			smoothingGain * (max(0, min(1, e.Load.Utilization)) - b.endpoints.utilization)
		if !b.hasSlot(r, to) {
			b.admission.slotDeniedAt = b.now
		}
	} else if e.Outcome != Rejected { // a rejected probe shows only that others wait there
		to.payoff, to.payoffAt, to.hasOutcome = (1-payoffGain)*b.payoff(to), b.now, true
	}
	if r.probesPending > 0 && b.settings.Report.Mode == ReportWithProbes {
		b.timers.set(b.now+b.settings.Tick, timerWaiting, 0) // wait for the other answers, to compare them
		return
	}
	b.sendQueued()
	if r.probesPending <= 0 {
		b.probeForQueued()
	}
}

// fresh reports whether the endpoint's load report is recent enough to use.
func (b *Balancer) fresh(e *endpoint) bool {
	return e.reportedAt > 0 && b.now-e.reportedAt <= freshTime
}

// hasSlot reports whether the endpoint's load report leaves a slot for a request.
func (b *Balancer) hasSlot(r *request, e *endpoint) bool {
	if !b.fresh(e) || e.state != Active || b.endpoints.banned[e.listed.ID] {
		return false
	}
	if e.load.Outstanding < 0 { // not reported; that it answered shows that nothing waits there
		return e.sentSince == 0
	}
	return e.load.Outstanding+float64(e.sentSince) <
		b.admission.perEndpoint*float64(b.settings.Peers)*b.slotShare(r)
}

// slotShare returns the part of an endpoint's slots that a request may take. The busier endpoints are, the
// more slots requests of low worth leave to those of high worth.
func (b *Balancer) slotShare(r *request) float64 {
	flat := flatSlotShare * max(0, min(1, (fullUtilization-b.endpoints.utilization)/utilizationSpan))
	return flat + (1-flat)*r.value/b.maxWorth
}
