package member

import (
	"bytes"
	"context"
	"time"

	"heathgap/decide"
	"heathgap/internal/holdings"
	"heathgap/internal/httpwire"
	"heathgap/internal/operator"
	"heathgap/internal/pipeline"
)

// Claims: the key of a request is claimed at its primary, and the outcome is recorded there.

// Times and limits of claims.
const (
	commandTimeout = 300 * time.Millisecond // for one command to a primary; it is retried
	minRetryDelay  = 10 * time.Millisecond  // before the first retry; doubled with each further one up to maxRetryDelay
	maxRetryDelay  = 80 * time.Millisecond
	// refusedRetryAfter is sent to refused callers: a lost primary is replaced within about a lease.
	refusedRetryAfter = time.Second
	refusalLogEvery   = time.Second // at most one log line for each kind of refusal
	// backgroundTimeout is how long a command is retried after its request's own time is up: longer than it takes to replace a lost
	// primary. maxBackground bounds the number of such commands at a time.
	backgroundTimeout = 15 * time.Second
	maxBackground     = 1024
	backgroundShare   = 16 // one part in so many of the memory for entries is for the outcomes of such commands
)

// heldClass is a class whose requests are recorded in the holdings, and what to do with them when no primary answers.
type heldClass struct {
	decide.Class
	alone operator.WhenAlone
}

// execute sends an owner's command to the primary of its key, and retries until there is an answer that retries would not change, or
// until the deadline or the end of the context: then it returns the last answer. While the request is running elsewhere, it retries
// until that ends.
func (hs *holdingsService) execute(ctx context.Context, command *holdings.Command, deadline time.Time) holdings.Answer {
	answer, delay := holdings.Answer{Kind: holdings.AnswerNone}, minRetryDelay
	for ctx.Err() == nil {
		answer = hs.executeOnce(ctx, command, deadline)
		switch answer.Kind {
		case holdings.AnswerNotPrimary, holdings.AnswerTooFewReplicas, holdings.AnswerRunning, holdings.AnswerNone:
		default:
			return answer
		}
		if left := deadline.Sub(hs.member.env.Now()); left <= delay || hs.isStopped() {
			return answer
		}
		hs.sleep(ctx, delay)
		delay = min(2*delay, maxRetryDelay)
	}
	return answer
}

// sleep pauses the calling goroutine for a duration, or until the context ends.
func (hs *holdingsService) sleep(ctx context.Context, d time.Duration) {
	timer := hs.member.env.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C():
	case <-ctx.Done():
	}
}

func (hs *holdingsService) executeOnce(ctx context.Context, command *holdings.Command, deadline time.Time) holdings.Answer {
	hs.mu.Lock()
	primary, address, me := holdings.Incarnation{}, "", hs.me
	if hs.view.Placement != nil {
		if replicas := hs.view.Placement.Shards[command.Key.Shard()].Replicas; len(replicas) > 0 {
			primary = replicas[0].Incarnation
			address = hs.addresses[primary]
		}
	}
	hs.mu.Unlock()
	if command.Op == holdings.OpClaim && command.Owner != me { // this sidecar has joined anew: claim under its present incarnation
		command.Owner = me
	}
	timeout := min(commandTimeout, deadline.Sub(hs.member.env.Now()))
	switch {
	case address == "" || command.Owner == (holdings.Incarnation{}):
		return holdings.Answer{Kind: holdings.AnswerNotPrimary}
	case primary == me:
		queued := *command
		return hs.handleCommand(ctx, &queued, timeout)
	}
	var answer holdings.Answer
	if err := hs.call(ctx, address, "hold-ask", command, &answer, timeout); err != nil {
		return holdings.Answer{Kind: holdings.AnswerNone}
	}
	return answer
}

// Holds implements pipeline.Holdings.
func (hs *holdingsService) Holds(class string) bool {
	_, held := hs.classes[class]
	return held
}

// claim is the claim of one request on its key.
type claim struct {
	service *holdingsService
	class   heldClass
	command holdings.Command
}

// Claim implements pipeline.Holdings.
func (hs *holdingsService) Claim(ctx context.Context, request *httpwire.Request, fingerprint [16]byte, within time.Duration) pipeline.ClaimResult {
	class := hs.classes[request.Class]
	deadline := hs.member.env.Now().Add(within)
	command := holdings.Command{
		Op: holdings.OpClaim, Key: holdings.Key{Class: request.Class, Tenant: request.Tenant, Text: request.Key},
		Claim: hs.lastClaim.Add(1), Fingerprint: fingerprint, Lifetime: within,
	}
	// The time left must be enough to send the request and to store its outcome.
	answer := hs.execute(ctx, &command, deadline.Add(-within/4))
	var attemptsWithin time.Duration
	if answer.Kind == holdings.AnswerUnknown {
		left := deadline.Sub(hs.member.env.Now())
		rule := hs.member.Effective().ClassOf(class.Class)
		if !holdings.MayRepeat(&rule, answer.Age, left, hs.member.conf.Params.Drift) {
			return hs.refuse(&command, answer)
		}
		attemptsWithin = left
		command.Op, command.Rev, command.Lifetime = holdings.OpReclaim, answer.Rev, left
		answer = hs.execute(ctx, &command, deadline.Add(-left/4))
	}
	switch answer.Kind {
	case holdings.AnswerOK:
		hs.claimed.Add(1)
		return pipeline.ClaimResult{Claim: &claim{hs, class, command}, AttemptsWithin: attemptsWithin}
	case holdings.AnswerFinished:
		hs.known.Add(1)
		return pipeline.ClaimResult{Answer: keptAnswer(answer.Outcome)}
	case holdings.AnswerMismatch:
		return pipeline.ClaimResult{Answer: &httpwire.Answer{Verdict: httpwire.Malformed, Reason: "key: it came with another request before"}}
	case holdings.AnswerRunning, holdings.AnswerUnknown, holdings.AnswerFenced:
		return hs.refuse(&command, answer)
	}
	hs.alone.Add(1)
	if class.alone == operator.ProceedAlone {
		return pipeline.ClaimResult{}
	}
	if answer.Kind == holdings.AnswerNone && command.Op == holdings.OpClaim { // after a reclaim, an earlier attempt may have run
		command.Op = holdings.OpDrop
		hs.executeInBackground(command)
	}
	return hs.refuse(&command, answer)
}

// executeInBackground retries a command after its request's own time is up. Guards against keys whose outcome stays unknown although
// their owner knows it, because the primary was lost at the wrong moment: a claim was not confirmed, or an outcome was not replicated.
func (hs *holdingsService) executeInBackground(command holdings.Command) {
	if hs.background.Add(1) > maxBackground {
		hs.background.Add(-1)
		return
	}
	reserved := hs.reserveBackground(&command)
	hs.member.env.Go("later", func() {
		defer hs.background.Add(-1)
		defer hs.backgroundBytes.Add(-reserved)
		hs.execute(context.Background(), &command, hs.member.env.Now().Add(backgroundTimeout))
	})
}

// reserveBackground reserves memory for the outcome of a command that is retried in the background, and returns how much. Without room, of
// the outcome only the fact is kept that there is one, as of one that is too long.
func (hs *holdingsService) reserveBackground(command *holdings.Command) (reserved int64) {
	if command.Outcome == nil {
		return 0
	}
	reserved = int64(cap(command.Outcome.Body))
	if hs.backgroundBytes.Add(reserved) <= hs.maxMemory/backgroundShare {
		return reserved
	}
	hs.backgroundBytes.Add(-reserved)
	command.Outcome = &holdings.Outcome{TooLong: true}
	return 0
}

// refuse refuses a request. Each kind of refusal is logged at most once per refusalLogEvery.
func (hs *holdingsService) refuse(command *holdings.Command, answer holdings.Answer) pipeline.ClaimResult {
	hs.refused.Add(1)
	hs.mu.Lock()
	defer hs.mu.Unlock()
	if now := hs.member.env.Now(); now.Sub(hs.refusalLogged[answer.Kind]) >= refusalLogEvery {
		hs.refusalLogged[answer.Kind] = now
		shard := command.Key.Shard()
		event := hs.member.log.Warn().Stringer("why", answer.Kind).Str("class", command.Key.Class).Int("shard", shard).Dur("age", answer.Age)
		if hs.view.Placement != nil {
			event = event.Uint64("ballot", hs.view.Placement.Shards[shard].Config).Int("seats", len(hs.view.Placement.Shards[shard].Replicas))
		}
		event.Msg("a keyed request is refused")
	}
	return pipeline.ClaimResult{Answer: &httpwire.Answer{Verdict: httpwire.Refused, RetryAfter: refusedRetryAfter}}
}

// ownBody returns a body that may be held: one whose buffer is not much longer than it.
func ownBody(body []byte) []byte {
	if cap(body)-len(body) <= len(body)/8 {
		return body
	}
	return bytes.Clone(body)
}

// keptAnswer returns the answer to a request that finished earlier, from its stored outcome.
func keptAnswer(outcome *holdings.Outcome) *httpwire.Answer {
	if outcome == nil || outcome.TooLong {
		return &httpwire.Answer{Verdict: httpwire.Failed}
	}
	return &httpwire.Answer{Verdict: httpwire.Served, Body: outcome.Body, Type: outcome.Type, Encoding: outcome.Encoding}
}

// MayWrite implements pipeline.Claim: the lease must be valid, and this sidecar must still be the incarnation that claimed the key.
func (cl *claim) MayWrite() bool {
	if cl.service.member.Effective().Cautious {
		return false
	}
	cl.service.mu.Lock()
	defer cl.service.mu.Unlock()
	return cl.service.me == cl.command.Owner
}

// Finish implements pipeline.Claim.
func (cl *claim) Finish(ctx context.Context, answer httpwire.Answer, ran bool, within time.Duration) httpwire.Answer {
	command := cl.command
	switch {
	case answer.Verdict == httpwire.Served:
		command.Op, command.Outcome = holdings.OpFinish, &holdings.Outcome{Type: answer.Type, Encoding: answer.Encoding, Body: ownBody(answer.Body)}
		if answer.Stream != nil || len(answer.Body) > cl.service.maxBody {
			command.Outcome = &holdings.Outcome{TooLong: true}
		}
	case ran:
		command.Op = holdings.OpGiveUp
	default:
		command.Op = holdings.OpDrop
	}
	result := cl.service.execute(ctx, &command, cl.service.member.env.Now().Add(within))
	if result.Kind != holdings.AnswerOK && result.Kind != holdings.AnswerFenced {
		cl.service.executeInBackground(command)
	}
	if answer.Verdict != httpwire.Served || result.Kind == holdings.AnswerOK {
		return answer
	}
	cl.service.alone.Add(1)
	if cl.class.alone == operator.ProceedAlone && result.Kind != holdings.AnswerFenced {
		return answer
	}
	if answer.Stream != nil {
		answer.Stream.Close()
	}
	return httpwire.Answer{Verdict: httpwire.Failed, Memory: answer.Memory}
}
