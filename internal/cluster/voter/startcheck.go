package voter

import (
	"fmt"
	"time"

	"go.etcd.io/raft/v3/raftpb"
)

// The start check guards against a data directory that was set back to an earlier copy: it lacks votes and log entries that other
// voters rely on. Therefore a voter that starts with the data directory of a formed cluster does not take part in raft until it has
// asked the others what they know.
//
// Of n voters, a vote or an entry that counted is held by at least n/2+1 data directories, this one among them, so by n/2 others.
// A voter that has answers from n - n/2 others therefore has one from a voter that holds it. From the terms in the answers the
// voter learns in which terms it must not vote any more. From the log ends it learns how long its own log, and that of a candidate
// that it votes for, must be. If an answer proves that this data directory held more than it does now, the voter stops.
//
// If too few others can be reached, the voter goes on after startCheckTimeout with what its data directory holds, because a cluster with
// one voter dead must survive the restart of another. A data directory that was set back is then not noticed (see docs/crew.md).

const startCheckTimeout = 3 * time.Second

// observedProgress is what is known of another data directory: the highest term of its messages, and the highest log index that it
// acknowledged in that term. Indexes of older terms don't count, because a later leader may have replaced uncommitted entries by
// fewer ones: counting them refused a sound data directory (seed 219 of the cluster simulation).
type observedProgress struct {
	Term  uint64 `cbor:"1,keyasint"`
	Index uint64 `cbor:"2,keyasint"`
}

// logEnd is the position of the last entry of a log. A log with a later end has all entries that were committed up to an earlier end.
type logEnd struct {
	Term  uint64 `cbor:"1,keyasint"`
	Index uint64 `cbor:"2,keyasint"`
}

func (l logEnd) before(other logEnd) bool {
	return l.Term < other.Term || l.Term == other.Term && l.Index < other.Index
}

// startCheck is the state of a start check; nil when none is running.
type startCheck struct {
	deadline      time.Time
	announcements map[string]Announcement
}

// logEnd returns the end of this voter's log.
func (c *Core) logEnd() logEnd {
	last, err := c.store.mem.LastIndex()
	if err != nil {
		return logEnd{}
	}
	term, err := c.store.mem.Term(last)
	if err != nil {
		return logEnd{}
	}
	return logEnd{term, last}
}

// recordObserved records what a message shows of the sender's data directory. Pre-votes are ignored, because their term is not saved.
func (c *Core) recordObserved(m *raftpb.Message) {
	if t := m.GetType(); t == raftpb.MsgPreVote || t == raftpb.MsgPreVoteResp {
		return
	}
	progress := c.observed[m.GetFrom()]
	if m.GetTerm() > progress.Term {
		progress = observedProgress{Term: m.GetTerm()}
	}
	if m.GetType() == raftpb.MsgAppResp && !m.GetReject() && m.GetTerm() == progress.Term {
		progress.Index = max(progress.Index, m.GetIndex())
	}
	c.observed[m.GetFrom()] = progress
}

// handleStartCheck processes another voter's announcement during the start check, and ends the check when there are enough of them.
func (c *Core) handleStartCheck(a Announcement) error {
	if a.ID != c.ledger.Voters[a.Name] {
		return nil
	}
	hard, _, err := c.store.mem.InitialState()
	if err != nil {
		return err
	}
	if seen := a.Observed[c.store.identity.ID]; seen.Term > hard.GetTerm() || seen.Term == hard.GetTerm() && seen.Index > c.logEnd().Index {
		return fmt.Errorf("this folder ends at entry %d of term %d, and %s knows that it held entry %d and term %d: it was set back to an earlier copy",
			c.logEnd().Index, hard.GetTerm(), a.Name, seen.Index, seen.Term)
	}
	c.startCheck.announcements[a.Name] = a
	if n := len(c.ledger.Voters); len(c.startCheck.announcements) < n-n/2 {
		return nil
	}
	c.requiredLogEnds = map[string]logEnd{}
	for name, announcement := range c.startCheck.announcements {
		c.voteAfterTerm = max(c.voteAfterTerm, announcement.Term)
		c.requiredLogEnds[name] = announcement.End
	}
	c.updateMinLogEnd()
	c.startCheck = nil
	if c.voteAfterTerm > hard.GetTerm() {
		// From now on raft rejects messages of older leaders, as any voter does that has learned of a newer term.
		c.node.Step(&raftpb.Message{Type: raftpb.MsgHeartbeatResp.Enum(), From: &a.ID, To: &c.store.identity.ID, Term: &c.voteAfterTerm}) //nolint:errcheck
	} else if c.voteAfterTerm < hard.GetTerm() || hard.GetVote() != 0 {
		c.voteAfterTerm = 0 // the vote in this term is in the data directory
	}
	return nil
}

// updateMinLogEnd derives minLogEnd, how long a log must be, from the log ends that others reported.
func (c *Core) updateMinLogEnd() {
	c.minLogEnd = logEnd{}
	for _, end := range c.requiredLogEnds {
		if c.minLogEnd.before(end) {
			c.minLogEnd = end
		}
	}
}

// dropLostLogEnd drops the log end that a voter reported whose data directory has been lost: the voter announces an empty one, and the old
// one has sent nothing for two election timeouts. Guards against a cluster that stays without a leader (three voters, seed 560 of the
// simulation): the entries up to that log end were lost with the directory, and this voter waited for them. An entry that only
// the lost directory and an earlier state of this one held may be lost thereby; that takes two failures at once, one directory set back
// and another lost, for which nothing is guaranteed.
func (c *Core) dropLostLogEnd(a Announcement) {
	previousID := c.ledger.Voters[a.Name]
	if _, required := c.requiredLogEnds[a.Name]; !required || a.ID == previousID || a.FormingSet != nil || a.Begun {
		return
	}
	if c.clock.Now().Sub(c.lastHeard[previousID]) > 2*electionTicks*TickEvery {
		delete(c.requiredLogEnds, a.Name)
		c.updateMinLogEnd()
		c.log.Warn().Str("keeper", a.Name).Msg("the folder of this keeper is lost: the log end that it reported is no longer waited for")
	}
}

// mayVote reports whether a message may be passed to raft: false for requests of votes that this voter must not give. Requests of
// a term older than raft's are passed on, because raft answers them with its term. Guards against a cluster that stays
// without a leader (three voters, seed 1100 of the cluster simulation): a candidate in an older term got no answer and never
// learned the current term.
func (c *Core) mayVote(m *raftpb.Message) bool {
	t := m.GetType()
	switch {
	case t != raftpb.MsgVote && t != raftpb.MsgPreVote, m.GetTerm() < c.node.BasicStatus().HardState.GetTerm():
		return true
	case (logEnd{m.GetLogTerm(), m.GetIndex()}).before(c.minLogEnd):
		return false
	}
	return m.GetTerm() > c.voteAfterTerm || t == raftpb.MsgPreVote // a pre-vote is not a vote that could be given twice
}

// startCheckDone reports whether the start check is over. It ends the check when the timeout has passed.
func (c *Core) startCheckDone() bool {
	if c.startCheck != nil && !c.clock.Now().Before(c.startCheck.deadline) {
		c.startCheck = nil
		c.log.Warn().Msg("too few other keepers answer: going on by this folder alone; if it is a restored copy, end this process and move it away")
	}
	return c.startCheck == nil
}

// maySend reports whether a message may be sent: a voter requests no votes while its log is shorter than the others reported.
func (c *Core) maySend(m *raftpb.Message) bool {
	t := m.GetType()
	return t != raftpb.MsgPreVote && t != raftpb.MsgVote || !c.logEnd().before(c.minLogEnd)
}
