// Package shadow shows what other settings would decide: a second balancer, the shadow, gets the same events as the
// deciding balancer. Its decisions are compared and counted, and never carried out. Operators use it before they switch
// to new settings.
//
// The shadow has no influence on the deciding balancer: it has its own random numbers and its own time of the next
// timer, and its actions end in this package.
package shadow

import (
	"github.com/rs/zerolog"

	"heathgap/decide"
)

// maxFollowed limits the requests that are followed at the same time: about 100 bytes each, 0.4 MB in all. Further
// requests are decided as usual and counted as not followed.
const maxFollowed = 4096

// Decider is what really decides. A decide.Balancer is one.
type Decider interface {
	Handle(now decide.Time, ev *decide.Event, actions []decide.Action) []decide.Action
}

// Counts are the differences, by what the shadow would have done where the deciding balancer did something else.
type Counts struct {
	Followed      int // requests that were followed
	NotFollowed   int // requests that arrived while maxFollowed were followed
	Same          int // actions that both decided alike
	SentElsewhere int // sent to another endpoint
	Sent          int // sent, where the deciding balancer held, refused or failed the request
	Retried       int // sent again, where the deciding balancer did not
	Pending       int // kept pending, where the deciding balancer sent or ended the request
	Refused       int
	Failed        int
	Canceled      int // an attempt canceled, where the deciding balancer let it run
	Probes        int // probes that the shadow would have sent
}

// MarshalZerologObject writes the counts into a log line.
func (c Counts) MarshalZerologObject(e *zerolog.Event) {
	e.Int("watched", c.Followed).Int("unwatched", c.NotFollowed).Int("alike", c.Same).
		Int("sent_elsewhere", c.SentElsewhere).Int("sent", c.Sent).Int("retried", c.Retried).Int("held", c.Pending).
		Int("refused", c.Refused).Int("failed", c.Failed).Int("called_off", c.Canceled).Int("probes", c.Probes)
}

// Comparison passes events to the deciding balancer and compares its actions with those of the shadow. Like a balancer,
// it belongs to one goroutine.
type Comparison struct {
	deciding      Decider
	shadow        *decide.Balancer
	counts        Counts
	followed      map[decide.RequestID]*followedRequest
	inFlight      map[decide.EndpointID]int // real attempts of followed requests that are in flight, by endpoint
	shadowTimer   decide.Time               // when the shadow wants a TimerDue event; 0 for never
	shadowActions []decide.Action           // actions of the shadow that are not processed yet
	unmatched     []decide.Action           // a copy of decided; actions that the shadow decided as well are marked by SetTimer
	decided       []decide.Action           // all actions of the deciding balancer at this event
}

// followedRequest is a request whose handling is compared. It is kept until the request is done and none of its real
// attempts is in flight: each attempt's outcome, the final answer and a caller that leaves are all events.
type followedRequest struct {
	endpoints   []decide.EndpointID // of the real attempts, by their number
	inFlight    int                 // real attempts without an outcome
	done        bool                // it has its final answer, or its caller has left
	differed    bool                // the shadow decided otherwise; its state of the request is not real from then on, nor compared
	shadowSends int                 // attempts that the shadow decided to send
}

// New returns a comparison of deciding with a shadow that has the settings set. It fails if set is not valid.
func New(deciding Decider, set decide.Settings, seed uint64) (*Comparison, error) {
	shadow, err := decide.New(set, seed)
	if err != nil {
		return nil, err
	}
	return &Comparison{
		deciding: deciding, shadow: shadow,
		followed: map[decide.RequestID]*followedRequest{}, inFlight: map[decide.EndpointID]int{},
	}, nil
}

// Avoided returns how many endpoints the deciding balancer avoids, or 0 if it does not report that.
func (c *Comparison) Avoided() int {
	if d, ok := c.deciding.(interface{ Avoided() int }); ok {
		return d.Avoided()
	}
	return 0
}

// Counts returns what has been counted so far.
func (c *Comparison) Counts() Counts { return c.counts }

// Handle passes the event to the deciding balancer and returns that one's actions alone; then it compares what the
// shadow would have done.
func (c *Comparison) Handle(now decide.Time, ev *decide.Event, actions []decide.Action) []decide.Action {
	before := len(actions)
	actions = c.deciding.Handle(now, ev, actions)
	c.unmatched = append(c.unmatched[:0], actions[before:]...)
	c.decided = append(c.decided[:0], actions[before:]...)
	c.updateShadow(now, ev)
	return actions
}

// updateShadow passes the event on to the shadow if it concerns it, and compares the actions.
func (c *Comparison) updateShadow(now decide.Time, ev *decide.Event) {
	switch ev.Kind {
	case decide.TimerDue, decide.ProbeFinished: // of the deciding balancer alone: the shadow has its own
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

// trackRequests records what really became of the requests of this event, and closes those that are done. Only then do
// the shadow's own attempts of a request that differed end, as they would have been in flight until then; their outcome
// NotSent teaches the shadow nothing about the endpoint.
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
			// Uses the endpoint of the Send action: the event of an endpoint that has left the list does not name it.
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

// closeIfDone stops following a request that is done and has no real attempt in flight. If the shadow differed, its
// attempts and the request are ended in the shadow, too.
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

// notifyShadow passes an event to the shadow and processes what it decides.
func (c *Comparison) notifyShadow(now decide.Time, ev *decide.Event) {
	c.shadowActions = c.shadow.Handle(now, ev, c.shadowActions)
	c.processShadowActions(now)
}

// processShadowActions processes the actions of the shadow, also those that it decides meanwhile. No probe is sent:
// each is answered here at once, with this sidecar's own attempts in flight as the endpoint's load.
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

// compareAction looks for the shadow's action among those of the deciding balancer at this event. It marks the match,
// or counts a difference.
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

// compareUnmatched counts the actions that the deciding balancer decided and the shadow did not. A cancellation alone
// is no difference.
func (c *Comparison) compareUnmatched() {
	for _, r := range c.unmatched {
		if f := c.followed[r.Request]; f != nil && !f.differed && concernsRequest(r) && r.Kind != decide.Cancel {
			c.countDifference(f, decide.Action{Kind: decide.SetTimer, Request: r.Request})
		}
	}
}

// concernsRequest reports whether an action is about a request, not about probes, timers or the list.
func concernsRequest(a decide.Action) bool {
	switch a.Kind {
	case decide.Send, decide.Cancel, decide.Refuse, decide.Fail:
		return true
	}
	return false
}

// countDifference counts a difference by the shadow's action a; SetTimer stands for none. Nothing more of the request
// is compared.
func (c *Comparison) countDifference(f *followedRequest, a decide.Action) {
	f.differed = true
	sent := false // by the deciding balancer, at this event
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
		c.counts.Pending++
	}
}

// endInShadow passes the end of an attempt or of a request to the shadow. trackRequests has its actions processed
// later.
func (c *Comparison) endInShadow(now decide.Time, ev decide.Event) {
	c.shadowActions = c.shadow.Handle(now, &ev, c.shadowActions)
}
