package decide

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// The list of endpoints: what is told of them, and bans by hand.

const absentTime = time.Minute // an endpoint told gone that no longer binds is kept so long

// fleet is what the instance knows of the tier it sends to.
type fleet struct {
	byID     map[EndpointID]*endpoint
	banned   map[EndpointID]bool // by hand, listed or not
	order    []*endpoint         // everything listed, in the order first heard of
	ready    []*endpoint         // what new work may go to, in this instance's own order
	mean     float64             // mean payoff of the ready endpoints that have had an outcome
	warm     float64             // ready endpoints, cold ones by their present capacity
	size     float64             // the same by their listed weight
	meanAt   Time
	served   float64 // served attempts, forgotten over rateTime
	servedAt Time
	alike    float64     // smoothed part of second opinions on errors that are errors as well
	busy     float64     // smoothed utilization, as endpoints report it
	near     int         // the first of the ready ones: the own zone, or all where crossing is free
	heard    []*endpoint // those that have answered a probe just now
	part     int         // how many the pick draws among while they are idle
	unheard  Time        // what discovery has had since then may not have come; 0 while it has
	told     Time        // when that counts as told
	scratch  []*endpoint
}

// endpoint is one process. A restarted one is new: what was learned of the old does not speak for it.
type endpoint struct {
	remote   float64 // price of crossing to its zone
	state    EndpointState
	weight   float64
	started  Time
	line     Endpoint // as it was listed last; started is later after a ban
	inFlight int
	payoff   float64 // smoothed: 1 if served within the aim, less when slower, 0 on failure
	touched  Time    // when it was last picked or drifted
	cold     int     // -1 while it may be cold, else 0
	known    bool    // it has had an outcome
	passed   Time    // when the newest of the attempts that it has served was sent
	evidence evidence
	absent   Time    // when it was told gone, where that does not bind; 0 while it is listed
	credit   float64 // sends that the cold budget allows now
	creditAt Time
	scout    *request // the request for which it is being asked
	heard    Time     // when it last answered a probe
	load     Load     // what it told then
	since    int      // sent to it since then
}

func (b *Balancer) listCame(e *Event) {
	b.listAnswered()
	f := &b.fleet
	if e.Kind == ListRestored && b.set.MustPoll { // from before the start: it may be old
		b.listMissed(0, 0)
	}
	if e.Kind != ListChanged { // what a whole list no longer names is gone
		for _, known := range f.order {
			b.leave(known)
		}
	}
	for i := range e.Endpoints {
		b.update(&e.Endpoints[i], e.Endpoints[i].Started)
	}
	b.takeStock()
}

// leave books that one was told gone. Where only draining binds it serves on, last, until it fails.
func (b *Balancer) leave(e *endpoint) {
	if b.set.Rules.GoneMayServe && e.state == Active {
		e.absent = cmp.Or(e.absent, b.now)
		return
	}
	e.state = Gone
}

// ban has an endpoint count as draining, whatever lists tell, until it ends: then it has just been restarted.
func (b *Balancer) ban(id EndpointID, on bool) {
	f := &b.fleet
	if f.banned[id] == on {
		return
	}
	if f.banned[id] = true; !on {
		delete(f.banned, id)
		if e := f.byID[id]; e != nil {
			line := e.line
			e.line.Started = -1 // so that it is a new one
			b.update(&line, b.now)
		}
	}
	b.takeStock()
}

// takeStock looks anew at what new work may go to, and sends what has waited for it.
func (b *Balancer) takeStock() {
	b.sortOut()
	b.sendWaiting()
}

// sortOut forgets what is gone.
func (b *Balancer) sortOut() {
	f := &b.fleet
	gone := func(e *endpoint) bool {
		return e.state == Gone || e.absent > 0 && b.now-e.absent >= absentTime
	}
	maps.DeleteFunc(f.byID, func(_ EndpointID, e *endpoint) bool { return gone(e) })
	f.order = slices.DeleteFunc(f.order, gone)
	f.ready = slices.DeleteFunc(append(f.ready[:0], f.order...), func(e *endpoint) bool {
		return e.state != Active || f.banned[e.line.ID]
	})
	f.mean = 0
	b.measured()
	b.shareOut()
}

// shareOut puts the ready ones in the own order: zone, cold ones, ids; peers begin apart (docs/design.md).
func (b *Balancer) shareOut() {
	f := &b.fleet
	slices.SortFunc(f.ready, func(a, e *endpoint) int {
		near, cold := cmp.Compare(a.remote, e.remote), cmp.Compare(a.cold, e.cold)
		return cmp.Or(near, cold, cmp.Compare(a.line.ID, e.line.ID))
	})
	f.near = len(f.ready)
	if at := slices.IndexFunc(f.ready, func(e *endpoint) bool { return e.remote > 0 }); at >= 0 {
		f.near = at
	}
	_, place := math.Modf(float64(b.set.Number) * math.Phi)
	for from, to := 0, 0; from < len(f.ready); from = to {
		first := f.ready[from]
		for to < len(f.ready) && f.ready[to].remote == first.remote && f.ready[to].cold == first.cold {
			to++
		}
		group, at := f.ready[from:to], int(place*float64(to-from))
		copy(group, slices.Concat(group[at:], group[:at]))
	}
	f.part = max(leastPart, len(f.ready)/b.set.Peers)
}

// update takes over one line of the list. A changed start time is a new process: nothing in flight, and cold.
func (b *Balancer) update(line *Endpoint, started Time) {
	e := b.fleet.byID[line.ID]
	if e != nil && line.State == Gone {
		b.leave(e)
		return
	}
	if e != nil && e.line.Started != line.Started {
		e.state = Gone
		e = nil
	}
	if e == nil {
		e = &endpoint{payoff: b.measured().mean, touched: b.now, started: started}
		if started > 0 && b.now-started < b.set.Rules.ColdTime {
			e.cold = -1
		}
		e.credit, e.creditAt = b.rng.Float64(), b.now // peers must not all send their first at once
		b.fleet.byID[line.ID] = e
		b.fleet.order = append(b.fleet.order, e)
	}
	e.line, e.state, e.weight, e.absent = *line, line.State, 1, 0
	if line.Zone != b.set.Zone {
		e.remote = b.set.Prices.CrossZone
	}
	if b.set.WeightKnown && line.Weight > 0 {
		e.weight = line.Weight
	}
}
