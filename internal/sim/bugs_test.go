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

var saveBugs = flag.Bool("sim.keepbugs", false, "the small scripts of planted bugs are kept in the corpus")

var fromScratch = flag.Bool("sim.fromscratch", false, "planted bugs are looked for from seed 0 on, to see how many seeds it takes")

var bugSeeds = flag.Int("sim.bugseeds", 1000, "within so many seeds each planted bug must be found")

// faultyDecider is the module with a bug round it.
type faultyDecider struct {
	inner pipeline.Decider
	// before may change an event; false swallows it.
	before func(now decide.Time, ev *decide.Event) bool
	// after may change what is decided.
	after func(now decide.Time, ev *decide.Event, out []decide.Action) []decide.Action
}

// Handle is pipeline.Decider's.
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

// Audit passes the module's on.
func (b *faultyDecider) Audit() (int, error) { return b.inner.(*decide.Balancer).Audit() }

// withBug makes deciders with a bug; plant is called for each start of a sidecar.
func withBug(plant func(conf *config.Config, b *faultyDecider)) lifecycle.Decider {
	return func(conf *config.Config) (pipeline.Decider, error) {
		b := &faultyDecider{}
		own := *conf
		own.Settings.Classes = slices.Clone(conf.Settings.Classes)
		plant(&own, b)
		inner, err := lifecycle.Module(&own)
		b.inner = inner
		return b, err
	}
}

// withListChange plants a change of each line of a list.
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

// withoutSendCheck makes deciders whose network code looks neither at drains nor at windows where the first byte leaves: that
// look alone keeps rules 2 and 3 when the module does not, and hides what the module does wrong.
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

var ignoresWindows = withBug(func(conf *config.Config, _ *faultyDecider) {
	for i := range conf.Settings.Classes {
		conf.Settings.Classes[i].Window = time.Hour
	}
})

var ignoresDrains = withListChange(func(l *decide.Endpoint) {
	if l.State == decide.Draining {
		l.State = decide.Active
	}
})

// Drains and windows are looked at twice: where the module decides, and where the first byte leaves. The second look
// alone keeps the rules: the seeds that find these bugs without it pass with it.
func TestSendCheckKeepsTheRules(t *testing.T) {
	for name, c := range map[string]struct {
		module lifecycle.Decider
		seed   uint64
	}{"drains": {ignoresDrains, 0}, "windows": {ignoresWindows, 905}} {
		if f := runScript(t, GenerateScript(c.seed), Options{Decider: withoutSendCheck(c.module)}).Failure; f == nil {
			t.Errorf("%s: seed %d passes without the second look", name, c.seed)
		}
		const more = 10
		for seed := range uint64(more) {
			if f := runScript(t, GenerateScript(c.seed+seed), Options{Decider: c.module}).Failure; f != nil {
				t.Errorf("%s: seed %d: %v", name, c.seed+seed, f)
			}
		}
	}
}

// bugs are planted by the tests alone, each to be found by its own rule.
var bugs = map[string]struct {
	opts  Options
	rules []string // any of them names it
	hint  uint64   // a seed that found it and got small: tried first, so that CI is quick
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

// seedsToTry are the hint, unless the search is to be from scratch, and all others.
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

// Each planted bug is found, by its own rule, and made small enough to read.
func TestPlantedBugs(t *testing.T) {
	const smallAsks = 20  // a script that people can read
	const shrinkMost = 10 // failing seeds that are made smaller: a crowded one may not get small
	for name, bug := range bugs {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fails := func(s Script) *Failure { return runScript(t, s, bug.opts).Failure }
			var small Script
			found, first := 0, uint64(0)
			for seed := range seedsToTry(bug.hint) {
				if found == shrinkMost {
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
				if small = Shrink(GenerateScript(seed), fails); len(small.Requests) < smallAsks {
					break
				}
			}
			if found == 0 {
				t.Fatalf("not found within %d seeds", *bugSeeds)
			}
			t.Logf("found by seed %d; of seed %d, %d requests, %d faults, %d sidecars, %d endpoints are left: %v",
				first, small.Seed, len(small.Requests), len(small.Faults), small.Sidecars, small.Endpoints, fails(small))
			if len(small.Requests) >= smallAsks {
				t.Errorf("%d requests are left, want under %d", len(small.Requests), smallAsks)
			}
			if *saveBugs {
				file := strings.NewReplacer(" ", "-", ":", "", ",", "").Replace(name)
				kept := SavedFailure{Reason: "planted: " + name + ": " + fails(small).Error(), Script: small}
				if err := kept.Save(filepath.Join(corpus, file+".json")); err != nil {
					t.Error(err)
				}
			}
			if f := runScript(t, small, Options{}).Failure; f != nil {
				t.Errorf("the small script fails without the bug: %v", f)
			}
		})
	}
}
