package pipeline

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"heathgap/decide"
	"heathgap/internal/metrics"
)

// logLine holds the fields of a log line that the tests read.
type logLine struct {
	Message, Kind, End string
	Call, Version      int64
	Lines              int
	Whole              bool
	Unheard            int64 `json:"unheard_ms"`
	Stale              int64 `json:"stale_ms"`
	Took               int64 `json:"took_ms"`
}

func parseLog(t *testing.T, text []byte) (lines []logLine) {
	t.Helper()
	for line := range bytes.Lines(text) {
		var l logLine
		if err := json.Unmarshal(line, &l); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		lines = append(lines, l)
	}
	return lines
}

// Guards against a sidecar that routes by an outdated list and does not report it: each call to discovery must be logged and
// counted, and it must be logged when the list becomes stale and when it is current again.
func TestListCallsAndStaleListAreLogged(t *testing.T) {
	const refusals = 3
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		d := &failingDiscovery{address: "discovery", failure: refusedAfter2s, failingCalls: refusals}
		e, module := newListEngine(t, d, d.address, true, true, 1)
		e.log = zerolog.New(zerolog.SyncWriter(&log))
		ctx, stop := context.WithCancel(context.Background())
		go e.Run(ctx)
		<-module.applied
		if stale := e.metrics.ListStaleMS.Load(); stale != 0 {
			t.Errorf("the list is stale for %d ms after an answer", stale)
		}
		output := string(e.metrics.Append(nil))
		stop()
		<-e.stopped
		d.serving.Wait()
		synctest.Wait() // the watch has written its last line

		var calls, states []logLine
		for _, l := range parseLog(t, log.Bytes()) {
			switch {
			case l.Message == "list call":
				calls = append(calls, l)
			case strings.HasPrefix(l.Message, "the list is"):
				states = append(states, l)
			}
		}
		for i, call := range calls {
			want := logLine{Message: "list call", Kind: "watch", End: "refused", Call: int64(i + 1), Took: maxQueueWait.Milliseconds()}
			switch {
			case i == refusals:
				want.End, want.Version, want.Lines, want.Took = "answered", 8, 1, 0
			case i > refusals:
				want.End, want.Took = "called_off", call.Took
			}
			if call != want {
				t.Errorf("call %d: %+v, want %+v", i, call, want)
			}
		}
		if len(calls) != refusals+2 {
			t.Errorf("%d calls have a line, want %d", len(calls), refusals+2)
		}
		if len(states) != 2 || states[0].Message != "the list is stale" || states[1].Message != "the list is current again" {
			t.Fatalf("%+v, want stale and current again", states)
		}
		if late := states[0].Unheard - deliveryWhenPolled.Milliseconds(); late < 0 || late > sweepInterval.Milliseconds() {
			t.Errorf("stale after %d ms", states[0].Unheard)
		}
		for _, line := range []string{"sidecar.list_calls.refused:3|c\n", "sidecar.list_calls.answered:1|c\n", "sidecar.list_unheard_ms:0|g\n"} {
			if !strings.Contains(output, line) {
				t.Errorf("no %q in %s", line, output)
			}
		}
	})
}

// Guards against calls that are counted under the wrong end: staff look for a fault by these counts.
func TestListCallEndsAreClassified(t *testing.T) {
	for failure, want := range map[callFailure]metrics.ListCallEnd{
		dialRefused: metrics.ListNotConnected, dialHangs: metrics.ListNotConnected, noAnswer: metrics.ListTimedOut, refusedAtOnce: metrics.ListRefused,
		invalidAnswer: metrics.ListMalformed, answerStalls: metrics.ListTimedOut, connReset: metrics.ListBroken,
	} {
		synctest.Test(t, func(t *testing.T) {
			var log bytes.Buffer
			d := &failingDiscovery{address: "discovery", failure: failure, failingCalls: 1}
			e, _ := newListEngine(t, d, d.address, true, false, 1)
			e.log = zerolog.New(zerolog.SyncWriter(&log))
			w := e.watch
			ctx, stop := context.WithCancel(context.Background())
			go e.Run(ctx)
			time.Sleep(time.Minute)
			stop()
			<-e.stopped
			d.serving.Wait()
			synctest.Wait() // the watch has written its last line
			if w.ctx.Err() == nil {
				t.Error("the watch goes on after its engine has stopped")
			}
			for _, l := range parseLog(t, log.Bytes()) {
				if l.Call == 1 && l.End != want.String() {
					t.Errorf("failure %d: the call ends as %q, want %q", failure, l.End, want)
				}
			}
			if e.metrics.ListCalls[want].Load() == 0 {
				t.Errorf("failure %d: no call counts as %v", failure, want)
			}
		})
	}
}

// Guards against a list that counts as stale because discovery has no change: a watch that waits for longer than any call stays in
// discovery's queue has been processed, so the list is current.
func TestWatchThatWaitsConfirmsTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &failingDiscovery{address: "discovery", failure: noAnswer, failingCalls: 0}
		e, _ := newListEngine(t, d, d.address, true, true, 1)
		e.conf.KnownList.Index = 8 // discovery has no newer version
		ctx, stop := context.WithCancel(context.Background())
		go e.Run(ctx)
		for _, c := range []struct {
			at    time.Duration
			stale bool
		}{{2 * sweepInterval, true}, {maxQueueTime + sweepInterval, false}, {deliveryWhenPolled + sweepInterval, false}} {
			time.Sleep(c.at - 2*time.Millisecond)
			if ms := e.metrics.ListStaleMS.Load(); (ms > 0) != c.stale {
				t.Errorf("%v after the start or the previous check: stale for %d ms, want stale: %v", c.at, ms, c.stale)
			}
		}
		stop()
		<-e.stopped
		d.serving.Wait()
	})
}

// staleRecorder passes events to the module and records those on the staleness of the list.
type staleRecorder struct {
	Decider
	began time.Time
	notes []string
}

// Handle implements Decider.
func (n *staleRecorder) Handle(now decide.Time, ev *decide.Event, actions []decide.Action) []decide.Action {
	at := time.Since(n.began).Round(time.Millisecond)
	switch ev.Kind {
	case decide.ListMissed:
		n.notes = append(n.notes, fmt.Sprintf("%v: missed since %v ago, delivered %v after that", at, now-ev.Since, ev.DeliveredBy-ev.Since))
	case decide.ListConfirmed:
		n.notes = append(n.notes, fmt.Sprintf("%v: confirmed", at))
	}
	return n.Decider.Handle(now, ev, actions)
}

// Guards against a module that takes an outdated list for a current one: it must be notified since when changes may have been
// missed, when they count as delivered, and when none are missed any more.
func TestModuleIsNotifiedOfAStaleList(t *testing.T) {
	const oldVersion, newestVersion = 7, 8 // with this seed the first call is made 0.238 s after the start
	for name, c := range map[string]struct {
		polls   bool
		known   int64
		failure callFailure
		moves   bool
		want    []string
	}{
		"asked for, nothing is newer": {true, newestVersion, noAnswer, false, []string{"0s: missed since 0s ago, delivered 6s after that", "3.238s: confirmed"}},
		"asked for, refused at first": {true, oldVersion, refusedAfter2s, false, []string{"0s: missed since 0s ago, delivered 6s after that"}},
		"pushed, nothing is newer":    {false, newestVersion, noAnswer, false, nil},
		"pushed, refused at first":    {false, oldVersion, refusedAfter2s, false, []string{"2s: missed since 2s ago, delivered 0s after that"}},
		"another discovery":           {false, newestVersion, noAnswer, true, []string{"5s: missed since 0s ago, delivered 4s after that"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &failingDiscovery{address: "discovery", failure: c.failure}
				if c.failure == refusedAfter2s {
					d.failingCalls = 1
				}
				e, module := newListEngine(t, d, d.address, true, c.polls, 1)
				e.conf.KnownList.Index = c.known
				recorder := &staleRecorder{Decider: module, began: time.Now()}
				e.balancer = recorder
				ctx, stop := context.WithCancel(context.Background())
				go e.Run(ctx)
				time.Sleep(5 * time.Second)
				if c.moves {
					e.MoveDiscovery("another")
				}
				time.Sleep(time.Millisecond)
				stop()
				<-e.stopped
				d.serving.Wait()
				synctest.Wait()
				if !slices.Equal(recorder.notes, c.want) {
					t.Errorf("%q, want %q", recorder.notes, c.want)
				}
			})
		})
	}
}
