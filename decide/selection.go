package decide

import "math"

// Endpoint selection: of two endpoints drawn at random, the one with the higher score gets the attempt. The
// score is the payoff divided by one plus the attempts in flight.

const (
	firstChoicePayoff = 0.8 // a first choice has at least this part of the mean payoff
	minPickWidth      = 2   // pick draws from at least this many idle endpoints
)

// pick returns the endpoint for the next attempt of a request, or nil if none can take it now.
func (b *Balancer) pick(r *request) *endpoint { return b.pickOfTwo(b.candidates(r)) }

// pickOfTwo draws two candidates at random and returns the one with the higher score; nil if there are none.
func (b *Balancer) pickOfTwo(candidates []*endpoint) *endpoint {
	n := len(candidates)
	if n < 2 {
		return append(candidates, nil)[0]
	}
	i, j := b.rng.IntN(n), b.rng.IntN(n-1)
	if j >= i {
		j++
	}
	first, second := candidates[i], candidates[j]
	if b.score(second) > b.score(first) { // ties: the order of the two is random
		return second
	}
	return first
}

// candidates returns the endpoints of the best rank that may take a request now. Of rank 0 it returns only
// the first few in this instance's own order, without crossing to another zone.
func (b *Balancer) candidates(r *request) []*endpoint {
	set := &b.endpoints
	all, best, from := set.scratch[:0], math.MaxInt, set.ready
	if b.probesFirst() {
		from = set.reported
	}
	trusted, width := b.trustFor(r), b.pickWidth()
	for _, e := range from {
		if !b.allows(trusted, e) {
			continue
		}
		if !b.mayTake(r, e) || !b.hasColdCredit(e) || b.probesFirst() && !b.hasSlot(r, e) {
			continue
		}
		rank := b.rank(r, e)
		if rank < best {
			best, all = rank, all[:0]
		}
		if best == 0 && len(all) > 0 && (len(all) == width || e.zoneCost > all[0].zoneCost) {
			break
		}
		if rank == best {
			all = append(all, e)
		}
	}
	set.scratch = all
	return all
}

// rank orders candidates, the lowest first: 0 for idle endpoints with a good payoff (all where probes
// decide), 1 for others with room, 2 for crowded ones and those reported gone, 3 for those already tried.
func (b *Balancer) rank(r *request, e *endpoint) int {
	switch {
	case r.tried(e):
		return 3
	case b.probesFirst():
		return 0
	case e.absentSince > e.servedSentAt: // reported gone, and has served nothing sent since
		return 2
	case e.inFlight == 0 && b.payoff(e) >= firstChoicePayoff*b.refreshed().meanPayoff:
		return 0
	case !b.crowded(e):
		return 1
	}
	return 2
}

// score is the payoff divided by one plus what is in flight: this instance's attempts, or, if it is more,
// what a recent load report shows.
func (b *Balancer) score(e *endpoint) float64 {
	inFlight := float64(e.inFlight)
	if b.fresh(e) {
		inFlight = max(inFlight, (e.load.Outstanding+float64(e.sentSince))/e.weight)
	}
	return b.payoff(e) / (1 + inFlight)
}
