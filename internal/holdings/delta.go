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

// Limits of a history.
const (
	// maxChanges bounds the changed members, and likewise the changed shards, that a history keeps. It is the maximum number of
	// members: beyond it, the full state nearly always takes fewer bytes than the changes.
	maxChanges = clusterparams.MaxMembers
	// maxRecords bounds the records of each change log. A restart of a member makes two epochs, so that this covers more than half an
	// hour of one restart per second.
	maxRecords = 4096
)

// History records which members changed in the recent epochs of a ledger, and which shards changed with the recent numbers of its
// placement. A voter keeps it in memory beside its ledger, so that it can send deltas to members that have an earlier state. It holds only
// names and shard numbers; their present state is looked up in the ledger. The zero value records no change.
//
// Invariant: a delta that the method Delta returns leads from the members and the placement that the ledger had at the given epoch and
// number to those that it has now. Where the history does not reach back that far, the delta starts from nothing and holds everything.
type History struct {
	members changeLog[string]
	shards  changeLog[int]
}

// changeLog records what changed (names of members, or numbers of shards) with each epoch or placement number, without a gap.
type changeLog[T cmp.Ordered] struct {
	from, to uint64 // the log covers the changes after from, up to and including to
	records  []changeRecord[T]
	size     int // total length of changed in all records
	maxSize  int // bound of size; 0 for maxChanges. Only tests set it
}

// changeRecord records what changed with one epoch or placement number.
type changeRecord[T cmp.Ordered] struct {
	number  uint64
	changed []T
}

// add records what changed between two numbers. If before is not the last number of the log, the log starts anew. The oldest records are
// dropped when the log exceeds its limits.
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

// since returns what changed from one number to another, sorted and without duplicates. known is false if the log does not cover this range,
// or if number is 0, which stands for no earlier state, and now is not.
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

// RecordMembers records the names of members that may have joined, left or changed between two epochs. A name too many only makes deltas
// longer.
func (h *History) RecordMembers(before, after uint64, names []string) {
	h.members.add(before, after, names)
}

// RecordChanges records the changes of a placement between two of its numbers.
func (h *History) RecordChanges(before, after uint64, changes []PlacementChange) {
	shards := make([]int, 0, len(changes))
	for _, c := range changes {
		shards = append(shards, c.Shard)
	}
	h.shards.add(before, after, shards)
}

// Delta holds the changes from an earlier state of a ledger's members and placement to a later one.
type Delta struct {
	// SinceEpoch is the epoch of the members that the delta starts from. If it is 0, the delta starts from no members, and Joined holds
	// all of them. It equals Epoch if no member changed. SinceNumber and Number are likewise those of the placement.
	SinceEpoch  uint64 `cbor:"1,keyasint,omitempty"`
	Epoch       uint64 `cbor:"2,keyasint"`
	SinceNumber uint64 `cbor:"3,keyasint,omitempty"`
	Number      uint64 `cbor:"4,keyasint"`
	// Joined holds the members that joined or changed, as they are now. Gone holds the names of those that left.
	Joined   []Member       `cbor:"5,keyasint,omitempty"`
	Gone     []string       `cbor:"6,keyasint,omitempty"`
	Shards   []ChangedShard `cbor:"7,keyasint,omitempty"`
	Checksum uint64         `cbor:"8,keyasint"` // View.Checksum of the state that the delta leads to
}

// ChangedShard is the present state of a shard that changed.
type ChangedShard struct {
	Shard int   `cbor:"1,keyasint"`
	State Shard `cbor:"2,keyasint"`
}

// Delta returns the delta from an earlier state, given by its epoch and placement number (0 for none), to the ledger's present state.
// Members are sent in full where the history does not cover the change, or where at least as many names changed as there are members.
// The placement is sent in full where the history does not cover the change. checksum is that of to, whose Placement must not be nil.
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

// neverAssigned reports whether a shard has never had a replica.
func (s *Shard) neverAssigned() bool { return s.Config == 0 && len(s.Replicas) == 0 && s.Lost == 0 }

// View holds the members and the placement of a ledger at one moment. The zero value is the view of a sidecar that has received nothing
// yet. A View is immutable: Apply returns a new one, which may share unchanged parts with the old one.
//
// Invariant: the members are the ledger's at Epoch, the placement is the ledger's at its number, and both are of the same moment.
type View struct {
	Epoch     uint64
	Members   []Member   // by name
	Placement *Placement // nil before the first
}

// Errors of View.Apply.
var (
	ErrBase     = errors.New("the delta starts from another state than the known one")
	ErrChecksum = errors.New("the state that the delta leads to has another checksum than the one in the delta")
	ErrDelta    = errors.New("the delta is malformed")
)

// NewView returns the view of members and a placement that were received in full. It sorts the members by name.
func NewView(epoch uint64, members []Member, placement *Placement) View {
	if !slices.IsSortedFunc(members, byName) {
		members = slices.Clone(members)
		slices.SortFunc(members, byName)
	}
	return View{epoch, members, placement}
}

// SameAs reports whether two views have the same epoch and share one placement in memory, so that nothing changed between them. The epoch is
// compared because members may change while the placement stays the same.
func (v *View) SameAs(other *View) bool {
	return v.Epoch == other.Epoch && v.Placement == other.Placement
}

func byName(a, b Member) int { return cmp.Compare(a.Name, b.Name) }

func (v *View) placementNumber() uint64 {
	if v.Placement == nil {
		return 0
	}
	return v.Placement.Number
}

// find returns the index of a member and whether there is one with that name; if not, the index where it would be inserted.
func (v *View) find(name string) (int, bool) {
	return slices.BinarySearchFunc(v.Members, name, func(m Member, name string) int { return cmp.Compare(m.Name, name) })
}

// Apply returns the view that a delta leads to. With an error, which wraps ErrDelta, ErrBase or ErrChecksum, it returns the view
// unchanged. A delta to the state that the view already has changes nothing.
func (v View) Apply(d *Delta) (View, error) {
	if err := d.check(); err != nil {
		return v, err
	}
	if d.Epoch == v.Epoch && d.Number == v.placementNumber() && d.SinceEpoch != 0 && d.SinceNumber != 0 {
		return v, nil // received twice
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

// apply returns the view that a valid delta leads to from this one. It does not compare the checksum.
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
			p = *v.Placement // both placements share the shards' replicas, which are never changed
		}
		p.Number = d.Number
		for _, s := range d.Shards {
			p.Shards[s.Shard] = s.State
		}
		next.Placement = &p
	}
	return next
}

// check returns an error that wraps ErrDelta if the delta contradicts itself or exceeds a limit.
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

// mergeMembers returns the members of base, sorted by name, with those of joined added or replaced and those named in gone removed.
func mergeMembers(base, joined []Member, gone []string) []Member {
	changed := make(map[string]*Member, len(joined)+len(gone)) // nil for members that are gone
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

// Checksum returns a hash of the view: of each field of all members and shards, with the lengths of texts and lists before them. Equal
// views have equal checksums; different views hardly ever do. Processes compare it, so that its input must not change.
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
