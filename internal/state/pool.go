package state

import (
	"fmt"
	"slices"
	"time"

	"heathgap/decide"
	"heathgap/internal/httpwire"
)

// idleLink is a connection that carries nothing, and since when.
type idleLink struct {
	link  *httpwire.Link
	since decide.Time
}

// reuseDelay is how long a connection rests after an answer before it carries another
// request, as long as another stands idle. Guards against bytes that come behind an
// answer and would be taken for the next one's: they are seen by then. A new connection
// in place of one that has not rested would cost calm days a handshake too often.
const reuseDelay = 5 * time.Millisecond

// Pool keeps the connections to endpoints within a bound. A connection counts
// from before it is dialed until it has ended.
type Pool struct {
	limit       int
	open        int
	idleTimeout decide.Time // a connection may stand idle for so long
	withIdle    map[*Endpoint]struct{}
	onEnd       func(e *Endpoint, l *httpwire.Link, why httpwire.Reason)
}

// NewPool returns an empty pool. ended is called for each connection that ends.
func NewPool(limit int, idleTimeout decide.Time, onEnd func(*Endpoint, *httpwire.Link, httpwire.Reason)) *Pool {
	return &Pool{limit: limit, idleTimeout: idleTimeout, withIdle: map[*Endpoint]struct{}{}, onEnd: onEnd}
}

// SetLimit sets how many connections there may be; idle ones beyond that end.
func (p *Pool) SetLimit(limit int) {
	for p.limit = limit; p.open > p.limit && p.makeRoom(); {
	}
}

// Open is how many connections there are, those being dialed included.
func (p *Pool) Open() int { return p.open }

// Take returns an idle connection to the endpoint, of those at rest the one used
// last, or nil if a new one is to be dialed. ok is false if there is no room for one.
func (p *Pool) Take(e *Endpoint, now decide.Time) (l *httpwire.Link, ok bool) {
	p.dropIdle(e, now)
	for len(e.idle) > 0 {
		at := len(e.idle) - 1
		for at >= 0 && now-e.idle[at].since < reuseDelay {
			at--
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

// Put returns a connection that may carry another exchange.
func (p *Pool) Put(e *Endpoint, l *httpwire.Link, now decide.Time) {
	if !e.Listed {
		p.Drop(e, l, httpwire.ReasonUnlisted)
		return
	}
	e.idle = append(e.idle, idleLink{l, now})
	p.withIdle[e] = struct{}{}
}

// Drop ends a connection; the link is nil if it never came up.
func (p *Pool) Drop(e *Endpoint, l *httpwire.Link, reason httpwire.Reason) {
	if l != nil {
		l.Close()
	}
	p.open--
	p.onEnd(e, l, reason)
}

// DropAll ends the idle connections of an endpoint.
func (p *Pool) DropAll(e *Endpoint, reason httpwire.Reason) {
	idle := e.idle
	e.idle = nil
	p.untrackIfEmpty(e)
	for _, i := range idle {
		p.Drop(e, i.link, reason)
	}
}

// Sweep ends what has been idle for too long.
func (p *Pool) Sweep(now decide.Time) {
	for e := range p.withIdle {
		p.dropIdle(e, now)
	}
}

// dropIdle ends the endpoint's connections that have been idle for too long:
// the endpoint is about to end them, and a request that crosses that is lost.
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

// makeRoom ends the connection that has been idle longest.
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

func (p *Pool) untrackIfEmpty(e *Endpoint) {
	if len(e.idle) == 0 {
		delete(p.withIdle, e)
	}
}

// Audit checks that what is kept adds up.
func (p *Pool) Audit() error {
	idle := 0
	for e := range p.withIdle {
		if len(e.idle) == 0 {
			return fmt.Errorf("endpoint %s: no idle connection, and it counts as having some", e.Name)
		}
		if !e.Listed {
			return fmt.Errorf("endpoint %s: it has left, and keeps idle connections", e.Name)
		}
		idle += len(e.idle)
	}
	if p.open < idle {
		return fmt.Errorf("%d connections are counted, and %d are idle", p.open, idle)
	}
	return nil
}
