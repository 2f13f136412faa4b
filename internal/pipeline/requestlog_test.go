package pipeline

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"heathgap/decide"
	"heathgap/internal/httpwire"
)

// loggedRequest holds the fields of a log line on a request that the tests read.
type loggedRequest struct {
	Message, Request, End, Reason, To string
	List                              int64
	Suppressed                        int
	Attempts                          []struct{ To, Outcome string }
}

// Guards against failed or resent requests that nobody can explain: each has a log line with the caller's id, the reason, the earlier
// attempts and the version of the list. Lines beyond the limit are counted instead of written.
func TestRequestsThatAreNotServedAreLogged(t *testing.T) {
	var log bytes.Buffer
	e := newTestEngine(t)
	e.log, e.listVersion = zerolog.New(&log), 7
	id := e.updateEndpoints(listOf("s", "127.0.0.1:1", decide.Active))[0].ID
	until := e.clock.Now() + time.Minute
	r := e.requests.Add(&httpwire.Request{ID: "txn-1", Class: "look"}, until, make(chan httpwire.Answer, 1))
	first := e.requests.Begin(r, e.endpoints.Get(id), e.clock.Now(), until)
	first.GiveUp = func() {}
	e.settle(first, decide.Rejected, nil)

	e.logRetry(r, decide.Action{Kind: decide.Send, Request: r.ID, Endpoint: id})
	e.logRetry(r, decide.Action{Kind: decide.Send, Request: r.ID, Endpoint: id, Reason: decide.Retried})
	e.perform(decide.Action{Kind: decide.Refuse, Request: r.ID, Reason: decide.NoRetryToken})
	if n := e.counters.Reasons[decide.NoRetryToken]; n != 1 {
		t.Errorf("counted %d times, want once", n)
	}
	attempts := []struct{ To, Outcome string }{{"s", "rejected"}}
	want := []loggedRequest{
		{Message: "request sent again", Request: "txn-1", Reason: "retried", To: "s", List: 7, Attempts: attempts},
		{Message: "request not served", Request: "txn-1", Reason: "no_retry_token", End: "refused", List: 7, Attempts: attempts},
	}
	var got []loggedRequest
	for line := range bytes.Lines(log.Bytes()) {
		var l loggedRequest
		if err := json.Unmarshal(line, &l); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		got = append(got, l)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
}

// Guards against a request whose caller leaves without a trace: its line tells how that was found.
func TestRequestsWhoseCallersLeaveAreLogged(t *testing.T) {
	var log bytes.Buffer
	e := newTestEngine(t)
	e.log = zerolog.New(&log)
	r := e.requests.Add(&httpwire.Request{ID: "txn-1", Class: "look"}, e.clock.Now()+time.Minute, make(chan httpwire.Answer, 1))
	callerDisconnected{&arrival{request: r}}.handle(e)
	foundDisconnected{r}.handle(e) // it has ended
	var got loggedRequest
	if err := json.Unmarshal(log.Bytes(), &got); err != nil {
		t.Fatalf("%q: %v", log.String(), err)
	}
	want := loggedRequest{Message: "request not served", Request: "txn-1", End: "caller_left", Reason: "seen_by_watch", Attempts: []struct{ To, Outcome string }{}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
}

func TestRequestLinesAreLimited(t *testing.T) {
	var budget logLimiter
	written, suppressed := 0, 0
	for now := decide.Time(0); now < 3*time.Second; now += time.Millisecond {
		if n, ok := budget.allow(now + time.Hour); ok {
			written, suppressed = written+1, suppressed+n
		}
	}
	if written != 3*maxRequestLinesPerSecond || suppressed+budget.suppressed+written != 3000 {
		t.Errorf("%d lines written and %d suppressed, of 3000 in 3 s", written, suppressed+budget.suppressed)
	}
}
