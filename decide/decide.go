// All is decided here. The interface stands in types.go; the timer heap, which decides nothing, in timers.go.

package decide

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Figures of the design. None is taken from a deployment.
const (
	depositPerServed = 0.1  // tokens for each served attempt: retries stay near a tenth of traffic
	floorRate        = 3.0  // tokens a second whatever the traffic
	floorTime        = 10.0 // seconds of the floor that the bucket holds
	floorBurst       = floorTime * floorRate
	floorPeers       = 10.0            // balancers for whose tier the floor is meant
	leastBurst       = 3.0             // tokens that it holds however small the floor
	spareShare       = 0.5             // part of the bucket that the lowest worth leaves to the others
	payoffFloor      = 0.05            // least payoff: one out of favour still wins a pick now and then
	payoffGain       = 0.15            // weight of the newest outcome in the smoothed payoff
	alikeGain        = 0.1             // weight of the newest second opinion on an error
	secondLeast      = 0.1             // part of the errors on which one is asked for, at least
	driftTime        = 8 * time.Second // an unpicked endpoint goes this slowly towards the others' mean

	// Figures of what the design leaves open.
	waitStep       = 20 * time.Millisecond   // how often waiting requests are looked at again
	graceSpread    = 10 * time.Millisecond   // graces of first tries differ by less
	firstPayoff    = 0.8                     // least part of the mean payoff of a first choice
	leastPart      = 2                       // idle endpoints in the own order to draw among, at least
	meanAgeEach    = time.Millisecond        // how old the mean payoff may be, for each endpoint
	rateTime       = 3 * time.Second         // averaging time of the served rate
	coldTrickle    = 1.0                     // sends a second to a cold endpoint, over all peers, at least
	firstAskSpread = 1 * time.Second         // the first call for the list comes within this
	askBackoff     = 1 * time.Second         // shortest pause before asking again after a failed call
	askBackoffMost = 1250 * time.Millisecond // and longest; as much comes by chance
	absentTime     = time.Minute             // an endpoint told gone that no longer binds is kept so long

	streamMix = 0x9e3779b97f4a7c15 // sets the second half of the random state apart from the seed

	// Figures of the hold: the exception for a tier that is full.
	holdStretch = 1.35            // answers may take this many times their usual least
	leastTime   = time.Minute     // the usual least follows slower answers this slowly
	holdLeast   = 2.0             // attempts for each ready endpoint and tier that are always allowed
	holdStart   = 3.0             // the same that an instance starts with
	holdMost    = 6.0             // the same that it may rise to: a long overload would creep into the choke
	holdFewest  = 4               // attempts from which on a limit is kept at every moment
	holdPace    = 0.06            // part by which the limit moves in a second
	stretchGain = 0.03            // weight of the newest outcome in the smoothed stretch
	stretchTime = 3 * time.Second // or over which it is smoothed, where outcomes are few
	holdBinds   = 0.8             // part of the limit that must be out for a quick answer to raise it
	holdUneven  = 1.25            // times its even part of the limit that one endpoint may have out
	paceCount   = 40              // answers over which a class's pace is smoothed
	slopePrior  = 0.05            // weight, as a spread of work, of the guess that time grows as work does
	leastCount  = 200             // and over which its least is: the least of a short mean is mostly chance

	overdueTimes = 6 // times its usual time from which on an attempt may be taken for lost

	tenantBurst = 2 * time.Second // how much of its allowance a tenant may use at once

	// Figures of scouting: the hold where endpoints tell their load to probes.
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

// Balancer decides for one instance. It is not safe for concurrent use.
type Balancer struct {
	set     Settings
	rng     *rand.Rand
	now     Time
	actions []Action
	timers  timerQueue
	classes map[string]*class
	unknown class // what a request of an unknown class is handled as
	requests
	bucket         bucket
	hold           hold
	tenants        map[string]*bucket // requests inside each customer's share, of this instance's part of it
	fleet          fleet
	mostWorth      float64       // of a class
	askBackoffNext time.Duration // pause after the next failed call for the list
}

// class is a request class with what its requests share.
type class struct {
	Class
	leaves float64 // part of the bucket left to others: by the lowest worth, where worth differs
	pace   pace
	toll   toll
	grace  time.Duration // of a first try: the one that most share; the longest seen at lower tiers
	votes  int           // tries that have lately had it, less those that have not
}

// New returns a balancer that has seen nothing yet. The seed is its only source of randomness.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.validate(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	b := &Balancer{set: set, rng: rand.New(rand.NewPCG(seed, seed^streamMix)), classes: map[string]*class{}}
	least, most := math.Inf(1), 0.0
	for _, c := range set.Classes {
		least, most = min(least, c.Worth), max(most, c.Worth)
	}
	for _, c := range set.Classes {
		b.classes[c.Name] = &class{Class: c}
		if least < most && c.Worth == least {
			b.classes[c.Name].leaves = spareShare
		}
	}
	b.unknown = class{Class: Class{Effect: Unsafe, Worth: set.Classes[0].Worth, Aim: set.Classes[0].Aim}}
	b.held, b.bucket, b.tenants = map[RequestID]*request{}, newBucket(&set), map[string]*bucket{}
	for _, t := range set.Tenants {
		rate := t.Allowed / float64(max(1, set.Peers))
		b.tenants[t.Name] = &bucket{floor: rate, burst: max(1, rate*tenantBurst.Seconds())}
	}
	b.mostWorth, b.fleet.byID = max(most, math.SmallestNonzeroFloat64), map[EndpointID]*endpoint{}
	b.fleet.banned, b.askBackoffNext = map[EndpointID]bool{}, askBackoff
	b.hold.each = holdStart * b.tierShare()
	return b, nil
}

// Handle takes one event at its time and appends what is to be done about it.
func (b *Balancer) Handle(now Time, e *Event, actions []Action) []Action {
	b.now, b.actions = now, actions
	switch e.Kind {
	case Start:
		if b.set.MustAsk { // soon, but not in step with peers that start too
			b.timers.set(b.now+b.jitter(firstAskSpread), timerList, 0)
		}
	case Arrived:
		b.arrived(e)
	case Finished:
		b.finished(e)
	case StreamBegan, ClientLeft:
		b.clientDid(e, 0)
	case BodyCame:
		b.clientDid(e, 1)
	case ListChanged, ListReplaced, ListRestored:
		b.listCame(e)
	case ListFailed:
		b.listFailed(e)
	case ProbeFinished:
		b.scoutBack(e)
	case StreamBroke:
		if to := b.fleet.byID[e.Endpoint]; to != nil {
			to.payoff *= 1 - payoffGain // as a failure
		}
	case Ruled:
		b.ruled(e.Ruling)
	case Banned, Unbanned:
		b.ban(e.Endpoint, e.Kind == Banned)
	}
	b.runTimers() // after the event: a request whose end it tells is left alone
	actions = b.timers.arm(now, b.actions)
	b.actions = nil
	return actions
}

func (b *Balancer) runTimers() {
	for t, ok := b.timers.due(b.now); ok; t, ok = b.timers.due(b.now) {
		switch t.kind {
		case timerRequest:
			b.timeUp(t.request)
		case timerWaiting:
			b.wakeAt = 0
			b.sendWaiting()
			b.sendHeld()
			b.ask()
		case timerList:
			b.act(Action{Kind: WatchList})
		}
	}
}

func (b *Balancer) act(a Action) { b.actions = append(b.actions, a) }

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
			b.giveUp(r)
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
	b.act(Action{Kind: Send, Request: r.id, Endpoint: to.line.ID})
	b.copyLost(r)
}

// copyLost sends a copy, for a token, where the only attempt is overdue and its endpoint served a later one.
func (b *Balancer) copyLost(r *request) {
	a, usual := &r.attempts[len(r.attempts)-1], r.class.pace.usual(r.work)
	switch due := a.sent + overdueTimes*usual; {
	case !b.set.Limits.SecondCopies || a.settled || r.out > 1 || usual == 0:
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
	r.over = r.over || e.Over
	if e.Outcome == Served {
		b.stopRest(r)
	}
	switch {
	case r.over || r.out > 0:
	case e.Outcome == ServerError && (r.errors > 1 || b.rng.Float64() < min(b.fleet.alike, 1-secondLeast)):
		b.giveUp(r) // another would likely be an error too: two are, or second opinions lately agree
	default:
		b.retry(r)
	}
	b.release(r)
	b.sendHeld()
}

// giveUp ends a request: refused where that is allowed, else failed.
func (b *Balancer) giveUp(r *request) {
	r.over = true
	answer := Action{Kind: Fail, Request: r.id}
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
	if late && r.out == 0 {
		if len(r.attempts) == 0 && b.now-r.came > graceSpread {
			b.hold.turned += busyGain * (1 - b.hold.turned)
		}
		b.giveUp(r)
	}
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

// hold keeps first attempts back at a limit, against the jam that free ones make (docs/design.md).
type hold struct {
	out     int        // attempts without an outcome
	queue   []*request // held back, worthiest first, then oldest
	each    float64    // attempts that may be out for every ready endpoint
	at      Time       // of the newest outcome
	stretch float64    // smoothed logarithm of an attempt's time over its class's least
	turned  float64    // smoothed part of the requests that found no place in time
	boundAt Time       // when an endpoint that was asked last had no place
}

// limit is how many attempts may be out: by endpoints, whose capacity stays while something slows them all.
func (b *Balancer) limit() float64 { return b.hold.each * b.measured().warm }

// hasRoom tells whether a held request may go: to an endpoint that has told of a place, or within the limit.
func (b *Balancer) hasRoom(r *request) bool {
	if b.scouting() {
		return len(b.candidates(r)) > 0
	}
	return float64(b.hold.out+1) <= max(b.limit(), holdFewest)
}

// binds tells whether the limit keeps requests back: then quick answers raise it. An empty list has no limit.
func (b *Balancer) binds() bool {
	if b.scouting() {
		return b.now-b.hold.boundAt < stretchTime
	}
	return b.limit() > 0 && float64(b.hold.out) >= holdBinds*b.limit()
}

// tierShare is this instance's part of one attempt in each tier that works on it.
func (b *Balancer) tierShare() float64 { return float64(b.set.Depth+1) / float64(b.set.Peers) }

// adjust moves the limit: up while it binds and attempts take little more than their least, else down.
func (b *Balancer) adjust(r *request, e *Event) {
	told := e.Outcome == Served || e.Outcome == TimedOut || e.Outcome == Canceled
	if r.class.pace.seen == 0 || len(b.fleet.ready) == 0 || !told {
		return // quick errors and refusals say nothing of how slow a full tier is
	}
	h := &b.hold
	gain := max(stretchGain, 1-decay(b.now-h.at, stretchTime))
	h.stretch += gain * (r.class.pace.took(r.work, e.Latency) - r.class.pace.least - h.stretch)
	step := h.each * holdPace * min(1, (b.now-h.at).Seconds())
	h.at = b.now
	switch {
	case h.stretch > math.Log(holdStretch):
		h.each -= step
	case b.binds():
		h.each += step
	}
	h.each = max(holdLeast*b.tierShare(), min(holdMost*b.tierShare(), h.each))
}

// crowded tells whether an endpoint has its part of the limit out, by payoff: slow ones must not fill it.
func (b *Balancer) crowded(e *endpoint) bool {
	even := max(holdFewest, b.limit()) / max(1, b.fleet.warm) * b.capacity(e)
	return float64(e.inFlight) >= max(1, holdUneven*even*b.payoff(e)/b.measured().mean)
}

// admit sends a request at once unless the tier is full, or endpoints are to be asked first.
func (b *Balancer) admit(r *request) {
	h := &b.hold
	if !b.set.Front || !b.scouting() && len(h.queue) == 0 && b.hasRoom(r) {
		b.dispatch(r)
		return
	}
	at := len(h.queue)
	for at > 0 && h.queue[at-1].value < r.value {
		at--
	}
	h.queue = slices.Insert(h.queue, at, r)
	b.timers.set(max(b.now, b.latest(r)), timerRequest, r.id)
	r.asked, r.awaited, r.askAt = 0, 0, b.now
	b.sendHeld()
	b.ask()
}

// latest is when a held request is given up: hardly in time. Scouted, it waits on while late answers earn.
func (b *Balancer) latest(r *request) Time {
	usual := r.class.pace.usual(r.work)
	at := r.aimAt - usual
	if b.scouting() {
		at -= askSlack * usual
	}
	if b.scouting() && !r.late && b.now >= at && r.class.LateShare > 0 && b.hold.turned < turnedMost {
		r.late, r.value = true, r.value*r.class.LateShare
		b.timers.set(max(b.now+waitStep, r.deadline-usual), timerRequest, r.id)
	}
	if r.late {
		return max(at, r.deadline-usual)
	}
	return at
}

// sendHeld sends the held requests that have room, worthiest first.
func (b *Balancer) sendHeld() {
	queue := b.hold.queue
	b.hold.queue = nil // what is sent may bring a retry into it
	kept := queue[:0]
	for _, r := range queue {
		if !r.over && b.hasRoom(r) {
			b.dispatch(r)
		} else if !r.over {
			kept = append(kept, r)
		}
	}
	b.hold.queue = append(kept, b.hold.queue...)
}

// scouting tells whether the hold goes by what endpoints say: even parts say nothing where few carry most.
func (b *Balancer) scouting() bool {
	return b.set.Front && b.set.Entry == Own && b.set.Limits.Probing && b.set.Report.How != Silent
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
	if r.awaited > 0 && b.set.Report.How == ToProbes { // to be compared with the others' answers
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

// charge books a request on its tenant's allowance. It returns the part of its worth that is left to it.
func (b *Balancer) charge(t *bucket) float64 {
	if t == nil || !b.set.Front || b.set.Entry == Own {
		return 1
	}
	if t.refill(b.now); t.tokens < 1 {
		return b.set.OverShareWorth
	}
	t.tokens--
	return 1
}

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
	if set.Entry == Own {
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
	case !b.mayRetry(r), !r.funded && b.now+wait >= b.lastUse(r):
		b.giveUp(r)
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

// lastUse is when another attempt can last earn anything. After it the timer that ends the request has fired.
func (b *Balancer) lastUse(r *request) Time {
	if r.class.LateShare == 0 {
		return min(r.deadline-b.set.Tick, r.aimAt-r.class.pace.usual(r.work))
	}
	return r.deadline - b.set.Tick
}

// mayTake is the one rule on effects: whether another attempt may go there. What is out counts as having run.
func (b *Balancer) mayTake(r *request, to *endpoint) bool {
	if r.over || r.bound || (r.out > 0 && !b.set.Limits.SecondCopies) {
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
	absent   Time    // when it was told gone, where that does not bind; 0 while it is listed
	credit   float64 // sends that the cold budget allows now
	creditAt Time
	scout    *request // the request for which it is being asked
	heard    Time     // when it last answered a probe
	load     Load     // what it told then
	since    int      // sent to it since then
}

// pick draws two that may take it; the higher payoff over one plus own in flight wins, ties at random.
func (b *Balancer) pick(r *request) *endpoint { return b.draw(b.candidates(r)) }

// draw draws two; the higher appeal wins.
func (b *Balancer) draw(candidates []*endpoint) *endpoint {
	n := len(candidates)
	if n < 2 {
		return append(candidates, nil)[0]
	}
	i, j := b.rng.IntN(n), b.rng.IntN(n-1)
	if j >= i {
		j++
	}
	first, second := candidates[i], candidates[j]
	if b.appeal(second) > b.appeal(first) { // drawn in random order: a tie is settled already
		return second
	}
	return first
}

// candidates are what the pick draws from: the best rank that may take it, of first choices a few.
func (b *Balancer) candidates(r *request) []*endpoint {
	f := &b.fleet
	all, best, from := f.scratch[:0], math.MaxInt, f.ready
	if b.scouting() {
		from = f.heard
	}
	for _, e := range from {
		if !b.mayTake(r, e) || !b.hasColdCredit(e) || b.scouting() && !b.hasPlace(r, e) {
			continue
		}
		rank := b.rank(r, e)
		if rank < best {
			best, all = rank, all[:0]
		}
		if best == 0 && len(all) > 0 && (len(all) == f.part || e.remote > all[0].remote) {
			break
		}
		if rank == best {
			all = append(all, e)
		}
	}
	f.scratch = all
	return all
}

func (r *request) tried(e *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.to == e })
}

// rank orders them: 0 for an idle one no worse than most, then those with room, crowded ones, those tried.
func (b *Balancer) rank(r *request, e *endpoint) int {
	switch {
	case r.tried(e):
		return 3
	case b.scouting():
		return 0
	case e.absent > e.passed: // told gone, and has served nothing since
		return 2
	case e.inFlight == 0 && b.payoff(e) >= firstPayoff*b.measured().mean:
		return 0
	case !b.crowded(e):
		return 1
	}
	return 2
}

// appeal is payoff over one plus what is in flight: the own, or what the endpoint has just told.
func (b *Balancer) appeal(e *endpoint) float64 {
	inFlight := float64(e.inFlight)
	if b.fresh(e) {
		inFlight = max(inFlight, (e.load.Outstanding+float64(e.since))/e.weight)
	}
	return b.payoff(e) / (1 + inFlight)
}

// payoff is the endpoint's payoff after its drift towards the others' mean.
func (b *Balancer) payoff(e *endpoint) float64 {
	if idle := b.now - e.touched; !e.known {
		e.payoff = b.measured().mean
	} else if idle > 0 && e.inFlight == 0 {
		e.payoff += (b.measured().mean - e.payoff) * (1 - decay(idle, driftTime))
		e.touched = b.now
	}
	return max(payoffFloor, e.payoff)
}

// measured brings the fleet's sums up to date, to meanAgeEach for each endpoint at least.
func (b *Balancer) measured() *fleet {
	f := &b.fleet
	if f.mean > 0 && b.now-f.meanAt < time.Duration(len(f.ready))*meanAgeEach {
		return f
	}
	f.mean, f.warm, f.size, f.meanAt = 1, 0, 0, b.now
	sum, known, warmed := 0.0, 0, false
	for _, e := range f.ready {
		if e.cold < 0 && b.capacity(e) >= 1 {
			e.cold, warmed = 0, true
		}
		f.warm += b.capacity(e)
		f.size += b.capacity(e) * e.weight
		if e.known {
			sum += max(payoffFloor, e.payoff)
			known++
		}
	}
	if known > 0 {
		f.mean = sum / float64(known)
	}
	if warmed {
		b.shareOut()
	}
	return f
}

// learn books an outcome with the bucket and the endpoint.
func (b *Balancer) learn(r *request, a *attempt, e *Event) {
	if e.Outcome == NotSent {
		return
	}
	got := 0.0
	if e.Outcome == Served {
		b.bucket.refill(b.now)
		b.bucket.add(depositPerServed)
		b.fleet.served, b.fleet.servedAt = b.fleet.served*decay(b.now-b.fleet.servedAt, rateTime)+1, b.now
		a.to.passed = max(a.to.passed, a.sent)
		r.class.pace.observe(b.now, r.work, e.Latency, b.binds())
		if b.scouting() { // a place was free: what is left of the time is work
			r.class.pace.joint, r.class.pace.spread = 0, 0
		}
	}
	if e.Outcome == Served || e.Outcome == Canceled { // called off: at least so slow
		got = min(1, float64(yardstick(r))/float64(max(e.Latency, 1)))
	}
	weight := payoffGain
	switch {
	case r.errors > 0 && e.Outcome == Served:
		b.fleet.alike -= alikeGain * b.fleet.alike
	case r.errors > 0 && e.Outcome == ServerError:
		b.fleet.alike, weight = b.fleet.alike+alikeGain*(1-b.fleet.alike), 0
	}
	if e.Outcome == ServerError { // it is the endpoint's as far as second opinions lately differ
		weight, r.errors = weight*(1-b.fleet.alike), r.errors+1
	}
	a.to.payoff += weight * (got - a.to.payoff)
	if held := r.class.pace.took(r.work, e.Latency) - r.class.pace.least; a.ran && r.class.pace.seen > 0 {
		for _, t := range r.tolls {
			t.held, t.at = (1-payoffGain)*t.now(b.now)+payoffGain*held, b.now
		}
	}
	a.to.touched, a.to.known = b.now, true
	if a.to.absent > 0 && (e.Outcome == ConnectFailed || e.Outcome == TimedOut || e.Outcome == Reset) {
		a.to.state = Gone
		b.sortOut()
	}
	b.adjust(r, e)
}

// toll is how much longer than usual requests of a class or a tenant lately hold their places, by logarithm.
type toll struct {
	held float64
	at   Time
}

// now is what is left of it: it is forgotten as payoffs are.
func (t *toll) now(now Time) float64 { return max(0, t.held*decay(now-t.at, driftTime)) }

// yardstick earns the full payoff: the aim, or what served attempts take if less, as calls of lower tiers do.
func yardstick(r *request) time.Duration {
	return min(r.class.Aim, cmp.Or(r.class.pace.usual(r.work), r.class.Aim))
}

// pace is how long served attempts take, by logarithm, with the usual work: what all pay alike is not work's.
type pace struct {
	log           float64 // smoothed
	long          float64 // the same over more answers
	least         float64 // the least that has been lately
	work          float64 // logarithm of the usual work
	spread, joint float64 // of the work's logarithm: its smoothed square, and product with that of the time
	seen          int     // served attempts, counted up to leastCount
	at            Time
}

// observe takes in a served attempt.
func (p *pace) observe(now Time, work float64, latency time.Duration, full bool) {
	if p.seen == 0 {
		p.work = math.Log(work)
	}
	p.seen = min(p.seen+1, leastCount)
	gain, took, off := 1/float64(p.seen), p.took(work, latency), math.Log(work)-p.work
	p.joint += (off*(logTime(latency)-p.long) - p.joint) * gain
	p.spread += (off*off - p.spread) * gain
	p.work += off * gain
	p.log += (took - p.log) / float64(min(p.seen, paceCount))
	if p.long += (took - p.long) * gain; p.seen < paceCount || p.long < p.least {
		p.least = p.long
	}
	if !full { // a full tier would teach its own queues as usual, and the hold's limit creep up
		p.least += (1 - decay(now-p.at, leastTime)) * (p.long - p.least)
	}
	p.at = now
}

// slope is the part of a difference in work that shows in the time, by logarithm: all until seen otherwise.
func (p *pace) slope() float64 { return max(0, min(1, (p.joint+slopePrior)/(p.spread+slopePrior))) }

// took is the logarithm of the time that an attempt would have taken with the usual work.
func (p *pace) took(work float64, latency time.Duration) float64 {
	return logTime(latency) - p.slope()*(math.Log(work)-p.work)
}

func logTime(d time.Duration) float64 { return math.Log(max(d, time.Millisecond).Seconds()) }

// usual is the time that an attempt with so much work takes lately, if seen.
func (p *pace) usual(work float64) time.Duration {
	if p.seen == 0 {
		return 0
	}
	return time.Duration(math.Exp(p.log+p.slope()*(math.Log(work)-p.work)) * float64(time.Second))
}

func decay(age, over time.Duration) float64 { return math.Exp(-age.Seconds() / over.Seconds()) }

// capacity is the part of its full capacity that an endpoint has at least.
func (b *Balancer) capacity(e *endpoint) float64 {
	age := b.now - e.started
	if e.cold == 0 || age >= b.set.Rules.ColdTime {
		return 1
	}
	return 1 - (1-b.set.Rules.ColdShare)*(1-max(0, age.Seconds()/b.set.Rules.ColdTime.Seconds()))
}

// hasColdCredit keeps the rule on cold starts: a cold one takes its share of what is served, never a burst.
func (b *Balancer) hasColdCredit(e *endpoint) bool {
	if e.cold == 0 {
		return true
	}
	served := b.fleet.served * decay(b.now-b.fleet.servedAt, rateTime) / rateTime.Seconds()
	rate := b.capacity(e) * e.weight * served / max(b.measured().size, e.weight)
	rate = max(rate, coldTrickle/float64(b.set.Peers))
	e.credit, e.creditAt = min(1, e.credit+rate*(b.now-e.creditAt).Seconds()), b.now
	return e.credit >= 1
}

func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(d))
}

// listFailed asks again after a random pause that grows with each failure, within the event's grace.
func (b *Balancer) listFailed(e *Event) {
	pause := min(b.askBackoffNext, cmp.Or(e.Grace/2, askBackoffMost))
	b.timers.set(b.now+pause+b.jitter(pause), timerList, 0)
	b.askBackoffNext = min(askBackoffMost, 2*b.askBackoffNext)
}

func (b *Balancer) listCame(e *Event) {
	b.askBackoffNext = askBackoff
	f := &b.fleet
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
	if b.set.Rules.GoneServes && e.state == Active {
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
