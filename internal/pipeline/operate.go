package pipeline

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"heathgap/decide"
	"heathgap/internal/httpwire"
)

// Operate: what operators ask for through the console.

// errEnded is the answer to operators' calls when the owner has stopped.
var errEnded = errors.New("this process is ending")

// SetServing says that callers are accepted from now on, or no more.
func (e *Engine) SetServing(on bool) { e.serving.Store(on) }

// Ready tells whether this process serves: it accepts callers and has had a list.
func (e *Engine) Ready() bool { return e.serving.Load() && e.listed.Load() && !e.unready.Load() }

// Metrics returns the figures, a line each.
func (e *Engine) Metrics() []byte { return e.metrics.Append(nil) }

// Disable bans an endpoint by hand. When it returns, the module knows.
func (e *Engine) Disable(name string) error { return e.ban(name, true) }

// Enable ends a ban.
func (e *Engine) Enable(name string) error { return e.ban(name, false) }

// AdoptBan takes over a ban by hand, or its end, from the other process of an upgrade,
// which knows that the endpoint has been listed.
func (e *Engine) AdoptBan(name string, on bool) error {
	return e.call(banCall{name: name, on: on, known: true, done: make(chan error, 1)})
}

func (e *Engine) ban(name string, on bool) error {
	return e.call(banCall{name: name, on: on, done: make(chan error, 1)})
}

// call has the owner do something at once, and waits until it has.
func (e *Engine) call(call banCall) error {
	select {
	case e.urgent <- call:
	case <-e.stopped:
		return errEnded
	}
	select {
	case err := <-call.done:
		return err
	case <-e.stopped:
		return errEnded
	}
}

// banCall is a ban by hand, or its end.
type banCall struct {
	name  string
	on    bool
	known bool // another process knows the name
	done  chan error
}

func (c banCall) handle(e *Engine) {
	if e.rules != nil && e.banByHand(&c) {
		return
	}
	if c.known {
		e.endpoints.MarkSeen(c.name)
	}
	id, err := e.endpoints.Ban(c.name, c.on, e.clock.Now())
	if err == nil {
		kind := decide.Unbanned
		if c.on {
			kind = decide.Banned
			if endpoint := e.endpoints.Get(id); endpoint != nil { // it is about to be restarted
				e.pool.DropAll(endpoint, httpwire.ReasonBanned)
			}
		}
		e.notifyModule(decide.Event{Kind: kind, Endpoint: id})
		e.updateListMetrics()
	}
	c.done <- err
}

// Handover is what a process leaves to the one that takes its place.
type Handover struct {
	List   httpwire.List // as last known
	From   string        // the discovery that told it: versions are each discovery's own
	Of     []string      // the classes that the settings name
	Seen   []uint64      // hashes of names that have been listed
	Banned []string
	Lifted []string // whose bans have ended lately: they may still be cold
}

// ExportHandover returns what a successor must know, as text.
func (e *Engine) ExportHandover() ([]byte, error) {
	reply := make(chan Handover, 1)
	select {
	case e.urgent <- handoverRequest{reply}:
	case <-e.stopped:
		return nil, errEnded
	}
	select {
	case handover := <-reply:
		return json.Marshal(handover)
	case <-e.stopped:
		return nil, errEnded
	}
}

type handoverRequest struct{ reply chan Handover }

func (w handoverRequest) handle(e *Engine) {
	endpoints := e.endpoints
	bansByHand := slices.DeleteFunc(endpoints.Banned(), func(name string) bool {
		byHand, byCluster := e.clusterBans[name]
		return byCluster && !byHand // the successor hears of it from the crew
	})
	w.reply <- Handover{
		List: httpwire.List{Index: e.listVersion, Whole: true, Endpoints: endpoints.List()}, Seen: endpoints.SeenHashes(), Banned: bansByHand,
		From: e.watch.address, Of: e.conf.ClassNames(),
		Lifted: endpoints.LiftedBans(e.clock.Now() - e.conf.Settings.Rules.ColdTime),
	}
}

// ImportHandover has the engine start with what a predecessor has left. It is called before Run.
func (e *Engine) ImportHandover(text []byte) error {
	var handover Handover
	if err := json.Unmarshal(text, &handover); err != nil {
		return fmt.Errorf("what the predecessor left: %w", err)
	}
	// Guards against a list, bans and a version that outlive the customer whose they were, where a name and an address
	// are used again.
	if e.conf.IsForeign(handover.Of) {
		e.log.Warn().Strs("its_classes", handover.Of).Msg("the predecessor served other classes, nothing that it knew is taken over")
		return nil
	}
	e.handover = &handover
	return nil
}

// applyHandover takes over a predecessor's list and bans.
func (e *Engine) applyHandover(handover *Handover) {
	for _, hash := range handover.Seen {
		e.endpoints.MarkSeenHash(hash)
	}
	for _, name := range handover.Banned {
		e.importBan(name, true)
	}
	for _, name := range handover.Lifted {
		e.importBan(name, true)
		e.importBan(name, false)
	}
}

func (e *Engine) importBan(name string, on bool) {
	c := banCall{name: name, on: on, known: true, done: make(chan error, 1)}
	c.handle(e)
	if err := <-c.done; err != nil {
		e.log.Warn().Err(err).Msg("a predecessor's ban")
	}
}

// SetConnShare bounds connections to endpoints by a part of what one process may hold, while
// two processes share the limits.
func (e *Engine) SetConnShare(parts int) { e.post(connShare{parts}) }

type connShare struct{ parts int }

func (s connShare) handle(e *Engine) { e.pool.SetLimit(e.conf.EndpointConns / s.parts) }
