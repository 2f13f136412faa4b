// Package consistency checks that the members of a cluster never applied contradicting rules for longer than allowed. It judges by
// what reached endpoints and when, and by which versions each process reported to be in effect. It is pure: it has no clock and does
// no I/O. Times count from the start of a run, on one clock.
package consistency

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Conf holds the time limits of the rules.
type Conf struct {
	MaxContradiction time.Duration // for how long members may contradict each other
	// Margin allows for delays of the observer's sockets and goroutines: what it saw may have happened that much earlier.
	Margin time.Duration
}

// Forbidden is what a version forbids, as far as endpoints can observe it.
type Forbidden struct {
	Resend bool     // to resend requests of the probed class
	Banned []string // endpoints that get no requests
}

// StatusReport is what a process reported to be in effect, at some moment between the question (At) and the answer (AnsweredAt).
type StatusReport struct {
	At         time.Duration // when the process was asked
	AnsweredAt time.Duration // when it had answered; RecordStatus takes At if this is earlier
	Cautious   bool
	Active     uint64 // the version in effect
	Next       uint64 // the version in effect together with Active; 0 for none
}

// Action is something that an endpoint observed a process do.
type Action struct {
	At       time.Duration
	Process  string
	Endpoint string
	Resend   bool   // a request of the probed class was sent again; false: any request
	What     string // for people
}

// Violation is one case in which a rule was violated.
type Violation struct {
	Rule string
	At   time.Duration
	What string
}

// The rules.
const (
	Contradicts      = "contradicts" // a process did what a version in effect at another member has forbidden for too long
	AgainstSelf      = "against_own" // a process did what it had itself reported as forbidden
	FarApart         = "far_apart"   // two members applied versions that are not neighbors
	VersionRegressed = "goes_back"   // a member applied an older version than before
	TwoLeaders       = "two_leaders" // two leaders in one raft term
	LostVersion      = "lost"        // a version that was reported as agreed is not in the cluster any more
)

// maxViolations bounds the violations that are kept with a description; all are counted.
const maxViolations = 50

// maxReportGap is how far apart two status reports may be so that no other rules can have been in effect between them. It is less
// than half of the shortest lease that the test harness uses.
const maxReportGap = 200 * time.Millisecond

// Checker holds what was recorded of a run and the violations found so far.
type Checker struct {
	conf          Conf
	forbiddenBy   map[uint64]Forbidden      // by version
	reports       map[string][]StatusReport // by process, in order of time
	processes     []string
	actions       []Action
	leaders       map[uint64]string // by raft term
	agreed        []uint64
	violations    []Violation
	starts        map[string][]time.Duration // by process: a start ends what the process reported before
	numViolations int
}

// New returns a checker without records.
func New(conf Conf) *Checker {
	return &Checker{conf: conf, forbiddenBy: map[uint64]Forbidden{}, reports: map[string][]StatusReport{}, leaders: map[uint64]string{},
		starts: map[string][]time.Duration{}}
}

// RecordVersion records what a version forbids. Version 0, from before the first one, forbids nothing and needs no record.
func (c *Checker) RecordVersion(number uint64, f Forbidden) { c.forbiddenBy[number] = f }

// RecordAgreed records that a version was reported as agreed on. Close checks that it still exists.
func (c *Checker) RecordAgreed(number uint64) { c.agreed = append(c.agreed, number) }

// RecordStart records a start of a process.
func (c *Checker) RecordStart(at time.Duration, process string) {
	c.starts[process] = append(c.starts[process], at)
}

// RecordStatus records what a process reported, and checks that it did not go back to an older version without a start in between.
// The reports of a process must come in order of At.
func (c *Checker) RecordStatus(process string, s StatusReport) {
	if _, known := c.reports[process]; !known {
		c.processes = append(c.processes, process)
	}
	reports := c.reports[process]
	s.AnsweredAt = max(s.AnsweredAt, s.At)
	if n := len(reports); n > 0 && s.Active < reports[n-1].Active && !c.startedBetween(process, reports[n-1].At, s.At) {
		c.recordViolation(VersionRegressed, s.At, "%s applies version %d after it had applied version %d", process, s.Active, reports[n-1].Active)
	}
	c.reports[process] = append(reports, s)
}

// startedBetween reports whether a process started between two times, which are included.
func (c *Checker) startedBetween(process string, from, to time.Duration) bool {
	return slices.ContainsFunc(c.starts[process], func(at time.Duration) bool { return at >= from && at <= to })
}

// RecordAction records an action. Close judges it.
func (c *Checker) RecordAction(a Action) { c.actions = append(c.actions, a) }

// RecordLeader records that a process is reported to lead in a raft term, and checks that it is the only one. An empty name and
// term 0 are ignored.
func (c *Checker) RecordLeader(at time.Duration, term uint64, process string) {
	if process == "" || term == 0 {
		return
	}
	if other := c.leaders[term]; other != "" && other != process {
		c.recordViolation(TwoLeaders, at, "%s and %s lead in term %d", other, process, term)
	}
	c.leaders[term] = process
}

// recordViolation counts a violation, and keeps its description if it is among the first maxViolations.
func (c *Checker) recordViolation(rule string, at time.Duration, format string, args ...any) {
	if c.numViolations++; len(c.violations) < maxViolations {
		c.violations = append(c.violations, Violation{rule, at, fmt.Sprintf(format, args...)})
	}
}

// forbiddenInEffect reports whether a version in effect at a process with a lease forbids an action. A cautious process has no lease
// and guarantees nothing to others.
func (c *Checker) forbiddenInEffect(s *StatusReport, a *Action) bool {
	if s.Cautious {
		return false // it only restricts what it does itself
	}
	return c.forbiddenBy[s.Active].covers(a) || c.forbiddenBy[s.Next].covers(a)
}

// covers reports whether an action is among what is forbidden.
func (f Forbidden) covers(a *Action) bool {
	return a.Resend && f.Resend || !a.Resend && slices.Contains(f.Banned, a.Endpoint)
}

// forbiddenToItself reports whether a process must not do an action by its own report. A cautious process resends nothing, and keeps
// to the bans of the last version that it knows.
func (c *Checker) forbiddenToItself(s *StatusReport, a *Action) bool {
	if s.Cautious {
		return a.Resend || c.forbiddenBy[s.Active].covers(a)
	}
	return c.forbiddenInEffect(s, a)
}

// heldSince returns since when the reports of a process have met a condition, without a break and without a start in between: the
// time of the answer to the first of these reports. ok is false unless the reports right before and right after the time at both meet
// the condition, no start lies between them, and the returned time is not after at.
func (c *Checker) heldSince(process string, at time.Duration, holds func(s *StatusReport) bool) (from time.Duration, ok bool) {
	reports := c.reports[process]
	next, _ := slices.BinarySearchFunc(reports, at, func(s StatusReport, at time.Duration) int { return cmp.Compare(s.At, at) })
	if next == len(reports) || next == 0 || !holds(&reports[next]) || !holds(&reports[next-1]) ||
		c.startedBetween(process, reports[next-1].At, reports[next].At) {
		return 0, false
	}
	i := next - 1
	for i > 0 && holds(&reports[i-1]) && !c.startedBetween(process, reports[i-1].At, reports[i].At) {
		i--
	}
	return reports[i].AnsweredAt, reports[i].AnsweredAt <= at
}

// allowedFrom returns since when the process of an action was certainly allowed to do it by its own reports: the answer to the first
// of the unbroken series of reports around the action that allow it, or the time of the action if that series begins only after
// the action. It is 0 if neither the report before the action nor the one after it allows it.
func (c *Checker) allowedFrom(a *Action) time.Duration {
	reports := c.reports[a.Process]
	i, _ := slices.BinarySearchFunc(reports, a.At, func(s StatusReport, at time.Duration) int { return cmp.Compare(s.At, at) })
	if i == len(reports) || c.forbiddenToItself(&reports[i], a) {
		i-- // the lease may have ended between the action and that report
	}
	if i < 0 || c.forbiddenToItself(&reports[i], a) {
		return 0
	}
	for i > 0 && !c.forbiddenToItself(&reports[i-1], a) && !c.startedBetween(a.Process, reports[i-1].At, reports[i].At) {
		i--
	}
	return min(reports[i].AnsweredAt, a.At)
}

// sameStatusAround reports whether the reports of a process right before and right after an action agree and are at most maxReportGap
// apart. Otherwise the action may have been allowed in between.
func (c *Checker) sameStatusAround(a *Action) bool {
	reports := c.reports[a.Process]
	i, _ := slices.BinarySearchFunc(reports, a.At, func(s StatusReport, at time.Duration) int { return cmp.Compare(s.At, at) })
	if i == 0 || i == len(reports) {
		return false
	}
	x, y := reports[i-1], reports[i]
	return x.Cautious == y.Cautious && x.Active == y.Active && x.Next == y.Next && y.At-x.AnsweredAt <= maxReportGap
}

// Report is the result of a run's checks.
type Report struct {
	Violations    []Violation
	NumViolations int // in all; Violations holds the first of them
	// LongestContradiction is the longest time for which a version in effect at another member had forbidden an action. It counts from when
	// the acting process was allowed the action, if that was later.
	LongestContradiction time.Duration
	Actions              int // recorded
	// AgainstOthers counts actions that a version in effect at another member forbade, including those within the allowed time.
	AgainstOthers int
	// UnawareRequests counts requests to banned endpoints by processes that were partitioned before they learned of the ban. They are not
	// judged.
	UnawareRequests int
}

// unaware reports whether an action is a request to a banned endpoint by a process that was partitioned before it learned of the ban. Such
// a process can't know of the ban and goes on serving. It must still keep to the bans that it knew before.
func (c *Checker) unaware(a *Action) bool {
	reports := c.reports[a.Process]
	next, _ := slices.BinarySearchFunc(reports, a.At, func(s StatusReport, at time.Duration) int { return cmp.Compare(s.At, at) })
	if a.Resend || next == len(reports) || next == 0 && !reports[0].Cautious {
		return false
	}
	for _, s := range reports[max(0, next-1) : next+1] {
		if s.Cautious && !slices.Contains(c.forbiddenBy[s.Active].Banned, a.Endpoint) {
			return true
		}
	}
	return false
}

// Close judges the recorded actions and returns the report. present holds the numbers of the versions that the cluster still has at
// the end of the run; nil skips that check.
func (c *Checker) Close(present map[uint64]bool) Report {
	r := Report{Actions: len(c.actions)}
	for i := range c.actions {
		a := &c.actions[i]
		if c.unaware(a) {
			r.UnawareRequests++
			continue
		}
		if since, ok := c.heldSince(a.Process, a.At, func(s *StatusReport) bool { return c.forbiddenToItself(s, a) }); ok && a.At-since > c.conf.Margin && c.sameStatusAround(a) {
			c.recordViolation(AgainstSelf, a.At, "%s did %s %v after it had reported that as forbidden", a.Process, a.What, a.At-since)
		}
		// Two members contradict each other from the moment when one allows what the other forbids. The reports of the acting
		// process can only shorten that time, and only if they allow the action.
		allowedFrom := c.allowedFrom(a)
		forbidden := false
		for _, process := range c.processes {
			since, ok := c.heldSince(process, a.At, func(s *StatusReport) bool { return c.forbiddenInEffect(s, a) })
			if !ok || process == a.Process {
				continue
			}
			forbidden = true
			contradicted := a.At - max(since, allowedFrom)
			if r.LongestContradiction = max(r.LongestContradiction, contradicted); contradicted > c.conf.MaxContradiction+c.conf.Margin {
				c.recordViolation(Contradicts, a.At, "%s did %s, which the rules in effect at %s have forbidden for %v", a.Process, a.What, process, contradicted)
			}
		}
		if forbidden {
			r.AgainstOthers++
		}
	}
	c.checkVersionsFarApart()
	for _, number := range c.agreed {
		if present != nil && !present[number] {
			c.recordViolation(LostVersion, 0, "version %d was reported as agreed and is no longer in the cluster", number)
		}
	}
	r.Violations, r.NumViolations = c.violations, c.numViolations
	return r
}

// checkVersionsFarApart looks for members with a lease whose versions in effect are not neighbors: one still applies a version that
// another member had left entirely (a newer version alone was in effect there) longer ago than allowed. It records the first case.
func (c *Checker) checkVersionsFarApart() {
	var reports []struct {
		StatusReport
		name string
	}
	for _, name := range c.processes {
		for _, s := range c.reports[name] {
			reports = append(reports, struct {
				StatusReport
				name string
			}{s, name})
		}
	}
	slices.SortStableFunc(reports, func(x, y struct {
		StatusReport
		name string
	}) int {
		return cmp.Compare(x.At, y.At)
	})
	aloneSince := map[uint64]time.Duration{} // by version: when it was first in effect alone
	highest := uint64(0)
	for _, s := range reports {
		if s.Cautious {
			continue
		}
		if s.Next == 0 && s.Active > highest {
			highest = s.Active
			aloneSince[highest] = s.At
		}
		if at, ok := aloneSince[highest]; ok && s.Active < highest && s.Next != highest && s.At-at > c.conf.MaxContradiction+c.conf.Margin {
			c.recordViolation(FarApart, s.At, "%s applies version %d, %v after version %d alone was in effect at a member", s.name, s.Active, s.At-at, highest)
			return
		}
	}
}
