// Package oracle is the lab's checker. It records what clients sent and received and
// which attempts reached endpoints, without reading anything that a sidecar reports
// about itself. From these records it checks the rules that sidecars must keep and
// computes the service that clients got.
//
// The checker is pure: it has no clock and does no I/O. Times count from the start of
// a run and only grow, apart from the delay of the goroutines that record them. Checker
// is not safe for concurrent use; Shared guards one that several goroutines use.
package oracle

import (
	"fmt"
	"time"

	"heathgap/decide"
)

// Rule names a rule that a sidecar can violate.
type Rule string

// The rules. The first three are parts of one rule: each accepted request gets exactly
// one final answer, in time, and no attempt is sent for it afterwards.
const (
	LostRequest     Rule = "lost"           // no complete answer in time, although the client was still waiting
	AnsweredTwice   Rule = "answered_twice" // a second answer to one request
	SentAfterAnswer Rule = "sent_after"     // an attempt reached an endpoint after the final answer
	DuplicateEffect Rule = "doubled"        // an effect that must happen at most once happened again
	SentToDrained   Rule = "drained"        // a request was sent to a draining or removed endpoint after the grace period
	OverloadedCold  Rule = "pushed_over"    // an endpoint was overloaded while it was cold
)

// Rules lists all rules, in the order of a run's record.
var Rules = []Rule{LostRequest, AnsweredTwice, SentAfterAnswer, DuplicateEffect, SentToDrained, OverloadedCold}

// maxViolations bounds the violations that are kept with a description; all are counted.
const maxViolations = 100

// Violation is one case in which a rule was violated.
type Violation struct {
	Rule Rule          `json:"rule"`
	At   time.Duration `json:"at_ns"`
	What string        `json:"what"`
}

// Conf holds the time limits of the rules.
type Conf struct {
	AnswerSlack    time.Duration // how long after the client's deadline an answer may come
	DrainGrace     time.Duration // how long after it learned of the drain a sidecar may send to a draining endpoint
	PollEvery      time.Duration // poll interval: a change counts as delivered so long after a sidecar's last list call; 0 for never
	DeliveredAfter time.Duration // a published change counts as delivered after this time even if it was not; 0 for never
	Margin         time.Duration // added to each time limit, for delays of sockets and goroutines
}

// Verdict is the kind of final answer that a client received.
type Verdict uint8

// The verdicts.
const (
	Served Verdict = iota
	Refused
	Failed
	Malformed
	verdicts
)

// Request is a request that a client sends to a sidecar once.
type Request struct {
	ID       string
	Sidecar  string
	Tier     int
	Effect   decide.Effect
	Key      string
	Deadline time.Duration // when the client stops waiting
}

// Tally counts the requests to one sidecar and their outcomes.
type Tally struct {
	Requests    int           `json:"asked"` // written completely to it
	Answers     [verdicts]int `json:"answers"`
	ClientLeft  int           `json:"left"`       // the client left, or got no complete answer before its connection ended or its time was up
	Interrupted int           `json:"cut"`        // ended because the lab stopped the sidecar
	Arrivals    int           `json:"arrivals"`   // attempts that reached endpoints completely
	Runs        int           `json:"runs"`       // arrivals that endpoints ran
	Rejected    int           `json:"turned_off"` // arrivals that endpoints rejected
}

// request is a request that is open, or that ended so recently that attempts or bytes
// of it may still arrive.
type request struct {
	Request
	tally    *Tally
	written  bool
	answered bool
	ended    bool          // for whatever reason
	endAt    time.Duration // when it ended; attempts that arrive later violate SentAfterAnswer
	arrived  bool          // an attempt has reached an endpoint
	runs     int           // runs that had an effect, repeats of a known key excluded
}

// Checker holds the records of a run and the violations found so far.
type Checker struct {
	conf            Conf
	requests        map[string]*request
	byStart         []*request // in the order in which they were sent, for Prune
	tallies         map[string]*Tally
	listState       listState
	violationCounts map[Rule]int
	violations      []Violation
	unknownAttempts int // attempts for requests that no client sent
	runsByKey       map[string]int
	clientRepeats   int // effects that clients duplicated themselves, by sending one key again
}

// New returns a checker without records.
func New(conf Conf) *Checker {
	return &Checker{
		conf: conf, requests: map[string]*request{}, tallies: map[string]*Tally{},
		listState: newListState(conf), violationCounts: map[Rule]int{}, runsByKey: map[string]int{},
	}
}

// recordViolation counts a violation, and keeps its description if it is among the first maxViolations.
func (c *Checker) recordViolation(rule Rule, at time.Duration, format string, args ...any) {
	c.violationCounts[rule]++
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, Violation{rule, at, fmt.Sprintf(format, args...)})
	}
}

// tally returns the counts of a sidecar, which it creates if there are none.
func (c *Checker) tally(sidecar string) *Tally {
	t := c.tallies[sidecar]
	if t == nil {
		t = &Tally{}
		c.tallies[sidecar] = t
	}
	return t
}

// RequestBegun records a request that a client is about to write.
func (c *Checker) RequestBegun(r Request) {
	q := &request{Request: r, tally: c.tally(r.Sidecar)}
	c.requests[r.ID] = q
	c.byStart = append(c.byStart, q)
}

// RequestWritten records that a request was written completely.
func (c *Checker) RequestWritten(id string) {
	if q := c.requests[id]; q != nil && !q.written {
		q.written = true
		q.tally.Requests++
	}
}

// RetractRequest removes a request that could not be written completely, or whose
// connection the sidecar closed while the request was on its way. It returns true if no
// attempt for it has reached an endpoint, so that the client may send it again.
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

// AnswerReceived records a complete answer.
func (c *Checker) AnswerReceived(at time.Duration, id string, v Verdict) {
	q := c.requests[id]
	if q == nil || q.answered {
		c.recordViolation(AnsweredTwice, at, "request %s: answered once more", id)
		return
	}
	q.answered = true
	if q.ended {
		return // its client had left
	}
	q.ended, q.endAt = true, at
	q.tally.Answers[v]++
	if late := at - q.Deadline - c.conf.AnswerSlack - c.conf.Margin; late > 0 {
		c.recordViolation(LostRequest, at, "request %s at %s: answered %v too late", id, q.Sidecar, late)
	}
}

// ExtraBytes records bytes after a complete answer that belong to no request.
func (c *Checker) ExtraBytes(at time.Duration, id string) {
	c.recordViolation(AnsweredTwice, at, "request %s: more came behind its answer", id)
}

// ForeignAnswer records a complete answer that no endpoint made for this request.
func (c *Checker) ForeignAnswer(at time.Duration, id string) {
	c.AnswerReceived(at, id, Failed)
	c.recordViolation(LostRequest, at, "request %s: served with what was made for another", id)
}

// Unanswered records that a connection ended without a complete answer, or that no
// complete answer had come when the client's deadline and all slack had passed.
func (c *Checker) Unanswered(at time.Duration, id string) {
	q := c.requests[id]
	if q == nil || q.ended {
		return
	}
	q.ended, q.endAt = true, at
	q.tally.ClientLeft++
	c.recordViolation(LostRequest, at, "request %s at %s: no answer", id, q.Sidecar)
}

// ClientLeft records that a client gave up its request by itself.
func (c *Checker) ClientLeft(at time.Duration, id string) {
	if q := c.requests[id]; q != nil && !q.ended {
		q.ended = true
		q.endAt = q.Deadline + c.conf.AnswerSlack // the sidecar need not notice earlier
		q.tally.ClientLeft++
	}
}

// RequestInterrupted records that a request ended because the lab stopped its sidecar. The
// client loses its request, but no rule is violated.
func (c *Checker) RequestInterrupted(at time.Duration, id string) {
	if q := c.requests[id]; q != nil && !q.ended {
		q.ended = true
		q.endAt = q.Deadline + c.conf.AnswerSlack
		q.tally.Interrupted++
	}
}

// Arrival is an attempt that reached an endpoint completely.
type Arrival struct {
	ID        string
	Endpoint  string
	FirstByte time.Duration // when its first byte arrived
	LastByte  time.Duration // when its last byte arrived
	Accepted  bool          // the endpoint did not reject it
	Repeat    bool          // the endpoint knew its key, so it had no effect of its own
}

// AttemptArrived records an attempt and checks the rules on it. It returns false for an
// attempt whose request no client sent.
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

// checkDuplicateEffect checks whether an effect has happened twice. Two runs of one unsafe
// or keyed request are a violation; runs of several requests that clients sent under one
// key are counted as repeats by the clients.
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

// checkSentToDrained checks whether an attempt began after the grace period of an endpoint that drains or was removed,
// counted from when the sidecar learned of it or counts as having learned of it.
func (c *Checker) checkSentToDrained(q *request, a Arrival) {
	at, known := c.listState.withdrawnSince(q.Sidecar, a.Endpoint, a.FirstByte)
	if !known {
		return
	}
	if late := a.FirstByte - at - c.conf.DrainGrace - c.conf.Margin; late > 0 {
		c.recordViolation(SentToDrained, a.FirstByte, "request %s: sent by %s to %s %v after the grace", a.ID, q.Sidecar, a.Endpoint, late)
	}
}

// EndpointOverloaded records that an endpoint was overloaded while it was cold.
func (c *Checker) EndpointOverloaded(at time.Duration, endpoint string) {
	c.recordViolation(OverloadedCold, at, "endpoint %s: sent too much for too long while it was cold", endpoint)
}

// retention is how long a request is kept after its deadline. Attempts that arrive for it
// until then are still checked.
const retention = 10 * time.Second

// Prune deletes the requests whose deadline passed more than retention ago, so that the
// records do not grow for as long as a run lasts.
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

// Report is the result of a run's checks.
type Report struct {
	Rules      map[Rule]int      `json:"rules"`
	Violations []Violation       `json:"breaks"`   // the first maxViolations of them
	Sidecars   map[string]*Tally `json:"sidecars"` // by name
	Open       int               `json:"open"`     // requests that were written, have no outcome and were not pruned
	Unknown    int               `json:"unknown"`  // attempts for requests that no client sent
	Repeats    int               `json:"repeats"`  // effects that clients duplicated by sending one key again
}

// Close returns the report. It counts the requests that are still open.
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

// NumViolations returns the number of violations of all rules.
func (r *Report) NumViolations() int {
	n := 0
	for _, count := range r.Rules {
		n += count
	}
	return n
}

// Balance returns an error if the counts do not add up: each request written to a
// sidecar must have exactly one outcome, and each attempt must belong to a request.
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
