package command

import (
	"fmt"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"heathgap/internal/cluster/member"
	"heathgap/internal/cluster/voter"
	"heathgap/internal/env"
	"heathgap/internal/holdings"
	"heathgap/internal/peerrpc"
)

// holdingsCommands are the commands `heathgap holdings ...`.
type holdingsCommands struct {
	Status holdingsStatus `cmd:"" help:"Show how many shards have all their copies, and how many copies each member has."`
	Show   holdingsShow   `cmd:"" help:"Show what each copy has of one key."`
}

// placementStatus summarizes where the replicas of all shards are. All numbers but Lost and Replicas count shards.
type placementStatus struct {
	Copies      int            `json:"copies"`
	Shards      int            `json:"shards"`
	Complete    int            `json:"whole"`   // shards with all copies caught up
	Incomplete  int            `json:"short"`   // shards with fewer caught-up replicas, which serve
	Unavailable int            `json:"waiting"` // shards without a caught-up replica in the cluster: requests of their keys are refused
	CatchingUp  int            `json:"filling"` // shards with a replica that is catching up
	Lost        uint64         `json:"lost"`    // how often the contents of a shard were lost
	Replicas    map[string]int `json:"seats"`   // by member
}

// summarizePlacement counts the replicas that belong to present members, by shard and by member.
func summarizePlacement(s *voter.Status, copies int) placementStatus {
	out := placementStatus{Copies: copies, Shards: holdings.NumShards, Replicas: map[string]int{}}
	for name := range s.Ledger.Members {
		out.Replicas[name] = 0
	}
	for _, shard := range s.Ledger.Placement.Shards {
		ready, catchingUp := 0, false
		for _, replica := range shard.Replicas {
			if m, in := s.Ledger.Members[replica.Name]; in && m.Token == replica.Token {
				out.Replicas[replica.Name]++
				if replica.Ready {
					ready++
				}
			}
			catchingUp = catchingUp || !replica.Ready
		}
		switch out.Lost += shard.Lost; {
		case ready >= copies:
			out.Complete++
		case ready > 0:
			out.Incomplete++
		default:
			out.Unavailable++
		}
		if catchingUp {
			out.CatchingUp++
		}
	}
	return out
}

type holdingsStatus struct{ clusterOptions }

// errNoHoldings is the error for a cluster without [holdings].
var errNoHoldings = fmt.Errorf("no table [holdings]: this crew's sidecars hold nothing for one another")

// queryPlacement is queryLeader, but fails if there is no placement of replicas.
func (a *clusterOptions) queryPlacement() (*voterClients, voter.Status, error) {
	voters, s, err := a.queryLeader()
	switch {
	case err != nil:
	case voters.config.Params.Holdings.Copies == 0:
		err = fmt.Errorf("%s: %w", a.Operator, errNoHoldings)
	case s.Ledger.Placement == nil:
		err = fmt.Errorf("no replicas are placed yet: are there members in %d zones?", voters.config.Params.Holdings.Copies)
	}
	return voters, s, err
}

// Run prints the summary of all shards.
func (c *holdingsStatus) Run(o *Out) error {
	voters, s, err := c.queryPlacement()
	if err != nil {
		return err
	}
	st := summarizePlacement(&s, voters.config.Params.Holdings.Copies)
	if c.JSON {
		return writeJSON(o, st)
	}
	fmt.Fprintf(o, "%d shards with %d copies: %d whole, %d short, %d waiting for a seat that has all; %d being copied, %d lost so far\n",
		st.Shards, st.Copies, st.Complete, st.Incomplete, st.Unavailable, st.CatchingUp, st.Lost)
	w := tabwriter.NewWriter(o, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tZONE\tSEATS")
	for _, name := range slices.Sorted(maps.Keys(st.Replicas)) {
		fmt.Fprintf(w, "%s\t%s\t%d\n", name, s.Ledger.Members[name].Zone, st.Replicas[name])
	}
	return w.Flush()
}

type holdingsShow struct {
	clusterOptions
	Key    string `arg:"" help:"The request's key."`
	Class  string `required:"" help:"Its class."`
	Tenant string `help:"Its tenant, where it has one."`
}

// replicaRow is what one replica has of a key.
type replicaRow struct {
	Name  string        `json:"name"`
	Zone  string        `json:"zone"`
	Ready bool          `json:"ready"`
	State string        `json:"state,omitempty"`
	Owner string        `json:"owner,omitempty"`
	Age   time.Duration `json:"age_ns,omitempty"`
	Bytes int           `json:"bytes,omitempty"` // of the stored answer
	Error string        `json:"error,omitempty"`
}

// Run queries each replica of the key's shard, the primary first.
func (c *holdingsShow) Run(o *Out) error {
	voters, s, err := c.queryPlacement()
	if err != nil {
		return err
	}
	key := holdings.Key{Class: c.Class, Tenant: c.Tenant, Text: c.Key}
	shard := s.Ledger.Placement.Shards[key.Shard()]
	var all []replicaRow
	for _, replica := range shard.Replicas {
		m := s.Ledger.Members[replica.Name]
		row := replicaRow{Name: replica.Name, Zone: m.Zone, Ready: replica.Ready}
		client := peerrpc.NewClient(env.Real{}, voters.config.Name, "cli", m.Address)
		var keyState member.KeyState
		switch err := client.Call("hold-show", key, &keyState, callTimeout); {
		case err != nil:
			row.Error = err.Error()
		case !keyState.Found:
			row.State = "nothing"
		default:
			row.State, row.Owner, row.Age = keyState.Entry.State.String(), keyState.Entry.Owner.Name, keyState.Entry.Age
			if keyState.Entry.Outcome != nil {
				row.Bytes = len(keyState.Entry.Outcome.Body)
			}
		}
		client.Close()
		all = append(all, row)
	}
	if c.JSON {
		return writeJSON(o, map[string]any{"shard": key.Shard(), "ballot": shard.Config, "lost": shard.Lost, "copies": all})
	}
	fmt.Fprintf(o, "shard %d, ballot %d, lost %d\n", key.Shard(), shard.Config, shard.Lost)
	w := tabwriter.NewWriter(o, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tZONE\tREADY\tSTATE\tOWNER\tAGE\tBYTES")
	for _, h := range all {
		if h.State == "" {
			h.State = h.Error
		}
		fmt.Fprintf(w, "%s\t%s\t%v\t%s\t%s\t%v\t%d\n", h.Name, h.Zone, h.Ready, h.State, h.Owner, h.Age.Round(time.Millisecond), h.Bytes)
	}
	return w.Flush()
}
