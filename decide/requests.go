package decide

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// The life of a request: from its arrival over its attempts to its one final answer.

const (
	waitStep     = 20 * time.Millisecond // how often waiting requests are looked at again
	graceSpread  = 10 * time.Millisecond // graces of first tries differ by less
	overdueTimes = 6                     // usual times from which on an attempt may be taken for lost
)

// requests is everything held for clients.
type requests struct {
	held    map[RequestID]*request
	waiting []*request // for a token, or for an endpoint that may take them; oldest first
	wakeAt  Time       // when what waits is looked at again; 0 or past when nothing is
}

// request is one try of a client and its attempts, held until every attempt has its outcome.
type request struct {
	id             RequestID
	class          *class
	deadline       Time    // when the client gives up
	aimAt          Time    // when the aim passes, as far as can be told
	work           float64 // expected work, as the hint tells; 1 without hints
	value          float64 // what an answer within the aim is worth
	attempts       []attempt
	out            int  // attempts without an outcome
	funded         bool // a token is spent on its next attempt
	over           bool // the final answer is given, or nobody waits for one
	bound          bool // a stream has begun: the attempt is the client's
	came           Time
	late           bool     // it has been held until it can hardly be in time
	asked, awaited int      // endpoints asked for it, and of them without an answer
	askAt          Time     // when it may ask again
	errors         int      // answers to it that were errors
	tolls          [2]*toll // of its class and its tenant
}

// attempt is one send of a request.
type attempt struct {
	to      *endpoint
	sent    Time
	settled bool
	counted int  // 1 while it counts as in flight, else 0
	ran     bool // it may have run; true until an outcome proves otherwise
}

// arrived takes a new request: first attempts go free and at once.
func (b *Balancer) arrived(e *Event) {
	c := cmp.Or(b.classes[e.Class], &b.unknown)
	r := &request{id: e.Request, class: c, deadline: b.now + e.Grace, came: b.now}
	waited := b.waited(c, e)
	r.aimAt = b.now + c.Aim - waited
	r.value = c.Worth * b.charge(b.tenants[e.Tenant])
	r.tolls = [2]*toll{&c.toll, &cmp.Or(b.tenants[e.Tenant], &b.bucket).toll}
	if r.work = 1; b.set.HintsWork && e.Work > 0 {
		r.work = e.Work.Seconds()
	}
	b.held[r.id] = r
	b.timers.set(r.deadline-b.set.Tick, timerRequest, r.id)
	if usual := c.pace.usual(r.work); b.set.Front && waited > 0 && b.now+usual >= r.aimAt {
		r.value *= c.LateShare
	} else if b.set.Front && !b.scouting() { // what is to be expected of it: answers after the aim earn less
		left, takes := (r.aimAt - b.now).Seconds(), usual.Seconds()
		r.value *= (left*left + c.LateShare*takes*takes) / (left*left + takes*takes)
		r.value *= math.Exp(-r.tolls[0].now(b.now) - r.tolls[1].now(b.now)) // it holds a place
	}
	b.admit(r)
}

// waited is how long the client has been waiting, as the grace tells: first tries share one, and so may
// middle ones; the last has all the time that is left. A call of another tier has what its caller has left.
func (b *Balancer) waited(c *class, e *Event) time.Duration {
	if !b.set.Front {
		c.grace = max(c.grace, e.Grace)
		return c.grace - e.Grace
	}
	like := max(e.Grace-c.grace, c.grace-e.Grace) <= graceSpread
	switch {
	case e.Repeat:
		like = like || c.grace == 0 // no first try has been seen yet
	case like:
		c.votes++
	case c.votes > 0:
		c.votes--
	default:
		c.grace, c.votes, like = e.Grace, 1, true
	}
	if like {
		return 0
	}
	return max(0, c.Deadline-e.Grace)
}

// dispatch sends the request, or lets it wait while no endpoint may take it.
func (b *Balancer) dispatch(r *request) {
	to := b.pick(r)
	if to == nil {
		if b.anyMayTake(r) {
			b.wait(r)
		} else {
			b.giveUp(r, NothingMayTake)
		}
		return
	}
	b.hold.turned *= 1 - busyGain
	r.attempts = append(r.attempts, attempt{to: to, sent: b.now, ran: true})
	r.out, r.funded, to.since = r.out+1, false, to.since+1
	b.count(&r.attempts[len(r.attempts)-1], 1)
	if to.cold < 0 {
		to.credit--
	}
	b.act(Action{
		Kind: Send, Request: r.id, Endpoint: to.line.ID, Reason: sendReason(r), NotAfter: b.sendBy(to),
	})
	b.copyLost(r)
}

// copyLost sends a copy, for a token, where the only attempt is overdue and its endpoint served a later one.
func (b *Balancer) copyLost(r *request) {
	a, usual := &r.attempts[len(r.attempts)-1], r.class.pace.usual(r.work)
	switch due := a.sent + overdueTimes*usual; {
	case !b.set.Limits.Hedging || a.settled || r.out > 1 || usual == 0:
	case b.now >= due && a.to.passed > a.sent+usual && b.bucket.wait(b.now, r.class) == 0 && b.mayRetry(r):
		b.retry(r)
	case b.now < b.lastUse(r):
		b.timers.set(max(due, b.now+max(usual, waitStep)), timerRequest, r.id)
	}
}

// wait holds a request that cannot be sent now.
func (b *Balancer) wait(r *request) {
	b.waiting = append(b.waiting, r)
	b.wake(0)
}

// wake looks again at what waits, waitStep after the wait at the earliest.
func (b *Balancer) wake(wait time.Duration) {
	if at := b.now + wait + waitStep; b.wakeAt <= b.now || at < b.wakeAt {
		b.wakeAt = at
		b.timers.set(at, timerWaiting, 0)
	}
}

// sendWaiting looks again at every waiting request, oldest first.
func (b *Balancer) sendWaiting() {
	waiting := b.waiting
	b.waiting = nil
	for _, r := range waiting {
		switch {
		case r.over:
		case len(r.attempts) == 0 || r.funded:
			b.dispatch(r)
		default:
			b.retry(r)
		}
	}
}

// finished books an attempt's outcome, also when its request is long over.
func (b *Balancer) finished(e *Event) {
	r := b.held[e.Request]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].settled {
		return
	}
	a := &r.attempts[e.Attempt]
	a.settled, a.ran = true, !e.Outcome.NeverRan()
	b.count(a, 0)
	r.out--
	b.learn(r, a, e)
	r.over = r.over || e.RequestDone
	if e.Outcome == Served {
		b.stopRest(r)
	}
	switch {
	case r.over || r.out > 0:
	case e.Outcome == ServerError && (r.errors > 1 || b.rng.Float64() < min(b.fleet.alike, 1-secondLeast)):
		b.giveUp(r, ErrorsAlike) // two are errors, or second opinions lately agree
	default:
		b.retry(r)
	}
	b.release(r)
	b.sendHeld()
}

// giveUp ends a request: refused where that is allowed, else failed.
func (b *Balancer) giveUp(r *request, why Reason) {
	r.over = true
	answer := Action{Kind: Fail, Request: r.id, Reason: why}
	if mayRefuse(r) {
		answer.Kind, answer.After = Refuse, b.comeBack(r)
	}
	b.act(answer)
	b.release(r)
}

// comeBack says when a refused client may try again, at random: while an answer can be in time, else late.
func (b *Balancer) comeBack(r *request) time.Duration {
	l := &b.set.Limits
	if !l.RetryAfter {
		return 0
	}
	if left := b.lastUse(r) - b.now; left > 0 {
		return min(l.MaxRetryAfter, b.jitter(left))
	}
	return l.MaxRetryAfter/2 + b.jitter(l.MaxRetryAfter/2)
}

// count counts an attempt as in flight, or not: its endpoint does nothing for it while its body comes.
func (b *Balancer) count(a *attempt, n int) {
	a.to.inFlight, b.hold.out, a.counted = a.to.inFlight+n-a.counted, b.hold.out+n-a.counted, n
}

// release forgets a request that is over and has nothing out.
func (b *Balancer) release(r *request) {
	if r.over && r.out == 0 {
		delete(b.held, r.id)
	}
}

// timeUp ends a request that runs out of time with nothing out; what is out is ended by its own time-out.
func (b *Balancer) timeUp(id RequestID) {
	r := b.held[id]
	if r == nil || r.over || r.bound {
		return
	}
	if len(r.attempts) > 0 {
		b.copyLost(r)
	}
	late := b.now >= r.deadline-b.set.Tick || len(r.attempts) == 0 && b.now >= b.latest(r)
	if !late || r.out > 0 {
		return
	}
	why := NoTimeLeft
	if len(r.attempts) == 0 {
		why = HeldTooLong
		if b.now-r.came > graceSpread {
			b.hold.turned += busyGain * (1 - b.hold.turned)
		}
	}
	b.giveUp(r, why)
}

// stopRest calls off what is out for a request that needs it no more.
func (b *Balancer) stopRest(r *request) {
	for i := range r.attempts {
		if b.set.Limits.Cancel && !r.attempts[i].settled {
			b.act(Action{Kind: Cancel, Request: r.id, Attempt: i})
		}
	}
}

// clientDid books that a client has left, or begun to send or take what can't go twice, or sent it all.
func (b *Balancer) clientDid(e *Event, inFlight int) {
	r := b.held[e.Request]
	if r == nil {
		return
	}
	if e.Kind == ClientLeft {
		r.over = true
		b.release(r)
	} else if r.bound = true; e.Attempt < len(r.attempts) && !r.attempts[e.Attempt].settled {
		b.count(&r.attempts[e.Attempt], inFlight)
		b.sendHeld()
	}
}

func (r *request) tried(e *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.to == e })
}
