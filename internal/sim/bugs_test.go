package sim

import (
	"flag"
	"iter"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"heathgap/decide"
	"heathgap/internal/config"
	"heathgap/internal/lab/oracle"
	"heathgap/internal/lifecycle"
	"heathgap/internal/pipeline"
)

var saveBugs = flag.Bool("sim.keepbugs", false, "save the small scripts of injected bugs in the corpus")

var fromScratch = flag.Bool("sim.fromscratch", false, "search for injected bugs from seed 0 on, to see how many seeds it takes")

var bugSeeds = flag.Int("sim.bugseeds", 1000, "each injected bug must be found within so many seeds")

// faultyDecider wraps the decision module with an injected bug.
type faultyDecider struct {
	inner pipeline.Decider
	// before may change an event; the module does not get the event if it returns false.
	before func(now decide.Time, ev *decide.Event) bool
	// after may change the actions that the module decided on.
	after func(now decide.Time, ev *decide.Event, out []decide.Action) []decide.Action
}

// Handle implements pipeline.Decider.
func (b *faultyDecider) Handle(now decide.Time, ev *decide.Event, out []decide.Action) []decide.Action {
	changed := *ev
	changed.Endpoints = slices.Clone(ev.Endpoints)
	if b.before != nil && !b.before(now, &changed) {
		return out
	}
	from := len(out)
	out = b.inner.Handle(now, &changed, out)
	if b.after != nil {
		out = append(out[:from], b.after(now, &changed, slices.Clone(out[from:]))...)
	}
	return out
}

// Audit returns the module's audit.
func (b *faultyDecider) Audit() (int, error) { return b.inner.(*decide.Balancer).Audit() }

// withBug makes deciders with a bug. inject is called at each start of a sidecar; it may change conf and
// sets the hooks of the decider.
func withBug(inject func(conf *config.Config, b *faultyDecider)) lifecycle.Decider {
	return func(conf *config.Config) (pipeline.Decider, error) {
		b := &faultyDecider{}
		changed := *conf
		changed.Settings.Classes = slices.Clone(conf.Settings.Classes)
		inject(&changed, b)
		inner, err := lifecycle.NewBalancer(&changed)
		b.inner = inner
		return b, err
	}
}

// withListChange makes deciders that change each endpoint of each list.
func withListChange(change func(l *decide.Endpoint)) lifecycle.Decider {
	return withBug(func(_ *config.Config, b *faultyDecider) {
		b.before = func(_ decide.Time, ev *decide.Event) bool {
			for i := range ev.Endpoints {
				change(&ev.Endpoints[i])
			}
			return true
		}
	})
}

// withoutSendCheck makes deciders whose network code does not check drains and key windows again when the first byte is sent.
// That check alone prevents attempts to draining endpoints and duplicate effects when the module is wrong, and so hides the
// module's bugs.
func withoutSendCheck(inner lifecycle.Decider) lifecycle.Decider {
	return func(conf *config.Config) (pipeline.Decider, error) {
		d, err := inner(conf)
		conf.Settings.Rules.DrainGrace = 0
		conf.Classes = maps.Clone(conf.Classes)
		for name, class := range conf.Classes {
			class.Window = time.Hour
			conf.Classes[name] = class
		}
		return d, err
	}
}

// ignoresWindows makes deciders that take each idempotency key to be known for an hour.
var ignoresWindows = withBug(func(conf *config.Config, _ *faultyDecider) {
	for i := range conf.Settings.Classes {
		conf.Settings.Classes[i].Window = time.Hour
	}
})

// ignoresDrains makes deciders that take draining endpoints for active ones.
var ignoresDrains = withListChange(func(l *decide.Endpoint) {
	if l.State == decide.Draining {
		l.State = decide.Active
	}
})

// Drains and key windows are checked twice: by the module when it decides, and by the network code when the first byte is sent.
// Guards against the loss of the second check: with it, seeds pass that fail without it when the module ignores drains or windows.
func TestSendCheckKeepsTheRules(t *testing.T) {
	for name, c := range map[string]struct {
		module lifecycle.Decider
		seed   uint64
	}{"drains": {ignoresDrains, 0}, "windows": {ignoresWindows, 905}} {
		if f := runScript(t, GenerateScript(c.seed), Options{Decider: withoutSendCheck(c.module)}).Failure; f == nil {
			t.Errorf("%s: seed %d passes without the check at the first byte", name, c.seed)
		}
		const more = 10
		for seed := range uint64(more) {
			if f := runScript(t, GenerateScript(c.seed+seed), Options{Decider: c.module}).Failure; f != nil {
				t.Errorf("%s: seed %d: %v", name, c.seed+seed, f)
			}
		}
	}
}

// bugs are the injected bugs; each must be found by a rule that it violates.
var bugs = map[string]struct {
	opts  Options
	rules []string // each of them is right for the bug
	hint  uint64   // a seed that finds it and whose script shrinks well: tried first, to save time
}{
	"sends again by itself when a used connection breaks": {
		Options{Bug: func(p *Process) { p.resendOnReset = true }}, []string{string(oracle.DuplicateEffect), string(oracle.SentAfterAnswer)}, 141},
	"does not look at the window": {
		Options{Decider: withoutSendCheck(ignoresWindows)}, []string{string(oracle.DuplicateEffect)}, 905},
	"takes what is unsafe for safe": {
		Options{Decider: withBug(func(conf *config.Config, _ *faultyDecider) {
			for i := range conf.Settings.Classes {
				conf.Settings.Classes[i].Effect = decide.Safe
			}
		})}, []string{string(oracle.DuplicateEffect)}, 4},
	"ignores drains": {
		Options{Decider: withoutSendCheck(ignoresDrains)}, []string{string(oracle.SentToDrained)}, 0},
	"takes cold endpoints for warm": {
		Options{Decider: withListChange(func(l *decide.Endpoint) { l.Started = 0 })}, []string{string(oracle.OverloadedCold)}, 2707},
	"answers once more when an attempt is called off": {
		Options{Bug: func(p *Process) { p.repeatAnswerOnCancel = true }}, []string{string(oracle.AnsweredTwice)}, 2},
	"forgets attempts whose dial failed": {
		Options{Decider: withBug(func(_ *config.Config, b *faultyDecider) {
			b.before = func(_ decide.Time, ev *decide.Event) bool {
				return ev.Kind != decide.Finished || ev.Outcome != decide.ConnectFailed
			}
		})}, []string{"books"}, 4},
	"takes the list of before a reload": {
		Options{Decider: withoutSendCheck(withBug(func(_ *config.Config, b *faultyDecider) {
			var first []decide.Endpoint
			b.before = func(_ decide.Time, ev *decide.Event) bool {
				if ev.Kind == decide.ListRestored {
					first = slices.Clone(ev.Endpoints)
				}
				if ev.Kind == decide.ListReplaced {
					ev.Endpoints = slices.Clone(first)
				}
				return true
			}
		}))}, []string{string(oracle.SentToDrained)}, 0},
	"waits for its time-out a second too long": {
		Options{Decider: withBug(func(_ *config.Config, b *faultyDecider) {
			b.before = func(_ decide.Time, ev *decide.Event) bool {
				if ev.Kind == decide.Arrived {
					ev.Grace += time.Second
				}
				return ev.Kind != decide.TimerDue
			}
		})}, []string{string(oracle.LostRequest)}, 195},
	"in one order of two events alone: forgets a request that comes in the instant of an answer": {
		Options{Decider: withBug(func(_ *config.Config, b *faultyDecider) {
			var answered decide.Time
			b.before = func(now decide.Time, ev *decide.Event) bool {
				if ev.Kind == decide.Finished && ev.Outcome == decide.Served {
					answered = now
				}
				return ev.Kind != decide.Arrived || now != answered
			}
		})}, []string{string(oracle.LostRequest)}, 38},
}

// seedsToTry yields the hint, unless -sim.fromscratch is set, and then all seeds from 0 on.
func seedsToTry(hint uint64) iter.Seq[uint64] {
	return func(yield func(uint64) bool) {
		if !*fromScratch && !yield(hint) {
			return
		}
		for seed := range uint64(*bugSeeds) {
			if !yield(seed) {
				return
			}
		}
	}
}

// Guards against a simulation that no longer notices bugs: each injected bug must violate the expected rule, and its script
// must shrink to a size that people can read.
func TestInjectedBugs(t *testing.T) {
	const maxShrunkRequests = 20 // requests in a script that people can read
	const maxShrunkSeeds = 10    // failing seeds to shrink at most: the script of a seed with many requests may stay large
	for name, bug := range bugs {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fails := func(s Script) *Failure { return runScript(t, s, bug.opts).Failure }
			var small Script
			found, first := 0, uint64(0)
			for seed := range seedsToTry(bug.hint) {
				if found == maxShrunkSeeds {
					break
				}
				failure := fails(GenerateScript(seed))
				if failure == nil {
					continue
				}
				if !slices.Contains(bug.rules, failure.Rule) {
					t.Fatalf("seed %d: found as %q, want one of %q: %v", seed, failure.Rule, bug.rules, failure)
				}
				if found++; found == 1 {
					first = seed
				}
				if small = Shrink(GenerateScript(seed), fails); len(small.Requests) < maxShrunkRequests {
					break
				}
			}
			if found == 0 {
				t.Fatalf("not found within %d seeds", *bugSeeds)
			}
			t.Logf("found by seed %d; of seed %d, %d requests, %d faults, %d sidecars, %d endpoints are left: %v",
				first, small.Seed, len(small.Requests), len(small.Faults), small.Sidecars, small.Endpoints, fails(small))
			if len(small.Requests) >= maxShrunkRequests {
				t.Errorf("%d requests are left, want under %d", len(small.Requests), maxShrunkRequests)
			}
			if *saveBugs {
				file := strings.NewReplacer(" ", "-", ":", "", ",", "").Replace(name)
				saved := SavedFailure{Reason: "planted: " + name + ": " + fails(small).Error(), Script: small}
				if err := saved.Save(filepath.Join(corpus, file+".json")); err != nil {
					t.Error(err)
				}
			}
			if f := runScript(t, small, Options{}).Failure; f != nil {
				t.Errorf("the small script fails without the bug: %v", f)
			}
		})
	}
}
