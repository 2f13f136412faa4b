// Package member makes a sidecar a member of a crew: it keeps the sidecar's lease, tells the engine what to act on, and
// runs a keeper where this sidecar is one.
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

// Figures of a member.
const (
	leaveTime = 500 * time.Millisecond // for the word that this process ends
	// moveTime is how long a process that ends waits for others to take over what it holds: platforms give 10 s or more before
	// they kill, and its callers' answers have gone by then.
	moveTime = 4 * time.Second
)

// Member is a sidecar's part in a crew.
type Member struct {
	conf   operator.Cluster
	world  env.Env
	log    zerolog.Logger
	server *peerrpc.Server
	keeper *voter.Voter               // nil where this sidecar is none
	lines  map[string]*peerrpc.Client // to keepers, by name

	mu         sync.Mutex
	holder     *cluster.LeaseHolder // guarded by mu, as the seeker is
	seeker     *cluster.LeaseRenewer
	generation uint64
	warned     string // the last reason that was logged; guarded by mu
	differed   bool   // it was logged that changes of members and placement could not be taken; guarded by mu
	acting     atomic.Pointer[acted]
	heard      chan struct{} // closed by the first word of a leader
	halt       chan struct{}
	ended      chan struct{}

	renewals, refused, lost atomic.Int64

	copies *copies // nil where nothing is held
}

// acted is what is acted on until a time.
type acted struct {
	pipeline.EffectiveRules
	stance cluster.EffectiveRules
	until  cluster.BootTime // of the lease; what stands here holds no longer
}

// Start begins; the sidecar acts cautiously until the crew has told it more.
func Start(table operator.Cluster, conf *config.Config, world env.Env, log zerolog.Logger) (*Member, error) {
	log = log.With().Str("crew", table.Name).Logger()
	self := cluster.Member{Name: conf.Name, Token: voter.NewID(), Zone: conf.Settings.Zone, Address: table.Address}
	m := &Member{
		conf: table, world: world, log: log, lines: map[string]*peerrpc.Client{},
		holder: cluster.NewLeaseHolder(self, table.Params, versions.FromSettings(&conf.Settings), conf.ConnectTimeout),
		heard:  make(chan struct{}), halt: make(chan struct{}), ended: make(chan struct{}),
	}
	m.publish(world.BootTime())
	var err error
	if table.Params.Holdings.Copies > 0 {
		if m.copies, err = newCopies(m, conf); err != nil {
			return nil, err
		}
	}
	if m.server, err = peerrpc.Listen(world, table.Address, table.Name); err != nil {
		return nil, err
	}
	handlers := map[string]peerrpc.Handler{"acting": m.tellActing}
	if _, is := table.Voters[conf.Name]; is {
		if table.DataDir == "" {
			m.server.Close()
			return nil, fmt.Errorf("crew.data: missing; allowed: a folder of this keeper's own (%s stands under crew.keeper)", conf.Name)
		}
		m.keeper, err = voter.Open(voter.Conf{
			Cluster: table.Name, Name: conf.Name, Voters: table.Voters, Params: table.Params, DataDir: table.DataDir,
		}, world, log)
		if err != nil {
			m.server.Close()
			return nil, err
		}
		maps.Copy(handlers, m.keeper.Handlers())
		world.Go("keeper", m.keeper.Run)
	}
	for _, name := range slices.Sorted(maps.Keys(table.Voters)) {
		m.lines[name] = peerrpc.NewClient(world, table.Name, conf.Name, table.Voters[name])
	}
	m.seeker = cluster.NewLeaseRenewer(m.holder, slices.Sorted(maps.Keys(table.Voters)))
	if m.copies != nil {
		maps.Copy(handlers, m.copies.handlers())
		world.Go("holdings", m.copies.run)
	}
	m.server.Serve(world, handlers)
	world.Go("lease", m.run)
	// Guards against a process that sends to what was banned while it was away. Keepers that can't be heard delay a start
	// by a lease at most.
	timer := world.NewTimer(table.Params.Lease)
	defer timer.Stop()
	select {
	case <-m.heard:
	case <-timer.C():
		log.Warn().Msg("no word from the crew yet: serving cautiously, without the bans of its version")
	}
	return m, nil
}

// Effective is pipeline.Rules': the lease is looked at each time, so that a process that was paused finds it ended before it
// acts.
func (m *Member) Effective() *pipeline.EffectiveRules {
	a := m.acting.Load()
	if now := m.world.BootTime(); now >= a.until && !a.Cautious {
		return &m.publish(now).EffectiveRules
	}
	return &a.EffectiveRules
}

// publish puts in force what the holder says, if it differs.
func (m *Member) publish(now cluster.BootTime) *acted {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.publishLocked(now)
}

func (m *Member) publishLocked(now cluster.BootTime) *acted {
	stance := m.holder.Effective(now)
	before := m.acting.Load()
	if before != nil && before.Cautious == stance.Cautious && before.stance.Active == stance.Active &&
		before.stance.Next == stance.Next && maps.Equal(before.Banned, stance.Rules.Banned) {
		next := *before // the same, for longer
		next.until, next.stance.Epoch = m.holder.LeaseEnd(), stance.Epoch
		m.acting.Store(&next)
		return &next
	}
	m.generation++
	next := &acted{stance: stance, until: m.holder.LeaseEnd(), EffectiveRules: pipeline.EffectiveRules{
		Generation: m.generation, Dynamic: stance.Rules.DynamicSettings(), Banned: stance.Rules.Banned, Cautious: stance.Cautious,
	}}
	m.acting.Store(next)
	ev := m.log.Info()
	if stance.Cautious {
		ev = m.log.Warn()
	}
	ev.Bool("cautious", stance.Cautious).Uint64("version", stance.Active).Uint64("next", stance.Next).Uint64("epoch", stance.Epoch).
		Int("banned", len(stance.Rules.Banned)).Msg("rules in force")
	return next
}

// run keeps the lease until Stop.
func (m *Member) run() {
	defer close(m.ended)
	heartbeat := m.conf.Params.Lease / cluster.HeartbeatsPerLease
	timer := m.world.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-m.halt:
			return
		case <-timer.C():
		}
		m.mu.Lock()
		m.seeker.StartHeartbeat()
		m.mu.Unlock()
		for m.ask() {
		}
		m.Effective() // an end of the lease is told when it comes, not with the next request
		timer.Reset(heartbeat)
	}
}

// ask asks one keeper for the lease. It tells whether to ask again at once.
func (m *Member) ask() (again bool) {
	m.mu.Lock()
	if m.copies != nil {
		m.holder.CaughtUp, m.holder.Unreachable = m.copies.says()
	}
	name, r := m.seeker.NextRequest(m.world.BootTime())
	m.mu.Unlock()
	var reply voter.RenewResult
	if err := m.lines[name].Call("renew", r, &reply, m.conf.Params.Lease/cluster.CallTimeoutPart); err != nil {
		reply = voter.RenewResult{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	next := m.seeker.HandleResponse(m.world.BootTime(), reply.Grant, reply.Leader)
	if next.Done {
		m.renewals.Add(1)
	}
	switch {
	case errors.Is(next.Err, cluster.ErrNoLeader):
		m.lost.Add(1)
		return false
	case next.Err != nil:
		m.warn("the crew's word can't be taken", next.Err.Error())
		return false
	case !next.Done:
		return next.RenewNow
	}
	m.publishLocked(m.world.BootTime())
	if m.copies != nil {
		m.copies.learn(m.holder)
	}
	if err := m.holder.ViewErr(); err != nil && !m.differed {
		m.differed = true // once for a process: what can't be taken is asked for whole
		m.log.Warn().Err(err).Msg("changes of the crew can't be taken; asking for the whole")
	}
	select {
	case <-m.heard:
	default:
		close(m.heard)
	}
	switch {
	case reply.Grant.Granted:
		m.warned = ""
	case next.Reason != "":
		m.warn("the crew grants no lease", next.Reason)
		fallthrough
	default:
		m.refused.Add(1)
	}
	return next.RenewNow
}

// warn writes a line, but not the same one with each heartbeat.
func (m *Member) warn(what, why string) {
	if key, _, _ := strings.Cut(why, "whose lease"); key != m.warned {
		m.warned = key
		m.log.Warn().Str("why", why).Msg(what)
	}
}

// Status is what a member says that it acts on.
type Status struct {
	Name     string   `cbor:"1,keyasint"`
	Cautious bool     `cbor:"2,keyasint"`
	Active   uint64   `cbor:"3,keyasint"`
	Next     uint64   `cbor:"4,keyasint"`
	Epoch    uint64   `cbor:"5,keyasint"`
	LeaseMS  int      `cbor:"6,keyasint"` // left; below 0 when it has ended
	Banned   []string `cbor:"7,keyasint,omitempty"`
	Renewals int64    `cbor:"8,keyasint"`
	Refused  int64    `cbor:"9,keyasint"`
	Lost     int64    `cbor:"10,keyasint"`
}

func (m *Member) tellActing(string, []byte) (any, error) {
	a := m.current()
	acts := m.acts(a)
	acts.Banned = slices.Sorted(maps.Keys(a.Banned))
	return acts, nil
}

// Status tells what it acts on at this moment, but for the names that are banned: who looks often is spared their list.
func (m *Member) Status() Status { return m.acts(m.current()) }

// current is what is acted on at this moment.
func (m *Member) current() *acted {
	m.Effective()
	return m.acting.Load()
}

func (m *Member) acts(a *acted) Status {
	return Status{
		Name: m.holder.Self.Name, Cautious: a.Cautious, Active: a.stance.Active, Next: a.stance.Next, Epoch: a.stance.Epoch,
		LeaseMS:  int((a.until - m.world.BootTime()).Milliseconds()),
		Renewals: m.renewals.Load(), Refused: m.refused.Load(), Lost: m.lost.Load(),
	}
}

// Metrics is lifecycle.Crew's.
func (m *Member) Metrics(text []byte) []byte {
	m.Effective()
	a := m.acting.Load()
	cautious, leads := int64(0), int64(0)
	if a.Cautious {
		cautious = 1
	}
	if m.keeper != nil && m.keeper.IsLeader() {
		leads = 1
	}
	for _, f := range []struct {
		name  string
		value int64
		kind  byte
	}{
		{"crew_cautious", cautious, metrics.Gauge}, {"crew_version", int64(a.stance.Active), metrics.Gauge},
		{"crew_next", int64(a.stance.Next), metrics.Gauge}, {"crew_epoch", int64(a.stance.Epoch), metrics.Gauge},
		{"crew_lease_ms", max(0, (a.until - m.world.BootTime()).Milliseconds()), metrics.Gauge},
		{"crew_banned", int64(len(a.Banned)), metrics.Gauge}, {"crew_leads", leads, metrics.Gauge},
		{"crew_renewals", m.renewals.Load(), metrics.Counter}, {"crew_refused", m.refused.Load(), metrics.Counter},
		{"crew_unheard", m.lost.Load(), metrics.Counter},
	} {
		text = metrics.Append(text, f.name, f.value, f.kind)
	}
	if m.copies != nil {
		text = m.copies.figures(text)
	}
	return text
}

// Holdings is lifecycle.Crew's.
func (m *Member) Holdings() pipeline.Holdings {
	if m.copies == nil {
		return nil
	}
	return m.copies
}

// Leaving is lifecycle.Crew's.
func (m *Member) Leaving() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holder.Decommissioning = m.copies != nil
}

// leaveReplicas waits, not for long, until others have what this sidecar holds for them.
func (m *Member) leaveReplicas() {
	m.Leaving()
	for limit := m.world.Now().Add(moveTime); m.world.Now().Before(limit); m.world.Sleep(tickHoldings) {
		if m.copies.replicas() == 0 || m.Effective().Cautious {
			return
		}
	}
	m.log.Warn().Int("shards", m.copies.replicas()).Dur("after", moveTime).Msg("leaves with seats that nobody else has taken yet")
}

// Stop says that this process ends, so that its name is free and nobody waits for its lease, and ends the keeper.
func (m *Member) Stop() {
	if m.copies != nil {
		m.leaveReplicas()
	}
	close(m.halt)
	<-m.ended
	if m.copies != nil {
		m.copies.stop()
	}
	m.mu.Lock()
	r, first := m.holder.NextRenewal(), m.seeker.FirstVoter()
	m.mu.Unlock()
	r.Leaving = true
	var reply voter.RenewResult
	m.lines[first].Call("renew", &r, &reply, leaveTime) //nolint:errcheck // else its lease's end says it
	for _, l := range m.lines {
		l.Close()
	}
	if m.keeper != nil {
		m.keeper.Stop()
	}
	m.server.Close()
}
