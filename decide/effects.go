package decide

import "slices"

// The rules on effects: which endpoints may get another attempt of a request, and when its client may be told
// that a repeat is harmless.

// mayTake is the only place that applies the effects to attempts: it reports whether another attempt may go
// to an endpoint. An attempt in flight counts as having run.
func (b *Balancer) mayTake(r *request, to *endpoint) bool {
	if r.done || r.streaming || (r.unsettled > 0 && !b.settings.Limits.Hedging) {
		return false
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.mayHaveRun || r.class.Effect == Safe {
			continue
		}
		if r.class.Effect == Unsafe || b.now-a.sentAt >= r.class.Window ||
			!sameGroup(r.class.Group, a.to, to) {
			return false
		}
	}
	return true
}

// sameGroup reports whether two endpoints share their memory of keys.
func sameGroup(g Group, a, b *endpoint) bool {
	first, second := &a.listed, &b.listed
	return g == GroupAll || g == GroupZone && first.Zone == second.Zone ||
		g == GroupCell && first.Cell == second.Cell
}

// anyMayTake reports whether the effects leave the request any ready endpoint. An empty list counts as one as
// long as the request can't have run.
func (b *Balancer) anyMayTake(r *request) bool {
	return len(b.endpoints.ready) == 0 && !mayHaveRun(r) ||
		slices.ContainsFunc(b.endpoints.ready, func(e *endpoint) bool { return b.mayTake(r, e) })
}

// mayHaveRun reports whether any attempt of the request may have run.
func mayHaveRun(r *request) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.mayHaveRun })
}

// mayRefuse is the only place that applies the effects to refusals: it reports whether the client may be told
// that trying again is harmless.
func mayRefuse(r *request) bool {
	c := r.class
	return c.Effect == Safe || c.Effect == Keyed && c.Group == GroupAll || !mayHaveRun(r)
}
