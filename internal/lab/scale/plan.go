package scale

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Plan says which processes run where, and what happens when. It follows from a scenario and a seed alone: the same two always give the
// same plan.
type Plan struct {
	Scenario  *Scenario
	Seed      uint64
	Processes []Process
	Locations map[string]Location // by the name of a member of the cluster
	Actions   []Action            // in order of time
}

// Location is where a member of the cluster runs.
type Location struct{ Zone, Region string }

// Process describes a process that is to be started.
type Process struct {
	Kind        string // one of the kinds below
	Name        string
	Members     []string // of a process of emulated members
	MemoryMB    float64  // upper estimate
	Descriptors int      // upper estimate
}

// The kinds of processes. PlainProcess runs without a cluster.
const (
	VoterProcess    = "keeper"
	RealProcess     = "real sidecar"
	PlainProcess    = "sidecar without a crew"
	EmulatedProcess = "hollow members"
)

// Action is something that happens at a time of the run. The members that it affects are chosen in advance; only who leads is determined
// when the action is due.
type Action struct {
	At         time.Duration
	Kind       string // the kind of a step, or Propose
	Members    []string
	Downtime   time.Duration // until the members come back; 0 means never (for Restart: at once)
	Duration   time.Duration // of a partition or of a voter's delayed answers; for Leader: until it comes back, 0 for never
	Killed     bool          // for Restart: by SIGKILL instead of a graceful leave
	KillLeader bool          // the leader is killed too
	Delay      time.Duration // of a voter's answers
	Between    [2]string     // the two regions of a partition
	Count      int           // of versions to propose
}

// Propose is the kind of an action that proposes a version.
const Propose = "propose"

// Upper estimates of what a process needs, and what a plan may need at most; a plan beyond that is rejected before any process is started.
// The amounts per member were measured with 580 members, replicated holdings and keyed requests (docs/lab.md), and rounded up.
const (
	processMB          = 40.0 // of a real sidecar, a voter, or a process of emulated members without its members
	emulatedMemberMB   = 6.0
	voterMemberMB      = 0.2 // of a voter, for each member of the cluster
	processDescriptors = 64
	maxProcesses       = 300
	maxPlannedMB       = 12 << 10
	leaveMargin        = 5 * time.Second // a member that leaves gracefully first waits until others have taken over its replicas
	secondsPerDay      = 24 * 60 * 60
	quietEnd           = 2 * time.Second // at the end of the run, without failures of the day
	maxReplicaPeers    = 64              // other members that a member with replicas may be connected to; as many are connected to it
	connectionsPerPeer = 2               // at the same time, to one of those members
)

// NewPlan works out the plan of a scenario and a seed.
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

// planProcesses lists the processes, with upper estimates of their memory and file descriptors.
func (p *Plan) planProcesses() {
	s := p.Scenario
	others := s.Size() - 1
	conns := s.Voters // connections of one member to voters
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

// Check returns an error if the plan exceeds what the machine can bear. descriptors is how many file descriptors a process may have.
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

// groupMembers returns the members of one of the groups that a step may name, such as EmulatedMembers.
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

// zoneMembers returns the members in a zone, and the voters too if asked for.
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

// pendingAction is an action whose members have not been picked.
type pendingAction struct {
	Action
	candidates []string        // in the order in which they are tried
	count      int             // how many to pick
	picked     map[string]bool // the members that the same step has picked so far: a rolling restart takes each once; nil if that does not matter
}

// planActions works out the actions from the steps, from the failures of an ordinary day, and from the rate of new versions.
func (p *Plan) planActions() {
	s := p.Scenario
	rng := rand.New(rand.NewPCG(p.Seed, 0x5ca1e))
	shuffled := func(names []string) []string {
		names = slices.Clone(names)
		rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		return names
	}
	var pending []pendingAction
	for _, step := range s.Steps {
		action := Action{At: step.At, Kind: step.Kind, Downtime: step.Downtime, Duration: step.Duration, Killed: step.Killed, KillLeader: step.KillLeader, Delay: step.Delay,
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
			count, picked := countOf(from), map[string]bool{}
			for i := range count {
				restart := action
				restart.At += step.Duration * time.Duration(i) / time.Duration(count)
				pending = append(pending, pendingAction{restart, from, 1, picked})
			}
		case Kill:
			from := shuffled(p.groupMembers(step.Target))
			pending = append(pending, pendingAction{Action: action, candidates: from, count: countOf(from)})
		case Rack:
			from := shuffled(p.zoneMembers(step.Target, false))
			pending = append(pending, pendingAction{Action: action, candidates: from, count: countOf(from)})
		case Zone:
			from := p.zoneMembers(step.Target, true)
			action.Downtime = max(step.Duration, time.Millisecond) // above 0, so that they come back
			pending = append(pending, pendingAction{Action: action, candidates: from, count: len(from)})
		case Slow:
			action.Members = []string{step.Target}
			pending = append(pending, pendingAction{Action: action})
		default:
			pending = append(pending, pendingAction{Action: action})
		}
	}
	pending = append(pending, p.dayFailures(rng, shuffled)...)
	if s.Changes > 0 {
		every := time.Duration(float64(time.Second) / s.Changes)
		for at := every / 2; at < s.Duration; at += every {
			pending = append(pending, pendingAction{Action: Action{At: at, Kind: Propose, Count: 1}})
		}
	}
	slices.SortStableFunc(pending, func(a, b pendingAction) int { return int(a.At - b.At) })
	p.pickMembers(pending)
}

// dayFailures returns the failures of an ordinary day, at SpeedUp times their usual rate, at random times.
func (p *Plan) dayFailures(rng *rand.Rand, shuffled func([]string) []string) (pending []pendingAction) {
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
			pending = append(pending, pendingAction{Action: action, candidates: shuffled(members), count: 1})
		}
	}
	return pending
}

// pickMembers picks the members of each action among its candidates: the first ones that are up at that time. Actions for which none is
// left are dropped.
func (p *Plan) pickMembers(pending []pendingAction) {
	const forever = time.Duration(math.MaxInt64)
	downUntil := map[string]time.Duration{}
	for _, d := range pending {
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
			continue // all candidates are down
		}
		p.Actions = append(p.Actions, d.Action)
	}
}
