package decide

import (
	"cmp"
	"time"
)

// When the list is asked for: soon after the start, and again behind calls that failed. Discovery works
// through the calls of all instances in turn, and a call that it refuses has cost it what one that it answers
// does: a fleet that comes again at once keeps it overrun for good.

const (
	firstAskSpread = 1 * time.Second         // the first call comes within this
	firstAskMost   = 3500 * time.Millisecond // longest where peers are many, well before news bind
	askBackoff     = 1 * time.Second         // shortest pause before asking again after a failed call
	askBackoffMost = 1250 * time.Millisecond // and longest; as much comes by chance

	askEach     = 40 * time.Millisecond // calls of a fleet are spread over so much for each instance
	refusedMost = 20 * time.Second      // longest pause behind a refused call
	refusedPart = 4                     // the shortest is this part of the longest
)

// asking is when the list is asked for next.
type asking struct {
	backoff time.Duration // pause after the next failed call
}

// firstAsk sets the first call: soon, but not in step with peers that start too.
func (b *Balancer) firstAsk() {
	spread := max(firstAskSpread, fleetSpread(b.set.Peers))
	b.timers.set(b.now+b.jitter(spread), timerList, 0)
}

// fleetSpread is the time over which instances with so many peers spread calls that they would all make now.
func fleetSpread(peers int) time.Duration { return min(time.Duration(peers)*askEach, firstAskMost) }

// mayOverrun tells whether so many instances can keep a discovery overrun by calls that come again soon.
func mayOverrun(peers int) bool { return time.Duration(peers)*askEach > 2*askBackoffMost }

// MoveSpread is the time over which instances with so many peers spread their first calls to another
// discovery; 0 for a fleet too small to overrun one.
func MoveSpread(peers int) time.Duration {
	if !mayOverrun(peers) {
		return 0
	}
	return fleetSpread(peers)
}

// ListRetryDelay is how long an instance with so many peers waits at the least, and how much longer by
// chance, behind a failed call for the list: as long as its backoff each, or by the number of peers where
// discovery has refused the call and they can overrun it.
func ListRetryDelay(backoff time.Duration, peers int, refused bool) (least, spread time.Duration) {
	if !refused || !mayOverrun(peers) {
		return backoff, backoff
	}
	longest := min(time.Duration(peers)*askEach, refusedMost)
	shortest := longest / refusedPart
	return max(backoff, shortest), longest - shortest
}

// listFailed asks again after a random pause that grows with each failure, within the event's grace; longer
// where discovery has refused the call and peers are many.
func (b *Balancer) listFailed(e *Event) {
	b.listMissed(0, 0)
	backoff := min(b.asking.backoff, cmp.Or(e.Grace/2, askBackoffMost))
	least, spread := ListRetryDelay(backoff, b.set.Peers, e.Refused)
	b.timers.set(b.now+least+b.jitter(spread), timerList, 0)
	b.asking.backoff = min(askBackoffMost, 2*b.asking.backoff)
}

// listAnswered books that a call was answered, or has been taken to wait for news.
func (b *Balancer) listAnswered() { b.asking.backoff, b.fleet.unheard = askBackoff, 0 }
