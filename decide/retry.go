package decide

import "time"

// The retry budget: one token bucket, fed by served attempts and a small floor, funds every attempt
// after the first.

const (
	depositPerServed = 0.1  // tokens for each served attempt: retries stay near a tenth of traffic
	floorRate        = 3.0  // tokens a second whatever the traffic
	floorTime        = 10.0 // seconds of the floor that the bucket holds
	floorBurst       = floorTime * floorRate
	floorPeers       = 10.0 // balancers for whose tier the floor is meant
	leastBurst       = 3.0  // tokens that it holds however small the floor
	spareShare       = 0.5  // part of the bucket that the lowest worth leaves to the others
)

// bucket funds retries: a tenth of what is served, and a floor.
type bucket struct {
	tokens float64
	filled Time
	floor  float64 // tokens a second
	burst  float64 // most that it holds
	toll   toll    // of the tenant whose share it is, or of all without one
}

// newBucket returns a full one. Hundreds of whole floors would bound nothing: many instances share one.
func newBucket(set *Settings) bucket {
	k := bucket{floor: floorRate, burst: floorBurst}
	if set.Entry == PerCaller {
		k.floor = floorRate / float64(max(1, set.Peers)) * floorPeers
		k.burst = max(leastBurst, floorTime*k.floor)
	}
	k.tokens = k.burst
	return k
}

// refill adds what the floor has brought since the last look.
func (k *bucket) refill(now Time) {
	k.add(k.floor * (now - k.filled).Seconds())
	k.filled = now
}

func (k *bucket) add(tokens float64) { k.tokens = min(k.burst, k.tokens+tokens) }

// wait is how long the floor alone takes to fund a retry of the class.
func (k *bucket) wait(now Time, c *class) time.Duration {
	k.refill(now)
	return max(0, time.Duration((1+c.leaves*k.burst-k.tokens)/k.floor*float64(time.Second)))
}

// retry sends a request again if a token funds it. Else it waits for one, or is given up if that is no use.
func (b *Balancer) retry(r *request) {
	wait := b.bucket.wait(b.now, r.class)
	switch {
	case !b.mayRetry(r):
		b.giveUp(r, b.whyNoRetry(r))
	case !r.funded && b.now+wait >= b.lastUse(r):
		b.giveUp(r, NoRetryToken)
	case r.funded: // its next attempt waits for a place already: a second token would bring one too many
	case wait == 0:
		b.bucket.tokens--
		r.funded = true
		if b.scouting() {
			b.admit(r)
		} else {
			b.dispatch(r)
		}
	default:
		b.wait(r)
	}
}

// mayRetry tells whether the limit of attempts, the effects and the time leave another.
func (b *Balancer) mayRetry(r *request) bool {
	return !r.bound && len(r.attempts) < b.set.Limits.MaxAttempts && b.anyMayTake(r) && b.now < b.lastUse(r)
}

// whyNoRetry is what keeps mayRetry from allowing another attempt.
func (b *Balancer) whyNoRetry(r *request) Reason {
	switch {
	case r.bound:
		return AnswerBegun
	case len(r.attempts) >= b.set.Limits.MaxAttempts:
		return NoAttemptsLeft
	case b.now >= b.lastUse(r):
		return NoTimeLeft
	}
	return NothingMayTake
}

// sendReason is why the newest attempt of a request is not its first.
func sendReason(r *request) Reason {
	switch {
	case len(r.attempts) < 2:
		return NoReason
	case r.out > 1:
		return Copied
	}
	return Retried
}

// lastUse is when another attempt can last earn anything. After it the timer that ends the request has fired.
func (b *Balancer) lastUse(r *request) Time {
	if r.class.LateShare == 0 {
		return min(r.deadline-b.set.Tick, r.aimAt-r.class.pace.usual(r.work))
	}
	return r.deadline - b.set.Tick
}
