package member

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"heathgap/decide"
	"heathgap/internal/cluster"
	"heathgap/internal/clusterparams"
	"heathgap/internal/env"
	"heathgap/internal/holdings"
	"heathgap/internal/httpwire"
	"heathgap/internal/operator"
	"heathgap/internal/peerrpc"
	"heathgap/internal/versions"
)

// manualEnv is an environment in which time passes only while somebody waits: a wait for a timer or for a dial takes its whole duration at
// once. Goroutines do not run, so that no backup is ever reached.
type manualEnv struct {
	env.Real
	now       time.Time
	beginWait func(d time.Duration) (fires bool) // called with each wait for a timer, after it; nil for timers that all fire
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
	t.env.now = t.env.now.Add(max(0, t.d))
	c := make(chan time.Time, 1)
	if t.env.beginWait == nil || t.env.beginWait(t.d) {
		c <- t.env.now
	}
	return c
}

// Reset implements env.Timer.
func (t *manualTimer) Reset(d time.Duration) { t.d = d }

// Stop implements env.Timer.
func (*manualTimer) Stop() {}

// newManualService returns the holdings of a sidecar whose shards all have the given replicas, the primary first.
func newManualService(t *testing.T, environment *manualEnv, replicas ...holdings.Incarnation) *holdingsService {
	t.Helper()
	conf := loadConfig(t, nil)
	table := operator.Cluster{
		Name: "test", Params: clusterparams.Params{Lease: time.Hour, Holdings: clusterparams.Holdings{Copies: len(replicas), Keep: time.Hour, LostAfter: time.Hour}},
		Holdings: operator.Holdings{Classes: map[string]operator.WhenAlone{"order": operator.RefuseAlone}, MaxEntries: 1000, MaxBody: 1000},
	}
	m := &Member{conf: table, env: environment, holder: cluster.NewLeaseHolder(cluster.Member{Name: ownIncarnation.Name}, table.Params, versions.FromSettings(&decide.Settings{}), 0)}
	hs, err := newHoldingsService(m, conf)
	if err != nil {
		t.Fatal(err)
	}
	hs.applyFixedView("127.0.0.1:1", replicas, environment.BootTime()+table.Params.Lease)
	return hs
}

// Guards against answers that come later than their request's time because a claim waits for copies longer than that: where this sidecar is
// the primary itself, and where a connection to the primary becomes free late.
func TestClaimEndsWithinTheTimeOfItsRequest(t *testing.T) {
	for _, within := range []time.Duration{40 * time.Millisecond, 200 * time.Millisecond, 350 * time.Millisecond, time.Second} {
		for name, replicas := range map[string][]holdings.Incarnation{
			"own shard, the backup hangs": {ownIncarnation, peerIncarnation}, "all connections to the primary are busy": {peerIncarnation},
		} {
			environment := &manualEnv{now: time.Unix(1e6, 0)}
			hs := newManualService(t, environment, replicas...)
			pool := &clientPool{free: make(chan *peerrpc.Client, maxClientsPerPeer)}
			pool.made.Store(maxClientsPerPeer)
			hs.pools["127.0.0.1:1"] = pool
			if len(replicas) == 1 {
				environment.beginWait = func(d time.Duration) bool {
					if len(pool.free) > 0 {
						return true
					}
					pool.free <- peerrpc.NewClient(environment, "test", "m1", "127.0.0.1:1")
					return false
				}
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
