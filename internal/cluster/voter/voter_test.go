package voter

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"heathgap/decide"
	"heathgap/internal/cluster"
	"heathgap/internal/env"
	"heathgap/internal/peerrpc"
	"heathgap/internal/versions"
)

// three are keepers on loopback in this process.
type three struct {
	t       *testing.T
	dir     string
	keepers map[string]*Voter
	servers map[string]*peerrpc.Server
	conf    Conf
}

func startThree(t *testing.T) *three {
	t.Helper()
	c := &three{t: t, dir: t.TempDir(), keepers: map[string]*Voter{}, servers: map[string]*peerrpc.Server{},
		conf: Conf{Cluster: "c", Voters: map[string]string{}, Params: cluster.Params{Lease: time.Second}}}
	for _, name := range []string{"a", "b", "c"} {
		s, err := peerrpc.Listen(env.Real{}, "127.0.0.1:0", "c")
		if err != nil {
			t.Fatal(err)
		}
		c.servers[name], c.conf.Voters[name] = s, s.Address()
	}
	for name := range c.servers {
		c.start(name)
	}
	t.Cleanup(func() {
		for name := range c.keepers {
			c.stop(name)
		}
	})
	return c
}

func (c *three) start(name string) {
	c.t.Helper()
	conf := c.conf
	conf.Name, conf.DataDir = name, c.dir+"/"+name
	k, err := Open(conf, env.Real{}, zerolog.New(zerolog.NewTestWriter(c.t)).With().Str("keeper", name).Logger())
	if err != nil {
		c.t.Fatal(err)
	}
	s := c.servers[name]
	if s == nil {
		if s, err = peerrpc.Listen(env.Real{}, conf.Voters[name], "c"); err != nil {
			c.t.Fatal(err)
		}
	}
	c.keepers[name], c.servers[name] = k, s
	s.Serve(env.Real{}, k.Handlers())
	go k.Run()
}

func (c *three) stop(name string) {
	c.keepers[name].Stop()
	c.servers[name].Close()
	delete(c.keepers, name)
	delete(c.servers, name)
}

// leader waits for one that all agree on, with the same entries applied.
func (c *three) leader() string {
	c.t.Helper()
	last := ""
	for limit := time.Now().Add(20 * time.Second); time.Now().Before(limit); time.Sleep(50 * time.Millisecond) {
		seen := map[string]int{}
		last = ""
		for name, k := range c.keepers {
			s, err := k.Status()
			if err != nil {
				continue
			}
			seen[fmt.Sprint(s.Leader, s.Applied, s.Ledger.Active.Number, s.Ledger.Voters)]++
			last += fmt.Sprintf(" %s: leader %q term %d applied %d;", name, s.Leader, s.Term, s.Applied)
			if s.Leader != "" && seen[fmt.Sprint(s.Leader, s.Applied, s.Ledger.Active.Number, s.Ledger.Voters)] == len(c.keepers) {
				return s.Leader
			}
		}
	}
	c.t.Fatalf("no agreement:%s", last)
	return ""
}

// Guards against a keeper with an empty folder that is put in the lost one's place and never filled: each in turn, and the
// version that was told is still there.
func TestLostFoldersAreFilled(t *testing.T) {
	c := startThree(t)
	lead := c.leader()
	p := cluster.Proposal{ID: 7, Doc: versions.Document{MaxAttempts: 2}}
	if told, err := c.keepers[lead].Propose(p); err != nil || told.Number != 1 {
		t.Fatalf("%+v, %v", told, err)
	}
	for _, name := range []string{"a", "b", "c"} {
		before := c.keepers[name].core.store.identity.ID
		c.stop(name)
		if err := os.RemoveAll(c.dir + "/" + name); err != nil {
			t.Fatal(err)
		}
		c.leader()
		c.start(name)
		for limit := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			s, err := c.keepers[c.leader()].Status()
			if err == nil && s.Ledger.Voters[name] != before {
				break
			}
			if time.Now().After(limit) {
				t.Fatalf("%s is not taken in", name)
			}
		}
	}
	s, err := c.keepers[c.leader()].Status()
	if err != nil || s.Ledger.Find(7) == nil {
		t.Errorf("the version that was told is gone: %+v, %v", s, err)
	}
}

// The last majority of folders is lost for good: what docs/crew.md has operators do forms a crew anew, without versions, and it
// takes proposals. Who was in the former crew does not take its word.
func TestAllFoldersLost(t *testing.T) {
	c := startThree(t)
	if told, err := c.keepers[c.leader()].Propose(cluster.Proposal{ID: 7, Doc: versions.Document{MaxAttempts: 2}}); err != nil || told.Number != 1 {
		t.Fatalf("%+v, %v", told, err)
	}
	member := cluster.NewLeaseHolder(cluster.Member{Name: "m", Token: 1}, c.conf.Params, versions.FromSettings(&decide.Settings{}), 0)
	grant := ask(t, c, member)
	if _, err := member.HandleGrant(0, grant); err != nil || grant.Next == nil && grant.Active.Number != 1 {
		t.Fatalf("%+v, %v", grant, err)
	}
	for _, name := range []string{"a", "b", "c"} {
		c.stop(name)
		if err := os.RemoveAll(c.dir + "/" + name); err != nil {
			t.Fatal(err)
		}
	}
	for _, name := range []string{"a", "b", "c"} {
		c.start(name)
	}
	lead := c.leader()
	if s, err := c.keepers[lead].Status(); err != nil || len(s.Ledger.VersionRecords()) != 0 {
		t.Fatalf("%+v, %v", s.Ledger, err)
	}
	if _, err := member.HandleGrant(1, ask(t, c, member)); err == nil {
		t.Error("a member of the former crew takes the new one's word")
	}
	if told, err := c.keepers[lead].Propose(cluster.Proposal{ID: 8, Doc: versions.Document{MaxAttempts: 3}}); err != nil || told.Number != 1 {
		t.Errorf("%+v, %v", told, err)
	}
}

// ask has a member ask the leader until it is in, or refused for good.
func ask(t *testing.T, c *three, h *cluster.LeaseHolder) *cluster.Grant {
	t.Helper()
	for limit := time.Now().Add(10 * time.Second); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		a, err := c.keepers[c.leader()].Renew(h.NextRenewal())
		if err != nil || a.Grant == nil {
			continue
		}
		if !a.Grant.RetryNow {
			return a.Grant
		}
		if _, err := h.HandleGrant(0, a.Grant); err != nil {
			return a.Grant
		}
	}
	t.Fatal("no answer")
	return nil
}
