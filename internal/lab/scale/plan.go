package scale

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Plan is what a scenario and a seed come to: which processes stand where, and what happens when. It is pure, and the same for
// the same scenario and seed.
type Plan struct {
	Scene     *Scenario
	Seed      uint64
	Processes []Process
	Places    map[string]Place // by the name of a member of the crew
	Acts      []Act            // by their times
}

// Place is where a member of the crew stands.
type Place struct{ Zone, Region string }

// Process is one that is to be started.
type Process struct {
	Kind        string // KeeperProcess, ...
	Name        string
	Members     []string // of a hollow process
	MemoryMB    float64  // that it may come to need
	Descriptors int      // likewise
}

// The kinds of processes.
const (
	KeeperProcess = "keeper"
	RealProcess   = "real sidecar"
	PlainProcess  = "sidecar without a crew"
	HollowProcess = "hollow members"
)

// Act is one thing that happens at a time, to members that are named: only who leads is seen as late as then.
type Act struct {
	At      time.Duration
	Do      string // a doing of a step, or Propose
	Members []string
	Away    time.Duration // until they come back; 0 for never (restart: at once)
	For     time.Duration // of a cut, a slow keeper
	Killed  bool
	Leader  bool // the leader too
	By      time.Duration
	Between [2]string
	Count   int
}

// Propose is the act of proposing a version at its time.
const Propose = "propose"

// What a process may come to need. The parts by member were measured with 580 members, copies and orders (docs/lab.md), and
// rounded up; a plan beyond a limit is refused before anything starts.
const (
	processMB         = 40.0 // a real sidecar, a keeper, or a hollow process before its members
	hollowMemberMB    = 6.0
	keeperMemberMB    = 0.2 // of a keeper, for each member of the crew
	processFiles      = 64
	mostProcesses     = 300
	mostPlannedMB     = 12 << 10
	leaveMargin       = 5 * time.Second // above what a member that leaves in order waits for others to take its seats
	secondsOfDay      = 24 * 60 * 60
	quietEnd          = 2 * time.Second // at the end, in which the day's failures strike nobody
	seatsOfCopies     = 64              // connections a member with copies may have to others, and others to it
	connectionsOfTask = 2               // at a time, to one of those
)

// NewPlan works it out.
func NewPlan(s *Scenario, seed uint64) *Plan {
	p := &Plan{Scene: s, Seed: seed, Places: map[string]Place{}}
	place := func(names, zones []string) {
		for i, name := range names {
			zone := zones[i%len(zones)]
			p.Places[name] = Place{zone, s.region(zone)}
		}
	}
	place(s.keeperNames(), s.KeeperZones)
	place(append(s.realNames(), s.hollowNames()...), s.MemberZones)
	p.processes()
	p.acts()
	return p
}

func (p *Plan) processes() {
	s := p.Scene
	others := s.Size() - 1
	conns := s.Keepers // of one member, to keepers
	if s.Copies > 0 {
		conns += 2 * connectionsOfTask * min(others, seatsOfCopies)
	}
	for _, name := range s.keeperNames() {
		p.Processes = append(p.Processes, Process{Kind: KeeperProcess, Name: name, MemoryMB: processMB + keeperMemberMB*float64(others),
			Descriptors: processFiles + 2*others + conns})
	}
	for _, name := range s.realNames() {
		p.Processes = append(p.Processes, Process{Kind: RealProcess, Name: name, MemoryMB: processMB, Descriptors: processFiles + conns})
	}
	for _, name := range s.plainNames() {
		p.Processes = append(p.Processes, Process{Kind: PlainProcess, Name: name, MemoryMB: processMB, Descriptors: processFiles})
	}
	i := 0
	for members := range slices.Chunk(s.hollowNames(), s.EachProcess) {
		i++
		p.Processes = append(p.Processes, Process{Kind: HollowProcess, Name: fmt.Sprintf("hollow%d", i), Members: members,
			MemoryMB: processMB + hollowMemberMB*float64(len(members)), Descriptors: processFiles + (1+conns)*len(members)})
	}
}

// Check refuses a plan that the machine's limits don't bear. descriptors is how many a process may have.
func (p *Plan) Check(descriptors uint64) error {
	if n := len(p.Processes); n > mostProcesses {
		return fmt.Errorf("the plan needs %d processes; allowed: %d. Raise each_process, or lower hollow", n, mostProcesses)
	}
	memory := 0.0
	for _, one := range p.Processes {
		memory += one.MemoryMB
		if uint64(one.Descriptors) > descriptors {
			return fmt.Errorf("the plan needs %d descriptors in the process %s (%s); allowed: %d, this process's RLIMIT_NOFILE. "+
				"Lower each_process (%d)", one.Descriptors, one.Name, one.Kind, descriptors, p.Scene.EachProcess)
		}
	}
	if memory > mostPlannedMB {
		return fmt.Errorf("the plan needs %.0f MB of memory in %d processes; allowed: %d MB. Lower hollow (%d)",
			memory, len(p.Processes), mostPlannedMB, p.Scene.Hollow)
	}
	return nil
}

// group are the members that a word means.
func (p *Plan) group(who string) []string {
	s := p.Scene
	switch who {
	case HollowOnes:
		return s.hollowNames()
	case RealOnes:
		return s.realNames()
	case KeeperGroup:
		return s.keeperNames()
	case All:
		return slices.Concat(s.keeperNames(), s.realNames(), s.hollowNames())
	}
	return append(s.realNames(), s.hollowNames()...)
}

// inZone are those of a zone; keepers only if asked for.
func (p *Plan) inZone(zone string, keepers bool) (names []string) {
	group := Members
	if keepers {
		group = All
	}
	for _, name := range p.group(group) {
		if p.Places[name].Zone == zone {
			names = append(names, name)
		}
	}
	return names
}

// draft is an act whose members have not been drawn.
type draft struct {
	Act
	from  []string // in the order in which they are drawn
	count int
	drawn map[string]bool // by its step so far: a release restarts each once
}

func (p *Plan) acts() {
	s := p.Scene
	dice := rand.New(rand.NewPCG(p.Seed, 0x5ca1e))
	shuffled := func(names []string) []string {
		names = slices.Clone(names)
		dice.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		return names
	}
	var drafts []draft
	for _, step := range s.Steps {
		act := Act{At: step.At, Do: step.Do, Away: step.Away, For: step.For, Killed: step.Killed, Leader: step.Leader, By: step.By,
			Between: step.Between, Count: step.Count}
		of := func(names []string) int {
			if step.Share > 0 {
				return int(math.Ceil(step.Share * float64(len(names))))
			}
			return min(step.Count, len(names))
		}
		switch step.Do {
		case Restart:
			from := shuffled(p.group(step.Who))
			n, drawn := of(from), map[string]bool{}
			for i := range n {
				one := act
				one.At += step.For * time.Duration(i) / time.Duration(n)
				drafts = append(drafts, draft{one, from, 1, drawn})
			}
		case Kill:
			from := shuffled(p.group(step.Who))
			drafts = append(drafts, draft{Act: act, from: from, count: of(from)})
		case Rack:
			from := shuffled(p.inZone(step.Who, false))
			drafts = append(drafts, draft{Act: act, from: from, count: of(from)})
		case Zone:
			from := p.inZone(step.Who, true)
			act.Away = max(step.For, time.Millisecond) // they come back, and not never
			drafts = append(drafts, draft{Act: act, from: from, count: len(from)})
		case Slow:
			act.Members = []string{step.Who}
			drafts = append(drafts, draft{Act: act})
		default:
			drafts = append(drafts, draft{Act: act})
		}
	}
	drafts = append(drafts, p.day(dice, shuffled)...)
	if s.Changes > 0 {
		every := time.Duration(float64(time.Second) / s.Changes)
		for at := every / 2; at < s.Duration; at += every {
			drafts = append(drafts, draft{Act: Act{At: at, Do: Propose, Count: 1}})
		}
	}
	slices.SortStableFunc(drafts, func(a, b draft) int { return int(a.At - b.At) })
	p.draw(drafts)
}

// day are an ordinary day's failures, as much faster as the scenario says.
func (p *Plan) day(dice *rand.Rand, shuffled func([]string) []string) (drafts []draft) {
	s := p.Scene
	span := s.Duration - quietEnd
	if span <= 0 {
		return nil
	}
	members := p.group(Members)
	for _, kind := range []struct {
		a   Act
		day int
	}{{Act{Do: Restart, Away: s.Day.Away}, s.Day.Restarts}, {Act{Do: Kill}, s.Day.Lost}} {
		for range int(math.Round(float64(kind.day) * s.SpeedUp * s.Duration.Seconds() / secondsOfDay)) {
			one := kind.a
			one.At = time.Duration(dice.Int64N(int64(span)))
			drafts = append(drafts, draft{Act: one, from: shuffled(members), count: 1})
		}
	}
	return drafts
}

// draw names the members of each act: those that are up then, in their drafts' order.
func (p *Plan) draw(drafts []draft) {
	const forever = time.Duration(math.MaxInt64)
	away := map[string]time.Duration{}
	for _, d := range drafts {
		for _, name := range d.from {
			if len(d.Members) >= d.count {
				break
			}
			if d.At < away[name] || d.drawn[name] {
				continue
			}
			if d.drawn != nil {
				d.drawn[name] = true
			}
			d.Members = append(d.Members, name)
			if away[name] = d.At + d.Away + leaveMargin; d.Away == 0 && d.Do != Restart {
				away[name] = forever
			}
		}
		if d.count > 0 && len(d.Members) == 0 {
			continue // all of them are away
		}
		p.Acts = append(p.Acts, d.Act)
	}
}
