package pipeline

import (
	"crypto/sha256"
	"errors"
	"time"

	"heathgap/internal/httpwire"
	"heathgap/internal/state"
)

// Hold: a request of a class whose keys sidecars hold for one another is claimed before it is handed to the owner, and its
// outcome is copied before its caller hears it. Both are I/O, and belong to the goroutine of the caller's connection.

// Holdings are what sidecars hold for one another.
type Holdings interface {
	// Holds tells whether requests of a class are held.
	Holds(class string) bool
	// Claim claims a request's key within a time, or tells what is known of it.
	Claim(message *httpwire.Request, print [16]byte, within time.Duration) ClaimResult
}

// ClaimResult is what came of a claim. Answer is the request's answer where nothing is to be sent.
type ClaimResult struct {
	Claim          Claim // nil where nothing was promised, or nothing is to be sent
	Answer         *httpwire.Answer
	AttemptsWithin time.Duration // all attempts have to have ended by then; 0 for no bound but the request's
}

// Claim is one claim.
type Claim interface {
	// MayWrite tells whether the claim still stands: it is looked at just before a first byte leaves. Any goroutine may ask.
	MayWrite() bool
	// Finish has it known how the request ended, within a time, and returns what its caller hears.
	Finish(answer httpwire.Answer, ran bool, within time.Duration) httpwire.Answer
}

// SetHoldings has the engine hold keys. It is called before Run.
func (e *Engine) SetHoldings(h Holdings) { e.holdings = h }

// outcomeReserve is a held request's time that is kept for its outcome: a tenth, up to that.
const outcomeReserve = 50 * time.Millisecond

var errBodyTooLong = errors.New("body: over 64 KiB, in a class whose requests are held")

// claimKey claims a request's key, and takes its time from the request's. An answer is the request's.
func (e *Engine) claimKey(message *httpwire.Request) (Claim, *httpwire.Answer) {
	if message.Upload != nil {
		return nil, &httpwire.Answer{Verdict: httpwire.Malformed, Reason: errBodyTooLong.Error(), CloseAfter: true}
	}
	began := e.clock.Now()
	result := e.holdings.Claim(message, fingerprintOf(message), message.Remaining)
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

// fingerprintOf identifies what a request asks for: not its id, which each repeat has anew, nor the time that it has.
func fingerprintOf(m *httpwire.Request) (fingerprint [16]byte) {
	h := sha256.New()
	for _, part := range []string{m.Method, m.URI, m.Type, string(m.Body)} {
		h.Write([]byte{byte(len(part)), byte(len(part) >> 8), byte(len(part) >> 16), byte(len(part) >> 24)})
		h.Write([]byte(part))
	}
	copy(fingerprint[:], h.Sum(nil))
	return fingerprint
}

// mayHaveRun tells whether any attempt of a request that is over may have come to an endpoint.
func mayHaveRun(r *state.Request) bool {
	for _, a := range r.Attempts {
		if a.MayHaveRun() {
			return true
		}
	}
	return false
}
