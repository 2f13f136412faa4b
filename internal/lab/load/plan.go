// Package load makes the lab's traffic: an open loop of requests that come when
// they are due, whatever becomes of those before them, and the clients that send
// them, lose patience, ask again and leave.
package load

import (
	"encoding/binary"
	"hash"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"
)

// Shape is how the rate goes over a run.
type Shape string

// The shapes.
const (
	Steady Shape = "steady"
	Ramp   Shape = "ramp"   // from Low times the rate at the start up to all of it at the end
	Surge  Shape = "surge"  // Low times the rate but for the middle third, which has all of it
	Wander Shape = "wander" // between Low times the rate and all of it, up and down each Period
)

// Share is a class or a tenant and its share of the requests.
type Share struct {
	Name  string
	Share float64
}

// Flood multiplies the requests of one tenant, or of all, for a while.
type Flood struct {
	Tenant  string // empty for all
	At, For time.Duration
	Factor  float64
}

// Plan says what comes when. The same plan and seed make the same arrivals.
type Plan struct {
	Rate     float64 // requests a second, by shape the most of them
	Shape    Shape
	Low      float64
	Period   time.Duration // of Wander
	Duration time.Duration
	Classes  []Share
	Tenants  []Share
	Floods   []Flood
}

// Arrival is one request that is to be asked.
type Arrival struct {
	At     time.Duration // when it is due
	Number int
	Class  int // in the plan's Classes
	Tenant int
	Seed   uint64 // for all else that is drawn for it
}

// shapeFactor is the part of the rate that comes at a time.
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

// floodFactor is what floods make of a tenant's requests at a time.
func (p *Plan) floodFactor(tenant string, at time.Duration) float64 {
	f := 1.0
	for _, flood := range p.Floods {
		if (flood.Tenant == "" || flood.Tenant == tenant) && at >= flood.At && at < flood.At+flood.For {
			f *= flood.Factor
		}
	}
	return f
}

// RateAt is how many requests a second come at a time.
func (p *Plan) RateAt(at time.Duration) float64 {
	sum := 0.0
	for _, t := range p.Tenants {
		sum += t.Share * p.floodFactor(t.Name, at)
	}
	return p.Rate * p.shapeFactor(at) * sum / sumOfShares(p.Tenants)
}

// Peak bounds the rate from above at all times.
func (p *Plan) Peak() float64 {
	factor := 1.0
	for _, f := range p.Floods {
		factor *= max(1, f.Factor) // as if all were at once
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

// Source draws a plan's arrivals one after the other.
type Source struct {
	plan   *Plan
	random *rand.Rand
	peak   float64
	at     time.Duration
	number int
}

// Arrivals begins a plan anew.
func (p *Plan) Arrivals(seed uint64) *Source {
	return &Source{plan: p, random: rand.New(rand.NewPCG(seed, 2)), peak: p.Peak()}
}

// Next returns the next arrival; false when the plan is over. Times between
// candidates are exponential at the peak's rate, and each candidate is kept with
// the present rate's part of that (thinning).
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

// pickShare draws a share's place by its size.
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

// Hash is a sum over all arrivals of a seed.
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
