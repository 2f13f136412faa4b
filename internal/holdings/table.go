// Package holdings is what sidecars hold for one another: claims of keyed requests and what those ended in, each copied to
// sidecars of other zones before anybody rests on it. It is pure: no clock, no I/O, no goroutine.
//
// Table is what the crew's ledger says: which sidecars have a seat in which shard of the keys. Replica is one sidecar's part
// in the shards where it has a seat. Decide is an owner's: what a repeat may do.
package holdings

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/zeebo/xxh3"

	"heathgap/internal/terms"
)

// Bounds.
const (
	// Shards of the key space: a machine of 300 has a seat in one of a hundred of them, and the table stays some KB.
	Shards = 64
)

// Terms are what all members of a crew must be started with alike.
type Terms = terms.Holdings

// Who is one stay of a sidecar in the crew: who was counted out and came in again is another.
type Who struct {
	Name string `cbor:"1,keyasint"`
	In   uint64 `cbor:"2,keyasint"` // the epoch in which it came in
}

// Member is a sidecar that is in the crew.
type Member struct {
	Who
	Token   uint64 `cbor:"5,keyasint"` // of its process
	Zone    string `cbor:"3,keyasint,omitempty"`
	Address string `cbor:"4,keyasint"`
}

// Seat is a sidecar's place in a shard.
type Seat struct {
	Who
	Token uint64 `cbor:"4,keyasint"`           // of its process, whose memory it is
	Ready bool   `cbor:"3,keyasint,omitempty"` // it has all that was ever told of the shard
}

// Shard is a part of the keys. Its first seat is its primary, and is ready.
type Shard struct {
	// Ballot rises with each change of seats: a word under an older one is refused. 0 before the first.
	Ballot uint64 `cbor:"1,keyasint,omitempty"`
	Seats  []Seat `cbor:"2,keyasint,omitempty"`
	// Lost is how often all that was held here was lost, with all seats that were ready.
	Lost uint64 `cbor:"3,keyasint,omitempty"`
}

// Table is all shards.
type Table struct {
	Number uint64        `cbor:"1,keyasint"` // rises with each change
	Shards [Shards]Shard `cbor:"2,keyasint"`
}

// Change is new seats of one shard, in the place of those of a ballot.
type Change struct {
	Shard  int    `cbor:"1,keyasint"`
	Ballot uint64 `cbor:"2,keyasint"` // that it was decided on
	Seats  []Seat `cbor:"3,keyasint"`
	Lost   bool   `cbor:"4,keyasint,omitempty"`
}

// Filled is a primary's word that a seat has all that its shard holds.
type Filled struct {
	Shard  int    `cbor:"1,keyasint"`
	Ballot uint64 `cbor:"2,keyasint"`
	Seat   Who    `cbor:"3,keyasint"`
}

// ErrBallot is a change that was decided on seats that are no more.
var ErrBallot = errors.New("the shard's ballot has passed")

// Apply takes changes that were agreed on, all or none.
func (t *Table) Apply(changes []Change) error {
	for _, c := range changes {
		if c.Shard < 0 || c.Shard >= Shards {
			return fmt.Errorf("shard %d; allowed: 0 to %d", c.Shard, Shards-1)
		}
		if t.Shards[c.Shard].Ballot != c.Ballot {
			return fmt.Errorf("shard %d: %w: %d, it is %d", c.Shard, ErrBallot, c.Ballot, t.Shards[c.Shard].Ballot)
		}
	}
	for _, c := range changes {
		s := &t.Shards[c.Shard]
		s.Ballot, s.Seats = s.Ballot+1, slices.Clone(c.Seats)
		if c.Lost {
			s.Lost++
		}
	}
	if len(changes) > 0 {
		t.Number++
	}
	return nil
}

// Clone returns a table that changes by itself.
func (t *Table) Clone() *Table {
	c := *t
	for i := range c.Shards {
		c.Shards[i].Seats = slices.Clone(c.Shards[i].Seats)
	}
	return &c
}

// mostMoves bounds the shards that are being copied to a better seat at a time: what is new goes on meanwhile, with one word more
// for each.
const mostMoves = 4

// Crew is what seats follow from.
type Crew struct {
	Members []Member
	Copies  int
	Filled  []Filled // primaries' words
	// Lost tells whether a shard of which no ready seat is in the crew is to be given up; until then it waits for one of them to
	// come back, as it does after a cut.
	Lost func(shard int) bool
	// Leaving will go: their seats are copied to others first.
	Leaving map[Who]bool
	// Unheard are sidecars that others, named first, have not reached for a while though both are in the crew.
	Unheard map[[2]Who]bool
}

// planner is a crew as a plan looks things up.
type planner struct {
	*Crew
	in        map[Who]Member
	processes map[uint64]Member
	said      map[Filled]bool
	deaf      map[Who]bool // who reaches hardly anybody: it is at fault itself
	moving    int          // shards with a seat that is being filled
}

// Plan returns the changes that follow from who is in the crew, and from what primaries have said of their seats. The same
// table and crew give the same changes.
func (t *Table) Plan(crew *Crew) []Change {
	p := &planner{Crew: crew, in: map[Who]Member{}, processes: map[uint64]Member{}, said: map[Filled]bool{}, deaf: map[Who]bool{}}
	for _, m := range crew.Members {
		p.in[m.Who], p.processes[m.Token] = m, m
	}
	for _, f := range crew.Filled {
		p.said[f] = true
	}
	unheard := map[Who]int{}
	for pair := range crew.Unheard {
		unheard[pair[0]]++
	}
	for who, n := range unheard {
		p.deaf[who] = 2*n >= len(crew.Members) && n > 1
	}
	for i := range t.Shards {
		if slices.ContainsFunc(t.Shards[i].Seats, func(s Seat) bool { return !s.Ready }) {
			p.moving++
		}
	}
	var changes []Change
	for i := range t.Shards {
		s := &t.Shards[i]
		c := Change{Shard: i, Ballot: s.Ballot}
		if p.plan(&c, s); !slices.Equal(c.Seats, s.Seats) {
			changes = append(changes, c)
		}
	}
	return changes
}

func (p *planner) plan(c *Change, s *Shard) {
	for _, seat := range s.Seats {
		m, there := p.in[seat.Who]
		if !there {
			// The process may be in anew: nothing was told under this ballot without its word, so that it lacks nothing.
			if m, there = p.processes[seat.Token]; !there || m.Name != seat.Name {
				continue
			}
			seat.Who = m.Who
		}
		if !seat.Ready && p.said[Filled{c.Shard, s.Ballot, seat.Who}] {
			seat.Ready = true
		}
		c.Seats = append(c.Seats, seat)
	}
	without := p.without(s)
	// Guards against a primary that lacks what was told: who is not ready comes behind all that are, in their order. Who reaches
	// nobody comes behind those who do.
	place := func(seat Seat) int {
		switch {
		case !seat.Ready:
			return 2
		case p.deaf[seat.Who]:
			return 1
		}
		return 0
	}
	slices.SortStableFunc(c.Seats, func(a, b Seat) int { return cmp.Compare(place(a), place(b)) })
	if len(c.Seats) == 0 || !c.Seats[0].Ready {
		if s.Ballot > 0 && !p.Lost(c.Shard) {
			c.Seats = s.Seats
			return
		}
		// All seats that were ready are gone. One that was being filled has what is new, at least.
		c.Lost = s.Ballot > 0
		if len(c.Seats) > 0 {
			c.Seats[0].Ready = true
		}
	}
	ranked := ranked(c.Shard, p.Members)
	best := p.best(ranked, c.Seats, without)
	ready := !slices.ContainsFunc(c.Seats, func(seat Seat) bool { return !seat.Ready && !without[seat.Who] })
	switch {
	case len(best) < p.Copies:
		// Too few, leaving ones not counted: the next of the order in zones that have none.
		zones := map[string]bool{}
		for _, seat := range best {
			zones[p.in[seat.Who].Zone] = true
		}
		for _, m := range ranked {
			if n := len(zones); n < p.Copies && !zones[m.Zone] && takes(c, m, without) {
				zones[m.Zone] = true
				c.Seats = append(c.Seats, Seat{Who: m.Who, Token: m.Token, Ready: len(c.Seats) == 0})
			}
		}
	case !ready:
	case len(c.Seats) > p.Copies:
		c.Seats = best // one that was to come in has come
	case p.moving < mostMoves:
		// All is well, and somebody else should sit here: who came into the crew since.
		var want []Seat
		for _, m := range ranked {
			if !slices.ContainsFunc(c.Seats, func(s Seat) bool { return s.Who == m.Who }) && !takes(c, m, without) {
				continue
			}
			want = append(want, Seat{Who: m.Who, Token: m.Token})
		}
		for _, seat := range p.best(ranked, want, without) {
			if !slices.ContainsFunc(c.Seats, func(s Seat) bool { return s.Who == seat.Who }) {
				c.Seats = append(c.Seats, seat)
				p.moving++
				break
			}
		}
	}
}

// without tells which members a shard should do without, of those that are in the crew: who leaves, who reaches hardly anybody,
// and whom its primary does not reach. Guards against seats that go before others have what they held: a way that is cut is no
// machine lost, and the primary that complains may be lost next (seed 12 of the model).
func (p *planner) without(s *Shard) map[Who]bool {
	out := maps.Clone(p.Leaving)
	if out == nil {
		out = map[Who]bool{}
	}
	for who, deaf := range p.deaf {
		out[who] = out[who] || deaf
	}
	if len(s.Seats) > 0 && !p.deaf[s.Seats[0].Who] {
		for pair, unheard := range p.Unheard {
			if pair[0] == s.Seats[0].Who {
				out[pair[1]] = out[pair[1]] || unheard
			}
		}
	}
	return out
}

// takes tells whether a member may have a new seat in a shard.
func takes(c *Change, m Member, without map[Who]bool) bool {
	return !without[m.Who] && !slices.ContainsFunc(c.Seats, func(s Seat) bool { return s.Who == m.Who })
}

// best are the seats that should stay, by their order, one a zone.
func (p *planner) best(ranked []Member, seats []Seat, without map[Who]bool) (out []Seat) {
	zones := map[string]bool{}
	for _, m := range ranked {
		if len(out) >= p.Copies {
			break
		}
		i := slices.IndexFunc(seats, func(s Seat) bool { return s.Who == m.Who })
		if i < 0 || without[m.Who] || zones[m.Zone] {
			continue
		}
		zones[m.Zone] = true
		out = append(out, seats[i])
	}
	return out
}

// Dead tells whether no ready seat of a shard is in the crew.
func (s *Shard) Dead(in func(Who, uint64) bool) bool {
	return s.Ballot > 0 && !slices.ContainsFunc(s.Seats, func(seat Seat) bool { return seat.Ready && in(seat.Who, seat.Token) })
}

// ranked is the order in which members are taken into a shard: rendezvous hashing, so that one who comes or goes changes
// nobody else's places.
func ranked(shard int, members []Member) []Member {
	type place struct {
		m    Member
		rank uint64
	}
	places := make([]place, 0, len(members))
	for _, m := range members {
		places = append(places, place{m, xxh3.HashStringSeed(m.Name, uint64(shard)+1)})
	}
	slices.SortFunc(places, func(a, b place) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.m.Name, b.m.Name), cmp.Compare(a.m.In, b.m.In))
	})
	out := make([]Member, 0, len(places))
	for _, p := range places {
		out = append(out, p.m)
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
	return int(h.Sum64() % Shards)
}
