package oracle

import (
	"sort"
	"time"
)

// What sidecars count as told of the list. A change is told when discovery has written it to the sidecar; it counts as told, whether
// or not it came, Conf.ToldAfter after discovery had it and could be reached, or, where the sidecar neither watches nor asks,
// Conf.AskEvery after its last call. A watch that discovery has taken may wait for longer: what it has to tell counts as told
// watchSlack after the wait.

// watchSlack is how long after its wait a watch's answer may come.
const watchSlack = 2 * time.Second

// listing is a change of an endpoint's line in the list.
type listing struct {
	at      time.Duration // discovery has it
	version int64
	serves  bool // else it drains, or is gone
}

// notices is who has been told of which version of the list.
type notices struct {
	conf     Conf
	listings map[string][]listing // of each endpoint, as they came
	readers  map[string]*reader
	up       time.Duration // since when discovery can be reached; below 0 while it can't
}

// reader is a sidecar as a reader of the list.
type reader struct {
	told   []told        // versions that have been written to it, both growing
	open   int           // calls at work
	last   time.Duration // end of the newest call
	stands time.Duration // when the wait of a watch that discovery has taken is over; 0 without one
}

// told is a version that was written to a sidecar.
type told struct {
	at      time.Duration
	version int64
}

func newNotices(conf Conf) notices {
	return notices{conf: conf, listings: map[string][]listing{}, readers: map[string]*reader{}}
}

func (n *notices) reader(sidecar string) *reader {
	r := n.readers[sidecar]
	if r == nil {
		r = &reader{}
		n.readers[sidecar] = r
	}
	return r
}

// tell books that everything up to a version was written to a sidecar.
func (r *reader) tell(at time.Duration, version int64) {
	if k := len(r.told); k == 0 || r.told[k-1].version < version {
		r.told = append(r.told, told{at, version})
	}
}

// boundSince is since when a sidecar counts as told that an endpoint drains or is gone; false while it does not.
func (n *notices) boundSince(sidecar, endpoint string, now time.Duration) (since time.Duration, bound bool) {
	r := n.reader(sidecar)
	for _, l := range n.listings[endpoint] {
		at, knows := n.toldOf(r, l)
		if !knows || at > now {
			break // what is newer is told later
		}
		switch {
		case l.serves:
			bound = false
		case !bound:
			since, bound = at, true
		}
	}
	return since, bound
}

// toldOf is when a sidecar was told, or counts as told, of a change; false if nothing has told it yet.
func (n *notices) toldOf(r *reader, l listing) (at time.Duration, knows bool) {
	i := sort.Search(len(r.told), func(i int) bool { return r.told[i].version >= l.version })
	if knows = i < len(r.told); knows {
		at = max(l.at, r.told[i].at)
	}
	if n.up < 0 {
		return at, knows
	}
	from := max(l.at, n.up)
	if n.conf.DeliveredAfter > 0 {
		after := from + n.conf.DeliveredAfter
		if r.stands > 0 {
			after = max(after, r.stands+watchSlack)
		}
		if !knows || after < at {
			at, knows = after, true
		}
	}
	if n.conf.AskEvery > 0 && r.open == 0 {
		if after := max(from, r.last) + n.conf.AskEvery; !knows || after < at {
			at, knows = after, true
		}
	}
	return at, knows
}

// ListPublished books that discovery has a new version of the list, in which an endpoint serves, or drains or is gone.
func (b *Checker) ListPublished(at time.Duration, version int64, endpoint string, serves bool) {
	b.notices.listings[endpoint] = append(b.notices.listings[endpoint], listing{at, version, serves})
}

// ListDelivered books that discovery has written all that it had up to a version to a sidecar.
func (b *Checker) ListDelivered(at time.Duration, sidecar string, version int64) {
	b.notices.reader(sidecar).tell(at, version)
}

// ListCallBegun books that a sidecar's call for the list begins, and Called that it ended, however it did.
func (b *Checker) ListCallBegun(sidecar string) { b.notices.reader(sidecar).open++ }

// ListCallEnded is the counterpart of Calls.
func (b *Checker) ListCallEnded(at time.Duration, sidecar string) {
	r := b.notices.reader(sidecar)
	r.open, r.last, r.stands = max(0, r.open-1), max(r.last, at), 0
}

// WatchAccepted books that discovery has taken a sidecar's watch, which waits until then.
func (b *Checker) WatchAccepted(sidecar string, until time.Duration) {
	r := b.notices.reader(sidecar)
	r.stands = max(r.stands, until)
}

// SetDiscoveryUp books that discovery can be reached from now on, or that it can't.
func (b *Checker) SetDiscoveryUp(at time.Duration, up bool) {
	if b.notices.up = at; !up {
		b.notices.up = -1
	}
}

// SidecarStarted books that a sidecar has started with the list as it was in a version: what a former process was told is gone.
func (b *Checker) SidecarStarted(at time.Duration, sidecar string, version int64) {
	b.notices.readers[sidecar] = &reader{last: at, told: []told{{at, version}}}
}
