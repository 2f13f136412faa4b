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

const clearTime = 3 * time.Second

// past is what is known of a folder: the highest term in which it has spoken, and the highest entry that it has said, in that
// term, to hold. Guards against a sound folder that is refused (seed 219 of the crew's simulation): what it held of an older
// term, and was not agreed on, a later leader may have overwritten by less.
type past struct {
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

// clearing is a keeper's part between its start and its taking part; nil else.
type clearing struct {
	until time.Time
	words map[string]Announcement
}

// logEnd is that of this keeper's folder.
func (k *Core) logEnd() logEnd {
	last, err := k.store.mem.LastIndex()
	if err != nil {
		return logEnd{}
	}
	term, err := k.store.mem.Term(last)
	if err != nil {
		return logEnd{}
	}
	return logEnd{term, last}
}

// noteSeen remembers what another keeper has let on of its folder. A pre-vote names a term that is not in its folder.
func (k *Core) noteSeen(m *raftpb.Message) {
	if t := m.GetType(); t == raftpb.MsgPreVote || t == raftpb.MsgPreVoteResp {
		return
	}
	p := k.seen[m.GetFrom()]
	if m.GetTerm() > p.Term {
		p = past{Term: m.GetTerm()}
	}
	if m.GetType() == raftpb.MsgAppResp && !m.GetReject() && m.GetTerm() == p.Term {
		p.Index = max(p.Index, m.GetIndex())
	}
	k.seen[m.GetFrom()] = p
}

// hearClearing takes another keeper's word while this one takes no part yet.
func (k *Core) hearClearing(w Announcement) error {
	if w.ID != k.ledger.Voters[w.Name] {
		return nil
	}
	hard, _, err := k.store.mem.InitialState()
	if err != nil {
		return err
	}
	if of := w.Seen[k.store.who.ID]; of.Term > hard.GetTerm() || of.Term == hard.GetTerm() && of.Index > k.logEnd().Index {
		return fmt.Errorf("this folder ends at entry %d of term %d, and %s knows that it held entry %d and term %d: it was set back to an earlier copy",
			k.logEnd().Index, hard.GetTerm(), w.Name, of.Index, of.Term)
	}
	k.clearing.words[w.Name] = w
	if n := len(k.ledger.Voters); len(k.clearing.words) < n-n/2 {
		return nil
	}
	k.bounds = map[string]logEnd{}
	for name, w := range k.clearing.words {
		k.voteAfter = max(k.voteAfter, w.Term)
		k.bounds[name] = w.End
	}
	k.bind()
	k.clearing = nil
	if k.voteAfter > hard.GetTerm() {
		// Words of older leaders are refused from now on, as by any member that has heard of a newer term.
		k.node.Step(&raftpb.Message{Type: raftpb.MsgHeartbeatResp.Enum(), From: &w.ID, To: &k.store.who.ID, Term: &k.voteAfter}) //nolint:errcheck
	} else if k.voteAfter < hard.GetTerm() || hard.GetVote() != 0 {
		k.voteAfter = 0 // its own folder holds whom it has voted for
	}
	return nil
}

// bind works out how long a log must be from what was told.
func (k *Core) bind() {
	k.atLeast = logEnd{}
	for _, end := range k.bounds {
		if k.atLeast.before(end) {
			k.atLeast = end
		}
	}
}

// unbind drops what a keeper told whose folder is lost: it comes with an empty one, and the old one has not been heard of for
// two elections' time. Guards against a crew without a leader for good (three keepers, seed 560 of the simulation): the end of
// a log that was nowhere else went with that folder, and this keeper waited for it. What the entries there rested on beside
// it would be this folder alone: one that was set back, and another one lost, are two at once, of which nothing is promised.
func (k *Core) unbind(w Announcement) {
	old := k.ledger.Voters[w.Name]
	if _, bound := k.bounds[w.Name]; !bound || w.ID == old || w.Set != nil || w.Begun {
		return
	}
	if k.clock.Now().Sub(k.spoke[old]) > 2*electionTicks*TickEvery {
		delete(k.bounds, w.Name)
		k.bind()
		k.log.Warn().Str("keeper", w.Name).Msg("its folder is lost: what it told of its log binds this keeper no more")
	}
}

// mayVote tells whether a vote that is asked for may be given, or is refused by raft itself. Guards against a crew without a
// leader for good (three keepers, seed 1100 of the crew's simulation): one that asked in a term that this keeper had heard of got no
// word, so it never learnt which term it is.
func (k *Core) mayVote(m *raftpb.Message) bool {
	t := m.GetType()
	switch {
	case t != raftpb.MsgVote && t != raftpb.MsgPreVote, m.GetTerm() < k.node.BasicStatus().HardState.GetTerm():
		return true
	case (logEnd{m.GetLogTerm(), m.GetIndex()}).before(k.atLeast):
		return false
	}
	return m.GetTerm() > k.voteAfter || t == raftpb.MsgPreVote // which gives no vote away
}

// takesPart tells whether this keeper has asked the others, or waited long enough for them.
func (k *Core) takesPart() bool {
	if k.clearing != nil && !k.clock.Now().Before(k.clearing.until) {
		k.clearing = nil
		k.log.Warn().Msg("too few other keepers answer: going on by this folder alone; if it is a restored copy, end this process and move it away")
	}
	return k.clearing == nil
}

// maySay tells whether a message may go out: this keeper asks for no votes while its log lacks what the others have told of.
func (k *Core) maySay(m *raftpb.Message) bool {
	t := m.GetType()
	return t != raftpb.MsgPreVote && t != raftpb.MsgVote || !k.logEnd().before(k.atLeast)
}
