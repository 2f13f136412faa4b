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

// Limits of a voter's process.
const (
	eventQueue       = 1024
	maxEventsPerSync = 256         // processed before their results are saved, so that one sync serves all
	peerQueue        = 256         // raft messages queued for another voter
	peerTimeout      = time.Second // for one call to it
	batchBytes       = 4 << 20     // approximate size of the raft messages in one call
)

// ErrEnded is returned by calls to a voter that has stopped.
var ErrEnded = errors.New("this keeper has ended")

// Voter runs one voter of a cluster: a Core, the goroutine that owns it, and its network connections.
type Voter struct {
	core *Core
	env  env.Env
	log  zerolog.Logger

	events        chan func()
	stopRequested chan struct{}
	ended         chan struct{}
	leading       atomic.Bool
	outboxes      map[string]*outbox // by voter name; used by the owner goroutine only
}

// Open opens a voter's data directory; Run starts the voter.
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

// Run runs the voter until Stop is called, or until the disk fails or its data turns out to be wrong: then the voter takes no further
// part in raft.
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

// Stop stops the voter and waits until it has ended.
func (v *Voter) Stop() {
	select {
	case <-v.stopRequested:
	default:
		close(v.stopRequested)
	}
	<-v.ended
}

// IsLeader reports whether the voter considered itself the leader after the last events that it processed.
func (v *Voter) IsLeader() bool { return v.leading.Load() }

// post passes a function to the owner goroutine; it returns false if that has ended.
func (v *Voter) post(do func()) bool {
	select {
	case v.events <- do:
		return true
	case <-v.ended:
		return false
	}
}

// callOwner runs a function on the owner goroutine and returns what that passes to reply.
func callOwner[T any](v *Voter, do func(reply func(T))) (T, error) {
	answer := make(chan T, 1)
	var none T
	if !v.post(func() { do(func(t T) { answer <- t }) }) {
		return none, ErrEnded
	}
	select {
	case t := <-answer:
		return t, nil
	case <-v.ended:
		return none, ErrEnded
	}
}

// Renew answers a renewal with a grant, or with the leader's name if this voter does not lead.
func (v *Voter) Renew(r cluster.Renewal) (RenewResult, error) {
	result, err := callOwner(v, func(reply func(RenewResult)) { v.core.Renew(r, reply) })
	if result.Grant != nil && result.Grant.Granted {
		v.post(func() { v.core.LeaseAnswerSent(&r) })
	}
	return result, err
}

// Propose proposes a version. It returns when the proposal has been committed or refused.
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

// Status returns the voter's current status.
func (v *Voter) Status() (Status, error) {
	return callOwner(v, func(reply func(Status)) { reply(v.core.Status()) })
}

// Handlers returns the handlers of peers' calls.
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

// handleRaft processes raft messages of another voter.
func (v *Voter) handleRaft(from string, body []byte) (any, error) {
	var encoded [][]byte
	if err := peerrpc.Decode(body, &encoded); err != nil {
		return nil, fmt.Errorf("raft: malformed: %w", err)
	}
	var messages []*raftpb.Message
	for _, message := range encoded {
		m := &raftpb.Message{}
		if err := proto.Unmarshal(message, m); err != nil {
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

// handleForm processes another voter's announcement and returns this voter's own.
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
