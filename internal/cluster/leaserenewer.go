package cluster

import (
	"errors"
	"slices"
)

// Limits of a member's renewals.
const (
	// HeartbeatsPerLease is how often a member renews within one lease, so that several answers may be lost before the lease ends.
	HeartbeatsPerLease = 8
	// CallTimeoutPart is the part of a lease that one call may take (a third): two voters can be tried before the lease ends.
	CallTimeoutPart        = 3
	maxAnswersPerHeartbeat = 4 // of the leader in one heartbeat; more calls follow when either side has something new to report
)

// ErrNoLeader means that no voter leads, or none that can be reached.
var ErrNoLeader = errors.New("no keeper leads that can be reached")

// LeaseRenewer renews a member's lease: it finds the leader among the voters and calls it, one call at a time. With each heartbeat the
// driver calls StartHeartbeat; then it sends what NextRequest returns and passes the result to HandleResponse, while that sets RenewNow.
type LeaseRenewer struct {
	holder      *LeaseHolder
	voters      []string // voters' names, the next one to call first
	requestedAt BootTime // when the current request was made
	seriesEnd   BootTime // when the current series of calls, in search of the leader, ends
	calls       int      // calls in the series without an answer from the leader
	answers     int      // from the leader in this heartbeat
	sent        Renewal  // the current request
}

// NewLeaseRenewer returns a renewer for a lease holder; voters are the voters' names.
func NewLeaseRenewer(holder *LeaseHolder, voters []string) *LeaseRenewer {
	return &LeaseRenewer{holder: holder, voters: slices.Clone(voters)}
}

// FirstVoter returns the voter that is called first.
func (lr *LeaseRenewer) FirstVoter() string { return lr.voters[0] }

// StartHeartbeat begins a new heartbeat.
func (lr *LeaseRenewer) StartHeartbeat() { lr.calls, lr.answers = 0, 0 }

// NextRequest returns the renewal to send now and the voter to send it to.
func (lr *LeaseRenewer) NextRequest(now BootTime) (voter string, r Renewal) {
	if lr.calls == 0 {
		lr.seriesEnd = now + lr.holder.params.Lease
	}
	lr.requestedAt, lr.sent = now, lr.holder.NextRenewal()
	return lr.voters[0], lr.sent
}

// RenewalStep is the result of a call and what to do next.
type RenewalStep struct {
	RenewNow bool   // send the next request at once, after Effective has been put into effect; otherwise with the next heartbeat
	Done     bool   // a series of calls has ended: with Err, with a refusal, or with a lease
	Err      error  // ErrNoLeader, or the error of LeaseHolder.HandleGrant
	Reason   string // why the leader refuses a lease; empty if a retry at once may succeed
}

// HandleResponse processes the result of the current call: a grant, or the leader's name, or neither.
func (lr *LeaseRenewer) HandleResponse(now BootTime, grant *Grant, leader string) RenewalStep {
	if grant == nil {
		lr.calls++
		if i := slices.Index(lr.voters, leader); leader != "" && i > 0 {
			lr.voters = slices.Insert(slices.Delete(lr.voters, i, i+1), 0, leader)
		} else {
			lr.voters = append(lr.voters[1:], lr.voters[0])
		}
		// Two calls more than there are voters: the last voter may name the leader, and the leader may change.
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
	// Report what is new to the leader at once instead of with the next heartbeat, so that versions become active sooner. The leader
	// has ignored what was reported under an older epoch.
	next := lr.holder.NextRenewal()
	hasNews := next.Checked != lr.sent.Checked || next.Prepared != lr.sent.Prepared || grant.Next != nil && next.Epoch != lr.sent.Epoch
	return RenewalStep{Done: true, RenewNow: more && hasNews}
}
