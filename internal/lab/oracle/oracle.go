// Package oracle is the lab's book: an account of what clients asked and heard and
// of what reached endpoints, kept without reading anything that a sidecar says. From
// it follow the four rules and the service.
//
// The book is pure: it has no clock and does no I/O. Times count from the start of
// a run and only grow, give or take what goroutines are late by. One goroutine at a
// time may use it; Shared guards one that many use.
package oracle

import (
	"fmt"
	"time"

	"heathgap/decide"
)

// Rule names what can be broken.
type Rule string

// The rules. The first three are parts of one: each request taken has exactly one
// final answer, in time, and nothing is sent for it after that.
const (
	LostRequest     Rule = "lost"           // no whole answer in time, though the client was there
	AnsweredTwice   Rule = "answered_twice" // a second answer to one request
	SentAfterAnswer Rule = "sent_after"     // an attempt reached an endpoint after the final answer
	DuplicateEffect Rule = "doubled"        // an effect that may not happen twice did
	SentToDrained   Rule = "drained"        // new work for an endpoint that was told to drain
	OverloadedCold  Rule = "pushed_over"    // a cold endpoint was pushed over
)

// Rules are all rules, in the order of a record.
var Rules = []Rule{LostRequest, AnsweredTwice, SentAfterAnswer, DuplicateEffect, SentToDrained, OverloadedCold}

// maxViolations bounds the breaks that are kept with their words; all are counted.
const maxViolations = 100

// Violation is one case of a broken rule.
type Violation struct {
	Rule Rule          `json:"rule"`
	At   time.Duration `json:"at_ns"`
	What string        `json:"what"`
}

// Conf holds the figures of the rules.
type Conf struct {
	AnswerSlack    time.Duration // an answer may be so much later than the client's time
	DrainGrace     time.Duration // sends to a draining endpoint end within it
	AskEvery       time.Duration // a sidecar that has not asked for so long counts as told
	DeliveredAfter time.Duration // what discovery has counts as told after so long, whether or not it came; 0 for never
	Margin         time.Duration // added to each limit in time: sockets and goroutines are late by some
}

// Verdict is a client's final answer.
type Verdict uint8

// The verdicts.
const (
	Served Verdict = iota
	Refused
	Failed
	Malformed
	verdicts
)

// Request is what a client asks of a sidecar, once.
type Request struct {
	ID       string
	Sidecar  string
	Tier     int
	Effect   decide.Effect
	Key      string
	Deadline time.Duration // when the client's time is up
}

// Tally counts what one sidecar was asked and what came of it.
type Tally struct {
	Requests    int           `json:"asked"` // written whole to it
	Answers     [verdicts]int `json:"answers"`
	ClientLeft  int           `json:"left"`       // its client went, or its time was up without an answer
	Interrupted int           `json:"cut"`        // ended with the sidecar, which the lab had stopped
	Arrivals    int           `json:"arrivals"`   // attempts that came whole to endpoints
	Runs        int           `json:"runs"`       // of them, those that ran
	Rejected    int           `json:"turned_off"` // of them, those turned away
}

// request is one that is open, or ended lately enough that something of it may
// still come.
type request struct {
	Request
	tally    *Tally
	written  bool
	answered bool
	ended    bool          // by whatever
	endAt    time.Duration // the answer, or when the client's time was up
	arrived  bool          // an attempt has come to an endpoint
	runs     int           // with an effect of their own
}

// Checker is the account.
type Checker struct {
	conf            Conf
	requests        map[string]*request
	byStart         []*request // by when they were asked, for Fold
	tallies         map[string]*Tally
	listState       listState
	violationCounts map[Rule]int
	violations      []Violation
	unknownAttempts int // attempts for requests that no client sent
	runsByKey       map[string]int
	clientRepeats   int // effects that clients doubled themselves, by asking again under one key
}

// New returns an empty book.
func New(conf Conf) *Checker {
	return &Checker{
		conf: conf, requests: map[string]*request{}, tallies: map[string]*Tally{},
		listState: newListState(conf), violationCounts: map[Rule]int{}, runsByKey: map[string]int{},
	}
}

func (c *Checker) recordViolation(rule Rule, at time.Duration, format string, args ...any) {
	c.violationCounts[rule]++
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, Violation{rule, at, fmt.Sprintf(format, args...)})
	}
}

func (c *Checker) tally(sidecar string) *Tally {
	t := c.tallies[sidecar]
	if t == nil {
		t = &Tally{}
		c.tallies[sidecar] = t
	}
	return t
}

// RequestBegun books a request that a client is about to write.
func (c *Checker) RequestBegun(r Request) {
	q := &request{Request: r, tally: c.tally(r.Sidecar)}
	c.requests[r.ID] = q
	c.byStart = append(c.byStart, q)
}

// RequestWritten books that a request was written whole.
func (c *Checker) RequestWritten(id string) {
	if q := c.requests[id]; q != nil && !q.written {
		q.written = true
		q.tally.Requests++
	}
}

// RetractRequest takes back a request that could not be written whole, or whose
// connection a sidecar closed as it crossed: true if no attempt for it has come to
// an endpoint, so that the client may send it once more.
func (c *Checker) RetractRequest(id string) bool {
	q := c.requests[id]
	if q == nil || q.arrived {
		return false
	}
	if q.written {
		q.tally.Requests--
	}
	q.ended = true
	delete(c.requests, id)
	return true
}

// AnswerReceived books a whole answer.
func (c *Checker) AnswerReceived(at time.Duration, id string, v Verdict) {
	q := c.requests[id]
	if q == nil || q.answered {
		c.recordViolation(AnsweredTwice, at, "request %s: answered once more", id)
		return
	}
	q.answered = true
	if q.ended {
		return // its client had gone
	}
	q.ended, q.endAt = true, at
	q.tally.Answers[v]++
	if late := at - q.Deadline - c.conf.AnswerSlack - c.conf.Margin; late > 0 {
		c.recordViolation(LostRequest, at, "request %s at %s: answered %v too late", id, q.Sidecar, late)
	}
}

// ExtraBytes books bytes behind a whole answer that belong to no request.
func (c *Checker) ExtraBytes(at time.Duration, id string) {
	c.recordViolation(AnsweredTwice, at, "request %s: more came behind its answer", id)
}

// ForeignAnswer books a whole answer that no endpoint made for the request.
func (c *Checker) ForeignAnswer(at time.Duration, id string) {
	c.AnswerReceived(at, id, Failed)
	c.recordViolation(LostRequest, at, "request %s: served with what was made for another", id)
}

// Unanswered books that a connection ended without a whole answer, or that none
// had come when the client's time and all slack was over.
func (c *Checker) Unanswered(at time.Duration, id string) {
	q := c.requests[id]
	if q == nil || q.ended {
		return
	}
	q.ended, q.endAt = true, at
	q.tally.ClientLeft++
	c.recordViolation(LostRequest, at, "request %s at %s: no answer", id, q.Sidecar)
}

// ClientLeft books that a client has gone by itself.
func (c *Checker) ClientLeft(at time.Duration, id string) {
	if q := c.requests[id]; q != nil && !q.ended {
		q.ended = true
		q.endAt = q.Deadline + c.conf.AnswerSlack // its sidecar need not notice before
		q.tally.ClientLeft++
	}
}

// RequestInterrupted books that a request ended with its sidecar, which the lab had stopped: a
// loss for the client, and no broken rule.
func (c *Checker) RequestInterrupted(at time.Duration, id string) {
	if q := c.requests[id]; q != nil && !q.ended {
		q.ended = true
		q.endAt = q.Deadline + c.conf.AnswerSlack
		q.tally.Interrupted++
	}
}

// Arrival is an attempt that came whole to an endpoint.
type Arrival struct {
	ID        string
	Endpoint  string
	FirstByte time.Duration // its first byte
	LastByte  time.Duration // its last byte
	Accepted  bool          // it was not turned away
	Repeat    bool          // its key was known: it has no effect of its own
}

// AttemptArrived books an attempt. It returns false for one that no client sent.
func (c *Checker) AttemptArrived(a Arrival) bool {
	q := c.requests[a.ID]
	if q == nil {
		c.unknownAttempts++
		return false
	}
	q.arrived = true
	q.tally.Arrivals++
	c.checkSentToDrained(q, a)
	limit := q.Deadline + c.conf.AnswerSlack
	if q.ended {
		limit = min(limit, q.endAt)
	}
	if late := a.FirstByte - limit - c.conf.Margin; late > 0 {
		c.recordViolation(SentAfterAnswer, a.FirstByte, "request %s: sent to %s %v after its end", a.ID, a.Endpoint, late)
	}
	if !a.Accepted {
		q.tally.Rejected++
		return true
	}
	q.tally.Runs++
	if !a.Repeat {
		q.runs++
		c.checkDuplicateEffect(q, a)
	}
	return true
}

// checkDuplicateEffect looks whether an effect has happened twice: by one request, or by
// several that clients sent under one key, which is their own doing.
func (c *Checker) checkDuplicateEffect(q *request, a Arrival) {
	switch q.Effect {
	case decide.Unsafe:
		if q.runs > 1 {
			c.recordViolation(DuplicateEffect, a.LastByte, "request %s: ran once more, at %s", a.ID, a.Endpoint)
		}
	case decide.Keyed:
		if q.runs > 1 {
			c.recordViolation(DuplicateEffect, a.LastByte, "request %s: ran once more under key %s, at %s", a.ID, q.Key, a.Endpoint)
			return
		}
		c.runsByKey[q.Key]++
		if c.runsByKey[q.Key] > 1 {
			c.clientRepeats++
		}
	}
}

// checkSentToDrained looks whether the sidecar counts as told that the endpoint drains, or is gone.
func (c *Checker) checkSentToDrained(q *request, a Arrival) {
	at, bound := c.listState.withdrawnSince(q.Sidecar, a.Endpoint, a.FirstByte)
	if !bound {
		return
	}
	if late := a.FirstByte - at - c.conf.DrainGrace - c.conf.Margin; late > 0 {
		c.recordViolation(SentToDrained, a.FirstByte, "request %s: sent by %s to %s %v after the grace", a.ID, q.Sidecar, a.Endpoint, late)
	}
}

// EndpointOverloaded books that a cold endpoint was pushed over.
func (c *Checker) EndpointOverloaded(at time.Duration, endpoint string) {
	c.recordViolation(OverloadedCold, at, "endpoint %s: sent too much for too long while it was cold", endpoint)
}

// retention is how long a request is kept after its time: what is sent for it by then
// is still held against it.
const retention = 10 * time.Second

// Prune forgets the requests of which nothing can come any more.
func (c *Checker) Prune(now time.Duration) {
	n := 0
	for n < len(c.byStart) && c.byStart[n].Deadline+retention < now {
		q := c.byStart[n]
		if c.requests[q.ID] == q {
			delete(c.requests, q.ID)
		}
		n++
	}
	c.byStart = c.byStart[n:]
}

// Report is what the book says.
type Report struct {
	Rules      map[Rule]int      `json:"rules"`
	Violations []Violation       `json:"breaks"`   // the first hundred
	Sidecars   map[string]*Tally `json:"sidecars"` // what each was asked
	Open       int               `json:"open"`     // requests without an end
	Unknown    int               `json:"unknown"`  // attempts that no client sent
	Repeats    int               `json:"repeats"`  // effects that clients doubled by their own repeats
}

// Close returns the account.
func (c *Checker) Close() Report {
	r := Report{Rules: map[Rule]int{}, Violations: c.violations, Sidecars: c.tallies, Unknown: c.unknownAttempts, Repeats: c.clientRepeats}
	for _, rule := range Rules {
		r.Rules[rule] = c.violationCounts[rule]
	}
	for _, q := range c.byStart {
		if q.written && !q.ended {
			r.Open++
		}
	}
	return r
}

// NumViolations is how many rules were broken in all.
func (r *Report) NumViolations() int {
	n := 0
	for _, count := range r.Rules {
		n += count
	}
	return n
}

// Balance tells what of an account does not add up: each request written to a
// sidecar has one end.
func (r *Report) Balance() error {
	for name, t := range r.Sidecars {
		ends := t.ClientLeft + t.Interrupted
		for _, n := range t.Answers {
			ends += n
		}
		if ends != t.Requests {
			return fmt.Errorf("sidecar %s: asked %d, ended %d: %+v", name, t.Requests, ends, *t)
		}
	}
	if r.Open > 0 {
		return fmt.Errorf("%d requests have no end", r.Open)
	}
	if r.Unknown > 0 {
		return fmt.Errorf("%d attempts for requests that no client sent", r.Unknown)
	}
	return nil
}
