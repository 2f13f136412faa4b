package operator

import (
	"fmt"
	"net"
	"time"

	"heathgap/internal/clusterparams"
	"heathgap/internal/holdings"
	"heathgap/internal/tomlread"
)

// Cluster is the table [crew]: the cluster that a sidecar belongs to, and its parameters.
type Cluster struct {
	Name    string
	Address string // where the other sidecars of the cluster reach this process
	DataDir string // data directory; needed by voters only
	Params  clusterparams.Params
	// ContradictAtMost is the longest time for which two members may apply rules that contradict each other.
	ContradictAtMost time.Duration
	Voters           map[string]string // addresses by the names of the voters' sidecars
	// Routes are addresses by members' names, for members that this process reaches at another address than their own.
	Routes   map[string]string
	Holdings Holdings
}

// WhenAlone is what happens to a request whose copies can't be written in time.
type WhenAlone uint8

// The values of when_alone.
const (
	RefuseAlone  WhenAlone = iota // the request is refused, with a time to retry
	ProceedAlone                  // the request proceeds, without the guarantees of holdings
)

// Holdings is the table [holdings]: the keyed requests and outcomes that the sidecars of the cluster store for each
// other. The part that all sidecars must share is in Params.Holdings.
type Holdings struct {
	Classes    map[string]WhenAlone // the classes whose requests are stored
	MaxEntries int
	MaxMemory  int64 // bytes of the process's memory that entries may take; 0 for the default share of its limit
	MaxBody    int   // bytes of an answer that is stored
}

// Defaults and limits of holdings.
const (
	defaultCopies    = 2
	defaultKeep      = 10 * time.Minute // longer than the windows of most classes
	defaultLostAfter = 30 * time.Second // longer than a restart or a short network partition
	defaultEntries   = 200_000          // about 60 MB with short answers
	minEntries       = 1000
	maxEntries       = 5_000_000
	maxMemory        = 1 << 40
	defaultBody      = 16 << 10
	maxBody          = 64 << 10
	maxClasses       = 64
)

// decodeHoldings reads [holdings] into c.
func decodeHoldings(t *tomlread.Table, c *Cluster) {
	t.Require("class", "[[holdings.class]] with name and when_alone, one for each class whose requests are held")
	c.Params.Holdings = clusterparams.Holdings{
		Copies: t.Int("copies", defaultCopies, 1, clusterparams.MaxCopies), Keep: t.Duration("keep", defaultKeep, clusterparams.MinKeep, clusterparams.MaxKeep),
		LostAfter: t.Duration("lost_after", defaultLostAfter, clusterparams.MinLostAfter, clusterparams.MaxLostAfter),
	}
	c.Holdings = Holdings{
		Classes: map[string]WhenAlone{}, MaxEntries: t.Int("most_entries", defaultEntries, minEntries, maxEntries),
		MaxBody: t.Int("most_body", defaultBody, 0, maxBody),
	}
	if least := holdings.MinMemory(c.Holdings.MaxBody); t.Has("most_memory") {
		c.Holdings.MaxMemory = int64(t.Int("most_memory", 0, int(least), maxMemory))
	}
	for _, class := range t.Tables("class", maxClasses) {
		class.Require("name", "the name of a keyed class")
		name := class.Text("name", "")
		if _, twice := c.Holdings.Classes[name]; twice {
			class.Fail("name", fmt.Sprintf("%q, a second time", name), "each class once")
		}
		c.Holdings.Classes[name] = map[string]WhenAlone{"refuse": RefuseAlone, "go_on": ProceedAlone}[class.Enum("when_alone", "refuse", "refuse", "go_on")]
	}
}

// Defaults and limits of the cluster parameters.
const (
	defaultLease      = 2 * time.Second // the loss of a leader costs about one lease: elections take 0.5 to 1 s
	defaultDrift      = 0.01            // far above the drift of a clock that NTP steers; the clock of a virtual machine may drift more
	defaultSlack      = 200 * time.Millisecond
	defaultContradict = 2500 * time.Millisecond
	maxSlack          = 10 * time.Second
	maxContradict     = 5 * time.Minute
)

// decodeCluster reads [crew].
func decodeCluster(t *tomlread.Table) *Cluster {
	t.Require("name", "the crew's name, the same in all its sidecars")
	t.Require("address", "an address with a port, of this process alone")
	t.Require("keeper", "[[crew.keeper]] with name and address, one to seven of them; three or five in different zones")
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
		// Report the line of the key that an operator would change first.
		key := "contradict_at_most"
		if !t.Has(key) {
			key = "lease"
		}
		t.Fail(key, fmt.Sprintf("lease, drift and slack add up to %v, contradict_at_most is %v", wait, c.ContradictAtMost),
			"lease x (1 + drift) / (1 - drift) + slack up to contradict_at_most")
	}
	c.Routes = map[string]string{}
	for _, route := range t.Tables("way", clusterparams.MaxMembers) {
		route.Require("name", "the name of a member")
		route.Require("address", "where this process reaches it")
		name := route.Text("name", "")
		if c.Routes[name] != "" {
			route.Fail("name", fmt.Sprintf("%q, a second time", name), "each name once")
		}
		c.Routes[name] = readAddress(route, "address")
	}
	addresses := map[string]bool{}
	for _, voter := range t.Tables("keeper", clusterparams.MaxVoters) {
		voter.Require("name", "the name of the keeper's sidecar")
		voter.Require("address", "its crew.address")
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
