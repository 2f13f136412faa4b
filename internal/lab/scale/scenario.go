// Package scale plays a crew at the size that operators expect, and tells which of their limits hold: real keepers, a few real
// sidecars under load, and hollow members (internal/lab/emulated) in place of all others, while versions are proposed and machines,
// racks, zones and the ways between regions fail.
//
// Scenario, plan and judge are pure. Run starts the processes, plays the plan and writes down what was seen; Judge makes the
// record of that.
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

// Scenario is a crew, what happens to it, and what it may cost.
type Scenario struct {
	Name  string
	About string
	Seed  uint64

	Voters      int     // real keepers
	Real        int     // real sidecars that are members alone, under load
	Rate        float64 // requests a second to each of those
	Plain       int     // real sidecars under the same load without a crew: what they cost is taken off what the others cost
	Emulated    int     // hollow members
	EachProcess int     // hollow members a process

	Regions     []Region
	RegionDelay time.Duration // one way, between two regions
	VoterZones  []string      // where keepers stand, in turn; empty for all zones
	MemberZones []string      // likewise

	Lease            time.Duration
	Drift            float64
	Slack            time.Duration
	ContradictAtMost time.Duration
	Copies           int // of what is held; 0 for no holdings
	Keep             time.Duration
	LostAfter        time.Duration
	KeyedRate        float64       // keyed requests a second and member
	KeyedDuration    time.Duration // from its claim to its outcome

	Duration time.Duration
	Changes  float64       // versions proposed a second
	Banned   int           // endpoints that a version bans
	SpeedUp  float64       // of the day's failures
	Day      Day           // failures in 24 hours
	MaxLag   time.Duration // of the run's own load; a run beyond it is void

	Steps  []Step
	Faults []InjectedFault
	Limits Limits
}

// Region is a name and its zones.
type Region struct {
	Name  string
	Zones []string
}

// Day is what an ordinary day brings: SpeedUp times as fast it is spread over the run.
type Day struct {
	Restarts int           // members that leave in order and come back
	Lost     int           // members that are killed and do not come back
	Downtime time.Duration // of a restart
}

// Step is one thing that happens.
type Step struct {
	At         time.Duration
	Kind       string
	Target     string        // of whom: see Doings
	Share      float64       // of them; 0 where Count says
	Count      int           // of them, or of proposals
	Duration   time.Duration // spread over it; of a cut or a slow keeper: its end
	Downtime   time.Duration // until each comes back; 0 for never (restart: at once)
	Killed     bool          // restart: by a kill, not in order
	KillLeader bool          // rack: the leader is killed in the same moment
	Delay      time.Duration // slow
	Between    [2]string     // cut
}

// The doings of a step.
const (
	Restart   = "restart" // members leave and come back, spread over For
	Kill      = "kill"    // members are gone in one moment
	Rack      = "rack"    // so many members of the zone Who are gone in one moment
	Zone      = "zone"    // all of the zone Who are gone in one moment, keepers too, and back at once
	Partition = "cut"     // nothing goes between two regions
	Slow      = "slow"    // a keeper's answers are late
	Leader    = "leader"  // the leader is killed
	Burst     = "burst"   // so many versions are proposed, each as soon as the one before has ended
)

var stepKinds = []string{Restart, Kill, Rack, Zone, Partition, Slow, Leader, Burst}

// The groups that a restart or a kill may be of.
const (
	Members         = "members" // all that are members alone
	EmulatedMembers = "hollow"
	RealMembers     = "real"
	VoterGroup      = "keepers" // one at a time
	All             = "all"     // members and keepers
)

// InjectedFault is a hollow member with a fault, so that a check can be seen to catch it.
type InjectedFault struct {
	Member string
	Fault  emulated.Fault
}

// Limits are what the run is held to. A limit of 0 is none.
type Limits struct {
	InEffect    time.Duration // from a proposal that is told until the last member that can be reached acts on it
	MemberCPU   float64       // percent of a core for control, mean of all and worst 10 s
	MemberMB    float64
	MemberBytes float64 // a second, in and out, mean of all and the worst 10 s of any
	VoterCPU    float64 // percent of a core, worst 10 s of any keeper
	VoterMB     float64
	Cautious    time.Duration // that a member which can be reached is cautious without a break
	Refusals    float64       // percent of keyed requests that are refused
	// Renewals are judged by their rate, as parts of one for each beat of the lease: what a keeper bears rests on it.
	MinRenewals float64 // of the mean
	MaxRenewals float64 // of any member
	// What follows does not depend on how busy the machine is.
	AboveMedian  float64 // renewals of any member, as parts of the median of all
	RenewalBytes float64 // to and from keepers for each renewal, of any member
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

// Load reads a scenario. The error tells all that is wrong, a line each.
func Load(path string) (*Scenario, error) {
	doc, err := tomlread.Load(path)
	if err != nil {
		return nil, err
	}
	return decode(doc)
}

// Parse reads one from a text; the name is for errors.
func Parse(file string, text []byte) (*Scenario, error) {
	doc, err := tomlread.Parse(file, text)
	if err != nil {
		return nil, err
	}
	return decode(doc)
}

func decode(doc *tomlread.Doc) (*Scenario, error) {
	t := doc.Root
	t.Need("name", "a text")
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
		p.Need("who", "a hollow member, such as h1")
		p.Need("fault", "unheeding, hasty, forgetful")
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

// checkParams tells of terms that no crew could be started with.
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

// params are those that the processes are started with.
func (s *Scenario) params() clusterparams.Params {
	return clusterparams.Params{Lease: s.Lease, Drift: s.Drift, Slack: s.Slack}
}

func (s *Scenario) decodeRegions(t *tomlread.Table) {
	owner := map[string]string{}
	for _, r := range t.Tables("region", maxZones) {
		r.Need("name", "a text")
		r.Need("zones", "an array of texts")
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

func (s *Scenario) decodeSteps(t *tomlread.Table) {
	for _, d := range t.Tables("step", maxSteps) {
		d.Need("do", strings.Join(stepKinds, ", "))
		step := Step{
			At: d.Duration("at", 0, 0, maxDuration), Kind: d.Enum("do", Burst, stepKinds...), Target: d.Text("who", ""),
			Share: d.Float("share", 0, 0, 1), Count: d.Int("count", 0, 0, maxCount), Duration: d.Duration("for", 0, 0, maxDuration),
			Downtime: d.Duration("away", 0, 0, maxDuration), Killed: d.Bool("killed", false), KillLeader: d.Bool("leader", false),
			Delay: d.Duration("by", 200*time.Millisecond, time.Millisecond, 10*time.Second),
		}
		if step.At+step.Duration > s.Duration {
			d.Fail("at", (step.At+step.Duration).String()+" with what stands under for", "a time up to duration")
		}
		s.checkStep(d, &step)
		s.Steps = append(s.Steps, step)
	}
}

// checkStep completes a step, and tells what is wrong with it.
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

// zones are those of all regions.
func (s *Scenario) zones() (zones []string) {
	for _, r := range s.Regions {
		zones = append(zones, r.Zones...)
	}
	return zones
}

// regionOf is that of a zone.
func (s *Scenario) regionOf(zone string) string {
	for _, r := range s.Regions {
		if slices.Contains(r.Zones, zone) {
			return r.Name
		}
	}
	return ""
}

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

// Size is how many sidecars the crew has, keepers too.
func (s *Scenario) Size() int { return s.Voters + s.Real + s.Emulated }

// WithSize returns the scenario with so many sidecars, by more or fewer hollow ones, and without limits. Counts of steps stay, and
// are of fewer where there are no more.
func (s *Scenario) WithSize(size int) (*Scenario, error) {
	out := *s
	if out.Emulated = size - s.Voters - s.Real; out.Emulated < 1 || out.Emulated > maxEmulated {
		return nil, fmt.Errorf("%d sidecars, of which %d are real; allowed: %d to %d", size, s.Voters+s.Real,
			s.Voters+s.Real+1, s.Voters+s.Real+maxEmulated)
	}
	out.Limits = Limits{}
	return &out, nil
}
