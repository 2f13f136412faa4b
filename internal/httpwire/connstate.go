package httpwire

import (
	"cmp"
	"strings"
)

// ConnState says what a caller's connection is doing. It is written in log lines; docs/oncall.md explains each state.
type ConnState string

// The states of a caller's connection.
const (
	StateIdle      ConnState = "idle"      // no request has begun to come
	StateReading   ConnState = "reading"   // a request has begun to come, but has not come completely
	StateClaiming  ConnState = "claiming"  // the key of a request is being claimed; no attempt has been sent
	StatePending   ConnState = "pending"   // a request waits for its answer
	StateRecording ConnState = "recording" // the outcome of a request is being recorded before its answer is given
	StateAnswered  ConnState = "answered"  // the server has the answer to a request; it may not be written yet
	StateClosed    ConnState = "closed"    // this side has closed it, and reads what still comes
)

// State returns what the connection is doing.
func (c *CallerConn) State() ConnState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state()
}

// state implements State; c.mu is held.
func (c *CallerConn) state() ConnState {
	switch {
	case c.closed:
		return StateClosed
	case c.answered:
		return StateAnswered
	case c.pending:
		return cmp.Or(c.pendingState, StatePending)
	case c.busy:
		return StateReading
	}
	return StateIdle
}

// SetPendingState records what the pending request waits for: StateClaiming, StatePending or StateRecording. It is StatePending until the
// first call, and again with the next request.
func (c *CallerConn) SetPendingState(state ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingState = state
}

// EndState returns what the connection was doing when this side closed it, and how many bytes were read and dropped
// after that. It is valid once the connection has ended.
func (c *CallerConn) EndState() (state ConnState, dropped int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endState, c.dropped
}

// SetRequestID records the caller's id of the request that the connection brought last.
func (c *CallerConn) SetRequestID(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestID = id
}

// RequestID returns the id that SetRequestID recorded last; "" without one.
func (c *CallerConn) RequestID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestID
}

// maxProblem is the most that is kept of a problem's text, in bytes.
const maxProblem = 80

// SetProblem records why a request was answered 400, for the log.
func (c *CallerConn) SetProblem(problem string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.problem = strings.Clone(problem[:min(len(problem), maxProblem)])
}

// Problem returns what SetProblem recorded last; "" without one.
func (c *CallerConn) Problem() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.problem
}

// States counts the connections by what they are doing.
func (l *Callers) States() map[ConnState]int {
	states := map[ConnState]int{}
	for _, c := range l.all() {
		states[c.State()]++
	}
	return states
}

// EachOpen calls a function for each open connection.
func (l *Callers) EachOpen(visit func(*CallerConn)) {
	for _, c := range l.all() {
		visit(c)
	}
}

// Unanswered returns the number of connections with a request that has come, completely or in part, and whose answer is
// not written yet.
func (l *Callers) Unanswered() int {
	states := l.States()
	return states[StateReading] + states[StateClaiming] + states[StatePending] + states[StateRecording] + states[StateAnswered]
}
