package holdings

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// testLedger holds a ledger's members and placement with their history, as a voter has them.
type testLedger struct {
	view    View
	history History
}

// clone returns the ledger of another voter: with the same state, and a history of its own.
func (l *testLedger) clone() *testLedger {
	c := *l
	c.view.Members, c.view.Placement = slices.Clone(l.view.Members), l.view.Placement.Clone()
	c.history.members.records = slices.Clone(l.history.members.records)
	c.history.shards.records = slices.Clone(l.history.shards.records)
	return &c
}

func (l *testLedger) changeMembers(gone []string, joined []Member) {
	var names []string
	for _, m := range joined {
		names = append(names, m.Name)
	}
	l.view.Members = mergeMembers(l.view.Members, joined, gone)
	l.view.Epoch++
	l.history.RecordMembers(l.view.Epoch-1, l.view.Epoch, append(names, gone...))
}

func (l *testLedger) changePlacement(t *rapid.T, changes []PlacementChange) {
	before := l.view.Placement.Number
	if err := l.view.Placement.Apply(changes); err != nil {
		t.Fatal(err)
	}
	l.history.RecordChanges(before, l.view.Placement.Number, changes)
}

// changeAtRandom applies a random change of the members or the placement.
func (l *testLedger) changeAtRandom(t *rapid.T) {
	if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
		var changes []PlacementChange
		for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, NumShards-1), 1, 6, rapid.ID[int]).Draw(t, "shards") {
			c := PlacementChange{Shard: i, Config: l.view.Placement.Shards[i].Config, Lost: rapid.Bool().Draw(t, "lost")}
			for n := range rapid.IntRange(0, 2).Draw(t, "replicas") {
				c.Replicas = append(c.Replicas, Replica{Incarnation: Incarnation{fmt.Sprint("m", n), l.view.Epoch}, Token: rapid.Uint64().Draw(t, "token"), Ready: n == 0})
			}
			changes = append(changes, c)
		}
		l.changePlacement(t, changes)
		return
	}
	var joined []Member
	var gone []string
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 30), 1, 4, rapid.ID[int]).Draw(t, "who") {
		name := fmt.Sprintf("m%02d", i)
		if _, found := l.view.find(name); found && rapid.Bool().Draw(t, "goes") {
			gone = append(gone, name)
			continue
		}
		joined = append(joined, Member{Incarnation: Incarnation{name, l.view.Epoch + 1}, Token: rapid.Uint64().Draw(t, "token"), Zone: fmt.Sprint(i % 3),
			Address: fmt.Sprint("10.0.0.", i)})
	}
	l.changeMembers(gone, joined)
}

// newTestLedger returns a ledger with one member. maxChanges bounds each log of its history.
func newTestLedger(maxChanges int) *testLedger {
	l := &testLedger{view: View{Placement: &Placement{}}}
	l.history.members.maxSize, l.history.shards.maxSize = maxChanges, maxChanges
	l.changeMembers(nil, []Member{{Incarnation: Incarnation{"m00", 1}, Token: 1}})
	return l
}

// sameView reports whether two views are equal. It does not rely on the checksum.
func sameView(a, b *View) bool {
	return a.Epoch == b.Epoch && slices.Equal(a.Members, b.Members) && reflect.DeepEqual(a.Placement.Shards, b.Placement.Shards) &&
		a.Placement.Number == b.Placement.Number
}

// Guards against deltas that lead to another state than the ledger's. Answers come late, twice or never, and leaders change and have
// histories of different lengths. A member that applies a delta must have the members and the placement that the ledger had at the delta's
// epoch and number. A member that cannot apply a delta must keep its view, and no view may change after it was returned.
func TestDeltaYieldsLedgerState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leader := newTestLedger(rapid.IntRange(1, 40).Draw(t, "most"))
		leader.changePlacement(t, []PlacementChange{{Shard: 0, Replicas: []Replica{{Incarnation: Incarnation{"m00", 1}, Ready: true}}}})
		type member struct {
			view, snapshot View // its view, and a deep copy from when it got that view
			inFlight       []*Delta
			needsFullView  bool
		}
		members := make([]member, 3)
		ledgerStates := map[[2]uint64]View{}
		snapshot := func(v View) View {
			v.Members = slices.Clone(v.Members)
			if v.Placement != nil {
				v.Placement = v.Placement.Clone()
			}
			return v
		}
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			ledgerStates[[2]uint64{leader.view.Epoch, leader.view.placementNumber()}] = snapshot(leader.view)
			m := &members[rapid.IntRange(0, 2).Draw(t, "member")]
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				leader.changeAtRandom(t)
			case 2: // another leader: it has applied the same entries from the beginning, or started from a snapshot without a history
				next := leader.clone()
				if rapid.Bool().Draw(t, "from a snapshot") {
					next.history = History{}
				}
				leader = next
			case 3, 4: // the member sends a renewal request and is answered with a delta
				var epoch, number uint64
				if !m.needsFullView {
					epoch, number = m.view.Epoch, m.view.placementNumber()
				}
				if d := leader.history.Delta(epoch, number, &leader.view, leader.view.Checksum()); epoch != leader.view.Epoch || number != leader.view.placementNumber() {
					c := *d // a deep copy, as an encoded message is
					c.Joined, c.Gone, c.Shards = slices.Clone(d.Joined), slices.Clone(d.Gone), slices.Clone(d.Shards)
					for i := range c.Shards {
						c.Shards[i].State.Replicas = slices.Clone(c.Shards[i].State.Replicas)
					}
					m.inFlight = append(m.inFlight, &c)
				}
			default: // one of the answers in flight arrives; it may arrive again later
				if len(m.inFlight) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "answer")
				d := m.inFlight[i]
				if rapid.IntRange(0, 3).Draw(t, "again") > 0 {
					m.inFlight = slices.Delete(m.inFlight, i, i+1)
				}
				if d.Epoch < m.view.Epoch || d.Epoch == m.view.Epoch && d.Number < m.view.placementNumber() {
					continue // stale message: a member drops it
				}
				next, err := m.view.Apply(d)
				if errors.Is(err, ErrChecksum) || errors.Is(err, ErrDelta) {
					t.Fatalf("%+v: %v", d, err)
				}
				if err != nil && m.view.Placement != nil && !sameView(&next, &m.snapshot) {
					t.Fatalf("%+v cannot be applied, but the view has changed", d)
				}
				m.needsFullView = err != nil
				m.view, m.snapshot = next, snapshot(next)
			}
			for i := range members {
				m := &members[i]
				if m.view.Placement == nil {
					continue
				}
				want, known := ledgerStates[[2]uint64{m.view.Epoch, m.view.placementNumber()}]
				if !known || !sameView(&m.view, &want) {
					t.Fatalf("a member has %+v at epoch %d and placement %d; the ledger had %+v", m.view, m.view.Epoch, m.view.placementNumber(), want)
				}
				if !sameView(&m.view, &m.snapshot) {
					t.Fatal("a member's view has changed without a delta")
				}
			}
		}
		// At last each member can reach the leader's state.
		for i := range members {
			v := &members[i].view
			d := leader.history.Delta(v.Epoch, v.placementNumber(), &leader.view, leader.view.Checksum())
			if next, err := v.Apply(d); err != nil || !sameView(&next, &leader.view) {
				t.Fatalf("%+v: %v", d, err)
			}
		}
	})
}

// Guards against faulty deltas that are applied. Each fault would lead to another state than the ledger's if View.Apply did not detect it.
// Apply must return an error and leave the view as it was; a full delta must then lead to the ledger's state.
func TestDeltaFaultsAreDetected(t *testing.T) {
	for name, alter := range deltaFaults {
		t.Run(name, func(t *testing.T) {
			detected := 0 // number of detected deltas that would have led to another state than the ledger's
			rapid.Check(t, func(t *rapid.T) {
				l := newTestLedger(rapid.IntRange(4, 200).Draw(t, "most"))
				l.changePlacement(t, []PlacementChange{{Shard: 0, Replicas: []Replica{{Incarnation: Incarnation{"m00", 1}, Ready: true}}}})
				for range rapid.IntRange(0, 8).Draw(t, "before") {
					l.changeAtRandom(t)
				}
				full := l.history.Delta(0, 0, &l.view, l.view.Checksum())
				known, err := View{}.Apply(full)
				if err != nil {
					t.Fatal(err)
				}
				known.Members, known.Placement = slices.Clone(known.Members), known.Placement.Clone()
				previous := l.clone()
				for range rapid.IntRange(1, 8).Draw(t, "after") {
					previous = l.clone()
					l.changeAtRandom(t)
				}
				d, applies := alter(l, previous, &known)
				if !applies {
					return
				}
				if wrong := known.apply(d); sameView(&wrong, &l.view) {
					return // not a fault this time: the delta leads to the ledger's state
				}
				next, err := known.Apply(d)
				if !sameView(&next, &known) {
					t.Fatalf("the faulty delta %+v was applied: %+v", d, next)
				}
				if err == nil {
					t.Fatalf("%+v: no error", d)
				}
				detected++
				if next, err = next.Apply(l.history.Delta(0, 0, &l.view, l.view.Checksum())); err != nil || !sameView(&next, &l.view) {
					t.Fatalf("the full delta does not lead to the ledger's state: %v", err)
				}
			})
			t.Logf("detected %d times", detected)
			if detected < 5 {
				t.Errorf("the fault was detected only %d times; want at least 5", detected)
			}
		})
	}
}

// deltaFaults are deltas that a leader could wrongly send to a member with the view known. l is the leader's ledger, and previous the same
// one entry earlier. A function returns false if the fault does not apply to the given states.
var deltaFaults = map[string]func(l, previous *testLedger, known *View) (*Delta, bool){
	"a change is left out": func(l, _ *testLedger, known *View) (*Delta, bool) {
		d := *l.history.Delta(known.Epoch, known.placementNumber(), &l.view, l.view.Checksum())
		switch {
		case len(d.Gone) > 0:
			d.Gone = d.Gone[1:]
		case len(d.Joined) > 0:
			d.Joined = d.Joined[1:]
		case len(d.Shards) > 0:
			d.Shards = d.Shards[1:]
		default:
			return nil, false // all members are gone: the delta is full and empty, and there is nothing to leave out
		}
		return &d, true
	},
	"a change is applied again after a later one": func(l, previous *testLedger, known *View) (*Delta, bool) {
		// The delta to the state one entry earlier, labelled as leading to the present one.
		d := *previous.history.Delta(known.Epoch, known.placementNumber(), &previous.view, l.view.Checksum())
		if d.SinceEpoch != 0 && d.SinceEpoch == d.Epoch && l.view.Epoch != d.Epoch {
			return nil, false // it holds no change of members, but its labels would announce one
		}
		d.Epoch, d.Number = l.view.Epoch, l.view.placementNumber()
		return &d, d.SinceNumber == 0 || d.SinceNumber != d.Number
	},
	"a wrong base number": func(l, previous *testLedger, known *View) (*Delta, bool) {
		// The delta from one entry earlier, labelled as starting from the member's view.
		d := *l.history.Delta(previous.view.Epoch, previous.view.placementNumber(), &l.view, l.view.Checksum())
		if d.SinceEpoch == 0 || d.SinceNumber == 0 || previous.view.Epoch == known.Epoch && previous.view.placementNumber() == known.placementNumber() {
			return nil, false
		}
		d.SinceEpoch, d.SinceNumber = known.Epoch, known.placementNumber()
		return &d, true
	},
	"a base number that the member does not have": func(l, previous *testLedger, known *View) (*Delta, bool) {
		d := *l.history.Delta(previous.view.Epoch, previous.view.placementNumber(), &l.view, l.view.Checksum())
		return &d, d.SinceEpoch > known.Epoch || d.SinceNumber > known.placementNumber()
	},
	"the history is truncated and the full state is not sent": func(l, _ *testLedger, known *View) (*Delta, bool) {
		short := l.clone()
		short.history.members.maxSize, short.history.shards.maxSize = 1, 1
		dropOldRecords(&short.history.members)
		dropOldRecords(&short.history.shards)
		d := short.history.Delta(known.Epoch, known.placementNumber(), &short.view, l.view.Checksum())
		return d, d.SinceEpoch != 0 || d.SinceNumber != 0
	},
}

// dropOldRecords drops all records but the newest, without noting in the log that it covers less.
func dropOldRecords[T interface{ ~int | ~string }](l *changeLog[T]) {
	if len(l.records) > 1 {
		l.records = l.records[len(l.records)-1:]
	}
}

// Guards against deltas that exceed a limit and are applied, and against a history that grows without limit or claims to cover records that it
// has dropped.
func TestDeltaBounds(t *testing.T) {
	for want, d := range map[error]Delta{
		ErrDelta:    {Epoch: 1, Number: 1, Shards: []ChangedShard{{Shard: NumShards}}},
		ErrBase:     {SinceEpoch: 1, Epoch: 2, Number: 1},
		ErrChecksum: {Epoch: 2, Number: 1},
	} {
		if got, err := (View{}).Apply(&d); !errors.Is(err, want) || got.Placement != nil || got.Epoch != 0 {
			t.Errorf("%+v: %v, %+v", d, err, got)
		}
	}
	var h changeLog[string]
	for n := range uint64(3 * maxRecords) {
		h.add(n, n+1, []string{fmt.Sprint("m", n%7), fmt.Sprint("n", n)})
	}
	if h.size > maxChanges || len(h.records) > maxRecords || h.to != 3*maxRecords {
		t.Errorf("%d names in %d records, up to %d", h.size, len(h.records), h.to)
	}
	if _, known := h.since(h.from-1, h.to); known || h.from == 0 {
		t.Errorf("changes since %d are known, and the history begins at %d", h.from-1, h.from)
	}
	if changed, known := h.since(h.from, h.to); !known || len(changed) == 0 {
		t.Errorf("changes since %d are not known", h.from)
	}
	if h.add(9, 10, []string{"late"}); h.from != 9 || len(h.records) != 1 {
		t.Errorf("after a gap: from %d, %d records", h.from, len(h.records))
	}
	if h.add(10, 11, make([]string, maxChanges+1)); h.from != 11 || len(h.records) != 0 {
		t.Errorf("after too many at once: from %d, %d records", h.from, len(h.records))
	}
}
