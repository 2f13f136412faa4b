package clustersim

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"heathgap/internal/cluster"
	"heathgap/internal/cluster/voter"
	"heathgap/internal/holdings"
)

// Figures of the network between processes.
const (
	minLatency           = 200 * time.Microsecond
	slowProbability      = 0.02
	duplicateProbability = 0.01        // of messages come twice
	resetProbability     = 0.002       // of exchanges break off, heard or not
	lateProbability      = 0.5         // of messages that a cut has held come when it is mended
	peerTimeout          = time.Second // a keeper's exchanges with another end by then, as in package keeper
)

// process is one start of a sidecar that is a member, and of a keeper where it is one.
type process struct {
	r           *run
	name        string
	id          string  // name and start
	clockRate   float64 // of its clock
	bootOffset  time.Duration
	dead        bool
	paused      bool
	pausedAt    time.Duration // it is paused
	pausedTotal time.Duration // of pauses, for a clock that stops in them
	deferred    []func()      // what comes while it is paused
	// pauseAtRenewal is for how long it is paused when it has asked for its lease the next time, before the answer; 0 for not.
	pauseAtRenewal time.Duration

	holder        *cluster.LeaseHolder
	renewer       *cluster.LeaseRenewer
	store         *holdings.Store // nil where nothing is held
	incarnation   holdings.Incarnation
	appliedView   holdings.View   // by the store, last
	checkedView   holdings.View   // as it was last looked at
	lastDelta     *holdings.Delta // the one before, for a planted bug
	lastRecorded  [2]uint64       // of a keeper's ledger: epoch and number that were last noted as agreed on
	leaving       bool            // it has said so
	noLeaseReason string          // it holds no lease

	core         *voter.Core // nil where this one is no keeper, or its keeper has ended
	voterErr     error       // why
	disk         *disk
	peerQueues   map[string]*peerQueue
	checkedEntry uint64 // entries applied, when its ledger was last compared
}

// Now is keeper.Clock's.
func (p *process) Now() time.Time { return time.Unix(0, 0).Add(p.BootTime()) }

// BootTime is keeper.Clock's, by this machine's clock.
func (p *process) BootTime() time.Duration {
	elapsed := p.r.w.now
	if p.r.bug == ClockStops {
		elapsed -= p.pausedTotal
		if p.paused {
			elapsed -= p.r.w.now - p.pausedAt
		}
	}
	return p.bootOffset + time.Duration(float64(elapsed)*p.clockRate)
}

// scheduleLocal has this process do something after a time on its clock.
func (p *process) scheduleLocal(d time.Duration, what string, do func()) {
	p.r.w.schedule(time.Duration(float64(d)/p.clockRate), what, p.id, func() { p.runOrDefer(do) })
}

// runOrDefer has this process do something now, or when it goes on.
func (p *process) runOrDefer(f func()) {
	switch {
	case p.dead:
	case p.paused:
		p.deferred = append(p.deferred, f)
	default:
		f()
	}
}

// pause stops the process, as SIGSTOP or a suspended machine does.
func (p *process) pause() { p.paused, p.pausedAt = true, p.r.w.now }

// resume lets it go on: what has come in the meantime it takes at once.
func (p *process) resume() {
	p.paused = false
	p.pausedTotal += p.r.w.now - p.pausedAt
	p.r.checkMember(p)
	deferred := p.deferred
	p.deferred = nil
	for _, do := range deferred {
		p.runOrDefer(do)
	}
}

// kill ends it. Its folder stays.
func (p *process) kill() {
	p.dead = true
	if p.disk != nil {
		p.disk.loseUnsynced()
	}
}

// startVoter opens the keeper's folder and begins.
func (p *process) startVoter() {
	conf := voter.Conf{Cluster: "sim", Name: p.name, Voters: p.r.voters, Params: p.r.conf.Params}
	p.callVoter(func() (err error) {
		p.core, err = voter.NewCore(conf, p, p.r.log(p), p.disk, "folder of "+p.name, func() uint64 { return p.r.newDirectoryID(p) }, p)
		if err == nil {
			err = p.core.Start()
		}
		return err
	})
	p.scheduleTick()
}

// callVoter calls the core, lets it settle, and ends it where that fails.
func (p *process) callVoter(do func() error) {
	err := p.callAndProcessReady(do)
	switch {
	case p.disk.killed:
		p.disk.killed = false
		p.r.kill(p)
	case err != nil:
		p.failVoter(err)
	default:
		p.r.checkVoter(p)
	}
}

func (p *process) callAndProcessReady(do func() error) (err error) {
	defer func() {
		if fault := recover(); fault != nil {
			err = fmt.Errorf("panic: %v", fault)
		}
	}()
	if err = do(); err == nil {
		err = p.core.ProcessReady()
	}
	return err
}

func (p *process) failVoter(err error) {
	if p.core != nil {
		p.core.FailWaiting()
	}
	p.core, p.voterErr = nil, err
	p.r.voterStopped(p, err)
}

// withVoter has the keeper of this process do something, if there is one.
func (p *process) withVoter(do func(c *voter.Core)) {
	if p.core != nil {
		p.callVoter(func() error {
			do(p.core)
			return nil
		})
	}
}

func (p *process) scheduleTick() {
	p.scheduleLocal(voter.TickEvery, "tick", func() {
		p.withVoter(func(c *voter.Core) { c.Tick() })
		if p.core != nil {
			p.scheduleTick()
		}
	})
}

// peerQueue is what a keeper has to say to another: one exchange at a time, as a process has it.
type peerQueue struct {
	messages []*raftpb.Message
	busy     bool
}

const maxQueuedMessages = 256

// Send is keeper.Ways'.
func (p *process) Send(to string, m *raftpb.Message) bool {
	l := p.peerQueues[to]
	if l == nil {
		l = &peerQueue{}
		p.peerQueues[to] = l
	}
	if len(l.messages) >= maxQueuedMessages {
		return false
	}
	l.messages = append(l.messages, m)
	if p.r.bug == ConfirmsWithoutMajority && m.GetType() == raftpb.MsgHeartbeat && len(m.GetContext()) > 0 {
		// The planted bug: each of the others is taken for having said yes.
		forged := &raftpb.Message{Type: raftpb.MsgHeartbeatResp.Enum(), From: m.To, To: m.From, Term: m.Term, Context: m.Context}
		p.r.w.schedule(minLatency, "forged", p.id, func() {
			p.runOrDefer(func() { p.withVoter(func(c *voter.Core) { c.HandleMessages(to, []*raftpb.Message{forged}) }) }) //nolint:errcheck // it is a bug
		})
	}
	if !l.busy {
		l.busy = true
		p.r.w.schedule(0, "line", p.id+">"+to, func() { p.runOrDefer(func() { p.sendQueued(to, l) }) })
	}
	return true
}

// sendQueued says what waits on a line.
func (p *process) sendQueued(to string, l *peerQueue) {
	if l.busy = len(l.messages) > 0; !l.busy {
		return
	}
	batch := l.messages
	l.messages = nil
	var texts [][]byte
	for _, m := range batch {
		texts = append(texts, mustEncode(proto.Marshal(m)))
	}
	call(p, to, "raft", texts, peerTimeout, func(q *process, texts [][]byte, reply func(string)) {
		var messages []*raftpb.Message
		for _, text := range texts {
			m := &raftpb.Message{}
			if err := proto.Unmarshal(text, m); err != nil {
				panic(err) // what was marshalled a moment ago
			}
			if q.r.bug == AcceptsStaleMessages {
				m.To = proto.Uint64(q.r.directoryIDs[q.name])
			}
			messages = append(messages, m)
		}
		q.withVoter(func(c *voter.Core) {
			rejection := ""
			if err := c.HandleMessages(p.name, messages); err != nil {
				rejection = err.Error()
			}
			reply(rejection)
		})
	}, func(rejection string, ok bool) {
		for _, m := range batch {
			if m.GetType() == raftpb.MsgSnap {
				p.withVoter(func(c *voter.Core) { c.SnapshotReported(m.GetTo(), ok && rejection == "") })
			}
		}
		if ok || p.r.bug != StopsSending {
			p.sendQueued(to, l)
		}
	})
}

// Announce is keeper.Ways'.
func (p *process) Announce(to string, mine voter.Announcement) {
	call(p, to, "form", mine, peerTimeout, func(q *process, theirs voter.Announcement, reply func(voter.Announcement)) {
		q.withVoter(func(c *voter.Core) {
			c.HandleAnnouncement(theirs)
			reply(c.Announcement())
		})
	}, func(theirs voter.Announcement, ok bool) {
		if p.r.bug == TrustsOldDirectory {
			theirs.Term, theirs.End, theirs.Seen = 0, voter.Announcement{}.End, nil
		}
		if ok {
			p.withVoter(func(c *voter.Core) { c.HandleAnnouncement(theirs) })
		}
	})
}

// heartbeat asks for the lease, and again with the next heartbeat.
func (p *process) heartbeat() {
	if !p.leaving {
		p.renewer.StartHeartbeat()
		p.renew()
	}
}

func (p *process) renew() {
	if p.store != nil {
		p.holder.CaughtUp = p.store.CaughtUp()
	}
	to, r := p.renewer.NextRequest(p.BootTime())
	sentAt := p.r.w.now
	p.r.prepared[preparedVersion{r.Token, r.Prepared, r.Epoch}] = true
	if duration := p.pauseAtRenewal; duration > 0 {
		p.pauseAtRenewal = 0
		p.r.pause(p, duration)
	}
	handleAnswer := func(a voter.RenewResult) {
		if p.leaving {
			return
		}
		if p.r.bug == CountsFromAnswer {
			p.renewer.NextRequest(p.BootTime())
		}
		p.r.tamperDelta(p, a.Grant)
		viewErr := p.holder.ViewErr()
		next := p.renewer.HandleResponse(p.BootTime(), a.Grant, a.Leader)
		if p.holder.ViewErr() != viewErr {
			p.r.result.Deltas["differed"]++
		}
		if p.noLeaseReason = "no answer"; a.Grant != nil {
			p.noLeaseReason = a.Grant.Reason
			p.r.recordGrant(p, sentAt, a.Grant, next.Err)
		}
		p.applyView()
		p.r.checkMember(p)
		if next.RenewNow {
			p.renew()
			return
		}
		p.scheduleLocal(p.r.conf.Params.Lease/cluster.HeartbeatsPerLease, "heartbeat", p.heartbeat)
	}
	call(p, to, "renew", r, p.r.conf.Params.Lease/cluster.CallTimeoutPart, func(q *process, r cluster.Renewal, reply func(voter.RenewResult)) {
		q.withVoter(func(c *voter.Core) {
			if l, _ := c.Ledger(); q.r.bug == IgnoresEpoch {
				r.Epoch = l.Epoch
			}
			if l, _ := c.Ledger(); q.r.bug == WrongBase && l.Epoch > 0 && r.HasMembership > 0 {
				r.HasMembership = max(r.HasMembership, l.Epoch-1)
			}
			c.Renew(r, func(a voter.RenewResult) {
				if l, _ := c.Ledger(); a.Grant != nil {
					q.r.recordAgreed(q, l)
				}
				reply(a)
				if a.Grant != nil && a.Grant.Granted {
					q.r.w.schedule(0, "told", q.id, func() { q.runOrDefer(func() { q.withVoter(func(c *voter.Core) { c.LeaseAnswerSent(&r) }) }) })
				}
			})
		})
	}, func(a voter.RenewResult, ok bool) {
		if !ok {
			a = voter.RenewResult{}
		}
		handleAnswer(a)
	})
}

// applyView has the store take what is new of members and placement. Nothing is ever held in it: a replica lacks nothing at once.
func (p *process) applyView() {
	if p.store == nil {
		return
	}
	if me, view := p.holder.Incarnation(), p.holder.View(); view.Placement != nil && me.Name != "" && (me != p.incarnation || !view.Is(&p.appliedView)) {
		p.incarnation, p.appliedView = me, view
		p.store.ApplyView(p.BootTime(), me, view.Placement, view.Members)
	}
}

// call is one exchange: what is said is coded and decoded as on the wire. done is called once, in time.
func call[Q, A any](from *process, to, kind string, q Q, within time.Duration, handle func(q *process, body Q, reply func(A)),
	done func(answer A, ok bool)) {
	r := from.r
	finished := false
	finish := func(a A, ok bool) {
		if !finished {
			finished = true
			done(a, ok)
		}
	}
	var none A
	from.scheduleLocal(within, kind+" times out", func() { finish(none, false) })
	text := mustEncode(cbor.Marshal(q))
	reply := func(other *process, a A) {
		text := mustEncode(cbor.Marshal(a))
		r.send(other.name, from.name, kind+" answer", func() {
			from.runOrDefer(func() { finish(mustDecode[A](text), true) })
		})
	}
	if r.w.chance(resetProbability) {
		r.w.schedule(r.w.randomDuration(0, r.usualLatency), kind+" reset", from.id, func() { from.runOrDefer(func() { finish(none, false) }) })
	}
	r.send(from.name, to, kind, func() {
		other := r.processes[to]
		refuse := func() {
			r.send(to, from.name, kind+" refused", func() { from.runOrDefer(func() { finish(none, false) }) })
		}
		if other == nil || other.dead {
			refuse()
			return
		}
		other.runOrDefer(func() {
			if other.core == nil {
				refuse()
				return
			}
			handle(other, mustDecode[Q](text), func(a A) { reply(other, a) })
		})
	})
}

func mustEncode(text []byte, err error) []byte {
	if err != nil {
		panic(err) // the program's own types
	}
	return text
}

func mustDecode[T any](text []byte) (t T) {
	if err := cbor.Unmarshal(text, &t); err != nil {
		panic(err) // what was marshalled a moment ago
	}
	return t
}

// direction is from one process to another.
type direction struct{ from, to string }

// send has something come to another process: after a while, twice at times, late or never where the way is cut.
func (r *run) send(from, to, what string, deliver func()) {
	transmit := func() {
		delay := r.w.randomDuration(minLatency, r.usualLatency)
		if r.w.chance(slowProbability) {
			delay = r.w.randomDuration(r.usualLatency, r.slowLatency)
		}
		r.w.schedule(delay, what, from+">"+to, deliver)
	}
	if r.partitioned[direction{from, to}] {
		if r.w.chance(lateProbability) {
			r.heldMessages = append(r.heldMessages, heldMessage{direction{from, to}, transmit})
		}
		return
	}
	transmit()
	if r.w.chance(duplicateProbability) {
		transmit()
	}
}

// heldMessage is what stands at a cut.
type heldMessage struct {
	direction direction
	send      func()
}

// log is where a process's keeper writes.
func (r *run) log(p *process) zerolog.Logger {
	if r.opts.Log == nil {
		return zerolog.Nop()
	}
	return zerolog.New(r.opts.Log).With().Str("process", p.id).Dur("at", r.w.now).Logger()
}
