package decide

import (
	"cmp"
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A cold endpoint bears only a limited load from all balancers together, and no balancer sees the others. These tests run whole fleets of
// balancers, each on its own events alone, against a tier of endpoints that serve and queue. For each cold endpoint an observer sums the
// work that it is sent in every window and compares the sum with what overloads it.

var (
	coldSeeds = flag.Int("cold.seeds", 10, "number of seeds to run for each fleet with cold endpoints")
	coldSeed  = flag.Int64("cold.seed", -1, "run only this seed")
)

const (
	coldWarmUp       = 6 * time.Second // before the first cold start: the module's averages settle over 3 s
	coldRunAfterJoin = 8 * time.Second // after the last cold start at most: later the capacity has grown, and the bound with it
	probeCost        = 0.1             // a probe counts as this part of a request
	workSpread       = 0.3             // work varies by this part of its mean, both ways
	maxClientTries   = 2               // tries of a client whose request is refused or fails
)

// coldCase is a fleet and what happens to it, generated from a seed within the range of the sites' settings files.
type coldCase struct {
	seed            uint64
	balancerCount   int // number of balancers
	toldPeers       int // number of peers in the balancers' settings
	set             Settings
	warm            int           // endpoints that are warm from the start and stay
	cold            int           // endpoints that start cold, within joinTime
	joinTime        time.Duration // from the first cold start to the last
	ratePerEndpoint float64       // requests of mean work that a warm endpoint of size 1 serves in a second
	cores           int
	load            float64       // part of what all endpoints serve once warm, before the burst
	burstAt         time.Duration // when the traffic rises, from the first cold start
	restarts        bool          // seven in ten balancers restart at the burst
	replaces        bool          // each cold endpoint replaces one that drains or is gone already
	zones           int
	zoneLost        bool // one of two zones loses all of its warm endpoints at the burst
	failing         int  // endpoints that answer half of their requests with an immediate error
}

// generateCase generates a case from a seed.
func generateCase(seed uint64, balancers int, peers int) coldCase {
	r := rand.New(rand.NewPCG(seed, 77))
	between := func(from, to float64) float64 { return from + (to-from)*r.Float64() }
	c := coldCase{seed: seed, balancerCount: balancers, toldPeers: peers}
	set := testSettings()
	set.Classes = set.Classes[:1]
	set.Classes[0].Aim, set.Classes[0].Deadline = 800*ms, 3*time.Second
	set.Rules.ColdShare = between(0.12, 0.35)
	set.Rules.ColdTime = time.Duration(between(8, 24) * float64(time.Second))
	set.Rules.OverloadMultiple = float64(2 + r.IntN(3))
	set.Rules.OverloadWindow = time.Duration(1+r.IntN(3)) * time.Second
	set.Limits.MaxAttempts, set.Limits.Hedging = 4, r.IntN(2) == 0
	set.WeightKnown, set.Front, set.Depth = r.IntN(3) > 0, r.IntN(3) > 0, r.IntN(3)
	if r.IntN(4) == 0 {
		set.Entry, set.Limits.Probing = PerCaller, true
		set.Report = Report{Mode: ReportWithProbes, Fields: []LoadField{Outstanding, Utilization}}
	}
	c.zones = 1 + r.IntN(2)
	set.Prices.CrossZone = 0.03
	endpoints := 3 + r.IntN(14)
	c.cold = 1 + r.IntN(max(1, endpoints*6/10))
	if r.IntN(2) == 0 {
		c.cold = 1
	}
	c.warm = endpoints - c.cold
	c.joinTime = time.Duration(between(0, 7) * float64(time.Second))
	c.ratePerEndpoint, c.cores = math.Exp(between(math.Log(2), math.Log(25))), 2
	c.load = between(0.25, 0.66)
	c.burstAt = time.Duration(between(-1, 4) * float64(time.Second))
	c.restarts, c.replaces, c.failing = r.IntN(3) == 0, r.IntN(2) == 0, min(c.warm-1, r.IntN(2))
	c.zoneLost = c.zones == 2 && r.IntN(3) == 0
	c.set = set
	return c
}

// coldFault is a fault that is injected before the module handles an event.
type coldFault func(now Time, b *Balancer, e *Event)

// coldFleet runs a case.
type coldFleet struct {
	coldCase
	rng       *rand.Rand
	now       Time
	queue     coldQueue
	order     int
	balancers []*coldBalancer
	endpoints []*coldEndpoint
	nextID    RequestID
	fault     coldFault
	served    int
}

// coldResult is what the observer has seen.
type coldResult struct {
	worst   float64 // largest sum in a window, as a part of what overloads the cold endpoint
	details string
	cold    int // sends to cold endpoints
	served  int
}

type coldBalancer struct {
	number       int
	generation   int // number of its processes so far
	trafficShare float64
	zone         string
	b            *Balancer
	requests     map[RequestID]*coldRequest
}

type coldRequest struct {
	tries    int // number of this try of its client
	deadline Time
	done     bool
	attempts []coldAttempt
}

type coldAttempt struct {
	to      *coldEndpoint
	sentAt  Time
	settled bool
}

type coldEndpoint struct {
	listed     Endpoint // as listed; its weight is only roughly the size
	size       float64  // its true size
	isCold     bool
	failing    bool
	coreFreeAt []Time // when each core has finished its work
	ends       []Time // when its outstanding requests will be finished
	sends      []coldSend
}

type coldSend struct {
	at   Time
	work float64
	by   int
}

type coldEvent struct {
	at    Time
	order int
	do    func()
}

type coldQueue []coldEvent

func (q coldQueue) Len() int { return len(q) }
func (q coldQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].order, q[j].order)) < 0
}
func (q coldQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *coldQueue) Push(x any)   { *q = append(*q, x.(coldEvent)) }
func (q *coldQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// at schedules do.
func (f *coldFleet) at(at Time, do func()) {
	f.order++
	heap.Push(&f.queue, coldEvent{max(at, f.now), f.order, do})
}

// present returns the least part of its capacity that the settings allow an endpoint at a time.
func (f *coldFleet) present(e *coldEndpoint, at Time) float64 {
	if !e.isCold {
		return 1
	}
	age := min(1, max(0, (at-e.listed.Started).Seconds()/f.set.Rules.ColdTime.Seconds()))
	return f.set.Rules.ColdShare + (1-f.set.Rules.ColdShare)*age
}

// startBalancer starts a balancer's process and delivers the present list to it.
func (f *coldFleet) startBalancer(balancer *coldBalancer) {
	set := f.set
	set.Number, set.Peers, set.Zone = balancer.number, f.toldPeers, balancer.zone
	set.Classes = slices.Clone(set.Classes)
	b, err := New(set, f.rng.Uint64())
	if err != nil {
		panic(err)
	}
	balancer.generation++
	balancer.b, balancer.requests = b, map[RequestID]*coldRequest{}
	f.deliver(balancer, Event{Kind: Start})
	var lines []Endpoint
	for _, e := range f.endpoints {
		lines = append(lines, e.listed)
	}
	f.deliver(balancer, Event{Kind: ListReplaced, Endpoints: lines})
}

// deliver has a balancer handle an event, and does what its actions say.
func (f *coldFleet) deliver(balancer *coldBalancer, e Event) {
	if f.fault != nil {
		f.fault(f.now, balancer.b, &e)
	}
	for _, a := range balancer.b.Handle(f.now, &e, nil) {
		switch a.Kind {
		case Send:
			f.send(balancer, a)
		case Refuse, Fail:
			f.endTry(balancer, balancer.requests[a.Request])
		case SetTimer:
			generation := balancer.generation
			f.at(f.now+a.After, func() {
				if balancer.generation == generation {
					f.deliver(balancer, Event{Kind: TimerDue})
				}
			})
		case Cancel:
			f.finish(balancer, a.Request, a.Attempt, Canceled)
		case Probe:
			e := f.endpoint(a.Endpoint)
			e.sends = append(e.sends, coldSend{f.now, probeCost, balancer.number})
			e.ends = slices.DeleteFunc(e.ends, func(at Time) bool { return at <= f.now })
			out := float64(len(e.ends))
			load := Load{Outstanding: out, Utilization: min(1, out/float64(f.cores))}
			generation := balancer.generation
			f.at(f.now+2*ms, func() {
				if balancer.generation == generation {
					f.deliver(balancer, Event{Kind: ProbeFinished, Endpoint: e.listed.ID, Latency: 2 * ms, Load: load})
				}
			})
		}
	}
}

func (f *coldFleet) endpoint(id EndpointID) *coldEndpoint { return f.endpoints[id-1] }

// send has an endpoint serve a request after those before it, at its present speed.
func (f *coldFleet) send(balancer *coldBalancer, a Action) {
	e, r, id := f.endpoint(a.Endpoint), balancer.requests[a.Request], a.Request
	attempt := len(r.attempts)
	r.attempts = append(r.attempts, coldAttempt{to: e, sentAt: f.now})
	work := 1 + workSpread*(2*f.rng.Float64()-1)
	e.sends = append(e.sends, coldSend{f.now, work, balancer.number})
	core := 0
	for i := range e.coreFreeAt {
		if e.coreFreeAt[i] < e.coreFreeAt[core] {
			core = i
		}
	}
	speed := f.ratePerEndpoint * e.size * f.present(e, f.now) / float64(f.cores) // of a core
	done, outcome := f.now+5*ms, ServerError
	if !e.failing || f.rng.IntN(2) == 0 {
		done = max(f.now, e.coreFreeAt[core]) + time.Duration(work/speed*float64(time.Second))
		e.coreFreeAt[core], outcome = done, Served
		e.ends = append(e.ends, done)
	}
	generation := balancer.generation
	f.at(done, func() {
		if balancer.generation == generation {
			f.finish(balancer, id, attempt, outcome)
		}
	})
}

func (f *coldFleet) finish(balancer *coldBalancer, id RequestID, attempt int, outcome Outcome) {
	r := balancer.requests[id]
	if r == nil || r.attempts[attempt].settled {
		return
	}
	a := &r.attempts[attempt]
	a.settled = true
	if outcome == Served && !r.done {
		r.done = true
		f.served++
	}
	f.deliver(balancer, Event{
		Kind: Finished, Request: id, Attempt: attempt, Endpoint: a.to.listed.ID, Outcome: outcome,
		Latency: f.now - a.sentAt, RequestDone: r.done,
	})
}

// endTry ends a client's try without a result. Its client may try once more.
func (f *coldFleet) endTry(balancer *coldBalancer, r *coldRequest) {
	r.done = true
	if r.tries < maxClientTries {
		f.at(f.now+300*ms, func() { f.arrive(balancer, r.tries+1) })
	}
}

func (f *coldFleet) arrive(balancer *coldBalancer, tries int) {
	f.nextID++
	id, generation, grace := f.nextID, balancer.generation, f.set.Classes[0].Deadline
	r := &coldRequest{tries: tries, deadline: f.now + grace}
	balancer.requests[id] = r
	f.at(r.deadline, func() {
		if balancer.generation != generation {
			return
		}
		for i := range r.attempts {
			f.finish(balancer, id, i, TimedOut)
		}
		delete(balancer.requests, id)
	})
	f.deliver(balancer, Event{Kind: Arrived, Request: id, Class: "read", Grace: grace, Repeat: tries > 1})
}

// traffic schedules a balancer's next request, after a random time.
func (f *coldFleet) traffic(balancer *coldBalancer, end Time) {
	rate := f.load * f.ratePerEndpoint * float64(f.warm+f.cold) * balancer.trafficShare
	if f.now >= time.Hour+coldWarmUp+f.burstAt {
		rate *= 1.5
		if f.zones == 2 { // the burst shifts traffic into one of two zones
			rate *= map[string]float64{"a": 1.4, "b": 0.6}[balancer.zone]
		}
	}
	gap := time.Duration(f.rng.ExpFloat64() / rate * float64(time.Second))
	if f.now+gap < end {
		f.at(f.now+gap, func() {
			f.arrive(balancer, 1)
			f.traffic(balancer, end)
		})
	}
}

func (f *coldFleet) add(isCold, failing bool) *coldEndpoint {
	id := EndpointID(len(f.endpoints) + 1)
	e := &coldEndpoint{isCold: isCold, failing: failing, coreFreeAt: make([]Time, f.cores)}
	e.size = 1 + float64(f.rng.IntN(2))/2
	e.listed = Endpoint{ID: id, Zone: []string{"a", "b"}[int(id)%f.zones], Cell: int(id)}
	e.listed.Weight = e.size * (0.85 + 0.3*f.rng.Float64())
	f.endpoints = append(f.endpoints, e)
	return e
}

// broadcast delivers a change of the list to all balancers, at different times.
func (f *coldFleet) broadcast(lines []Endpoint) {
	for _, balancer := range f.balancers {
		f.at(f.now+time.Duration(f.rng.IntN(500))*ms, func() {
			f.deliver(balancer, Event{Kind: ListChanged, Endpoints: lines})
		})
	}
}

// run simulates the case, with a fault or without (nil).
func (c coldCase) run(fault coldFault) coldResult {
	f := &coldFleet{coldCase: c, now: time.Hour, fault: fault}
	f.rng = rand.New(rand.NewPCG(c.seed, uint64(c.balancerCount)))
	sum := 0.0
	for n := range c.balancerCount {
		balancer := &coldBalancer{number: n, trafficShare: 1, zone: []string{"a", "b"}[n%c.zones]}
		if f.rng.IntN(6) == 0 {
			balancer.trafficShare = 3 + 3*f.rng.Float64() // several times the share of most
		}
		sum += balancer.trafficShare
		f.balancers = append(f.balancers, balancer)
	}
	for i := range c.warm {
		f.add(false, i < c.failing)
	}
	for range c.cold {
		if c.replaces {
			f.add(false, false)
		}
	}
	first := time.Hour + coldWarmUp
	end := first + c.joinTime + min(coldRunAfterJoin, c.set.Rules.ColdTime)
	for _, balancer := range f.balancers {
		balancer.trafficShare /= sum
		f.startBalancer(balancer)
		f.traffic(balancer, end)
	}
	for i := range c.cold {
		f.at(first+c.joinTime*time.Duration(i)/time.Duration(max(1, c.cold-1)), func() {
			e := f.add(true, false)
			e.listed.Started = f.now
			lines := []Endpoint{e.listed}
			if c.replaces {
				old := f.endpoints[c.warm+i]
				old.listed.State = max(old.listed.State, Draining)
				lines = append(lines, old.listed)
			}
			f.broadcast(lines)
		})
	}
	if c.restarts {
		for n, balancer := range f.balancers {
			if n%10 < 7 {
				f.at(first+c.burstAt+time.Duration(f.rng.IntN(2000))*ms, func() { f.startBalancer(balancer) })
			}
		}
	}
	if c.zoneLost {
		f.at(first+c.burstAt, func() {
			var lines []Endpoint
			for _, e := range f.endpoints {
				if !e.isCold && e.listed.Zone == "a" {
					e.listed.State = Gone
					lines = append(lines, e.listed)
				}
			}
			f.broadcast(lines)
		})
	}
	for len(f.queue) > 0 && f.queue[0].at < end {
		next := heap.Pop(&f.queue).(coldEvent)
		f.now = next.at
		next.do()
	}
	result := coldResult{served: f.served}
	for _, e := range f.endpoints {
		if e.isCold {
			result.cold += len(e.sends)
			if part, details := f.fullestWindow(e); part > result.worst {
				result.worst, result.details = part, details
			}
		}
	}
	return result
}

// fullestWindow returns the largest sum of work that an endpoint was sent in a window, as a part of what overloads it. The settings allow N
// requests of mean work: OverloadMultiple times the present capacity, taken at the window's start, when it is least.
func (f *coldFleet) fullestWindow(e *coldEndpoint) (worst float64, details string) {
	rules := f.set.Rules
	for i, first := range e.sends {
		n := rules.OverloadMultiple * f.present(e, first.at) * f.ratePerEndpoint * e.size * rules.OverloadWindow.Seconds()
		sum, senders := 0.0, map[int]bool{}
		for _, s := range e.sends[i:] {
			if s.at-first.at >= rules.OverloadWindow || s.at-e.listed.Started >= rules.ColdTime {
				break
			}
			sum, senders[s.by] = sum+s.work, true
		}
		if part := sum / (n + 2*math.Sqrt(n) + 2); part > worst {
			worst = part
			details = fmt.Sprintf("%.1f from %d balancers, %.2f s old, N %.1f", sum, len(senders),
				(first.at - e.listed.Started).Seconds(), n)
		}
	}
	return worst, details
}

// Numbers of balancers, and the number of peers in their settings as a part of the true one: settings are written before a fleet grows, and
// stay when most of it is gone.
var (
	coldSizes      = []int{2, 6, 20, 30}
	coldToldShares = []float64{1, 0.5, 2}
)

func TestColdEndpointsAreNotOverloadedByAllBalancers(t *testing.T) {
	for _, size := range coldSizes {
		for _, part := range coldToldShares {
			peers := int(float64(size) * part)
			var worst []float64
			cold := 0
			for seed := range uint64(*coldSeeds) {
				if *coldSeed >= 0 {
					seed = uint64(*coldSeed)
				}
				c := generateCase(seed, size, peers)
				got := c.run(nil)
				worst, cold = append(worst, got.worst), cold+got.cold
				if got.worst > 1 {
					t.Errorf("%d balancers with %d peers in their settings, -cold.seed %d: %.2f of what overloads it: %s; %+v",
						size, peers, seed, got.worst, got.details, c)
				}
				if got.served == 0 {
					t.Errorf("%d balancers with %d peers in their settings, -cold.seed %d: nothing was served", size, peers, seed)
				}
				if *coldSeed >= 0 {
					break
				}
			}
			if cold < 20*len(worst) && *coldSeed < 0 {
				t.Errorf("%d balancers with %d peers in their settings: only %d sends to cold endpoints in %d cases",
					size, peers, cold, len(worst))
			}
			slices.Sort(worst)
			at := func(q float64) float64 { return worst[int(math.Ceil(q*float64(len(worst))))-1] }
			t.Logf("%2d balancers with %2d peers in their settings, %d seeds, part of what overloads a cold one: "+
				"median %.2f, p99 %.2f, most %.2f; %d sends",
				size, peers, len(worst), at(0.5), at(0.99), at(1), cold)
		}
	}
}

// With each injected fault the sum exceeds the bound, though each balancer alone still sends a cold endpoint little.
func TestInjectedColdStartFaultsAreFound(t *testing.T) {
	cold := func(b *Balancer, do func(e *endpoint)) {
		for _, e := range b.endpoints.known {
			if e.cold < 0 {
				do(e)
			}
		}
	}
	for name, fault := range map[string]struct {
		balancers int
		seed      uint64 // a seed with which the fault is found
		inject    func() coldFault
	}{
		"each balancer allows itself one send in a window": {30, 1, func() coldFault {
			granted := map[*endpoint]Time{}
			return func(now Time, b *Balancer, _ *Event) {
				cold(b, func(e *endpoint) {
					if at, ok := granted[e]; !ok || now-at >= b.settings.Rules.OverloadWindow {
						granted[e], e.credit = now, max(e.credit, 1)
					}
				})
			}
		}},
		"the trickle is not divided by peers": {30, 1, func() coldFault {
			return func(now Time, b *Balancer, _ *Event) {
				cold(b, func(e *endpoint) { // adds what hasColdCredit adds, undivided
					e.credit = min(1, e.credit+coldTrickle*(now-e.creditAt).Seconds())
					e.creditAt = now
				})
			}
		}},
		"sends cost no credit": {30, 1, func() coldFault {
			return func(_ Time, b *Balancer, _ *Event) {
				cold(b, func(e *endpoint) { e.credit = 1 })
			}
		}},
		"takes cold endpoints for warm": {20, 112, func() coldFault { // few seeds show it: queues keep other balancers away
			return func(_ Time, _ *Balancer, e *Event) {
				e.Endpoints = slices.Clone(e.Endpoints)
				for i := range e.Endpoints {
					e.Endpoints[i].Started = 0
				}
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c := generateCase(fault.seed, fault.balancers, fault.balancers)
			if sound := c.run(nil); sound.worst > 1 {
				t.Fatalf("without the fault %.2f of what overloads it: %s", sound.worst, sound.details)
			}
			got := c.run(fault.inject())
			if got.worst <= 1 {
				t.Errorf("fault not found: %.2f of what overloads it: %s", got.worst, got.details)
			}
			t.Logf("%.2f of what overloads it: %s", got.worst, got.details)
		})
	}
}
