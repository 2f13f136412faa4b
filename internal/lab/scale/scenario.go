// Package scale runs a cluster at the size that operators expect, on one machine, and prints each measurement with its limit. The voters
// and a few sidecars under load are real processes; emulated members (internal/lab/emulated) take the place of all other sidecars. During
// the run versions are proposed, and machines, racks, zones and the network between regions fail.
//
// NewPlan and Evaluate are pure functions. Run starts the processes, carries out the plan and records observations; Evaluate turns these
// into the record of the run.
package scale

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"heathgap/internal/clusterparams"
	"heathgap/internal/lab/emulated"
	"heathgap/internal/tomlread"
)

// Scenario describes a cluster, what happens to it, and what it may cost.
type Scenario struct {
	Name  string
	About string
	Seed  uint64

	Voters      int     // real voters
	Real        int     // real sidecars that are members and not voters, under load
	Rate        float64 // requests per second to each of those
	Plain       int     // real sidecars under the same load without a cluster; what they use is subtracted from what the members use
	Emulated    int     // emulated members
	EachProcess int     // emulated members per process

	Regions     []Region
	RegionDelay time.Duration // in one direction, between two regions
	VoterZones  []string      // the voters are spread over these zones in turn; empty for all zones
	MemberZones []string      // the same for the other members

	Lease            time.Duration
	Drift            float64
	Slack            time.Duration
	ContradictAtMost time.Duration
	Copies           int // replication factor of the holdings; 0 for no holdings
	Keep             time.Duration
	LostAfter        time.Duration
	KeyedRate        float64       // keyed requests per second of each member
	KeyedDuration    time.Duration // from the claim of a keyed request to its outcome

	Duration time.Duration
	Changes  float64       // versions proposed per second
	Banned   int           // endpoints that each version bans
	SpeedUp  float64       // factor on the rate of the day's failures
	Day      Day           // failures in 24 hours
	MaxLag   time.Duration // if the lab itself is later than this, the run is void

	Steps  []Step
	Faults []InjectedFault
	Limits Limits
}

// Region is a region with its zones.
type Region struct {
	Name  string
	Zones []string
}

// Day is the number of failures on an ordinary day. They are spread over the run, SpeedUp times as frequent.
type Day struct {
	Restarts int           // members that leave gracefully and come back
	Lost     int           // members that are killed and do not come back
	Downtime time.Duration // after a restart
}

// Step is an event of the scenario. Most fields have a meaning for some kinds only.
type Step struct {
	At     time.Duration
	Kind   string
	Target string  // Restart, Kill: a group of members; Rack, Zone: a zone; Slow: a voter, or "leader"
	Share  float64 // of the group or zone; 0 if Count is set
	Count  int     // of members; Burst: of versions
	// Duration is the time over which restarts are spread (Restart), until the members of a zone come back (Zone), until the leader comes
	// back, 0 for never (Leader), or for which the fault lasts (Partition, Slow).
	Duration   time.Duration
	Downtime   time.Duration // until each member comes back; 0 means never (Restart: at once)
	Killed     bool          // Restart: by SIGKILL instead of a graceful leave
	KillLeader bool          // Rack: the leader is killed at the same moment
	Delay      time.Duration // Slow: of the voter's answers
	Between    [2]string     // Partition: the two regions
}

// The kinds of steps.
const (
	Restart   = "restart" // members leave and come back, spread over Duration
	Kill      = "kill"    // members are killed at the same moment
	Rack      = "rack"    // a number of members in one zone are killed at the same moment
	Zone      = "zone"    // all members and voters of a zone are killed at the same moment, and come back together
	Partition = "cut"     // nothing passes between two regions
	Slow      = "slow"    // a voter's answers are delayed
	Leader    = "leader"  // the leader is killed; also the target of Slow that means the leader
	Burst     = "burst"   // versions are proposed, each as soon as the one before has ended
)

var stepKinds = []string{Restart, Kill, Rack, Zone, Partition, Slow, Leader, Burst}

// The groups that a restart or a kill may be aimed at.
const (
	Members         = "members" // all members that are not voters
	EmulatedMembers = "hollow"
	RealMembers     = "real"
	VoterGroup      = "keepers" // the voters; restarts only
	All             = "all"     // members and voters; restarts only
)

// InjectedFault makes an emulated member faulty, to show that a check catches the fault.
type InjectedFault struct {
	Member string
	Fault  emulated.Fault
}

// Limits are the limits of the measurements. A limit of 0 means none.
type Limits struct {
	InEffect    time.Duration // from a proposal until the version is in effect at the last reachable member
	MemberCPU   float64       // percent of a core that the cluster costs a member; both the mean of all and the worst 10 s
	MemberMB    float64
	MemberBytes float64 // bytes per second, in and out; both the mean of all and the worst 10 s of any member
	VoterCPU    float64 // percent of a core, worst 10 s of any voter
	VoterMB     float64
	Cautious    time.Duration // uninterrupted time for which a reachable member is cautious (without a lease)
	Refusals    float64       // percent of keyed requests that are refused
	// Rates of renewals, as a fraction of one per heartbeat of the lease. The load of a voter follows from these.
	MinRenewals float64 // of the mean
	MaxRenewals float64 // of any member
	// The limits below do not depend on how busy the machine is.
	AboveMedian  float64 // renewals of any member, as a multiple of the median of all members
	RenewalBytes float64 // bytes to and from voters per renewal, of any member
}

// Bounds of a scenario.
const (
	maxReal     = 40
	maxEmulated = 2000
	maxZones    = 16
	maxSteps    = 64
	maxDuration = 30 * time.Minute
	maxCount    = 100_000
)

// Load reads a scenario from a file. The error lists everything that is wrong, one fault per line.
func Load(path string) (*Scenario, error) {
	doc, err := tomlread.Load(path)
	if err != nil {
		return nil, err
	}
	return decode(doc)
}

// Parse reads a scenario from a text; file is the name for errors.
func Parse(file string, text []byte) (*Scenario, error) {
	doc, err := tomlread.Parse(file, text)
	if err != nil {
		return nil, err
	}
	return decode(doc)
}

// decode turns a parsed file into a scenario, and collects all errors.
func decode(doc *tomlread.Doc) (*Scenario, error) {
	t := doc.Root
	t.Require("name", "a text")
	s := &Scenario{
		Name: t.Text("name", "scale"), About: t.Text("about", ""), Seed: uint64(t.Int("seed", 1, 0, 1<<31)),
		Voters: t.Int("keepers", 3, 1, clusterparams.MaxVoters), Real: t.Int("real", 0, 0, maxReal), Rate: t.Float("rate", 10, 0, 1000),
		Plain: t.Int("plain", 0, 0, maxReal), Emulated: t.Int("hollow", 60, 0, maxEmulated), EachProcess: t.Int("each_process", 50, 1, 500),
		RegionDelay: t.Duration("region_delay", 0, 0, time.Second),
		VoterZones:  t.Texts("keeper_zones"), MemberZones: t.Texts("member_zones"),
		Lease: t.Duration("lease", 2*time.Second, clusterparams.MinLease, clusterparams.MaxLease), Drift: t.Float("drift", 0.01, 0, clusterparams.MaxDrift),
		Slack:            t.Duration("slack", 200*time.Millisecond, 0, 10*time.Second),
		ContradictAtMost: t.Duration("contradict_at_most", 2500*time.Millisecond, 200*time.Millisecond, 5*time.Minute),
		Copies:           t.Int("copies", 0, 0, clusterparams.MaxCopies), Keep: t.Duration("keep", 10*time.Minute, clusterparams.MinKeep, clusterparams.MaxKeep),
		LostAfter: t.Duration("lost_after", 30*time.Second, clusterparams.MinLostAfter, clusterparams.MaxLostAfter),
		KeyedRate: t.Float("orders", 0, 0, 100), KeyedDuration: t.Duration("order_takes", 20*time.Millisecond, 0, 10*time.Second),
		Duration: t.Duration("duration", 20*time.Second, time.Second, maxDuration),
		Changes:  t.Float("changes", 0, 0, 100), Banned: t.Int("banned", 4, 0, 1000), SpeedUp: t.Float("speed_up", 1, 0, 100_000),
		MaxLag: t.Duration("most_lag", 250*time.Millisecond, time.Millisecond, 10*time.Second),
	}
	day := t.Table("day")
	s.Day = Day{
		Restarts: day.Int("restarts", 0, 0, maxCount), Lost: day.Int("lost", 0, 0, maxCount),
		Downtime: day.Duration("away", time.Second, 0, maxDuration),
	}
	s.decodeRegions(t)
	s.decodeSteps(t)
	for _, p := range t.Tables("planted", maxEmulated) {
		p.Require("who", "a hollow member, such as h1")
		p.Require("fault", "unheeding, hasty, forgetful")
		fault := InjectedFault{
			Member: p.Text("who", "h1"),
			Fault:  emulated.Fault(p.Enum("fault", string(emulated.IgnoresVersions), string(emulated.IgnoresVersions), string(emulated.RenewsTooOften), string(emulated.LosesState))),
		}
		if p.Has("who") && !slices.Contains(s.emulatedNames(), fault.Member) {
			p.Fail("who", fmt.Sprintf("%q", fault.Member), fmt.Sprintf("a hollow member, h1 to h%d", s.Emulated))
		}
		s.Faults = append(s.Faults, fault)
	}
	l := t.Table("limits")
	s.Limits = Limits{
		InEffect: l.Duration("in_force", 0, 0, time.Hour), MemberCPU: l.Float("member_cpu", 0, 0, 100), MemberMB: l.Float("member_mb", 0, 0, 4096),
		MemberBytes: l.Float("member_bytes", 0, 0, 1e9), VoterCPU: l.Float("keeper_cpu", 0, 0, 1600), VoterMB: l.Float("keeper_mb", 0, 0, 8192),
		Cautious: l.Duration("cautious", 0, 0, time.Hour), Refusals: l.Float("refusals", 0, 0, 100),
		MinRenewals: l.Float("least_renewals", 0, 0, 1), MaxRenewals: l.Float("most_renewals", 0, 0, 100),
		AboveMedian: l.Float("above_median", 0, 0, 100), RenewalBytes: l.Float("renewal_bytes", 0, 0, 1e9),
	}
	s.checkParams(t)
	return s, doc.Err()
}

// checkParams reports more copies than zones (each copy needs a zone of its own), a contradict_at_most that sidecars reject, keyed requests
// without holdings, and more members than a cluster may have.
func (s *Scenario) checkParams(t *tomlread.Table) {
	if s.Copies > len(s.zones()) {
		t.Fail("copies", fmt.Sprint(s.Copies), fmt.Sprintf("as many as there are zones, %d", len(s.zones())))
	}
	if least := s.params().LessorWait(); s.ContradictAtMost < least {
		t.Fail("contradict_at_most", s.ContradictAtMost.String(),
			fmt.Sprintf("lease x (1 + drift) / (1 - drift) + slack, %v, or more", least.Round(time.Millisecond)))
	}
	if s.KeyedRate > 0 && s.Copies == 0 {
		t.Fail("orders", fmt.Sprint(s.KeyedRate), "0, or copies of 1 or more")
	}
	if all := s.Voters + s.Real + s.Emulated; all > clusterparams.MaxMembers {
		t.Fail("hollow", fmt.Sprintf("%d processes of the crew", all), fmt.Sprintf("up to %d", clusterparams.MaxMembers))
	}
}

// params returns the cluster parameters that decide how long a lease is valid.
func (s *Scenario) params() clusterparams.Params {
	return clusterparams.Params{Lease: s.Lease, Drift: s.Drift, Slack: s.Slack}
}

// decodeRegions reads the regions and their zones. Without any there is one region with three zones.
func (s *Scenario) decodeRegions(t *tomlread.Table) {
	owner := map[string]string{}
	for _, r := range t.Tables("region", maxZones) {
		r.Require("name", "a text")
		r.Require("zones", "an array of texts")
		region := Region{Name: r.Text("name", ""), Zones: r.Texts("zones")}
		if slices.ContainsFunc(s.Regions, func(other Region) bool { return other.Name == region.Name }) {
			r.Fail("name", fmt.Sprintf("%q a second time", region.Name), "each name once")
		}
		if r.Has("zones") && (len(region.Zones) == 0 || len(region.Zones) > maxZones) {
			r.Fail("zones", fmt.Sprintf("%d zones", len(region.Zones)), fmt.Sprintf("1 to %d", maxZones))
		}
		for _, z := range region.Zones {
			if _, taken := owner[z]; taken {
				r.Fail("zones", fmt.Sprintf("%q a second time", z), "each zone in one region")
			}
			owner[z] = region.Name
		}
		s.Regions = append(s.Regions, region)
	}
	if len(s.Regions) == 0 {
		s.Regions = []Region{{Name: "one", Zones: []string{"a", "b", "c"}}}
	}
	for key, zones := range map[string]*[]string{"keeper_zones": &s.VoterZones, "member_zones": &s.MemberZones} {
		for _, z := range *zones {
			if !slices.Contains(s.zones(), z) {
				t.Fail(key, fmt.Sprintf("%q", z), "zones of the regions: "+strings.Join(s.zones(), ", "))
			}
		}
		if len(*zones) == 0 {
			*zones = s.zones()
		}
	}
}

// decodeSteps reads the steps.
func (s *Scenario) decodeSteps(t *tomlread.Table) {
	for _, d := range t.Tables("step", maxSteps) {
		d.Require("do", strings.Join(stepKinds, ", "))
		step := Step{
			At: d.Duration("at", 0, 0, maxDuration), Kind: d.Enum("do", Burst, stepKinds...), Target: d.Text("who", ""),
			Share: d.Float("share", 0, 0, 1), Count: d.Int("count", 0, 0, maxCount), Duration: d.Duration("for", 0, 0, maxDuration),
			Downtime: d.Duration("away", 0, 0, maxDuration), Killed: d.Bool("killed", false), KillLeader: d.Bool("leader", false),
			Delay: d.Duration("by", 200*time.Millisecond, time.Millisecond, 10*time.Second),
		}
		if step.At+step.Duration > s.Duration {
			d.Fail("at", (step.At+step.Duration).String()+" (at plus for)", "a time up to duration")
		}
		s.checkStep(d, &step)
		s.Steps = append(s.Steps, step)
	}
}

// checkStep fills in defaults of a step, and reports what is wrong with it.
func (s *Scenario) checkStep(d *tomlread.Table, step *Step) {
	names := make([]string, len(s.Regions))
	for i, r := range s.Regions {
		names[i] = r.Name
	}
	between := d.Texts("between")
	checkTarget := func(fallback string, allowed ...string) {
		if step.Target == "" {
			step.Target = fallback
		}
		if !slices.Contains(allowed, step.Target) {
			d.Fail("who", fmt.Sprintf("%q", step.Target), strings.Join(allowed, ", "))
		}
	}
	checkCount := func() {
		if (step.Share > 0) == (step.Count > 0) {
			d.Fail("count", fmt.Sprintf("count %d and share %v", step.Count, step.Share), "one of the two, above 0")
		}
	}
	switch step.Kind {
	case Restart:
		checkCount()
		checkTarget(Members, Members, EmulatedMembers, RealMembers, VoterGroup, All)
	case Kill:
		checkCount()
		checkTarget(Members, Members, EmulatedMembers, RealMembers)
	case Rack:
		checkCount()
		checkTarget("", s.zones()...)
	case Zone:
		checkTarget("", s.zones()...)
	case Partition:
		if len(between) == 0 && len(names) == 2 {
			between = names
		}
		if len(between) != 2 || between[0] == between[1] || !slices.Contains(names, between[0]) || !slices.Contains(names, between[1]) {
			d.Fail("between", fmt.Sprintf("%q", between), "two of the regions "+strings.Join(names, ", "))
		} else {
			step.Between = [2]string{between[0], between[1]}
		}
		if step.Duration == 0 {
			d.Fail("for", "0s", "a time above 0")
		}
	case Slow:
		checkTarget("leader", append([]string{"leader"}, s.voterNames()...)...)
		if step.Duration == 0 {
			d.Fail("for", "0s", "a time above 0")
		}
	case Burst:
		if step.Count == 0 {
			d.Fail("count", "0", fmt.Sprintf("1 to %d", maxCount))
		}
	}
}

// zones returns the zones of all regions.
func (s *Scenario) zones() (zones []string) {
	for _, r := range s.Regions {
		zones = append(zones, r.Zones...)
	}
	return zones
}

// regionOf returns the region of a zone.
func (s *Scenario) regionOf(zone string) string {
	for _, r := range s.Regions {
		if slices.Contains(r.Zones, zone) {
			return r.Name
		}
	}
	return ""
}

// numberedNames returns n names: the letter with numbers from 1.
func numberedNames(letter string, n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("%s%d", letter, i+1)
	}
	return names
}

func (s *Scenario) voterNames() []string    { return numberedNames("k", s.Voters) }
func (s *Scenario) realNames() []string     { return numberedNames("m", s.Real) }
func (s *Scenario) emulatedNames() []string { return numberedNames("h", s.Emulated) }
func (s *Scenario) plainNames() []string    { return numberedNames("p", s.Plain) }

// Size returns the number of members of the cluster, voters included. Plain sidecars are not members.
func (s *Scenario) Size() int { return s.Voters + s.Real + s.Emulated }

// WithSize returns a copy of the scenario with that many members, by more or fewer emulated ones, and without limits. The counts of its
// steps stay; where there are fewer members than a count, the step affects all of them.
func (s *Scenario) WithSize(size int) (*Scenario, error) {
	out := *s
	if out.Emulated = size - s.Voters - s.Real; out.Emulated < 1 || out.Emulated > maxEmulated {
		return nil, fmt.Errorf("%d sidecars, of which %d are real; allowed: %d to %d", size, s.Voters+s.Real,
			s.Voters+s.Real+1, s.Voters+s.Real+maxEmulated)
	}
	out.Limits = Limits{}
	return &out, nil
}
