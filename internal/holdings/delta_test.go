package holdings

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// testLedger is a ledger's members and placement with their history, as a keeper has them.
type testLedger struct {
	view    View
	history History
}

// clone is another keeper's, that knows the same and has a history of its own.
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

// changeAtRandom draws an entry.
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
		if _, there := l.view.find(name); there && rapid.Bool().Draw(t, "goes") {
			gone = append(gone, name)
			continue
		}
		joined = append(joined, Member{Incarnation: Incarnation{name, l.view.Epoch + 1}, Token: rapid.Uint64().Draw(t, "token"), Zone: fmt.Sprint(i % 3),
			Address: fmt.Sprint("10.0.0.", i)})
	}
	l.changeMembers(gone, joined)
}

func newTestLedger(maxChanges int) *testLedger {
	l := &testLedger{view: View{Placement: &Placement{}}}
	l.history.members.maxSize, l.history.shards.maxSize = maxChanges, maxChanges
	l.changeMembers(nil, []Member{{Incarnation: Incarnation{"m00", 1}, Token: 1}})
	return l
}

// sameView tells whether two views are equal, without the checksum.
func sameView(a, b *View) bool {
	return a.Epoch == b.Epoch && slices.Equal(a.Members, b.Members) && reflect.DeepEqual(a.Placement.Shards, b.Placement.Shards) &&
		a.Placement.Number == b.Placement.Number
}

// Entries, answers that come late, twice or never, leaders that come and go with histories of their own, long or short: whoever
// takes a delta has the ledger's members and placement, as they were at the epoch and number that it is told; who can't has
// what it had, and its state is never changed under it.
func TestDeltaYieldsLedgerState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leader := newTestLedger(rapid.IntRange(1, 40).Draw(t, "most"))
		leader.changePlacement(t, []PlacementChange{{Shard: 0, Replicas: []Replica{{Incarnation: Incarnation{"m00", 1}, Ready: true}}}})
		type member struct {
			view, snapshot View // as it is, and as it was when it came
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
			case 2: // another leader: it has applied the same entries, from its beginning on or from a snapshot
				next := leader.clone()
				if rapid.Bool().Draw(t, "from a snapshot") {
					next.history = History{}
				}
				leader = next
			case 3, 4: // it asks
				var epoch, number uint64
				if !m.needsFullView {
					epoch, number = m.view.Epoch, m.view.placementNumber()
				}
				if d := leader.history.Delta(epoch, number, &leader.view, leader.view.Checksum()); epoch != leader.view.Epoch || number != leader.view.placementNumber() {
					c := *d // coded, on its way
					c.Joined, c.Gone, c.Shards = slices.Clone(d.Joined), slices.Clone(d.Gone), slices.Clone(d.Shards)
					for i := range c.Shards {
						c.Shards[i].Of.Replicas = slices.Clone(c.Shards[i].Of.Replicas)
					}
					m.inFlight = append(m.inFlight, &c)
				}
			default: // an answer comes: any of those on their way, maybe again later
				if len(m.inFlight) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "answer")
				d := m.inFlight[i]
				if rapid.IntRange(0, 3).Draw(t, "again") > 0 {
					m.inFlight = slices.Delete(m.inFlight, i, i+1)
				}
				if d.Epoch < m.view.Epoch || d.Epoch == m.view.Epoch && d.Number < m.view.placementNumber() {
					continue // late word: who asks in order drops it
				}
				next, err := m.view.Apply(d)
				if errors.Is(err, ErrChecksum) || errors.Is(err, ErrDelta) {
					t.Fatalf("%+v: %v", d, err)
				}
				if err != nil && m.view.Placement != nil && !sameView(&next, &m.snapshot) {
					t.Fatalf("%+v is not taken, and has changed what is known", d)
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
					t.Fatalf("a member has %+v at epoch %d and number %d, and the ledger had %+v", m.view, m.view.Epoch, m.view.placementNumber(), want)
				}
				if !sameView(&m.view, &m.snapshot) {
					t.Fatal("what a member knows has changed under it")
				}
			}
		}
		// In the end whoever asks has all.
		for i := range members {
			v := &members[i].view
			d := leader.history.Delta(v.Epoch, v.placementNumber(), &leader.view, leader.view.Checksum())
			if next, err := v.Apply(d); err != nil || !sameView(&next, &leader.view) {
				t.Fatalf("%+v: %v", d, err)
			}
		}
	})
}

// Each fault of a delta is met by the checksum, and would lead to another state than the ledger's without it; the view is then as it
// was, and the whole mends it.
func TestDeltaFaultsAreDetected(t *testing.T) {
	for name, alter := range deltaFaults {
		t.Run(name, func(t *testing.T) {
			detected := 0 // faults that would lead to another state than the ledger's
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
				middle := l.clone()
				for range rapid.IntRange(1, 8).Draw(t, "after") {
					middle = l.clone()
					l.changeAtRandom(t)
				}
				d, applies := alter(l, middle, &known)
				if !applies {
					return
				}
				if wrong := known.apply(d); sameView(&wrong, &l.view) {
					return // it is no fault this time: it leads to what is true, and would without the checksum
				}
				next, err := known.Apply(d)
				if !sameView(&next, &known) {
					t.Fatalf("%+v is taken: %+v", d, next)
				}
				if err == nil {
					t.Fatalf("%+v: no error", d)
				}
				detected++
				if next, err = next.Apply(l.history.Delta(0, 0, &l.view, l.view.Checksum())); err != nil || !sameView(&next, &l.view) {
					t.Fatalf("the whole does not mend it: %v", err)
				}
			})
			t.Logf("met %d times", detected)
			if detected < 5 {
				t.Errorf("played only %d times", detected)
			}
		})
	}
}

// deltaFaults are what a leader could say wrongly to who knows a view. middle is the leader one entry before.
var deltaFaults = map[string]func(l, middle *testLedger, known *View) (*Delta, bool){
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
			return nil, false // all members are gone, which is told whole: nothing stands there that could be left out
		}
		return &d, true
	},
	"a change is applied again after a later one": func(l, middle *testLedger, known *View) (*Delta, bool) {
		// The delta of one entry before, said to lead to the present one.
		d := *middle.history.Delta(known.Epoch, known.placementNumber(), &middle.view, l.view.Checksum())
		if d.SinceEpoch != 0 && d.SinceEpoch == d.Epoch && l.view.Epoch != d.Epoch {
			return nil, false // it has no members, and would have to
		}
		d.Epoch, d.Number = l.view.Epoch, l.view.placementNumber()
		return &d, d.SinceNumber == 0 || d.SinceNumber != d.Number
	},
	"a wrong base number": func(l, middle *testLedger, known *View) (*Delta, bool) {
		// From one entry before, said to start from what is known.
		d := *l.history.Delta(middle.view.Epoch, middle.view.placementNumber(), &l.view, l.view.Checksum())
		if d.SinceEpoch == 0 || d.SinceNumber == 0 || middle.view.Epoch == known.Epoch && middle.view.placementNumber() == known.placementNumber() {
			return nil, false
		}
		d.SinceEpoch, d.SinceNumber = known.Epoch, known.placementNumber()
		return &d, true
	},
	"a wrong base number that is said": func(l, middle *testLedger, known *View) (*Delta, bool) {
		d := *l.history.Delta(middle.view.Epoch, middle.view.placementNumber(), &l.view, l.view.Checksum())
		return &d, d.SinceEpoch > known.Epoch || d.SinceNumber > known.placementNumber()
	},
	"the history is cut short and the whole is not sent": func(l, _ *testLedger, known *View) (*Delta, bool) {
		short := l.clone()
		short.history.members.maxSize, short.history.shards.maxSize = 1, 1
		dropOldRecords(&short.history.members)
		dropOldRecords(&short.history.shards)
		d := short.history.Delta(known.Epoch, known.placementNumber(), &short.view, l.view.Checksum())
		return d, d.SinceEpoch != 0 || d.SinceNumber != 0
	},
}

// dropOldRecords drops all records but the newest, and forgets that it did.
func dropOldRecords[T interface{ ~int | ~string }](t *changeLog[T]) {
	if len(t.records) > 1 {
		t.records = t.records[len(t.records)-1:]
	}
}

// Bounds: what a delta may not hold is told, and a history forgets its oldest records and says so.
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
	if things, known := h.since(h.from, h.to); !known || len(things) == 0 {
		t.Errorf("changes since %d are not known", h.from)
	}
	if h.add(9, 10, []string{"late"}); h.from != 9 || len(h.records) != 1 {
		t.Errorf("after a gap: from %d, %d records", h.from, len(h.records))
	}
	if h.add(10, 11, make([]string, maxChanges+1)); h.from != 11 || len(h.records) != 0 {
		t.Errorf("after too many at once: from %d, %d records", h.from, len(h.records))
	}
}
