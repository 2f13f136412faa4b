package decide

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// The life of a request: its arrival, its attempts, and its one final answer.

const (
	recheckInterval = 20 * time.Millisecond // how often waiting requests are checked again
	graceTolerance  = 10 * time.Millisecond // graces that differ by no more than this count as equal
	overdueFactor   = 6                     // expected latencies after which an attempt may be lost
)

// requests holds every request that has not been answered or still has an attempt in flight.
type requests struct {
	pending   map[RequestID]*request
	waiting   []*request // requests that wait for a token or for an endpoint that may take them; oldest first
	recheckAt Time       // when they are checked again; 0 or in the past if that is not scheduled
}

// request is one try of a client with its attempts. It is kept until every attempt has an outcome.
type request struct {
	id                    RequestID
	class                 *class
	deadline              Time    // when the client gives up
	aimAt                 Time    // when the aim passes, as far as the grace shows
	work                  float64 // expected work in seconds, from the hint; 1 without hints
	value                 float64 // expected worth of an answer, which orders the queue
	attempts              []attempt
	unsettled             int  // attempts without an outcome
	funded                bool // a token has been spent on its next attempt
	done                  bool // it has its final answer, or its client has left
	streaming             bool // part of a body or an answer that can't be sent twice is under way: no retry
	arrivedAt             Time
	late                  bool           // it is kept in the queue though it will probably miss its aim
	probed, probesPending int            // endpoints probed for it, and how many of them have not answered
	nextProbeAt           Time           // when endpoints may be probed for it again
	errors                int            // its attempts that ended with a ServerError
	excess                [2]*excessTime // excess times of its class and of its tenant
}

// attempt is one sending of a request to an endpoint.
type attempt struct {
	to         *endpoint
	sentAt     Time
	settled    bool
	counted    int  // 1 while it counts as in flight, else 0
	mayHaveRun bool // true until an outcome proves that the endpoint did not run it
}

// handleArrival admits a new request. First attempts cost no token. On the front tier the request's value is
// the worth that can be expected of it: less where it will probably miss its aim, and less where requests of
// its class or tenant have lately held their slots for long.
func (b *Balancer) handleArrival(e *Event) {
	c := cmp.Or(b.classes[e.Class], &b.unknownClass)
	r := &request{id: e.Request, class: c, deadline: b.now + e.Grace, arrivedAt: b.now}
	waited := b.waited(c, e)
	r.aimAt = b.now + c.Aim - waited
	r.value = c.Worth * b.chargeTenant(b.tenants[e.Tenant])
	r.excess = [2]*excessTime{&c.excess, &cmp.Or(b.tenants[e.Tenant], &b.bucket).excess}
	if r.work = 1; b.settings.HintsWork && e.Work > 0 {
		r.work = e.Work.Seconds()
	}
	b.pending[r.id] = r
	b.timers.set(r.deadline-b.settings.Tick, timerRequest, r.id)
	if expected := c.latency.expected(r.work); b.settings.Front && waited > 0 && b.now+expected >= r.aimAt {
		r.value *= c.LateShare
	} else if b.settings.Front && !b.probesFirst() {
		left, takes := (r.aimAt - b.now).Seconds(), expected.Seconds()
		r.value *= (left*left + c.LateShare*takes*takes) / (left*left + takes*takes)
		// Less if such requests have lately held their slots for long.
		r.value *= math.Exp(-r.excess[0].current(b.now) - r.excess[1].current(b.now))
	}
	b.admit(r)
}

// waited returns how long the client has been waiting already, judged by the grace that is left. First tries
// have the same grace; tries in the middle may have it too; the last try has all the time that is left of the
// deadline. A call from another tier has the time that its caller has left.
func (b *Balancer) waited(c *class, e *Event) time.Duration {
	if !b.settings.Front {
		c.grace = max(c.grace, e.Grace)
		return c.grace - e.Grace
	}
	sameGrace := max(e.Grace-c.grace, c.grace-e.Grace) <= graceTolerance
	switch {
	case e.Repeat:
		sameGrace = sameGrace || c.grace == 0 // no first try has been seen to compare it with
	case sameGrace:
		c.graceVotes++
	case c.graceVotes > 0:
		c.graceVotes--
	default:
		c.grace, c.graceVotes, sameGrace = e.Grace, 1, true
	}
	if sameGrace {
		return 0
	}
	return max(0, c.Deadline-e.Grace)
}

// dispatch sends the request to an endpoint. If none can take it now, the request waits; if the effects leave
// no endpoint that may ever take it, the request is given up.
func (b *Balancer) dispatch(r *request) {
	to := b.pick(r)
	if to == nil {
		if b.anyMayTake(r) {
			b.addWaiting(r)
		} else {
			b.giveUp(r, NoEndpointAllowed)
		}
		return
	}
	b.admission.unplaced *= 1 - smoothingGain
	r.attempts = append(r.attempts, attempt{to: to, sentAt: b.now, mayHaveRun: true})
	r.unsettled, r.funded, to.sentSince = r.unsettled+1, false, to.sentSince+1
	b.setCounted(&r.attempts[len(r.attempts)-1], 1)
	if to.cold < 0 {
		to.credit--
	}
	b.emit(Action{
		Kind: Send, Request: r.id, Endpoint: to.listed.ID, Reason: sendReason(r), NotAfter: b.sendBy(to),
	})
	b.hedgeOverdue(r)
}

// hedgeOverdue sends a hedged request, for a token, if the only attempt in flight is overdue and its endpoint
// has meanwhile served an attempt that was sent later: then the answer is probably lost. If the attempt is
// not overdue yet, hedgeOverdue sets a timer to check again.
func (b *Balancer) hedgeOverdue(r *request) {
	a, expected := &r.attempts[len(r.attempts)-1], r.class.latency.expected(r.work)
	switch due := a.sentAt + overdueFactor*expected; {
	case !b.settings.Limits.Hedging || a.settled || r.unsettled > 1 || expected == 0:
	case b.now >= due && a.to.servedSentAt > a.sentAt+expected &&
		b.bucket.fundedIn(b.now, r.class) == 0 && b.mayRetry(r):
		b.retry(r)
	case b.now < b.lastUseful(r):
		b.timers.set(max(due, b.now+max(expected, recheckInterval)), timerRequest, r.id)
	}
}

// addWaiting keeps a request that no endpoint can take now, or that no token funds yet, until the next check.
func (b *Balancer) addWaiting(r *request) {
	b.waiting = append(b.waiting, r)
	b.scheduleRecheck(0)
}

// scheduleRecheck sets a timer for the next check of waiting and queued requests: recheckInterval after wait
// has passed, unless an earlier check is set.
func (b *Balancer) scheduleRecheck(wait time.Duration) {
	if at := b.now + wait + recheckInterval; b.recheckAt <= b.now || at < b.recheckAt {
		b.recheckAt = at
		b.timers.set(at, timerWaiting, 0)
	}
}

// recheckWaiting tries every waiting request again, oldest first.
func (b *Balancer) recheckWaiting() {
	waiting := b.waiting
	b.waiting = nil
	for _, r := range waiting {
		switch {
		case r.done:
		case len(r.attempts) == 0 || r.funded:
			b.dispatch(r)
		default:
			b.retry(r)
		}
	}
}

// handleOutcome records the outcome of an attempt, also if the request is done already. A request that is not
// done and has no other attempt in flight is then retried or given up.
func (b *Balancer) handleOutcome(e *Event) {
	r := b.pending[e.Request]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].settled {
		return
	}
	a := &r.attempts[e.Attempt]
	a.settled, a.mayHaveRun = true, !e.Outcome.NeverRan()
	b.setCounted(a, 0)
	r.unsettled--
	b.learn(r, a, e)
	r.done = r.done || e.RequestDone
	if e.Outcome == Served {
		b.cancelRest(r)
	}
	switch {
	case r.done || r.unsettled > 0:
	case e.Outcome == ServerError &&
		(r.errors > 1 || b.rng.Float64() < min(b.endpoints.errorsAlike, 1-minErrorRetries)):
		b.giveUp(r, ErrorsAlike) // a retry would probably end in an error too
	default:
		b.retry(r)
	}
	b.forgetIfDone(r)
	b.sendQueued()
}

// giveUp gives a request its final answer without a result: Refuse where the client may repeat it, else Fail.
func (b *Balancer) giveUp(r *request, reason Reason) {
	r.done = true
	answer := Action{Kind: Fail, Request: r.id, Reason: reason}
	if mayRefuse(r) {
		answer.Kind, answer.After = Refuse, b.retryAfter(r)
	}
	b.emit(answer)
	b.forgetIfDone(r)
}

// retryAfter returns how long a refused client should wait before it tries again: a random part of the time
// in which an answer is still useful, at most MaxRetryAfter; if that time has passed, a random time from half
// of MaxRetryAfter to all of it. It is 0 where no advice is allowed.
func (b *Balancer) retryAfter(r *request) time.Duration {
	l := &b.settings.Limits
	if !l.RetryAfter {
		return 0
	}
	if left := b.lastUseful(r) - b.now; left > 0 {
		return min(l.MaxRetryAfter, b.jitter(left))
	}
	return l.MaxRetryAfter/2 + b.jitter(l.MaxRetryAfter/2)
}

// setCounted sets whether an attempt counts as in flight (n is 1 or 0). It does not count while its body is
// being sent, because its endpoint does no work for it meanwhile.
func (b *Balancer) setCounted(a *attempt, n int) {
	a.to.inFlight, b.admission.inFlight, a.counted =
		a.to.inFlight+n-a.counted, b.admission.inFlight+n-a.counted, n
}

// forgetIfDone removes a request that is done and has no attempt without an outcome.
func (b *Balancer) forgetIfDone(r *request) {
	if r.done && r.unsettled == 0 {
		delete(b.pending, r.id)
	}
}

// checkDeadline ends a request that has run out of time and has no attempt in flight. One in flight ends by
// its own time-out. It also sends a hedged request for an attempt that is overdue.
func (b *Balancer) checkDeadline(id RequestID) {
	r := b.pending[id]
	if r == nil || r.done || r.streaming {
		return
	}
	if len(r.attempts) > 0 {
		b.hedgeOverdue(r)
	}
	expired := b.now >= r.deadline-b.settings.Tick || len(r.attempts) == 0 && b.now >= b.giveUpAt(r)
	if !expired || r.unsettled > 0 {
		return
	}
	reason := NoTimeLeft
	if len(r.attempts) == 0 {
		reason = QueuedTooLong
		if b.now-r.arrivedAt > graceTolerance {
			b.admission.unplaced += smoothingGain * (1 - b.admission.unplaced)
		}
	}
	b.giveUp(r, reason)
}

// cancelRest cancels the remaining attempts of a request that has been served.
func (b *Balancer) cancelRest(r *request) {
	for i := range r.attempts {
		if b.settings.Limits.Cancel && !r.attempts[i].settled {
			b.emit(Action{Kind: Cancel, Request: r.id, Attempt: i})
		}
	}
}

// handleClientEvent records that a client has left, that a body or answer has begun that can't be sent twice,
// or that the body is complete. inFlight is 1 if the attempt counts as in flight from then on.
func (b *Balancer) handleClientEvent(e *Event, inFlight int) {
	r := b.pending[e.Request]
	if r == nil {
		return
	}
	if e.Kind == ClientLeft {
		r.done = true
		b.forgetIfDone(r)
	} else if r.streaming = true; e.Attempt < len(r.attempts) && !r.attempts[e.Attempt].settled {
		b.setCounted(&r.attempts[e.Attempt], inFlight)
		b.sendQueued()
	}
}

// tried reports whether an attempt of the request went to the endpoint.
func (r *request) tried(e *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.to == e })
}
