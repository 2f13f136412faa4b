package operator

import (
	"fmt"
	"net"
	"time"

	"heathgap/internal/crew/terms"
	"heathgap/internal/tomlread"
)

// Crew is the table [crew]: which crew a sidecar is in, and on which terms.
type Crew struct {
	Name    string
	Address string // where peers reach this process
	Data    string // folder, of a keeper alone
	Terms   terms.Terms
	// ContradictAtMost is how long two members may act on rules that contradict each other.
	ContradictAtMost time.Duration
	Keepers          map[string]string // addresses by the names of their sidecars
}

// Defaults and bounds of the terms.
const (
	defaultLease      = 2 * time.Second // a lost leader costs about one: elections take 0.5 to 1 s
	defaultDrift      = 0.01            // far above any clock that NTP steers; a virtual machine's may be worse
	defaultSlack      = 200 * time.Millisecond
	defaultContradict = 2500 * time.Millisecond
	mostSlack         = 10 * time.Second
	mostContradict    = 5 * time.Minute
)

// decodeCrew reads [crew].
func decodeCrew(t *tomlread.Table) *Crew {
	t.Need("name", "the crew's name, the same in all its sidecars")
	t.Need("address", "an address with a port, of this process alone")
	t.Need("keeper", "[[crew.keeper]] with name and address, one to seven of them; three or five in different zones")
	c := &Crew{
		Name: t.Text("name", ""), Address: addressIn(t, "address"), Data: t.Text("data", ""),
		Terms: terms.Terms{
			Lease: t.Duration("lease", defaultLease, terms.LeastLease, terms.MostLease),
			Drift: t.Float("drift", defaultDrift, 0, terms.MostDrift),
			Slack: t.Duration("slack", defaultSlack, 0, mostSlack), FixedClasses: t.Texts("fixed_classes"),
		},
		ContradictAtMost: t.Duration("contradict_at_most", defaultContradict, terms.LeastLease, mostContradict),
		Keepers:          map[string]string{},
	}
	if wait := c.Terms.Wait(); wait > c.ContradictAtMost {
		// The line of what an operator would change first.
		key := "contradict_at_most"
		if !t.Has(key) {
			key = "lease"
		}
		t.Fail(key, fmt.Sprintf("lease, drift and slack add up to %v, contradict_at_most is %v", wait, c.ContradictAtMost),
			"lease x (1 + drift) / (1 - drift) + slack up to contradict_at_most")
	}
	addresses := map[string]bool{}
	for _, k := range t.Tables("keeper", terms.MostKeepers) {
		k.Need("name", "the name of the keeper's sidecar")
		k.Need("address", "its crew.address")
		name, address := k.Text("name", ""), addressIn(k, "address")
		if c.Keepers[name] != "" || addresses[address] {
			k.Fail("name", fmt.Sprintf("%q at %q, a second time", name, address), "each name and address once")
		}
		c.Keepers[name], addresses[address] = address, true
	}
	return c
}

// addressIn reads an address with a port.
func addressIn(t *tomlread.Table, key string) string {
	address := t.Text(key, "")
	if _, port, err := net.SplitHostPort(address); t.Has(key) && (err != nil || port == "" || port == "0") {
		t.Fail(key, fmt.Sprintf("%q", address), "an address with a port, such as 10.0.0.5:9300")
	}
	return address
}
