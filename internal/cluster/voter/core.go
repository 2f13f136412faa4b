// Package voter implements a member that takes part in raft: etcd's raft on a bbolt file, the ledger that follows from the raft log,
// and the leases that the leader grants. One goroutine owns all state; messages from the network are handed to it as events.
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

// Intervals and limits of a voter.
const (
	// TickEvery is the interval at which Tick must be called.
	TickEvery = 50 * time.Millisecond
	// A follower that hears nothing from a leader for electionTicks, plus a random time of up to as much again, starts an election.
	// This is longer than a slow fsync.
	electionTicks  = 10
	heartbeatTicks = 2
	readTimeout    = time.Second     // for a majority to confirm the leader
	announceEvery  = time.Second / 4 // between announcements while the voters form a cluster
	compactEvery   = 1000            // entries of the log before a snapshot replaces them
	compactKeep    = 200             // of these entries stay in memory for followers that lag
)

// Conf is the configuration of a voter.
type Conf struct {
	Cluster string
	Name    string
	Voters  map[string]string // addresses by voter name, including this voter's
	Params  cluster.Params
	DataDir string // data directory
}

// Clock gives a voter the time; env.Env implements it.
type Clock interface {
	Now() time.Time
	BootTime() time.Duration
}

// Transport sends messages to the other voters. Its methods return at once, and messages may be lost.
type Transport interface {
	// Send queues a raft message for another voter; it returns false if the queue is full.
	Send(voter string, m *raftpb.Message) bool
	// Announce sends this voter's announcement to another voter. The answer must be passed to HandleAnnouncement.
	Announce(voter string, own Announcement)
}

// Core is a voter without network and goroutines: messages are passed in by method calls, outgoing ones go to its Transport, and
// ProcessReady does everything that follows from the calls. It is driven by Voter in a process, and by the simulation. All calls must
// come from one goroutine. Raft panics on an impossible log; the driver must treat a panic as an error that ends the voter.
type Core struct {
	conf      Conf
	clock     Clock
	log       zerolog.Logger
	store     *store
	transport Transport
	failure   error // why the voter stopped taking part

	node             *raft.RawNode // nil until the cluster is formed
	ledger           *cluster.Ledger
	applied          uint64
	confState        *raftpb.ConfState // of the newest applied change of voters
	leaderID         uint64            // 0 for none
	raftState        raft.StateType
	lessor           *cluster.Lessor // nil unless this voter leads
	leaderTerm       uint64          // the term in which this voter was last elected
	pendingMark      uint64          // of the leader's own entry in flight; 0 for none
	markCount        uint64
	waitingRenewals  []waitingRenewal // for a majority to confirm the leader
	pendingRead      *readIndexRequest
	readCount        uint64
	waitingProposals map[uint64][]func(ProposeResult, error) // proposals in flight, by id
	announcements    map[string]Announcement                 // the newest of each other voter, by name
	lastIDs          map[string]uint64                       // id of the data directory from which each voter last sent messages, by name
	observed         map[uint64]observedProgress             // of other voters' data directories, by id
	nextAnnounce     time.Time
	dropped          int64 // raft messages that the transport's queues had no room for
	// The rest serves the start check of an existing data directory; see startcheck.go.
	startCheck      *startCheck
	voteAfterTerm   uint64               // vote only in later terms; 0 for no such bound
	minLogEnd       logEnd               // this voter's log, and that of a candidate it votes for, must end there or later
	requiredLogEnds map[string]logEnd    // the reported log ends from which minLogEnd follows, by voter name
	lastHeard       map[uint64]time.Time // when each data directory last sent a message, by id
}

// waitingRenewal is a member's renewal that has not been answered yet.
type waitingRenewal struct {
	request cluster.Renewal
	reply   func(RenewResult)
}

// readIndexRequest asks a majority to confirm that this voter is the leader.
type readIndexRequest struct {
	id       uint64
	batch    []waitingRenewal
	index    uint64 // 0 until a majority has confirmed the leader
	deadline time.Time
}

// RenewResult is the answer to a renewal. Both fields are empty if no leader is known or it was not confirmed.
type RenewResult struct {
	Grant  *cluster.Grant `cbor:"1,keyasint,omitempty"`
	Leader string         `cbor:"2,keyasint,omitempty"` // the leader's name, if this voter does not lead
}

// ProposeResult is the answer to a proposal: its version number, or the leader's name if this voter does not lead.
type ProposeResult struct {
	Number uint64 `cbor:"1,keyasint"`
	Leader string `cbor:"2,keyasint,omitempty"`
}

// logEntry is an entry of the raft log. The mark lets a leader recognize an entry that it proposed of its own accord; it is 0 for versions
// proposed by people.
type logEntry struct {
	Mark  uint64        `cbor:"1,keyasint"`
	Entry cluster.Entry `cbor:"2,keyasint"`
}

// NewID returns a random id, never 0.
func NewID() uint64 {
	var b [8]byte
	rand.Read(b[:]) //nolint:errcheck // rand.Read never fails
	return binary.BigEndian.Uint64(b[:]) | 1
}

// NewCore opens a voter's data on a disk. path names the disk in messages; newID returns the id of a new data directory.
func NewCore(conf Conf, clock Clock, log zerolog.Logger, disk Disk, path string, newID func() uint64, transport Transport) (*Core, error) {
	store, err := newStore(disk, path, conf.Cluster, conf.Name, newID)
	if err != nil {
		return nil, err
	}
	return &Core{conf: conf, clock: clock, log: log, store: store, transport: transport, ledger: cluster.NewLedger(),
		waitingProposals: map[uint64][]func(ProposeResult, error){}, announcements: map[string]Announcement{}, lastIDs: map[string]uint64{}, lastHeard: map[uint64]time.Time{}, observed: map[uint64]observedProgress{}}, nil
}

// Err returns why the voter stopped taking part; nil while it does take part.
func (c *Core) Err() error { return c.failure }

// IsLeader reports whether this voter considers itself the leader, and the term in which it was last elected.
func (c *Core) IsLeader() (term uint64, leads bool) {
	return c.leaderTerm, c.raftState == raft.StateLeader
}

// Ledger returns the ledger and the index of the last log entry applied to it. The caller must neither change nor keep the ledger.
func (c *Core) Ledger() (l *cluster.Ledger, applied uint64) { return c.ledger, c.applied }

// Tick advances the voter's time by TickEvery.
func (c *Core) Tick() {
	if c.node != nil && c.startCheckDone() {
		c.node.Tick()
	}
	if now := c.clock.Now(); (!c.isCurrentVoter() || c.startCheck != nil) && !now.Before(c.nextAnnounce) {
		c.nextAnnounce = now.Add(announceEvery)
		c.announce()
	}
}

// ProcessReady does what follows from the calls before: it writes to disk, and then sends messages. After an error the voter must not
// be used any more.
func (c *Core) ProcessReady() error {
	if c.failure == nil && c.node != nil {
		c.failure = c.handleReady()
	}
	return c.failure
}

// FailWaiting answers all waiting renewals and proposals with a failure.
func (c *Core) FailWaiting() { c.failAll() }

// Start starts raft if the data directory belongs to a cluster that has been formed.
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

// startRaft starts raft with the contents of the data directory.
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

// restoreSnapshot replaces the ledger by that of a snapshot.
func (c *Core) restoreSnapshot(snap *raftpb.Snapshot) error {
	ledger := cluster.NewLedger()
	if err := cbor.Unmarshal(snap.GetData(), ledger); err != nil {
		return fmt.Errorf("%w: ledger: %w", errDamaged, err)
	}
	c.ledger, c.applied, c.confState = ledger, snap.GetMetadata().GetIndex(), snap.GetMetadata().GetConfState()
	return nil
}

// handleReady does what raft has ready: it saves, sends and applies, until there is nothing more.
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
				return fmt.Errorf("writing: %w", err) // it is unknown whether the data is on disk, so nothing more may be sent
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

// handleSoftState records a change of leader.
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
		c.pendingRead = nil // the members repeat their renewals
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
	// Guards against conclusions from a ledger that lacks entries of earlier leaders: the leader's own first entry comes after
	// all of them.
	if c.pendingMark == 0 && c.applied > 0 && c.appliedOwnTerm() {
		if due := c.lessor.Due(c.clock.BootTime(), c.ledger); len(due) > 0 {
			c.propose(due[0])
		}
	}
}

// appliedOwnTerm reports whether an entry of raft's current term has been applied.
func (c *Core) appliedOwnTerm() bool {
	term, err := c.store.mem.Term(c.applied)
	return err == nil && term == c.node.BasicStatus().HardState.GetTerm()
}

// propose proposes an entry of this leader's own to raft.
func (c *Core) propose(e cluster.Entry) {
	c.markCount++
	// markCount makes the marks differ even if NewID returns an id twice. The mark is odd, as NewID is, and so never 0, which is the mark
	// of versions proposed by people, and means "no entry" in pendingMark.
	mark := NewID() + 2*c.markCount
	if c.proposeEntry(logEntry{mark, e}) == nil {
		c.pendingMark = mark
	}
}

// proposeEntry proposes an entry to raft. An error means that raft has not taken it.
func (c *Core) proposeEntry(e logEntry) error {
	encoded, err := cbor.Marshal(e)
	if err != nil {
		return err
	}
	return c.node.Propose(encoded)
}

// apply applies a committed entry.
func (c *Core) apply(e *raftpb.Entry) error {
	c.applied = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryConfChangeV2, raftpb.EntryConfChange:
		return c.applyConf(e)
	}
	if len(e.GetData()) == 0 {
		return nil // the empty entry with which a leader starts its term
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

// logApplied logs what an applied entry has changed.
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
		event.Int("shards", len(entry.ReplicaChanges)).Int("lost", lost).Msg("the placement of copies has changed")
	case entry.End != nil:
		event.Uint64("version", entry.End.Number).Str("why", entry.End.Reason).Msg("a version is refused")
	}
}

// compact replaces a long log by a snapshot.
func (c *Core) compact() error {
	first, err := c.store.mem.FirstIndex()
	if err != nil || c.confState == nil || c.applied < first+compactEvery {
		return err
	}
	return c.takeSnapshot()
}

// takeSnapshot replaces the log up to the last applied entry by a snapshot of the current ledger.
func (c *Core) takeSnapshot() error {
	encoded, err := cbor.Marshal(c.ledger)
	if err != nil {
		return err
	}
	if err := c.store.compact(c.applied, c.confState, encoded, compactKeep); err != nil {
		return fmt.Errorf("writing: %w", err)
	}
	return nil
}

// failAll answers all waiting renewals and proposals, because this voter no longer leads or is stopping.
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

// ErrUnknownOutcome means that it is unknown whether a proposal was committed.
var ErrUnknownOutcome = errors.New("the leader was lost before the proposal was agreed on: whether it counts shows in `heathgap crew versions`; the same proposal said again counts once")

// voterName returns the name of the voter with an id; empty if there is none.
func (c *Core) voterName(id uint64) string {
	for name, other := range c.ledger.Voters {
		if other == id {
			return name
		}
	}
	// A new voter has no ledger yet and must answer the leader that sends it one; and a voter that lags must answer a data directory
	// that its ledger does not contain yet. Otherwise neither would ever receive the end of the log (seed 200 of the cluster
	// simulation, seed 365 of the lab's storms).
	for name, other := range c.lastIDs {
		if other == id {
			return name
		}
	}
	for name, other := range c.announcements {
		if other.ID == id {
			return name
		}
	}
	return ""
}

// Renew answers a renewal: with the leader's name at once if this voter does not lead, otherwise once a majority has
// confirmed it as leader.
func (c *Core) Renew(r cluster.Renewal, reply func(RenewResult)) {
	if c.raftState != raft.StateLeader {
		reply(RenewResult{Leader: c.voterName(c.leaderID)})
		return
	}
	c.waitingRenewals = append(c.waitingRenewals, waitingRenewal{r, reply})
}

// LeaseAnswerSent must be called when the answer that grants a lease has been handed to the network.
func (c *Core) LeaseAnswerSent(r *cluster.Renewal) {
	if c.lessor != nil {
		c.lessor.AnswerSent(c.clock.BootTime(), r)
	}
}

// Propose proposes a version. The reply comes at once if this voter does not lead or raft refuses the entry; otherwise when the proposal
// has been committed, or with ErrUnknownOutcome when this voter no longer leads or stops.
func (c *Core) Propose(p cluster.Proposal, reply func(ProposeResult, error)) {
	if c.raftState != raft.StateLeader {
		reply(ProposeResult{Leader: c.voterName(c.leaderID)}, nil)
		return
	}
	if err := c.proposeEntry(logEntry{Entry: cluster.Entry{Propose: &p}}); err != nil {
		reply(ProposeResult{}, err)
		return
	}
	c.waitingProposals[p.ID] = append(c.waitingProposals[p.ID], reply)
}

// sendMessages passes raft's messages to the transport.
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

// SnapshotReported must be called with the outcome of sending a snapshot to the voter with an id.
func (c *Core) SnapshotReported(id uint64, delivered bool) {
	status := raft.SnapshotFinish
	if !delivered {
		status = raft.SnapshotFailure
	}
	if c.node != nil {
		c.node.ReportSnapshot(id, status)
	}
}

// Status describes a voter and what it knows of the cluster.
type Status struct {
	Name          string          `cbor:"1,keyasint"`
	Leader        string          `cbor:"2,keyasint,omitempty"` // the leader's name
	Term          uint64          `cbor:"3,keyasint"`
	Applied       uint64          `cbor:"4,keyasint"`
	Ledger        *cluster.Ledger `cbor:"5,keyasint"`
	MissingVoters []string        `cbor:"6,keyasint,omitempty"` // voters that it waits for before the cluster is formed
	Leases        map[string]int  `cbor:"7,keyasint,omitempty"` // on the leader only: ms until each member's lease has certainly ended
	Dropped       int64           `cbor:"8,keyasint,omitempty"`
}

// Status returns the voter's current status.
func (c *Core) Status() Status {
	s := Status{Name: c.conf.Name, Applied: c.applied, Ledger: c.ledger.Clone(), Dropped: c.dropped}
	if c.node == nil {
		for _, name := range slices.Sorted(maps.Keys(c.conf.Voters)) {
			if _, there := c.announcements[name]; !there && name != c.conf.Name {
				s.MissingVoters = append(s.MissingVoters, name)
			}
		}
	} else {
		// Leader and term are read at the same moment: between two calls of handleReady raft may be in a later term than c.leaderID.
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

// HandleMessages passes messages of another voter to raft. An error is sent back to that voter.
func (c *Core) HandleMessages(from string, messages []*raftpb.Message) error {
	for _, m := range messages {
		if m.GetTo() != c.store.identity.ID {
			return fmt.Errorf("%s has another folder now: this word was for the one before", c.conf.Name)
		}
		// Refused only if the replacement is committed. Guards against a voter that lags behind a replacement and refuses the new
		// data directory, which may lead: the lagging voter never caught up (seed 365 of the lab's storms).
		if slices.Contains(c.ledger.ReplacedVoters, m.GetFrom()) && !c.changingVoters(m.GetFrom()) {
			return fmt.Errorf("the folder of %s was replaced: it takes no part any more; move it away and start again", from)
		}
		if c.node == nil { // an empty data directory that replaces a lost one
			if c.store.identity.FormingSet != nil {
				continue // it waits for the others to form the cluster
			}
			if err := c.startRaft(); err != nil {
				return err
			}
		}
		if c.startCheck != nil || !c.mayVote(m) {
			continue // raft sends it again
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
			// Guards against a data directory that was set back to an earlier copy: raft would panic, and the votes since that copy are unknown.
			c.failure = fmt.Errorf("this folder ends at entry %d, and the crew knows that it held %d: it was set back to an earlier copy", last, m.GetCommit())
			return c.failure
		}
		c.node.Step(m) //nolint:errcheck // raft ignores messages that don't apply
	}
	return nil
}
