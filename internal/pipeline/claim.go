package pipeline

import (
	"context"
	"crypto/sha256"
	"errors"
	"time"

	"heathgap/decide"
	"heathgap/internal/httpwire"
	"heathgap/internal/state"
)

// Claim: in classes whose requests the sidecars replicate, the key of a request is claimed before the request is handed to the
// owner, and its outcome is replicated before its caller gets the answer. Both are I/O and run in the goroutine of the caller's
// connection.

// Holdings is the replicated record of keyed requests and their outcomes.
type Holdings interface {
	// Holds reports whether requests of a class are recorded.
	Holds(class string) bool
	// Claim claims the key of a request within a time limit, or returns the answer that is known for it. print is the
	// fingerprint of the request. Once the context has ended, it returns at once, with a refusal if nothing else is known.
	Claim(ctx context.Context, message *httpwire.Request, print [16]byte, within time.Duration) ClaimResult
}

// ClaimResult is the result of a claim. Answer is the answer to the request if no attempt may be sent.
type ClaimResult struct {
	Claim          Claim // nil if nothing was claimed, or if Answer is set
	Answer         *httpwire.Answer
	AttemptsWithin time.Duration // limit within which all attempts must end; 0 for no limit but the request's own
}

// Claim is a valid claim on a key.
type Claim interface {
	// MayWrite reports whether the claim is still valid. It is checked just before the first byte of an attempt is written.
	// Any goroutine may call it.
	MayWrite() bool
	// Finish records within a time limit how the request ended, and returns the answer for its caller. ran reports whether an
	// attempt may have run. Once the context has ended, it returns at once, and the recording goes on in the background.
	Finish(ctx context.Context, answer httpwire.Answer, ran bool, within time.Duration) httpwire.Answer
}

// SetHoldings makes the engine claim the keys of requests. It is called before Run.
func (e *Engine) SetHoldings(h Holdings) { e.holdings = h }

// The last part of a claimed request's time is kept for recording its outcome and writing its answer.
const (
	outcomeReserve    = 50 * time.Millisecond // it is a tenth of the time, but at most this
	answerReservePart = 5                     // one part in so many of it is for writing the answer
)

// recordingTime returns the time limit for recording the outcome of a request that has its answer now. deadline is the end of its
// attempts, and answerBy is when its caller must have the answer. If the answer came late, as after a pause of the process, the limit is
// what a request that ends at its deadline has.
func recordingTime(now, deadline, answerBy decide.Time) time.Duration {
	reserve := answerBy - deadline
	return max(reserve, answerBy-now) - reserve/answerReservePart
}

// exchangeGraceDivisor sets the part (1/2) of the time in which a stop writes the last answers that claims and recordings may still take:
// long enough for an exchange with a sidecar that answers. The rest is for writing the answers that follow from them.
const exchangeGraceDivisor = 2

// endExchangesAfter ends the exchanges of claims with other sidecars after a time. Guards against requests that the end of the
// process leaves without an answer: while their keys are claimed or their outcomes recorded, the owner does not have them and
// can't fail them.
func (e *Engine) endExchangesAfter(d time.Duration) {
	if e.holdings != nil {
		e.env.AfterFunc(d, e.endExchanges)
	}
}

var errBodyTooLong = errors.New("body: over 64 KiB, in a class whose requests are held")

// claimKey claims the key of a request and subtracts the time that this took from the request's remaining time. If it returns
// an answer, that is the request's final answer.
func (e *Engine) claimKey(message *httpwire.Request) (Claim, *httpwire.Answer) {
	if message.Upload != nil {
		return nil, &httpwire.Answer{Verdict: httpwire.Malformed, Reason: errBodyTooLong.Error(), CloseAfter: true}
	}
	began := e.clock.Now()
	result := e.holdings.Claim(e.exchanges, message, fingerprintOf(message), message.Remaining)
	if result.Answer != nil {
		return nil, result.Answer
	}
	left := message.Remaining - (e.clock.Now() - began)
	if result.AttemptsWithin > 0 {
		left = min(left, result.AttemptsWithin)
	}
	if result.Claim != nil {
		left -= min(outcomeReserve, left/10)
	}
	message.Remaining = max(left, 0)
	return result.Claim, nil
}

// fingerprintOf identifies what a request asks for. Its id and its remaining time are left out: each repeat has others.
func fingerprintOf(m *httpwire.Request) (fingerprint [16]byte) {
	h := sha256.New()
	for _, part := range []string{m.Method, m.URI, m.Type, string(m.Body)} {
		h.Write([]byte{byte(len(part)), byte(len(part) >> 8), byte(len(part) >> 16), byte(len(part) >> 24)})
		h.Write([]byte(part))
	}
	copy(fingerprint[:], h.Sum(nil))
	return fingerprint
}

// mayHaveRun reports whether any attempt of a request that is done may have run at an endpoint.
func mayHaveRun(r *state.Request) bool {
	for _, a := range r.Attempts {
		if a.MayHaveRun() {
			return true
		}
	}
	return false
}
