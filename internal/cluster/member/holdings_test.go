package member

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"heathgap/decide"
	"heathgap/internal/cluster"
	"heathgap/internal/clusterparams"
	"heathgap/internal/config"
	"heathgap/internal/env"
	"heathgap/internal/holdings"
	"heathgap/internal/operator"
	"heathgap/internal/peerrpc"
	"heathgap/internal/versions"
)

// Settings of the sidecar that don't suit its holdings are refused, with the key of the setting, before the holdings start.
func TestHoldingsRejectBadSettings(t *testing.T) {
	good := func() (operator.Cluster, *config.Config) {
		table := operator.Cluster{Params: clusterparams.Params{Holdings: clusterparams.Holdings{Copies: 2, Keep: time.Minute}},
			Holdings: operator.Holdings{Classes: map[string]operator.WhenAlone{"pay": operator.RefuseAlone}, MaxEntries: 1000}}
		conf := &config.Config{Settings: decide.Settings{Zone: "a", Classes: []decide.Class{
			{Name: "pay", Effect: decide.Keyed, Window: time.Second}, {Name: "look", Effect: decide.Safe},
		}}}
		conf.HeldBytes = holdings.MinMemory(0)
		return table, conf
	}
	for want, change := range map[string]func(*operator.Cluster, *config.Config){
		"": func(*operator.Cluster, *config.Config) {},
		`holdings.class: "look"; allowed`: func(c *operator.Cluster, _ *config.Config) {
			c.Holdings.Classes = map[string]operator.WhenAlone{"look": operator.ProceedAlone}
		},
		`holdings.class: "sell"; allowed`: func(c *operator.Cluster, _ *config.Config) {
			c.Holdings.Classes = map[string]operator.WhenAlone{"sell": operator.ProceedAlone}
		},
		"holdings.most_memory: ":                                func(c *operator.Cluster, _ *config.Config) { c.Holdings.MaxBody = 1 },
		"holdings.keep: 1m0s, under the 1h0m0s":                 func(_ *operator.Cluster, conf *config.Config) { conf.Settings.Classes[0].Window = time.Hour },
		"holdings.copies: this sidecar's settings name no zone": func(_ *operator.Cluster, conf *config.Config) { conf.Settings.Zone = "" },
	} {
		table, conf := good()
		change(&table, conf)
		_, err := newHoldingsService(&Member{conf: table}, conf)
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
}

// Guards against outcomes that pile up while the primary of their keys is away: those that are recorded in the background keep to a part of
// the memory, and beyond it only the fact that there is an outcome is recorded.
func TestOutcomesInTheBackgroundKeepToTheirMemory(t *testing.T) {
	const commands, body = maxBackground, 16 << 10
	released := make(chan struct{})
	var whole, tooLong atomic.Int64
	address := startPeer(t, map[string]peerrpc.Handler{"hold-ask": func(_ string, text []byte) (any, error) {
		var command holdings.Command
		if err := peerrpc.Decode(text, &command); err != nil {
			return nil, err
		}
		<-released
		if command.Outcome.TooLong {
			tooLong.Add(1)
		} else {
			whole.Add(1)
		}
		return holdings.Answer{Kind: holdings.AnswerOK}, nil
	}})
	hs := fixedMember{address, operator.RefuseAlone, []holdings.Incarnation{peerIncarnation}}.service(t, env.Real{})
	for i := range uint64(commands) {
		hs.executeInBackground(holdings.Command{Op: holdings.OpFinish, Key: holdings.Key{Class: "order", Text: fmt.Sprint(i)}, Owner: ownIncarnation, Claim: i,
			Outcome: &holdings.Outcome{Body: make([]byte, body)}})
	}
	if got, most := hs.backgroundBytes.Load(), hs.maxMemory/backgroundShare; got > most || got < most/2 {
		t.Errorf("%d bytes are kept for them, at most %d are allowed", got, most)
	}
	close(released)
	for end := time.Now().Add(testPatience); hs.background.Load() > 0 && time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
	}
	if left := hs.backgroundBytes.Load(); left != 0 || whole.Load() == 0 || tooLong.Load() == 0 {
		t.Errorf("%d bytes are kept once all have ended; %d were recorded whole, of %d the fact", left, whole.Load(), tooLong.Load())
	}
}

// Guards against a sidecar that keeps using old addresses when a member joins or leaves while the placement stays the same: members and
// placement change independently of each other.
func TestMembersChangeWhileThePlacementStays(t *testing.T) {
	conf := clusterparams.Params{Lease: time.Second, Holdings: clusterparams.Holdings{Copies: 1, Keep: time.Minute, LostAfter: time.Minute}}
	l, lessor := cluster.NewLedger(), cluster.NewLessor(conf, 1)
	memberNo := func(i int) cluster.Member {
		return cluster.Member{Name: fmt.Sprint("m", i), Token: uint64(i), Zone: "a", Address: fmt.Sprint("127.0.0.1:", i)}
	}
	join := func(i int) {
		if err := l.Apply(&cluster.Entry{Join: []cluster.Member{memberNo(i)}}); err != nil {
			t.Fatal(err)
		}
	}
	join(1)
	var changes []holdings.PlacementChange
	for i := range holdings.NumShards {
		changes = append(changes, holdings.PlacementChange{Shard: i, Replicas: []holdings.Replica{{Incarnation: holdings.Incarnation{Name: "m1", JoinEpoch: 1}, Token: 1, Ready: true}}})
	}
	if err := l.Apply(&cluster.Entry{ReplicaChanges: changes, Epoch: l.Epoch}); err != nil {
		t.Fatal(err)
	}
	h := cluster.NewLeaseHolder(memberNo(1), conf, versions.FromSettings(&decide.Settings{}), 0)
	hs := &holdingsService{member: &Member{env: env.Real{}, holder: h}, store: holdings.NewStore(conf.Holdings, holdings.Limits{MaxEntries: 1000}), pools: map[string]*clientPool{}}
	at := time.Second
	renew := func() {
		at += time.Millisecond
		r := h.NextRenewal()
		grant := lessor.Renew(at, l, &r)
		if _, err := h.HandleGrant(at, &grant); err != nil || !grant.Granted {
			t.Fatal(err, grant.Reason)
		}
		hs.update(h)
	}
	renew()
	before := hs.view.Placement
	join(2)
	renew()
	if incarnation := (holdings.Incarnation{Name: "m2", JoinEpoch: 2}); hs.addresses[incarnation] != "127.0.0.1:2" || hs.view.Placement != before {
		t.Errorf("addresses %v after %+v joined", hs.addresses, incarnation)
	}
	if err := l.Apply(&cluster.Entry{Leave: []cluster.Member{memberNo(2)}}); err != nil {
		t.Fatal(err)
	}
	renew()
	if len(hs.addresses) != 1 {
		t.Errorf("addresses %v after m2 left", hs.addresses)
	}
}
