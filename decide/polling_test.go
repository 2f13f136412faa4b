package decide

import (
	"testing"
	"time"
)

// pollDelays are the shortest and the longest ones of so many instances before their next call for the list, behind events of which the last sets it.
func pollDelays(t *testing.T, peers int, events ...Event) (least, most time.Duration) {
	t.Helper()
	const seeds = 400
	set := testSettings()
	set.MustPoll, set.Peers = true, peers
	least = time.Hour
	for seed := range uint64(seeds) {
		b, err := New(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		pause := time.Duration(0)
		for _, e := range events {
			for _, a := range b.Handle(time.Minute, &e, nil) {
				if a.Kind == SetTimer {
					pause = a.After
				}
			}
			b.timers.heap = nil // each event sets its own
			b.timers.armed = 0
		}
		least, most = min(least, pause), max(most, pause)
	}
	return least, most
}

// Guards against a start of a large fleet that overruns its discovery, and against a list that is asked for too late to bind.
func TestFirstPollsAreSpreadByNumberOfPeers(t *testing.T) {
	for peers, want := range map[int]time.Duration{
		1: firstPollSpread, 25: firstPollSpread, 50: 50 * pollSpreadPerPeer, 900: maxFirstPollSpread,
	} {
		if _, most := pollDelays(t, peers, Event{Kind: Start}); most > want || most < want*9/10 {
			t.Errorf("%d instances: first calls within %v, want %v", peers, most, want)
		}
	}
}

// Guards against a large fleet that keeps its discovery overrun (report 4547c5), and against a small one that hears late of a
// discovery that is back: only a call that discovery refused is made again later, and only where peers are many.
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
		least, most := pollDelays(t, c.peers, c.event)
		if least < c.least || most > c.most || least > c.least*11/10 || most < c.most*9/10 {
			t.Errorf("%d instances, refused %v: the next calls come after %v to %v, want %v to %v", c.peers, c.event.Refused, least, most, c.least, c.most)
		}
	}
}
