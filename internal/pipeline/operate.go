package pipeline

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"heathgap/decide"
	"heathgap/internal/httpwire"
)

// Operate: the calls of operators through the console, and the hand-over to a successor process.

// errEnded is the answer to operators' calls after the owner has stopped.
var errEnded = errors.New("this process is ending")

// SetServing sets whether callers are accepted.
func (e *Engine) SetServing(on bool) { e.serving.Store(on) }

// Ready reports whether this process serves: it accepts callers, has applied a list and is not stopping.
func (e *Engine) Ready() bool { return e.serving.Load() && e.listed.Load() && !e.unready.Load() }

// Metrics returns the metrics, one per line.
func (e *Engine) Metrics() []byte { return e.metrics.Append(nil) }

// Disable bans an endpoint by hand. The module has been notified when it returns.
func (e *Engine) Disable(name string) error { return e.ban(name, true) }

// Enable ends a ban by hand.
func (e *Engine) Enable(name string) error { return e.ban(name, false) }

// ApplyBanChange takes over a ban by hand, or its end, from the other process of an upgrade. That process knows that the endpoint
// has been listed.
func (e *Engine) ApplyBanChange(name string, on bool) error {
	return e.call(banCall{name: name, on: on, known: true, done: make(chan error, 1)})
}

func (e *Engine) ban(name string, on bool) error {
	return e.call(banCall{name: name, on: on, done: make(chan error, 1)})
}

// call passes a ban to the owner ahead of other events, and waits until it is done.
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

// banCall is the event of a ban by hand, or of its end.
type banCall struct {
	name  string
	on    bool
	known bool // another process knows that the endpoint has been listed
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
			if endpoint := e.endpoints.Get(id); endpoint != nil { // the endpoint is about to be restarted
				e.pool.DropAll(endpoint, httpwire.ReasonBanned)
			}
		}
		e.notifyModule(decide.Event{Kind: kind, Endpoint: id})
		e.updateListMetrics()
	}
	c.done <- err
}

// Handover is the state that a process hands over to its successor, as JSON under these field names; Classes is called Of there.
type Handover struct {
	List    httpwire.List // the list as last known
	From    string        // address of the discovery that sent the list: each discovery numbers its versions itself
	Classes []string      `json:"Of"` // the classes of the predecessor's settings
	Seen    []uint64      // hashes of names that have been listed
	Banned  []string      // endpoints banned by hand
	Lifted  []string      // endpoints whose bans have ended recently: they may still be cold
}

// ExportHandover returns the state for a successor as JSON.
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

// handoverRequest is the event that requests the state for a successor.
type handoverRequest struct{ reply chan Handover }

func (r handoverRequest) handle(e *Engine) {
	endpoints := e.endpoints
	bansByHand := slices.DeleteFunc(endpoints.Banned(), func(name string) bool {
		byHand, byCluster := e.clusterBans[name]
		return byCluster && !byHand // the successor gets it from the cluster
	})
	r.reply <- Handover{
		List: httpwire.List{Index: e.listVersion, Full: true, Endpoints: endpoints.List()}, Seen: endpoints.SeenHashes(), Banned: bansByHand,
		From: e.watch.address, Classes: e.conf.ClassNames(),
		Lifted: endpoints.LiftedBans(e.clock.Now() - e.conf.Settings.Rules.ColdTime),
	}
}

// ImportHandover makes the engine start with the state that a predecessor handed over. It is called before Run.
func (e *Engine) ImportHandover(text []byte) error {
	var handover Handover
	if err := json.Unmarshal(text, &handover); err != nil {
		return fmt.Errorf("state handed over by the predecessor: %w", err)
	}
	// Guards against a list, bans and a version that belong to another customer, whose sidecar had the same name and address
	// before.
	if e.conf.IsForeign(handover.Classes) {
		e.log.Warn().Strs("its_classes", handover.Classes).Msg("the predecessor served other classes, nothing that it knew is taken over")
		return nil
	}
	e.handover = &handover
	return nil
}

// applyHandover applies a predecessor's bans, the recent ends of bans, and the names that it knows to have been listed. A ban that
// ended recently is set and ended again: the module then counts the endpoint as just restarted.
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

// importBan applies a predecessor's ban, or its end.
func (e *Engine) importBan(name string, on bool) {
	c := banCall{name: name, on: on, known: true, done: make(chan error, 1)}
	c.handle(e)
	if err := <-c.done; err != nil {
		e.log.Warn().Err(err).Msg("can't import a ban of the predecessor")
	}
}

// SetShare limits the connections to endpoints and the memory of answers to the usual limits divided by parts, while the processes of
// an upgrade share them.
func (e *Engine) SetShare(parts int) {
	e.answerMemory.Resize(e.conf.AnswerBytes / int64(parts))
	e.post(connShare{parts})
}

// connShare is the event that divides the usual limit on connections to endpoints by parts.
type connShare struct{ parts int }

func (s connShare) handle(e *Engine) { e.pool.SetLimit(e.conf.EndpointConns / s.parts) }
