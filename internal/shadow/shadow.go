// Package shadow shows what other settings would decide, beside what is decided: a second balancer is told the
// same events, and what it decides is counted and never carried out. It is for operators who are about to switch.
//
// The watching balancer has no say. It cannot change, delay or re-seed the deciding one: it has its own random
// numbers, gets no timer of its own, and its actions end here.
package shadow

import (
	"github.com/rs/zerolog"

	"heathgap/decide"
)

// maxFollowed bounds the requests that are followed at once: about 100 bytes each, 0.4 MB in all. What comes
// beyond them is decided as ever and counted as unwatched.
const maxFollowed = 4096

// Decider decides for real. A decide.Balancer is one.
type Decider interface {
	Handle(now decide.Time, ev *decide.Event, actions []decide.Action) []decide.Action
}

// Counts are differences, by what the watching settings would have done where the deciding ones did something else.
type Counts struct {
	Followed      int // requests that were followed
	NotFollowed   int // that came while too many were
	Same          int // steps at which both did the same
	SentElsewhere int // sent to another endpoint
	Sent          int // sent, where the deciding settings held, refused or failed it
	Retried       int // sent again, where the deciding settings did not
	Held          int // held, where the deciding settings sent or ended it
	Refused       int
	Failed        int
	Canceled      int // an attempt called off, where the deciding settings let it run
	Probes        int // probes that would have been sent
}

// MarshalZerologObject writes the counts into a log line.
func (c Counts) MarshalZerologObject(e *zerolog.Event) {
	e.Int("watched", c.Followed).Int("unwatched", c.NotFollowed).Int("alike", c.Same).
		Int("sent_elsewhere", c.SentElsewhere).Int("sent", c.Sent).Int("retried", c.Retried).Int("held", c.Held).
		Int("refused", c.Refused).Int("failed", c.Failed).Int("called_off", c.Canceled).Int("probes", c.Probes)
}

// Comparison is a decider that is watched. One goroutine owns it, as it would own the deciding one.
type Comparison struct {
	deciding      Decider
	shadow        *decide.Balancer
	counts        Counts
	followed      map[decide.RequestID]*followedRequest
	inFlight      map[decide.EndpointID]int // followed requests' attempts out, for real
	shadowTimer   decide.Time               // when the watching balancer wants to be woken; 0 when it does not
	shadowActions []decide.Action           // of the watching balancer
	unmatched     []decide.Action           // of the deciding one at this event, those that were matched struck out
	decided       []decide.Action           // the same, whole
}

// followedRequest is a request that is followed. It ends when the request is over for real and has nothing out: its outcomes,
// its final answer and a caller that leaves are all told.
type followedRequest struct {
	endpoints   []decide.EndpointID // of the attempts made for real
	inFlight    int                 // of them without an outcome
	done        bool                // it has its final answer, or nobody waits for one
	differed    bool                // the watching balancer did something else: from there on its view of the request is not real
	shadowSends int                 // attempts that the watching balancer takes for sent
}

// New watches what set would decide beside a decider. It fails where set cannot be acted on.
func New(deciding Decider, set decide.Settings, seed uint64) (*Comparison, error) {
	watching, err := decide.New(set, seed)
	if err != nil {
		return nil, err
	}
	return &Comparison{
		deciding: deciding, shadow: watching,
		followed: map[decide.RequestID]*followedRequest{}, inFlight: map[decide.EndpointID]int{},
	}, nil
}

// Avoided is the deciding one's, where it tells.
func (c *Comparison) Avoided() int {
	if d, ok := c.deciding.(interface{ Avoided() int }); ok {
		return d.Avoided()
	}
	return 0
}

// Counts returns what has been counted so far.
func (c *Comparison) Counts() Counts { return c.counts }

// Handle has the deciding one handle the event, and then looks at what the watching one would have done. What it
// returns is the deciding one's alone.
func (c *Comparison) Handle(now decide.Time, ev *decide.Event, actions []decide.Action) []decide.Action {
	before := len(actions)
	actions = c.deciding.Handle(now, ev, actions)
	c.unmatched = append(c.unmatched[:0], actions[before:]...)
	c.decided = append(c.decided[:0], actions[before:]...)
	c.updateShadow(now, ev)
	return actions
}

// updateShadow tells the watching balancer of the event, as far as it concerns it, and compares.
func (c *Comparison) updateShadow(now decide.Time, ev *decide.Event) {
	switch ev.Kind {
	case decide.TimerDue, decide.ProbeFinished: // the deciding one's own
	case decide.Arrived:
		if len(c.followed) >= maxFollowed {
			c.counts.NotFollowed++
			break
		}
		c.counts.Followed++
		c.followed[ev.Request] = &followedRequest{}
		c.notifyShadow(now, ev)
	case decide.Finished, decide.StreamBegan, decide.BodyReceived, decide.ClientLeft:
		if f := c.followed[ev.Request]; f != nil && !f.differed {
			c.notifyShadow(now, ev)
		}
	default:
		c.notifyShadow(now, ev)
	}
	if c.shadowTimer > 0 && now >= c.shadowTimer {
		c.shadowTimer = 0
		c.notifyShadow(now, &decide.Event{Kind: decide.TimerDue})
	}
	c.compareUnmatched()
	c.trackRequests(now, ev)
}

// trackRequests books how far the requests of this event have come for real, and ends the views of those that are done. The
// watching balancer has had its own attempts out until here, as it would have: after a difference they end with an
// outcome that teaches nothing.
func (c *Comparison) trackRequests(now decide.Time, ev *decide.Event) {
	for _, r := range c.decided {
		if f := c.followed[r.Request]; f != nil {
			if r.Kind == decide.Send {
				f.endpoints, f.inFlight = append(f.endpoints, r.Endpoint), f.inFlight+1
				c.inFlight[r.Endpoint]++
			}
			f.done = f.done || r.Kind == decide.Refuse || r.Kind == decide.Fail
			c.closeIfDone(now, r.Request, f)
		}
	}
	if f := c.followed[ev.Request]; f != nil && (ev.Kind == decide.Finished || ev.Kind == decide.ClientLeft) {
		if ev.Kind == decide.Finished && ev.Attempt < len(f.endpoints) {
			// By what was sent: the event of an endpoint that has left the list names none.
			f.inFlight--
			if to := f.endpoints[ev.Attempt]; c.inFlight[to] > 1 {
				c.inFlight[to]--
			} else {
				delete(c.inFlight, to)
			}
		}
		f.done = f.done || ev.RequestDone || ev.Kind == decide.ClientLeft
		c.closeIfDone(now, ev.Request, f)
	}
	c.processShadowActions(now)
}

func (c *Comparison) closeIfDone(now decide.Time, id decide.RequestID, f *followedRequest) {
	if !f.done || f.inFlight > 0 {
		return
	}
	delete(c.followed, id)
	if !f.differed {
		return
	}
	for i := range f.shadowSends {
		c.endInShadow(now, decide.Event{Kind: decide.Finished, Request: id, Attempt: i, Outcome: decide.NotSent, RequestDone: true})
	}
	c.endInShadow(now, decide.Event{Kind: decide.ClientLeft, Request: id})
}

// notifyShadow gives the watching balancer an event and looks at what it decides on it. Its probes are answered here:
// nobody is asked, so an endpoint's answer is what this sidecar itself has out there.
func (c *Comparison) notifyShadow(now decide.Time, ev *decide.Event) {
	c.shadowActions = c.shadow.Handle(now, ev, c.shadowActions)
	c.processShadowActions(now)
}

// processShadowActions goes through what the watching balancer has decided, what it decides meanwhile included.
func (c *Comparison) processShadowActions(now decide.Time) {
	for i := 0; i < len(c.shadowActions); i++ {
		a := c.shadowActions[i]
		switch a.Kind {
		case decide.SetTimer:
			c.shadowTimer = now + a.After
		case decide.WatchList:
		case decide.Probe:
			c.counts.Probes++
			c.shadowActions = c.shadow.Handle(now, &decide.Event{
				Kind: decide.ProbeFinished, Endpoint: a.Endpoint, Outcome: decide.Served,
				Load: decide.Load{Outstanding: float64(c.inFlight[a.Endpoint]), Utilization: -1},
			}, c.shadowActions)
		default:
			c.compareAction(a)
		}
	}
	c.shadowActions = c.shadowActions[:0]
}

// compareAction looks for an action on a request among the deciding one's of this event, and takes it from there.
func (c *Comparison) compareAction(a decide.Action) {
	f := c.followed[a.Request]
	if f == nil {
		return
	}
	if a.Kind == decide.Send {
		f.shadowSends++
	}
	if f.differed {
		return
	}
	for i, r := range c.unmatched {
		if r.Request != a.Request || !concernsRequest(r) {
			continue
		}
		if r.Kind != a.Kind || r.Kind == decide.Send && r.Endpoint != a.Endpoint {
			break
		}
		c.unmatched[i].Kind = decide.SetTimer // matched
		c.counts.Same++
		return
	}
	c.countDifference(f, a)
}

// compareUnmatched finds what the deciding one did and the watching one did not.
func (c *Comparison) compareUnmatched() {
	for _, r := range c.unmatched {
		if f := c.followed[r.Request]; f != nil && !f.differed && concernsRequest(r) && r.Kind != decide.Cancel {
			c.countDifference(f, decide.Action{Kind: decide.SetTimer, Request: r.Request})
		}
	}
}

func concernsRequest(a decide.Action) bool {
	switch a.Kind {
	case decide.Send, decide.Cancel, decide.Refuse, decide.Fail:
		return true
	}
	return false
}

// countDifference counts a difference by what the watching balancer did (SetTimer: nothing).
func (c *Comparison) countDifference(f *followedRequest, a decide.Action) {
	f.differed = true
	sent := false // by the deciding one, at this event
	for _, r := range c.decided {
		sent = sent || r.Request == a.Request && r.Kind == decide.Send
	}
	switch {
	case a.Kind == decide.Send && sent:
		c.counts.SentElsewhere++
	case a.Kind == decide.Send && f.shadowSends > 1:
		c.counts.Retried++
	case a.Kind == decide.Send:
		c.counts.Sent++
	case a.Kind == decide.Refuse:
		c.counts.Refused++
	case a.Kind == decide.Fail:
		c.counts.Failed++
	case a.Kind == decide.Cancel:
		c.counts.Canceled++
	default:
		c.counts.Held++
	}
}

// endInShadow tells the watching balancer of an end; look goes through what it decides on that.
func (c *Comparison) endInShadow(now decide.Time, ev decide.Event) {
	c.shadowActions = c.shadow.Handle(now, &ev, c.shadowActions)
}
