package oracle

import (
	"testing"
	"time"

	"heathgap/decide"
)

const ms = time.Millisecond

var testConf = Conf{AnswerSlack: 20 * ms, DrainGrace: time.Second, PollEvery: 10 * time.Second, DeliveredAfter: 6 * time.Second, Margin: 50 * ms}

// sendRequest records a request that was written completely and has a deadline of one second.
func sendRequest(c *Checker, id string, effect decide.Effect, key string) {
	c.RequestBegun(Request{ID: id, Sidecar: "s", Effect: effect, Key: key, Deadline: time.Second})
	c.RequestWritten(id)
}

// attemptArrives records an attempt that the endpoint e accepted.
func attemptArrives(c *Checker, id string, at time.Duration) {
	c.AttemptArrived(Arrival{ID: id, Endpoint: "e", FirstByte: at, LastByte: at + ms, Accepted: true})
}

// sendUndelivered records that a sidecar with an open call for the list, to which nothing was delivered in that call, sends a request
// to an endpoint at a time. Without other changes in the list, the endpoint was removed from it at the start.
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

// Each violation is counted under its rule and no other. A similar case that is allowed
// is counted under none.
func TestRules(t *testing.T) {
	for name, test := range map[string]struct {
		do   func(c *Checker)
		rule Rule // empty for none
	}{
		"answered":    {func(c *Checker) { sendRequest(c, "1", decide.Safe, ""); c.AnswerReceived(900*ms, "1", Served) }, ""},
		"no answer":   {func(c *Checker) { sendRequest(c, "1", decide.Safe, ""); c.Unanswered(1100*ms, "1") }, LostRequest},
		"too late":    {func(c *Checker) { sendRequest(c, "1", decide.Safe, ""); c.AnswerReceived(1071*ms, "1", Failed) }, LostRequest},
		"at the edge": {func(c *Checker) { sendRequest(c, "1", decide.Safe, ""); c.AnswerReceived(1070*ms, "1", Failed) }, ""},
		"its client left": {func(c *Checker) {
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
		"answer for another request": {func(c *Checker) { sendRequest(c, "1", decide.Safe, ""); c.ForeignAnswer(10*ms, "1") }, LostRequest},
		"sent after the answer": {func(c *Checker) {
			sendRequest(c, "1", decide.Safe, "")
			c.AnswerReceived(10*ms, "1", Served)
			attemptArrives(c, "1", 61*ms)
		}, SentAfterAnswer},
		"sent when the answer came": {func(c *Checker) {
			sendRequest(c, "1", decide.Safe, "")
			c.AnswerReceived(10*ms, "1", Served)
			attemptArrives(c, "1", 60*ms)
		}, ""},
		"sent after its deadline": {func(c *Checker) {
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
		"unsafe again after it was rejected": {func(c *Checker) {
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
		"sent after the drain grace": {func(c *Checker) {
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
		"sent by a sidecar to which the drain was not delivered": {func(c *Checker) {
			c.ListPublished(0, 1, "e", false)
			c.ListDelivered(5*ms, "other", 1)
			c.ListCallBegun("s")
			sendRequest(c, "1", decide.Safe, "")
			attemptArrives(c, "1", 1056*ms)
			c.AnswerReceived(1060*ms, "1", Served)
		}, ""},
		"sent by a sidecar that never polls": {func(c *Checker) {
			c.SidecarStarted(0, "s", 0)
			c.ListPublished(0, 1, "e", false)
			c.RequestBegun(Request{ID: "1", Sidecar: "s", Effect: decide.Safe, Deadline: 13 * time.Second})
			c.RequestWritten("1")
			attemptArrives(c, "1", 11051*ms)
			c.AnswerReceived(12*time.Second, "1", Served)
		}, SentToDrained},
		"sent by a sidecar while discovery is down": {func(c *Checker) {
			c.SidecarStarted(0, "s", 0)
			c.SetDiscoveryUp(0, false)
			c.ListPublished(0, 1, "e", false)
			c.RequestBegun(Request{ID: "1", Sidecar: "s", Effect: decide.Safe, Deadline: 13 * time.Second})
			c.RequestWritten("1")
			attemptArrives(c, "1", 11051*ms)
			c.AnswerReceived(12*time.Second, "1", Served)
		}, ""},
		"sent by a sidecar that receives nothing, when the change counts as delivered": {func(c *Checker) {
			sendUndelivered(c, 7051*ms)
		}, SentToDrained},
		"the same within the grace": {func(c *Checker) { sendUndelivered(c, 7050*ms) }, ""},
		"the same by a sidecar whose accepted watch waits": {func(c *Checker) {
			c.WatchAccepted("s", 6*time.Second)
			sendUndelivered(c, 8500*ms)
		}, ""},
		"the same watchSlack and the grace after that wait": {func(c *Checker) {
			c.WatchAccepted("s", 6*time.Second)
			sendUndelivered(c, 9051*ms)
		}, SentToDrained},
		"sent to an endpoint that is back, by a sidecar that received neither change": {func(c *Checker) {
			c.ListPublished(0, 1, "e", false)
			c.ListPublished(4*time.Second, 2, "e", true)
			sendUndelivered(c, 8*time.Second)
		}, SentToDrained},
		"the same by a sidecar that received that the endpoint is back": {func(c *Checker) {
			c.ListPublished(0, 1, "e", false)
			c.ListPublished(4*time.Second, 2, "e", true)
			c.ListDelivered(5*time.Second, "s", 2)
			sendUndelivered(c, 8*time.Second)
		}, ""},
		"the same when the endpoint's return counts as delivered": {func(c *Checker) {
			c.ListPublished(0, 1, "e", false)
			c.ListPublished(4*time.Second, 2, "e", true)
			sendUndelivered(c, 10*time.Second)
		}, ""},
		"sent by a sidecar that started with a list of that version": {func(c *Checker) {
			c.ListPublished(0, 1, "e", false)
			c.SidecarStarted(500*ms, "s", 1)
			sendUndelivered(c, 1551*ms)
		}, SentToDrained},
		"overloaded while cold": {func(c *Checker) { c.EndpointOverloaded(0, "e") }, OverloadedCold},
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

// Requests that clients send again under one key are counted as the clients' repeats, not
// as a violation by the sidecar.
func TestRepeatedKeyByClient(t *testing.T) {
	c := New(testConf)
	for i, id := range []string{"1", "2"} {
		sendRequest(c, id, decide.Keyed, "k")
		attemptArrives(c, id, time.Duration(i)*100*ms)
		c.AnswerReceived(900*ms, id, Served)
	}
	if a := c.Close(); a.NumViolations() != 0 || a.Repeats != 1 {
		t.Errorf("violations %v and %d repeats, want no violation and 1 repeat", a.Violations, a.Repeats)
	}
}

// Guards against records that grow for as long as a run lasts, and against a Prune that
// deletes requests whose late attempts must still be checked.
func TestPruneKeepsRecentRequests(t *testing.T) {
	c := New(testConf)
	sendRequest(c, "1", decide.Safe, "")
	c.AnswerReceived(10*ms, "1", Served)
	c.Prune(time.Second + retention)
	attemptArrives(c, "1", 2*time.Second)
	c.Prune(time.Second + retention + 1)
	if len(c.requests)+len(c.byStart) > 0 {
		t.Error("a request is kept after Prune")
	}
	if a := c.Close(); a.Rules[SentAfterAnswer] != 1 {
		t.Errorf("%v, want one attempt after the answer", a.Rules)
	}
}

// A request whose connection was closed while the request was on its way may be sent again,
// unless an attempt for it has reached an endpoint.
func TestRetractRequest(t *testing.T) {
	c := New(testConf)
	sendRequest(c, "1", decide.Safe, "")
	if !c.RetractRequest("1") {
		t.Error("a request that reached no endpoint may not be sent again")
	}
	sendRequest(c, "1", decide.Safe, "")
	attemptArrives(c, "1", 10*ms)
	if c.RetractRequest("1") {
		t.Error("a request that has run may be sent again")
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
		t.Error("Balance does not report a request without an outcome")
	}
	c = New(testConf)
	attemptArrives(c, "ghost", 0)
	if a := c.Close(); a.Balance() == nil {
		t.Error("Balance does not report an attempt whose request no client sent")
	}
}

func TestService(t *testing.T) {
	s := NewService(map[string]Worth{"look": {Full: 2, Late: 0.5, Aim: 100 * ms, Deadline: time.Second}}, time.Second)
	for _, w := range []LogicalRequest{
		{Due: 0, Served: true, Took: ms},                                // due before requests count
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
		t.Error("the only class and the only tenant differ from the whole")
	}
	if series := s.Series(); len(series) != 3 || series[0].Requests != 1 || series[2].Earned != 0 || series[1].Earned != 3 {
		t.Errorf("series %+v", series)
	}
}
