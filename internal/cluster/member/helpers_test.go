package member

import (
	"errors"
	"fmt"
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

// testPatience limits all waits of the tests, far above what any should take.
const testPatience = 20 * time.Second

// orderDeadline is the deadline of the class "order". It is longer than a stop: a request that is pending when the stop begins would be pending
// longer than the process runs.
const orderDeadline = 10 * time.Second

// The sidecar of the tests and the one that is the primary of all keys, or their backup where the sidecar is the primary itself.
var (
	ownIncarnation  = holdings.Incarnation{Name: "m1", JoinEpoch: 1}
	peerIncarnation = holdings.Incarnation{Name: "m2", JoinEpoch: 2}
)

// fixedMember is a member whose view never changes: it has a lease, and each shard has the given replicas, the primary first.
type fixedMember struct {
	peerAddress string
	alone       operator.WhenAlone
	replicas    []holdings.Incarnation
}

// fixedCluster is the membership of a fixedMember.
type fixedCluster struct{ *Member }

// Decommission implements lifecycle.Cluster.
func (fixedCluster) Decommission() {}

// Stop implements lifecycle.Cluster.
func (fixedCluster) Stop() {}

// start returns the membership.
func (f fixedMember) start(conf *config.Config, environment env.Env) (*Member, error) {
	table := operator.Cluster{
		Name: "test", Params: clusterparams.Params{Lease: time.Hour, Holdings: clusterparams.Holdings{Copies: len(f.replicas), Keep: time.Hour, LostAfter: time.Hour}},
		Holdings: operator.Holdings{Classes: map[string]operator.WhenAlone{"order": f.alone}, MaxEntries: 1000, MaxBody: 1000},
	}
	own := versions.FromSettings(&conf.Settings)
	self := cluster.Member{Name: ownIncarnation.Name, Zone: "a"}
	m := &Member{conf: table, env: environment, log: zerolog.Nop(), holder: cluster.NewLeaseHolder(self, table.Params, own, conf.ConnectTimeout)}
	leaseEnd := environment.BootTime() + table.Params.Lease
	m.effective.Store(&effectiveState{until: leaseEnd, EffectiveRules: pipeline.EffectiveRules{Generation: 1, Dynamic: own.DynamicSettings()}})
	hs, err := newHoldingsService(m, conf)
	if err != nil {
		return nil, err
	}
	f.setView(hs, leaseEnd)
	m.holdings = hs
	return m, nil
}

// setView makes a sidecar's holdings know the replicas.
func (f fixedMember) setView(hs *holdingsService, leaseEnd cluster.BootTime) {
	placement := &holdings.Placement{Number: 1}
	shard := holdings.Shard{Config: 1}
	for i, incarnation := range f.replicas {
		shard.Replicas = append(shard.Replicas, holdings.Replica{Incarnation: incarnation, Token: uint64(i), Ready: true})
	}
	for i := range placement.Shards {
		placement.Shards[i] = shard
	}
	members := []holdings.Member{{Incarnation: ownIncarnation, Zone: "a"}, {Incarnation: peerIncarnation, Zone: "b", Address: f.peerAddress}}
	hs.me, hs.view = ownIncarnation, holdings.View{Placement: placement, Members: members}
	hs.addresses = map[holdings.Incarnation]string{peerIncarnation: f.peerAddress, ownIncarnation: "127.0.0.1:2"}
	hs.store.SetLease(leaseEnd)
	hs.store.ApplyView(hs.now(), ownIncarnation, placement, members)
}

// startSidecar starts a sidecar with this membership and one endpoint.
func (f fixedMember) startSidecar(t *testing.T, endpoint *scripted.Endpoint) *lifecycle.Sidecar {
	t.Helper()
	join := func(conf *config.Config, environment env.Env, _ zerolog.Logger) (lifecycle.Cluster, error) {
		m, err := f.start(conf, environment)
		return fixedCluster{m}, err
	}
	sidecar, err := lifecycle.Start(loadConfig(t, endpoint.Line()), zerolog.Nop(), lifecycle.Options{Operator: operator.Default(), Cluster: join})
	if err != nil {
		t.Fatal(err)
	}
	return sidecar
}

// service returns the holdings of this membership, in an environment.
func (f fixedMember) service(t *testing.T, environment env.Env) *holdingsService {
	t.Helper()
	m, err := f.start(loadConfig(t), environment)
	if err != nil {
		t.Fatal(err)
	}
	return m.holdings
}

// startPeer starts another sidecar's server for the messages of peers, with the given handlers, and returns its address.
func startPeer(t *testing.T, handlers map[string]peerrpc.Handler) string {
	t.Helper()
	peer, err := peerrpc.Listen(env.Real{}, "127.0.0.1:0", "test")
	if err != nil {
		t.Fatal(err)
	}
	peer.Serve(env.Real{}, handlers)
	t.Cleanup(peer.Close)
	return peer.Address()
}

// loadConfig returns the configuration of a sidecar with the keyed class "order" and the endpoints of some lines of a list.
func loadConfig(t *testing.T, lines ...map[string]any) *config.Config {
	t.Helper()
	path := scripted.WriteConfig(t, sidecarConfig(ownIncarnation.Name, "127.0.0.1:0", scripted.StartDiscovery(t), orderDeadline, lines...))
	conf, err := config.Load(func(key string) string { return map[string]string{config.EnvFile: path}[key] })
	if err := errors.Join(err, conf.ReserveHeld(0)); err != nil {
		t.Fatal(err)
	}
	return conf
}

// sidecarConfig returns the configuration of a sidecar whose one class, "order", is keyed and has the given deadline.
func sidecarConfig(name, listen string, discovery *scripted.Discovery, deadline time.Duration, lines ...map[string]any) map[string]any {
	class := scripted.Class("order", "by_key", 1)
	class["window"], class["aim"], class["deadline"] = scripted.Millis(2*deadline), scripted.Millis(deadline/2), scripted.Millis(deadline)
	conf := scripted.SidecarConfig(discovery, lines...)
	conf["name"], conf["listen"] = name, listen
	settings := conf["settings"].(map[string]any)
	settings["az"], settings["profiles"] = "a", []any{class}
	return conf
}

// orderText returns a request of the class "order". Its id is its key.
func orderText(id string, remaining time.Duration) string {
	return fmt.Sprintf("POST /order/x HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Remaining: %.3f\r\nIdempotency-Key: %s\r\nContent-Length: 3\r\n\r\none",
		id, remaining.Seconds(), id)
}

// placeOrders sends one order on each of n new connections to a sidecar.
func placeOrders(t *testing.T, sidecar *lifecycle.Sidecar, n int) []*scripted.Peer {
	t.Helper()
	var clients []*scripted.Peer
	for i := range n {
		client := scripted.Connect(t, sidecar.Address())
		client.Send(orderText(fmt.Sprint("k", i), orderDeadline))
		clients = append(clients, client)
	}
	return clients
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
