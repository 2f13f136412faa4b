// Package holdings is what sidecars hold for one another: claims of keyed requests and what those ended in, each copied to
// sidecars of other zones before anybody rests on it. It is pure: no clock, no I/O, no goroutine.
//
// Placement is what the crew's ledger says: which sidecars have a replica in which shard of the keys. Store is one sidecar's part
// in the shards where it has a replica. Decide is an owner's: what a repeat may do.
package holdings

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/zeebo/xxh3"

	"heathgap/internal/clusterparams"
)

// Bounds.
const (
	// NumShards of the key space: a machine of 300 has a replica in one of a hundred of them, and the placement stays some KB.
	NumShards = 64
)

// Params are what all members of a crew must be started with alike.
type Params = clusterparams.Holdings

// Incarnation is one incarnation of a sidecar in the crew: who was counted out and came in again is another.
type Incarnation struct {
	Name      string `cbor:"1,keyasint"`
	JoinEpoch uint64 `cbor:"2,keyasint"` // the epoch in which it came in
}

// Member is a sidecar that is in the crew.
type Member struct {
	Incarnation
	Token   uint64 `cbor:"5,keyasint"` // of its process
	Zone    string `cbor:"3,keyasint,omitempty"`
	Address string `cbor:"4,keyasint"`
}

// Replica is a sidecar's place in a shard.
type Replica struct {
	Incarnation
	Token uint64 `cbor:"4,keyasint"`           // of its process, whose memory it is
	Ready bool   `cbor:"3,keyasint,omitempty"` // it has all that was ever told of the shard
}

// Shard is a part of the keys. Its first replica is its primary, and is ready.
type Shard struct {
	// Config is the configuration number. It rises with each change of replicas: a word under an older one is refused. 0 before the first.
	Config   uint64    `cbor:"1,keyasint,omitempty"`
	Replicas []Replica `cbor:"2,keyasint,omitempty"`
	// Lost is how often all that was held here was lost, with all replicas that were ready.
	Lost uint64 `cbor:"3,keyasint,omitempty"`
}

// Placement is all shards.
type Placement struct {
	Number uint64           `cbor:"1,keyasint"` // rises with each change
	Shards [NumShards]Shard `cbor:"2,keyasint"`
}

// PlacementChange is new replicas of one shard, in the place of those of a configuration.
type PlacementChange struct {
	Shard    int       `cbor:"1,keyasint"`
	Config   uint64    `cbor:"2,keyasint"` // that it was decided on
	Replicas []Replica `cbor:"3,keyasint"`
	Lost     bool      `cbor:"4,keyasint,omitempty"`
}

// CaughtUp is a primary's word that a replica has all that its shard holds.
type CaughtUp struct {
	Shard   int         `cbor:"1,keyasint"`
	Config  uint64      `cbor:"2,keyasint"`
	Replica Incarnation `cbor:"3,keyasint"`
}

// ErrConfig is a change that was decided on replicas that are no more.
var ErrConfig = errors.New("the shard's configuration has passed")

// Apply takes changes that were agreed on, all or none.
func (p *Placement) Apply(changes []PlacementChange) error {
	for _, c := range changes {
		if c.Shard < 0 || c.Shard >= NumShards {
			return fmt.Errorf("shard %d; allowed: 0 to %d", c.Shard, NumShards-1)
		}
		if p.Shards[c.Shard].Config != c.Config {
			return fmt.Errorf("shard %d: %w: %d, it is %d", c.Shard, ErrConfig, c.Config, p.Shards[c.Shard].Config)
		}
	}
	for _, c := range changes {
		s := &p.Shards[c.Shard]
		s.Config, s.Replicas = s.Config+1, slices.Clone(c.Replicas)
		if c.Lost {
			s.Lost++
		}
	}
	if len(changes) > 0 {
		p.Number++
	}
	return nil
}

// Clone returns a placement that changes by itself.
func (p *Placement) Clone() *Placement {
	c := *p
	for i := range c.Shards {
		c.Shards[i].Replicas = slices.Clone(c.Shards[i].Replicas)
	}
	return &c
}

// maxShardMoves bounds the shards that are being copied to a better replica at a time: what is new goes on meanwhile, with one word more
// for each.
const maxShardMoves = 4

// PlacementInput is what replicas follow from.
type PlacementInput struct {
	Members  []Member
	Copies   int
	CaughtUp []CaughtUp // primaries' words
	// Lost tells whether a shard of which no ready replica is in the crew is to be given up; until then it waits for one of them to
	// come back, as it does after a cut.
	Lost func(shard int) bool
	// Leaving will go: their replicas are copied to others first.
	Leaving map[Incarnation]bool
	// Unreachable are sidecars that others, named first, have not reached for a while though both are in the crew.
	Unreachable map[[2]Incarnation]bool
}

// planner is a crew as a plan looks things up.
type planner struct {
	*PlacementInput
	byIncarnation    map[Incarnation]Member
	byToken          map[uint64]Member
	reportedCaughtUp map[CaughtUp]bool
	isolated         map[Incarnation]bool // who reaches hardly anybody: it is at fault itself
	moving           int                  // shards with a replica that is being filled
}

// Plan returns the changes that follow from who is in the crew, and from what primaries have said of their replicas. The same
// placement and crew give the same changes.
func (p *Placement) Plan(input *PlacementInput) []PlacementChange {
	pl := &planner{PlacementInput: input, byIncarnation: map[Incarnation]Member{}, byToken: map[uint64]Member{}, reportedCaughtUp: map[CaughtUp]bool{}, isolated: map[Incarnation]bool{}}
	for _, m := range input.Members {
		pl.byIncarnation[m.Incarnation], pl.byToken[m.Token] = m, m
	}
	for _, report := range input.CaughtUp {
		pl.reportedCaughtUp[report] = true
	}
	unreachable := map[Incarnation]int{}
	for pair := range input.Unreachable {
		unreachable[pair[0]]++
	}
	for reporter, n := range unreachable {
		pl.isolated[reporter] = 2*n >= len(input.Members) && n > 1
	}
	for i := range p.Shards {
		if slices.ContainsFunc(p.Shards[i].Replicas, func(s Replica) bool { return !s.Ready }) {
			pl.moving++
		}
	}
	var changes []PlacementChange
	for i := range p.Shards {
		s := &p.Shards[i]
		c := PlacementChange{Shard: i, Config: s.Config}
		if pl.planShard(&c, s); !slices.Equal(c.Replicas, s.Replicas) {
			changes = append(changes, c)
		}
	}
	return changes
}

func (p *planner) planShard(c *PlacementChange, s *Shard) {
	for _, replica := range s.Replicas {
		m, isMember := p.byIncarnation[replica.Incarnation]
		if !isMember {
			// The process may be in anew: nothing was told under this configuration without its word, so that it lacks nothing.
			if m, isMember = p.byToken[replica.Token]; !isMember || m.Name != replica.Name {
				continue
			}
			replica.Incarnation = m.Incarnation
		}
		if !replica.Ready && p.reportedCaughtUp[CaughtUp{c.Shard, s.Config, replica.Incarnation}] {
			replica.Ready = true
		}
		c.Replicas = append(c.Replicas, replica)
	}
	excluded := p.excluded(s)
	// Guards against a primary that lacks what was told: who is not ready comes behind all that are, in their order. Who reaches
	// nobody comes behind those who do.
	priority := func(replica Replica) int {
		switch {
		case !replica.Ready:
			return 2
		case p.isolated[replica.Incarnation]:
			return 1
		}
		return 0
	}
	slices.SortStableFunc(c.Replicas, func(a, b Replica) int { return cmp.Compare(priority(a), priority(b)) })
	if len(c.Replicas) == 0 || !c.Replicas[0].Ready {
		if s.Config > 0 && !p.Lost(c.Shard) {
			c.Replicas = s.Replicas
			return
		}
		// All replicas that were ready are gone. One that was being filled has what is new, at least.
		c.Lost = s.Config > 0
		if len(c.Replicas) > 0 {
			c.Replicas[0].Ready = true
		}
	}
	ranked := rankMembers(c.Shard, p.Members)
	best := p.bestReplicas(ranked, c.Replicas, excluded)
	allCaughtUp := !slices.ContainsFunc(c.Replicas, func(replica Replica) bool { return !replica.Ready && !excluded[replica.Incarnation] })
	switch {
	case len(best) < p.Copies:
		// Too few, leaving ones not counted: the next of the order in zones that have none.
		usedZones := map[string]bool{}
		for _, replica := range best {
			usedZones[p.byIncarnation[replica.Incarnation].Zone] = true
		}
		for _, m := range ranked {
			if n := len(usedZones); n < p.Copies && !usedZones[m.Zone] && canAddReplica(c, m, excluded) {
				usedZones[m.Zone] = true
				c.Replicas = append(c.Replicas, Replica{Incarnation: m.Incarnation, Token: m.Token, Ready: len(c.Replicas) == 0})
			}
		}
	case !allCaughtUp:
	case len(c.Replicas) > p.Copies:
		c.Replicas = best // one that was to come in has come
	case p.moving < maxShardMoves:
		// All is well, and somebody else should sit here: who came into the crew since.
		var candidates []Replica
		for _, m := range ranked {
			if !slices.ContainsFunc(c.Replicas, func(s Replica) bool { return s.Incarnation == m.Incarnation }) && !canAddReplica(c, m, excluded) {
				continue
			}
			candidates = append(candidates, Replica{Incarnation: m.Incarnation, Token: m.Token})
		}
		for _, replica := range p.bestReplicas(ranked, candidates, excluded) {
			if !slices.ContainsFunc(c.Replicas, func(s Replica) bool { return s.Incarnation == replica.Incarnation }) {
				c.Replicas = append(c.Replicas, replica)
				p.moving++
				break
			}
		}
	}
}

// excluded tells which members a shard should do without, of those that are in the crew: who leaves, who reaches hardly anybody,
// and whom its primary does not reach. Guards against replicas that go before others have what they held: a way that is cut is no
// machine lost, and the primary that complains may be lost next (seed 12 of the model).
func (p *planner) excluded(s *Shard) map[Incarnation]bool {
	out := maps.Clone(p.Leaving)
	if out == nil {
		out = map[Incarnation]bool{}
	}
	for member, deaf := range p.isolated {
		out[member] = out[member] || deaf
	}
	if len(s.Replicas) > 0 && !p.isolated[s.Replicas[0].Incarnation] {
		for pair, unreachable := range p.Unreachable {
			if pair[0] == s.Replicas[0].Incarnation {
				out[pair[1]] = out[pair[1]] || unreachable
			}
		}
	}
	return out
}

// canAddReplica tells whether a member may have a new replica in a shard.
func canAddReplica(c *PlacementChange, m Member, excluded map[Incarnation]bool) bool {
	return !excluded[m.Incarnation] && !slices.ContainsFunc(c.Replicas, func(s Replica) bool { return s.Incarnation == m.Incarnation })
}

// bestReplicas are the replicas that should stay, by their order, one a zone.
func (p *planner) bestReplicas(ranked []Member, replicas []Replica, excluded map[Incarnation]bool) (out []Replica) {
	usedZones := map[string]bool{}
	for _, m := range ranked {
		if len(out) >= p.Copies {
			break
		}
		i := slices.IndexFunc(replicas, func(s Replica) bool { return s.Incarnation == m.Incarnation })
		if i < 0 || excluded[m.Incarnation] || usedZones[m.Zone] {
			continue
		}
		usedZones[m.Zone] = true
		out = append(out, replicas[i])
	}
	return out
}

// Dead tells whether no ready replica of a shard is in the crew.
func (s *Shard) Dead(isMember func(Incarnation, uint64) bool) bool {
	return s.Config > 0 && !slices.ContainsFunc(s.Replicas, func(replica Replica) bool { return replica.Ready && isMember(replica.Incarnation, replica.Token) })
}

// rankMembers is the order in which members are taken into a shard: rendezvous hashing, so that one who comes or goes changes
// nobody else's places.
func rankMembers(shard int, members []Member) []Member {
	type rankedMember struct {
		m    Member
		rank uint64
	}
	ranking := make([]rankedMember, 0, len(members))
	for _, m := range members {
		ranking = append(ranking, rankedMember{m, xxh3.HashStringSeed(m.Name, uint64(shard)+1)})
	}
	slices.SortFunc(ranking, func(a, b rankedMember) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.m.Name, b.m.Name), cmp.Compare(a.m.JoinEpoch, b.m.JoinEpoch))
	})
	out := make([]Member, 0, len(ranking))
	for _, r := range ranking {
		out = append(out, r.m)
	}
	return out
}

// Key is a request's, of its class and tenant: the same text of two tenants is two keys.
type Key struct {
	Class  string `cbor:"1,keyasint"`
	Tenant string `cbor:"2,keyasint,omitempty"`
	Text   string `cbor:"3,keyasint"`
}

// Shard is the one that a key belongs to.
func (k Key) Shard() int {
	var h xxh3.Hasher
	for _, part := range []string{k.Class, k.Tenant, k.Text} {
		// Lengths apart the parts: no two keys write the same.
		h.WriteString(fmt.Sprintf("%d:", len(part))) //nolint:errcheck // it does not fail
		h.WriteString(part)                          //nolint:errcheck // it does not fail
	}
	return int(h.Sum64() % NumShards)
}
