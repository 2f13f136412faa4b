package decide

import (
	"cmp"
	"time"
)

// When discovery is asked for the endpoint list: soon after the start, and again after failed calls.
// Discovery works through the calls of all instances in turn, and a call that it refuses costs it as much as
// one that it answers, so many instances that retry at once would keep it overrun for good.

const (
	firstPollSpread = 1 * time.Second // the first poll comes within this if peers are few
	// The longest spread where peers are many: well before a change of the list counts as delivered.
	maxFirstPollSpread = 3500 * time.Millisecond
	minPollBackoff     = 1 * time.Second // shortest delay before the poll that follows a failure
	// The upper bound of the backoff; a random delay of up to the same length is added.
	maxPollBackoff = 1250 * time.Millisecond

	pollSpreadPerPeer = 40 * time.Millisecond // polls of all peers are spread over this for each
	maxRefusedDelay   = 20 * time.Second      // longest delay after a poll that discovery refused
	refusedDelayRatio = 4                     // longest delay after a refusal, divided by the shortest
)

// polling is the state of the polls for the endpoint list.
type polling struct {
	backoff time.Duration // delay after the next failure
}

// scheduleFirstPoll sets the timer of the first poll, at random so that peers that start together don't poll
// together.
func (b *Balancer) scheduleFirstPoll() {
	spread := max(firstPollSpread, pollSpread(b.settings.Peers))
	b.timers.set(b.now+b.jitter(spread), timerList, 0)
}

// pollSpread is the time over which that many peers spread polls that they would otherwise all make now.
func pollSpread(peers int) time.Duration {
	return min(time.Duration(peers)*pollSpreadPerPeer, maxFirstPollSpread)
}

// canOverrun reports whether that many peers can keep discovery overrun with polls at the usual backoff.
func canOverrun(peers int) bool { return time.Duration(peers)*pollSpreadPerPeer > 2*maxPollBackoff }

// MoveSpread is the time over which that many peers spread their first calls to another discovery. It is 0
// where peers are too few to overrun one.
func MoveSpread(peers int) time.Duration {
	if !canOverrun(peers) {
		return 0
	}
	return pollSpread(peers)
}

// ListRetryDelay returns the shortest delay before the poll that follows a failure, and the longest random
// time to add to it. Both equal the backoff, unless discovery has refused the poll and that many peers can
// overrun it: then they grow with the number of peers.
func ListRetryDelay(backoff time.Duration, peers int, refused bool) (minDelay, spread time.Duration) {
	if !refused || !canOverrun(peers) {
		return backoff, backoff
	}
	longest := min(time.Duration(peers)*pollSpreadPerPeer, maxRefusedDelay)
	shortest := longest / refusedDelayRatio
	return max(backoff, shortest), longest - shortest
}

// handleListFailure sets the timer of the next poll. Its random delay grows with each failure, stays within
// the event's grace, and is longer where discovery has refused the poll and peers are many.
func (b *Balancer) handleListFailure(e *Event) {
	b.markListMissed(0, 0)
	backoff := min(b.polling.backoff, cmp.Or(e.Grace/2, maxPollBackoff))
	minDelay, spread := ListRetryDelay(backoff, b.settings.Peers, e.Refused)
	b.timers.set(b.now+minDelay+b.jitter(spread), timerList, 0)
	b.polling.backoff = min(maxPollBackoff, 2*b.polling.backoff)
}

// markListConfirmed records that discovery has answered a poll, or has accepted a watch for changes.
func (b *Balancer) markListConfirmed() {
	b.polling.backoff, b.endpoints.missedSince = minPollBackoff, 0
}
