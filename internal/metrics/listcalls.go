package metrics

import (
	"sync/atomic"

	"github.com/rs/zerolog"
)

// ListCallEnd says how a call to discovery ended.
type ListCallEnd uint8

// The ends of a call to discovery. Only the first brings a list.
const (
	ListAnswered     ListCallEnd = iota
	ListRefused                  // answered with a status other than 200
	ListMalformed                // answered with what is no list
	ListTimedOut                 // no answer in time, or one that stood still
	ListBroken                   // its connection ended before a whole answer
	ListNotConnected             // there was no connection
	ListCanceled                 // this sidecar ended it: a reload, its own end, another call that was answered first
	numListCallEnds
)

var listCallEndNames = [numListCallEnds]string{
	"answered", "refused", "malformed", "silent", "broken", "not_connected", "called_off",
}

// String is the end's name in log and figures.
func (e ListCallEnd) String() string { return listCallEndNames[e] }

// ListCalls counts calls to discovery by their ends. Any goroutine may count and read.
type ListCalls [numListCallEnds]atomic.Int64

// Count books a call that has ended.
func (c *ListCalls) Count(end ListCallEnd) { c[end].Add(1) }

// MarshalZerologObject writes the counts into a log line.
func (c *ListCalls) MarshalZerologObject(ev *zerolog.Event) {
	for end := range c {
		ev.Int64(listCallEndNames[end], c[end].Load())
	}
}

// appendMetrics writes the counts as figures, a line each.
func (c *ListCalls) appendMetrics(text []byte) []byte {
	for end := range c {
		text = Append(text, "list_calls."+listCallEndNames[end], c[end].Load(), Counter)
	}
	return text
}
