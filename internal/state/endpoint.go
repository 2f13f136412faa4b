package state

import (
	"hash/fnv"

	"heathgap/decide"
	"heathgap/internal/httpwire"
)

// Endpoint is one line of the list, as it last was, with its idle connections.
type Endpoint struct {
	httpwire.ListedEndpoint
	ID     decide.EndpointID
	Listed bool
	idle   []idleLink // the one used last at the end
}

// Endpoints are those that are known, by name and by the module's id.
type Endpoints struct {
	byName map[string]*Endpoint
	byID   map[decide.EndpointID]*Endpoint
}

// NewEndpoints returns an empty registry.
func NewEndpoints() *Endpoints {
	return &Endpoints{byName: map[string]*Endpoint{}, byID: map[decide.EndpointID]*Endpoint{}}
}

// Get returns the endpoint with an id, or nil.
func (t *Endpoints) Get(id decide.EndpointID) *Endpoint { return t.byID[id] }

// Len is how many are known.
func (t *Endpoints) Len() int { return len(t.byName) }

// Update takes over a list and returns it in the module's words, with the
// endpoints whose connections are of no use any more: those that have left or
// started again.
func (t *Endpoints) Update(list *httpwire.List) (lines []decide.Endpoint, stale []*Endpoint) {
	named := make(map[string]bool, len(list.Endpoints))
	for _, line := range list.Endpoints {
		named[line.Name] = true
		e := t.byName[line.Name]
		if e == nil && line.State == decide.Gone {
			continue
		}
		if e == nil {
			e = t.add(line.Name)
		} else if line.State == decide.Gone || e.Since != line.Since || e.Address != line.Address {
			stale = append(stale, e)
		}
		lines = append(lines, toModule(e.ID, &line))
		if e.ListedEndpoint = line; line.State == decide.Gone {
			t.remove(e)
		}
	}
	if list.Whole {
		for name, e := range t.byName {
			if !named[name] {
				t.remove(e)
				stale = append(stale, e)
			}
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
	h := fnv.New32a()
	h.Write([]byte(name))
	id := decide.EndpointID(h.Sum32())
	for t.byID[id] != nil {
		id++
	}
	e := &Endpoint{ID: id, Listed: true}
	t.byName[name], t.byID[id] = e, e
	return e
}

func (t *Endpoints) remove(e *Endpoint) {
	e.Listed = false
	delete(t.byName, e.Name)
	delete(t.byID, e.ID)
}
