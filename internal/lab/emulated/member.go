package emulated

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"heathgap/internal/cluster"
	"heathgap/internal/cluster/member"
	"heathgap/internal/env"
	"heathgap/internal/httpwire"
)

// Figures of a hollow member's life.
const (
	listenTime = 5 * time.Second       // for a start to listen
	answerTime = 3 * time.Second       // for orders under way to end when their member leaves
	endTime    = 50 * time.Millisecond // for an order's outcome above what is left of its time, as in the pipeline
	mostOrders = 256                   // of a member at a time; one more counts as refused
	// startSpread is over how long the starts of members that begin together are drawn: 60 sidecars' processes that are started at
	// once come up within 86 to 257 ms on 8 cores. Members that all begin in one moment ask in one moment ever after, and the leader
	// answers them together, at less cost.
	startSpread = 150 * time.Millisecond
	rateTime    = 500 * time.Millisecond // a new rate of orders binds by then
)

// hollow is one member over all its starts.
type hollow struct {
	process *process
	place   Peer
	fault   Fault
	spent   traffic
	asked   atomic.Int64
	denied  atomic.Int64
	rate    atomic.Uint64 // of orders: a float64's bits

	mu     sync.Mutex // guards what follows
	life   *life      // nil while it is gone
	past   member.Status
	starts int
	heed   heed
	stance MemberState // as last told, but for epoch and time, which are those of the last look
}

// life is one start of a member.
type life struct {
	world    *world
	started  chan struct{} // closed when member and err stand
	member   *member.Member
	err      error
	halt     chan struct{} // closed when no order begins any more
	halting  sync.Once
	stopping sync.Once
	orders   sync.WaitGroup // who makes them, and those under way
	underway atomic.Int64
	ordering bool // guarded by the hollow's mu, as the two that follow
	leaving  bool
	left     bool // it acts no more
	number   int
}

var errGone = errors.New("it is gone")

// begin starts it. The life that it returns listens at once, or tells why not.
func (h *hollow) begin() (*life, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.life != nil {
		return nil, errors.New("it runs already")
	}
	s := h.process.start
	c, err := conf(h.place)
	if err != nil {
		return nil, err
	}
	h.starts++
	l := &life{
		world:   newWorld(h.process.ways, s.region(h.place), h.process.keepers, &h.spent, h.fault, s.Lease/cluster.HeartbeatsPerLease),
		started: make(chan struct{}), halt: make(chan struct{}), number: h.starts,
	}
	h.life, h.heed = l, heed{}
	h.tell(MemberState{Cautious: true})
	wait := time.Duration(h.dice(l, "start").Int64N(int64(startSpread)))
	go func() {
		defer close(l.started)
		time.Sleep(wait)
		l.member, l.err = member.Start(s.table(h.place), c, l.world, h.process.log.With().Str("sidecar", h.place.Name).Logger())
	}()
	h.order(l)
	return l, nil
}

// awaitListening waits until it can be reached.
func (l *life) awaitListening() error {
	timer := time.NewTimer(listenTime)
	defer timer.Stop()
	select {
	case <-l.world.listening:
		return nil
	case <-l.started:
		return l.err
	case <-timer.C:
		return fmt.Errorf("it does not listen after %v", listenTime)
	}
}

// look tells what it acts on, if that has changed. A change shows with the first look after it.
func (h *hollow) look() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.life != nil && !h.life.left {
		h.lookAt(h.life)
	}
}

func (h *hollow) lookAt(l *life) {
	select {
	case <-l.started:
	default:
		return // cautious, as was told with its start
	}
	if l.member == nil {
		return
	}
	a := l.member.Status()
	s := MemberState{Active: a.Active, Next: a.Next, Epoch: a.Epoch, Cautious: a.Cautious}
	if h.fault == IgnoresVersions {
		s = h.heed.act(s)
	}
	h.tell(s)
}

// tell books a stance, and says it if it is another one. The lock is held, so that nothing of a life is said after its end.
func (h *hollow) tell(s MemberState) {
	s.At, s.Member = (env.Real{}).BootTime(), h.place.Name
	before := h.stance
	h.stance = s
	if before.Member != "" && before.Active == s.Active && before.Next == s.Next && before.Cautious == s.Cautious && before.Gone == s.Gone {
		return
	}
	h.process.say(Output{Event: &s})
}

// gone books the end of a life. The lock is held.
func (h *hollow) gone(l *life) {
	l.left = true
	last := h.stance
	last.Gone = true
	h.tell(last)
}

// kill ends it in this moment. What is left of the member, in a world that is over, ends behind that.
func (h *hollow) kill() error {
	h.mu.Lock()
	l := h.life
	if l == nil {
		h.mu.Unlock()
		return errGone
	}
	h.count(l)
	h.life = nil
	l.world.end()
	if !l.left {
		h.gone(l)
	}
	h.mu.Unlock()
	h.process.buried.Go(l.stop)
	return nil
}

// stop ends its member, once.
func (l *life) stop() {
	l.halting.Do(func() { close(l.halt) })
	<-l.started
	if l.member != nil {
		l.stopping.Do(l.member.Stop)
	}
}

// leave ends it in order, as a sidecar does at a SIGTERM: it says that it will leave, answers what is under way, acts no more, and
// then waits, not for long, until others have what it holds.
func (h *hollow) leave() error {
	h.mu.Lock()
	l := h.life
	if l == nil || l.leaving {
		h.mu.Unlock()
		return errGone
	}
	l.leaving = true
	h.mu.Unlock()
	<-l.started
	if l.member != nil {
		l.member.Leaving()
	}
	l.halting.Do(func() { close(l.halt) })
	answered := make(chan struct{})
	go func() {
		l.orders.Wait()
		close(answered)
	}()
	timer := time.NewTimer(answerTime)
	defer timer.Stop()
	select {
	case <-answered:
	case <-timer.C:
	}
	h.mu.Lock()
	killed := h.life != l
	if !killed {
		h.lookAt(l)
		h.gone(l)
	}
	h.mu.Unlock()
	if killed {
		return errGone
	}
	l.stop()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.life != l {
		return errGone
	}
	h.count(l)
	h.life = nil
	l.world.end()
	return nil
}

// count adds a life's figures to those of the ones before.
func (h *hollow) count(l *life) {
	a := l.figures()
	h.past.Renewals += a.Renewals
	h.past.Refused += a.Refused
	h.past.Lost += a.Lost
}

func (l *life) figures() (a member.Status) {
	select {
	case <-l.started:
		if l.member != nil {
			return l.member.Status()
		}
	default:
	}
	return a
}

// sample is what it has cost.
func (h *hollow) sample() MemberUsage {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := MemberUsage{
		In: h.spent.in.Load(), Out: h.spent.out.Load(), ToVoters: h.spent.toKeeper.Load(), FromVoters: h.spent.ofKeeper.Load(),
		Renewals: h.past.Renewals, Refused: h.past.Refused, LostRenewals: h.past.Lost, KeyedRequests: h.asked.Load(), KeyedRefused: h.denied.Load(),
	}
	if h.life != nil {
		if !h.life.left {
			h.lookAt(h.life)
		}
		a := h.life.figures()
		s.Renewals += a.Renewals
		s.Refused += a.Refused
		s.LostRenewals += a.Lost
		s.Conns = h.life.world.open()
	}
	s.State = h.stance
	return s
}

// setRate has it make so many orders a second.
func (h *hollow) setRate(orders float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rate.Store(math.Float64bits(orders))
	if h.life != nil {
		h.order(h.life)
	}
}

// order has a life make orders, if there are any to make. The lock is held.
func (h *hollow) order(l *life) {
	if l.ordering || l.leaving || math.Float64frombits(h.rate.Load()) == 0 {
		return
	}
	l.ordering = true
	dice := h.dice(l, "orders")
	l.orders.Go(func() { h.makeOrders(l, dice) })
}

// dice are those of a life for one use, under the seed.
func (h *hollow) dice(l *life, use string) *rand.Rand {
	name := fnv.New64a()
	name.Write([]byte(use + " of " + h.place.Name))
	return rand.New(rand.NewPCG(h.process.start.Seed^name.Sum64(), uint64(l.number)))
}

// makeOrders makes orders at drawn times until the life's end.
func (h *hollow) makeOrders(l *life, dice *rand.Rand) {
	select {
	case <-l.started:
	case <-l.halt:
		return
	}
	if l.member == nil {
		return
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	// Each order is due a drawn time after the one before was: one that is late does not put off the next.
	for due := time.Now(); ; {
		gap := 2 * rateTime
		if rate := math.Float64frombits(h.rate.Load()); rate > 0 {
			gap = time.Duration(min(dice.ExpFloat64()/rate*float64(time.Second), float64(gap)))
		}
		due = due.Add(min(gap, rateTime)) // such gaps have no memory: after rateTime another is drawn
		timer.Reset(time.Until(due))
		select {
		case <-l.halt:
			return
		case <-timer.C:
		}
		if gap <= rateTime {
			h.makeOrder(l, fmt.Sprintf("%s-%d-%016x%016x", h.place.Name, l.number, dice.Uint64(), dice.Uint64()))
		}
	}
}

// makeOrder makes one, unless too many are under way.
func (h *hollow) makeOrder(l *life, key string) {
	h.asked.Add(1)
	if l.underway.Add(1) > mostOrders {
		l.underway.Add(-1)
		h.denied.Add(1)
		return
	}
	l.orders.Go(func() {
		defer l.underway.Add(-1)
		if !h.process.carry(l.member, key) {
			h.denied.Add(1)
		}
	})
}

// carry carries one keyed request as the pipeline does, with a wait in the endpoint's place. It tells whether the caller would
// have had its answer.
func (p *process) carry(m *member.Member, key string) bool {
	began := time.Now()
	request := &httpwire.Request{Class: OrderClass, Key: key, Remaining: classDeadline, Method: "POST", URI: "/" + OrderClass + "/x", Body: []byte(key)}
	var print [16]byte
	copy(print[:], key[max(0, len(key)-len(print)):]) // drawn, as the hash of a request would be
	opened := m.Holdings().Claim(request, print, request.Remaining)
	if opened.Claim == nil || opened.Answer != nil {
		return false
	}
	left := func() time.Duration { return max(endTime, classDeadline-time.Since(began)+endTime) }
	if !opened.Claim.MayWrite() {
		opened.Claim.Finish(httpwire.Answer{Verdict: httpwire.Refused}, false, left())
		return false
	}
	time.Sleep(p.start.KeyedDuration)
	return opened.Claim.Finish(httpwire.Answer{Verdict: httpwire.Served, Body: []byte("done")}, true, left()).Verdict == httpwire.Served
}
