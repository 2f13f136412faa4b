// Package metrics holds what a sidecar counts for its operators: one set of counts
// for each class, read while they change. The log's sums come from the same counts.
package metrics

import (
	"slices"
	"strconv"
	"sync/atomic"
)

// End says how a request that was taken has ended.
type End uint8

// The ends.
const (
	Served     End = iota
	Refused        // answered 429 or 503: trying again is harmless
	Failed         // any other answer, or one that broke off half way
	CallerLeft     // its caller went before its answer
	numEnds
)

// endNames are the figures' names of ends; one whose caller has gone has no figure.
var endNames = [...]string{Served: "ok", Refused: "shed", Failed: "errors"}

// prefix stands before each figure's name.
const prefix = "sidecar."

// Set is all figures of one process, from 0 at its start. Any goroutine may count
// and read.
type Set struct {
	names   []string // of classes, sorted
	classes map[string]*[numEnds]atomic.Int64

	Attempts atomic.Int64 // attempts written whole to endpoints
	Active   atomic.Int64 // requests taken whose answer is not written to its end
	Pool     atomic.Int64 // endpoints in the list
	Ejected  atomic.Int64 // of them those that are avoided now

	ListCalls   ListCalls    // calls to discovery
	ListStaleMS atomic.Int64 // milliseconds for which discovery may have had news that have not come; 0 while none are missed
}

// New returns a board for classes with these names.
func New(classes []string) *Set {
	s := &Set{names: slices.Sorted(slices.Values(classes)), classes: map[string]*[numEnds]atomic.Int64{}}
	for _, name := range classes {
		s.classes[name] = new([numEnds]atomic.Int64)
	}
	return s
}

// Count books the end of a request. A class that the board does not know is passed
// over: no request of one is ever taken.
func (s *Set) Count(class string, end End) {
	if c := s.classes[class]; c != nil {
		c[end].Add(1)
	}
}

// Total is how many requests of all classes have ended so.
func (s *Set) Total(end End) int {
	n := int64(0)
	for _, c := range s.classes {
		n += c[end].Load()
	}
	return int(n)
}

// Append writes all figures, a line each: counts as name:value|c, present values as
// name:value|g.
func (s *Set) Append(text []byte) []byte {
	for _, class := range s.names {
		for end, name := range endNames {
			text = Append(text, name+"."+class, s.classes[class][end].Load(), Counter)
		}
	}
	text = Append(text, "tries", s.Attempts.Load(), Counter)
	text = Append(text, "active", s.Active.Load(), Gauge)
	text = Append(text, "pool_size", s.Pool.Load(), Gauge)
	text = Append(text, "pool_ejected", s.Ejected.Load(), Gauge)
	text = s.ListCalls.appendMetrics(text)
	return Append(text, "list_unheard_ms", s.ListStaleMS.Load(), Gauge)
}

// The kinds of figures.
const (
	Counter = 'c' // from 0 at the process's start
	Gauge   = 'g'
)

// Append writes one figure's line.
func Append(text []byte, name string, value int64, kind byte) []byte {
	text = append(append(append(text, prefix...), name...), ':')
	text = strconv.AppendInt(text, value, 10)
	return append(text, '|', kind, '\n')
}
