package holdings

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// author is a ledger's members and placement with their history, as a keeper has them.
type author struct {
	view    View
	history History
}

// clone is another keeper's, that knows the same and has a history of its own.
func (a *author) clone() *author {
	c := *a
	c.view.Members, c.view.Placement = slices.Clone(a.view.Members), a.view.Placement.Clone()
	c.history.members.records = slices.Clone(a.history.members.records)
	c.history.shards.records = slices.Clone(a.history.shards.records)
	return &c
}

func (a *author) members(gone []string, in []Member) {
	var names []string
	for _, m := range in {
		names = append(names, m.Name)
	}
	a.view.Members = mergeMembers(a.view.Members, in, gone)
	a.view.Epoch++
	a.history.RecordMembers(a.view.Epoch-1, a.view.Epoch, append(names, gone...))
}

func (a *author) place(t *rapid.T, changes []PlacementChange) {
	before := a.view.Placement.Number
	if err := a.view.Placement.Apply(changes); err != nil {
		t.Fatal(err)
	}
	a.history.RecordChanges(before, a.view.Placement.Number, changes)
}

// change draws an entry.
func (a *author) change(t *rapid.T) {
	if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
		var changes []PlacementChange
		for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, NumShards-1), 1, 6, rapid.ID[int]).Draw(t, "shards") {
			c := PlacementChange{Shard: i, Config: a.view.Placement.Shards[i].Config, Lost: rapid.Bool().Draw(t, "lost")}
			for n := range rapid.IntRange(0, 2).Draw(t, "replicas") {
				c.Replicas = append(c.Replicas, Replica{Incarnation: Incarnation{fmt.Sprint("m", n), a.view.Epoch}, Token: rapid.Uint64().Draw(t, "token"), Ready: n == 0})
			}
			changes = append(changes, c)
		}
		a.place(t, changes)
		return
	}
	var in []Member
	var gone []string
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 30), 1, 4, rapid.ID[int]).Draw(t, "who") {
		name := fmt.Sprintf("m%02d", i)
		if _, there := a.view.find(name); there && rapid.Bool().Draw(t, "goes") {
			gone = append(gone, name)
			continue
		}
		in = append(in, Member{Incarnation: Incarnation{name, a.view.Epoch + 1}, Token: rapid.Uint64().Draw(t, "token"), Zone: fmt.Sprint(i % 3),
			Address: fmt.Sprint("10.0.0.", i)})
	}
	a.members(gone, in)
}

func newAuthor(most int) *author {
	a := &author{view: View{Placement: &Placement{}}}
	a.history.members.maxSize, a.history.shards.maxSize = most, most
	a.members(nil, []Member{{Incarnation: Incarnation{"m00", 1}, Token: 1}})
	return a
}

// same tells whether two views are equal, without the checksum.
func same(a, b *View) bool {
	return a.Epoch == b.Epoch && slices.Equal(a.Members, b.Members) && reflect.DeepEqual(a.Placement.Shards, b.Placement.Shards) &&
		a.Placement.Number == b.Placement.Number
}

// Entries, answers that come late, twice or never, leaders that come and go with histories of their own, long or short: whoever
// takes a delta has the ledger's members and placement, as they were at the epoch and number that it is told; who can't has
// what it had, and its state is never changed under it.
func TestDeltaLeadsToTheLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leader := newAuthor(rapid.IntRange(1, 40).Draw(t, "most"))
		leader.place(t, []PlacementChange{{Shard: 0, Replicas: []Replica{{Incarnation: Incarnation{"m00", 1}, Ready: true}}}})
		type member struct {
			view, copied View // as it is, and as it was when it came
			flying       []*Delta
			distrusts    bool
		}
		all := make([]member, 3)
		truth := map[[2]uint64]View{}
		keep := func(v View) View {
			v.Members = slices.Clone(v.Members)
			if v.Placement != nil {
				v.Placement = v.Placement.Clone()
			}
			return v
		}
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			truth[[2]uint64{leader.view.Epoch, leader.view.placementNumber()}] = keep(leader.view)
			m := &all[rapid.IntRange(0, 2).Draw(t, "member")]
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				leader.change(t)
			case 2: // another leader: it has applied the same entries, from its beginning on or from a snapshot
				next := leader.clone()
				if rapid.Bool().Draw(t, "from a snapshot") {
					next.history = History{}
				}
				leader = next
			case 3, 4: // it asks
				var epoch, number uint64
				if !m.distrusts {
					epoch, number = m.view.Epoch, m.view.placementNumber()
				}
				if d := leader.history.Delta(epoch, number, &leader.view, leader.view.Checksum()); epoch != leader.view.Epoch || number != leader.view.placementNumber() {
					c := *d // coded, on its way
					c.Joined, c.Gone, c.Shards = slices.Clone(d.Joined), slices.Clone(d.Gone), slices.Clone(d.Shards)
					for i := range c.Shards {
						c.Shards[i].Of.Replicas = slices.Clone(c.Shards[i].Of.Replicas)
					}
					m.flying = append(m.flying, &c)
				}
			default: // an answer comes: any of those on their way, maybe again later
				if len(m.flying) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(m.flying)-1).Draw(t, "answer")
				d := m.flying[i]
				if rapid.IntRange(0, 3).Draw(t, "again") > 0 {
					m.flying = slices.Delete(m.flying, i, i+1)
				}
				if d.Epoch < m.view.Epoch || d.Epoch == m.view.Epoch && d.Number < m.view.placementNumber() {
					continue // late word: who asks in order drops it
				}
				next, err := m.view.Apply(d)
				if errors.Is(err, ErrChecksum) || errors.Is(err, ErrDelta) {
					t.Fatalf("%+v: %v", d, err)
				}
				if err != nil && m.view.Placement != nil && !same(&next, &m.copied) {
					t.Fatalf("%+v is not taken, and has changed what is known", d)
				}
				m.distrusts = err != nil
				m.view, m.copied = next, keep(next)
			}
			for i := range all {
				m := &all[i]
				if m.view.Placement == nil {
					continue
				}
				want, known := truth[[2]uint64{m.view.Epoch, m.view.placementNumber()}]
				if !known || !same(&m.view, &want) {
					t.Fatalf("a member has %+v at epoch %d and number %d, and the ledger had %+v", m.view, m.view.Epoch, m.view.placementNumber(), want)
				}
				if !same(&m.view, &m.copied) {
					t.Fatal("what a member knows has changed under it")
				}
			}
		}
		// In the end whoever asks has all.
		for i := range all {
			v := &all[i].view
			d := leader.history.Delta(v.Epoch, v.placementNumber(), &leader.view, leader.view.Checksum())
			if next, err := v.Apply(d); err != nil || !same(&next, &leader.view) {
				t.Fatalf("%+v: %v", d, err)
			}
		}
	})
}

// Each fault of a delta is met by the checksum, and would lead to another state than the ledger's without it; the view is then as it
// was, and the whole mends it.
func TestDeltaFaultsAreMet(t *testing.T) {
	for name, spoil := range deltaFaults {
		t.Run(name, func(t *testing.T) {
			met := 0 // faults that would lead to another state than the ledger's
			rapid.Check(t, func(t *rapid.T) {
				a := newAuthor(rapid.IntRange(4, 200).Draw(t, "most"))
				a.place(t, []PlacementChange{{Shard: 0, Replicas: []Replica{{Incarnation: Incarnation{"m00", 1}, Ready: true}}}})
				for range rapid.IntRange(0, 8).Draw(t, "before") {
					a.change(t)
				}
				whole := a.history.Delta(0, 0, &a.view, a.view.Checksum())
				known, err := View{}.Apply(whole)
				if err != nil {
					t.Fatal(err)
				}
				known.Members, known.Placement = slices.Clone(known.Members), known.Placement.Clone()
				middle := a.clone()
				for range rapid.IntRange(1, 8).Draw(t, "after") {
					middle = a.clone()
					a.change(t)
				}
				d, does := spoil(a, middle, &known)
				if !does {
					return
				}
				if wrong := known.apply(d); same(&wrong, &a.view) {
					return // it is no fault this time: it leads to what is true, and would without the checksum
				}
				next, err := known.Apply(d)
				if !same(&next, &known) {
					t.Fatalf("%+v is taken: %+v", d, next)
				}
				if err == nil {
					t.Fatalf("%+v: no error", d)
				}
				met++
				if next, err = next.Apply(a.history.Delta(0, 0, &a.view, a.view.Checksum())); err != nil || !same(&next, &a.view) {
					t.Fatalf("the whole does not mend it: %v", err)
				}
			})
			t.Logf("met %d times", met)
			if met < 5 {
				t.Errorf("played only %d times", met)
			}
		})
	}
}

// deltaFaults are what a leader could say wrongly to who knows a view. middle is the leader one entry before.
var deltaFaults = map[string]func(a, middle *author, known *View) (*Delta, bool){
	"a change is left out": func(a, _ *author, known *View) (*Delta, bool) {
		d := *a.history.Delta(known.Epoch, known.placementNumber(), &a.view, a.view.Checksum())
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
	"a change is applied again after a later one": func(a, middle *author, known *View) (*Delta, bool) {
		// The delta of one entry before, said to lead to the present one.
		d := *middle.history.Delta(known.Epoch, known.placementNumber(), &middle.view, a.view.Checksum())
		if d.SinceEpoch != 0 && d.SinceEpoch == d.Epoch && a.view.Epoch != d.Epoch {
			return nil, false // it has no members, and would have to
		}
		d.Epoch, d.Number = a.view.Epoch, a.view.placementNumber()
		return &d, d.SinceNumber == 0 || d.SinceNumber != d.Number
	},
	"a wrong base number": func(a, middle *author, known *View) (*Delta, bool) {
		// From one entry before, said to start from what is known.
		d := *a.history.Delta(middle.view.Epoch, middle.view.placementNumber(), &a.view, a.view.Checksum())
		if d.SinceEpoch == 0 || d.SinceNumber == 0 || middle.view.Epoch == known.Epoch && middle.view.placementNumber() == known.placementNumber() {
			return nil, false
		}
		d.SinceEpoch, d.SinceNumber = known.Epoch, known.placementNumber()
		return &d, true
	},
	"a wrong base number that is said": func(a, middle *author, known *View) (*Delta, bool) {
		d := *a.history.Delta(middle.view.Epoch, middle.view.placementNumber(), &a.view, a.view.Checksum())
		return &d, d.SinceEpoch > known.Epoch || d.SinceNumber > known.placementNumber()
	},
	"the history is cut short and the whole is not sent": func(a, _ *author, known *View) (*Delta, bool) {
		short := a.clone()
		short.history.members.maxSize, short.history.shards.maxSize = 1, 1
		cut(&short.history.members)
		cut(&short.history.shards)
		d := short.history.Delta(known.Epoch, known.placementNumber(), &short.view, a.view.Checksum())
		return d, d.SinceEpoch != 0 || d.SinceNumber != 0
	},
}

// cut drops all records but the newest, and forgets that it did.
func cut[T interface{ ~int | ~string }](t *changeLog[T]) {
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
