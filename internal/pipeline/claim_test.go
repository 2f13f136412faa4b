package pipeline

import (
	"context"
	"testing"
	"time"

	"heathgap/internal/httpwire"
)

// Guards against claims that go on when the process has ended everything at once: nobody waits for them.
func TestExchangesOfClaimsEndWithTheEngine(t *testing.T) {
	e := newTestEngine(t)
	e.conf.Settings.MustPoll = true // the engine makes no call to discovery by itself
	ctx, stop := context.WithCancel(t.Context())
	go e.Run(ctx)
	if e.exchanges.Err() != nil {
		t.Fatal("claims can't wait for other sidecars while the engine runs")
	}
	stop()
	<-e.stopped
	if e.exchanges.Err() == nil {
		t.Error("claims go on after the engine has stopped")
	}
}

// Guards against answers that come later than their request's time because the recording of the outcome is given longer than that: in
// short requests, the part of the time that is kept for it is small.
func TestRecordingEndsWithinTheTimeOfItsRequest(t *testing.T) {
	for _, remaining := range []time.Duration{20, 100, 200, 500, 3000} {
		remaining *= time.Millisecond
		for name, answeredAt := range map[string]time.Duration{"at once": 0, "at the deadline": remaining} {
			message := &httpwire.Request{Remaining: remaining}
			e := newTestEngine(t)
			e.SetHoldings(&grantingHoldings{})
			began := e.clock.Now()
			if _, answer := e.claimKey(message); answer != nil {
				t.Fatalf("%+v", answer)
			}
			deadline, answerBy := began+message.Remaining, began+remaining
			now := min(began+answeredAt, deadline)
			if limit := recordingTime(now, deadline, answerBy); limit <= 0 || now+limit >= answerBy {
				t.Errorf("%v, answered %s: the recording has %v, %v are left", remaining, name, limit, answerBy-now)
			}
		}
	}
}

// grantingHoldings are holdings that grant each claim at once.
type grantingHoldings struct{ slowClaims }

// Claim implements Holdings.
func (*grantingHoldings) Claim(context.Context, *httpwire.Request, [16]byte, time.Duration) ClaimResult {
	return ClaimResult{Claim: &slowClaims{}}
}
