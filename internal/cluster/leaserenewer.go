package cluster

import (
	"errors"
	"slices"
)

// Figures of a member's questions.
const (
	// HeartbeatsPerLease of a lease: a member asks so often, so that several answers may be lost before it is cut off.
	HeartbeatsPerLease = 8
	// CallTimeoutPart of a lease is how long one question may take: two keepers can be tried before it ends.
	CallTimeoutPart = 3
	mostAgain       = 4 // rounds of questions in a heartbeat: the leader wants more said, or there is more to say
)

// ErrNoLeader is that no keeper leads, or none that can be reached.
var ErrNoLeader = errors.New("no keeper leads that can be reached")

// LeaseRenewer keeps a member's lease: it finds the leader among the keepers and asks it, one question at a time. With each heartbeat
// its driver calls Heartbeat; then it asks what Question says and hands over what came of that, for as long as Answer says so.
type LeaseRenewer struct {
	holder *LeaseHolder
	order  []string // keepers' names, the one to be asked first in front
	asked  BootTime // the present question
	limit  BootTime // of the present round
	tries  int      // in it
	rounds int      // in this heartbeat
	said   Renewal
}

// NewLeaseRenewer returns that of a holder. keepers are names.
func NewLeaseRenewer(holder *LeaseHolder, keepers []string) *LeaseRenewer {
	return &LeaseRenewer{holder: holder, order: slices.Clone(keepers)}
}

// FirstVoter is the keeper that is asked first.
func (s *LeaseRenewer) FirstVoter() string { return s.order[0] }

// StartHeartbeat begins anew.
func (s *LeaseRenewer) StartHeartbeat() { s.tries, s.rounds = 0, 0 }

// NextRequest is what to ask now, and whom.
func (s *LeaseRenewer) NextRequest(now BootTime) (keeper string, r Renewal) {
	if s.tries == 0 {
		s.limit = now + s.holder.terms.Lease
	}
	s.asked, s.said = now, s.holder.NextRenewal()
	return s.order[0], s.said
}

// RenewalStep is what comes of an answer.
type RenewalStep struct {
	RenewNow bool  // the next question is to be asked at once, when Acting has been put in force; else with the next heartbeat
	Done     bool  // a round has ended: with Err, a refusal, or a lease
	Err      error // ErrNoLeader, or a word that can't be true
	Reason   string
}

// HandleResponse takes what came of the present question: a grant, or the leader's name, or neither.
func (s *LeaseRenewer) HandleResponse(now BootTime, grant *Grant, leader string) RenewalStep {
	if grant == nil {
		s.tries++
		if i := slices.Index(s.order, leader); leader != "" && i > 0 {
			s.order = slices.Insert(slices.Delete(s.order, i, i+1), 0, leader)
		} else {
			s.order = append(s.order[1:], s.order[0])
		}
		// Two more than there are keepers: the last one may name the leader, and that may change.
		if s.tries >= len(s.order)+2 || now >= s.limit {
			return RenewalStep{Done: true, Err: ErrNoLeader}
		}
		return RenewalStep{RenewNow: true}
	}
	s.tries = 0
	if _, err := s.holder.HandleGrant(s.asked, grant); err != nil {
		return RenewalStep{Done: true, Err: err}
	}
	s.rounds++
	more := s.rounds < mostAgain
	if !grant.Granted {
		n := RenewalStep{Done: true, RenewNow: grant.RetryNow && more}
		if !grant.RetryNow {
			n.Reason = grant.Reason
		}
		return n
	}
	// What is new to the leader it hears now, not with the next heartbeat: a version comes through that much sooner. What was
	// said under an older epoch was not taken.
	after := s.holder.NextRenewal()
	news := after.Checked != s.said.Checked || after.Prepared != s.said.Prepared || grant.Next != nil && after.Epoch != s.said.Epoch
	return RenewalStep{Done: true, RenewNow: more && news}
}
