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

// Observations is what was seen of a run: all that Judge rests on. Times are of CLOCK_BOOTTIME.
type Observations struct {
	Plan         *Plan
	Began, Ended time.Duration                     // of what counts: all held a lease before
	States       map[string][]emulated.MemberState // by member, in the order of their times
	Downtimes    map[string][]Span                 // by member: it did not run
	Partitions   []PartitionSpan
	Versions     []ProposedVersion
	Unproposed   int // versions that were to be proposed, and were not by the end
	Leaders      []Leadership
	Samples      map[string][]emulated.Usage // by hollow process, in the order of their times
	Usage        map[string][]Usage          // by keeper, real sidecar and plain one, likewise
	MaxLag       map[string]time.Duration    // by how much the run's own load was late, at most
	Requests     int                         // requests of the real sidecars' load
	Served       int
	Broken       []string // what must not be, such as a process that ended by itself
	Partial      bool     // it was interrupted
}

// Span is from a time up to another one.
type Span struct{ From, To time.Duration }

func (s Span) contains(t time.Duration) bool { return t >= s.From && t < s.To }

// PartitionSpan is a cut between two regions.
type PartitionSpan struct {
	Span
	Between [2]string
}

// ProposedVersion is a version.
type ProposedVersion struct {
	Number   uint64
	Due      time.Duration // somebody wanted it
	Proposed time.Duration // the leader said that it is proposed
	Refused  string        // why it was; empty if not
}

// Leadership is a keeper that has come to lead, or none ("").
type Leadership struct {
	At   time.Duration
	Name string
	Term uint64
}

// Usage is what a process has cost since its start.
type Usage struct {
	At          time.Duration
	Start       int // number of the start
	CPU         time.Duration
	MB          float64 // most resident so far
	Read, Write int64   // bytes by read and write calls: sockets, files and log
	DiskRead    int64   // bytes that came from the disk, and went to it
	DiskWrite   int64
	Descriptors int
}

// worstWindow is the "worst 10 s" of all figures.
const worstWindow = 10 * time.Second

// Record is what a run came to.
type Record struct {
	Version      int           `json:"version"` // of this format
	Scenario     string        `json:"scenario"`
	About        string        `json:"about,omitempty"`
	Seed         uint64        `json:"seed"`
	Size         int           `json:"sidecars"`
	Voters       int           `json:"keepers"`
	Real         int           `json:"real"`
	Emulated     int           `json:"hollow"`
	Seconds      float64       `json:"seconds"`
	Machine      Machine       `json:"machine"`
	Void         []string      `json:"void,omitempty"` // why it counts for nothing
	Partial      bool          `json:"partial,omitempty"`
	Broken       []string      `json:"broken,omitempty"`
	Measurements []Measurement `json:"figures"`

	Versions []VersionRecord `json:"versions,omitempty"`
	Leaders  []LeaderRecord  `json:"leaders,omitempty"`
	Costs    []Cost          `json:"costs,omitempty"` // of each real process
	Steps    []string        `json:"steps,omitempty"` // as they were played
	Series   []Second        `json:"series,omitempty"`
	OwnLag   []string        `json:"late,omitempty"` // how late the run's own load was
}

// Machine is where it ran.
type Machine struct {
	Cores      int    `json:"cores"`
	MemoryMB   int    `json:"memory_mb"`
	Go         string `json:"go"`
	LoadBefore string `json:"load_average_before"` // 1, 5 and 15 minutes
	LoadAfter  string `json:"load_average_after"`
}

// Measurement is one measured value beside its limit.
type Measurement struct {
	Key         string  `json:"key"`
	Description string  `json:"what"`
	Unit        string  `json:"unit,omitempty"`
	Value       float64 `json:"value"`
	// Limit is nil where none is set; Least says that the value must not be below it.
	Limit       *float64 `json:"limit,omitempty"`
	IsMinimum   bool     `json:"least,omitempty"`
	Violated    bool     `json:"limit_violated,omitempty"` // it is beyond its limit, or was not measured
	NotMeasured bool     `json:"not_measured,omitempty"`
	Source      string   `json:"who,omitempty"` // the one that it was worst at
}

// VersionRecord is how one version went.
type VersionRecord struct {
	Number     uint64   `json:"number"`
	At         float64  `json:"at_s"`            // told, from the run's begin
	WaitedMS   float64  `json:"waited_ms"`       // from when it was wanted until it was told
	InEffectMS float64  `json:"in_force_ms"`     // from when it was told until the last that can be reached acted on it
	Last       string   `json:"last,omitempty"`  // which that was
	Never      []string `json:"never,omitempty"` // could be reached, and did not act on it
	Refused    string   `json:"refused,omitempty"`
}

// LeaderRecord is who led from a time on.
type LeaderRecord struct {
	At   float64 `json:"at_s"`
	Name string  `json:"name"` // empty for nobody
	Term uint64  `json:"term,omitempty"`
}

// Cost is what one real process took.
type Cost struct {
	Name        string  `json:"name"`
	CPUMean     float64 `json:"cpu_percent_mean"`
	CPUWorst    float64 `json:"cpu_percent_worst_10s"`
	MB          float64 `json:"mb"`
	ReadKBs     float64 `json:"read_kb_s"`
	WriteKBs    float64 `json:"write_kb_s"`
	DiskKBs     float64 `json:"disk_write_kb_s"`
	Descriptors int     `json:"descriptors"`
}

// Second is one of the run's.
type Second struct {
	Cautious    int     `json:"cautious"` // members that can be reached
	Partitioned int     `json:"cut_off"`
	Down        int     `json:"down"`
	Behind      int     `json:"behind"` // members that can be reached and act on an older version than another one does
	LeaderCPU   float64 `json:"leader_cpu_percent"`
}

// Passed tells whether the run counts and held to its limits.
func (r *Record) Passed() bool {
	return len(r.Void) == 0 && !r.Partial && len(r.Broken) == 0 && !slices.ContainsFunc(r.Measurements, func(f Measurement) bool { return f.Violated })
}

// Measurement returns one by its key; one that was not measured where there is none.
func (r *Record) Measurement(key string) Measurement {
	for _, f := range r.Measurements {
		if f.Key == key {
			return f
		}
	}
	return Measurement{Key: key, NotMeasured: true}
}

// Evaluate makes the record of what was seen. It is pure.
func Evaluate(o *Observations) *Record {
	s := o.Plan.Scenario
	j := &evaluation{obs: o, scenario: s, intervals: map[string][]interval{}, rec: &Record{
		Version: 1, Scenario: s.Name, About: s.About, Seed: o.Plan.Seed, Size: s.Size(), Voters: s.Voters, Real: s.Real, Emulated: s.Emulated,
		Seconds: (o.Ended - o.Began).Seconds(), Broken: slices.Clone(o.Broken), Partial: o.Partial,
	}}
	for name := range o.Plan.Locations {
		j.intervals[name] = j.memberIntervals(name)
	}
	j.checkOwnLag()
	j.evaluateVersions()
	j.evaluateContradictions()
	j.evaluateCautious()
	j.evaluateEmulated()
	j.evaluateVoters()
	j.evaluateLeaders()
	j.evaluateSeries()
	return j.rec
}

type evaluation struct {
	obs       *Observations
	scenario  *Scenario
	rec       *Record
	intervals map[string][]interval // of all members of the crew
}

// interval is a time in which nothing changes for a member.
type interval struct {
	Span
	down, partitioned bool
	cautious          bool
	active            uint64
	next              uint64
}

func (p *interval) reachable() bool { return !p.down && !p.partitioned }

// hasInEffect tells whether it acts on a version or a later one.
func (p *interval) hasInEffect(number uint64) bool {
	return p.reachable() && !p.cautious && p.active >= number
}

// actsOnOlder tells whether it acts on what was before a version.
func (p *interval) actsOnOlder(number uint64) bool {
	return !p.down && !p.cautious && p.active < number
}

// memberIntervals is a member's run.
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
		p := interval{Span: Span{from, times[i+1]}, cautious: last.Cautious, active: last.Active, next: last.Next, partitioned: e.isPartitioned(region, from)}
		p.down = last.Gone || slices.ContainsFunc(o.Downtimes[name], func(d Span) bool { return d.contains(from) })
		out = append(out, p)
	}
	return out
}

// isPartitioned tells whether who stands in a region reaches no majority of the keepers.
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
	for _, k := range e.scenario.voterNames() {
		if !cutRegions[e.obs.Plan.Locations[k].Region] {
			reached++
		}
	}
	return reached <= e.scenario.Voters/2
}

func (e *evaluation) secondsSinceBegin(t time.Duration) float64 { return (t - e.obs.Began).Seconds() }

// addWithMax books a figure; a limit of 0 is none.
func (e *evaluation) addWithMax(key, description, unit string, value, limit float64, source string) {
	e.addMeasurement(Measurement{Key: key, Description: description, Unit: unit, Value: value, Source: source}, limit)
}

// addWithMin books a figure that must not be below its limit.
func (e *evaluation) addWithMin(key, description, unit string, value, limit float64, source string) {
	e.addMeasurement(Measurement{Key: key, Description: description, Unit: unit, Value: value, IsMinimum: true, Source: source}, limit)
}

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

// addMustBeZero books a count that must be 0.
func (e *evaluation) addMustBeZero(key, description string, value int, source string) {
	zero := 0.0
	e.rec.Measurements = append(e.rec.Measurements, Measurement{Key: key, Description: description, Value: float64(value), Limit: &zero, Violated: value > 0, Source: source})
}

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

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// evaluateVersions judges how soon each was in force.
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
				p := &e.intervals[name][i]
				if !p.partitioned || p.down || p.To <= v.Proposed {
					continue
				}
				if d := p.To - max(p.From, v.Proposed); p.actsOnOlder(v.Number) && d > longestOlder {
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
			if longest, _ := longestAndSum(intervals, func(p *interval) bool { return p.partitioned && !p.down && p.cautious }); longest > longestCautious {
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

// versionInEffect tells when a member came to act on a version, whether it is one that the version's time counts to, and whether it
// did in the end. Those count that could be reached and held a lease when the version was told, and those that came (back) later
// and acted on an older version still. Who is lost or cut off before it acts on it does not count.
func (e *evaluation) versionInEffect(name string, v ProposedVersion) (at time.Duration, counts, applied bool) {
	at = v.Proposed
	waitedFor, hasApplied := false, false // of the present life: it counts, and it acts on the version
	intervals := e.intervals[name]
	for i := range intervals {
		p := &intervals[i]
		if p.To <= v.Proposed {
			continue
		}
		if !p.reachable() {
			waitedFor, hasApplied = false, false
			continue
		}
		hadLease := p.From <= v.Proposed && !p.cautious
		if hadLease || p.actsOnOlder(v.Number) {
			waitedFor = true
		}
		if p.hasInEffect(v.Number) && !hasApplied {
			hasApplied = true
			if waitedFor {
				counts, at = true, max(at, p.From)
			}
		}
	}
	if waitedFor && !hasApplied {
		return at, true, false
	}
	return at, counts, true
}

// evaluateContradictions judges how long a member acted on a version alone after another one had come to act on the next alone.
func (e *evaluation) evaluateContradictions() {
	longest, member := time.Duration(0), ""
	for _, v := range e.obs.Versions {
		if v.Refused != "" {
			continue
		}
		first := time.Duration(math.MaxInt64)
		for _, intervals := range e.intervals {
			for i := range intervals {
				if p := &intervals[i]; !p.down && !p.cautious && p.active >= v.Number {
					first = min(first, p.From)
					break
				}
			}
		}
		for name, intervals := range e.intervals {
			for i := range intervals {
				p := &intervals[i]
				if p.To <= first || !p.actsOnOlder(v.Number) || p.next >= v.Number {
					continue
				}
				if d := p.To - first; d > longest {
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

// longestAndSum is the longest time without a break of which something holds, and the sum of all.
func longestAndSum(pieces []interval, holds func(p *interval) bool) (longest, sum time.Duration) {
	run := time.Duration(0)
	for i := range pieces {
		if holds(&pieces[i]) {
			d := pieces[i].To - pieces[i].From
			run += d
			sum += d
			longest = max(longest, run)
		} else {
			run = 0
		}
	}
	return longest, sum
}

func (e *evaluation) evaluateCautious() {
	var longestOfAll, total, partitionedTotal time.Duration
	member, members := "", 0
	for _, name := range slices.Sorted(maps.Keys(e.intervals)) {
		longest, sum := longestAndSum(e.intervals[name], func(p *interval) bool { return p.reachable() && p.cautious })
		_, partitioned := longestAndSum(e.intervals[name], func(p *interval) bool { return p.partitioned && !p.down && p.cautious })
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

// point is a count that rises, at a time.
type point struct {
	at    time.Duration
	value float64
}

// worstAndMeanRate is the highest rate a second of any 10 s, and the mean of all. A run shorter than that is one window.
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

// cumulative makes one count of one that begins anew with each start.
func cumulative(n int, at func(i int) time.Duration, value func(i int) float64, anew func(i int) bool) []point {
	out := make([]point, n)
	sum := 0.0
	for i := range n {
		switch {
		case i == 0: // what was before the first is not part of the run
		case anew(i) || value(i) < value(i-1):
			sum += value(i)
		default:
			sum += value(i) - value(i-1)
		}
		out[i] = point{at(i), sum}
	}
	return out
}

// evaluateEmulated judges what hollow members cost, and what real ones cost above plain ones.
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
			if uptime > e.scenario.Lease.Seconds() { // else its start is most of it
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

// uptime is how long a member ran between two times.
func (e *evaluation) uptime(name string, from, to time.Duration) (sum time.Duration) {
	for _, p := range e.intervals[name] {
		if !p.down {
			sum += max(0, min(p.To, to)-max(p.From, from))
		}
	}
	return sum
}

func (e *evaluation) samplesOfRun(all []emulated.Usage) (out []emulated.Usage) {
	for _, s := range all {
		if s.At >= e.obs.Began && s.At <= e.obs.Ended {
			out = append(out, s)
		}
	}
	return out
}

// usageOfRun is what a real process had taken at times of the run.
func (e *evaluation) usageOfRun(name string) (u []Usage) {
	for _, sample := range e.obs.Usage[name] {
		if sample.At >= e.obs.Began && sample.At <= e.obs.Ended {
			u = append(u, sample)
		}
	}
	return u
}

// cumulativeUsage is one count of a real process, over all its starts.
func cumulativeUsage(u []Usage, read func(Usage) float64) []point {
	return cumulative(len(u), func(i int) time.Duration { return u[i].At }, func(i int) float64 { return read(u[i]) },
		func(i int) bool { return u[i].Start != u[i-1].Start })
}

func cpuPercentSeconds(u Usage) float64 { return 100 * u.CPU.Seconds() }

// cpuPoints is a real process's processor time, in percent of a core times seconds.
func (e *evaluation) cpuPoints(name string) []point {
	return cumulativeUsage(e.usageOfRun(name), cpuPercentSeconds)
}

// processCost is what a real process took.
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

// evaluateReal judges what a crew costs a real sidecar: what it costs above one without a crew under the same load, at the same time.
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

// interpolate is a count at a time between two of its points.
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

// leaderAt tells who led at a time.
func (e *evaluation) leaderAt(at time.Duration) (name string) {
	for _, l := range e.obs.Leaders {
		if l.At <= at {
			name = l.Name
		}
	}
	return name
}

func (e *evaluation) evaluateVoters() {
	l := e.scenario.Limits
	most, mb := Cost{CPUWorst: math.NaN()}, Cost{MB: math.NaN()}
	for _, name := range e.scenario.voterNames() {
		c, there := e.processCost(name)
		if !there {
			continue
		}
		e.rec.Costs = append(e.rec.Costs, c)
		if !(c.CPUWorst <= most.CPUWorst) {
			most = c
		}
		if !(c.MB <= mb.MB) {
			mb = c
		}
	}
	e.addWithMax("keeper_cpu_worst", "a keeper's share of a core, worst 10 s of any", "%", most.CPUWorst, l.VoterCPU, most.Name)
	e.addWithMax("keeper_mb", "its memory, at most", "MB", mb.MB, l.VoterMB, mb.Name)
	// The leader's mean, over all times in which it led: what grows with the number of members.
	var cpu, out time.Duration
	written := int64(0)
	for _, name := range e.scenario.voterNames() {
		u := e.obs.Usage[name]
		for i := 1; i < len(u); i++ {
			a, b := u[i-1], u[i]
			if a.Start == b.Start && a.At >= e.obs.Began && b.At <= e.obs.Ended && e.leaderAt(a.At) == name && e.leaderAt(b.At) == name {
				cpu, out, written = cpu+b.CPU-a.CPU, out+b.At-a.At, written+b.Write-a.Write
			}
		}
	}
	if out > 0 {
		e.addWithMax("leader_cpu_mean", "the leader's share of a core, mean while it leads", "%", 100*cpu.Seconds()/out.Seconds(), 0, "")
		e.addWithMax("leader_out_mean", "its bytes written (sockets, folder and log), mean while it leads", "bytes/s",
			float64(written)/out.Seconds(), 0, "")
	}
}

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

// evaluateSeries tells each second's state.
func (e *evaluation) evaluateSeries() {
	n := int((e.obs.Ended - e.obs.Began) / time.Second)
	out := make([]Second, max(0, n))
	newest := make([]uint64, len(out))
	states := func(do func(i int, p *interval)) {
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
	states(func(i int, p *interval) {
		if !p.down && !p.cautious {
			newest[i] = max(newest[i], p.active)
		}
	})
	states(func(i int, p *interval) {
		switch {
		case p.down:
			out[i].Down++
		case p.partitioned:
			out[i].Partitioned++
		case p.cautious:
			out[i].Cautious++
		case p.active < newest[i]:
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

// quantile is the nearest rank's value; NaN of none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	values = slices.Sorted(slices.Values(values))
	return values[max(0, int(math.Ceil(q*float64(len(values))))-1)]
}
