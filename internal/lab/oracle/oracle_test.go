package oracle

import (
	"testing"
	"time"

	"heathgap/decide"
)

const ms = time.Millisecond

var testConf = Conf{AnswerSlack: 20 * ms, DrainGrace: time.Second, AskEvery: 10 * time.Second, DeliveredAfter: 6 * time.Second, Margin: 50 * ms}

// sendRequest books a request that is written whole, with a second of time.
func sendRequest(c *Checker, id string, effect decide.Effect, key string) {
	c.RequestBegun(Request{ID: id, Sidecar: "s", Effect: effect, Key: key, Deadline: time.Second})
	c.RequestWritten(id)
}

func attemptArrives(c *Checker, id string, at time.Duration) {
	c.AttemptArrived(Arrival{ID: id, Endpoint: "e", FirstByte: at, LastByte: at + ms, Accepted: true})
}

// sendUndelivered has a sidecar whose calls for the list bring nothing send to an endpoint that is gone since the start.
func sendUndelivered(c *Checker, at time.Duration) {
	if len(c.listState.changes) == 0 {
		c.ListPublished(0, 1, "e", false)
	}
	c.ListCallBegun("s")
	c.RequestBegun(Request{ID: "1", Sidecar: "s", Effect: decide.Safe, Deadline: 13 * time.Second})
	c.RequestWritten("1")
	attemptArrives(c, "1", at)
	c.AnswerReceived(12*time.Second, "1", Served)
}

// Each way to break a rule is counted under that rule and no other; its harmless
// likeness is counted under none.
func TestRules(t *testing.T) {
	for name, test := range map[string]struct {
		do   func(c *Checker)
		rule Rule // empty for none
	}{
		"answered":    {func(c *Checker) { sendRequest(c, "1", decide.Safe, ""); c.AnswerReceived(900*ms, "1", Served) }, ""},
		"no answer":   {func(c *Checker) { sendRequest(c, "1", decide.Safe, ""); c.Unanswered(1100*ms, "1") }, LostRequest},
		"too late":    {func(c *Checker) { sendRequest(c, "1", decide.Safe, ""); c.AnswerReceived(1071*ms, "1", Failed) }, LostRequest},
		"at the edge": {func(c *Checker) { sendRequest(c, "1", decide.Safe, ""); c.AnswerReceived(1070*ms, "1", Failed) }, ""},
		"its client went": {func(c *Checker) {
			sendRequest(c, "1", decide.Safe, "")
			c.ClientLeft(300*ms, "1")
			attemptArrives(c, "1", 310*ms)
			c.Unanswered(1100*ms, "1")
		}, ""},
		"its sidecar was stopped": {func(c *Checker) {
			sendRequest(c, "1", decide.Safe, "")
			c.RequestInterrupted(300*ms, "1")
			c.Unanswered(1100*ms, "1")
		}, ""},
		"answered twice": {func(c *Checker) {
			sendRequest(c, "1", decide.Safe, "")
			c.AnswerReceived(10*ms, "1", Served)
			c.ExtraBytes(20*ms, "1")
		}, AnsweredTwice},
		"another's answer": {func(c *Checker) { sendRequest(c, "1", decide.Safe, ""); c.ForeignAnswer(10*ms, "1") }, LostRequest},
		"sent after the answer": {func(c *Checker) {
			sendRequest(c, "1", decide.Safe, "")
			c.AnswerReceived(10*ms, "1", Served)
			attemptArrives(c, "1", 61*ms)
		}, SentAfterAnswer},
		"sent as the answer came": {func(c *Checker) {
			sendRequest(c, "1", decide.Safe, "")
			c.AnswerReceived(10*ms, "1", Served)
			attemptArrives(c, "1", 60*ms)
		}, ""},
		"sent after its time": {func(c *Checker) {
			sendRequest(c, "1", decide.Safe, "")
			c.ClientLeft(300*ms, "1")
			attemptArrives(c, "1", 1071*ms)
		}, SentAfterAnswer},
		"unsafe twice": {func(c *Checker) {
			sendRequest(c, "1", decide.Unsafe, "")
			attemptArrives(c, "1", 10*ms)
			attemptArrives(c, "1", 20*ms)
			c.AnswerReceived(30*ms, "1", Served)
		}, DuplicateEffect},
		"safe twice": {func(c *Checker) {
			sendRequest(c, "1", decide.Safe, "")
			attemptArrives(c, "1", 10*ms)
			attemptArrives(c, "1", 20*ms)
			c.AnswerReceived(30*ms, "1", Served)
		}, ""},
		"unsafe again after it was turned away": {func(c *Checker) {
			sendRequest(c, "1", decide.Unsafe, "")
			c.AttemptArrived(Arrival{ID: "1", Endpoint: "e", FirstByte: 10 * ms, LastByte: 10 * ms})
			attemptArrives(c, "1", 20*ms)
			c.AnswerReceived(30*ms, "1", Served)
		}, ""},
		"keyed twice beyond the window": {func(c *Checker) {
			sendRequest(c, "1", decide.Keyed, "k")
			attemptArrives(c, "1", 10*ms)
			attemptArrives(c, "1", 900*ms)
			c.AnswerReceived(930*ms, "1", Served)
		}, DuplicateEffect},
		"keyed twice within the window": {func(c *Checker) {
			sendRequest(c, "1", decide.Keyed, "k")
			attemptArrives(c, "1", 10*ms)
			c.AttemptArrived(Arrival{ID: "1", Endpoint: "f", FirstByte: 20 * ms, LastByte: 20 * ms, Accepted: true, Repeat: true})
			c.AnswerReceived(30*ms, "1", Served)
		}, ""},
		"sent past the drain": {func(c *Checker) {
			c.ListPublished(0, 1, "e", false)
			c.ListDelivered(5*ms, "s", 1)
			sendRequest(c, "1", decide.Safe, "")
			attemptArrives(c, "1", 1056*ms)
			c.AnswerReceived(1060*ms, "1", Served)
		}, SentToDrained},
		"sent within the grace": {func(c *Checker) {
			c.ListPublished(0, 1, "e", false)
			c.ListDelivered(5*ms, "s", 1)
			sendRequest(c, "1", decide.Safe, "")
			attemptArrives(c, "1", 1055*ms)
			c.AnswerReceived(1060*ms, "1", Served)
		}, ""},
		"sent by one that was not told": {func(c *Checker) {
			c.ListPublished(0, 1, "e", false)
			c.ListDelivered(5*ms, "other", 1)
			c.ListCallBegun("s")
			sendRequest(c, "1", decide.Safe, "")
			attemptArrives(c, "1", 1056*ms)
			c.AnswerReceived(1060*ms, "1", Served)
		}, ""},
		"sent by one that never asks": {func(c *Checker) {
			c.SidecarStarted(0, "s", 0)
			c.ListPublished(0, 1, "e", false)
			c.RequestBegun(Request{ID: "1", Sidecar: "s", Effect: decide.Safe, Deadline: 13 * time.Second})
			c.RequestWritten("1")
			attemptArrives(c, "1", 11051*ms)
			c.AnswerReceived(12*time.Second, "1", Served)
		}, SentToDrained},
		"sent by one that cannot ask": {func(c *Checker) {
			c.SidecarStarted(0, "s", 0)
			c.SetDiscoveryUp(0, false)
			c.ListPublished(0, 1, "e", false)
			c.RequestBegun(Request{ID: "1", Sidecar: "s", Effect: decide.Safe, Deadline: 13 * time.Second})
			c.RequestWritten("1")
			attemptArrives(c, "1", 11051*ms)
			c.AnswerReceived(12*time.Second, "1", Served)
		}, ""},
		"sent by one that hears nothing, while its calls are refused": {func(c *Checker) {
			sendUndelivered(c, 7051*ms)
		}, SentToDrained},
		"the same within the grace": {func(c *Checker) { sendUndelivered(c, 7050*ms) }, ""},
		"the same by one whose watch was taken and waits": {func(c *Checker) {
			c.WatchAccepted("s", 6*time.Second)
			sendUndelivered(c, 8500*ms)
		}, ""},
		"the same 2 s after that wait and the grace": {func(c *Checker) {
			c.WatchAccepted("s", 6*time.Second)
			sendUndelivered(c, 9051*ms)
		}, SentToDrained},
		"sent to one that is back, by one that has heard neither": {func(c *Checker) {
			c.ListPublished(0, 1, "e", false)
			c.ListPublished(4*time.Second, 2, "e", true)
			sendUndelivered(c, 8*time.Second)
		}, SentToDrained},
		"the same by one that has heard that it is back": {func(c *Checker) {
			c.ListPublished(0, 1, "e", false)
			c.ListPublished(4*time.Second, 2, "e", true)
			c.ListDelivered(5*time.Second, "s", 2)
			sendUndelivered(c, 8*time.Second)
		}, ""},
		"the same when its being back counts as told": {func(c *Checker) {
			c.ListPublished(0, 1, "e", false)
			c.ListPublished(4*time.Second, 2, "e", true)
			sendUndelivered(c, 10*time.Second)
		}, ""},
		"sent by one that started with a list from before": {func(c *Checker) {
			c.ListPublished(0, 1, "e", false)
			c.SidecarStarted(500*ms, "s", 1)
			sendUndelivered(c, 1551*ms)
		}, SentToDrained},
		"pushed over": {func(c *Checker) { c.EndpointOverloaded(0, "e") }, OverloadedCold},
	} {
		t.Run(name, func(t *testing.T) {
			c := New(testConf)
			test.do(c)
			a := c.Close()
			for _, rule := range Rules {
				want := 0
				if rule == test.rule {
					want = 1
				}
				if a.Rules[rule] != want {
					t.Errorf("%s: %d, want %d (%v)", rule, a.Rules[rule], want, a.Violations)
				}
			}
			if err := a.Balance(); err != nil {
				t.Error(err)
			}
		})
	}
}

// Clients that ask again under one key double their effect themselves.
func TestRepeatedKeyByClient(t *testing.T) {
	c := New(testConf)
	for i, id := range []string{"1", "2"} {
		sendRequest(c, id, decide.Keyed, "k")
		attemptArrives(c, id, time.Duration(i)*100*ms)
		c.AnswerReceived(900*ms, id, Served)
	}
	if a := c.Close(); a.NumViolations() != 0 || a.Repeats != 1 {
		t.Errorf("%v and %d repeats, want none broken and 1", a.Violations, a.Repeats)
	}
}

// Guards against a book that grows for as long as a run lasts, or that forgets what
// may still be held against a sidecar.
func TestPruneKeepsRecentRequests(t *testing.T) {
	c := New(testConf)
	sendRequest(c, "1", decide.Safe, "")
	c.AnswerReceived(10*ms, "1", Served)
	c.Prune(time.Second + retention)
	attemptArrives(c, "1", 2*time.Second)
	c.Prune(time.Second + retention + 1)
	if len(c.requests)+len(c.byStart) > 0 {
		t.Error("a request is kept for ever")
	}
	if a := c.Close(); a.Rules[SentAfterAnswer] != 1 {
		t.Errorf("%v, want what was sent after the end", a.Rules)
	}
}

// A request that crossed the end of its connection may be sent once more unless an
// endpoint has run it.
func TestRetractRequest(t *testing.T) {
	c := New(testConf)
	sendRequest(c, "1", decide.Safe, "")
	if !c.RetractRequest("1") {
		t.Error("it had reached no endpoint and may not be sent again")
	}
	sendRequest(c, "1", decide.Safe, "")
	attemptArrives(c, "1", 10*ms)
	if c.RetractRequest("1") {
		t.Error("it has run and may be sent again")
	}
	c.Unanswered(20*ms, "1")
	if a := c.Close(); a.Sidecars["s"].Requests != 1 || a.Rules[LostRequest] != 1 || a.Balance() != nil {
		t.Errorf("%+v", a)
	}
}

func TestBalanceReportsMismatch(t *testing.T) {
	c := New(testConf)
	sendRequest(c, "1", decide.Safe, "")
	if a := c.Close(); a.Balance() == nil {
		t.Error("a request without an end goes unnoticed")
	}
	c = New(testConf)
	attemptArrives(c, "ghost", 0)
	if a := c.Close(); a.Balance() == nil {
		t.Error("an attempt that no client sent goes unnoticed")
	}
}

func TestService(t *testing.T) {
	s := NewService(map[string]Worth{"look": {Full: 2, Late: 0.5, Aim: 100 * ms, Deadline: time.Second}}, time.Second)
	for _, w := range []LogicalRequest{
		{Due: 0, Served: true, Took: ms},                                // before the count begins
		{Due: time.Second, Served: true, Took: 100 * ms, Tries: 1},      // in time
		{Due: time.Second, Served: true, Took: 101 * ms, Tries: 2},      // late
		{Due: 2 * time.Second, Served: true, Took: 1001 * ms, Tries: 1}, // too late
		{Due: 2 * time.Second, Tries: 1},
	} {
		w.Class, w.Tenant = "look", "a"
		s.Ended(w)
	}
	f := s.All()
	if f.Requests != 4 || f.Served != 3 || f.InTime != 1 || f.Service != 0.375 || s.Tries() != 5 {
		t.Errorf("%+v, tries %d", f, s.Tries())
	}
	if f != s.Classes()["look"] || f != s.Tenants()["a"] {
		t.Error("class and tenant differ from the whole")
	}
	if series := s.Series(); len(series) != 3 || series[0].Requests != 1 || series[2].Earned != 0 || series[1].Earned != 3 {
		t.Errorf("series %+v", series)
	}
}
