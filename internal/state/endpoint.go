package state

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"heathgap/decide"
	"heathgap/internal/httpwire"
)

// Endpoint is one endpoint of the list as discovery last reported it, with its idle connections.
type Endpoint struct {
	httpwire.ListedEndpoint
	ID     decide.EndpointID
	Listed bool       // it is in the registry: listed, or reported gone but still usable
	idle   []idleLink // ordered by when they became idle; the most recent is last

	closedFrom atomic.Int64 // module time from which no new request may be written to it; 0 for no such time

	incarnation atomic.Uint64
}

// Incarnation changes whenever another process may be behind the entry: when the endpoint has started again, has another address, or
// has left the list. A connection, and an attempt, belongs to the incarnation for which it was made. Any goroutine may call it.
func (e *Endpoint) Incarnation() uint64 { return e.incarnation.Load() }

// ClosedForWrites reports whether no new request may be written to the endpoint, because it has been draining or gone for
// longer than the grace. Any goroutine may call it.
func (e *Endpoint) ClosedForWrites(now decide.Time) bool {
	at := e.closedFrom.Load()
	return at > 0 && int64(now) >= at
}

// closeForWritesAt closes the endpoint for writes from at on; an earlier call's time stays. With 0 it opens the endpoint again.
func (e *Endpoint) closeForWritesAt(at decide.Time) {
	if at == 0 || e.closedFrom.Load() == 0 {
		e.closedFrom.Store(int64(at))
	}
}

// Endpoints is the registry of known endpoints, by name and by the module's id.
type Endpoints struct {
	byName map[string]*Endpoint
	byID   map[decide.EndpointID]*Endpoint

	banned     map[string]decide.EndpointID // banned endpoints; each keeps its id while it is banned, listed or not
	seen       map[uint64]struct{}          // hashes of names that have been listed
	seenRing   []uint64                     // the same hashes in the order of insertion; a new one replaces the oldest
	ringNext   int                          // index of the oldest hash once seenRing is full
	drainGrace decide.Time                  // time from the report that an endpoint drains, or is gone, until it is closed for writes

	lifted map[string]decide.Time // bans that have ended, and when; at most maxBans

	// When each endpoint was first reported gone without having drained, by name; nil unless KeepGone was called. Such an
	// endpoint still gets requests. Its entry ends when it is listed again, or with the first list that comes goneRetention
	// later.
	goneSince map[string]decide.Time
}

// goneRetention is a little more than the minute for which the module may still send to an endpoint that was reported gone.
const goneRetention = 70 * time.Second

// maxSeen bounds the hashes of names that have been listed, some 40 bytes each. An endpoint whose hash was replaced can be
// banned again once it is listed again.
const maxSeen = 4096

// maxBans bounds the bans that exist at the same time: far more than any maintenance needs.
const maxBans = 1024

// NewEndpoints returns an empty registry.
func NewEndpoints() *Endpoints {
	return &Endpoints{
		byName: map[string]*Endpoint{}, byID: map[decide.EndpointID]*Endpoint{},
		banned: map[string]decide.EndpointID{}, seen: map[uint64]struct{}{}, lifted: map[string]decide.Time{},
	}
}

// SetGrace sets how long, after the report that an endpoint drains or is gone, an attempt that is already on its way may still
// be written to it. At 0, which settings never have, endpoints are not closed for writes.
func (t *Endpoints) SetGrace(grace decide.Time) { t.drainGrace = grace }

// closeAfterGrace closes an endpoint for writes once the grace is over.
func (t *Endpoints) closeAfterGrace(e *Endpoint, now decide.Time) {
	if t.drainGrace > 0 {
		e.closeForWritesAt(now + t.drainGrace)
	}
}

// KeepGone keeps endpoints known for goneRetention when they are reported gone without having drained. It serves the rule
// removal_not_binding, under which such endpoints may still get requests.
func (t *Endpoints) KeepGone() { t.goneSince = map[string]decide.Time{} }

// markGone records that an endpoint was reported gone, and reports whether it was removed and its connections can be closed.
func (t *Endpoints) markGone(e *Endpoint, now decide.Time) bool {
	if at, known := t.goneSince[e.Name]; t.goneSince != nil && e.State == decide.Active && (!known || now-at < goneRetention) {
		if !known {
			t.goneSince[e.Name] = now
		}
		return false
	}
	delete(t.goneSince, e.Name)
	t.closeAfterGrace(e, now)
	t.remove(e)
	return true
}

// Get returns the endpoint with an id, or nil.
func (t *Endpoints) Get(id decide.EndpointID) *Endpoint { return t.byID[id] }

// Known reports whether an endpoint of that name is listed, or is gone but still usable.
func (t *Endpoints) Known(name string) bool { return t.byName[name] != nil }

// Len returns how many endpoints are listed.
func (t *Endpoints) Len() int { return len(t.byName) - len(t.goneSince) }

// Update applies a list from discovery. It returns the changes for the module, and the endpoints whose idle connections are
// to be closed: those that were removed, have restarted or have a new address.
func (t *Endpoints) Update(list *httpwire.List, now decide.Time) (changes []decide.Endpoint, stale []*Endpoint) {
	inList := make(map[string]bool, len(list.Endpoints))
	moved := false // an entry may have got another one's address
	for _, entry := range list.Endpoints {
		inList[entry.Name] = true
		e := t.byName[entry.Name]
		if e == nil && entry.State == decide.Gone {
			continue
		}
		if e == nil {
			e = t.add(entry.Name)
			moved = true
		} else if entry.State != decide.Gone && (e.Since != entry.Since || e.Address != entry.Address) {
			stale = append(stale, e)
			e.incarnation.Add(1)
			moved = true
		}
		changes = append(changes, toModule(e.ID, &entry))
		if entry.State != decide.Gone {
			if entry.State == decide.Draining {
				t.closeAfterGrace(e, now)
			} else {
				e.closeForWritesAt(0)
			}
			e.ListedEndpoint = entry
			delete(t.goneSince, entry.Name)
		} else if t.markGone(e, now) {
			stale = append(stale, e)
		}
	}
	if list.Full {
		for name, e := range t.byName {
			if !inList[name] && t.markGone(e, now) {
				stale = append(stale, e)
			}
		}
	}
	if moved {
		for _, e := range t.removeReplaced(now) {
			stale = append(stale, e)
			if t.goneSince != nil { // only draining binds
				changes = append(changes, decide.Endpoint{ID: e.ID, Zone: e.Zone, Cell: e.Cell, State: decide.Draining, Weight: e.Weight, Started: e.Since})
			}
			changes = append(changes, decide.Endpoint{ID: e.ID, State: decide.Gone})
		}
	}
	for name, at := range t.goneSince {
		if e := t.byName[name]; now-at >= goneRetention && t.markGone(e, now) {
			stale = append(stale, e)
		}
	}
	return changes, stale
}

// removeReplaced removes the endpoints whose address belongs to another one that has started later, and returns them. Guards against
// requests that reach the process of that other one: a list may name a new process before it says that the old one is gone.
func (t *Endpoints) removeReplaced(now decide.Time) (removed []*Endpoint) {
	latest := make(map[string]*Endpoint, len(t.byName))
	for _, e := range t.byName {
		if other := latest[e.Address]; other == nil || e.Since > other.Since {
			latest[e.Address] = e
		}
	}
	for _, name := range slices.Sorted(maps.Keys(t.byName)) {
		e := t.byName[name]
		if latest[e.Address].Since <= e.Since {
			continue
		}
		delete(t.goneSince, name)
		t.closeAfterGrace(e, now)
		t.remove(e)
		removed = append(removed, e)
	}
	return removed
}

// toModule returns an entry of the list in the form that the decision module takes.
func toModule(id decide.EndpointID, entry *httpwire.ListedEndpoint) decide.Endpoint {
	return decide.Endpoint{
		ID: id, Zone: entry.Zone, Cell: entry.Cell, State: entry.State, Weight: entry.Weight, Started: entry.Since,
	}
}

// add registers a name. A banned name gets the id that its ban keeps. Others get the hash of the name, so that an id is the same
// in every sidecar unless two collide: balancers order endpoints by id and begin at different places of that order, so that
// they pick the same endpoint less often.
func (t *Endpoints) add(name string) *Endpoint {
	id, banned := t.banned[name]
	if !banned {
		id = t.unusedID(name)
	}
	e := &Endpoint{ID: id, Listed: true}
	t.byName[name], t.byID[id] = e, e
	t.MarkSeen(name)
	return e
}

// unusedID returns the id for a new name: the hash of the name, or the next number that neither an endpoint nor a ban uses.
func (t *Endpoints) unusedID(name string) decide.EndpointID {
	h := fnv.New32a()
	h.Write([]byte(name))
	id := decide.EndpointID(h.Sum32())
	for t.byID[id] != nil || t.reservedByBan(id) {
		id++
	}
	return id
}

// reservedByBan reports whether a banned endpoint has the id.
func (t *Endpoints) reservedByBan(id decide.EndpointID) bool {
	for _, reserved := range t.banned {
		if reserved == id {
			return true
		}
	}
	return false
}

func hashOf(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// MarkSeen records that a name has been listed.
func (t *Endpoints) MarkSeen(name string) { t.MarkSeenHash(hashOf(name)) }

// MarkSeenHash does the same by the hash of the name, for names that a predecessor process handed over.
func (t *Endpoints) MarkSeenHash(hash uint64) {
	if _, known := t.seen[hash]; known {
		return
	}
	t.seen[hash] = struct{}{}
	if len(t.seenRing) < maxSeen {
		t.seenRing = append(t.seenRing, hash)
		return
	}
	delete(t.seen, t.seenRing[t.ringNext])
	t.seenRing[t.ringNext] = hash
	t.ringNext = (t.ringNext + 1) % maxSeen
}

// SeenHashes returns the hashes of the names that have been listed, maxSeen at most.
func (t *Endpoints) SeenHashes() []uint64 { return slices.Clone(t.seenRing) }

// Banned returns the banned names in order.
func (t *Endpoints) Banned() []string { return slices.Sorted(maps.Keys(t.banned)) }

// Ban adds or ends a ban, by hand or by the cluster's version, and returns the id of the endpoint. It fails if the name has never
// been listed, or if there are maxBans bans already.
func (t *Endpoints) Ban(name string, on bool, now decide.Time) (decide.EndpointID, error) {
	id, banned := t.banned[name]
	e := t.byName[name]
	_, seen := t.seen[hashOf(name)]
	switch {
	case e != nil:
		id = e.ID
	case banned:
	case !seen:
		return 0, fmt.Errorf("endpoint %.64q has never been listed", name)
	default:
		id = t.unusedID(name)
	}
	switch {
	case !on:
		if banned && len(t.lifted) < maxBans {
			t.lifted[name] = now
		}
		delete(t.banned, name)
	case !banned && len(t.banned) >= maxBans:
		return 0, fmt.Errorf("%d endpoints are banned already, the most that may be", maxBans)
	default:
		t.banned[name] = id
	}
	return id, nil
}

// remove removes an endpoint from the registry; its ban, if any, stays.
func (t *Endpoints) remove(e *Endpoint) {
	e.Listed = false
	e.incarnation.Add(1)
	delete(t.byName, e.Name)
	delete(t.byID, e.ID)
}

// LiftedBans returns the names whose bans have ended since a time, and forgets earlier ones.
func (t *Endpoints) LiftedBans(since decide.Time) []string {
	maps.DeleteFunc(t.lifted, func(_ string, at decide.Time) bool { return at < since })
	return slices.Sorted(maps.Keys(t.lifted))
}

// List returns the listed endpoints in the order of their names.
func (t *Endpoints) List() []httpwire.ListedEndpoint {
	entries := make([]httpwire.ListedEndpoint, 0, len(t.byName))
	for _, name := range slices.Sorted(maps.Keys(t.byName)) {
		if _, absent := t.goneSince[name]; absent {
			continue
		}
		entries = append(entries, t.byName[name].ListedEndpoint)
	}
	return entries
}
