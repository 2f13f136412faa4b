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

// Rules: what the sidecars of a cluster agree on is applied before the module decides anything, and checked again just before a
// request is written.

// EffectiveRules is the set of rules that a sidecar applies. It is never modified after it was returned.
type EffectiveRules struct {
	Generation uint64 // differs from that of any other rules, and is never 0
	Dynamic    *decide.DynamicSettings
	Banned     map[string]bool // names of endpoints that the version bans
	Cautious   bool            // there is no lease: only what every possible version allows may be done
}

// ClassOf returns a class of the sidecar's own settings with the rules in effect for it.
func (r *EffectiveRules) ClassOf(own decide.Class) decide.Class {
	if r == nil || r.Dynamic == nil {
		return own
	}
	if rule, ok := r.Dynamic.Classes[own.Name]; ok && rule.Effect != decide.EffectUnset {
		own.Effect, own.Group, own.Window = rule.Effect, rule.Group, rule.Window
	}
	return own
}

// classInEffect returns a class with the rules in effect now. Any goroutine may call it.
func (e *Engine) classInEffect(name string) decide.Class {
	own := e.conf.Classes[name]
	if e.rules == nil {
		return own
	}
	return e.rules.Effective().ClassOf(own)
}

// RulesSource returns the rules in effect. It does no I/O, and any goroutine may call it.
type RulesSource interface{ Effective() *EffectiveRules }

// errBannedByCluster is the answer to an operator who tries to end by hand a ban of the cluster's version.
var errBannedByCluster = errors.New("the crew's version bans it; propose one without")

// applyRules applies the rules in effect if they have changed. The module gets them before all pending events.
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

// applyClusterBan starts or ends a ban of the cluster's version and appends the event for the module. A ban by hand of the same
// endpoint is independent of it.
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
		e.log.Error().Err(err).Str("endpoint", name).Msg("can't apply a ban of the cluster's version")
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

// banByHand handles a ban by hand, or its end, of an endpoint that the cluster's version bans. It reports whether that was so.
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

// rulesAllowWrite reports whether an attempt may be written under the rules in effect now. The process may have been paused
// since the attempt was decided on. A first attempt is allowed unless its endpoint is banned. A further attempt under rules that
// are no longer in effect is not: the module decides anew.
func (e *Engine) rulesAllowWrite(a *state.Attempt) bool {
	effective := e.rules.Effective()
	return effective.Generation == a.Generation || a.Number == 0 && !effective.Banned[a.Endpoint.Name]
}

// withhold removes from a list, while the sidecar is cautious, the endpoints that it does not know yet, because a version that it
// has not received may ban or drain them. They are kept until it is no longer cautious. The first list is applied in full:
// without it nothing could be served.
func (e *Engine) withhold(list *httpwire.List) *httpwire.List {
	if !e.rules.Effective().Cautious || !e.listed.Load() {
		maps.DeleteFunc(e.withheld, func(name string, _ httpwire.ListedEndpoint) bool {
			return list.Full || slices.ContainsFunc(list.Endpoints, func(l httpwire.ListedEndpoint) bool { return l.Name == name })
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
