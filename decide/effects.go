package decide

import "slices"

// The rules on effects: where another attempt of a request may go, and when its client may be told that
// a repeat is harmless.

// mayTake is the one rule on effects: whether another attempt may go there. What is out counts as having run.
func (b *Balancer) mayTake(r *request, to *endpoint) bool {
	if r.over || r.bound || (r.out > 0 && !b.set.Limits.Hedging) {
		return false
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.ran || r.class.Effect == Safe {
			continue
		}
		if r.class.Effect == Unsafe || b.now-a.sent >= r.class.Window || !sameGroup(r.class.Group, a.to, to) {
			return false
		}
	}
	return true
}

func sameGroup(g Group, a, b *endpoint) bool {
	like, as := &a.line, &b.line
	return g == GroupAll || g == GroupZone && like.Zone == as.Zone || g == GroupCell && like.Cell == as.Cell
}

// anyMayTake tells whether the effects leave the request any ready endpoint.
func (b *Balancer) anyMayTake(r *request) bool {
	return len(b.fleet.ready) == 0 && !mayHaveRun(r) ||
		slices.ContainsFunc(b.fleet.ready, func(e *endpoint) bool { return b.mayTake(r, e) })
}

func mayHaveRun(r *request) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.ran })
}

// mayRefuse is the one rule on refusals: whether the client may be told that trying again is harmless.
func mayRefuse(r *request) bool {
	c := r.class
	return c.Effect == Safe || c.Effect == Keyed && c.Group == GroupAll || !mayHaveRun(r)
}
