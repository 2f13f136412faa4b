package state

import (
	"fmt"
	"slices"
	"time"

	"heathgap/decide"
	"heathgap/internal/httpwire"
)

// idleLink is an idle connection and the time since when it is idle.
type idleLink struct {
	link  *httpwire.Link
	since decide.Time
}

// reuseDelay is how long a connection must be idle after an answer before it carries another request. By then extra bytes
// behind the answer have arrived and are noticed; otherwise they would be taken for the answer to the next request.
const reuseDelay = 10 * time.Millisecond

// Pool limits the connections to all endpoints and keeps the idle ones. A connection counts from before it is dialed until it
// has ended.
type Pool struct {
	limit       int
	open        int
	idleTimeout decide.Time            // idle connections are closed after this time
	withIdle    map[*Endpoint]struct{} // endpoints that have idle connections
	onEnd       func(e *Endpoint, l *httpwire.Link, reason httpwire.Reason)
}

// NewPool returns an empty pool for at most limit connections. onEnd is called for each connection that ends.
func NewPool(limit int, idleTimeout decide.Time, onEnd func(*Endpoint, *httpwire.Link, httpwire.Reason)) *Pool {
	return &Pool{limit: limit, idleTimeout: idleTimeout, withIdle: map[*Endpoint]struct{}{}, onEnd: onEnd}
}

// SetLimit sets how many connections there may be. If there are more, the ones that have been idle longest are closed.
func (p *Pool) SetLimit(limit int) {
	for p.limit = limit; p.open > p.limit && p.makeRoom(); {
	}
}

// Open returns how many connections there are, including those being dialed.
func (p *Pool) Open() int { return p.open }

// Take returns an idle connection to the endpoint: the most recently used of those that have been idle for reuseDelay. It
// returns nil if the caller is to dial a new one; that one counts as open from now on. At the limit of connections the most
// recently used one is returned even if it has not been idle for that long. ok is false if the limit is reached and no idle
// connection can be closed.
func (p *Pool) Take(e *Endpoint, now decide.Time) (l *httpwire.Link, ok bool) {
	p.dropIdle(e, now)
	for len(e.idle) > 0 {
		at := e.lastReusable(now)
		if at < 0 && p.open < p.limit {
			break
		}
		if at < 0 {
			at = len(e.idle) - 1
		}
		l = e.idle[at].link
		e.idle = slices.Delete(e.idle, at, at+1)
		p.untrackIfEmpty(e)
		if l.Usable() {
			return l, true
		}
		p.Drop(e, l, httpwire.ReasonPeerClosed)
	}
	if p.open >= p.limit && !p.makeRoom() {
		return nil, false
	}
	p.open++
	return nil, true
}

// lastReusable returns the index of the idle connection that was used last among those that have been idle for reuseDelay,
// or -1 if there is none.
func (e *Endpoint) lastReusable(now decide.Time) int {
	at := len(e.idle) - 1
	for at >= 0 && now-e.idle[at].since < reuseDelay {
		at--
	}
	return at
}

// Put puts a connection back that may carry another exchange. It is closed if its endpoint has left the registry.
func (p *Pool) Put(e *Endpoint, l *httpwire.Link, now decide.Time) {
	if !e.Listed {
		p.Drop(e, l, httpwire.ReasonUnlisted)
		return
	}
	e.idle = append(e.idle, idleLink{l, now})
	p.withIdle[e] = struct{}{}
}

// Drop closes a connection that is not, or no longer, among the idle ones. The link is nil if the dial failed.
func (p *Pool) Drop(e *Endpoint, l *httpwire.Link, reason httpwire.Reason) {
	if l != nil {
		l.Close()
	}
	p.open--
	p.onEnd(e, l, reason)
}

// DropAll closes the idle connections of an endpoint.
func (p *Pool) DropAll(e *Endpoint, reason httpwire.Reason) {
	idle := e.idle
	e.idle = nil
	p.untrackIfEmpty(e)
	for _, i := range idle {
		p.Drop(e, i.link, reason)
	}
}

// Sweep closes the connections that have been idle for too long.
func (p *Pool) Sweep(now decide.Time) {
	for e := range p.withIdle {
		p.dropIdle(e, now)
	}
}

// dropIdle closes the connections of an endpoint that have been idle for too long. The endpoint is about to close them
// itself, and a request written at that moment would be lost.
func (p *Pool) dropIdle(e *Endpoint, now decide.Time) {
	fresh := slices.IndexFunc(e.idle, func(i idleLink) bool { return now-i.since < p.idleTimeout })
	if fresh < 0 {
		fresh = len(e.idle)
	}
	old := slices.Clone(e.idle[:fresh])
	e.idle = slices.Delete(e.idle, 0, fresh)
	p.untrackIfEmpty(e)
	for _, i := range old {
		p.Drop(e, i.link, httpwire.ReasonIdle)
	}
}

// makeRoom closes the connection that has been idle longest, and reports whether there was one.
func (p *Pool) makeRoom() bool {
	var oldest *Endpoint
	for e := range p.withIdle {
		if oldest == nil || e.idle[0].since < oldest.idle[0].since {
			oldest = e
		}
	}
	if oldest == nil {
		return false
	}
	l := oldest.idle[0].link
	oldest.idle = slices.Delete(oldest.idle, 0, 1)
	p.untrackIfEmpty(oldest)
	p.Drop(oldest, l, httpwire.ReasonConnLimit)
	return true
}

// untrackIfEmpty stops tracking an endpoint that has no idle connection.
func (p *Pool) untrackIfEmpty(e *Endpoint) {
	if len(e.idle) == 0 {
		delete(p.withIdle, e)
	}
}

// Audit checks that the counts of connections are consistent.
func (p *Pool) Audit() error {
	idle := 0
	for e := range p.withIdle {
		if len(e.idle) == 0 {
			return fmt.Errorf("endpoint %s: recorded as having idle connections, but has none", e.Name)
		}
		if !e.Listed {
			return fmt.Errorf("endpoint %s: it has left the list, but has idle connections", e.Name)
		}
		idle += len(e.idle)
	}
	if p.open < idle {
		return fmt.Errorf("%d connections are counted as open, but %d are idle", p.open, idle)
	}
	return nil
}
