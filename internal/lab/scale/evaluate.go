package scale

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"heathgap/internal/cluster"
	"heathgap/internal/lab/emulated"
)

// Observations holds everything that was recorded during a run. Evaluate uses nothing else. All times are readings of CLOCK_BOOTTIME, which
// is the same in all processes of a machine.
type Observations struct {
	Plan         *Plan
	Began, Ended time.Duration                     // the measured time: it begins once all members hold a lease
	States       map[string][]emulated.MemberState // by member, in order of time
	Downtimes    map[string][]Span                 // by member: when it did not run
	Partitions   []PartitionSpan
	Versions     []ProposedVersion
	Unproposed   int // versions that were due and had not been proposed by the end
	Leaders      []Leadership
	Samples      map[string][]emulated.Usage // by process of emulated members, in order of time
	Usage        map[string][]Usage          // by voter, real sidecar and plain sidecar, in order of time
	MaxLag       map[string]time.Duration    // by part of the lab: the most by which its own timers were late
	Requests     int                         // requests of the load on real and plain sidecars
	Served       int                         // of Requests, those answered with status 200
	Broken       []string                    // failures of the run itself, such as a process that ended by itself
	Partial      bool                        // the run was interrupted
}

// Span is the time from From up to, but not including, To.
type Span struct{ From, To time.Duration }

// contains reports whether t is within the span.
func (s Span) contains(t time.Duration) bool { return t >= s.From && t < s.To }

// PartitionSpan is the time in which two regions could not reach each other.
type PartitionSpan struct {
	Span
	Between [2]string // the two regions
}

// ProposedVersion is a version that the leader accepted as a proposal.
type ProposedVersion struct {
	Number   uint64
	Due      time.Duration // when the plan had it proposed
	Proposed time.Duration // when the leader answered that it is proposed
	Refused  string        // the reason why members refused it; empty if they did not
}

// Leadership records that a voter became the leader, or that the leader was lost (Name is empty).
type Leadership struct {
	At   time.Duration
	Name string
	Term uint64
}

// Usage is the resources that a process has used since its start.
type Usage struct {
	At          time.Duration // when this was read
	Start       int           // number of the start, from 1; the counts begin anew with each
	CPU         time.Duration
	MB          float64 // the largest resident memory so far
	Read, Write int64   // bytes of read and write calls: sockets, files and log
	DiskRead    int64   // bytes read from the disk
	DiskWrite   int64   // bytes written to the disk
	Descriptors int
}

// worstWindow is the length of the window behind every measurement that is called "worst 10 s".
const worstWindow = 10 * time.Second

// Record is the result of a run.
type Record struct {
	Version      int           `json:"version"` // version of this format
	Scenario     string        `json:"scenario"`
	About        string        `json:"about,omitempty"`
	Seed         uint64        `json:"seed"`
	Size         int           `json:"sidecars"` // all members of the cluster, voters included
	Voters       int           `json:"keepers"`  // real voters
	Real         int           `json:"real"`     // real members that are not voters
	Emulated     int           `json:"hollow"`   // emulated members
	Seconds      float64       `json:"seconds"`  // length of the measured time
	Machine      Machine       `json:"machine"`
	Void         []string      `json:"void,omitempty"`    // the reasons why the run does not count
	Partial      bool          `json:"partial,omitempty"` // the run was interrupted
	Broken       []string      `json:"broken,omitempty"`  // failures of the run itself
	Measurements []Measurement `json:"figures"`

	Versions []VersionRecord `json:"versions,omitempty"`
	Leaders  []LeaderRecord  `json:"leaders,omitempty"`
	Costs    []Cost          `json:"costs,omitempty"` // of each real process
	Steps    []string        `json:"steps,omitempty"` // the steps as they were carried out
	Series   []Second        `json:"series,omitempty"`
	OwnLag   []string        `json:"late,omitempty"` // the most by which each part of the lab was late
}

// Machine describes the machine of the run.
type Machine struct {
	Cores      int    `json:"cores"`
	MemoryMB   int    `json:"memory_mb"`
	Go         string `json:"go"`
	LoadBefore string `json:"load_average_before"` // over 1, 5 and 15 minutes, before the run
	LoadAfter  string `json:"load_average_after"`  // the same after the run
}

// Measurement is a measured value with its limit.
type Measurement struct {
	Key         string  `json:"key"`
	Description string  `json:"what"`
	Unit        string  `json:"unit,omitempty"`
	Value       float64 `json:"value"`
	// Limit is nil where none is set. IsMinimum says that the value must not be below Limit; otherwise it must not be above.
	Limit       *float64 `json:"limit,omitempty"`
	IsMinimum   bool     `json:"least,omitempty"`
	Violated    bool     `json:"limit_violated,omitempty"` // the value is beyond its limit, or has a limit and was not measured
	NotMeasured bool     `json:"not_measured,omitempty"`
	Source      string   `json:"who,omitempty"` // the member or process with the worst value; for refused versions the reason
}

// VersionRecord describes how one version came into effect. Only members that could be reached count.
type VersionRecord struct {
	Number     uint64   `json:"number"`
	At         float64  `json:"at_s"`              // when it was proposed, in seconds from the beginning of the measured time
	WaitedMS   float64  `json:"waited_ms"`         // from when it was due until it was proposed
	InEffectMS float64  `json:"in_force_ms"`       // from when it was proposed until it was in effect at the last member
	Last       string   `json:"last,omitempty"`    // that last member
	Never      []string `json:"never,omitempty"`   // members that could be reached and where it did not come into effect
	Refused    string   `json:"refused,omitempty"` // the reason why it was refused
}

// LeaderRecord says who led from a time on.
type LeaderRecord struct {
	At   float64 `json:"at_s"` // in seconds from the beginning of the measured time
	Name string  `json:"name"` // empty if no voter led
	Term uint64  `json:"term,omitempty"`
}

// Cost is the resources that one real process used during the run.
type Cost struct {
	Name string `json:"name"`
	// percent of a core
	CPUMean     float64 `json:"cpu_percent_mean"`
	CPUWorst    float64 `json:"cpu_percent_worst_10s"`
	MB          float64 `json:"mb"` // the largest resident memory
	ReadKBs     float64 `json:"read_kb_s"`
	WriteKBs    float64 `json:"write_kb_s"`
	DiskKBs     float64 `json:"disk_write_kb_s"`
	Descriptors int     `json:"descriptors"`
}

// Second is the state of the cluster at one second of the run. Each member is counted once at most.
type Second struct {
	Cautious    int     `json:"cautious"` // members that are reachable and cautious
	Partitioned int     `json:"cut_off"`  // members that run and cannot reach a majority of the voters
	Down        int     `json:"down"`     // members that do not run
	Behind      int     `json:"behind"`   // members that are reachable and apply an older version than some other member
	LeaderCPU   float64 `json:"leader_cpu_percent"`
}

// Passed reports whether the run counts (it is not void), was not interrupted, had no failure of its own, and violated no limit.
func (r *Record) Passed() bool {
	return len(r.Void) == 0 && !r.Partial && len(r.Broken) == 0 && !slices.ContainsFunc(r.Measurements, func(f Measurement) bool { return f.Violated })
}

// Measurement returns the measurement with the given key. If there is none, the result has NotMeasured set.
func (r *Record) Measurement(key string) Measurement {
	for _, f := range r.Measurements {
		if f.Key == key {
			return f
		}
	}
	return Measurement{Key: key, NotMeasured: true}
}

// Evaluate turns the observations of a run into its record. It is a pure function.
func Evaluate(o *Observations) *Record {
	s := o.Plan.Scenario
	e := &evaluation{obs: o, scenario: s, intervals: map[string][]interval{}, rec: &Record{
		Version: 1, Scenario: s.Name, About: s.About, Seed: o.Plan.Seed, Size: s.Size(), Voters: s.Voters, Real: s.Real, Emulated: s.Emulated,
		Seconds: (o.Ended - o.Began).Seconds(), Broken: slices.Clone(o.Broken), Partial: o.Partial,
	}}
	for name := range o.Plan.Locations {
		e.intervals[name] = e.memberIntervals(name)
	}
	e.checkOwnLag()
	e.evaluateVersions()
	e.evaluateContradictions()
	e.evaluateCautious()
	e.evaluateEmulated()
	e.evaluateVoters()
	e.evaluateLeaders()
	e.evaluateSeries()
	return e.rec
}

// evaluation is the state of one call of Evaluate.
type evaluation struct {
	obs       *Observations
	scenario  *Scenario
	rec       *Record
	intervals map[string][]interval // by name, for all members of the cluster
}

// interval is a time in which nothing changes for a member.
type interval struct {
	Span
	// partitioned: the member cannot reach a majority of the voters
	down, partitioned bool
	cautious          bool
	// active is the version in effect; next is the version being prepared, 0 for none. Without a lease (cautious) the member allows only
	// what every possible version allows.
	active uint64
	next   uint64
}

// reachable reports whether the member runs and can reach a majority of the voters.
func (iv *interval) reachable() bool { return !iv.down && !iv.partitioned }

// hasInEffect reports whether the member is reachable and applies version number or a later one.
func (iv *interval) hasInEffect(number uint64) bool {
	return iv.reachable() && !iv.cautious && iv.active >= number
}

// actsOnOlder reports whether the member runs and applies a version older than number, whether or not it is reachable.
func (iv *interval) actsOnOlder(number uint64) bool {
	return !iv.down && !iv.cautious && iv.active < number
}

// memberIntervals splits the measured time into the intervals of one member.
func (e *evaluation) memberIntervals(name string) []interval {
	o := e.obs
	region := o.Plan.Locations[name].Region
	times := []time.Duration{o.Began, o.Ended}
	for _, s := range o.States[name] {
		times = append(times, s.At)
	}
	for _, d := range o.Downtimes[name] {
		times = append(times, d.From, d.To)
	}
	for _, c := range o.Partitions {
		times = append(times, c.From, c.To)
	}
	slices.Sort(times)
	times = slices.Compact(times)
	var out []interval
	next := 0
	last := emulated.MemberState{Cautious: true}
	for i, from := range times {
		for ; next < len(o.States[name]) && o.States[name][next].At <= from; next++ {
			last = o.States[name][next]
		}
		for _, d := range o.Downtimes[name] {
			if d.To == from && last.At < from { // a new process has no lease
				last = emulated.MemberState{At: from, Cautious: true, Active: last.Active}
			}
		}
		if from < o.Began || from >= o.Ended || i+1 == len(times) {
			continue
		}
		iv := interval{Span: Span{from, times[i+1]}, cautious: last.Cautious, active: last.Active, next: last.Next, partitioned: e.isPartitioned(region, from)}
		iv.down = last.Gone || slices.ContainsFunc(o.Downtimes[name], func(d Span) bool { return d.contains(from) })
		out = append(out, iv)
	}
	return out
}

// isPartitioned reports whether a process in region cannot reach a majority of the voters at that time.
func (e *evaluation) isPartitioned(region string, at time.Duration) bool {
	cutRegions := map[string]bool{}
	for _, c := range e.obs.Partitions {
		switch {
		case !c.contains(at):
		case c.Between[0] == region:
			cutRegions[c.Between[1]] = true
		case c.Between[1] == region:
			cutRegions[c.Between[0]] = true
		}
	}
	if len(cutRegions) == 0 {
		return false
	}
	reached := 0
	for _, name := range e.scenario.voterNames() {
		if !cutRegions[e.obs.Plan.Locations[name].Region] {
			reached++
		}
	}
	return reached <= e.scenario.Voters/2
}

// secondsSinceBegin returns t as seconds from the beginning of the measured time.
func (e *evaluation) secondsSinceBegin(t time.Duration) float64 { return (t - e.obs.Began).Seconds() }

// addWithMax records a measurement that must not be above limit. A limit of 0 means none.
func (e *evaluation) addWithMax(key, description, unit string, value, limit float64, source string) {
	e.addMeasurement(Measurement{Key: key, Description: description, Unit: unit, Value: value, Source: source}, limit)
}

// addWithMin records a measurement that must not be below limit. A limit of 0 means none.
func (e *evaluation) addWithMin(key, description, unit string, value, limit float64, source string) {
	e.addMeasurement(Measurement{Key: key, Description: description, Unit: unit, Value: value, IsMinimum: true, Source: source}, limit)
}

// addMeasurement records m and compares it with limit. A value that is not finite counts as not measured.
func (e *evaluation) addMeasurement(m Measurement, limit float64) {
	if m.NotMeasured = math.IsNaN(m.Value) || math.IsInf(m.Value, 0); m.NotMeasured {
		m.Value = 0
	}
	if limit > 0 {
		m.Limit = &limit
		m.Violated = m.NotMeasured || m.Value > limit && !m.IsMinimum || m.Value < limit && m.IsMinimum
	}
	e.rec.Measurements = append(e.rec.Measurements, m)
}

// addMustBeZero records a count that must be 0.
func (e *evaluation) addMustBeZero(key, description string, value int, source string) {
	zero := 0.0
	e.rec.Measurements = append(e.rec.Measurements, Measurement{Key: key, Description: description, Value: float64(value), Limit: &zero, Violated: value > 0, Source: source})
}

// checkOwnLag records by how much the lab itself was late, and makes the run void if that is more than the scenario allows.
func (e *evaluation) checkOwnLag() {
	for _, source := range slices.Sorted(maps.Keys(e.obs.MaxLag)) {
		lag := e.obs.MaxLag[source]
		e.rec.OwnLag = append(e.rec.OwnLag, fmt.Sprintf("%s: %v", source, lag.Round(time.Millisecond/10)))
		if lag > e.scenario.MaxLag {
			e.rec.Void = append(e.rec.Void, fmt.Sprintf("%s was late by %v; allowed: %v (most_lag). The machine is too busy, or the run too large for it",
				source, lag.Round(time.Millisecond), e.scenario.MaxLag))
		}
	}
}

// millis returns d in milliseconds.
func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// evaluateVersions counts the versions, those that could not be proposed, those refused, and the members that did not apply one. It measures
// how soon each version was in effect, the longest interval in which a partitioned member applied an older one, and the longest time in the
// whole run for which a partitioned member was cautious without a break. Without versions it only counts them and those not proposed.
func (e *evaluation) evaluateVersions() {
	var took, waited []float64
	never, refused, worst := 0, 0, VersionRecord{}
	neverMember, refusal := "", ""
	longestOlder, longestCautious, partitionedMember := time.Duration(0), time.Duration(0), ""
	for _, v := range e.obs.Versions {
		r := VersionRecord{Number: v.Number, At: e.secondsSinceBegin(v.Proposed), WaitedMS: millis(v.Proposed - v.Due), Refused: v.Refused}
		waited = append(waited, r.WaitedMS)
		if v.Refused != "" {
			refused++
			refusal = v.Refused
			e.rec.Versions = append(e.rec.Versions, r)
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(e.intervals)) {
			at, counts, applied := e.versionInEffect(name, v)
			switch {
			case counts && !applied:
				r.Never = append(r.Never, name)
			case counts && millis(at-v.Proposed) >= r.InEffectMS:
				r.InEffectMS, r.Last = millis(at-v.Proposed), name
			}
			for i := range e.intervals[name] {
				iv := &e.intervals[name][i]
				if !iv.partitioned || iv.down || iv.To <= v.Proposed {
					continue
				}
				if d := iv.To - max(iv.From, v.Proposed); iv.actsOnOlder(v.Number) && d > longestOlder {
					longestOlder, partitionedMember = d, name
				}
			}
		}
		if never += len(r.Never); len(r.Never) > 0 {
			neverMember = r.Never[0]
		}
		took = append(took, r.InEffectMS)
		if r.InEffectMS > worst.InEffectMS {
			worst = r
		}
		e.rec.Versions = append(e.rec.Versions, r)
	}
	e.addWithMax("versions", "versions told", "", float64(len(e.obs.Versions)), 0, "")
	if len(e.obs.Versions) > 0 || e.obs.Unproposed > 0 {
		e.addMustBeZero("versions_left", "versions that could not be proposed by the end", e.obs.Unproposed, "")
	}
	if len(e.obs.Versions) == 0 {
		return
	}
	limit := millis(e.scenario.Limits.InEffect)
	e.addWithMax("in_force_p50", "a version is in force everywhere that can be reached, after", "ms", quantile(took, 0.5), 0, "")
	e.addWithMax("in_force_p99", "  99th percentile", "ms", quantile(took, 0.99), limit, "")
	e.addWithMax("in_force_most", "  at most", "ms", quantile(took, 1), limit, worst.Last)
	e.addMustBeZero("in_force_never", "members that could be reached and did not act on a version (times versions)", never, neverMember)
	e.addMustBeZero("versions_refused", "versions refused", refused, refusal)
	e.addWithMax("waited_most", "a version waits until the one before has ended, at most", "ms", quantile(waited, 1), 0, "")
	if len(e.obs.Partitions) > 0 {
		for name, intervals := range e.intervals {
			if longest, _ := longestAndSum(intervals, func(iv *interval) bool { return iv.partitioned && !iv.down && iv.cautious }); longest > longestCautious {
				longestCautious = longest
				if partitionedMember == "" {
					partitionedMember = name
				}
			}
		}
		e.addWithMax("cut_off_older", "cut off: acts on an older version after a newer was told, at most", "ms", millis(longestOlder), 0, partitionedMember)
		e.addWithMax("cut_off_cautious", "cut off: cautious without a break, at most", "ms", millis(longestCautious), 0, "")
	}
}

// versionInEffect reports whether the member counts for the time that v took, and returns when it last began to apply v (or a later version)
// while v waited for it. applied is false if v was still waiting for the member in the end; at has no meaning then, nor if the member does
// not count.
// A member counts if it was reachable and held a lease when v was proposed, or if it came (back) later and still applied an older version.
// A member that is lost or partitioned before it applies v does not count.
func (e *evaluation) versionInEffect(name string, v ProposedVersion) (at time.Duration, counts, applied bool) {
	at = v.Proposed
	waitedFor, hasApplied := false, false // since the member was last unreachable: v waits for the member; the member has applied v
	intervals := e.intervals[name]
	for i := range intervals {
		iv := &intervals[i]
		if iv.To <= v.Proposed {
			continue
		}
		if !iv.reachable() {
			waitedFor, hasApplied = false, false
			continue
		}
		hadLease := iv.From <= v.Proposed && !iv.cautious
		if hadLease || iv.actsOnOlder(v.Number) {
			waitedFor = true
		}
		if iv.hasInEffect(v.Number) && !hasApplied {
			hasApplied = true
			if waitedFor {
				counts, at = true, max(at, iv.From)
			}
		}
	}
	if waitedFor && !hasApplied {
		return at, true, false
	}
	return at, counts, true
}

// evaluateContradictions measures the longest time from when the first member began to apply a version (or a later one) until a member last
// applied only an older one (it was not preparing the newer one).
func (e *evaluation) evaluateContradictions() {
	longest, member := time.Duration(0), ""
	for _, v := range e.obs.Versions {
		if v.Refused != "" {
			continue
		}
		first := time.Duration(math.MaxInt64)
		for _, intervals := range e.intervals {
			for i := range intervals {
				if iv := &intervals[i]; !iv.down && !iv.cautious && iv.active >= v.Number {
					first = min(first, iv.From)
					break
				}
			}
		}
		for name, intervals := range e.intervals {
			for i := range intervals {
				iv := &intervals[i]
				if iv.To <= first || !iv.actsOnOlder(v.Number) || iv.next >= v.Number {
					continue
				}
				if d := iv.To - first; d > longest {
					longest, member = d, name
				}
			}
		}
	}
	if len(e.obs.Versions) > 0 {
		e.addWithMax("contradicted", "a member acts on an older version after another acts on the newer alone, at most", "ms",
			millis(longest), millis(e.scenario.ContradictAtMost), member)
	}
}

// longestAndSum returns the longest uninterrupted time for which holds is true, and the sum of all such times.
func longestAndSum(intervals []interval, holds func(iv *interval) bool) (longest, sum time.Duration) {
	run := time.Duration(0)
	for i := range intervals {
		if holds(&intervals[i]) {
			d := intervals[i].To - intervals[i].From
			run += d
			sum += d
			longest = max(longest, run)
		} else {
			run = 0
		}
	}
	return longest, sum
}

// evaluateCautious measures how long members were cautious (without a lease), separately for reachable and for partitioned ones.
func (e *evaluation) evaluateCautious() {
	var longestOfAll, total, partitionedTotal time.Duration
	member, members := "", 0
	for _, name := range slices.Sorted(maps.Keys(e.intervals)) {
		longest, sum := longestAndSum(e.intervals[name], func(iv *interval) bool { return iv.reachable() && iv.cautious })
		_, partitioned := longestAndSum(e.intervals[name], func(iv *interval) bool { return iv.partitioned && !iv.down && iv.cautious })
		total, partitionedTotal = total+sum, partitionedTotal+partitioned
		if sum > 0 {
			members++
		}
		if longest > longestOfAll {
			longestOfAll, member = longest, name
		}
	}
	e.addWithMax("cautious_most", "a member that can be reached is cautious without a break, at most", "ms", millis(longestOfAll), millis(e.scenario.Limits.Cautious), member)
	e.addWithMax("cautious_sum", "  in sum, of all members", "s", total.Seconds(), 0, "")
	e.addWithMax("cautious_members", "  members that were so at any time", "", float64(members), 0, "")
	if len(e.obs.Partitions) > 0 {
		e.addWithMax("cut_off_cautious_sum", "cut off: cautious, in sum of all", "s", partitionedTotal.Seconds(), 0, "")
	}
}

// point is the value of a rising count at a time.
type point struct {
	at    time.Duration
	value float64
}

// worstAndMeanRate returns the highest rate per second of any window, and the mean rate. A window begins at a point and ends at the first
// point that is 10 s (worstWindow) or more later. If the points cover less than that, both are the mean; with fewer than two points both
// are NaN.
func worstAndMeanRate(points []point) (worst, mean float64) {
	if len(points) < 2 {
		return math.NaN(), math.NaN()
	}
	rate := func(a, b point) float64 { return (b.value - a.value) / (b.at - a.at).Seconds() }
	mean = rate(points[0], points[len(points)-1])
	worst = math.Inf(-1)
	for i, k := 0, 0; i < len(points); i++ {
		for k < len(points) && points[k].at-points[i].at < worstWindow {
			k++
		}
		if k == len(points) {
			break
		}
		worst = max(worst, rate(points[i], points[k]))
	}
	if math.IsInf(worst, -1) {
		worst = mean
	}
	return worst, mean
}

// cumulative joins the readings of a counter that begins anew with each start of its process into one rising count, from 0.
func cumulative(n int, at func(i int) time.Duration, value func(i int) float64, anew func(i int) bool) []point {
	out := make([]point, n)
	sum := 0.0
	for i := range n {
		switch {
		case i == 0: // what was counted before the first reading is not part of the run
		case anew(i) || value(i) < value(i-1):
			sum += value(i)
		default:
			sum += value(i) - value(i-1)
		}
		out[i] = point{at(i), sum}
	}
	return out
}

// evaluateEmulated measures what emulated members use, and, through evaluateReal, what the cluster costs a real sidecar.
func (e *evaluation) evaluateEmulated() {
	l := e.scenario.Limits
	count := map[string]int{}
	for _, p := range e.obs.Plan.Processes {
		count[p.Name] = len(p.Members)
	}
	cpu, cpuWorst, mb, bytes, bytesWorst, renewals, refused, keyed, keyedRefused := 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0
	mostRenewals, members, descriptors, goroutines, up := 0.0, 0, 0, 0, 0.0
	cpuProcess, mbProcess, bytesMember, renewalsMember := "", "", "", ""
	var rates []float64
	maxRenewalBytes, renewalBytesMember, voterBytes := 0.0, "", 0.0
	for _, process := range slices.Sorted(maps.Keys(e.obs.Samples)) {
		samples := e.samplesOfRun(e.obs.Samples[process])
		if len(samples) < 2 {
			continue
		}
		at := func(i int) time.Duration { return samples[i].At }
		neverRestarted := func(int) bool { return false }
		n := float64(count[process])
		worst, mean := worstAndMeanRate(cumulative(len(samples), at, func(i int) float64 { return samples[i].CPU.Seconds() * 100 / n }, neverRestarted))
		cpu += mean * n
		if worst > cpuWorst {
			cpuWorst, cpuProcess = worst, process
		}
		for _, sample := range samples {
			if memberMB := float64(sample.RSSBytes) / (1 << 20) / n; memberMB > mb {
				mb, mbProcess = memberMB, process
			}
			descriptors, goroutines = max(descriptors, sample.Descriptors), max(goroutines, sample.Goroutines)
		}
		for name := range samples[len(samples)-1].Members {
			counter := func(read func(emulated.MemberUsage) int64) func(i int) float64 {
				return func(i int) float64 { return float64(read(samples[i].Members[name])) }
			}
			points := cumulative(len(samples), at, counter(func(s emulated.MemberUsage) int64 { return s.In + s.Out }), neverRestarted)
			worst, mean := worstAndMeanRate(points)
			members++
			bytes += mean
			if worst > bytesWorst {
				bytesWorst, bytesMember = worst, name
			}
			total := func(read func(emulated.MemberUsage) int64) float64 {
				p := cumulative(len(samples), at, counter(read), neverRestarted)
				return p[len(p)-1].value
			}
			renewed := total(func(s emulated.MemberUsage) int64 { return s.Renewals })
			refused += total(func(s emulated.MemberUsage) int64 { return s.Refused })
			keyed += total(func(s emulated.MemberUsage) int64 { return s.KeyedRequests })
			keyedRefused += total(func(s emulated.MemberUsage) int64 { return s.KeyedRefused })
			uptime := e.uptime(name, samples[0].At, samples[len(samples)-1].At).Seconds()
			renewals, up = renewals+renewed, up+uptime
			if uptime > e.scenario.Lease.Seconds() { // otherwise most of that time is the member's start
				rate := renewed / uptime * (e.scenario.Lease / cluster.HeartbeatsPerLease).Seconds()
				if rates = append(rates, rate); rate > mostRenewals {
					mostRenewals, renewalsMember = rate, name
				}
			}
			exchanged := total(func(s emulated.MemberUsage) int64 { return s.ToVoters + s.FromVoters })
			if voterBytes += exchanged; renewed > 0 && exchanged/renewed > maxRenewalBytes {
				maxRenewalBytes, renewalBytesMember = exchanged/renewed, name
			}
		}
	}
	if members > 0 {
		n := float64(members)
		e.addWithMax("member_cpu_mean", "a hollow member's share of a core, mean", "%", cpu/n, l.MemberCPU, "")
		e.addWithMax("member_cpu_worst", "  worst 10 s of a process of them", "%", cpuWorst, l.MemberCPU, cpuProcess)
		e.addWithMax("member_mb", "its memory: a process's by its members, at most", "MB", mb, l.MemberMB, mbProcess)
		e.addWithMax("member_bytes_mean", "its bytes in and out, mean", "bytes/s", bytes/n, l.MemberBytes, "")
		e.addWithMax("member_bytes_worst", "  worst 10 s of any", "bytes/s", bytesWorst, l.MemberBytes, bytesMember)
		e.addWithMin("renewals_mean", "its renewals, as parts of one a heartbeat of the lease, mean", "",
			renewals/up*(e.scenario.Lease/cluster.HeartbeatsPerLease).Seconds(), l.MinRenewals, "")
		e.addWithMax("renewals_most", "  of any", "", mostRenewals, l.MaxRenewals, renewalsMember)
		e.addWithMax("renewals_above", "  of any, as parts of the median", "", mostRenewals/quantile(rates, 0.5), l.AboveMedian, renewalsMember)
		e.addWithMax("renewal_bytes_mean", "bytes to and from keepers for each renewal, mean", "bytes", voterBytes/renewals, 0, "")
		e.addWithMax("renewal_bytes", "  of any", "bytes", maxRenewalBytes, l.RenewalBytes, renewalBytesMember)
		e.addWithMax("renewals_refused", "renewals that were refused (each start has a few)", "", refused, 0, "")
		e.addWithMax("hollow_descriptors", "descriptors of a hollow process, at most", "", float64(descriptors), 0, "")
		e.addWithMax("hollow_goroutines", "goroutines of a hollow process, at most", "", float64(goroutines), 0, "")
		if keyed > 0 {
			e.addWithMax("refusals", "keyed requests refused", "%", 100*keyedRefused/keyed, l.Refusals, "")
			e.addWithMax("orders", "keyed requests", "", keyed, 0, "")
		}
	}
	e.evaluateReal()
}

// uptime returns for how long the member ran between from and to.
func (e *evaluation) uptime(name string, from, to time.Duration) (sum time.Duration) {
	for _, iv := range e.intervals[name] {
		if !iv.down {
			sum += max(0, min(iv.To, to)-max(iv.From, from))
		}
	}
	return sum
}

// samplesOfRun returns the samples taken in the measured time.
func (e *evaluation) samplesOfRun(all []emulated.Usage) (out []emulated.Usage) {
	for _, s := range all {
		if s.At >= e.obs.Began && s.At <= e.obs.Ended {
			out = append(out, s)
		}
	}
	return out
}

// usageOfRun returns the readings of a real process that were taken in the measured time.
func (e *evaluation) usageOfRun(name string) (u []Usage) {
	for _, sample := range e.obs.Usage[name] {
		if sample.At >= e.obs.Began && sample.At <= e.obs.Ended {
			u = append(u, sample)
		}
	}
	return u
}

// cumulativeUsage returns one counter of a real process as a rising count over all its starts.
func cumulativeUsage(u []Usage, read func(Usage) float64) []point {
	return cumulative(len(u), func(i int) time.Duration { return u[i].At }, func(i int) float64 { return read(u[i]) },
		func(i int) bool { return u[i].Start != u[i-1].Start })
}

// cpuPercentSeconds returns the processor time as percent of a core times seconds: its rate per second is percent of a core.
func cpuPercentSeconds(u Usage) float64 { return 100 * u.CPU.Seconds() }

// cpuPoints returns the processor time of a real process as a rising count (see cpuPercentSeconds).
func (e *evaluation) cpuPoints(name string) []point {
	return cumulativeUsage(e.usageOfRun(name), cpuPercentSeconds)
}

// processCost returns what a real process used. It is not measured if there are fewer than two readings.
func (e *evaluation) processCost(name string) (c Cost, measured bool) {
	u := e.usageOfRun(name)
	if len(u) < 2 {
		return c, false
	}
	rateOf := func(read func(Usage) float64) (worst, mean float64) {
		return worstAndMeanRate(cumulativeUsage(u, read))
	}
	c.Name = name
	c.CPUWorst, c.CPUMean = rateOf(cpuPercentSeconds)
	_, c.ReadKBs = rateOf(func(u Usage) float64 { return float64(u.Read) / 1024 })
	_, c.WriteKBs = rateOf(func(u Usage) float64 { return float64(u.Write) / 1024 })
	_, c.DiskKBs = rateOf(func(u Usage) float64 { return float64(u.DiskWrite) / 1024 })
	for _, sample := range u {
		c.MB, c.Descriptors = max(c.MB, sample.MB), max(c.Descriptors, sample.Descriptors)
	}
	return c, true
}

// evaluateReal measures what membership of the cluster costs a real sidecar: its usage minus that of the plain sidecars (without a
// cluster), which have the same load at the same time.
func (e *evaluation) evaluateReal() {
	costs := func(names []string) (all []Cost) {
		for _, name := range names {
			if c, measured := e.processCost(name); measured {
				all = append(all, c)
			}
		}
		e.rec.Costs = append(e.rec.Costs, all...)
		return all
	}
	mean := func(all []Cost, read func(Cost) float64) (sum float64) {
		for _, c := range all {
			sum += read(c) / float64(len(all))
		}
		return sum
	}
	cpu := func(c Cost) float64 { return c.CPUMean }
	mb := func(c Cost) float64 { return c.MB }
	bytes := func(c Cost) float64 { return 1024 * (c.ReadKBs + c.WriteKBs) }
	with := costs(e.scenario.realNames())
	if len(with) == 0 {
		return
	}
	e.addWithMax("real_cpu_mean", "a real sidecar's share of a core, its load with it, mean", "%", mean(with, cpu), 0, "")
	worst := slices.MaxFunc(with, func(a, b Cost) int { return cmp.Compare(a.CPUWorst, b.CPUWorst) })
	e.addWithMax("real_cpu_worst", "  worst 10 s of any", "%", worst.CPUWorst, 0, worst.Name)
	e.addWithMax("real_mb", "its memory, mean", "MB", mean(with, mb), 0, "")
	if e.obs.Requests > 0 {
		e.addWithMax("load_served", "requests of the real sidecars' load that were served", "%", 100*float64(e.obs.Served)/float64(e.obs.Requests), 0, "")
	}
	without := costs(e.scenario.plainNames())
	if len(without) == 0 {
		return
	}
	worstAbove, member := math.Inf(-1), ""
	var plain [][]point
	for _, c := range without {
		plain = append(plain, e.cpuPoints(c.Name))
	}
	for _, c := range with {
		above := e.cpuPoints(c.Name)
		for i := range above {
			for _, p := range plain {
				above[i].value -= interpolate(p, above[i].at) / float64(len(plain))
			}
		}
		if worst, _ := worstAndMeanRate(above); worst > worstAbove {
			worstAbove, member = worst, c.Name
		}
	}
	l := e.scenario.Limits
	e.addWithMax("control_cpu_mean", "  above one without a crew: share of a core, mean", "%", mean(with, cpu)-mean(without, cpu), l.MemberCPU, "")
	e.addWithMax("control_cpu_worst", "  worst 10 s of any, above those in the same 10 s", "%", worstAbove, l.MemberCPU, member)
	e.addWithMax("control_mb", "  memory, mean", "MB", mean(with, mb)-mean(without, mb), l.MemberMB, "")
	e.addWithMax("control_bytes_mean", "  bytes read and written (log too), mean", "bytes/s", mean(with, bytes)-mean(without, bytes), l.MemberBytes, "")
}

// interpolate returns the count at a time, linearly between the two nearest points; outside the points it is the nearest value.
func interpolate(points []point, at time.Duration) float64 {
	i, found := slices.BinarySearchFunc(points, at, func(p point, at time.Duration) int { return cmp.Compare(p.at, at) })
	switch {
	case found:
		return points[i].value
	case i == 0:
		return points[0].value
	case i == len(points):
		return points[i-1].value
	}
	a, b := points[i-1], points[i]
	return a.value + (b.value-a.value)*float64(at-a.at)/float64(b.at-a.at)
}

// leaderAt returns who led at a time, or an empty name.
func (e *evaluation) leaderAt(at time.Duration) (name string) {
	for _, l := range e.obs.Leaders {
		if l.At <= at {
			name = l.Name
		}
	}
	return name
}

// evaluateVoters measures what voters use, and what the leader uses while it leads.
func (e *evaluation) evaluateVoters() {
	l := e.scenario.Limits
	most, mb := Cost{CPUWorst: math.NaN()}, Cost{MB: math.NaN()}
	for _, name := range e.scenario.voterNames() {
		c, there := e.processCost(name)
		if !there {
			continue
		}
		e.rec.Costs = append(e.rec.Costs, c)
		if !(c.CPUWorst <= most.CPUWorst) { // true for the first voter, which is compared with NaN
			most = c
		}
		if !(c.MB <= mb.MB) { // the same
			mb = c
		}
	}
	e.addWithMax("keeper_cpu_worst", "a keeper's share of a core, worst 10 s of any", "%", most.CPUWorst, l.VoterCPU, most.Name)
	e.addWithMax("keeper_mb", "its memory, at most", "MB", mb.MB, l.VoterMB, mb.Name)
	// The leader's mean over all the time in which a voter led. This is what grows with the number of members.
	var cpu, led time.Duration
	written := int64(0)
	for _, name := range e.scenario.voterNames() {
		u := e.obs.Usage[name]
		for i := 1; i < len(u); i++ {
			a, b := u[i-1], u[i]
			if a.Start == b.Start && a.At >= e.obs.Began && b.At <= e.obs.Ended && e.leaderAt(a.At) == name && e.leaderAt(b.At) == name {
				cpu, led, written = cpu+b.CPU-a.CPU, led+b.At-a.At, written+b.Write-a.Write
			}
		}
	}
	if led > 0 {
		e.addWithMax("leader_cpu_mean", "the leader's share of a core, mean while it leads", "%", 100*cpu.Seconds()/led.Seconds(), 0, "")
		e.addWithMax("leader_out_mean", "its bytes written (sockets, folder and log), mean while it leads", "bytes/s",
			float64(written)/led.Seconds(), 0, "")
	}
}

// evaluateLeaders records who led when, and counts the changes of leader.
func (e *evaluation) evaluateLeaders() {
	changes, before := 0, ""
	for _, l := range e.obs.Leaders {
		if l.At > e.obs.Ended {
			break
		}
		if l.At > e.obs.Began {
			e.rec.Leaders = append(e.rec.Leaders, LeaderRecord{e.secondsSinceBegin(l.At), l.Name, l.Term})
			if l.Name != "" && l.Name != before {
				changes++
			}
		}
		if l.Name != "" {
			before = l.Name
		}
	}
	if first := e.leaderAt(e.obs.Began); first != "" {
		e.rec.Leaders = slices.Insert(e.rec.Leaders, 0, LeaderRecord{0, first, 0})
	}
	e.addWithMax("leader_changes", "changes of leader", "", float64(changes), 0, "")
}

// evaluateSeries records the state of the cluster at each second of the run.
func (e *evaluation) evaluateSeries() {
	n := int((e.obs.Ended - e.obs.Began) / time.Second)
	out := make([]Second, max(0, n))
	newest := make([]uint64, len(out))
	states := func(do func(i int, iv *interval)) {
		for _, pieces := range e.intervals {
			k := 0
			for i := range out {
				at := e.obs.Began + time.Duration(i)*time.Second
				for k < len(pieces) && pieces[k].To <= at {
					k++
				}
				if k < len(pieces) {
					do(i, &pieces[k])
				}
			}
		}
	}
	states(func(i int, iv *interval) {
		if !iv.down && !iv.cautious {
			newest[i] = max(newest[i], iv.active)
		}
	})
	states(func(i int, iv *interval) {
		switch {
		case iv.down:
			out[i].Down++
		case iv.partitioned:
			out[i].Partitioned++
		case iv.cautious:
			out[i].Cautious++
		case iv.active < newest[i]:
			out[i].Behind++
		}
	})
	for i := range out {
		at := e.obs.Began + time.Duration(i)*time.Second
		u := e.obs.Usage[e.leaderAt(at)]
		for k := 1; k < len(u); k++ {
			if a, b := u[k-1], u[k]; a.At <= at && at < b.At && a.Start == b.Start {
				out[i].LeaderCPU = 100 * (b.CPU - a.CPU).Seconds() / (b.At - a.At).Seconds()
			}
		}
	}
	e.rec.Series = out
}

// quantile returns the value at the nearest rank, or NaN if there are no values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	values = slices.Sorted(slices.Values(values))
	return values[max(0, int(math.Ceil(q*float64(len(values))))-1)]
}
