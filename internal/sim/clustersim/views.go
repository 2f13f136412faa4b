package clustersim

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"heathgap/internal/cluster"
	"heathgap/internal/holdings"
)

// Checks of what members know of the other members and of the placement, which the leader sends them as changes.

// digest returns the same text for equal values.
func digest(value any) string {
	sum := fnv.New128a()
	fmt.Fprintf(sum, "%+v", value)
	return fmt.Sprintf("%x", sum.Sum(nil))
}

// recordAgreed records the members and the placement of the ledger from which a voter answers a renewal. It reports a violation if
// another ledger had others under the same epoch or placement number.
func (r *run) recordAgreed(p *process, l *cluster.Ledger) {
	if l.Placement == nil || p.lastRecorded == [2]uint64{l.Epoch, l.Placement.Number} {
		return
	}
	p.lastRecorded = [2]uint64{l.Epoch, l.Placement.Number}
	for _, part := range []struct {
		known  map[uint64]string
		number uint64
		says   string
	}{{r.membershipOf, l.Epoch, digest(l.Membership())}, {r.placementOf, l.Placement.Number, digest(l.Placement.Shards)}} {
		if other, known := part.known[part.number]; known && other != part.says {
			r.violation(LedgersDiffer, "%s answers with other members or another placement under number %d than another leader", p.id, part.number)
		}
		part.known[part.number] = part.says
	}
}

// checkView checks that what a member knows is what a ledger had under the same epoch and placement number.
func (r *run) checkView(p *process) {
	v := p.holder.View()
	if v.Placement == nil || v.SameAs(&p.checkedView) {
		return
	}
	p.checkedView = v
	if r.membershipOf[v.Epoch] != digest(v.Members) {
		r.violation(ViewsDiffer, "%s knows other members of epoch %d than the ledger had: %+v", p.id, v.Epoch, v.Members)
	}
	if r.placementOf[v.Placement.Number] != digest(v.Placement.Shards) {
		r.violation(ViewsDiffer, "%s knows another placement of number %d than the ledger had", p.id, v.Placement.Number)
	}
}

// viewIsCurrent reports whether a member has the members and the placement of the leader's present ledger.
func (r *run) viewIsCurrent(p *process) bool {
	leader := r.unpausedLeader()
	if leader == nil {
		return false
	}
	l, _ := leader.core.Ledger()
	v := p.holder.View()
	return l.Placement != nil && v.Placement != nil && v.Epoch == l.Epoch && v.Placement.Number == l.Placement.Number
}

// tamperProbability is the share of deltas that most bugs of deltas change.
const tamperProbability = 0.2

// tamperDelta counts the delta of a grant, and changes it as the injected bug does.
func (r *run) tamperDelta(p *process, g *cluster.Grant) {
	if g == nil || len(g.Delta) == 0 {
		return
	}
	d := mustDecode[holdings.Delta](g.Delta)
	kind := "changes"
	if d.SinceEpoch == 0 {
		kind = "whole"
	}
	r.result.Deltas[kind]++
	previous := p.lastDelta
	p.lastDelta = &d
	if r.bug != WrongBase && (!slices.Contains([]Bug{OmitsChange, ReappliesDelta, TruncatedHistory}, r.bug) || !r.w.chance(tamperProbability)) {
		return
	}
	faulty := d
	faulty.Joined, faulty.Gone, faulty.Shards = slices.Clone(d.Joined), slices.Clone(d.Gone), slices.Clone(d.Shards)
	switch r.bug {
	case OmitsChange:
		switch {
		case len(d.Gone) > 0:
			faulty.Gone = faulty.Gone[1:]
		case len(d.Joined) > 0:
			faulty.Joined = faulty.Joined[1:]
		case len(d.Shards) > 0:
			faulty.Shards = faulty.Shards[1:]
		}
	case ReappliesDelta:
		if previous == nil || previous.SinceEpoch == 0 || d.SinceEpoch == 0 {
			return
		}
		for _, m := range previous.Joined {
			if d.SinceEpoch == d.Epoch {
				break // this delta changes no members
			}
			same := func(name string) bool { return name == m.Name }
			faulty.Gone = slices.DeleteFunc(faulty.Gone, same)
			faulty.Joined = append(slices.DeleteFunc(faulty.Joined, func(other holdings.Member) bool { return same(other.Name) }), m)
		}
		for _, s := range previous.Shards {
			if d.SinceNumber == d.Number {
				break
			}
			faulty.Shards = append(slices.DeleteFunc(faulty.Shards, func(other holdings.ChangedShard) bool { return other.Shard == s.Shard }), s)
		}
	case WrongBase:
		if d.SinceEpoch == 0 || d.SinceEpoch == p.holder.View().Epoch {
			return
		}
		faulty.SinceEpoch = p.holder.View().Epoch
	case TruncatedHistory: // keeps only the newest part of the changes
		if d.SinceEpoch == 0 {
			return
		}
		faulty.Gone = nil
		faulty.Joined = slices.DeleteFunc(faulty.Joined, func(m holdings.Member) bool { return m.JoinEpoch < d.Epoch })
		faulty.Shards = faulty.Shards[len(faulty.Shards)/2:]
	}
	if r.opts.FixChecksums {
		faulty.Checksum = applyDelta(p.holder.View(), &faulty).Checksum()
	}
	g.Delta = mustEncode(cbor.Marshal(faulty))
	r.result.Deltas["tampered"]++
}

// applyDelta returns the view to which a delta leads, computed without the code under test.
func applyDelta(v holdings.View, d *holdings.Delta) *holdings.View {
	next := holdings.View{Epoch: d.Epoch, Placement: &holdings.Placement{}}
	members := map[string]holdings.Member{}
	if d.SinceEpoch != 0 {
		for _, m := range v.Members {
			members[m.Name] = m
		}
	}
	for _, name := range d.Gone {
		delete(members, name)
	}
	for _, m := range d.Joined {
		members[m.Name] = m
	}
	for _, m := range members { // the order does not matter: they are sorted below
		next.Members = append(next.Members, m)
	}
	slices.SortFunc(next.Members, func(a, b holdings.Member) int { return strings.Compare(a.Name, b.Name) })
	if d.SinceNumber != 0 && v.Placement != nil {
		*next.Placement = *v.Placement
	}
	next.Placement.Number = d.Number
	for _, s := range d.Shards {
		next.Placement.Shards[s.Shard] = s.State
	}
	return &next
}
