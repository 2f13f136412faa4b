// Package emulated runs many emulated members of a cluster in one process, for scale tests. An emulated member runs the product's own
// code for the cluster, the holdings and the peer RPCs over real sockets, but has no engine and serves no callers. The parent controls
// a process of emulated members by lines of JSON on its standard input; on its standard output the process reports which rules are in
// effect at its members and what the members cost.
package emulated

import "time"

// Start is the first line that a process of emulated members reads.
type Start struct {
	Cluster          string        `json:"crew"`
	Lease            time.Duration `json:"lease_ns"`
	Drift            float64       `json:"drift"`
	Slack            time.Duration `json:"slack_ns"`
	ContradictAtMost time.Duration `json:"contradict_at_most_ns"`
	FixedClasses     []string      `json:"fixed_classes,omitempty"`
	Copies           int           `json:"copies"` // 0 for no holdings
	Keep             time.Duration `json:"keep_ns,omitempty"`
	LostAfter        time.Duration `json:"lost_after_ns,omitempty"`
	Voters           []Peer        `json:"keepers"`
	Members          []Peer        `json:"members"` // of this process
	// Regions holds the region of each address of the run, by address. Bytes between two regions arrive RegionDelay later in each
	// direction, and wait while the regions are partitioned.
	Regions     map[string]string `json:"regions,omitempty"`
	RegionDelay time.Duration     `json:"region_delay_ns,omitempty"`
	// KeyedRate is how many keyed requests each member makes per second. Each is a claim and, after KeyedDuration, its outcome.
	KeyedRate     float64       `json:"orders,omitempty"`
	KeyedDuration time.Duration `json:"order_takes_ns,omitempty"`
	Seed          uint64        `json:"seed"`
	// Faults holds the members with an injected fault, by name.
	Faults map[string]Fault `json:"planted,omitempty"`
}

// Peer is a process of the cluster.
type Peer struct {
	Name    string `json:"name"`
	Zone    string `json:"zone,omitempty"`
	Region  string `json:"region,omitempty"`
	Address string `json:"address"`
}

// Fault is a fault that is injected into a member to show that a check catches it.
type Fault string

// The injected faults.
const (
	IgnoresVersions Fault = "unheeding" // it reports new versions as in effect and keeps applying the version of its first lease
	RenewsTooOften  Fault = "hasty"     // it renews its lease at twice the rate
	LosesState      Fault = "forgetful" // its renewals say that it has neither placement nor membership, so the leader sends both each time
)

// Command is each further line that the process reads. The process answers it with an Output of the same ID.
type Command struct {
	ID int    `json:"id"`
	Do string `json:"do"` // one of the commands below
	// Members names the members that the command is for; empty means all members of the process.
	Members []string `json:"members,omitempty"`
	// Regions are the two regions that Partition separates or Heal joins.
	Regions   [2]string `json:"regions,omitempty"`
	KeyedRate float64   `json:"orders,omitempty"`
}

// The commands.
const (
	Kill         = "kill"   // ends the member at once, as a SIGKILL does: it loses its state and sends nothing more
	Leave        = "leave"  // ends the member in order, as a SIGTERM does
	Restart      = "begin"  // starts an ended member again, as a new process of the same name
	Partition    = "cut"    // holds all bytes between two regions; connections stay open
	Heal         = "mend"   // ends a partition; held bytes arrive
	SetKeyedRate = "order"  // sets the number of keyed requests per second and member
	Sample       = "sample" // reports each member's state and its cost so far
	End          = "end"    // kills all members and ends the process
)

// Output is a line that the process writes: an event, the answer to a command, the message that all members listen, or the error with
// which the process ends (Error without ID).
type Output struct {
	Ready  bool         `json:"ready,omitempty"` // the answer to Start: all members listen
	ID     int          `json:"id,omitempty"`
	Error  string       `json:"error,omitempty"`
	Event  *MemberState `json:"event,omitempty"` // a member's state has changed
	Sample *Usage       `json:"sample,omitempty"`
}

// MemberState says which versions are in effect at a member from a time on. At is of CLOCK_BOOTTIME, which is the same in all
// processes of a machine.
type MemberState struct {
	At       time.Duration `json:"at_ns"`
	Member   string        `json:"member"`
	Active   uint64        `json:"active"`
	Next     uint64        `json:"next,omitempty"`
	Epoch    uint64        `json:"epoch"`
	Cautious bool          `json:"cautious"`
	Gone     bool          `json:"gone,omitempty"` // the member was killed or has left
}

// Usage is what the process and its members have cost since they started.
type Usage struct {
	At          time.Duration          `json:"at_ns"`
	CPU         time.Duration          `json:"cpu_ns"` // of the process, user and system
	RSSBytes    int64                  `json:"rss_bytes"`
	Goroutines  int                    `json:"goroutines"`
	Descriptors int                    `json:"descriptors"`
	Members     map[string]MemberUsage `json:"members"`
	// Lag is the greatest delay of the process's own timers since the last sample. A run with too much lag is void.
	Lag time.Duration `json:"lag_ns"`
}

// MemberUsage is what one member has cost over all its starts. Bytes are counted at its sockets, HTTP heads included.
type MemberUsage struct {
	State         MemberState `json:"stance"`
	In            int64       `json:"in"`           // bytes received
	Out           int64       `json:"out"`          // bytes sent
	ToVoters      int64       `json:"to_keepers"`   // the part of Out that went to voters
	FromVoters    int64       `json:"from_keepers"` // the part of In that came from voters
	Renewals      int64       `json:"renewals"`
	Refused       int64       `json:"refused"`
	LostRenewals  int64       `json:"unheard"` // renewals that found no leader
	KeyedRequests int64       `json:"asked"`   // keyed requests made
	KeyedRefused  int64       `json:"denied"`  // keyed requests that were refused
	Conns         int         `json:"conns"`   // open now
}
