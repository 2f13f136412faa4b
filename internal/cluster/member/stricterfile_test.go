package member

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"heathgap/decide"
	"heathgap/internal/cluster"
	"heathgap/internal/cluster/voter"
	"heathgap/internal/clusterparams"
	"heathgap/internal/config"
	"heathgap/internal/env"
	"heathgap/internal/lab/scripted"
	"heathgap/internal/lifecycle"
	"heathgap/internal/operator"
	"heathgap/internal/peerrpc"
	"heathgap/internal/versions"
)

// smallCluster is a cluster of three voters in the test's process, and of one sidecar that the test starts.
type smallCluster struct {
	t         *testing.T
	table     operator.Cluster // of the sidecar
	discovery *scripted.Discovery
	lines     []map[string]any // of the endpoints
}

// startSmallCluster starts the voters. They end with the test.
func startSmallCluster(t *testing.T, endpoints ...*scripted.Endpoint) *smallCluster {
	t.Helper()
	c := &smallCluster{t: t, discovery: scripted.StartDiscovery(t), table: operator.Cluster{
		Name: "test", Address: scripted.FreeAddress(t), Voters: map[string]string{},
		Params: clusterparams.Params{Lease: time.Second, Drift: 0.01, Slack: 10 * time.Millisecond},
	}}
	for _, endpoint := range endpoints {
		c.lines = append(c.lines, endpoint.Line())
	}
	servers := map[string]*peerrpc.Server{}
	for _, name := range []string{"k1", "k2", "k3"} {
		server, err := peerrpc.Listen(env.Real{}, "127.0.0.1:0", c.table.Name)
		if err != nil {
			t.Fatal(err)
		}
		servers[name], c.table.Voters[name] = server, server.Address()
	}
	for name, server := range servers {
		v, err := voter.Open(voter.Conf{
			Cluster: c.table.Name, Name: name, Voters: c.table.Voters, Params: c.table.Params, DataDir: t.TempDir(),
		}, env.Real{}, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		server.Serve(env.Real{}, v.Handlers())
		go v.Run()
		t.Cleanup(func() { v.Stop(); server.Close() })
	}
	return c
}

// start starts the sidecar with one class, "pay", whose requests may have some attempts, and waits until it acts on a version.
func (c *smallCluster) start(effect string, maxAttempts int, version uint64) (*lifecycle.Sidecar, *Member) {
	c.t.Helper()
	class := scripted.Class("pay", effect, 1)
	class["window"] = 10_000.0
	settings := sidecarConfig(ownIncarnation.Name, "127.0.0.1:0", c.discovery, orderDeadline, c.lines...)
	settings["settings"].(map[string]any)["profiles"] = []any{class}
	settings["settings"].(map[string]any)["bounds"].(map[string]any)["max_attempts"] = maxAttempts
	path := scripted.WriteConfig(c.t, settings)
	conf, err := config.Load(func(key string) string { return map[string]string{config.EnvFile: path}[key] })
	if err != nil {
		c.t.Fatal(err)
	}
	var m *Member
	join := func(conf *config.Config, environment env.Env, log zerolog.Logger) (joined lifecycle.Cluster, err error) {
		m, err = Start(c.table, conf, environment, log)
		return m, err
	}
	sidecar, err := lifecycle.Start(conf, zerolog.Nop(), lifecycle.Options{Operator: operator.Default(), Cluster: join})
	if err != nil {
		c.t.Fatal(err)
	}
	c.await(fmt.Sprint("it acts on version ", version), func() bool {
		status := m.Status()
		return !status.Cautious && status.Active == version && status.Next == 0
	})
	return sidecar, m
}

// await waits until a condition holds.
func (c *smallCluster) await(what string, condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(testPatience); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("did not happen: %s", what)
		}
	}
}

// agree makes a document the active version.
func (c *smallCluster) agree(m *Member, doc versions.Document) {
	c.t.Helper()
	proposal := cluster.Proposal{ID: voter.NewID(), Doc: doc}
	c.await("the version is active", func() bool {
		for _, address := range c.table.Voters { // the leader is among them
			client := peerrpc.NewClient(env.Real{}, c.table.Name, "test", address)
			var result voter.ProposeResult
			client.Call("propose", proposal, &result, time.Second) //nolint:errcheck // it is sent again; with its id it counts once
			client.Close()
		}
		return m.Status().Active == 1
	})
}

// resetBehindRequest reads a request, which has run then, and resets its connection.
func resetBehindRequest(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	conn.(*net.TCPConn).SetLinger(0) //nolint:errcheck // it is closed all the same
	conn.Close()
}

// rejectUnread rejects a request that has not run.
func rejectUnread(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Turned-Away", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Guards against a payment that runs twice because an older version allows what its sidecar's file no longer does (review/7): the file was
// made stricter and the sidecar restarted, while the version stayed active.
func TestOlderVersionDoesNotLoosenAStricterFile(t *testing.T) {
	const looseAttempts, strictAttempts = 4, 2
	keyed := versions.Document{Classes: map[string]versions.Class{"pay": {Effect: decide.Keyed, Group: decide.GroupAll, Window: 8 * time.Second}}}
	for name, c := range map[string]struct {
		version  versions.Document
		effect   string // of the class, in the stricter file
		attempts int    // that the stricter file allows
		handler  http.HandlerFunc
		status   int
		want     int // attempts that are sent
	}{
		"effect":       {keyed, "once", looseAttempts, resetBehindRequest, http.StatusBadGateway, 1},
		"max_attempts": {versions.Document{MaxAttempts: looseAttempts}, "by_key", strictAttempts, rejectUnread, http.StatusServiceUnavailable, strictAttempts},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			endpoints := []*scripted.Endpoint{
				scripted.StartEndpoint(t, "e1", c.handler), scripted.StartEndpoint(t, "e2", c.handler), scripted.StartEndpoint(t, "e3", c.handler),
				scripted.StartEndpoint(t, "e4", c.handler),
			}
			small := startSmallCluster(t, endpoints...)
			sidecar, m := small.start("by_key", looseAttempts, 0)
			small.agree(m, c.version)
			sidecar.Stop()
			sidecar, _ = small.start(c.effect, c.attempts, 1)
			defer sidecar.Stop()
			client := scripted.Connect(t, sidecar.Address())
			client.Send("POST /pay/x HTTP/1.1\r\nHost: x\r\nX-Txn: 1\r\nX-Remaining: 1.500\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n")
			status, _ := client.ReadAnswer()
			sent := 0
			for _, endpoint := range endpoints {
				sent += endpoint.Count()
			}
			if status != c.status || sent != c.want {
				t.Errorf("status %d after %d attempts, want %d after %d", status, sent, c.status, c.want)
			}
			client.Close()
		})
	}
}
