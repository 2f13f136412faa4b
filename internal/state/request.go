package state

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"heathgap/decide"
	"heathgap/internal/httpwire"
)

// Request is one request that was taken and its attempts. It is kept until it
// has its final answer and every attempt its outcome.
type Request struct {
	ID       decide.RequestID
	Message  *httpwire.Request // read by the goroutines of attempts: never written to
	Deadline decide.Time       // when the caller stops waiting
	Answer   chan httpwire.Answer
	Done     bool // the final answer is given, or nobody waits for one
	Attempts []*Attempt
	// Caller is the connection on which it came; nil where there is none to look at. Goroutines of attempts ask it.
	Caller *httpwire.CallerConn
	// MayWrite tells whether its key's claim still stands; nil where it has none. Any goroutine may ask.
	MayWrite func() bool
	inFlight int // attempts without an outcome
}

// Attempt is one send of a request.
type Attempt struct {
	Request   *Request
	Number    int
	Endpoint  *Endpoint
	Sent      decide.Time
	TimeoutAt decide.Time // when it times out
	NotAfter  decide.Time // nothing of it is written from then on; 0 for no such bound
	GiveUp    context.CancelFunc
	Settled   bool           // it has its outcome
	Ran       bool           // by that it may have run
	Outcome   decide.Outcome // once it is settled
	Latency   decide.Time    // until then
	// Generation is that of the rules by which it was decided on; 0 where there are none beside the settings.
	Generation   uint64
	writeState   atomic.Int32
	heapPosition int // in Timeouts, from 1; 0 when it is not there
}

// The states of an attempt's gate.
const (
	writeAllowed   = iota
	writeStarted   // its message is being written, or has been
	writePrevented // it must not be written any more
)

// Write tells whether the attempt may be written, and that it will be. The
// goroutine that carries it asks once, when its connection stands.
func (a *Attempt) Write() bool { return a.writeState.CompareAndSwap(writeAllowed, writeStarted) }

// PreventWrite keeps the attempt from being written, and tells whether it has never been:
// what has begun to be written may come whole.
func (a *Attempt) PreventWrite() bool {
	return a.writeState.CompareAndSwap(writeAllowed, writePrevented) || a.writeState.Load() == writePrevented
}

// WindowEnd is when the window ends in which a repeat of a keyed request may be written: so long after the first of its
// attempts that may have run was sent. It is 0 before one may have.
func (r *Request) WindowEnd(window time.Duration) decide.Time {
	for _, a := range r.Attempts {
		if !a.Settled || a.Ran {
			return a.Sent + window
		}
	}
	return 0
}

// MayHaveRun tells whether it may have come to its endpoint: by its outcome, or, while it has none, because it has begun to be
// written.
func (a *Attempt) MayHaveRun() bool {
	if a.Settled {
		return a.Ran
	}
	return !a.PreventWrite()
}

// Requests are those that are kept.
type Requests struct {
	byID       map[decide.RequestID]*Request // until Release
	pendingIDs map[string]struct{}           // callers' ids of those without a final answer
	lastID     decide.RequestID
}

// NewRequests returns an empty table.
func NewRequests() *Requests {
	return &Requests{byID: map[decide.RequestID]*Request{}, pendingIDs: map[string]struct{}{}}
}

// Open tells whether a request with a caller's id is without its final answer.
func (t *Requests) Open(id string) bool {
	_, open := t.pendingIDs[id]
	return open
}

// Add keeps a new request and numbers it.
func (t *Requests) Add(message *httpwire.Request, deadline decide.Time, answer chan httpwire.Answer) *Request {
	t.lastID++
	r := &Request{ID: t.lastID, Message: message, Deadline: deadline, Answer: answer}
	t.byID[r.ID] = r
	t.pendingIDs[message.ID] = struct{}{}
	return r
}

// Get returns a kept request, or nil.
func (t *Requests) Get(id decide.RequestID) *Request { return t.byID[id] }

// All returns the kept requests, the oldest first: a map's order must not decide
// what any of them gets.
func (t *Requests) All() []*Request {
	return slices.SortedFunc(maps.Values(t.byID), func(a, b *Request) int { return cmp.Compare(a.ID, b.ID) })
}

// Pending is how many requests are without a final answer.
func (t *Requests) Pending() int { return len(t.pendingIDs) }

// Begin books a new attempt.
func (t *Requests) Begin(r *Request, endpoint *Endpoint, sent, timeoutAt decide.Time) *Attempt {
	a := &Attempt{Request: r, Number: len(r.Attempts), Endpoint: endpoint, Sent: sent, TimeoutAt: timeoutAt}
	r.Attempts = append(r.Attempts, a)
	r.inFlight++
	return a
}

// Settle books that an attempt has its outcome; false if it had one already.
func (t *Requests) Settle(a *Attempt) bool {
	if a.Settled {
		return false
	}
	a.Settled = true
	a.Request.inFlight--
	return true
}

// End books that a request has its final answer; false if it had one already.
// Nothing is sent for it afterwards: an attempt whose connection is still being
// made is barred.
func (t *Requests) End(r *Request) bool {
	if r.Done {
		return false
	}
	r.Done = true
	delete(t.pendingIDs, r.Message.ID)
	for _, a := range r.Attempts {
		a.PreventWrite()
	}
	return true
}

// Release forgets a request that is over and has nothing out.
func (t *Requests) Release(r *Request) {
	if r.Done && r.inFlight == 0 {
		delete(t.byID, r.ID)
	}
}

// Audit checks that what is kept adds up.
func (t *Requests) Audit() error {
	for id, r := range t.byID {
		inFlight := 0
		for _, a := range r.Attempts {
			if !a.Settled {
				inFlight++
			}
		}
		if inFlight != r.inFlight {
			return fmt.Errorf("request %d: %d attempts are out, and %d are counted", id, inFlight, r.inFlight)
		}
		if r.Done && inFlight == 0 {
			return fmt.Errorf("request %d: it is over and kept", id)
		}
		if _, open := t.pendingIDs[r.Message.ID]; !open && !r.Done {
			return fmt.Errorf("request %d: its caller's id %q is not open", id, r.Message.ID)
		}
	}
	return nil
}
