package operator

import (
	"fmt"
	"net"
	"time"

	"heathgap/internal/clusterparams"
	"heathgap/internal/tomlread"
)

// Cluster is the table [crew]: which crew a sidecar is in, and on which terms.
type Cluster struct {
	Name    string
	Address string // where peers reach this process
	DataDir string // folder, of a keeper alone
	Params  clusterparams.Params
	// ContradictAtMost is how long two members may act on rules that contradict each other.
	ContradictAtMost time.Duration
	Voters           map[string]string // addresses by the names of their sidecars
	// Routes are addresses by members' names, where this process reaches one by another address than that one's own.
	Routes   map[string]string
	Holdings Holdings
}

// WhenAlone says what is done with a request whose copies can't be had in time.
type WhenAlone uint8

// The ways.
const (
	RefuseAlone  WhenAlone = iota // it is refused, with a time to return
	ProceedAlone                  // it goes on, and nothing is promised
)

// Holdings is the table [holdings]: what the sidecars of the crew hold for one another. Its terms stand among the crew's.
type Holdings struct {
	Classes    map[string]WhenAlone // whose requests are held
	MaxEntries int
	MaxBody    int // bytes of an answer that is kept
}

// Defaults and bounds of holdings.
const (
	defaultCopies    = 2
	defaultKeep      = 10 * time.Minute // above the windows of most classes
	defaultLostAfter = 30 * time.Second // above a restart, or a short cut
	defaultEntries   = 200_000          // some 60 MB with short answers
	minEntries       = 1000
	maxEntries       = 5_000_000
	defaultBody      = 16 << 10
	maxBody          = 64 << 10
	maxClasses       = 64 // classes
)

// decodeHoldings reads [holdings] into a crew's table.
func decodeHoldings(t *tomlread.Table, c *Cluster) {
	t.Need("class", "[[holdings.class]] with name and when_alone, one for each class whose requests are held")
	c.Params.Holdings = clusterparams.Holdings{
		Copies: t.Int("copies", defaultCopies, 1, clusterparams.MaxCopies), Keep: t.Duration("keep", defaultKeep, clusterparams.MinKeep, clusterparams.MaxKeep),
		LostAfter: t.Duration("lost_after", defaultLostAfter, clusterparams.MinLostAfter, clusterparams.MaxLostAfter),
	}
	c.Holdings = Holdings{
		Classes: map[string]WhenAlone{}, MaxEntries: t.Int("most_entries", defaultEntries, minEntries, maxEntries),
		MaxBody: t.Int("most_body", defaultBody, 0, maxBody),
	}
	for _, class := range t.Tables("class", maxClasses) {
		class.Need("name", "the name of a keyed class")
		name := class.Text("name", "")
		if _, twice := c.Holdings.Classes[name]; twice {
			class.Fail("name", fmt.Sprintf("%q, a second time", name), "each class once")
		}
		c.Holdings.Classes[name] = map[string]WhenAlone{"refuse": RefuseAlone, "go_on": ProceedAlone}[class.Enum("when_alone", "refuse", "refuse", "go_on")]
	}
}

// Defaults and bounds of the terms.
const (
	defaultLease      = 2 * time.Second // a lost leader costs about one: elections take 0.5 to 1 s
	defaultDrift      = 0.01            // far above any clock that NTP steers; a virtual machine's may be worse
	defaultSlack      = 200 * time.Millisecond
	defaultContradict = 2500 * time.Millisecond
	maxSlack          = 10 * time.Second
	maxContradict     = 5 * time.Minute
)

// decodeCluster reads [crew].
func decodeCluster(t *tomlread.Table) *Cluster {
	t.Need("name", "the crew's name, the same in all its sidecars")
	t.Need("address", "an address with a port, of this process alone")
	t.Need("keeper", "[[crew.keeper]] with name and address, one to seven of them; three or five in different zones")
	c := &Cluster{
		Name: t.Text("name", ""), Address: readAddress(t, "address"), DataDir: t.Text("data", ""),
		Params: clusterparams.Params{
			Lease: t.Duration("lease", defaultLease, clusterparams.MinLease, clusterparams.MaxLease),
			Drift: t.Float("drift", defaultDrift, 0, clusterparams.MaxDrift),
			Slack: t.Duration("slack", defaultSlack, 0, maxSlack), FixedClasses: t.Texts("fixed_classes"),
		},
		ContradictAtMost: t.Duration("contradict_at_most", defaultContradict, clusterparams.MinLease, maxContradict),
		Voters:           map[string]string{},
	}
	if wait := c.Params.LessorWait(); wait > c.ContradictAtMost {
		// The line of what an operator would change first.
		key := "contradict_at_most"
		if !t.Has(key) {
			key = "lease"
		}
		t.Fail(key, fmt.Sprintf("lease, drift and slack add up to %v, contradict_at_most is %v", wait, c.ContradictAtMost),
			"lease x (1 + drift) / (1 - drift) + slack up to contradict_at_most")
	}
	c.Routes = map[string]string{}
	for _, route := range t.Tables("way", clusterparams.MaxMembers) {
		route.Need("name", "the name of a member")
		route.Need("address", "where this process reaches it")
		name := route.Text("name", "")
		if c.Routes[name] != "" {
			route.Fail("name", fmt.Sprintf("%q, a second time", name), "each name once")
		}
		c.Routes[name] = readAddress(route, "address")
	}
	addresses := map[string]bool{}
	for _, voter := range t.Tables("keeper", clusterparams.MaxVoters) {
		voter.Need("name", "the name of the keeper's sidecar")
		voter.Need("address", "its crew.address")
		name, address := voter.Text("name", ""), readAddress(voter, "address")
		if c.Voters[name] != "" || addresses[address] {
			voter.Fail("name", fmt.Sprintf("%q at %q, a second time", name, address), "each name and address once")
		}
		c.Voters[name], addresses[address] = address, true
	}
	return c
}

// readAddress reads an address with a port.
func readAddress(t *tomlread.Table, key string) string {
	address := t.Text(key, "")
	if _, port, err := net.SplitHostPort(address); t.Has(key) && (err != nil || port == "" || port == "0") {
		t.Fail(key, fmt.Sprintf("%q", address), "an address with a port, such as 10.0.0.5:9300")
	}
	return address
}
