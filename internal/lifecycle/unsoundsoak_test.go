package lifecycle

import (
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"heathgap/internal/lab/scripted"
)

// unsoundPlan is what the seed of a run decides on clients that are not sound. Its methods may be called without one.
type unsoundPlan struct {
	upgrade bool   // the process is replaced before the stop
	dir     string // that its processes share
}

// unsoundHabits are the habits of the clients of such a run.
var unsoundHabits = []clientHabit{
	habitUsual, habitUsual, habitRepeats, habitRepeats, habitRepeats, habitFarAhead, habitUnsound, habitLeaves, habitSlow, habitRests,
}

// newUnsoundPlan draws the plan of a seed.
func newUnsoundPlan(seed uint64) *unsoundPlan {
	return &unsoundPlan{upgrade: rand.New(rand.NewPCG(seed, 4)).IntN(2) == 0}
}

// prepare makes a configuration one of a process that can be replaced, if the plan has that, and returns the environment variables by
// which the processes of an upgrade find each other.
func (p *unsoundPlan) prepare(t *testing.T, conf map[string]any) (environment []string) {
	if p == nil || !p.upgrade {
		return nil
	}
	conf["console"] = scripted.FreeAddress(t)
	dir, err := os.MkdirTemp("", "u") // short: it stands in the path of a Unix socket
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	p.dir = dir
	return []string{"TMPDIR=" + dir}
}

// replace starts the successor of a process, if the plan has one, and returns when that serves.
func (p *unsoundPlan) replace(t *testing.T, old *process, conf map[string]any) {
	if p == nil || !p.upgrade {
		return
	}
	conf["console"] = scripted.FreeAddress(t)
	launchAt(t, conf, scripted.WriteConfig(t, conf), "TMPDIR="+p.dir)
	eventually(t, "the successor serves", func() bool { return strings.Contains(old.log.String(), `"a successor serves"`) })
}

// Guards against report 620a8b: a request that is not sound, or that comes under the id of another one, is answered as served, and one
// whose client has closed its connection behind much that is unread is sent on; up to a stop, and over upgrades.
func TestUnsoundClientsAreNotServed(t *testing.T) {
	stopSoak.Run(t, func(t *testing.T, seed uint64) {
		plan := newSoakPlan(seed)
		plan.unsound = newUnsoundPlan(seed)
		plan.test = "TestUnsoundClientsAreNotServed"
		soakOnce(t, plan)
	})
}
