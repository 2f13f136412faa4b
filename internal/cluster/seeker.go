package cluster

import (
	"errors"
	"slices"
)

// Figures of a member's questions.
const (
	// Heartbeats of a lease: a member asks so often, so that several answers may be lost before it is cut off.
	Heartbeats = 8
	// CallPart of a lease is how long one question may take: two keepers can be tried before it ends.
	CallPart  = 3
	mostAgain = 4 // rounds of questions in a heartbeat: the leader wants more said, or there is more to say
)

// ErrNoLeader is that no keeper leads, or none that can be reached.
var ErrNoLeader = errors.New("no keeper leads that can be reached")

// Seeker keeps a member's lease: it finds the leader among the keepers and asks it, one question at a time. With each heartbeat
// its driver calls Heartbeat; then it asks what Question says and hands over what came of that, for as long as Answer says so.
type Seeker struct {
	holder *Holder
	order  []string // keepers' names, the one to be asked first in front
	asked  Boot     // the present question
	limit  Boot     // of the present round
	tries  int      // in it
	rounds int      // in this heartbeat
	said   Renewal
}

// NewSeeker returns that of a holder. keepers are names.
func NewSeeker(holder *Holder, keepers []string) *Seeker {
	return &Seeker{holder: holder, order: slices.Clone(keepers)}
}

// First is the keeper that is asked first.
func (s *Seeker) First() string { return s.order[0] }

// Heartbeat begins anew.
func (s *Seeker) Heartbeat() { s.tries, s.rounds = 0, 0 }

// Question is what to ask now, and whom.
func (s *Seeker) Question(now Boot) (keeper string, r Renewal) {
	if s.tries == 0 {
		s.limit = now + s.holder.terms.Lease
	}
	s.asked, s.said = now, s.holder.Ask()
	return s.order[0], s.said
}

// Next is what comes of an answer.
type Next struct {
	Ask  bool  // the next question is to be asked at once, when Acting has been put in force; else with the next heartbeat
	Over bool  // a round has ended: with Err, a refusal, or a lease
	Err  error // ErrNoLeader, or a word that can't be true
	Why  string
}

// Answer takes what came of the present question: a grant, or the leader's name, or neither.
func (s *Seeker) Answer(now Boot, grant *Grant, leader string) Next {
	if grant == nil {
		s.tries++
		if i := slices.Index(s.order, leader); leader != "" && i > 0 {
			s.order = slices.Insert(slices.Delete(s.order, i, i+1), 0, leader)
		} else {
			s.order = append(s.order[1:], s.order[0])
		}
		// Two more than there are keepers: the last one may name the leader, and that may change.
		if s.tries >= len(s.order)+2 || now >= s.limit {
			return Next{Over: true, Err: ErrNoLeader}
		}
		return Next{Ask: true}
	}
	s.tries = 0
	if _, err := s.holder.Told(s.asked, grant); err != nil {
		return Next{Over: true, Err: err}
	}
	s.rounds++
	more := s.rounds < mostAgain
	if !grant.Granted {
		n := Next{Over: true, Ask: grant.Again && more}
		if !grant.Again {
			n.Why = grant.Why
		}
		return n
	}
	// What is new to the leader it hears now, not with the next heartbeat: a version comes through that much sooner. What was
	// said under an older epoch was not taken.
	after := s.holder.Ask()
	news := after.Checked != s.said.Checked || after.Prepared != s.said.Prepared || grant.Next != nil && after.Epoch != s.said.Epoch
	return Next{Over: true, Ask: more && news}
}
