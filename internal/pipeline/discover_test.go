package pipeline

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"heathgap/internal/httpwire"
	"heathgap/internal/lab/scripted"
)

// Guards against a discovery that accepts a call and never answers: the call must time out, so that the module is notified and
// retries.
func TestSilentDiscovery(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	const short = 50 * time.Millisecond
	for _, known := range []bool{false, true} {
		var log strings.Builder
		e := newTestEngine(t)
		e.connLog = zerolog.New(&log)
		e.watch = newWatch(listener.Addr().String(),
			callTimes{dial: 10 * time.Second, fetch: short, wait: short, spread: short, overdue: short, check: short, body: short})
		e.watch.hasList = known
		go e.runWatch(e.watch)
		(<-e.events).handle(e)
		if e.counters.ListFailures != 1 || e.watch.link != nil || e.watch.running {
			t.Errorf("known %v: %d failed calls, watch %+v", known, e.counters.ListFailures, e.watch)
		}
		if !strings.Contains(log.String(), `"reason":"silent"`) {
			t.Errorf("known %v: log %s", known, &log)
		}
	}
}

// Guards against a discovery that answers watches at once without a change: the sidecar must not call it in a busy loop.
func TestDiscoveryThatDoesNotWait(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	const answers = 4
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyString(`{"index":7,"snapshot":false,"endpoints":[]}`)
	}}
	go server.Serve(listener)
	e := newTestEngine(t)
	e.watch = newWatch(listener.Addr().String(), newCallTimes(1, time.Second))
	e.watch.hasList, e.watch.version = true, 7
	begin := time.Now()
	go e.runWatch(e.watch)
	for range answers {
		(<-e.events).handle(e)
	}
	if took := time.Since(begin); took < (answers-1)*noNewsPause || e.counters.Lists != answers {
		t.Errorf("%d answers in %v", e.counters.Lists, took)
	}
	e.watch.cancel()
	close(e.stopped)
}

// Guards against a sidecar that gets no changes for long after one lost answer, and against many sidecars that call discovery too
// often.
func TestWatchWaitGrowsWithPeers(t *testing.T) {
	for peers, want := range map[int]time.Duration{0: 4 * time.Second, 2: 4 * time.Second, 10: 10 * time.Second, 900: 16 * time.Second} {
		if got := newCallTimes(peers, time.Second); got.wait != want || got.spread <= 0 || got.spread > want {
			t.Errorf("%d peers: %+v, want to wait %v", peers, got, want)
		}
	}
}

// Guards against answers of a discovery that the sidecar has moved away from: its versions and failures mean nothing for the next
// one, whose full list replaces them.
func TestAnswersOfTheFormerDiscoveryAreIgnored(t *testing.T) {
	e := newTestEngine(t)
	former := e.watch
	former.running = true
	discoveryMoved{scripted.FreeAddress(t)}.handle(e)
	defer e.watch.cancel()
	if former.ctx.Err() == nil || !e.watch.running || e.watch.hasList {
		t.Fatalf("former ended: %v, the next %+v", former.ctx.Err(), e.watch)
	}
	listReceived{former, &httpwire.List{Endpoints: []httpwire.ListedEndpoint{{Name: "s"}}}}.handle(e)
	listCallFailed{watch: former}.handle(e)
	if e.endpoints.Len() != 0 || e.counters.ListFailures != 0 || !e.watch.running {
		t.Errorf("%d endpoints, %d failed calls, running %v", e.endpoints.Len(), e.counters.ListFailures, e.watch.running)
	}
	next := e.watch
	discoveryMoved{next.address}.handle(e)
	if e.watch != next || next.ctx.Err() != nil {
		t.Error("a reload that names the same discovery ended its watch")
	}
}
