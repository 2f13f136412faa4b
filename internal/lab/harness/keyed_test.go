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

// Machines are lost with their disks, one at a time, while orders are under way and their clients come back through others: no
// effect happens twice, no key has two answers, and each answer that was told is told again.
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
		t.Errorf("two machines were to be lost, and their copies to be made anew: %q, after %v ms", r.Steps, r.ReplicatedMS)
	}
}

// The process that has an outcome copied dies before its client can have heard it.
func TestKeyedRequestsOwnerDies(t *testing.T) {
	t.Parallel()
	r := runCluster(t, parseCluster(t, "copies = 2\n"+keyedNoFaults), diesAfterCopy, ClusterOptions{})
	if r.NumViolations > 0 || r.Keyed.Failed == 0 || float64(r.Keyed.Served) < 0.98*float64(r.Keyed.Keys) {
		t.Errorf("%+v, breaks %q; some tries were to fail", r.Keyed, r.Violations)
	}
}

// A process that is told to end gives its seats to others before it goes: hardly any request is refused for it.
func TestKeyedRequestsCleanShutdown(t *testing.T) {
	t.Parallel()
	r := runCluster(t, parseCluster(t, "copies = 2\norders = 60\nduration = \"6s\"\n[[step]]\nat = \"1s\"\ndo = \"term\"\nwho = \"m1\"\nfor = \"4500ms\"\n"), bugNone, ClusterOptions{})
	if o := r.Keyed; r.NumViolations > 0 || o.Served < o.Keys-1 || o.Refused+o.Failed > o.Keys/20 {
		t.Errorf("%+v, breaks %q", o, r.Violations)
	}
}

// Without copies the same clients have effects twice, and two answers to one key: what copies are for.
func TestKeyedRequestsWithoutCopies(t *testing.T) {
	t.Parallel()
	r := runCluster(t, parseCluster(t, keyedNoFaults), bugNone, ClusterOptions{})
	if r.Keyed.Doubled < 10 || r.Keyed.TwoAnswers < 10 {
		t.Errorf("%+v", r.Keyed)
	}
}

// Each planted bug is caught by its rule.
func TestKeyedRequestsInjectedBugs(t *testing.T) {
	for bug, rule := range map[string]string{bugAnswersEarly: Forgotten, bugNoClaim: Doubled} {
		t.Run(bug, func(t *testing.T) {
			t.Parallel()
			r := runCluster(t, parseCluster(t, "copies = 2\n"+keyedNoFaults), bug, ClusterOptions{})
			if !strings.Contains(strings.Join(r.Violations, "\n"), rule+" at") {
				t.Errorf("not found as %q: %+v, %q", rule, r.Keyed, r.Violations)
			}
		})
	}
}

// Histories that must not be, and one that may.
func TestKeyHistories(t *testing.T) {
	effect := func(n int) keyOp { return keyOp{Key: "k", Effect: true, Reply: []string{"one", "two"}[n]} }
	told := func(reply string) keyOp { return keyOp{Key: "k", Reply: reply} }
	type event struct {
		op       keyOp
		from, to time.Duration
	}
	for name, c := range map[string]struct {
		events []event
		fits   bool
	}{
		"refused, then told twice":       {[]event{{told(""), 0, 2}, {told("one"), 3, 9}, {effect(0), 5, 5}, {told("one"), 10, 11}}, true},
		"two effects":                    {[]event{{told("one"), 0, 4}, {effect(0), 2, 2}, {effect(1), 6, 6}}, false},
		"told before it happened":        {[]event{{told("one"), 0, 4}, {effect(0), 5, 5}}, false},
		"another answer than the effect": {[]event{{effect(0), 1, 1}, {told("one"), 0, 2}, {told("two"), 3, 4}}, false},
	} {
		var h keyHistory
		for _, e := range c.events {
			h.add(e.op, e.from, e.to)
		}
		if h.linearizable() != c.fits {
			t.Errorf("%s: fits %v", name, h.linearizable())
		}
	}
}
