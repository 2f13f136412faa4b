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
	eventQueue   = 1024
	eventsAtOnce = 256         // taken before what follows from them is written: one sync for all
	peerQueue    = 256         // messages that wait for another keeper
	peerTime     = time.Second // for one exchange with it
	batchBytes   = 4 << 20     // of messages in one exchange, about
)

// ErrEnded is the answer of a keeper that has stopped.
var ErrEnded = errors.New("this keeper has ended")

// Voter is one keeper of a crew: its core, and the goroutine that owns it.
type Voter struct {
	core  *Core
	world env.Env
	log   zerolog.Logger

	events chan func()
	halt   chan struct{}
	ended  chan struct{}
	leads  atomic.Bool
	out    map[string]*outbox // the owner's
}

// Open opens a keeper's folder; Run begins.
func Open(conf Conf, world env.Env, logTo zerolog.Logger) (*Voter, error) {
	disk, path, err := openDisk(conf.DataDir)
	if err != nil {
		return nil, err
	}
	k := &Voter{world: world, log: logTo, events: make(chan func(), eventQueue),
		halt: make(chan struct{}), ended: make(chan struct{}), out: map[string]*outbox{}}
	if k.core, err = NewCore(conf, world, logTo, disk, path, NewID, k); err != nil {
		disk.Close()
		return nil, err
	}
	return k, nil
}

// Run carries the keeper until Stop, or until what it rests on fails: then it takes no further part in the agreement.
func (k *Voter) Run() {
	defer close(k.ended)
	defer k.core.store.close()
	defer k.leads.Store(false)
	fail := guard(k.run)
	for _, o := range k.out {
		close(o.queue)
	}
	k.core.FailWaiting()
	if fail != nil {
		k.log.Error().Err(fail).Str("file", k.core.store.path).Msg("this keeper takes no further part; see docs/crew.md, A keeper that has stopped")
	}
}

func (k *Voter) run() error {
	if err := k.core.Start(); err != nil {
		return err
	}
	timer := k.world.NewTimer(TickEvery)
	defer timer.Stop()
	for {
		select {
		case <-k.halt:
			return nil
		case <-timer.C():
			timer.Reset(TickEvery)
			k.core.Tick()
		case do := <-k.events:
			do()
			for n := 0; n < eventsAtOnce && len(k.events) > 0; n++ {
				(<-k.events)()
			}
		}
		if err := k.core.ProcessReady(); err != nil {
			return err
		}
		_, leads := k.core.IsLeader()
		k.leads.Store(leads)
	}
}

// Stop ends it and waits until it has.
func (k *Voter) Stop() {
	select {
	case <-k.halt:
	default:
		close(k.halt)
	}
	<-k.ended
}

// IsLeader tells whether it took itself for the leader a moment ago.
func (k *Voter) IsLeader() bool { return k.leads.Load() }

// post hands something to the owner; false when that has ended.
func (k *Voter) post(do func()) bool {
	select {
	case k.events <- do:
		return true
	case <-k.ended:
		return false
	}
}

// owned has the owner do something and returns what that replies.
func owned[T any](k *Voter, do func(reply func(T))) (T, error) {
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
func (k *Voter) Renew(r cluster.Renewal) (RenewResult, error) {
	a, err := owned(k, func(reply func(RenewResult)) { k.core.Renew(r, reply) })
	if a.Grant != nil && a.Grant.Granted {
		k.post(func() { k.core.LeaseAnswerSent(&r) })
	}
	return a, err
}

// Propose has a version proposed: it returns when that is agreed on, or refused.
func (k *Voter) Propose(p cluster.Proposal) (ProposeResult, error) {
	type proposed struct {
		answer ProposeResult
		err    error
	}
	a, err := owned(k, func(reply func(proposed)) {
		k.core.Propose(p, func(answer ProposeResult, err error) { reply(proposed{answer, err}) })
	})
	if err == nil {
		err = a.err
	}
	return a.answer, err
}

// Status tells what it knows.
func (k *Voter) Status() (Status, error) {
	return owned(k, func(reply func(Status)) { reply(k.core.Status()) })
}

// Handlers answer peers.
func (k *Voter) Handlers() map[string]peerrpc.Handler {
	return map[string]peerrpc.Handler{
		"raft": k.takeRaft, "form": k.takeForm,
		"renew": func(_ string, body []byte) (any, error) {
			var r cluster.Renewal
			if err := peerrpc.Decode(body, &r); err != nil {
				return nil, fmt.Errorf("renew: malformed: %w", err)
			}
			return k.Renew(r)
		},
		"propose": func(_ string, body []byte) (any, error) {
			var p cluster.Proposal
			if err := peerrpc.Decode(body, &p); err != nil {
				return nil, fmt.Errorf("propose: malformed: %w", err)
			}
			return k.Propose(p)
		},
		"status": func(string, []byte) (any, error) { return k.Status() },
	}
}

// takeRaft takes messages of another keeper's raft.
func (k *Voter) takeRaft(from string, body []byte) (any, error) {
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
	why, err := owned(k, func(reply func(error)) { reply(k.core.HandleMessages(from, messages)) })
	if err == nil {
		err = why
	}
	return nil, err
}

// takeForm answers another keeper's word with the own one.
func (k *Voter) takeForm(_ string, body []byte) (any, error) {
	var theirs Announcement
	if err := peerrpc.Decode(body, &theirs); err != nil {
		return nil, fmt.Errorf("form: malformed: %w", err)
	}
	return owned(k, func(reply func(Announcement)) {
		k.core.HandleAnnouncement(theirs)
		reply(k.core.Announcement())
	})
}
