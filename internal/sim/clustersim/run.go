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

// Conf is what a run plays.
type Conf struct {
	Voters, Members int // members that are no keepers: each keeper is a member too
	Params          cluster.Params
	Duration        time.Duration // of faults; then all is mended
	// FaultEvery is how far apart faults begin, about, in the middle one of three kinds of days; 0 for none.
	FaultEvery time.Duration
	// ProposeEvery is how far apart proposals are, about; 0 for none but the last.
	ProposeEvery time.Duration
	// The write of a keeper's disk that trouble befalls, by its number; 0 for none but the drawn ones.
	DiskFaultAt int
	DiskFault   DiskFault
}

// DefaultConf is the crew that CI plays.
func DefaultConf() Conf {
	return Conf{Voters: 5, Members: 25, Params: cluster.Params{Lease: time.Second, Drift: 0.01, Slack: 200 * time.Millisecond},
		Duration: 20 * time.Second, FaultEvery: 700 * time.Millisecond, ProposeEvery: time.Second}
}

// HoldingsConf is that crew with copied holdings, whose members are told of each other and of the placement.
func HoldingsConf() Conf {
	c := DefaultConf()
	c.Params.Holdings = clusterparams.Holdings{Copies: 2, Keep: time.Minute, LostAfter: 3 * time.Second}
	return c
}

// Options are those of a run that do not change what it does, but for a planted bug.
type Options struct {
	Trace, Log io.Writer // nil for none
	Bug        Bug
	// Only is the one rule that counts, "" for all: whether a bug is found by what it does, not by the program's own guard
	// that meets it before.
	Only string
	// FixChecksums has the checksums of faulty deltas made right, so that what a member knows shows the fault.
	FixChecksums bool
}

// Bug is planted into what is round the cores.
type Bug string

// The bugs.
const (
	CountsFromAnswer        Bug = "a member counts its lease from the answer"
	ClockStops              Bug = "a member's clock stops while its machine is suspended"
	SlowClock               Bug = "a member's clock is slower than the terms allow"
	SameToken               Bug = "a second process of a name comes with the first one's token"
	IgnoresEpoch            Bug = "a leader grants what is asked for under an older epoch"
	DropsBans               Bug = "a member that is cut off drops the bans"
	ConfirmsWithoutMajority Bug = "a leader takes itself for confirmed without a majority"
	ReportsEarly            Bug = "a leader tells a proposal's number before it is agreed on"
	AcksBeforeSync          Bug = "a disk says yes before a write is durable"
	TrustsOldDirectory      Bug = "a folder that was set back is trusted at once"
	KeepsOldID              Bug = "an empty folder comes back under the id of the lost one"
	AcceptsStaleMessages    Bug = "a folder takes word that was for the one before it"
	StopsSending            Bug = "a keeper says nothing more to one that it could not reach once"
	OmitsChange             Bug = "a delta lacks a change"
	ReappliesDelta          Bug = "a delta is applied again after a later one"
	WrongBase               Bug = "a delta starts from a later state than it says"
	TruncatedHistory        Bug = "a history was cut, and changes are told from before that"
)

// The rules that a run checks.
const (
	IncompatibleVersions = "apart"        // two members act on versions that are no neighbours
	DuplicateLease       = "twice"        // two processes of one name hold a lease
	ForgottenBan         = "forgets"      // a member does not act on a ban of a version that it acts on
	OlderEpoch           = "older_epoch"  // a member is back in an epoch that has passed
	TwoLeaders           = "two_leaders"  // two leaders of one term
	LedgersDiffer        = "differ"       // two keepers hold different ledgers after the same entry
	LostVersion          = "lost"         // a version that was told is not there
	NotLinearizable      = "not_in_order" // what was told fits no order of events
	ViewsDiffer          = "views"        // a member knows other members or another placement than the ledger had
	VoterStopped         = "stops"        // a keeper ends for no reason that was played
	NotSettled           = "stuck"        // the crew is not well long after all was mended
	settleLimit          = 20 * time.Second
	sampleInterval       = 50 * time.Millisecond
)

// Failure is a broken rule.
type Failure = sim.Failure

// Result is what a run left.
type Result struct {
	Failure         *Failure // nil for a good run
	Hash            uint64   // over all steps
	Steps           int
	Faults          map[string]int
	Versions        int             // told
	ActivationTimes []time.Duration // from each proposal to a ledger in which it is active
	LeaderlessTimes []time.Duration // for so long nobody led that could be reached
	CautiousShare   float64         // share of the members' time
	UnknownOutcomes int             // proposals that nobody learnt the fate of
	SettleTime      time.Duration   // from when all was mended until the crew was well
	Deltas          map[string]int  // taken by members: whole, changes, and differing ones that were not taken
	DiskFaultHit    bool            // Conf.TroubleAt has come
}

// run is one run.
type run struct {
	w            *world
	conf         Conf
	opts         Options
	bug          Bug
	voters       map[string]string // as each is started with
	names        []string          // of members, keepers first
	processes    map[string]*process
	duplicates   []*process // second processes of a name
	starts       map[string]int
	disks        map[string]*disk
	directoryIDs map[string]uint64
	incomplete   map[string]uint64 // keepers whose folder was lost or set back, until they have so many entries
	setBack      map[string]bool
	diskFaultSet map[string]bool
	partitioned  map[direction]bool
	heldMessages []heldMessage
	faultsOver   bool // faults are over

	failure                   *Failure
	leaderOfTerm              map[uint64]string
	ledgerAfter               map[uint64]string // what a ledger says after so many entries
	membershipOf              map[uint64]string // that a ledger has in an epoch
	placementOf               map[uint64]string // and by its number
	highestApplied            uint64            // entries that any keeper has applied
	bannedIn                  map[uint64][]string
	activeSince               map[uint64]time.Duration // when a version was first active
	reported                  []reportedVersion
	prepared                  map[preparedVersion]bool
	history                   history
	documents                 documentState
	result                    Result
	leaderlessFor             time.Duration // nobody leads since so long
	usualLatency, slowLatency time.Duration // of messages on their way, most and of a few
	samples, cautiousSamples  int
}

// preparedVersion is a member's word, in an epoch, that it acts on a version.
type preparedVersion struct{ token, version, epoch uint64 }

// reportedVersion is a version whose number its author was told.
type reportedVersion struct {
	number, id uint64
	proposedAt time.Duration
}

// Run plays a seed.
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

func (r *run) violation(rule, format string, args ...any) {
	if r.failure == nil && (r.opts.Only == "" || rule == r.opts.Only) {
		r.failure = &Failure{Rule: rule, Step: r.w.steps, At: r.w.now, What: fmt.Sprintf(format, args...)}
		r.w.record("broken "+rule, "")
	}
}

// newDirectoryID draws the id of a new folder.
func (r *run) newDirectoryID(p *process) uint64 {
	if old := r.directoryIDs[p.name]; old != 0 && r.bug == KeepsOldID {
		return old
	}
	r.directoryIDs[p.name] = voter.NewID()
	return r.directoryIDs[p.name]
}

// start starts a process of a name.
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
		p.store = holdings.NewStore(r.conf.Params.Holdings, 1<<10)
	}
	p.holder = cluster.NewLeaseHolder(self, r.conf.Params, own, 0)
	p.renewer = cluster.NewLeaseRenewer(p.holder, slices.Sorted(maps.Keys(r.voters)))
	return p
}

func (r *run) kill(p *process) {
	p.kill()
	r.restartLater(p.name)
}

func (r *run) restartLater(name string) {
	r.w.schedule(r.w.randomDuration(100*time.Millisecond, 3*time.Second), "start", name, func() { r.start(name) })
}

// voterStopped is called when a keeper takes no further part. Its operator starts the process again, with an empty folder
// where that was set back or is damaged.
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

// wipe empties a keeper's folder.
func (r *run) wipe(name string) {
	acksEarly := r.disks[name].acksEarly
	r.disks[name] = newDisk()
	r.disks[name].acksEarly = acksEarly
	delete(r.setBack, name)
	r.incomplete[name] = r.highestApplied
}

// running are the processes that stand, in order.
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

// checkMember looks whether a member, whose stance may have changed, contradicts another.
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
				r.violation(ForgottenBan, "%s acts on version %d and not on its ban of %s", p.id, n, name)
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
			r.violation(IncompatibleVersions, "%s acts on %d+%d and %s on %d+%d", p.id, effective.Active, effective.Next, q.id, other.Active, other.Next)
		}
	}
}

// checkVoter looks at what a keeper that has settled holds.
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
	onlyOne := applied == p.checkedEntry+1 // else what was true between is not seen
	p.checkedEntry = applied
	r.highestApplied = max(r.highestApplied, applied)
	if applied >= r.incomplete[p.name] {
		delete(r.incomplete, p.name) // entries that nobody has applied yet may still show that it was set back
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
				r.violation(OlderEpoch, "version %d is active in epoch %d, in which %s never said that it acts on it", l.Active.Number, l.Epoch, name)
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

// recordGrant books what a member was told.
func (r *run) recordGrant(p *process, sentAt time.Duration, g *cluster.Grant, err error) {
	// A few members' words are enough for the order of events; they come eight times a lease.
	if i := slices.Index(r.names, p.name); i%max(4, len(r.names)/8) != 0 || err != nil || !g.Granted && !g.RetryNow {
		return
	}
	result := clientResult{active: g.Active.Number}
	if g.Next != nil {
		result.next = g.Next.Number
	}
	r.history.add(p.id, sentAt, r.w.now, clientCall{}, result)
}

// reachableLeader tells whether a keeper leads that can be reached: the one of the newest term.
func (r *run) reachableLeader() *process {
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

// sample measures.
func (r *run) sample() {
	if r.reachableLeader() == nil {
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

// settle mends everything and waits until the crew is well: all in, and a last version acted on by all.
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
		r.violation(NotSettled, "%v after all was mended: the last version told is %d; %s", settleLimit, last, r.describe())
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
				r.violation(LostVersion, "version %d was told, and %s does not have it", v.number, p.id)
			}
		}
	}
}

// settledOn tells whether all act on a version alone, and all keepers have it.
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

// describe tells where everybody is.
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
			text += fmt.Sprintf(" (entry %d of %d, leads %v, term %d, keepers %v)", applied, r.highestApplied, leads, term, l.Voters)
		} else if p.voterErr != nil {
			text += fmt.Sprintf(" (%v)", p.voterErr)
		}
		out = append(out, text)
	}
	return strings.Join(out, "; ")
}
