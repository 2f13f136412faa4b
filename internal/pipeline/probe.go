package pipeline

import (
	"context"
	"time"

	"heathgap/decide"
	"heathgap/internal/httpwire"
	"heathgap/internal/state"
)

// Probe: an endpoint is asked for its load, and its answer goes to the module.

// probeTime is how long an answer to a probe is waited for. By then most aims have passed, and the module has
// looked elsewhere.
const probeTime = time.Second

// probe asks an endpoint. The module is told in any case, once.
func (e *Engine) probe(id decide.EndpointID) {
	now := e.clock.Now()
	to := e.endpoints.Get(id)
	if to == nil { // it has left the list since
		e.tell(decide.Event{Kind: decide.ProbeFinished, Endpoint: id, Outcome: decide.ConnectFailed})
		return
	}
	link, ok := e.pool.Take(to, now)
	if !ok {
		e.tell(decide.Event{Kind: decide.ProbeFinished, Endpoint: id, Outcome: decide.ConnectFailed})
		return
	}
	e.counters.Probed++
	if link == nil {
		e.counters.Dialed++
	}
	address := to.Address
	e.world.Go("probe", func() { e.ask(&probed{to: to, link: link, sent: now}, address) })
}

// probed is how a probe has ended: its connection, and its outcome.
type probed struct {
	to      *state.Endpoint
	link    *httpwire.Link // nil if it never came up
	ended   httpwire.Reason
	outcome decide.Outcome
	reply   *httpwire.Reply // nil without an answer
	sent    decide.Time
}

// ask carries one probe in a goroutine of its own, which ends with the answer or after connect and probe time.
func (e *Engine) ask(p *probed, address string) {
	defer func() { e.post(p) }()
	if p.link, p.ended = e.connect(context.Background(), p.link, address); p.ended != "" {
		p.outcome = decide.ConnectFailed
		return
	}
	if whole, _ := p.link.Send(httpwire.EncodeProbe(), e.world.Now().Add(probeTime)); !whole {
		p.outcome, p.ended = decide.ConnectFailed, httpwire.ReasonNotWritten
		return
	}
	reply, err := p.link.Receive(e.room, e.world)
	if err != nil {
		p.outcome, p.ended = decide.TimedOut, httpwire.ReasonBroken
		return
	}
	p.outcome, p.reply = reply.Outcome, &reply
	if reply.Close || reply.Stream != nil { // no report is so long
		p.ended = httpwire.ReasonPeerClose
	}
}

func (p *probed) handle(e *Engine) {
	now := e.clock.Now()
	if p.ended == "" {
		e.pool.Put(p.to, p.link, now)
	} else {
		e.pool.Drop(p.to, p.link, p.ended)
	}
	ev := decide.Event{
		Kind: decide.ProbeFinished, Endpoint: p.to.ID, Outcome: p.outcome, Latency: now - p.sent,
	}
	if p.reply != nil {
		ev.Load = httpwire.DecodeLoad(p.reply.Body)
		e.room.Release(p.reply.Reserved)
	}
	e.tell(ev)
}
