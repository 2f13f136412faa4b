package harness

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"heathgap/decide"
	"heathgap/internal/lab/fake"
	"heathgap/internal/lab/load"
	"heathgap/internal/lab/oracle"
	"heathgap/internal/lab/scenario"
)

// tier is one tier of endpoints in a run.
type tier struct {
	run         *run
	index       int // index in the scenario's tiers
	conf        scenario.Tier
	discovery   *fake.Discovery
	keyMemories map[keyScope]*fake.KeyMemory

	mu    sync.Mutex
	slots []*slot
}

// keyScope names the endpoints that share a memory of keys: those of a class within a zone, a cell, or the tier.
type keyScope struct{ class, scope string }

// slot is a place in a tier for one endpoint, which may be replaced by another one.
type slot struct {
	tier    *tier
	number  int
	host    string
	sidecar *sidecar           // through which the endpoint calls the next tier; nil in the last tier
	target  *load.SingleTarget // the sidecar's current start
	client  *load.Client       // sends the endpoint's calls

	mu       sync.Mutex
	started  int            // number of endpoints that have been started in this slot under a new name
	endpoint *fake.Endpoint // nil while none is running
	line     fake.Line      // the last endpoint's line in the list
}

func newTier(r *run, index int) *tier {
	return &tier{
		run: r, index: index, conf: r.scenario.Tiers[index], discovery: r.discoveries[index], keyMemories: map[keyScope]*fake.KeyMemory{},
	}
}

// start starts the endpoints that exist from the beginning. None of them is cold.
func (t *tier) start(ctx context.Context) error {
	for range t.conf.Endpoints {
		s, err := t.addSlot()
		if err != nil {
			return err
		}
		if err := s.start(ctx, false, false); err != nil {
			return err
		}
	}
	return nil
}

// addSlot adds a slot to the tier, with a sidecar if its endpoints call the next tier. It starts nothing.
func (t *tier) addSlot() (*slot, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &slot{tier: t, number: len(t.slots)}
	var err error
	if s.host, err = t.run.hosts.acquire(); err != nil {
		return nil, err
	}
	if t.conf.Calls > 0 {
		next := t.index + 1
		name := fmt.Sprintf("%s-%d-calls", t.conf.Name, s.number)
		s.sidecar = &sidecar{
			run: t.run, name: name, tier: next, number: s.number, peers: t.conf.Endpoints, zone: s.zone(),
		}
		if err := s.sidecar.assignAddresses(); err != nil {
			return nil, err
		}
		s.target = &load.SingleTarget{}
		s.client = load.NewClient(t.run.checker, s.target, t.run.clientGrace())
		t.run.addSidecar(s.sidecar)
	}
	t.slots = append(t.slots, s)
	return s, nil
}

// slotAt returns a slot, or nil if there is none of that number.
func (t *tier) slotAt(number int) *slot {
	t.mu.Lock()
	defer t.mu.Unlock()
	if number >= len(t.slots) {
		return nil
	}
	return t.slots[number]
}

func (s *slot) zone() string { return s.tier.conf.Zones[s.number%len(s.tier.conf.Zones)] }

func (s *slot) group() int { return 1 + s.number%s.tier.conf.Groups }

// keyMemory returns the memory of keys of class c, or nil if the class isn't keyed. All endpoints of the tier share it, or only
// those of the slot's zone or cell, as c.Group says.
func (s *slot) keyMemory(c scenario.Class) *fake.KeyMemory {
	if c.Effect != decide.Keyed {
		return nil
	}
	scope := keyScope{c.Name, c.Group}
	switch c.Group {
	case "zone":
		scope.scope += s.zone()
	case "cell":
		scope.scope += fmt.Sprint(s.group())
	}
	t := s.tier
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.keyMemories[scope] == nil {
		t.keyMemories[scope] = fake.NewKeyMemory(c.Window)
	}
	return t.keyMemories[scope]
}

// start starts an endpoint in the slot and has discovery list it. With again it has the name and the address of the previous one.
func (s *slot) start(ctx context.Context, again, cold bool) error {
	line, err := s.startUnpublished(ctx, again, cold)
	if err == nil {
		s.tier.discovery.SetLines(line)
	}
	return err
}

// startUnpublished starts an endpoint in the slot and returns its line for the list, without a change of the list.
func (s *slot) startUnpublished(ctx context.Context, again, cold bool) (fake.Line, error) {
	if s.sidecar != nil {
		target, err := s.sidecar.start(ctx)
		if err != nil {
			return fake.Line{}, err
		}
		s.target.Set(target)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name, address := s.line.Name, s.line.Address
	if !again || name == "" {
		name, address = fmt.Sprintf("%s-%d", s.tier.conf.Name, s.number), s.host+":0"
		if s.started > 0 {
			name += fmt.Sprintf(".%d", s.started)
		}
		s.started++
	}
	conf := s.endpointConf(name, address, cold)
	endpoint, err := startEndpoint(ctx, conf, s.tier.run.checker)
	if err != nil {
		return fake.Line{}, err
	}
	s.endpoint = endpoint
	s.line = fake.Line{
		Name: name, Address: endpoint.Address(), Zone: s.zone(), Type: "lab", Group: s.group(),
		Status: fake.Serving, Weight: 1,
	}
	if cold {
		s.line.Since = time.Now().UnixMilli()
	}
	return s.line, nil
}

// crash begins or reverts a crash of some slots. All endpoints that come back are listed in one version.
func (t *tier) crash(ctx context.Context, step scenario.Step) error {
	var errs []error
	var lines []fake.Line
	for _, n := range step.Slots {
		s := t.slotAt(n)
		switch {
		case !step.Revert:
			s.kill()
		case s.currentEndpoint() == nil: // otherwise another fault has brought it back already
			line, err := s.startUnpublished(ctx, true, true)
			if err != nil {
				errs = append(errs, err)
				continue
			}
			lines = append(lines, line)
		}
	}
	if len(lines) > 0 {
		t.discovery.SetLines(lines...)
	}
	if !step.Revert && step.Fault.Listed > 0 {
		time.AfterFunc(step.Fault.Listed, func() { t.publishGone(step.Slots) })
	}
	return errors.Join(errs...)
}

// publishGone has discovery list those slots as deleted that have no running endpoint.
func (t *tier) publishGone(slots []int) {
	var lines []fake.Line
	for _, n := range slots {
		s := t.slotAt(n)
		s.mu.Lock()
		if s.endpoint == nil {
			s.line.Status = fake.Deleted
			lines = append(lines, s.line)
		}
		s.mu.Unlock()
	}
	if len(lines) > 0 {
		t.discovery.SetLines(lines...)
	}
}

// startEndpoint starts an endpoint. It tries again for a while, since the address of a killed endpoint may not be free at once.
func startEndpoint(ctx context.Context, conf fake.EndpointConf, checker *oracle.Shared) (*fake.Endpoint, error) {
	for end := time.Now().Add(exitTimeout); ; {
		e, err := fake.StartEndpoint(conf, checker)
		if err == nil || time.Now().After(end) || ctx.Err() != nil {
			return e, err
		}
		time.Sleep(pollInterval)
	}
}

func (s *slot) endpointConf(name, address string, cold bool) fake.EndpointConf {
	t, sc := s.tier, s.tier.run.scenario
	conf := fake.EndpointConf{
		Name: name, Address: address, ServerModel: t.conf.ServerModel, Cold: cold, Connections: t.conf.Connections,
		Handshake: t.conf.Handshake, IdleFor: sc.Limits.ConnIdle, BodyBytes: t.conf.Body,
		Seed: t.run.seed<<16 + uint64(t.index<<12+s.number), Classes: map[string]fake.ClassConf{},
	}
	for _, c := range sc.Classes {
		conf.Classes[c.Name] = fake.ClassConf{
			Effect: c.Effect, Keys: s.keyMemory(c), Work: time.Duration(float64(c.Work) * t.conf.WorkScale),
		}
	}
	if s.sidecar != nil {
		conf.Calls, conf.Call = t.conf.Calls, s.call
	}
	return conf
}

// callCount numbers the calls of all tiers.
var callCount atomic.Int64

// call sends one call through the slot's sidecar to the next tier and reports whether it was served. deadline is a time on the
// run's clock. A call of a keyed class gets a key of its own if key is empty.
func (s *slot) call(ctx context.Context, deadline time.Duration, key string) bool {
	class := s.tier.run.scenario.Classes[s.tier.run.callClass(s.tier.index)]
	n := callCount.Add(1)
	if class.Effect == decide.Keyed && key == "" {
		key = fmt.Sprintf("call%x", n)
	}
	result := s.client.Send(ctx, load.Request{
		ID: fmt.Sprintf("call%x", n), Class: class.Name, Key: key, Tier: s.tier.index + 1,
		Effect: class.Effect, Deadline: deadline,
	})
	return result.Ending == load.Answered && result.Verdict == oracle.Served
}

// kill kills the endpoint and its sidecar.
func (s *slot) kill() {
	s.mu.Lock()
	endpoint := s.endpoint
	s.endpoint = nil
	s.mu.Unlock()
	if endpoint != nil {
		endpoint.Kill()
	}
	if s.sidecar != nil {
		s.sidecar.kill()
		s.client.Close()
	}
}

// publishStatus has discovery list the slot's last endpoint with a status.
func (s *slot) publishStatus(status string) {
	s.mu.Lock()
	s.line.Status = status
	line := s.line
	s.mu.Unlock()
	s.tier.discovery.SetLines(line)
}

// currentEndpoint returns the running endpoint, or nil if there is none.
func (s *slot) currentEndpoint() *fake.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoint
}

// applyStep begins or reverts a fault of the slot. If a crash has removed the endpoint, faults of its behavior have no effect.
func (s *slot) applyStep(ctx context.Context, step scenario.Step) error {
	switch step.Kind {
	case scenario.Replace, scenario.Drain, scenario.Release, scenario.Add:
		return s.applyMembershipStep(ctx, step)
	}
	e := s.currentEndpoint()
	if e == nil {
		return nil
	}
	switch step.Kind {
	case scenario.Pause:
		e.Pause(!step.Revert)
	case scenario.Slow:
		factor := step.Fault.Factor
		if step.Revert {
			factor = 1
		}
		e.SetSpeed(factor)
	default:
		trouble := troubles[step.Kind]
		if step.Revert {
			trouble = fake.NoTrouble
		}
		e.SetTrouble(trouble, step.Fault.RequestShare)
	}
	return nil
}

// troubles are the faults that change an endpoint's answers.
var troubles = map[scenario.Kind]fake.Trouble{
	scenario.Errors: fake.Errors, scenario.Hang: fake.Hang, scenario.Silent: fake.Silent,
	scenario.Refuse: fake.Refuses, scenario.TruncatedAnswer: fake.TruncatedAnswer, scenario.Garbage: fake.Garbage,
	scenario.ExtraBytes: fake.ExtraBytes,
}

// applyMembershipStep begins or reverts a fault that adds, drains, releases or replaces an endpoint.
func (s *slot) applyMembershipStep(ctx context.Context, step scenario.Step) error {
	switch {
	case step.Kind == scenario.Add:
		return s.start(ctx, false, true)
	case !step.Revert && (step.Kind == scenario.Drain || step.Kind == scenario.Release):
		s.publishStatus(fake.Draining)
		return nil
	case !step.Revert:
		s.kill()
		return nil
	}
	// At the end of a drain, a release or a replacement the old endpoint ends. A drain has no successor.
	s.kill()
	s.publishStatus(fake.Deleted)
	if step.Kind == scenario.Drain {
		return nil
	}
	return s.start(ctx, false, true)
}
