package decide

import (
	"testing"
	"time"
)

// pollDelays returns the shortest and the longest delay before the next poll, over many instances with that many peers. The last of the
// events sets the delay.
func pollDelays(t *testing.T, peers int, events ...Event) (shortest, longest time.Duration) {
	t.Helper()
	const seeds = 400
	set := testSettings()
	set.MustPoll, set.Peers = true, peers
	shortest = time.Hour
	for seed := range uint64(seeds) {
		b, err := New(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		delay := time.Duration(0)
		for _, e := range events {
			for _, a := range b.Handle(time.Minute, &e, nil) {
				if a.Kind == SetTimer {
					delay = a.After
				}
			}
			b.timers.heap = nil // each event sets its own timer
			b.timers.armed = 0
		}
		shortest, longest = min(shortest, delay), max(longest, delay)
	}
	return shortest, longest
}

// Guards against many instances that start together and overrun discovery, and against a first poll that comes too late.
func TestFirstPollsAreSpreadByNumberOfPeers(t *testing.T) {
	for peers, want := range map[int]time.Duration{
		1: firstPollSpread, 25: firstPollSpread, 50: 50 * pollSpreadPerPeer, 900: maxFirstPollSpread,
	} {
		if _, longest := pollDelays(t, peers, Event{Kind: Start}); longest > want || longest < want*9/10 {
			t.Errorf("%d instances: first polls within %v, want %v", peers, longest, want)
		}
	}
}

// Guards against many instances that keep discovery overrun (report 4547c5), and against a few that notice too late that discovery is back:
// only a poll that discovery refused is delayed for longer, and only where peers are many.
func TestRefusedPollsAreRetriedByNumberOfPeers(t *testing.T) {
	refused := Event{Kind: ListFailed, Grace: 1400 * ms, Refused: true}
	for _, c := range []struct {
		peers       int
		event       Event
		least, most time.Duration
	}{
		{1, refused, 700 * ms, 1400 * ms},
		{62, refused, 700 * ms, 1400 * ms},
		{376, Event{Kind: ListFailed, Grace: 1400 * ms}, 700 * ms, 1400 * ms},
		{100, refused, time.Second, 4 * time.Second},
		{376, refused, 376 * pollSpreadPerPeer / refusedDelayRatio, 376 * pollSpreadPerPeer},
		{900, refused, maxRefusedDelay / refusedDelayRatio, maxRefusedDelay},
	} {
		shortest, longest := pollDelays(t, c.peers, c.event)
		if shortest < c.least || longest > c.most || shortest > c.least*11/10 || longest < c.most*9/10 {
			t.Errorf("%d instances, refused %v: the next polls come after %v to %v, want %v to %v", c.peers, c.event.Refused, shortest, longest, c.least, c.most)
		}
	}
}
