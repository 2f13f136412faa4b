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

// errCrewBans is the answer to who would lift by hand what all have agreed on.
var errCrewBans = errors.New("the crew's version bans it; propose one without")

// heed puts in force what holds now, ahead of all that the module is still to be told.
func (e *Engine) heed() {
	acting := e.rules.Effective()
	if acting.Generation == e.acting.Generation {
		return
	}
	before := e.acting
	e.acting = acting
	events := []decide.Event{{Kind: decide.SettingsChanged, Dynamic: acting.Dynamic}}
	for _, name := range slices.Sorted(maps.Keys(before.Banned)) {
		if !acting.Banned[name] {
			events = e.crewBan(events, name, false)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(acting.Banned)) {
		if !before.Banned[name] {
			events = e.crewBan(events, name, true)
		}
	}
	if !acting.Cautious && len(e.withheld) > 0 {
		list := &httpwire.List{Index: e.index}
		for _, name := range slices.Sorted(maps.Keys(e.withheld)) {
			list.Endpoints = append(list.Endpoints, e.withheld[name])
		}
		clear(e.withheld)
		events = append(events, decide.Event{Kind: decide.ListChanged, Endpoints: e.update(list)})
	}
	e.pending = slices.Insert(e.pending, 0, events...)
	e.takeStock()
}

// crewBan books a ban that the crew has agreed on, or its end. One by hand stands beside it.
func (e *Engine) crewBan(events []decide.Event, name string, on bool) []decide.Event {
	byHand, byCrew := e.byCrew[name]
	if !byCrew {
		byHand = slices.Contains(e.endpoints.Banned(), name)
	}
	if e.byCrew[name] = byHand; !on {
		delete(e.byCrew, name)
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
		if to := e.endpoints.Get(id); to != nil {
			e.pool.DropAll(to, httpwire.ReasonBanned)
		}
	}
	return append(events, decide.Event{Kind: kind, Endpoint: id})
}

// handBan tells whether a ban by hand, or its end, is settled by what the crew bans.
func (e *Engine) handBan(c *banCall) (settled bool) {
	if _, byCrew := e.byCrew[c.name]; !byCrew {
		return false
	}
	e.byCrew[c.name] = c.on
	var err error
	if !c.on {
		err = fmt.Errorf("endpoint %.64q: %w", c.name, errCrewBans)
	}
	c.done <- err
	return true
}

// mayWrite tells whether an attempt may still be written under what holds now: it may have been decided on long ago, by a
// process that was paused since. A first attempt may, but for a ban; what comes after it was allowed by rules that are no
// more, and is decided anew.
func (e *Engine) mayWrite(a *state.Attempt) bool {
	acting := e.rules.Effective()
	return acting.Generation == a.Generation || a.Number == 0 && !acting.Banned[a.Endpoint.Name]
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
	out := *list
	out.Endpoints = nil
	for _, line := range list.Endpoints {
		if e.endpoints.Known(line.Name) {
			out.Endpoints = append(out.Endpoints, line)
			continue
		}
		e.withheld[line.Name] = line
	}
	return &out
}
