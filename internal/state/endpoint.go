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

	shut atomic.Int64 // when nothing new may be written to it any more, as a decide.Time; 0 for never
}

// ClosedForWrites tells whether nothing new may be written to the endpoint: it has drained, or been gone, for too long. Any
// goroutine may ask.
func (e *Endpoint) ClosedForWrites(now decide.Time) bool {
	at := e.shut.Load()
	return at > 0 && int64(now) >= at
}

// shutBy has the endpoint shut after a time, unless that is set; by 0 opens it again.
func (e *Endpoint) shutBy(at decide.Time) {
	if at == 0 || e.shut.Load() == 0 {
		e.shut.Store(int64(at))
	}
}

// Endpoints are those that are known, by name and by the module's id.
type Endpoints struct {
	byName map[string]*Endpoint
	byID   map[decide.EndpointID]*Endpoint

	banned map[string]decide.EndpointID // by hand; each keeps its id, listed or not
	seen   map[uint64]struct{}          // hashes of names that have been listed
	ring   []uint64                     // the same in their order: the oldest makes room
	next   int
	grace  decide.Time // between the news that one drains, or is gone, and its being shut

	lifted map[string]decide.Time // bans that have ended, and when; mostBanned of them

	// Where being told gone does not bind, one that did not drain is still sent to; nil else. Each ends when it is
	// listed again, or with the first list that comes absentTime after it was told gone.
	absent map[string]decide.Time
}

// absentTime is a little more than the minute for which the module may send to what is told gone.
const absentTime = 70 * time.Second

// mostSeen bounds the names that are known to have been listed, some 40 bytes each.
// The oldest that makes room can still be banned once it is listed again.
const mostSeen = 4096

// mostBanned bounds bans that stand at once: far more than any maintenance needs.
const mostBanned = 1024

// NewEndpoints returns an empty registry.
func NewEndpoints() *Endpoints {
	return &Endpoints{
		byName: map[string]*Endpoint{}, byID: map[decide.EndpointID]*Endpoint{},
		banned: map[string]decide.EndpointID{}, seen: map[uint64]struct{}{}, lifted: map[string]decide.Time{},
	}
}

// SetGrace sets how long after the news that an endpoint drains, or is gone, an attempt on its way there may still be
// written; at 0, which no settings have, that is not looked at.
func (t *Endpoints) SetGrace(grace decide.Time) { t.grace = grace }

// close has an endpoint shut once the grace is over.
func (t *Endpoints) close(e *Endpoint, now decide.Time) {
	if t.grace > 0 {
		e.shutBy(now + t.grace)
	}
}

// KeepGone has endpoints that are told gone without draining stay known for a while (rules.removal_not_binding).
func (t *Endpoints) KeepGone() { t.absent = map[string]decide.Time{} }

// leave books that an endpoint was told gone, and reports whether its connections are of no use any more.
func (t *Endpoints) leave(e *Endpoint, now decide.Time) bool {
	if at, known := t.absent[e.Name]; t.absent != nil && e.State == decide.Active && (!known || now-at < absentTime) {
		if !known {
			t.absent[e.Name] = now
		}
		return false
	}
	delete(t.absent, e.Name)
	t.close(e, now)
	t.remove(e)
	return true
}

// Get returns the endpoint with an id, or nil.
func (t *Endpoints) Get(id decide.EndpointID) *Endpoint { return t.byID[id] }

// Known tells whether an endpoint of that name is listed, or still sent to.
func (t *Endpoints) Known(name string) bool { return t.byName[name] != nil }

// Len is how many are listed.
func (t *Endpoints) Len() int { return len(t.byName) - len(t.absent) }

// Update takes over a list and returns it in the module's words, with the
// endpoints whose connections are of no use any more: those that have left or
// started again.
func (t *Endpoints) Update(list *httpwire.List, now decide.Time) (lines []decide.Endpoint, stale []*Endpoint) {
	named := make(map[string]bool, len(list.Endpoints))
	for _, line := range list.Endpoints {
		named[line.Name] = true
		e := t.byName[line.Name]
		if e == nil && line.State == decide.Gone {
			continue
		}
		if e == nil {
			e = t.add(line.Name)
		} else if line.State != decide.Gone && (e.Since != line.Since || e.Address != line.Address) {
			stale = append(stale, e)
		}
		lines = append(lines, toModule(e.ID, &line))
		if line.State != decide.Gone {
			if line.State == decide.Draining {
				t.close(e, now)
			} else {
				e.shutBy(0)
			}
			e.ListedEndpoint = line
			delete(t.absent, line.Name)
		} else if t.leave(e, now) {
			stale = append(stale, e)
		}
	}
	if list.Whole {
		for name, e := range t.byName {
			if !named[name] && t.leave(e, now) {
				stale = append(stale, e)
			}
		}
	}
	for name, at := range t.absent {
		if e := t.byName[name]; now-at >= absentTime && t.leave(e, now) {
			stale = append(stale, e)
		}
	}
	return lines, stale
}

func toModule(id decide.EndpointID, line *httpwire.ListedEndpoint) decide.Endpoint {
	return decide.Endpoint{
		ID: id, Zone: line.Zone, Cell: line.Cell, State: line.State, Weight: line.Weight, Started: line.Since,
	}
}

// add gives a name an id that is the same at every sidecar, as long as no two
// names share one: instances order endpoints by id, each beginning elsewhere.
func (t *Endpoints) add(name string) *Endpoint {
	id, banned := t.banned[name]
	if !banned {
		id = t.free(name)
	}
	e := &Endpoint{ID: id, Listed: true}
	t.byName[name], t.byID[id] = e, e
	t.MarkSeen(name)
	return e
}

// free is the id that a name gets: its hash, or the next that neither an endpoint nor
// a ban has.
func (t *Endpoints) free(name string) decide.EndpointID {
	h := fnv.New32a()
	h.Write([]byte(name))
	id := decide.EndpointID(h.Sum32())
	for t.byID[id] != nil || t.keeps(id) {
		id++
	}
	return id
}

func (t *Endpoints) keeps(id decide.EndpointID) bool {
	for _, kept := range t.banned {
		if kept == id {
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
	if len(t.ring) < mostSeen {
		t.ring = append(t.ring, hash)
		return
	}
	delete(t.seen, t.ring[t.next])
	t.ring[t.next] = hash
	t.next = (t.next + 1) % mostSeen
}

// SeenHashes returns the hashes of names that have been listed.
func (t *Endpoints) SeenHashes() []uint64 { return slices.Clone(t.ring) }

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
		id = t.free(name)
	}
	switch {
	case !on:
		if banned && len(t.lifted) < mostBanned {
			t.lifted[name] = now
		}
		delete(t.banned, name)
	case !banned && len(t.banned) >= mostBanned:
		return 0, fmt.Errorf("%d endpoints are banned already, the most that may be", mostBanned)
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
	lines := make([]httpwire.ListedEndpoint, 0, len(t.byName))
	for _, name := range slices.Sorted(maps.Keys(t.byName)) {
		if _, absent := t.absent[name]; absent {
			continue
		}
		lines = append(lines, t.byName[name].ListedEndpoint)
	}
	return lines
}
