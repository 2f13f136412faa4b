// Package sim runs the sidecar's network code in a simulated world: virtual time, connections that
// carry real bytes, and models of endpoints, discovery, clients and faults. Everything in a run
// follows from one seed. After each step the simulation checks the rules of package oracle and the
// consistency of the engine's internal counts.
//
// The sidecar's goroutines are real and run in a testing/synctest bubble. A goroutine parks before
// each action that others can observe (a read, a write, a dial, the start of a goroutine, a timer)
// until the scheduler releases it. The scheduler acts only when all goroutines are blocked, and uses
// the seed to pick one of the steps that are ready. So no two goroutines run at once, and the order
// of steps is always the scheduler's choice.
package sim

import (
	"fmt"
	"hash"
	"hash/fnv"
	"io"
	"math"
	"slices"
	"strings"
	"sync"
	"time"
)

// pendingOp is an operation of a parked goroutine, which waits until the scheduler releases it.
type pendingOp struct {
	key     string                   // unique among the parked operations
	ready   func(now time.Time) bool // reports whether the operation may proceed; nil for always
	due     func() time.Time         // when the operation becomes ready without any other event; the zero time for never
	release chan struct{}
}

// event is an action of the simulated world that is due at a given time.
type event struct {
	key      string
	at       time.Time
	do       func()
	canceled bool // it was called off
}

// World is the simulated world. Only steps change the state of its models; the mutex guards what
// parking goroutines share with the scheduler.
type World struct {
	waitIdle func() // blocks until all other goroutines of the bubble are blocked
	seed     uint64
	wake     chan struct{}

	mu     sync.Mutex
	parked []*pendingOp
	events []*event
	closed bool // the run is over: operations no longer park

	start      time.Time
	steps      int
	traceHash  hash.Hash64
	trace      io.Writer // one line per step; nil for none
	check      func() error
	rareEvents map[RareEvent]int
}

// RareEvent is a coincidence of events that the tests count, to see that the seeds bring it about.
type RareEvent string

// The coincidences that a run counts.
const (
	SimultaneousTimers RareEvent = "two timers due in one instant"
	AnswerWithTimer    RareEvent = "an answer in the instant of a timer"
	CancelWhileSending RareEvent = "an attempt called off while its last bytes are on their way"
	DrainDuringDial    RareEvent = "a drain told while a dial to that endpoint is under way"
	KillBeforeSend     RareEvent = "a sidecar killed between a request and its first attempt"
	ReloadDuringWatch  RareEvent = "a reload while a watch waits"
)

// RareEvents lists all of them.
var RareEvents = []RareEvent{SimultaneousTimers, AnswerWithTimer, CancelWhileSending, DrainDuringDial, KillBeforeSend, ReloadDuringWatch}

// countRareEvents counts the coincidences among the steps that are ready at one instant.
func (w *World) countRareEvents(steps []step) {
	timers, timerReady, answerReady := 0, false, false
	for _, s := range steps {
		isTimer := strings.Contains(s.key, "/timer/")
		if isTimer {
			timers++
			timerReady = true
		}
		answerReady = answerReady || strings.Contains(s.key, "/dial/") && strings.HasSuffix(s.key, "/in")
	}
	if timers > 1 {
		w.rareEvents[SimultaneousTimers]++
	}
	if timerReady && answerReady {
		w.rareEvents[AnswerWithTimer]++
	}
}

// newWorld returns a world whose scheduling follows from the seed. wait is synctest.Wait.
func newWorld(seed uint64, wait func(), trace io.Writer) *World {
	return &World{
		waitIdle: wait, seed: mix(seed + 1), wake: make(chan struct{}, 1), start: time.Now(),
		traceHash: fnv.New64a(), trace: trace, rareEvents: map[RareEvent]int{},
	}
}

// now is the virtual time since the start of the world.
func (w *World) now() time.Duration { return time.Since(w.start) }

// wakeScheduler makes a sleeping scheduler check again which steps are ready.
func (w *World) wakeScheduler() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// park blocks the calling goroutine until the scheduler releases it. The scheduler calls ready and
// due with w.mu held. With a nil ready the operation is ready at once.
func (w *World) park(key string, ready func(now time.Time) bool, due func() time.Time) {
	o := &pendingOp{key: key, ready: ready, due: due, release: make(chan struct{})}
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.parked = append(w.parked, o)
	w.mu.Unlock()
	w.wakeScheduler()
	<-o.release
}

// schedule adds an event at a given time and returns it, so that the caller can cancel it.
func (w *World) schedule(key string, at time.Time, do func()) *event {
	e := &event{key: key, at: at, do: do}
	w.mu.Lock()
	w.events = append(w.events, e)
	w.mu.Unlock()
	w.wakeScheduler()
	return e
}

// scheduleAfter adds an event that is due after d.
func (w *World) scheduleAfter(key string, d time.Duration, do func()) *event {
	return w.schedule(key, time.Now().Add(d), do)
}

// cancel cancels an event that has not run yet.
func (w *World) cancel(e *event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.canceled = true
}

// step is one thing that may happen next: the release of a parked operation, or an event.
type step struct {
	key   string
	op    *pendingOp
	event *event
}

// readySteps returns the steps that may happen now, sorted by key so that their order does not depend
// on how they came about, and the time at which the next step becomes ready without another event.
func (w *World) readySteps() (steps []step, next time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	setNext := func(at time.Time) {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	w.events = slices.DeleteFunc(w.events, func(e *event) bool { return e.canceled })
	for _, e := range w.events {
		if e.at.After(now) {
			setNext(e.at)
			continue
		}
		steps = append(steps, step{key: e.key, event: e})
	}
	for _, o := range w.parked {
		if o.ready == nil || o.ready(now) {
			steps = append(steps, step{key: o.key, op: o})
			continue
		}
		if o.due != nil {
			setNext(o.due())
		}
	}
	slices.SortFunc(steps, func(a, b step) int { return strings.Compare(a.key, b.key) })
	return steps, next
}

// run executes steps until done returns true, a check fails, or no step can ever become ready.
func (w *World) run(done func() bool) error {
	for {
		w.waitIdle()
		if w.check != nil {
			if err := w.check(); err != nil {
				return err
			}
		}
		if done() {
			return nil
		}
		steps, next := w.readySteps()
		if len(steps) > 0 {
			w.countRareEvents(steps)
			w.execute(w.pick(steps), len(steps))
			continue
		}
		if next.IsZero() {
			return fmt.Errorf("step %d at %v: nothing is left to come", w.steps, w.now())
		}
		select {
		case <-time.After(time.Until(next)):
		case <-w.wake:
		}
	}
}

// pick chooses among the ready steps the one with the lowest hash of the seed, the step's key and the
// time. The choice depends on nothing else, so that the remaining steps keep their order when Shrink
// leaves parts of a script out.
func (w *World) pick(steps []step) step {
	lowest, chosen := uint64(math.MaxUint64), 0
	now := uint64(w.now())
	for i, s := range steps {
		if draw := mix(w.seed ^ mix(hashOf(s.key)^mix(now))); draw < lowest {
			lowest, chosen = draw, i
		}
	}
	return steps[chosen]
}

// mix spreads the bits of a number (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// execute runs one step, and adds it to the trace and its hash. choices is how many steps were ready.
func (w *World) execute(s step, choices int) {
	w.steps++
	line := fmt.Sprintf("%d %d %s %d\n", w.steps, w.now(), s.key, choices)
	io.WriteString(w.traceHash, line) //nolint:errcheck // writing to a hash never fails
	if w.trace != nil {
		io.WriteString(w.trace, line) //nolint:errcheck // a failed write shows as a truncated trace
	}
	w.mu.Lock()
	if s.op != nil {
		w.parked = slices.DeleteFunc(w.parked, func(o *pendingOp) bool { return o == s.op })
		w.mu.Unlock()
		close(s.op.release)
		return
	}
	w.events = slices.DeleteFunc(w.events, func(e *event) bool { return e == s.event })
	w.mu.Unlock()
	s.event.do()
}

// releaseAll ends the scheduling: it releases all parked goroutines, and none parks afterwards.
func (w *World) releaseAll() {
	w.mu.Lock()
	w.closed = true
	parked := w.parked
	w.parked, w.events = nil, nil
	w.mu.Unlock()
	for _, o := range parked {
		close(o.release)
	}
}
