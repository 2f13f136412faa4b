// Package metrics holds the counters and gauges of a sidecar, those of requests by class. They can be read while they
// change. The totals in the log come from the same counters.
package metrics

import (
	"slices"
	"strconv"
	"sync/atomic"
)

// End is how a request that the sidecar accepted has ended.
type End uint8

// The ends of a request.
const (
	Served     End = iota
	Refused        // answered 429 or 503: trying again is harmless
	Failed         // any other answer, or one that was interrupted
	CallerLeft     // the caller disconnected before its answer
	numEnds
)

// endNames are the metric names of the ends. CallerLeft has no metric.
var endNames = [...]string{Served: "ok", Refused: "shed", Failed: "errors"}

// prefix precedes each metric's name.
const prefix = "sidecar."

// Set holds all metrics of one process, counted from 0 at its start. It is safe for concurrent use.
type Set struct {
	names   []string // the classes, sorted
	classes map[string]*[numEnds]atomic.Int64

	Attempts atomic.Int64 // attempts written completely to endpoints
	Active   atomic.Int64 // requests accepted whose answer is not written completely
	UsedIDs  atomic.Int64 // requests that came with an id that was used before
	Pool     atomic.Int64 // endpoints in the list
	Ejected  atomic.Int64 // endpoints in the list that are avoided at present

	ListCalls   ListCalls    // calls to discovery
	ListStaleMS atomic.Int64 // for how long discovery may have had a newer list, in milliseconds; 0 while the list is up to date
}

// New returns the metrics of a process with these classes.
func New(classes []string) *Set {
	s := &Set{names: slices.Sorted(slices.Values(classes)), classes: map[string]*[numEnds]atomic.Int64{}}
	for _, name := range classes {
		s.classes[name] = new([numEnds]atomic.Int64)
	}
	return s
}

// Count records the end of a request. It ignores a class that the set does not know: no request of such a class is ever
// accepted.
func (s *Set) Count(class string, end End) {
	if c := s.classes[class]; c != nil {
		c[end].Add(1)
	}
}

// Total returns how many requests of all classes have ended in this way.
func (s *Set) Total(end End) int {
	n := int64(0)
	for _, c := range s.classes {
		n += c[end].Load()
	}
	return int(n)
}

// Append writes all metrics, one per line: counters as name:value|c, gauges as name:value|g.
func (s *Set) Append(text []byte) []byte {
	for _, class := range s.names {
		for end, name := range endNames {
			text = Append(text, name+"."+class, s.classes[class][end].Load(), Counter)
		}
	}
	text = Append(text, "tries", s.Attempts.Load(), Counter)
	text = Append(text, "used_ids", s.UsedIDs.Load(), Counter)
	text = Append(text, "active", s.Active.Load(), Gauge)
	text = Append(text, "pool_size", s.Pool.Load(), Gauge)
	text = Append(text, "pool_ejected", s.Ejected.Load(), Gauge)
	text = s.ListCalls.appendMetrics(text)
	return Append(text, "list_unheard_ms", s.ListStaleMS.Load(), Gauge)
}

// The kinds of metrics.
const (
	Counter = 'c' // counted from 0 at the process's start
	Gauge   = 'g'
)

// Append writes the line of one metric.
func Append(text []byte, name string, value int64, kind byte) []byte {
	text = append(append(append(text, prefix...), name...), ':')
	text = strconv.AppendInt(text, value, 10)
	return append(text, '|', kind, '\n')
}
