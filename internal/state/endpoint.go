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

// Endpoint is one line of the list, as it last was, with its idle connections.
type Endpoint struct {
	httpwire.ListedEndpoint
	ID     decide.EndpointID
	Listed bool
	idle   []idleLink // the one used last at the end

	closedFrom atomic.Int64 // when nothing new may be written to it any more, as a decide.Time; 0 for never
}

// ClosedForWrites tells whether nothing new may be written to the endpoint: it has drained, or been gone, for too long. Any
// goroutine may ask.
func (e *Endpoint) ClosedForWrites(now decide.Time) bool {
	at := e.closedFrom.Load()
	return at > 0 && int64(now) >= at
}

// closeForWritesAt has the endpoint shut after a time, unless that is set; by 0 opens it again.
func (e *Endpoint) closeForWritesAt(at decide.Time) {
	if at == 0 || e.closedFrom.Load() == 0 {
		e.closedFrom.Store(int64(at))
	}
}

// Endpoints are those that are known, by name and by the module's id.
type Endpoints struct {
	byName map[string]*Endpoint
	byID   map[decide.EndpointID]*Endpoint

	banned     map[string]decide.EndpointID // by hand; each keeps its id, listed or not
	seen       map[uint64]struct{}          // hashes of names that have been listed
	seenRing   []uint64                     // the same in their order: the oldest makes room
	ringNext   int
	drainGrace decide.Time // between the news that one drains, or is gone, and its being shut

	lifted map[string]decide.Time // bans that have ended, and when; mostBanned of them

	// Where being told gone does not bind, one that did not drain is still sent to; nil else. Each ends when it is
	// listed again, or with the first list that comes absentTime after it was told gone.
	goneSince map[string]decide.Time
}

// goneRetention is a little more than the minute for which the module may send to what is told gone.
const goneRetention = 70 * time.Second

// maxSeen bounds the names that are known to have been listed, some 40 bytes each.
// The oldest that makes room can still be banned once it is listed again.
const maxSeen = 4096

// maxBans bounds bans that stand at once: far more than any maintenance needs.
const maxBans = 1024

// NewEndpoints returns an empty registry.
func NewEndpoints() *Endpoints {
	return &Endpoints{
		byName: map[string]*Endpoint{}, byID: map[decide.EndpointID]*Endpoint{},
		banned: map[string]decide.EndpointID{}, seen: map[uint64]struct{}{}, lifted: map[string]decide.Time{},
	}
}

// SetGrace sets how long after the news that an endpoint drains, or is gone, an attempt on its way there may still be
// written; at 0, which no settings have, that is not looked at.
func (t *Endpoints) SetGrace(grace decide.Time) { t.drainGrace = grace }

// closeAfterGrace has an endpoint shut once the grace is over.
func (t *Endpoints) closeAfterGrace(e *Endpoint, now decide.Time) {
	if t.drainGrace > 0 {
		e.closeForWritesAt(now + t.drainGrace)
	}
}

// KeepGone has endpoints that are told gone without draining stay known for a while (rules.removal_not_binding).
func (t *Endpoints) KeepGone() { t.goneSince = map[string]decide.Time{} }

// markGone books that an endpoint was told gone, and reports whether its connections are of no use any more.
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

// Known tells whether an endpoint of that name is listed, or still sent to.
func (t *Endpoints) Known(name string) bool { return t.byName[name] != nil }

// Len is how many are listed.
func (t *Endpoints) Len() int { return len(t.byName) - len(t.goneSince) }

// Update takes over a list and returns it in the module's words, with the
// endpoints whose connections are of no use any more: those that have left or
// started again.
func (t *Endpoints) Update(list *httpwire.List, now decide.Time) (changes []decide.Endpoint, stale []*Endpoint) {
	inList := make(map[string]bool, len(list.Endpoints))
	for _, entry := range list.Endpoints {
		inList[entry.Name] = true
		e := t.byName[entry.Name]
		if e == nil && entry.State == decide.Gone {
			continue
		}
		if e == nil {
			e = t.add(entry.Name)
		} else if entry.State != decide.Gone && (e.Since != entry.Since || e.Address != entry.Address) {
			stale = append(stale, e)
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
	if list.Whole {
		for name, e := range t.byName {
			if !inList[name] && t.markGone(e, now) {
				stale = append(stale, e)
			}
		}
	}
	for name, at := range t.goneSince {
		if e := t.byName[name]; now-at >= goneRetention && t.markGone(e, now) {
			stale = append(stale, e)
		}
	}
	return changes, stale
}

func toModule(id decide.EndpointID, entry *httpwire.ListedEndpoint) decide.Endpoint {
	return decide.Endpoint{
		ID: id, Zone: entry.Zone, Cell: entry.Cell, State: entry.State, Weight: entry.Weight, Started: entry.Since,
	}
}

// add gives a name an id that is the same at every sidecar, as long as no two
// names share one: instances order endpoints by id, each beginning elsewhere.
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

// unusedID is the id that a name gets: its hash, or the next that neither an endpoint nor
// a ban has.
func (t *Endpoints) unusedID(name string) decide.EndpointID {
	h := fnv.New32a()
	h.Write([]byte(name))
	id := decide.EndpointID(h.Sum32())
	for t.byID[id] != nil || t.reservedByBan(id) {
		id++
	}
	return id
}

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

// MarkSeen remembers that a name has been listed.
func (t *Endpoints) MarkSeen(name string) { t.MarkSeenHash(hashOf(name)) }

// MarkSeenHash is See for what a process before has told, by the name's hash.
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

// SeenHashes returns the hashes of names that have been listed.
func (t *Endpoints) SeenHashes() []uint64 { return slices.Clone(t.seenRing) }

// Banned returns the names that are banned.
func (t *Endpoints) Banned() []string { return slices.Sorted(maps.Keys(t.banned)) }

// Ban books a ban by hand, or its end, and returns the endpoint's id. It fails where
// the name has never been listed, or bans are too many.
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

func (t *Endpoints) remove(e *Endpoint) {
	e.Listed = false
	delete(t.byName, e.Name)
	delete(t.byID, e.ID)
}

// LiftedBans returns the names whose bans have ended since a time, and forgets the others.
func (t *Endpoints) LiftedBans(since decide.Time) []string {
	maps.DeleteFunc(t.lifted, func(_ string, at decide.Time) bool { return at < since })
	return slices.Sorted(maps.Keys(t.lifted))
}

// List returns the list as it stands, by name.
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
