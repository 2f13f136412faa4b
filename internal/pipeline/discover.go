package pipeline

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"heathgap/decide"
	"heathgap/internal/env"
	"heathgap/internal/httpwire"
)

// Discover: the list of endpoints is watched, and what is told goes to the
// module. How to go on after a failed call is the module's to say.

// watch is the watch of the list at one discovery. While it runs, its goroutine
// owns it, but for running and ended.
type watch struct {
	address     string
	times       callTimes
	running     bool            // the owner's
	ctx         context.Context // its end calls off the call at work
	cancel      context.CancelFunc
	version     int64
	hasList     bool // there is a list that index names
	answerBegan bool // the newest call's answer has begun
	answered    bool // it came whole
	link        *httpwire.Link
	newest      listCall // the newest call

	fetchCount    int64        // of the whole list
	fetchInFlight atomic.Int64 // the number of the one that is out; 0 while none is
	waitingCall   atomic.Int64 // the number of the call that waits for news; 0 while none does
	older         *watch       // the owner's: one of the same discovery whose fetch is out too; nil without one
}

func newWatch(address string, times callTimes) *watch {
	w := &watch{address: address, times: times}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w
}

// cancelAll ends a watch and the older one beside it.
func (w *watch) cancelAll() {
	w.cancel()
	if w.older != nil {
		w.older.cancel()
	}
}

// MoveDiscovery goes on with the list of another discovery.
func (e *Engine) MoveDiscovery(address string) { e.post(discoveryMoved{address}) }

type discoveryMoved struct{ address string }

// handle ends the running watch and its wait, and asks the new discovery for the
// whole list: versions are each discovery's own. Requests and the balancer go on
// with the list as it is until then. A large fleet that is told to move at once
// does not call at once.
func (m discoveryMoved) handle(e *Engine) {
	if m.address == e.watch.address {
		return
	}
	e.watch.cancelAll()
	now := e.clock.Now()
	e.markListStale(now, now+deliveryAfterMove)
	e.backoff = 0 // the former one's failures are not this one's
	e.watch = newWatch(m.address, e.watch.times)
	spread := decide.MoveSpread(e.conf.Settings.Peers)
	if spread == 0 || !e.conf.Settings.MustPoll { // pushed news bind 4 s behind a reload
		e.startWatch()
		return
	}
	e.env.AfterFunc(e.env.RandomDuration(spread), func() { e.post(restartWatch{}) })
}

// startList takes over the list as last known, and watches where the module
// expects changes to come by themselves.
func (e *Engine) startList() {
	known, from := e.conf.KnownList, e.watch.address
	if e.handover != nil {
		known, from = e.handover.startList(known, from), e.handover.From
	}
	if known != nil {
		if from == e.watch.address {
			e.listVersion = known.Index
			e.watch.version, e.watch.hasList = known.Index, true
		}
		restored := *known
		restored.Whole = true
		e.applyList(&restored, decide.ListRestored)
	}
	if e.handover != nil {
		e.applyHandover(e.handover)
		e.handover = nil
	}
	if !e.conf.Settings.MustPoll {
		e.startWatch()
		return
	}
	now := e.clock.Now()
	e.markListStale(now, now+deliveryWhenPolled) // a list from before the start may be old
}

// startList is what a successor begins with: the predecessor's list, or, where another discovery has told that, its own with
// what the predecessor knows of the same endpoints. Guards against a list that belongs to another installation, and
// against drains that are forgotten because discovery has moved.
func (l *Handover) startList(own *httpwire.List, address string) *httpwire.List {
	if l.From == address || l.From == "" || own == nil {
		return &l.List
	}
	predecessors := make(map[string]httpwire.ListedEndpoint, len(l.List.Endpoints))
	for _, entry := range l.List.Endpoints {
		predecessors[entry.Name] = entry
	}
	merged := *own
	merged.Endpoints = slices.Clone(own.Endpoints)
	for i, entry := range merged.Endpoints {
		if known, ok := predecessors[entry.Name]; ok && known.Address == entry.Address && known.Since >= entry.Since {
			merged.Endpoints[i] = known
		}
	}
	return &merged
}

// startWatch begins a watch unless one goes on.
func (e *Engine) startWatch() {
	if e.watch.running {
		return
	}
	e.watch.running = true
	w := e.watch
	e.env.Go("discovery", func() { e.runWatch(w) })
}

// runWatch watches until calls fail or the watch is ended. A call that broke or fell silent is followed at once by a
// fresh one, which asks what was missed: what discovery had to tell meanwhile counts as told, whether or not it came.
func (e *Engine) runWatch(w *watch) {
	var missedSince time.Time // what discovery has since then has not come
	for checks := 0; ; {
		before, known, begun := w.version, w.hasList, e.env.Now()
		if !known {
			w.fetchCount++
			number := w.fetchCount
			w.fetchInFlight.Store(number)
			if w.times.hedge > 0 {
				e.env.AfterFunc(w.times.hedge, func() { e.post(fetchPending{w, number}) })
			}
		}
		w.newest = listCall{number: e.listCalls.Add(1), begun: begun}
		if known && checks == 0 {
			number := w.newest.number
			w.waitingCall.Store(number)
			e.env.AfterFunc(maxQueueTime, func() { e.post(watchWaiting{w, number}) })
		}
		list, keep, err := w.call(e.env, checks > 0)
		w.newest.ended = e.env.Now()
		w.waitingCall.Store(0)
		e.logListCall(w, &w.newest, list, err)
		w.fetchInFlight.Store(0)
		if err != nil {
			reachable := w.link != nil || checks > 0 // else there is nobody, and no fresh call finds one
			e.closeWatchLink(w, linkEndReason(err), err)
			if checks == 0 {
				missedSince = begun
				if known && e.env.Now().Sub(begun) > fetchTimeout {
					missedSince = e.env.Now() // it was a watch that waited
				}
			}
			switch timedOut := errors.Is(err, errNoAnswerInTime); {
			case timedOut && w.answerBegan:
				checks++ // an answer that stands still has taken the time of one
				missedSince = e.env.Now().Add(-w.times.body)
			case timedOut && !known && w.times.hedge > 0:
				checks = maxChecks // another fetch is out
			}
			if checks++; reachable && answerLost(err) && checks <= maxChecks && w.pause(e.env, e.env.RandomDuration(checkSpread)) {
				continue
			}
			e.post(listCallFailed{w, maxRetryDelay(e.env.Now().Sub(missedSince), w.answered), missedSince, w.answered})
			return
		}
		checks = 0
		if !keep {
			e.closeWatchLink(w, httpwire.ReasonPeerClose, nil)
		}
		e.post(listReceived{w, list})
		if known && list.Index == before {
			w.pause(e.env, noNewsPause)
		}
	}
}

// pause waits, and tells whether the watch goes on.
func (w *watch) pause(environment env.Env, d time.Duration) bool {
	timer := environment.NewTimer(d)
	select {
	case <-timer.C():
	case <-w.ctx.Done():
		timer.Stop()
	}
	return w.ctx.Err() == nil
}

// closeWatchLink ends the connection to discovery with its log line; err is the
// failure that ended it, if one did.
func (e *Engine) closeWatchLink(w *watch, reason httpwire.Reason, err error) {
	uses := 0
	if w.link == nil {
		reason = httpwire.ReasonDialFailed
	} else {
		uses = w.link.Uses
		w.link.Close()
		w.link = nil
	}
	if w.ctx.Err() != nil {
		reason, err = httpwire.ReasonMoved, nil
	}
	level := zerolog.InfoLevel
	if err != nil {
		level = zerolog.WarnLevel
	}
	e.connLog.WithLevel(level).Str("side", "discovery").Str("peer", w.address).Str("reason", string(reason)).
		Int("requests", uses).AnErr("error", err).Msg("connection ended")
}

// listReceived is an answer of discovery.
type listReceived struct {
	watch *watch
	list  *httpwire.List
}

func (c listReceived) handle(e *Engine) {
	switch older := e.watch.older; {
	case older != nil && c.watch == older: // the fetch that has waited longer is answered first
		e.watch.cancel()
		e.watch = older
	case c.watch != e.watch: // the new discovery tells the whole list
		return
	case older != nil:
		older.cancel()
		e.watch.older = nil
	}
	e.counters.Lists++
	e.backoff = 0
	e.listVersion = c.list.Index
	e.markListCurrent()
	kind := decide.ListChanged
	if c.list.Whole {
		kind = decide.ListReplaced
	}
	e.applyList(c.list, kind)
}

// applyList books a list and tells the module.
func (e *Engine) applyList(list *httpwire.List, kind decide.EventKind) {
	if e.rules != nil {
		list = e.withhold(list)
	}
	e.notifyModule(decide.Event{Kind: kind, Endpoints: e.updateEndpoints(list)})
	e.listed.Store(true)
	e.updateListMetrics()
}

// updateEndpoints books a list and returns it in the module's words.
func (e *Engine) updateEndpoints(list *httpwire.List) []decide.Endpoint {
	changes, stale := e.endpoints.Update(list, e.clock.Now())
	for _, s := range stale {
		e.pool.DropAll(s, httpwire.ReasonUnlisted)
	}
	return changes
}

// updateListMetrics brings the figures of the list up to date.
func (e *Engine) updateListMetrics() {
	e.metrics.Pool.Store(int64(e.endpoints.Len()))
	if m, ok := e.balancer.(interface{ Avoided() int }); ok {
		e.metrics.Ejected.Store(int64(m.Avoided()))
	}
}

// fetchPending is a fetch of the whole list that may still be without an answer.
type fetchPending struct {
	watch  *watch
	number int64
}

// handle asks for the list beside a fetch with no answer yet, on a watch of its own. Guards against a list that comes too
// late because one call was lost, and against one that never comes because a slow discovery is asked from the back of its
// turn again and again: a call every hedgeAfter, two at a time.
func (f fetchPending) handle(e *Engine) {
	if f.watch != e.watch || f.watch.fetchInFlight.Load() != f.number {
		return
	}
	if f.watch.older != nil {
		f.watch.older.cancel()
		f.watch.older = nil
	}
	e.watch = newWatch(f.watch.address, f.watch.times)
	e.watch.older = f.watch
	e.startWatch()
}

// watchWaiting is a watch that may still be waiting for news.
type watchWaiting struct {
	watch  *watch
	number int64 // of its call
}

// handle takes a watch that has been waiting for longer than any call waits its turn for one that discovery has taken: had
// there been news, they would have come.
func (s watchWaiting) handle(e *Engine) {
	if s.watch != e.watch || s.watch.waitingCall.Load() != s.number || e.staleness.since == 0 {
		return
	}
	e.markListCurrent()
	e.notifyModule(decide.Event{Kind: decide.ListConfirmed})
}

// listCallFailed is a call to discovery that has failed.
type listCallFailed struct {
	watch       *watch
	retryWithin time.Duration // the next call should be out by then
	missedSince time.Time     // what discovery has had since then has not come

	refused bool // discovery answered, and not with a list
}

func (f listCallFailed) handle(e *Engine) {
	if f.watch == e.watch.older { // the other one goes on
		e.counters.ListFailures++
		e.watch.older = nil
	}
	if f.watch != e.watch { // it was ended, and another goes on
		return
	}
	e.counters.ListFailures++
	since := e.clock.FromWall(f.missedSince)
	e.markListStale(since, since+e.deliveryDelay())
	e.watch.running = false
	if e.conf.Settings.MustPoll {
		e.notifyModule(decide.Event{Kind: decide.ListFailed, Grace: f.retryWithin, Refused: f.refused})
		return
	}
	e.backoff = min(max(minBackoff, 2*e.backoff), maxBackoff)
	least, spread := decide.ListRetryDelay(min(e.backoff, f.retryWithin/2), e.conf.Settings.Peers, f.refused)
	e.env.AfterFunc(least+e.env.RandomDuration(spread), func() { e.post(restartWatch{}) })
}

// restartWatch begins a new watch after a pause.
type restartWatch struct{}

func (restartWatch) handle(e *Engine) { e.startWatch() }
