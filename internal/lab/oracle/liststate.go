package oracle

import (
	"sort"
	"time"
)

// This file decides when a sidecar must know of a change of the endpoint list. A change is delivered when discovery has written it to
// the sidecar. It counts as delivered, even if it was not, at the earlier of two times: Conf.DeliveredAfter after discovery had the
// change and could be reached; and, while the sidecar has no call for the list open, Conf.PollEvery after the end of its last call (or
// after discovery had the change and could be reached, if that was later). A watch that discovery has accepted may wait longer than
// Conf.DeliveredAfter: the change then counts as delivered watchSlack after the end of that wait.

// watchSlack is how long after the end of its wait the answer to a watch may arrive.
const watchSlack = 2 * time.Second

// listChange is a change of one endpoint's entry in the list.
type listChange struct {
	at      time.Duration // when discovery had it
	version int64
	serves  bool // false: it drains or was removed
}

// listState holds the changes of the list and which version each sidecar has received.
type listState struct {
	conf     Conf
	changes  map[string][]listChange // by endpoint, oldest first
	sidecars map[string]*sidecarList // by name
	upSince  time.Duration           // since when discovery can be reached; negative while it can't
}

// sidecarList holds what one sidecar has received of the list and its calls for it.
type sidecarList struct {
	delivered   []delivery    // what was written to it; times and versions only grow
	openCalls   int           // calls for the list that have not ended
	lastCallEnd time.Duration // end of the last call
	watchUntil  time.Duration // when the wait of the watch that discovery has accepted ends; 0 without one
}

// delivery is a version of the list that was written to a sidecar.
type delivery struct {
	at      time.Duration
	version int64
}

func newListState(conf Conf) listState {
	return listState{conf: conf, changes: map[string][]listChange{}, sidecars: map[string]*sidecarList{}}
}

// listOf returns the entry of a sidecar, which it creates if there is none.
func (s *listState) listOf(sidecar string) *sidecarList {
	list := s.sidecars[sidecar]
	if list == nil {
		list = &sidecarList{}
		s.sidecars[sidecar] = list
	}
	return list
}

// recordDelivery records that all changes up to a version were written to the sidecar.
func (list *sidecarList) recordDelivery(at time.Duration, version int64) {
	if k := len(list.delivered); k == 0 || list.delivered[k-1].version < version {
		list.delivered = append(list.delivered, delivery{at, version})
	}
}

// withdrawnSince returns since when a sidecar knows, or counts as knowing, that an endpoint drains or was removed. known is false if
// the newest change delivered by now lists the endpoint as serving, or if none is delivered by now.
func (s *listState) withdrawnSince(sidecar, endpoint string, now time.Duration) (since time.Duration, known bool) {
	list := s.listOf(sidecar)
	for _, change := range s.changes[endpoint] {
		at, delivered := s.deliveredAt(list, change)
		if !delivered || at > now {
			break // newer changes are delivered later
		}
		switch {
		case change.serves:
			known = false
		case !known:
			since, known = at, true
		}
	}
	return since, known
}

// deliveredAt returns when a change was delivered to a sidecar or counts as delivered, which may be in the future. delivered is false
// if no such time is known: the change was not delivered, and discovery can't be reached or no limit of Conf applies.
func (s *listState) deliveredAt(list *sidecarList, change listChange) (at time.Duration, delivered bool) {
	i := sort.Search(len(list.delivered), func(i int) bool { return list.delivered[i].version >= change.version })
	if delivered = i < len(list.delivered); delivered {
		at = max(change.at, list.delivered[i].at)
	}
	if s.upSince < 0 {
		return at, delivered
	}
	from := max(change.at, s.upSince)
	if s.conf.DeliveredAfter > 0 {
		assumed := from + s.conf.DeliveredAfter
		if list.watchUntil > 0 {
			assumed = max(assumed, list.watchUntil+watchSlack)
		}
		if !delivered || assumed < at {
			at, delivered = assumed, true
		}
	}
	if s.conf.PollEvery > 0 && list.openCalls == 0 {
		if assumed := max(from, list.lastCallEnd) + s.conf.PollEvery; !delivered || assumed < at {
			at, delivered = assumed, true
		}
	}
	return at, delivered
}

// ListPublished records that discovery has a new version of the list, in which an endpoint serves if serves is true; else
// it drains or was removed.
func (c *Checker) ListPublished(at time.Duration, version int64, endpoint string, serves bool) {
	c.listState.changes[endpoint] = append(c.listState.changes[endpoint], listChange{at, version, serves})
}

// ListDelivered records that discovery has written all changes up to a version to a sidecar.
func (c *Checker) ListDelivered(at time.Duration, sidecar string, version int64) {
	c.listState.listOf(sidecar).recordDelivery(at, version)
}

// ListCallBegun records that a sidecar's call for the list begins.
func (c *Checker) ListCallBegun(sidecar string) { c.listState.listOf(sidecar).openCalls++ }

// ListCallEnded records that a sidecar's call for the list ended, with or without success.
func (c *Checker) ListCallEnded(at time.Duration, sidecar string) {
	list := c.listState.listOf(sidecar)
	list.openCalls, list.lastCallEnd, list.watchUntil = max(0, list.openCalls-1), max(list.lastCallEnd, at), 0
}

// WatchAccepted records that discovery has accepted a sidecar's watch, which waits until the given time.
func (c *Checker) WatchAccepted(sidecar string, until time.Duration) {
	list := c.listState.listOf(sidecar)
	list.watchUntil = max(list.watchUntil, until)
}

// SetDiscoveryUp records whether discovery can be reached from now on.
func (c *Checker) SetDiscoveryUp(at time.Duration, up bool) {
	if c.listState.upSince = at; !up {
		c.listState.upSince = -1
	}
}

// SidecarStarted records that a sidecar has started with the list of a version. What was delivered to an earlier process under the
// same name no longer counts.
func (c *Checker) SidecarStarted(at time.Duration, sidecar string, version int64) {
	c.listState.sidecars[sidecar] = &sidecarList{lastCallEnd: at, delivered: []delivery{{at, version}}}
}
