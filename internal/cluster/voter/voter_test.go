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

// threeVoters is a cluster of three voters on loopback in this process.
type threeVoters struct {
	t       *testing.T
	dir     string
	voters  map[string]*Voter
	servers map[string]*peerrpc.Server
	conf    Conf
}

func startThree(t *testing.T) *threeVoters {
	t.Helper()
	c := &threeVoters{t: t, dir: t.TempDir(), voters: map[string]*Voter{}, servers: map[string]*peerrpc.Server{},
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
		for name := range c.voters {
			c.stop(name)
		}
	})
	return c
}

func (c *threeVoters) start(name string) {
	c.t.Helper()
	conf := c.conf
	conf.Name, conf.DataDir = name, c.dir+"/"+name
	v, err := Open(conf, env.Real{}, zerolog.New(zerolog.NewTestWriter(c.t)).With().Str("keeper", name).Logger())
	if err != nil {
		c.t.Fatal(err)
	}
	s := c.servers[name]
	if s == nil {
		if s, err = peerrpc.Listen(env.Real{}, conf.Voters[name], "c"); err != nil {
			c.t.Fatal(err)
		}
	}
	c.voters[name], c.servers[name] = v, s
	s.Serve(env.Real{}, v.Handlers())
	go v.Run()
}

func (c *threeVoters) stop(name string) {
	c.voters[name].Stop()
	c.servers[name].Close()
	delete(c.voters, name)
	delete(c.servers, name)
}

// leader waits until all voters agree on a leader and have applied the same entries, and returns its name.
func (c *threeVoters) leader() string {
	c.t.Helper()
	last := ""
	for limit := time.Now().Add(20 * time.Second); time.Now().Before(limit); time.Sleep(50 * time.Millisecond) {
		seen := map[string]int{}
		last = ""
		for name, v := range c.voters {
			s, err := v.Status()
			if err != nil {
				continue
			}
			seen[fmt.Sprint(s.Leader, s.Applied, s.Ledger.Active.Number, s.Ledger.Voters)]++
			last += fmt.Sprintf(" %s: leader %q term %d applied %d;", name, s.Leader, s.Term, s.Applied)
			if s.Leader != "" && seen[fmt.Sprint(s.Leader, s.Applied, s.Ledger.Active.Number, s.Ledger.Voters)] == len(c.voters) {
				return s.Leader
			}
		}
	}
	c.t.Fatalf("the voters do not agree on a leader:%s", last)
	return ""
}

// Guards against a voter with an empty data directory that replaces the lost one but never receives the log. Each voter loses its
// directory in turn, and the proposed version must survive.
func TestLostDataDirsAreReplaced(t *testing.T) {
	c := startThree(t)
	leader := c.leader()
	p := cluster.Proposal{ID: 7, Doc: versions.Document{MaxAttempts: 2}}
	if result, err := c.voters[leader].Propose(p); err != nil || result.Number != 1 {
		t.Fatalf("%+v, %v", result, err)
	}
	for _, name := range []string{"a", "b", "c"} {
		before := c.voters[name].core.store.identity.ID
		c.stop(name)
		if err := os.RemoveAll(c.dir + "/" + name); err != nil {
			t.Fatal(err)
		}
		c.leader()
		c.start(name)
		for limit := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			s, err := c.voters[c.leader()].Status()
			if err == nil && s.Ledger.Voters[name] != before {
				break
			}
			if time.Now().After(limit) {
				t.Fatalf("%s with its new data directory does not become a voter", name)
			}
		}
	}
	s, err := c.voters[c.leader()].Status()
	if err != nil || s.Ledger.Find(7) == nil {
		t.Errorf("the proposed version is lost: %+v, %v", s, err)
	}
}

// All data directories are lost for good: what docs/crew.md tells operators to do forms a new cluster, without versions, that accepts
// proposals. A member of the former cluster does not accept the new one's grants.
func TestAllDataDirsLost(t *testing.T) {
	c := startThree(t)
	if result, err := c.voters[c.leader()].Propose(cluster.Proposal{ID: 7, Doc: versions.Document{MaxAttempts: 2}}); err != nil || result.Number != 1 {
		t.Fatalf("%+v, %v", result, err)
	}
	member := cluster.NewLeaseHolder(cluster.Member{Name: "m", Token: 1}, c.conf.Params, versions.FromSettings(&decide.Settings{}), 0)
	grant := renewUntilFinal(t, c, member)
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
	leader := c.leader()
	if s, err := c.voters[leader].Status(); err != nil || len(s.Ledger.VersionRecords()) != 0 {
		t.Fatalf("%+v, %v", s.Ledger, err)
	}
	if _, err := member.HandleGrant(1, renewUntilFinal(t, c, member)); err == nil {
		t.Error("a member of the former cluster accepts a grant of the new one")
	}
	if result, err := c.voters[leader].Propose(cluster.Proposal{ID: 8, Doc: versions.Document{MaxAttempts: 3}}); err != nil || result.Number != 1 {
		t.Errorf("%+v, %v", result, err)
	}
}

// renewUntilFinal sends a member's renewals to the leader until it gets a lease or is refused for good.
func renewUntilFinal(t *testing.T, c *threeVoters, h *cluster.LeaseHolder) *cluster.Grant {
	t.Helper()
	for limit := time.Now().Add(10 * time.Second); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		a, err := c.voters[c.leader()].Renew(h.NextRenewal())
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
	t.Fatal("no final answer to the renewals")
	return nil
}
