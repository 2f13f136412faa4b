package member

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"heathgap/decide"
	"heathgap/internal/cluster"
	"heathgap/internal/config"
	"heathgap/internal/holdings"
	"heathgap/internal/httpwire"
	"heathgap/internal/metrics"
	"heathgap/internal/operator"
	"heathgap/internal/peerrpc"
	"heathgap/internal/pipeline"
)

// Timeouts and limits of a sidecar's holdings.
const (
	holdingsTick = 20 * time.Millisecond
	// storeTimeout is for one batch to a replica. The ages in a batch may be wrong by that much (see holdings.AgeSlack).
	storeTimeout      = holdings.AgeSlack / 2
	commandTimeout    = 300 * time.Millisecond // for one command to a primary; it is retried
	minRetryDelay     = 10 * time.Millisecond  // before the first retry; doubled with each further one up to maxRetryDelay
	maxRetryDelay     = 80 * time.Millisecond
	maxClientsPerPeer = 16 // connections to one sidecar, shared by the goroutines of its callers
	// refusedRetryAfter is sent to refused callers: a lost primary is replaced within about a lease.
	refusedRetryAfter = time.Second
	refusalLogEvery   = time.Second // at most one log line for each kind of refusal
	// backgroundTimeout is how long a command is retried after its request's own time is up: longer than it takes to replace a lost
	// primary. maxBackground bounds the number of such commands at a time.
	backgroundTimeout = 15 * time.Second
	maxBackground     = 1024
)

// holdingsService is a sidecar's part in the cluster's holdings: its store of replicas, and the claims of its own requests.
type holdingsService struct {
	member    *Member
	classes   map[string]heldClass
	maxBody   int
	lastClaim atomic.Uint64

	mu        sync.Mutex
	store     *holdings.Store // guarded by mu, as are the fields below up to pools
	me        holdings.Incarnation
	view      holdings.View // the newest one applied to the store
	addresses map[holdings.Incarnation]string
	stopped   bool
	pools     map[string]*clientPool

	refusalLogged map[holdings.Kind]time.Time // when a refusal of this kind was last logged; guarded by mu

	// Counters, all but background for the metrics: claims granted, requests that had finished before, requests refused, and (alone)
	// requests whose claim got no decision or that were served without their outcome being recorded. background is the number of
	// commands being retried in the background.
	claimed, known, refused, alone, background atomic.Int64
}

// heldClass is a class whose requests are recorded in the holdings, and what to do with them when no primary answers.
type heldClass struct {
	decide.Class
	alone operator.WhenAlone
}

// clientPool holds the connections to one address.
type clientPool struct {
	free   chan *peerrpc.Client
	made   atomic.Int64
	closed atomic.Bool // connections are closed once idle: no member uses the address any more, or the service has stopped
}

func newHoldingsService(m *Member, conf *config.Config) (*holdingsService, error) {
	hs := &holdingsService{member: m, classes: map[string]heldClass{}, maxBody: m.conf.Holdings.MaxBody, pools: map[string]*clientPool{}, refusalLogged: map[holdings.Kind]time.Time{}}
	for name, whenAlone := range m.conf.Holdings.Classes {
		i := slices.IndexFunc(conf.Settings.Classes, func(class decide.Class) bool { return class.Name == name })
		if i < 0 || conf.Settings.Classes[i].Effect != decide.Keyed {
			return nil, fmt.Errorf("holdings.class: %q; allowed: a class of the settings whose effect is by_key", name)
		}
		class := conf.Settings.Classes[i]
		if keep := m.conf.Params.Holdings.Keep; class.Window > keep {
			return nil, fmt.Errorf("holdings.keep: %v, under the %v for which endpoints drop repeats of class %q; allowed: at least that", keep, class.Window, name)
		}
		hs.classes[name] = heldClass{class, whenAlone}
	}
	if m.conf.Params.Holdings.Copies > 1 && conf.Settings.Zone == "" {
		return nil, errors.New("holdings.copies: this sidecar's settings name no zone, and copies stand in different ones; set settings.az")
	}
	var b [8]byte
	rand.Read(b[:]) //nolint:errcheck // rand.Read never fails
	hs.lastClaim.Store(binary.BigEndian.Uint64(b[:]))
	hs.store = holdings.NewStore(m.conf.Params.Holdings, m.conf.Holdings.MaxEntries)
	return hs, nil
}

func (hs *holdingsService) now() cluster.BootTime { return hs.member.env.BootTime() }

// update applies what the newest grant brought. The caller holds the member's lock.
func (hs *holdingsService) update(holder *cluster.LeaseHolder) {
	me, view := holder.Incarnation(), holder.View()
	leaseEnd := holder.LeaseEnd()
	hs.mu.Lock()
	defer hs.mu.Unlock()
	hs.store.SetLease(leaseEnd)
	if view.Placement == nil || me == (holdings.Incarnation{}) {
		return
	}
	if !view.SameAs(&hs.view) || me != hs.me {
		hs.me, hs.view = me, view
		hs.addresses = map[holdings.Incarnation]string{}
		for _, m := range view.Members {
			hs.addresses[m.Incarnation] = cmp.Or(hs.member.conf.Routes[m.Name], hs.member.conf.Voters[m.Name], m.Address)
		}
		hs.store.ApplyView(hs.now(), me, view.Placement, view.Members)
		hs.dropUnusedPools()
	}
	hs.sendPending()
}

// leaseReport returns what the store has to report with the next renewal: the replicas that have caught up in the shards of which this
// sidecar is the primary, and unreachable peers.
func (hs *holdingsService) leaseReport() ([]holdings.CaughtUp, []holdings.Incarnation) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	return hs.store.CaughtUp(), hs.store.Unreachable(hs.now())
}

// countReplicas returns the number of shards of which this sidecar has a replica.
func (hs *holdingsService) countReplicas() int {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	n := 0
	if hs.view.Placement != nil {
		for _, s := range hs.view.Placement.Shards {
			if slices.ContainsFunc(s.Replicas, func(replica holdings.Replica) bool { return replica.Incarnation == hs.me }) {
				n++
			}
		}
	}
	return n
}

// run calls the store's Tick and sends pending batches, every holdingsTick, until stop is called.
func (hs *holdingsService) run() {
	for {
		hs.member.env.Sleep(holdingsTick)
		hs.mu.Lock()
		if hs.stopped {
			hs.mu.Unlock()
			return
		}
		hs.store.Tick(hs.now())
		hs.sendPending()
		hs.mu.Unlock()
	}
}

// dropUnusedPools closes connections to addresses that no member uses any more. The caller holds hs.mu.
func (hs *holdingsService) dropUnusedPools() {
	inUse := map[string]bool{}
	for _, address := range hs.addresses {
		inUse[address] = true
	}
	for address, pool := range hs.pools {
		if !inUse[address] {
			pool.close()
			delete(hs.pools, address)
		}
	}
}

func (hs *holdingsService) isStopped() bool {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	return hs.stopped
}

// stop makes run, sendBatches and the retries of execute end, without waiting for them, and closes the connections. Those in use are closed
// when their calls end.
func (hs *holdingsService) stop() {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	hs.stopped = true
	for _, pool := range hs.pools {
		pool.close()
	}
}

// sendPending starts sending the store's pending batches. The caller holds hs.mu.
func (hs *holdingsService) sendPending() {
	if hs.stopped {
		return
	}
	for _, to := range hs.store.PendingPeers() {
		if b := hs.store.NextBatch(hs.now(), to.Incarnation); b != nil {
			address := hs.addresses[to.Incarnation]
			hs.member.env.Go("copy", func() { hs.sendBatches(to.Incarnation, address, b) })
		}
	}
}

// sendBatches sends batches to one sidecar until none are left.
func (hs *holdingsService) sendBatches(to holdings.Incarnation, address string, batch *holdings.Batch) {
	for batch != nil {
		var reply *holdings.BatchReply
		received := holdings.BatchReply{}
		err := hs.call(context.Background(), address, "hold-store", batch, &received, storeTimeout)
		if err == nil {
			reply = &received
		} else {
			hs.member.env.Sleep(minRetryDelay)
		}
		hs.mu.Lock()
		hs.store.BatchDone(hs.now(), to, batch, reply)
		batch = nil
		if !hs.stopped {
			batch = hs.store.NextBatch(hs.now(), to)
		}
		hs.sendPending()
		hs.mu.Unlock()
	}
}

// call makes a call on a connection that no other call uses meanwhile. The timeout includes the wait for that connection. It fails when the
// context ends.
func (hs *holdingsService) call(ctx context.Context, address, kind string, body, reply any, timeout time.Duration) error {
	deadline := hs.member.env.Now().Add(timeout)
	hs.mu.Lock()
	pool := hs.pools[address]
	if pool == nil {
		pool = &clientPool{free: make(chan *peerrpc.Client, maxClientsPerPeer)}
		hs.pools[address] = pool
	}
	hs.mu.Unlock()
	client, err := pool.get(ctx, hs, address, timeout)
	if err != nil {
		return err
	}
	err = errBusy
	if left := deadline.Sub(hs.member.env.Now()); left > 0 {
		err = client.CallContext(ctx, kind, body, reply, left)
	}
	pool.free <- client // does not block: the channel has a slot for each connection
	if pool.closed.Load() {
		pool.close()
	}
	return err
}

// errBusy means that no connection of a pool became free in time.
var errBusy = errors.New("all connections to it are busy")

// get returns a free connection, or makes one if there are fewer than maxClientsPerPeer. Otherwise it waits for one to become free, until
// the timeout has passed or the context ends.
func (p *clientPool) get(ctx context.Context, hs *holdingsService, address string, timeout time.Duration) (*peerrpc.Client, error) {
	select {
	case client := <-p.free:
		return client, nil
	default:
	}
	if p.made.Add(1) <= maxClientsPerPeer {
		return peerrpc.NewClient(hs.member.env, hs.member.conf.Name, hs.member.holder.Self.Name, address), nil
	}
	p.made.Add(-1)
	timer := hs.member.env.NewTimer(timeout)
	defer timer.Stop()
	select {
	case client := <-p.free:
		return client, nil
	case <-timer.C():
		return nil, errBusy
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// close closes the idle connections. Those in use are closed when their calls end.
func (p *clientPool) close() {
	p.closed.Store(true)
	for {
		select {
		case client := <-p.free:
			client.Close()
		default:
			return
		}
	}
}

// handlers returns the handlers of peers' calls.
func (hs *holdingsService) handlers() map[string]peerrpc.Handler {
	return map[string]peerrpc.Handler{
		"hold-ask": func(_ string, body []byte) (any, error) {
			var command holdings.Command
			if err := peerrpc.Decode(body, &command); err != nil {
				return nil, fmt.Errorf("hold-ask: malformed: %w", err)
			}
			if err := command.Check(); err != nil {
				return nil, fmt.Errorf("hold-ask: %w", err)
			}
			return hs.handleCommand(context.Background(), &command, commandTimeout), nil
		},
		"hold-show": func(_ string, body []byte) (any, error) {
			var key holdings.Key
			if err := peerrpc.Decode(body, &key); err != nil {
				return nil, fmt.Errorf("hold-show: malformed: %w", err)
			}
			hs.mu.Lock()
			defer hs.mu.Unlock()
			var s KeyState
			s.Entry, s.Found = hs.store.Peek(hs.now(), key)
			return s, nil
		},
		"hold-store": func(_ string, body []byte) (any, error) {
			var b holdings.Batch
			if err := peerrpc.Decode(body, &b); err != nil {
				return nil, fmt.Errorf("hold-store: malformed: %w", err)
			}
			hs.mu.Lock()
			defer hs.mu.Unlock()
			answer := hs.store.HandleBatch(hs.now(), &b)
			if answer == nil {
				return nil, errors.New("hold-store: for another incarnation than the present one")
			}
			return answer, nil
		},
	}
}

// KeyState is what a sidecar's store has of a key.
type KeyState struct {
	Found bool           `cbor:"1,keyasint"`
	Entry holdings.Entry `cbor:"2,keyasint"`
}

// handleCommand processes an owner's command as the primary. It returns AnswerNone if there is no answer within the timeout, or before the
// context ends. The store may still execute the command after that, so the caller must not change it any more.
func (hs *holdingsService) handleCommand(ctx context.Context, command *holdings.Command, timeout time.Duration) holdings.Answer {
	answers := make(chan holdings.Answer, 1)
	hs.mu.Lock()
	hs.store.Handle(hs.now(), command, func(answer holdings.Answer) { answers <- answer })
	hs.sendPending()
	hs.mu.Unlock()
	timer := hs.member.env.NewTimer(timeout)
	defer timer.Stop()
	select {
	case answer := <-answers:
		return answer
	case <-timer.C():
	case <-ctx.Done():
	}
	select {
	case answer := <-answers: // it came at the same time
		return answer
	default:
		return holdings.Answer{Kind: holdings.AnswerNone}
	}
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
		if !holdings.MayRepeat(&class.Class, answer.Age, left, hs.member.conf.Params.Drift) {
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
	hs.member.env.Go("later", func() {
		defer hs.background.Add(-1)
		hs.execute(context.Background(), &command, hs.member.env.Now().Add(backgroundTimeout))
	})
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
		command.Op, command.Outcome = holdings.OpFinish, &holdings.Outcome{Type: answer.Type, Encoding: answer.Encoding, Body: answer.Body}
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
	return httpwire.Answer{Verdict: httpwire.Failed, Reserved: answer.Reserved}
}

// appendMetrics appends the metrics of the holdings.
func (hs *holdingsService) appendMetrics(text []byte) []byte {
	hs.mu.Lock()
	entries, bytes := hs.store.Entries, hs.store.Bytes
	hs.mu.Unlock()
	for _, f := range []struct {
		name  string
		value int64
		kind  byte
	}{
		{"held_entries", int64(entries), metrics.Gauge}, {"held_bytes", int64(bytes), metrics.Gauge},
		{"held_claims", hs.claimed.Load(), metrics.Counter}, {"held_known", hs.known.Load(), metrics.Counter},
		{"held_refused", hs.refused.Load(), metrics.Counter}, {"held_alone", hs.alone.Load(), metrics.Counter},
	} {
		text = metrics.Append(text, f.name, f.value, f.kind)
	}
	return text
}
