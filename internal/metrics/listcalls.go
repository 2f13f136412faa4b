package metrics

import (
	"sync/atomic"

	"github.com/rs/zerolog"
)

// ListCallEnd is how a call to discovery ended.
type ListCallEnd uint8

// The ends of a call to discovery. Only ListAnswered brings a list.
const (
	ListAnswered     ListCallEnd = iota
	ListRefused                  // the answer had a status other than 200
	ListMalformed                // the answer was not a valid list
	ListTimedOut                 // no answer in time, or one that stalled
	ListBroken                   // the connection ended before a complete answer
	ListNotConnected             // no connection could be opened
	ListCanceled                 // the sidecar canceled the call: at a reload, at its own end, or because another call was answered first
	numListCallEnds
)

var listCallEndNames = [numListCallEnds]string{
	"answered", "refused", "malformed", "silent", "broken", "not_connected", "called_off",
}

// String returns the end's name in logs and metrics.
func (e ListCallEnd) String() string { return listCallEndNames[e] }

// ListCalls counts calls to discovery by how they ended. It is safe for concurrent use.
type ListCalls [numListCallEnds]atomic.Int64

// Count records the end of a call.
func (c *ListCalls) Count(end ListCallEnd) { c[end].Add(1) }

// MarshalZerologObject writes the counts into a log line.
func (c *ListCalls) MarshalZerologObject(ev *zerolog.Event) {
	for end := range c {
		ev.Int64(listCallEndNames[end], c[end].Load())
	}
}

// appendMetrics writes the counts as metrics, one per line.
func (c *ListCalls) appendMetrics(text []byte) []byte {
	for end := range c {
		text = Append(text, "list_calls."+listCallEndNames[end], c[end].Load(), Counter)
	}
	return text
}
