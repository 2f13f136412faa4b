package pipeline

import "time"

// The times of calls to discovery, and of the pauses between them.

// callTimes are the times of calls to discovery.
type callTimes struct {
	dial    time.Duration // for a connection
	fetch   time.Duration // for the first byte of the whole list, asked for while there is none
	hedge   time.Duration // after which it is asked for a second time, beside a fetch that has had no answer; 0 for never
	wait    time.Duration // a watch waits so long for news, at least
	spread  time.Duration // and up to so much longer: discovery serves all sidecars in turn
	overdue time.Duration // an answer's first byte may come so long after the wait: then the call has fallen silent
	check   time.Duration // the same where a fresh call asks what one that broke or fell silent has missed
	body    time.Duration // for what follows an answer's first byte
}

// Figures of a watch. An answer may be lost on its way, and nothing tells: until its
// wait is over the sidecar is blind. Discovery works through all sidecars' calls in
// turn: the more there are, the longer each waits.
const (
	waitPerPeer = time.Second // for each instance of the tier
	minWait     = 4 * time.Second
	maxWait     = 16 * time.Second

	// What a silent watch has missed counts as told toldTime after its wait (protocol: Figures), and then the grace for
	// drains runs. Two fresh calls, the second for a first that is lost as well, are answered or over by the end of that.
	deliveryAfterWait = 2 * time.Second
	overdueTime       = 800 * time.Millisecond
	maxChecks         = 2                      // in a row; then the module, or a pause, says when to go on
	checkSpread       = 100 * time.Millisecond // ahead of each: sidecars whose watches break together do not call together
	maxCheckTime      = time.Second            // for one: half of the shortest time for which a discovery keeps calls in turn
	minCheckTime      = 300 * time.Millisecond // with no grace at all: the news may then come late

	// checkWait is what a fresh call waits for news: it asks whether there are any, and whether discovery is there.
	checkWait = time.Millisecond

	// Whatever a failed call allows, a change counts as told 6 s after discovery had it and could be reached. The way there
	// is what was left of a call that came to nothing, a pause, and the turn of the next call: 3 s at most, as far as is known.
	maxListDelay = 5500 * time.Millisecond // half a second is left to a busy machine
	maxQueueTime = 3 * time.Second
	// A discovery that refuses calls late in their turn has too many callers, and pauses that are too short keep it so. One
	// that refuses them after 2 s keeps none for longer, which leaves as much time; one that does after 2.3 s or more, and
	// keeps the next call as long, is not in time.
	overloadedPause = 1400 * time.Millisecond
	lateRetryPause  = 200 * time.Millisecond // longest pause where the way before has taken all the time

	// A fetch is overdue past the longest time in turn. That is too late to ask anew, so it is hedged: a second one goes
	// out beside it and the first answer counts. A discovery that is only slow is not asked from the back of its turn.
	fetchTimeout = 3500 * time.Millisecond
	hedgeDelay   = 2200 * time.Millisecond

	dialTimeout = 1500 * time.Millisecond // a lost SYN is sent again after a second
	bodyTime    = 1200 * time.Millisecond // an answer is written at once, unless its way has broken
)

// newCallTimes are those of a sidecar with so many peers, itself included, where sends to a draining endpoint end within
// a grace.
func newCallTimes(peers int, grace time.Duration) callTimes {
	wait := min(max(time.Duration(peers)*waitPerPeer, minWait), maxWait)
	check := (deliveryAfterWait+grace-overdueTime)/maxChecks - checkSpread
	return callTimes{
		dial: dialTimeout, fetch: fetchTimeout, hedge: hedgeDelay, wait: wait, spread: wait / 2,
		overdue: overdueTime, check: min(max(check, minCheckTime), maxCheckTime), body: bodyTime,
	}
}

// Pauses after a failure where the module does not ask: lists are pushed, and what discovery has counts as told
// whether or not anybody listens. The first is short, since it is nobody's turn while discovery is away; they grow,
// since a discovery with too many callers is not helped by more calls. As much comes by chance. See nextWithin for what bounds
// them besides, here and where the module asks.
const (
	minBackoff = 250 * time.Millisecond
	maxBackoff = time.Second
)

// noNewsPause comes before the next watch when one has told nothing new: a
// discovery that does not wait must not keep a sidecar busy. A watch goes on if
// its next call comes within 200 ms.
const noNewsPause = 100 * time.Millisecond

// maxRetryDelay is the longest pause behind a failed call that leaves the change time: took is how long nothing has come, and
// answered tells whether discovery refused the call, or answered it with a fault.
func maxRetryDelay(took time.Duration, answered bool) time.Duration {
	floor := lateRetryPause
	if answered {
		floor = overloadedPause
	}
	return max(floor, maxListDelay-maxQueueTime-took)
}
