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

// mostWatched bounds the requests that are followed at once: about 100 bytes each, 0.4 MB in all. What comes
// beyond them is decided as ever and counted as unwatched.
const mostWatched = 4096

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
	deciding Decider
	watching *decide.Balancer
	counts   Counts
	views    map[decide.RequestID]*view
	inFlight map[decide.EndpointID]int // followed requests' attempts out, for real
	due      decide.Time               // when the watching balancer wants to be woken; 0 when it does not
	actions  []decide.Action           // of the watching balancer
	real     []decide.Action           // of the deciding one at this event, those that were matched struck out
	done     []decide.Action           // the same, whole
}

// view is a request that is followed. It ends when the request is over for real and has nothing out: its outcomes,
// its final answer and a caller that leaves are all told.
type view struct {
	to       []decide.EndpointID // of the attempts made for real
	out      int                 // of them without an outcome
	over     bool                // it has its final answer, or nobody waits for one
	differed bool                // the watching balancer did something else: from there on its view of the request is not real
	sent     int                 // attempts that the watching balancer takes for sent
}

// New watches what set would decide beside a decider. It fails where set cannot be acted on.
func New(deciding Decider, set decide.Settings, seed uint64) (*Comparison, error) {
	watching, err := decide.New(set, seed)
	if err != nil {
		return nil, err
	}
	return &Comparison{
		deciding: deciding, watching: watching,
		views: map[decide.RequestID]*view{}, inFlight: map[decide.EndpointID]int{},
	}, nil
}

// Avoided is the deciding one's, where it tells.
func (w *Comparison) Avoided() int {
	if d, ok := w.deciding.(interface{ Avoided() int }); ok {
		return d.Avoided()
	}
	return 0
}

// Counts returns what has been counted so far.
func (w *Comparison) Counts() Counts { return w.counts }

// Handle has the deciding one handle the event, and then looks at what the watching one would have done. What it
// returns is the deciding one's alone.
func (w *Comparison) Handle(now decide.Time, ev *decide.Event, actions []decide.Action) []decide.Action {
	before := len(actions)
	actions = w.deciding.Handle(now, ev, actions)
	w.real = append(w.real[:0], actions[before:]...)
	w.done = append(w.done[:0], actions[before:]...)
	w.follow(now, ev)
	return actions
}

// follow tells the watching balancer of the event, as far as it concerns it, and compares.
func (w *Comparison) follow(now decide.Time, ev *decide.Event) {
	switch ev.Kind {
	case decide.TimerDue, decide.ProbeFinished: // the deciding one's own
	case decide.Arrived:
		if len(w.views) >= mostWatched {
			w.counts.NotFollowed++
			break
		}
		w.counts.Followed++
		w.views[ev.Request] = &view{}
		w.tell(now, ev)
	case decide.Finished, decide.StreamBegan, decide.BodyReceived, decide.ClientLeft:
		if v := w.views[ev.Request]; v != nil && !v.differed {
			w.tell(now, ev)
		}
	default:
		w.tell(now, ev)
	}
	if w.due > 0 && now >= w.due {
		w.due = 0
		w.tell(now, &decide.Event{Kind: decide.TimerDue})
	}
	w.compareRest()
	w.end(now, ev)
}

// end books how far the requests of this event have come for real, and ends the views of those that are done. The
// watching balancer has had its own attempts out until here, as it would have: after a difference they end with an
// outcome that teaches nothing.
func (w *Comparison) end(now decide.Time, ev *decide.Event) {
	for _, r := range w.done {
		if v := w.views[r.Request]; v != nil {
			if r.Kind == decide.Send {
				v.to, v.out = append(v.to, r.Endpoint), v.out+1
				w.inFlight[r.Endpoint]++
			}
			v.over = v.over || r.Kind == decide.Refuse || r.Kind == decide.Fail
			w.close(now, r.Request, v)
		}
	}
	if v := w.views[ev.Request]; v != nil && (ev.Kind == decide.Finished || ev.Kind == decide.ClientLeft) {
		if ev.Kind == decide.Finished && ev.Attempt < len(v.to) {
			// By what was sent: the event of an endpoint that has left the list names none.
			v.out--
			if to := v.to[ev.Attempt]; w.inFlight[to] > 1 {
				w.inFlight[to]--
			} else {
				delete(w.inFlight, to)
			}
		}
		v.over = v.over || ev.RequestDone || ev.Kind == decide.ClientLeft
		w.close(now, ev.Request, v)
	}
	w.look(now)
}

func (w *Comparison) close(now decide.Time, id decide.RequestID, v *view) {
	if !v.over || v.out > 0 {
		return
	}
	delete(w.views, id)
	if !v.differed {
		return
	}
	for i := range v.sent {
		w.settle(now, decide.Event{Kind: decide.Finished, Request: id, Attempt: i, Outcome: decide.NotSent, RequestDone: true})
	}
	w.settle(now, decide.Event{Kind: decide.ClientLeft, Request: id})
}

// tell gives the watching balancer an event and looks at what it decides on it. Its probes are answered here:
// nobody is asked, so an endpoint's answer is what this sidecar itself has out there.
func (w *Comparison) tell(now decide.Time, ev *decide.Event) {
	w.actions = w.watching.Handle(now, ev, w.actions)
	w.look(now)
}

// look goes through what the watching balancer has decided, what it decides meanwhile included.
func (w *Comparison) look(now decide.Time) {
	for i := 0; i < len(w.actions); i++ {
		a := w.actions[i]
		switch a.Kind {
		case decide.SetTimer:
			w.due = now + a.After
		case decide.WatchList:
		case decide.Probe:
			w.counts.Probes++
			w.actions = w.watching.Handle(now, &decide.Event{
				Kind: decide.ProbeFinished, Endpoint: a.Endpoint, Outcome: decide.Served,
				Load: decide.Load{Outstanding: float64(w.inFlight[a.Endpoint]), Utilization: -1},
			}, w.actions)
		default:
			w.compare(a)
		}
	}
	w.actions = w.actions[:0]
}

// compare looks for an action on a request among the deciding one's of this event, and takes it from there.
func (w *Comparison) compare(a decide.Action) {
	v := w.views[a.Request]
	if v == nil {
		return
	}
	if a.Kind == decide.Send {
		v.sent++
	}
	if v.differed {
		return
	}
	for i, r := range w.real {
		if r.Request != a.Request || !ofRequest(r) {
			continue
		}
		if r.Kind != a.Kind || r.Kind == decide.Send && r.Endpoint != a.Endpoint {
			break
		}
		w.real[i].Kind = decide.SetTimer // matched
		w.counts.Same++
		return
	}
	w.differ(v, a)
}

// compareRest finds what the deciding one did and the watching one did not.
func (w *Comparison) compareRest() {
	for _, r := range w.real {
		if v := w.views[r.Request]; v != nil && !v.differed && ofRequest(r) && r.Kind != decide.Cancel {
			w.differ(v, decide.Action{Kind: decide.SetTimer, Request: r.Request})
		}
	}
}

func ofRequest(a decide.Action) bool {
	switch a.Kind {
	case decide.Send, decide.Cancel, decide.Refuse, decide.Fail:
		return true
	}
	return false
}

// differ counts a difference by what the watching balancer did (SetTimer: nothing).
func (w *Comparison) differ(v *view, a decide.Action) {
	v.differed = true
	sent := false // by the deciding one, at this event
	for _, r := range w.done {
		sent = sent || r.Request == a.Request && r.Kind == decide.Send
	}
	switch {
	case a.Kind == decide.Send && sent:
		w.counts.SentElsewhere++
	case a.Kind == decide.Send && v.sent > 1:
		w.counts.Retried++
	case a.Kind == decide.Send:
		w.counts.Sent++
	case a.Kind == decide.Refuse:
		w.counts.Refused++
	case a.Kind == decide.Fail:
		w.counts.Failed++
	case a.Kind == decide.Cancel:
		w.counts.Canceled++
	default:
		w.counts.Held++
	}
}

// settle tells the watching balancer of an end; look goes through what it decides on that.
func (w *Comparison) settle(now decide.Time, ev decide.Event) {
	w.actions = w.watching.Handle(now, &ev, w.actions)
}
