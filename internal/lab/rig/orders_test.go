package rig

import (
	"strings"
	"testing"
)

const (
	ordersLost = "copies = 2\norders = 60\nduration = \"8s\"\n[[step]]\nat = \"1s\"\ndo = \"wipe\"\nwho = \"m1\"\nfor = \"300ms\"\n" +
		"[[step]]\nat = \"5s\"\ndo = \"wipe\"\nwho = \"k1\"\nfor = \"300ms\"\n"
	ordersQuiet = "orders = 60\nduration = \"5s\"\n"
)

// Machines are lost with their disks, one at a time, while orders are under way and their clients come back through others: no
// effect happens twice, no key has two answers, and each answer that was told is told again.
func TestOrders(t *testing.T) {
	t.Parallel()
	r := playCrew(t, crewScene(t, ordersLost), bugNone, CrewOptions{})
	for _, b := range r.Breaks {
		t.Error(b)
	}
	o := r.Orders
	if o.Keys < 400 || float64(o.Served) < 0.98*float64(o.Keys) || o.Again < o.Served-1 {
		t.Errorf("%+v", o)
	}
	if len(r.Steps) < 5 {
		t.Errorf("two machines were to be lost: %q", r.Steps)
	}
}

// The process that has an outcome copied dies before its client can have heard it.
func TestOrdersOwnerDiesAtTheEnd(t *testing.T) {
	t.Parallel()
	r := playCrew(t, crewScene(t, "copies = 2\n"+ordersQuiet), diesThen, CrewOptions{})
	if r.Broken > 0 || r.Orders.Failed == 0 || float64(r.Orders.Served) < 0.98*float64(r.Orders.Keys) {
		t.Errorf("%+v, breaks %q; some tries were to fail", r.Orders, r.Breaks)
	}
}

// Without copies the same clients have effects twice, and two answers to one key: what copies are for.
func TestOrdersWithoutCopies(t *testing.T) {
	t.Parallel()
	r := playCrew(t, crewScene(t, ordersQuiet), bugNone, CrewOptions{})
	if r.Orders.Doubled < 10 || r.Orders.TwoWays < 10 {
		t.Errorf("%+v", r.Orders)
	}
}

// Each planted bug is caught by its rule.
func TestOrdersCatchPlantedBugs(t *testing.T) {
	for bug, rule := range map[string]string{bugTellsEarly: Forgotten, bugNoClaim: Doubled} {
		t.Run(bug, func(t *testing.T) {
			t.Parallel()
			r := playCrew(t, crewScene(t, "copies = 2\n"+ordersQuiet), bug, CrewOptions{})
			if !strings.Contains(strings.Join(r.Breaks, "\n"), rule+" at") {
				t.Errorf("not found as %q: %+v, %q", rule, r.Orders, r.Breaks)
			}
		})
	}
}
