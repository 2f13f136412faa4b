package lifecycle

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"
)

// badPlan is what the seed of a run decides on bad peers.
type badPlan struct {
	crowds    []string // kinds of clients of the crowd
	size      int      // of the crowd
	flood     string   // what another client floods its connection with; empty for none
	badBodies float64  // see soakEndpoint
}

// newBadPlan draws the bad peers of a seed.
func newBadPlan(seed uint64) *badPlan {
	random := rand.New(rand.NewPCG(seed, 3))
	p := &badPlan{size: 50 + random.IntN(200), badBodies: 0.3 * random.Float64()}
	kinds := slices.Sorted(maps.Keys(crowds))
	for range 1 + random.IntN(4) {
		p.crowds = append(p.crowds, kinds[random.IntN(len(kinds))])
	}
	if floods := slices.Sorted(maps.Keys(floodTexts)); random.IntN(2) == 0 {
		p.flood = floods[random.IntN(len(floods))]
	}
	return p
}

// start starts the crowd and the flood, which end when the returned function is called.
func (p *badPlan) start(address string) (stop func()) {
	var clients []badClient
	for _, kind := range p.crowds {
		clients = append(clients, crowds[kind]...)
	}
	stopCrowd := startCrowdOf(address, p.size, clients)
	if p.flood == "" {
		return stopCrowd
	}
	ended := make(chan struct{})
	until := time.Now().Add(patience)
	go func() {
		for next := 0; time.Now().Before(until); {
			select {
			case <-ended:
				return
			default:
			}
			next = floodOnce(address, floodTexts[p.flood], next, time.Now().Add(time.Second), false)
		}
	}()
	return func() { close(ended); stopCrowd() }
}

// Guards against report 4bbe03: a process with the least memory that the pages name passes its limit, or loses a request, beside crowds
// that hold half requests, large heads and long answers, one that floods its connection, endpoints that read or write slowly, and ids
// that come again, up to a stop.
//
// A run in which the test itself is later than machineSlack shows nothing of what is late; it is counted as void.
func TestBadPeersLoseNoRequest(t *testing.T) {
	const atOnce = 2 // the clients of one run keep two cores busy
	slots := make(chan struct{}, atOnce)
	stopSoak.Run(t, func(t *testing.T, seed uint64) {
		slots <- struct{}{}
		defer func() { <-slots }()
		plan := newSoakPlan(seed)
		plan.bad = newBadPlan(seed)
		plan.test = "TestBadPeersLoseNoRequest"
		soakOnce(t, plan)
	})
}

// lagMeter measures how late the test itself is.
type lagMeter struct {
	worst atomic.Int64 // nanoseconds
	ended chan struct{}
}

// startLagMeter starts one, which measures until its stop is called.
func startLagMeter() *lagMeter {
	const step = 5 * time.Millisecond
	m := &lagMeter{ended: make(chan struct{})}
	go func() {
		for begin := time.Now(); ; begin = time.Now() {
			select {
			case <-m.ended:
				return
			case <-time.After(step):
			}
			m.worst.Store(max(m.worst.Load(), int64(time.Since(begin)-step)))
		}
	}()
	return m
}

// stop ends the measurement and returns the longest delay.
func (m *lagMeter) stop() time.Duration {
	close(m.ended)
	return time.Duration(m.worst.Load())
}
