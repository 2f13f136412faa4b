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
	Scenario  *Scenario
	Seed      uint64
	Processes []Process
	Locations map[string]Location // by the name of a member of the crew
	Actions   []Action            // by their times
}

// Location is where a member of the crew stands.
type Location struct{ Zone, Region string }

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
	VoterProcess    = "keeper"
	RealProcess     = "real sidecar"
	PlainProcess    = "sidecar without a crew"
	EmulatedProcess = "hollow members"
)

// Action is one thing that happens at a time, to members that are named: only who leads is seen as late as then.
type Action struct {
	At         time.Duration
	Kind       string // a doing of a step, or Propose
	Members    []string
	Downtime   time.Duration // until they come back; 0 for never (restart: at once)
	Duration   time.Duration // of a cut, a slow keeper
	Killed     bool
	KillLeader bool // the leader too
	Delay      time.Duration
	Between    [2]string
	Count      int
}

// Propose is the act of proposing a version at its time.
const Propose = "propose"

// What a process may come to need. The parts by member were measured with 580 members, copies and orders (docs/lab.md), and
// rounded up; a plan beyond a limit is refused before anything starts.
const (
	processMB          = 40.0 // a real sidecar, a keeper, or a hollow process before its members
	emulatedMemberMB   = 6.0
	voterMemberMB      = 0.2 // of a keeper, for each member of the crew
	processDescriptors = 64
	maxProcesses       = 300
	maxPlannedMB       = 12 << 10
	leaveMargin        = 5 * time.Second // above what a member that leaves in order waits for others to take its seats
	secondsPerDay      = 24 * 60 * 60
	quietEnd           = 2 * time.Second // at the end, in which the day's failures strike nobody
	maxReplicaPeers    = 64              // connections a member with copies may have to others, and others to it
	connectionsPerPeer = 2               // at a time, to one of those
)

// NewPlan works it out.
func NewPlan(s *Scenario, seed uint64) *Plan {
	p := &Plan{Scenario: s, Seed: seed, Locations: map[string]Location{}}
	place := func(names, zones []string) {
		for i, name := range names {
			zone := zones[i%len(zones)]
			p.Locations[name] = Location{zone, s.regionOf(zone)}
		}
	}
	place(s.voterNames(), s.VoterZones)
	place(append(s.realNames(), s.emulatedNames()...), s.MemberZones)
	p.planProcesses()
	p.planActions()
	return p
}

func (p *Plan) planProcesses() {
	s := p.Scenario
	others := s.Size() - 1
	conns := s.Voters // of one member, to keepers
	if s.Copies > 0 {
		conns += 2 * connectionsPerPeer * min(others, maxReplicaPeers)
	}
	for _, name := range s.voterNames() {
		p.Processes = append(p.Processes, Process{Kind: VoterProcess, Name: name, MemoryMB: processMB + voterMemberMB*float64(others),
			Descriptors: processDescriptors + 2*others + conns})
	}
	for _, name := range s.realNames() {
		p.Processes = append(p.Processes, Process{Kind: RealProcess, Name: name, MemoryMB: processMB, Descriptors: processDescriptors + conns})
	}
	for _, name := range s.plainNames() {
		p.Processes = append(p.Processes, Process{Kind: PlainProcess, Name: name, MemoryMB: processMB, Descriptors: processDescriptors})
	}
	i := 0
	for members := range slices.Chunk(s.emulatedNames(), s.EachProcess) {
		i++
		p.Processes = append(p.Processes, Process{Kind: EmulatedProcess, Name: fmt.Sprintf("hollow%d", i), Members: members,
			MemoryMB: processMB + emulatedMemberMB*float64(len(members)), Descriptors: processDescriptors + (1+conns)*len(members)})
	}
}

// Check refuses a plan that the machine's limits don't bear. descriptors is how many a process may have.
func (p *Plan) Check(descriptors uint64) error {
	if n := len(p.Processes); n > maxProcesses {
		return fmt.Errorf("the plan needs %d processes; allowed: %d. Raise each_process, or lower hollow", n, maxProcesses)
	}
	memory := 0.0
	for _, process := range p.Processes {
		memory += process.MemoryMB
		if uint64(process.Descriptors) > descriptors {
			return fmt.Errorf("the plan needs %d descriptors in the process %s (%s); allowed: %d, this process's RLIMIT_NOFILE. "+
				"Lower each_process (%d)", process.Descriptors, process.Name, process.Kind, descriptors, p.Scenario.EachProcess)
		}
	}
	if memory > maxPlannedMB {
		return fmt.Errorf("the plan needs %.0f MB of memory in %d processes; allowed: %d MB. Lower hollow (%d)",
			memory, len(p.Processes), maxPlannedMB, p.Scenario.Emulated)
	}
	return nil
}

// groupMembers are the members that a word means.
func (p *Plan) groupMembers(group string) []string {
	s := p.Scenario
	switch group {
	case EmulatedMembers:
		return s.emulatedNames()
	case RealMembers:
		return s.realNames()
	case VoterGroup:
		return s.voterNames()
	case All:
		return slices.Concat(s.voterNames(), s.realNames(), s.emulatedNames())
	}
	return append(s.realNames(), s.emulatedNames()...)
}

// zoneMembers are those of a zone; keepers only if asked for.
func (p *Plan) zoneMembers(zone string, keepers bool) (names []string) {
	group := Members
	if keepers {
		group = All
	}
	for _, name := range p.groupMembers(group) {
		if p.Locations[name].Zone == zone {
			names = append(names, name)
		}
	}
	return names
}

// pendingAction is an act whose members have not been drawn.
type pendingAction struct {
	Action
	candidates []string // in the order in which they are drawn
	count      int
	picked     map[string]bool // by its step so far: a release restarts each once
}

func (p *Plan) planActions() {
	s := p.Scenario
	rng := rand.New(rand.NewPCG(p.Seed, 0x5ca1e))
	shuffled := func(names []string) []string {
		names = slices.Clone(names)
		rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		return names
	}
	var drafts []pendingAction
	for _, step := range s.Steps {
		act := Action{At: step.At, Kind: step.Kind, Downtime: step.Downtime, Duration: step.Duration, Killed: step.Killed, KillLeader: step.KillLeader, Delay: step.Delay,
			Between: step.Between, Count: step.Count}
		countOf := func(names []string) int {
			if step.Share > 0 {
				return int(math.Ceil(step.Share * float64(len(names))))
			}
			return min(step.Count, len(names))
		}
		switch step.Kind {
		case Restart:
			from := shuffled(p.groupMembers(step.Target))
			n, drawn := countOf(from), map[string]bool{}
			for i := range n {
				one := act
				one.At += step.Duration * time.Duration(i) / time.Duration(n)
				drafts = append(drafts, pendingAction{one, from, 1, drawn})
			}
		case Kill:
			from := shuffled(p.groupMembers(step.Target))
			drafts = append(drafts, pendingAction{Action: act, candidates: from, count: countOf(from)})
		case Rack:
			from := shuffled(p.zoneMembers(step.Target, false))
			drafts = append(drafts, pendingAction{Action: act, candidates: from, count: countOf(from)})
		case Zone:
			from := p.zoneMembers(step.Target, true)
			act.Downtime = max(step.Duration, time.Millisecond) // they come back, and not never
			drafts = append(drafts, pendingAction{Action: act, candidates: from, count: len(from)})
		case Slow:
			act.Members = []string{step.Target}
			drafts = append(drafts, pendingAction{Action: act})
		default:
			drafts = append(drafts, pendingAction{Action: act})
		}
	}
	drafts = append(drafts, p.dayFailures(rng, shuffled)...)
	if s.Changes > 0 {
		every := time.Duration(float64(time.Second) / s.Changes)
		for at := every / 2; at < s.Duration; at += every {
			drafts = append(drafts, pendingAction{Action: Action{At: at, Kind: Propose, Count: 1}})
		}
	}
	slices.SortStableFunc(drafts, func(a, b pendingAction) int { return int(a.At - b.At) })
	p.pickMembers(drafts)
}

// dayFailures are an ordinary day's failures, as much faster as the scenario says.
func (p *Plan) dayFailures(rng *rand.Rand, shuffled func([]string) []string) (drafts []pendingAction) {
	s := p.Scenario
	span := s.Duration - quietEnd
	if span <= 0 {
		return nil
	}
	members := p.groupMembers(Members)
	for _, kind := range []struct {
		a   Action
		day int
	}{{Action{Kind: Restart, Downtime: s.Day.Downtime}, s.Day.Restarts}, {Action{Kind: Kill}, s.Day.Lost}} {
		for range int(math.Round(float64(kind.day) * s.SpeedUp * s.Duration.Seconds() / secondsPerDay)) {
			action := kind.a
			action.At = time.Duration(rng.Int64N(int64(span)))
			drafts = append(drafts, pendingAction{Action: action, candidates: shuffled(members), count: 1})
		}
	}
	return drafts
}

// pickMembers names the members of each act: those that are up then, in their drafts' order.
func (p *Plan) pickMembers(drafts []pendingAction) {
	const forever = time.Duration(math.MaxInt64)
	downUntil := map[string]time.Duration{}
	for _, d := range drafts {
		for _, name := range d.candidates {
			if len(d.Members) >= d.count {
				break
			}
			if d.At < downUntil[name] || d.picked[name] {
				continue
			}
			if d.picked != nil {
				d.picked[name] = true
			}
			d.Members = append(d.Members, name)
			if downUntil[name] = d.At + d.Downtime + leaveMargin; d.Downtime == 0 && d.Kind != Restart {
				downUntil[name] = forever
			}
		}
		if d.count > 0 && len(d.Members) == 0 {
			continue // all of them are away
		}
		p.Actions = append(p.Actions, d.Action)
	}
}
