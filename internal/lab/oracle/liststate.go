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

// listChange is a change of an endpoint's line in the list.
type listChange struct {
	at      time.Duration // discovery has it
	version int64
	serves  bool // else it drains, or is gone
}

// listState is who has been told of which version of the list.
type listState struct {
	conf     Conf
	changes  map[string][]listChange // of each endpoint, as they came
	sidecars map[string]*sidecarList
	upSince  time.Duration // since when discovery can be reached; below 0 while it can't
}

// sidecarList is a sidecar as a reader of the list.
type sidecarList struct {
	delivered   []delivery    // versions that have been written to it, both growing
	openCalls   int           // calls at work
	lastCallEnd time.Duration // end of the newest call
	watchUntil  time.Duration // when the wait of a watch that discovery has taken is over; 0 without one
}

// delivery is a version that was written to a sidecar.
type delivery struct {
	at      time.Duration
	version int64
}

func newListState(conf Conf) listState {
	return listState{conf: conf, changes: map[string][]listChange{}, sidecars: map[string]*sidecarList{}}
}

func (n *listState) listOf(sidecar string) *sidecarList {
	r := n.sidecars[sidecar]
	if r == nil {
		r = &sidecarList{}
		n.sidecars[sidecar] = r
	}
	return r
}

// recordDelivery books that everything up to a version was written to a sidecar.
func (r *sidecarList) recordDelivery(at time.Duration, version int64) {
	if k := len(r.delivered); k == 0 || r.delivered[k-1].version < version {
		r.delivered = append(r.delivered, delivery{at, version})
	}
}

// withdrawnSince is since when a sidecar counts as told that an endpoint drains or is gone; false while it does not.
func (n *listState) withdrawnSince(sidecar, endpoint string, now time.Duration) (since time.Duration, known bool) {
	r := n.listOf(sidecar)
	for _, l := range n.changes[endpoint] {
		at, delivered := n.deliveredAt(r, l)
		if !delivered || at > now {
			break // what is newer is told later
		}
		switch {
		case l.serves:
			known = false
		case !known:
			since, known = at, true
		}
	}
	return since, known
}

// deliveredAt is when a sidecar was told, or counts as told, of a change; false if nothing has told it yet.
func (n *listState) deliveredAt(r *sidecarList, l listChange) (at time.Duration, delivered bool) {
	i := sort.Search(len(r.delivered), func(i int) bool { return r.delivered[i].version >= l.version })
	if delivered = i < len(r.delivered); delivered {
		at = max(l.at, r.delivered[i].at)
	}
	if n.upSince < 0 {
		return at, delivered
	}
	from := max(l.at, n.upSince)
	if n.conf.DeliveredAfter > 0 {
		after := from + n.conf.DeliveredAfter
		if r.watchUntil > 0 {
			after = max(after, r.watchUntil+watchSlack)
		}
		if !delivered || after < at {
			at, delivered = after, true
		}
	}
	if n.conf.AskEvery > 0 && r.openCalls == 0 {
		if after := max(from, r.lastCallEnd) + n.conf.AskEvery; !delivered || after < at {
			at, delivered = after, true
		}
	}
	return at, delivered
}

// ListPublished books that discovery has a new version of the list, in which an endpoint serves, or drains or is gone.
func (c *Checker) ListPublished(at time.Duration, version int64, endpoint string, serves bool) {
	c.listState.changes[endpoint] = append(c.listState.changes[endpoint], listChange{at, version, serves})
}

// ListDelivered books that discovery has written all that it had up to a version to a sidecar.
func (c *Checker) ListDelivered(at time.Duration, sidecar string, version int64) {
	c.listState.listOf(sidecar).recordDelivery(at, version)
}

// ListCallBegun books that a sidecar's call for the list begins, and Called that it ended, however it did.
func (c *Checker) ListCallBegun(sidecar string) { c.listState.listOf(sidecar).openCalls++ }

// ListCallEnded is the counterpart of Calls.
func (c *Checker) ListCallEnded(at time.Duration, sidecar string) {
	r := c.listState.listOf(sidecar)
	r.openCalls, r.lastCallEnd, r.watchUntil = max(0, r.openCalls-1), max(r.lastCallEnd, at), 0
}

// WatchAccepted books that discovery has taken a sidecar's watch, which waits until then.
func (c *Checker) WatchAccepted(sidecar string, until time.Duration) {
	r := c.listState.listOf(sidecar)
	r.watchUntil = max(r.watchUntil, until)
}

// SetDiscoveryUp books that discovery can be reached from now on, or that it can't.
func (c *Checker) SetDiscoveryUp(at time.Duration, up bool) {
	if c.listState.upSince = at; !up {
		c.listState.upSince = -1
	}
}

// SidecarStarted books that a sidecar has started with the list as it was in a version: what a former process was told is gone.
func (c *Checker) SidecarStarted(at time.Duration, sidecar string, version int64) {
	c.listState.sidecars[sidecar] = &sidecarList{lastCallEnd: at, delivered: []delivery{{at, version}}}
}
