// Package voter carries a crew's agreement: etcd's raft over a bbolt file, the ledger that follows from its log, and the
// leases that its leader grants. One goroutine owns all of it; what comes over the network is handed to it as events.
package voter

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"heathgap/internal/cluster"
)

// Figures of a keeper.
const (
	// TickEvery is how often a core is to be told that time has passed.
	TickEvery = 50 * time.Millisecond
	// electionTicks without word from a leader begin an election, up to twice as many at random: above a bad fsync.
	electionTicks  = 10
	heartbeatTicks = 2
	readTime       = time.Second     // a majority must have confirmed the leader by then
	formEvery      = time.Second / 4 // keepers that form a crew ask each other
	compactEvery   = 1000            // entries of the log, until a snapshot takes their place
	compactKeep    = 200             // of which stay for followers that lag
)

// Conf is what a keeper is started with.
type Conf struct {
	Cluster string
	Name    string
	Voters  map[string]string // addresses by names, this one's too
	Params  cluster.Params
	DataDir string // folder
}

// Clock is a keeper's view of time; env.Env has it.
type Clock interface {
	Now() time.Time
	BootTime() time.Duration
}

// Transport are how a keeper speaks to the others. Calls return at once, and may lose what they are given.
type Transport interface {
	// Send has messages of raft said to another keeper; false when there was no room for them.
	Send(keeper string, m *raftpb.Message) bool
	// Announce has another keeper told this one's word; its answer is to come to Hear.
	Announce(keeper string, mine Announcement)
}

// Core is a keeper without network and goroutines: what comes is told to it, what it says goes to its Ways, and Settle does
// all that follows. A process drives it (Keeper), and so does the simulation. It is to be called by one goroutine. Raft
// panics on a log that can't be; whoever drives it takes that for an error that ends it.
type Core struct {
	conf  Conf
	clock Clock
	log   zerolog.Logger
	store *store
	ways  Transport
	fail  error // why it ended

	node     *raft.RawNode // nil until the crew is formed
	ledger   *cluster.Ledger
	applied  uint64
	conf3    *raftpb.ConfState // as applied
	leader   uint64            // id; 0 for none
	state    raft.StateType
	granter  *cluster.Lessor // while it leads
	term     uint64          // in which it came to lead
	mark     uint64          // of the entry of its own that is on its way; 0 for none
	marks    uint64
	waiting  []renewal // for a majority's word
	reading  *read
	reads    uint64
	asked    map[uint64][]func(ProposeResult, error) // proposals on their way, by id
	heard    map[string]Announcement
	met      map[string]uint64 // ids of folders that others have last spoken with, by names
	seen     map[uint64]past   // of other keepers' folders, by id
	nextForm time.Time
	dropped  int64 // messages to keepers that there was no room for
	// What the others told when this keeper started with a folder: see clear.go.
	clearing  *clearing
	voteAfter uint64
	atLeast   logEnd
	bounds    map[string]logEnd    // whose words made it so, by names
	spoke     map[uint64]time.Time // when each folder was last heard, by id
}

// renewal is a member's renewal that waits.
type renewal struct {
	r     cluster.Renewal
	reply func(RenewResult)
}

// read is a question to a majority whether this is the leader.
type read struct {
	id    uint64
	batch []renewal
	index uint64 // 0 until a majority has said yes
	until time.Time
}

// RenewResult is the answer to a renewal.
type RenewResult struct {
	Grant  *cluster.Grant `cbor:"1,keyasint,omitempty"`
	Leader string         `cbor:"2,keyasint,omitempty"` // its name, where this keeper does not lead
}

// ProposeResult is the answer to a proposal.
type ProposeResult struct {
	Number uint64 `cbor:"1,keyasint"`
	Leader string `cbor:"2,keyasint,omitempty"`
}

// logged is an entry of the log. The mark tells a leader its own.
type logged struct {
	Mark  uint64        `cbor:"1,keyasint"`
	Entry cluster.Entry `cbor:"2,keyasint"`
}

// NewID draws an id, never 0.
func NewID() uint64 {
	var b [8]byte
	rand.Read(b[:]) //nolint:errcheck // it does not fail
	return binary.BigEndian.Uint64(b[:]) | 1
}

// NewCore opens a keeper on its disk; where names that to people. fresh draws the id of a new folder.
func NewCore(conf Conf, clock Clock, logTo zerolog.Logger, disk Disk, where string, fresh func() uint64, ways Transport) (*Core, error) {
	store, err := newStore(disk, where, conf.Cluster, conf.Name, fresh)
	if err != nil {
		return nil, err
	}
	return &Core{conf: conf, clock: clock, log: logTo, store: store, ways: ways, ledger: cluster.NewLedger(),
		asked: map[uint64][]func(ProposeResult, error){}, heard: map[string]Announcement{}, met: map[string]uint64{}, spoke: map[uint64]time.Time{}, seen: map[uint64]past{}}, nil
}

// Err is why it takes no further part; nil while it does.
func (k *Core) Err() error { return k.fail }

// IsLeader tells whether it takes itself for the leader, and in which term.
func (k *Core) IsLeader() (term uint64, leads bool) { return k.term, k.state == raft.StateLeader }

// Ledger is what it knows to be agreed on, after so many entries of the log. It is not to be changed, and not to be kept.
func (k *Core) Ledger() (l *cluster.Ledger, applied uint64) { return k.ledger, k.applied }

// Tick tells it that TickEvery has passed.
func (k *Core) Tick() {
	if k.node != nil && k.takesPart() {
		k.node.Tick()
	}
	if now := k.clock.Now(); (!k.settled() || k.clearing != nil) && !now.Before(k.nextForm) {
		k.nextForm = now.Add(formEvery)
		k.askToForm()
	}
}

// ProcessReady does what follows from all that it was told: it writes, and then speaks. After an error it is not to be used.
func (k *Core) ProcessReady() error {
	if k.fail == nil && k.node != nil {
		k.fail = k.step()
	}
	return k.fail
}

// FailWaiting answers all that wait.
func (k *Core) FailWaiting() { k.failAll() }

// Start begins raft where the folder is that of a formed crew.
func (k *Core) Start() error {
	if hard, conf, err := k.store.mem.InitialState(); err != nil || raft.IsEmptyHardState(hard) && len(conf.GetVoters()) == 0 {
		return err
	}
	if err := k.begin(); err != nil || len(k.ledger.Voters) < 2 {
		return err
	}
	k.clearing = &clearing{until: k.clock.Now().Add(clearTime), words: map[string]Announcement{}}
	return nil
}

// begin begins raft with what the folder holds.
func (k *Core) begin() error {
	snap, err := k.store.mem.Snapshot()
	if err != nil {
		return err
	}
	k.applied = snap.GetMetadata().GetIndex()
	if !raft.IsEmptySnap(snap) {
		if err := k.restore(snap); err != nil {
			return err
		}
	}
	k.node, err = raft.NewRawNode(&raft.Config{
		ID: k.store.who.ID, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: k.store.mem, Applied: k.applied,
		MaxSizePerMsg: 1 << 20, MaxUncommittedEntriesSize: 8 << 20, MaxInflightMsgs: 64, CheckQuorum: true, PreVote: true,
		ReadOnlyOption: raft.ReadOnlySafe, DisableProposalForwarding: true, StepDownOnRemoval: true,
		Logger: &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)},
	})
	return err
}

// restore takes the ledger of a snapshot.
func (k *Core) restore(snap *raftpb.Snapshot) error {
	ledger := cluster.NewLedger()
	if err := cbor.Unmarshal(snap.GetData(), ledger); err != nil {
		return fmt.Errorf("%w: ledger: %w", errDamaged, err)
	}
	k.ledger, k.applied, k.conf3 = ledger, snap.GetMetadata().GetIndex(), snap.GetMetadata().GetConfState()
	return nil
}

// step does what raft wants done, and what follows from it.
func (k *Core) step() error {
	for {
		if k.state == raft.StateLeader {
			k.lead()
		}
		if !k.node.HasReady() {
			return nil
		}
		rd := k.node.Ready()
		if rd.HardState != nil || len(rd.Entries) > 0 || !raft.IsEmptySnap(rd.Snapshot) {
			if err := k.store.save(rd.HardState, rd.Entries, rd.Snapshot, rd.MustSync); err != nil {
				return fmt.Errorf("writing: %w", err) // whether it is on the disk is not known: nothing more may be said
			}
		}
		if !raft.IsEmptySnap(rd.Snapshot) {
			if err := k.restore(rd.Snapshot); err != nil {
				return err
			}
		}
		if rd.SoftState != nil {
			k.turn(rd.SoftState)
		}
		k.send(rd.Messages)
		for _, e := range rd.CommittedEntries {
			if err := k.apply(e); err != nil {
				return err
			}
		}
		for _, rs := range rd.ReadStates {
			if k.reading != nil && binary.BigEndian.Uint64(rs.RequestCtx) == k.reading.id {
				k.reading.index = max(1, rs.Index)
			}
		}
		k.node.Advance(rd)
		if err := k.compact(); err != nil {
			return err
		}
	}
}

// turn books a change of leader.
func (k *Core) turn(s *raft.SoftState) {
	if term := k.node.BasicStatus().HardState.GetTerm(); s.RaftState == raft.StateLeader && (k.granter == nil || k.term != term) {
		k.granter, k.term, k.mark = cluster.NewLessor(k.conf.Params, term), term, 0
		k.log.Info().Uint64("term", term).Msg("this keeper leads the crew")
	}
	if s.RaftState != raft.StateLeader && k.state == raft.StateLeader {
		k.granter = nil
		k.failAll()
		k.log.Info().Msg("this keeper no longer leads the crew")
	}
	k.state, k.leader = s.RaftState, s.Lead
}

// lead answers renewals and proposes what is due.
func (k *Core) lead() {
	now := k.clock.Now()
	if rd := k.reading; rd != nil && rd.index > 0 && k.applied >= rd.index {
		k.reading = nil
		for _, w := range rd.batch {
			grant := k.granter.Renew(k.clock.BootTime(), k.ledger, &w.r)
			w.reply(RenewResult{Grant: &grant})
		}
	} else if rd != nil && now.After(rd.until) {
		k.reading = nil // its members ask again
		for _, w := range rd.batch {
			w.reply(RenewResult{})
		}
	}
	if k.reading == nil && len(k.waiting) > 0 {
		k.reads++
		k.reading = &read{id: k.reads, batch: k.waiting, until: now.Add(readTime)}
		k.waiting = nil
		k.node.ReadIndex(binary.BigEndian.AppendUint64(nil, k.reads))
	}
	// Guards against conclusions from a ledger that lacks what the leaders before have agreed on: the leader's own
	// first entry is behind all of that.
	if k.mark == 0 && k.applied > 0 && k.caughtUp() {
		if due := k.granter.Due(k.clock.BootTime(), k.ledger); len(due) > 0 {
			k.propose(due[0])
		}
	}
}

// caughtUp tells whether an entry of this leader's own term has been applied.
func (k *Core) caughtUp() bool {
	term, err := k.store.mem.Term(k.applied)
	return err == nil && term == k.node.BasicStatus().HardState.GetTerm()
}

// propose gives an entry of this leader's own to raft.
func (k *Core) propose(e cluster.Entry) {
	k.marks++
	mark := NewID() + 2*k.marks
	if k.append(logged{mark, e}) == nil {
		k.mark = mark
	}
}

func (k *Core) append(e logged) error {
	text, err := cbor.Marshal(e)
	if err != nil {
		return err
	}
	return k.node.Propose(text)
}

// apply takes an entry that is agreed on.
func (k *Core) apply(e *raftpb.Entry) error {
	k.applied = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryConfChangeV2, raftpb.EntryConfChange:
		return k.applyConf(e)
	}
	if len(e.GetData()) == 0 {
		return nil // a leader's first
	}
	var l logged
	if err := cbor.Unmarshal(e.GetData(), &l); err != nil {
		return fmt.Errorf("%w: entry %d: %w", errDamaged, e.GetIndex(), err)
	}
	err := k.ledger.Apply(&l.Entry)
	if l.Mark == k.mark {
		k.mark = 0
	}
	if p := l.Entry.Propose; p != nil {
		var answer ProposeResult
		if round := k.ledger.Find(p.ID); round != nil {
			answer.Number = round.Number
		}
		for _, reply := range k.asked[p.ID] {
			reply(answer, err)
		}
		delete(k.asked, p.ID)
	}
	if err == nil {
		k.tell(&l.Entry)
	}
	return nil
}

// tell writes what has been agreed on into the log.
func (k *Core) tell(e *cluster.Entry) {
	ev := k.log.Info().Uint64("epoch", k.ledger.Epoch)
	names := func(list []cluster.Member) (out []string) {
		for _, m := range list {
			out = append(out, m.Name)
		}
		return out
	}
	switch {
	case len(e.Join) > 0 || len(e.Leave) > 0:
		ev.Strs("in", names(e.Join)).Strs("gone", names(e.Leave)).Int("members", len(k.ledger.Members)).Msg("the crew has changed")
	case e.Propose != nil:
		ev.Uint64("version", k.ledger.LastNumber).Msg("a version is proposed")
	case e.Prepare > 0:
		ev.Uint64("version", e.Prepare).Msg("a version is prepared")
	case e.Activate > 0:
		ev.Uint64("version", e.Activate).Msg("a version is active")
	case len(e.ReplicaChanges) > 0:
		lost := 0
		for _, c := range e.ReplicaChanges {
			if c.Lost {
				lost++
			}
		}
		ev.Int("shards", len(e.ReplicaChanges)).Int("lost", lost).Msg("seats have changed")
	case e.End != nil:
		ev.Uint64("version", e.End.Number).Str("why", e.End.Reason).Msg("a version is refused")
	}
}

// compact puts a snapshot in the place of a long log.
func (k *Core) compact() error {
	first, err := k.store.mem.FirstIndex()
	if err != nil || k.conf3 == nil || k.applied < first+compactEvery {
		return err
	}
	return k.snapshot()
}

// snapshot puts one of the present ledger in the place of the log up to here.
func (k *Core) snapshot() error {
	text, err := cbor.Marshal(k.ledger)
	if err != nil {
		return err
	}
	if err := k.store.compact(k.applied, k.conf3, text, compactKeep); err != nil {
		return fmt.Errorf("writing: %w", err)
	}
	return nil
}

// failAll answers all that wait: this keeper does not lead any more.
func (k *Core) failAll() {
	if k.reading != nil {
		k.waiting = append(k.waiting, k.reading.batch...)
		k.reading = nil
	}
	for _, w := range k.waiting {
		w.reply(RenewResult{})
	}
	k.waiting = nil
	for _, id := range slices.Sorted(maps.Keys(k.asked)) {
		for _, reply := range k.asked[id] {
			reply(ProposeResult{}, ErrUnknownOutcome)
		}
	}
	clear(k.asked)
}

// ErrUnknownOutcome leaves open whether a proposal counts.
var ErrUnknownOutcome = errors.New("the leader was lost before the proposal was agreed on: whether it counts shows in `heathgap crew versions`; the same proposal said again counts once")

// nameOf is the name of the keeper with an id; empty where there is none.
func (k *Core) nameOf(id uint64) string {
	for name, other := range k.ledger.Voters {
		if other == id {
			return name
		}
	}
	// A newcomer has no ledger yet, and must answer who fills its folder; and one that lags must answer a folder of which its
	// ledger does not know yet: else it never hears the log's end (seed 200 of the crew's simulation, storm seed 365).
	for name, other := range k.met {
		if other == id {
			return name
		}
	}
	for name, w := range k.heard {
		if w.ID == id {
			return name
		}
	}
	return ""
}

// Renew answers a renewal: at once, or when a majority has said that this is the leader.
func (k *Core) Renew(r cluster.Renewal, reply func(RenewResult)) {
	if k.state != raft.StateLeader {
		reply(RenewResult{Leader: k.nameOf(k.leader)})
		return
	}
	k.waiting = append(k.waiting, renewal{r, reply})
}

// LeaseAnswerSent hears that a lease's answer has been handed to the network.
func (k *Core) LeaseAnswerSent(r *cluster.Renewal) {
	if k.granter != nil {
		k.granter.AnswerSent(k.clock.BootTime(), r)
	}
}

// Propose has a version proposed: the reply comes when that is agreed on, or refused.
func (k *Core) Propose(p cluster.Proposal, reply func(ProposeResult, error)) {
	if k.state != raft.StateLeader {
		reply(ProposeResult{Leader: k.nameOf(k.leader)}, nil)
		return
	}
	if err := k.append(logged{Entry: cluster.Entry{Propose: &p}}); err != nil {
		reply(ProposeResult{}, err)
		return
	}
	k.asked[p.ID] = append(k.asked[p.ID], reply)
}

// send has messages said.
func (k *Core) send(messages []*raftpb.Message) {
	for _, m := range messages {
		name := k.nameOf(m.GetTo())
		if k.conf.Voters[name] == "" || !k.maySay(m) {
			continue
		}
		if !k.ways.Send(name, m) {
			k.dropped++
			k.node.ReportUnreachable(m.GetTo())
		}
	}
}

// SnapshotReported hears whether a snapshot has come to who it was for.
func (k *Core) SnapshotReported(id uint64, whole bool) {
	status := raft.SnapshotFinish
	if !whole {
		status = raft.SnapshotFailure
	}
	if k.node != nil {
		k.node.ReportSnapshot(id, status)
	}
}

// Status is what a keeper knows.
type Status struct {
	Name          string          `cbor:"1,keyasint"`
	Leader        string          `cbor:"2,keyasint,omitempty"` // name
	Term          uint64          `cbor:"3,keyasint"`
	Applied       uint64          `cbor:"4,keyasint"`
	Ledger        *cluster.Ledger `cbor:"5,keyasint"`
	MissingVoters []string        `cbor:"6,keyasint,omitempty"` // keepers that it waits for, while there is no crew
	Leases        map[string]int  `cbor:"7,keyasint,omitempty"` // of the leader: ms until each surely ends
	Dropped       int64           `cbor:"8,keyasint,omitempty"`
}

// Status tells what it knows.
func (k *Core) Status() Status {
	s := Status{Name: k.conf.Name, Applied: k.applied, Ledger: k.ledger.Clone(), Dropped: k.dropped}
	if k.node == nil {
		for _, name := range slices.Sorted(maps.Keys(k.conf.Voters)) {
			if _, there := k.heard[name]; !there && name != k.conf.Name {
				s.MissingVoters = append(s.MissingVoters, name)
			}
		}
	} else {
		// Both of one moment: between two steps raft may be in a later term than the leader that was booked last.
		now := k.node.BasicStatus()
		s.Leader, s.Term = k.nameOf(now.Lead), now.HardState.GetTerm()
	}
	if k.granter != nil {
		s.Leases = map[string]int{}
		for name := range k.ledger.Members {
			s.Leases[name] = int((k.granter.LeaseEnd(k.clock.BootTime(), k.ledger, name) - k.clock.BootTime()).Milliseconds())
		}
	}
	return s
}

// HandleMessages hears messages of another keeper's raft. An error is for who said them.
func (k *Core) HandleMessages(from string, messages []*raftpb.Message) error {
	for _, m := range messages {
		if m.GetTo() != k.store.who.ID {
			return fmt.Errorf("%s has another folder now: this word was for the one before", k.conf.Name)
		}
		// Only what is agreed on is refused. Guards against a keeper that lags behind a change of folders and refuses the new
		// one, which may lead: it was never filled (storm seed 365).
		if slices.Contains(k.ledger.ReplacedVoters, m.GetFrom()) && !k.changing(m.GetFrom()) {
			return fmt.Errorf("the folder of %s was replaced: it takes no part any more; move it away and start again", from)
		}
		if k.node == nil { // a newcomer in the place of a folder that is lost
			if k.store.who.Set != nil {
				continue // it waits for the others to form the crew
			}
			if err := k.begin(); err != nil {
				return err
			}
		}
		if k.clearing != nil || !k.mayVote(m) {
			continue // raft asks again
		}
		if k.conf.Voters[from] != "" {
			k.met[from] = m.GetFrom()
		}
		if k.ledger.Voters[from] == m.GetFrom() {
			k.spoke[m.GetFrom()] = k.clock.Now()
		}
		k.noteSeen(m)
		if raft.IsLocalMsg(m.GetType()) {
			return fmt.Errorf("raft: a message of type %v", m.GetType())
		}
		if last, _ := k.store.mem.LastIndex(); m.GetType() == raftpb.MsgHeartbeat && m.GetCommit() > last {
			// Guards against a folder that was set back: raft would panic, and what it has voted since is not known.
			k.fail = fmt.Errorf("this folder ends at entry %d, and the crew knows that it held %d: it was set back to an earlier copy", last, m.GetCommit())
			return k.fail
		}
		k.node.Step(m) //nolint:errcheck // raft drops what does not fit
	}
	return nil
}
