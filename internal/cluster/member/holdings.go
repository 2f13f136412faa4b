package member

import (
	"cmp"
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

// Figures of a sidecar's part in what is held.
const (
	holdingsTick = 20 * time.Millisecond
	// storeTimeout is for one word to a copy: ages are wrong by that at most (holdings.Slack).
	storeTimeout      = holdings.AgeSlack / 2
	commandTimeout    = 300 * time.Millisecond // for one word to a primary; it is said again
	minRetryDelay     = 10 * time.Millisecond  // until it is said again, at first; twice as long each time
	maxRetryDelay     = 80 * time.Millisecond
	maxClientsPerPeer = 16 // to one sidecar, from its callers' goroutines
	// refusedRetryAfter is what a refused caller is told: a lost primary is replaced within about a lease.
	refusedRetryAfter = time.Second
	refusalLogEvery   = time.Second // a line in the log, of each kind
	// backgroundTimeout is how long what a request's own time did not suffice for is asked, above the time until a lost primary is
	// replaced, and mostLater bounds how many are at a time.
	backgroundTimeout = 15 * time.Second
	maxBackground     = 1024
)

// holdingsService is a sidecar's part in what the crew's sidecars hold for one another: its store, and its own claims.
type holdingsService struct {
	member    *Member
	classes   map[string]heldClass
	maxBody   int
	lastClaim atomic.Uint64

	mu        sync.Mutex
	store     *holdings.Store // guarded by mu, as all that follows
	me        holdings.Incarnation
	view      holdings.View // as the store has learnt it
	addresses map[holdings.Incarnation]string
	stopped   bool
	pools     map[string]*clientPool

	refusalLogged map[holdings.Kind]time.Time // when a refusal of this kind was last logged

	claimed, known, refused, alone, background atomic.Int64
}

type heldClass struct {
	decide.Class
	alone operator.WhenAlone
}

// clientPool are connections to one address.
type clientPool struct {
	free   chan *peerrpc.Client
	made   atomic.Int64
	closed atomic.Bool // nobody goes by the address any more
}

func newHoldingsService(m *Member, conf *config.Config) (*holdingsService, error) {
	c := &holdingsService{member: m, classes: map[string]heldClass{}, maxBody: m.conf.Holdings.MaxBody, pools: map[string]*clientPool{}, refusalLogged: map[holdings.Kind]time.Time{}}
	for name, whenAlone := range m.conf.Holdings.Classes {
		i := slices.IndexFunc(conf.Settings.Classes, func(k decide.Class) bool { return k.Name == name })
		if i < 0 || conf.Settings.Classes[i].Effect != decide.Keyed {
			return nil, fmt.Errorf("holdings.class: %q; allowed: a class of the settings whose effect is by_key", name)
		}
		class := conf.Settings.Classes[i]
		if keep := m.conf.Params.Holdings.Keep; class.Window > keep {
			return nil, fmt.Errorf("holdings.keep: %v, under the %v for which endpoints drop repeats of class %q; allowed: at least that", keep, class.Window, name)
		}
		c.classes[name] = heldClass{class, whenAlone}
	}
	if m.conf.Params.Holdings.Copies > 1 && conf.Settings.Zone == "" {
		return nil, errors.New("holdings.copies: this sidecar's settings name no zone, and copies stand in different ones; set settings.az")
	}
	var b [8]byte
	rand.Read(b[:]) //nolint:errcheck // it does not fail
	c.lastClaim.Store(binary.BigEndian.Uint64(b[:]))
	c.store = holdings.NewStore(m.conf.Params.Holdings, m.conf.Holdings.MaxEntries)
	return c, nil
}

func (hs *holdingsService) now() cluster.BootTime { return hs.member.env.BootTime() }

// update takes what a renewal brought. The member's lock is held.
func (hs *holdingsService) update(holder *cluster.LeaseHolder) {
	me, view := holder.Incarnation(), holder.View()
	ends := holder.LeaseEnd()
	hs.mu.Lock()
	defer hs.mu.Unlock()
	hs.store.SetLease(ends)
	if view.Placement == nil || me == (holdings.Incarnation{}) {
		return
	}
	if !view.Is(&hs.view) || me != hs.me {
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

// leaseReport is what the store has to say to the leader.
func (hs *holdingsService) leaseReport() ([]holdings.CaughtUp, []holdings.Incarnation) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	return hs.store.CaughtUp(), hs.store.Unreachable(hs.now())
}

// countReplicas is in how many shards this sidecar has one.
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

// run ends what is over, until stop.
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

// dropUnusedPools ends connections to addresses that no member has any more. The lock is held.
func (hs *holdingsService) dropUnusedPools() {
	inUse := map[string]bool{}
	for _, address := range hs.addresses {
		inUse[address] = true
	}
	for address, l := range hs.pools {
		if !inUse[address] {
			l.close()
			delete(hs.pools, address)
		}
	}
}

func (hs *holdingsService) isStopped() bool {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	return hs.stopped
}

func (hs *holdingsService) stop() {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	hs.stopped = true
	for _, l := range hs.pools {
		l.close()
	}
}

// sendPending has said what there is to say. The lock is held.
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

// sendBatches says batches to one sidecar until there are none.
func (hs *holdingsService) sendBatches(to holdings.Incarnation, address string, batch *holdings.Batch) {
	for batch != nil {
		var reply *holdings.BatchReply
		received := holdings.BatchReply{}
		err := hs.call(address, "hold-store", batch, &received, storeTimeout)
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

// call says one thing on a connection of its own.
func (hs *holdingsService) call(address, kind string, body, reply any, timeout time.Duration) error {
	hs.mu.Lock()
	pool := hs.pools[address]
	if pool == nil {
		pool = &clientPool{free: make(chan *peerrpc.Client, maxClientsPerPeer)}
		hs.pools[address] = pool
	}
	hs.mu.Unlock()
	client, err := pool.get(hs, address, timeout)
	if err != nil {
		return err
	}
	err = client.Call(kind, body, reply, timeout)
	pool.free <- client // there is room for all that are made
	if pool.closed.Load() {
		pool.close()
	}
	return err
}

var errBusy = errors.New("all connections to it are busy")

func (p *clientPool) get(hs *holdingsService, address string, timeout time.Duration) (*peerrpc.Client, error) {
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
	}
}

// close ends those that are not at work, and has the others end when they are done.
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

// handlers answer peers.
func (hs *holdingsService) handlers() map[string]peerrpc.Handler {
	return map[string]peerrpc.Handler{
		"hold-ask": func(_ string, body []byte) (any, error) {
			var a holdings.Command
			if err := peerrpc.Decode(body, &a); err != nil {
				return nil, fmt.Errorf("hold-ask: malformed: %w", err)
			}
			if err := a.Check(); err != nil {
				return nil, fmt.Errorf("hold-ask: %w", err)
			}
			return hs.handleCommand(&a), nil
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

// KeyState is what a sidecar has of a key.
type KeyState struct {
	Found bool           `cbor:"1,keyasint"`
	Entry holdings.Entry `cbor:"2,keyasint"`
}

// handleCommand answers an owner's ask as the primary.
func (hs *holdingsService) handleCommand(command *holdings.Command) holdings.Answer {
	answers := make(chan holdings.Answer, 1)
	hs.mu.Lock()
	hs.store.Handle(hs.now(), command, func(answer holdings.Answer) { answers <- answer })
	hs.sendPending()
	hs.mu.Unlock()
	timer := hs.member.env.NewTimer(commandTimeout)
	defer timer.Stop()
	select {
	case answer := <-answers:
		return answer
	case <-timer.C():
		return holdings.Answer{Kind: holdings.AnswerNone}
	}
}

// execute says an owner's word to the primary of its key, again and again, until there is an answer that more asking does not
// change, or the time is over: then it returns the last one. A running request is asked for until it ends.
func (hs *holdingsService) execute(command *holdings.Command, deadline time.Time) holdings.Answer {
	delay := minRetryDelay
	for {
		answer := hs.executeOnce(command, deadline)
		switch answer.Kind {
		case holdings.AnswerNotPrimary, holdings.AnswerTooFewReplicas, holdings.AnswerRunning, holdings.AnswerNone:
		default:
			return answer
		}
		if left := deadline.Sub(hs.member.env.Now()); left <= delay || hs.isStopped() {
			return answer
		}
		hs.member.env.Sleep(delay)
		delay = min(2*delay, maxRetryDelay)
	}
}

func (hs *holdingsService) executeOnce(command *holdings.Command, deadline time.Time) holdings.Answer {
	hs.mu.Lock()
	primary, address, me := holdings.Incarnation{}, "", hs.me
	if hs.view.Placement != nil {
		if replicas := hs.view.Placement.Shards[command.Key.Shard()].Replicas; len(replicas) > 0 {
			primary = replicas[0].Incarnation
			address = hs.addresses[primary]
		}
	}
	hs.mu.Unlock()
	if command.Op == holdings.OpClaim && command.Owner != me { // it has come into the crew anew since: the claim is to be of this incarnation
		command.Owner = me
	}
	switch {
	case address == "" || command.Owner == (holdings.Incarnation{}):
		return holdings.Answer{Kind: holdings.AnswerNotPrimary}
	case primary == me:
		return hs.handleCommand(command)
	}
	var answer holdings.Answer
	if err := hs.call(address, "hold-ask", command, &answer, min(commandTimeout, deadline.Sub(hs.member.env.Now()))); err != nil {
		return holdings.Answer{Kind: holdings.AnswerNone}
	}
	return answer
}

// Holds is pipeline.Holdings'.
func (hs *holdingsService) Holds(class string) bool {
	_, held := hs.classes[class]
	return held
}

// claim is one claim of a request's key.
type claim struct {
	service *holdingsService
	class   heldClass
	command holdings.Command
}

// Claim is pipeline.Holdings'.
func (hs *holdingsService) Claim(request *httpwire.Request, fingerprint [16]byte, within time.Duration) pipeline.ClaimResult {
	class := hs.classes[request.Class]
	deadline := hs.member.env.Now().Add(within)
	command := holdings.Command{
		Op: holdings.OpClaim, Key: holdings.Key{Class: request.Class, Tenant: request.Tenant, Text: request.Key},
		Claim: hs.lastClaim.Add(1), Fingerprint: fingerprint, Lifetime: within,
	}
	// What is left must be enough to send the request, and to keep its outcome.
	answer := hs.execute(&command, deadline.Add(-within/4))
	var attemptsWithin time.Duration
	if answer.Kind == holdings.AnswerUnknown {
		left := deadline.Sub(hs.member.env.Now())
		if !holdings.MayRepeat(&class.Class, answer.Age, left, hs.member.conf.Params.Drift) {
			return hs.refuse(&command, answer)
		}
		attemptsWithin = left
		command.Op, command.Rev, command.Lifetime = holdings.OpReclaim, answer.Rev, left
		answer = hs.execute(&command, deadline.Add(-left/4))
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
	if answer.Kind == holdings.AnswerNone && command.Op == holdings.OpClaim { // else it was out before
		command.Op = holdings.OpDrop
		hs.executeInBackground(command)
	}
	return hs.refuse(&command, answer)
}

// executeInBackground goes on asking when the request's own time is over. Guards against keys that stay unclear though their owner knows what
// came of them, because the primary was lost at the wrong moment: a claim that nobody confirmed, an outcome that nobody copied.
func (hs *holdingsService) executeInBackground(command holdings.Command) {
	if hs.background.Add(1) > maxBackground {
		hs.background.Add(-1)
		return
	}
	hs.member.env.Go("later", func() {
		defer hs.background.Add(-1)
		hs.execute(&command, hs.member.env.Now().Add(backgroundTimeout))
	})
}

// refuse refuses a request. A kind of reason is logged once a while.
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
		event.Msg("a held request is refused")
	}
	return pipeline.ClaimResult{Answer: &httpwire.Answer{Verdict: httpwire.Refused, RetryAfter: refusedRetryAfter}}
}

// keptAnswer is the answer that a request had.
func keptAnswer(outcome *holdings.Outcome) *httpwire.Answer {
	if outcome == nil || outcome.TooLong {
		return &httpwire.Answer{Verdict: httpwire.Failed}
	}
	return &httpwire.Answer{Verdict: httpwire.Served, Body: outcome.Body, Type: outcome.Type, Encoding: outcome.Encoding}
}

// MayWrite is pipeline.Hold's: the lease holds, and this is the incarnation that claimed.
func (cl *claim) MayWrite() bool {
	if cl.service.member.Effective().Cautious {
		return false
	}
	cl.service.mu.Lock()
	defer cl.service.mu.Unlock()
	return cl.service.me == cl.command.Owner
}

// Finish is pipeline.Hold's.
func (cl *claim) Finish(answer httpwire.Answer, ran bool, within time.Duration) httpwire.Answer {
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
	result := cl.service.execute(&command, cl.service.member.env.Now().Add(within))
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

// appendMetrics appends those of what is held.
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
