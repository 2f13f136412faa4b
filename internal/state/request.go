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

// Request is an accepted request with its attempts. It is kept until it has its final answer and every attempt has its outcome.
type Request struct {
	ID       decide.RequestID
	Message  *httpwire.Request // shared with the goroutines of attempts: never modified
	Deadline decide.Time       // when the caller stops waiting
	Answer   chan httpwire.Answer
	Done     bool // the final answer is given, or the caller has gone
	Attempts []*Attempt
	// Caller is the connection on which the request came; nil if there is none to check. Goroutines of attempts use it.
	Caller *httpwire.CallerConn
	// MayWrite reports whether the claim on the request's key is still valid; nil without a claim. Any goroutine may call it.
	MayWrite func() bool
	inFlight int // attempts without an outcome
}

// Attempt is one sending of a request to an endpoint.
type Attempt struct {
	Request     *Request
	Number      int
	Endpoint    *Endpoint
	Incarnation uint64 // of Endpoint when the attempt was decided on
	Sent        decide.Time
	TimeoutAt   decide.Time // when its outcome becomes TimedOut or ConnectFailed
	NotAfter    decide.Time // from then on its first byte may not be written; 0 for no such bound
	GiveUp      context.CancelFunc
	Settled     bool            // its outcome is known
	Ran         bool            // it may have run, judging by its outcome
	Outcome     decide.Outcome  // valid once it is settled
	EndReason   httpwire.Reason // why its connection ended, for the log; empty if that goes on
	Latency     decide.Time     // from Sent until it was settled
	// Generation identifies the cluster's rules under which it was decided; 0 without a cluster.
	Generation   uint64
	writeState   atomic.Int32
	heapPosition int // index in the heap of Timeouts plus 1; 0 if it is not there
}

// The write states of an attempt.
const (
	writeAllowed   = iota
	writeStarted   // the message is being written, or has been
	writePrevented // the attempt must not be written any more
)

// StartWrite reports whether the attempt may be written, and if so marks it as being written. The goroutine that carries the
// attempt calls it once, when its connection is up.
func (a *Attempt) StartWrite() bool { return a.writeState.CompareAndSwap(writeAllowed, writeStarted) }

// PreventWrite prevents the attempt from being written. It returns false if writing has started already: the endpoint may then
// receive the whole message.
func (a *Attempt) PreventWrite() bool {
	return a.writeState.CompareAndSwap(writeAllowed, writePrevented) || a.writeState.Load() == writePrevented
}

// WindowEnd returns until when a repeat of a keyed request may be written: window after the sending of its first attempt that
// may have run. It returns 0 if none may have run.
func (r *Request) WindowEnd(window time.Duration) decide.Time {
	for _, a := range r.Attempts {
		if !a.Settled || a.Ran {
			return a.Sent + window
		}
	}
	return 0
}

// MayHaveRun reports whether the attempt may have run at its endpoint: judging by its outcome or, without one, by whether
// writing has started. An attempt whose writing has not started is prevented from being written.
func (a *Attempt) MayHaveRun() bool {
	if a.Settled {
		return a.Ran
	}
	return !a.PreventWrite()
}

// Requests is the table of requests that are not released yet.
type Requests struct {
	byID        map[decide.RequestID]*Request // until Release
	byCallersID map[string]*Request           // by their callers' ids, until Release
	pending     int                           // requests without a final answer
	lastID      decide.RequestID
}

// NewRequests returns an empty table.
func NewRequests() *Requests {
	return &Requests{byID: map[decide.RequestID]*Request{}, byCallersID: map[string]*Request{}}
}

// ByCallersID returns the request with a caller's id that has no final answer yet, or has an attempt in flight; nil without one.
func (t *Requests) ByCallersID(id string) *Request { return t.byCallersID[id] }

// Add adds a new request and gives it an id.
func (t *Requests) Add(message *httpwire.Request, deadline decide.Time, answer chan httpwire.Answer) *Request {
	t.lastID++
	r := &Request{ID: t.lastID, Message: message, Deadline: deadline, Answer: answer}
	t.byID[r.ID] = r
	t.byCallersID[message.ID] = r
	t.pending++
	return r
}

// Get returns the request with an id, or nil if it is unknown or released.
func (t *Requests) Get(id decide.RequestID) *Request { return t.byID[id] }

// All returns the requests, oldest first: what happens to each must not depend on the order of a map.
func (t *Requests) All() []*Request {
	return slices.SortedFunc(maps.Values(t.byID), func(a, b *Request) int { return cmp.Compare(a.ID, b.ID) })
}

// Pending returns how many requests have no final answer.
func (t *Requests) Pending() int { return t.pending }

// Begin adds a new attempt to a request.
func (t *Requests) Begin(r *Request, endpoint *Endpoint, sent, timeoutAt decide.Time) *Attempt {
	a := &Attempt{Request: r, Number: len(r.Attempts), Endpoint: endpoint, Sent: sent, TimeoutAt: timeoutAt}
	if endpoint != nil {
		a.Incarnation = endpoint.Incarnation()
	}
	r.Attempts = append(r.Attempts, a)
	r.inFlight++
	return a
}

// Settle records that an attempt has its outcome; it returns false if that was recorded before.
func (t *Requests) Settle(a *Attempt) bool {
	if a.Settled {
		return false
	}
	a.Settled = true
	a.Request.inFlight--
	return true
}

// End records that a request has its final answer; it returns false if it had one already. Attempts whose connection is still
// being made are prevented from being written.
func (t *Requests) End(r *Request) bool {
	if r.Done {
		return false
	}
	r.Done = true
	t.pending--
	for _, a := range r.Attempts {
		a.PreventWrite()
	}
	return true
}

// Release removes a request that is done and has no attempt in flight; others stay.
func (t *Requests) Release(r *Request) {
	if !r.Done || r.inFlight > 0 || t.byID[r.ID] != r {
		return
	}
	r.Message.Memory.Release()
	delete(t.byID, r.ID)
	if t.byCallersID[r.Message.ID] == r {
		delete(t.byCallersID, r.Message.ID)
	}
}

// Audit checks that the table is consistent.
func (t *Requests) Audit() error {
	pending := 0
	for id, r := range t.byID {
		if !r.Done {
			pending++
		}
		inFlight := 0
		for _, a := range r.Attempts {
			if !a.Settled {
				inFlight++
			}
		}
		if inFlight != r.inFlight {
			return fmt.Errorf("request %d: %d attempts are in flight, and %d are counted", id, inFlight, r.inFlight)
		}
		if r.Done && inFlight == 0 {
			return fmt.Errorf("request %d: it is done and has no attempt in flight, but was not released", id)
		}
		if t.byCallersID[r.Message.ID] != r {
			return fmt.Errorf("request %d: its caller's id %q is not recorded as its own", id, r.Message.ID)
		}
	}
	if pending != t.pending {
		return fmt.Errorf("%d requests have no final answer, and %d are counted", pending, t.pending)
	}
	return nil
}
