package oracle

import (
	"testing"
	"time"

	"heathgap/decide"
)

const ms = time.Millisecond

var testConf = Conf{AnswerSlack: 20 * ms, DrainGrace: time.Second, AskEvery: 10 * time.Second, DeliveredAfter: 6 * time.Second, Margin: 50 * ms}

// ask books a request that is written whole, with a second of time.
func ask(b *Checker, id string, effect decide.Effect, key string) {
	b.RequestBegun(Request{ID: id, Sidecar: "s", Effect: effect, Key: key, Deadline: time.Second})
	b.RequestWritten(id)
}

func arrive(b *Checker, id string, at time.Duration) {
	b.AttemptArrived(Arrival{ID: id, Endpoint: "e", FirstByte: at, LastByte: at + ms, Accepted: true})
}

// unheard has a sidecar whose calls for the list bring nothing send to an endpoint that is gone since the start.
func unheard(b *Checker, at time.Duration) {
	if len(b.notices.listings) == 0 {
		b.ListPublished(0, 1, "e", false)
	}
	b.ListCallBegun("s")
	b.RequestBegun(Request{ID: "1", Sidecar: "s", Effect: decide.Safe, Deadline: 13 * time.Second})
	b.RequestWritten("1")
	arrive(b, "1", at)
	b.AnswerReceived(12*time.Second, "1", Served)
}

// Each way to break a rule is counted under that rule and no other; its harmless
// likeness is counted under none.
func TestRules(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(b *Checker)
		rule Rule // empty for none
	}{
		"answered":    {func(b *Checker) { ask(b, "1", decide.Safe, ""); b.AnswerReceived(900*ms, "1", Served) }, ""},
		"no answer":   {func(b *Checker) { ask(b, "1", decide.Safe, ""); b.Unanswered(1100*ms, "1") }, LostRequest},
		"too late":    {func(b *Checker) { ask(b, "1", decide.Safe, ""); b.AnswerReceived(1071*ms, "1", Failed) }, LostRequest},
		"at the edge": {func(b *Checker) { ask(b, "1", decide.Safe, ""); b.AnswerReceived(1070*ms, "1", Failed) }, ""},
		"its client went": {func(b *Checker) {
			ask(b, "1", decide.Safe, "")
			b.ClientLeft(300*ms, "1")
			arrive(b, "1", 310*ms)
			b.Unanswered(1100*ms, "1")
		}, ""},
		"its sidecar was stopped": {func(b *Checker) {
			ask(b, "1", decide.Safe, "")
			b.RequestInterrupted(300*ms, "1")
			b.Unanswered(1100*ms, "1")
		}, ""},
		"answered twice": {func(b *Checker) {
			ask(b, "1", decide.Safe, "")
			b.AnswerReceived(10*ms, "1", Served)
			b.ExtraBytes(20*ms, "1")
		}, AnsweredTwice},
		"another's answer": {func(b *Checker) { ask(b, "1", decide.Safe, ""); b.ForeignAnswer(10*ms, "1") }, LostRequest},
		"sent after the answer": {func(b *Checker) {
			ask(b, "1", decide.Safe, "")
			b.AnswerReceived(10*ms, "1", Served)
			arrive(b, "1", 61*ms)
		}, SentAfterAnswer},
		"sent as the answer came": {func(b *Checker) {
			ask(b, "1", decide.Safe, "")
			b.AnswerReceived(10*ms, "1", Served)
			arrive(b, "1", 60*ms)
		}, ""},
		"sent after its time": {func(b *Checker) {
			ask(b, "1", decide.Safe, "")
			b.ClientLeft(300*ms, "1")
			arrive(b, "1", 1071*ms)
		}, SentAfterAnswer},
		"unsafe twice": {func(b *Checker) {
			ask(b, "1", decide.Unsafe, "")
			arrive(b, "1", 10*ms)
			arrive(b, "1", 20*ms)
			b.AnswerReceived(30*ms, "1", Served)
		}, DuplicateEffect},
		"safe twice": {func(b *Checker) {
			ask(b, "1", decide.Safe, "")
			arrive(b, "1", 10*ms)
			arrive(b, "1", 20*ms)
			b.AnswerReceived(30*ms, "1", Served)
		}, ""},
		"unsafe again after it was turned away": {func(b *Checker) {
			ask(b, "1", decide.Unsafe, "")
			b.AttemptArrived(Arrival{ID: "1", Endpoint: "e", FirstByte: 10 * ms, LastByte: 10 * ms})
			arrive(b, "1", 20*ms)
			b.AnswerReceived(30*ms, "1", Served)
		}, ""},
		"keyed twice beyond the window": {func(b *Checker) {
			ask(b, "1", decide.Keyed, "k")
			arrive(b, "1", 10*ms)
			arrive(b, "1", 900*ms)
			b.AnswerReceived(930*ms, "1", Served)
		}, DuplicateEffect},
		"keyed twice within the window": {func(b *Checker) {
			ask(b, "1", decide.Keyed, "k")
			arrive(b, "1", 10*ms)
			b.AttemptArrived(Arrival{ID: "1", Endpoint: "f", FirstByte: 20 * ms, LastByte: 20 * ms, Accepted: true, Repeat: true})
			b.AnswerReceived(30*ms, "1", Served)
		}, ""},
		"sent past the drain": {func(b *Checker) {
			b.ListPublished(0, 1, "e", false)
			b.ListDelivered(5*ms, "s", 1)
			ask(b, "1", decide.Safe, "")
			arrive(b, "1", 1056*ms)
			b.AnswerReceived(1060*ms, "1", Served)
		}, SentToDrained},
		"sent within the grace": {func(b *Checker) {
			b.ListPublished(0, 1, "e", false)
			b.ListDelivered(5*ms, "s", 1)
			ask(b, "1", decide.Safe, "")
			arrive(b, "1", 1055*ms)
			b.AnswerReceived(1060*ms, "1", Served)
		}, ""},
		"sent by one that was not told": {func(b *Checker) {
			b.ListPublished(0, 1, "e", false)
			b.ListDelivered(5*ms, "other", 1)
			b.ListCallBegun("s")
			ask(b, "1", decide.Safe, "")
			arrive(b, "1", 1056*ms)
			b.AnswerReceived(1060*ms, "1", Served)
		}, ""},
		"sent by one that never asks": {func(b *Checker) {
			b.SidecarStarted(0, "s", 0)
			b.ListPublished(0, 1, "e", false)
			b.RequestBegun(Request{ID: "1", Sidecar: "s", Effect: decide.Safe, Deadline: 13 * time.Second})
			b.RequestWritten("1")
			arrive(b, "1", 11051*ms)
			b.AnswerReceived(12*time.Second, "1", Served)
		}, SentToDrained},
		"sent by one that cannot ask": {func(b *Checker) {
			b.SidecarStarted(0, "s", 0)
			b.SetDiscoveryUp(0, false)
			b.ListPublished(0, 1, "e", false)
			b.RequestBegun(Request{ID: "1", Sidecar: "s", Effect: decide.Safe, Deadline: 13 * time.Second})
			b.RequestWritten("1")
			arrive(b, "1", 11051*ms)
			b.AnswerReceived(12*time.Second, "1", Served)
		}, ""},
		"sent by one that hears nothing, while its calls are refused": {func(b *Checker) {
			unheard(b, 7051*ms)
		}, SentToDrained},
		"the same within the grace": {func(b *Checker) { unheard(b, 7050*ms) }, ""},
		"the same by one whose watch was taken and waits": {func(b *Checker) {
			b.WatchAccepted("s", 6*time.Second)
			unheard(b, 8500*ms)
		}, ""},
		"the same 2 s after that wait and the grace": {func(b *Checker) {
			b.WatchAccepted("s", 6*time.Second)
			unheard(b, 9051*ms)
		}, SentToDrained},
		"sent to one that is back, by one that has heard neither": {func(b *Checker) {
			b.ListPublished(0, 1, "e", false)
			b.ListPublished(4*time.Second, 2, "e", true)
			unheard(b, 8*time.Second)
		}, SentToDrained},
		"the same by one that has heard that it is back": {func(b *Checker) {
			b.ListPublished(0, 1, "e", false)
			b.ListPublished(4*time.Second, 2, "e", true)
			b.ListDelivered(5*time.Second, "s", 2)
			unheard(b, 8*time.Second)
		}, ""},
		"the same when its being back counts as told": {func(b *Checker) {
			b.ListPublished(0, 1, "e", false)
			b.ListPublished(4*time.Second, 2, "e", true)
			unheard(b, 10*time.Second)
		}, ""},
		"sent by one that started with a list from before": {func(b *Checker) {
			b.ListPublished(0, 1, "e", false)
			b.SidecarStarted(500*ms, "s", 1)
			unheard(b, 1551*ms)
		}, SentToDrained},
		"pushed over": {func(b *Checker) { b.EndpointOverloaded(0, "e") }, OverloadedCold},
	} {
		t.Run(name, func(t *testing.T) {
			b := New(testConf)
			c.do(b)
			a := b.Close()
			for _, rule := range Rules {
				want := 0
				if rule == c.rule {
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
func TestClientsOwnRepeats(t *testing.T) {
	b := New(testConf)
	for i, id := range []string{"1", "2"} {
		ask(b, id, decide.Keyed, "k")
		arrive(b, id, time.Duration(i)*100*ms)
		b.AnswerReceived(900*ms, id, Served)
	}
	if a := b.Close(); a.NumViolations() != 0 || a.Repeats != 1 {
		t.Errorf("%v and %d repeats, want none broken and 1", a.Violations, a.Repeats)
	}
}

// Guards against a book that grows for as long as a run lasts, or that forgets what
// may still be held against a sidecar.
func TestFold(t *testing.T) {
	b := New(testConf)
	ask(b, "1", decide.Safe, "")
	b.AnswerReceived(10*ms, "1", Served)
	b.Prune(time.Second + linger)
	arrive(b, "1", 2*time.Second)
	b.Prune(time.Second + linger + 1)
	if len(b.requests)+len(b.order) > 0 {
		t.Error("a request is kept for ever")
	}
	if a := b.Close(); a.Rules[SentAfterAnswer] != 1 {
		t.Errorf("%v, want what was sent after the end", a.Rules)
	}
}

// A request that crossed the end of its connection may be sent once more unless an
// endpoint has run it.
func TestCrossing(t *testing.T) {
	b := New(testConf)
	ask(b, "1", decide.Safe, "")
	if !b.RetractRequest("1") {
		t.Error("it had reached no endpoint and may not be sent again")
	}
	ask(b, "1", decide.Safe, "")
	arrive(b, "1", 10*ms)
	if b.RetractRequest("1") {
		t.Error("it has run and may be sent again")
	}
	b.Unanswered(20*ms, "1")
	if a := b.Close(); a.Sidecars["s"].Requests != 1 || a.Rules[LostRequest] != 1 || a.Balance() != nil {
		t.Errorf("%+v", a)
	}
}

func TestBalanceNotices(t *testing.T) {
	b := New(testConf)
	ask(b, "1", decide.Safe, "")
	if a := b.Close(); a.Balance() == nil {
		t.Error("a request without an end goes unnoticed")
	}
	b = New(testConf)
	arrive(b, "ghost", 0)
	if a := b.Close(); a.Balance() == nil {
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
