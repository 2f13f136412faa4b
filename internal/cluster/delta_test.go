package cluster_test

import (
	"errors"
	"testing"
	"time"

	"heathgap/internal/holdings"
)

// Guards against a fleet in which each restart is paid by everybody: at 580 members one restart cost each of them 172 KB, and the
// leader 101 MB, when the whole of members and placement was told with each change.
func TestOneRestartAt580(t *testing.T) {
	const (
		members  = 580
		mostEach = 2500  // bytes above what a member hears when nothing happens: measured 600
		mostBack = 60000 // for the one that comes back, and is told the whole once: measured 36,000
	)
	f := newFleet(t, members)
	f.check()
	f.clear()
	f.run(4 * time.Second)
	idle := f.told / members / 4
	i := f.holder(true)
	f.clear()
	began := f.now
	f.restart(i)
	f.run(2 * time.Second)
	f.settle(20 * time.Second)
	seconds := int((f.now - began) / time.Second)
	f.check()
	for n, m := range f.all {
		most := idle*(seconds+1) + mostEach
		if n == i {
			most += mostBack
		}
		if m.told > most {
			t.Errorf("%s was told %d bytes in %d s; allowed: %d", m.self.Name, m.told, seconds, most)
		}
	}
	if most := members*(idle*(seconds+1)+mostEach) + mostBack; f.told > most {
		t.Errorf("the leader said %d bytes; allowed: %d", f.told, most)
	}
	t.Logf("%d entries; the leader said %d bytes in %d s, %d of them to the one that came back; %d to a member a second when nothing happens",
		f.entries, f.told, seconds, f.all[i].told, idle)
}

// A new leader, from a snapshot and so without a history, tells nothing to who is up to date, and changes from its first entry on.
func TestNewLeaderTellsChanges(t *testing.T) {
	const members = 100
	f := newFleet(t, members)
	f.clear()
	f.lead()
	f.run(time.Second)
	if most := members * 1000; f.told > most {
		t.Errorf("a change of leader: %d bytes; allowed: %d", f.told, most)
	}
	f.clear()
	f.restart(f.holder(true))
	f.run(2 * time.Second)
	f.settle(20 * time.Second)
	f.check()
	if most := members * 6000; f.told > most {
		t.Errorf("a restart under a new leader: %d bytes; allowed: %d", f.told, most)
	}
}

// Builds that know no changes, as members and as leaders, live in one crew with those that do.
func TestOlderBuildsAreToldTheWhole(t *testing.T) {
	f := newFleet(t, 40)
	deltas := 0
	f.spoil = func(m *fellow, _ *holdings.Delta) {
		if deltas++; m.old {
			t.Errorf("%s takes no changes, and was told some", m.self.Name)
		}
	}
	for i, m := range f.all {
		m.old = i%3 == 0
	}
	for _, old := range []bool{false, true, false} {
		f.oldLeader = old
		f.lead()
		deltas = 0
		for _, i := range []int{f.holder(true), 1, 3} {
			f.restart(i)
			f.run(2 * time.Second)
			f.settle(20 * time.Second)
			f.check()
		}
		if old != (deltas == 0) {
			t.Errorf("%d deltas by a leader that tells changes: %v", deltas, !old)
		}
	}
}

// A member whose result differs stays as it was, names nothing and is told the whole; when that does not add up either, it asks for
// it in the older way, for as long as that leader leads.
func TestDifferingMemberAsksForTheWhole(t *testing.T) {
	f := newFleet(t, 40)
	one := f.all[5]
	spoils, whole := 0, 0
	f.spoil = func(m *fellow, d *holdings.Delta) {
		if m != one {
			return
		}
		if d.SinceEpoch == 0 && d.SinceNumber == 0 {
			whole++
		}
		if spoils > 0 {
			spoils--
			d.Checksum++
		}
	}
	for _, c := range []struct{ spoils, whole int }{{1, 1}, {2, 1}} {
		f.lead()
		f.run(time.Second)
		before := one.holder.View()
		spoils, whole = c.spoils, 0
		f.restart(f.holder(true))
		for limit := f.now + 10*time.Second; spoils == c.spoils; f.tick() {
			if f.now > limit {
				t.Fatal("it was told no delta in 10 s")
			}
		}
		after := one.holder.View()
		if after.Epoch != before.Epoch || after.Placement != before.Placement || !errors.Is(one.holder.ViewErr(), holdings.ErrChecksum) {
			t.Errorf("what it knows is of epoch %d after %d, because of %v", after.Epoch, before.Epoch, one.holder.ViewErr())
		}
		f.run(2 * time.Second)
		f.settle(20 * time.Second)
		f.check()
		if whole != c.whole || spoils != 0 {
			t.Errorf("%d spoilt: told the whole %d times, not %d; %d not played", c.spoils, whole, c.whole, spoils)
		}
		if takes := one.holder.NextRenewal().Takes; (takes == 0) != (c.spoils > 1) {
			t.Errorf("%d spoilt: it takes the form %d", c.spoils, takes)
		}
	}
	f.lead()
	f.run(time.Second)
	if one.holder.NextRenewal().Takes == 0 {
		t.Error("it takes no changes of another leader either")
	}
}
