package decide

import (
	"math"
	"slices"
	"time"
)

// Admission where endpoints tell their load to probes: they are asked before a request goes.

const (
	scoutsEach = 2                     // endpoints that are asked for a request at a time: the pick's two
	flatPlaces = 0.5                   // part of the places that any worth may take
	fullBusy   = 0.95                  // utilization from which on there are none of them
	busySpan   = 0.2                   // so far below it they are all there
	busyGain   = 0.05                  // weight of the newest in it, and in the part that finds no place
	drawTries  = 12                    // draws for them: a walk of hundreds a request costs too much
	scoutsMost = 8                     // endpoints that are asked for a request in all
	dearProbe  = 0.005                 // price of a probe a request from which on they are asked one by one
	askSlack   = 1                     // usual times more that a request is given: asking takes time
	turnedMost = 0.1                   // part of them from which on nothing waits to be late
	scoutStep  = 25 * time.Millisecond // when a request without a place asks again
	freshTime  = 15 * time.Millisecond // how long an answer speaks for its endpoint
)

// scouting tells whether the hold goes by what endpoints say: even parts say nothing where few carry most.
func (b *Balancer) scouting() bool {
	return b.set.Front && b.set.Entry == PerCaller && b.set.Limits.Probing && b.set.Report.Mode != ReportNever
}

// ask asks endpoints for the held requests that have nowhere to go: two at a time, or one where that is dear.
func (b *Balancer) ask() {
	count := scoutsEach
	if b.set.Prices.Probe >= dearProbe {
		count = 1
	}
	next := Time(math.MaxInt64)
	for _, r := range b.hold.queue {
		if !b.scouting() || r.over || r.asked >= scoutsMost {
			continue
		}
		for i := 0; i < count && b.now >= r.askAt; i++ {
			if e := b.toAsk(r); e != nil {
				e.scout, r.asked, r.awaited = r, r.asked+1, r.awaited+1
				b.act(Action{Kind: Probe, Endpoint: e.line.ID})
			}
		}
		if b.now >= r.askAt {
			r.askAt = b.now + scoutStep
		}
		next = min(next, r.askAt)
	}
	if next < math.MaxInt64 { // one wake for all: each brings the next
		b.wake(max(0, next-b.now-waitStep))
	}
}

// toAsk draws two endpoints that may be asked for a request, of the own zone at first; the better one wins.
func (b *Balancer) toAsk(r *request) *endpoint {
	f, n := &b.fleet, len(b.fleet.ready)
	if r.asked < scoutsEach && f.near > 0 {
		n = f.near
	}
	drawn := f.scratch[:0]
	for try := 0; try < drawTries && n > 0 && len(drawn) < scoutsEach; try++ {
		e := f.ready[b.rng.IntN(n)]
		again := n > len(r.attempts) && r.tried(e)
		if e.scout == nil && !b.fresh(e) && !again && b.mayTake(r, e) && b.hasColdCredit(e) {
			drawn = append(drawn, e)
		}
	}
	return b.draw(drawn)
}

// scoutBack takes what an endpoint has answered, or that it has not.
func (b *Balancer) scoutBack(e *Event) {
	to := b.fleet.byID[e.Endpoint]
	if to == nil || to.scout == nil {
		return
	}
	r := to.scout
	to.scout, r.awaited = nil, r.awaited-1
	if e.Outcome == Served {
		b.fleet.heard = append(slices.DeleteFunc(b.fleet.heard, func(e *endpoint) bool {
			return e == to || !b.fresh(e)
		}), to)
		to.heard, to.load, to.since = b.now, e.Load, 0
		b.fleet.busy += busyGain * (max(0, min(1, e.Load.Utilization)) - b.fleet.busy)
		if !b.hasPlace(r, to) {
			b.hold.boundAt = b.now
		}
	} else if e.Outcome != Rejected { // turned away: others wait there too
		to.payoff, to.touched, to.known = (1-payoffGain)*b.payoff(to), b.now, true
	}
	if r.awaited > 0 && b.set.Report.Mode == ReportWithProbes { // to be compared with the others' answers
		b.timers.set(b.now+b.set.Tick, timerWaiting, 0)
		return
	}
	b.sendHeld()
	if r.awaited <= 0 {
		b.ask()
	}
}

// fresh tells whether the endpoint has been heard of just now.
func (b *Balancer) fresh(e *endpoint) bool { return e.heard > 0 && b.now-e.heard <= freshTime }

// hasPlace tells whether what an endpoint has just told leaves a place for a request.
func (b *Balancer) hasPlace(r *request, e *endpoint) bool {
	if !b.fresh(e) || e.state != Active || b.fleet.banned[e.line.ID] {
		return false
	}
	if e.load.Outstanding < 0 { // it has answered: nothing waits there
		return e.since == 0
	}
	return e.load.Outstanding+float64(e.since) < b.hold.each*float64(b.set.Peers)*b.placeShare(r)
}

// placeShare is the part of an endpoint's places that a request may take: low worth leaves more when busy.
func (b *Balancer) placeShare(r *request) float64 {
	flat := flatPlaces * max(0, min(1, (fullBusy-b.fleet.busy)/busySpan))
	return flat + (1-flat)*r.value/b.mostWorth
}
