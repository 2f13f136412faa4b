// Package clusterparams holds what all processes of a crew must be started with alike. It stands below all that uses it, so that
// reading an operator's file links none of the agreement's libraries.
package clusterparams

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Params are what all processes of a crew must be started with alike: a lease that holder
// and granter count differently would protect nothing.
type Params struct {
	Lease time.Duration // for so long a member may act on what it was told, from before it asked
	Drift float64       // each clock's rate is right to this part, at most
	Slack time.Duration // between a member's look at its lease and what it then does
	// FixedClasses no version may change: a member that is cut off goes on with them as they are.
	FixedClasses []string
	Holdings     Holdings
}

// Bounds of the terms, and of a crew.
const (
	MinLease   = 200 * time.Millisecond // shorter ones end between two renewals on a busy machine
	MaxLease   = time.Minute
	MaxDrift   = 0.1
	MaxMembers = 4096
	MaxVoters  = 7
)

// LessorWait is how long after its last word a granter takes a lease for held: however far
// apart both clocks go within the drift, the holder has stopped by then.
func (p Params) LessorWait() time.Duration {
	return time.Duration(float64(p.Lease)*(1+p.Drift)/(1-p.Drift)) + p.Slack
}

// Hash is equal for equal terms.
func (p Params) Hash() string {
	fixed := slices.Sorted(slices.Values(p.FixedClasses))
	text := fmt.Appendf(nil, "%d %v %d %q", p.Lease, p.Drift, p.Slack, fixed)
	if p.Holdings.Copies > 0 {
		text = fmt.Appendf(text, " %+v", p.Holdings)
	}
	sum := sha256.Sum256(text)
	return fmt.Sprintf("%x", sum[:8])
}

// String names them as the operator's file does.
func (p Params) String() string {
	holdings := ""
	if h := p.Holdings; h.Copies > 0 {
		holdings = fmt.Sprintf(", holdings: copies %d, keep %v, lost_after %v", h.Copies, h.Keep, h.LostAfter)
	}
	return fmt.Sprintf("lease %v, drift %v, slack %v, fixed_classes [%s]%s", p.Lease, p.Drift, p.Slack,
		strings.Join(p.FixedClasses, " "), holdings)
}
