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

const mostBreaks = 50

// closely is how far apart two words may be that leave no time for another stance between them: under half of the shortest
// lease that a rig plays.
const closely = 200 * time.Millisecond

// Checker is the account of a run.
type Checker struct {
	conf     Conf
	forbids  map[uint64]Forbidden
	said     map[string][]StatusReport
	names    []string
	acts     []Action
	leaders  map[uint64]string
	told     []uint64
	breaks   []Violation
	starts   map[string][]time.Duration // of a process: what it said before counts no more
	recorded int
}

// New returns an empty book.
func New(conf Conf) *Checker {
	return &Checker{conf: conf, forbids: map[uint64]Forbidden{}, said: map[string][]StatusReport{}, leaders: map[uint64]string{},
		starts: map[string][]time.Duration{}}
}

// RecordVersion books what a version forbids. RecordVersion 0 forbids nothing.
func (b *Checker) RecordVersion(number uint64, f Forbidden) { b.forbids[number] = f }

// RecordAgreed books that somebody was told that a version is agreed on.
func (b *Checker) RecordAgreed(number uint64) { b.told = append(b.told, number) }

// RecordStart books a start of a process.
func (b *Checker) RecordStart(at time.Duration, name string) {
	b.starts[name] = append(b.starts[name], at)
}

// RecordStatus books what a process said.
func (b *Checker) RecordStatus(name string, s StatusReport) {
	if _, known := b.said[name]; !known {
		b.names = append(b.names, name)
	}
	said := b.said[name]
	s.AnsweredAt = max(s.AnsweredAt, s.At)
	if n := len(said); n > 0 && s.Active < said[n-1].Active && !b.startedBetween(name, said[n-1].At, s.At) {
		b.broken(GoesBack, s.At, "%s acts on version %d after version %d", name, s.Active, said[n-1].Active)
	}
	b.said[name] = append(said, s)
}

func (b *Checker) startedBetween(name string, from, to time.Duration) bool {
	return slices.ContainsFunc(b.starts[name], func(at time.Duration) bool { return at >= from && at <= to })
}

// RecordAction books an act.
func (b *Checker) RecordAction(a Action) { b.acts = append(b.acts, a) }

// RecordLeader books that a process is said to lead in a term.
func (b *Checker) RecordLeader(at time.Duration, term uint64, name string) {
	if name == "" || term == 0 {
		return
	}
	if other := b.leaders[term]; other != "" && other != name {
		b.broken(TwoLeaders, at, "%s and %s lead in term %d", other, name, term)
	}
	b.leaders[term] = name
}

func (b *Checker) broken(rule string, at time.Duration, format string, args ...any) {
	if b.recorded++; len(b.breaks) < mostBreaks {
		b.breaks = append(b.breaks, Violation{rule, at, fmt.Sprintf(format, args...)})
	}
}

// forbidden tells whether a version that a process vouches for forbids an act.
func (b *Checker) forbidden(s *StatusReport, a *Action) bool {
	if s.Cautious {
		return false // it vouches for nothing: it only does less itself
	}
	return b.forbids[s.Active].hold(a) || b.forbids[s.Next].hold(a)
}

func (f Forbidden) hold(a *Action) bool {
	return a.Resend && f.Resend || !a.Resend && slices.Contains(f.Banned, a.Endpoint)
}

// barred tells whether a process, by its own word, must not do an act: cautious, it sends nothing again, and keeps the bans
// that it has heard of.
func (b *Checker) barred(s *StatusReport, a *Action) bool {
	if s.Cautious {
		return a.Resend || b.forbids[s.Active].hold(a)
	}
	return b.forbidden(s, a)
}

// since tells from when on what a process says has met a condition that it still meets past a time: its first word of an
// unbroken stretch. ok is false when it did not meet it then.
func (b *Checker) since(name string, at time.Duration, meets func(s *StatusReport) bool) (from time.Duration, ok bool) {
	said := b.said[name]
	next, _ := slices.BinarySearchFunc(said, at, func(s StatusReport, at time.Duration) int { return cmp.Compare(s.At, at) })
	if next == len(said) || next == 0 || !meets(&said[next]) || !meets(&said[next-1]) ||
		b.startedBetween(name, said[next-1].At, said[next].At) {
		return 0, false
	}
	i := next - 1
	for i > 0 && meets(&said[i-1]) && !b.startedBetween(name, said[i-1].At, said[i].At) {
		i--
	}
	return said[i].AnsweredAt, said[i].AnsweredAt <= at
}

// allowedFrom tells from when on the process of an act allowed it for sure, by its own word: its first such word of the
// stretch in which it acted, and the act itself where that stretch shows only after it. It is 0 where neither the word
// before the act nor the one after it allows it.
func (b *Checker) allowedFrom(a *Action) time.Duration {
	said := b.said[a.Process]
	i, _ := slices.BinarySearchFunc(said, a.At, func(s StatusReport, at time.Duration) int { return cmp.Compare(s.At, at) })
	if i == len(said) || b.barred(&said[i], a) {
		i-- // a lease may have ended in between
	}
	if i < 0 || b.barred(&said[i], a) {
		return 0
	}
	for i > 0 && !b.barred(&said[i-1], a) && !b.startedBetween(a.Process, said[i-1].At, said[i].At) {
		i--
	}
	return min(said[i].AnsweredAt, a.At)
}

// settled tells whether a process said the same before an act and after it, in words that follow each other closely: else
// it may have been allowed in between.
func (b *Checker) settled(a *Action) bool {
	said := b.said[a.Process]
	i, _ := slices.BinarySearchFunc(said, a.At, func(s StatusReport, at time.Duration) int { return cmp.Compare(s.At, at) })
	if i == 0 || i == len(said) {
		return false
	}
	x, y := said[i-1], said[i]
	return x.Cautious == y.Cautious && x.Active == y.Active && x.Next == y.Next && y.At-x.AnsweredAt <= closely
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
func (b *Checker) unaware(a *Action) bool {
	said := b.said[a.Process]
	next, _ := slices.BinarySearchFunc(said, a.At, func(s StatusReport, at time.Duration) int { return cmp.Compare(s.At, at) })
	if a.Resend || next == len(said) || next == 0 && !said[0].Cautious {
		return false
	}
	for _, s := range said[max(0, next-1) : next+1] {
		if s.Cautious && !slices.Contains(b.forbids[s.Active].Banned, a.Endpoint) {
			return true
		}
	}
	return false
}

// Close judges the run. present tells which versions the crew still has in the end, by number.
func (b *Checker) Close(present map[uint64]bool) Report {
	r := Report{Actions: len(b.acts)}
	for i := range b.acts {
		a := &b.acts[i]
		if b.unaware(a) {
			r.Unaware++
			continue
		}
		if from, ok := b.since(a.Process, a.At, func(s *StatusReport) bool { return b.barred(s, a) }); ok && a.At-from > b.conf.Margin && b.settled(a) {
			b.broken(AgainstSelf, a.At, "%s did %s %v after it had said that it does not", a.Process, a.What, a.At-from)
		}
		// Two contradict each other from when the one allows what the other forbids. What a process says of itself can
		// only shorten that if it says that it allows the act.
		allowed := b.allowedFrom(a)
		against := false
		for _, name := range b.names {
			from, ok := b.since(name, a.At, func(s *StatusReport) bool { return b.forbidden(s, a) })
			if !ok || name == a.Process {
				continue
			}
			against = true
			long := a.At - max(from, allowed)
			if r.Longest = max(r.Longest, long); long > b.conf.MaxContradiction+b.conf.Margin {
				b.broken(Contradicts, a.At, "%s did %s, %s has held that forbidden for %v", a.Process, a.What, name, long)
			}
		}
		if against {
			r.AgainstOthers++
		}
	}
	b.checkApart()
	for _, number := range b.told {
		if present != nil && !present[number] {
			b.broken(LostVersion, 0, "version %d was told and is gone", number)
		}
	}
	r.Violations, r.NumViolations = b.breaks, b.recorded
	return r
}

// checkApart looks for members that vouch for versions that are no neighbours: one that others had left behind for good
// longer ago than is allowed.
func (b *Checker) checkApart() {
	var all []struct {
		StatusReport
		name string
	}
	for _, name := range b.names {
		for _, s := range b.said[name] {
			all = append(all, struct {
				StatusReport
				name string
			}{s, name})
		}
	}
	slices.SortStableFunc(all, func(x, y struct {
		StatusReport
		name string
	}) int {
		return cmp.Compare(x.At, y.At)
	})
	first := map[uint64]time.Duration{} // when each version was first acted on alone
	highest := uint64(0)
	for _, s := range all {
		if s.Cautious {
			continue
		}
		if s.Next == 0 && s.Active > highest {
			highest = s.Active
			first[highest] = s.At
		}
		if at, ok := first[highest]; ok && s.Active < highest && s.Next != highest && s.At-at > b.conf.MaxContradiction+b.conf.Margin {
			b.broken(FarApart, s.At, "%s acts on version %d, %v after version %d alone was acted on", s.name, s.Active, s.At-at, highest)
			return
		}
	}
}
