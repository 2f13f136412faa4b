package decide

import "time"

// The retry budget: every attempt after the first costs a token. The bucket is filled by served attempts and
// by a small constant rate, the floor.

const (
	depositPerServed = 0.1  // tokens for each served attempt: keeps retries near a tenth of the traffic
	floorRate        = 3.0  // tokens a second, whatever the traffic
	floorTime        = 10.0 // seconds of the floor that the bucket holds
	floorBurst       = floorTime * floorRate
	floorPeers       = 10.0 // with an instance for each caller, all peers share this many floors
	minBurst         = 3.0  // tokens that the bucket can hold however small the floor
	reserveShare     = 0.5  // part of the bucket that the class of lowest worth leaves to the others
)

// bucket is a token bucket. It funds retries, or holds a tenant's allowance: a token for each request that
// keeps its full worth (see chargeTenant).
type bucket struct {
	tokens     float64
	refilledAt Time       // when the floor was last added
	floor      float64    // tokens a second
	burst      float64    // the most tokens that it holds
	excess     excessTime // of its tenant; in the retry budget, of all requests without a tenant
}

// newBucket returns a full retry budget. Where each caller has an instance, peers share floorPeers floors,
// because hundreds of full ones would not bound retries.
func newBucket(set *Settings) bucket {
	b := bucket{floor: floorRate, burst: floorBurst}
	if set.Entry == PerCaller {
		b.floor = floorRate / float64(max(1, set.Peers)) * floorPeers
		b.burst = max(minBurst, floorTime*b.floor)
	}
	b.tokens = b.burst
	return b
}

// refill adds the tokens that the floor has brought since the last refill.
func (b *bucket) refill(now Time) {
	b.add(b.floor * (now - b.refilledAt).Seconds())
	b.refilledAt = now
}

func (b *bucket) add(tokens float64) { b.tokens = min(b.burst, b.tokens+tokens) }

// fundedIn returns how long the floor alone takes until it can fund a retry of the class; 0 if a token is
// there.
func (b *bucket) fundedIn(now Time, c *class) time.Duration {
	b.refill(now)
	return max(0, time.Duration((1+c.reserve*b.burst-b.tokens)/b.floor*float64(time.Second)))
}

// retry sends a request again if a token funds it. Else the request waits for a token, or is given up if none
// can come in time.
func (b *Balancer) retry(r *request) {
	wait := b.bucket.fundedIn(b.now, r.class)
	switch {
	case !b.mayRetry(r):
		b.giveUp(r, b.noRetryReason(r))
	case !r.funded && b.now+wait >= b.lastUseful(r):
		b.giveUp(r, NoRetryToken)
	case r.funded: // it already waits for a slot; a second token would send one attempt too many
	case wait == 0:
		b.bucket.tokens--
		r.funded = true
		if b.probesFirst() {
			b.admit(r)
		} else {
			b.dispatch(r)
		}
	default:
		b.addWaiting(r)
	}
}

// mayRetry reports whether the limit of attempts, the effects and the time allow another attempt.
func (b *Balancer) mayRetry(r *request) bool {
	return !r.streaming && len(r.attempts) < b.settings.Limits.MaxAttempts && b.anyMayTake(r) &&
		b.now < b.lastUseful(r)
}

// noRetryReason returns why mayRetry allows no other attempt.
func (b *Balancer) noRetryReason(r *request) Reason {
	switch {
	case r.streaming:
		return AnswerBegun
	case len(r.attempts) >= b.settings.Limits.MaxAttempts:
		return NoAttemptsLeft
	case b.now >= b.lastUseful(r):
		return NoTimeLeft
	}
	return NoEndpointAllowed
}

// sendReason returns why the newest attempt of a request was sent, if it is not the first.
func sendReason(r *request) Reason {
	switch {
	case len(r.attempts) < 2:
		return NoReason
	case r.unsettled > 1:
		return Hedged
	}
	return Retried
}

// lastUseful returns until when another attempt can earn anything. It is never later than the timer that ends
// the request: a request that starts to wait after that timer would get no answer.
func (b *Balancer) lastUseful(r *request) Time {
	if r.class.LateShare == 0 {
		return min(r.deadline-b.settings.Tick, r.aimAt-r.class.latency.expected(r.work))
	}
	return r.deadline - b.settings.Tick
}
