package emulated

import (
	"context"
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

// Times and bounds of an emulated member.
const (
	listenTimeout     = 5 * time.Second       // for a member to listen after its start
	keyedDrainTimeout = 3 * time.Second       // for keyed requests in flight to end when their member leaves
	outcomeSlack      = 50 * time.Millisecond // for recording an outcome, on top of the request's remaining time, as in the pipeline
	maxKeyedInFlight  = 256                   // per member; a keyed request above it counts as refused
	// startSpread is the time over which the starts of members that begin together are spread at random. 60 sidecar processes that
	// are started at once come up within 86 to 257 ms on 8 cores. Members that all begin at one moment would renew their leases at one
	// moment from then on, and the leader would answer them together, at less cost than real ones.
	startSpread       = 150 * time.Millisecond
	rateCheckInterval = 500 * time.Millisecond // how long a new rate of keyed requests may take until it applies
)

// emulatedMember is one emulated member over all its starts.
type emulatedMember struct {
	process       *process
	peer          Peer
	fault         Fault
	traffic       trafficCounters
	keyedRequests atomic.Int64
	keyedRefused  atomic.Int64
	keyedRate     atomic.Uint64 // per second: the bits of a float64

	mu         sync.Mutex    // guards what follows
	instance   *instance     // nil while the member does not run
	pastStatus member.Status // sums of the counters of ended instances
	starts     int
	pin        versionPin
	state      MemberState // as last reported, except Epoch and At, which are those of the last check
}

// instance is a member from one start to the end that follows it.
type instance struct {
	env           *memberEnv
	started       chan struct{} // closed when member and err are set
	member        *member.Member
	err           error
	stopKeyed     chan struct{} // closed when no keyed request may begin any more
	stopKeyedOnce sync.Once
	stopOnce      sync.Once
	keyedWG       sync.WaitGroup // the goroutine that makes keyed requests, and those in flight
	inFlight      atomic.Int64
	sendingKeyed  bool // guarded by emulatedMember.mu, as the two that follow
	leaving       bool
	ended         bool // its end was reported
	number        int  // 1 for the first start of its member
}

var errNotRunning = errors.New("the member is not running")

// begin starts the member. The instance starts at a random time within startSpread; awaitListening waits for it.
func (m *emulatedMember) begin() (*instance, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.instance != nil {
		return nil, errors.New("the member is already running")
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

// awaitListening waits until the member listens, and returns an error if it could not start or does not listen within listenTimeout.
func (inst *instance) awaitListening() error {
	timer := time.NewTimer(listenTimeout)
	defer timer.Stop()
	select {
	case <-inst.env.listening:
		return nil
	case <-inst.started:
		return inst.err
	case <-timer.C:
		return fmt.Errorf("the member does not listen after %v", listenTimeout)
	}
}

// checkState reports the member's state if it has changed. A change is reported by the first check after it.
func (m *emulatedMember) checkState() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.instance != nil && !m.instance.ended {
		m.checkStateOf(m.instance)
	}
}

// checkStateOf is checkState for an instance that has not ended. The lock is held.
func (m *emulatedMember) checkStateOf(inst *instance) {
	select {
	case <-inst.started:
	default:
		return // still cautious, as begin reported
	}
	if inst.member == nil {
		return
	}
	status := inst.member.Status()
	s := MemberState{Active: status.Active, Next: status.Next, Epoch: status.Epoch, Cautious: status.Cautious}
	if m.fault == IgnoresVersions {
		s = m.pin.apply(s)
	}
	m.reportState(s)
}

// reportState stores a state and reports it if it is the first one, or differs from the last one in more than Epoch and At. The lock is
// held, so that no state of an instance is reported after its end.
func (m *emulatedMember) reportState(s MemberState) {
	s.At, s.Member = (env.Real{}).BootTime(), m.peer.Name
	before := m.state
	m.state = s
	if before.Member != "" && before.Active == s.Active && before.Next == s.Next && before.Cautious == s.Cautious && before.Gone == s.Gone {
		return
	}
	m.process.write(Output{Event: &s})
}

// reportEnd reports that an instance has ended. The lock is held.
func (m *emulatedMember) reportEnd(inst *instance) {
	inst.ended = true
	last := m.state
	last.Gone = true
	m.reportState(last)
}

// kill ends the member at once, as a SIGKILL does. Its goroutines, in an environment that is terminated, end afterwards in the
// background.
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

// stop stops the product's member of the instance, once.
func (inst *instance) stop() {
	inst.stopKeyedOnce.Do(func() { close(inst.stopKeyed) })
	<-inst.started
	if inst.member != nil {
		inst.stopOnce.Do(inst.member.Stop)
	}
}

// leave ends the member in order, as a sidecar does at a SIGTERM: it announces that it leaves, finishes the keyed requests in flight,
// reports its end, and then stops, which waits a limited time until other members have its replicas.
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
		inst.member.Decommission()
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

// addToPast adds the counters of an instance that ends to those of earlier ones.
func (m *emulatedMember) addToPast(inst *instance) {
	status := inst.status()
	m.pastStatus.Renewals += status.Renewals
	m.pastStatus.Refused += status.Refused
	m.pastStatus.Lost += status.Lost
}

// status returns the status of the member; zero while it has not started.
func (inst *instance) status() (s member.Status) {
	select {
	case <-inst.started:
		if inst.member != nil {
			return inst.member.Status()
		}
	default:
	}
	return s
}

// usage returns what the member has used so far, and its state. It first reports the state if it has changed.
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

// setRate sets the number of keyed requests that the member makes per second.
func (m *emulatedMember) setRate(rate float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.keyedRate.Store(math.Float64bits(rate))
	if m.instance != nil {
		m.startKeyedRequests(m.instance)
	}
}

// startKeyedRequests starts the goroutine that makes an instance's keyed requests, if the rate is above 0 and it does not run yet. The
// lock is held.
func (m *emulatedMember) startKeyedRequests(inst *instance) {
	if inst.sendingKeyed || inst.leaving || math.Float64frombits(m.keyedRate.Load()) == 0 {
		return
	}
	inst.sendingKeyed = true
	rng := m.newRand(inst, "orders")
	inst.keyedWG.Go(func() { m.sendKeyedRequests(inst, rng) })
}

// newRand returns a random generator for one use by an instance. It depends on the seed of the run, the use, the member's name and the
// number of its start.
func (m *emulatedMember) newRand(inst *instance, use string) *rand.Rand {
	name := fnv.New64a()
	name.Write([]byte(use + " of " + m.peer.Name))
	return rand.New(rand.NewPCG(m.process.start.Seed^name.Sum64(), uint64(inst.number)))
}

// sendKeyedRequests makes keyed requests at random (exponentially distributed) intervals until the instance's stopKeyed is closed.
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
	// Each request is due a random time after the previous one was due, so that a late request does not delay the next.
	for due := time.Now(); ; {
		gap := 2 * rateCheckInterval
		if rate := math.Float64frombits(m.keyedRate.Load()); rate > 0 {
			gap = time.Duration(min(rng.ExpFloat64()/rate*float64(time.Second), float64(gap)))
		}
		due = due.Add(min(gap, rateCheckInterval)) // exponential gaps have no memory: a longer one is drawn anew after rateCheckInterval
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

// sendKeyedRequest makes one keyed request, unless too many are in flight: then it counts as refused.
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

// runKeyedRequest runs one keyed request as the pipeline does: it claims the key, waits for as long as an endpoint would take, and
// records the outcome. It reports whether a caller would have received the answer.
func (p *process) runKeyedRequest(m *member.Member, key string) bool {
	began := time.Now()
	request := &httpwire.Request{Class: OrderClass, Key: key, Remaining: classDeadline, Method: "POST", URI: "/" + OrderClass + "/x", Body: []byte(key)}
	var fingerprint [16]byte
	copy(fingerprint[:], key[max(0, len(key)-len(fingerprint)):]) // random, as the hash of a request would be
	claimed := m.Holdings().Claim(context.Background(), request, fingerprint, request.Remaining)
	if claimed.Claim == nil || claimed.Answer != nil {
		return false
	}
	remaining := func() time.Duration { return max(outcomeSlack, classDeadline-time.Since(began)+outcomeSlack) }
	if !claimed.Claim.MayWrite() {
		claimed.Claim.Finish(context.Background(), httpwire.Answer{Verdict: httpwire.Refused}, false, remaining())
		return false
	}
	time.Sleep(p.start.KeyedDuration)
	return claimed.Claim.Finish(context.Background(), httpwire.Answer{Verdict: httpwire.Served, Body: []byte("done")}, true, remaining()).Verdict == httpwire.Served
}
