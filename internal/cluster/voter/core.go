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
	readTimeout    = time.Second     // a majority must have confirmed the leader by then
	announceEvery  = time.Second / 4 // keepers that form a crew ask each other
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
	conf      Conf
	clock     Clock
	log       zerolog.Logger
	store     *store
	transport Transport
	failure   error // why it ended

	node             *raft.RawNode // nil until the crew is formed
	ledger           *cluster.Ledger
	applied          uint64
	confState        *raftpb.ConfState // as applied
	leaderID         uint64            // id; 0 for none
	raftState        raft.StateType
	lessor           *cluster.Lessor // while it leads
	leaderTerm       uint64          // in which it came to lead
	pendingMark      uint64          // of the entry of its own that is on its way; 0 for none
	markCount        uint64
	waitingRenewals  []waitingRenewal // for a majority's word
	pendingRead      *readIndexRequest
	readCount        uint64
	waitingProposals map[uint64][]func(ProposeResult, error) // proposals on their way, by id
	announcements    map[string]Announcement
	lastIDs          map[string]uint64           // ids of folders that others have last spoken with, by names
	observed         map[uint64]observedProgress // of other keepers' folders, by id
	nextAnnounce     time.Time
	dropped          int64 // messages to keepers that there was no room for
	// What the others told when this keeper started with a folder: see clear.go.
	startCheck      *startCheck
	voteAfterTerm   uint64
	minLogEnd       logEnd
	requiredLogEnds map[string]logEnd    // whose words made it so, by names
	lastHeard       map[uint64]time.Time // when each folder was last heard, by id
}

// waitingRenewal is a member's renewal that waits.
type waitingRenewal struct {
	request cluster.Renewal
	reply   func(RenewResult)
}

// readIndexRequest is a question to a majority whether this is the leader.
type readIndexRequest struct {
	id       uint64
	batch    []waitingRenewal
	index    uint64 // 0 until a majority has said yes
	deadline time.Time
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

// logEntry is an entry of the log. The mark tells a leader its own.
type logEntry struct {
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
func NewCore(conf Conf, clock Clock, log zerolog.Logger, disk Disk, path string, newID func() uint64, transport Transport) (*Core, error) {
	store, err := newStore(disk, path, conf.Cluster, conf.Name, newID)
	if err != nil {
		return nil, err
	}
	return &Core{conf: conf, clock: clock, log: log, store: store, transport: transport, ledger: cluster.NewLedger(),
		waitingProposals: map[uint64][]func(ProposeResult, error){}, announcements: map[string]Announcement{}, lastIDs: map[string]uint64{}, lastHeard: map[uint64]time.Time{}, observed: map[uint64]observedProgress{}}, nil
}

// Err is why it takes no further part; nil while it does.
func (c *Core) Err() error { return c.failure }

// IsLeader tells whether it takes itself for the leader, and in which term.
func (c *Core) IsLeader() (term uint64, leads bool) {
	return c.leaderTerm, c.raftState == raft.StateLeader
}

// Ledger is what it knows to be agreed on, after so many entries of the log. It is not to be changed, and not to be kept.
func (c *Core) Ledger() (l *cluster.Ledger, applied uint64) { return c.ledger, c.applied }

// Tick tells it that TickEvery has passed.
func (c *Core) Tick() {
	if c.node != nil && c.startCheckDone() {
		c.node.Tick()
	}
	if now := c.clock.Now(); (!c.isCurrentVoter() || c.startCheck != nil) && !now.Before(c.nextAnnounce) {
		c.nextAnnounce = now.Add(announceEvery)
		c.announce()
	}
}

// ProcessReady does what follows from all that it was told: it writes, and then speaks. After an error it is not to be used.
func (c *Core) ProcessReady() error {
	if c.failure == nil && c.node != nil {
		c.failure = c.handleReady()
	}
	return c.failure
}

// FailWaiting answers all that wait.
func (c *Core) FailWaiting() { c.failAll() }

// Start begins raft where the folder is that of a formed crew.
func (c *Core) Start() error {
	if hard, conf, err := c.store.mem.InitialState(); err != nil || raft.IsEmptyHardState(hard) && len(conf.GetVoters()) == 0 {
		return err
	}
	if err := c.startRaft(); err != nil || len(c.ledger.Voters) < 2 {
		return err
	}
	c.startCheck = &startCheck{deadline: c.clock.Now().Add(startCheckTimeout), announcements: map[string]Announcement{}}
	return nil
}

// startRaft begins raft with what the folder holds.
func (c *Core) startRaft() error {
	snap, err := c.store.mem.Snapshot()
	if err != nil {
		return err
	}
	c.applied = snap.GetMetadata().GetIndex()
	if !raft.IsEmptySnap(snap) {
		if err := c.restoreSnapshot(snap); err != nil {
			return err
		}
	}
	c.node, err = raft.NewRawNode(&raft.Config{
		ID: c.store.identity.ID, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: c.store.mem, Applied: c.applied,
		MaxSizePerMsg: 1 << 20, MaxUncommittedEntriesSize: 8 << 20, MaxInflightMsgs: 64, CheckQuorum: true, PreVote: true,
		ReadOnlyOption: raft.ReadOnlySafe, DisableProposalForwarding: true, StepDownOnRemoval: true,
		Logger: &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)},
	})
	return err
}

// restoreSnapshot takes the ledger of a snapshot.
func (c *Core) restoreSnapshot(snap *raftpb.Snapshot) error {
	ledger := cluster.NewLedger()
	if err := cbor.Unmarshal(snap.GetData(), ledger); err != nil {
		return fmt.Errorf("%w: ledger: %w", errDamaged, err)
	}
	c.ledger, c.applied, c.confState = ledger, snap.GetMetadata().GetIndex(), snap.GetMetadata().GetConfState()
	return nil
}

// handleReady does what raft wants done, and what follows from it.
func (c *Core) handleReady() error {
	for {
		if c.raftState == raft.StateLeader {
			c.serveAsLeader()
		}
		if !c.node.HasReady() {
			return nil
		}
		ready := c.node.Ready()
		if ready.HardState != nil || len(ready.Entries) > 0 || !raft.IsEmptySnap(ready.Snapshot) {
			if err := c.store.save(ready.HardState, ready.Entries, ready.Snapshot, ready.MustSync); err != nil {
				return fmt.Errorf("writing: %w", err) // whether it is on the disk is not known: nothing more may be said
			}
		}
		if !raft.IsEmptySnap(ready.Snapshot) {
			if err := c.restoreSnapshot(ready.Snapshot); err != nil {
				return err
			}
		}
		if ready.SoftState != nil {
			c.handleSoftState(ready.SoftState)
		}
		c.sendMessages(ready.Messages)
		for _, e := range ready.CommittedEntries {
			if err := c.apply(e); err != nil {
				return err
			}
		}
		for _, rs := range ready.ReadStates {
			if c.pendingRead != nil && binary.BigEndian.Uint64(rs.RequestCtx) == c.pendingRead.id {
				c.pendingRead.index = max(1, rs.Index)
			}
		}
		c.node.Advance(ready)
		if err := c.compact(); err != nil {
			return err
		}
	}
}

// handleSoftState books a change of leader.
func (c *Core) handleSoftState(s *raft.SoftState) {
	if term := c.node.BasicStatus().HardState.GetTerm(); s.RaftState == raft.StateLeader && (c.lessor == nil || c.leaderTerm != term) {
		c.lessor, c.leaderTerm, c.pendingMark = cluster.NewLessor(c.conf.Params, term), term, 0
		c.log.Info().Uint64("term", term).Msg("this keeper leads the crew")
	}
	if s.RaftState != raft.StateLeader && c.raftState == raft.StateLeader {
		c.lessor = nil
		c.failAll()
		c.log.Info().Msg("this keeper no longer leads the crew")
	}
	c.raftState, c.leaderID = s.RaftState, s.Lead
}

// serveAsLeader answers renewals and proposes what is due.
func (c *Core) serveAsLeader() {
	now := c.clock.Now()
	if read := c.pendingRead; read != nil && read.index > 0 && c.applied >= read.index {
		c.pendingRead = nil
		for _, w := range read.batch {
			grant := c.lessor.Renew(c.clock.BootTime(), c.ledger, &w.request)
			w.reply(RenewResult{Grant: &grant})
		}
	} else if read != nil && now.After(read.deadline) {
		c.pendingRead = nil // its members ask again
		for _, w := range read.batch {
			w.reply(RenewResult{})
		}
	}
	if c.pendingRead == nil && len(c.waitingRenewals) > 0 {
		c.readCount++
		c.pendingRead = &readIndexRequest{id: c.readCount, batch: c.waitingRenewals, deadline: now.Add(readTimeout)}
		c.waitingRenewals = nil
		c.node.ReadIndex(binary.BigEndian.AppendUint64(nil, c.readCount))
	}
	// Guards against conclusions from a ledger that lacks what the leaders before have agreed on: the leader's own
	// first entry is behind all of that.
	if c.pendingMark == 0 && c.applied > 0 && c.appliedOwnTerm() {
		if due := c.lessor.Due(c.clock.BootTime(), c.ledger); len(due) > 0 {
			c.propose(due[0])
		}
	}
}

// appliedOwnTerm tells whether an entry of this leader's own term has been applied.
func (c *Core) appliedOwnTerm() bool {
	term, err := c.store.mem.Term(c.applied)
	return err == nil && term == c.node.BasicStatus().HardState.GetTerm()
}

// propose gives an entry of this leader's own to raft.
func (c *Core) propose(e cluster.Entry) {
	c.markCount++
	mark := NewID() + 2*c.markCount
	if c.appendEntry(logEntry{mark, e}) == nil {
		c.pendingMark = mark
	}
}

func (c *Core) appendEntry(e logEntry) error {
	text, err := cbor.Marshal(e)
	if err != nil {
		return err
	}
	return c.node.Propose(text)
}

// apply takes an entry that is agreed on.
func (c *Core) apply(e *raftpb.Entry) error {
	c.applied = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryConfChangeV2, raftpb.EntryConfChange:
		return c.applyConf(e)
	}
	if len(e.GetData()) == 0 {
		return nil // a leader's first
	}
	var entry logEntry
	if err := cbor.Unmarshal(e.GetData(), &entry); err != nil {
		return fmt.Errorf("%w: entry %d: %w", errDamaged, e.GetIndex(), err)
	}
	err := c.ledger.Apply(&entry.Entry)
	if entry.Mark == c.pendingMark {
		c.pendingMark = 0
	}
	if p := entry.Entry.Propose; p != nil {
		var answer ProposeResult
		if record := c.ledger.Find(p.ID); record != nil {
			answer.Number = record.Number
		}
		for _, reply := range c.waitingProposals[p.ID] {
			reply(answer, err)
		}
		delete(c.waitingProposals, p.ID)
	}
	if err == nil {
		c.logApplied(&entry.Entry)
	}
	return nil
}

// logApplied writes what has been agreed on into the log.
func (c *Core) logApplied(entry *cluster.Entry) {
	event := c.log.Info().Uint64("epoch", c.ledger.Epoch)
	names := func(list []cluster.Member) (out []string) {
		for _, m := range list {
			out = append(out, m.Name)
		}
		return out
	}
	switch {
	case len(entry.Join) > 0 || len(entry.Leave) > 0:
		event.Strs("in", names(entry.Join)).Strs("gone", names(entry.Leave)).Int("members", len(c.ledger.Members)).Msg("the crew has changed")
	case entry.Propose != nil:
		event.Uint64("version", c.ledger.LastNumber).Msg("a version is proposed")
	case entry.Prepare > 0:
		event.Uint64("version", entry.Prepare).Msg("a version is prepared")
	case entry.Activate > 0:
		event.Uint64("version", entry.Activate).Msg("a version is active")
	case len(entry.ReplicaChanges) > 0:
		lost := 0
		for _, change := range entry.ReplicaChanges {
			if change.Lost {
				lost++
			}
		}
		event.Int("shards", len(entry.ReplicaChanges)).Int("lost", lost).Msg("seats have changed")
	case entry.End != nil:
		event.Uint64("version", entry.End.Number).Str("why", entry.End.Reason).Msg("a version is refused")
	}
}

// compact puts a snapshot in the place of a long log.
func (c *Core) compact() error {
	first, err := c.store.mem.FirstIndex()
	if err != nil || c.confState == nil || c.applied < first+compactEvery {
		return err
	}
	return c.takeSnapshot()
}

// takeSnapshot puts one of the present ledger in the place of the log up to here.
func (c *Core) takeSnapshot() error {
	text, err := cbor.Marshal(c.ledger)
	if err != nil {
		return err
	}
	if err := c.store.compact(c.applied, c.confState, text, compactKeep); err != nil {
		return fmt.Errorf("writing: %w", err)
	}
	return nil
}

// failAll answers all that wait: this keeper does not lead any more.
func (c *Core) failAll() {
	if c.pendingRead != nil {
		c.waitingRenewals = append(c.waitingRenewals, c.pendingRead.batch...)
		c.pendingRead = nil
	}
	for _, w := range c.waitingRenewals {
		w.reply(RenewResult{})
	}
	c.waitingRenewals = nil
	for _, id := range slices.Sorted(maps.Keys(c.waitingProposals)) {
		for _, reply := range c.waitingProposals[id] {
			reply(ProposeResult{}, ErrUnknownOutcome)
		}
	}
	clear(c.waitingProposals)
}

// ErrUnknownOutcome leaves open whether a proposal counts.
var ErrUnknownOutcome = errors.New("the leader was lost before the proposal was agreed on: whether it counts shows in `heathgap crew versions`; the same proposal said again counts once")

// voterName is the name of the keeper with an id; empty where there is none.
func (c *Core) voterName(id uint64) string {
	for name, other := range c.ledger.Voters {
		if other == id {
			return name
		}
	}
	// A newcomer has no ledger yet, and must answer who fills its folder; and one that lags must answer a folder of which its
	// ledger does not know yet: else it never hears the log's end (seed 200 of the crew's simulation, storm seed 365).
	for name, other := range c.lastIDs {
		if other == id {
			return name
		}
	}
	for name, w := range c.announcements {
		if w.ID == id {
			return name
		}
	}
	return ""
}

// Renew answers a renewal: at once, or when a majority has said that this is the leader.
func (c *Core) Renew(r cluster.Renewal, reply func(RenewResult)) {
	if c.raftState != raft.StateLeader {
		reply(RenewResult{Leader: c.voterName(c.leaderID)})
		return
	}
	c.waitingRenewals = append(c.waitingRenewals, waitingRenewal{r, reply})
}

// LeaseAnswerSent hears that a lease's answer has been handed to the network.
func (c *Core) LeaseAnswerSent(r *cluster.Renewal) {
	if c.lessor != nil {
		c.lessor.AnswerSent(c.clock.BootTime(), r)
	}
}

// Propose has a version proposed: the reply comes when that is agreed on, or refused.
func (c *Core) Propose(p cluster.Proposal, reply func(ProposeResult, error)) {
	if c.raftState != raft.StateLeader {
		reply(ProposeResult{Leader: c.voterName(c.leaderID)}, nil)
		return
	}
	if err := c.appendEntry(logEntry{Entry: cluster.Entry{Propose: &p}}); err != nil {
		reply(ProposeResult{}, err)
		return
	}
	c.waitingProposals[p.ID] = append(c.waitingProposals[p.ID], reply)
}

// sendMessages has messages said.
func (c *Core) sendMessages(messages []*raftpb.Message) {
	for _, m := range messages {
		name := c.voterName(m.GetTo())
		if c.conf.Voters[name] == "" || !c.maySend(m) {
			continue
		}
		if !c.transport.Send(name, m) {
			c.dropped++
			c.node.ReportUnreachable(m.GetTo())
		}
	}
}

// SnapshotReported hears whether a snapshot has come to who it was for.
func (c *Core) SnapshotReported(id uint64, delivered bool) {
	status := raft.SnapshotFinish
	if !delivered {
		status = raft.SnapshotFailure
	}
	if c.node != nil {
		c.node.ReportSnapshot(id, status)
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
func (c *Core) Status() Status {
	s := Status{Name: c.conf.Name, Applied: c.applied, Ledger: c.ledger.Clone(), Dropped: c.dropped}
	if c.node == nil {
		for _, name := range slices.Sorted(maps.Keys(c.conf.Voters)) {
			if _, there := c.announcements[name]; !there && name != c.conf.Name {
				s.MissingVoters = append(s.MissingVoters, name)
			}
		}
	} else {
		// Both of one moment: between two steps raft may be in a later term than the leader that was booked last.
		status := c.node.BasicStatus()
		s.Leader, s.Term = c.voterName(status.Lead), status.HardState.GetTerm()
	}
	if c.lessor != nil {
		s.Leases = map[string]int{}
		for name := range c.ledger.Members {
			s.Leases[name] = int((c.lessor.LeaseEnd(c.clock.BootTime(), c.ledger, name) - c.clock.BootTime()).Milliseconds())
		}
	}
	return s
}

// HandleMessages hears messages of another keeper's raft. An error is for who said them.
func (c *Core) HandleMessages(from string, messages []*raftpb.Message) error {
	for _, m := range messages {
		if m.GetTo() != c.store.identity.ID {
			return fmt.Errorf("%s has another folder now: this word was for the one before", c.conf.Name)
		}
		// Only what is agreed on is refused. Guards against a keeper that lags behind a change of folders and refuses the new
		// one, which may lead: it was never filled (storm seed 365).
		if slices.Contains(c.ledger.ReplacedVoters, m.GetFrom()) && !c.changingVoters(m.GetFrom()) {
			return fmt.Errorf("the folder of %s was replaced: it takes no part any more; move it away and start again", from)
		}
		if c.node == nil { // a newcomer in the place of a folder that is lost
			if c.store.identity.Set != nil {
				continue // it waits for the others to form the crew
			}
			if err := c.startRaft(); err != nil {
				return err
			}
		}
		if c.startCheck != nil || !c.mayVote(m) {
			continue // raft asks again
		}
		if c.conf.Voters[from] != "" {
			c.lastIDs[from] = m.GetFrom()
		}
		if c.ledger.Voters[from] == m.GetFrom() {
			c.lastHeard[m.GetFrom()] = c.clock.Now()
		}
		c.recordObserved(m)
		if raft.IsLocalMsg(m.GetType()) {
			return fmt.Errorf("raft: a message of type %v", m.GetType())
		}
		if last, _ := c.store.mem.LastIndex(); m.GetType() == raftpb.MsgHeartbeat && m.GetCommit() > last {
			// Guards against a folder that was set back: raft would panic, and what it has voted since is not known.
			c.failure = fmt.Errorf("this folder ends at entry %d, and the crew knows that it held %d: it was set back to an earlier copy", last, m.GetCommit())
			return c.failure
		}
		c.node.Step(m) //nolint:errcheck // raft drops what does not fit
	}
	return nil
}
