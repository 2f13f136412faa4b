package scenario

import (
	"fmt"
	"time"

	"heathgap/internal/clusterparams"
	"heathgap/internal/tomlread"
)

// Cluster is a scenario of a cluster: several processes that agree on rules, and the faults among them.
type Cluster struct {
	Name             string
	About            string
	Seed             uint64
	Voters           int           // processes that are voters
	Members          int           // further processes, which are members only
	Lease            time.Duration // Lease, Drift and Slack are parameters of the cluster
	Drift            float64
	Slack            time.Duration
	ContradictAtMost time.Duration // limit of the time in which members apply contradicting rules
	Duration         time.Duration
	Rate             float64 // requests per second to each process
	Random           int     // faults that are generated from the seed
	Proposals        int     // versions that are proposed at even intervals
	KeyedRate        float64 // keyed requests per second over all processes, whose clients repeat them through other processes; 0 for none
	Copies           int     // replication factor of the holdings; 0 for no holdings
	Zones            int     // zones that the processes are assigned to in turn
	Steps            []ClusterStep
}

// ClusterStep is a fault or a proposal at a time.
type ClusterStep struct {
	At           time.Duration
	Do           string
	Who          string // a process (k1, m2), "leader", "follower" (a voter that does not lead), "keepers" (all voters) or "all"
	Direction    string // of a partition: one of CutDirections
	For          time.Duration
	Effect       string        // of a proposal: the effect of the class that the harness sends requests of
	Ban          string        // of a proposal: the endpoint that it bans; empty for none
	With         string        // of a partition or delay: the one process whose connections with Who are affected; empty for all
	By           time.Duration // of a delay
	ProposerDies bool          // the proposer closes its connection before it receives an answer
	Generated    bool          // generated from the seed
}

// ClusterFaults are the faults that a process may have. CutDirections say what a partition blocks: "in" what comes to
// the process, "out" what it sends, "both" all.
var (
	ClusterFaults = []string{"kill", "term", "stop", "cut", "wipe", "reset", "full", "setback"}
	CutDirections = []string{"both", "in", "out"}
)

// Bounds of a cluster scenario.
const (
	maxProcesses    = 30
	maxClusterSteps = 64
	maxClusterTime  = 30 * time.Minute
)

// LoadCluster reads and checks the file of a cluster scenario. The error has a line for each mistake in the file.
func LoadCluster(path string) (*Cluster, error) {
	doc, err := tomlread.Load(path)
	if err != nil {
		return nil, err
	}
	return decodeCluster(doc)
}

// ParseCluster reads and checks a text; file is the name used in errors.
func ParseCluster(file string, text []byte) (*Cluster, error) {
	doc, err := tomlread.Parse(file, text)
	if err != nil {
		return nil, err
	}
	return decodeCluster(doc)
}

// isTarget reports whether a step may name this target: a group of processes, a role or a process.
func (c *Cluster) isTarget(target string) bool {
	switch target {
	case "leader", "follower", "keepers", "all":
		return true
	}
	return c.isProcess(target)
}

// isProcess reports whether the cluster has a process of this name: k1, k2 and so on for voters, m1, m2 and so on for
// the other members.
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
	t.Require("name", "a text")
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
		s.Require("do", "propose, kill, term, stop, cut, wipe, reset, full, setback, restart, twin, older, delay")
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
