package pipeline

import "time"

// How long calls to discovery may take, and the pauses between them.

// callTimes are the time limits of calls to discovery.
type callTimes struct {
	dial    time.Duration // limit for a dial
	fetch   time.Duration // limit for the first byte of the full list, which is fetched while no list is known
	hedge   time.Duration // a fetch without an answer for so long is hedged by a second one; 0 for never
	wait    time.Duration // minimum time for which discovery is asked to hold a watch until there is a change
	spread  time.Duration // random addition to wait: discovery works through the calls of all sidecars one after another
	overdue time.Duration // limit for an answer's first byte, counted from the end of the wait; then the call has timed out
	check   time.Duration // limit for the first byte of a check call, which asks for what a broken or timed-out watch missed
	body    time.Duration // limit for the rest of an answer after its first byte
}

// Time limits of watches and other calls. An answer to a watch can be lost without any sign of it, and the sidecar gets no
// changes until the wait is over. Discovery works through the calls of all sidecars one after another: the more sidecars
// there are, the longer each call must wait, so that discovery gets fewer of them.
const (
	waitPerPeer = time.Second // for each instance of the tier
	minWait     = 4 * time.Second
	maxWait     = 16 * time.Second

	// What a silent watch has missed counts as delivered deliveryAfterWait after its wait (protocol: Figures); the grace for
	// drains starts then. Two check calls, the second in case the first is lost too, end before that grace does.
	deliveryAfterWait = 2 * time.Second
	overdueTime       = 800 * time.Millisecond
	maxChecks         = 2                      // in a row; after that the module, or the backoff, decides when the next call is made
	checkSpread       = 100 * time.Millisecond // random pause before each: sidecars whose watches break at the same time do not call at the same time
	maxCheckTime      = time.Second            // limit of one check call: half of the shortest time for which a discovery keeps calls in its queue
	minCheckTime      = 300 * time.Millisecond // the same where the grace for drains is short or 0; changes may then come too late

	// checkWait is how long a check call asks discovery to wait for a change: it only asks whether there are any, and whether
	// discovery is reachable.
	checkWait = time.Millisecond

	// maxListDelay bounds how late a change may arrive despite failed calls: it counts as delivered 6 s after discovery had it
	// and could be reached. That time consists of the rest of a failed call, a pause, and the time that the next call spends in
	// discovery's queue, which is 3 s at most as far as is known.
	maxListDelay = 5500 * time.Millisecond // half a second is left as a margin for a busy machine
	maxQueueTime = 3 * time.Second
	// overloadedPause is the minimum for the longest pause after a call that discovery refused or answered with an invalid
	// list. A discovery that refuses calls late in its queue has too many callers, and shorter pauses would keep it so.
	// One that refuses calls after 2 s in the queue keeps none for longer, which leaves time for this pause. With one that
	// refuses them after 2.3 s or more, and keeps the next call as long, the change does not arrive in time.
	overloadedPause = 1400 * time.Millisecond
	lateRetryPause  = 200 * time.Millisecond // minimum for the longest pause after any other failed call, when the failed call has taken all the time

	// A fetch times out after the longest time that a call waits in discovery's queue. A new call would then come too late,
	// so a second fetch is sent beside the first after hedgeDelay and the first answer counts. A discovery that is merely
	// slow is thus not called again and again from the end of its queue.
	fetchTimeout = 3500 * time.Millisecond
	hedgeDelay   = 2200 * time.Millisecond

	dialTimeout = 1500 * time.Millisecond // longer than a second, after which the kernel sends a lost SYN again
	bodyTime    = 1200 * time.Millisecond // an answer is written at once unless the connection is broken
)

// newCallTimes returns the time limits for a sidecar in a tier of so many instances, itself included, where grace is the time
// within which sending to a draining endpoint must end.
func newCallTimes(peers int, grace time.Duration) callTimes {
	wait := min(max(time.Duration(peers)*waitPerPeer, minWait), maxWait)
	check := (deliveryAfterWait+grace-overdueTime)/maxChecks - checkSpread
	return callTimes{
		dial: dialTimeout, fetch: fetchTimeout, hedge: hedgeDelay, wait: wait, spread: wait / 2,
		overdue: overdueTime, check: min(max(check, minCheckTime), maxCheckTime), body: bodyTime,
	}
}

// The backoff after a failed call where lists are pushed and the module does not decide on retries. There, a change counts as
// delivered whether or not the sidecar is connected. The first pause is short: while discovery is away no call waits in its
// queue. The pauses grow, because more calls do not help a discovery that has too many callers. A random time of the same
// size is added. maxRetryDelay bounds the pauses too, with and without the module.
const (
	minBackoff = 250 * time.Millisecond
	maxBackoff = time.Second
)

// noNewsPause is the pause before the next watch when the last one returned no change, so that a discovery that answers
// watches at once does not keep a sidecar busy. A watch counts as uninterrupted if its next call comes within 200 ms.
const noNewsPause = 100 * time.Millisecond

// maxRetryDelay returns the longest pause after a failed call with which a change still arrives within maxListDelay, or a minimum
// pause if that is longer. took is for how long nothing has been received; refused reports whether discovery refused the call or
// answered it with an invalid list.
func maxRetryDelay(took time.Duration, refused bool) time.Duration {
	floor := lateRetryPause
	if refused {
		floor = overloadedPause
	}
	return max(floor, maxListDelay-maxQueueTime-took)
}
