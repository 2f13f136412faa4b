// Package sim runs the sidecar's network code in a world of its own: virtual time,
// connections that carry real bytes, endpoints, discovery, clients and faults, all
// of which follow from one seed. After each step the rules and the engine's books are
// checked.
//
// Goroutines of the sidecar are real and live in a testing/synctest bubble. Whatever
// one does that others can see (a read, a write, a dial, the start of a goroutine, a
// timer) parks it until the scheduler releases it. The scheduler acts only when all
// stand still, and picks by the seed among the steps that are ready; so that no two
// goroutines run at once in an order that nobody chose.
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

// pendingOp is something that a goroutine wants to do and waits to be allowed.
type pendingOp struct {
	key     string // unique among what is parked
	ready   func(now time.Time) bool
	due     func() time.Time // when it becomes ready by itself; zero for never
	release chan struct{}
}

// event is something that the world does at a time.
type event struct {
	key      string
	at       time.Time
	do       func()
	canceled bool // it was called off
}

// World is the simulated world. Its own state changes in steps alone; the mutex is for
// goroutines that park while the scheduler looks.
type World struct {
	waitIdle func() // until all other goroutines of the bubble stand still
	seed     uint64
	wake     chan struct{}

	mu     sync.Mutex
	parked []*pendingOp
	events []*event
	closed bool // nothing parks any more

	start      time.Time
	steps      int
	traceHash  hash.Hash64
	trace      io.Writer // nil for none
	check      func() error
	rareEvents map[RareEvent]int
}

// RareEvent is a rare meeting of events that a run may bring about.
type RareEvent string

// The cases that are counted.
const (
	SimultaneousTimers RareEvent = "two timers due in one instant"
	AnswerWithTimer    RareEvent = "an answer in the instant of a timer"
	CancelWhileSending RareEvent = "an attempt called off while its last bytes are on their way"
	DrainDuringDial    RareEvent = "a drain told while a dial to that endpoint is under way"
	KillBeforeSend     RareEvent = "a sidecar killed between a request and its first attempt"
	ReloadDuringWatch  RareEvent = "a reload while a watch waits"
)

// RareEvents are all of them.
var RareEvents = []RareEvent{SimultaneousTimers, AnswerWithTimer, CancelWhileSending, DrainDuringDial, KillBeforeSend, ReloadDuringWatch}

// countRareEvents counts what comes together among the steps that are ready.
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

// newWorld returns a world; wait is synctest.Wait.
func newWorld(seed uint64, wait func(), trace io.Writer) *World {
	return &World{
		waitIdle: wait, seed: mix(seed + 1), wake: make(chan struct{}, 1), start: time.Now(),
		traceHash: fnv.New64a(), trace: trace, rareEvents: map[RareEvent]int{},
	}
}

// now is the virtual time since the world began.
func (w *World) now() time.Duration { return time.Since(w.start) }

// wakeScheduler has the scheduler look again.
func (w *World) wakeScheduler() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// park waits until the scheduler releases it. ready and due are asked with w.mu held;
// a nil ready is ready at once.
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

// schedule has the world do something at a time, and returns it to be called off.
func (w *World) schedule(key string, schedule time.Time, do func()) *event {
	e := &event{key: key, at: schedule, do: do}
	w.mu.Lock()
	w.events = append(w.events, e)
	w.mu.Unlock()
	w.wakeScheduler()
	return e
}

// scheduleAfter is at, counted from now.
func (w *World) scheduleAfter(key string, d time.Duration, do func()) *event {
	return w.schedule(key, time.Now().Add(d), do)
}

// cancel calls an event off.
func (w *World) cancel(e *event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.canceled = true
}

// step is one thing that may come next.
type step struct {
	key   string
	op    *pendingOp
	event *event
}

// readySteps lists what may come next, in an order that does not depend on how it came
// about, and when the next thing becomes ready by itself.
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

// run takes steps until done says so, a check fails, or nothing is left to come.
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

// pick chooses among the steps that are ready: the first by a draw that follows from
// the seed, the step's name and the time alone. A script from which something is left
// out so keeps the order of the rest, and can be made small.
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

// mix spreads a number's bits (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// execute takes one step.
func (w *World) execute(s step, choices int) {
	w.steps++
	line := fmt.Sprintf("%d %d %s %d\n", w.steps, w.now(), s.key, choices)
	io.WriteString(w.traceHash, line) //nolint:errcheck // a hash does not fail
	if w.trace != nil {
		io.WriteString(w.trace, line) //nolint:errcheck // a trace that is cut short shows that
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

// releaseAll lets all go that is parked, for good: the run is over.
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
