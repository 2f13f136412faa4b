package pipeline

import (
	"errors"

	"heathgap/decide"
	"heathgap/internal/httpwire"
)

// Operate: what operators ask for through the console.

// errEnded is the answer to operators' calls when the owner has stopped.
var errEnded = errors.New("this process is ending")

// Serve says that callers are accepted from now on, or no more.
func (e *Engine) Serve(on bool) { e.serving.Store(on) }

// Ready tells whether this process serves: it accepts callers and has had a list.
func (e *Engine) Ready() bool { return e.serving.Load() && e.listed.Load() && !e.unready.Load() }

// Figures returns the figures, a line each.
func (e *Engine) Figures() []byte { return e.board.Append(nil) }

// Disable bans an endpoint by hand. When it returns, the module knows.
func (e *Engine) Disable(name string) error { return e.ban(name, true) }

// Enable ends a ban.
func (e *Engine) Enable(name string) error { return e.ban(name, false) }

func (e *Engine) ban(name string, on bool) error {
	call := banCall{name: name, on: on, done: make(chan error, 1)}
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
	name string
	on   bool
	done chan error
}

func (c banCall) handle(e *Engine) {
	id, err := e.endpoints.Ban(c.name, c.on)
	if err == nil {
		kind := decide.Unbanned
		if c.on {
			kind = decide.Banned
			if to := e.endpoints.Get(id); to != nil { // it is about to be restarted
				e.pool.DropAll(to, httpwire.ReasonBanned)
			}
		}
		e.tell(decide.Event{Kind: kind, Endpoint: id})
		e.takeStock()
	}
	c.done <- err
}
