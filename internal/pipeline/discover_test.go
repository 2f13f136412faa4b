package pipeline

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
)

// Guards against a discovery that is cut off and says nothing: a call must end,
// so that the module hears of it and asks again.
func TestSilentDiscovery(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	const short = 50 * time.Millisecond
	for _, known := range []bool{false, true} {
		var log strings.Builder
		e := testEngine(t)
		e.log = zerolog.New(&log)
		e.watch = watch{
			address: listener.Addr().String(), known: known,
			times: callTimes{dial: 10 * time.Second, fetch: short, wait: short, spread: short, beyond: short},
		}
		go e.runWatch()
		(<-e.events).handle(e)
		if e.counters.ListFails != 1 || e.watch.link != nil || e.watch.running {
			t.Errorf("known %v: %d failed calls, watch %+v", known, e.counters.ListFails, e.watch)
		}
		if !strings.Contains(log.String(), `"reason":"broken"`) {
			t.Errorf("known %v: log %s", known, &log)
		}
	}
}

// Guards against a discovery that answers watches at once with nothing new: the
// sidecar must not spend its core on that.
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
	e := testEngine(t)
	e.watch = watch{address: listener.Addr().String(), times: usualTimes, known: true, index: 7}
	begin := time.Now()
	go e.runWatch()
	for range answers {
		(<-e.events).handle(e)
	}
	if took := time.Since(begin); took < (answers-1)*stalePause || e.counters.Lists != answers {
		t.Errorf("%d answers in %v", e.counters.Lists, took)
	}
	close(e.stopped)
}
