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
	leastWay  = 200 * time.Microsecond
	slowShare = 0.02
	twice     = 0.01        // of messages come twice
	resets    = 0.002       // of exchanges break off, heard or not
	lateShare = 0.5         // of messages that a cut has held come when it is mended
	peerTime  = time.Second // a keeper's exchanges with another end by then, as in package keeper
)

// process is one start of a sidecar that is a member, and of a keeper where it is one.
type process struct {
	r      *run
	name   string
	id     string  // name and start
	rate   float64 // of its clock
	booted time.Duration
	dead   bool
	paused bool
	since  time.Duration // it is paused
	lost   time.Duration // of pauses, for a clock that stops in them
	inbox  []func()      // what comes while it is paused
	// pauseNext is for how long it is paused when it has asked for its lease the next time, before the answer; 0 for not.
	pauseNext time.Duration

	holder  *cluster.LeaseHolder
	seeker  *cluster.LeaseRenewer
	store   *holdings.Store // nil where nothing is held
	me      holdings.Incarnation
	learnt  holdings.View   // by the store, last
	viewed  holdings.View   // as it was last looked at
	before  *holdings.Delta // the one before, for a planted bug
	noted   [2]uint64       // of a keeper's ledger: epoch and number that were last noted as agreed on
	leaving bool            // it has said so
	why     string          // it holds no lease

	core   *voter.Core // nil where this one is no keeper, or its keeper has ended
	failed error       // why
	disk   *disk
	lines  map[string]*line
	judged uint64 // entries applied, when its ledger was last compared
}

// Now is keeper.Clock's.
func (p *process) Now() time.Time { return time.Unix(0, 0).Add(p.BootTime()) }

// BootTime is keeper.Clock's, by this machine's clock.
func (p *process) BootTime() time.Duration {
	true := p.r.w.now
	if p.r.bug == ClockStops {
		true -= p.lost
		if p.paused {
			true -= p.r.w.now - p.since
		}
	}
	return p.booted + time.Duration(float64(true)*p.rate)
}

// later has this process do something after a time on its clock.
func (p *process) later(d time.Duration, what string, do func()) {
	p.r.w.after(time.Duration(float64(d)/p.rate), what, p.id, func() { p.do(do) })
}

// do has this process do something now, or when it goes on.
func (p *process) do(do func()) {
	switch {
	case p.dead:
	case p.paused:
		p.inbox = append(p.inbox, do)
	default:
		do()
	}
}

// pause stops the process, as SIGSTOP or a suspended machine does.
func (p *process) pause() { p.paused, p.since = true, p.r.w.now }

// resume lets it go on: what has come in the meantime it takes at once.
func (p *process) resume() {
	p.paused = false
	p.lost += p.r.w.now - p.since
	p.r.judge(p)
	inbox := p.inbox
	p.inbox = nil
	for _, do := range inbox {
		p.do(do)
	}
}

// kill ends it. Its folder stays.
func (p *process) kill() {
	p.dead = true
	if p.disk != nil {
		p.disk.die()
	}
}

// open opens the keeper's folder and begins.
func (p *process) open() {
	conf := voter.Conf{Cluster: "sim", Name: p.name, Voters: p.r.keepers, Params: p.r.conf.Terms}
	p.guarded(func() (err error) {
		p.core, err = voter.NewCore(conf, p, p.r.log(p), p.disk, "folder of "+p.name, func() uint64 { return p.r.fresh(p) }, p)
		if err == nil {
			err = p.core.Start()
		}
		return err
	})
	p.tick()
}

// guarded calls the core, lets it settle, and ends it where that fails.
func (p *process) guarded(do func() error) {
	err := p.settled(do)
	switch {
	case p.disk.killed:
		p.disk.killed = false
		p.r.kill(p)
	case err != nil:
		p.fail(err)
	default:
		p.r.judgeKeeper(p)
	}
}

func (p *process) settled(do func() error) (err error) {
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

func (p *process) fail(err error) {
	if p.core != nil {
		p.core.FailWaiting()
	}
	p.core, p.failed = nil, err
	p.r.stopped(p, err)
}

// keep has the keeper of this process do something, if there is one.
func (p *process) keep(do func(c *voter.Core)) {
	if p.core != nil {
		p.guarded(func() error {
			do(p.core)
			return nil
		})
	}
}

func (p *process) tick() {
	p.later(voter.TickEvery, "tick", func() {
		p.keep(func(c *voter.Core) { c.Tick() })
		if p.core != nil {
			p.tick()
		}
	})
}

// line is what a keeper has to say to another: one exchange at a time, as a process has it.
type line struct {
	waits []*raftpb.Message
	busy  bool
}

const mostWaits = 256

// Send is keeper.Ways'.
func (p *process) Send(to string, m *raftpb.Message) bool {
	l := p.lines[to]
	if l == nil {
		l = &line{}
		p.lines[to] = l
	}
	if len(l.waits) >= mostWaits {
		return false
	}
	l.waits = append(l.waits, m)
	if p.r.bug == NoMajority && m.GetType() == raftpb.MsgHeartbeat && len(m.GetContext()) > 0 {
		// The planted bug: each of the others is taken for having said yes.
		yes := &raftpb.Message{Type: raftpb.MsgHeartbeatResp.Enum(), From: m.To, To: m.From, Term: m.Term, Context: m.Context}
		p.r.w.after(leastWay, "forged", p.id, func() {
			p.do(func() { p.keep(func(c *voter.Core) { c.HandleMessages(to, []*raftpb.Message{yes}) }) }) //nolint:errcheck // it is a bug
		})
	}
	if !l.busy {
		l.busy = true
		p.r.w.after(0, "line", p.id+">"+to, func() { p.do(func() { p.exchange(to, l) }) })
	}
	return true
}

// exchange says what waits on a line.
func (p *process) exchange(to string, l *line) {
	if l.busy = len(l.waits) > 0; !l.busy {
		return
	}
	batch := l.waits
	l.waits = nil
	var texts [][]byte
	for _, m := range batch {
		texts = append(texts, must(proto.Marshal(m)))
	}
	call(p, to, "raft", texts, peerTime, func(q *process, texts [][]byte, reply func(string)) {
		var messages []*raftpb.Message
		for _, text := range texts {
			m := &raftpb.Message{}
			if err := proto.Unmarshal(text, m); err != nil {
				panic(err) // what was marshalled a moment ago
			}
			if q.r.bug == TakesOldWord {
				m.To = proto.Uint64(q.r.ids[q.name])
			}
			messages = append(messages, m)
		}
		q.keep(func(c *voter.Core) {
			why := ""
			if err := c.HandleMessages(p.name, messages); err != nil {
				why = err.Error()
			}
			reply(why)
		})
	}, func(why string, ok bool) {
		for _, m := range batch {
			if m.GetType() == raftpb.MsgSnap {
				p.keep(func(c *voter.Core) { c.SnapshotReported(m.GetTo(), ok && why == "") })
			}
		}
		if ok || p.r.bug != FallsSilent {
			p.exchange(to, l)
		}
	})
}

// Announce is keeper.Ways'.
func (p *process) Announce(to string, mine voter.Announcement) {
	call(p, to, "form", mine, peerTime, func(q *process, theirs voter.Announcement, reply func(voter.Announcement)) {
		q.keep(func(c *voter.Core) {
			c.HandleAnnouncement(theirs)
			reply(c.Announcement())
		})
	}, func(theirs voter.Announcement, ok bool) {
		if p.r.bug == TrustsOldFolder {
			theirs.Term, theirs.End, theirs.Seen = 0, voter.Announcement{}.End, nil
		}
		if ok {
			p.keep(func(c *voter.Core) { c.HandleAnnouncement(theirs) })
		}
	})
}

// heartbeat asks for the lease, and again with the next heartbeat.
func (p *process) heartbeat() {
	if !p.leaving {
		p.seeker.StartHeartbeat()
		p.ask()
	}
}

func (p *process) ask() {
	if p.store != nil {
		p.holder.CaughtUp = p.store.CaughtUp()
	}
	to, r := p.seeker.NextRequest(p.BootTime())
	asked := p.r.w.now
	p.r.said[saying{r.Token, r.Prepared, r.Epoch}] = true
	if long := p.pauseNext; long > 0 {
		p.pauseNext = 0
		p.r.pause(p, long)
	}
	answered := func(a voter.RenewResult) {
		if p.leaving {
			return
		}
		if p.r.bug == CountsFromAnswer {
			p.seeker.NextRequest(p.BootTime())
		}
		p.r.tamper(p, a.Grant)
		differed := p.holder.ViewErr()
		next := p.seeker.HandleResponse(p.BootTime(), a.Grant, a.Leader)
		if p.holder.ViewErr() != differed {
			p.r.result.Deltas["differed"]++
		}
		if p.why = "no answer"; a.Grant != nil {
			p.why = a.Grant.Reason
			p.r.heard(p, asked, a.Grant, next.Err)
		}
		p.learn()
		p.r.judge(p)
		if next.RenewNow {
			p.ask()
			return
		}
		p.later(p.r.conf.Terms.Lease/cluster.HeartbeatsPerLease, "heartbeat", p.heartbeat)
	}
	call(p, to, "renew", r, p.r.conf.Terms.Lease/cluster.CallTimeoutPart, func(q *process, r cluster.Renewal, reply func(voter.RenewResult)) {
		q.keep(func(c *voter.Core) {
			if l, _ := c.Ledger(); q.r.bug == AnyEpoch {
				r.Epoch = l.Epoch
			}
			if l, _ := c.Ledger(); q.r.bug == WrongBase && l.Epoch > 0 && r.HasMembership > 0 {
				r.HasMembership = max(r.HasMembership, l.Epoch-1)
			}
			c.Renew(r, func(a voter.RenewResult) {
				if l, _ := c.Ledger(); a.Grant != nil {
					q.r.agreeOn(q, l)
				}
				reply(a)
				if a.Grant != nil && a.Grant.Granted {
					q.r.w.after(0, "told", q.id, func() { q.do(func() { q.keep(func(c *voter.Core) { c.LeaseAnswerSent(&r) }) }) })
				}
			})
		})
	}, func(a voter.RenewResult, ok bool) {
		if !ok {
			a = voter.RenewResult{}
		}
		answered(a)
	})
}

// learn has the store take what is new of members and placement. Nothing is ever held in it: a replica lacks nothing at once.
func (p *process) learn() {
	if p.store == nil {
		return
	}
	if me, view := p.holder.Incarnation(), p.holder.View(); view.Placement != nil && me.Name != "" && (me != p.me || !view.Is(&p.learnt)) {
		p.me, p.learnt = me, view
		p.store.ApplyView(p.BootTime(), me, view.Placement, view.Members)
	}
}

// call is one exchange: what is said is coded and decoded as on the wire. done is called once, in time.
func call[Q, A any](from *process, to, kind string, q Q, within time.Duration, handle func(q *process, body Q, reply func(A)),
	done func(answer A, ok bool)) {
	r := from.r
	over := false
	end := func(a A, ok bool) {
		if !over {
			over = true
			done(a, ok)
		}
	}
	var none A
	from.later(within, kind+" times out", func() { end(none, false) })
	text := must(cbor.Marshal(q))
	back := func(other *process, a A) {
		text := must(cbor.Marshal(a))
		r.send(other.name, from.name, kind+" answer", func() {
			from.do(func() { end(decoded[A](text), true) })
		})
	}
	if r.w.chance(resets) {
		r.w.after(r.w.between(0, r.usual), kind+" reset", from.id, func() { from.do(func() { end(none, false) }) })
	}
	r.send(from.name, to, kind, func() {
		other := r.procs[to]
		refuse := func() {
			r.send(to, from.name, kind+" refused", func() { from.do(func() { end(none, false) }) })
		}
		if other == nil || other.dead {
			refuse()
			return
		}
		other.do(func() {
			if other.core == nil {
				refuse()
				return
			}
			handle(other, decoded[Q](text), func(a A) { back(other, a) })
		})
	})
}

func must(text []byte, err error) []byte {
	if err != nil {
		panic(err) // the program's own types
	}
	return text
}

func decoded[T any](text []byte) (t T) {
	if err := cbor.Unmarshal(text, &t); err != nil {
		panic(err) // what was marshalled a moment ago
	}
	return t
}

// way is from one process to another.
type way struct{ from, to string }

// send has something come to another process: after a while, twice at times, late or never where the way is cut.
func (r *run) send(from, to, what string, come func()) {
	arrive := func() {
		delay := r.w.between(leastWay, r.usual)
		if r.w.chance(slowShare) {
			delay = r.w.between(r.usual, r.slow)
		}
		r.w.after(delay, what, from+">"+to, come)
	}
	if r.cut[way{from, to}] {
		if r.w.chance(lateShare) {
			r.held = append(r.held, held{way{from, to}, arrive})
		}
		return
	}
	arrive()
	if r.w.chance(twice) {
		arrive()
	}
}

// held is what stands at a cut.
type held struct {
	way    way
	arrive func()
}

// log is where a process's keeper writes.
func (r *run) log(p *process) zerolog.Logger {
	if r.opts.Log == nil {
		return zerolog.Nop()
	}
	return zerolog.New(r.opts.Log).With().Str("process", p.id).Dur("at", r.w.now).Logger()
}
