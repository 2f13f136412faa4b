package decide

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// The list of endpoints: what discovery reports of them, and bans by the operator.

const absentTime = time.Minute // where Gone does not bind, an endpoint reported gone is kept this long

// endpointSet is what the instance knows of the tier that it sends to.
type endpointSet struct {
	byID   map[EndpointID]*endpoint
	banned map[EndpointID]bool // by the operator, whether listed or not
	// Every endpoint that is listed or still kept, in the order of first appearance.
	known            []*endpoint
	ready            []*endpoint // endpoints that new work may go to, in this instance's own order
	meanPayoff       float64     // of the ready endpoints that have had an outcome
	capacity         float64     // ready endpoints; a cold one counts with its present capacity
	weightedCapacity float64     // the same, each multiplied by its listed weight
	refreshedAt      Time        // when these three were computed
	served           float64     // number of served attempts, decaying over rateTime
	servedAt         Time
	errorsAlike      float64     // smoothed part of the retries after an error that ended in an error too
	utilization      float64     // smoothed utilization from load reports
	nearCount        int         // ready endpoints of the own zone, which are first; all if crossing is free
	reported         []*endpoint // endpoints with a recent load report
	pickWidth        int         // how many idle endpoints pick draws from
	missedSince      Time        // changes of the list since then may have been missed; 0 for none
	deliveredBy      Time        // when those changes count as delivered
	scratch          []*endpoint // reused by candidates and probeTarget
}

// endpoint is one process. After a restart it is a new endpoint, because what was learned of the old process
// does not apply to the new one.
type endpoint struct {
	zoneCost     float64 // price of crossing to its zone; 0 in the own zone
	state        EndpointState
	weight       float64
	started      Time     // start of its process, or the end of its ban
	listed       Endpoint // as it was listed last
	inFlight     int
	payoff       float64 // smoothed score: 1 if served in fullPayoffLatency, less when slower, 0 on failure
	payoffAt     Time    // when payoff was last changed
	cold         int     // -1 while it may be cold, else 0: orderReady puts cold ones first
	hasOutcome   bool    // an attempt sent to it has ended, or a probe failed other than by a rejection
	servedSentAt Time    // when the newest attempt that it has served was sent
	evidence     evidence
	absentSince  Time    // when it was reported gone, where that does not bind; else 0
	credit       float64 // sends that the cold start rule allows now
	creditAt     Time
	probedFor    *request // the request for which a probe of it is in flight
	reportedAt   Time     // when its newest load report came
	load         Load     // the newest load report
	sentSince    int      // attempts sent to it after that report
}

// handleList takes over a change of the endpoint list, or a full list.
func (b *Balancer) handleList(e *Event) {
	b.markListConfirmed()
	set := &b.endpoints
	if e.Kind == ListRestored && b.settings.MustPoll { // it was stored before the start and may be old
		b.markListMissed(0, 0)
	}
	if e.Kind != ListChanged { // what a full list does not name is gone
		for _, known := range set.known {
			b.markGone(known)
		}
	}
	for i := range e.Endpoints {
		b.updateEndpoint(&e.Endpoints[i], e.Endpoints[i].Started)
	}
	b.refreshReady()
}

// markGone records that an endpoint was reported gone. Where only draining binds, it goes on serving, after
// all others, until an attempt at it fails.
func (b *Balancer) markGone(e *endpoint) {
	if b.settings.Rules.RemovalNotBinding && e.state == Active {
		e.absentSince = cmp.Or(e.absentSince, b.now)
		return
	}
	e.state = Gone
}

// setBanned bans an endpoint, or ends its ban. While banned it counts as draining, whatever the list reports.
// After the ban it counts as just restarted.
func (b *Balancer) setBanned(id EndpointID, on bool) {
	set := &b.endpoints
	if set.banned[id] == on {
		return
	}
	if set.banned[id] = true; !on {
		delete(set.banned, id)
		if e := set.byID[id]; e != nil {
			line := e.listed
			e.listed.Started = -1 // so that updateEndpoint takes it for a new process
			b.updateEndpoint(&line, b.now)
		}
	}
	b.refreshReady()
}

// refreshReady computes anew which endpoints new work may go to, and tries the waiting requests again.
func (b *Balancer) refreshReady() {
	b.rebuildReady()
	b.recheckWaiting()
}

// rebuildReady removes endpoints that are gone and computes the list of ready ones.
func (b *Balancer) rebuildReady() {
	set := &b.endpoints
	gone := func(e *endpoint) bool {
		return e.state == Gone || e.absentSince > 0 && b.now-e.absentSince >= absentTime
	}
	maps.DeleteFunc(set.byID, func(_ EndpointID, e *endpoint) bool { return gone(e) })
	set.known = slices.DeleteFunc(set.known, gone)
	set.ready = slices.DeleteFunc(append(set.ready[:0], set.known...), func(e *endpoint) bool {
		return e.state != Active || set.banned[e.listed.ID]
	})
	set.meanPayoff = 0
	b.refreshed()
	b.orderReady()
}

// orderReady sorts the ready endpoints into this instance's own order: by zone, cold ones first, then by id.
// Each peer begins at another offset, so that peers that can't see each other collide less (docs/design.md).
func (b *Balancer) orderReady() {
	set := &b.endpoints
	slices.SortFunc(set.ready, func(a, e *endpoint) int {
		near, cold := cmp.Compare(a.zoneCost, e.zoneCost), cmp.Compare(a.cold, e.cold)
		return cmp.Or(near, cold, cmp.Compare(a.listed.ID, e.listed.ID))
	})
	set.nearCount = len(set.ready)
	if at := slices.IndexFunc(set.ready, func(e *endpoint) bool { return e.zoneCost > 0 }); at >= 0 {
		set.nearCount = at
	}
	_, offset := math.Modf(float64(b.settings.Number) * math.Phi)
	for from, to := 0, 0; from < len(set.ready); from = to {
		first := set.ready[from]
		for to < len(set.ready) && set.ready[to].zoneCost == first.zoneCost &&
			set.ready[to].cold == first.cold {
			to++
		}
		group, at := set.ready[from:to], int(offset*float64(to-from))
		copy(group, slices.Concat(group[at:], group[:at]))
	}
	set.pickWidth = max(minPickWidth, len(set.ready)/b.settings.Peers)
}

// updateEndpoint takes over one line of the list. A changed start time means a new process, which has nothing
// in flight. started is when the process counts as started, from which follows whether it is cold: the listed
// start, or the end of a ban.
func (b *Balancer) updateEndpoint(line *Endpoint, started Time) {
	e := b.endpoints.byID[line.ID]
	if e != nil && line.State == Gone {
		b.markGone(e)
		return
	}
	if e != nil && e.listed.Started != line.Started {
		e.state = Gone
		e = nil
	}
	if e == nil {
		e = &endpoint{payoff: b.refreshed().meanPayoff, payoffAt: b.now, started: started}
		if started > 0 && b.now-started < b.settings.Rules.ColdTime {
			e.cold = -1
		}
		e.credit, e.creditAt = b.rng.Float64(), b.now // peers must not all send at once
		b.endpoints.byID[line.ID] = e
		b.endpoints.known = append(b.endpoints.known, e)
	}
	e.listed, e.state, e.weight, e.absentSince = *line, line.State, 1, 0
	if line.Zone != b.settings.Zone {
		e.zoneCost = b.settings.Prices.CrossZone
	}
	if b.settings.WeightKnown && line.Weight > 0 {
		e.weight = line.Weight
	}
}
