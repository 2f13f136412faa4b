package holdings

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/zeebo/xxh3"

	"heathgap/internal/clusterparams"
)

// Bounds of a history.
const (
	// maxChanges names of members and shards a history keeps: as many as a crew may have members. Who needs changes of more is
	// nearly always told the whole in fewer bytes.
	maxChanges = clusterparams.MaxMembers
	// maxRecords of changes it keeps: a restart makes two epochs, so that this reaches over half an hour of a restart a second.
	maxRecords = 4096
)

// History is which members and shards changed with which epoch and number of a ledger, the newest of them: what a keeper keeps in
// memory beside its ledger, so that it can tell changes to who names an earlier state. It holds names alone: what has become of
// them is looked up in the ledger. The zero value knows of no change.
//
// What must hold: a delta that Delta returns leads from the members and the placement that the ledger had at the epoch and number
// that were named to those that it has. Where the history does not reach so far, it starts from nothing and names all.
type History struct {
	members changeLog[string]
	shards  changeLog[int]
}

// changeLog is which things changed with which number, from one number on to another, without a gap.
type changeLog[T cmp.Ordered] struct {
	from, to uint64 // what changed above from, and up to to, stands here
	records  []changeRecord[T]
	size     int // things in all records
	maxSize  int // of them; 0 for mostNoted. Tests set it
}

// changeRecord is what changed with one number.
type changeRecord[T cmp.Ordered] struct {
	number  uint64
	changed []T
}

// add books what changed between two numbers. One that does not follow on what is known begins the track anew.
func (l *changeLog[T]) add(before, after uint64, changed []T) {
	if after == before {
		return
	}
	if l.to != before {
		*l = changeLog[T]{from: before, maxSize: l.maxSize}
	}
	l.to = after
	l.records = append(l.records, changeRecord[T]{after, changed})
	l.size += len(changed)
	drop := 0
	for ; drop < len(l.records) && (l.size > cmp.Or(l.maxSize, maxChanges) || len(l.records)-drop > maxRecords); drop++ {
		l.from = l.records[drop].number
		l.size -= len(l.records[drop].changed)
	}
	l.records = slices.Delete(l.records, 0, drop)
}

// since is what changed from one number to another, in order, each once; false where that is not known.
func (l *changeLog[T]) since(number, now uint64) (changed []T, known bool) {
	switch {
	case number == now:
		return nil, true
	case number == 0 || number < l.from || number > now || l.to != now:
		return nil, false
	}
	first, _ := slices.BinarySearchFunc(l.records, number+1, func(r changeRecord[T], n uint64) int { return cmp.Compare(r.number, n) })
	for _, r := range l.records[first:] {
		changed = append(changed, r.changed...)
	}
	slices.Sort(changed)
	return slices.Compact(changed), true
}

// RecordMembers books members that came, went or changed between two epochs.
func (h *History) RecordMembers(before, after uint64, names []string) {
	h.members.add(before, after, names)
}

// RecordChanges books changes of a placement between two of its numbers.
func (h *History) RecordChanges(before, after uint64, changes []PlacementChange) {
	shards := make([]int, 0, len(changes))
	for _, c := range changes {
		shards = append(shards, c.Shard)
	}
	h.shards.add(before, after, shards)
}

// Delta leads from what somebody knows of a ledger's members and placement to what the ledger has at one moment.
type Delta struct {
	// SinceEpoch is the epoch of the members that it starts from; 0 for nobody: then In are all. It equals Epoch where no member
	// changed. SinceNumber is likewise the placement's.
	SinceEpoch  uint64 `cbor:"1,keyasint,omitempty"`
	Epoch       uint64 `cbor:"2,keyasint"`
	SinceNumber uint64 `cbor:"3,keyasint,omitempty"`
	Number      uint64 `cbor:"4,keyasint"`
	// Joined are members that came or changed, as they are now, and Gone the names of those that are gone.
	Joined   []Member       `cbor:"5,keyasint,omitempty"`
	Gone     []string       `cbor:"6,keyasint,omitempty"`
	Shards   []ChangedShard `cbor:"7,keyasint,omitempty"`
	Checksum uint64         `cbor:"8,keyasint"` // of the state that it leads to
}

// ChangedShard is a shard as it is now.
type ChangedShard struct {
	Shard int   `cbor:"1,keyasint"`
	Of    Shard `cbor:"2,keyasint"`
}

// Delta returns what leads from a state, of which epoch and number are named (0 for none), to one that is the ledger's.
// Each of both parts is told whole where that takes no more. sum is the checksum of to, which has a placement.
func (h *History) Delta(sinceEpoch, sinceNumber uint64, to *View, checksum uint64) *Delta {
	d := &Delta{SinceEpoch: sinceEpoch, Epoch: to.Epoch, SinceNumber: sinceNumber, Number: to.placementNumber(), Checksum: checksum}
	names, known := h.members.since(sinceEpoch, to.Epoch)
	if !known || len(names) > 0 && len(names) >= len(to.Members) {
		d.SinceEpoch, d.Joined = 0, to.Members
	}
	for _, name := range names {
		if d.SinceEpoch == 0 {
			break
		}
		if i, found := to.find(name); found {
			d.Joined = append(d.Joined, to.Members[i])
		} else {
			d.Gone = append(d.Gone, name)
		}
	}
	shards, known := h.shards.since(sinceNumber, to.placementNumber())
	if !known {
		d.SinceNumber = 0
		for i := range NumShards {
			if !to.Placement.Shards[i].neverAssigned() {
				shards = append(shards, i)
			}
		}
	}
	for _, i := range shards {
		d.Shards = append(d.Shards, ChangedShard{i, to.Placement.Shards[i]})
	}
	return d
}

// neverAssigned tells whether a shard was never given to anybody.
func (s *Shard) neverAssigned() bool { return s.Config == 0 && len(s.Replicas) == 0 && s.Lost == 0 }

// View is what a ledger says of members and placement at one moment. The zero value is that of who was told nothing. It is never
// changed: who takes a delta gets another one, and both may share what is equal.
//
// What must hold: the members and the placement are the ledger's at Epoch and at the placement's number, both of one moment.
type View struct {
	Epoch     uint64
	Members   []Member   // by name
	Placement *Placement // nil before the first
}

// Errors of a delta that can't be taken.
var (
	ErrBase     = errors.New("it starts from another state than the one that is known")
	ErrChecksum = errors.New("what it leads to has another checksum than the one that it tells")
	ErrDelta    = errors.New("it is malformed")
)

// NewView is one of members and a placement that were told whole.
func NewView(epoch uint64, members []Member, placement *Placement) View {
	if !slices.IsSortedFunc(members, byName) {
		members = slices.Clone(members)
		slices.SortFunc(members, byName)
	}
	return View{epoch, members, placement}
}

// Is tells whether another view is this one. Members may change while the placement stays.
func (v *View) Is(other *View) bool { return v.Epoch == other.Epoch && v.Placement == other.Placement }

func byName(a, b Member) int { return cmp.Compare(a.Name, b.Name) }

func (v *View) placementNumber() uint64 {
	if v.Placement == nil {
		return 0
	}
	return v.Placement.Number
}

// find is where a member stands, or would.
func (v *View) find(name string) (int, bool) {
	return slices.BinarySearchFunc(v.Members, name, func(m Member, name string) int { return cmp.Compare(m.Name, name) })
}

// Apply returns the view that a delta leads to; with an error, the view as it was. A delta that leads to where the view
// is already changes nothing.
func (v View) Apply(d *Delta) (View, error) {
	if err := d.check(); err != nil {
		return v, err
	}
	if d.Epoch == v.Epoch && d.Number == v.placementNumber() && d.SinceEpoch != 0 && d.SinceNumber != 0 {
		return v, nil // said twice
	}
	if d.SinceEpoch != 0 && d.SinceEpoch != v.Epoch || d.SinceNumber != 0 && d.SinceNumber != v.placementNumber() {
		return v, fmt.Errorf("%w: epoch %d and placement %d; %d and %d are known", ErrBase, d.SinceEpoch, d.SinceNumber, v.Epoch, v.placementNumber())
	}
	next := v.apply(d)
	if next.Checksum() != d.Checksum {
		return v, fmt.Errorf("%w: epoch %d, placement %d", ErrChecksum, d.Epoch, d.Number)
	}
	return next, nil
}

// apply is the view that a delta leads to from this one.
func (v *View) apply(d *Delta) View {
	next := View{Epoch: d.Epoch, Members: v.Members, Placement: v.Placement}
	if d.SinceEpoch != d.Epoch {
		base := v.Members
		if d.SinceEpoch == 0 {
			base = nil
		}
		next.Members = mergeMembers(base, d.Joined, d.Gone)
	}
	if d.SinceNumber != d.Number {
		p := Placement{}
		if d.SinceNumber != 0 {
			p = *v.Placement // its shards' replicas are shared, and never changed
		}
		p.Number = d.Number
		for _, s := range d.Shards {
			p.Shards[s.Shard] = s.Of
		}
		next.Placement = &p
	}
	return next
}

// check tells what can't be in a delta.
func (d *Delta) check() error {
	switch {
	case d.SinceEpoch > d.Epoch || d.SinceNumber > d.Number || d.Number == 0:
		return fmt.Errorf("%w: from epoch %d to %d, from placement %d to %d", ErrDelta, d.SinceEpoch, d.Epoch, d.SinceNumber, d.Number)
	case len(d.Joined)+len(d.Gone) > 2*clusterparams.MaxMembers:
		return fmt.Errorf("%w: %d members; allowed: up to %d", ErrDelta, len(d.Joined)+len(d.Gone), 2*clusterparams.MaxMembers)
	}
	for _, s := range d.Shards {
		if s.Shard < 0 || s.Shard >= NumShards {
			return fmt.Errorf("%w: shard %d; allowed: 0 to %d", ErrDelta, s.Shard, NumShards-1)
		}
	}
	return nil
}

// mergeMembers are members, by name, with those that came or changed and without those that are gone.
func mergeMembers(base, joined []Member, gone []string) []Member {
	changed := make(map[string]*Member, len(joined)+len(gone)) // nil for gone
	for _, name := range gone {
		changed[name] = nil
	}
	for i := range joined {
		changed[joined[i].Name] = &joined[i]
	}
	out := make([]Member, 0, len(base)+len(joined))
	for i := range base {
		if _, isChanged := changed[base[i].Name]; !isChanged {
			out = append(out, base[i])
		}
	}
	for _, name := range slices.Sorted(maps.Keys(changed)) {
		if m := changed[name]; m != nil {
			out = append(out, *m)
		}
	}
	slices.SortFunc(out, byName)
	return out
}

// Checksum is equal for equal views, and hardly ever for others: over each field of all members and shards, with lengths before what
// has one.
func (v *View) Checksum() uint64 {
	var h xxh3.Hasher
	var buffer [256]byte
	b := buffer[:0]
	appendText := func(s string) {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	b = binary.AppendUvarint(b, v.Epoch)
	b = binary.AppendUvarint(b, uint64(len(v.Members)))
	for i := range v.Members {
		m := &v.Members[i]
		appendText(m.Name)
		b = binary.AppendUvarint(b, m.JoinEpoch)
		b = binary.AppendUvarint(b, m.Token)
		appendText(m.Zone)
		appendText(m.Address)
		h.Write(b) //nolint:errcheck // it does not fail
		b = b[:0]
	}
	if v.Placement != nil {
		b = binary.AppendUvarint(b, v.Placement.Number)
		for i := range v.Placement.Shards {
			s := &v.Placement.Shards[i]
			for _, n := range []uint64{s.Config, s.Lost, uint64(len(s.Replicas))} {
				b = binary.AppendUvarint(b, n)
			}
			for _, r := range s.Replicas {
				appendText(r.Name)
				b = binary.AppendUvarint(b, r.JoinEpoch)
				b = binary.AppendUvarint(b, r.Token)
				ready := byte(0)
				if r.Ready {
					ready = 1
				}
				b = append(b, ready)
			}
			h.Write(b) //nolint:errcheck // it does not fail
			b = b[:0]
		}
	}
	h.Write(b) //nolint:errcheck // it does not fail
	return h.Sum64()
}
