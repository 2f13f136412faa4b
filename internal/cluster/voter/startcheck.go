package voter

import (
	"fmt"
	"time"

	"go.etcd.io/raft/v3/raftpb"
)

// Clear: a folder that was set back to an earlier copy has forgotten votes and entries that others rest on. So a keeper
// that starts with the folder of a formed crew takes no part until it has asked the others what they know.
//
// A vote or an entry that counted rests on n/2+1 folders, this one among them, so on n/2 others. Whoever has heard of
// n - n/2 others has heard of one of those. From their terms it knows in which it must not vote any more, and from the ends
// of their logs how long its own, and that of whom it votes for, must be. Where one of them proves that this folder held
// more, it is refused.
//
// With fewer others to be reached it goes on after a while by what its folder says: a crew with one keeper dead must
// survive a restart of another. A folder that was set back is then taken for true (docs/crew.md says so).

const startCheckTimeout = 3 * time.Second

// observedProgress is what is known of a folder: the highest term in which it has spoken, and the highest entry that it has said, in that
// term, to hold. Guards against a sound folder that is refused (seed 219 of the crew's simulation): what it held of an older
// term, and was not agreed on, a later leader may have overwritten by less.
type observedProgress struct {
	Term  uint64 `cbor:"1,keyasint"`
	Index uint64 `cbor:"2,keyasint"`
}

// logEnd is where a log ends; a later one has all that was agreed on up to an earlier one.
type logEnd struct {
	Term  uint64 `cbor:"1,keyasint"`
	Index uint64 `cbor:"2,keyasint"`
}

func (l logEnd) before(other logEnd) bool {
	return l.Term < other.Term || l.Term == other.Term && l.Index < other.Index
}

// startCheck is a keeper's part between its start and its taking part; nil else.
type startCheck struct {
	deadline      time.Time
	announcements map[string]Announcement
}

// logEnd is that of this keeper's folder.
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

// recordObserved remembers what another keeper has let on of its folder. A pre-vote names a term that is not in its folder.
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

// handleStartCheck takes another keeper's word while this one takes no part yet.
func (c *Core) handleStartCheck(a Announcement) error {
	if a.ID != c.ledger.Voters[a.Name] {
		return nil
	}
	hard, _, err := c.store.mem.InitialState()
	if err != nil {
		return err
	}
	if seen := a.Seen[c.store.identity.ID]; seen.Term > hard.GetTerm() || seen.Term == hard.GetTerm() && seen.Index > c.logEnd().Index {
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
		// Words of older leaders are refused from now on, as by any member that has heard of a newer term.
		c.node.Step(&raftpb.Message{Type: raftpb.MsgHeartbeatResp.Enum(), From: &a.ID, To: &c.store.identity.ID, Term: &c.voteAfterTerm}) //nolint:errcheck
	} else if c.voteAfterTerm < hard.GetTerm() || hard.GetVote() != 0 {
		c.voteAfterTerm = 0 // its own folder holds whom it has voted for
	}
	return nil
}

// updateMinLogEnd works out how long a log must be from what was told.
func (c *Core) updateMinLogEnd() {
	c.minLogEnd = logEnd{}
	for _, end := range c.requiredLogEnds {
		if c.minLogEnd.before(end) {
			c.minLogEnd = end
		}
	}
}

// dropLostLogEnd drops what a keeper told whose folder is lost: it comes with an empty one, and the old one has not been heard of for
// two elections' time. Guards against a crew without a leader for good (three keepers, seed 560 of the simulation): the end of
// a log that was nowhere else went with that folder, and this keeper waited for it. What the entries there rested on beside
// it would be this folder alone: one that was set back, and another one lost, are two at once, of which nothing is promised.
func (c *Core) dropLostLogEnd(a Announcement) {
	previousID := c.ledger.Voters[a.Name]
	if _, required := c.requiredLogEnds[a.Name]; !required || a.ID == previousID || a.Set != nil || a.Begun {
		return
	}
	if c.clock.Now().Sub(c.lastHeard[previousID]) > 2*electionTicks*TickEvery {
		delete(c.requiredLogEnds, a.Name)
		c.updateMinLogEnd()
		c.log.Warn().Str("keeper", a.Name).Msg("its folder is lost: what it told of its log binds this keeper no more")
	}
}

// mayVote tells whether a vote that is asked for may be given, or is refused by raft itself. Guards against a crew without a
// leader for good (three keepers, seed 1100 of the crew's simulation): one that asked in a term that this keeper had heard of got no
// word, so it never learnt which term it is.
func (c *Core) mayVote(m *raftpb.Message) bool {
	t := m.GetType()
	switch {
	case t != raftpb.MsgVote && t != raftpb.MsgPreVote, m.GetTerm() < c.node.BasicStatus().HardState.GetTerm():
		return true
	case (logEnd{m.GetLogTerm(), m.GetIndex()}).before(c.minLogEnd):
		return false
	}
	return m.GetTerm() > c.voteAfterTerm || t == raftpb.MsgPreVote // which gives no vote away
}

// startCheckDone tells whether this keeper has asked the others, or waited long enough for them.
func (c *Core) startCheckDone() bool {
	if c.startCheck != nil && !c.clock.Now().Before(c.startCheck.deadline) {
		c.startCheck = nil
		c.log.Warn().Msg("too few other keepers answer: going on by this folder alone; if it is a restored copy, end this process and move it away")
	}
	return c.startCheck == nil
}

// maySend tells whether a message may go out: this keeper asks for no votes while its log lacks what the others have told of.
func (c *Core) maySend(m *raftpb.Message) bool {
	t := m.GetType()
	return t != raftpb.MsgPreVote && t != raftpb.MsgVote || !c.logEnd().before(c.minLogEnd)
}
