// Package member makes a sidecar a member of a cluster: it renews the sidecar's lease, gives the pipeline the rules in effect, and
// runs a voter if this sidecar is one.
package member

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"heathgap/internal/cluster"
	"heathgap/internal/cluster/voter"
	"heathgap/internal/config"
	"heathgap/internal/env"
	"heathgap/internal/metrics"
	"heathgap/internal/operator"
	"heathgap/internal/peerrpc"
	"heathgap/internal/pipeline"
	"heathgap/internal/versions"
)

// Timeouts of a member that stops.
const (
	leaveTimeout = 500 * time.Millisecond // for the message that this process ends
	// decommissionTimeout is how long a process that ends waits until its replicas are on other members. Platforms give a process 10 s or more
	// before they kill it; by then the answers to its callers have been sent.
	decommissionTimeout = 4 * time.Second
)

// Member is a sidecar's membership in a cluster.
type Member struct {
	conf         operator.Cluster
	env          env.Env
	log          zerolog.Logger
	server       *peerrpc.Server
	voter        *voter.Voter               // nil if this sidecar is not a voter
	voterClients map[string]*peerrpc.Client // by voter name

	mu            sync.Mutex
	holder        *cluster.LeaseHolder // guarded by mu, as is renewer
	renewer       *cluster.LeaseRenewer
	generation    uint64
	lastWarning   string // the last reason that was logged; guarded by mu
	viewErrLogged bool   // whether an error of updating members and placement was logged; guarded by mu
	effective     atomic.Pointer[effectiveState]
	firstAnswer   chan struct{} // closed when the first grant arrives
	stopRequested chan struct{}
	ended         chan struct{}

	// Counters for the metrics: series of calls that ended, a leader's answers without a lease, and series without a leader's answer.
	renewals, refused, noLeader atomic.Int64

	holdings *holdingsService // nil if the cluster has no holdings
}

// effectiveState is what the member applies until a given time.
type effectiveState struct {
	pipeline.EffectiveRules
	versions cluster.EffectiveRules
	until    cluster.BootTime // end of the lease; afterwards this state is not valid
}

// Start joins the cluster. Until the first grant arrives the sidecar applies the cautious rules.
func Start(table operator.Cluster, conf *config.Config, environment env.Env, log zerolog.Logger) (*Member, error) {
	log = log.With().Str("crew", table.Name).Logger()
	self := cluster.Member{Name: conf.Name, Token: voter.NewID(), Zone: conf.Settings.Zone, Address: table.Address}
	m := &Member{
		conf: table, env: environment, log: log, voterClients: map[string]*peerrpc.Client{},
		holder:      cluster.NewLeaseHolder(self, table.Params, versions.FromSettings(&conf.Settings), conf.ConnectTimeout),
		firstAnswer: make(chan struct{}), stopRequested: make(chan struct{}), ended: make(chan struct{}),
	}
	m.publish(environment.BootTime())
	var err error
	if table.Params.Holdings.Copies > 0 {
		if conf.HeldBytes == 0 { // no sidecar that shares the memory has reserved it
			err = conf.ReserveHeld(table.Holdings.MaxMemory)
		}
		if err != nil {
			return nil, err
		}
		if m.holdings, err = newHoldingsService(m, conf); err != nil {
			return nil, err
		}
	}
	if m.server, err = peerrpc.Listen(environment, table.Address, table.Name); err != nil {
		return nil, err
	}
	handlers := map[string]peerrpc.Handler{"acting": m.handleActing}
	if _, isVoter := table.Voters[conf.Name]; isVoter {
		if table.DataDir == "" {
			m.server.Close()
			return nil, fmt.Errorf("crew.data: missing; allowed: a folder of this keeper's own (%s stands under crew.keeper)", conf.Name)
		}
		m.voter, err = voter.Open(voter.Conf{
			Cluster: table.Name, Name: conf.Name, Voters: table.Voters, Params: table.Params, DataDir: table.DataDir,
		}, environment, log)
		if err != nil {
			m.server.Close()
			return nil, err
		}
		maps.Copy(handlers, m.voter.Handlers())
		environment.Go("keeper", m.voter.Run)
	}
	for _, name := range slices.Sorted(maps.Keys(table.Voters)) {
		m.voterClients[name] = peerrpc.NewClient(environment, table.Name, conf.Name, table.Voters[name])
	}
	m.renewer = cluster.NewLeaseRenewer(m.holder, slices.Sorted(maps.Keys(table.Voters)))
	if m.holdings != nil {
		maps.Copy(handlers, m.holdings.handlers())
		environment.Go("holdings", m.holdings.run)
	}
	m.server.Serve(environment, handlers)
	environment.Go("lease", m.run)
	// Guards against a process that sends to endpoints that were banned while it was down. If no voter can be reached, this delays
	// the start by one lease.
	timer := environment.NewTimer(table.Params.Lease)
	defer timer.Stop()
	select {
	case <-m.firstAnswer:
	case <-timer.C():
		log.Warn().Msg("no answer from the crew yet: serving cautiously, without the bans of its version")
	}
	return m, nil
}

// Effective implements pipeline.RulesSource. It checks the lease with each call, so that a process that was paused notices that the
// lease has ended before it applies the rules.
func (m *Member) Effective() *pipeline.EffectiveRules {
	state := m.effective.Load()
	if now := m.env.BootTime(); now >= state.until && !state.Cautious {
		return &m.publish(now).EffectiveRules
	}
	return &state.EffectiveRules
}

// publish puts the lease holder's rules into effect, if they have changed.
func (m *Member) publish(now cluster.BootTime) *effectiveState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.publishLocked(now)
}

func (m *Member) publishLocked(now cluster.BootTime) *effectiveState {
	rules := m.holder.Effective(now)
	before := m.effective.Load()
	if before != nil && before.Cautious == rules.Cautious && before.versions.Active == rules.Active &&
		before.versions.Next == rules.Next && maps.Equal(before.Banned, rules.Rules.Banned) {
		next := *before // same rules, later end of the lease
		next.until, next.versions.Epoch = m.holder.LeaseEnd(), rules.Epoch
		m.effective.Store(&next)
		return &next
	}
	m.generation++
	next := &effectiveState{versions: rules, until: m.holder.LeaseEnd(), EffectiveRules: pipeline.EffectiveRules{
		Generation: m.generation, Dynamic: rules.Rules.DynamicSettings(), Banned: rules.Rules.Banned, Cautious: rules.Cautious,
	}}
	m.effective.Store(next)
	event := m.log.Info()
	if rules.Cautious {
		event = m.log.Warn()
	}
	if rules.LooserKey != "" {
		event = event.Str("file_stricter", rules.LooserKey)
	}
	event.Bool("cautious", rules.Cautious).Uint64("version", rules.Active).Uint64("next", rules.Next).Uint64("epoch", rules.Epoch).
		Int("banned", len(rules.Rules.Banned)).Msg("rules in force")
	return next
}

// run renews the lease until Stop is called.
func (m *Member) run() {
	defer close(m.ended)
	heartbeat := m.conf.Params.Lease / cluster.HeartbeatsPerLease
	timer := m.env.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-m.stopRequested:
			return
		case <-timer.C():
		}
		m.mu.Lock()
		m.renewer.StartHeartbeat()
		m.mu.Unlock()
		for m.renewOnce() {
		}
		m.Effective() // publishes the end of the lease in time, even without requests
		timer.Reset(heartbeat)
	}
}

// renewOnce sends one renewal to a voter. It reports whether to send the next one at once.
func (m *Member) renewOnce() (renewNow bool) {
	m.mu.Lock()
	if m.holdings != nil {
		m.holder.CaughtUp, m.holder.Unreachable = m.holdings.leaseReport()
	}
	voterName, r := m.renewer.NextRequest(m.env.BootTime())
	m.mu.Unlock()
	var reply voter.RenewResult
	if err := m.voterClients[voterName].Call("renew", r, &reply, m.conf.Params.Lease/cluster.CallTimeoutPart); err != nil {
		reply = voter.RenewResult{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	step := m.renewer.HandleResponse(m.env.BootTime(), reply.Grant, reply.Leader)
	if step.Done {
		m.renewals.Add(1)
	}
	switch {
	case errors.Is(step.Err, cluster.ErrNoLeader):
		m.noLeader.Add(1)
		return false
	case step.Err != nil:
		m.warn("an answer of the crew's leader can't be accepted", step.Err.Error())
		return false
	case !step.Done:
		return step.RenewNow
	}
	m.publishLocked(m.env.BootTime())
	if m.holdings != nil {
		m.holdings.update(m.holder)
	}
	if err := m.holder.ViewErr(); err != nil && !m.viewErrLogged {
		m.viewErrLogged = true // logged once per process; LeaseHolder.NextRenewal decides what to request instead
		m.log.Warn().Err(err).Msg("changes sent by the crew's leader can't be applied; requesting the full state")
	}
	select {
	case <-m.firstAnswer:
	default:
		close(m.firstAnswer)
	}
	switch {
	case reply.Grant.Granted:
		m.lastWarning = ""
	case step.Reason != "":
		m.warn("the crew grants no lease", step.Reason)
		fallthrough
	default:
		m.refused.Add(1)
	}
	return step.RenewNow
}

// warn logs a warning, unless it has the same reason as the one before: reasons may repeat with each heartbeat.
func (m *Member) warn(message, reason string) {
	if key, _, _ := strings.Cut(reason, "whose lease"); key != m.lastWarning {
		m.lastWarning = key
		m.log.Warn().Str("why", reason).Msg(message)
	}
}

// Status is a member's report of what it applies.
type Status struct {
	Name     string   `cbor:"1,keyasint"`
	Cautious bool     `cbor:"2,keyasint"`
	Active   uint64   `cbor:"3,keyasint"`
	Next     uint64   `cbor:"4,keyasint"`
	Epoch    uint64   `cbor:"5,keyasint"`
	LeaseMS  int      `cbor:"6,keyasint"` // milliseconds until the lease ends; negative if it has ended or there was none
	Banned   []string `cbor:"7,keyasint,omitempty"`
	Renewals int64    `cbor:"8,keyasint"`  // series of calls that ended
	Refused  int64    `cbor:"9,keyasint"`  // a leader's answers without a lease
	Lost     int64    `cbor:"10,keyasint"` // series of calls without a leader's answer
}

func (m *Member) handleActing(string, []byte) (any, error) {
	state := m.current()
	status := m.statusOf(state)
	status.Banned = slices.Sorted(maps.Keys(state.Banned))
	return status, nil
}

// Status returns what the member applies now, without the list of banned endpoints, which frequent callers don't need.
func (m *Member) Status() Status { return m.statusOf(m.current()) }

// current returns the state in effect now.
func (m *Member) current() *effectiveState {
	m.Effective()
	return m.effective.Load()
}

// statusOf returns the report of a state, without Banned.
func (m *Member) statusOf(state *effectiveState) Status {
	return Status{
		Name: m.holder.Self.Name, Cautious: state.Cautious, Active: state.versions.Active, Next: state.versions.Next, Epoch: state.versions.Epoch,
		LeaseMS:  int((state.until - m.env.BootTime()).Milliseconds()),
		Renewals: m.renewals.Load(), Refused: m.refused.Load(), Lost: m.noLeader.Load(),
	}
}

// Metrics implements lifecycle.Cluster.
func (m *Member) Metrics(text []byte) []byte {
	m.Effective()
	state := m.effective.Load()
	cautious, leads := int64(0), int64(0)
	if state.Cautious {
		cautious = 1
	}
	if m.voter != nil && m.voter.IsLeader() {
		leads = 1
	}
	for _, f := range []struct {
		name  string
		value int64
		kind  byte
	}{
		{"crew_cautious", cautious, metrics.Gauge}, {"crew_version", int64(state.versions.Active), metrics.Gauge},
		{"crew_next", int64(state.versions.Next), metrics.Gauge}, {"crew_epoch", int64(state.versions.Epoch), metrics.Gauge},
		{"crew_lease_ms", max(0, (state.until - m.env.BootTime()).Milliseconds()), metrics.Gauge},
		{"crew_banned", int64(len(state.Banned)), metrics.Gauge}, {"crew_leads", leads, metrics.Gauge},
		{"crew_renewals", m.renewals.Load(), metrics.Counter}, {"crew_refused", m.refused.Load(), metrics.Counter},
		{"crew_unheard", m.noLeader.Load(), metrics.Counter},
	} {
		text = metrics.Append(text, f.name, f.value, f.kind)
	}
	if m.holdings != nil {
		text = m.holdings.appendMetrics(text)
	}
	return text
}

// Holdings implements lifecycle.Cluster.
func (m *Member) Holdings() pipeline.Holdings {
	if m.holdings == nil {
		return nil
	}
	return m.holdings
}

// Decommission implements lifecycle.Cluster: further renewals ask the leader to move this sidecar's replicas to other members. Without
// holdings it does nothing.
func (m *Member) Decommission() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holder.Decommissioning = m.holdings != nil
}

// leaveReplicas waits, for at most decommissionTimeout, until other members have taken over this sidecar's replicas.
func (m *Member) leaveReplicas() {
	m.Decommission()
	for deadline := m.env.Now().Add(decommissionTimeout); m.env.Now().Before(deadline); m.env.Sleep(holdingsTick) {
		if m.holdings.countReplicas() == 0 || m.Effective().Cautious {
			return
		}
	}
	m.log.Warn().Int("shards", m.holdings.countReplicas()).Dur("after", decommissionTimeout).Msg("leaving the crew before other sidecars have taken over all its copies")
}

// Stop leaves the cluster, so that the member's name is free and nobody waits for its lease to end, and stops the voter.
func (m *Member) Stop() {
	if m.holdings != nil {
		m.leaveReplicas()
	}
	close(m.stopRequested)
	<-m.ended
	if m.holdings != nil {
		m.holdings.stop()
	}
	m.mu.Lock()
	r, firstVoter := m.holder.NextRenewal(), m.renewer.FirstVoter()
	m.mu.Unlock()
	r.Leaving = true
	var reply voter.RenewResult
	m.voterClients[firstVoter].Call("renew", &r, &reply, leaveTimeout) //nolint:errcheck // if this fails, the member is removed when its lease ends
	for _, client := range m.voterClients {
		client.Close()
	}
	if m.voter != nil {
		m.voter.Stop()
	}
	m.server.Close()
}
