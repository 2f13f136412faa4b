// Package clusterparams holds the cluster parameters: the settings that all processes of a cluster must share. It is a package of its own so
// that code which only reads an operator's file does not link the raft libraries.
package clusterparams

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Params are the settings that all processes of a cluster must share. If the lessor and the lease holder measured a lease differently, the
// lease would protect nothing.
type Params struct {
	Lease time.Duration // how long a member may act on a grant, counted from when it sent the renewal request
	Drift float64       // bound on the relative error of each clock's rate
	Slack time.Duration // bound on the time between a member's check of its lease and the action that depends on it
	// FixedClasses are the classes that no version may change. A member without a lease applies its own rules to them.
	FixedClasses []string
	Holdings     Holdings
}

// Limits of the parameters, and of a cluster.
const (
	MinLease   = 200 * time.Millisecond // a shorter lease ends between two renewals on a busy machine
	MaxLease   = time.Minute
	MaxDrift   = 0.1
	MaxMembers = 4096
	MaxVoters  = 7
)

// LessorWait returns how long after its last grant the lessor must take a lease as held. By then the lease holder has stopped, however much
// both clocks differ within the drift.
func (p Params) LessorWait() time.Duration {
	return time.Duration(float64(p.Lease)*(1+p.Drift)/(1-p.Drift)) + p.Slack
}

// Hash returns the same text for equal parameters, in whatever order the fixed classes are listed. Processes of a cluster, also of different
// builds, compare it: the format of the hashed text must not change. Holdings is part of it only if it is enabled.
func (p Params) Hash() string {
	fixed := slices.Sorted(slices.Values(p.FixedClasses))
	text := fmt.Appendf(nil, "%d %v %d %q", p.Lease, p.Drift, p.Slack, fixed)
	if p.Holdings.Copies > 0 {
		text = fmt.Appendf(text, " %+v", p.Holdings)
	}
	sum := sha256.Sum256(text)
	return fmt.Sprintf("%x", sum[:8])
}

// String lists the parameters under their names in the operator's file. The text is part of messages to other processes: it stays.
func (p Params) String() string {
	holdings := ""
	if h := p.Holdings; h.Copies > 0 {
		holdings = fmt.Sprintf(", holdings: copies %d, keep %v, lost_after %v", h.Copies, h.Keep, h.LostAfter)
	}
	return fmt.Sprintf("lease %v, drift %v, slack %v, fixed_classes [%s]%s", p.Lease, p.Drift, p.Slack,
		strings.Join(p.FixedClasses, " "), holdings)
}
