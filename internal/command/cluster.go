package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os/user"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"heathgap/internal/cluster"
	"heathgap/internal/cluster/member"
	"heathgap/internal/cluster/voter"
	"heathgap/internal/env"
	"heathgap/internal/operator"
	"heathgap/internal/peerrpc"
	"heathgap/internal/versions"
)

// Times of calls to voters and members.
const (
	callTimeout  = 2 * time.Second        // limit for one answer
	pollInterval = 200 * time.Millisecond // between two status queries
)

// clusterCommands are the commands `heathgap crew ...`. Exit codes are those of all commands: 0 for success, 1 for
// failure or refusal, 2 for a faulty command line.
type clusterCommands struct {
	Status   clusterStatus   `cmd:"" help:"Show the leader, the active version and the number of members."`
	Members  clusterMembers  `cmd:"" help:"Show which version each member applies, and until when its lease lasts."`
	Versions clusterVersions `cmd:"" help:"List the versions."`
	Diff     clusterDiff     `cmd:"" help:"Show the differences between two versions."`
	Propose  clusterPropose  `cmd:"" help:"Propose a version, and wait until it is active or refused."`
	Undo     clusterUndo     `cmd:"" help:"Propose the document of the version before the active one again, as a new version."`
}

// clusterOptions are the options of all commands that query a cluster.
type clusterOptions struct {
	Operator string `placeholder:"FILE" required:"" help:"An operator's file with [crew]; the command queries the keepers that it names."`
	JSON     bool   `help:"Write JSON."`
}

// voterClients holds RPC clients for all voters of a cluster, by the voters' names.
type voterClients struct {
	config  *operator.Cluster
	clients map[string]*peerrpc.Client
}

// open reads the operator's file and returns clients for its voters. It opens no connection yet.
func (a *clusterOptions) open() (*voterClients, error) {
	file, err := operator.Load(a.Operator)
	if err != nil {
		return nil, err
	}
	if file.Cluster == nil {
		return nil, fmt.Errorf("%s: no table [crew]", a.Operator)
	}
	v := &voterClients{config: file.Cluster, clients: map[string]*peerrpc.Client{}}
	for name, address := range file.Cluster.Voters {
		v.clients[name] = peerrpc.NewClient(env.Real{}, file.Cluster.Name, "cli", address)
	}
	return v, nil
}

// status queries all voters, in the order of their names, and returns the status of one of them. A leader's status
// replaces that of the voters before it unless its term is older; another voter's status replaces only one that is not
// a leader's and whose term is older.
func (v *voterClients) status() (best voter.Status, err error) {
	var faults []error
	for _, name := range slices.Sorted(maps.Keys(v.clients)) {
		var s voter.Status
		if err := v.clients[name].Call("status", struct{}{}, &s, callTimeout); err != nil {
			faults = append(faults, fmt.Errorf("keeper %s: %w", name, err))
			continue
		}
		if best.Ledger == nil || s.Leader == s.Name && s.Term >= best.Term || best.Leader != best.Name && s.Term > best.Term {
			best = s
		}
	}
	if best.Ledger == nil {
		return best, fmt.Errorf("no keeper answers: %w", errors.Join(faults...))
	}
	return best, nil
}

// queryStatus returns the clients for the voters that the operator's file names, and the result of status.
func (a *clusterOptions) queryStatus() (*voterClients, voter.Status, error) {
	voters, err := a.open()
	if err != nil {
		return nil, voter.Status{}, err
	}
	s, err := voters.status()
	return voters, s, err
}

// queryLeader is queryStatus, but fails if the result is not the status of a leader (see leaderStatus).
func (a *clusterOptions) queryLeader() (*voterClients, voter.Status, error) {
	voters, err := a.open()
	if err != nil {
		return nil, voter.Status{}, err
	}
	s, err := voters.leaderStatus()
	return voters, s, err
}

// leaderStatus is status, but fails if the result is not the status of a leader, as when no voter leads or the leader does
// not answer.
func (v *voterClients) leaderStatus() (voter.Status, error) {
	s, err := v.status()
	if err == nil && s.Leader != s.Name {
		err = fmt.Errorf("no leader answers (asked %d keepers): is a majority up? %s", len(v.clients), missingVoters(&s))
	}
	return s, err
}

// missingVoters explains a missing leader: until the cluster is formed, it names the voters that have not announced themselves.
func missingVoters(s *voter.Status) string {
	if len(s.MissingVoters) == 0 {
		return ""
	}
	return fmt.Sprintf("the crew is not formed, %s has not heard of %v", s.Name, s.MissingVoters)
}

func writeJSON(o *Out, v any) error {
	e := json.NewEncoder(o)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

type clusterStatus struct{ clusterOptions }

// Run prints the state of the cluster.
func (c *clusterStatus) Run(o *Out) error {
	voters, s, err := c.queryStatus()
	if err != nil {
		return err
	}
	next := map[string]any(nil)
	if n := s.Ledger.Next; n != nil {
		next = map[string]any{"number": n.Number, "state": n.State.String(), "hash": n.Hash.String()}
	}
	if c.JSON {
		return writeJSON(o, map[string]any{"crew": voters.config.Name, "leader": s.Leader, "term": s.Term, "epoch": s.Ledger.Epoch,
			"members": len(s.Ledger.Members), "version": s.Ledger.Active.Number, "hash": s.Ledger.Active.Hash.String(), "next": next,
			"keepers": slices.Sorted(maps.Keys(s.Ledger.Voters)), "forming": s.MissingVoters})
	}
	leader := s.Leader
	if leader == "" {
		leader = "none " + missingVoters(&s)
	}
	fmt.Fprintf(o, "crew %s: leader %s, term %d, epoch %d, %d members, version %d (%v)\n", voters.config.Name, leader, s.Term,
		s.Ledger.Epoch, len(s.Ledger.Members), s.Ledger.Active.Number, s.Ledger.Active.Hash)
	if n := s.Ledger.Next; n != nil {
		fmt.Fprintf(o, "version %d (%v) is %v\n", n.Number, n.Hash, n.State)
	}
	return nil
}

type clusterMembers struct{ clusterOptions }

// memberRow is a member as `heathgap crew members` prints it.
type memberRow struct {
	Name    string         `json:"name"`
	Zone    string         `json:"zone"`
	Address string         `json:"address"`
	LeaseMS *int           `json:"lease_ms,omitempty"` // until its lease has surely ended, as the leader reports
	Status  *member.Status `json:"acts,omitempty"`     // as the member itself reports
	Error   string         `json:"error,omitempty"`
}

// Run queries each member.
func (c *clusterMembers) Run(o *Out) error {
	voters, s, err := c.queryStatus()
	if err != nil {
		return err
	}
	var all []memberRow
	for _, name := range slices.Sorted(maps.Keys(s.Ledger.Members)) {
		m := s.Ledger.Members[name]
		row := memberRow{Name: name, Zone: m.Zone, Address: m.Address}
		if ms, known := s.Leases[name]; known {
			row.LeaseMS = &ms
		}
		client := peerrpc.NewClient(env.Real{}, voters.config.Name, "cli", m.Address)
		var status member.Status
		if err := client.Call("acting", struct{}{}, &status, callTimeout); err != nil {
			row.Error = err.Error()
		} else {
			row.Status = &status
		}
		client.Close()
		all = append(all, row)
	}
	if c.JSON {
		return writeJSON(o, all)
	}
	w := tabwriter.NewWriter(o, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tZONE\tADDRESS\tACTS ON\tLEASE")
	for _, m := range all {
		acts, lease := m.Error, ""
		if a := m.Status; a != nil {
			acts, lease = "version "+strconv.FormatUint(a.Active, 10), fmt.Sprintf("%d ms", a.LeaseMS)
			if a.Next > 0 {
				acts += fmt.Sprintf(" and %d", a.Next)
			}
			if a.Cautious {
				acts, lease = "what no version forbids", "none"
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", m.Name, m.Zone, m.Address, acts, lease)
	}
	return w.Flush()
}

type clusterVersions struct{ clusterOptions }

// versionRow is a version as `heathgap crew versions` prints it.
type versionRow struct {
	Number uint64            `json:"number"`
	Parent uint64            `json:"parent"`
	State  string            `json:"state"`
	Hash   string            `json:"hash"`
	Author string            `json:"author"`
	Note   string            `json:"note"`
	Reason string            `json:"why,omitempty"`
	Doc    versions.Document `json:"document"`
}

// Run lists the versions that the voters keep.
func (c *clusterVersions) Run(o *Out) error {
	_, s, err := c.queryStatus()
	if err != nil {
		return err
	}
	var all []versionRow
	for _, r := range s.Ledger.VersionRecords() {
		state := r.State.String()
		if r.State == cluster.Active && r.Number != s.Ledger.Active.Number {
			state = "was active"
		}
		all = append(all, versionRow{r.Number, r.Parent, state, r.Hash.String(), r.Author, r.Note, r.Reason, r.Doc})
	}
	if c.JSON {
		return writeJSON(o, all)
	}
	w := tabwriter.NewWriter(o, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "VERSION\tPARENT\tSTATE\tHASH\tAUTHOR\tNOTE")
	for _, v := range all {
		fmt.Fprintf(w, "%d\t%d\t%s\t%s\t%s\t%s\n", v.Number, v.Parent, v.State, v.Hash, v.Author, v.Note)
		if v.Reason != "" {
			fmt.Fprintf(w, "\t\t%s\n", v.Reason)
		}
	}
	return w.Flush()
}

type clusterDiff struct {
	clusterOptions
	From uint64 `arg:"" help:"A version's number; 0 for no version."`
	To   uint64 `arg:"" help:"Another version's number; 0 for no version."`
}

// Run prints the differences.
func (c *clusterDiff) Run(o *Out) error {
	_, s, err := c.queryStatus()
	if err != nil {
		return err
	}
	from, err := findDocument(s.Ledger, c.From)
	if err != nil {
		return err
	}
	to, err := findDocument(s.Ledger, c.To)
	if err != nil {
		return err
	}
	lines := versions.Diff(from, to)
	if c.JSON {
		return writeJSON(o, lines)
	}
	for _, line := range lines {
		fmt.Fprintln(o, line)
	}
	return nil
}

// findDocument returns a version's document; that of version 0 is empty.
func findDocument(l *cluster.Ledger, number uint64) (*versions.Document, error) {
	if number == 0 {
		return &versions.Document{}, nil
	}
	for _, r := range l.VersionRecords() {
		if r.Number == number {
			return &r.Doc, nil
		}
	}
	return nil, fmt.Errorf("version %d is not kept; allowed: those of `heathgap crew versions`, and 0", number)
}

type clusterPropose struct {
	clusterOptions
	File   string        `arg:"" help:"The version's document (TOML): all that holds from then on, not what changes."`
	Note   string        `help:"The reason, for people; used instead of the file's note."`
	Parent *uint64       `help:"The version that this one follows; the active one if not given."`
	Wait   time.Duration `default:"30s" help:"How long to wait until the version is active. After that the command fails, and the crew carries on with a version that is already proposed."`
}

// Run proposes the document of a file.
func (c *clusterPropose) Run(o *Out) error {
	doc, note, err := versions.Load(c.File)
	if err != nil {
		return err
	}
	if c.Note != "" {
		note = c.Note
	}
	voters, s, err := c.queryLeader()
	if err != nil {
		return err
	}
	parent := s.Ledger.Active.Number
	if c.Parent != nil {
		parent = *c.Parent
	}
	return voters.propose(o, cluster.Proposal{Parent: parent, Note: note, Doc: doc}, c.Wait, c.JSON)
}

type clusterUndo struct {
	clusterOptions
	Wait time.Duration `default:"30s" help:"How long to wait until the version is active."`
}

// Run proposes the document of the version before the active one.
func (c *clusterUndo) Run(o *Out) error {
	voters, s, err := c.queryLeader()
	if err != nil {
		return err
	}
	active := s.Ledger.Active
	if active.Number == 0 {
		return errors.New("no version holds yet: there is nothing to undo")
	}
	doc, err := findDocument(s.Ledger, active.Parent)
	if err != nil {
		return err
	}
	return voters.propose(o, cluster.Proposal{Parent: active.Number, Note: fmt.Sprintf("undoes version %d", active.Number), Doc: *doc}, c.Wait, c.JSON)
}

// propose sends a proposal until the leader accepts or refuses it, and then waits until the version is active or refused.
// Both together take about wait at most.
func (v *voterClients) propose(o *Out, p cluster.Proposal, wait time.Duration, asJSON bool) error {
	p.ID = voter.NewID()
	if u, err := user.Current(); err == nil {
		p.Author = u.Username
	}
	deadline := time.Now().Add(wait)
	start, number := time.Now(), uint64(0)
	for ; time.Now().Before(deadline); time.Sleep(pollInterval) {
		s, err := v.leaderStatus()
		if err != nil {
			continue
		}
		if number == 0 {
			var result voter.ProposeResult
			// Sending the same proposal again is harmless, as after a lost answer: its ID makes it count once.
			err := v.clients[s.Name].Call("propose", p, &result, callTimeout)
			if errors.Is(err, peerrpc.ErrRefused) {
				return err
			}
			if err != nil || result.Number == 0 {
				continue
			}
			if number = result.Number; !asJSON {
				fmt.Fprintf(o, "version %d (%v) is proposed\n", number, p.Doc.Hash())
			}
			continue
		}
		r := s.Ledger.Find(p.ID)
		if r == nil || r.State != cluster.Active && r.State != cluster.Refused {
			continue
		}
		took := time.Since(start).Round(time.Millisecond)
		if r.State == cluster.Refused {
			return fmt.Errorf("version %d is refused: %s", number, r.Reason)
		}
		if asJSON {
			return writeJSON(o, map[string]any{"number": number, "state": r.State.String(), "took_ms": took.Milliseconds()})
		}
		fmt.Fprintf(o, "version %d is active after %v\n", number, took)
		return nil
	}
	if number == 0 {
		return fmt.Errorf("no keeper took the proposal within %v: is a majority up? (heathgap crew status)", wait)
	}
	return fmt.Errorf("version %d is not active after %v; it goes on by itself (heathgap crew versions)", number, wait)
}
