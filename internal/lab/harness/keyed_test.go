package harness

import (
	"strings"
	"testing"
	"time"
)

const (
	keyedDataLoss = "copies = 2\norders = 60\nduration = \"8s\"\n[[step]]\nat = \"1s\"\ndo = \"wipe\"\nwho = \"m1\"\nfor = \"300ms\"\n" +
		"[[step]]\nat = \"5s\"\ndo = \"wipe\"\nwho = \"k1\"\nfor = \"300ms\"\n"
	keyedNoFaults = "orders = 60\nduration = \"5s\"\n"
)

// Guards against the loss of holdings: processes lose their data directories one at a time while clients repeat their requests
// through others. No effect happens twice, no key has two answers, and each delivered answer is delivered again.
func TestKeyedRequests(t *testing.T) {
	t.Parallel()
	r := runCluster(t, parseCluster(t, keyedDataLoss), bugNone, ClusterOptions{})
	for _, b := range r.Violations {
		t.Error(b)
	}
	o := r.Keyed
	if o.Keys < 400 || float64(o.Served) < 0.98*float64(o.Keys) || o.Again < o.Served-1 {
		t.Errorf("%+v", o)
	}
	if len(r.Steps) < 5 || len(r.ReplicatedMS) != 2 {
		t.Errorf("want two lost processes whose holdings were copied again: steps %q, copied after %v ms", r.Steps, r.ReplicatedMS)
	}
}

// The process dies after it has had an outcome copied, possibly before the client has received it. Repeats must get that outcome.
func TestKeyedRequestsOwnerDies(t *testing.T) {
	t.Parallel()
	r := runCluster(t, parseCluster(t, "copies = 2\n"+keyedNoFaults), diesAfterCopy, ClusterOptions{})
	if r.NumViolations > 0 || r.Keyed.Failed == 0 || float64(r.Keyed.Served) < 0.98*float64(r.Keyed.Keys) {
		t.Errorf("%+v, violations %q; want some failed tries", r.Keyed, r.Violations)
	}
}

// A process that is terminated hands over its replicas before it ends, so that hardly any request is refused.
func TestKeyedRequestsCleanShutdown(t *testing.T) {
	t.Parallel()
	r := runCluster(t, parseCluster(t, "copies = 2\norders = 60\nduration = \"6s\"\n[[step]]\nat = \"1s\"\ndo = \"term\"\nwho = \"m1\"\nfor = \"4500ms\"\n"), bugNone, ClusterOptions{})
	if o := r.Keyed; r.NumViolations > 0 || o.Served < o.Keys-1 || o.Refused+o.Failed > o.Keys/20 {
		t.Errorf("%+v, violations %q", o, r.Violations)
	}
}

// Shows what copies prevent: without them the same clients cause effects twice and receive two answers for one key.
func TestKeyedRequestsWithoutCopies(t *testing.T) {
	t.Parallel()
	r := runCluster(t, parseCluster(t, keyedNoFaults), bugNone, ClusterOptions{})
	if r.Keyed.Doubled < 10 || r.Keyed.TwoAnswers < 10 {
		t.Errorf("%+v", r.Keyed)
	}
}

// Guards against a checker that misses faults: each injected bug is found by its own rule.
func TestKeyedRequestsInjectedBugs(t *testing.T) {
	for bug, rule := range map[string]string{bugAnswersEarly: Forgotten, bugNoClaim: Doubled} {
		t.Run(bug, func(t *testing.T) {
			t.Parallel()
			r := runCluster(t, parseCluster(t, "copies = 2\n"+keyedNoFaults), bug, ClusterOptions{})
			if !strings.Contains(strings.Join(r.Violations, "\n"), rule+" at") {
				t.Errorf("no violation of rule %q: %+v, %q", rule, r.Keyed, r.Violations)
			}
		})
	}
}

// Guards against a model of the history of keys that accepts impossible histories or rejects a possible one.
func TestKeyHistories(t *testing.T) {
	effect := func(n int) keyOp { return keyOp{Key: "k", Effect: true, Reply: []string{"one", "two"}[n]} }
	received := func(reply string) keyOp { return keyOp{Key: "k", Reply: reply} }
	type event struct {
		op       keyOp
		from, to time.Duration
	}
	for name, c := range map[string]struct {
		events []event
		fits   bool
	}{
		"refused, then received twice":   {[]event{{received(""), 0, 2}, {received("one"), 3, 9}, {effect(0), 5, 5}, {received("one"), 10, 11}}, true},
		"two effects":                    {[]event{{received("one"), 0, 4}, {effect(0), 2, 2}, {effect(1), 6, 6}}, false},
		"received before the effect":     {[]event{{received("one"), 0, 4}, {effect(0), 5, 5}}, false},
		"another answer than the effect": {[]event{{effect(0), 1, 1}, {received("one"), 0, 2}, {received("two"), 3, 4}}, false},
	} {
		var h keyHistory
		for _, e := range c.events {
			h.add(e.op, e.from, e.to)
		}
		if h.linearizable() != c.fits {
			t.Errorf("%s: linearizable %v", name, h.linearizable())
		}
	}
}
