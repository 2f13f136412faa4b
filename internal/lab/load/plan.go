// Package load generates the lab's traffic. Requests arrive in an open loop: each is sent when it is due, whatever
// happened to those before it. Clients retry, lose patience and leave.
package load

import (
	"encoding/binary"
	"hash"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"
)

// Shape is how the rate of requests changes over a run.
type Shape string

// The shapes.
const (
	Steady Shape = "steady"
	Ramp   Shape = "ramp"   // rises from Low times the rate to the full rate
	Surge  Shape = "surge"  // the full rate in the middle third, Low times the rate before and after it
	Wander Shape = "wander" // swings between Low times the rate and the full rate, once in each Period
)

// Share is a class or tenant with its relative share of the requests.
type Share struct {
	Name  string
	Share float64
}

// Flood multiplies the requests of one tenant, or of all, for some time.
type Flood struct {
	Tenant  string // empty for all tenants
	At, For time.Duration
	Factor  float64
}

// Plan describes the arrivals of a run. The same plan and seed give the same arrivals.
type Plan struct {
	Rate     float64 // requests per second at the highest point of the shape, without floods
	Shape    Shape
	Low      float64
	Period   time.Duration // used by Wander
	Duration time.Duration
	Classes  []Share
	Tenants  []Share
	Floods   []Flood
}

// Arrival is one logical request of a plan.
type Arrival struct {
	At     time.Duration // when it is due, from the beginning of the plan
	Number int
	Class  int // index in the plan's Classes; Tenant is one in Tenants
	Tenant int
	Seed   uint64 // for everything else that is picked at random for this request
}

// shapeFactor returns the part of the full rate that the shape gives at a time.
func (p *Plan) shapeFactor(at time.Duration) float64 {
	elapsed := float64(at) / float64(p.Duration)
	switch p.Shape {
	case Ramp:
		return p.Low + (1-p.Low)*elapsed
	case Surge:
		if elapsed < 1./3 || elapsed >= 2./3 {
			return p.Low
		}
	case Wander:
		cycles := float64(at) / float64(p.Period)
		return p.Low + (1-p.Low)*(1-math.Cos(2*math.Pi*cycles))/2
	}
	return 1
}

// floodFactor returns by how much floods multiply a tenant's requests at a time.
func (p *Plan) floodFactor(tenant string, at time.Duration) float64 {
	f := 1.0
	for _, flood := range p.Floods {
		if (flood.Tenant == "" || flood.Tenant == tenant) && at >= flood.At && at < flood.At+flood.For {
			f *= flood.Factor
		}
	}
	return f
}

// RateAt returns the rate at a time, in requests per second, floods included.
func (p *Plan) RateAt(at time.Duration) float64 {
	sum := 0.0
	for _, t := range p.Tenants {
		sum += t.Share * p.floodFactor(t.Name, at)
	}
	return p.Rate * p.shapeFactor(at) * sum / sumOfShares(p.Tenants)
}

// Peak returns a rate that RateAt never exceeds.
func (p *Plan) Peak() float64 {
	factor := 1.0
	for _, f := range p.Floods {
		factor *= max(1, f.Factor) // an upper bound: as if all floods were at the same time
	}
	return p.Rate * factor
}

func sumOfShares(shares []Share) float64 {
	sum := 0.0
	for _, s := range shares {
		sum += s.Share
	}
	return sum
}

// Source generates a plan's arrivals one after the other.
type Source struct {
	plan   *Plan
	random *rand.Rand
	peak   float64
	at     time.Duration
	number int
}

// Arrivals returns a Source at the beginning of the plan.
func (p *Plan) Arrivals(seed uint64) *Source {
	return &Source{plan: p, random: rand.New(rand.NewPCG(seed, 2)), peak: p.Peak()}
}

// Next returns the next arrival, or false after the end of the plan. It generates candidates as a Poisson process at
// the peak rate and keeps each with probability RateAt/Peak (thinning).
func (s *Source) Next() (Arrival, bool) {
	for {
		s.at += time.Duration(s.random.ExpFloat64() / s.peak * float64(time.Second))
		if s.at >= s.plan.Duration {
			return Arrival{}, false
		}
		if s.random.Float64()*s.peak >= s.plan.RateAt(s.at) {
			continue
		}
		a := Arrival{At: s.at, Number: s.number, Seed: s.random.Uint64()}
		a.Class = pickShare(s.random, s.plan.Classes, func(Share) float64 { return 1 })
		a.Tenant = pickShare(s.random, s.plan.Tenants, func(t Share) float64 { return s.plan.floodFactor(t.Name, s.at) })
		s.number++
		return a, true
	}
}

// pickShare picks an index at random, in proportion to the shares times their factors.
func pickShare(random *rand.Rand, shares []Share, factor func(Share) float64) int {
	sum := 0.0
	for _, s := range shares {
		sum += s.Share * factor(s)
	}
	remaining := random.Float64() * sum
	for i, s := range shares {
		if remaining -= s.Share * factor(s); remaining < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// Hash returns a hash of all arrivals that a seed gives.
func (p *Plan) Hash(seed uint64) uint64 {
	h := fnv.New64a()
	for src := p.Arrivals(seed); ; {
		a, ok := src.Next()
		if !ok {
			return h.Sum64()
		}
		for _, n := range []uint64{uint64(a.At), uint64(a.Class), uint64(a.Tenant), a.Seed} {
			hashNumber(h, n)
		}
	}
}

func hashNumber(h hash.Hash, n uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	h.Write(b[:])
}
