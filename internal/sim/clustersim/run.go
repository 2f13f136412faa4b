package clustersim

import (
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"heathgap/decide"
	"heathgap/internal/cluster"
	"heathgap/internal/cluster/voter"
	"heathgap/internal/clusterparams"
	"heathgap/internal/holdings"
	"heathgap/internal/sim"
	"heathgap/internal/versions"
)

// Conf is the configuration of a run.
type Conf struct {
	Voters, Members int // Members counts the members that are not voters; each voter is a member too
	Params          cluster.Params
	Duration        time.Duration // how long faults are injected; then all are healed
	// FaultEvery is the mean time between faults, which each run multiplies by 0.5, 1 or 3; 0 for no faults.
	FaultEvery time.Duration
	// ProposeEvery is the mean time between proposals; 0 for none except the last.
	ProposeEvery time.Duration
	// DiskFaultAt is the number of the write of k1's disk that gets the fault DiskFault; 0 for none except those of injectFaults.
	DiskFaultAt int
	DiskFault   DiskFault
}

// DefaultConf is the cluster that the tests run by default.
func DefaultConf() Conf {
	return Conf{Voters: 5, Members: 25, Params: cluster.Params{Lease: time.Second, Drift: 0.01, Slack: 200 * time.Millisecond},
		Duration: 20 * time.Second, FaultEvery: 700 * time.Millisecond, ProposeEvery: time.Second}
}

// HoldingsConf is DefaultConf with holdings, so that members get the other members and the placement.
func HoldingsConf() Conf {
	c := DefaultConf()
	c.Params.Holdings = clusterparams.Holdings{Copies: 2, Keep: time.Minute, LostAfter: 3 * time.Second}
	return c
}

// Options hold what a run needs beside its configuration. Bug and FixChecksums change what happens in it,
// and Only changes which violation ends it.
type Options struct {
	Trace, Log io.Writer // receive the steps and the voters' logs; nil for none
	Bug        Bug
	// Only is the one rule that counts, "" for all rules. It shows whether a rule finds a bug by its effects, even if one of the
	// program's own checks would report the bug earlier.
	Only string
	// FixChecksums corrects the checksums of faulty deltas, so that members apply them and ViewsDiffer must find the fault.
	FixChecksums bool
}

// Bug is a bug injected into the environment of the voter cores and lease holders.
type Bug string

// The bugs that a run can inject.
const (
	CountsFromAnswer        Bug = "a member counts its lease from the answer"
	ClockStops              Bug = "a member's clock stops while its machine is suspended"
	SlowClock               Bug = "a member's clock is slower than the cluster parameters allow"
	SameToken               Bug = "a second process of a name comes with the first one's token"
	IgnoresEpoch            Bug = "a leader treats a renewal from an older epoch as one from the present epoch"
	DropsBans               Bug = "a member that is cut off drops the bans"
	ConfirmsWithoutMajority Bug = "a leader counts heartbeats as acknowledged that no voter has acknowledged"
	ReportsEarly            Bug = "a leader reports a version's number before the version is agreed on"
	AcksBeforeSync          Bug = "a disk acknowledges writes before they are durable"
	TrustsOldDirectory      Bug = "a data directory that was set back is trusted at once"
	KeepsOldID              Bug = "an empty data directory gets the id of the lost one"
	AcceptsStaleMessages    Bug = "a voter accepts messages that were for its earlier data directory"
	StopsSending            Bug = "a voter stops sending to another voter after a call to it failed"
	OmitsChange             Bug = "a delta lacks a change"
	ReappliesDelta          Bug = "a delta is applied again after a later one"
	WrongBase               Bug = "a delta starts from a later state than it says"
	TruncatedHistory        Bug = "a history was cut, and changes are told from before that"
)

// The rules that a run checks, and parameters of the checks.
const (
	IncompatibleVersions = "apart"               // two members apply versions that are not neighbors
	DuplicateLease       = "twice"               // two processes of one name hold a lease
	ForgottenBan         = "forgets"             // a member does not apply a ban of a version that it applies
	OlderEpoch           = "older_epoch"         // a version is active in an epoch in which a member did not report that it had prepared the version
	TwoLeaders           = "two_leaders"         // a term has two leaders
	LedgersDiffer        = "differ"              // two voters have different ledgers after the same entry
	LostVersion          = "lost"                // a version whose number was reported does not exist
	NotLinearizable      = "not_in_order"        // no order of the clients' calls explains their results
	ViewsDiffer          = "views"               // a member knows other members or another placement than the ledger had
	VoterStopped         = "stops"               // a voter stops for a reason that no injected fault explains
	NotSettled           = "stuck"               // the cluster has not settled long after all faults were healed
	settleLimit          = 20 * time.Second      // how long the cluster may take to settle
	sampleInterval       = 50 * time.Millisecond // between measurements of the leader and of cautious members
)

// Failure is a violated rule.
type Failure = sim.Failure

// Result is the outcome of a run.
type Result struct {
	Failure         *Failure // nil if the run passed
	Hash            uint64   // of all steps, in order
	Steps           int
	Faults          map[string]int  // injected, by kind
	Versions        int             // number of versions whose number was reported to the proposer
	ActivationTimes []time.Duration // from each proposal to the first ledger in which the version is active
	LeaderlessTimes []time.Duration // lengths of the times in which no unpaused process led
	CautiousShare   float64         // share of the samples, taken of unpaused processes from 3 s on, in which the process was cautious
	UnknownOutcomes int             // number of proposals whose outcome is unknown
	SettleTime      time.Duration   // from the end of all faults until the cluster was settled
	Deltas          map[string]int  // sent to members: full states ("whole"), changes, states that a member rejected ("differed") and tampered ones
	DiskFaultHit    bool            // the write Conf.DiskFaultAt has happened
}

// run is the state of one run.
type run struct {
	w            *world
	conf         Conf
	opts         Options
	bug          Bug
	voters       map[string]string   // addresses by names
	names        []string            // of members, voters first
	processes    map[string]*process // the present process of each name
	duplicates   []*process          // second processes of a name, which the fault "twin" starts
	starts       map[string]int      // number of processes started so far, by name
	disks        map[string]*disk    // of voters
	directoryIDs map[string]uint64   // of the voters' data directories
	incomplete   map[string]uint64   // voters whose data directory was lost or set back, with the entry that they must apply to be complete again
	setBack      map[string]bool     // voters whose data directory was set back
	diskFaultSet map[string]bool     // voters for whose disk a fault was scheduled
	partitioned  map[direction]bool
	heldMessages []heldMessage
	faultsOver   bool // no more faults are injected

	failure                   *Failure
	leaderOfTerm              map[uint64]string        // leader by term
	ledgerAfter               map[uint64]string        // summary of the ledger by applied entry
	membershipOf              map[uint64]string        // digest of the members by epoch
	placementOf               map[uint64]string        // digest of the placement by number
	highestApplied            uint64                   // the newest entry that any voter has applied
	bannedIn                  map[uint64][]string      // banned endpoints by version
	activeSince               map[uint64]time.Duration // when each version was first active in a ledger
	reported                  []reportedVersion
	prepared                  map[preparedVersion]bool // what members have reported as prepared
	history                   history
	documents                 documentState
	result                    Result
	leaderlessFor             time.Duration // how long no unpaused process has led
	usualLatency, slowLatency time.Duration // longest latency of most messages, and of a few slow ones
	samples, cautiousSamples  int
}

// preparedVersion is a member's report, in an epoch, that it applies a version together with the active one.
type preparedVersion struct{ token, version, epoch uint64 }

// reportedVersion is a version whose number was reported to its proposer.
type reportedVersion struct {
	number, id uint64
	proposedAt time.Duration
}

// Run runs a seed.
func Run(seed uint64, conf Conf, opts Options) Result {
	w, done := newSeededWorld(seed)
	defer done()
	w.trace = opts.Trace
	r := &run{w: w, conf: conf, opts: opts, bug: opts.Bug, voters: map[string]string{}, processes: map[string]*process{}, starts: map[string]int{},
		disks: map[string]*disk{}, directoryIDs: map[string]uint64{}, incomplete: map[string]uint64{}, setBack: map[string]bool{},
		diskFaultSet: map[string]bool{}, partitioned: map[direction]bool{}, leaderOfTerm: map[uint64]string{}, ledgerAfter: map[uint64]string{}, bannedIn: map[uint64][]string{},
		activeSince: map[uint64]time.Duration{}, prepared: map[preparedVersion]bool{}, membershipOf: map[uint64]string{}, placementOf: map[uint64]string{},
		result: Result{Faults: map[string]int{}, Deltas: map[string]int{}}}
	r.usualLatency = []time.Duration{time.Millisecond, 5 * time.Millisecond, 30 * time.Millisecond}[w.rng.IntN(3)]
	r.slowLatency = []time.Duration{r.usualLatency, 100 * time.Millisecond, 400 * time.Millisecond}[w.rng.IntN(3)]
	r.conf.FaultEvery = conf.FaultEvery * time.Duration([]int{2, 4, 12}[w.rng.IntN(3)]) / 4
	for i := range conf.Voters {
		name := fmt.Sprintf("k%d", i+1)
		r.voters[name] = name + ":1"
		r.names = append(r.names, name)
		r.disks[name] = newDisk()
		r.disks[name].acksEarly = opts.Bug == AcksBeforeSync
	}
	for i := range conf.Members {
		r.names = append(r.names, fmt.Sprintf("m%d", i+1))
	}
	for _, name := range r.names {
		w.schedule(w.randomDuration(0, 300*time.Millisecond), "start", name, func() { r.start(name) })
	}
	r.processes[clientName] = &process{r: r, name: clientName, id: clientName, clockRate: 1}
	if conf.DiskFaultAt > 0 {
		r.disks["k1"].faultAt, r.disks["k1"].fault, r.diskFaultSet["k1"] = conf.DiskFaultAt, conf.DiskFault, true
	}
	w.schedule(sampleInterval, "sample", "", r.sample)
	if conf.ProposeEvery > 0 {
		w.schedule(conf.ProposeEvery, "propose", "", r.proposeRepeatedly)
	}
	if conf.FaultEvery > 0 {
		w.schedule(3*time.Second, "strike", "", r.injectFaults)
	}
	for r.failure == nil && w.step(conf.Duration) {
	}
	if r.failure == nil {
		r.settle()
	}
	if r.failure == nil {
		if err := r.history.check(); err != nil {
			r.violation(NotLinearizable, "%v", err)
		}
	}
	res := &r.result
	res.Failure, res.Hash, res.Steps, res.Versions = r.failure, w.traceHash.Sum64(), w.steps, len(r.reported)
	res.CautiousShare = float64(r.cautiousSamples) / float64(max(1, r.samples))
	for _, v := range r.reported {
		if at, ok := r.activeSince[v.number]; ok {
			res.ActivationTimes = append(res.ActivationTimes, at-v.proposedAt)
		}
	}
	res.DiskFaultHit = conf.DiskFaultAt > 0 && r.disks["k1"].faultHit
	return *res
}

// violation ends the run with a violated rule, unless it has failed already or the rule does not count.
func (r *run) violation(rule, format string, args ...any) {
	if r.failure == nil && (r.opts.Only == "" || rule == r.opts.Only) {
		r.failure = &Failure{Rule: rule, Step: r.w.steps, At: r.w.now, What: fmt.Sprintf(format, args...)}
		r.w.record("broken "+rule, "")
	}
}

// newDirectoryID generates the id of a new data directory.
func (r *run) newDirectoryID(p *process) uint64 {
	if old := r.directoryIDs[p.name]; old != 0 && r.bug == KeepsOldID {
		return old
	}
	r.directoryIDs[p.name] = voter.NewID()
	return r.directoryIDs[p.name]
}

// start starts a process under a name, unless one runs.
func (r *run) start(name string) {
	if old := r.processes[name]; old != nil && !old.dead {
		return
	}
	p := r.newProcess(name)
	r.processes[name] = p
	if p.disk = r.disks[name]; p.disk != nil {
		p.startVoter()
	}
	p.heartbeat()
}

// newProcess returns a process whose clock runs at a rate within the drift that the cluster parameters allow.
func (r *run) newProcess(name string) *process {
	r.starts[name]++
	drift := r.conf.Params.Drift
	p := &process{r: r, name: name, id: fmt.Sprintf("%s.%d", name, r.starts[name]), clockRate: 1 + drift*float64(r.w.rng.IntN(3)-1),
		bootOffset: r.w.randomDuration(0, time.Hour), peerQueues: map[string]*peerQueue{}}
	if r.bug == SlowClock && strings.HasPrefix(name, "m") {
		p.clockRate = 0.6
	}
	own := versions.FromSettings(&decide.Settings{Limits: decide.Limits{MaxAttempts: versions.AttemptsLimit}, Classes: []decide.Class{{Name: "pay", Effect: decide.Safe}}})
	self := cluster.Member{Name: name, Token: voter.NewID(), Address: name + ":1"}
	if r.conf.Params.Holdings.Copies > 0 {
		self.Zone = fmt.Sprint(slices.Index(r.names, name) % 3)
		p.store = holdings.NewStore(r.conf.Params.Holdings, holdings.Limits{MaxEntries: 1 << 10})
	}
	p.holder = cluster.NewLeaseHolder(self, r.conf.Params, own, 0)
	p.renewer = cluster.NewLeaseRenewer(p.holder, slices.Sorted(maps.Keys(r.voters)))
	return p
}

// kill kills a process and restarts it later.
func (r *run) kill(p *process) {
	p.kill()
	r.restartLater(p.name)
}

// restartLater schedules the start of a process under a name.
func (r *run) restartLater(name string) {
	r.w.schedule(r.w.randomDuration(100*time.Millisecond, 3*time.Second), "start", name, func() { r.start(name) })
}

// voterStopped handles the stop of a voter by an error. It reports a violation unless an injected fault explains the error. An
// operator restarts the process soon after, with an empty data directory if the old one was set back.
func (r *run) voterStopped(p *process, err error) {
	r.w.record("stopped: "+err.Error(), p.id)
	setBack := strings.Contains(err.Error(), "set back")
	if !(setBack && r.setBack[p.name]) && !(strings.Contains(err.Error(), errDisk.Error()) && r.diskFaultSet[p.name]) {
		r.violation(VoterStopped, "%s: %v", p.id, err)
	}
	r.w.schedule(r.w.randomDuration(100*time.Millisecond, 2*time.Second), "operator", p.id, func() {
		if p.dead {
			return
		}
		p.kill()
		if setBack {
			r.wipe(p.name)
		}
		r.start(p.name)
	})
}

// wipe empties a voter's data directory.
func (r *run) wipe(name string) {
	acksEarly := r.disks[name].acksEarly
	r.disks[name] = newDisk()
	r.disks[name].acksEarly = acksEarly
	delete(r.setBack, name)
	r.incomplete[name] = r.highestApplied
}

// running returns all live processes, paused ones too, in a fixed order.
func (r *run) running() (out []*process) {
	for _, name := range r.names {
		if p := r.processes[name]; p != nil && !p.dead && p.holder != nil {
			out = append(out, p)
		}
	}
	for _, p := range r.duplicates {
		if !p.dead {
			out = append(out, p)
		}
	}
	return out
}

// checkMember checks that the versions a member applies are compatible with those of all others, and that it applies all bans.
func (r *run) checkMember(p *process) {
	if p.dead || p.paused {
		return
	}
	r.checkView(p)
	effective := p.holder.Effective(p.BootTime())
	if r.bug == DropsBans && effective.Cautious {
		effective.Rules.Banned = nil
	}
	for _, n := range []uint64{effective.Active, effective.Next} {
		for _, name := range r.bannedIn[n] {
			if !effective.Rules.Banned[name] {
				r.violation(ForgottenBan, "%s applies version %d, but not its ban of %s", p.id, n, name)
			}
		}
	}
	if effective.Cautious {
		return
	}
	for _, q := range r.running() {
		if q == p || q.paused {
			continue
		}
		other := q.holder.Effective(q.BootTime())
		if other.Cautious {
			continue
		}
		if q.name == p.name {
			r.violation(DuplicateLease, "%s and %s both hold a lease", p.id, q.id)
		}
		if effective.Active != other.Active && effective.Next != other.Active && other.Next != effective.Active {
			r.violation(IncompatibleVersions, "%s applies versions %d+%d and %s applies %d+%d", p.id, effective.Active, effective.Next, q.id, other.Active, other.Next)
		}
	}
}

// checkVoter checks a voter's term and ledger after each call of its core.
func (r *run) checkVoter(p *process) {
	if term, leads := p.core.IsLeader(); leads {
		if other := r.leaderOfTerm[term]; other != "" && other != p.name {
			r.violation(TwoLeaders, "%s and %s lead in term %d", other, p.name, term)
		}
		r.leaderOfTerm[term] = p.name
	}
	l, applied := p.core.Ledger()
	if applied == p.checkedEntry {
		return
	}
	onlyOne := applied == p.checkedEntry+1 // otherwise the states between were not seen
	p.checkedEntry = applied
	r.highestApplied = max(r.highestApplied, applied)
	if applied >= r.incomplete[p.name] {
		delete(r.incomplete, p.name) // setBack stays: later entries may still reveal that the directory was set back
	}
	for _, record := range []*cluster.VersionRecord{&l.Active, l.Next} {
		if record != nil && record.Number > 0 {
			r.bannedIn[record.Number] = record.Doc.Banned
		}
	}
	if _, known := r.activeSince[l.Active.Number]; !known {
		r.activeSince[l.Active.Number] = r.w.now
		for _, name := range slices.Sorted(maps.Keys(l.Members)) {
			if onlyOne && l.Active.Number > 0 && !r.prepared[preparedVersion{l.Members[name].Token, l.Active.Number, l.Epoch}] {
				r.violation(OlderEpoch, "version %d is active in epoch %d, in which %s never reported that it had prepared it", l.Active.Number, l.Epoch, name)
			}
		}
	}
	sum := fnv.New64a()
	fmt.Fprint(sum, l.Epoch, l.Members, l.Active, l.LastNumber, l.Voters, l.ReplacedVoters, l.RejectedProposals, len(l.History))
	if l.Next != nil {
		fmt.Fprint(sum, *l.Next)
	}
	summary := fmt.Sprintf("epoch %d, version %d of %d, digest %x", l.Epoch, l.Active.Number, l.LastNumber, sum.Sum64())
	if other, known := r.ledgerAfter[applied]; known && other != summary {
		r.violation(LedgersDiffer, "after entry %d %s holds %s, and another held %s", applied, p.id, summary, other)
	}
	r.ledgerAfter[applied] = summary
}

// recordGrant records a grant as a read of the versions, for the check of linearizability.
func (r *run) recordGrant(p *process, sentAt time.Duration, g *cluster.Grant, err error) {
	// Only the grants of a few members are recorded. They are enough for the check, since each member renews eight times per lease.
	if i := slices.Index(r.names, p.name); i%max(4, len(r.names)/8) != 0 || err != nil || !g.Granted && !g.RetryNow {
		return
	}
	result := clientResult{active: g.Active.Number}
	if g.Next != nil {
		result.next = g.Next.Number
	}
	r.history.add(p.id, sentAt, r.w.now, clientCall{}, result)
}

// unpausedLeader returns the leader's process, that of the newest term if several lead; nil if no unpaused process leads. A leader that
// is partitioned counts too.
func (r *run) unpausedLeader() *process {
	var best *process
	newest := uint64(0)
	for _, p := range r.running() {
		if p.core == nil || p.paused {
			continue
		}
		if term, leads := p.core.IsLeader(); leads && term >= newest {
			best, newest = p, term
		}
	}
	return best
}

// sample measures how long no unpaused process has led and, from 3 s after the start of the run on, what share of the unpaused processes
// is cautious. It takes a sample at each sampleInterval.
func (r *run) sample() {
	if r.unpausedLeader() == nil {
		r.leaderlessFor += sampleInterval
	} else if r.leaderlessFor > 0 {
		r.result.LeaderlessTimes = append(r.result.LeaderlessTimes, r.leaderlessFor)
		r.leaderlessFor = 0
	}
	for _, p := range r.running() {
		if r.w.now < 3*time.Second || p.paused {
			continue
		}
		if r.samples++; p.holder.Effective(p.BootTime()).Cautious {
			r.cautiousSamples++
		}
	}
	r.w.schedule(sampleInterval, "sample", "", r.sample)
}

// settle heals all faults and waits until the cluster has settled on a last version.
func (r *run) settle() {
	r.faultsOver = true
	r.healAll()
	began, limit := r.w.now, r.w.now+settleLimit
	last := uint64(0)
	r.w.schedule(2*time.Second, "propose", "last", func() { r.proposeUntilReported(func(n uint64) { last = n }) })
	for r.failure == nil && r.w.now < limit {
		if !r.w.step(limit) || last > 0 && r.settledOn(last) {
			break
		}
	}
	if r.failure != nil {
		return
	}
	if last == 0 || !r.settledOn(last) {
		r.violation(NotSettled, "not settled %v after all faults were healed: the last version reported is %d; %s", settleLimit, last, r.describe())
		return
	}
	r.result.SettleTime = r.w.now - began
	for _, p := range r.running() {
		if p.core == nil {
			continue
		}
		l, _ := p.core.Ledger()
		for _, v := range r.reported {
			if have := l.Find(v.id); have == nil || have.Number != v.number {
				r.violation(LostVersion, "version %d was reported to its proposer, but %s does not have it", v.number, p.id)
			}
		}
	}
}

// settledOn reports whether all processes run, all members apply this version or a newer one and no other, and all voters have it.
func (r *run) settledOn(version uint64) bool {
	up := r.running()
	if len(up) < len(r.names) {
		return false
	}
	for _, p := range up {
		s := p.holder.Effective(p.BootTime())
		if s.Cautious || s.Active < version || s.Next != 0 {
			return false
		}
		if p.store != nil && !r.viewIsCurrent(p) {
			return false
		}
		if r.voters[p.name] == "" {
			continue
		}
		if p.core == nil {
			return false
		}
		if l, applied := p.core.Ledger(); l.Active.Number < version || applied < r.highestApplied {
			return false
		}
	}
	return true
}

// describe returns the state of each process, for failure messages.
func (r *run) describe() string {
	var out []string
	for _, p := range r.running() {
		s := p.holder.Effective(p.BootTime())
		text := fmt.Sprintf("%s on %d+%d", p.id, s.Active, s.Next)
		if s.Cautious {
			text += fmt.Sprintf(" cautious (%s)", p.noLeaseReason)
		}
		if p.core != nil {
			l, applied := p.core.Ledger()
			term, leads := p.core.IsLeader()
			text += fmt.Sprintf(" (entry %d of %d, leads %v, term %d, voters %v)", applied, r.highestApplied, leads, term, l.Voters)
		} else if p.voterErr != nil {
			text += fmt.Sprintf(" (%v)", p.voterErr)
		}
		out = append(out, text)
	}
	return strings.Join(out, "; ")
}
