// Package consistency judges whether the processes of a crew kept to rules that agree: from what reached endpoints, when, and
// from what each process said that it acts on. It is pure. Times count from the start of a run, on one clock.
package consistency

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Conf holds the figures of the rules.
type Conf struct {
	MaxContradiction time.Duration // members may contradict each other for so long
	// Margin is for sockets and goroutines of who watches: what it saw may have happened that much before.
	Margin time.Duration
}

// Forbidden is what a version forbids, of what endpoints can see.
type Forbidden struct {
	Resend bool     // of the probed class
	Banned []string // endpoints that get nothing
}

// StatusReport is what a process said that it acts on, at a moment between the question and the answer.
type StatusReport struct {
	At         time.Duration // it was asked
	AnsweredAt time.Duration // and had answered; At where it is 0
	Cautious   bool
	Active     uint64
	Next       uint64 // acted on as well; 0 for none
}

// Action is something that an endpoint saw a process do.
type Action struct {
	At       time.Duration
	Process  string
	Endpoint string
	Resend   bool // of the probed class: else any request
	What     string
}

// Violation is one case of a broken rule.
type Violation struct {
	Rule string
	At   time.Duration
	What string
}

// The rules.
const (
	Contradicts = "contradicts" // an act that others have held forbidden for too long
	AgainstSelf = "against_own" // an act that the process itself had said it forbids
	FarApart    = "far_apart"   // two members on versions that are no neighbours
	GoesBack    = "goes_back"   // a member on a version before one that it had acted on
	TwoLeaders  = "two_leaders" // two leaders of one term
	LostVersion = "lost"        // a version that was told is not there any more
)

const maxViolations = 50

// maxReportGap is how far apart two words may be that leave no time for another stance between them: under half of the shortest
// lease that a rig plays.
const maxReportGap = 200 * time.Millisecond

// Checker is the account of a run.
type Checker struct {
	conf          Conf
	forbidden     map[uint64]Forbidden
	reports       map[string][]StatusReport
	processes     []string
	actions       []Action
	leaders       map[uint64]string
	agreed        []uint64
	violations    []Violation
	starts        map[string][]time.Duration // of a process: what it said before counts no more
	numViolations int
}

// New returns an empty book.
func New(conf Conf) *Checker {
	return &Checker{conf: conf, forbidden: map[uint64]Forbidden{}, reports: map[string][]StatusReport{}, leaders: map[uint64]string{},
		starts: map[string][]time.Duration{}}
}

// RecordVersion books what a version forbids. RecordVersion 0 forbids nothing.
func (c *Checker) RecordVersion(number uint64, f Forbidden) { c.forbidden[number] = f }

// RecordAgreed books that somebody was told that a version is agreed on.
func (c *Checker) RecordAgreed(number uint64) { c.agreed = append(c.agreed, number) }

// RecordStart books a start of a process.
func (c *Checker) RecordStart(at time.Duration, process string) {
	c.starts[process] = append(c.starts[process], at)
}

// RecordStatus books what a process said.
func (c *Checker) RecordStatus(process string, s StatusReport) {
	if _, known := c.reports[process]; !known {
		c.processes = append(c.processes, process)
	}
	reports := c.reports[process]
	s.AnsweredAt = max(s.AnsweredAt, s.At)
	if n := len(reports); n > 0 && s.Active < reports[n-1].Active && !c.startedBetween(process, reports[n-1].At, s.At) {
		c.recordViolation(GoesBack, s.At, "%s acts on version %d after version %d", process, s.Active, reports[n-1].Active)
	}
	c.reports[process] = append(reports, s)
}

func (c *Checker) startedBetween(process string, from, to time.Duration) bool {
	return slices.ContainsFunc(c.starts[process], func(at time.Duration) bool { return at >= from && at <= to })
}

// RecordAction books an act.
func (c *Checker) RecordAction(a Action) { c.actions = append(c.actions, a) }

// RecordLeader books that a process is said to lead in a term.
func (c *Checker) RecordLeader(at time.Duration, term uint64, process string) {
	if process == "" || term == 0 {
		return
	}
	if other := c.leaders[term]; other != "" && other != process {
		c.recordViolation(TwoLeaders, at, "%s and %s lead in term %d", other, process, term)
	}
	c.leaders[term] = process
}

func (c *Checker) recordViolation(rule string, at time.Duration, format string, args ...any) {
	if c.numViolations++; len(c.violations) < maxViolations {
		c.violations = append(c.violations, Violation{rule, at, fmt.Sprintf(format, args...)})
	}
}

// forbiddenInEffect tells whether a version that a process vouches for forbids an act.
func (c *Checker) forbiddenInEffect(s *StatusReport, a *Action) bool {
	if s.Cautious {
		return false // it vouches for nothing: it only does less itself
	}
	return c.forbidden[s.Active].forbids(a) || c.forbidden[s.Next].forbids(a)
}

func (f Forbidden) forbids(a *Action) bool {
	return a.Resend && f.Resend || !a.Resend && slices.Contains(f.Banned, a.Endpoint)
}

// forbiddenToItself tells whether a process, by its own word, must not do an act: cautious, it sends nothing again, and keeps the bans
// that it has heard of.
func (c *Checker) forbiddenToItself(s *StatusReport, a *Action) bool {
	if s.Cautious {
		return a.Resend || c.forbidden[s.Active].forbids(a)
	}
	return c.forbiddenInEffect(s, a)
}

// heldSince tells from when on what a process says has met a condition that it still meets past a time: its first word of an
// unbroken stretch. ok is false when it did not meet it then.
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

// allowedFrom tells from when on the process of an act allowed it for sure, by its own word: its first such word of the
// stretch in which it acted, and the act itself where that stretch shows only after it. It is 0 where neither the word
// before the act nor the one after it allows it.
func (c *Checker) allowedFrom(a *Action) time.Duration {
	reports := c.reports[a.Process]
	i, _ := slices.BinarySearchFunc(reports, a.At, func(s StatusReport, at time.Duration) int { return cmp.Compare(s.At, at) })
	if i == len(reports) || c.forbiddenToItself(&reports[i], a) {
		i-- // a lease may have ended in between
	}
	if i < 0 || c.forbiddenToItself(&reports[i], a) {
		return 0
	}
	for i > 0 && !c.forbiddenToItself(&reports[i-1], a) && !c.startedBetween(a.Process, reports[i-1].At, reports[i].At) {
		i--
	}
	return min(reports[i].AnsweredAt, a.At)
}

// sameStatusAround tells whether a process said the same before an act and after it, in words that follow each other closely: else
// it may have been allowed in between.
func (c *Checker) sameStatusAround(a *Action) bool {
	reports := c.reports[a.Process]
	i, _ := slices.BinarySearchFunc(reports, a.At, func(s StatusReport, at time.Duration) int { return cmp.Compare(s.At, at) })
	if i == 0 || i == len(reports) {
		return false
	}
	x, y := reports[i-1], reports[i]
	return x.Cautious == y.Cautious && x.Active == y.Active && x.Next == y.Next && y.At-x.AnsweredAt <= maxReportGap
}

// Report is what a run came to.
type Report struct {
	Violations    []Violation
	NumViolations int // in all; the first are in Breaks
	// Longest is the longest that an act went on which others held forbidden.
	Longest time.Duration
	Actions int // that were judged
	// AgainstOthers counts acts that some member held forbidden, also for a time that is allowed.
	AgainstOthers int
	// Unaware counts requests to banned endpoints by processes that were cut off before the ban.
	Unaware int
}

// unaware tells whether a process sent to a banned endpoint that was cut off before it heard of the ban: it can't know, and
// goes on serving. What it had heard before still binds it.
func (c *Checker) unaware(a *Action) bool {
	reports := c.reports[a.Process]
	next, _ := slices.BinarySearchFunc(reports, a.At, func(s StatusReport, at time.Duration) int { return cmp.Compare(s.At, at) })
	if a.Resend || next == len(reports) || next == 0 && !reports[0].Cautious {
		return false
	}
	for _, s := range reports[max(0, next-1) : next+1] {
		if s.Cautious && !slices.Contains(c.forbidden[s.Active].Banned, a.Endpoint) {
			return true
		}
	}
	return false
}

// Close judges the run. present tells which versions the crew still has in the end, by number.
func (c *Checker) Close(present map[uint64]bool) Report {
	r := Report{Actions: len(c.actions)}
	for i := range c.actions {
		a := &c.actions[i]
		if c.unaware(a) {
			r.Unaware++
			continue
		}
		if since, ok := c.heldSince(a.Process, a.At, func(s *StatusReport) bool { return c.forbiddenToItself(s, a) }); ok && a.At-since > c.conf.Margin && c.sameStatusAround(a) {
			c.recordViolation(AgainstSelf, a.At, "%s did %s %v after it had said that it does not", a.Process, a.What, a.At-since)
		}
		// Two contradict each other from when the one allows what the other forbids. What a process says of itself can
		// only shorten that if it says that it allows the act.
		allowedFrom := c.allowedFrom(a)
		forbidden := false
		for _, process := range c.processes {
			since, ok := c.heldSince(process, a.At, func(s *StatusReport) bool { return c.forbiddenInEffect(s, a) })
			if !ok || process == a.Process {
				continue
			}
			forbidden = true
			contradicted := a.At - max(since, allowedFrom)
			if r.Longest = max(r.Longest, contradicted); contradicted > c.conf.MaxContradiction+c.conf.Margin {
				c.recordViolation(Contradicts, a.At, "%s did %s, %s has held that forbidden for %v", a.Process, a.What, process, contradicted)
			}
		}
		if forbidden {
			r.AgainstOthers++
		}
	}
	c.checkVersionsFarApart()
	for _, number := range c.agreed {
		if present != nil && !present[number] {
			c.recordViolation(LostVersion, 0, "version %d was told and is gone", number)
		}
	}
	r.Violations, r.NumViolations = c.violations, c.numViolations
	return r
}

// checkVersionsFarApart looks for members that vouch for versions that are no neighbours: one that others had left behind for good
// longer ago than is allowed.
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
	aloneSince := map[uint64]time.Duration{} // when each version was first acted on alone
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
			c.recordViolation(FarApart, s.At, "%s acts on version %d, %v after version %d alone was acted on", s.name, s.Active, s.At-at, highest)
			return
		}
	}
}
