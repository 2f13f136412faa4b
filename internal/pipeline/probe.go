package pipeline

import (
	"context"
	"time"

	"heathgap/decide"
	"heathgap/internal/httpwire"
	"heathgap/internal/state"
)

// Probe: an endpoint is asked for its load, and its answer goes to the module.

// probeTimeout is how long the answer to a probe is awaited. Most aims are shorter, so that by then the module has chosen
// another endpoint.
const probeTimeout = time.Second

// probe starts a probe of an endpoint. The module is notified of its end exactly once, also if it could not be started.
func (e *Engine) probe(id decide.EndpointID) {
	now := e.clock.Now()
	endpoint := e.endpoints.Get(id)
	if endpoint == nil { // it has left the list since the module decided
		e.notifyModule(decide.Event{Kind: decide.ProbeFinished, Endpoint: id, Outcome: decide.ConnectFailed})
		return
	}
	link, ok := e.pool.Take(endpoint, now)
	if !ok {
		e.notifyModule(decide.Event{Kind: decide.ProbeFinished, Endpoint: id, Outcome: decide.ConnectFailed})
		return
	}
	e.counters.Probed++
	if link == nil {
		e.counters.Dialed++
	}
	address := endpoint.Address
	e.env.Go("probe", func() {
		e.sendProbe(&probeEnded{endpoint: endpoint, incarnation: endpoint.Incarnation(), link: link, sent: now}, address)
	})
}

// probeEnded is the event of a probe that has ended.
type probeEnded struct {
	endpoint    *state.Endpoint
	incarnation uint64         // of endpoint when the probe was sent
	link        *httpwire.Link // nil if the dial failed
	endReason   httpwire.Reason
	outcome     decide.Outcome
	reply       *httpwire.Reply // nil without an answer
	sent        decide.Time
}

// sendProbe makes one probe, in a goroutine of its own. It takes the connect timeout and probeTimeout at most.
func (e *Engine) sendProbe(p *probeEnded, address string) {
	defer func() { e.post(p) }()
	if p.link, p.endReason = e.connect(context.Background(), p.link, address); p.endReason != "" {
		p.outcome = decide.ConnectFailed
		return
	}
	if written, _ := p.link.Send(e.env.Now().Add(probeTimeout), httpwire.EncodeProbe()); !written {
		p.outcome, p.endReason = decide.ConnectFailed, httpwire.ReasonNotWritten
		return
	}
	reply, err := p.link.Receive(e.answerMemory, e.env)
	if err != nil {
		p.outcome, p.endReason = decide.TimedOut, httpwire.ReasonBroken
		return
	}
	p.outcome, p.reply = reply.Outcome, &reply
	if reply.Close || reply.Stream != nil { // a load report is never long enough to be streamed
		p.endReason = httpwire.ReasonCloseInAnswer
	}
}

func (p *probeEnded) handle(e *Engine) {
	now := e.clock.Now()
	if p.endReason == "" {
		e.putBack(p.endpoint, p.incarnation, p.link)
	} else {
		e.pool.Drop(p.endpoint, p.link, p.endReason)
	}
	ev := decide.Event{
		Kind: decide.ProbeFinished, Endpoint: p.endpoint.ID, Outcome: p.outcome, Latency: now - p.sent,
	}
	if p.reply != nil {
		ev.Load = httpwire.DecodeLoad(p.reply.Body)
		p.reply.Memory.Release()
	}
	e.notifyModule(ev)
}
