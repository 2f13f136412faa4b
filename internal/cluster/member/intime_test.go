package member

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"heathgap/internal/env"
	"heathgap/internal/holdings"
	"heathgap/internal/httpwire"
	"heathgap/internal/peerrpc"
	"heathgap/internal/pipeline"
)

// manualEnv is an environment in which time passes only while somebody waits: a wait for a timer or for a dial takes its whole duration at
// once. Goroutines do not run, so that no backup is ever reached.
type manualEnv struct {
	env.Real
	now time.Time
	// beginWait is called with each wait for a timer. It returns how long the wait lasts, and whether the timer has fired then. nil stands for
	// timers that all fire.
	beginWait func(d time.Duration) (lasts time.Duration, fires bool)
}

// Now implements env.Env.
func (e *manualEnv) Now() time.Time { return e.now }

// BootTime implements env.Env.
func (e *manualEnv) BootTime() time.Duration { return e.now.Sub(time.Time{}) }

// Go implements env.Env.
func (*manualEnv) Go(string, func()) {}

// NewTimer implements env.Env.
func (e *manualEnv) NewTimer(d time.Duration) env.Timer { return &manualTimer{env: e, d: d} }

// Dial implements env.Env. No address can be reached.
func (e *manualEnv) Dial(_ context.Context, _ string, timeout time.Duration) (net.Conn, error) {
	e.now = e.now.Add(timeout)
	return nil, errors.New("nobody there")
}

// manualTimer is a timer of a manualEnv.
type manualTimer struct {
	env *manualEnv
	d   time.Duration
}

// C implements env.Timer: the caller waits for it from now on.
func (t *manualTimer) C() <-chan time.Time {
	lasts, fires := max(0, t.d), true
	if t.env.beginWait != nil {
		lasts, fires = t.env.beginWait(lasts)
	}
	t.env.now = t.env.now.Add(lasts)
	c := make(chan time.Time, 1)
	if fires {
		c <- t.env.now
	}
	return c
}

// Reset implements env.Timer.
func (t *manualTimer) Reset(d time.Duration) { t.d = d }

// Stop implements env.Timer.
func (*manualTimer) Stop() {}

// manualPeerAddress is the address of the other sidecar in tests that never reach it.
const manualPeerAddress = "127.0.0.1:1"

// Guards against answers that come later than their request's time because a claim waits for copies longer than that: where this sidecar is
// the primary itself, and where a connection to the primary becomes free late.
func TestClaimEndsWithinTheTimeOfItsRequest(t *testing.T) {
	for name, c := range map[string]struct {
		replicas []holdings.Incarnation
		freeAt   float64 // the part of the timeout after which a connection to the primary becomes free
	}{
		"own shard, the backup hangs":               {replicas: []holdings.Incarnation{ownIncarnation, peerIncarnation}},
		"connections are busy for half of the time": {replicas: []holdings.Incarnation{peerIncarnation}, freeAt: 0.5},
		"connections are busy for all of the time":  {replicas: []holdings.Incarnation{peerIncarnation}, freeAt: 1},
		"a connection is free, the primary is away": {replicas: []holdings.Incarnation{peerIncarnation}},
	} {
		for _, within := range []time.Duration{40 * time.Millisecond, 200 * time.Millisecond, 350 * time.Millisecond, time.Second} {
			environment := &manualEnv{now: time.Unix(1e6, 0)}
			hs := fixedMember{peerAddress: manualPeerAddress, replicas: c.replicas}.service(t, environment)
			if c.freeAt > 0 {
				environment.beginWait = occupyConnections(hs, environment, c.freeAt)
			}
			request := &httpwire.Request{Class: "order", Key: "k", Remaining: within}
			began := environment.now
			result := hs.Claim(t.Context(), request, [16]byte{}, within)
			if took := environment.now.Sub(began); result.Answer == nil || took > within {
				t.Errorf("%s: answer %+v after %v, want a refusal within %v", name, result.Answer, took, within)
			}
			held := &claim{service: hs, command: holdings.Command{Op: holdings.OpClaim, Key: holdings.Key{Class: "order", Text: "k"}, Owner: ownIncarnation}}
			began = environment.now
			answer := held.Finish(t.Context(), httpwire.Answer{Verdict: httpwire.Served}, true, within)
			if took := environment.now.Sub(began); answer.Verdict != httpwire.Failed || took > within {
				t.Errorf("%s: %+v after %v, want a failure within %v", name, answer, took, within)
			}
		}
	}
}

// busyPool makes all connections to an address busy, and returns their pool.
func busyPool(hs *holdingsService, address string) *clientPool {
	pool := &clientPool{free: make(chan *peerrpc.Client, maxClientsPerPeer)}
	pool.made.Store(maxClientsPerPeer)
	hs.pools[address] = pool
	return pool
}

// occupyConnections makes all connections to the primary busy. Who waits for one gets it after a part of the time that it would wait.
func occupyConnections(hs *holdingsService, environment *manualEnv, freeAt float64) func(time.Duration) (time.Duration, bool) {
	pool := busyPool(hs, manualPeerAddress)
	return func(d time.Duration) (lasts time.Duration, fires bool) {
		if len(pool.free) > 0 { // not a wait for a connection
			return d, true
		}
		pool.free <- peerrpc.NewClient(environment, "test", ownIncarnation.Name, manualPeerAddress)
		return time.Duration(float64(d) * freeAt), false
	}
}

// endlessEnv is an environment in which no time passes: no timer fires and no deadline comes. It signals each wait for a timer and each dial,
// and may let dials wait for the end of their context.
type endlessEnv struct {
	env.Real
	start     time.Time // far ahead of the kernel's clock, so that deadlines of connections do not come either
	waits     chan struct{}
	hangsDial bool
}

func newEndlessEnv() *endlessEnv {
	return &endlessEnv{start: time.Now().Add(time.Hour), waits: make(chan struct{}, 1)}
}

// Now implements env.Env.
func (e *endlessEnv) Now() time.Time { return e.start }

// NewTimer implements env.Env.
func (e *endlessEnv) NewTimer(time.Duration) env.Timer { return endlessTimer{e} }

// Dial implements env.Env.
func (e *endlessEnv) Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	if e.hangsDial {
		signalOnce(e.waits)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return e.Real.Dial(ctx, address, timeout)
}

// endlessTimer is a timer of an endlessEnv.
type endlessTimer struct{ env *endlessEnv }

// C implements env.Timer.
func (t endlessTimer) C() <-chan time.Time {
	signalOnce(t.env.waits)
	return nil
}

// Reset implements env.Timer.
func (endlessTimer) Reset(time.Duration) {}

// Stop implements env.Timer.
func (endlessTimer) Stop() {}

// Guards against a wait of a claim that does not hear that the process is about to end. Nothing else ends these waits here.
func TestEachWaitOfAClaimEndsWithItsContext(t *testing.T) {
	remote, own := []holdings.Incarnation{peerIncarnation}, []holdings.Incarnation{ownIncarnation, peerIncarnation}
	for name, c := range map[string]struct {
		replicas   []holdings.Incarnation
		hangsDial  bool
		busy       bool // all connections to the primary
		notPrimary bool // so says the other sidecar; otherwise it never answers
	}{
		"for a connection to come up":    {replicas: remote, hangsDial: true},
		"for the primary's answer":       {replicas: remote},
		"for a connection that is free":  {replicas: remote, busy: true},
		"for the next try":               {replicas: remote, notPrimary: true},
		"for the backup of an own shard": {replicas: own},
	} {
		t.Run(name, func(t *testing.T) {
			environment, released := newEndlessEnv(), make(chan struct{})
			environment.hangsDial = c.hangsDial
			address := startPeer(t, map[string]peerrpc.Handler{"hold-ask": func(string, []byte) (any, error) {
				if c.notPrimary {
					return holdings.Answer{Kind: holdings.AnswerNotPrimary}, nil
				}
				signalOnce(environment.waits)
				<-released
				return nil, errBusy
			}})
			t.Cleanup(func() { close(released) })
			hs := fixedMember{peerAddress: address, replicas: c.replicas}.service(t, environment)
			if c.busy {
				busyPool(hs, address)
			}
			ctx, end := context.WithCancel(t.Context())
			defer end()
			results := make(chan pipeline.ClaimResult, 1)
			go func() {
				results <- hs.Claim(ctx, &httpwire.Request{Class: "order", Key: "k", Remaining: time.Minute}, [16]byte{}, time.Minute)
			}()
			awaitSignals(t, "the claim waits", environment.waits, 1)
			end()
			select {
			case result := <-results:
				if result.Answer == nil || result.Answer.Verdict != httpwire.Refused {
					t.Errorf("%+v, want a refusal", result.Answer)
				}
			case <-time.After(testPatience):
				t.Error("the claim still waits")
			}
		})
	}
}
