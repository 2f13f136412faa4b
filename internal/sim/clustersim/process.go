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

// Properties of the network between processes, and of the calls over it.
const (
	minLatency           = 200 * time.Microsecond // latencies are between this and the run's usualLatency
	slowProbability      = 0.02                   // share of the messages that take up to the run's slowLatency
	duplicateProbability = 0.01                   // share of the messages that arrive twice
	resetProbability     = 0.002                  // share of the calls whose caller gets an error early, whether or not the request arrives
	lateProbability      = 0.5                    // share of the messages sent into a partition that are delivered once it heals; the others are lost
	peerTimeout          = time.Second            // timeout of a voter's calls to another voter, the same as in package voter
)

// process is one started process of a member, with its voter if the member is one. It implements voter.Clock and voter.Transport.
type process struct {
	r           *run
	name        string
	id          string        // its name and the number of the start, as in m1.2
	clockRate   float64       // seconds of its clock per second of virtual time
	bootOffset  time.Duration // what its boot-time clock showed at the start of the run
	dead        bool
	paused      bool
	pausedAt    time.Duration // when the present pause began
	pausedTotal time.Duration // length of all earlier pauses, for a clock that stops in them
	deferred    []func()      // calls that arrived while it was paused
	// pauseAtRenewal is how long the process is paused after it has sent its next renewal, before the grant arrives; 0 for no pause.
	pauseAtRenewal time.Duration

	holder        *cluster.LeaseHolder
	renewer       *cluster.LeaseRenewer
	store         *holdings.Store // nil in a cluster without holdings
	incarnation   holdings.Incarnation
	appliedView   holdings.View   // the view that was last given to store
	checkedView   holdings.View   // the view that checkView last checked
	lastDelta     *holdings.Delta // the delta of the grant before, for an injected bug
	lastRecorded  [2]uint64       // epoch and placement number that recordAgreed last recorded for its ledger
	leaving       bool            // it has announced that it leaves, and renews no more
	noLeaseReason string          // why its last renewal was not granted; empty if it was

	core         *voter.Core // nil without a voter, or when the voter has stopped with voterErr
	voterErr     error
	disk         *disk
	peerQueues   map[string]*peerQueue
	checkedEntry uint64 // number of entries applied when checkVoter last ran
}

// Now implements voter.Clock.
func (p *process) Now() time.Time { return time.Unix(0, 0).Add(p.BootTime()) }

// BootTime implements voter.Clock, by the process's own clock.
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

// scheduleLocal runs do after d on the process's own clock.
func (p *process) scheduleLocal(d time.Duration, what string, do func()) {
	p.r.w.schedule(time.Duration(float64(d)/p.clockRate), what, p.id, func() { p.runOrDefer(do) })
}

// runOrDefer runs f now, or when the process resumes if it is paused. A dead process never runs it.
func (p *process) runOrDefer(f func()) {
	switch {
	case p.dead:
	case p.paused:
		p.deferred = append(p.deferred, f)
	default:
		f()
	}
}

// pause stops the process, as SIGSTOP or the suspension of its machine does.
func (p *process) pause() { p.paused, p.pausedAt = true, p.r.w.now }

// resume ends a pause: the process at once runs all calls that arrived in the meantime.
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

// kill ends the process. Its data directory stays.
func (p *process) kill() {
	p.dead = true
	if p.disk != nil {
		p.disk.loseUnsynced()
	}
}

// startVoter opens the voter's data directory and starts the voter.
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

// callVoter calls the voter's core and processes what follows from that. It stops the voter on an error, and the process if a disk
// fault killed it.
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

// callAndProcessReady calls the core and turns a panic into an error.
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

// failVoter stops the voter; the process and its lease renewals go on.
func (p *process) failVoter(err error) {
	if p.core != nil {
		p.core.FailWaiting()
	}
	p.core, p.voterErr = nil, err
	p.r.voterStopped(p, err)
}

// withVoter calls the voter's core, if the process has one.
func (p *process) withVoter(do func(c *voter.Core)) {
	if p.core != nil {
		p.callVoter(func() error {
			do(p.core)
			return nil
		})
	}
}

// scheduleTick schedules the voter's next tick.
func (p *process) scheduleTick() {
	p.scheduleLocal(voter.TickEvery, "tick", func() {
		p.withVoter(func(c *voter.Core) { c.Tick() })
		if p.core != nil {
			p.scheduleTick()
		}
	})
}

// peerQueue holds the raft messages from one voter to another. One call at a time carries them, as between real processes.
type peerQueue struct {
	messages []*raftpb.Message
	busy     bool // a call is under way, or about to start
}

// maxQueuedMessages is the length of a peerQueue above which messages are dropped.
const maxQueuedMessages = 256

// Send implements voter.Transport.
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
		// Injected bug: the voter behaves as if each other voter had acknowledged the heartbeat.
		forged := &raftpb.Message{Type: raftpb.MsgHeartbeatResp.Enum(), From: m.To, To: m.From, Term: m.Term, Context: m.Context}
		p.r.w.schedule(minLatency, "forged", p.id, func() {
			p.runOrDefer(func() { p.withVoter(func(c *voter.Core) { c.HandleMessages(to, []*raftpb.Message{forged}) }) }) //nolint:errcheck // an injected bug
		})
	}
	if !l.busy {
		l.busy = true
		p.r.w.schedule(0, "line", p.id+">"+to, func() { p.runOrDefer(func() { p.sendQueued(to, l) }) })
	}
	return true
}

// sendQueued sends all queued messages in one call, and goes on with those that were queued meanwhile.
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
				panic(err) // the caller has just encoded it
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

// Announce implements voter.Transport.
func (p *process) Announce(to string, mine voter.Announcement) {
	call(p, to, "form", mine, peerTimeout, func(q *process, theirs voter.Announcement, reply func(voter.Announcement)) {
		q.withVoter(func(c *voter.Core) {
			c.HandleAnnouncement(theirs)
			reply(c.Announcement())
		})
	}, func(theirs voter.Announcement, ok bool) {
		if p.r.bug == TrustsOldDirectory {
			theirs.Term, theirs.End, theirs.Observed = 0, voter.Announcement{}.End, nil
		}
		if ok {
			p.withVoter(func(c *voter.Core) { c.HandleAnnouncement(theirs) })
		}
	})
}

// heartbeat renews the lease; renew schedules the next heartbeat.
func (p *process) heartbeat() {
	if !p.leaving {
		p.renewer.StartHeartbeat()
		p.renew()
	}
}

// renew sends one renewal and handles its grant.
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
		if p.r.bug == CountsFromAnswer { // sets the time from which the lease counts to that of the answer
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

// applyView gives the store a view that is new. The store never holds an entry, so that a replica is caught up as soon as it is placed.
func (p *process) applyView() {
	if p.store == nil {
		return
	}
	if me, view := p.holder.Incarnation(), p.holder.View(); view.Placement != nil && me.Name != "" && (me != p.incarnation || !view.SameAs(&p.appliedView)) {
		p.incarnation, p.appliedView = me, view
		p.store.ApplyView(p.BootTime(), me, view.Placement, view.Members)
	}
}

// call sends a request to another process, encoded as on the wire, and calls done once: with the answer, or with ok false if the
// request was refused, reset or not answered within the timeout on the caller's clock.
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

// mustEncode returns the encoded text; it panics on an error.
func mustEncode(text []byte, err error) []byte {
	if err != nil {
		panic(err) // the types of the protocol can always be encoded
	}
	return text
}

// mustDecode decodes a text that mustEncode returned.
func mustDecode[T any](text []byte) (t T) {
	if err := cbor.Unmarshal(text, &t); err != nil {
		panic(err) // the text was encoded a moment ago
	}
	return t
}

// direction is one direction of the network between two processes. Each can be partitioned alone.
type direction struct{ from, to string }

// send delivers a message to another process after a random latency, sometimes twice. In a partitioned direction it arrives after
// the partition has healed, or never.
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

// heldMessage is a message that is sent once its direction is no longer partitioned.
type heldMessage struct {
	direction direction
	send      func()
}

// log returns the logger of a process's voter.
func (r *run) log(p *process) zerolog.Logger {
	if r.opts.Log == nil {
		return zerolog.Nop()
	}
	return zerolog.New(r.opts.Log).With().Str("process", p.id).Dur("at", r.w.now).Logger()
}
