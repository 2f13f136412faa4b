package voter

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"heathgap/internal/cluster"
	"heathgap/internal/env"
	"heathgap/internal/peerrpc"
)

// Figures of a keeper's process.
const (
	eventQueue       = 1024
	maxEventsPerSync = 256         // taken before what follows from them is written: one sync for all
	peerQueue        = 256         // messages that wait for another keeper
	peerTimeout      = time.Second // for one exchange with it
	batchBytes       = 4 << 20     // of messages in one exchange, about
)

// ErrEnded is the answer of a keeper that has stopped.
var ErrEnded = errors.New("this keeper has ended")

// Voter is one keeper of a crew: its core, and the goroutine that owns it.
type Voter struct {
	core *Core
	env  env.Env
	log  zerolog.Logger

	events        chan func()
	stopRequested chan struct{}
	ended         chan struct{}
	leading       atomic.Bool
	outboxes      map[string]*outbox // the owner's
}

// Open opens a keeper's folder; Run begins.
func Open(conf Conf, environment env.Env, log zerolog.Logger) (*Voter, error) {
	disk, path, err := openDisk(conf.DataDir)
	if err != nil {
		return nil, err
	}
	k := &Voter{env: environment, log: log, events: make(chan func(), eventQueue),
		stopRequested: make(chan struct{}), ended: make(chan struct{}), outboxes: map[string]*outbox{}}
	if k.core, err = NewCore(conf, environment, log, disk, path, NewID, k); err != nil {
		disk.Close()
		return nil, err
	}
	return k, nil
}

// Run carries the keeper until Stop, or until what it rests on fails: then it takes no further part in the agreement.
func (v *Voter) Run() {
	defer close(v.ended)
	defer v.core.store.close()
	defer v.leading.Store(false)
	err := recoverPanics(v.run)
	for _, o := range v.outboxes {
		close(o.queue)
	}
	v.core.FailWaiting()
	if err != nil {
		v.log.Error().Err(err).Str("file", v.core.store.path).Msg("this keeper takes no further part; see docs/crew.md, A keeper that has stopped")
	}
}

func (v *Voter) run() error {
	if err := v.core.Start(); err != nil {
		return err
	}
	timer := v.env.NewTimer(TickEvery)
	defer timer.Stop()
	for {
		select {
		case <-v.stopRequested:
			return nil
		case <-timer.C():
			timer.Reset(TickEvery)
			v.core.Tick()
		case do := <-v.events:
			do()
			for n := 0; n < maxEventsPerSync && len(v.events) > 0; n++ {
				(<-v.events)()
			}
		}
		if err := v.core.ProcessReady(); err != nil {
			return err
		}
		_, leads := v.core.IsLeader()
		v.leading.Store(leads)
	}
}

// Stop ends it and waits until it has.
func (v *Voter) Stop() {
	select {
	case <-v.stopRequested:
	default:
		close(v.stopRequested)
	}
	<-v.ended
}

// IsLeader tells whether it took itself for the leader a moment ago.
func (v *Voter) IsLeader() bool { return v.leading.Load() }

// post hands something to the owner; false when that has ended.
func (v *Voter) post(do func()) bool {
	select {
	case v.events <- do:
		return true
	case <-v.ended:
		return false
	}
}

// callOwner has the owner do something and returns what that replies.
func callOwner[T any](k *Voter, do func(reply func(T))) (T, error) {
	answer := make(chan T, 1)
	var none T
	if !k.post(func() { do(func(t T) { answer <- t }) }) {
		return none, ErrEnded
	}
	select {
	case t := <-answer:
		return t, nil
	case <-k.ended:
		return none, ErrEnded
	}
}

// Renew answers a renewal: here, or by the name of the leader.
func (v *Voter) Renew(r cluster.Renewal) (RenewResult, error) {
	a, err := callOwner(v, func(reply func(RenewResult)) { v.core.Renew(r, reply) })
	if a.Grant != nil && a.Grant.Granted {
		v.post(func() { v.core.LeaseAnswerSent(&r) })
	}
	return a, err
}

// Propose has a version proposed: it returns when that is agreed on, or refused.
func (v *Voter) Propose(p cluster.Proposal) (ProposeResult, error) {
	type proposed struct {
		answer ProposeResult
		err    error
	}
	a, err := callOwner(v, func(reply func(proposed)) {
		v.core.Propose(p, func(answer ProposeResult, err error) { reply(proposed{answer, err}) })
	})
	if err == nil {
		err = a.err
	}
	return a.answer, err
}

// Status tells what it knows.
func (v *Voter) Status() (Status, error) {
	return callOwner(v, func(reply func(Status)) { reply(v.core.Status()) })
}

// Handlers answer peers.
func (v *Voter) Handlers() map[string]peerrpc.Handler {
	return map[string]peerrpc.Handler{
		"raft": v.handleRaft, "form": v.handleForm,
		"renew": func(_ string, body []byte) (any, error) {
			var r cluster.Renewal
			if err := peerrpc.Decode(body, &r); err != nil {
				return nil, fmt.Errorf("renew: malformed: %w", err)
			}
			return v.Renew(r)
		},
		"propose": func(_ string, body []byte) (any, error) {
			var p cluster.Proposal
			if err := peerrpc.Decode(body, &p); err != nil {
				return nil, fmt.Errorf("propose: malformed: %w", err)
			}
			return v.Propose(p)
		},
		"status": func(string, []byte) (any, error) { return v.Status() },
	}
}

// handleRaft takes messages of another keeper's raft.
func (v *Voter) handleRaft(from string, body []byte) (any, error) {
	var texts [][]byte
	if err := peerrpc.Decode(body, &texts); err != nil {
		return nil, fmt.Errorf("raft: malformed: %w", err)
	}
	var messages []*raftpb.Message
	for _, text := range texts {
		m := &raftpb.Message{}
		if err := proto.Unmarshal(text, m); err != nil {
			return nil, fmt.Errorf("raft: malformed: %w", err)
		}
		messages = append(messages, m)
	}
	refusal, err := callOwner(v, func(reply func(error)) { reply(v.core.HandleMessages(from, messages)) })
	if err == nil {
		err = refusal
	}
	return nil, err
}

// handleForm answers another keeper's word with the own one.
func (v *Voter) handleForm(_ string, body []byte) (any, error) {
	var theirs Announcement
	if err := peerrpc.Decode(body, &theirs); err != nil {
		return nil, fmt.Errorf("form: malformed: %w", err)
	}
	return callOwner(v, func(reply func(Announcement)) {
		v.core.HandleAnnouncement(theirs)
		reply(v.core.Announcement())
	})
}
