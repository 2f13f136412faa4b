package member

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"heathgap/internal/cluster"
	"heathgap/internal/clusterparams"
	"heathgap/internal/config"
	"heathgap/internal/env"
	"heathgap/internal/holdings"
	"heathgap/internal/lab/scripted"
	"heathgap/internal/lifecycle"
	"heathgap/internal/operator"
	"heathgap/internal/peerrpc"
	"heathgap/internal/pipeline"
	"heathgap/internal/versions"
)

// Times of the tests of a stop.
const (
	// orderDeadline is longer than a stop: a request that is pending when the stop begins would be pending longer than the process runs.
	orderDeadline = 10 * time.Second
	// killDelay is when the platform kills a process at the earliest, counted from the signal to stop.
	killDelay = 3700 * time.Millisecond
	// testPatience limits all other waits, far above what any should take.
	testPatience = 20 * time.Second
)

// fixedCluster is a membership with holdings whose view never changes.
type fixedCluster struct{ *Member }

// Decommission implements lifecycle.Cluster.
func (fixedCluster) Decommission() {}

// Stop implements lifecycle.Cluster.
func (fixedCluster) Stop() {}

// The sidecar of the tests and the one that is the primary of all keys, or their backup where the sidecar is the primary itself.
var (
	ownIncarnation  = holdings.Incarnation{Name: "m1", JoinEpoch: 1}
	peerIncarnation = holdings.Incarnation{Name: "m2", JoinEpoch: 2}
)

// peerHandlers are the handlers of the other sidecar.
type peerHandlers map[string]peerrpc.Handler

// startSidecarWithPeer starts a sidecar whose class "order" is recorded in the holdings. The replicas of all shards, the primary first, are
// those given.
func startSidecarWithPeer(t *testing.T, endpoint *scripted.Endpoint, alone operator.WhenAlone, handlers peerHandlers, replicas ...holdings.Incarnation) *lifecycle.Sidecar {
	t.Helper()
	peer, err := peerrpc.Listen(env.Real{}, "127.0.0.1:0", "test")
	if err != nil {
		t.Fatal(err)
	}
	peer.Serve(env.Real{}, handlers)
	t.Cleanup(peer.Close)
	conf := loadConfig(t, endpoint)
	table := operator.Cluster{
		Name: "test", Params: clusterparams.Params{Lease: time.Hour, Holdings: clusterparams.Holdings{Copies: len(replicas), Keep: time.Hour, LostAfter: time.Hour}},
		Holdings: operator.Holdings{Classes: map[string]operator.WhenAlone{"order": alone}, MaxEntries: 1000, MaxBody: 1000},
	}
	join := func(conf *config.Config, environment env.Env, log zerolog.Logger) (lifecycle.Cluster, error) {
		return newFixedCluster(table, conf, environment, peer.Address(), replicas)
	}
	sidecar, err := lifecycle.Start(conf, zerolog.Nop(), lifecycle.Options{Operator: operator.Default(), Cluster: join})
	if err != nil {
		t.Fatal(err)
	}
	return sidecar
}

// newFixedCluster returns a member that has a lease and knows the given placement.
func newFixedCluster(table operator.Cluster, conf *config.Config, environment env.Env, peerAddress string, replicas []holdings.Incarnation) (lifecycle.Cluster, error) {
	self := cluster.Member{Name: ownIncarnation.Name, Zone: "a"}
	own := versions.FromSettings(&conf.Settings)
	m := &Member{conf: table, env: environment, log: zerolog.Nop(), holder: cluster.NewLeaseHolder(self, table.Params, own, conf.ConnectTimeout)}
	leaseEnd := environment.BootTime() + table.Params.Lease
	m.effective.Store(&effectiveState{until: leaseEnd, EffectiveRules: pipeline.EffectiveRules{Generation: 1, Dynamic: own.DynamicSettings()}})
	var err error
	if m.holdings, err = newHoldingsService(m, conf); err != nil {
		return nil, err
	}
	m.holdings.applyFixedView(peerAddress, replicas, leaseEnd)
	return fixedCluster{m}, nil
}

// applyFixedView makes a sidecar's holdings know that each shard has the given replicas, the primary first.
func (hs *holdingsService) applyFixedView(peerAddress string, replicas []holdings.Incarnation, leaseEnd cluster.BootTime) {
	placement := &holdings.Placement{Number: 1}
	shard := holdings.Shard{Config: 1}
	for i, incarnation := range replicas {
		shard.Replicas = append(shard.Replicas, holdings.Replica{Incarnation: incarnation, Token: uint64(i), Ready: true})
	}
	for i := range placement.Shards {
		placement.Shards[i] = shard
	}
	members := []holdings.Member{{Incarnation: ownIncarnation, Zone: "a"}, {Incarnation: peerIncarnation, Zone: "b", Address: peerAddress}}
	hs.me, hs.view = ownIncarnation, holdings.View{Placement: placement, Members: members}
	hs.addresses = map[holdings.Incarnation]string{ownIncarnation: "127.0.0.1:2", peerIncarnation: peerAddress}
	hs.store.SetLease(leaseEnd)
	hs.store.ApplyView(hs.now(), ownIncarnation, placement, members)
}

// loadConfig returns the configuration of a sidecar with the keyed class "order" and one endpoint, or none if that is nil.
func loadConfig(t *testing.T, endpoint *scripted.Endpoint) *config.Config {
	t.Helper()
	var lines []map[string]any
	if endpoint != nil {
		lines = append(lines, endpoint.Line())
	}
	path := writeConfig(t, sidecarConfig(ownIncarnation.Name, "127.0.0.1:0", scripted.StartDiscovery(t), orderDeadline, lines...))
	conf, err := config.Load(func(key string) string { return map[string]string{config.EnvFile: path}[key] })
	if err != nil {
		t.Fatal(err)
	}
	return conf
}

// sidecarConfig returns the configuration of a sidecar whose one class, "order", is keyed and has the given deadline.
func sidecarConfig(name, listen string, discovery *scripted.Discovery, deadline time.Duration, lines ...map[string]any) map[string]any {
	millis := deadline.Seconds() * 1000
	class := map[string]any{
		"name": "order", "effect": "by_key", "group": "all", "window": 2 * millis, "aim": millis / 2, "deadline": millis, "worth": 1.0,
	}
	bounds := map[string]any{
		"cancel": true, "retry_after": true, "max_retry_after": 1000.0, "max_attempts": 3, "connect_timeout": 500.0, "conn_idle": 10000.0, "most_held": 500,
	}
	rules := map[string]any{
		"answer_slack": 50.0, "ask_every": 5000.0, "cold": 8900.0, "cold_from": 0.3, "drain_grace": 1000.0, "fall_multiple": 3.0, "overload_for": 3000.0,
	}
	return map[string]any{
		"name": name, "listen": listen, "discovery": discovery.Address, "seed": "1", "known": scripted.FullList(1, lines...),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": map[string]any{
			"me": 0, "replicas_of_me": 2, "az": "a", "tier": 0, "stages": []string{"one"}, "tick": 2.0, "membership_mode": "subscribe", "over_share_worth": 0.1,
			"bounds": bounds, "rules": rules, "profiles": []any{class},
		},
	}
}

// writeConfig writes a configuration to a file and returns its path.
func writeConfig(t *testing.T, conf map[string]any) string {
	t.Helper()
	text, err := json.Marshal(conf)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// orderText returns a request of the class "order" with a key of its own.
func orderText(n int) string {
	return fmt.Sprintf("POST /order/x HTTP/1.1\r\nHost: x\r\nX-Txn: t%d\r\nX-Remaining: %.1f\r\nIdempotency-Key: k%d\r\nContent-Length: 3\r\n\r\none",
		n, orderDeadline.Seconds(), n)
}

// signalOnce sends to a channel that may be full already.
func signalOnce(reached chan<- struct{}) {
	select {
	case reached <- struct{}{}:
	default:
	}
}

// awaitSignals waits until n signals have come.
func awaitSignals(t *testing.T, what string, reached <-chan struct{}, n int) {
	t.Helper()
	timer := time.NewTimer(testPatience)
	defer timer.Stop()
	for range n {
		select {
		case <-reached:
		case <-timer.C:
			t.Fatalf("did not happen: %s", what)
		}
	}
}

// expectAnswersOfStop stops a sidecar and checks that each client has its answer by the earliest time of the kill.
func expectAnswersOfStop(t *testing.T, sidecar *lifecycle.Sidecar, clients []*scripted.Peer, status int) {
	t.Helper()
	begin := time.Now()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		sidecar.Stop()
	}()
	for i, client := range clients {
		client.SetDeadline(begin.Add(killDelay))
		if got, _ := client.ReadAnswer(); got != status {
			t.Errorf("client %d: status %d, want %d", i, got, status)
		}
		client.Close()
	}
	select {
	case <-stopped:
	case <-time.After(testPatience):
		t.Error("the stop does not end")
	}
}

// Guards against requests that a stop leaves unanswered because their keys are still being claimed, as when their primary was lost
// (review/3).
func TestStopAnswersRequestsThatAreBeingClaimed(t *testing.T) {
	notPrimary := func([]byte) (any, error) { return holdings.Answer{Kind: holdings.AnswerNotPrimary}, nil }
	for name, c := range map[string]struct {
		kind     string // of the message that the claims wait for
		reply    func(body []byte) (any, error)
		replicas []holdings.Incarnation
		alone    operator.WhenAlone
		requests int
	}{
		"the primary hangs": {kind: "hold-ask", replicas: []holdings.Incarnation{peerIncarnation}, requests: 4},
		"the primary hangs, more wait for a connection to it": {
			kind: "hold-ask", replicas: []holdings.Incarnation{peerIncarnation}, requests: 2 * maxClientsPerPeer,
		},
		"the primary hangs, the class goes on alone": {
			kind: "hold-ask", replicas: []holdings.Incarnation{peerIncarnation}, alone: operator.ProceedAlone, requests: 4,
		},
		"nobody is the primary yet": {kind: "hold-ask", reply: notPrimary, replicas: []holdings.Incarnation{peerIncarnation}, requests: 4},
		"the backup hangs":          {kind: "hold-store", replicas: []holdings.Incarnation{ownIncarnation, peerIncarnation}, requests: 4},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			reached, released := make(chan struct{}, 1), make(chan struct{})
			handle := func(_ string, body []byte) (any, error) {
				signalOnce(reached)
				if c.reply != nil {
					return c.reply(body)
				}
				<-released
				return nil, errBusy
			}
			endpoint := scripted.StartEndpoint(t, "e1", nil)
			sidecar := startSidecarWithPeer(t, endpoint, c.alone, peerHandlers{c.kind: handle}, c.replicas...)
			t.Cleanup(func() { close(released) })
			var clients []*scripted.Peer
			for i := range c.requests {
				client := scripted.Connect(t, sidecar.Address())
				client.Send(orderText(i))
				clients = append(clients, client)
			}
			awaitSignals(t, "a claim waits", reached, 1)
			expectAnswersOfStop(t, sidecar, clients, http.StatusServiceUnavailable)
			if n := endpoint.Count(); n != 0 {
				t.Errorf("the endpoint got %d requests whose keys were not claimed", n)
			}
		})
	}
}

// Guards against requests that a stop leaves unanswered although they have an answer, because their outcome is still being recorded, as when
// their primary was lost (the same cause as review/3).
func TestStopAnswersRequestsWhoseOutcomeIsBeingRecorded(t *testing.T) {
	const requests = 4
	for name, c := range map[string]struct {
		handler http.HandlerFunc // of the endpoint
		alone   operator.WhenAlone
		status  int
	}{
		"an answer":                          {status: http.StatusBadGateway},
		"an answer, the class goes on alone": {alone: operator.ProceedAlone, status: http.StatusOK},
		"a failure":                          {handler: scripted.NeverAnswer(nil), status: http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			reached, released := make(chan struct{}, requests), make(chan struct{})
			handle := func(_ string, body []byte) (any, error) {
				var command holdings.Command
				if err := peerrpc.Decode(body, &command); err != nil || command.Op == holdings.OpClaim {
					return holdings.Answer{Kind: holdings.AnswerOK}, err
				}
				signalOnce(reached)
				<-released
				return nil, errBusy
			}
			endpoint := scripted.StartEndpoint(t, "e1", c.handler)
			sidecar := startSidecarWithPeer(t, endpoint, c.alone, peerHandlers{"hold-ask": handle}, peerIncarnation)
			t.Cleanup(func() { close(released) })
			var clients []*scripted.Peer
			for i := range requests {
				client := scripted.Connect(t, sidecar.Address())
				client.Send(orderText(i))
				clients = append(clients, client)
			}
			if c.handler == nil {
				awaitSignals(t, "all outcomes are being recorded", reached, requests)
			} else {
				awaitRequests(t, endpoint, requests)
			}
			expectAnswersOfStop(t, sidecar, clients, c.status)
			if n := endpoint.Count(); n != requests {
				t.Errorf("the endpoint got %d requests, want %d", n, requests)
			}
		})
	}
}

// awaitRequests waits until an endpoint has got n requests.
func awaitRequests(t *testing.T, endpoint *scripted.Endpoint, n int) {
	t.Helper()
	for end := time.Now().Add(testPatience); endpoint.Count() < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the endpoint got %d requests, want %d", endpoint.Count(), n)
		}
	}
}
