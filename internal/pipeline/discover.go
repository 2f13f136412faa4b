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
	address  string
	times    callTimes
	running  bool            // the owner's
	ended    context.Context // its end calls off the call at work
	end      context.CancelFunc
	index    int64
	known    bool // there is a list that index names
	heard    bool // the newest call's answer has begun
	answered bool // it came whole
	link     *httpwire.Link
	last     listCall // the newest call

	fetches  int64        // of the whole list
	fetching atomic.Int64 // the number of the one that is out; 0 while none is
	waiting  atomic.Int64 // the number of the call that waits for news; 0 while none does
	older    *watch       // the owner's: one of the same discovery whose fetch is out too; nil without one
}

func newWatch(address string, times callTimes) *watch {
	w := &watch{address: address, times: times}
	w.ended, w.end = context.WithCancel(context.Background())
	return w
}

// endAll ends a watch and the older one beside it.
func (w *watch) endAll() {
	w.end()
	if w.older != nil {
		w.older.end()
	}
}

// MoveDiscovery goes on with the list of another discovery.
func (e *Engine) MoveDiscovery(address string) { e.post(moved{address}) }

type moved struct{ address string }

// handle ends the running watch and its wait, and asks the new discovery for the
// whole list: versions are each discovery's own. Requests and the balancer go on
// with the list as it is until then. A large fleet that is told to move at once
// does not call at once.
func (m moved) handle(e *Engine) {
	if m.address == e.watch.address {
		return
	}
	e.watch.endAll()
	now := e.clock.Now()
	e.listMissed(now, now+toldAfterMove)
	e.backoff = 0 // the former one's failures are not this one's
	e.watch = newWatch(m.address, e.watch.times)
	spread := decide.MoveSpread(e.conf.Settings.Peers)
	if spread == 0 || !e.conf.Settings.MustPoll { // pushed news bind 4 s behind a reload
		e.startWatch()
		return
	}
	e.world.AfterFunc(e.world.RandomDuration(spread), func() { e.post(rewatch{}) })
}

// startList takes over the list as last known, and watches where the module
// expects changes to come by themselves.
func (e *Engine) startList() {
	known, from := e.conf.KnownList, e.watch.address
	if e.legacy != nil {
		known, from = e.legacy.list(known, from), e.legacy.From
	}
	if known != nil {
		if from == e.watch.address {
			e.index = known.Index
			e.watch.index, e.watch.known = known.Index, true
		}
		restored := *known
		restored.Whole = true
		e.takeList(&restored, decide.ListRestored)
	}
	if e.legacy != nil {
		e.takeLegacy(e.legacy)
		e.legacy = nil
	}
	if !e.conf.Settings.MustPoll {
		e.startWatch()
		return
	}
	now := e.clock.Now()
	e.listMissed(now, now+toldAfterAsked) // a list from before the start may be old
}

// list is what a successor begins with: the predecessor's list, or, where another discovery has told that, its own with
// what the predecessor knows of the same endpoints. Guards against a list that belongs to another installation, and
// against drains that are forgotten because discovery has moved.
func (l *Handover) list(own *httpwire.List, address string) *httpwire.List {
	if l.From == address || l.From == "" || own == nil {
		return &l.List
	}
	theirs := make(map[string]httpwire.ListedEndpoint, len(l.List.Endpoints))
	for _, line := range l.List.Endpoints {
		theirs[line.Name] = line
	}
	merged := *own
	merged.Endpoints = slices.Clone(own.Endpoints)
	for i, line := range merged.Endpoints {
		if known, ok := theirs[line.Name]; ok && known.Address == line.Address && known.Since >= line.Since {
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
	e.world.Go("discovery", func() { e.runWatch(w) })
}

// runWatch watches until calls fail or the watch is ended. A call that broke or fell silent is followed at once by a
// fresh one, which asks what was missed: what discovery had to tell meanwhile counts as told, whether or not it came.
func (e *Engine) runWatch(w *watch) {
	var since time.Time // what discovery has since then has not come
	for fresh := 0; ; {
		before, known, begun := w.index, w.known, e.world.Now()
		if !known {
			w.fetches++
			number := w.fetches
			w.fetching.Store(number)
			if w.times.hedge > 0 {
				e.world.AfterFunc(w.times.hedge, func() { e.post(fetchWaits{w, number}) })
			}
		}
		w.last = listCall{number: e.listCalls.Add(1), begun: begun}
		if known && fresh == 0 {
			number := w.last.number
			w.waiting.Store(number)
			e.world.AfterFunc(turnMost, func() { e.post(watchStands{w, number}) })
		}
		list, keep, err := w.call(e.world, fresh > 0)
		w.last.ended = e.world.Now()
		w.waiting.Store(0)
		e.logListCall(w, &w.last, list, err)
		w.fetching.Store(0)
		if err != nil {
			stood := w.link != nil || fresh > 0 // else there is nobody, and no fresh call finds one
			e.endWatch(w, callReason(err), err)
			if fresh == 0 {
				since = begun
				if known && e.world.Now().Sub(begun) > fetchTime {
					since = e.world.Now() // it was a watch that waited
				}
			}
			switch silent := errors.Is(err, errSilent); {
			case silent && w.heard:
				fresh++ // an answer that stands still has taken the time of one
				since = e.world.Now().Add(-w.times.rest)
			case silent && !known && w.times.hedge > 0:
				fresh = freshCalls // another fetch is out
			}
			if fresh++; stood && lost(err) && fresh <= freshCalls && w.pause(e.world, e.world.RandomDuration(freshSpread)) {
				continue
			}
			e.post(listFailed{w, nextWithin(e.world.Now().Sub(since), w.answered), since, w.answered})
			return
		}
		fresh = 0
		if !keep {
			e.endWatch(w, httpwire.ReasonPeerClose, nil)
		}
		e.post(listCame{w, list})
		if known && list.Index == before {
			w.pause(e.world, stalePause)
		}
	}
}

// pause waits, and tells whether the watch goes on.
func (w *watch) pause(world env.Env, d time.Duration) bool {
	timer := world.NewTimer(d)
	select {
	case <-timer.C():
	case <-w.ended.Done():
		timer.Stop()
	}
	return w.ended.Err() == nil
}

// endWatch ends the connection to discovery with its log line; err is the
// failure that ended it, if one did.
func (e *Engine) endWatch(w *watch, why httpwire.Reason, err error) {
	uses := 0
	if w.link == nil {
		why = httpwire.ReasonDialFailed
	} else {
		uses = w.link.Uses
		w.link.Close()
		w.link = nil
	}
	if w.ended.Err() != nil {
		why, err = httpwire.ReasonMoved, nil
	}
	level := zerolog.InfoLevel
	if err != nil {
		level = zerolog.WarnLevel
	}
	e.ends.WithLevel(level).Str("side", "discovery").Str("peer", w.address).Str("reason", string(why)).
		Int("requests", uses).AnErr("error", err).Msg("connection ended")
}

// listCame is an answer of discovery.
type listCame struct {
	from *watch
	list *httpwire.List
}

func (c listCame) handle(e *Engine) {
	switch older := e.watch.older; {
	case older != nil && c.from == older: // the fetch that has waited longer is answered first
		e.watch.end()
		e.watch = older
	case c.from != e.watch: // the new discovery tells the whole list
		return
	case older != nil:
		older.end()
		e.watch.older = nil
	}
	e.counters.Lists++
	e.backoff = 0
	e.index = c.list.Index
	e.listHeard()
	kind := decide.ListChanged
	if c.list.Whole {
		kind = decide.ListReplaced
	}
	e.takeList(c.list, kind)
}

// takeList books a list and tells the module.
func (e *Engine) takeList(list *httpwire.List, kind decide.EventKind) {
	if e.rules != nil {
		list = e.withhold(list)
	}
	e.tell(decide.Event{Kind: kind, Endpoints: e.update(list)})
	e.listed.Store(true)
	e.takeStock()
}

// update books a list and returns it in the module's words.
func (e *Engine) update(list *httpwire.List) []decide.Endpoint {
	lines, stale := e.endpoints.Update(list, e.clock.Now())
	for _, s := range stale {
		e.pool.DropAll(s, httpwire.ReasonUnlisted)
	}
	return lines
}

// takeStock brings the figures of the list up to date.
func (e *Engine) takeStock() {
	e.board.Pool.Store(int64(e.endpoints.Len()))
	if m, ok := e.balancer.(interface{ Avoided() int }); ok {
		e.board.Ejected.Store(int64(m.Avoided()))
	}
}

// fetchWaits is a fetch of the whole list that may still be without an answer.
type fetchWaits struct {
	from   *watch
	number int64
}

// handle asks for the list beside a fetch with no answer yet, on a watch of its own. Guards against a list that comes too
// late because one call was lost, and against one that never comes because a slow discovery is asked from the back of its
// turn again and again: a call every hedgeAfter, two at a time.
func (f fetchWaits) handle(e *Engine) {
	if f.from != e.watch || f.from.fetching.Load() != f.number {
		return
	}
	if f.from.older != nil {
		f.from.older.end()
		f.from.older = nil
	}
	e.watch = newWatch(f.from.address, f.from.times)
	e.watch.older = f.from
	e.startWatch()
}

// watchStands is a watch that may still be waiting for news.
type watchStands struct {
	from   *watch
	number int64 // of its call
}

// handle takes a watch that has been waiting for longer than any call waits its turn for one that discovery has taken: had
// there been news, they would have come.
func (s watchStands) handle(e *Engine) {
	if s.from != e.watch || s.from.waiting.Load() != s.number || e.unheard.since == 0 {
		return
	}
	e.listHeard()
	e.tell(decide.Event{Kind: decide.ListConfirmed})
}

// listFailed is a call to discovery that has failed.
type listFailed struct {
	from   *watch
	within time.Duration // the next call should be out by then
	since  time.Time     // what discovery has had since then has not come

	refused bool // discovery answered, and not with a list
}

func (f listFailed) handle(e *Engine) {
	if f.from == e.watch.older { // the other one goes on
		e.counters.ListFailures++
		e.watch.older = nil
	}
	if f.from != e.watch { // it was ended, and another goes on
		return
	}
	e.counters.ListFailures++
	since := e.clock.FromWall(f.since)
	e.listMissed(since, since+e.toldAfter())
	e.watch.running = false
	if e.conf.Settings.MustPoll {
		e.tell(decide.Event{Kind: decide.ListFailed, Grace: f.within, Refused: f.refused})
		return
	}
	e.backoff = min(max(backoffLeast, 2*e.backoff), backoffMost)
	least, spread := decide.ListRetryDelay(min(e.backoff, f.within/2), e.conf.Settings.Peers, f.refused)
	e.world.AfterFunc(least+e.world.RandomDuration(spread), func() { e.post(rewatch{}) })
}

// rewatch begins a new watch after a pause.
type rewatch struct{}

func (rewatch) handle(e *Engine) { e.startWatch() }
