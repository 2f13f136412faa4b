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

// Times of calls to a crew.
const (
	crewCall  = 2 * time.Second        // for one answer
	crewPause = 200 * time.Millisecond // between two looks
)

// crewCommands are `heathgap crew ...`. Exit codes are those of all commands: 0 done, 1 failed or refused, 2 a faulty
// command line.
type crewCommands struct {
	Status   crewStatus   `cmd:"" help:"Tell who leads, which version holds, and who is in."`
	Members  crewMembers  `cmd:"" help:"Tell of each member what it acts on, until when."`
	Versions crewVersions `cmd:"" help:"List the versions."`
	Diff     crewDiff     `cmd:"" help:"Tell what differs between two versions."`
	Propose  crewPropose  `cmd:"" help:"Propose a version, and wait until it is acted on or refused."`
	Undo     crewUndo     `cmd:"" help:"Propose the version before the active one anew, as a new version."`
}

// crewAt is where a crew is asked.
type crewAt struct {
	Operator string `placeholder:"FILE" required:"" help:"An operator's file with [crew]: its keepers are asked."`
	JSON     bool   `help:"Write JSON."`
}

// crewTalk is a conversation with the keepers of a crew.
type crewTalk struct {
	table *operator.Cluster
	lines map[string]*peerrpc.Client
}

func (a *crewAt) open() (*crewTalk, error) {
	file, err := operator.Load(a.Operator)
	if err != nil {
		return nil, err
	}
	if file.Cluster == nil {
		return nil, fmt.Errorf("%s: no table [crew]", a.Operator)
	}
	t := &crewTalk{table: file.Cluster, lines: map[string]*peerrpc.Client{}}
	for name, address := range file.Cluster.Voters {
		t.lines[name] = peerrpc.NewClient(env.Real{}, file.Cluster.Name, "cli", address)
	}
	return t, nil
}

// status asks the keepers; the leader's word goes before any other's.
func (t *crewTalk) status() (best voter.Status, err error) {
	var faults []error
	for _, name := range slices.Sorted(maps.Keys(t.lines)) {
		var s voter.Status
		if err := t.lines[name].Call("status", struct{}{}, &s, crewCall); err != nil {
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

// look asks the keepers that the file names.
func (a *crewAt) look() (*crewTalk, voter.Status, error) {
	t, err := a.open()
	if err != nil {
		return nil, voter.Status{}, err
	}
	s, err := t.status()
	return t, s, err
}

// led is look, with a leader.
func (a *crewAt) led() (*crewTalk, voter.Status, error) {
	t, err := a.open()
	if err != nil {
		return nil, voter.Status{}, err
	}
	s, err := t.led()
	return t, s, err
}

// led is status, with a leader.
func (t *crewTalk) led() (voter.Status, error) {
	s, err := t.status()
	if err == nil && s.Leader != s.Name {
		err = fmt.Errorf("no keeper leads (asked %d): is a majority up? %s", len(t.lines), formingOf(&s))
	}
	return s, err
}

func formingOf(s *voter.Status) string {
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

type crewStatus struct{ crewAt }

// Run tells the crew's state.
func (c *crewStatus) Run(o *Out) error {
	t, s, err := c.look()
	if err != nil {
		return err
	}
	next := map[string]any(nil)
	if n := s.Ledger.Next; n != nil {
		next = map[string]any{"number": n.Number, "state": n.State.String(), "hash": n.Hash.String()}
	}
	if c.JSON {
		return writeJSON(o, map[string]any{"crew": t.table.Name, "leader": s.Leader, "term": s.Term, "epoch": s.Ledger.Epoch,
			"members": len(s.Ledger.Members), "version": s.Ledger.Active.Number, "hash": s.Ledger.Active.Hash.String(), "next": next,
			"keepers": slices.Sorted(maps.Keys(s.Ledger.Voters)), "forming": s.MissingVoters})
	}
	leader := s.Leader
	if leader == "" {
		leader = "none " + formingOf(&s)
	}
	fmt.Fprintf(o, "crew %s: leader %s, term %d, epoch %d, %d members, version %d (%v)\n", t.table.Name, leader, s.Term,
		s.Ledger.Epoch, len(s.Ledger.Members), s.Ledger.Active.Number, s.Ledger.Active.Hash)
	if n := s.Ledger.Next; n != nil {
		fmt.Fprintf(o, "version %d (%v) is %v\n", n.Number, n.Hash, n.State)
	}
	return nil
}

type crewMembers struct{ crewAt }

// crewMember is a line of the members.
type crewMember struct {
	Name    string         `json:"name"`
	Zone    string         `json:"zone"`
	Address string         `json:"address"`
	LeaseMS *int           `json:"lease_ms,omitempty"` // until it has surely ended, by the leader
	Acts    *member.Status `json:"acts,omitempty"`     // by its own word
	Error   string         `json:"error,omitempty"`
}

// Run asks each member.
func (c *crewMembers) Run(o *Out) error {
	t, s, err := c.look()
	if err != nil {
		return err
	}
	var all []crewMember
	for _, name := range slices.Sorted(maps.Keys(s.Ledger.Members)) {
		m := s.Ledger.Members[name]
		one := crewMember{Name: name, Zone: m.Zone, Address: m.Address}
		if ms, known := s.Leases[name]; known {
			one.LeaseMS = &ms
		}
		line := peerrpc.NewClient(env.Real{}, t.table.Name, "cli", m.Address)
		var acts member.Status
		if err := line.Call("acting", struct{}{}, &acts, crewCall); err != nil {
			one.Error = err.Error()
		} else {
			one.Acts = &acts
		}
		line.Close()
		all = append(all, one)
	}
	if c.JSON {
		return writeJSON(o, all)
	}
	w := tabwriter.NewWriter(o, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tZONE\tADDRESS\tACTS ON\tLEASE")
	for _, m := range all {
		acts, lease := m.Error, ""
		if a := m.Acts; a != nil {
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

type crewVersions struct{ crewAt }

// crewVersion is a line of the versions.
type crewVersion struct {
	Number uint64            `json:"number"`
	Parent uint64            `json:"parent"`
	State  string            `json:"state"`
	Hash   string            `json:"hash"`
	Author string            `json:"author"`
	Note   string            `json:"note"`
	Why    string            `json:"why,omitempty"`
	Doc    versions.Document `json:"document"`
}

// Run lists what the keepers keep.
func (c *crewVersions) Run(o *Out) error {
	_, s, err := c.look()
	if err != nil {
		return err
	}
	var all []crewVersion
	for _, r := range s.Ledger.VersionRecords() {
		state := r.State.String()
		if r.State == cluster.Active && r.Number != s.Ledger.Active.Number {
			state = "was active"
		}
		all = append(all, crewVersion{r.Number, r.Parent, state, r.Hash.String(), r.Author, r.Note, r.Reason, r.Doc})
	}
	if c.JSON {
		return writeJSON(o, all)
	}
	w := tabwriter.NewWriter(o, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "VERSION\tPARENT\tSTATE\tHASH\tAUTHOR\tNOTE")
	for _, v := range all {
		fmt.Fprintf(w, "%d\t%d\t%s\t%s\t%s\t%s\n", v.Number, v.Parent, v.State, v.Hash, v.Author, v.Note)
		if v.Why != "" {
			fmt.Fprintf(w, "\t\t%s\n", v.Why)
		}
	}
	return w.Flush()
}

type crewDiff struct {
	crewAt
	From uint64 `arg:"" help:"A version's number; 0 for no version."`
	To   uint64 `arg:"" help:"Another's."`
}

// Run tells what differs.
func (c *crewDiff) Run(o *Out) error {
	_, s, err := c.look()
	if err != nil {
		return err
	}
	from, err := docOf(s.Ledger, c.From)
	if err != nil {
		return err
	}
	to, err := docOf(s.Ledger, c.To)
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

// docOf finds a version's document.
func docOf(l *cluster.Ledger, number uint64) (*versions.Document, error) {
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

type crewPropose struct {
	crewAt
	File   string        `arg:"" help:"The version's document (TOML): all that holds from then on, not what changes."`
	Note   string        `help:"Why, for people; before the file's."`
	Parent *uint64       `help:"The version that this one follows; the active one if not given."`
	Wait   time.Duration `default:"30s" help:"So long until it is acted on, or the command fails and the version goes on by itself."`
}

// Run proposes a file.
func (c *crewPropose) Run(o *Out) error {
	doc, note, err := versions.Load(c.File)
	if err != nil {
		return err
	}
	if c.Note != "" {
		note = c.Note
	}
	t, s, err := c.led()
	if err != nil {
		return err
	}
	parent := s.Ledger.Active.Number
	if c.Parent != nil {
		parent = *c.Parent
	}
	return t.propose(o, cluster.Proposal{Parent: parent, Note: note, Doc: doc}, c.Wait, c.JSON)
}

type crewUndo struct {
	crewAt
	Wait time.Duration `default:"30s" help:"So long until it is acted on."`
}

// Run proposes what held before.
func (c *crewUndo) Run(o *Out) error {
	t, s, err := c.led()
	if err != nil {
		return err
	}
	active := s.Ledger.Active
	if active.Number == 0 {
		return errors.New("no version holds yet: there is nothing to undo")
	}
	doc, err := docOf(s.Ledger, active.Parent)
	if err != nil {
		return err
	}
	return t.propose(o, cluster.Proposal{Parent: active.Number, Note: fmt.Sprintf("undoes version %d", active.Number), Doc: *doc}, c.Wait, c.JSON)
}

// propose says a proposal until it is told, and waits for its end.
func (t *crewTalk) propose(o *Out, p cluster.Proposal, wait time.Duration, asJSON bool) error {
	p.ID = voter.NewID()
	if u, err := user.Current(); err == nil {
		p.Author = u.Username
	}
	limit := time.Now().Add(wait)
	began, number := time.Now(), uint64(0)
	for ; time.Now().Before(limit); time.Sleep(crewPause) {
		s, err := t.led()
		if err != nil {
			continue
		}
		if number == 0 {
			var told voter.ProposeResult
			// The same proposal said again counts once: an answer that was lost does no harm.
			err := t.lines[s.Name].Call("propose", p, &told, crewCall)
			if errors.Is(err, peerrpc.ErrRefused) {
				return err
			}
			if err != nil || told.Number == 0 {
				continue
			}
			if number = told.Number; !asJSON {
				fmt.Fprintf(o, "version %d (%v) is proposed\n", number, p.Doc.Hash())
			}
			continue
		}
		r := s.Ledger.Find(p.ID)
		if r == nil || r.State != cluster.Active && r.State != cluster.Refused {
			continue
		}
		took := time.Since(began).Round(time.Millisecond)
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
