package scenario

import (
	"fmt"
	"time"

	"heathgap/internal/clusterparams"
	"heathgap/internal/tomlread"
)

// Cluster is a scenario of several processes that agree, and of what fails among them.
type Cluster struct {
	Name             string
	About            string
	Seed             uint64
	Voters           int // of the processes; the others are members alone
	Members          int
	Lease            time.Duration
	Drift            float64
	Slack            time.Duration
	ContradictAtMost time.Duration
	Duration         time.Duration
	Rate             float64 // requests a second to each process
	Random           int     // faults that are drawn from the seed
	Proposals        int     // versions that are proposed at even times
	KeyedRate        float64 // keyed requests a second, in all, whose clients repeat them elsewhere; 0 for none
	Copies           int     // of what is held of them; 0 for no holdings
	Zones            int     // that the processes stand in, in turn
	Steps            []ClusterStep
}

// ClusterStep is a fault, or a proposal.
type ClusterStep struct {
	At           time.Duration
	Do           string
	Who          string // a process (k1, m2), "leader", "follower" (a keeper that does not lead), "keepers" or "all"
	Direction    string // of a cut
	For          time.Duration
	Effect       string        // of a proposal: that of the probed class
	Ban          string        // and the endpoint that it bans; empty for none
	With         string        // of a cut or a delay: the one process whose ways to it are meant; empty for all
	By           time.Duration // of a delay
	ProposerDies bool          // its proposer is gone before it hears anything
	Drawn        bool          // from the seed
}

// ClusterFaults are what can be done to a process, and CutDirections which way a cut goes: what comes to it, what it says, both.
var (
	ClusterFaults = []string{"kill", "term", "stop", "cut", "wipe", "reset", "full", "setback"}
	CutDirections = []string{"both", "in", "out"}
)

// Bounds of a crew's scenario.
const (
	maxProcesses    = 30
	maxClusterSteps = 64
	maxClusterTime  = 30 * time.Minute
)

// LoadCluster reads a crew's scenario. The error tells all that is wrong, a line each.
func LoadCluster(path string) (*Cluster, error) {
	doc, err := tomlread.Load(path)
	if err != nil {
		return nil, err
	}
	return decodeCluster(doc)
}

// ParseCluster reads one from a text; the name is for errors.
func ParseCluster(file string, text []byte) (*Cluster, error) {
	doc, err := tomlread.Parse(file, text)
	if err != nil {
		return nil, err
	}
	return decodeCluster(doc)
}

// isTarget tells whether somebody goes by a name.
func (c *Cluster) isTarget(target string) bool {
	switch target {
	case "leader", "follower", "keepers", "all":
		return true
	}
	return c.isProcess(target)
}

// isProcess tells whether a process goes by a name.
func (c *Cluster) isProcess(name string) bool {
	var n int
	if _, err := fmt.Sscanf(name, "k%d", &n); err == nil && name == fmt.Sprintf("k%d", n) {
		return n >= 1 && n <= c.Voters
	}
	_, err := fmt.Sscanf(name, "m%d", &n)
	return err == nil && name == fmt.Sprintf("m%d", n) && n >= 1 && n <= c.Members
}

func decodeCluster(doc *tomlread.Doc) (*Cluster, error) {
	t := doc.Root
	t.Need("name", "a text")
	c := &Cluster{
		Name: t.Text("name", "crew"), About: t.Text("about", ""), Seed: uint64(t.Int("seed", 1, 0, 1<<31)),
		Voters: t.Int("keepers", 3, 1, 7), Members: t.Int("members", 2, 0, maxProcesses-1),
		Lease: t.Duration("lease", time.Second, 200*time.Millisecond, time.Minute), Drift: t.Float("drift", 0.01, 0, 0.1),
		Slack:            t.Duration("slack", 200*time.Millisecond, 0, 10*time.Second),
		ContradictAtMost: t.Duration("contradict_at_most", 1500*time.Millisecond, 200*time.Millisecond, 5*time.Minute),
		Duration:         t.Duration("duration", 10*time.Second, time.Second, maxClusterTime),
		Rate:             t.Float("rate", 40, 1, 1000), Random: t.Int("random", 0, 0, maxClusterSteps),
		Proposals: t.Int("proposals", 0, 0, maxClusterSteps),
		KeyedRate: t.Float("orders", 0, 0, 1000), Copies: t.Int("copies", 0, 0, clusterparams.MaxCopies), Zones: t.Int("zones", 3, 1, maxProcesses),
	}
	if c.Voters+c.Members > maxProcesses {
		t.Fail("members", fmt.Sprintf("%d keepers and %d members", c.Voters, c.Members), fmt.Sprintf("up to %d processes", maxProcesses))
	}
	if c.Copies > c.Zones {
		t.Fail("copies", fmt.Sprint(c.Copies), "as many as there are zones")
	}
	if c.Duration < 4*c.Lease {
		t.Fail("duration", c.Duration.String(), "four leases or more")
	}
	for _, s := range t.Tables("step", maxClusterSteps) {
		s.Need("do", "propose, kill, term, stop, cut, wipe, reset, full, setback, restart, twin, older, delay")
		step := ClusterStep{
			At: s.Duration("at", 0, 0, maxClusterTime), Do: s.Enum("do", "propose", append([]string{"propose", "restart", "twin", "older", "delay"}, ClusterFaults...)...),
			Who: s.Text("who", "leader"), Direction: s.Enum("way", "both", CutDirections...), For: s.Duration("for", time.Second, 0, maxClusterTime),
			Effect: s.Text("effect", ""), Ban: s.Text("ban", ""), ProposerDies: s.Bool("dies", false),
			With: s.Text("with", ""), By: s.Duration("by", 100*time.Millisecond, 0, time.Minute),
		}
		if !c.isTarget(step.Who) {
			s.Fail("who", step.Who, fmt.Sprintf("leader, follower, keepers, all, k1 to k%d, m1 to m%d", c.Voters, c.Members))
		}
		if step.With != "" && !c.isProcess(step.With) {
			s.Fail("with", step.With, fmt.Sprintf("k1 to k%d, m1 to m%d", c.Voters, c.Members))
		}
		if (step.Do == "twin" || step.Do == "older") && (step.Who == "keepers" || step.Who == "all") {
			s.Fail("who", step.Who, "one process")
		}
		if step.At > c.Duration {
			s.Fail("at", step.At.String(), "a time up to duration")
		}
		c.Steps = append(c.Steps, step)
	}
	return c, doc.Err()
}
