package pipeline

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"heathgap/decide"
	"heathgap/internal/httpwire"
	"heathgap/internal/state"
)

// Rules: what the sidecars of a crew agree on is put in force before anything is decided, and looked at again where a
// request is written.

// EffectiveRules is what a sidecar acts on. It is never changed once it is handed out.
type EffectiveRules struct {
	Generation uint64 // differs from that of any other, and is never 0
	Dynamic    *decide.DynamicSettings
	Banned     map[string]bool // names of endpoints
	Cautious   bool            // nobody vouches for the rules: nothing new is begun with
}

// RulesSource tell what holds now. They cost no I/O, and any goroutine may ask.
type RulesSource interface{ Effective() *EffectiveRules }

// errBannedByCluster is the answer to who would lift by hand what all have agreed on.
var errBannedByCluster = errors.New("the crew's version bans it; propose one without")

// applyRules puts in force what holds now, ahead of all that the module is still to be told.
func (e *Engine) applyRules() {
	effective := e.rules.Effective()
	if effective.Generation == e.effective.Generation {
		return
	}
	before := e.effective
	e.effective = effective
	events := []decide.Event{{Kind: decide.SettingsChanged, Dynamic: effective.Dynamic}}
	for _, name := range slices.Sorted(maps.Keys(before.Banned)) {
		if !effective.Banned[name] {
			events = e.applyClusterBan(events, name, false)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(effective.Banned)) {
		if !before.Banned[name] {
			events = e.applyClusterBan(events, name, true)
		}
	}
	if !effective.Cautious && len(e.withheld) > 0 {
		list := &httpwire.List{Index: e.listVersion}
		for _, name := range slices.Sorted(maps.Keys(e.withheld)) {
			list.Endpoints = append(list.Endpoints, e.withheld[name])
		}
		clear(e.withheld)
		events = append(events, decide.Event{Kind: decide.ListChanged, Endpoints: e.updateEndpoints(list)})
	}
	e.pendingEvents = slices.Insert(e.pendingEvents, 0, events...)
	e.updateListMetrics()
}

// applyClusterBan books a ban that the crew has agreed on, or its end. One by hand stands beside it.
func (e *Engine) applyClusterBan(events []decide.Event, name string, on bool) []decide.Event {
	byHand, byCluster := e.clusterBans[name]
	if !byCluster {
		byHand = slices.Contains(e.endpoints.Banned(), name)
	}
	if e.clusterBans[name] = byHand; !on {
		delete(e.clusterBans, name)
	}
	if byHand {
		return events
	}
	e.endpoints.MarkSeen(name)
	id, err := e.endpoints.Ban(name, on, e.clock.Now())
	if err != nil {
		e.log.Error().Err(err).Str("endpoint", name).Msg("a ban of the crew's version can't be kept")
		return events
	}
	kind := decide.Unbanned
	if on {
		kind = decide.Banned
		if endpoint := e.endpoints.Get(id); endpoint != nil {
			e.pool.DropAll(endpoint, httpwire.ReasonBanned)
		}
	}
	return append(events, decide.Event{Kind: kind, Endpoint: id})
}

// banByHand tells whether a ban by hand, or its end, is settled by what the crew bans.
func (e *Engine) banByHand(c *banCall) (settled bool) {
	if _, byCluster := e.clusterBans[c.name]; !byCluster {
		return false
	}
	e.clusterBans[c.name] = c.on
	var err error
	if !c.on {
		err = fmt.Errorf("endpoint %.64q: %w", c.name, errBannedByCluster)
	}
	c.done <- err
	return true
}

// rulesAllowWrite tells whether an attempt may still be written under what holds now: it may have been decided on long ago, by a
// process that was paused since. A first attempt may, but for a ban; what comes after it was allowed by rules that are no
// more, and is decided anew.
func (e *Engine) rulesAllowWrite(a *state.Attempt) bool {
	effective := e.rules.Effective()
	return effective.Generation == a.Generation || a.Number == 0 && !effective.Banned[a.Endpoint.Name]
}

// withhold keeps back the lines of a list that would bring in endpoints while nobody can tell whether a version bans or
// drains them. The first list is taken whole: without it nothing could be served.
func (e *Engine) withhold(list *httpwire.List) *httpwire.List {
	if !e.rules.Effective().Cautious || !e.listed.Load() {
		maps.DeleteFunc(e.withheld, func(name string, _ httpwire.ListedEndpoint) bool {
			return list.Whole || slices.ContainsFunc(list.Endpoints, func(l httpwire.ListedEndpoint) bool { return l.Name == name })
		})
		return list
	}
	known := *list
	known.Endpoints = nil
	for _, entry := range list.Endpoints {
		if e.endpoints.Known(entry.Name) {
			known.Endpoints = append(known.Endpoints, entry)
			continue
		}
		e.withheld[entry.Name] = entry
	}
	return &known
}
