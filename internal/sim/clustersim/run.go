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
	Keepers, Members int // members that are no keepers: each keeper is a member too
	Terms            cluster.Params
	Duration         time.Duration // of faults; then all is mended
	// FaultEvery is how far apart faults begin, about, in the middle one of three kinds of days; 0 for none.
	FaultEvery time.Duration
	// ProposeEvery is how far apart proposals are, about; 0 for none but the last.
	ProposeEvery time.Duration
	// The write of a keeper's disk that trouble befalls, by its number; 0 for none but the drawn ones.
	TroubleAt int
	Trouble   Trouble
}

// Usual is the crew that CI plays.
func Usual() Conf {
	return Conf{Keepers: 5, Members: 25, Terms: cluster.Params{Lease: time.Second, Drift: 0.01, Slack: 200 * time.Millisecond},
		Duration: 20 * time.Second, FaultEvery: 700 * time.Millisecond, ProposeEvery: time.Second}
}

// Held is that crew with copied holdings, whose members are told of each other and of the placement.
func Held() Conf {
	c := Usual()
	c.Terms.Holdings = clusterparams.Holdings{Copies: 2, Keep: time.Minute, LostAfter: 3 * time.Second}
	return c
}

// Options are those of a run that do not change what it does, but for a planted bug.
type Options struct {
	Trace, Log io.Writer // nil for none
	Bug        Bug
	// Only is the one rule that counts, "" for all: whether a bug is found by what it does, not by the program's own guard
	// that meets it before.
	Only string
	// Forged has the checksums of faulty deltas made right, so that what a member knows shows the fault.
	Forged bool
}

// Bug is planted into what is round the cores.
type Bug string

// The bugs.
const (
	CountsFromAnswer Bug = "a member counts its lease from the answer"
	ClockStops       Bug = "a member's clock stops while its machine is suspended"
	SlowClock        Bug = "a member's clock is slower than the terms allow"
	SameToken        Bug = "a second process of a name comes with the first one's token"
	AnyEpoch         Bug = "a leader grants what is asked for under an older epoch"
	DropsBans        Bug = "a member that is cut off drops the bans"
	NoMajority       Bug = "a leader takes itself for confirmed without a majority"
	TellsEarly       Bug = "a leader tells a proposal's number before it is agreed on"
	YesBeforeSync    Bug = "a disk says yes before a write is durable"
	TrustsOldFolder  Bug = "a folder that was set back is trusted at once"
	KeepsOldID       Bug = "an empty folder comes back under the id of the lost one"
	TakesOldWord     Bug = "a folder takes word that was for the one before it"
	FallsSilent      Bug = "a keeper says nothing more to one that it could not reach once"
	LeavesOut        Bug = "a delta lacks a change"
	AppliesAgain     Bug = "a delta is applied again after a later one"
	WrongBase        Bug = "a delta starts from a later state than it says"
	ShortHistory     Bug = "a history was cut, and changes are told from before that"
)

// The rules that a run checks.
const (
	Apart       = "apart"        // two members act on versions that are no neighbours
	TwiceThere  = "twice"        // two processes of one name hold a lease
	Forgets     = "forgets"      // a member does not act on a ban of a version that it acts on
	OlderEpoch  = "older_epoch"  // a member is back in an epoch that has passed
	TwoLeaders  = "two_leaders"  // two leaders of one term
	Differ      = "differ"       // two keepers hold different ledgers after the same entry
	Lost        = "lost"         // a version that was told is not there
	NotInOrder  = "not_in_order" // what was told fits no order of events
	Views       = "views"        // a member knows other members or another placement than the ledger had
	Stops       = "stops"        // a keeper ends for no reason that was played
	Stuck       = "stuck"        // the crew is not well long after all was mended
	mostSettle  = 20 * time.Second
	sampleEvery = 50 * time.Millisecond
)

// Failure is a broken rule.
type Failure = sim.Failure

// Result is what a run left.
type Result struct {
	Failure  *Failure // nil for a good run
	Hash     uint64   // over all steps
	Steps    int
	Faults   map[string]int
	Versions int             // told
	Active   []time.Duration // from each proposal to a ledger in which it is active
	Leaders  []time.Duration // for so long nobody led that could be reached
	Cautious float64         // share of the members' time
	Unknown  int             // proposals that nobody learnt the fate of
	Settled  time.Duration   // from when all was mended until the crew was well
	Deltas   map[string]int  // taken by members: whole, changes, and differing ones that were not taken
	Troubled bool            // Conf.TroubleAt has come
}

// run is one run.
type run struct {
	w        *world
	conf     Conf
	opts     Options
	bug      Bug
	keepers  map[string]string // as each is started with
	names    []string          // of members, keepers first
	procs    map[string]*process
	twins    []*process // second processes of a name
	starts   map[string]int
	disks    map[string]*disk
	ids      map[string]uint64
	doubt    map[string]uint64 // keepers whose folder was lost or set back, until they have so many entries
	setBack  map[string]bool
	troubled map[string]bool
	cut      map[way]bool
	held     []held
	calm     bool // faults are over

	fault             *Failure
	leaders           map[uint64]string
	agreed            map[uint64]string // what a ledger says after so many entries
	membership        map[uint64]string // that a ledger has in an epoch
	placement         map[uint64]string // and by its number
	highest           uint64            // entries that any keeper has applied
	banned            map[uint64][]string
	acting            map[uint64]time.Duration // when a version was first active
	told              []toldVersion
	said              map[saying]bool
	history           history
	next              proposalDice
	result            Result
	gap               time.Duration // nobody leads since so long
	usual, slow       time.Duration // of messages on their way, most and of a few
	samples, cautious int
}

// saying is a member's word, in an epoch, that it acts on a version.
type saying struct{ token, version, epoch uint64 }

// toldVersion is a version whose number its author was told.
type toldVersion struct {
	number, id uint64
	asked      time.Duration
}

// Play plays a seed.
func Play(seedOf uint64, conf Conf, opts Options) Result {
	w, done := seed(seedOf)
	defer done()
	w.trace = opts.Trace
	r := &run{w: w, conf: conf, opts: opts, bug: opts.Bug, keepers: map[string]string{}, procs: map[string]*process{}, starts: map[string]int{},
		disks: map[string]*disk{}, ids: map[string]uint64{}, doubt: map[string]uint64{}, setBack: map[string]bool{},
		troubled: map[string]bool{}, cut: map[way]bool{}, leaders: map[uint64]string{}, agreed: map[uint64]string{}, banned: map[uint64][]string{},
		acting: map[uint64]time.Duration{}, said: map[saying]bool{}, membership: map[uint64]string{}, placement: map[uint64]string{},
		result: Result{Faults: map[string]int{}, Deltas: map[string]int{}}}
	r.usual = []time.Duration{time.Millisecond, 5 * time.Millisecond, 30 * time.Millisecond}[w.dice.IntN(3)]
	r.slow = []time.Duration{r.usual, 100 * time.Millisecond, 400 * time.Millisecond}[w.dice.IntN(3)]
	r.conf.FaultEvery = conf.FaultEvery * time.Duration([]int{2, 4, 12}[w.dice.IntN(3)]) / 4
	for i := range conf.Keepers {
		name := fmt.Sprintf("k%d", i+1)
		r.keepers[name] = name + ":1"
		r.names = append(r.names, name)
		r.disks[name] = newDisk()
		r.disks[name].lies = opts.Bug == YesBeforeSync
	}
	for i := range conf.Members {
		r.names = append(r.names, fmt.Sprintf("m%d", i+1))
	}
	for _, name := range r.names {
		w.after(w.between(0, 300*time.Millisecond), "start", name, func() { r.start(name) })
	}
	r.procs[client] = &process{r: r, name: client, id: client, rate: 1}
	if conf.TroubleAt > 0 {
		r.disks["k1"].fails, r.disks["k1"].trouble, r.troubled["k1"] = conf.TroubleAt, conf.Trouble, true
	}
	w.after(sampleEvery, "sample", "", r.sample)
	if conf.ProposeEvery > 0 {
		w.after(conf.ProposeEvery, "propose", "", r.proposeOften)
	}
	if conf.FaultEvery > 0 {
		w.after(3*time.Second, "strike", "", r.strike)
	}
	for r.fault == nil && w.step(conf.Duration) {
	}
	if r.fault == nil {
		r.settle()
	}
	if r.fault == nil {
		if err := r.history.check(); err != nil {
			r.broken(NotInOrder, "%v", err)
		}
	}
	res := &r.result
	res.Failure, res.Hash, res.Steps, res.Versions = r.fault, w.sum.Sum64(), w.steps, len(r.told)
	res.Cautious = float64(r.cautious) / float64(max(1, r.samples))
	for _, v := range r.told {
		if at, ok := r.acting[v.number]; ok {
			res.Active = append(res.Active, at-v.asked)
		}
	}
	res.Troubled = conf.TroubleAt > 0 && r.disks["k1"].met
	return *res
}

func (r *run) broken(rule, format string, args ...any) {
	if r.fault == nil && (r.opts.Only == "" || rule == r.opts.Only) {
		r.fault = &Failure{Rule: rule, Step: r.w.steps, At: r.w.now, What: fmt.Sprintf(format, args...)}
		r.w.note("broken "+rule, "")
	}
}

// fresh draws the id of a new folder.
func (r *run) fresh(p *process) uint64 {
	if old := r.ids[p.name]; old != 0 && r.bug == KeepsOldID {
		return old
	}
	r.ids[p.name] = voter.NewID()
	return r.ids[p.name]
}

// start starts a process of a name.
func (r *run) start(name string) {
	if old := r.procs[name]; old != nil && !old.dead {
		return
	}
	p := r.newProcess(name)
	r.procs[name] = p
	if p.disk = r.disks[name]; p.disk != nil {
		p.open()
	}
	p.heartbeat()
}

func (r *run) newProcess(name string) *process {
	r.starts[name]++
	drift := r.conf.Terms.Drift
	p := &process{r: r, name: name, id: fmt.Sprintf("%s.%d", name, r.starts[name]), rate: 1 + drift*float64(r.w.dice.IntN(3)-1),
		booted: r.w.between(0, time.Hour), lines: map[string]*line{}}
	if r.bug == SlowClock && strings.HasPrefix(name, "m") {
		p.rate = 0.6
	}
	own := versions.FromSettings(&decide.Settings{Limits: decide.Limits{MaxAttempts: versions.AttemptsLimit}, Classes: []decide.Class{{Name: "pay", Effect: decide.Safe}}})
	self := cluster.Member{Name: name, Token: voter.NewID(), Address: name + ":1"}
	if r.conf.Terms.Holdings.Copies > 0 {
		self.Zone = fmt.Sprint(slices.Index(r.names, name) % 3)
		p.store = holdings.NewStore(r.conf.Terms.Holdings, 1<<10)
	}
	p.holder = cluster.NewLeaseHolder(self, r.conf.Terms, own, 0)
	p.seeker = cluster.NewLeaseRenewer(p.holder, slices.Sorted(maps.Keys(r.keepers)))
	return p
}

func (r *run) kill(p *process) {
	p.kill()
	r.startLater(p.name)
}

func (r *run) startLater(name string) {
	r.w.after(r.w.between(100*time.Millisecond, 3*time.Second), "start", name, func() { r.start(name) })
}

// stopped is called when a keeper takes no further part. Its operator starts the process again, with an empty folder
// where that was set back or is damaged.
func (r *run) stopped(p *process, err error) {
	r.w.note("stopped: "+err.Error(), p.id)
	setBack := strings.Contains(err.Error(), "set back")
	if !(setBack && r.setBack[p.name]) && !(strings.Contains(err.Error(), errDisk.Error()) && r.troubled[p.name]) {
		r.broken(Stops, "%s: %v", p.id, err)
	}
	r.w.after(r.w.between(100*time.Millisecond, 2*time.Second), "operator", p.id, func() {
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
	lies := r.disks[name].lies
	r.disks[name] = newDisk()
	r.disks[name].lies = lies
	delete(r.setBack, name)
	r.doubt[name] = r.highest
}

// all are the processes that stand, in order.
func (r *run) all() (out []*process) {
	for _, name := range r.names {
		if p := r.procs[name]; p != nil && !p.dead && p.holder != nil {
			out = append(out, p)
		}
	}
	for _, p := range r.twins {
		if !p.dead {
			out = append(out, p)
		}
	}
	return out
}

// judge looks whether a member, whose stance may have changed, contradicts another.
func (r *run) judge(p *process) {
	if p.dead || p.paused {
		return
	}
	r.judgeView(p)
	x := p.holder.Effective(p.BootTime())
	if r.bug == DropsBans && x.Cautious {
		x.Rules.Banned = nil
	}
	for _, n := range []uint64{x.Active, x.Next} {
		for _, name := range r.banned[n] {
			if !x.Rules.Banned[name] {
				r.broken(Forgets, "%s acts on version %d and not on its ban of %s", p.id, n, name)
			}
		}
	}
	if x.Cautious {
		return
	}
	for _, q := range r.all() {
		if q == p || q.paused {
			continue
		}
		y := q.holder.Effective(q.BootTime())
		if y.Cautious {
			continue
		}
		if q.name == p.name {
			r.broken(TwiceThere, "%s and %s both hold a lease", p.id, q.id)
		}
		if x.Active != y.Active && x.Next != y.Active && y.Next != x.Active {
			r.broken(Apart, "%s acts on %d+%d and %s on %d+%d", p.id, x.Active, x.Next, q.id, y.Active, y.Next)
		}
	}
}

// judgeKeeper looks at what a keeper that has settled holds.
func (r *run) judgeKeeper(p *process) {
	if term, leads := p.core.IsLeader(); leads {
		if other := r.leaders[term]; other != "" && other != p.name {
			r.broken(TwoLeaders, "%s and %s lead in term %d", other, p.name, term)
		}
		r.leaders[term] = p.name
	}
	l, applied := p.core.Ledger()
	if applied == p.judged {
		return
	}
	single := applied == p.judged+1 // else what was true between is not seen
	p.judged = applied
	r.highest = max(r.highest, applied)
	if applied >= r.doubt[p.name] {
		delete(r.doubt, p.name) // entries that nobody has applied yet may still show that it was set back
	}
	for _, round := range []*cluster.VersionRecord{&l.Active, l.Next} {
		if round != nil && round.Number > 0 {
			r.banned[round.Number] = round.Doc.Banned
		}
	}
	if _, known := r.acting[l.Active.Number]; !known {
		r.acting[l.Active.Number] = r.w.now
		for _, name := range slices.Sorted(maps.Keys(l.Members)) {
			if single && l.Active.Number > 0 && !r.said[saying{l.Members[name].Token, l.Active.Number, l.Epoch}] {
				r.broken(OlderEpoch, "version %d is active in epoch %d, in which %s never said that it acts on it", l.Active.Number, l.Epoch, name)
			}
		}
	}
	sum := fnv.New64a()
	fmt.Fprint(sum, l.Epoch, l.Members, l.Active, l.LastNumber, l.Voters, l.ReplacedVoters, l.RejectedProposals, len(l.History))
	if l.Next != nil {
		fmt.Fprint(sum, *l.Next)
	}
	says := fmt.Sprintf("epoch %d, version %d of %d, digest %x", l.Epoch, l.Active.Number, l.LastNumber, sum.Sum64())
	if other, known := r.agreed[applied]; known && other != says {
		r.broken(Differ, "after entry %d %s holds %s, and another held %s", applied, p.id, says, other)
	}
	r.agreed[applied] = says
}

// heard books what a member was told.
func (r *run) heard(p *process, asked time.Duration, g *cluster.Grant, err error) {
	// A few members' words are enough for the order of events; they come eight times a lease.
	if i := slices.Index(r.names, p.name); i%max(4, len(r.names)/8) != 0 || err != nil || !g.Granted && !g.RetryNow {
		return
	}
	read := told{active: g.Active.Number}
	if g.Next != nil {
		read.next = g.Next.Number
	}
	r.history.add(p.id, asked, r.w.now, asking{}, read)
}

// leads tells whether a keeper leads that can be reached: the one of the newest term.
func (r *run) leads() *process {
	var best *process
	newest := uint64(0)
	for _, p := range r.all() {
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
	if r.leads() == nil {
		r.gap += sampleEvery
	} else if r.gap > 0 {
		r.result.Leaders = append(r.result.Leaders, r.gap)
		r.gap = 0
	}
	for _, p := range r.all() {
		if r.w.now < 3*time.Second || p.paused {
			continue
		}
		if r.samples++; p.holder.Effective(p.BootTime()).Cautious {
			r.cautious++
		}
	}
	r.w.after(sampleEvery, "sample", "", r.sample)
}

// settle mends everything and waits until the crew is well: all in, and a last version acted on by all.
func (r *run) settle() {
	r.calm = true
	r.mend()
	began, limit := r.w.now, r.w.now+mostSettle
	last := uint64(0)
	r.w.after(2*time.Second, "propose", "last", func() { r.proposeLast(func(n uint64) { last = n }) })
	for r.fault == nil && r.w.now < limit {
		if !r.w.step(limit) || last > 0 && r.well(last) {
			break
		}
	}
	if r.fault != nil {
		return
	}
	if last == 0 || !r.well(last) {
		r.broken(Stuck, "%v after all was mended: the last version told is %d; %s", mostSettle, last, r.describe())
		return
	}
	r.result.Settled = r.w.now - began
	for _, p := range r.all() {
		if p.core == nil {
			continue
		}
		l, _ := p.core.Ledger()
		for _, v := range r.told {
			if have := l.Find(v.id); have == nil || have.Number != v.number {
				r.broken(Lost, "version %d was told, and %s does not have it", v.number, p.id)
			}
		}
	}
}

// well tells whether all act on a version alone, and all keepers have it.
func (r *run) well(version uint64) bool {
	up := r.all()
	if len(up) < len(r.names) {
		return false
	}
	for _, p := range up {
		s := p.holder.Effective(p.BootTime())
		if s.Cautious || s.Active < version || s.Next != 0 {
			return false
		}
		if p.store != nil && !r.current(p) {
			return false
		}
		if r.keepers[p.name] == "" {
			continue
		}
		if p.core == nil {
			return false
		}
		if l, applied := p.core.Ledger(); l.Active.Number < version || applied < r.highest {
			return false
		}
	}
	return true
}

// describe tells where everybody is.
func (r *run) describe() string {
	var out []string
	for _, p := range r.all() {
		s := p.holder.Effective(p.BootTime())
		text := fmt.Sprintf("%s on %d+%d", p.id, s.Active, s.Next)
		if s.Cautious {
			text += fmt.Sprintf(" cautious (%s)", p.why)
		}
		if p.core != nil {
			l, applied := p.core.Ledger()
			term, leads := p.core.IsLeader()
			text += fmt.Sprintf(" (entry %d of %d, leads %v, term %d, keepers %v)", applied, r.highest, leads, term, l.Voters)
		} else if p.failed != nil {
			text += fmt.Sprintf(" (%v)", p.failed)
		}
		out = append(out, text)
	}
	return strings.Join(out, "; ")
}
