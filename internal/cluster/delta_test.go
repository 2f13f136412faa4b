package cluster_test

import (
	"errors"
	"testing"
	"time"

	"heathgap/internal/holdings"
)

// Guards against restarts whose cost grows with the cluster for each member: when all members and the placement were sent with each
// change, one restart at 580 members cost each of them 172 KB, and the leader 101 MB.
func TestOneRestartAt580(t *testing.T) {
	const (
		members      = 580
		maxEach      = 2500  // bytes above what a member receives when nothing happens; measured: 600
		maxReturning = 60000 // for the member that comes back, which receives the full view once; measured: 36,000
	)
	f := newFleet(t, members)
	f.check()
	f.resetCounts()
	f.run(4 * time.Second)
	idle := f.answerBytes / members / 4
	i := f.findMember(true)
	f.resetCounts()
	began := f.now
	f.restart(i)
	f.run(2 * time.Second)
	f.settle(20 * time.Second)
	seconds := int((f.now - began) / time.Second)
	f.check()
	for n, m := range f.members {
		allowed := idle*(seconds+1) + maxEach
		if n == i {
			allowed += maxReturning
		}
		if m.answerBytes > allowed {
			t.Errorf("%s received %d bytes in %d s; allowed: %d", m.self.Name, m.answerBytes, seconds, allowed)
		}
	}
	if allowed := members*(idle*(seconds+1)+maxEach) + maxReturning; f.answerBytes > allowed {
		t.Errorf("the leader sent %d bytes; allowed: %d", f.answerBytes, allowed)
	}
	t.Logf("%d entries; the leader sent %d bytes in %d s, %d of them to the member that came back; %d to a member a second when nothing happens",
		f.entries, f.answerBytes, seconds, f.members[i].answerBytes, idle)
}

// A new leader starts from a snapshot, so without a history of changes. It sends nothing to members that are up to date, and deltas
// from its first entry on.
func TestNewLeaderSendsDeltas(t *testing.T) {
	const members = 100
	f := newFleet(t, members)
	f.resetCounts()
	f.changeLeader()
	f.run(time.Second)
	if allowed := members * 1000; f.answerBytes > allowed {
		t.Errorf("a change of leader: %d bytes; allowed: %d", f.answerBytes, allowed)
	}
	f.resetCounts()
	f.restart(f.findMember(true))
	f.run(2 * time.Second)
	f.settle(20 * time.Second)
	f.check()
	if allowed := members * 6000; f.answerBytes > allowed {
		t.Errorf("a restart under a new leader: %d bytes; allowed: %d", f.answerBytes, allowed)
	}
}

// Builds that predate deltas, as members and as leaders, work in one cluster with builds that use them.
func TestOlderBuildsGetFullView(t *testing.T) {
	f := newFleet(t, 40)
	deltas := 0
	f.alterDelta = func(m *fleetMember, _ *holdings.Delta) {
		if deltas++; m.acceptsNoDeltas {
			t.Errorf("%s accepts no deltas, and received one", m.self.Name)
		}
	}
	for i, m := range f.members {
		m.acceptsNoDeltas = i%3 == 0
	}
	for _, old := range []bool{false, true, false} {
		f.leaderSendsNoDeltas = old
		f.changeLeader()
		deltas = 0
		for _, i := range []int{f.findMember(true), 1, 3} {
			f.restart(i)
			f.run(2 * time.Second)
			f.settle(20 * time.Second)
			f.check()
		}
		if old != (deltas == 0) {
			t.Errorf("%d deltas from a leader that sends deltas: %v", deltas, !old)
		}
	}
}

// A member that gets another checksum than the delta names keeps its view and requests the full view. If that has a wrong checksum too,
// it requests the older format without a checksum, for as long as that leader leads.
func TestMemberWithWrongChecksumRequestsFullView(t *testing.T) {
	f := newFleet(t, 40)
	member := f.members[5]
	toAlter, fullViews := 0, 0
	f.alterDelta = func(m *fleetMember, d *holdings.Delta) {
		if m != member {
			return
		}
		if d.SinceEpoch == 0 && d.SinceNumber == 0 {
			fullViews++
		}
		if toAlter > 0 {
			toAlter--
			d.Checksum++
		}
	}
	for _, c := range []struct{ spoils, whole int }{{1, 1}, {2, 1}} {
		f.changeLeader()
		f.run(time.Second)
		before := member.holder.View()
		toAlter, fullViews = c.spoils, 0
		f.restart(f.findMember(true))
		for limit := f.now + 10*time.Second; toAlter == c.spoils; f.tick() {
			if f.now > limit {
				t.Fatal("the member received no delta in 10 s")
			}
		}
		after := member.holder.View()
		if after.Epoch != before.Epoch || after.Placement != before.Placement || !errors.Is(member.holder.ViewErr(), holdings.ErrChecksum) {
			t.Errorf("the member's view is of epoch %d after %d, with error %v; it must stay as it was, with a checksum error", after.Epoch, before.Epoch, member.holder.ViewErr())
		}
		f.run(2 * time.Second)
		f.settle(20 * time.Second)
		f.check()
		if fullViews != c.whole || toAlter != 0 {
			t.Errorf("%d deltas altered: the full view was received %d times, not %d; %d were not altered yet", c.spoils, fullViews, c.whole, toAlter)
		}
		if takes := member.holder.NextRenewal().DeltaFormat; (takes == 0) != (c.spoils > 1) {
			t.Errorf("%d deltas altered: the member accepts deltas of format %d", c.spoils, takes)
		}
	}
	f.changeLeader()
	f.run(time.Second)
	if member.holder.NextRenewal().DeltaFormat == 0 {
		t.Error("the member accepts no deltas of a new leader either")
	}
}
