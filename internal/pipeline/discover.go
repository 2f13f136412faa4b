package pipeline

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"heathgap/decide"
	"heathgap/internal/env"
	"heathgap/internal/httpwire"
)

// Discover: the list of endpoints is watched, and what is told goes to the
// module. How to go on after a failed call is the module's to say.

// callTimes are the times of calls to discovery.
type callTimes struct {
	dial   time.Duration // for a connection
	fetch  time.Duration // for the whole list, asked for while there is none
	wait   time.Duration // a watch waits so long for news, at least
	spread time.Duration // and up to so much longer: discovery serves all sidecars in turn
	beyond time.Duration // what a watch may take after its wait: then its news count as told
}

// Figures of a watch. An answer may be lost on its way, and nothing tells: until its
// wait is over the sidecar is blind. Discovery works through all sidecars' calls in
// turn: the more there are, the longer each waits.
const (
	waitEach  = time.Second // for each instance of the tier
	waitLeast = 4 * time.Second
	waitMost  = 16 * time.Second
)

// usualTimes are those of a sidecar with so many peers, itself included.
func usualTimes(peers int) callTimes {
	wait := min(max(time.Duration(peers)*waitEach, waitLeast), waitMost)
	return callTimes{dial: 2 * time.Second, fetch: 6 * time.Second, wait: wait, spread: wait / 2, beyond: 2 * time.Second}
}

// rewatchPause is the least pause after a failure where the module does not ask.
const rewatchPause = time.Second

// stalePause comes before the next watch when one has told nothing new: a
// discovery that does not wait must not keep a sidecar busy. A watch goes on if
// its next call comes within 200 ms.
const stalePause = 100 * time.Millisecond

// watch is the watch of the list at one discovery. While it runs, its goroutine
// owns it, but for running and ended.
type watch struct {
	address string
	times   callTimes
	running bool            // the owner's
	ended   context.Context // its end calls off the call at work
	end     context.CancelFunc
	index   int64
	known   bool // there is a list that index names
	link    *httpwire.Link
}

func newWatch(address string, times callTimes) *watch {
	w := &watch{address: address, times: times}
	w.ended, w.end = context.WithCancel(context.Background())
	return w
}

// Move goes on with the list of another discovery.
func (e *Engine) Move(address string) { e.post(moved{address}) }

type moved struct{ address string }

// handle ends the running watch and its wait, and asks the new discovery for the
// whole list: versions are each discovery's own. Requests and the balancer go on
// with the list as it is until then.
func (m moved) handle(e *Engine) {
	if m.address == e.watch.address {
		return
	}
	e.watch.end()
	e.watch = newWatch(m.address, e.watch.times)
	e.startWatch()
}

// startList takes over the list as last known, and watches where the module
// expects changes to come by themselves.
func (e *Engine) startList() {
	known := e.conf.Known
	if e.legacy != nil {
		known = &e.legacy.List
	}
	if known != nil {
		e.index = known.Index
		e.watch.index, e.watch.known = known.Index, true
		restored := *known
		restored.Whole = true
		e.takeList(&restored, decide.ListRestored)
	}
	if e.legacy != nil {
		e.takeLegacy(e.legacy)
		e.legacy = nil
	}
	if !e.conf.Settings.MustAsk {
		e.startWatch()
	}
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

// runWatch watches until a call fails or the watch is ended.
func (e *Engine) runWatch(w *watch) {
	for {
		before, known := w.index, w.known
		list, keep, err := w.call(e.world)
		if err != nil {
			e.endWatch(w, httpwire.ReasonBroken, err)
			e.post(listFailed{w})
			return
		}
		if !keep {
			e.endWatch(w, httpwire.ReasonPeerClose, nil)
		}
		e.post(listCame{w, list})
		if known && list.Index == before {
			pause := e.world.NewTimer(stalePause)
			select {
			case <-pause.C():
			case <-w.ended.Done():
				pause.Stop()
			}
		}
	}
}

// call makes one call to discovery: it fetches the whole list while there is
// none, and else waits for what is newer.
func (w *watch) call(world env.Env) (list *httpwire.List, keep bool, err error) {
	message, limit := httpwire.EncodeFetch(), w.times.fetch
	if w.known {
		wait := w.times.wait + world.Chance(w.times.spread)
		message, limit = httpwire.EncodeWatch(w.index, wait), wait+w.times.beyond
	}
	if w.link == nil {
		link, err := httpwire.Dial(w.ended, world, w.address, w.times.dial)
		if err != nil {
			return nil, false, err
		}
		w.link = link
	}
	stop := context.AfterFunc(w.ended, w.link.Close)
	defer stop()
	if _, err := w.link.Send(message, world.Now().Add(limit)); err != nil {
		return nil, false, fmt.Errorf("writing: %w", err)
	}
	answer, keep, err := httpwire.DecodeListReply(w.link.Reader())
	if err != nil {
		return nil, false, fmt.Errorf("answer: %w", err)
	}
	w.index, w.known = answer.Index, true
	return &answer, keep, nil
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
	if c.from != e.watch { // the new discovery tells the whole list
		return
	}
	e.counters.Lists++
	e.index = c.list.Index
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

// listFailed is a call to discovery that has failed.
type listFailed struct{ from *watch }

func (f listFailed) handle(e *Engine) {
	if f.from != e.watch { // it was ended, and another goes on
		return
	}
	e.counters.ListFails++
	e.watch.running = false
	if e.conf.Settings.MustAsk {
		e.tell(decide.Event{Kind: decide.ListFailed})
		return
	}
	pause := rewatchPause + e.world.Chance(rewatchPause)
	e.world.AfterFunc(pause, func() { e.post(rewatch{}) })
}

// rewatch begins a new watch after a pause.
type rewatch struct{}

func (rewatch) handle(e *Engine) { e.startWatch() }
