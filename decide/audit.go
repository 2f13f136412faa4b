package decide

import "fmt"

// Audit checks that the balancer's counts agree with each other, and returns how many attempts have no
// outcome yet. It decides nothing; tests and simulations call it between events.
func (b *Balancer) Audit() (unsettled int, err error) {
	if t := b.bucket.tokens; t < 0 || t > floorBurst {
		return 0, fmt.Errorf("retry budget: %v tokens, outside 0 to %v", t, floorBurst)
	}
	inFlight, counted := map[*endpoint]int{}, 0
	for id, r := range b.pending {
		n := 0
		for i := range r.attempts {
			if a := &r.attempts[i]; !a.settled {
				n++
				inFlight[a.to] += a.counted
				counted += a.counted
			}
		}
		if n != r.unsettled {
			return 0, fmt.Errorf("request %d: %d attempts have no outcome, but %d are counted",
				id, n, r.unsettled)
		}
		if r.done && n == 0 {
			return 0, fmt.Errorf("request %d: it is done and has no attempt in flight, but is still kept", id)
		}
		unsettled += n
	}
	if counted != b.admission.inFlight {
		return 0, fmt.Errorf("%d attempts are in flight, but admission counts %d",
			counted, b.admission.inFlight)
	}
	for _, e := range b.endpoints.known {
		if e.inFlight != inFlight[e] {
			const text = "endpoint %d: %d attempts are in flight, but %d are counted"
			return 0, fmt.Errorf(text, e.listed.ID, inFlight[e], e.inFlight)
		}
	}
	return unsettled, nil
}

// Avoided returns how many known endpoints get no new work because they drain or are banned.
func (b *Balancer) Avoided() int { return len(b.endpoints.known) - len(b.endpoints.ready) }
