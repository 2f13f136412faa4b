// Package emulated runs hollow members of a crew: the crew's, the holdings' and the peers' own code over real sockets, many
// members in one process, without engine and traffic. A process of them is led by lines of JSON on its standard input, and
// tells what its members act on, and what they cost, on its standard output.
package emulated

import "time"

// Start is the first line that a process of hollow members is told.
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
	// Regions are those of all addresses of the run, by address: what goes between two regions comes RegionDelay later each
	// way, and waits while the regions are cut.
	Regions     map[string]string `json:"regions,omitempty"`
	RegionDelay time.Duration     `json:"region_delay_ns,omitempty"`
	// KeyedRate are keyed requests a second and member: a claim, and its outcome when OrderTakes has passed.
	KeyedRate     float64       `json:"orders,omitempty"`
	KeyedDuration time.Duration `json:"order_takes_ns,omitempty"`
	Seed          uint64        `json:"seed"`
	// Faults are members with a planted fault, by name.
	Faults map[string]Fault `json:"planted,omitempty"`
}

// Peer is a process of the crew.
type Peer struct {
	Name    string `json:"name"`
	Zone    string `json:"zone,omitempty"`
	Region  string `json:"region,omitempty"`
	Address string `json:"address"`
}

// Fault is what is wrong with a member on purpose, so that a check can be seen to catch it.
type Fault string

// The planted faults.
const (
	IgnoresVersions Fault = "unheeding" // it says that it acts on a version and goes on with the one before
	RenewsTooOften  Fault = "hasty"     // it asks for its lease at twice the rate
	LosesState      Fault = "forgetful" // it always says that it has neither table nor members, so that it is sent both each time
)

// Command is each further line. Its answer is a Line with the same id.
type Command struct {
	ID int    `json:"id"`
	Do string `json:"do"` // one of the commands below
	// Members are those it is about; none are all of this process.
	Members []string `json:"members,omitempty"`
	// Regions are the two sides of a cut.
	Regions   [2]string `json:"regions,omitempty"`
	KeyedRate float64   `json:"orders,omitempty"`
}

// The commands.
const (
	Kill         = "kill"   // the member is gone in this moment, with what it held, and says nothing
	Leave        = "leave"  // the member ends in order, as at a SIGTERM
	Restart      = "begin"  // a member that is gone starts as a new process of its name
	Partition    = "cut"    // nothing goes between two regions, and connections stand still
	Heal         = "mend"   // it goes again
	SetKeyedRate = "order"  // so many keyed requests a second and member from now on
	Sample       = "sample" // tell what each member acts on and what it has cost so far
	End          = "end"    // all members are gone, and the process ends
)

// Output is what a process says: an event, the answer to a command, or that all members have started.
type Output struct {
	Ready  bool         `json:"ready,omitempty"` // to Start: all members listen and have begun
	ID     int          `json:"id,omitempty"`
	Error  string       `json:"error,omitempty"`
	Event  *MemberState `json:"event,omitempty"` // a member's stance has changed
	Sample *Usage       `json:"sample,omitempty"`
}

// MemberState is what a member acts on from a time on. Times are of CLOCK_BOOTTIME, the same in all processes of a machine.
type MemberState struct {
	At       time.Duration `json:"at_ns"`
	Member   string        `json:"member"`
	Active   uint64        `json:"active"`
	Next     uint64        `json:"next,omitempty"`
	Epoch    uint64        `json:"epoch"`
	Cautious bool          `json:"cautious"`
	Gone     bool          `json:"gone,omitempty"` // it was killed, or has left
}

// Usage is what the process and its members have cost since their start.
type Usage struct {
	At          time.Duration          `json:"at_ns"`
	CPU         time.Duration          `json:"cpu_ns"` // of the process, user and system
	RSSBytes    int64                  `json:"rss_bytes"`
	Goroutines  int                    `json:"goroutines"`
	Descriptors int                    `json:"descriptors"`
	Members     map[string]MemberUsage `json:"members"`
	// Lag is by how much the process's own timers came late at most since the last sample: a run whose load lags is void.
	Lag time.Duration `json:"lag_ns"`
}

// MemberUsage is what one member has cost. Bytes are counted at its sockets, heads included.
type MemberUsage struct {
	State         MemberState `json:"stance"`
	In            int64       `json:"in"`
	Out           int64       `json:"out"`
	ToVoters      int64       `json:"to_keepers"`   // of Out, to keepers
	FromVoters    int64       `json:"from_keepers"` // of In, from keepers
	Renewals      int64       `json:"renewals"`
	Refused       int64       `json:"refused"`
	LostRenewals  int64       `json:"unheard"`
	KeyedRequests int64       `json:"asked"`  // keyed requests
	KeyedRefused  int64       `json:"denied"` // keyed requests that were refused
	Conns         int         `json:"conns"`
}
