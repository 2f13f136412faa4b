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
	CallTimeoutPart        = 3
	maxAnswersPerHeartbeat = 4 // rounds of questions in a heartbeat: the leader wants more said, or there is more to say
)

// ErrNoLeader is that no keeper leads, or none that can be reached.
var ErrNoLeader = errors.New("no keeper leads that can be reached")

// LeaseRenewer keeps a member's lease: it finds the leader among the keepers and asks it, one question at a time. With each heartbeat
// its driver calls Heartbeat; then it asks what Question says and hands over what came of that, for as long as Answer says so.
type LeaseRenewer struct {
	holder      *LeaseHolder
	voters      []string // keepers' names, the one to be asked first in front
	requestedAt BootTime // the present question
	seriesEnd   BootTime // of the present round
	calls       int      // in it
	answers     int      // in this heartbeat
	sent        Renewal
}

// NewLeaseRenewer returns that of a holder. keepers are names.
func NewLeaseRenewer(holder *LeaseHolder, voters []string) *LeaseRenewer {
	return &LeaseRenewer{holder: holder, voters: slices.Clone(voters)}
}

// FirstVoter is the keeper that is asked first.
func (lr *LeaseRenewer) FirstVoter() string { return lr.voters[0] }

// StartHeartbeat begins anew.
func (lr *LeaseRenewer) StartHeartbeat() { lr.calls, lr.answers = 0, 0 }

// NextRequest is what to ask now, and whom.
func (lr *LeaseRenewer) NextRequest(now BootTime) (voter string, r Renewal) {
	if lr.calls == 0 {
		lr.seriesEnd = now + lr.holder.params.Lease
	}
	lr.requestedAt, lr.sent = now, lr.holder.NextRenewal()
	return lr.voters[0], lr.sent
}

// RenewalStep is what comes of an answer.
type RenewalStep struct {
	RenewNow bool  // the next question is to be asked at once, when Acting has been put in force; else with the next heartbeat
	Done     bool  // a round has ended: with Err, a refusal, or a lease
	Err      error // ErrNoLeader, or a word that can't be true
	Reason   string
}

// HandleResponse takes what came of the present question: a grant, or the leader's name, or neither.
func (lr *LeaseRenewer) HandleResponse(now BootTime, grant *Grant, leader string) RenewalStep {
	if grant == nil {
		lr.calls++
		if i := slices.Index(lr.voters, leader); leader != "" && i > 0 {
			lr.voters = slices.Insert(slices.Delete(lr.voters, i, i+1), 0, leader)
		} else {
			lr.voters = append(lr.voters[1:], lr.voters[0])
		}
		// Two more than there are keepers: the last one may name the leader, and that may change.
		if lr.calls >= len(lr.voters)+2 || now >= lr.seriesEnd {
			return RenewalStep{Done: true, Err: ErrNoLeader}
		}
		return RenewalStep{RenewNow: true}
	}
	lr.calls = 0
	if _, err := lr.holder.HandleGrant(lr.requestedAt, grant); err != nil {
		return RenewalStep{Done: true, Err: err}
	}
	lr.answers++
	more := lr.answers < maxAnswersPerHeartbeat
	if !grant.Granted {
		step := RenewalStep{Done: true, RenewNow: grant.RetryNow && more}
		if !grant.RetryNow {
			step.Reason = grant.Reason
		}
		return step
	}
	// What is new to the leader it hears now, not with the next heartbeat: a version comes through that much sooner. What was
	// said under an older epoch was not taken.
	next := lr.holder.NextRenewal()
	hasNews := next.Checked != lr.sent.Checked || next.Prepared != lr.sent.Prepared || grant.Next != nil && next.Epoch != lr.sent.Epoch
	return RenewalStep{Done: true, RenewNow: more && hasNews}
}
