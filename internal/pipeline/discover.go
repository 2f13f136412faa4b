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

// Discover: the list of endpoints is watched at discovery, and the module is notified of its changes. Where lists are polled,
// the module decides when to retry after a failed call.

// watch is the watch of the list at one discovery. While it runs, its goroutine owns it, except for the fields that say
// otherwise and the atomic ones.
type watch struct {
	address     string
	times       callTimes
	running     bool            // owned by the engine's owner: the goroutine of the watch runs
	ctx         context.Context // canceled when the watch is ended; that interrupts the call in progress
	cancel      context.CancelFunc
	version     int64 // the version of the list that was received last
	hasList     bool  // a list of that version was received
	answerBegan bool  // the answer to the newest call has begun
	answered    bool  // discovery answered the newest call completely, with a list, a refusal or an invalid answer
	link        *httpwire.Link
	newest      listCall // the newest call

	fetchCount    int64        // fetches of the full list so far
	fetchInFlight atomic.Int64 // the number of the fetch in progress; 0 without one
	waitingCall   atomic.Int64 // the number of the watch call that waits for changes; 0 without one
	older         *watch       // owned by the engine's owner: an earlier watch of the same discovery whose fetch is in progress too; nil without one
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

// MoveDiscovery switches to the list of another discovery.
func (e *Engine) MoveDiscovery(address string) { e.post(discoveryMoved{address}) }

// discoveryMoved is the event that a reload has named the discovery at an address.
type discoveryMoved struct{ address string }

// handle ends the running watch and fetches the full list from the new discovery, since each discovery numbers its versions
// itself. Until that list arrives, requests and the balancer use the present one. In a large fleet that polls, the first call
// comes after a random delay, because all its sidecars move at once.
func (m discoveryMoved) handle(e *Engine) {
	if m.address == e.watch.address {
		return
	}
	e.watch.cancelAll()
	now := e.clock.Now()
	e.markListStale(now, now+deliveryAfterMove)
	e.backoff = 0 // it counts the failures of the former discovery
	e.watch = newWatch(m.address, e.watch.times)
	spread := decide.MoveSpread(e.conf.Settings.Peers)
	if spread == 0 || !e.conf.Settings.MustPoll { // no delay where peers are too few to overrun discovery, or where lists are pushed
		e.startWatch()
		return
	}
	e.env.AfterFunc(e.env.RandomDuration(spread), func() { e.post(restartWatch{}) })
}

// startList applies the list that was known last, and starts a watch where lists are pushed. Where they are polled, the
// module decides when the first call is made.
func (e *Engine) startList() {
	known, from := e.conf.KnownList, e.watch.address
	if e.handover != nil {
		known, from = e.handover.initialList(known, from), e.handover.From
	}
	if known != nil {
		if from == e.watch.address {
			e.listVersion = known.Index
			e.watch.version, e.watch.hasList = known.Index, true
		}
		restored := *known
		restored.Full = true
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
	e.markListStale(now, now+deliveryWhenPolled) // a list from before the start may be outdated
}

// initialList returns the list with which a successor starts. That is the predecessor's list or, if it came from another
// discovery, the successor's own list, updated with what the predecessor knows of the same endpoints. This guards against the
// list of another installation, and against drains that are forgotten because discovery has moved.
func (h *Handover) initialList(own *httpwire.List, address string) *httpwire.List {
	if h.From == address || h.From == "" || own == nil {
		return &h.List
	}
	predecessors := make(map[string]httpwire.ListedEndpoint, len(h.List.Endpoints))
	for _, entry := range h.List.Endpoints {
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

// startWatch starts the goroutine of the present watch, unless that is running. An older watch of the same discovery may run
// beside it.
func (e *Engine) startWatch() {
	if e.watch.running {
		return
	}
	e.watch.running = true
	w := e.watch
	e.env.Go("discovery", func() { e.runWatch(w) })
}

// runWatch makes calls to discovery until the watch is ended or calls fail for good: fetches while no list is known, then watch
// calls. A call that broke or timed out is followed by up to maxChecks further ones, each after a random pause of at most
// checkSpread: fetches while no list is known, else check calls. They ask at once for what was missed, because that counts as
// delivered soon, whether or not it is received.
func (e *Engine) runWatch(w *watch) {
	var missedSince time.Time // changes that discovery has had since then have not been received
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
			reachable := w.link != nil || checks > 0 // otherwise nothing answers at the address, and a check call would not connect either
			e.closeWatchLink(w, linkEndReason(err), err)
			if checks == 0 {
				missedSince = begun
				if known && e.env.Now().Sub(begun) > fetchTimeout {
					missedSince = e.env.Now() // it was a watch, and it waited for changes
				}
			}
			switch timedOut := errors.Is(err, errNoAnswerInTime); {
			case timedOut && w.answerBegan:
				checks++ // an answer that stopped halfway has taken the time of one check call
				missedSince = e.env.Now().Add(-w.times.body)
			case timedOut && !known && w.times.hedge > 0:
				checks = maxChecks // no further call here: another fetch was sent beside this one after times.hedge
			}
			if checks++; reachable && answerLost(err) && checks <= maxChecks && w.pause(e.env, e.env.RandomDuration(checkSpread)) {
				continue
			}
			e.post(listCallFailed{w, maxRetryDelay(e.env.Now().Sub(missedSince), w.answered), missedSince, w.answered})
			return
		}
		checks = 0
		if !keep {
			e.closeWatchLink(w, httpwire.ReasonCloseInAnswer, nil)
		}
		e.post(listReceived{w, list})
		if known && list.Index == before {
			w.pause(e.env, noNewsPause)
		}
	}
}

// pause waits, and reports whether the watch goes on.
func (w *watch) pause(environment env.Env, d time.Duration) bool {
	timer := environment.NewTimer(d)
	select {
	case <-timer.C():
	case <-w.ctx.Done():
		timer.Stop()
	}
	return w.ctx.Err() == nil
}

// closeWatchLink closes the connection to discovery and writes its log line. err is the failure that ended it, or nil.
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

// listReceived is the event of an answer from discovery.
type listReceived struct {
	watch *watch
	list  *httpwire.List
}

func (c listReceived) handle(e *Engine) {
	switch older := e.watch.older; {
	case older != nil && c.watch == older: // the older fetch was answered first
		e.watch.cancel()
		e.watch = older
	case c.watch != e.watch: // from a former discovery: the new one sends its full list
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
	if c.list.Full {
		kind = decide.ListReplaced
	}
	e.applyList(c.list, kind)
}

// applyList applies a list and notifies the module.
func (e *Engine) applyList(list *httpwire.List, kind decide.EventKind) {
	if e.rules != nil {
		list = e.withhold(list)
	}
	e.notifyModule(decide.Event{Kind: kind, Endpoints: e.updateEndpoints(list)})
	e.listed.Store(true)
	e.updateListMetrics()
}

// updateEndpoints applies a list to the registry and returns the changes for the module.
func (e *Engine) updateEndpoints(list *httpwire.List) []decide.Endpoint {
	changes, stale := e.endpoints.Update(list, e.clock.Now())
	for _, s := range stale {
		e.pool.DropAll(s, httpwire.ReasonUnlisted)
	}
	return changes
}

// updateListMetrics updates the metrics on the list.
func (e *Engine) updateListMetrics() {
	e.metrics.Pool.Store(int64(e.endpoints.Len()))
	if m, ok := e.balancer.(interface{ Avoided() int }); ok {
		e.metrics.Ejected.Store(int64(m.Avoided()))
	}
}

// fetchPending is the event that a fetch of the full list has reached hedgeDelay; it may have been answered since.
type fetchPending struct {
	watch  *watch
	number int64
}

// handle starts a second fetch, on a watch of its own, if the first has no answer yet. Guards against a list that comes too late
// because one call was lost, and against one that never comes because a slow discovery is called again and again from the end
// of its queue. There is one new call each hedgeDelay, and at most two are in progress.
func (p fetchPending) handle(e *Engine) {
	if p.watch != e.watch || p.watch.fetchInFlight.Load() != p.number {
		return
	}
	if p.watch.older != nil {
		p.watch.older.cancel()
		p.watch.older = nil
	}
	e.watch = newWatch(p.watch.address, p.watch.times)
	e.watch.older = p.watch
	e.startWatch()
}

// watchWaiting is the event that a watch call has reached maxQueueTime; it may have ended since.
type watchWaiting struct {
	watch  *watch
	number int64 // the number of the call
}

// handle treats the list as current if the call still waits for changes. No call waits in discovery's queue for so long, so
// discovery has processed this one, and would have answered if there had been a change.
func (w watchWaiting) handle(e *Engine) {
	if w.watch != e.watch || w.watch.waitingCall.Load() != w.number || e.staleness.since == 0 {
		return
	}
	e.markListCurrent()
	e.notifyModule(decide.Event{Kind: decide.ListConfirmed})
}

// listCallFailed is the event of a failed call to discovery.
type listCallFailed struct {
	watch       *watch
	retryWithin time.Duration // the next call should be sent within this time
	missedSince time.Time     // changes that discovery has had since then have not been received

	refused bool // discovery answered with a refusal or an invalid list
}

func (f listCallFailed) handle(e *Engine) {
	if f.watch == e.watch.older { // the watch that hedged it goes on
		e.counters.ListFailures++
		e.watch.older = nil
	}
	if f.watch != e.watch { // it was ended, and another one runs
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

// restartWatch is the event that starts a watch after a pause.
type restartWatch struct{}

func (restartWatch) handle(e *Engine) { e.startWatch() }
