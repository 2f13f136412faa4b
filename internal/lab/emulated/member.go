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
	listenTimeout     = 5 * time.Second       // for a start to listen
	keyedDrainTimeout = 3 * time.Second       // for orders under way to end when their member leaves
	outcomeSlack      = 50 * time.Millisecond // for an order's outcome above what is left of its time, as in the pipeline
	maxKeyedInFlight  = 256                   // of a member at a time; one more counts as refused
	// startSpread is over how long the starts of members that begin together are drawn: 60 sidecars' processes that are started at
	// once come up within 86 to 257 ms on 8 cores. Members that all begin in one moment ask in one moment ever after, and the leader
	// answers them together, at less cost.
	startSpread       = 150 * time.Millisecond
	rateCheckInterval = 500 * time.Millisecond // a new rate of orders binds by then
)

// emulatedMember is one member over all its starts.
type emulatedMember struct {
	process       *process
	peer          Peer
	fault         Fault
	traffic       trafficCounters
	keyedRequests atomic.Int64
	keyedRefused  atomic.Int64
	keyedRate     atomic.Uint64 // of orders: a float64's bits

	mu         sync.Mutex // guards what follows
	instance   *instance  // nil while it is gone
	pastStatus member.Status
	starts     int
	pin        versionPin
	state      MemberState // as last told, but for epoch and time, which are those of the last look
}

// instance is one start of a member.
type instance struct {
	env           *memberEnv
	started       chan struct{} // closed when member and err stand
	member        *member.Member
	err           error
	stopKeyed     chan struct{} // closed when no order begins any more
	stopKeyedOnce sync.Once
	stopOnce      sync.Once
	keyedWG       sync.WaitGroup // who makes them, and those under way
	inFlight      atomic.Int64
	sendingKeyed  bool // guarded by the hollow's mu, as the two that follow
	leaving       bool
	ended         bool // it acts no more
	number        int
}

var errNotRunning = errors.New("it is gone")

// begin starts it. The life that it returns listens at once, or tells why not.
func (m *emulatedMember) begin() (*instance, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.instance != nil {
		return nil, errors.New("it runs already")
	}
	start := m.process.start
	conf, err := sidecarConfig(m.peer)
	if err != nil {
		return nil, err
	}
	m.starts++
	inst := &instance{
		env:     newMemberEnv(m.process.paths, start.regionOf(m.peer), m.process.voterAddresses, &m.traffic, m.fault, start.Lease/cluster.HeartbeatsPerLease),
		started: make(chan struct{}), stopKeyed: make(chan struct{}), number: m.starts,
	}
	m.instance, m.pin = inst, versionPin{}
	m.reportState(MemberState{Cautious: true})
	wait := time.Duration(m.newRand(inst, "start").Int64N(int64(startSpread)))
	go func() {
		defer close(inst.started)
		time.Sleep(wait)
		inst.member, inst.err = member.Start(start.clusterConfig(m.peer), conf, inst.env, m.process.log.With().Str("sidecar", m.peer.Name).Logger())
	}()
	m.startKeyedRequests(inst)
	return inst, nil
}

// awaitListening waits until it can be reached.
func (inst *instance) awaitListening() error {
	timer := time.NewTimer(listenTimeout)
	defer timer.Stop()
	select {
	case <-inst.env.listening:
		return nil
	case <-inst.started:
		return inst.err
	case <-timer.C:
		return fmt.Errorf("it does not listen after %v", listenTimeout)
	}
}

// checkState tells what it acts on, if that has changed. A change shows with the first look after it.
func (m *emulatedMember) checkState() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.instance != nil && !m.instance.ended {
		m.checkStateOf(m.instance)
	}
}

func (m *emulatedMember) checkStateOf(inst *instance) {
	select {
	case <-inst.started:
	default:
		return // cautious, as was told with its start
	}
	if inst.member == nil {
		return
	}
	a := inst.member.Status()
	s := MemberState{Active: a.Active, Next: a.Next, Epoch: a.Epoch, Cautious: a.Cautious}
	if m.fault == IgnoresVersions {
		s = m.pin.apply(s)
	}
	m.reportState(s)
}

// reportState books a stance, and says it if it is another one. The lock is held, so that nothing of a life is said after its end.
func (m *emulatedMember) reportState(s MemberState) {
	s.At, s.Member = (env.Real{}).BootTime(), m.peer.Name
	before := m.state
	m.state = s
	if before.Member != "" && before.Active == s.Active && before.Next == s.Next && before.Cautious == s.Cautious && before.Gone == s.Gone {
		return
	}
	m.process.write(Output{Event: &s})
}

// reportEnd books the end of a life. The lock is held.
func (m *emulatedMember) reportEnd(inst *instance) {
	inst.ended = true
	last := m.state
	last.Gone = true
	m.reportState(last)
}

// kill ends it in this moment. What is left of the member, in a world that is over, ends behind that.
func (m *emulatedMember) kill() error {
	m.mu.Lock()
	inst := m.instance
	if inst == nil {
		m.mu.Unlock()
		return errNotRunning
	}
	m.addToPast(inst)
	m.instance = nil
	inst.env.terminate()
	if !inst.ended {
		m.reportEnd(inst)
	}
	m.mu.Unlock()
	m.process.cleanup.Go(inst.stop)
	return nil
}

// stop ends its member, once.
func (inst *instance) stop() {
	inst.stopKeyedOnce.Do(func() { close(inst.stopKeyed) })
	<-inst.started
	if inst.member != nil {
		inst.stopOnce.Do(inst.member.Stop)
	}
}

// leave ends it in order, as a sidecar does at a SIGTERM: it says that it will leave, answers what is under way, acts no more, and
// then waits, not for long, until others have what it holds.
func (m *emulatedMember) leave() error {
	m.mu.Lock()
	inst := m.instance
	if inst == nil || inst.leaving {
		m.mu.Unlock()
		return errNotRunning
	}
	inst.leaving = true
	m.mu.Unlock()
	<-inst.started
	if inst.member != nil {
		inst.member.Leaving()
	}
	inst.stopKeyedOnce.Do(func() { close(inst.stopKeyed) })
	answered := make(chan struct{})
	go func() {
		inst.keyedWG.Wait()
		close(answered)
	}()
	timer := time.NewTimer(keyedDrainTimeout)
	defer timer.Stop()
	select {
	case <-answered:
	case <-timer.C:
	}
	m.mu.Lock()
	killed := m.instance != inst
	if !killed {
		m.checkStateOf(inst)
		m.reportEnd(inst)
	}
	m.mu.Unlock()
	if killed {
		return errNotRunning
	}
	inst.stop()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.instance != inst {
		return errNotRunning
	}
	m.addToPast(inst)
	m.instance = nil
	inst.env.terminate()
	return nil
}

// addToPast adds a life's figures to those of the ones before.
func (m *emulatedMember) addToPast(inst *instance) {
	a := inst.status()
	m.pastStatus.Renewals += a.Renewals
	m.pastStatus.Refused += a.Refused
	m.pastStatus.Lost += a.Lost
}

func (inst *instance) status() (a member.Status) {
	select {
	case <-inst.started:
		if inst.member != nil {
			return inst.member.Status()
		}
	default:
	}
	return a
}

// usage is what it has cost.
func (m *emulatedMember) usage() MemberUsage {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := MemberUsage{
		In: m.traffic.in.Load(), Out: m.traffic.out.Load(), ToVoters: m.traffic.toVoters.Load(), FromVoters: m.traffic.fromVoters.Load(),
		Renewals: m.pastStatus.Renewals, Refused: m.pastStatus.Refused, LostRenewals: m.pastStatus.Lost, KeyedRequests: m.keyedRequests.Load(), KeyedRefused: m.keyedRefused.Load(),
	}
	if m.instance != nil {
		if !m.instance.ended {
			m.checkStateOf(m.instance)
		}
		a := m.instance.status()
		s.Renewals += a.Renewals
		s.Refused += a.Refused
		s.LostRenewals += a.Lost
		s.Conns = m.instance.env.openConns()
	}
	s.State = m.state
	return s
}

// setRate has it make so many orders a second.
func (m *emulatedMember) setRate(rate float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.keyedRate.Store(math.Float64bits(rate))
	if m.instance != nil {
		m.startKeyedRequests(m.instance)
	}
}

// startKeyedRequests has a life make orders, if there are any to make. The lock is held.
func (m *emulatedMember) startKeyedRequests(inst *instance) {
	if inst.sendingKeyed || inst.leaving || math.Float64frombits(m.keyedRate.Load()) == 0 {
		return
	}
	inst.sendingKeyed = true
	rng := m.newRand(inst, "orders")
	inst.keyedWG.Go(func() { m.sendKeyedRequests(inst, rng) })
}

// newRand are those of a life for one use, under the seed.
func (m *emulatedMember) newRand(inst *instance, use string) *rand.Rand {
	name := fnv.New64a()
	name.Write([]byte(use + " of " + m.peer.Name))
	return rand.New(rand.NewPCG(m.process.start.Seed^name.Sum64(), uint64(inst.number)))
}

// sendKeyedRequests makes orders at drawn times until the life's end.
func (m *emulatedMember) sendKeyedRequests(inst *instance, rng *rand.Rand) {
	select {
	case <-inst.started:
	case <-inst.stopKeyed:
		return
	}
	if inst.member == nil {
		return
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	// Each order is due a drawn time after the one before was: one that is late does not put off the next.
	for due := time.Now(); ; {
		gap := 2 * rateCheckInterval
		if rate := math.Float64frombits(m.keyedRate.Load()); rate > 0 {
			gap = time.Duration(min(rng.ExpFloat64()/rate*float64(time.Second), float64(gap)))
		}
		due = due.Add(min(gap, rateCheckInterval)) // such gaps have no memory: after rateTime another is drawn
		timer.Reset(time.Until(due))
		select {
		case <-inst.stopKeyed:
			return
		case <-timer.C:
		}
		if gap <= rateCheckInterval {
			m.sendKeyedRequest(inst, fmt.Sprintf("%s-%d-%016x%016x", m.peer.Name, inst.number, rng.Uint64(), rng.Uint64()))
		}
	}
}

// sendKeyedRequest makes one, unless too many are under way.
func (m *emulatedMember) sendKeyedRequest(inst *instance, key string) {
	m.keyedRequests.Add(1)
	if inst.inFlight.Add(1) > maxKeyedInFlight {
		inst.inFlight.Add(-1)
		m.keyedRefused.Add(1)
		return
	}
	inst.keyedWG.Go(func() {
		defer inst.inFlight.Add(-1)
		if !m.process.runKeyedRequest(inst.member, key) {
			m.keyedRefused.Add(1)
		}
	})
}

// runKeyedRequest carries one keyed request as the pipeline does, with a wait in the endpoint's place. It tells whether the caller would
// have had its answer.
func (p *process) runKeyedRequest(m *member.Member, key string) bool {
	began := time.Now()
	request := &httpwire.Request{Class: OrderClass, Key: key, Remaining: classDeadline, Method: "POST", URI: "/" + OrderClass + "/x", Body: []byte(key)}
	var fingerprint [16]byte
	copy(fingerprint[:], key[max(0, len(key)-len(fingerprint)):]) // drawn, as the hash of a request would be
	claimed := m.Holdings().Claim(request, fingerprint, request.Remaining)
	if claimed.Claim == nil || claimed.Answer != nil {
		return false
	}
	remaining := func() time.Duration { return max(outcomeSlack, classDeadline-time.Since(began)+outcomeSlack) }
	if !claimed.Claim.MayWrite() {
		claimed.Claim.Finish(httpwire.Answer{Verdict: httpwire.Refused}, false, remaining())
		return false
	}
	time.Sleep(p.start.KeyedDuration)
	return claimed.Claim.Finish(httpwire.Answer{Verdict: httpwire.Served, Body: []byte("done")}, true, remaining()).Verdict == httpwire.Served
}
