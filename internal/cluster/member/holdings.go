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
	tickHoldings = 20 * time.Millisecond
	// storeTime is for one word to a copy: ages are wrong by that at most (holdings.Slack).
	storeTime = holdings.AgeSlack / 2
	askTime   = 300 * time.Millisecond // for one word to a primary; it is said again
	askPause  = 10 * time.Millisecond  // until it is said again, at first; twice as long each time
	longPause = 80 * time.Millisecond
	mostLines = 16 // to one sidecar, from its callers' goroutines
	// returnAfter is what a refused caller is told: a lost primary is replaced within about a lease.
	returnAfter  = time.Second
	refusalEvery = time.Second // a line in the log, of each kind
	// laterTime is how long what a request's own time did not suffice for is asked, above the time until a lost primary is
	// replaced, and mostLater bounds how many are at a time.
	laterTime = 15 * time.Second
	mostLater = 1024
)

// copies is a sidecar's part in what the crew's sidecars hold for one another: its store, and its own claims.
type copies struct {
	m       *Member
	classes map[string]heldClass
	body    int
	claims  atomic.Uint64

	mu      sync.Mutex
	store   *holdings.Store // guarded by mu, as all that follows
	me      holdings.Incarnation
	view    holdings.View // as the store has learnt it
	address map[holdings.Incarnation]string
	ended   bool
	lines   map[string]*lines

	told map[holdings.Kind]time.Time // when a refusal of this kind was last logged

	open, was, refused, alone, asking atomic.Int64
}

type heldClass struct {
	decide.Class
	alone operator.WhenAlone
}

// lines are connections to one address.
type lines struct {
	free  chan *peerrpc.Client
	made  atomic.Int64
	ended atomic.Bool // nobody goes by the address any more
}

func newCopies(m *Member, conf *config.Config) (*copies, error) {
	c := &copies{m: m, classes: map[string]heldClass{}, body: m.conf.Holdings.MaxBody, lines: map[string]*lines{}, told: map[holdings.Kind]time.Time{}}
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
	c.claims.Store(binary.BigEndian.Uint64(b[:]))
	c.store = holdings.NewStore(m.conf.Params.Holdings, m.conf.Holdings.MaxEntries)
	return c, nil
}

func (c *copies) now() cluster.BootTime { return c.m.world.BootTime() }

// learn takes what a renewal brought. The member's lock is held.
func (c *copies) learn(h *cluster.LeaseHolder) {
	me, view := h.Incarnation(), h.View()
	ends := h.LeaseEnd()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.SetLease(ends)
	if view.Placement == nil || me == (holdings.Incarnation{}) {
		return
	}
	if !view.Is(&c.view) || me != c.me {
		c.me, c.view = me, view
		c.address = map[holdings.Incarnation]string{}
		for _, m := range view.Members {
			c.address[m.Incarnation] = cmp.Or(c.m.conf.Routes[m.Name], c.m.conf.Voters[m.Name], m.Address)
		}
		c.store.ApplyView(c.now(), me, view.Placement, view.Members)
		c.dropLines()
	}
	c.kick()
}

// says is what the store has to say to the leader.
func (c *copies) says() ([]holdings.CaughtUp, []holdings.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.CaughtUp(), c.store.Unreachable(c.now())
}

// replicas is in how many shards this sidecar has one.
func (c *copies) replicas() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	if c.view.Placement != nil {
		for _, s := range c.view.Placement.Shards {
			if slices.ContainsFunc(s.Replicas, func(replica holdings.Replica) bool { return replica.Incarnation == c.me }) {
				n++
			}
		}
	}
	return n
}

// run ends what is over, until stop.
func (c *copies) run() {
	for {
		c.m.world.Sleep(tickHoldings)
		c.mu.Lock()
		if c.ended {
			c.mu.Unlock()
			return
		}
		c.store.Tick(c.now())
		c.kick()
		c.mu.Unlock()
	}
}

// dropLines ends connections to addresses that no member has any more. The lock is held.
func (c *copies) dropLines() {
	in := map[string]bool{}
	for _, address := range c.address {
		in[address] = true
	}
	for address, l := range c.lines {
		if !in[address] {
			l.close()
			delete(c.lines, address)
		}
	}
}

func (c *copies) over() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

func (c *copies) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	for _, l := range c.lines {
		l.close()
	}
}

// kick has said what there is to say. The lock is held.
func (c *copies) kick() {
	if c.ended {
		return
	}
	for _, to := range c.store.PendingPeers() {
		if b := c.store.NextBatch(c.now(), to.Incarnation); b != nil {
			address := c.address[to.Incarnation]
			c.m.world.Go("copy", func() { c.say(to.Incarnation, address, b) })
		}
	}
}

// say says batches to one sidecar until there are none.
func (c *copies) say(to holdings.Incarnation, address string, b *holdings.Batch) {
	for b != nil {
		var answer *holdings.BatchReply
		got := holdings.BatchReply{}
		err := c.call(address, "hold-store", b, &got, storeTime)
		if err == nil {
			answer = &got
		} else {
			c.m.world.Sleep(askPause)
		}
		c.mu.Lock()
		c.store.BatchDone(c.now(), to, b, answer)
		b = nil
		if !c.ended {
			b = c.store.NextBatch(c.now(), to)
		}
		c.kick()
		c.mu.Unlock()
	}
}

// call says one thing on a connection of its own.
func (c *copies) call(address, kind string, body, answer any, within time.Duration) error {
	c.mu.Lock()
	l := c.lines[address]
	if l == nil {
		l = &lines{free: make(chan *peerrpc.Client, mostLines)}
		c.lines[address] = l
	}
	c.mu.Unlock()
	line, err := l.take(c, address, within)
	if err != nil {
		return err
	}
	err = line.Call(kind, body, answer, within)
	l.free <- line // there is room for all that are made
	if l.ended.Load() {
		l.close()
	}
	return err
}

var errBusy = errors.New("all connections to it are busy")

func (l *lines) take(c *copies, address string, within time.Duration) (*peerrpc.Client, error) {
	select {
	case line := <-l.free:
		return line, nil
	default:
	}
	if l.made.Add(1) <= mostLines {
		return peerrpc.NewClient(c.m.world, c.m.conf.Name, c.m.holder.Self.Name, address), nil
	}
	l.made.Add(-1)
	timer := c.m.world.NewTimer(within)
	defer timer.Stop()
	select {
	case line := <-l.free:
		return line, nil
	case <-timer.C():
		return nil, errBusy
	}
}

// close ends those that are not at work, and has the others end when they are done.
func (l *lines) close() {
	l.ended.Store(true)
	for {
		select {
		case line := <-l.free:
			line.Close()
		default:
			return
		}
	}
}

// handlers answer peers.
func (c *copies) handlers() map[string]peerrpc.Handler {
	return map[string]peerrpc.Handler{
		"hold-ask": func(_ string, body []byte) (any, error) {
			var a holdings.Command
			if err := peerrpc.Decode(body, &a); err != nil {
				return nil, fmt.Errorf("hold-ask: malformed: %w", err)
			}
			if err := a.Check(); err != nil {
				return nil, fmt.Errorf("hold-ask: %w", err)
			}
			return c.answer(&a), nil
		},
		"hold-show": func(_ string, body []byte) (any, error) {
			var key holdings.Key
			if err := peerrpc.Decode(body, &key); err != nil {
				return nil, fmt.Errorf("hold-show: malformed: %w", err)
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			var s KeyState
			s.Entry, s.Found = c.store.Peek(c.now(), key)
			return s, nil
		},
		"hold-store": func(_ string, body []byte) (any, error) {
			var b holdings.Batch
			if err := peerrpc.Decode(body, &b); err != nil {
				return nil, fmt.Errorf("hold-store: malformed: %w", err)
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			answer := c.store.HandleBatch(c.now(), &b)
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

// answer answers an owner's ask as the primary.
func (c *copies) answer(a *holdings.Command) holdings.Answer {
	got := make(chan holdings.Answer, 1)
	c.mu.Lock()
	c.store.Handle(c.now(), a, func(answer holdings.Answer) { got <- answer })
	c.kick()
	c.mu.Unlock()
	timer := c.m.world.NewTimer(askTime)
	defer timer.Stop()
	select {
	case answer := <-got:
		return answer
	case <-timer.C():
		return holdings.Answer{Kind: holdings.AnswerNone}
	}
}

// ask says an owner's word to the primary of its key, again and again, until there is an answer that more asking does not
// change, or the time is over: then it returns the last one. A running request is asked for until it ends.
func (c *copies) ask(a *holdings.Command, until time.Time) holdings.Answer {
	pause := askPause
	for {
		answer := c.askOnce(a, until)
		switch answer.Kind {
		case holdings.AnswerNotPrimary, holdings.AnswerTooFewReplicas, holdings.AnswerRunning, holdings.AnswerNone:
		default:
			return answer
		}
		if left := until.Sub(c.m.world.Now()); left <= pause || c.over() {
			return answer
		}
		c.m.world.Sleep(pause)
		pause = min(2*pause, longPause)
	}
}

func (c *copies) askOnce(a *holdings.Command, until time.Time) holdings.Answer {
	c.mu.Lock()
	primary, address, me := holdings.Incarnation{}, "", c.me
	if c.view.Placement != nil {
		if replicas := c.view.Placement.Shards[a.Key.Shard()].Replicas; len(replicas) > 0 {
			primary = replicas[0].Incarnation
			address = c.address[primary]
		}
	}
	c.mu.Unlock()
	if a.Op == holdings.OpClaim && a.Owner != me { // it has come into the crew anew since: the claim is to be of this incarnation
		a.Owner = me
	}
	switch {
	case address == "" || a.Owner == (holdings.Incarnation{}):
		return holdings.Answer{Kind: holdings.AnswerNotPrimary}
	case primary == me:
		return c.answer(a)
	}
	var answer holdings.Answer
	if err := c.call(address, "hold-ask", a, &answer, min(askTime, until.Sub(c.m.world.Now()))); err != nil {
		return holdings.Answer{Kind: holdings.AnswerNone}
	}
	return answer
}

// Holds is pipeline.Holdings'.
func (c *copies) Holds(class string) bool {
	_, does := c.classes[class]
	return does
}

// claim is one claim of a request's key.
type claim struct {
	c     *copies
	class heldClass
	ask   holdings.Command
}

// Claim is pipeline.Holdings'.
func (c *copies) Claim(message *httpwire.Request, print [16]byte, within time.Duration) pipeline.ClaimResult {
	class := c.classes[message.Class]
	until := c.m.world.Now().Add(within)
	a := holdings.Command{
		Op: holdings.OpClaim, Key: holdings.Key{Class: message.Class, Tenant: message.Tenant, Text: message.Key},
		Claim: c.claims.Add(1), Fingerprint: print, Lifetime: within,
	}
	// What is left must be enough to send the request, and to keep its outcome.
	answer := c.ask(&a, until.Add(-within/4))
	var bound time.Duration
	if answer.Kind == holdings.AnswerUnknown {
		left := until.Sub(c.m.world.Now())
		if !holdings.MayRepeat(&class.Class, answer.Age, left, c.m.conf.Params.Drift) {
			return c.refuse(&a, answer)
		}
		bound = left
		a.Op, a.Rev, a.Lifetime = holdings.OpReclaim, answer.Rev, left
		answer = c.ask(&a, until.Add(-left/4))
	}
	switch answer.Kind {
	case holdings.AnswerOK:
		c.open.Add(1)
		return pipeline.ClaimResult{Claim: &claim{c, class, a}, AttemptsWithin: bound}
	case holdings.AnswerFinished:
		c.was.Add(1)
		return pipeline.ClaimResult{Answer: kept(answer.Outcome)}
	case holdings.AnswerMismatch:
		return pipeline.ClaimResult{Answer: &httpwire.Answer{Verdict: httpwire.Malformed, Reason: "key: it came with another request before"}}
	case holdings.AnswerRunning, holdings.AnswerUnknown, holdings.AnswerFenced:
		return c.refuse(&a, answer)
	}
	c.alone.Add(1)
	if class.alone == operator.ProceedAlone {
		return pipeline.ClaimResult{}
	}
	if answer.Kind == holdings.AnswerNone && a.Op == holdings.OpClaim { // else it was out before
		a.Op = holdings.OpDrop
		c.later(a)
	}
	return c.refuse(&a, answer)
}

// later goes on asking when the request's own time is over. Guards against keys that stay unclear though their owner knows what
// came of them, because the primary was lost at the wrong moment: a claim that nobody confirmed, an outcome that nobody copied.
func (c *copies) later(a holdings.Command) {
	if c.asking.Add(1) > mostLater {
		c.asking.Add(-1)
		return
	}
	c.m.world.Go("later", func() {
		defer c.asking.Add(-1)
		c.ask(&a, c.m.world.Now().Add(laterTime))
	})
}

// refuse refuses a request. A kind of reason is logged once a while.
func (c *copies) refuse(a *holdings.Command, why holdings.Answer) pipeline.ClaimResult {
	c.refused.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := c.m.world.Now(); now.Sub(c.told[why.Kind]) >= refusalEvery {
		c.told[why.Kind] = now
		shard := a.Key.Shard()
		ev := c.m.log.Warn().Stringer("why", why.Kind).Str("class", a.Key.Class).Int("shard", shard).Dur("age", why.Age)
		if c.view.Placement != nil {
			ev = ev.Uint64("ballot", c.view.Placement.Shards[shard].Config).Int("seats", len(c.view.Placement.Shards[shard].Replicas))
		}
		ev.Msg("a held request is refused")
	}
	return pipeline.ClaimResult{Answer: &httpwire.Answer{Verdict: httpwire.Refused, RetryAfter: returnAfter}}
}

// kept is the answer that a request had.
func kept(o *holdings.Outcome) *httpwire.Answer {
	if o == nil || o.TooLong {
		return &httpwire.Answer{Verdict: httpwire.Failed}
	}
	return &httpwire.Answer{Verdict: httpwire.Served, Body: o.Body, Type: o.Type, Encoding: o.Encoding}
}

// MayWrite is pipeline.Hold's: the lease holds, and this is the incarnation that claimed.
func (h *claim) MayWrite() bool {
	if h.c.m.Effective().Cautious {
		return false
	}
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	return h.c.me == h.ask.Owner
}

// Finish is pipeline.Hold's.
func (h *claim) Finish(answer httpwire.Answer, ran bool, within time.Duration) httpwire.Answer {
	a := h.ask
	switch {
	case answer.Verdict == httpwire.Served:
		a.Op, a.Outcome = holdings.OpFinish, &holdings.Outcome{Type: answer.Type, Encoding: answer.Encoding, Body: answer.Body}
		if answer.Stream != nil || len(answer.Body) > h.c.body {
			a.Outcome = &holdings.Outcome{TooLong: true}
		}
	case ran:
		a.Op = holdings.OpGiveUp
	default:
		a.Op = holdings.OpDrop
	}
	got := h.c.ask(&a, h.c.m.world.Now().Add(within))
	if got.Kind != holdings.AnswerOK && got.Kind != holdings.AnswerFenced {
		h.c.later(a)
	}
	if answer.Verdict != httpwire.Served || got.Kind == holdings.AnswerOK {
		return answer
	}
	h.c.alone.Add(1)
	if h.class.alone == operator.ProceedAlone && got.Kind != holdings.AnswerFenced {
		return answer
	}
	if answer.Stream != nil {
		answer.Stream.Close()
	}
	return httpwire.Answer{Verdict: httpwire.Failed, Reserved: answer.Reserved}
}

// figures appends those of what is held.
func (c *copies) figures(text []byte) []byte {
	c.mu.Lock()
	entries, bytes := c.store.Entries, c.store.Bytes
	c.mu.Unlock()
	for _, f := range []struct {
		name  string
		value int64
		kind  byte
	}{
		{"held_entries", int64(entries), metrics.Gauge}, {"held_bytes", int64(bytes), metrics.Gauge},
		{"held_claims", c.open.Load(), metrics.Counter}, {"held_known", c.was.Load(), metrics.Counter},
		{"held_refused", c.refused.Load(), metrics.Counter}, {"held_alone", c.alone.Load(), metrics.Counter},
	} {
		text = metrics.Append(text, f.name, f.value, f.kind)
	}
	return text
}
