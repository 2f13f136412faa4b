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
	for name, alone := range m.conf.Holdings.Classes {
		i := slices.IndexFunc(conf.Settings.Classes, func(k decide.Class) bool { return k.Name == name })
		if i < 0 || conf.Settings.Classes[i].Effect != decide.Keyed {
			return nil, fmt.Errorf("holdings.class: %q; allowed: a class of the settings whose effect is by_key", name)
		}
		class := conf.Settings.Classes[i]
		if keep := m.conf.Params.Holdings.Keep; class.Window > keep {
			return nil, fmt.Errorf("holdings.keep: %v, under the %v for which endpoints drop repeats of class %q; allowed: at least that", keep, class.Window, name)
		}
		c.classes[name] = heldClass{class, alone}
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
func (hs *holdingsService) update(h *cluster.LeaseHolder) {
	me, view := h.Incarnation(), h.View()
	ends := h.LeaseEnd()
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
	in := map[string]bool{}
	for _, address := range hs.addresses {
		in[address] = true
	}
	for address, l := range hs.pools {
		if !in[address] {
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
func (hs *holdingsService) sendBatches(to holdings.Incarnation, address string, b *holdings.Batch) {
	for b != nil {
		var answer *holdings.BatchReply
		got := holdings.BatchReply{}
		err := hs.call(address, "hold-store", b, &got, storeTimeout)
		if err == nil {
			answer = &got
		} else {
			hs.member.env.Sleep(minRetryDelay)
		}
		hs.mu.Lock()
		hs.store.BatchDone(hs.now(), to, b, answer)
		b = nil
		if !hs.stopped {
			b = hs.store.NextBatch(hs.now(), to)
		}
		hs.sendPending()
		hs.mu.Unlock()
	}
}

// call says one thing on a connection of its own.
func (hs *holdingsService) call(address, kind string, body, answer any, within time.Duration) error {
	hs.mu.Lock()
	l := hs.pools[address]
	if l == nil {
		l = &clientPool{free: make(chan *peerrpc.Client, maxClientsPerPeer)}
		hs.pools[address] = l
	}
	hs.mu.Unlock()
	line, err := l.get(hs, address, within)
	if err != nil {
		return err
	}
	err = line.Call(kind, body, answer, within)
	l.free <- line // there is room for all that are made
	if l.closed.Load() {
		l.close()
	}
	return err
}

var errBusy = errors.New("all connections to it are busy")

func (p *clientPool) get(c *holdingsService, address string, within time.Duration) (*peerrpc.Client, error) {
	select {
	case line := <-p.free:
		return line, nil
	default:
	}
	if p.made.Add(1) <= maxClientsPerPeer {
		return peerrpc.NewClient(c.member.env, c.member.conf.Name, c.member.holder.Self.Name, address), nil
	}
	p.made.Add(-1)
	timer := c.member.env.NewTimer(within)
	defer timer.Stop()
	select {
	case line := <-p.free:
		return line, nil
	case <-timer.C():
		return nil, errBusy
	}
}

// close ends those that are not at work, and has the others end when they are done.
func (p *clientPool) close() {
	p.closed.Store(true)
	for {
		select {
		case line := <-p.free:
			line.Close()
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
func (hs *holdingsService) handleCommand(a *holdings.Command) holdings.Answer {
	got := make(chan holdings.Answer, 1)
	hs.mu.Lock()
	hs.store.Handle(hs.now(), a, func(answer holdings.Answer) { got <- answer })
	hs.sendPending()
	hs.mu.Unlock()
	timer := hs.member.env.NewTimer(commandTimeout)
	defer timer.Stop()
	select {
	case answer := <-got:
		return answer
	case <-timer.C():
		return holdings.Answer{Kind: holdings.AnswerNone}
	}
}

// execute says an owner's word to the primary of its key, again and again, until there is an answer that more asking does not
// change, or the time is over: then it returns the last one. A running request is asked for until it ends.
func (hs *holdingsService) execute(a *holdings.Command, until time.Time) holdings.Answer {
	pause := minRetryDelay
	for {
		answer := hs.executeOnce(a, until)
		switch answer.Kind {
		case holdings.AnswerNotPrimary, holdings.AnswerTooFewReplicas, holdings.AnswerRunning, holdings.AnswerNone:
		default:
			return answer
		}
		if left := until.Sub(hs.member.env.Now()); left <= pause || hs.isStopped() {
			return answer
		}
		hs.member.env.Sleep(pause)
		pause = min(2*pause, maxRetryDelay)
	}
}

func (hs *holdingsService) executeOnce(a *holdings.Command, until time.Time) holdings.Answer {
	hs.mu.Lock()
	primary, address, me := holdings.Incarnation{}, "", hs.me
	if hs.view.Placement != nil {
		if replicas := hs.view.Placement.Shards[a.Key.Shard()].Replicas; len(replicas) > 0 {
			primary = replicas[0].Incarnation
			address = hs.addresses[primary]
		}
	}
	hs.mu.Unlock()
	if a.Op == holdings.OpClaim && a.Owner != me { // it has come into the crew anew since: the claim is to be of this incarnation
		a.Owner = me
	}
	switch {
	case address == "" || a.Owner == (holdings.Incarnation{}):
		return holdings.Answer{Kind: holdings.AnswerNotPrimary}
	case primary == me:
		return hs.handleCommand(a)
	}
	var answer holdings.Answer
	if err := hs.call(address, "hold-ask", a, &answer, min(commandTimeout, until.Sub(hs.member.env.Now()))); err != nil {
		return holdings.Answer{Kind: holdings.AnswerNone}
	}
	return answer
}

// Holds is pipeline.Holdings'.
func (hs *holdingsService) Holds(class string) bool {
	_, does := hs.classes[class]
	return does
}

// claim is one claim of a request's key.
type claim struct {
	service *holdingsService
	class   heldClass
	command holdings.Command
}

// Claim is pipeline.Holdings'.
func (hs *holdingsService) Claim(message *httpwire.Request, print [16]byte, within time.Duration) pipeline.ClaimResult {
	class := hs.classes[message.Class]
	until := hs.member.env.Now().Add(within)
	a := holdings.Command{
		Op: holdings.OpClaim, Key: holdings.Key{Class: message.Class, Tenant: message.Tenant, Text: message.Key},
		Claim: hs.lastClaim.Add(1), Fingerprint: print, Lifetime: within,
	}
	// What is left must be enough to send the request, and to keep its outcome.
	answer := hs.execute(&a, until.Add(-within/4))
	var bound time.Duration
	if answer.Kind == holdings.AnswerUnknown {
		left := until.Sub(hs.member.env.Now())
		if !holdings.MayRepeat(&class.Class, answer.Age, left, hs.member.conf.Params.Drift) {
			return hs.refuse(&a, answer)
		}
		bound = left
		a.Op, a.Rev, a.Lifetime = holdings.OpReclaim, answer.Rev, left
		answer = hs.execute(&a, until.Add(-left/4))
	}
	switch answer.Kind {
	case holdings.AnswerOK:
		hs.claimed.Add(1)
		return pipeline.ClaimResult{Claim: &claim{hs, class, a}, AttemptsWithin: bound}
	case holdings.AnswerFinished:
		hs.known.Add(1)
		return pipeline.ClaimResult{Answer: keptAnswer(answer.Outcome)}
	case holdings.AnswerMismatch:
		return pipeline.ClaimResult{Answer: &httpwire.Answer{Verdict: httpwire.Malformed, Reason: "key: it came with another request before"}}
	case holdings.AnswerRunning, holdings.AnswerUnknown, holdings.AnswerFenced:
		return hs.refuse(&a, answer)
	}
	hs.alone.Add(1)
	if class.alone == operator.ProceedAlone {
		return pipeline.ClaimResult{}
	}
	if answer.Kind == holdings.AnswerNone && a.Op == holdings.OpClaim { // else it was out before
		a.Op = holdings.OpDrop
		hs.executeInBackground(a)
	}
	return hs.refuse(&a, answer)
}

// executeInBackground goes on asking when the request's own time is over. Guards against keys that stay unclear though their owner knows what
// came of them, because the primary was lost at the wrong moment: a claim that nobody confirmed, an outcome that nobody copied.
func (hs *holdingsService) executeInBackground(a holdings.Command) {
	if hs.background.Add(1) > maxBackground {
		hs.background.Add(-1)
		return
	}
	hs.member.env.Go("later", func() {
		defer hs.background.Add(-1)
		hs.execute(&a, hs.member.env.Now().Add(backgroundTimeout))
	})
}

// refuse refuses a request. A kind of reason is logged once a while.
func (hs *holdingsService) refuse(a *holdings.Command, why holdings.Answer) pipeline.ClaimResult {
	hs.refused.Add(1)
	hs.mu.Lock()
	defer hs.mu.Unlock()
	if now := hs.member.env.Now(); now.Sub(hs.refusalLogged[why.Kind]) >= refusalLogEvery {
		hs.refusalLogged[why.Kind] = now
		shard := a.Key.Shard()
		ev := hs.member.log.Warn().Stringer("why", why.Kind).Str("class", a.Key.Class).Int("shard", shard).Dur("age", why.Age)
		if hs.view.Placement != nil {
			ev = ev.Uint64("ballot", hs.view.Placement.Shards[shard].Config).Int("seats", len(hs.view.Placement.Shards[shard].Replicas))
		}
		ev.Msg("a held request is refused")
	}
	return pipeline.ClaimResult{Answer: &httpwire.Answer{Verdict: httpwire.Refused, RetryAfter: refusedRetryAfter}}
}

// keptAnswer is the answer that a request had.
func keptAnswer(o *holdings.Outcome) *httpwire.Answer {
	if o == nil || o.TooLong {
		return &httpwire.Answer{Verdict: httpwire.Failed}
	}
	return &httpwire.Answer{Verdict: httpwire.Served, Body: o.Body, Type: o.Type, Encoding: o.Encoding}
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
	a := cl.command
	switch {
	case answer.Verdict == httpwire.Served:
		a.Op, a.Outcome = holdings.OpFinish, &holdings.Outcome{Type: answer.Type, Encoding: answer.Encoding, Body: answer.Body}
		if answer.Stream != nil || len(answer.Body) > cl.service.maxBody {
			a.Outcome = &holdings.Outcome{TooLong: true}
		}
	case ran:
		a.Op = holdings.OpGiveUp
	default:
		a.Op = holdings.OpDrop
	}
	got := cl.service.execute(&a, cl.service.member.env.Now().Add(within))
	if got.Kind != holdings.AnswerOK && got.Kind != holdings.AnswerFenced {
		cl.service.executeInBackground(a)
	}
	if answer.Verdict != httpwire.Served || got.Kind == holdings.AnswerOK {
		return answer
	}
	cl.service.alone.Add(1)
	if cl.class.alone == operator.ProceedAlone && got.Kind != holdings.AnswerFenced {
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
